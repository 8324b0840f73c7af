"""Tests of connections to upstreams that are lost during a request."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import threading
import time
import unittest
from unittest import mock

import urllib3

from sycamorehollow.decisions.forwarding import quarantine
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import crash_checker
from sycamorehollow.shells.gateway import isolation_survey
from sycamorehollow.shells.gateway import telemetry
from sycamorehollow.shells.gateway import upstream_connections
from tests import forwarding_world
from tests import gateway_world
from tests import platform_standins
from tests import processes

# More than a socket buffers while its reader is stalled.
LARGE_BYTES = 4_000_000


def build_upstream(listener):
    """Returns an upstream with the address of a listening socket."""
    host, port = listener.getsockname()[:2]
    return forwarding.Upstream(
        "desk", "desk", host, port, "dc-1", "v1", 8, False
    )


def reset(accepted):
    """Resets a connection."""
    linger = struct.pack("ii", 1, 0)
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    accepted.close()


class BreakTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost connections whose cause is mistaken.

    Only a connection that the upstream itself has closed may be a crash, and
    only a request on a connection that was closed before it may be resent.
    """

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.upstream = build_upstream(self.listener)
        self.pool = connection_pool.ConnectionPool(
            lambda status, headers: forwarding.DecodedHead(status, "q")
        )

    async def _send(self, body):
        """Sends a request; returns its connection and the upstream's socket."""
        connection = await self.pool.acquire(self.upstream, "q", True)
        self.addCleanup(connection.close)
        accepted, _ = self.listener.accept()
        self.addCleanup(accepted.close)
        connection.send_request("q", body)
        return connection, accepted

    async def _read_error(self, connection):
        """Returns the error that ends the wait for an response."""
        with self.assertRaises(
            upstream_connections.UpstreamConnectionError
        ) as caught:
            async with asyncio.timeout(5.0):
                await connection.read_head()
        return caught.exception

    async def test_lost_way_to_an_upstream_is_no_crash(self):
        # Acknowledgements stop, as when packets are lost.
        connection, _ = await self._send(b"x" * LARGE_BYTES)
        error = await self._read_error(connection)
        self.assertFalse(error.closed_by_upstream, error)

    async def test_reset_and_closed_connections_may_be_crashes(self):
        for end in (reset, socket.socket.close):
            with self.subTest(end.__name__):
                connection, accepted = await self._send(b"x")
                accepted.recv(1)
                end(accepted)
                error = await self._read_error(connection)
                self.assertTrue(error.closed_by_upstream, error)

    async def _send_on_pooled(self, is_retryable):
        """Sends a second request on a connection; returns both sockets."""
        self.pool = connection_pool.ConnectionPool(
            lambda status, headers: forwarding.DecodedHead(status, ""),
            self._reserve_retry,
        )
        self.reserved = 0
        connection, accepted = await self._send(b"x")
        accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await connection.read_head()
        self.pool.release(self.upstream, connection, 1)
        again = await self.pool.acquire(self.upstream, "r", is_retryable)
        self.assertIs(again, connection)
        connection.send_request("r", b"y")
        return connection, accepted

    def _reserve_retry(self, upstream):
        self.reserved += 1
        return True

    async def test_request_on_a_dropped_connection_is_sent_once_more(self):
        connection, accepted = await self._send_on_pooled(True)
        reset(accepted)
        reading = asyncio.create_task(connection.read_head())
        while not self.reserved:
            await asyncio.sleep(0.01)
        again, _ = await asyncio.to_thread(self.listener.accept)
        self.assertEqual(await asyncio.to_thread(again.recv, 9), b"y")
        again.sendall(b"HTTP/1.1 201 Made\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual((await reading).status, 201)
        # The new connection is pooled, and its loss is noticed.
        self.pool.release(self.upstream, connection, 1)
        self.assertIs(
            await self.pool.acquire(self.upstream, "s", True), connection
        )
        again.close()

    async def test_renewal_outlasts_looks_at_the_time(self):
        connection, accepted = await self._send_on_pooled(True)
        connect = self.pool._connect

        async def connect_late(*arguments):
            await asyncio.sleep(0.2)
            return await connect(*arguments)

        with mock.patch.object(self.pool, "_connect", connect_late):
            reset(accepted)
            for _ in range(8):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.05):
                        await connection.read_head()
        again, _ = await asyncio.to_thread(self.listener.accept)
        self.assertEqual(await asyncio.to_thread(again.recv, 9), b"y")
        self.assertTrue(connection.was_resent)

    async def test_repeat_is_returned_when_a_renewal_fails(self):
        returned = []
        connection, accepted = await self._send_on_pooled(True)
        self.pool._refund_retry = returned.append
        self.listener.close()
        reset(accepted)
        await self._read_error(connection)
        self.assertEqual(returned, [self.upstream])

    async def test_second_loss_of_a_connection_ends_the_attempt(self):
        connection, accepted = await self._send_on_pooled(True)
        reset(accepted)
        reading = asyncio.create_task(self._read_error(connection))
        again, _ = await asyncio.to_thread(self.listener.accept)
        reset(again)
        self.assertTrue((await reading).closed_by_upstream)
        self.assertEqual(self.reserved, 1)

    async def test_crash_on_a_kept_connection_is_a_crash(self):
        connection, accepted = await self._send_on_pooled(True)
        self.listener.close()
        reset(accepted)
        error = await self._read_error(connection)
        self.assertTrue(
            error.closed_by_upstream and error.request_written, error
        )

    async def test_request_that_may_not_run_twice_is_not_sent_again(self):
        connection, accepted = await self._send_on_pooled(False)
        reset(accepted)
        await self._read_error(connection)
        self.assertEqual(self.reserved, 0)

    async def test_request_that_has_run_for_a_while_is_not_sent_again(self):
        connection, accepted = await self._send_on_pooled(True)
        await asyncio.sleep(2 * upstream_connections.STALE_RESET_WINDOW_S)
        reset(accepted)
        await self._read_error(connection)
        self.assertEqual(self.reserved, 0)

    async def test_upstream_that_sheds_connections_is_reachable(self):
        def shed():
            with contextlib.suppress(OSError):
                while True:
                    reset(self.listener.accept()[0])

        shedding = threading.Thread(target=shed, daemon=True)
        shedding.start()
        probe = asyncio.create_task(self.pool.is_reachable(self.upstream))
        while not probe.done():
            # In a busy process a new connection is reset before the event
            # loop handles it.
            await asyncio.sleep(0)
            time.sleep(0.02)
        self.assertTrue(probe.result())
        self.listener.shutdown(socket.SHUT_RDWR)
        shedding.join()

    async def test_upstream_with_a_full_backlog_is_reachable(self):
        with (
            socket.create_server(("127.0.0.1", 0), backlog=0) as listener,
            socket.create_connection(listener.getsockname()),
        ):
            busy = build_upstream(listener)
            self.assertTrue(await self.pool.is_reachable(busy))

    async def test_upstream_that_has_ended_is_not_reachable(self):
        self.listener.close()
        self.assertFalse(await self.pool.is_reachable(self.upstream))


