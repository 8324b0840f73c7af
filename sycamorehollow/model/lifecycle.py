"""Events and commands in the life of one model request."""

import dataclasses
import enum

from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests


class AttemptEnd(enum.Enum):
    """How an attempt at an upstream ended without a complete answer.

    Attributes:
        STOPPED: The router cancelled it.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    REJECTED = "rejected"
    BROKEN = "broken"
    SILENT = "silent"
    LOST = "lost"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True)
class DeploymentChanged(events.Event):
    """Another configuration is in force."""

    current: deployment.Deployment


@dataclasses.dataclass(frozen=True)
class AdmissionStopped(events.Event):
    """The process is shutting down and takes no new work."""


@dataclasses.dataclass(frozen=True)
class RequestArrived(events.Event):
    """A valid request of a known workspace has arrived."""

    request: requests.ModelRequest


@dataclasses.dataclass(frozen=True)
class CallerDisconnected(events.Event):
    """The caller closed its connection or was disconnected.

    Attributes:
        delivered_tokens: Output tokens that were written to the caller.
    """

    request_id: str
    delivered_tokens: int


@dataclasses.dataclass(frozen=True)
class FailureSent(events.Event):
    """The relay has sent the final failure to the caller.

    Attributes:
        delivered_tokens: Output tokens delivered to the caller before it.
    """

    request_id: str
    delivered_tokens: int


@dataclasses.dataclass(frozen=True)
class FirstChunkArrived(events.Event):
    """The first chunk of an attempt has arrived."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class AttemptCompleted(events.Event):
    """An attempt produced a complete answer.

    Attributes:
        answer: Events of the answer if they were buffered, else empty.
    """

    request_id: str
    attempt: int
    prompt_tokens: int
    output_tokens: int
    answer: bytes = b""


@dataclasses.dataclass(frozen=True)
class AttemptFailed(events.Event):
    """An attempt ended without a complete answer.

    Attributes:
        code: Failure code that the upstream gave, or empty.
        received_events: Events received so far, over all resumes.
        retry_after_s: Time until the upstream accepts work again, if stated.
        response_started: Whether the upstream had begun a response on this
            connection, so that silence may mean that it queues the work.
        connection_refused: Whether the host refused the connection, so that
            nothing listens there.
    """

    request_id: str
    attempt: int
    end: AttemptEnd
    code: str = ""
    received_events: int = 0
    retry_after_s: float | None = None
    response_started: bool = False
    connection_refused: bool = False


@dataclasses.dataclass(frozen=True)
class AnswerRated(events.Event):
    """The rating service has rated an answer.

    Attributes:
        answer_id: Identity of the answer.
        score: Rating in [0, 1].
    """

    answer_id: str
    score: float


@dataclasses.dataclass(frozen=True)
class StartAttempt(commands.Command):
    """Send a request to an upstream, or resume its stream there.

    Attributes:
        run_id: Identity of the run at the upstream, unchanged by a resume.
        url: Base URL of the upstream.
        buffer_chunks: Whether chunks are buffered until the request is
            finished.
        copy_for_rating: Whether a copy of the answer is kept for its rating.
        session: Session token to return to the caller, or empty.
        resume_from: Number of events already received; `None` for a new run.
        retain_previous: Whether the last complete answer is retained until
            this run has output for the caller.
        reason: Why this upstream and version were chosen, for the log.
    """

    request_id: str
    workspace: str
    attempt: int
    run_id: str
    upstream: str
    url: str
    version: str
    priority: int
    deadline: float
    buffer_chunks: bool
    copy_for_rating: bool = False
    session: str = ""
    resume_from: int | None = None
    retain_previous: bool = False
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class CancelAttempt(commands.Command):
    """Stop an attempt and cancel its stream at the upstream.

    Attributes:
        reason: Cause of the cancellation, for the log.
        report_end: Whether the end is reported, after all output of the
            attempt.
    """

    request_id: str
    attempt: int
    run_id: str
    url: str
    reason: str
    report_end: bool = False


@dataclasses.dataclass(frozen=True)
class FailRequest(commands.Command):
    """Send the final failure to the caller now."""

    request_id: str
    workspace: str
    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class FinishRequest(commands.Command):
    """Deliver the held end of the answer and finish the request.

    Attributes:
        fallback_reason: Why the retained answer of an earlier run is
            delivered, or empty for the answer of the last run.
    """

    request_id: str
    upstream: str
    version: str
    fallback_reason: str = ""


@dataclasses.dataclass(frozen=True)
class RequestRating(commands.Command):
    """Request the rating of an answer from the rating service.

    Attributes:
        prompt: Start of the prompt.
        answer: Events of the answer.
    """

    request_id: str
    answer_id: str
    workspace: str
    kind: str
    version: str
    prompt: bytes
    answer: bytes
