"""Choice of the next step after a failed attempt.

A broken or silent stream is resumed at the same upstream first, so that no run
is repeated while the first one may still be running.
"""

import dataclasses

from sycamorehollow.decisions.requests import active_requests
from sycamorehollow.decisions.requests import retries
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle

# Consecutive broken or failed connections after which a run counts as lost.
MAX_CONSECUTIVE_LOSSES = 3
# Unanswered resumes after which a request without delivered output may fail
# over; a live upstream answers each resume at once.
MAX_UNANSWERED_RESUMES = 1
# Delay after a refused resume, unless the upstream names one.
RESUME_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Resume:
    """Resume the stream at the same upstream after a delay."""

    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Failover:
    """Start on another upstream if one accepts the request now, else resume.

    Attributes:
        resume: The step to take if none does.
    """

    resume: Resume


@dataclasses.dataclass(frozen=True)
class Retry:
    """Start another attempt after a delay."""

    delay_s: float


Step = Resume | Failover | Retry | failures.Failure


@dataclasses.dataclass(frozen=True)
class RunState:
    """State of a run whose connection has ended.

    Attributes:
        has_delivered: Whether a chunk may have reached the caller.
        is_resumed: Whether the run has been resumed before.
        unanswered_resumes: Consecutive resumes without a response.
        consecutive_losses: Consecutive connections that broke or could not be
            established.
        deadline: Deadline of the request, monotonic time in seconds.
        expected_duration_s: Expected duration of another attempt in seconds.
    """

    has_delivered: bool
    is_resumed: bool
    unanswered_resumes: int
    consecutive_losses: int
    deadline: float
    expected_duration_s: float


class Recovery:
    """Chooses between a resume, a failover, a retry and a failure.

    A broken or silent stream is resumed at the same upstream first, so that
    nothing is executed twice. A model request has no effect except its answer,
    so it may run again elsewhere until a chunk has been delivered. A run that
    may still be executing is abandoned only when another one is admitted.
    """

    def __init__(self, retry_budget: retries.RetryBudget):
        self._retry_budget = retry_budget

    def start(self, request_id: str, now: float) -> None:
        """Records a new request, which adds to the retry budget."""
        self._retry_budget.handle(retries.RequestStarted(request_id), now)

    def record_failover(self, request_id: str, now: float) -> None:
        """Records a failover, which is charged to the retry budget."""
        self._retry_budget.handle(retries.AttemptReplaced(request_id), now)

    def end(self, request_id: str, now: float) -> None:
        """Drops the retry state of a request."""
        self._retry_budget.handle(retries.RequestEnded(request_id), now)

    def find_refusal(self, request_id: str, run: RunState, now: float) -> str:
        """Returns why another attempt is not allowed now, or empty."""
        return self._retry_budget.find_refusal(
            request_id, run.deadline, run.expected_duration_s, now
        )

    def choose_step(
        self, event: lifecycle.AttemptFailed, run: RunState, now: float
    ) -> Step:
        """Returns the next step of a request whose attempt failed."""
        if event.end is lifecycle.AttemptEnd.REJECTED:
            return failures.InvalidRequest(
                f"The upstream rejected the request: {event.code}."
            )
        if can_resume(event, run) and now < run.deadline:
            resume = Resume(_get_resume_delay_s(event))
            if (
                run.has_delivered
                or run.unanswered_resumes < MAX_UNANSWERED_RESUMES
            ):
                return resume
            return Failover(resume)
        event = get_run_end(event, run.is_resumed)
        outcome = retries.FailedAttempt(
            0 if event.end is lifecycle.AttemptEnd.NOT_SENT else 1,
            event.end is lifecycle.AttemptEnd.REFUSED,
            1 if run.has_delivered else 0,
            f"The attempt at the upstream ended as {event.end.value}.",
        )
        results = self._retry_budget.handle(
            retries.AttemptFailed(
                event.request_id,
                outcome,
                True,
                run.deadline,
                run.expected_duration_s,
            ),
            now,
        )
        for command in results:
            if isinstance(command, retries.RetryRequest):
                return Retry(command.delay_s)
            if isinstance(command, retries.GiveUp):
                return command.failure
        raise AssertionError("the retry budget gave no decision")


def is_connection_loss(event: lifecycle.AttemptFailed) -> bool:
    """Returns whether a connection broke or could not be established."""
    return event.end in (
        lifecycle.AttemptEnd.BROKEN,
        lifecycle.AttemptEnd.NOT_SENT,
    )


def can_resume(event: lifecycle.AttemptFailed, run: RunState) -> bool:
    """Returns whether a run may still be executing and can be resumed.

    Silence and a refused resume say nothing about the run. A single broken
    connection, or one that was not established in time, is weak evidence;
    several in a row mean that the upstream is lost.
    """
    match event.end:
        case lifecycle.AttemptEnd.SILENT:
            return True
        case lifecycle.AttemptEnd.REFUSED:
            return run.is_resumed
        case lifecycle.AttemptEnd.NOT_SENT:
            resumable = run.is_resumed and not event.connection_refused
        case lifecycle.AttemptEnd.BROKEN:
            resumable = event.received_events > 0
        case _:
            return False
    return resumable and run.consecutive_losses < MAX_CONSECUTIVE_LOSSES


def get_run_end(
    event: lifecycle.AttemptFailed, is_resumed: bool
) -> lifecycle.AttemptFailed:
    """Returns the event with an end that applies to the whole run.

    A resume that reaches no upstream does not undo the run that it should have
    continued; that run may even have crashed the upstream.
    """
    if not is_resumed or event.end not in active_requests.NOT_STARTED_ENDS:
        return event
    return dataclasses.replace(event, end=lifecycle.AttemptEnd.LOST)


def _get_resume_delay_s(event: lifecycle.AttemptFailed) -> float:
    if event.end is not lifecycle.AttemptEnd.REFUSED:
        return 0.0
    return event.retry_after_s or RESUME_DELAY_S
