"""Tests of what routing learns from malformed responses."""

import unittest

from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding
from tests import forwarding_world

INVALID = "the response is not valid HTTP: invalid status line: status 0"


class MalformedTest(unittest.TestCase):
    """Guards against malformed responses that count as sound ones."""

    def setUp(self):
        upstreams = [
            forwarding_world.build_upstream("a", version="v2"),
            forwarding_world.build_upstream("b", version="v2", port=1001),
        ]
        self.router = forwarding_world.build_router(*upstreams)
        self.route = forwarding_world.build_route(
            forwarding_world.SAFE, models=()
        )

    def send(self):
        """Returns a request that was sent, and its attempt."""
        lifecycle = forwarding_world.build_lifecycle(
            self.router, route=self.route
        )
        self.assertIsInstance(lifecycle.choose_next_step(0.0), steps.Send)
        return lifecycle, lifecycle.attempts[-1]

    def order(self):
        """Orders a roll-out of the version that all upstreams run."""
        order = forwarding.RolloutOrder("llm", "v2", 30.0, 1)
        self.router.rollouts.set_order(order, 0.0)

    def count(self):
        """Returns the counted and the failed responses of the version."""
        tallies = self.router.rollouts.get("llm").tallies.values()
        return (
            sum(tally.new for tally in tallies),
            sum(tally.new_failed for tally in tallies),
        )

    def test_malformed_head_counts_as_a_failed_response(self):
        lifecycle, attempt = self.send()
        self.order()
        lifecycle.record_connection_failure(INVALID, True, 0.1)
        lifecycle.record_malformed_response()
        self.assertEqual(self.count(), (1, 1))
        self.assertGreater(attempt.state.failure_rate, 0.0)
        self.assertGreater(attempt.state.backoff_until, 0.1)

    def test_next_attempt_is_made_elsewhere(self):
        lifecycle, attempt = self.send()
        lifecycle.record_connection_failure(INVALID, True, 0.1)
        lifecycle.record_malformed_response()
        self.assertIsInstance(lifecycle.choose_next_step(0.1), steps.Send)
        self.assertIsNot(lifecycle.attempts[-1].state, attempt.state)

    def test_response_is_counted_once(self):
        lifecycle, _ = self.send()
        self.order()
        lifecycle.evaluate_head(forwarding_world.build_head(), 0.1)
        lifecycle.record_connection_failure("invalid chunk", True, 0.2)
        lifecycle.record_malformed_response()
        self.assertEqual(self.count(), (1, 0))


if __name__ == "__main__":
    unittest.main()