class CrashCheckTest(unittest.IsolatedAsyncioTestCase):
    """Guards against content that is quarantined although it crashed nothing.

    In each test three upstreams have closed the connection of a request.
    """

    def setUp(self):
        self.listeners = []
        upstreams = []
        for number in range(3):
            listener = socket.create_server(("127.0.0.1", 0))
            self.addCleanup(listener.close)
            self.listeners.append(listener)
            upstreams.append(
                forwarding_world.build_upstream(
                    f"e-{number}", port=listener.getsockname()[1]
                )
            )
        self.upstreams = upstreams
        self.router = forwarding_world.build_router(*upstreams)
        pool = connection_pool.ConnectionPool(mock.Mock())
        sink = telemetry.Telemetry()
        self.checks = crash_checker.CrashChecker(
            self.router,
            pool,
            sink,
            isolation_survey.IsolationSurvey(self.router, pool, sink),
        )

    async def _is_quarantined(self):
        """Runs the checks after three breaks; returns if they quarantine."""
        now = time.monotonic()
        for upstream in self.upstreams:
            run = "/".join(map(str, upstream.incarnation))
            self.router.quarantine.record_break("f", run, now)
        await asyncio.sleep(quarantine.CHECK_AFTER_S)
        self.checks.start_due_checks()
        await asyncio.sleep(0.5)
        return self.router.quarantine.is_quarantined("f", time.monotonic())

    async def test_upstreams_that_reset_connections_and_live(self):
        self.assertFalse(await self._is_quarantined())

    async def test_upstreams_that_leave_by_plan(self):
        for listener, upstream in zip(
            self.listeners, self.upstreams, strict=True
        ):
            listener.close()
            leaving = dataclasses.replace(upstream, draining=True)
            self.router.apply_event(updates.UpstreamSet(leaving), 0.0)
        self.assertFalse(await self._is_quarantined())

    async def test_upstreams_that_reset_every_connection_are_counted(self):
        def shed(listener):
            with contextlib.suppress(OSError):
                while True:
                    reset(listener.accept()[0])

        for listener in self.listeners:
            threading.Thread(target=shed, args=[listener], daemon=True).start()
            self.addCleanup(listener.shutdown, socket.SHUT_RDWR)
        self.assertTrue(await self._is_quarantined())

    async def test_upstreams_that_crash_are_counted(self):
        for listener in self.listeners:
            listener.close()
        self.assertTrue(await self._is_quarantined())

    async def test_upstreams_that_others_reach_are_not_counted(self):
        for listener in self.listeners:
            listener.close()
        self.router.isolation.record_survey(False, False, time.monotonic())
        # A request has been served through another node meanwhile.
        self.router.isolation.is_confirmed = True
        self.assertFalse(await self._is_quarantined())

    async def test_upstreams_that_were_started_again_are_counted(self):
        for upstream in self.upstreams:
            later = dataclasses.replace(upstream, started_ms=9)
            self.router.apply_event(updates.UpstreamSet(later), 0.0)
        self.assertTrue(await self._is_quarantined())

    async def test_check_that_fails_leaves_the_break_counted(self):
        with mock.patch.object(
            connection_pool.ConnectionPool,
            "can_hold_connection",
            side_effect=RuntimeError("no check"),
        ):
            self.assertTrue(await self._is_quarantined())


