"""HTTP server connections: parses requests and writes responses."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import select
import time

import httptools
import loguru

from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import upstream_connections

# Requests that a caller may pipeline before their responses.
MAX_PIPELINED_REQUESTS = 8
# Time for which a new connection is kept open while its first request may be in
# transit. Callers expect a connection to be established within it.
FIRST_REQUEST_TIMEOUT_S = 1.0
# Response bytes buffered for a slow caller before reading from its upstream
# stops.
WRITE_BUFFER_BYTES = 256 * 1024


@dataclasses.dataclass
class HttpRequest:
    """A request as received, with its complete body.

    Attributes:
        error_status: Status of the response to an invalid request; 0 if valid.
    """

    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    has_body: bool = False
    keep_alive: bool = True
    error_status: int = 0


class CallerDisconnectedError(Exception):
    """Raised when the caller has closed its connection."""


Handler = Callable[["CallerConnection", HttpRequest], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; its requests are handled in order.

    Args:
        handler: Responds to a request.
        get_limits: Returns the limits in force.
        registry: The open connections; the connection adds itself.

    Attributes:
        is_closing: Whether it closes after the requests already received.
        closes_after_response: Whether it closes after its next response.
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], forwarding.CallerLimits],
        registry: set["CallerConnection"],
    ):
        self.is_closing = False
        self.closes_after_response = False
        self._handler = handler
        self._get_limits = get_limits
        self._registry = registry
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request: HttpRequest | None = None
        self._opened_at = time.monotonic()
        self._received_request = False
        self._head_bytes = 0
        # Consecutive bytes without body data: chunk framing and trailers.
        self._overhead_bytes = 0
        self._pending_requests: collections.deque[HttpRequest] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._disconnected = False
        self._chunked = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled."""
        return self._task is not None or self._request is not None

    def close_when_idle(self) -> None:
        """Closes after the responses to all requests that have arrived.

        Has to be called repeatedly until the connection is closed: a request
        may be in transit, and closing before it is read would reset the
        connection.
        """
        self.is_closing = True
        if self.is_busy or self._transport is None:
            return
        age_s = time.monotonic() - self._opened_at
        awaits_first = (
            not self._received_request and age_s < FIRST_REQUEST_TIMEOUT_S
        )
        if not awaits_first and not self._has_unread_bytes():
            self._transport.close()

    def _has_unread_bytes(self) -> bool:
        """Tells whether the socket has bytes that were not read yet."""
        assert self._transport is not None
        raw = self._transport.get_extra_info("socket")
        if raw is None or raw.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """Closes the connection at once, even during a response."""
        if self._transport is not None:
            self._transport.abort()

    async def write_head(
        self,
        status: int,
        reason: bytes,
        headers: header_codec.Headers,
        length: int | None,
        keep_alive: bool,
        body: bytes = b"",
    ) -> None:
        """Writes the head of a response; without a length it is chunked.

        Args:
            status: Status of the response.
            reason: Reason phrase.
            headers: Headers without those that frame the body.
            length: Length of the body; `None` if it is not known.
            keep_alive: Whether the caller keeps the connection open.
            body: First part of the body. Each separate write is a system call
                and a packet.

        Raises:
            CallerDisconnectedError: The caller has closed the connection.
        """
        self._chunked = length is None
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
        lines.extend(b"%s: %s\r\n" % pair for pair in headers)
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            lines.append(b"Content-Length: %d\r\n" % length)
        last = (
            self.is_closing or self.closes_after_response
        ) and not self._pending_requests
        if not keep_alive or last:
            self.is_closing = True
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        if body:
            lines.append(self._frame(body))
        await self._write(b"".join(lines))

    async def write_body(self, data: bytes) -> None:
        """Writes a part of the body.

        Raises:
            CallerDisconnectedError: The caller has closed the connection.
        """
        await self._write(self._frame(data))

    async def write_end(self) -> None:
        """Ends the body."""
        if self._chunked:
            await self._write(b"0\r\n\r\n")

    def _frame(self, data: bytes) -> bytes:
        """Returns a part of the body as it is sent."""
        return b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data

    async def _write(self, data: bytes) -> None:
        if self._disconnected or self._transport is None:
            raise CallerDisconnectedError
        self._transport.write(data)
        await self._can_write.wait()
        if self._disconnected:
            raise CallerDisconnectedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        upstream_connections.set_socket_options(
            transport, upstream_connections.CALLER_USER_TIMEOUT_MS
        )
        self._registry.add(self)
        self._set_timer(self._get_limits().idle_timeout_s)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the request of a caller that has disconnected."""
        self._disconnected = True
        self._registry.discard(self)
        self._can_write.set()
        self._clear_timer()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Closes the connection when the caller shuts down its side."""
        return False

    def pause_writing(self) -> None:
        """Blocks writers while the caller reads slowly."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Unblocks writers."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._request is None or not self._request.method:
            self._head_bytes += len(data)
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_invalid_request(400)
        except httptools.HttpParserError:
            self._reject_invalid_request(400)
        request = self._request
        if request is not None and not request.method:
            if self._head_bytes > self._get_limits().header_bytes:
                self._reject_invalid_request(431)
        elif request is not None:
            # The parser does not limit chunk extensions and trailers.
            if self._overhead_bytes > self._get_limits().header_bytes:
                self._reject_invalid_request(400)

    def on_message_begin(self) -> None:
        """Starts the next request."""
        self._request = HttpRequest()
        self._received_request = True
        self._head_bytes = 0
        self._set_timer(self._get_limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Stores the request target."""
        if self._request is not None:
            self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are ignored."""
        if self._request is not None and not self._request.method:
            self._request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Checks the size of the head and the framing of the body."""
        request = self._request
        if request is None:
            return
        request.method = self._parser.get_method().decode("ascii")
        self._overhead_bytes = 0
        request.keep_alive = self._parser.should_keep_alive()
        fields = [(n.lower(), v.lower()) for n, v in request.headers]
        lengths = [value for name, value in fields if name == b"content-length"]
        codings = [v for n, v in fields if n == b"transfer-encoding"]
        request.has_body = bool(lengths or codings)
        size = sum(len(n) + len(v) + 4 for n, v in request.headers)
        limits = self._get_limits()
        if size + len(request.target) > limits.header_bytes:
            request.error_status = 431
        if len(lengths) + len(codings) > 1 or codings not in ([], [b"chunked"]):
            request.error_status = 400
        if lengths and lengths[0].isdigit():
            if int(lengths[0]) > limits.body_bytes:
                request.error_status = 413
        if request.error_status:
            self._reject_invalid_request(request.error_status)
            return
        if (b"expect", b"100-continue") in fields and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body."""
        request = self._request
        if request is None:
            return
        self._overhead_bytes = 0
        request.body += data
        if len(request.body) > self._get_limits().body_bytes:
            self._reject_invalid_request(413)

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        request = self._request
        self._request = None
        self._head_bytes = 0
        if (
            request is None
            or self.is_closing
            and not self._can_answer_after_close()
        ):
            return
        self._enqueue(request)

    def _can_answer_after_close(self) -> bool:
        """Tells whether a request that arrived during the close is handled."""
        return not self._disconnected

    def _reject_invalid_request(self, status: int) -> None:
        """Rejects an invalid request and closes the connection afterwards."""
        self._request = None
        if self.is_closing and self._pending_requests:
            return
        self.is_closing = True
        self._enqueue(HttpRequest(error_status=status, keep_alive=False))
        if self._transport is not None:
            # The end of the invalid request is unknown, so nothing after it
            # can be parsed.
            self._transport.pause_reading()

    def _enqueue(self, request: HttpRequest) -> None:
        self._clear_timer()
        self._pending_requests.append(request)
        if (
            len(self._pending_requests) > MAX_PIPELINED_REQUESTS
            and self._transport is not None
        ):
            self._transport.pause_reading()
        if self._task is None and not self._disconnected:
            self._task = asyncio.get_running_loop().create_task(
                self._handle_requests()
            )

    async def _handle_requests(self) -> None:
        try:
            while self._pending_requests:
                request = self._pending_requests.popleft()
                await self._handler(self, request)
                if not request.keep_alive:
                    self.is_closing = True
                    # HTTP allows no further request after `close`.
                    self._pending_requests.clear()
                if self.is_closing and not self._pending_requests:
                    break
        except CallerDisconnectedError:
            return
        except Exception:
            # The closed connection shows the failure to the caller. Other
            # requests are not affected.
            loguru.logger.exception("unexpected error in a request handler")
            self.abort()
            return
        finally:
            self._task = None
        if self._transport is None or self._disconnected:
            return
        if self.is_closing:
            self._transport.close()
            return
        self._transport.resume_reading()
        if self._request is None:
            self._set_timer(self._get_limits().idle_timeout_s)

    def _set_timer(self, seconds: float) -> None:
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._close_on_timeout)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_on_timeout(self) -> None:
        """Closes a connection that is idle or whose head is late."""
        request = self._request
        if request is not None and request.method:
            # Only the head has a timeout; the body may take as long as the
            # caller waits.
            return
        if self._task is None and self._transport is not None:
            self._transport.close()
