"""Upstreams that respond without a length before they have read a request."""

import collections
import dataclasses
import enum
import itertools
import socket
import time

from tests import platform_standins

# Well below the uploads of the tests, so that most of them cannot be written.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Input that the host of an upstream holds and that its process has not read.
UNREAD_BYTES = 8192
# Longer than a check of the upstream takes.
GAP_S = 0.05


class End(enum.Enum):
    """How the connection of an early response ends."""

    RESET = "reset"
    EOF_THEN_RESET = "end of the stream, then a reset"
    CLOSE = "close with unread input"
    # The only end after which the response is complete.
    EOF_THEN_READ = "end of the stream, then the rest is read"


BROKEN_ENDS = (End.RESET, End.EOF_THEN_RESET, End.CLOSE)


@dataclasses.dataclass(frozen=True)
class Plan:
    """One early response.

    Attributes:
        end: How its connection ends.
        read_first: Bytes of the upload that are read before it.
        read_later: Bytes that are read between its body and its end.
        gap_s: Seconds between the end of the stream and a reset.
        body: What is sent of the body of a plain response.
    """

    end: End
    read_first: int = 0
    read_later: int = 0
    gap_s: float = 0.0
    body: bytes = b"x" * 400


class _EarlyReader:
    """Part of a server that may respond to an upload before it has read it.

    Attributes:
        plans: Early responses; each request with a body takes one.
    """

    plans: collections.deque

    def _listen(self, port):
        super()._listen(port)
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def read_body(self, handler, length):
        """Returns the body of a request, or the part to read at first."""
        handler.plan = self._take_plan() if length else None
        if handler.plan is None:
            return super().read_body(handler, length)
        handler.unread_bytes = length - handler.plan.read_first
        return handler.rfile.read(handler.plan.read_first)

    def _take_plan(self):
        try:
            return self.plans.popleft()
        except IndexError:
            return None


class EarlyServer(_EarlyReader, platform_standins.Server):
    """A server that may respond early, and else responds with a length.

    Attributes:
        requests: Number of requests received.
    """

    def __init__(self):
        self.plans = collections.deque()
        self.requests = 0
        super().__init__()

    def handle(self, handler, body):
        """Responds to one request."""
        self.requests += 1
        if handler.plan is None:
            platform_standins.send(handler, 200, {}, b"{}")
            return
        _respond_early(handler, {}, handler.plan.body)


class EarlyUpstream(_EarlyReader, platform_standins.Upstream):
    """An upstream that may respond early."""

    def __init__(self, identity, port=0):
        self.plans = collections.deque()
        super().__init__(identity, port)

    def _respond(self, handler, headers, response_headers, body):
        """Responds early if the request has taken a plan."""
        if handler.plan is None:
            super()._respond(handler, headers, response_headers, body)
            return
        body = handler.plan.body
        if headers.get("Accept") == "text/event-stream":
            body = b"".join(self.build_event(n, headers) for n in (1, 2))
        _respond_early(handler, response_headers, body)


def _respond_early(handler, fields, body):
    """Sends a response without a length and ends its connection."""
    plan = handler.plan
    handler.send_response(200)
    for name, value in fields.items():
        handler.send_header(name, value)
    handler.send_header("Connection", "close")
    handler.end_headers()
    handler.wfile.write(body)
    handler.rfile.read(plan.read_later)
    if plan.end in (End.EOF_THEN_RESET, End.EOF_THEN_READ):
        handler.connection.shutdown(socket.SHUT_WR)
        time.sleep(plan.gap_s)
    if plan.end is End.EOF_THEN_READ:
        handler.rfile.read(handler.unread_bytes - plan.read_later)
    if plan.end in (End.RESET, End.EOF_THEN_RESET):
        platform_standins.reset(handler)
        return
    handler.connection.close()
    handler.close_connection = True
    handler.rfile.close()
    handler.wfile.close()


def list_broken_plans(upload_bytes, body):
    """Returns early responses that are not complete.

    Their connections end before, while and after the rest of the upload is
    written.

    Args:
        upload_bytes: Length of the upload.
        body: What they send of their body.
    """
    half, most = upload_bytes // 2, upload_bytes - UNREAD_BYTES
    read = ((0, 0), (0, half), (half, 0), (most, 0), (0, most))
    plans = []
    for end, (first, later) in itertools.product(BROKEN_ENDS, read):
        plans.append(Plan(end, first, later, body=body))
        if end is End.EOF_THEN_RESET:
            plans.append(dataclasses.replace(plans[-1], gap_s=GAP_S))
    return plans


def list_late_resets(upload_bytes, body):
    """Returns responses that are reset after the whole upload was written.

    Args:
        upload_bytes: Length of the upload.
        body: What they send of their body.
    """
    first = upload_bytes - UNREAD_BYTES
    return [
        Plan(End.EOF_THEN_RESET, first, gap_s=gap_s, body=body)
        for gap_s in (0.0, GAP_S)
    ]


def describe(plan):
    """Returns the fields of a plan with the length of the body."""
    return dataclasses.astuple(plan)[:-1], len(plan.body)
