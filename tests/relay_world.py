"""Attempts of the relay of an entry process at a server."""

import queue
import socket
import time
import unittest

from sycamorehollow.model import lifecycle
from sycamorehollow.shells import relay
from sycamorehollow.shells import streams

WAIT_S = 5.0
# Well below the time after which a silent engine is left.
AT_ONCE_S = 1.0
WHOLE = (
    b'data: {"choices":[{"delta":{"content":"small "}}]}\n\n'
    b'data: {"usage":{"prompt_tokens":7,"completion_tokens":1},"choices":[]}'
    b"\n\ndata: [DONE]\n\n"
)
# Two events without the end marker.
PART = WHOLE[: WHOLE.index(b"data: [DONE]")]


class RelayTest(unittest.TestCase):
    """Base of tests of a relay."""

    def setUp(self):
        self._events = queue.SimpleQueue()
        self._relay = relay.Relay(self._events.put)
        self._relay.start()
        self._sockets = []
        self.addCleanup(self._close)

    def _close(self):
        self._relay.stop()
        for sock in self._sockets:
            sock.close()

    def run_attempt(self, address, body_rest=b"}"):
        """Returns the event that ends an attempt at an address.

        Args:
            address: Host and port of the engine.
            body_rest: Body of the request after the model.
        """
        near, far = socket.socketpair()
        self._sockets.extend((near, far))
        near.setblocking(False)
        caller = streams.CallerConnection(
            near, queue.SimpleQueue(), True, body_rest
        )
        self._relay.post(relay.AttachCaller("r", caller))
        self._relay.post(
            lifecycle.StartAttempt(
                request_id="r",
                workspace="maps",
                attempt=1,
                run_id="r.1",
                upstream="u1",
                url=f"http://{address}",
                version="small",
                priority=1,
                deadline=time.monotonic() + 60.0,
                buffer_chunks=True,
            )
        )
        ends = lifecycle.AttemptFailed | lifecycle.AttemptCompleted
        while True:
            event = self._events.get(timeout=WAIT_S)
            if isinstance(event, ends):
                return event

    def assert_broken(self, address, body_rest=b"}"):
        """Checks that an attempt counts at once as one that may have run."""
        began = time.monotonic()
        event = self.run_attempt(address, body_rest)
        self.assertIsInstance(event, lifecycle.AttemptFailed)
        self.assertIs(event.end, lifecycle.AttemptEnd.BROKEN)
        self.assertLess(time.monotonic() - began, AT_ONCE_S)