class CrashingEngine(platform_standins.Upstream):
    """An engine whose process crashes with each request that it runs."""

    def record_run(self, handler, headers, body):
        """Closes the listening socket, as the exit of a process does."""
        super().record_run(handler, headers, body)
        self.mode = "reset"
        self._server.socket.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self.stop, daemon=True).start()


class QuarantinedContentTest(unittest.TestCase):
    """Guards against harmless content that is rejected, and the opposite."""

    def setUp(self):
        self.world = gateway_world.World(engines=4)
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]

    def _set_mode(self, mode):
        for engine in self.world.engines:
            engine.mode = mode

    def _check_served(self):
        """Waits for the crash checks and repeats the request."""
        time.sleep(1.0)
        self._set_mode("serve")
        response = self.node.stream()
        self.assertEqual(response.status, 200, response.data)

    def test_content_is_served_after_upstreams_reset_it(self):
        self._set_mode("reset")
        self.assertEqual(self.node.stream().status, 502)
        self.assertEqual(self.world.count_runs(), 3)
        self._check_served()

    def test_content_is_served_after_upstreams_cut_its_streams(self):
        self._set_mode("cut")
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.node.stream()
        self.assertEqual(self.world.count_runs(), 3)
        self._check_served()

    def test_content_is_served_after_callers_left(self):
        for engine in self.world.engines:
            engine.first_gap_s = 0.3
        for _ in range(8):
            with self.node.open_socket() as caller:
                caller.settimeout(5)
                caller.sendall(
                    b"POST /draft/1 HTTP/1.1\r\nHost: models.example\r\n"
                    b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
                    b"Accept: text/event-stream\r\nModel: *\r\n"
                    b"Content-Length: 6\r\n\r\nprompt"
                )
                self.assertTrue(caller.recv(100))
        self.assertGreaterEqual(self.world.count_runs(), 8)
        self._check_served()
        self.assertNotIn("break=", self.node.read_log())

    def test_content_is_served_after_the_cascade_dropped_its_answers(self):
        for engine in self.world.engines:
            engine.confidences = {"small": 1}
        for _ in range(8):
            self.assertEqual(self.node.stream().status, 200)
        self.assertIn("discarded at confidence", self.node.read_log())
        self._check_served()
        self.assertNotIn("break=", self.node.read_log())

    def test_content_that_crashes_three_upstreams_is_refused(self):
        for engine in self.world.engines:
            self.world.store.remove(f"servers/{engine.identity}")
        fragile = [CrashingEngine(f"fragile-{n}") for n in range(4)]
        for engine in fragile:
            self.addCleanup(engine.stop)
            engine.register(self.world.store, "llm")
        processes.wait_for(
            lambda: (
                "upstream=fragile-3" in self.node.read_log()
                and "upstream=engine-3 removed" in self.node.read_log()
            )
        )
        for _ in range(3):
            self.assertEqual(self.node.stream().status, 502)
        # The crash checks have confirmed the crashes.
        time.sleep(1.0)
        response = self.node.stream()
        self.assertEqual(response.status, 502)
        self.assertIn(b"have crashed upstreams", response.data)
        self.assertEqual(sum(len(engine.run_requests) for engine in fragile), 3)
