"""HTTP connections whose answers are limited in time and bytes.

The timeouts of the HTTP library start again with each byte, and it reads lines
of any length. A server in trouble that sends now and then a byte, interim
answers, or a chunk size without end would keep a thread and its memory for as
long as it likes.
"""

import http.client
import io
import socket
import time
from typing import Any
import urllib.parse

import urllib3
import urllib3.connection

# Time in seconds for an answer on a socket that has no timeout.
DEFAULT_LIMIT_S = 30.0


class LimitExceededError(OSError):
    """An answer is too long or takes too long."""


class _LimitedReader(io.RawIOBase):
    """Reads one answer from a socket.

    Args:
        sock: The socket; its timeout is that of the whole answer.
        max_bytes: Bytes of the answer, its head and framing included.
    """

    def __init__(self, sock: socket.socket, max_bytes: int):
        super().__init__()
        self._sock = sock
        # Keeps the descriptor open until the answer is read.
        self._file = sock.makefile("rb", buffering=0)
        self._left = max_bytes
        limit_s = sock.gettimeout()
        self._end = time.monotonic() + (limit_s or DEFAULT_LIMIT_S)

    def readable(self) -> bool:
        """Whether the stream can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Reads what has arrived.

        Raises:
            LimitExceededError: The answer exceeds a limit.
            TimeoutError: Nothing arrives in time.
        """
        left_s = self._end - time.monotonic()
        if left_s <= 0:
            raise LimitExceededError("the answer takes too long")
        if self._left <= 0:
            raise LimitExceededError("the answer is too long")
        self._sock.settimeout(left_s)
        count = self._file.readinto(buffer)
        self._left -= count or 0
        return count

    def close(self) -> None:
        """Gives the socket back."""
        self._file.close()
        super().close()


class _LimitedSocket:
    """What the library needs of a socket to read an answer."""

    def __init__(self, sock: socket.socket, max_bytes: int):
        self._sock = sock
        self._max_bytes = max_bytes

    def makefile(self, mode: str) -> io.BufferedReader:
        """Opens the answer."""
        return io.BufferedReader(_LimitedReader(self._sock, self._max_bytes))


def open_pool(
    url: str, max_bytes: int, **options: Any
) -> urllib3.HTTPConnectionPool:
    """Returns a pool of connections to the host of a URL.

    The read timeout of a call is that of its whole answer.

    Args:
        url: Address of the server.
        max_bytes: Bytes of one answer.
        options: Passed on to `urllib3.HTTPConnectionPool`.
    """
    parts = urllib.parse.urlsplit(url)
    pool_class = _build_pool_class(max_bytes)
    return pool_class(parts.hostname or "", parts.port or 80, **options)


def open_manager(max_bytes: int, **options: Any) -> urllib3.PoolManager:
    """Returns pools of connections to any hosts, limited alike.

    Args:
        max_bytes: Bytes of one answer.
        options: Passed on to `urllib3.PoolManager`.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": _build_pool_class(max_bytes)}
    return manager


def _build_pool_class(max_bytes: int) -> type[urllib3.HTTPConnectionPool]:
    """Returns a class of pools; the library takes the limit from the class."""

    class Response(http.client.HTTPResponse):
        """An answer within the limits."""

        def __init__(self, sock: Any, *args: Any, **keywords: Any):
            limited: Any = _LimitedSocket(sock, max_bytes)
            super().__init__(limited, *args, **keywords)

    class Connection(urllib3.connection.HTTPConnection):
        """A connection whose answers are limited."""

        response_class = Response

    class Pool(urllib3.HTTPConnectionPool):
        """Connections whose answers are limited."""

        ConnectionCls = Connection

    return Pool
