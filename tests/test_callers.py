"""Tests of the relay's writes to callers."""

import queue
import selectors
import socket
import unittest

from sycamorehollow.shells import callers
from sycamorehollow.shells import streams


class CallerWriterTest(unittest.TestCase):
    """Guards against a relay that busy-loops or misses a disconnect.

    A pipelined request makes the socket readable until it is read.
    """

    def setUp(self):
        self.selector = selectors.DefaultSelector()
        self.addCleanup(self.selector.close)
        near, self.far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(self.far.close)
        caller = streams.CallerConnection(near, queue.SimpleQueue(), True, b"}")
        caller.head_sent = True
        self.stream = streams.Stream("r1", caller)
        self.writer = callers.CallerWriter(self.selector)
        self.writer.watch(self.stream)

    def test_early_next_request_does_not_wake_the_relay_again(self):
        self.far.send(b"POST /v1/chat/completions HTTP/1.1\r\n")
        self.assertEqual(len(self.selector.select(0)), 1)
        self.assertFalse(self.writer.is_closed(self.stream))
        self.assertEqual(self.selector.select(0), [])
        self.writer.append(self.stream, b"data: x\n\n")
        self.assertTrue(self.writer.flush(self.stream))
        self.assertEqual(self.selector.select(0), [])

    def test_closed_connection_is_noticed(self):
        self.far.close()
        self.assertEqual(len(self.selector.select(0)), 1)
        self.assertTrue(self.writer.is_closed(self.stream))

    def test_full_socket_is_written_when_it_drains(self):
        block = b"data: " + b"x" * 100_000 + b"\n\n"
        for _ in range(40):
            self.writer.append(self.stream, block)
        self.assertTrue(self.writer.flush(self.stream))
        self.assertTrue(self.stream.caller.buffer)
        self.assertEqual(self.selector.select(0), [])
        while self.stream.caller.buffer:
            self.far.recv(1 << 20)
            self.assertTrue(self.writer.flush(self.stream))
        self.writer.unwatch(self.stream)
