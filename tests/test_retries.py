"""Tests of the retry budget."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.requests import retries
from sycamorehollow.model import failures

OUTCOMES = strategies.builds(
    retries.FailedAttempt,
    bytes_written=strategies.integers(0, 2),
    refused=strategies.booleans(),
    delivered_chunks=strategies.integers(0, 1),
    reason=strategies.just("failed"),
)
LOST = retries.FailedAttempt(10, False, 0, "connection lost")
UNSENT = retries.FailedAttempt(0, False, 0, "connection refused")


def fail(outcome, idempotent=True, deadline=100.0, request="r"):
    """Returns the event of a failed attempt with a duration of 1 s."""
    return retries.AttemptFailed(request, outcome, idempotent, deadline, 1.0)


class RetriesTest(unittest.TestCase):
    """Guards against false failures, repeated effects and retry storms."""

    @hypothesis.given(OUTCOMES)
    def test_not_run_needs_proof(self, outcome):
        """A wrong claim of no execution makes the caller repeat an effect."""
        proven = outcome.bytes_written == 0 or outcome.refused
        proven = proven and not outcome.delivered_chunks
        expected = (
            failures.Execution.NOT_STARTED
            if proven
            else failures.Execution.UNKNOWN
        )
        self.assertIs(retries.classify_execution(outcome), expected)

    @hypothesis.given(
        strategies.lists(OUTCOMES, min_size=1, max_size=4),
        strategies.booleans(),
        strategies.floats(0, 3),
    )
    def test_final_failure_is_true(self, outcomes, idempotent, deadline):
        """One attempt with an unknown result makes the request unknown."""
        rule = retries.RetryBudget(random.Random(1))
        rule.handle(retries.RequestStarted("r"), 0.0)
        seen = []
        for number, outcome in enumerate(outcomes):
            seen.append(outcome)
            [command] = rule.handle(fail(outcome, idempotent, deadline), 0.0)
            doubt = any(
                retries.classify_execution(one) is failures.Execution.UNKNOWN
                for one in seen
            )
            if isinstance(command, retries.GiveUp):
                expected = (
                    failures.Execution.UNKNOWN
                    if doubt
                    else failures.Execution.NOT_STARTED
                )
                self.assertIs(command.failure.execution, expected)
                return
            self.assertTrue(idempotent or not doubt)
            self.assertEqual(outcome.delivered_chunks, 0)
            self.assertLessEqual(command.delay_s + 1.0, deadline)
            self.assertLess(number, retries.MAX_RETRIES)

    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=300))
    def test_budget_holds(self, steps):
        """When everything fails, retries must not multiply the load."""
        rule = retries.RetryBudget(random.Random(1))
        fresh = 0
        retried = 0
        for number, starts in enumerate([False] * 20 + steps):
            if starts:
                fresh += 1
                rule.handle(retries.RequestStarted(str(number)), 0.0)
            event = fail(UNSENT, request=str(number))
            for command in rule.handle(event, 0.0):
                retried += isinstance(command, retries.RetryRequest)
            limit = retries.MAX_BUDGET + retries.RETRIES_PER_REQUEST * fresh
            self.assertLessEqual(retried, limit + 1e-6)

    def test_jitter_spreads_retries(self):
        """Retries at the same time would arrive as one burst."""
        rule = retries.RetryBudget(random.Random(1))
        delays = set()
        for number in range(5):
            [command] = rule.handle(fail(LOST, request=str(number)), 0.0)
            delays.add(command.delay_s)
        self.assertEqual(len(delays), 5)

    def test_unsafe_work_in_doubt_has_no_retry_time(self):
        """The caller must look up the outcome and not resend."""
        rule = retries.RetryBudget(random.Random(1))
        [command] = rule.handle(fail(LOST, idempotent=False), 0.0)
        self.assertIsNone(command.failure.retry_after_s)
