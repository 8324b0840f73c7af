"""Tests of the gateway with endless responses and requests."""

import pathlib
import re
import time
import unittest

from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import peer_messages
from tests import floods
from tests import gateway_world
from tests import platform_standins

# Limit of the memory growth of a node during an endless response.
GROWTH_KB = 16 * 1024
# Endless responses that never deliver a body.
PLAIN = [
    kind
    for kind in floods.RESPONSES_BY_KIND
    if kind.startswith("endless")
    and kind not in ("endless-body", "endless-event")
]


class GatewayFloodTest(gateway_world.SharedWorldTest):
    """Guards against unbounded memory and time for endless responses."""

    def setUp(self):
        super().setUp()
        self.memory_kb = self._read_memory()

    def tearDown(self):
        self.world.reset()
        self.assertLess(self._read_memory() - self.memory_kb, GROWTH_KB)

    def _read_memory(self):
        """Returns the peak memory use of the node in kB."""
        status = pathlib.Path(f"/proc/{self.node.pid}/status").read_text()
        return int(re.findall(r"VmHWM:\s*(\d+)", status)[0])

    def test_safe_request_is_served_elsewhere(self):
        for kind in PLAIN:
            with self.subTest(kind):
                self.world.reset()
                self.world.desks[0].mode = kind
                for _ in range(4):
                    began = time.monotonic()
                    self.assertEqual(self.node.request("/status/1").status, 200)
                    self.assertLess(time.monotonic() - began, 1.0)

    def test_caller_of_an_unsafe_request_hears_in_time(self):
        for kind in [*PLAIN, "trickle-head"]:
            with self.subTest(kind):
                self.world.reset()
                for desk in self.world.desks:
                    desk.mode = kind
                began = time.monotonic()
                response = self.node.request(
                    "/lodge/1", b"x", request_deadline="1500"
                )
                self.assertIn(response.status, (502, 504))
                self.assertLess(time.monotonic() - began, 2.0)
                self.assertEqual(self.world.count_runs(), 1)

    def test_body_without_end_ends_at_the_deadline(self):
        for desk in self.world.desks:
            desk.mode = "endless-body"
        with self.node.open_socket() as caller:
            caller.settimeout(5)
            began = time.monotonic()
            caller.sendall(
                b"GET /status/1 HTTP/1.1\r\nHost: models.example\r\n"
                b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
                b"Request-Deadline: 800\r\n\r\n"
            )
            last = b""
            try:
                while data := caller.recv(1 << 20):
                    last = data
            except ConnectionResetError:
                pass
        self.assertLess(time.monotonic() - began, 1.8)
        self.assertFalse(last.endswith(b"0\r\n\r\n"))

    def test_event_without_end_goes_on_elsewhere(self):
        self.world.engines[0].mode = "endless-event"
        for _ in range(4):
            response = self.node.stream()
            self.assertIn(b"id: 4\n", response.data)

    def test_stream_that_only_trickles_goes_on_elsewhere(self):
        for kind in ("trickle-bytes", "trickle-comments"):
            for stuck in self.world.engines:
                with self.subTest(kind=kind, stuck=stuck.identity):
                    self.world.reset()
                    stuck.mode = kind
                    began = time.monotonic()
                    for _ in range(2):
                        response = self.node.stream()
                        self.assertIn(b"id: 4\n", response.data)
                    self.assertLess(time.monotonic() - began, 3.5)

    def test_slow_but_sound_stream_is_not_cut(self):
        for engine in self.world.engines:
            engine.events, engine.pause_s = 8, 0.35
        response = self.node.stream()
        self.assertIn(b"id: 8\n", response.data)
        self.assertEqual(self.world.count_runs(), 1)

    def test_plain_answer_that_breaks_off_is_not_started_again(self):
        for desk in self.world.desks:
            desk.mode = "half"
        with self.node.open_socket() as caller:
            caller.settimeout(5)
            caller.sendall(
                b"GET /status/1 HTTP/1.1\r\nHost: models.example\r\n"
                b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n\r\n"
            )
            response = b""
            try:
                while data := caller.recv(1 << 20):
                    response += data
            except ConnectionResetError:
                pass
        self.assertEqual(response.count(b"HTTP/1.1"), 1)
        self.assertEqual(self.world.count_runs(), 1)

    def test_callers_that_never_end_are_refused(self):
        head = (
            b"POST /lodge/1 HTTP/1.1\r\nHost: models.example\r\n"
            b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
        )
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        for start, block in (
            (head + b"X: ", b"x" * 65536),
            (head, b"X: 1\r\n" * 9000),
            (chunked + b"5;", b"x" * 65536),
            (chunked + b"2\r\nok\r\n0\r\n", b"X: 1\r\n" * 9000),
            (b"GET /" + b"x" * 100, b"x" * 65536),
        ):
            with self.subTest(start[-20:]), self.node.open_socket() as caller:
                caller.settimeout(3)
                caller.sendall(start)
                with self.assertRaises(OSError):
                    for _ in range(1000):
                        caller.sendall(block)

    def test_trailers_are_no_headers(self):
        with self.node.open_socket() as caller:
            caller.settimeout(3)
            caller.sendall(
                b"POST /lodge/1 HTTP/1.1\r\nHost: models.example\r\n"
                b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
                b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n"
            )
            response = b""
            while data := caller.recv(4096):
                response += data
        self.assertTrue(response.endswith(b"echo ok"), response)
        seen = [run for desk in self.world.desks for run in desk.run_requests]
        self.assertNotIn("X-Late", seen[0][2])


class ConnectionPoolTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a late response that is taken for another one."""

    async def test_repeat_of_a_request_gets_another_connection(self):
        desk = platform_standins.Upstream("desk")
        self.addCleanup(desk.stop)
        host, _, port = desk.address.rpartition(":")
        upstream = forwarding.Upstream(
            "desk", "desk", host, int(port), "dc-1", "v1", 8, False
        )
        pool = connection_pool.ConnectionPool(
            lambda status, headers: forwarding.DecodedHead(status, "q")
        )
        first = await pool.acquire(upstream, "q", True)
        first.send_request("q", b"GET / HTTP/1.1\r\nRequest-Id: q\r\n\r\n")
        await first.read_head()
        while await first.read_body():
            pass
        pool.release(upstream, first, 4)
        other = await pool.acquire(upstream, "r", True)
        self.assertIs(other, first)
        pool.release(upstream, other, 4)
        again = await pool.acquire(upstream, "q", True)
        self.assertIsNot(again, first)
        again.close()


class PeerMessagesTest(unittest.TestCase):
    """Guards against malformed and oversized messages between nodes."""

    def test_news_that_unfolds_without_end_is_dropped(self):
        document = {"poison": "x" * (2 * peer_messages.MAX_DECODED_BYTES)}
        self.assertEqual(
            peer_messages.decode(peer_messages.encode(document)), {}
        )

    def test_malformed_news_is_dropped(self):
        for payload in (b"", b"{", b"[1]", b"x\x9c", b"[" * 100_000, b"\xff"):
            self.assertEqual(peer_messages.decode(payload), {})
