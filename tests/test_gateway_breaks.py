"""Tests of connections to upstreams that break while a request is open."""

import asyncio
import contextlib
import socket
import struct
import threading
import time
import unittest

from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import upstream_connections

# More than a socket buffers while its reader is stuck.
LARGE_BYTES = 4_000_000


def build_upstream(listener):
    """Returns the entry of an upstream that listens on a socket."""
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
    """Guards against breaks whose cause is mistaken."""

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.upstream = build_upstream(self.listener)
        self.pool = connection_pool.ConnectionPool(
            lambda status, headers: forwarding.AnswerHead(status, "q")
        )

    async def _send(self, body):
        """Sends a request; returns its connection and the upstream's end."""
        connection = await self.pool.take(self.upstream, "q", True)
        self.addCleanup(connection.close)
        accepted, _ = self.listener.accept()
        self.addCleanup(accepted.close)
        connection.send("q", body)
        return connection, accepted

    async def _read_break(self, connection):
        """Returns the error that ends the wait for an answer."""
        with self.assertRaises(upstream_connections.BrokenError) as caught:
            async with asyncio.timeout(5.0):
                await connection.read_head()
        return caught.exception

    async def test_lost_way_to_an_upstream_is_no_crash(self):
        # No acknowledgement for too long, as when packets are lost.
        connection, _ = await self._send(b"x" * LARGE_BYTES)
        error = await self._read_break(connection)
        self.assertFalse(error.crashed, error)

    async def test_reset_and_closed_connections_may_be_crashes(self):
        for end in (reset, socket.socket.close):
            with self.subTest(end.__name__):
                connection, accepted = await self._send(b"x")
                accepted.recv(1)
                end(accepted)
                error = await self._read_break(connection)
                self.assertTrue(error.crashed, error)

    async def test_upstream_that_sheds_connections_is_reachable(self):
        def shed():
            with contextlib.suppress(OSError):
                while True:
                    reset(self.listener.accept()[0])

        shedding = threading.Thread(target=shed, daemon=True)
        shedding.start()
        probe = asyncio.create_task(self.pool.is_reachable(self.upstream))
        while not probe.done():
            # In a busy process a new connection is reset before it is seen.
            await asyncio.sleep(0)
            time.sleep(0.02)
        self.assertTrue(probe.result())
        self.listener.shutdown(socket.SHUT_RDWR)
        shedding.join()

    async def test_upstream_that_has_ended_is_not_reachable(self):
        self.listener.close()
        self.assertFalse(await self.pool.is_reachable(self.upstream))
