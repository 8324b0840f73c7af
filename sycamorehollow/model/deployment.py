"""The configuration in force, as data classes."""

from collections.abc import Mapping
import dataclasses
import enum


class ServingState(enum.Enum):
    """Whether a version takes new work."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"


class Presence(enum.Enum):
    """Whether operators let a data centre or upstream take new work."""

    IN_SERVICE = "in"
    DRAINING = "leaving"
    OUT_OF_SERVICE = "out"


@dataclasses.dataclass(frozen=True)
class Version:
    """One version of a model.

    Prices are in micro-units of currency per 1,000 tokens.
    """

    name: str
    model: str
    prompt_price: int
    output_price: int
    state: ServingState = ServingState.SERVING


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre."""

    name: str
    region: str
    presence: Presence = Presence.IN_SERVICE


@dataclasses.dataclass(frozen=True)
class Upstream:
    """A replica that the router sends work to.

    Attributes:
        name: Unique name.
        url: Base URL, by IP number.
        data_centre: Where it stands.
        versions: Versions that it serves; empty for a plain service.
        capacity_tokens: Tokens that its memory holds.
        bearable: Requests that it bears at once in a cold start.
        checks_fence: Whether it refuses orders with an old fencing number.
        presence: Whether operators let it take new work.
    """

    name: str
    url: str
    data_centre: str
    versions: tuple[str, ...] = ()
    capacity_tokens: int = 0
    bearable: int = 1
    checks_fence: bool = False
    presence: Presence = Presence.IN_SERVICE


@dataclasses.dataclass(frozen=True)
class Operation:
    """An operation of a plain service."""

    name: str
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service and its replicas."""

    name: str
    upstreams: tuple[str, ...]
    operations: Mapping[str, Operation]


@dataclasses.dataclass(frozen=True)
class KindPolicy:
    """How a workspace wants one kind of request handled.

    Attributes:
        name: Name of the kind.
        quality_threshold: Rating in [0, 1] from which an answer is accepted.
        quality_target: Share of answers in [0, 1] that must be accepted.
        deadline_s: Default deadline in seconds.
        priority: Lower numbers go first.
        gate: Whether an answer is rated before it is delivered.
        explore: Whether versions may be tried to learn their quality.
    """

    name: str
    quality_threshold: float = 0.0
    quality_target: float = 0.0
    deadline_s: float = 60.0
    priority: int = 1
    gate: bool = False
    explore: bool = True


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A workspace and what it may use."""

    name: str
    team: str
    key_hashes: tuple[str, ...]
    versions: frozenset[str]
    services: frozenset[str]
    weight: int = 1
    kinds: Mapping[str, KindPolicy] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Cascade:
    """Versions to try in order, cheaper ones first.

    Attributes:
        name: Unique name, used by callers as a model name.
        steps: Names of versions, nested cascades already resolved.
    """

    name: str
    team: str
    steps: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Rollout:
    """A roll-out of one version in place of another.

    Attributes:
        name: Unique name.
        model: The model whose requests are split.
        baseline: Version in service.
        candidate: Version that is rolled out.
        stages: Shares in [0, 1] of the candidate, rising.
    """

    name: str
    team: str
    model: str
    baseline: str
    candidate: str
    stages: tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Everything that is in force on a node.

    Attributes:
        revisions: Store revision of each branch that is in force.
    """

    versions: Mapping[str, Version] = dataclasses.field(default_factory=dict)
    data_centres: Mapping[str, DataCentre] = dataclasses.field(
        default_factory=dict
    )
    upstreams: Mapping[str, Upstream] = dataclasses.field(default_factory=dict)
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = dataclasses.field(
        default_factory=dict
    )
    cascades: Mapping[str, Cascade] = dataclasses.field(default_factory=dict)
    rollouts: Mapping[str, Rollout] = dataclasses.field(default_factory=dict)
    revisions: Mapping[str, int] = dataclasses.field(default_factory=dict)
