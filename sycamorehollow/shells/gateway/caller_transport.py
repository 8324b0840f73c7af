"""The transport of a caller's connection: writes, timers and held memory."""

import abc
import asyncio
import select
import socket
import time

from sycamorehollow.decisions.forwarding import memory_budget
from sycamorehollow.shells.gateway import caller_memory
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import request_parser
from sycamorehollow.shells.gateway import upstream_connections

# Response bytes buffered for a slow caller before reading from its upstream
# stops, and while the memory budget has no room for them.
WRITE_BUFFER_BYTES = 256 * 1024
SHORT_WRITE_BUFFER_BYTES = 16 * 1024
# Memory of a response whose caller reads slowly: both buffers, and a part of
# the response that is framed.
RESPONSE_BYTES = WRITE_BUFFER_BYTES + 2 * upstream_connections.READ_AHEAD_BYTES


class CallerDisconnectedError(Exception):
    """Raised when the caller has closed its connection."""


class CallerTransport(asyncio.Protocol, abc.ABC):
    """Writes to a caller, and counts what its connection holds.

    Args:
        memory: Account of the memory that connections hold.
    """

    def __init__(self, memory: caller_memory.CallerMemory):
        self._memory = memory
        self._budget = memory.budget
        self._holding = memory_budget.Holding()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._disconnected = False
        self._chunked = False

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket has bytes that were not read yet."""
        if self._transport is None:
            return False
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

    async def _write_head(
        self,
        status: int,
        reason: bytes,
        headers: header_codec.Headers,
        length: int | None,
        is_last: bool,
        body: bytes,
    ) -> None:
        """Writes the head of a response and the first part of its body."""
        self._chunked = length is None
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
        lines.extend(b"%s: %s\r\n" % pair for pair in headers)
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            lines.append(b"Content-Length: %d\r\n" % length)
        if is_last:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        if body:
            lines.append(self._frame(body))
        if self._transport is not None:
            fits = self._budget.fits(RESPONSE_BYTES)
            self._transport.set_write_buffer_limits(
                WRITE_BUFFER_BYTES if fits else SHORT_WRITE_BUFFER_BYTES
            )
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

    def eof_received(self) -> bool:
        """Closes the connection when the caller shuts down its side."""
        return False

    def pause_writing(self) -> None:
        """Blocks writers while the caller reads slowly."""
        self._can_write.clear()
        self._holding.stalled_since = time.monotonic()
        kind = memory_budget.Kind.RESPONSE
        self._budget.add(self._holding, kind, RESPONSE_BYTES)
        self._memory.check_later()

    def resume_writing(self) -> None:
        """Unblocks writers."""
        self._can_write.set()
        self._holding.stalled_since = None
        self._release(memory_budget.Kind.RESPONSE)

    def _release(self, kind: memory_budget.Kind, size: int = -1) -> None:
        """Releases bytes of a kind, by default all of them."""
        if size < 0:
            size = self._holding.held[kind]
        if size:
            self._budget.add(self._holding, kind, -size)
            self._memory.release()

    def release_body(self, request: request_parser.HttpRequest) -> None:
        """Releases the body of a request that is not sent any more."""
        request.body = bytearray()
        cost, request.body_cost = request.body_cost, 0
        self._release(memory_budget.Kind.BODY, cost)

    def _release_request(self, request: request_parser.HttpRequest) -> None:
        self._release(memory_budget.Kind.HEAD, request.head_cost)
        self._release(memory_budget.Kind.BODY, request.body_cost)

    def _get_receive_buffer(self) -> int:
        """Returns the size of the kernel's buffer for received bytes."""
        assert self._transport is not None
        raw = self._transport.get_extra_info("socket")
        size: int = raw.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        return size

    def _set_timer(self, seconds: float) -> None:
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._close_on_timeout)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @abc.abstractmethod
    def _close_on_timeout(self) -> None:
        """Closes a connection that is idle or whose head is late."""
