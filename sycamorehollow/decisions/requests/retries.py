"""Retries within a budget, and whether failed work may have run."""

import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

RETRIES_PER_REQUEST = 0.1
# Lets a node with little traffic retry at all.
MAX_BUDGET = 10.0
MAX_RETRIES = 2
INITIAL_BACKOFF_S = 0.05
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """How an attempt failed.

    Attributes:
        bytes_written: Bytes of the request that were written to the upstream.
        refused: Whether the upstream stated in a typed refusal that it did
            not run the request.
        delivered_chunks: Chunks of the response that the caller received.
        reason: One sentence for the log.
    """

    bytes_written: int
    refused: bool
    delivered_chunks: int
    reason: str


@dataclasses.dataclass(frozen=True)
class RequestStarted(events.Event):
    """The first attempt of a request has started."""

    request: str


@dataclasses.dataclass(frozen=True)
class AttemptFailed(events.Event):
    """An attempt of a request has failed.

    Attributes:
        idempotent: Whether a second run has no further effect.
        deadline: Monotonic time in seconds.
        expected_duration_s: Estimated duration of another attempt in seconds.
    """

    request: str
    outcome: FailedAttempt
    idempotent: bool
    deadline: float
    expected_duration_s: float


@dataclasses.dataclass(frozen=True)
class AttemptReplaced(events.Event):
    """A running attempt was given up for another one that has started."""

    request: str


@dataclasses.dataclass(frozen=True)
class RequestEnded(events.Event):
    """A request has its final response, or its caller is gone."""

    request: str


@dataclasses.dataclass(frozen=True)
class RetryRequest(commands.Command):
    """Starts another attempt after a delay in seconds."""

    request: str
    delay_s: float


@dataclasses.dataclass(frozen=True)
class GiveUp(commands.Command):
    """Ends a request with its final failure."""

    request: str
    failure: failures.Failure


@dataclasses.dataclass
class RetryState:
    """What happened to a request so far.

    Attributes:
        retries: Retries that were started.
        execution: `UNKNOWN` once any attempt may have run.
    """

    retries: int = 0
    execution: failures.Execution = failures.Execution.NOT_STARTED


def classify_execution(outcome: FailedAttempt) -> failures.Execution:
    """Tells whether a failed attempt may have run.

    An attempt counts as not run only when no byte of the request was written
    or the upstream said so; a broken or silent connection proves nothing.
    """
    if outcome.delivered_chunks:
        return failures.Execution.UNKNOWN
    if outcome.bytes_written == 0 or outcome.refused:
        return failures.Execution.NOT_STARTED
    return failures.Execution.UNKNOWN


class RetryBudget(components.Component):
    """Decides about another attempt for each failed one.

    Args:
        rng: Source of randomness for the jitter.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._budget = MAX_BUDGET
        self._states: dict[str, RetryState] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        match event:
            case RequestStarted():
                if event.request in self._states:
                    return []
                self._states[event.request] = RetryState()
                self._budget = min(
                    MAX_BUDGET, self._budget + RETRIES_PER_REQUEST
                )
            case AttemptFailed():
                return [self._decide(event, now)]
            case AttemptReplaced():
                tries = self._states.setdefault(event.request, RetryState())
                tries.execution = failures.Execution.UNKNOWN
                tries.retries += 1
                self._budget -= 1
            case RequestEnded():
                self._states.pop(event.request, None)
        return []

    def find_refusal(
        self,
        request: str,
        deadline: float,
        expected_duration_s: float,
        now: float,
    ) -> str:
        """Returns the rule that refuses another attempt now, or empty."""
        if now + expected_duration_s > deadline:
            return "no time is left"
        if self._states.get(request, RetryState()).retries >= MAX_RETRIES:
            return f"{MAX_RETRIES} retries were made"
        if self._budget < 1:
            return "the retry budget is used up"
        return ""

    def _decide(self, event: AttemptFailed, now: float) -> commands.Command:
        tries = self._states.setdefault(event.request, RetryState())
        run = classify_execution(event.outcome)
        if run is failures.Execution.UNKNOWN:
            tries.execution = run
        if event.outcome.delivered_chunks:
            return self._give_up(event, tries, failures.AnswerTruncated)
        # One attempt in doubt is enough: a later one that did not run proves
        # nothing about it.
        if (
            tries.execution is failures.Execution.UNKNOWN
            and not event.idempotent
        ):
            return self._give_up(event, tries, failures.UpstreamFailed)
        delay_s = INITIAL_BACKOFF_S * 2**tries.retries
        delay_s *= self._rng.uniform(0.5, 1.5)
        if now + delay_s + event.expected_duration_s > event.deadline:
            return self._give_up(event, tries, failures.DeadlineExceeded)
        rule = self.find_refusal(
            event.request, event.deadline, event.expected_duration_s, now
        )
        if rule:
            return self._give_up(event, tries, failures.UpstreamFailed, rule)
        self._budget -= 1
        tries.retries += 1
        return RetryRequest(event.request, delay_s)

    def _give_up(
        self,
        event: AttemptFailed,
        tries: RetryState,
        kind: type[failures.Failure],
        rule: str = "",
    ) -> GiveUp:
        del self._states[event.request]
        again = (
            event.idempotent
            or tries.execution is failures.Execution.NOT_STARTED
        )
        if kind is failures.DeadlineExceeded:
            again = False
        after_s = RETRY_AFTER_S * self._rng.uniform(1.0, 2.0)
        reason = event.outcome.reason
        if rule:
            reason = f"{reason} It is not retried: {rule}."
        failure = kind(reason, tries.execution, after_s if again else None)
        return GiveUp(event.request, failure)
