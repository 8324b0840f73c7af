"""Tests of the chat handler while the relay owns the caller's socket."""

import queue
import time
import unittest
from unittest import mock

from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests
from sycamorehollow.shells import chat
from sycamorehollow.shells import front
from sycamorehollow.shells import relay
from sycamorehollow.shells import streams


class PostedMessages:
    """Stub of the relay task that records messages."""

    def __init__(self, reply):
        self.messages = []
        self._reply = reply

    def post(self, message):
        self.messages.append(message)
        if isinstance(message, relay.HeadSent):
            self._reply.put(streams.StreamClosed(complete=False))
        if isinstance(message, lifecycle.FailRequest):
            self._reply.put(streams.FinalFailure(message.failure))


class ChatHandlerTest(unittest.TestCase):
    """Guards against a worker that returns too early or waits for ever."""

    def _wait(self, exchange, first, deadline):
        reply = queue.SimpleQueue()
        if first is not None:
            reply.put(first)
        posted = PostedMessages(reply)
        handler = chat.ChatHandler(front.Snapshot(), posted, print)
        request = requests.ModelRequest(
            "r1", "maps", "atlas", "", b"}", "f", 1, 1, True, deadline
        )
        handler._await_end(exchange, request, reply)
        return posted.messages

    def test_lost_caller_at_the_head_leaves_the_socket_to_the_relay(self):
        """An exception here would close a socket that the relay still uses."""
        exchange = mock.Mock()
        exchange.send_stream_head.side_effect = BrokenPipeError
        head = streams.SendHead("a", "small-1", "")
        sent = self._wait(exchange, head, time.monotonic() + 60.0)
        self.assertIsInstance(sent[0], relay.HeadSent)
        exchange.abort.assert_called_once()

    def test_request_without_an_end_gets_a_final_failure(self):
        exchange = mock.Mock()
        late = time.monotonic() - chat.LOST_REQUEST_GRACE_S
        self._wait(exchange, None, late)
        failure = exchange.send_failure.call_args.args[0]
        self.assertEqual(failure.code, "overloaded")
