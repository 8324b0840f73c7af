"""Non-blocking connections of the relay to engines."""

import dataclasses
import errno
import json
import selectors
import socket
import time
import urllib.parse

from sycamorehollow.model import lifecycle
from sycamorehollow.shells import framing
from sycamorehollow.shells import streams

CONNECT_TIMEOUT_S = 1.0
# A stream without progress for this long is resumed on a new connection, which
# does no harm if the engine is only slow.
SILENCE_TIMEOUT_S = 3.0
MAX_READ_BYTES = 65536
HTTP_OK = 200


@dataclasses.dataclass(frozen=True)
class Registration:
    """The data that the selector returns with a socket."""

    stream: streams.Stream
    connection: streams.CallerConnection | streams.EngineConnection


@dataclasses.dataclass(frozen=True)
class Batch:
    """Events that were received together.

    Attributes:
        block: Complete events, as they were received.
        closed: Whether the response or the connection has ended.
    """

    block: bytes
    closed: bool


@dataclasses.dataclass(frozen=True)
class AttemptFailure:
    """Why an attempt failed."""

    end: lifecycle.AttemptEnd
    code: str = ""
    retry_after_s: float | None = None
    response_started: bool = False
    connection_refused: bool = False


class EngineClient:
    """Sends requests to engines and reads their response streams."""

    def __init__(self, selector: selectors.BaseSelector):
        self._selector = selector

    def open(
        self,
        stream: streams.Stream,
        command: lifecycle.StartAttempt,
        now: float,
    ) -> AttemptFailure | None:
        """Starts an attempt; returns the failure if it could not start."""
        engine = streams.EngineConnection(command, now)
        stream.begin_attempt(engine)
        parts = urllib.parse.urlsplit(command.url)
        address = (parts.hostname or "", parts.port or 80)
        # A memoryview, so that a partial send does not copy the rest of a long
        # prompt.
        engine.outgoing = memoryview(
            self._build_request(stream, command, parts.netloc)
        )
        try:
            engine.sock = connect(address)
        except OSError as error:
            engine.connect_error = error.errno or 0
            return self.describe_failure(stream)
        self._set_mask(stream, engine, selectors.EVENT_WRITE)
        return None

    def send(self, stream: streams.Stream, now: float) -> bool:
        """Writes the request; returns `False` when the connection failed."""
        engine = stream.engine
        assert engine is not None and engine.sock is not None
        error = engine.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            engine.connect_error = error
            return False
        try:
            sent = engine.sock.send(engine.outgoing)
        except BlockingIOError:
            return True
        except OSError:
            return False
        engine.sent_bytes += sent
        engine.outgoing = engine.outgoing[sent:]
        engine.last_progress = now
        if not engine.outgoing:
            self._set_mask(stream, engine, selectors.EVENT_READ)
        return True

    def receive(self, stream: streams.Stream, now: float) -> Batch:
        """Reads what the engine sent.

        Raises:
            OSError: The connection failed.
            httptools.HttpParserError: The engine sent no valid response.
            framing.OversizeError: A part of the response is too long.
        """
        engine = stream.engine
        assert engine is not None and engine.sock is not None
        try:
            data = engine.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return Batch(b"", closed=False)
        if not data:
            return Batch(b"", closed=True)
        status = engine.response.status
        body = engine.response.feed(data)
        closed = engine.response.complete
        if engine.response.status != status:
            engine.last_progress = now
        if engine.response.status != HTTP_OK:
            engine.append_error_body(body)
            return Batch(b"", closed)
        block = engine.events.feed(body) if body else b""
        if b"data:" in block:
            # Comments and incomplete events are no progress: an engine that
            # hangs may still send them.
            engine.last_progress = now
        return Batch(block, closed)

    def process_block(self, stream: streams.Stream, block: bytes) -> bytes:
        """Counts events and returns those to forward to the caller now.

        The usage chunk and the end marker are withheld until the request is
        finished, so that no response looks complete before its bill is
        replicated.
        """
        if framing.needs_parsing(block):
            block = self._withhold_end(stream, block)
        else:
            stream.received_events += framing.count_events(block)
            stream.tokens += framing.count_tokens(block)
        if stream.copy_for_rating and block:
            stream.copy_block(block)
        if not stream.buffer_chunks:
            if block:
                stream.retained = None
            return block
        if block:
            stream.buffer_block(block)
        return b""

    def _withhold_end(self, stream: streams.Stream, block: bytes) -> bytes:
        forward = []
        for item in framing.parse_events(block):
            if item == framing.END_MARKER:
                stream.completed = True
                break
            stream.received_events += 1
            event = framing.encode_event(item)
            usage = framing.parse_usage(item)
            if usage is None:
                stream.tokens += framing.count_tokens(event)
                forward.append(event)
                continue
            stream.usage = usage
            stream.usage_event = event
        return b"".join(forward)

    def pause(self, stream: streams.Stream, paused: bool, now: float) -> None:
        """Pauses or resumes reading from the engine."""
        engine = stream.engine
        if engine is None or engine.outgoing or engine.paused == paused:
            return
        engine.paused = paused
        engine.last_progress = now
        self._set_mask(stream, engine, 0 if paused else selectors.EVENT_READ)

    def close(self, stream: streams.Stream) -> None:
        """Closes the connection to the engine."""
        engine = stream.engine
        stream.engine = None
        if engine is None or engine.sock is None:
            return
        self._set_mask(stream, engine, 0)
        engine.sock.close()

    def find_timeout(
        self, stream: streams.Stream, now: float
    ) -> AttemptFailure | None:
        """Returns the failure of an attempt that has timed out, if it has."""
        engine = stream.engine
        if engine is None or engine.paused:
            return None
        waited_s = now - engine.last_progress
        if engine.sent_bytes == 0:
            if waited_s > CONNECT_TIMEOUT_S:
                return AttemptFailure(lifecycle.AttemptEnd.NOT_SENT)
            return None
        if waited_s > SILENCE_TIMEOUT_S:
            started = engine.response.status == HTTP_OK
            return AttemptFailure(
                lifecycle.AttemptEnd.SILENT, response_started=started
            )
        return None

    def describe_failure(self, stream: streams.Stream) -> AttemptFailure:
        """Returns why the connection of an attempt failed."""
        engine = stream.engine
        assert engine is not None
        if engine.sent_bytes == 0:
            refused = engine.connect_error == errno.ECONNREFUSED
            return AttemptFailure(
                lifecycle.AttemptEnd.NOT_SENT, connection_refused=refused
            )
        if engine.response.status in (0, HTTP_OK):
            return AttemptFailure(lifecycle.AttemptEnd.BROKEN)
        return parse_error_response(engine)

    def _set_mask(
        self,
        stream: streams.Stream,
        engine: streams.EngineConnection,
        mask: int,
    ) -> None:
        if engine.mask == mask or engine.sock is None:
            return
        if mask == 0:
            self._selector.unregister(engine.sock)
        elif engine.mask == 0:
            self._selector.register(
                engine.sock, mask, Registration(stream, engine)
            )
        else:
            self._selector.modify(
                engine.sock, mask, Registration(stream, engine)
            )
        engine.mask = mask

    def _build_request(
        self,
        stream: streams.Stream,
        command: lifecycle.StartAttempt,
        host: str,
    ) -> bytes:
        if command.resume_from is not None:
            target = f"/v1/streams/{command.run_id}?from={command.resume_from}"
            return framing.build_request("GET", host, target, {}, b"")
        left_ms = max(0, int((command.deadline - time.monotonic()) * 1000))
        headers = {
            "X-Request-Id": command.run_id,
            "X-Priority": str(command.priority),
            "X-Deadline-Ms": str(left_ms),
        }
        return framing.build_request(
            "POST",
            host,
            "/v1/chat/completions",
            headers,
            stream.caller.build_body(command.version),
        )


