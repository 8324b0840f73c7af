"""Tests of complete nodes with simulated upstreams."""

import unittest

from benches import bench_node_overload
from benches import node_callers
from benches import node_world
from benches import sites
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import operator_drains
from sycamorehollow.decisions.routing import admission
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import failures

WORKSPACE = {"versions": [sites.VERSION], "key_hashes": []}
SITE = sites.Site((1, 1), 2, 0.001, {"small": WORKSPACE})
WARM_UP_S = 16.0


def build_world():
    world = node_world.World(SITE, 5)
    world.run(WARM_UP_S)
    return world


class SpreadTest(unittest.TestCase):
    """Guards against state changes that do not reach other nodes."""

    def test_cold_turn_reaches_peers_at_once(self):
        """The push of a cold upstream raised an error in the node."""
        world = build_world()
        sender, peer = (a for a in world.nodes if world.centres[a] == "dc-0")
        cold = upstream_events.LoadReported(
            "u00", world.now, 2, True, 4, 0, sites.CAPACITY_TOKENS
        )
        world.give(sender, cold)
        # Less than the exchange interval.
        world.run(world.now + 0.1)
        limiter = world.nodes[peer].placement.cold_start_limiter
        self.assertTrue(limiter.is_cold("u00", world.now))

    def test_drain_order_reaches_all_nodes_without_the_store(self):
        """A drained data centre must get no new work after 5 s."""
        world = build_world()
        world.store_up = False
        order = operator_drains.DrainRequested(drains.Scope.DATA_CENTRE, "dc-0")
        world.give(list(world.nodes)[-1], order)
        world.run(world.now + 5.0)
        for address, node in world.nodes.items():
            with self.subTest(address=address):
                self.assertIsNotNone(node.drains.find_refusal("u00"))
                self.assertIsNone(node.drains.find_refusal("u10"))


class FloodTest(unittest.TestCase):
    """Guards against unfair and late refusals by a saturated node."""

    @classmethod
    def setUpClass(cls):
        loads = {"large": 2.7, "small": 0.3}
        cls.flood = bench_node_overload.Flood(loads).run()

    def test_small_workspace_is_served(self):
        """Full upstreams refused work before the fair queue was considered."""
        self.assertGreater(self.flood.compute_served("small"), 0.9)

    def test_refusals_are_truthful_and_in_time(self):
        """Guards against refusals too late for the caller to go elsewhere.

        Queued work is refused at the end of its maximum wait, all other work
        on arrival.
        """
        limit_s = admission.MAX_WAIT_S + node_world.TICK_S
        refusals = self.flood.list_refusals()
        self.assertTrue(refusals)
        for failure, after_s in refusals:
            self.assertIs(failure.execution, failures.Execution.NOT_STARTED)
            self.assertLess(after_s, limit_s)
            if isinstance(failure, admission.Overloaded):
                self.assertGreater(failure.retry_after_s, 0.0)
                continue
            self.assertLess(after_s, node_world.STEP_S)

    def test_full_node_refuses_at_once_with_a_time(self):
        """Guards against queueing more work than the queue can serve."""
        flood = bench_node_overload.Flood({"large": 0.01})
        flood.world.run(bench_node_overload.WARM_UP_S)
        first = len(flood.callers.asked)
        for _ in range(200):
            flood.callers.ask("large")
        flood.world.run(flood.world.now + node_world.STEP_S)
        refused = [
            refusal
            for asked in flood.callers.asked[first:]
            for refusal in asked.refusals
        ]
        self.assertGreater(len(refused), 100)
        for failure, _ in refused:
            self.assertIsInstance(failure, admission.Overloaded)
            self.assertIs(failure.execution, failures.Execution.NOT_STARTED)
            self.assertGreater(failure.retry_after_s, 0.0)

    def test_deadline_that_cannot_be_met_is_refused_at_once(self):
        """Guards against using capacity for work that would end too late."""
        hurried = node_callers.Kind("caption", 2500, 120, 1.0, 0.05)
        flood = bench_node_overload.Flood({"large": 0.5}, hurried).run()
        asked = flood.select()
        self.assertTrue(asked)
        for one in asked:
            [(failure, after_s)] = one.refusals
            self.assertIsInstance(failure, failures.DeadlineExceeded)
            self.assertIs(failure.execution, failures.Execution.NOT_STARTED)
            self.assertLess(after_s, node_world.STEP_S)
