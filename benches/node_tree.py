"""Settings tree of the target scale, cut in proportion to a fleet."""

import json
from typing import Any

from sycamorehollow.model import deployment
from sycamorehollow.settings import tree

DATA_CENTRES = 7
TARGET_NODES = 370
TARGET_UPSTREAMS = 660
TEAMS = 10
WORKSPACES_PER_TEAM = 10
VERSIONS = {
    "small": ("small-1", "small-2"),
    "middle": ("middle-1", "middle-2"),
    "large": ("large-1", "large-2"),
    "checker": ("checker-1",),
}
KINDS: dict[str, dict[str, Any]] = {
    "chapter": {"deadline_s": 600.0, "priority": 2},
    "caption": {"deadline_s": 60.0},
    "check": {"deadline_s": 30.0, "priority": 0, "gate": True},
    "dispatch": {"deadline_s": 30.0, "explore": False},
}
CAPACITY_TOKENS = 500_000


def name_data_centre(number: int) -> str:
    """Returns the data centre of the node or upstream with a number."""
    return f"dc-{number % DATA_CENTRES}"


def count_upstreams(nodes: int) -> int:
    """Returns the replicas in front of which a fleet stands."""
    return max(DATA_CENTRES, round(nodes * TARGET_UPSTREAMS / TARGET_NODES))


def build_platform(upstreams: int) -> dict[str, Any]:
    """Returns the platform branch with a number of replicas."""
    names = [name for group in VERSIONS.values() for name in group]
    price = {"prompt_price": 1000, "output_price": 3000}
    return {
        "nonce": "platform",
        "models": {
            model: {"versions": {name: price for name in group}}
            for model, group in VERSIONS.items()
        },
        "data_centres": {
            name_data_centre(number): {"region": f"region-{number % 3}"}
            for number in range(DATA_CENTRES)
        },
        "upstreams": {
            f"replica-{number:03d}": {
                "url": f"http://10.9.{number // 200}.{number % 200}:8000",
                "data_centre": name_data_centre(number),
                "versions": names,
                "capacity_tokens": CAPACITY_TOKENS,
                "bearable": 4,
            }
            for number in range(upstreams)
        },
    }


def build_team(team: int, nonce: int) -> dict[str, Any]:
    """Returns a team's branch; the first team has a roll-out."""
    names = [name for group in VERSIONS.values() for name in group]
    policy = {"quality_threshold": 0.5, "quality_target": 0.8}
    branch: dict[str, Any] = {
        "nonce": f"team-{nonce}",
        "workspaces": {
            f"team-{team}-{place}": {
                "key_hashes": [f"{team * 1000 + place:064x}"],
                "versions": names,
                "weight": 1 + nonce % 9,
                "kinds": {
                    name: {**policy, **kind} for name, kind in KINDS.items()
                },
            }
            for place in range(WORKSPACES_PER_TEAM)
        },
        "cascades": {f"cheap-{team}": {"steps": ["small-1", "large-1"]}},
    }
    if team == 0:
        branch["rollouts"] = {
            "small": {
                "model": "small",
                "baseline": "small-1",
                "candidate": "small-2",
                "stages": [0.05, 0.25, 1.0],
            }
        }
    return branch


def build_values(upstreams: int) -> dict[str, str]:
    """Returns the documents in the store by key."""
    values = {"config/platform": json.dumps(build_platform(upstreams))}
    for team in range(TEAMS):
        values[f"config/team-{team}"] = json.dumps(build_team(team, 0))
    return values


class SharedConversion:
    """Converts equal trees once, so that a fleet shares the result.

    The cost of the conversion itself is measured separately.
    """

    def __init__(self) -> None:
        self._known: dict[Any, Any] = {}

    def __call__(self, branches: tree.Branches, accepted: Any = ()) -> Any:
        """Returns what `tree.convert` returns."""
        revisions = tuple(sorted((b, r) for b, (r, _) in branches.items()))
        key = (revisions, tuple(sorted(accepted)))
        if key not in self._known:
            self._known[key] = tree.convert(branches, accepted)
        return self._known[key]


def convert_target() -> deployment.Deployment:
    """Converts the settings tree of the target scale."""
    values = build_values(TARGET_UPSTREAMS)
    branches = {
        key.removeprefix("config/"): (number, json.loads(text))
        for number, (key, text) in enumerate(values.items(), 1)
    }
    return tree.convert(branches)[0]
