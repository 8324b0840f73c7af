"""Data classes of the configuration in force."""

from collections.abc import Mapping
import dataclasses
import enum


class ServingState(enum.Enum):
    """Whether a version takes new work."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"


class Presence(enum.Enum):
    """Whether operators allow a data centre or upstream to take new work."""

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
        url: Base URL with an IP address.
        data_centre: Data centre that it is located in.
        versions: Versions that it serves; empty for a plain service.
        capacity_tokens: Tokens that fit into its memory.
        bearable: Concurrent requests that it can handle while cold.
        checks_fence: Whether it refuses orders with a stale fencing token.
        presence: Whether operators allow it to take new work.
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
    """How one kind of request of a workspace is handled.

    Attributes:
        name: Name of the kind.
        quality_threshold: Lowest rating, in [0, 1], of an accepted answer.
        quality_target: Share of answers, in [0, 1], that must be accepted.
        deadline_s: Default time from arrival to the deadline.
        priority: Priority; lower numbers go first.
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
    """A workspace, with the versions and services that it may use."""

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
        steps: Names of versions, with nested cascades resolved.
    """

    name: str
    team: str
    steps: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Rollout:
    """A roll-out that replaces one version by another.

    Attributes:
        name: Unique name.
        model: The model whose requests are split.
        baseline: Version in service.
        candidate: Version that is rolled out.
        stages: Increasing shares, in [0, 1], of the candidate.
    """

    name: str
    team: str
    model: str
    baseline: str
    candidate: str
    stages: tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The complete configuration in force on a node.

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
