"""HTTP requests of the load tool, run by one selector loop."""

import heapq
import json
import os
import selectors
import socket
import time

import httptools

from sycamorehollow.shells import response_heads

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
READ_BYTES = 65_536
# A small receive buffer, so that the sender soon sees back-pressure from a slow
# reader.
SLOW_RECEIVE_BYTES = 4_096
SLOW_PERIOD_S = 0.1
MAX_WAIT_S = 0.05


class Exchange:
    """One HTTP request and its response.

    Attributes:
        outcome: `complete`, `truncated`, `refused_<code>`,
            `connection_failed`, `unfinished` or `not_sent`.
        first_token_s: Seconds from the start to the first token.
        gaps_s: Seconds between consecutive tokens.
    """

    def __init__(
        self,
        address: tuple[str, int],
        data: bytes,
        kind: str,
        stream: bool,
        slow_bytes_per_s: float | None,
    ):
        self.address = address
        self.kind = kind
        self.stream = stream
        self.slow = slow_bytes_per_s is not None
        self.outcome = ""
        self.events = 0
        self.first_token_s: float | None = None
        self.gaps_s: list[float] = []
        self.connection = socket.socket()
        self.unsent = data
        self.read_bytes = READ_BYTES
        if slow_bytes_per_s is not None:
            self.read_bytes = max(1, int(slow_bytes_per_s * SLOW_PERIOD_S))
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._start = time.monotonic()
        self._last = 0.0
        self._buffer = b""
        self._done = False
        self._failed = False
        self._ended = False

    def on_status(self, reason: bytes) -> None:
        """Stores the reason phrase; called by the parser."""
        self._reason += reason

    def on_headers_complete(self) -> None:
        """Checks the status line; called by the parser.

        Raises:
            response_heads.InvalidHeadError: It is invalid.
        """
        reason, self._reason = self._reason, b""
        response_heads.check_status_line(
            self._parser.get_http_version(),
            self._parser.get_status_code(),
            reason,
        )

    def on_body(self, data: bytes) -> None:
        """Processes a part of the body; called by the parser."""
        self._buffer += data
        if not self._is_event_stream():
            return
        *events, self._buffer = self._buffer.split(b"\n\n")
        for event in events:
            self._process_event(event)

    def on_message_complete(self) -> None:
        """Records the end of the response; called by the parser."""
        self._ended = True

    def receive(self, data: bytes) -> bool:
        """Processes bytes of the response; returns whether it has ended."""
        if not data:
            self._ended = True
        else:
            self._parser.feed_data(data)
        return self._ended

    def finish(self, outcome: str = "") -> None:
        """Records the outcome and closes the connection.

        Args:
            outcome: The outcome; if empty, it is derived from the response.
        """
        self.outcome = outcome or self._derive_outcome()
        self.connection.close()

    def _is_event_stream(self) -> bool:
        return self.stream and self._parser.get_status_code() == 200

    def _process_event(self, event: bytes) -> None:
        now = time.monotonic()
        self.events += 1
        if b"data: [DONE]" in event:
            self._done = True
        elif event.startswith(b"event: error") or b'"error":' in event:
            self._failed = True
        elif b'"content"' in event and b'"content": ""' not in event:
            self._record_token(now)

    def _record_token(self, now: float) -> None:
        if self.first_token_s is None:
            self.first_token_s = now - self._start
        else:
            self.gaps_s.append(now - self._last)
        self._last = now

    def _derive_outcome(self) -> str:
        status = self._parser.get_status_code()
        if not status:
            return "connection_failed"
        if status != 200:
            return f"refused_{self._parse_error_code(status)}"
        if self.stream:
            complete = self._done and not self._failed
            return "complete" if complete else "truncated"
        try:
            json.loads(self._buffer)
        except ValueError:
            return "truncated"
        return "complete"

    def _parse_error_code(self, status: int) -> str:
        try:
            return str(json.loads(self._buffer)["error"]["code"])
        except (ValueError, KeyError, TypeError):
            return str(status)


class Loop:
    """Selector loop that runs the connections of all exchanges."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._open: set[Exchange] = set()
        self._paused: list[tuple[float, int, Exchange]] = []

    def count_open(self) -> int:
        """Returns the number of exchanges in progress."""
        return len(self._open)

    def begin(self, exchange: Exchange) -> None:
        """Starts a non-blocking connect and registers the exchange."""
        connection = exchange.connection
        connection.setblocking(False)
        if exchange.slow:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES
            )
        connection.connect_ex(exchange.address)
        self._open.add(exchange)
        self._selector.register(connection, selectors.EVENT_WRITE, exchange)

    def run_until(self, deadline: float, stop_when_idle: bool = False) -> None:
        """Runs the exchanges until a deadline on the monotonic clock.

        Args:
            deadline: Time at which to return.
            stop_when_idle: Whether to return early if no exchange is open.
        """
        while not (stop_when_idle and not self._open):
            now = time.monotonic()
            while self._paused and self._paused[0][0] <= now:
                exchange = heapq.heappop(self._paused)[2]
                self._selector.register(
                    exchange.connection, selectors.EVENT_READ, exchange
                )
            wait_s = min(max(0.0, deadline - now), MAX_WAIT_S)
            for key, _ in self._selector.select(wait_s):
                self._process_ready(key.data)
            if time.monotonic() >= deadline:
                return

    def close(self) -> None:
        """Ends all open exchanges as unfinished and closes the selector."""
        for exchange in list(self._open):
            exchange.finish("unfinished")
        self._open.clear()
        self._selector.close()

    def _process_ready(self, exchange: Exchange) -> None:
        connection = exchange.connection
        try:
            if exchange.unsent:
                self._send(exchange, connection)
                return
            data = connection.recv(exchange.read_bytes)
            ended = exchange.receive(data)
        except (OSError, httptools.HttpParserError):
            self._end(exchange, "" if exchange.events else "connection_failed")
            return
        if ended:
            self._end(exchange)
        elif exchange.slow:
            self._selector.unregister(connection)
            due = time.monotonic() + SLOW_PERIOD_S
            heapq.heappush(self._paused, (due, id(exchange), exchange))

    def _end(self, exchange: Exchange, outcome: str = "") -> None:
        self._selector.unregister(exchange.connection)
        self._open.discard(exchange)
        exchange.finish(outcome)

    def _send(self, exchange: Exchange, connection: socket.socket) -> None:
        sent = connection.send(exchange.unsent)
        exchange.unsent = exchange.unsent[sent:]
        if not exchange.unsent:
            self._selector.modify(connection, selectors.EVENT_READ, exchange)
