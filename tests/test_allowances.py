"""Tests of the limits on the bytes of replicated state."""

import unittest

import hypothesis
from hypothesis import strategies

from benches import node_fleet
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.decisions.replication import bandwidth

RATE = 100.0


class AllowanceTest(unittest.TestCase):
    """Guards against a kind of state that uses up a node's bandwidth."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 10), strategies.integers(1, 400)
            ),
            max_size=40,
        )
    )
    def test_rate_is_kept(self, steps):
        """A sender that asks first must not exceed its rate for long."""
        allowance = bandwidth.BandwidthBudget(RATE)
        now = spent = 0.0
        for wait_s, size in steps:
            now += wait_s
            if allowance.can_send(now):
                allowance.consume(size, now)
                spent += size
        burst = RATE * bandwidth.BURST_S
        self.assertLessEqual(spent, RATE * now + burst + 400)

    def test_debt_is_bounded(self):
        """A flood of received bytes must not silence a process for good."""
        allowance = bandwidth.BandwidthBudget(RATE)
        allowance.consume(10**9, 0.0)
        self.assertFalse(allowance.can_send(0.0))
        self.assertTrue(allowance.can_send(bandwidth.MAX_DEBT_S + 0.1))

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
            # What is on its way when the allowance ends comes on top.
            self.assertLess(used, 1.5 * limit)
            self.assertGreater(member.traffic["learning/delta"], 0)
            labels = {
                process
                for _, track in member.node.learning.list_counts()
                for cells in track.epochs.values()
                for process in cells
            }
            self.assertGreater(len(labels), 1)
