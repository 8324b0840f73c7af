"""State of one request in the relay: its caller and engine connections."""

import dataclasses
import json
import queue
import socket
from typing import Any

from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.shells import framing

MAX_ERROR_BODY_BYTES = 64 * 1024
# Limit of a response that is buffered until it is complete.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# A rating needs only a part of a long response.
MAX_COPIED_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True)
class SendHead:
    """Asks the HTTP worker to send the head of a streamed response."""

    upstream: str
    version: str
    session: str


@dataclasses.dataclass(frozen=True)
class StreamClosed:
    """Tells the HTTP worker that the stream has ended.

    Attributes:
        complete: Whether the caller received the complete response.
    """

    complete: bool


@dataclasses.dataclass(frozen=True)
class CompleteResponse:
    """Gives the HTTP worker a complete response that was buffered.

    Attributes:
        block: All events of the response except the end marker.
    """

    block: bytes
    upstream: str
    version: str
    session: str


@dataclasses.dataclass(frozen=True)
class FinalFailure:
    """Gives the HTTP worker the failure to send to the caller."""

    failure: failures.Failure


Reply = SendHead | StreamClosed | CompleteResponse | FinalFailure


class EngineConnection:
    """One connection to an engine for one attempt."""

    def __init__(self, command: lifecycle.StartAttempt, now: float):
        self.command = command
        self.sock: socket.socket | None = None
        self.outgoing = memoryview(b"")
        self.sent_bytes = 0
        self.response = framing.ResponseReader()
        self.events = framing.EventReader()
        self.error_body = b""
        self.last_progress = now
        self.paused = False
        self.mask = 0
        self.connect_error = 0

    def append_error_body(self, body: bytes) -> None:
        """Appends to the body of an error response, up to a limit."""
        room = MAX_ERROR_BODY_BYTES - len(self.error_body)
        self.error_body += body[:room]


class CallerConnection:
    """The connection to a caller while the relay owns its socket."""

    def __init__(
        self,
        sock: socket.socket,
        reply: "queue.SimpleQueue[Reply]",
        streamed: bool,
        body_rest: bytes,
    ):
        self.sock = sock
        self.reply = reply
        self.streamed = streamed
        self.body_rest = body_rest
        self.buffer = bytearray()
        self.head_requested = False
        self.head_sent = False
        self.has_pipelined_data = False
        self.mask = 0
        self.counted_bytes = 0
        self.closing: StreamClosed | None = None

    def build_body(self, version: str) -> bytes:
        """Returns the request body, with the version as its model."""
        model = json.dumps(version).encode()
        return b'{"model": ' + model + b", " + self.body_rest


@dataclasses.dataclass(frozen=True)
class RetainedAnswer:
    """A complete buffered response, kept while another version is tried."""

    upstream: str
    version: str
    session: str
    block: bytes


class Stream:
    """One request in the relay."""

    def __init__(self, request_id: str, caller: CallerConnection):
        self.request_id = request_id
        self.caller = caller
        self.engine: EngineConnection | None = None
        self.attempt = 0
        self.upstream = ""
        self.version = ""
        self.session = ""
        self.buffer_chunks = False
        self.copy_for_rating = False
        self.received_events = 0
        self.tokens = 0
        self.buffered_blocks: list[bytes] = []
        self.buffered_bytes = 0
        self.copied_blocks: list[bytes] = []
        self.copied_bytes = 0
        self.usage_event = b""
        self.usage: dict[str, Any] | None = None
        self.completed = False
        self.retained: RetainedAnswer | None = None

    def begin_attempt(self, engine: EngineConnection) -> None:
        """Begins an attempt.

        A new run discards the chunks of the last one; a resumed run keeps
        them.
        """
        command = engine.command
        complete = (
            self.completed and self.buffer_chunks and not self.is_oversized
        )
        if command.retain_previous and complete:
            self.retained = RetainedAnswer(
                self.upstream, self.version, self.session, self.join_buffered()
            )
        self.engine = engine
        self.attempt = command.attempt
        self.upstream = command.upstream
        self.version = command.version
        self.session = command.session
        self.buffer_chunks = command.buffer_chunks or not self.caller.streamed
        self.copy_for_rating = (
            command.copy_for_rating and not self.buffer_chunks
        )
        self.completed = False
        if command.resume_from is None:
            self.received_events = 0
            self.tokens = 0
            self.buffered_blocks.clear()
            self.buffered_bytes = 0
            self.copied_blocks.clear()
            self.copied_bytes = 0
            self.usage_event = b""
            self.usage = None

    def restore_retained(self) -> None:
        """Replaces the output of the last run by the retained response.

        Raises:
            LookupError: No response is retained.
        """
        retained = self.retained
        if retained is None:
            raise LookupError("no response is retained")
        self.retained = None
        self.upstream = retained.upstream
        self.version = retained.version
        self.session = retained.session
        self.buffered_blocks = [retained.block]
        self.buffered_bytes = len(retained.block)
        self.usage_event = b""

    @property
    def is_oversized(self) -> bool:
        """Whether the buffered response exceeds its size limit."""
        return self.buffered_bytes > MAX_BUFFERED_BYTES

    def buffer_block(self, block: bytes) -> None:
        """Buffers a block of a response that is sent when it is complete."""
        self.buffered_blocks.append(block)
        self.buffered_bytes += len(block)

    def copy_block(self, block: bytes) -> None:
        """Copies a block of a delivered response for its rating."""
        if self.copied_bytes > MAX_COPIED_BYTES:
            return
        self.copied_blocks.append(block)
        self.copied_bytes += len(block)

    def join_rated_blocks(self) -> bytes:
        """Returns the events of the response to be rated, or no bytes."""
        if self.buffer_chunks:
            return self.join_buffered()
        return b"".join(self.copied_blocks)

    def join_buffered(self) -> bytes:
        """Returns the buffered events and the usage event."""
        return b"".join([*self.buffered_blocks, self.usage_event])

    def count_output_tokens(self) -> int:
        """Returns the output tokens: as reported, else as counted so far."""
        if self.usage is not None:
            return int(self.usage.get("completion_tokens", self.tokens))
        return self.tokens

    def count_prompt_tokens(self) -> int:
        """Returns the prompt tokens that the engine reported, or 0."""
        if self.usage is None:
            return 0
        return int(self.usage.get("prompt_tokens", 0))


def build_failure_body(failure: failures.Failure) -> dict[str, Any]:
    """Returns the JSON object that describes a failure to a caller."""
    error = {
        "code": failure.code,
        "type": failure.code,
        "message": failure.reason,
        "run": failure.execution.value,
        "retry_after_s": failure.retry_after_s,
    }
    ticket = getattr(failure, "ticket", "")
    if ticket:
        error["ticket"] = ticket
    return {"error": error}
