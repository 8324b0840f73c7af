"""Tests of the relay with engines whose responses never end."""

import queue
import socket
import time
import tracemalloc
import unittest
from unittest import mock

from sycamorehollow.decisions.requests import buffers
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.shells import callers
from sycamorehollow.shells import engines
from sycamorehollow.shells import relay
from sycamorehollow.shells import streams
from tests import floods
from tests import platform_standins

# Memory limit for one endless response; a buffered response takes the most.
PEAK_BYTES = 3 * streams.MAX_BUFFERED_BYTES


class Engine(platform_standins.Server):
    """An engine whose responses never end."""

    kind = ""

    def handle(self, handler, body):
        """Sends an endless response part or endless valid events."""
        if self.kind != "events":
            floods.send_without_end(handler, self.kind, "q")
            return
        start = b"HTTP/1.1 200 OK\r\n\r\n"
        block = b"data: x\n\n" * 5000
        floods.write_without_end(handler, self.kind, start, block)


class RelayFloodTest(unittest.TestCase):
    """Guards against unbounded memory and time for an endless response."""

    def setUp(self):
        self.engine = Engine()
        self.addCleanup(self.engine.stop)
        self.events = queue.SimpleQueue()
        self.relay = relay.Relay(self.events.put)
        self.relay.start()
        self._sockets = []
        self.addCleanup(self._close)

    def _close(self):
        self.relay.stop()
        for sock in self._sockets:
            sock.close()

    def _attach(self, kind, streamed):
        """Attaches a caller and returns both ends of its connection."""
        near, far = socket.socketpair()
        self._sockets.extend((near, far))
        near.setblocking(False)
        caller = streams.CallerConnection(
            near, queue.SimpleQueue(), streamed, b"}"
        )
        self.relay.post(relay.AttachCaller(kind, caller))
        return near, far

    def _run(self, kind, streamed):
        """Starts an attempt; returns its failure and the seconds it took."""
        self.engine.kind = kind
        self._attach(kind, streamed)
        began = time.monotonic()
        self.relay.post(
            lifecycle.StartAttempt(
                request_id=kind,
                workspace="maps",
                attempt=1,
                run_id="q",
                upstream="a",
                url=f"http://{self.engine.address}",
                version="small-1",
                session="",
                priority=1,
                deadline=began + 60.0,
                resume_from=None,
                buffer_chunks=not streamed,
                copy_for_rating=False,
            )
        )
        while True:
            event = self.events.get(timeout=engines.SILENCE_TIMEOUT_S + 2.0)
            if isinstance(event, lifecycle.AttemptFailed):
                return event, time.monotonic() - began

    def test_answers_without_end_fail_in_time(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for kind in [*floods.RESPONSES_BY_KIND, "events"]:
            with self.subTest(kind):
                tracemalloc.reset_peak()
                event, took_s = self._run(kind, streamed=False)
                self.assertIsNot(event.end, lifecycle.AttemptEnd.REFUSED)
                limit_s = engines.SILENCE_TIMEOUT_S + relay.POLL_S + 0.5
                self.assertLess(took_s, limit_s)
                _, peak = tracemalloc.get_traced_memory()
                self.assertLess(peak, PEAK_BYTES)

    def test_unexpected_error_ends_one_stream_only(self):
        fault = mock.Mock(side_effect=RuntimeError("a fault"))
        with mock.patch.object(callers.CallerWriter, "is_closed", fault):
            _, far = self._attach("lost", streamed=True)
            far.close()
            event = self.events.get(timeout=2.0)
        self.assertIsInstance(event, lifecycle.CallerDisconnected)
        event, _ = self._run("endless-status", streamed=True)
        self.assertIs(event.end, lifecycle.AttemptEnd.BROKEN)

    def test_socket_that_was_closed_ends_one_stream_only(self):
        """Guards against a second error while a stream is being abandoned."""
        near, _ = self._attach("lost", streamed=True)
        # Messages are handled in order, so the caller is attached by then.
        self._run("endless-status", streamed=True)
        near.close()
        failure = failures.Overloaded("lost")
        self.relay.post(lifecycle.FailRequest("lost", "maps", failure))
        event = self.events.get(timeout=2.0)
        self.assertIsInstance(event, lifecycle.CallerDisconnected)
        event, _ = self._run("endless-status", streamed=True)
        self.assertIs(event.end, lifecycle.AttemptEnd.BROKEN)

    def test_unexpected_error_of_a_check_ends_one_stream_only(self):
        fault = mock.Mock(side_effect=[RuntimeError("a fault"), None, None])
        stalled = mock.Mock(side_effect=[RuntimeError("a fault"), (), ()])
        with (
            mock.patch.object(engines.EngineClient, "find_timeout", fault),
            mock.patch.object(callers.CallerWriter, "check_stalled", stalled),
        ):
            self._attach("lost", streamed=True)
            event = self.events.get(timeout=2.0)
        self.assertIsInstance(event, lifecycle.CallerDisconnected)
        event, _ = self._run("endless-status", streamed=True)
        self.assertIs(event.end, lifecycle.AttemptEnd.BROKEN)

    def test_unexpected_error_of_a_bound_spares_the_other_callers(self):
        stalled = []
        for name in ("first", "second"):
            self._attach(name, streamed=True)
            failure = failures.Overloaded("stalled")
            stalled.append(buffers.DisconnectCaller(name, failure))
        dropped = queue.SimpleQueue()

        def drop(stream):
            if stream.request_id == "first":
                raise RuntimeError("a fault")
            dropped.put(stream.request_id)

        found = mock.Mock(return_value=stalled)
        with (
            mock.patch.object(self.relay, "_drop_caller", drop),
            mock.patch.object(callers.CallerWriter, "check_stalled", found),
        ):
            self.assertEqual(dropped.get(timeout=2.0), "second")
        event = self.events.get(timeout=2.0)
        self.assertEqual(event, lifecycle.CallerDisconnected("first", 0))

    def test_engine_that_only_trickles_is_given_up(self):
        for kind in ("trickle-bytes", "trickle-comments"):
            with self.subTest(kind):
                event, _ = self._run(kind, streamed=True)
                self.assertIs(event.end, lifecycle.AttemptEnd.SILENT)
