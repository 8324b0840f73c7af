"""What happens after an attempt failed."""

import dataclasses

from sycamorehollow.decisions.requests import active as actives
from sycamorehollow.decisions.requests import retries
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle

MAX_RESUMES = 3
# Resumes that an upstream may leave unanswered before a request that its caller
# has nothing of runs elsewhere; a live upstream answers each one at once.
MAX_SILENT_RESUMES = 1


@dataclasses.dataclass(frozen=True)
class Resume:
    """Continue the stream at the same upstream."""


@dataclasses.dataclass(frozen=True)
class Retry:
    """Start another attempt after a delay in seconds."""

    delay_s: float


Step = Resume | Retry | failures.Failure


class Recovery:
    """Chooses between resuming, retrying elsewhere and giving up.

    A broken or silent stream is resumed at the same upstream first, so that
    nothing runs twice. A model request has no effect but its answer, so it may
    run again elsewhere until a chunk was delivered.
    """

    def __init__(self, budget: retries.Retries):
        self._budget = budget

    def start(self, request_id: str, now: float) -> None:
        """Counts a request as fresh work."""
        self._budget.handle(retries.FreshWorkStarted(request_id), now)

    def end(self, request_id: str, now: float) -> None:
        """Forgets a request."""
        self._budget.handle(retries.RequestEnded(request_id), now)

    def choose(
        self,
        event: lifecycle.AttemptFailed,
        delivered: bool,
        resumes: int,
        deadline: float,
        needs_s: float,
        now: float,
    ) -> Step:
        """Returns the next step of a request whose attempt failed.

        Args:
            event: How the attempt failed.
            delivered: Whether a chunk may have reached the caller.
            resumes: Resumes of the attempt so far.
            deadline: Monotonic time in seconds.
            needs_s: Expected duration of another attempt in seconds.
            now: Monotonic time in seconds.
        """
        if event.end is lifecycle.AttemptEnd.REJECTED:
            return failures.InvalidRequest(
                f"The upstream rejected the request: {event.code}."
            )
        most = MAX_RESUMES if delivered else MAX_SILENT_RESUMES
        if _can_resume(event) and resumes < most and now < deadline:
            return Resume()
        outcome = retries.Outcome(
            0 if event.end is lifecycle.AttemptEnd.NOT_SENT else 1,
            event.end is lifecycle.AttemptEnd.REFUSED,
            1 if delivered else 0,
            f"The attempt at the upstream ended as {event.end.value}.",
        )
        decided = self._budget.handle(
            retries.AttemptFailed(
                event.request_id, outcome, True, deadline, needs_s
            ),
            now,
        )
        for command in decided:
            if isinstance(command, retries.RetryRequest):
                return Retry(command.delay_s)
            if isinstance(command, retries.GiveUp):
                return command.failure
        raise AssertionError("the retry budget gave no decision")


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


def _can_resume(event: lifecycle.AttemptFailed) -> bool:
    if event.end is lifecycle.AttemptEnd.SILENT:
        return True
    return event.end is lifecycle.AttemptEnd.BROKEN and event.received > 0
