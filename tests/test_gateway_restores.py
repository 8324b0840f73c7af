"""Tests of a store that is restored from a copy."""

import json
import time
import unittest

from tests import gateway_world
from tests import platform_standins
from tests import processes

# Time within which an acknowledged change is in force.
APPLY_S = 2.0
# Time in which nodes without trouble have got all changes.
SPREAD_S = 1.0


class RestoreTest(unittest.TestCase):
    """Guards against changes that are lost, or undone, by a restore."""

    def setUp(self):
        self.world = gateway_world.World(nodes=4, engines=2, desks=2)
        self.addCleanup(self.world.close)
        self.store = self.world.store
        self.version = 1
        # All nodes know each other, so that some of them follow others.
        time.sleep(1.5)

    def add_route(self):
        """Writes the next configuration, with a route of its own."""
        self.version += 1
        extra = [
            {
                "name": f"r-{version}",
                "host": "models.example",
                "pathPrefix": f"/extra-{version}/",
                "kind": "safe",
                "service": "desk",
                "timeoutMs": 4000,
                "maxAttempts": 3,
            }
            for version in range(2, self.version + 1)
        ]
        self.world.configure(version=self.version, extra=extra)

    def configure_again(self):
        """Writes the latest configuration once more, as operators do."""
        self.version -= 1
        self.add_route()

    def get_statuses(self, version):
        """Returns each node's response to a request on a version's route."""
        return [
            node.request(f"/extra-{version}/x").status
            for node in self.world.nodes
        ]

    def assert_in_force(self, limit_s=APPLY_S):
        """Checks that all nodes serve the newest route in time."""
        processes.wait_for(
            lambda: set(self.get_statuses(self.version)) == {200}, limit_s
        )

    def fill(self, changes):
        """Writes values that nobody decodes, until all nodes have them."""
        for number in range(changes):
            self.store.put("other/key", str(number))
        time.sleep(SPREAD_S)

    def test_change_after_a_restore_is_in_force(self):
        self.add_route()
        self.fill(200)
        self.store.restore(changes=200)
        time.sleep(0.5)
        self.add_route()
        self.assert_in_force()

    def test_change_is_in_force_after_the_counter_has_caught_up(self):
        self.add_route()
        self.fill(20)
        self.store.refuse = 503
        time.sleep(0.3)
        self.store.restore(changes=20)
        self.add_route()
        self.fill(60)
        self.store.refuse = 0
        self.assert_in_force(2 * APPLY_S)

    def test_changes_after_each_of_three_restores_are_in_force(self):
        for lost in (30, 60, 20):
            self.add_route()
            self.assert_in_force()
            self.fill(lost)
            self.store.restore(changes=lost)
            time.sleep(0.2)

    def test_confirmed_configuration_is_never_undone(self):
        self.add_route()
        self.assert_in_force()
        # The copy lacks the latest configuration.
        self.store.restore(changes=1)
        end = time.monotonic() + 2.0
        while time.monotonic() < end:
            self.assertEqual(set(self.get_statuses(self.version)), {200})
        self.configure_again()
        self.add_route()
        self.assert_in_force()

    def test_removed_upstream_does_not_come_back_with_the_copy(self):
        leaving, staying = self.world.desks
        self.store.remove(f"servers/{leaving.identity}")
        time.sleep(1.0)
        self.store.restore(changes=1)
        time.sleep(0.5)
        leaving.run_requests.clear()
        for _ in range(10):
            for node in self.world.nodes:
                self.assertEqual(node.request("/status/x").status, 200)
        self.assertEqual(leaving.run_requests, [])

    def test_draining_upstream_is_not_ready_again_with_the_copy(self):
        leaving, staying = self.world.desks
        leaving.register(self.store, "desk", state="draining", seq=2)
        time.sleep(1.0)
        self.store.restore(changes=1)
        time.sleep(0.5)
        leaving.run_requests.clear()
        for _ in range(10):
            for node in self.world.nodes:
                self.assertEqual(node.request("/status/x").status, 200)
        self.assertEqual(leaving.run_requests, [])

    def test_upstream_that_the_copy_lacks_is_used_until_it_is_back(self):
        for engine in self.world.desks:
            self.store.remove(f"servers/{engine.identity}")
        time.sleep(0.6)
        for engine in self.world.desks:
            engine.register(self.store, "desk")
        time.sleep(1.0)
        self.store.restore(changes=2)
        end = time.monotonic() + 1.2
        while time.monotonic() < end:
            for node in self.world.nodes:
                self.assertEqual(node.request("/status/x").status, 200)
        for engine in self.world.desks:
            engine.register(self.store, "desk")
        time.sleep(2.0)
        for node in self.world.nodes:
            self.assertEqual(node.request("/status/x").status, 200)

    def test_evacuation_holds_until_it_is_written_again(self):
        here = platform_standins.Upstream("desk-far")
        self.addCleanup(here.stop)
        here.register(self.store, "desk", zone="dc-2")
        time.sleep(0.6)
        self.store.put("op/evacuate/dc-1", "{}")
        time.sleep(1.0)
        self.store.restore(changes=1)
        time.sleep(0.3)
        for desk in self.world.desks:
            desk.run_requests.clear()
        end = time.monotonic() + 1.0
        while time.monotonic() < end:
            for node in self.world.nodes:
                self.assertEqual(node.request("/status/x").status, 200)
        self.store.put("op/evacuate/dc-1", "{}")
        time.sleep(1.0)
        for node in self.world.nodes:
            self.assertEqual(node.request("/status/x").status, 200)
        for desk in self.world.desks:
            self.assertEqual(desk.run_requests, [])
        # A removal in the new era ends it.
        self.store.remove("op/evacuate/dc-1")
        here.mode = "refuse"
        processes.wait_for(
            lambda: (
                {n.request("/status/x").status for n in self.world.nodes}
                == {200}
            ),
            2 * APPLY_S,
        )

    def test_lost_entry_of_a_node_is_written_again(self):
        self.world.add_node("node-9", self.store)
        processes.wait_for(lambda: self.store.read("nodes/node-9"))
        self.store.restore(changes=1)
        self.assertIsNone(self.store.read("nodes/node-9"))
        processes.wait_for(lambda: self.store.read("nodes/node-9"), 6.0)

    def test_lost_state_of_a_roll_out_is_written_again(self):
        order = {"service": "desk", "target": "v2", "durationS": 1.0}
        new = platform_standins.Upstream("desk-new")
        self.addCleanup(new.stop)
        new.register(self.store, "desk", version="v2")
        self.store.put("op/rollout/desk", json.dumps(order))
        processes.wait_for(lambda: self.store.read("status/rollout/desk"))
        time.sleep(0.6)
        self.store.restore(changes=1)
        self.assertIsNone(self.store.read("status/rollout/desk"))
        processes.wait_for(
            lambda: self.store.read("status/rollout/desk"), 2 * APPLY_S
        )

    def test_store_without_eras_is_followed(self):
        self.store.era = None
        self.add_route()
        self.assert_in_force()


if __name__ == "__main__":
    unittest.main()
