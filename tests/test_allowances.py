"""Tests of the limits on the bytes of replicated state."""

import unittest

import hypothesis
from hypothesis import strategies

from benches import node_fleet
from sycamorehollow.decisions.cascading import learning
from sycamorehollow.decisions.replication import allowances

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
        allowance = allowances.Allowance(RATE)
        now = spent = 0.0
        for wait_s, size in steps:
            now += wait_s
            if allowance.allows(now):
                allowance.spend(size, now)
                spent += size
        burst = RATE * allowances.BURST_S
        self.assertLessEqual(spent, RATE * now + burst + 400)

    def test_debt_is_bounded(self):
        """A flood of received bytes must not silence a process for good."""
        allowance = allowances.Allowance(RATE)
        allowance.spend(10**9, 0.0)
        self.assertFalse(allowance.allows(0.0))
        self.assertTrue(allowance.allows(allowances.DEBT_S + 0.1))

    def test_fleet_keeps_the_limit_and_still_spreads(self):
        """Ratings must reach other nodes within the limit."""
        fleet = node_fleet.Fleet(6, seed=2)
        fleet.run(4.0)
        fleet.start_load()
        fleet.run(8.0)
        burst = learning.BYTES_PER_S * allowances.BURST_S
        limit = learning.BYTES_PER_S * fleet.now + burst
        for member in fleet.members:
            used = member.traffic["learning/digest"]
            used += member.traffic["learning/delta"]
            # What is on its way when the allowance ends comes on top.
            self.assertLess(used, 1.5 * limit)
            self.assertGreater(member.traffic["learning/delta"], 0)
            labels = {
                process
                for _, track in member.node.learning.list_tracks()
                for cells in track.epochs.values()
                for process in cells
            }
            self.assertGreater(len(labels), 1)
