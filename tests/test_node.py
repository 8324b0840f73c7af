"""Tests of whole nodes."""

import unittest

from benches import node_world
from benches import sites
from sycamorehollow.decisions import drain_orders
from sycamorehollow.decisions import drains
from sycamorehollow.decisions import upstreams

WORKSPACE = {"versions": [sites.VERSION], "key_hashes": []}
SITE = sites.Site((1, 1), 2, 0.001, {"small": WORKSPACE})
WARM_UP_S = 16.0


def build_world():
    world = node_world.World(SITE, 5)
    world.run(WARM_UP_S)
    return world


class SpreadTest(unittest.TestCase):
    """Guards against news that stay at one node."""

    def test_cold_turn_reaches_peers_at_once(self):
        """The push of a cold turn once raised an error in the node."""
        world = build_world()
        teller, peer = (a for a in world.nodes if world.centres[a] == "dc-0")
        cold = upstreams.LoadReported(
            "u00", world.now, 2, True, 4, 0, sites.CAPACITY_TOKENS
        )
        world.give(teller, cold)
        # Less than the interval between two exchanges.
        world.run(world.now + 0.1)
        placed = world.nodes[peer].placement.cold
        self.assertTrue(placed.is_cold("u00", world.now))

    def test_drain_order_reaches_all_nodes_without_the_store(self):
        """A drained data centre must get no new work after 5 s."""
        world = build_world()
        world.store_up = False
        order = drain_orders.DrainOrdered(drains.Scope.DATA_CENTRE, "dc-0")
        world.give(list(world.nodes)[-1], order)
        world.run(world.now + 5.0)
        for address, node in world.nodes.items():
            with self.subTest(address=address):
                self.assertIsNotNone(node.drains.refuse("u00"))
                self.assertIsNone(node.drains.refuse("u10"))
