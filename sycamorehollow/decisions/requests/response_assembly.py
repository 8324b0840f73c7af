"""Assembly of complete responses from numbered chunks.

Chunks may arrive out of order, twice or not at all. A caller receives each
chunk once and in order, and never chunks of two attempts.
"""

import dataclasses

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

# Engines number tokens in order, so gaps are short.
MAX_OUT_OF_ORDER_CHUNKS = 64
MAX_OUT_OF_ORDER_BYTES = 64 * 1024
# A chunk missing for longer will not arrive on this connection.
GAP_TIMEOUT_S = 1.0
MAX_RESUMES = 3


@dataclasses.dataclass(frozen=True)
class ResponseOpened(events.Event):
    """An attempt that may produce the response has started.

    Attributes:
        attempt: Identity of the attempt; chunks of other attempts are
            dropped.
    """

    request_id: str
    attempt: str
    upstream: str


@dataclasses.dataclass(frozen=True)
class ChunkArrived(events.Event):
    """A chunk of an attempt arrived; numbers start at 0."""

    request_id: str
    attempt: str
    number: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class EndArrived(events.Event):
    """The upstream has declared how many chunks the response has."""

    request_id: str
    attempt: str
    total: int


@dataclasses.dataclass(frozen=True)
class StreamBroken(events.Event):
    """The connection of an attempt ended or stalled."""

    request_id: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class ResumeFailed(events.Event):
    """The upstream cannot resume the stream of an attempt."""

    request_id: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class CallerDisconnected(events.Event):
    """The caller no longer reads the response."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class DeliverChunk(commands.Command):
    """Send a chunk to the caller."""

    request_id: str
    number: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class ResumeStream(commands.Command):
    """Close the stream of an attempt and read it again from a chunk."""

    request_id: str
    attempt: str
    upstream: str
    start_number: int


@dataclasses.dataclass(frozen=True)
class CompleteResponse(commands.Command):
    """End the response to the caller as complete after `chunks` chunks."""

    request_id: str
    chunks: int


@dataclasses.dataclass(frozen=True)
class FailResponse(commands.Command):
    """End the response to the caller, or retry if `chunks` is 0.

    Attributes:
        failure: `AnswerTruncated` once a chunk has been delivered, otherwise
            `UpstreamFailed`.
        chunks: Number of delivered chunks.
    """

    request_id: str
    failure: failures.Failure
    chunks: int


@dataclasses.dataclass
class _Response:
    """A response in delivery.

    Attributes:
        next_number: Number of the next chunk to deliver.
        out_of_order: Chunks above `next_number`.
        gap_since: When the wait for a missing chunk began, if one is missing.
    """

    request_id: str
    attempt: str
    upstream: str
    next_number: int = 0
    total: int | None = None
    out_of_order: dict[int, bytes] = dataclasses.field(default_factory=dict)
    out_of_order_bytes: int = 0
    gap_since: float | None = None
    resumes: int = 0


class ResponseAssembler(components.Component):
    """Delivers each response in order and once, and ends it explicitly."""

    def __init__(self):
        self._responses: dict[str, _Response] = {}

    @property
    def active_count(self) -> int:
        """Number of responses in progress."""
        return len(self._responses)

    def count_buffered_bytes(self, request_id: str) -> int:
        """Returns the size of the buffered chunks that arrived out of order."""
        response = self._responses.get(request_id)
        return 0 if response is None else response.out_of_order_bytes

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        if isinstance(event, ResponseOpened):
            return self._open(event)
        if isinstance(event, events.Tick):
            return self._tick(now)
        if isinstance(event, CallerDisconnected):
            self._responses.pop(event.request_id, None)
            return []
        response = self._responses.get(getattr(event, "request_id", ""))
        if response is None or response.attempt != getattr(
            event, "attempt", None
        ):
            return []
        if isinstance(event, ChunkArrived):
            return self._handle_chunk(response, event, now)
        if isinstance(event, EndArrived):
            return self._handle_end(response, event, now)
        if isinstance(event, StreamBroken):
            return self._resume(response)
        if isinstance(event, ResumeFailed):
            return self._fail(response, "the upstream did not continue")
        return []

    def _open(self, event: ResponseOpened) -> list[commands.Command]:
        known = self._responses.get(event.request_id)
        if known is not None and known.next_number > 0:
            # Chunks of two attempts must not be mixed in one response.
            return self._fail(known, "another attempt replaced the first")
        self._responses[event.request_id] = _Response(
            event.request_id, event.attempt, event.upstream
        )
        return []

    def _handle_chunk(
        self, response: _Response, event: ChunkArrived, now: float
    ) -> list[commands.Command]:
        if (
            event.number < response.next_number
            or event.number in response.out_of_order
        ):
            return []
        if response.total is not None and event.number >= response.total:
            return self._fail(response, "a chunk follows the declared end")
        response.out_of_order[event.number] = event.data
        response.out_of_order_bytes += len(event.data)
        result = self._deliver(response, now)
        if response.next_number == response.total:
            return result + self._complete(response)
        if len(response.out_of_order) > MAX_OUT_OF_ORDER_CHUNKS:
            return result + self._resume(response)
        if response.out_of_order_bytes > MAX_OUT_OF_ORDER_BYTES:
            return result + self._resume(response)
        return result

    def _handle_end(
        self, response: _Response, event: EndArrived, now: float
    ) -> list[commands.Command]:
        if response.total not in (None, event.total):
            return self._fail(response, "two different ends were declared")
        highest = max(response.out_of_order, default=response.next_number - 1)
        if event.total <= highest:
            return self._fail(response, "the declared end precedes a chunk")
        response.total = event.total
        if response.next_number == response.total:
            return self._complete(response)
        if response.gap_since is None:
            response.gap_since = now
        return []

    def _deliver(
        self, response: _Response, now: float
    ) -> list[commands.Command]:
        """Delivers all buffered chunks up to the first gap."""
        result: list[commands.Command] = []
        while response.next_number in response.out_of_order:
            data = response.out_of_order.pop(response.next_number)
            response.out_of_order_bytes -= len(data)
            result.append(
                DeliverChunk(response.request_id, response.next_number, data)
            )
            response.next_number += 1
        if not response.out_of_order and response.total is None:
            response.gap_since = None
        elif result or response.gap_since is None:
            response.gap_since = now
        return result

    def _resume(self, response: _Response) -> list[commands.Command]:
        response.resumes += 1
        if response.resumes > MAX_RESUMES:
            return self._fail(response, "the stream broke off too often")
        # The resumed stream repeats the buffered chunks.
        response.out_of_order.clear()
        response.out_of_order_bytes = 0
        response.gap_since = None
        return [
            ResumeStream(
                response.request_id,
                response.attempt,
                response.upstream,
                response.next_number,
            )
        ]

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for response in list(self._responses.values()):
            if (
                response.gap_since is None
                or now - response.gap_since < GAP_TIMEOUT_S
            ):
                continue
            result.extend(self._resume(response))
        return result

    def _complete(self, response: _Response) -> list[commands.Command]:
        del self._responses[response.request_id]
        return [CompleteResponse(response.request_id, response.next_number)]

    def _fail(self, response: _Response, reason: str) -> list[commands.Command]:
        del self._responses[response.request_id]
        failure: failures.Failure = failures.UpstreamFailed(
            reason=reason, execution=failures.Execution.UNKNOWN
        )
        if response.next_number > 0:
            failure = failures.AnswerTruncated(
                reason=reason, execution=failures.Execution.UNKNOWN
            )
        return [
            FailResponse(response.request_id, failure, response.next_number)
        ]
