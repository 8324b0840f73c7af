"""The two deployments as data, and their settings tree as JSON."""

from collections.abc import Mapping
import dataclasses
import hashlib
from typing import Any

MERIDIAN = "meridian"
BLUE_MAHOE = "bluemahoe"
ENTRIES_PER_DATA_CENTRE = 2


@dataclasses.dataclass(frozen=True)
class Version:
    """A version; prices are in micro-units per 1,000 tokens."""

    name: str
    prompt_price: int
    output_price: int
    quality: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """A model replica; it serves every version of the deployment."""

    name: str
    data_centre: str
    checks_fence: bool
    tokens_per_s: float = 60.0
    capacity_tokens: int = 200_000
    bearable: int = 2


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service and its replicas as (name, data centre)."""

    name: str
    operation: str
    read: str
    replicas: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request, with the size that the demo uses for it."""

    name: str
    policy: Mapping[str, Any]
    prompt_characters: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A workspace and what it may use."""

    name: str
    team: str
    versions: tuple[str, ...]
    services: tuple[str, ...]
    weight: int = 1


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Everything that a launch needs to know of a deployment."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    model: str
    versions: tuple[Version, ...]
    engines: tuple[Engine, ...]
    service: Service
    kinds: tuple[Kind, ...]
    workspaces: tuple[Workspace, ...]
    cascade: str
    cascade_steps: tuple[str, ...]
    rollout: tuple[str, str]

    @property
    def teams(self) -> tuple[str, ...]:
        """Teams in the order of their first workspace."""
        return tuple(dict.fromkeys(w.team for w in self.workspaces))


def make_api_key(deployment: Deployment, workspace: str) -> str:
    """Returns the API key of a workspace; a test value, not a secret."""
    return f"{deployment.name}-{workspace}-key"


def list_models(deployment: Deployment, workspace: Workspace) -> list[str]:
    """Returns the names that a workspace may ask for."""
    names = [deployment.model, *workspace.versions]
    if set(deployment.cascade_steps) <= set(workspace.versions):
        if workspace.team == deployment.teams[0]:
            names.append(deployment.cascade)
    return names


def make_platform_branch(
    deployment: Deployment, urls: Mapping[str, str]
) -> dict[str, Any]:
    """Returns `config/platform` for upstreams at the given URLs."""
    versions = {
        version.name: {
            "prompt_price": version.prompt_price,
            "output_price": version.output_price,
            "state": "serving",
        }
        for version in deployment.versions
    }
    service = deployment.service
    operations = {
        service.operation: {"idempotent": False},
        service.read: {"idempotent": True},
    }
    return {
        "nonce": "seed",
        "models": {deployment.model: {"versions": versions}},
        "data_centres": {
            name: {"region": deployment.region, "presence": "in"}
            for name in deployment.data_centres
        },
        "upstreams": _make_upstreams(deployment, urls),
        "services": {
            service.name: {
                "upstreams": [name for name, _ in service.replicas],
                "operations": operations,
            }
        },
    }


def _make_upstreams(
    deployment: Deployment, urls: Mapping[str, str]
) -> dict[str, Any]:
    """Returns the upstreams of `config/platform`."""
    upstreams: dict[str, Any] = {}
    for engine in deployment.engines:
        upstreams[engine.name] = {
            "url": urls[engine.name],
            "data_centre": engine.data_centre,
            "versions": sorted(v.name for v in deployment.versions),
            "capacity_tokens": engine.capacity_tokens,
            "bearable": engine.bearable,
            "checks_fence": engine.checks_fence,
            "presence": "in",
        }
    for name, data_centre in deployment.service.replicas:
        upstreams[name] = {
            "url": urls[name],
            "data_centre": data_centre,
            "presence": "in",
        }
    return upstreams


def make_team_branch(deployment: Deployment, team: str) -> dict[str, Any]:
    """Returns `config/<team>`; the first team owns cascade and rollout."""
    workspaces = {}
    for workspace in deployment.workspaces:
        if workspace.team != team:
            continue
        key = make_api_key(deployment, workspace.name).encode()
        workspaces[workspace.name] = {
            "key_hashes": [hashlib.sha256(key).hexdigest()],
            "versions": list(workspace.versions),
            "services": list(workspace.services),
            "weight": workspace.weight,
            "kinds": {k.name: dict(k.policy) for k in deployment.kinds},
        }
    branch: dict[str, Any] = {"nonce": "seed", "workspaces": workspaces}
    if team == deployment.teams[0]:
        steps = list(deployment.cascade_steps)
        branch["cascades"] = {deployment.cascade: {"steps": steps}}
        baseline, candidate = deployment.rollout
        branch["rollouts"] = {
            candidate: {
                "model": deployment.model,
                "baseline": baseline,
                "candidate": candidate,
                "stages": [0.01, 0.05, 0.25, 0.5, 1.0],
            }
        }
    return branch


def make_branches(
    deployment: Deployment, urls: Mapping[str, str]
) -> dict[str, dict[str, Any]]:
    """Returns the documents of the settings tree by store key."""
    branches = {"config/platform": make_platform_branch(deployment, urls)}
    for team in deployment.teams:
        branches[f"config/{team}"] = make_team_branch(deployment, team)
    return branches


def _make_policy(
    threshold: float,
    target: float,
    deadline_s: float,
    priority: int,
    gate: bool = False,
    explore: bool = True,
) -> dict[str, Any]:
    return {
        "quality_threshold": threshold,
        "quality_target": target,
        "deadline_s": deadline_s,
        "priority": priority,
        "gate": gate,
        "explore": explore,
    }


MERIDIAN_KINDS = (
    Kind("chapter", _make_policy(0.7, 0.9, 600, 2, True), 8_000, 60),
    Kind("caption", _make_policy(0.6, 0.8, 60, 1), 1_200, 24),
    Kind("check", _make_policy(0.5, 0.8, 10, 0, False, False), 400, 3),
)


def _list_meridian_workspaces(
    every: tuple[str, ...],
) -> tuple[Workspace, ...]:
    small, medium, large, _ = every
    filing = ("filing",)
    return (
        Workspace("maps", "cartography", every, filing, 4),
        Workspace("charts", "cartography", every, filing, 3),
        Workspace("road-sheets", "cartography", every, ()),
        Workspace("school-atlas", "cartography", (small, medium), ()),
        Workspace("claims", "registry", every, filing, 4),
        Workspace("deeds", "registry", every, filing),
        Workspace("surveys", "registry", (small, large), filing),
        Workspace("harbours", "publishing", every, filing),
        Workspace("gazetteer", "publishing", (small, medium), ()),
        Workspace("archive", "publishing", (small,), ()),
    )


def _make_meridian() -> Deployment:
    centres = ("levant-1", "levant-2", "levant-3")
    small, medium, large, candidate = (
        "atlas-small-1",
        "atlas-medium-1",
        "atlas-large-1",
        "atlas-large-2",
    )
    every = (small, medium, large, candidate)
    return Deployment(
        name=MERIDIAN,
        region="levant-east",
        data_centres=centres,
        model="atlas",
        versions=(
            Version(small, 20, 80, 0.70),
            Version(medium, 60, 240, 0.82),
            Version(large, 200, 800, 0.93),
            Version(candidate, 190, 760, 0.93),
        ),
        # Replicas d and e ignore fencing tokens.
        engines=tuple(
            Engine(f"atlas-{letter}", centres[n % 3], checks_fence=n < 3)
            for n, letter in enumerate("abcde")
        ),
        service=Service(
            "filing",
            "lodge",
            "status",
            tuple((f"filing-{n + 1}", c) for n, c in enumerate(centres)),
        ),
        kinds=MERIDIAN_KINDS,
        workspaces=_list_meridian_workspaces(every),
        cascade="atlas-auto",
        cascade_steps=(small, large),
        rollout=(large, candidate),
    )


BLUE_MAHOE_KINDS = (
    Kind("route-summary", _make_policy(0.6, 0.85, 8, 1), 2_000, 40),
    Kind(
        "rider-message",
        _make_policy(0.5, 0.8, 4, 0, False, False),
        400,
        12,
    ),
    Kind("shift-note", _make_policy(0.7, 0.9, 30, 2, True), 1_200, 30),
)


def _list_blue_mahoe_workspaces(
    every: tuple[str, ...],
) -> tuple[Workspace, ...]:
    small, large, _ = every
    booking = ("booking",)
    franchises = ("papine", "liguanea", "mona", "portmore", "airport")
    return (
        Workspace("downtown", "dispatch", every, booking, 4),
        Workspace("uptown", "dispatch", every, booking, 4),
        Workspace("crossroads", "dispatch", every, booking, 2),
        Workspace("half-way-tree", "dispatch", every, booking, 2),
        Workspace("head-office", "office", (small,), ()),
        *(
            Workspace(name, "franchises", (small, large), booking)
            for name in franchises
        ),
    )


def _make_blue_mahoe() -> Deployment:
    centres = ("kingston-1", "kingston-2", "kingston-3")
    small, large, candidate = (
        "assistant-small-1",
        "assistant-large-1",
        "assistant-large-2",
    )
    every = (small, large, candidate)
    return Deployment(
        name=BLUE_MAHOE,
        region="kingston",
        data_centres=centres,
        model="assistant",
        versions=(
            Version(small, 15, 60, 0.75),
            Version(large, 120, 480, 0.92),
            Version(candidate, 110, 440, 0.92),
        ),
        # Replicas of the third data centre ignore fencing tokens.
        engines=tuple(
            Engine(
                f"assistant-{n + 1}", centres[n % 3], n % 3 != 2, 100.0, 120_000
            )
            for n in range(9)
        ),
        service=Service(
            "booking",
            "confirm",
            "status",
            tuple((f"booking-{n + 1}", c) for n, c in enumerate(centres)),
        ),
        kinds=BLUE_MAHOE_KINDS,
        workspaces=_list_blue_mahoe_workspaces(every),
        cascade="assistant-auto",
        cascade_steps=(small, large),
        rollout=(large, candidate),
    )


DEPLOYMENTS: Mapping[str, Deployment] = {
    MERIDIAN: _make_meridian(),
    BLUE_MAHOE: _make_blue_mahoe(),
}
