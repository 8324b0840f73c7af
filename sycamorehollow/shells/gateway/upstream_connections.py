"""HTTP client connections: sends requests to an upstream, parses responses."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import httptools

from sycamorehollow.model import forwarding
from sycamorehollow.shells import response_heads
from sycamorehollow.shells import sockets
from sycamorehollow.shells import uploads
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import request_writer

# Body bytes buffered for a slow caller before reading from the upstream stops.
READ_AHEAD_BYTES = 128 * 1024
# Limit of consecutive bytes without progress of the response: heads, interim
# responses, late duplicates, chunk framing and trailers. Well above any head
# that a server accepts.
MAX_OVERHEAD_BYTES = 256 * 1024
# Idle time after which a connection is not reused if the upstream announces no
# timeout of its own.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Upstreams close a little before or after the timeout that they announce.
IDLE_TIMEOUT_MARGIN_S = 0.6
# Time within which an upstream that has closed an idle connection resets a
# request on it: a round trip to any data centre, and the delay until a busy
# process handles the reset.
STALE_RESET_WINDOW_S = 0.5


class UpstreamConnectionError(Exception):
    """Raised when an upstream's response is missing or incomplete.

    Attributes:
        request_written: Whether any byte of the request was written.
        closed_by_upstream: Whether the upstream closed the connection itself.
        refused: Whether no process accepts connections at its address.
        is_malformed: Whether the upstream sent bytes that are no response.
    """

    def __init__(
        self,
        reason: str,
        request_written: bool = True,
        closed_by_upstream: bool = True,
        refused: bool = False,
        is_malformed: bool = False,
    ):
        super().__init__(reason)
        self.request_written = request_written
        self.closed_by_upstream = closed_by_upstream
        self.refused = refused
        self.is_malformed = is_malformed


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        length: Bytes of the body; `None` if it is chunked or ends at EOF.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    length: int | None
    decoded: forwarding.DecodedHead


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
        has_sent_request: Whether a request was sent on it.
        idle_since: When its last response ended.
        idle_timeout_s: Idle time for which it may be reused.
        was_resent: Whether the current request was sent before on a connection
            that was closed, and may have run there.
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
        self._writer = request_writer.RequestWriter()
        self._request_data: tuple[bytes, bytes | bytearray] = (b"", b"")
        self._sent_at = 0.0
        self._lost_at = float("inf")
        self._received_bytes = False

    def _reset_response(self) -> None:
        self._reason_phrase = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._meter = response_heads.HeadMeter()
        self._head: ResponseHead | None = None
        self._is_late = False
        self._ends_at_eof = False
        self._is_early = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._overhead_bytes = 0
        self._ended = False
        self._eof_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent on the connection."""
        return not self._closed and not self._error and self._reusable

    @property
    def ended_at_eof(self) -> bool:
        """Whether only the end of the connection shows that of the response."""
        return self._eof_at is not None

    @property
    def ended_at(self) -> float:
        """Monotonic time in seconds at which a response ended at EOF.

        After a pause of this process it is earlier than the EOF was read.
        """
        assert self._eof_at is not None
        return self._eof_at

    @property
    def can_read_without_waiting(self) -> bool:
        """Whether a read returns or raises at once."""
        return bool(self._chunks) or self._ended or not self.is_open

    def has_carried(self, request_id: str) -> bool:
        """Tells whether the last request had this identifier.

        A late duplicate of its response could not be told from the response to
        a repeated request with the same identifier.
        """
        return bool(request_id) and self._request_id == request_id

    def set_drop_callback(self, callback: Callable[[], None] | None) -> None:
        """Sets a callback for the loss of the connection; `None` for none."""
        self._drop_callback = callback

    def set_reconnect(
        self, reconnect: Callable[[], Awaitable[bool]] | None
    ) -> None:
        """Sets how to reconnect if the upstream had closed the connection.

        Args:
            reconnect: Reconnects with `reset_for_reconnect` and returns whether
                the request may be resent; `None` if it must not run twice.
        """
        self._reconnect = reconnect
        self._resend_task = None
        self.was_resent = False

    def reset_for_reconnect(self) -> "UpstreamConnection":
        """Prepares the protocol for a new transport and returns it."""
        self._parser = httptools.HttpResponseParser(self)
        self._closed = False
        self._lost_at = float("inf")
        return self

    def send_request(
        self, request_id: str, data: bytes, body: bytes | bytearray = b""
    ) -> None:
        """Sends a request and starts to wait for its response.

        Args:
            request_id: Identifier of the request.
            data: Its head, which may include the body.
            body: A large body, which is written as the upstream reads it.
        """
        self._reset_response()
        self._request_id = request_id
        self._has_request = True
        self.has_sent_request = True
        self._request_data = (b"", b"")
        if self._reconnect is not None:
            self._request_data = (data, body)
        self._received_bytes = False
        self._sent_at = time.monotonic()
        self._writer.write(data, body)

    def pause_writing(self) -> None:
        """Stops writing the body."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Writes more of the body."""
        self._writer.resume()

    async def read_head(self) -> ResponseHead:
        """Waits for the head of the response.

        Raises:
            UpstreamConnectionError: The connection failed before.
        """
        while self._head is None:
            if self._reconnect is not None and self._was_stale():
                reconnect, self._reconnect = self._reconnect, None
                self._resend_task = asyncio.create_task(self._resend(reconnect))
            if self._resend_task is not None and not self._resend_task.done():
                # The caller waits with short timeouts, which must not cancel
                # the resend.
                await asyncio.shield(self._resend_task)
                continue
            self._raise_if_failed()
            await self._wait_for_data()
        return self._head

    async def _resend(self, reconnect: Callable[[], Awaitable[bool]]) -> None:
        """Reconnects and sends the request again if that is allowed."""
        request, self._request_data = self._request_data, (b"", b"")
        if await reconnect():
            self.send_request(self._request_id, *request)
            self.was_resent = True

    async def read_body(self) -> bytes:
        """Waits for more of the body; returns `b""` at its end.

        Raises:
            UpstreamConnectionError: The connection failed before the end.
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

    async def wait_until_received(self) -> None:
        """Waits until the upstream has received the request of a response.

        Returns at once unless the response has ended at EOF.

        Raises:
            UpstreamConnectionError: The connection was reset after the EOF, or
                the upstream does not read the request.
        """
        if self._eof_at is None:
            return
        watch = uploads.UploadWatch(self._is_early, self._eof_at)
        try:
            while not watch.is_settled(
                0 if self._closed else self._writer.count_unsent_bytes(),
                self._closed or sockets.has_failed(self._writer.get_socket()),
                time.monotonic(),
            ):
                await asyncio.sleep(uploads.POLL_S)
        except uploads.UploadAbortedError as error:
            raise UpstreamConnectionError(str(error)) from error

    def finish_response(self) -> bool:
        """Ends the response; returns whether the connection is reusable."""
        self._has_request = False
        self._request_data = (b"", b"")
        if self._writer.has_unwritten:
            # The upstream still expects the rest of the body.
            self._reusable = False
            self._writer.drop()
        self.idle_since = time.monotonic()
        return self._ended and self.is_open

    def close(self) -> None:
        """Closes the connection, which cancels the request."""
        self._closed = True
        self._writer.drop()
        self._request_data = (b"", b"")
        self._drop_callback = None
        if self._resend_task is not None:
            self._resend_task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _was_stale(self) -> bool:
        """Tells whether the upstream had closed the connection before.

        In this case it resets the connection soon after the request, without
        a byte of a response.
        """
        return (
            self._lost_at - self._sent_at < STALE_RESET_WINDOW_S
            and not self._received_bytes
            and not self._error
            and not self._path_error
        )

    def _raise_if_failed(self) -> None:
        if self._error:
            raise UpstreamConnectionError(
                self._error, closed_by_upstream=False, is_malformed=True
            )
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
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer.attach(transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self._received_bytes = True
        if not self._has_request or self._ended:
            # No request is waiting for these bytes.
            self._abort("the upstream sent data after the end of its response")
            return
        progress = self._progress
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._ended:
                reason = response_heads.describe_error(error)
                self._abort(f"the response is not valid HTTP: {reason}")
            else:
                self._reusable = False
        self._overhead_bytes = (
            0 if self._progress > progress else self._overhead_bytes + len(data)
        )
        if self._overhead_bytes > MAX_OVERHEAD_BYTES and not self._ended:
            self._abort("the upstream sends bytes outside of its response")
        self._data_event.set()

    def eof_received(self) -> bool:
        """Ends a response whose body ends at EOF.

        Returns:
            Whether to keep the connection open, which shows a later reset.
        """
        ends_here = self._ends_at_eof and not self._is_late
        if ends_here and not self._ended and not self._error:
            self._ended = True
            silence_s = sockets.measure_silence_s(self._writer.get_socket())
            self._eof_at = time.monotonic() - silence_s
            self._data_event.set()
        return self._eof_at is not None

    def connection_lost(self, error: Exception | None) -> None:
        """Records the loss and wakes the reader."""
        self._closed = True
        self._writer.drop()
        self._lost_at = time.monotonic()
        if error is not None and not isinstance(error, ConnectionError):
            # Not a reset by the upstream: its acknowledgements stopped.
            self._path_error = f"lost the path to the upstream: {error}"
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
        """Marks the connection if another response follows the complete one."""
        if self._ended:
            self._reusable = False

    def on_status(self, status: bytes) -> None:
        """Stores the reason phrase."""
        if not self._ended:
            self._reason_phrase += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are ignored.

        Raises:
            response_heads.InvalidHeadError: The head is too long.
        """
        if self._head is None and not self._ended:
            self._meter.add(name, value)
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Stores the head if it belongs to the current request.

        Raises:
            response_heads.InvalidHeadError: The status line is invalid.
        """
        if self._ended:
            self._headers = []
            return
        status = self._parser.get_status_code()
        response_heads.check_status_line(
            self._parser.get_http_version(), status, self._reason_phrase
        )
        if status < response_heads.FINAL_STATUS:
            self._headers = []
            self._reason_phrase = b""
            return
        decoded = self._decode_head(status, self._headers)
        fields = {name.lower(): value for name, value in self._headers}
        if b"close" in fields.get(b"connection", b"").lower():
            self._reusable = False
        if decoded.request_id and decoded.request_id != self._request_id:
            # A late duplicate of the response to an earlier request.
            self._is_late = True
            self._reusable = False
            return
        length = fields.get(b"content-length")
        chunked = b"chunked" in fields.get(b"transfer-encoding", b"").lower()
        self._ends_at_eof = length is None and not chunked
        if self._ends_at_eof:
            self._reusable = False
            self._is_early = uploads.may_be_early(
                self._writer.request_bytes, self._writer.count_unsent_bytes()
            )
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
        """Stores a part of the body."""
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
        """Ends the response, or the late duplicate that was skipped."""
        if self._is_late:
            self._is_late = False
            self._headers = []
            self._meter = response_heads.HeadMeter()
            self._reason_phrase = b""
            return
        if self._head is not None:
            self._progress += 1
            self._ended = True
