"""Data model of forwarded requests: routes, upstreams, roll-outs, messages."""

from collections.abc import Mapping
import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """Kind of a route, which decides whether requests may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Handling of the requests to a host and path prefix.

    Attributes:
        path_prefix: Starts and ends with a slash.
        timeout_s: Limit on the time to the final response.
        objective_s: Latency objective for the response, or for the first event
            of a stream.
        priority: Lower numbers are more urgent; 0 is the most urgent.
        max_attempts: Maximum number of upstreams that may run a request.
        auth_exempt: Whether requests need no API key.
        resumable: Whether another upstream may continue a broken stream.
        session_affinity: Whether requests share prompt prefixes.
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
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclasses.dataclass(frozen=True)
class Scaling:
    """Limits on the number of a service's upstreams per data centre.

    Attributes:
        boot_time_s: Time from an order until the new upstreams serve.
    """

    min_count: int
    max_count: int
    boot_time_s: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """Model engines that are the upstreams of a service.

    Attributes:
        slots: Requests that one runs at once; 0 if not stated.
        cache_tokens: Tokens that its cache holds; 0 if not stated.
        model_costs: Relative cost of each model; 0 if not stated.
        prefill_budget: Whether upstreams are chosen by the prefill that is
            outstanding at them.
    """

    slots: int = 0
    cache_tokens: int = 0
    model_costs: Mapping[str, float] = dataclasses.field(default_factory=dict)
    prefill_budget: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of interchangeable upstreams.

    Attributes:
        max_connections: Connections that an upstream accepts in total.
        cold_requests_per_s: Request rate that a cold upstream tolerates; 0 if
            the upstreams start warm.
        health_path: Path of its health checks; empty if there are none.
        scaling: Limits on its number of upstreams; `None` if it is not scaled.
        engine: The engines that are its upstreams; `None` for a plain service.
    """

    name: str
    max_connections: int
    cold_requests_per_s: float = 0.0
    health_path: str = ""
    scaling: Scaling | None = None
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Time within which the head must arrive.
        idle_timeout_s: Time for which an idle connection is kept open.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Workspace:
    """Owner of API keys.

    Attributes:
        priority: Overrides the priority of routes; `None` for no override.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A complete configuration, which one of a higher version replaces.

    Attributes:
        workspaces: Owner of each API key; `None` if no keys are needed.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    workspaces: Mapping[str, Workspace] | None


@dataclasses.dataclass(frozen=True)
class Upstream:
    """One incarnation of an upstream, as registered in the store.

    Attributes:
        identity: Identifies the upstream, possibly over several incarnations.
        started_ms: Unix time of its start; 0 if unknown. Differs after a
            restart under the same identity.
        cold_s: Time for which it remains cold after it registered.
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

    # Cached, as each choice of an upstream reads it several times for each
    # candidate.
    @functools.cached_property
    def incarnation(self) -> tuple[str, int]:
        """Identifies one incarnation of the upstream."""
        return self.identity, self.started_ms


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        duration_s: Time within which it is to be completed.
        revision: Store revision, which distinguishes repeated orders.
    """

    service: str
    target: str
    duration_s: float
    revision: int


class RolloutState(enum.Enum):
    """State of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """The published state of a roll-out."""

    service: str
    target: str
    state: RolloutState
    revision: int


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Request:
    """A decoded request.

    Attributes:
        request_id: Unique per attempt of the caller.
        deadline_s: Time that the caller waits; `None` if not stated.
        api_key: API key without its scheme; empty if missing.
        any_model: Whether the caller leaves the choice of the model open.
        prompt_tokens: 0 if the request generates no tokens.
        output_tokens: Upper bound of the number of generated tokens.
        prompt_parts: Parts of the prompt in order; the last one belongs to the
            request itself or to its session.
        session: Session of the request; empty for none.
        last_event_id: Latest event of a stream that the caller has received.
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
        """Returns the key shared by the requests of a session.

        Without a session this is the last prompt part on routes with session
        affinity, and the request's own identity elsewhere.
        """
        if self.session:
            return self.session
        if route.session_affinity and self.prompt_parts:
            return self.prompt_parts[-1].identity
        return self.request_id


@dataclasses.dataclass(frozen=True)
class Load:
    """Load that an upstream reports in a response.

    Attributes:
        time_factor: How long work takes there at this moment, relative to the
            usual time; `None` if not stated.
    """

    running: int
    waiting: int
    slots: int
    time_factor: float | None = None


@dataclasses.dataclass(frozen=True)
class DecodedHead:
    """The decoded head of an upstream's response.

    Attributes:
        request_id: Request that it responds to; empty if not stated.
        sealed: Whether the response carries the upstream's seal.
        not_run: Whether the upstream states that it did not run the request.
        misdirected: Whether another upstream runs at the address.
        encoded: Whether the body was encoded in transit.
        confidence: Confidence that the model reports, 0 to 100.
        load: Load of the upstream; `None` if not stated.
        keep_alive_s: Time for which the upstream keeps an idle connection.
        cold_s: Time for which it remains cold; `None` if not stated.
        limit_per_s: Requests per second that the upstream takes from all nodes
            together; `None` if not stated.
        limit_invalid: Whether a limit is stated that cannot be read.
        leaving: Whether the upstream is about to stop.
        retry_after_s: Time for which it asks for no requests of this node;
            `None` if not stated.
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
    limit_per_s: float | None = None
    limit_invalid: bool = False
    leaving: bool = False
    retry_after_s: float | None = None
