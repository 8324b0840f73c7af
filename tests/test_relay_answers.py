"""Tests of responses that the relay retains while another run is tried."""

import queue
import socket
import time
import unittest

import loguru

from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.shells import relay
from sycamorehollow.shells import streams
from tests import platform_standins

WAIT_S = 5.0
WHOLE = (
    b'data: {"choices":[{"delta":{"content":"small "}}]}\n\n'
    b'data: {"usage":{"prompt_tokens":7,"completion_tokens":1},"choices":[]}'
    b"\n\ndata: [DONE]\n\n"
)
PART = b'data: {"choices":[{"delta":{"content":"large "}}]}\n\n'


class Engine(platform_standins.Server):
    """An engine whose larger version truncates its response or sends none."""

    def handle(self, handler, body):
        """Sends a complete response, a part, nothing, or an error."""
        if b'"small"' in body:
            platform_standins.send(handler, 200, {}, WHOLE)
            return
        if b'"refusing"' in body:
            platform_standins.send(handler, 500, {}, b"{}")
            return
        if b'"silent"' in body:
            time.sleep(WAIT_S)
        handler.send_response(200)
        handler.end_headers()
        handler.wfile.write(PART)
        handler.close_connection = True


class RetainedAnswerTest(unittest.TestCase):
    """Guards against lost or mixed responses when a cascade falls back."""

    def setUp(self):
        self.engine = Engine()
        self.addCleanup(self.engine.stop)
        self.events = queue.SimpleQueue()
        self.relay = relay.Relay(self.events.put)
        self.relay.start()
        self.sockets = []
        self.addCleanup(self._close)

    def _close(self):
        self.relay.stop()
        for sock in self.sockets:
            sock.close()

    def _attach(self, streamed):
        near, self.far = socket.socketpair()
        self.sockets.extend((near, self.far))
        near.setblocking(False)
        self.far.settimeout(WAIT_S)
        self.reply = queue.SimpleQueue()
        caller = streams.CallerConnection(near, self.reply, streamed, b"}")
        self.relay.post(relay.AttachCaller("r", caller))

    def _start(self, attempt, version, hold):
        self.relay.post(
            lifecycle.StartAttempt(
                request_id="r",
                workspace="maps",
                attempt=attempt,
                run_id=f"r.{attempt}",
                upstream=f"u{attempt}",
                url=f"http://{self.engine.address}",
                version=version,
                priority=1,
                deadline=time.monotonic() + 60.0,
                buffer_chunks=hold,
                retain_previous=attempt > 1,
            )
        )

    def _await_event(self, kind):
        while True:
            event = self.events.get(timeout=WAIT_S)
            if isinstance(event, kind):
                return event

    def _finish_small(self, streamed):
        """Ends the request with the retained response; returns its events."""
        self.relay.post(lifecycle.FinishRequest("r", "u1", "small", "lost"))
        head = self.reply.get(timeout=WAIT_S)
        self.assertEqual((head.upstream, head.version), ("u1", "small"))
        if not streamed:
            return head.block
        self.relay.post(relay.HeadSent("r"))
        closed = self.reply.get(timeout=WAIT_S)
        self.assertTrue(closed.complete)
        return self.far.recv(65536)

    def test_answer_in_hand_outlasts_a_larger_version_that_breaks(self):
        for streamed in (True, False):
            for version in ("refusing", "silent"):
                with self.subTest(streamed=streamed, version=version):
                    self._attach(streamed)
                    self._start(1, "small", True)
                    self._await_event(lifecycle.AttemptCompleted)
                    self._start(2, version, False)
                    if version == "silent":
                        stop = lifecycle.CancelAttempt(
                            "r", 2, "r.2", "", "deadline", True
                        )
                        self.relay.post(stop)
                    event = self._await_event(lifecycle.AttemptFailed)
                    self.assertEqual(event.attempt, 2)
                    received = self._finish_small(streamed)
                    self.assertIn(b"small ", received)
                    self.assertNotIn(b"large ", received)
                    self.assertEqual(received.count(b"usage"), 1)
                    self.assertEqual(b"[DONE]" in received, streamed)

    def test_part_of_a_larger_answer_ends_what_was_retained(self):
        self._attach(True)
        self._start(1, "small", True)
        self._await_event(lifecycle.AttemptCompleted)
        self._start(2, "large", False)
        self._await_event(lifecycle.FirstChunkArrived)
        self._await_event(lifecycle.AttemptFailed)
        failure = failures.AnswerTruncated(
            "broke off", failures.Execution.UNKNOWN
        )
        self.relay.post(lifecycle.FailRequest("r", "maps", failure))
        self.assertEqual(self.reply.get(timeout=WAIT_S).version, "large")
        self.relay.post(relay.HeadSent("r"))
        self.assertFalse(self.reply.get(timeout=WAIT_S).complete)
        received = self.far.recv(65536)
        self.assertIn(b"large ", received)
        self.assertIn(b"answer_truncated", received)
        self.assertNotIn(b"small ", received)

    def _fail_at(self, address):
        """Returns the failure of an attempt at an address without an engine."""
        self._attach(True)
        self.engine.address = "%s:%d" % address
        self._start(1, "small", False)
        return self._await_event(lifecycle.AttemptFailed)

    def test_only_a_refused_connection_counts_as_refused(self):
        """Guards against taking a full listen backlog for a crash."""
        closed = socket.create_server(("127.0.0.1", 0))
        address = closed.getsockname()
        closed.close()
        event = self._fail_at(address)
        self.assertIs(event.end, lifecycle.AttemptEnd.NOT_SENT)
        self.assertTrue(event.connection_refused)
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(full.close)
        # With the backlog full, the kernel drops further connection attempts.
        for _ in range(2):
            waiting = socket.socket()
            waiting.setblocking(False)
            self.addCleanup(waiting.close)
            waiting.connect_ex(full.getsockname())
        event = self._fail_at(full.getsockname())
        self.assertIs(event.end, lifecycle.AttemptEnd.NOT_SENT)
        self.assertFalse(event.connection_refused)