def connect(address: tuple[str, int]) -> socket.socket:
    """Starts a connection without waiting until it is established.

    Each attempt has a new connection. This costs one round trip, but no
    attempt can fail on an idle connection that a device on the path has
    dropped.

    Raises:
        OSError: The connection failed at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    error = sock.connect_ex(address)
    if error in (0, errno.EINPROGRESS):
        return sock
    sock.close()
    raise OSError(error, "connection failed")


def parse_error_response(engine: streams.EngineConnection) -> AttemptFailure:
    """Returns the failure that a response other than 200 describes."""
    try:
        error = json.loads(engine.error_body)["error"]
        code = str(error["code"])
        run = error.get("run")
        retry_after_s = error.get("retry_after_s")
    except (ValueError, KeyError, TypeError):
        return AttemptFailure(lifecycle.AttemptEnd.BROKEN)
    if engine.response.status in (400, 404, 413, 422):
        if engine.command.resume_from is not None:
            return AttemptFailure(lifecycle.AttemptEnd.LOST, code)
        return AttemptFailure(lifecycle.AttemptEnd.REJECTED, code)
    if run == "no":
        return AttemptFailure(lifecycle.AttemptEnd.REFUSED, code, retry_after_s)
    return AttemptFailure(lifecycle.AttemptEnd.BROKEN, code, retry_after_s)
