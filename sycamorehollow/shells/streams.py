"""State of one request in the relay: its caller side and its engine side."""

import dataclasses
import json
import queue
import socket
from typing import Any

from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.shells import framing

ERROR_BODY_LIMIT_BYTES = 64 * 1024
# Bytes of an answer that is held back until it is whole.
HELD_LIMIT_BYTES = 8 * 1024 * 1024
# A rating needs a part of a long answer only.
COPY_LIMIT_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True)
class SendHead:
    """Asks the HTTP worker to send the head of a streamed answer."""

    upstream: str
    version: str
    session: str


@dataclasses.dataclass(frozen=True)
class StreamClosed:
    """Tells the HTTP worker that the stream is over.

    Attributes:
        whole: Whether the caller received the whole answer.
    """

    whole: bool


@dataclasses.dataclass(frozen=True)
class WholeAnswer:
    """Gives the HTTP worker a whole answer that was held back.

    Attributes:
        block: All events of the answer but the end marker.
    """

    block: bytes
    upstream: str
    version: str
    session: str


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Gives the HTTP worker the final failure."""

    failure: failures.Failure


Reply = SendHead | StreamClosed | WholeAnswer | Refusal


class EngineSide:
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
        """Keeps the body of a refusal, up to a limit."""
        room = ERROR_BODY_LIMIT_BYTES - len(self.error_body)
        self.error_body += body[:room]


class CallerSide:
    """The connection to a caller while the relay owns it."""

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
        self.early = False
        self.mask = 0
        self.counted_bytes = 0
        self.closing: StreamClosed | None = None

    def build_body(self, version: str) -> bytes:
        """Returns the request body with the version as its model."""
        model = json.dumps(version).encode()
        return b'{"model": ' + model + b", " + self.body_rest


@dataclasses.dataclass(frozen=True)
class RetainedAnswer:
    """A whole answer that was held back, while another run is tried."""

    upstream: str
    version: str
    session: str
    block: bytes


class Stream:
    """One request in the relay."""

    def __init__(self, request_id: str, caller: CallerSide):
        self.request_id = request_id
        self.caller = caller
        self.engine: EngineSide | None = None
        self.attempt = 0
        self.upstream = ""
        self.version = ""
        self.session = ""
        self.hold = False
        self.keep = False
        self.received = 0
        self.tokens = 0
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.copy: list[bytes] = []
        self.copied_bytes = 0
        self.end = b""
        self.usage: dict[str, Any] | None = None
        self.completed = False
        self.retained: RetainedAnswer | None = None

    def begin_attempt(self, engine: EngineSide) -> None:
        """Takes a new attempt; a new run forgets the chunks of the last one."""
        command = engine.command
        whole = self.completed and self.hold and not self.is_oversized
        if command.retain_previous and whole:
            self.retained = RetainedAnswer(
                self.upstream, self.version, self.session, self.join_held()
            )
        self.engine = engine
        self.attempt = command.attempt
        self.upstream = command.upstream
        self.version = command.version
        self.session = command.session
        self.hold = command.buffer_chunks or not self.caller.streamed
        self.keep = command.copy_for_rating and not self.hold
        self.completed = False
        if command.resume_from is None:
            self.received = 0
            self.tokens = 0
            self.held.clear()
            self.held_bytes = 0
            self.copy.clear()
            self.copied_bytes = 0
            self.end = b""
            self.usage = None

    def restore_retained(self) -> None:
        """Takes the retained answer in place of what the last run gave.

        Raises:
            LookupError: No answer is retained.
        """
        answer = self.retained
        if answer is None:
            raise LookupError("no answer is retained")
        self.retained = None
        self.upstream = answer.upstream
        self.version = answer.version
        self.session = answer.session
        self.held = [answer.block]
        self.held_bytes = len(answer.block)
        self.end = b""

    @property
    def is_oversized(self) -> bool:
        """Whether more is held back than any answer needs."""
        return self.held_bytes > HELD_LIMIT_BYTES

    def hold_block(self, block: bytes) -> None:
        """Keeps a block of an answer that is held back."""
        self.held.append(block)
        self.held_bytes += len(block)

    def copy_block(self, block: bytes) -> None:
        """Keeps a block of a delivered answer for its rating."""
        if self.copied_bytes > COPY_LIMIT_BYTES:
            return
        self.copy.append(block)
        self.copied_bytes += len(block)

    def join_answer(self) -> bytes:
        """Returns the events that are kept for the rating, if any."""
        if self.hold:
            return self.join_held()
        return b"".join(self.copy)

    def join_held(self) -> bytes:
        """Returns the events that were held back, with the usage."""
        return b"".join([*self.held, self.end])

    def count_output_tokens(self) -> int:
        """Returns the output tokens of the answer as far as it is known."""
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