class EndLogTest(unittest.TestCase):
    """Guards against a log that omits what ended an attempt."""

    def setUp(self):
        self.engine = Engine()
        self.addCleanup(self.engine.stop)
        self.lines = []
        sink = loguru.logger.add(
            lambda line: self.lines.append(str(line)), format="{message}"
        )
        self.addCleanup(loguru.logger.remove, sink)
        self.events = queue.SimpleQueue()
        self.relay = relay.Relay(self.events.put)
        self.relay.start()
        self.addCleanup(self.relay.stop)

    def _start(self, version):
        near, far = socket.socketpair()
        near.setblocking(False)
        caller = streams.CallerConnection(near, queue.SimpleQueue(), True, b"}")
        self.relay.post(relay.AttachCaller(version, caller))
        self.relay.post(
            lifecycle.StartAttempt(
                request_id=version,
                workspace="maps",
                attempt=1,
                run_id=version,
                upstream="u",
                url=f"http://{self.engine.address}",
                version=version,
                priority=1,
                deadline=time.monotonic() + 60.0,
                buffer_chunks=False,
            )
        )
        return near, far

    def _await_line(self, request_id):
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            for line in self.lines:
                if line.startswith(f"relay: ended request={request_id} "):
                    return line
            time.sleep(0.01)
        raise AssertionError(f"no line for {request_id} in {self.lines}")

    def test_each_end_names_who_made_it(self):
        sockets = [*self._start("large"), *self._start("silent")]
        self.assertIn("by=broken", self._await_line("large"))
        line = self._await_line("silent")
        self.assertRegex(line, r"by=silent .* silent_s=3\.\d\d events=0")
        self.lines.clear()
        sockets.extend(self._start("silent"))
        time.sleep(0.2)
        self.relay.post(
            lifecycle.CancelAttempt("silent", 1, "silent", "", "deadline")
        )
        self.assertIn("by=deadline", self._await_line("silent"))
        self.lines.clear()
        sockets.extend(self._start("silent"))
        time.sleep(0.2)
        sockets[-1].close()
        self.assertIn("by=caller", self._await_line("silent"))
        self.lines.clear()
        sockets.extend(self._start("silent"))
        time.sleep(0.2)
        self.relay.stop()
        self.assertIn("by=process stop", self._await_line("silent"))
        for sock in sockets:
            sock.close()
