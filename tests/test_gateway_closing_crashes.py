"""Tests of upstreams that crash in responses without length and chunks.

A crash closes the connection as the end of such a response does.
"""

import collections
import re
import signal
import threading
import time
import unittest

import urllib3

from tests import gateway_world
from tests import processes

DOWN_S = 0.3
EVENT = b"id: 1\ndata: small\n\n"
EVENTS = 4
STREAM_REQUEST = (
    b"POST /draft/1 HTTP/1.1\r\nHost: models.example\r\nRequest-Id: raw\r\n"
    b"Request-Deadline: 4000\r\nAuthorization: Bearer key-1\r\n"
    b"Accept: text/event-stream\r\nModel: small\r\n"
    b"Token-Counts: 1000,80\r\nContent-Length: 6\r\n\r\nprompt"
)
PLAIN_REQUEST = (
    b"POST /lodge/%s HTTP/1.1\r\nHost: models.example\r\n"
    b"Request-Id: plain-%s\r\nRequest-Deadline: 4000\r\n"
    b"Authorization: Bearer key-1\r\nConnection: close\r\n"
    b"Content-Length: 1\r\n\r\ny"
)
# Time from the first to the second half of a plain response.
PLAIN_PAUSE_S = 0.2
ALL_EVENTS = [b"1", b"2", b"3", b"4"]
# Time that a check of a sound upstream may take, beside a busy machine.
CHECK_LIMIT_S = 0.5


class ClosingWorldTest(unittest.TestCase):
    """Base of tests whose upstreams close the connection of each response."""

    @classmethod
    def setUpClass(cls):
        cls.world = gateway_world.World(engines=4, desks=4)
        cls.addClassCleanup(cls.world.close)
        cls.node = cls.world.nodes[0]

    def setUp(self):
        self.world.reset()
        self.wait_until_up()
        processes.wait_for(lambda: self.node.request("/status/x").status == 200)
        self.world.reset()
        self.upstreams = [*self.world.engines, *self.world.desks]
        # The next response that begins at any upstream takes the offset.
        self.offsets = collections.deque()
        for upstream in self.upstreams:
            upstream.closing = True
            upstream.down_s = DOWN_S
            upstream.crash_offsets = self.offsets

    def wait_until_up(self):
        """Waits until all upstreams are up again."""
        now = time.monotonic()
        ends = [
            upstream.crashes[-1] + upstream.down_s + 0.1
            for upstream in [*self.world.engines, *self.world.desks]
            if upstream.crashes
        ]
        time.sleep(max(0.0, max(ends, default=now) - now))

    def crash_after(self, offset):
        """Lets the next response crash its upstream after some bytes."""
        down = [
            upstream
            for upstream in self.upstreams
            if upstream.crashes
            and time.monotonic() - upstream.crashes[-1] < 2 * DOWN_S
        ]
        if len(down) > 1:
            self.wait_until_up()
        self.offsets.clear()
        self.offsets.append(offset)

    def stream(self, **headers):
        """Returns the status and the events of a stream."""
        response = self.node.stream(model="small", **headers)
        return response.status, re.findall(rb"id: (\d+)", response.data)

    def ask(self, path, body=b""):
        """Returns the status and body, or `None` for a broken response."""
        try:
            response = self.node.request(path, body)
        except urllib3.exceptions.HTTPError:
            return None
        return response.status, response.data


