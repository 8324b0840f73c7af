"""Bounds on the bytes that a relay buffers for slow callers.

Reading from an upstream pauses while the caller's buffer is above a high mark.
Callers that take no bytes, or that hold the most bytes while memory is short,
are disconnected.
"""

import dataclasses

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

MAX_STREAM_BYTES = 256 * 1024
MAX_TOTAL_BYTES = 64 * 1024 * 1024
# Reading pauses here, so that the result of one more read still fits.
HIGH_WATER_BYTES = 128 * 1024
# Well below the high mark, so that reading does not pause for every chunk.
LOW_WATER_BYTES = 64 * 1024
STALL_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True)
class StreamOpened(events.Event):
    """A response to a caller has started."""

    stream: str


@dataclasses.dataclass(frozen=True)
class ChunkBuffered(events.Event):
    """The relay has read bytes of a response from its upstream."""

    stream: str
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class BytesSent(events.Event):
    """The caller's socket has accepted bytes."""

    stream: str
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class StreamClosed(events.Event):
    """The response ended or the caller disconnected; its buffer is freed."""

    stream: str


@dataclasses.dataclass(frozen=True)
class PauseReading(commands.Command):
    """Stops reading the stream from its upstream."""

    stream: str


@dataclasses.dataclass(frozen=True)
class ResumeReading(commands.Command):
    """Resumes reading the stream from its upstream."""

    stream: str


@dataclasses.dataclass(frozen=True)
class DisconnectCaller(commands.Command):
    """Ends the response, frees its buffer and cancels the attempt."""

    stream: str
    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class SlowCaller(failures.Failure):
    """The caller reads too slowly for the memory of the node."""

    code = "slow_caller"
    status = 408


@dataclasses.dataclass
class Stream:
    """Buffer of one caller.

    Attributes:
        last_progress_at: When the caller last took bytes or the buffer was
            empty.
    """

    last_progress_at: float
    buffered_bytes: int = 0
    is_paused: bool = False


class CallerBuffers(components.Component):
    """Buffers of all callers of a relay.

    Args:
        stream_bytes: Limit per caller.
        total_bytes: Limit for all callers together.
        high_bytes: Buffered bytes at which reading pauses.
        low_bytes: Buffered bytes at which reading resumes.
    """

    def __init__(
        self,
        stream_bytes: int = MAX_STREAM_BYTES,
        total_bytes: int = MAX_TOTAL_BYTES,
        high_bytes: int = HIGH_WATER_BYTES,
        low_bytes: int = LOW_WATER_BYTES,
    ):
        self._stream_bytes = stream_bytes
        self._total_bytes = total_bytes
        self._high_bytes = high_bytes
        self._low_bytes = low_bytes
        self._streams: dict[str, Stream] = {}
        self._buffered_bytes = 0

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        match event:
            case ChunkBuffered():
                return self._buffer(event.stream, event.size_bytes, now)
            case BytesSent():
                return self._send(event.stream, event.size_bytes, now)
            case StreamOpened():
                self._streams.setdefault(event.stream, Stream(now))
            case StreamClosed():
                self._drop(event.stream)
            case events.Tick():
                return self._disconnect_stalled(now)
        return []

    def get_readable_bytes(self, stream: str) -> int:
        """Returns how many bytes the relay may read next for a stream.

        Reads of at most this size respect the limit per caller; the total
        limit is enforced by disconnecting callers.
        """
        stream_state = self._streams.get(stream)
        if stream_state is None or stream_state.is_paused:
            return 0
        return min(
            self._stream_bytes - stream_state.buffered_bytes, self._total_bytes
        )

    def get_buffered_bytes(self) -> int:
        """Returns the bytes buffered for all callers."""
        return self._buffered_bytes

    def _buffer(
        self, name: str, size: int, now: float
    ) -> list[commands.Command]:
        stream = self._streams.get(name)
        if stream is None:
            return []
        if stream.buffered_bytes == 0:
            stream.last_progress_at = now
        stream.buffered_bytes += size
        self._buffered_bytes += size
        result: list[commands.Command] = []
        if stream.buffered_bytes > self._stream_bytes:
            result.append(self._disconnect(name, "reads too slowly"))
        while self._buffered_bytes > self._total_bytes:
            result.append(
                self._disconnect(
                    self._find_largest(now),
                    "holds the most bytes while memory is short",
                )
            )
        if name not in self._streams or stream.is_paused:
            return result
        if stream.buffered_bytes >= self._high_bytes:
            stream.is_paused = True
            result.append(PauseReading(name))
        return result

    def _send(self, name: str, size: int, now: float) -> list[commands.Command]:
        stream = self._streams.get(name)
        if stream is None or size <= 0:
            return []
        size = min(size, stream.buffered_bytes)
        stream.buffered_bytes -= size
        self._buffered_bytes -= size
        stream.last_progress_at = now
        if stream.is_paused and stream.buffered_bytes <= self._low_bytes:
            stream.is_paused = False
            return [ResumeReading(name)]
        return []

    def _find_largest(self, now: float) -> str:
        """Returns the stream with the most bytes, ties to the longest stall."""
        largest = ""
        highest = (-1, 0.0)
        for name, stream in self._streams.items():
            cost = (stream.buffered_bytes, now - stream.last_progress_at)
            if cost > highest:
                largest, highest = name, cost
        return largest

    def _disconnect_stalled(self, now: float) -> list[commands.Command]:
        stalled = []
        for name, stream in self._streams.items():
            if (
                stream.buffered_bytes
                and now - stream.last_progress_at >= STALL_TIMEOUT_S
            ):
                stalled.append(name)
        return [
            self._disconnect(name, f"took no bytes for {STALL_TIMEOUT_S:.0f} s")
            for name in stalled
        ]

    def _disconnect(self, name: str, reason: str) -> DisconnectCaller:
        self._drop(name)
        failure = SlowCaller(
            f"The caller {reason}.", failures.Execution.UNKNOWN, None
        )
        return DisconnectCaller(name, failure)

    def _drop(self, name: str) -> None:
        stream = self._streams.pop(name, None)
        if stream is not None:
            self._buffered_bytes -= stream.buffered_bytes
