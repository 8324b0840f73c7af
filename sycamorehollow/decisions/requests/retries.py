"""Retry budget of the node, and whether failed work may have been executed.

The budget limits retries to a share of new requests, so that retries do not
multiply the load when everything fails.
"""

import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

RETRIES_PER_REQUEST = 0.1
# Allows a node with little traffic to retry at all.
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
            not execute the request.
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
        idempotent: Whether a second execution has no further effect.
        deadline: Deadline of the request, monotonic time in seconds.
        expected_duration_s: Estimated duration of another attempt.
    """

    request: str
    outcome: FailedAttempt
    idempotent: bool
    deadline: float
    expected_duration_s: float


@dataclasses.dataclass(frozen=True)
class AttemptReplaced(events.Event):
    """A running attempt was abandoned for another one that has started."""

    request: str


@dataclasses.dataclass(frozen=True)
class RequestEnded(events.Event):
    """A request has its final response, or its caller has disconnected."""

    request: str


@dataclasses.dataclass(frozen=True)
class RetryRequest(commands.Command):
    """Starts another attempt after a delay."""

    request: str
    delay_s: float


@dataclasses.dataclass(frozen=True)
class GiveUp(commands.Command):
    """Ends a request with its final failure."""

    request: str
    failure: failures.Failure


@dataclasses.dataclass
class RetryState:
    """Retries of a request so far.

    Attributes:
        retries: Number of started retries.
        execution: `UNKNOWN` once any attempt may have been executed.
    """

    retries: int = 0
    execution: failures.Execution = failures.Execution.NOT_STARTED


def classify_execution(outcome: FailedAttempt) -> failures.Execution:
    """Returns whether a failed attempt may have been executed.

    An attempt counts as not executed only if no byte of the request was written
    or the upstream said so; a broken or silent connection proves nothing.
    """
    if outcome.delivered_chunks:
        return failures.Execution.UNKNOWN
    if outcome.bytes_written == 0 or outcome.refused:
        return failures.Execution.NOT_STARTED
    return failures.Execution.UNKNOWN


class RetryBudget(components.Component):
    """Decides whether a failed attempt is retried.

    Args:
        rng: Source of random numbers for the jitter.
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
                state = self._states.setdefault(event.request, RetryState())
                state.execution = failures.Execution.UNKNOWN
                state.retries += 1
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
        """Returns why another attempt is not allowed now, or empty."""
        if now + expected_duration_s > deadline:
            return "no time is left"
        if self._states.get(request, RetryState()).retries >= MAX_RETRIES:
            return f"{MAX_RETRIES} retries were made"
        if self._budget < 1:
            return "the retry budget is used up"
        return ""

    def _decide(self, event: AttemptFailed, now: float) -> commands.Command:
        state = self._states.setdefault(event.request, RetryState())
        execution = classify_execution(event.outcome)
        if execution is failures.Execution.UNKNOWN:
            state.execution = execution
        if event.outcome.delivered_chunks:
            return self._give_up(event, state, failures.AnswerTruncated)
        # One attempt with an unknown result is enough: a later attempt that was
        # not executed proves nothing about it.
        if (
            state.execution is failures.Execution.UNKNOWN
            and not event.idempotent
        ):
            return self._give_up(event, state, failures.UpstreamFailed)
        delay_s = INITIAL_BACKOFF_S * 2**state.retries
        delay_s *= self._rng.uniform(0.5, 1.5)
        if now + delay_s + event.expected_duration_s > event.deadline:
            return self._give_up(event, state, failures.DeadlineExceeded)
        rule = self.find_refusal(
            event.request, event.deadline, event.expected_duration_s, now
        )
        if rule:
            return self._give_up(event, state, failures.UpstreamFailed, rule)
        self._budget -= 1
        state.retries += 1
        return RetryRequest(event.request, delay_s)

    def _give_up(
        self,
        event: AttemptFailed,
        state: RetryState,
        kind: type[failures.Failure],
        rule: str = "",
    ) -> GiveUp:
        del self._states[event.request]
        retryable = (
            event.idempotent
            or state.execution is failures.Execution.NOT_STARTED
        )
        if kind is failures.DeadlineExceeded:
            retryable = False
        retry_after_s = RETRY_AFTER_S * self._rng.uniform(1.0, 2.0)
        reason = event.outcome.reason
        if rule:
            reason = f"{reason} It is not retried: {rule}."
        failure = kind(
            reason, state.execution, retry_after_s if retryable else None
        )
        return GiveUp(event.request, failure)
