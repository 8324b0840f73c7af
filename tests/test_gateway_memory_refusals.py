"""Tests of the responses to callers for whose bodies there is no memory."""

import json

from tests import gateway_world
from tests import memory_crowds
from tests import platform_standins
from tests import processes

SIZE = memory_crowds.BODY_BYTES
HEAD = memory_crowds.HEAD + b"Content-Length: %d\r\n\r\n" % SIZE


class RefusalTest(gateway_world.SharedWorldTest):
    """Guards against refused requests that run, and bodies that block others.

    The budget has room for one of the largest bodies.
    """

    def setUp(self):
        super().setUp()
        document = platform_standins.build_configuration(version=2)
        document["limits"] = {"maxBodyBytes": SIZE}
        self.world.store.put("op/config", json.dumps(document))

    def start(self, wait_ms):
        """Starts a node and a caller that stops before the body's end."""
        node = self.world.start_node(f"node-{wait_ms}")
        self.addCleanup(node.stop)
        node.write_settings(
            4.0,
            **{
                "limits.requestMemoryMb": "8",
                "limits.bodyWaitMs": str(wait_ms),
            },
        )
        node.wait_ready()
        processes.wait_for(lambda: "settings reloaded" in node.read_log())
        processes.wait_for(
            lambda: node.request("/lodge/1", b"x" * 200_000).status == 200
        )
        self.world.reset()
        caller = node.open_socket()
        self.addCleanup(caller.close)
        caller.sendall(HEAD % 1 + b"x" * (SIZE - 1))
        return node, caller

    def test_body_without_progress_makes_room(self):
        node, stuck = self.start(5000)
        self.assertEqual(node.request("/lodge/1", b"y" * SIZE).status, 200)
        stuck.settimeout(5)
        self.assertIn(b"HTTP/1.1 408", stuck.recv(4096))
        self.assertEqual(self.world.count_runs(), 1)

    def test_body_that_finds_no_room_is_refused_truthfully(self):
        node, _ = self.start(0)
        with node.open_socket() as caller:
            caller.settimeout(5)
            caller.sendall(HEAD % 2 + b"y")
            response = caller.recv(4096)
        self.assertIn(b"HTTP/1.1 503", response)
        self.assertIn(b"Retry-After: 1.000", response)
        self.assertIn(b"Request-Id: 2", response)
        self.assertEqual(self.world.count_runs(), 0)
