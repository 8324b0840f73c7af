"""Parses the requests of one connection with bounded memory."""

import abc
from collections.abc import Callable
import dataclasses

import httptools

from sycamorehollow.model import forwarding

# Bytes outside of bodies that are parsed at once. They hold at most as many
# pipelined requests and header lines as fit.
HEAD_SLICE_BYTES = 4096
CHUNKED_SLICE_BYTES = 16 * 1024
# Memory of a parsed request and of a header line in addition to its bytes:
# measured 112 bytes for a line with a name of two bytes.
REQUEST_BYTES = 1024
HEADER_LINE_BYTES = 160
# Some callers send an empty line after a body. It starts no head.
STRAY_BYTES = 2
# Room for a chunked body, whose length is unknown; it is doubled as needed.
CHUNKED_BYTES = 64 * 1024


@dataclasses.dataclass
class HttpRequest:
    """A request as received, with its complete body.

    Attributes:
        error_status: Status of the response to an invalid request; 0 if valid.
        head_cost: Memory counted for its head.
        body_cost: Memory counted for its body.
    """

    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    has_body: bool = False
    keep_alive: bool = True
    error_status: int = 0
    head_cost: int = 0
    body_cost: int = 0


class RequestReceiver(abc.ABC):
    """Receives what a parser finds."""

    @property
    @abc.abstractmethod
    def can_parse(self) -> bool:
        """Whether more bytes may be parsed now."""

    @abc.abstractmethod
    def start_head(self) -> None:
        """Handles the start of a head or of empty lines before it."""

    @abc.abstractmethod
    def grow_head(self, request: HttpRequest, cost: int) -> bool:
        """Counts memory of a head; returns whether there is room."""

    @abc.abstractmethod
    def begin_body(
        self, request: HttpRequest, cost: int, expects_continue: bool
    ) -> None:
        """Asks for the memory of a body, which may have to wait."""

    @abc.abstractmethod
    def grow_body(self, request: HttpRequest, cost: int) -> None:
        """Asks for more memory of a chunked body."""

    @abc.abstractmethod
    def record_body(self, size: int) -> None:
        """Handles a received part of a body."""

    @abc.abstractmethod
    def complete(self, request: HttpRequest) -> None:
        """Handles a complete request."""

    @abc.abstractmethod
    def reject(self, status: int, request: HttpRequest | None) -> None:
        """Handles an invalid request; nothing after it is parsed."""


