"""Tests of the memory that heads of responses occupy while they are read."""

import asyncio
import tracemalloc
import unittest

import httptools

from sycamorehollow.model import forwarding
from sycamorehollow.shells import framing
from sycamorehollow.shells import response_heads
from sycamorehollow.shells.gateway import upstream_connections

BLOCK_BYTES = 64 * 1024
# What is read of a head, at most, before it is rejected.
MAX_READ_BYTES = 4 * framing.MAX_OVERHEAD_BYTES
# A longer head may be a proper one.
PROPER_HEADERS = 300


class FakeTransport(asyncio.Transport):
    """The part of a transport that a connection uses in these tests."""

    def write(self, data):
        """Drops the bytes."""

    def abort(self):
        """Does nothing."""


def build_headers(count, start=0):
    """Returns the bytes of short headers with different names."""
    return b"".join(b"x%d:1\r\n" % n for n in range(start, start + count))


def measure_peak(read):
    """Returns the peak of the memory in bytes that a function allocates."""
    tracemalloc.start()
    try:
        read()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class LongHeadTest(unittest.TestCase):
    """Guards against short headers that occupy many times their bytes."""

    @classmethod
    def setUpClass(cls):
        cls.head = b"HTTP/1.1 200 OK\r\n"
        lines = build_headers(MAX_READ_BYTES // 8)
        cls.blocks = [
            lines[at : at + BLOCK_BYTES]
            for at in range(0, MAX_READ_BYTES, BLOCK_BYTES)
        ]

    def open_connection(self):
        """Returns a connection of the gateway that has sent a request."""
        connection = upstream_connections.UpstreamConnection(
            lambda *_: forwarding.DecodedHead(200)
        )
        connection.connection_made(FakeTransport())
        connection.send_request("q", b"GET / HTTP/1.1\r\n\r\n")
        return connection

    def test_reader_of_the_gateway_is_bounded(self):
        connection = self.open_connection()

        def read():
            connection.data_received(self.head)
            for block in self.blocks:
                if connection.is_open:
                    connection.data_received(block)

        peak = measure_peak(read)
        self.assertFalse(connection.is_open)
        self.assertLess(peak, framing.MAX_OVERHEAD_BYTES)

    def test_reader_of_engines_is_bounded(self):
        reader = framing.ResponseReader()

        def read():
            reader.feed(self.head)
            with self.assertRaises(
                (httptools.HttpParserError, framing.OversizeError)
            ):
                for block in self.blocks:
                    reader.feed(block)

        self.assertLess(measure_peak(read), framing.MAX_OVERHEAD_BYTES)

    def test_interim_heads_count_as_one(self):
        connection = self.open_connection()
        interim = b"HTTP/1.1 103 Early Hints\r\n%s\r\n" % build_headers(100)
        for _ in range(MAX_READ_BYTES // len(interim)):
            if connection.is_open:
                connection.data_received(interim)
        self.assertFalse(connection.is_open)

    def test_proper_head_is_read(self):
        head = self.head + build_headers(PROPER_HEADERS)
        end = b"Content-Length: 0\r\n\r\n"
        connection = self.open_connection()
        connection.data_received(head + end)
        self.assertTrue(connection.is_open)
        reader = framing.ResponseReader()
        reader.feed(head + end)
        self.assertEqual(reader.status, 200)

    def test_each_response_has_a_limit_of_its_own(self):
        connection = self.open_connection()
        head = self.head + build_headers(PROPER_HEADERS)
        response = head + b"Content-Length: 0\r\n\r\n"
        count = response_heads.MAX_HEAD_BYTES // len(response) + 1
        for _ in range(count):
            connection.data_received(response)
            self.assertTrue(connection.finish_response())
            connection.send_request("q", b"GET / HTTP/1.1\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
