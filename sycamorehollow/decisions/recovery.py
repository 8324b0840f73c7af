"""What happens after an attempt failed."""

import dataclasses
import enum

from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle

MAX_RESUMES = 3
MAX_RETRIES = 2


class Step(enum.Enum):
    """The next step of a request."""

    RESUME = "resume"
    RETRY = "retry"
    GIVE_UP = "give_up"


@dataclasses.dataclass(frozen=True)
class Progress:
    """How far a request has come.

    Attributes:
        delivered: Whether a chunk may have reached the caller.
        resumes: Resumes of the current attempt.
        retries: Attempts that were started after a failure.
        in_time: Whether the deadline allows another attempt.
        in_budget: Whether the retry budget allows another attempt.
    """

    delivered: bool
    resumes: int
    retries: int
    in_time: bool
    in_budget: bool


def choose_step(event: lifecycle.AttemptFailed, progress: Progress) -> Step:
    """Chooses between resuming, retrying elsewhere and giving up.

    A broken or silent stream is resumed at the same upstream, so that nothing
    runs twice. A model request has no effect but its answer, so it may run
    again elsewhere until a chunk was delivered.
    """
    if event.end is lifecycle.AttemptEnd.REJECTED or not progress.in_time:
        return Step.GIVE_UP
    if _can_resume(event) and progress.resumes < MAX_RESUMES:
        return Step.RESUME
    if progress.delivered:
        return Step.GIVE_UP
    if progress.retries >= MAX_RETRIES or not progress.in_budget:
        return Step.GIVE_UP
    return Step.RETRY


def describe_failure(
    event: lifecycle.AttemptFailed, progress: Progress
) -> failures.Failure:
    """Returns the final failure for the caller."""
    if progress.delivered:
        return failures.AnswerTruncated(
            "The upstream failed before the answer was whole.",
            run=failures.Run.UNKNOWN,
        )
    if event.end is lifecycle.AttemptEnd.REJECTED:
        return failures.InvalidRequest(
            f"The upstream rejected the request: {event.code}."
        )
    if not progress.in_time:
        return failures.DeadlineExceeded(
            "The deadline passed before an upstream answered.",
            run=_describe_run(event),
        )
    return failures.UpstreamFailed(
        "The upstream failed and the request could not be retried.",
        run=_describe_run(event),
        retry_after_s=event.retry_after_s or 1.0,
    )


def _can_resume(event: lifecycle.AttemptFailed) -> bool:
    if event.end is lifecycle.AttemptEnd.SILENT:
        return True
    return event.end is lifecycle.AttemptEnd.BROKEN and event.received > 0


def _describe_run(event: lifecycle.AttemptFailed) -> failures.Run:
    if event.end in (
        lifecycle.AttemptEnd.NOT_SENT,
        lifecycle.AttemptEnd.REFUSED,
    ):
        return failures.Run.NO
    return failures.Run.UNKNOWN
