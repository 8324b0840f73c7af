"""What happens after an attempt failed."""

import dataclasses

from sycamorehollow.decisions.requests import active as actives
from sycamorehollow.decisions.requests import retries
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle

# Connections in a row that break or are not made before a run counts as lost.
MAX_LOSSES = 3
# Resumes that an upstream may leave unanswered before a request that its caller
# has nothing of may move; a live upstream answers each one at once.
MAX_SILENT_RESUMES = 1
# Time in seconds before an upstream that refused a resume is asked again,
# unless it names one.
RESUME_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Resume:
    """Continue the stream at the same upstream after a delay in seconds."""

    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Move:
    """Start elsewhere if another upstream takes it now, else resume.

    Attributes:
        resume: How the stream continues if none does.
    """

    resume: Resume


@dataclasses.dataclass(frozen=True)
class Retry:
    """Start another attempt after a delay in seconds."""

    delay_s: float


Step = Resume | Move | Retry | failures.Failure


@dataclasses.dataclass(frozen=True)
class Run:
    """The run of a request whose connection is over.

    Attributes:
        delivered: Whether a chunk may have reached the caller.
        resumed: Whether the connection was to resume it.
        resumes: Resumes in a row that were not answered.
        losses: Connections in a row that broke or were not made.
        deadline: Monotonic time in seconds.
        needs_s: Expected duration of another attempt in seconds.
    """

    delivered: bool
    resumed: bool
    resumes: int
    losses: int
    deadline: float
    needs_s: float


class Recovery:
    """Chooses between resuming, starting elsewhere and giving up.

    A broken or silent stream is resumed at the same upstream first, so that
    nothing runs twice. A model request has no effect but its answer, so it may
    run again elsewhere until a chunk was delivered. A run that may go on is
    given up only for one that is admitted.
    """

    def __init__(self, budget: retries.Retries):
        self._budget = budget

    def start(self, request_id: str, now: float) -> None:
        """Counts a request as fresh work."""
        self._budget.handle(retries.FreshWorkStarted(request_id), now)

    def note_move(self, request_id: str, now: float) -> None:
        """Counts a move, which is taken from the budget of retries."""
        self._budget.handle(retries.AttemptMoved(request_id), now)

    def end(self, request_id: str, now: float) -> None:
        """Forgets a request."""
        self._budget.handle(retries.RequestEnded(request_id), now)

    def find_refusal(self, request_id: str, run: Run, now: float) -> str:
        """Returns the rule that refuses another attempt now, or empty."""
        return self._budget.find_refusal(
            request_id, run.deadline, run.needs_s, now
        )

    def choose(
        self, event: lifecycle.AttemptFailed, run: Run, now: float
    ) -> Step:
        """Returns the next step of a request whose attempt failed."""
        if event.end is lifecycle.AttemptEnd.REJECTED:
            return failures.InvalidRequest(
                f"The upstream rejected the request: {event.code}."
            )
        if may_go_on(event, run) and now < run.deadline:
            resume = Resume(_find_delay_s(event))
            if run.delivered or run.resumes < MAX_SILENT_RESUMES:
                return resume
            return Move(resume)
        event = cover_run(event, run.resumed)
        outcome = retries.Outcome(
            0 if event.end is lifecycle.AttemptEnd.NOT_SENT else 1,
            event.end is lifecycle.AttemptEnd.REFUSED,
            1 if run.delivered else 0,
            f"The attempt at the upstream ended as {event.end.value}.",
        )
        decided = self._budget.handle(
            retries.AttemptFailed(
                event.request_id, outcome, True, run.deadline, run.needs_s
            ),
            now,
        )
        for command in decided:
            if isinstance(command, retries.RetryRequest):
                return Retry(command.delay_s)
            if isinstance(command, retries.GiveUp):
                return command.failure
        raise AssertionError("the retry budget gave no decision")


def is_loss(event: lifecycle.AttemptFailed) -> bool:
    """Tells whether a connection broke or was not made."""
    return event.end in (
        lifecycle.AttemptEnd.BROKEN,
        lifecycle.AttemptEnd.NOT_SENT,
    )


def may_go_on(event: lifecycle.AttemptFailed, run: Run) -> bool:
    """Tells whether a run may still go on at its upstream.

    Silence and a refusal of the resume tell nothing about the run. A broken
    connection, or one that was not made in time, tells little, and several in
    a row that the upstream is lost.
    """
    match event.end:
        case lifecycle.AttemptEnd.SILENT:
            return True
        case lifecycle.AttemptEnd.REFUSED:
            return run.resumed
        case lifecycle.AttemptEnd.NOT_SENT:
            resumable = run.resumed and not event.refused
        case lifecycle.AttemptEnd.BROKEN:
            resumable = event.received > 0
        case _:
            return False
    return resumable and run.losses < MAX_LOSSES


def cover_run(
    event: lifecycle.AttemptFailed, resumed: bool
) -> lifecycle.AttemptFailed:
    """Returns the event with an end that holds for the whole run.

    A resume that reaches no upstream does not undo the run that it was meant
    to continue, which may even have crashed the upstream.
    """
    if not resumed or event.end not in actives.NOT_RUN:
        return event
    return dataclasses.replace(event, end=lifecycle.AttemptEnd.LOST)


def _find_delay_s(event: lifecycle.AttemptFailed) -> float:
    if event.end is not lifecycle.AttemptEnd.REFUSED:
        return 0.0
    return event.retry_after_s or RESUME_DELAY_S
