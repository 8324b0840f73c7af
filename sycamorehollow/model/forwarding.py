"""What is known of routes, upstreams and orders when requests are forwarded."""

from collections.abc import Mapping
import dataclasses
import enum


class RouteKind(enum.Enum):
    """What a route allows when an attempt has failed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that a route sends a share of its requests to."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """A host and path prefix, and how its requests are handled.

    Attributes:
        path_prefix: Starts and ends with a slash.
        timeout_s: Longest time in seconds until the final answer.
        objective_s: Seconds to the answer, or the first event of a stream,
            for full value.
        priority: 0 is the most urgent.
        max_attempts: Upstreams on which one request may run.
        auth_exempt: Whether no API key is needed.
        resumable: Whether a broken stream may go on at another upstream.
        session_affinity: Whether requests share parts of their prompts.
        models: Models to choose from, smallest first; empty when the caller
            names the model.
        max_event_gap_s: Longest pause between the events of a stream that
            meets its objective.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    auth_exempt: bool = False
    resumable: bool = False
    session_affinity: bool = False
    models: tuple[str, ...] = ()
    max_event_gap_s: float = 0.0

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run a second time."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of interchangeable upstreams.

    Attributes:
        max_connections: Connections that an upstream takes from all callers.
        cold_requests_per_s: Request rate that a cold upstream tolerates; 0 if
            the upstreams start warm.
    """

    name: str
    max_connections: int
    cold_requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Longest request head.
        body_bytes: Longest request body.
        header_timeout_s: Seconds in which the head has to arrive.
        idle_timeout_s: Seconds for which an idle connection is kept.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Workspace:
    """Owner of API keys.

    Attributes:
        priority: Overrides that of the route; `None` for no override.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One whole configuration; a higher version replaces it.

    Attributes:
        workspaces: Owner of each API key; `None` when no keys are needed.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    workspaces: Mapping[str, Workspace] | None


@dataclasses.dataclass(frozen=True)
class Upstream:
    """One run of an upstream, as it registered itself.

    Attributes:
        identity: Identifies the upstream, not always its run.
        started_ms: Unix milliseconds of its start; 0 when unknown. A restart
            under the same identity has another value.
        cold_s: Seconds for which it stays cold after it reported.
        models: Models that it serves; empty for a plain service.
    """

    identity: str
    service: str
    host: str
    port: int
    data_centre: str
    version: str
    slots: int
    draining: bool
    cold_s: float = 0.0
    started_ms: int = 0
    models: tuple[str, ...] = ()

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifies one run of the upstream."""
        return self.identity, self.started_ms


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        duration_s: Seconds in which it is to be completed.
        revision: Store revision of the order, which tells repeats apart.
    """

    service: str
    target: str
    duration_s: float
    revision: int


class RolloutState(enum.Enum):
    """How far a roll-out has come."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """What the system last stated about a roll-out."""

    service: str
    target: str
    state: RolloutState
    revision: int


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request, decoded.

    Attributes:
        request_id: Unique per attempt of the caller.
        deadline_s: Seconds that the caller waits; `None` when not stated.
        api_key: Key without its scheme; empty when missing.
        any_model: Whether the caller leaves the choice of the model open.
        prompt_tokens: 0 for a request that is no generation.
        output_tokens: Upper bound of the tokens to generate.
        prompt_parts: Parts of the prompt in order; the last one is the
            request's own or its session's.
        session: Ties requests together; empty for none.
        last_event_id: Last event of a stream that the caller already has.
    """

    request_id: str
    method: str
    host: str
    path: str
    deadline_s: float | None
    api_key: str = ""
    any_model: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    session: str = ""
    last_event_id: str = ""

    def get_session_key(self, route: Route) -> str:
        """Returns what ties requests to each other, or its own identity."""
        if self.session:
            return self.session
        if route.session_affinity and self.prompt_parts:
            return self.prompt_parts[-1].identity
        return self.request_id


@dataclasses.dataclass(frozen=True)
class Load:
    """What an upstream says of its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class DecodedHead:
    """The head of an upstream's answer, decoded.

    Attributes:
        request_id: The request it answers; empty when it does not say.
        sealed: Whether the upstream vouches for the answer.
        not_run: Whether the upstream states that it did not run the request.
        misdirected: Whether another upstream runs at the address.
        encoded: Whether the body was changed on its way.
        confidence: The model's opinion of its answer, 0 to 100.
        load: `None` when the upstream does not say.
        keep_alive_s: Seconds for which the upstream keeps an idle connection.
        cold_s: Seconds for which it stays cold; `None` when it does not say.
    """

    status: int
    request_id: str = ""
    sealed: bool = False
    not_run: bool = False
    misdirected: bool = False
    encoded: bool = False
    confidence: int | None = None
    load: Load | None = None
    keep_alive_s: float | None = None
    cold_s: float | None = None
