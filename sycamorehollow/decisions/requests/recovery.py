"""What happens after an attempt failed."""

import dataclasses

from sycamorehollow.decisions.requests import active_requests
from sycamorehollow.decisions.requests import retries
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle

# Connections in a row that break or are not made before a run counts as lost.
MAX_CONSECUTIVE_LOSSES = 3
# Resumes that an upstream may leave unanswered before a request that its caller
# has nothing of may move; a live upstream answers each one at once.
MAX_UNANSWERED_RESUMES = 1
# Time in seconds before an upstream that refused a resume is asked again,
# unless it names one.
RESUME_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Resume:
    """Continue the stream at the same upstream after a delay in seconds."""

    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Failover:
    """Start elsewhere if another upstream takes it now, else resume.

    Attributes:
        resume: How the stream continues if none does.
    """

    resume: Resume


@dataclasses.dataclass(frozen=True)
class Retry:
    """Start another attempt after a delay in seconds."""

    delay_s: float


Step = Resume | Failover | Retry | failures.Failure


@dataclasses.dataclass(frozen=True)
class RunState:
    """The run of a request whose connection is over.

    Attributes:
        has_delivered: Whether a chunk may have reached the caller.
        is_resumed: Whether the connection was to resume it.
        unanswered_resumes: Resumes in a row that were not answered.
        consecutive_losses: Connections in a row that broke or were not made.
        deadline: Monotonic time in seconds.
        expected_duration_s: Expected duration of another attempt in seconds.
    """

    has_delivered: bool
    is_resumed: bool
    unanswered_resumes: int
    consecutive_losses: int
    deadline: float
    expected_duration_s: float


class Recovery:
    """Chooses between resuming, starting elsewhere and giving up.

    A broken or silent stream is resumed at the same upstream first, so that
    nothing runs twice. A model request has no effect but its answer, so it may
    run again elsewhere until a chunk was delivered. A run that may go on is
    given up only for one that is admitted.
    """

    def __init__(self, budget: retries.RetryBudget):
        self._budget = budget

    def start(self, request_id: str, now: float) -> None:
        """Counts a request as fresh work."""
        self._budget.handle(retries.RequestStarted(request_id), now)

    def record_failover(self, request_id: str, now: float) -> None:
        """Counts a move, which is taken from the budget of retries."""
        self._budget.handle(retries.AttemptReplaced(request_id), now)

    def end(self, request_id: str, now: float) -> None:
        """Forgets a request."""
        self._budget.handle(retries.RequestEnded(request_id), now)

    def find_refusal(self, request_id: str, run: RunState, now: float) -> str:
        """Returns the rule that refuses another attempt now, or empty."""
        return self._budget.find_refusal(
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
            resume = Resume(_find_delay_s(event))
            if (
                run.has_delivered
                or run.unanswered_resumes < MAX_UNANSWERED_RESUMES
            ):
                return resume
            return Failover(resume)
        event = resolve_run_end(event, run.is_resumed)
        outcome = retries.FailedAttempt(
            0 if event.end is lifecycle.AttemptEnd.NOT_SENT else 1,
            event.end is lifecycle.AttemptEnd.REFUSED,
            1 if run.has_delivered else 0,
            f"The attempt at the upstream ended as {event.end.value}.",
        )
        decided = self._budget.handle(
            retries.AttemptFailed(
                event.request_id,
                outcome,
                True,
                run.deadline,
                run.expected_duration_s,
            ),
            now,
        )
        for command in decided:
            if isinstance(command, retries.RetryRequest):
                return Retry(command.delay_s)
            if isinstance(command, retries.GiveUp):
                return command.failure
        raise AssertionError("the retry budget gave no decision")


def is_connection_loss(event: lifecycle.AttemptFailed) -> bool:
    """Tells whether a connection broke or was not made."""
    return event.end in (
        lifecycle.AttemptEnd.BROKEN,
        lifecycle.AttemptEnd.NOT_SENT,
    )


def can_resume(event: lifecycle.AttemptFailed, run: RunState) -> bool:
    """Tells whether a run may still go on at its upstream.

    Silence and a refusal of the resume tell nothing about the run. A broken
    connection, or one that was not made in time, tells little, and several in
    a row that the upstream is lost.
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


def resolve_run_end(
    event: lifecycle.AttemptFailed, resumed: bool
) -> lifecycle.AttemptFailed:
    """Returns the event with an end that holds for the whole run.

    A resume that reaches no upstream does not undo the run that it was meant
    to continue, which may even have crashed the upstream.
    """
    if not resumed or event.end not in active_requests.NOT_STARTED_ENDS:
        return event
    return dataclasses.replace(event, end=lifecycle.AttemptEnd.LOST)


def _find_delay_s(event: lifecycle.AttemptFailed) -> float:
    if event.end is not lifecycle.AttemptEnd.REFUSED:
        return 0.0
    return event.retry_after_s or RESUME_DELAY_S
