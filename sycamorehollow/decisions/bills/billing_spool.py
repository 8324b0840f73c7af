"""Spool of the bills and outcomes that a process holds for its peers.

When an origin has ended, the spool writes its batches to the store in its
place. A batch may then be stored twice; the reader removes duplicates.
"""

import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.bills import billing_messages as messages
from sycamorehollow.model import commands
from sycamorehollow.model import events

MAX_SPOOL_BYTES = 32 * 1024 * 1024
# Ended origins whose late parts are still recognised; covers several days at
# 230 replaced processes a day.
MAX_ENDED_ORIGINS = 1000
# Collects the late parts of one batch, so that they are stored together.
LATE_PART_DELAY_S = 5.0
STORE_RETRY_S = 1.0
# Keeps one process from flooding a store that returns after an outage.
MAX_CONCURRENT_WRITES = 4

_BatchId = tuple[messages.Process, int]


@dataclasses.dataclass
class _Write:
    """A write to the store in place of an origin that has ended.

    Attributes:
        size: Bytes of this write that count towards the memory held.
    """

    key: str
    value: str
    size: int
    op: str = ""
    retry_at: float = 0.0


class Spool(components.Component):
    """Holds parts for their origins and stores them when an origin ends."""

    def __init__(self, process: messages.Process, rng: random.Random):
        """Creates an empty spool.

        Args:
            process: Identity of this incarnation of the process.
            rng: Source of randomness for jitter.
        """
        self._process = process
        self._rng = rng
        self._batches: dict[_BatchId, dict[int, tuple[str, ...]]] = {}
        self._advanced: dict[messages.Process, int] = {}
        self._ended: dict[messages.Process, None] = {}
        self._late_parts_due: dict[_BatchId, float] = {}
        self._writes: list[_Write] = []
        self._next_op = 0
        self._next_name = 0
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory held, counted in bytes of encoded items."""
        return self._held_bytes

    @property
    def held_count(self) -> int:
        """Number of batches and writes in memory."""
        return len(self._batches) + len(self._writes)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        if isinstance(event, messages.SpoolReceived):
            return self._receive(event, now)
        if isinstance(event, messages.OriginAdvanced):
            self._drop_below(event.origin, event.oldest)
            return []
        if isinstance(event, messages.OriginEnded):
            return self._adopt_all(event.origin, now)
        if isinstance(event, messages.OriginRevived):
            self._ended.pop(event.origin, None)
            return []
        if isinstance(event, events.Tick):
            return self._handle_tick(now)
        return self._handle_write_result(event, now)

    def _receive(
        self, event: messages.SpoolReceived, now: float
    ) -> list[commands.Command]:
        part = event.part
        size = _measure(part.items)
        if self._held_bytes + size > MAX_SPOOL_BYTES:
            full = messages.BillingBacklog(reason="the spool is full")
            return [messages.ReplyToSpool(event.peer_request_id, full)]
        self._drop_below(part.origin, part.oldest)
        answer = messages.ReplyToSpool(event.peer_request_id, None)
        if part.sequence < self._advanced.get(part.origin, 0):
            return [answer]
        batch = self._batches.setdefault((part.origin, part.sequence), {})
        if part.part not in batch:
            batch[part.part] = part.items
            self._held_bytes += size
        if part.origin in self._ended:
            # The part was in transit when its origin ended.
            self._late_parts_due.setdefault(
                (part.origin, part.sequence), now + LATE_PART_DELAY_S
            )
        return [answer]

    def _drop_below(self, origin: messages.Process, oldest: int) -> None:
        if oldest <= self._advanced.get(origin, 0):
            return
        self._advanced[origin] = oldest
        for batch_id in list(self._batches):
            if batch_id[0] == origin and batch_id[1] < oldest:
                for items in self._batches.pop(batch_id).values():
                    self._held_bytes -= _measure(items)

    def _adopt_all(
        self, origin: messages.Process, now: float
    ) -> list[commands.Command]:
        self._ended[origin] = None
        if len(self._ended) > MAX_ENDED_ORIGINS:
            del self._ended[next(iter(self._ended))]
        self._advanced.pop(origin, None)
        result: list[commands.Command] = []
        for batch_id in list(self._batches):
            if batch_id[0] == origin:
                result.extend(self._adopt(origin, batch_id[1], now))
        return result

    def _handle_tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for batch_id, due in list(self._late_parts_due.items()):
            if due > now:
                continue
            del self._late_parts_due[batch_id]
            if batch_id in self._batches and batch_id[0] in self._ended:
                result.extend(self._adopt(*batch_id, now))
        return result + self._start_writes(now)

    def _adopt(
        self, origin: messages.Process, sequence: int, now: float
    ) -> list[commands.Command]:
        """Converts a batch into writes under keys of this process."""
        batch = self._batches.pop((origin, sequence))
        items: list[str] = []
        for part in sorted(batch):
            items.extend(batch[part])
        self._next_name += 1
        name = f"adopted-{self._next_name}"
        key = messages.make_batch_key(self._process, name)
        size = _measure(tuple(items))
        self._writes.append(_Write(key, messages.encode_batch(items), size))
        for item in items:
            outcome = messages.decode_outcome(item)
            if outcome is not None:
                self._writes.append(_Write(*outcome, 0))
        return self._start_writes(now)

    def _start_writes(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for write in self._writes[:MAX_CONCURRENT_WRITES]:
            if write.op or write.retry_at > now:
                continue
            self._next_op += 1
            write.op = f"spool-{self._next_op}"
            result.append(messages.WriteBatch(write.op, write.key, write.value))
        return result

    def _handle_write_result(
        self, event: events.Event, now: float
    ) -> list[commands.Command]:
        op = getattr(event, "op", "")
        for write in self._writes:
            if not op or write.op != op:
                continue
            write.op = ""
            if isinstance(event, messages.OperationFailed):
                jitter = self._rng.random()
                write.retry_at = now + STORE_RETRY_S * (1.0 + jitter)
                return []
            # A conflict means that an earlier write took effect, or that the
            # origin itself stored the outcome.
            self._writes.remove(write)
            self._held_bytes -= write.size
            return self._start_writes(now)
        return []


def _measure(items: tuple[str, ...]) -> int:
    return sum(len(item) for item in items)
