"""Tests of the bandwidth limits of replicated state."""

import unittest

import hypothesis
from hypothesis import strategies

from benches import node_fleet
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.decisions.replication import bandwidth

RATE = 100.0


class BandwidthBudgetTest(unittest.TestCase):
    """Guards against replicated state that uses up a node's bandwidth."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 10), strategies.integers(1, 400)
            ),
            max_size=40,
        )
    )
    def test_rate_is_kept(self, steps):
        """A sender that checks its budget must not exceed the rate for long."""
        budget = bandwidth.BandwidthBudget(RATE)
        now = spent = 0.0
        for wait_s, size in steps:
            now += wait_s
            if budget.can_send(now):
                budget.consume(size, now)
                spent += size
        burst = RATE * bandwidth.BURST_S
        self.assertLessEqual(spent, RATE * now + burst + 400)

    def test_debt_is_bounded(self):
        """A flood of received bytes must not silence a process for good."""
        budget = bandwidth.BandwidthBudget(RATE)
        budget.consume(10**9, 0.0)
        self.assertFalse(budget.can_send(0.0))
        self.assertTrue(budget.can_send(bandwidth.MAX_DEBT_S + 0.1))

    def test_fleet_keeps_the_limit_and_still_spreads(self):
        """Ratings must reach other nodes within the limit."""
        fleet = node_fleet.Fleet(6, seed=2)
        fleet.run(4.0)
        fleet.start_load()
        fleet.run(8.0)
        burst = quality_estimator.BYTES_PER_S * bandwidth.BURST_S
        limit = quality_estimator.BYTES_PER_S * fleet.now + burst
        for member in fleet.members:
            used = member.traffic["learning/digest"]
            used += member.traffic["learning/delta"]
            # Bytes in transit when the budget is used up come on top.
            self.assertLess(used, 1.5 * limit)
            self.assertGreater(member.traffic["learning/delta"], 0)
            labels = {
                process
                for _, track in member.node.learning.list_counts()
                for cells in track.epochs.values()
                for process in cells
            }
            self.assertGreater(len(labels), 1)
