"""Assembly of complete responses from numbered chunks."""

import dataclasses

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

# An engine numbers tokens in order, so gaps are short.
MAX_OUT_OF_ORDER_CHUNKS = 64
MAX_OUT_OF_ORDER_BYTES = 64 * 1024
# A chunk that is missing for longer will not come on this connection.
GAP_TIMEOUT_S = 1.0
MAX_RESUMES = 3


@dataclasses.dataclass(frozen=True)
class ResponseOpened(events.Event):
    """An attempt has started that may produce the response.

    Attributes:
        attempt: Id of the attempt; chunks of other attempts are dropped.
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
    """The connection of an attempt ended or went silent."""

    request_id: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class ResumeFailed(events.Event):
    """The upstream does not continue the stream of an attempt."""

    request_id: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class CallerDisconnected(events.Event):
    """The caller does not read the response any more."""

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
    """End the response to the caller as complete, after `chunks` chunks."""

    request_id: str
    chunks: int


@dataclasses.dataclass(frozen=True)
class FailResponse(commands.Command):
    """End the response to the caller, or retry if `chunks` is 0.

    Attributes:
        failure: `AnswerTruncated` once a chunk was delivered, otherwise
            `UpstreamFailed`.
        chunks: Number of delivered chunks.
    """

    request_id: str
    failure: failures.Failure
    chunks: int


@dataclasses.dataclass
class _Response:
    """A response that is being delivered.

    Attributes:
        next_number: Number of the next chunk to deliver.
        out_of_order: Chunks above `next_number`.
        gap_since: Time since which a chunk has been missing.
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
    """Delivers each response in order, once, and complete or failed."""

    def __init__(self):
        self._responses: dict[str, _Response] = {}

    @property
    def active_count(self) -> int:
        """Number of responses in progress."""
        return len(self._responses)

    def count_buffered_bytes(self, request_id: str) -> int:
        """Returns the bytes held for chunks that arrived too early."""
        answer = self._responses.get(request_id)
        return 0 if answer is None else answer.out_of_order_bytes

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        if isinstance(event, ResponseOpened):
            return self._open(event)
        if isinstance(event, events.Tick):
            return self._tick(now)
        if isinstance(event, CallerDisconnected):
            self._responses.pop(event.request_id, None)
            return []
        answer = self._responses.get(getattr(event, "request_id", ""))
        if answer is None or answer.attempt != getattr(event, "attempt", None):
            return []
        if isinstance(event, ChunkArrived):
            return self._take_chunk(answer, event, now)
        if isinstance(event, EndArrived):
            return self._take_end(answer, event, now)
        if isinstance(event, StreamBroken):
            return self._resume(answer)
        if isinstance(event, ResumeFailed):
            return self._fail(answer, "the upstream did not continue")
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

    def _take_chunk(
        self, answer: _Response, event: ChunkArrived, now: float
    ) -> list[commands.Command]:
        if (
            event.number < answer.next_number
            or event.number in answer.out_of_order
        ):
            return []
        if answer.total is not None and event.number >= answer.total:
            return self._fail(answer, "a chunk follows the declared end")
        answer.out_of_order[event.number] = event.data
        answer.out_of_order_bytes += len(event.data)
        result = self._deliver(answer, now)
        if answer.next_number == answer.total:
            return result + self._complete(answer)
        if len(answer.out_of_order) > MAX_OUT_OF_ORDER_CHUNKS:
            return result + self._resume(answer)
        if answer.out_of_order_bytes > MAX_OUT_OF_ORDER_BYTES:
            return result + self._resume(answer)
        return result

    def _take_end(
        self, answer: _Response, event: EndArrived, now: float
    ) -> list[commands.Command]:
        if answer.total not in (None, event.total):
            return self._fail(answer, "two different ends were declared")
        highest = max(answer.out_of_order, default=answer.next_number - 1)
        if event.total <= highest:
            return self._fail(answer, "the declared end precedes a chunk")
        answer.total = event.total
        if answer.next_number == answer.total:
            return self._complete(answer)
        if answer.gap_since is None:
            answer.gap_since = now
        return []

    def _deliver(self, answer: _Response, now: float) -> list[commands.Command]:
        """Delivers all chunks up to the first gap."""
        result: list[commands.Command] = []
        while answer.next_number in answer.out_of_order:
            data = answer.out_of_order.pop(answer.next_number)
            answer.out_of_order_bytes -= len(data)
            result.append(
                DeliverChunk(answer.request_id, answer.next_number, data)
            )
            answer.next_number += 1
        if not answer.out_of_order and answer.total is None:
            answer.gap_since = None
        elif result or answer.gap_since is None:
            answer.gap_since = now
        return result

    def _resume(self, answer: _Response) -> list[commands.Command]:
        answer.resumes += 1
        if answer.resumes > MAX_RESUMES:
            return self._fail(answer, "the stream broke off too often")
        # The resumed stream repeats these chunks.
        answer.out_of_order.clear()
        answer.out_of_order_bytes = 0
        answer.gap_since = None
        return [
            ResumeStream(
                answer.request_id,
                answer.attempt,
                answer.upstream,
                answer.next_number,
            )
        ]

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for answer in list(self._responses.values()):
            if (
                answer.gap_since is None
                or now - answer.gap_since < GAP_TIMEOUT_S
            ):
                continue
            result.extend(self._resume(answer))
        return result

    def _complete(self, answer: _Response) -> list[commands.Command]:
        del self._responses[answer.request_id]
        return [CompleteResponse(answer.request_id, answer.next_number)]

    def _fail(self, answer: _Response, reason: str) -> list[commands.Command]:
        del self._responses[answer.request_id]
        failure: failures.Failure = failures.UpstreamFailed(
            reason=reason, execution=failures.Execution.UNKNOWN
        )
        if answer.next_number > 0:
            failure = failures.AnswerTruncated(
                reason=reason, execution=failures.Execution.UNKNOWN
            )
        return [FailResponse(answer.request_id, failure, answer.next_number)]