class ClosingCrashTest(ClosingWorldTest):
    """Guards against broken responses that are framed as complete."""

    def test_stream_is_continued_from_any_event(self):
        for line_end in (b"\n", b"\r\n"):
            length = len(EVENT.replace(b"\n", line_end))
            for count in range(1, EVENTS):
                for engine in self.world.engines:
                    engine.line_end = line_end
                self.crash_after(count * length)
                self.assertEqual(self.stream(), (200, ALL_EVENTS))

    def test_stream_is_continued_from_any_byte(self):
        for offset in range(2 * len(EVENT), 3 * len(EVENT) + 1):
            self.crash_after(offset)
            self.assertEqual(self.stream(), (200, ALL_EVENTS))

    def test_stream_whose_upstream_crashes_after_its_end_is_whole(self):
        self.crash_after(EVENTS * len(EVENT))
        self.assertEqual(self.stream(), (200, ALL_EVENTS))

    def test_chunked_stream_is_continued_from_any_event(self):
        for engine in self.world.engines:
            engine.closing = False
        chunk = len(b"13\r\n" + EVENT + b"\r\n")
        for count in range(1, EVENTS + 1):
            self.crash_after(count * chunk)
            self.assertEqual(self.stream(), (200, ALL_EVENTS))

    def test_listener_may_outlive_the_connection(self):
        for engine in self.world.engines:
            engine.listener_outlives_s = 0.03
        for _ in range(3):
            self.crash_after(2 * len(EVENT))
            self.assertEqual(self.stream(), (200, ALL_EVENTS))

    def test_safe_plain_response_is_repeated(self):
        body = bytes(range(250)) * 16
        for desk in self.world.desks:
            desk.plain_body = body
        for offset in (1, 2000, len(body) - 1):
            self.crash_after(offset)
            self.assertEqual(self.ask("/status/x"), (200, body))

    def test_unsafe_plain_response_fails(self):
        for desk in self.world.desks:
            desk.plain_body = b"x" * 4000
        for offset in (1, 2000, 3999):
            self.crash_after(offset)
            self.assertEqual(self.ask("/lodge/x", b"y")[0], 502)

    def test_failure_of_an_upstream_is_not_shortened(self):
        for status in (404, 500):
            for desk in self.world.desks:
                desk.plain_body = b"x" * 400
                desk.plain_status = status
            self.crash_after(200)
            answer = self.ask("/lodge/x", b"y")
            self.assertEqual(answer[0], 502)

    def test_large_plain_response_is_cut(self):
        for desk in self.world.desks:
            desk.plain_body = b"x" * 200_000
        for path, body in (("/status/x", b""), ("/lodge/x", b"y")):
            for offset in (100_000, 150_000, 199_999):
                self.crash_after(offset)
                # Content that has crashed three upstreams is rejected.
                self.assertIsNone(self.ask(f"{path}{offset}", body))

    def test_upstream_that_has_started_again_proves_nothing(self):
        for engine in self.world.engines:
            engine.pause_s = 0.1
        self.crash_after(2 * len(EVENT))
        with self.node.open_socket() as caller:
            caller.settimeout(10)
            caller.sendall(STREAM_REQUEST)
            received = b""
            while b"id: 1" not in received:
                received += caller.recv(4096)
            self.node.send_signal(signal.SIGSTOP)
            time.sleep(2 * DOWN_S)
            self.node.send_signal(signal.SIGCONT)
            while not received.endswith(b"0\r\n\r\n"):
                received += caller.recv(4096)
        self.assertEqual(re.findall(rb"id: (\d+)", received), ALL_EVENTS)

    def pause_through_crash(self, name):
        """Returns the response to a request whose upstream crashes meanwhile.

        The node is paused from the start of the request's run until the
        upstream has started again.
        """
        before = self.world.count_runs()
        with self.node.open_socket() as caller:
            caller.settimeout(10)
            caller.sendall(PLAIN_REQUEST % (name, name))
            processes.wait_for(lambda: self.world.count_runs() > before)
            self.node.send_signal(signal.SIGSTOP)
            time.sleep(PLAIN_PAUSE_S + 2 * DOWN_S)
            self.node.send_signal(signal.SIGCONT)
            received = b""
            while data := caller.recv(4096):
                received += data
        return received

    def test_restart_while_the_node_is_paused_is_found(self):
        for restriction in (b"full", b"limit"):
            with self.subTest(restriction):
                self.restrict_desks(restriction)
                for desk in self.world.desks:
                    desk.plain_pause_s = PLAIN_PAUSE_S
                # In the second half, so that the node is paused by then.
                self.crash_after(3000)
                received = self.pause_through_crash(restriction)
                self.assertTrue(received.startswith(b"HTTP/1.1 502 "), received)

    def test_fast_restart_of_a_limited_upstream_is_found(self):
        self.restrict_desks(b"limit")
        # Content that has crashed three upstreams is rejected.
        for number in range(3):
            self.crash_after(2000)
            answer = self.ask(f"/lodge/restarts-{number}", b"y")
            self.assertEqual(answer[0], 502)

    def restrict_desks(self, restriction):
        """Lets plain services respond with 4,000 bytes and a restriction."""
        for desk in self.world.desks:
            desk.plain_body = b"x" * 4000
            if restriction == b"limit":
                desk.limit = "100"
            else:
                desk.status_mode = "refuse"

    def test_crash_is_counted(self):
        pattern = re.compile(r"break=\S+ crash ")
        before = len(pattern.findall(self.node.read_log()))
        self.crash_after(2 * len(EVENT))
        # Content that has run to completion is not blamed for a crash.
        self.stream(path="/draft/counted")
        processes.wait_for(
            lambda: len(pattern.findall(self.node.read_log())) > before, 3.0
        )