class RequestParser:
    """Parses requests in slices, so that limits apply between them.

    Args:
        receiver: Receives the requests.
        get_limits: Returns the limits in force.
        max_lines: Number of header lines.
        max_preamble_bytes: Bytes of empty lines before a request.

    Attributes:
        request: The request that is being read; `None` between requests.
        has_begun: Whether any request has begun.
        unparsed: Bytes that wait until parsing may continue.
        body_bytes_left: Bytes that a body with a length still lacks; `None` if
            it is chunked.
    """

    def __init__(
        self,
        receiver: RequestReceiver,
        get_limits: Callable[[], forwarding.CallerLimits],
        max_lines: int,
        max_preamble_bytes: int,
    ):
        self.request: HttpRequest | None = None
        self.has_begun = False
        self.unparsed = b""
        self._receiver = receiver
        self._get_limits = get_limits
        self._max_lines = max_lines
        self._max_preamble_bytes = max_preamble_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._is_parsing = False
        self._is_stopped = False
        self._head_bytes = 0
        self._lines = 0
        self._preamble_bytes = 0
        self._is_between_requests = True
        self._has_started = False
        # Consecutive bytes without body data: chunk framing and trailers.
        self._overhead_bytes = 0
        self.body_bytes_left: int | None = 0

    @property
    def has_begun_request(self) -> bool:
        """Whether a request, or a part of one, has been received."""
        return self.request is not None or bool(self.unparsed)

    def stop(self) -> None:
        """Ends parsing and forgets the unfinished request."""
        self._is_stopped = True
        self.request = None
        self.unparsed = b""

    def feed(self, data: bytes) -> None:
        """Parses received bytes, as far as the receiver allows it."""
        if self._is_stopped:
            return
        self.unparsed = self.unparsed + data if self.unparsed else data
        self.resume()

    def resume(self) -> None:
        """Parses the bytes that were received but not parsed."""
        if self._is_parsing or not self.unparsed:
            return
        data, self.unparsed = self.unparsed, b""
        position = 0
        self._is_parsing = True
        while position < len(data) and self._can_parse():
            end = position + self._get_slice_bytes()
            is_whole = position == 0 and end >= len(data)
            self._feed_slice(data if is_whole else data[position:end])
            position = end
        self._is_parsing = False
        if position < len(data) and not self._is_stopped:
            self.unparsed = data[position:]

    def _can_parse(self) -> bool:
        return not self._is_stopped and self._receiver.can_parse

    def _get_slice_bytes(self) -> int:
        """Returns how many bytes may be parsed before the next check."""
        if self._is_in_head():
            return HEAD_SLICE_BYTES
        if self.body_bytes_left is None:
            return CHUNKED_SLICE_BYTES
        return max(HEAD_SLICE_BYTES, self.body_bytes_left)

    def _is_in_head(self) -> bool:
        return self.request is None or not self.request.method

    def _feed_slice(self, data: bytes) -> None:
        if self._is_in_head():
            self._head_bytes += len(data)
        self._overhead_bytes += len(data)
        self._is_between_requests = self.request is None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)
        if not self._is_stopped:
            self._check_limits(len(data))

    def _check_limits(self, size: int) -> None:
        """Checks what the parser itself does not limit."""
        request = self.request
        limits = self._get_limits()
        if request is None:
            if self._is_between_requests:
                self._preamble_bytes += size
            if self._preamble_bytes > STRAY_BYTES and not self._has_started:
                self._has_started = True
                self._receiver.start_head()
            if self._preamble_bytes > self._max_preamble_bytes:
                self._reject(400)
        elif not request.method:
            too_many = self._lines > self._max_lines
            if too_many or self._head_bytes > limits.header_bytes:
                self._reject(431)
            else:
                self._count_head(request)
        elif self._overhead_bytes > limits.header_bytes:
            # Chunk extensions and trailers.
            self._reject(400)

    def _count_head(self, request: HttpRequest) -> bool:
        size = sum(len(n) + len(v) for n, v in request.headers)
        cost = REQUEST_BYTES + len(request.target) + size
        cost += len(request.headers) * HEADER_LINE_BYTES
        more = cost - request.head_cost
        if not self._receiver.grow_head(request, more):
            self._reject(503)
            return False
        request.head_cost = cost
        return True

    def _reject(self, status: int) -> None:
        if not self._is_stopped:
            request = self.request
            self.stop()
            self._receiver.reject(status, request)

    def on_message_begin(self) -> None:
        """Starts the next request."""
        if self._is_stopped:
            return
        self.request = HttpRequest()
        self.has_begun = True
        self._is_between_requests = False
        self._preamble_bytes = 0
        self._head_bytes = 0
        self._lines = 0
        if not self._has_started:
            self._receiver.start_head()
        self._has_started = False

    def on_url(self, url: bytes) -> None:
        """Stores the request target."""
        if self.request is not None:
            self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are ignored."""
        if self.request is None or self.request.method:
            return
        self._lines += 1
        if self._lines <= self._max_lines:
            self.request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Checks the size of the head and the framing of the body."""
        request = self.request
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
        status = 0
        if size + len(request.target) > limits.header_bytes:
            status = 431
        if self._lines > self._max_lines:
            status = 431
        if len(lengths) + len(codings) > 1 or codings not in ([], [b"chunked"]):
            status = 400
        if lengths and lengths[0].isdigit():
            if int(lengths[0]) > limits.body_bytes:
                status = 413
        if status:
            self._reject(status)
            return
        if not self._count_head(request):
            return
        self._begin_body(
            request,
            int(lengths[0]) if lengths and lengths[0].isdigit() else 0,
            bool(codings),
            (b"expect", b"100-continue") in fields,
        )

    def _begin_body(
        self,
        request: HttpRequest,
        length: int,
        is_chunked: bool,
        expects_continue: bool,
    ) -> None:
        """Asks for the memory of a body."""
        self.body_bytes_left = None if is_chunked else length
        cost = CHUNKED_BYTES if is_chunked else length
        if cost or expects_continue:
            self._receiver.begin_body(request, cost, expects_continue)

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body."""
        request = self.request
        if request is None:
            return
        self._overhead_bytes = 0
        limit = self._get_limits().body_bytes
        request.body += data
        if len(request.body) > limit:
            self._reject(413)
            return
        self._receiver.record_body(len(data))
        if self.body_bytes_left is not None:
            self.body_bytes_left -= len(data)
        elif len(request.body) > request.body_cost:
            more = max(len(request.body), request.body_cost)
            self._receiver.grow_body(request, min(more, limit))

    def on_message_complete(self) -> None:
        """Passes the complete request on."""
        request = self.request
        self.request = None
        self._head_bytes = 0
        if request is not None:
            self._receiver.complete(request)
