"""Tests of the pushes between complete nodes in simulated time."""

import unittest

from benches import node_fleet
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.routing import upstream_events


def report(generation: int, now: float) -> upstream_events.LoadReported:
    """Returns a load report of a cold generation of the first replica."""
    return upstream_events.LoadReported(
        "replica-000", now, generation, True, 4, 0, 500_000
    )


class ColdPushTest(unittest.TestCase):
    """Guards against cold states that peers learn of only by an exchange."""

    def setUp(self):
        self.fleet = node_fleet.Fleet(14, seed=1)
        self.fleet.run(5.0)

    def test_restart_is_pushed_to_the_own_data_centre(self):
        """Without the push, peers keep sending work to a cold upstream."""
        finder, peer = self.fleet.members[0], self.fleet.members[7]
        for member in (finder, peer):
            warm = upstream_events.LoadReported(
                "replica-000", self.fleet.now, 1, False, 4, 0, 500_000
            )
            self.fleet.deliver(member, warm)
        now = self.fleet.now
        self.fleet.run(0.01)
        self.assertFalse(
            peer.node.placement.cold_start_limiter.is_cold("replica-000", now)
        )
        asked = finder.node.handle(report(2, self.fleet.now), self.fleet.now)
        calls = [c for c in asked if isinstance(c, exchange.SendCall)]
        pushed = [call for call in calls if call.peer == peer.address]
        self.assertEqual(len(pushed), 1)
        event = exchange.CallReceived(1, pushed[0].sender, pushed[0].items)
        peer.node.handle(event, self.fleet.now)
        self.assertTrue(
            peer.node.placement.cold_start_limiter.is_cold("replica-000", now)
        )

    def test_first_warm_reports_are_not_pushed(self):
        """Guards against a start that pushes one delta per upstream."""
        warm = upstream_events.LoadReported(
            "replica-000", self.fleet.now, 3, False, 4, 0, 500_000
        )
        asked = self.fleet.members[0].node.handle(warm, self.fleet.now)
        self.assertEqual(
            [c for c in asked if isinstance(c, exchange.SendCall)], []
        )
