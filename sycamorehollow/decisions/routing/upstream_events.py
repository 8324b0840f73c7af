"""Events about upstreams and the attempts at them."""

import dataclasses
import enum

from sycamorehollow.model import deployment
from sycamorehollow.model import events


class AttemptStatus(enum.Enum):
    """How an attempt ended.

    Attributes:
        COMPLETED: The response is complete.
        REFUSED: The upstream responded that it did not run the request.
        LOST: The connection was lost or timed out without data.
        FAILED: The upstream responded with another error.
        CANCELLED: The router or the caller cancelled it.
    """

    COMPLETED = "completed"
    REFUSED = "refused"
    LOST = "lost"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class UpstreamsConfigured(events.Event):
    """The configured upstreams; replaces the previous ones."""

    upstreams: tuple[deployment.Upstream, ...]


@dataclasses.dataclass(frozen=True)
class LoadReported(events.Event):
    """A load report was received.

    Attributes:
        upstream: Name of the upstream.
        measured_at: Local monotonic time in seconds of the reported state: the
            send time of the poll, less the upstream's known lag.
        generation: Number of the upstream's run; a restart has a higher one.
        cold: Whether the upstream is in a cold start.
        bearable: Requests that it can run at once while cold.
        held_tokens: Tokens in its memory.
        capacity_tokens: Tokens that its memory holds.
        running: Requests that run.
        queued: Requests that wait at the upstream.
    """

    upstream: str
    measured_at: float
    generation: int
    cold: bool
    bearable: int
    held_tokens: int
    capacity_tokens: int
    running: int = 0
    queued: int = 0


@dataclasses.dataclass(frozen=True)
class AttemptStarted(events.Event):
    """This process starts an attempt; emitted before any byte is written.

    Attributes:
        attempt: Identity of the attempt, unique in this process.
        upstream: Name of the upstream.
        tokens: Prompt and expected output in tokens.
        fingerprint: Hash of the workspace and the content.
    """

    attempt: str
    upstream: str
    tokens: int
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True)
class AttemptEnded(events.Event):
    """An attempt of this process has ended.

    Attributes:
        code: Error code of the upstream's refusal, or empty.
    """

    attempt: str
    upstream: str
    status: AttemptStatus
    code: str = ""


@dataclasses.dataclass(frozen=True)
class ConnectFailed(events.Event):
    """The host of an upstream refused a connection: no process listens."""

    upstream: str


@dataclasses.dataclass(frozen=True)
class ConnectTimedOut(events.Event):
    """A connection to an upstream could not be made and was not refused.

    The network or this process may be the cause, so the event says nothing
    about the requests that the upstream runs.
    """

    upstream: str


@dataclasses.dataclass(frozen=True)
class PollUnanswered(events.Event):
    """An upstream did not report its load in time.

    It may be paused, so the event says nothing about the requests that it runs.
    """

    upstream: str


@dataclasses.dataclass(frozen=True)
class ReturnedToService(events.Event):
    """An upstream accepts new work again after a drain."""

    upstream: str
