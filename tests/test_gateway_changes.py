"""Tests of changes of the deployment, with real processes."""

import json
import time
import unittest

from tests import gateway_world


class GatewayChangeTest(unittest.TestCase):
    """Guards against stale configurations, upstreams and roll-out states."""

    def setUp(self):
        self.world = gateway_world.World(nodes=2)
        self.addCleanup(self.world.close)
        self.node, self.other = self.world.nodes

    def test_changes_are_in_force_within_two_seconds(self):
        world = self.world
        extra = {
            "name": "r-new",
            "host": "models.example",
            "pathPrefix": "/new/",
            "kind": "safe",
            "timeoutMs": 2000,
            "service": "desk",
        }
        world.configure(version=5, keys=["key-2"], extra=[extra])
        for node in world.nodes:
            took_s = gateway_world.wait_until(
                lambda node=node: (
                    node.request("/new/1", authorization="Bearer key-2").status
                    == 200
                )
            )
            self.assertLess(took_s, 2.0)
            self.assertEqual(node.request("/status/1").status, 401)
        gone = world.desks[0]
        gone.register(world.store, "desk", state="draining", seq=2)
        time.sleep(1.0)
        gone.run_requests = []
        for _ in range(10):
            self.node.request("/status/1", authorization="Bearer key-2")
        self.assertEqual(gone.run_requests, [])

    def test_evacuation_is_obeyed_and_ends(self):
        world = self.world
        world.desks[0].register(world.store, "desk", zone="dc-2")
        world.store.put("op/evacuate/dc-2", "{}")
        time.sleep(1.0)
        world.reset()
        for _ in range(10):
            self.assertEqual(self.node.request("/status/1").status, 200)
        self.assertEqual(world.desks[0].run_requests, [])
        world.store.remove("op/evacuate/dc-2")
        world.desks[1].register(world.store, "desk", state="draining")
        time.sleep(1.0)
        self.assertEqual(self.node.request("/status/1").status, 200)
        self.assertEqual(len(world.desks[0].run_requests), 1)

    def test_forged_entries_are_skipped(self):
        store = self.world.store
        for number, value in enumerate(
            ("", "no json", "[]", '{"service": 3}', b"\xff\xfe")
        ):
            store.put(f"servers/forged-{number}", value)
        store.compact()
        self.world.configure(version=7, keys=["key-3"])
        gateway_world.wait_until(
            lambda: (
                self.node.request(
                    "/status/1", authorization="Bearer key-3"
                ).status
                == 200
            )
        )
        self.assertIn("entry=servers/forged-1", self.node.read_log())

    def test_address_taken_by_another_upstream_is_not_used(self):
        world = self.world
        world.desks[0].register(world.store, "desk", address="127.0.0.1:1")
        impostor = world.engines[0]
        world.desks[1].register(world.store, "desk", address=impostor.address)
        time.sleep(1.0)
        response = self.node.request("/lodge/1", b"x")
        self.assertEqual(response.status, 503)
        self.assertEqual(impostor.run_requests, [])

    def test_roll_out_is_completed_by_exactly_one_status(self):
        world = self.world
        for engine in world.engines[1:]:
            engine.register(world.store, "llm", version="v2")
        order = {"service": "llm", "target": "v2", "durationS": 5}
        world.store.put("op/rollout/llm", json.dumps(order))
        end = time.monotonic() + 8
        state = ""
        while state != "completed" and time.monotonic() < end:
            for node in world.nodes:
                for _ in range(10):
                    self.assertEqual(node.stream().status, 200)
            value = world.store.read("status/rollout/llm")
            state = json.loads(value)["state"] if value else ""
        self.assertEqual(state, "completed")
        time.sleep(0.6)
        world.reset()
        for _ in range(5):
            self.node.stream()
        self.assertEqual(world.engines[0].run_requests, [])

    def test_bad_version_is_rolled_back_at_all_nodes(self):
        world = self.world
        bad = world.engines[1]
        bad.register(world.store, "llm", version="v2")
        bad.mode = "fail"
        order = {"service": "llm", "target": "v2", "durationS": 20}
        world.store.put("op/rollout/llm", json.dumps(order))
        end = time.monotonic() + 12
        state = ""
        while state != "rolled_back" and time.monotonic() < end:
            for node in world.nodes:
                for _ in range(10):
                    self.assertEqual(node.stream().status, 200)
            value = world.store.read("status/rollout/llm")
            state = json.loads(value)["state"] if value else ""
        self.assertEqual(state, "rolled_back")
        time.sleep(0.6)
        bad.run_requests = []
        for node in world.nodes:
            for _ in range(20):
                node.stream()
        self.assertEqual(bad.run_requests, [])
