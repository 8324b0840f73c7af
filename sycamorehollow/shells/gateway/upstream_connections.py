"""One connection to an upstream: sends requests and reads answers."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import socket
import time

import httptools

from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import header_codec

# Bytes that are read ahead of a slow caller.
READ_AHEAD_BYTES = 128 * 1024
# Bytes in a row that bring no part of an answer: heads, interim answers, late
# copies, framing and trailers. Well above any head that a server accepts.
MAX_OVERHEAD_BYTES = 256 * 1024
# Idle time after which a connection is not used again when the upstream does
# not state its own.
IDLE_S = 4.0
# Upstreams close a little before or after the time that they state.
IDLE_MARGIN_S = 0.6
# Time in milliseconds without an acknowledgement after which a peer counts as
# gone. An upstream is given up early, since its requests can go elsewhere; the
# time still allows for a lost packet that is sent again.
DEAD_UPSTREAM_MS = 800
DEAD_CALLER_MS = 3000
# Time in seconds in which an upstream that has dropped a kept connection resets
# what is sent on it: the way to any data centre and back, and the time in which
# a busy process notices.
STALE_S = 0.5


class BrokenError(Exception):
    """The upstream's answer did not arrive whole.

    Attributes:
        written: Whether any byte of the request was written.
        crashed: Whether the upstream ended the connection by itself.
    """

    def __init__(self, reason: str, written: bool = True, crashed: bool = True):
        super().__init__(reason)
        self.written = written
        self.crashed = crashed


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of an answer.

    Attributes:
        length: Bytes of the body; `None` when it is chunked or unframed.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    length: int | None
    decoded: forwarding.DecodedHead


class UpstreamConnection(asyncio.Protocol):
    """One connection; serves one request at a time.

    Attributes:
        used: Whether a request was sent on it before.
        idle_since: When its last answer ended.
        idle_s: Seconds for which it may be used again.
        sent_twice: Whether the present request was sent before on a connection
            that broke, and may have run there.
    """

    def __init__(
        self,
        decode: Callable[[int, header_codec.Headers], forwarding.DecodedHead],
    ):
        self.used = False
        self.idle_since = 0.0
        self.idle_s = IDLE_S
        self._decode = decode
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_dropped: Callable[[], None] | None = None
        self._wake = asyncio.Event()
        self._request_id = ""
        self._active = False
        self._parts = 0
        self._reset_answer()
        self._closed = False
        self._fault = ""
        self._way_lost = ""
        self._reusable = True
        self._renew: Callable[[], Awaitable[bool]] | None = None
        self._renewal: asyncio.Task[None] | None = None
        self.sent_twice = False
        self._request = b""
        self._sent_at = 0.0
        self._lost_at = float("inf")
        self._heard = False

    def _reset_answer(self) -> None:
        self._status_text = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: Head | None = None
        self._skipping = False
        self._unframed = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._overhead = 0
        self._ended = False

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent on it."""
        return not self._closed and not self._fault and self._reusable

    @property
    def has_news(self) -> bool:
        """Whether a reader need not wait."""
        return bool(self._chunks) or self._ended or not self.is_open

    def has_carried(self, request_id: str) -> bool:
        """Tells whether its last request had this identity.

        A late second answer to that one would pass for the next one's.
        """
        return bool(request_id) and self._request_id == request_id

    def watch_dropped(self, callback: Callable[[], None] | None) -> None:
        """Calls back when the connection ends while it is idle."""
        self._on_dropped = callback

    def allow_renewal(
        self, renew: Callable[[], Awaitable[bool]] | None
    ) -> None:
        """Sets what replaces a connection that turns out to be dropped.

        Args:
            renew: Connects once more by `reopen` and returns whether the
                request may be sent again; `None` if it may not run twice.
        """
        self._renew = renew
        self._renewal = None
        self.sent_twice = False

    def reopen(self) -> "UpstreamConnection":
        """Takes a new transport in place of the one that was lost."""
        self._parser = httptools.HttpResponseParser(self)
        self._closed = False
        self._lost_at = float("inf")
        return self

    def send(self, request_id: str, data: bytes) -> None:
        """Starts a request."""
        assert self._transport is not None
        self._reset_answer()
        self._request_id = request_id
        self._active = True
        self.used = True
        self._request = data if self._renew is not None else b""
        self._heard = False
        self._sent_at = time.monotonic()
        self._transport.write(data)

    async def read_head(self) -> Head:
        """Waits for the head of the answer.

        Raises:
            BrokenError: The connection ended before.
        """
        while self._head is None:
            if self._renew is not None and self._was_stale():
                renew, self._renew = self._renew, None
                self._renewal = asyncio.create_task(self._send_again(renew))
            if self._renewal is not None and not self._renewal.done():
                # Whoever waits looks at its time now and then, which must not
                # end the renewal.
                await asyncio.shield(self._renewal)
                continue
            self._check()
            await self._sleep()
        return self._head

    async def _send_again(self, renew: Callable[[], Awaitable[bool]]) -> None:
        """Sends the request on a new connection, if there is one."""
        request, self._request = self._request, b""
        if await renew():
            self.send(self._request_id, request)
            self.sent_twice = True

    async def read_body(self) -> bytes:
        """Waits for more of the body; returns nothing at its end.

        Raises:
            BrokenError: The connection ended before the body did.
        """
        while not self._chunks and not self._ended:
            self._check()
            await self._sleep()
        if not self._chunks:
            return b""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()
        return data

    def finish(self) -> bool:
        """Ends the present answer; returns whether it may be used again."""
        self._active = False
        self._request = b""
        self.idle_since = time.monotonic()
        return self._ended and self.is_open

    def close(self) -> None:
        """Ends the connection and with it the request."""
        self._closed = True
        self._on_dropped = None
        if self._renewal is not None:
            self._renewal.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _was_stale(self) -> bool:
        """Whether the upstream had dropped the connection before the request.

        Then it resets what is sent, at once and without a byte of an answer.
        """
        return (
            self._lost_at - self._sent_at < STALE_S
            and not self._heard
            and not self._fault
            and not self._way_lost
        )

    def _check(self) -> None:
        if self._fault:
            raise BrokenError(self._fault, crashed=False)
        if self._way_lost:
            raise BrokenError(self._way_lost, crashed=False)
        if self._closed:
            raise BrokenError("the upstream closed the connection")

    async def _sleep(self) -> None:
        self._wake.clear()
        await self._wake.wait()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses a piece of the answer."""
        self._heard = True
        if not self._active or self._ended:
            # Bytes that belong to no request.
            self._drop("the upstream sent more than its answer")
            return
        parts = self._parts
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._ended:
                self._drop(f"the answer is no HTTP: {error}")
            else:
                self._reusable = False
        self._overhead = (
            0 if self._parts > parts else self._overhead + len(data)
        )
        if self._overhead > MAX_OVERHEAD_BYTES and not self._ended:
            self._drop("the upstream sends bytes that are no answer")
        self._wake.set()

    def eof_received(self) -> bool:
        """Ends an answer without a length."""
        if self._unframed and not self._skipping and not self._fault:
            self._ended = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wakes the reader of the answer."""
        self._closed = True
        self._lost_at = time.monotonic()
        if error is not None and not isinstance(error, ConnectionError):
            # No reset came from the upstream: its acknowledgements stopped.
            self._way_lost = f"the way to the upstream is lost: {error}"
        self._wake.set()
        if self._on_dropped is not None:
            self._on_dropped()

    def _drop(self, reason: str) -> None:
        self._fault = self._fault or reason
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()
        self._wake.set()

    def on_message_begin(self) -> None:
        """Starts the next answer; a second one belongs to no request."""
        if self._ended:
            self._reusable = False

    def on_status(self, status: bytes) -> None:
        """Keeps the reason phrase."""
        if not self._ended:
            self._status_text += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header; trailers are dropped."""
        if self._head is None and not self._ended:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Takes the head if it answers the present request."""
        status = self._parser.get_status_code()
        if self._ended or 100 <= status < 200:
            self._headers = []
            return
        decoded = self._decode(status, self._headers)
        fields = {name.lower(): value for name, value in self._headers}
        if b"close" in fields.get(b"connection", b"").lower():
            self._reusable = False
        if decoded.request_id and decoded.request_id != self._request_id:
            # A late second answer to an earlier request.
            self._skipping = True
            self._reusable = False
            return
        length = fields.get(b"content-length")
        chunked = b"chunked" in fields.get(b"transfer-encoding", b"").lower()
        self._unframed = length is None and not chunked
        if self._unframed:
            self._reusable = False
        if decoded.keep_alive_s is not None:
            self.idle_s = max(0.0, decoded.keep_alive_s - IDLE_MARGIN_S)
        self._parts += 1
        self._head = Head(
            status,
            self._status_text,
            self._headers,
            int(length) if length and not chunked else None,
            decoded,
        )

    def on_body(self, data: bytes) -> None:
        """Keeps a piece of the body."""
        if self._skipping or self._ended or self._head is None:
            return
        self._parts += 1
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > READ_AHEAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Ends the answer, or the one that was skipped."""
        if self._skipping:
            self._skipping = False
            self._headers = []
            self._status_text = b""
            return
        if self._head is not None:
            self._parts += 1
            self._ended = True


def set_options(transport: asyncio.BaseTransport, dead_ms: int) -> None:
    """Sends small writes at once and notices a peer that is gone."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, dead_ms)