class ClosingResponseTest(ClosingWorldTest):
    """Guards against sound responses that are lost or delayed."""

    def test_sound_responses_run_once(self):
        for desk in self.world.desks:
            desk.plain_body = b"x" * 300
        for _ in range(10):
            self.assertEqual(self.stream(), (200, ALL_EVENTS))
            self.assertEqual(self.ask("/status/x"), (200, b"x" * 300))
            self.assertEqual(self.ask("/lodge/x", b"y"), (200, b"x" * 300))
        self.assertEqual(self.world.count_runs(), 30)

    def test_events_are_not_held_back(self):
        for engine in self.world.engines:
            engine.status_mode = "hang"
        with self.node.open_socket() as caller:
            caller.settimeout(10)
            caller.sendall(STREAM_REQUEST)
            started_at = time.monotonic()
            received = b""
            while b"id: 4" not in received:
                received += caller.recv(4096)
            self.assertLess(time.monotonic() - started_at, CHECK_LIMIT_S)

    def serve_status(self):
        """Lets all upstreams respond to requests for their own state."""
        for upstream in self.upstreams:
            upstream.status_mode = "serve"

    def refuse_status(self):
        """Lets all upstreams refuse requests for their own state."""
        for upstream in self.upstreams:
            upstream.status_mode = "refuse"

    def test_responses_survive_checks_that_fail_once(self):
        for upstream in self.upstreams:
            upstream.status_mode = "reset"
        threading.Timer(0.15, self.serve_status).start()
        self.assertEqual(self.ask("/lodge/x", b"y")[0], 200)

    def test_response_at_its_deadline_is_delivered(self):
        for desk in self.world.desks:
            desk.plain_pause_s = 0.3
        try:
            response = self.node.request(
                "/lodge/x", b"y", Request_Deadline="301"
            )
        finally:
            for desk in self.world.desks:
                desk.plain_pause_s = 0.0
        self.assertEqual((response.status, response.data), (200, b"echo y"))

    def test_full_upstream_is_alive(self):
        for upstream in self.upstreams:
            upstream.status_mode = "refuse"
        self.assertEqual(self.ask("/lodge/x", b"y")[0], 200)
        self.assertEqual(self.stream(), (200, ALL_EVENTS))

    def test_full_upstream_may_respond_late(self):
        for upstream in self.upstreams:
            upstream.status_mode = "hang"
        threading.Timer(0.4, self.refuse_status).start()
        self.assertEqual(self.ask("/lodge/x", b"y")[0], 200)

    def test_response_without_evidence_is_not_complete(self):
        for upstream in self.upstreams:
            upstream.status_mode = "hang"
        self.assertEqual(self.ask("/lodge/x", b"y")[0], 502)
        for desk in self.world.desks:
            desk.plain_body = b"x" * 200_000
        self.assertIsNone(self.ask("/lodge/x", b"y"))

    def test_stream_without_evidence_is_completed_elsewhere(self):
        for engine in self.world.engines:
            engine.status_mode = "hang"
            engine.closing = False
        self.world.engines[0].closing = True
        for _ in range(8):
            self.assertEqual(self.stream(), (200, ALL_EVENTS))


if __name__ == "__main__":
    unittest.main()
