"""HTTP connections whose responses are limited and have valid heads.

The timeouts of the HTTP library restart with each byte received, and it reads
lines of any length. A faulty server that sends single bytes at intervals,
endless interim responses or an endless chunk size could occupy a thread and its
memory indefinitely. The library also reads heads with malformed lines, which it
drops together with all lines that follow.
"""

import functools
import http.client
import io
import json
import socket
import time
from typing import Any
import urllib.parse

import loguru
import urllib3
import urllib3.connection

from sycamorehollow.shells import response_heads
from sycamorehollow.shells import sockets
from sycamorehollow.shells import uploads

# Time for a response on a socket that has no timeout.
DEFAULT_LIMIT_S = 30.0
# Responses that never have a body.
BODILESS_STATUSES = (204, 304)


class LimitExceededError(OSError):
    """A response is too long or takes too long."""


class InvalidResponseError(OSError):
    """The head of a response is invalid."""


class _LimitedReader(io.RawIOBase):
    """Reads one response from a socket.

    Args:
        sock: The socket; its timeout applies to the whole response.
        max_bytes: Limit of the response, including its head and framing.
        request_bytes: Length of its request.
    """

    def __init__(self, sock: socket.socket, max_bytes: int, request_bytes: int):
        super().__init__()
        self._sock = sock
        self._request_bytes = request_bytes
        # Keeps the file descriptor open until the response is read.
        self._file = sock.makefile("rb", buffering=0)
        self._left_bytes = max_bytes
        self._has_begun = False
        self._is_early = False
        self._validator = response_heads.HeadValidator()
        limit_s = sock.gettimeout()
        self._deadline = time.monotonic() + (limit_s or DEFAULT_LIMIT_S)

    def readable(self) -> bool:
        """Returns `True`."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Reads the bytes that have arrived.

        Raises:
            InvalidResponseError: The head of the response is invalid.
            LimitExceededError: The response exceeds a limit.
            TimeoutError: Nothing arrives in time.
            uploads.UploadAbortedError: The connection has ended before the
                server had read the request.
        """
        left_s = self._deadline - time.monotonic()
        if left_s <= 0:
            raise LimitExceededError("the answer takes too long")
        if self._left_bytes <= 0:
            raise LimitExceededError("the answer is too long")
        self._sock.settimeout(left_s)
        count = self._file.readinto(buffer)
        self._left_bytes -= count or 0
        if count == 0:
            self._confirm_end()
        if not count:
            return count
        if not self._has_begun:
            self._has_begun = True
            self._is_early = uploads.may_be_early(
                self._request_bytes,
                sockets.count_unacknowledged_bytes(self._sock),
            )
        if not self._validator.is_complete:
            self._validate(bytes(buffer[:count]))
        return count

    def _confirm_end(self) -> None:
        """Waits until the end of the stream is sure to be the response's."""
        watch = uploads.UploadWatch(self._is_early, time.monotonic())
        while not self._is_settled(watch):
            if time.monotonic() >= self._deadline:
                raise LimitExceededError("the answer takes too long")
            time.sleep(uploads.POLL_S)

    def _is_settled(self, watch: uploads.UploadWatch) -> bool:
        try:
            return watch.is_settled(
                sockets.count_unacknowledged_bytes(self._sock),
                sockets.has_failed(self._sock),
                time.monotonic(),
            )
        except uploads.UploadAbortedError as error:
            self._log_rejection(error)
            raise

    def _validate(self, data: bytes) -> None:
        try:
            self._validator.feed(data)
        except response_heads.InvalidHeadError as error:
            self._log_rejection(error)
            raise InvalidResponseError(str(error)) from error

    def _log_rejection(self, error: Exception) -> None:
        loguru.logger.warning(
            "response of {} rejected: {}", _describe_peer(self._sock), error
        )

    def close(self) -> None:
        """Closes the file of the socket."""
        self._file.close()
        super().close()


def _describe_peer(sock: socket.socket) -> str:
    """Returns the address of the server for the log."""
    try:
        host, port = sock.getpeername()[:2]
    except OSError:
        # The server has reset the connection.
        return "a lost connection"
    return f"{host}:{port}"


class _LimitedSocket:
    """The part of the socket interface that the library reads with."""

    def __init__(self, sock: socket.socket, max_bytes: int, request_bytes: int):
        self._sock = sock
        self._max_bytes = max_bytes
        self._request_bytes = request_bytes

    def makefile(self, mode: str) -> io.BufferedReader:
        """Returns a reader of the response."""
        return io.BufferedReader(
            _LimitedReader(self._sock, self._max_bytes, self._request_bytes)
        )


class _LimitedResponse(http.client.HTTPResponse):
    """A response with limits.

    Args:
        sock: Its socket.
        args: Passed on to the base class.
        max_bytes: Limit of the response.
        request_bytes: Length of its request.
        keywords: Passed on to the base class.
    """

    def __init__(
        self,
        sock: socket.socket,
        *args: Any,
        max_bytes: int,
        request_bytes: int,
        **keywords: Any,
    ):
        limited: Any = _LimitedSocket(sock, max_bytes, request_bytes)
        super().__init__(limited, *args, **keywords)


def open_pool(
    url: str, max_bytes: int, **options: Any
) -> urllib3.HTTPConnectionPool:
    """Returns a pool of connections to the host of a URL.

    The read timeout of a call applies to its whole response.

    Args:
        url: Address of the server.
        max_bytes: Limit of one response.
        options: Passed on to `urllib3.HTTPConnectionPool`.
    """
    parts = urllib.parse.urlsplit(url)
    pool_class = _build_pool_class(max_bytes)
    return pool_class(parts.hostname or "", parts.port or 80, **options)


def open_manager(max_bytes: int, **options: Any) -> urllib3.PoolManager:
    """Returns a manager of pools whose connections have the same limit.

    Args:
        max_bytes: Limit of one response.
        options: Passed on to `urllib3.PoolManager`.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": _build_pool_class(max_bytes)}
    return manager


def may_be_shortened(response: urllib3.BaseHTTPResponse, body: bytes) -> bool:
    """Tells whether a broken connection would look like the response's end.

    Without a length and chunks only the body itself can show that it is
    complete. No shorter part of a JSON object or array is valid.
    """
    if response.chunked or "Content-Length" in response.headers:
        return False
    if response.status in BODILESS_STATUSES:
        return False
    try:
        return not isinstance(json.loads(body), dict | list)
    except ValueError:
        return True


def _build_pool_class(max_bytes: int) -> type[urllib3.HTTPConnectionPool]:
    """Returns a pool class with the limit.

    The library creates connections from a class attribute, so the limit is
    bound to a class.
    """

    class Connection(urllib3.connection.HTTPConnection):
        """A connection whose responses are limited."""

        _request_bytes = 0

        def putrequest(self, *args: Any, **keywords: Any) -> None:
            """Begins a request."""
            self._request_bytes = 0
            super().putrequest(*args, **keywords)

        def send(self, data: Any) -> None:
            """Sends a part of the request."""
            self._request_bytes += len(data)
            super().send(data)

        def getresponse(self) -> Any:
            """Returns the response."""
            build_response: Any = functools.partial(
                _LimitedResponse,
                max_bytes=max_bytes,
                request_bytes=self._request_bytes,
            )
            self.response_class = build_response
            return super().getresponse()

    class Pool(urllib3.HTTPConnectionPool):
        """A pool of connections whose responses are limited."""

        ConnectionCls = Connection

    return Pool
