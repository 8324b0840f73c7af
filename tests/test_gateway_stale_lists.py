"""Tests of nodes that start while copies of the store lag."""

import time
import unittest

from tests import gateway_world

# Age of the copies that lag.
LAG_S = 6.0
DRAIN_S = 2.0
# Enough entries for several pages before those of the desks.
FILLERS = 12


class StaleListTest(unittest.TestCase):
    """Guards against requests to upstreams that a later page still lists."""

    def setUp(self):
        self.world = gateway_world.World(nodes=2)
        self.addCleanup(self.world.close)

    def check_removal(self, lags_s):
        """Removes an upstream, starts a node and checks what it gets."""
        world = self.world
        gone, *left = world.desks
        for number in range(FILLERS):
            world.store.put(f"others/{number:02}", "{}")
        for upstream in world.desks:
            upstream.register(world.store, "desk")
        # From now on a copy of that age holds the upstream.
        time.sleep(LAG_S + 0.5)
        world.store.page_lags_s = lags_s
        world.store.remove(f"servers/{gone.identity}")
        removed_at = time.monotonic()
        starting = world.nodes[1]
        starting.stop()
        starting.start()
        starting.wait_ready()
        time.sleep(max(0.0, removed_at + DRAIN_S - time.monotonic()))
        world.reset()
        for node in world.nodes:
            for _ in range(20):
                self.assertEqual(node.request("/status/1").status, 200)
        self.assertEqual(gone.run_requests, [])
        self.assertEqual(sum(len(u.run_requests) for u in left), 40)

    def test_later_pages_that_are_older(self):
        self.check_removal((0.0, LAG_S))

    def test_first_page_that_is_older(self):
        self.check_removal((LAG_S, 0.0, 0.0))


if __name__ == "__main__":
    unittest.main()
