"""Assembly of complete responses from numbered chunks."""

import dataclasses

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

# An engine numbers tokens in order, so gaps are short.
MAX_LATE_CHUNKS = 64
MAX_LATE_BYTES = 64 * 1024
# A chunk that is missing for longer will not come on this connection.
GAP_TIMEOUT_S = 1.0
MAX_RESUMES = 3


@dataclasses.dataclass(frozen=True)
class AnswerOpened(events.Event):
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
class CallerGone(events.Event):
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
    start: int


@dataclasses.dataclass(frozen=True)
class CompleteAnswer(commands.Command):
    """End the response to the caller as complete, after `chunks` chunks."""

    request_id: str
    chunks: int


@dataclasses.dataclass(frozen=True)
class FailAnswer(commands.Command):
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
class _Answer:
    """A response that is being delivered.

    Attributes:
        expected: Number of the next chunk to deliver.
        late: Chunks above `expected`.
        gap_at: Time since which a chunk has been missing.
    """

    request_id: str
    attempt: str
    upstream: str
    expected: int = 0
    total: int | None = None
    late: dict[int, bytes] = dataclasses.field(default_factory=dict)
    late_bytes: int = 0
    gap_at: float | None = None
    resumes: int = 0


class Answers(components.Component):
    """Delivers each response in order, once, and complete or failed."""

    def __init__(self):
        self._answers: dict[str, _Answer] = {}

    @property
    def held(self) -> int:
        """Number of responses in progress."""
        return len(self._answers)

    def count_late_bytes(self, request_id: str) -> int:
        """Returns the bytes held for chunks that arrived too early."""
        answer = self._answers.get(request_id)
        return 0 if answer is None else answer.late_bytes

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        if isinstance(event, AnswerOpened):
            return self._open(event)
        if isinstance(event, events.Tick):
            return self._tick(now)
        if isinstance(event, CallerGone):
            self._answers.pop(event.request_id, None)
            return []
        answer = self._answers.get(getattr(event, "request_id", ""))
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

    def _open(self, event: AnswerOpened) -> list[commands.Command]:
        known = self._answers.get(event.request_id)
        if known is not None and known.expected > 0:
            # Chunks of two attempts must not be mixed in one response.
            return self._fail(known, "another attempt replaced the first")
        self._answers[event.request_id] = _Answer(
            event.request_id, event.attempt, event.upstream
        )
        return []

    def _take_chunk(
        self, answer: _Answer, event: ChunkArrived, now: float
    ) -> list[commands.Command]:
        if event.number < answer.expected or event.number in answer.late:
            return []
        if answer.total is not None and event.number >= answer.total:
            return self._fail(answer, "a chunk follows the declared end")
        answer.late[event.number] = event.data
        answer.late_bytes += len(event.data)
        result = self._deliver(answer, now)
        if answer.expected == answer.total:
            return result + self._complete(answer)
        if len(answer.late) > MAX_LATE_CHUNKS:
            return result + self._resume(answer)
        if answer.late_bytes > MAX_LATE_BYTES:
            return result + self._resume(answer)
        return result

    def _take_end(
        self, answer: _Answer, event: EndArrived, now: float
    ) -> list[commands.Command]:
        if answer.total not in (None, event.total):
            return self._fail(answer, "two different ends were declared")
        highest = max(answer.late, default=answer.expected - 1)
        if event.total <= highest:
            return self._fail(answer, "the declared end precedes a chunk")
        answer.total = event.total
        if answer.expected == answer.total:
            return self._complete(answer)
        if answer.gap_at is None:
            answer.gap_at = now
        return []

    def _deliver(self, answer: _Answer, now: float) -> list[commands.Command]:
        """Delivers all chunks up to the first gap."""
        result: list[commands.Command] = []
        while answer.expected in answer.late:
            data = answer.late.pop(answer.expected)
            answer.late_bytes -= len(data)
            result.append(
                DeliverChunk(answer.request_id, answer.expected, data)
            )
            answer.expected += 1
        if not answer.late and answer.total is None:
            answer.gap_at = None
        elif result or answer.gap_at is None:
            answer.gap_at = now
        return result

    def _resume(self, answer: _Answer) -> list[commands.Command]:
        answer.resumes += 1
        if answer.resumes > MAX_RESUMES:
            return self._fail(answer, "the stream broke off too often")
        # The resumed stream repeats these chunks.
        answer.late.clear()
        answer.late_bytes = 0
        answer.gap_at = None
        return [
            ResumeStream(
                answer.request_id,
                answer.attempt,
                answer.upstream,
                answer.expected,
            )
        ]

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for answer in list(self._answers.values()):
            if answer.gap_at is None or now - answer.gap_at < GAP_TIMEOUT_S:
                continue
            result.extend(self._resume(answer))
        return result

    def _complete(self, answer: _Answer) -> list[commands.Command]:
        del self._answers[answer.request_id]
        return [CompleteAnswer(answer.request_id, answer.expected)]

    def _fail(self, answer: _Answer, reason: str) -> list[commands.Command]:
        del self._answers[answer.request_id]
        failure: failures.Failure = failures.UpstreamFailed(
            reason=reason, execution=failures.Execution.UNKNOWN
        )
        if answer.expected > 0:
            failure = failures.AnswerTruncated(
                reason=reason, execution=failures.Execution.UNKNOWN
            )
        return [FailAnswer(answer.request_id, failure, answer.expected)]
