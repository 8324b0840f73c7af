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
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Upstreams close a little before or after the time that they state.
IDLE_TIMEOUT_MARGIN_S = 0.6
# Time in milliseconds without an acknowledgement after which a peer counts as
# gone. An upstream is given up early, since its requests can go elsewhere; the
# time still allows for a lost packet that is sent again.
UPSTREAM_USER_TIMEOUT_MS = 800
CALLER_USER_TIMEOUT_MS = 3000
# Time in seconds in which an upstream that has dropped a kept connection resets
# what is sent on it: the way to any data centre and back, and the time in which
# a busy process notices.
STALE_RESET_WINDOW_S = 0.5


class UpstreamConnectionError(Exception):
    """The upstream's answer did not arrive whole.

    Attributes:
        request_written: Whether any byte of the request was written.
        closed_by_upstream: Whether the upstream ended the connection by itself.
    """

    def __init__(
        self,
        reason: str,
        request_written: bool = True,
        closed_by_upstream: bool = True,
    ):
        super().__init__(reason)
        self.request_written = request_written
        self.closed_by_upstream = closed_by_upstream


@dataclasses.dataclass(frozen=True)
class ResponseHead:
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
        has_sent_request: Whether a request was sent on it before.
        idle_since: When its last answer ended.
        idle_timeout_s: Seconds for which it may be used again.
        was_resent: Whether the present request was sent before on a connection
            that broke, and may have run there.
    """

    def __init__(
        self,
        decode_head: Callable[
            [int, header_codec.Headers], forwarding.DecodedHead
        ],
    ):
        self.has_sent_request = False
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._decode_head = decode_head
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._drop_callback: Callable[[], None] | None = None
        self._data_event = asyncio.Event()
        self._request_id = ""
        self._has_request = False
        self._progress = 0
        self._reset_response()
        self._closed = False
        self._error = ""
        self._path_error = ""
        self._reusable = True
        self._reconnect: Callable[[], Awaitable[bool]] | None = None
        self._resend_task: asyncio.Task[None] | None = None
        self.was_resent = False
        self._request_data = b""
        self._sent_at = 0.0
        self._lost_at = float("inf")
        self._received_bytes = False

    def _reset_response(self) -> None:
        self._reason_phrase = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: ResponseHead | None = None
        self._is_late = False
        self._ends_at_eof = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._overhead_bytes = 0
        self._ended = False

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent on it."""
        return not self._closed and not self._error and self._reusable

    @property
    def can_read_without_waiting(self) -> bool:
        """Whether a reader need not wait."""
        return bool(self._chunks) or self._ended or not self.is_open

    def has_carried(self, request_id: str) -> bool:
        """Tells whether its last request had this identity.

        A late second answer to that one would pass for the next one's.
        """
        return bool(request_id) and self._request_id == request_id

    def set_drop_callback(self, callback: Callable[[], None] | None) -> None:
        """Calls back when the connection ends while it is idle."""
        self._drop_callback = callback

    def set_reconnect(
        self, reconnect: Callable[[], Awaitable[bool]] | None
    ) -> None:
        """Sets what replaces a connection that turns out to be dropped.

        Args:
            reconnect: Connects again by `reset_for_reconnect` and returns
                whether the request may be sent again; `None` if it may not
                run twice.
        """
        self._reconnect = reconnect
        self._resend_task = None
        self.was_resent = False

    def reset_for_reconnect(self) -> "UpstreamConnection":
        """Takes a new transport in place of the one that was lost."""
        self._parser = httptools.HttpResponseParser(self)
        self._closed = False
        self._lost_at = float("inf")
        return self

    def send_request(self, request_id: str, data: bytes) -> None:
        """Starts a request."""
        assert self._transport is not None
        self._reset_response()
        self._request_id = request_id
        self._has_request = True
        self.has_sent_request = True
        self._request_data = data if self._reconnect is not None else b""
        self._received_bytes = False
        self._sent_at = time.monotonic()
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Waits for the head of the answer.

        Raises:
            UpstreamConnectionError: The connection ended before.
        """
        while self._head is None:
            if self._reconnect is not None and self._was_stale():
                reconnect, self._reconnect = self._reconnect, None
                self._resend_task = asyncio.create_task(self._resend(reconnect))
            if self._resend_task is not None and not self._resend_task.done():
                # Whoever waits looks at its time now and then, which must not
                # end the renewal.
                await asyncio.shield(self._resend_task)
                continue
            self._raise_if_failed()
            await self._wait_for_data()
        return self._head

    async def _resend(self, reconnect: Callable[[], Awaitable[bool]]) -> None:
        """Sends the request on a new connection, if there is one."""
        request, self._request_data = self._request_data, b""
        if await reconnect():
            self.send_request(self._request_id, request)
            self.was_resent = True

    async def read_body(self) -> bytes:
        """Waits for more of the body; returns nothing at its end.

        Raises:
            UpstreamConnectionError: The connection ended before the body did.
        """
        while not self._chunks and not self._ended:
            self._raise_if_failed()
            await self._wait_for_data()
        if not self._chunks:
            return b""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()
        return data

    def finish_response(self) -> bool:
        """Ends the present answer; returns whether it may be used again."""
        self._has_request = False
        self._request_data = b""
        self.idle_since = time.monotonic()
        return self._ended and self.is_open

    def close(self) -> None:
        """Ends the connection and with it the request."""
        self._closed = True
        self._drop_callback = None
        if self._resend_task is not None:
            self._resend_task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _was_stale(self) -> bool:
        """Whether the upstream had dropped the connection before the request.

        Then it resets what is sent, at once and without a byte of an answer.
        """
        return (
            self._lost_at - self._sent_at < STALE_RESET_WINDOW_S
            and not self._received_bytes
            and not self._error
            and not self._path_error
        )

    def _raise_if_failed(self) -> None:
        if self._error:
            raise UpstreamConnectionError(self._error, closed_by_upstream=False)
        if self._path_error:
            raise UpstreamConnectionError(
                self._path_error, closed_by_upstream=False
            )
        if self._closed:
            raise UpstreamConnectionError("the upstream closed the connection")

    async def _wait_for_data(self) -> None:
        self._data_event.clear()
        await self._data_event.wait()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses a piece of the answer."""
        self._received_bytes = True
        if not self._has_request or self._ended:
            # Bytes that belong to no request.
            self._abort("the upstream sent more than its answer")
            return
        progress = self._progress
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._ended:
                self._abort(f"the answer is no HTTP: {error}")
            else:
                self._reusable = False
        self._overhead_bytes = (
            0 if self._progress > progress else self._overhead_bytes + len(data)
        )
        if self._overhead_bytes > MAX_OVERHEAD_BYTES and not self._ended:
            self._abort("the upstream sends bytes that are no answer")
        self._data_event.set()

    def eof_received(self) -> bool:
        """Ends an answer without a length."""
        if self._ends_at_eof and not self._is_late and not self._error:
            self._ended = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wakes the reader of the answer."""
        self._closed = True
        self._lost_at = time.monotonic()
        if error is not None and not isinstance(error, ConnectionError):
            # No reset came from the upstream: its acknowledgements stopped.
            self._path_error = f"the way to the upstream is lost: {error}"
        self._data_event.set()
        if self._drop_callback is not None:
            self._drop_callback()

    def _abort(self, reason: str) -> None:
        self._error = self._error or reason
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()
        self._data_event.set()

    def on_message_begin(self) -> None:
        """Starts the next answer; a second one belongs to no request."""
        if self._ended:
            self._reusable = False

    def on_status(self, status: bytes) -> None:
        """Keeps the reason phrase."""
        if not self._ended:
            self._reason_phrase += status

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
        decoded = self._decode_head(status, self._headers)
        fields = {name.lower(): value for name, value in self._headers}
        if b"close" in fields.get(b"connection", b"").lower():
            self._reusable = False
        if decoded.request_id and decoded.request_id != self._request_id:
            # A late second answer to an earlier request.
            self._is_late = True
            self._reusable = False
            return
        length = fields.get(b"content-length")
        chunked = b"chunked" in fields.get(b"transfer-encoding", b"").lower()
        self._ends_at_eof = length is None and not chunked
        if self._ends_at_eof:
            self._reusable = False
        if decoded.keep_alive_s is not None:
            self.idle_timeout_s = max(
                0.0, decoded.keep_alive_s - IDLE_TIMEOUT_MARGIN_S
            )
        self._progress += 1
        self._head = ResponseHead(
            status,
            self._reason_phrase,
            self._headers,
            int(length) if length and not chunked else None,
            decoded,
        )

    def on_body(self, data: bytes) -> None:
        """Keeps a piece of the body."""
        if self._is_late or self._ended or self._head is None:
            return
        self._progress += 1
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if (
            self._buffered_bytes > READ_AHEAD_BYTES
            and self._transport is not None
        ):
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Ends the answer, or the one that was skipped."""
        if self._is_late:
            self._is_late = False
            self._headers = []
            self._reason_phrase = b""
            return
        if self._head is not None:
            self._progress += 1
            self._ended = True


def set_socket_options(
    transport: asyncio.BaseTransport, user_timeout_ms: int
) -> None:
    """Sends small writes at once and notices a peer that is gone."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
