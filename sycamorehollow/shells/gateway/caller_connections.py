"""HTTP server connections: parses requests and writes responses."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import time

import loguru

from sycamorehollow.decisions.forwarding import memory_budget
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import caller_memory
from sycamorehollow.shells.gateway import caller_transport
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import request_parser
from sycamorehollow.shells.gateway import transports

# Requests that a caller may pipeline before their responses.
MAX_PIPELINED_REQUESTS = 8
# Time for which a new connection is kept open while its first request may be in
# transit. Callers expect a connection to be established within it.
FIRST_REQUEST_TIMEOUT_S = 1.0
# Bytes that a waiting request has usually received: what was read at once and
# the kernel's default buffer.
WAITING_BYTES = 192 * 1024
# Memory of a request that is handled, in addition to its head and body: its
# task, its attempts, and for a larger body the buffer of its upstream.
HANDLING_BYTES = 24 * 1024
MAX_SEND_BUFFER_BYTES = 128 * 1024
# Time for which bytes of a refused body are read and dropped. Closing before
# would reset the connection, and the caller might not get the response.
LINGER_S = 1.0
# Time for reading bytes that have already arrived when a timeout expires.
HEAD_GRACE_S = 0.05
# Statuses of requests that are valid but refused for lack of memory.
REFUSED_STATUSES = (408, 503)


HttpRequest = request_parser.HttpRequest


CallerDisconnectedError = caller_transport.CallerDisconnectedError
Handler = Callable[["CallerConnection", HttpRequest], Awaitable[None]]


class CallerConnection(
    caller_transport.CallerTransport,
    request_parser.RequestReceiver,
    caller_memory.LimitedConnection,
):
    """One connection of a caller; its requests are handled in order.

    Args:
        handler: Responds to a request.
        get_limits: Returns the limits in force.
        registry: The open connections; the connection adds itself.
        memory: Account of the memory that connections hold.

    Attributes:
        is_closing: Whether it closes after the requests already received.
        closes_after_response: Whether it closes after its next response.
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], forwarding.CallerLimits],
        registry: set["CallerConnection"],
        memory: caller_memory.CallerMemory,
    ):
        super().__init__(memory)
        self.is_closing = False
        self.closes_after_response = False
        self._handler = handler
        self._get_limits = get_limits
        self._registry = registry
        self._parser = request_parser.RequestParser(
            self,
            get_limits,
            memory.limits.header_lines,
            memory.limits.preamble_bytes,
        )
        self._opened_at = time.monotonic()
        self._is_waiting = False
        self._expects_continue = False
        self._is_discarding = False
        self._had_grace = False
        self._pending_requests: collections.deque[HttpRequest] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled."""
        return self._task is not None or self._parser.has_begun_request

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
            not self._parser.has_begun and age_s < FIRST_REQUEST_TIMEOUT_S
        )
        if not awaits_first and not self.has_unread_bytes:
            self._transport.close()

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
        last = (
            self.is_closing or self.closes_after_response
        ) and not self._pending_requests
        is_last = not keep_alive or last
        if is_last:
            self.is_closing = True
        await self._write_head(status, reason, headers, length, is_last, body)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transports.configure(transport, transports.CALLER_USER_TIMEOUT_MS)
        self._registry.add(self)
        self._set_timer(self._get_limits().idle_timeout_s)
        holding = self._memory.open(self)
        if holding is None:
            transport.abort()
            return
        self._holding = holding

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the request of a caller that has disconnected."""
        self._disconnected = True
        self._registry.discard(self)
        self._can_write.set()
        self._clear_timer()
        self._parser.stop()
        if self._task is None:
            self._memory.close(self._holding)
        else:
            # Its request is held until it has ended.
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._is_discarding:
            return
        self._parser.feed(data)
        self._count_unread()

    def _count_unread(self) -> None:
        """Counts bytes that are not parsed, and stops reading if need be."""
        if self._transport is None or self.can_parse:
            return
        self._transport.pause_reading()
        size = len(self._parser.unparsed)
        if self._is_waiting:
            size += min(self._get_receive_buffer(), self._holding.need)
        size -= self._holding.held[memory_budget.Kind.UNREAD]
        self._budget.add(self._holding, memory_budget.Kind.UNREAD, size)

    @property
    def can_parse(self) -> bool:
        """Whether more requests can be held."""
        too_many = len(self._pending_requests) > MAX_PIPELINED_REQUESTS
        return not self._is_waiting and not too_many

    def start_head(self) -> None:
        """Limits the time for a head."""
        self._holding.idle_since = None
        self._holding.head_since = time.monotonic()
        self._had_grace = False
        self._set_timer(self._get_limits().header_timeout_s)

    def grow_head(self, request: HttpRequest, cost: int) -> bool:
        """Counts memory of a head; returns whether there is room."""
        kind = memory_budget.Kind.HEAD
        if self._budget.admit(self._holding, kind, cost):
            return True
        self._memory.refuse(cost)
        return False

    def begin_body(
        self, request: HttpRequest, cost: int, expects_continue: bool
    ) -> None:
        """Reads a body if there is room, or waits for it."""
        self._holding.head_since = None
        self._expects_continue = expects_continue
        cost += min(cost, MAX_SEND_BUFFER_BYTES)
        if self._take_room(request, cost):
            self._start_reading_body(request)

    def grow_body(self, request: HttpRequest, cost: int) -> None:
        """Reads on if there is room for more of a body, or waits for it."""
        self._take_room(request, cost)

    def _take_room(self, request: HttpRequest, cost: int) -> bool:
        """Returns whether there is room; else the request waits if it may."""
        kind = memory_budget.Kind.BODY
        if self._budget.admit(self._holding, kind, cost):
            request.body_cost += cost
            return True
        if self._budget.may_wait(min(cost, WAITING_BYTES)):
            self._is_waiting = True
            self._memory.wait(self._holding, cost)
        else:
            self._memory.refuse(cost)
            self.refuse(memory_budget.Reason.NO_ROOM)
        return False

    def continue_body(self, size: int) -> None:
        """Reads a body for which there is room now."""
        self._is_waiting = False
        request = self._parser.request
        if request is None:
            return
        request.body_cost += size
        self._start_reading_body(request)
        self._resume_parsing()

    def _start_reading_body(self, request: HttpRequest) -> None:
        remaining = self._parser.body_bytes_left
        if remaining is None:
            remaining = request.body_cost - len(request.body)
        self._budget.begin_body(self._holding, remaining, time.monotonic())
        if self._expects_continue and self._transport is not None:
            self._expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def record_body(self, size: int) -> None:
        """Records the progress of a body."""
        self._budget.record_progress(self._holding, size)

    def _resume_parsing(self) -> None:
        """Parses and reads on if that was stopped and may continue."""
        if self.can_parse:
            self._release(memory_budget.Kind.UNREAD)
            self._parser.resume()
            self._count_unread()
        if self.can_parse and self._transport is not None:
            self._transport.resume_reading()

    def refuse(self, reason: memory_budget.Reason) -> None:
        """Refuses the unfinished request, or closes the connection."""
        self._is_waiting = False
        request = self._parser.request
        if reason in (
            memory_budget.Reason.WAITED,
            memory_budget.Reason.NO_ROOM,
            memory_budget.Reason.NO_PROGRESS,
        ):
            self._parser.stop()
            is_slow = reason is memory_budget.Reason.NO_PROGRESS
            self.reject(408 if is_slow else 503, request)
        elif self._transport is not None:
            self._transport.abort()

    def complete(self, request: HttpRequest) -> None:
        """Queues the complete request."""
        self._is_waiting = False
        self._holding.head_since = None
        self._budget.end_body(self._holding)
        if not (self.is_closing and self._disconnected):
            self._enqueue(request)

    def reject(self, status: int, request: HttpRequest | None) -> None:
        """Rejects a request and closes the connection afterwards."""
        self._budget.end_body(self._holding)
        self._holding.head_since = None
        error = HttpRequest(error_status=status, keep_alive=False)
        if request is not None:
            self._release_request(request)
            if request.method and status in REFUSED_STATUSES:
                error.method, error.target = request.method, request.target
                error.headers = request.headers
        if self.is_closing and self._pending_requests:
            return
        self.is_closing = True
        self._is_discarding = status in REFUSED_STATUSES
        self._enqueue(error)
        if self._transport is None:
            return
        self._release(memory_budget.Kind.UNREAD)
        if self._is_discarding:
            self._transport.resume_reading()
        else:
            # The end of the invalid request is unknown, so nothing after it
            # can be parsed.
            self._transport.pause_reading()

    def _enqueue(self, request: HttpRequest) -> None:
        self._clear_timer()
        self._pending_requests.append(request)
        if self._task is None and not self._disconnected:
            self._task = asyncio.get_running_loop().create_task(
                self._handle_requests()
            )

    async def _handle_requests(self) -> None:
        try:
            while self._pending_requests:
                request = self._pending_requests.popleft()
                await self._handle_request(request)
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
            if self._disconnected:
                self._memory.close(self._holding)
        if self._transport is None or self._disconnected:
            return
        if self._is_discarding:
            self._linger()
        elif self.is_closing:
            self._transport.close()
        else:
            self._start_next_request()

    async def _handle_request(self, request: HttpRequest) -> None:
        kind = memory_budget.Kind.HANDLING
        self._budget.add(self._holding, kind, HANDLING_BYTES)
        try:
            await self._handler(self, request)
        finally:
            self._release(kind, HANDLING_BYTES)
            self.release_body(request)
            self._release(memory_budget.Kind.HEAD, request.head_cost)

    def _linger(self) -> None:
        """Drops the rest of a refused request before the close."""
        assert self._transport is not None
        if self._transport.can_write_eof():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_S, self._transport.close)

    def _start_next_request(self) -> None:
        """Waits for the next request, or reads the one that has begun."""
        self._resume_parsing()
        if self._task is not None or self.is_closing:
            return
        head_since = self._holding.head_since
        if head_since is not None:
            late_s = time.monotonic() - head_since
            timeout_s = self._get_limits().header_timeout_s
            self._set_timer(max(HEAD_GRACE_S, timeout_s - late_s))
        elif self._parser.request is None:
            self._holding.idle_since = time.monotonic()
            self._set_timer(self._get_limits().idle_timeout_s)

    def _close_on_timeout(self) -> None:
        """Closes a connection that is idle or whose head is late."""
        request = self._parser.request
        if request is not None and request.method:
            # Only the head has a timeout; the body may take as long as the
            # caller waits.
            return
        if self._task is not None or self._transport is None:
            return
        if not self._had_grace and self.has_unread_bytes:
            # After the process was paused, its timers expire before it reads
            # the bytes that arrived in the meantime.
            self._had_grace = True
            self._set_timer(HEAD_GRACE_S)
            return
        self._transport.close()
