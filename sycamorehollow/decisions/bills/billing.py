"""Billing at the process that served a request, the origin.

Bills are replicated to a peer by group commit before the last chunk of the
response is released, and written to the store in batches. A bill thus survives
the loss of its process and an outage of the store.
"""

import dataclasses
import math
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.bills import billing_messages as messages
from sycamorehollow.model import commands
from sycamorehollow.model import events

# Delays the end of each response; at 15 responses per second the load on the
# peer needs no larger groups.
GROUP_COMMIT_DELAY_S = 0.005
# Without a peer each group commit is a store write, so there are fewer.
STORE_COMMIT_DELAY_S = 0.1
MAX_BATCH_AGE_S = 1.0
MAX_BATCH_BILLS = 500
MAX_BATCH_BYTES = 200 * 1024
MAX_HELD_BYTES = 32 * 1024 * 1024
STORE_RETRY_S = 1.0
RESPOOL_DELAY_S = 1.0
MAX_PEER_ATTEMPTS = 2
# Keeps one process from flooding a store that returns after an outage.
MAX_CONCURRENT_WRITES = 4


@dataclasses.dataclass
class _Commit:
    """Items of one group commit, which form one part of a batch.

    Attributes:
        tokens: Ids of the responses whose last chunks wait for this commit.
        asked_peer: Peer whose acknowledgement is pending.
        holder: Peer that acknowledged the part.
        failed_peers: Peers that did not acknowledge the part.
        retry_at: Time from which peers are tried again.
    """

    part: int
    items: tuple[str, ...]
    tokens: list[str]
    op: str = ""
    asked_peer: messages.Process | None = None
    holder: messages.Process | None = None
    failed_peers: set[messages.Process] = dataclasses.field(default_factory=set)
    retry_at: float = 0.0


@dataclasses.dataclass
class _Batch:
    """Group commits that are stored under one key.

    Attributes:
        copies: Number of keys that turned out to be taken by another writer.
        peers: Peers that may hold a part of the batch.
    """

    sequence: int
    opened_at: float
    commits: list[_Commit] = dataclasses.field(default_factory=list)
    count: int = 0
    size: int = 0
    sealed: bool = False
    copies: int = 0
    op: str = ""
    peers: set[messages.Process] = dataclasses.field(default_factory=set)


class Billing(components.Component):
    """Keeps each bill at two processes until it is in the store."""

    def __init__(self, process: messages.Process, rng: random.Random):
        """Creates the component without bills.

        Args:
            process: Identity of this incarnation of the process.
            rng: Source of randomness for the choice of a peer and for jitter.
        """
        self._process = process
        self._rng = rng
        self._peers: tuple[messages.Process, ...] = ()
        self._items: list[str] = []
        self._tokens: list[str] = []
        self._group_opened_at: float | None = None
        self._group_bytes = 0
        self._batches: dict[int, _Batch] = {}
        self._next_sequence = 1
        self._next_op = 0
        self._held_bytes = 0
        self._ops: dict[str, tuple[_Batch, _Commit | None]] = {}
        self._writing = 0
        self._store_failing = False
        self._store_retry_at = 0.0
        self._respool_at = math.inf

    @property
    def held_bytes(self) -> int:
        """Memory held, counted in bytes of encoded items."""
        return self._held_bytes

    @property
    def pending_count(self) -> int:
        """Number of items that are not known to be stored."""
        return len(self._items) + sum(b.count for b in self._batches.values())

    def count_exposed(self) -> int:
        """Returns the number of items that only this process holds."""
        exposed = len(self._items)
        for batch in self._batches.values():
            for commit in batch.commits:
                if commit.holder is None:
                    exposed += len(commit.items)
        return exposed

    def check_backlog(self) -> messages.BillingBacklog | None:
        """Returns why new work is rejected, or `None` if it may start."""
        if self._held_bytes < MAX_HELD_BYTES:
            return None
        return messages.BillingBacklog(
            reason="too many bills wait for the store",
            retry_after_s=STORE_RETRY_S,
        )

    def get_commit_due_at(self) -> float | None:
        """Returns when the group commit is due, `None` without items."""
        if self._group_opened_at is None:
            return None
        interval = GROUP_COMMIT_DELAY_S if self._peers else STORE_COMMIT_DELAY_S
        return self._group_opened_at + interval

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        if isinstance(event, messages.BillReady):
            return self._add(messages.Item(event.bill), event.token, now)
        if isinstance(event, messages.OutcomeReady):
            item = messages.Item(None, event.key, event.value)
            return self._add(item, "", now)
        if isinstance(event, messages.PeersChanged):
            return self._change_peers(event.peers, now)
        if isinstance(event, messages.Flush):
            return self._commit(now) + self._seal_all(now)
        if isinstance(event, events.Tick):
            return self._handle_tick(now)
        return self._handle_op_result(event, now)

    # Group commit.

    def _add(
        self, item: messages.Item, token: str, now: float
    ) -> list[commands.Command]:
        encoded = item.encode()
        self._items.append(encoded)
        self._group_bytes += len(encoded)
        self._held_bytes += len(encoded)
        if token:
            self._tokens.append(token)
        if self._group_opened_at is None:
            self._group_opened_at = now
        if len(self._items) < MAX_BATCH_BILLS:
            if self._group_bytes < MAX_BATCH_BYTES:
                return []
        return self._commit(now)

    def _commit(self, now: float) -> list[commands.Command]:
        """Adds the collected items to the open batch and spools them."""
        if not self._items:
            return []
        batch = self._open_batch(now)
        if batch.count and batch.count + len(self._items) > MAX_BATCH_BILLS:
            batch.sealed = True
            batch = self._open_batch(now)
        commit = _Commit(len(batch.commits), tuple(self._items), self._tokens)
        batch.commits.append(commit)
        batch.count += len(self._items)
        batch.size += self._group_bytes
        self._items = []
        self._tokens = []
        self._group_opened_at = None
        self._group_bytes = 0
        result = self._spool(batch, commit, now)
        if batch.count >= MAX_BATCH_BILLS or batch.size >= MAX_BATCH_BYTES:
            batch.sealed = True
        return result + self._start_writes(now)

    def _open_batch(self, now: float) -> _Batch:
        for batch in self._batches.values():
            if not batch.sealed:
                return batch
        batch = _Batch(self._next_sequence, now)
        self._next_sequence += 1
        self._batches[batch.sequence] = batch
        return batch

    def _spool(
        self, batch: _Batch, commit: _Commit, now: float
    ) -> list[commands.Command]:
        """Sends a commit to the next peer, or stores its batch at once."""
        peer = self._choose_peer(batch, commit)
        if peer is None:
            commit.retry_at = now + RESPOOL_DELAY_S
            self._respool_at = min(self._respool_at, commit.retry_at)
            commit.failed_peers.clear()
            if self._store_failing:
                return _release(commit, exposed=True)
            # Without a peer, only the store can hold these bills.
            batch.sealed = True
            return self._start_writes(now)
        commit.asked_peer = peer
        commit.op = self._start_op(batch, commit)
        # The peer is notified when the batch is stored, even if its
        # acknowledgement is lost.
        batch.peers.add(peer)
        part = messages.SpoolPart(
            self._process,
            batch.sequence,
            commit.part,
            commit.items,
            min(self._batches),
        )
        return [messages.SpoolToPeer(commit.op, peer, part)]

    def _choose_peer(
        self, batch: _Batch, commit: _Commit
    ) -> messages.Process | None:
        if len(commit.failed_peers) >= MAX_PEER_ATTEMPTS:
            return None
        choices = [
            peer for peer in self._peers if peer not in commit.failed_peers
        ]
        kept = [peer for peer in choices if peer in batch.peers]
        if kept:
            return kept[0]
        own = self._process.data_centre
        elsewhere = [peer for peer in choices if peer.data_centre != own]
        choices = elsewhere or choices
        return self._rng.choice(choices) if choices else None

    def _handle_spool_result(
        self, batch: _Batch, commit: _Commit, event: events.Event, now: float
    ) -> list[commands.Command]:
        commit.op = ""
        peer = commit.asked_peer
        commit.asked_peer = None
        assert peer is not None
        if isinstance(event, messages.SpoolAcknowledged):
            commit.holder = peer
            return _release(commit, exposed=False)
        commit.failed_peers.add(peer)
        return self._spool(batch, commit, now)

    # Writes of batches to the store.

    def _seal_all(self, now: float) -> list[commands.Command]:
        for batch in self._batches.values():
            batch.sealed = True
        return self._start_writes(now)

    def _start_writes(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        if self._store_failing and now < self._store_retry_at:
            return result
        limit = 1 if self._store_failing else MAX_CONCURRENT_WRITES
        for batch in self._batches.values():
            if self._writing >= limit:
                break
            if not batch.sealed or batch.op:
                continue
            self._writing += 1
            batch.op = self._start_op(batch, None)
            name = str(batch.sequence)
            if batch.copies:
                name = f"{name}-{batch.copies}"
            key = messages.make_batch_key(self._process, name)
            result.append(
                messages.WriteBatch(batch.op, key, _encode_batch(batch))
            )
        return result

    def _handle_write_result(
        self, batch: _Batch, event: events.Event, now: float
    ) -> list[commands.Command]:
        batch.op = ""
        self._writing -= 1
        if isinstance(event, messages.OperationFailed):
            return self._handle_write_failure(now)
        self._store_failing = False
        if isinstance(event, messages.BatchConflict):
            if event.value != _encode_batch(batch):
                # Another writer has taken the key, so this batch needs another.
                batch.copies += 1
                return self._start_writes(now)
        return self._close(batch) + self._start_writes(now)

    def _handle_write_failure(self, now: float) -> list[commands.Command]:
        """Releases the responses that no peer and not the store can secure."""
        self._store_failing = True
        jitter = self._rng.random()
        self._store_retry_at = now + STORE_RETRY_S * (1.0 + jitter)
        result: list[commands.Command] = []
        for batch in self._batches.values():
            for commit in batch.commits:
                # A pending request to a peer decides by its result.
                if not commit.op:
                    result.extend(_release(commit, exposed=True))
        return result

    def _close(self, batch: _Batch) -> list[commands.Command]:
        del self._batches[batch.sequence]
        self._held_bytes -= batch.size
        result: list[commands.Command] = []
        for commit in batch.commits:
            result.extend(_release(commit, exposed=False))
        oldest = min(self._batches, default=self._next_sequence)
        for peer in sorted(batch.peers, key=lambda peer: peer.address):
            result.append(messages.NotifyAdvance(peer, oldest))
        return result

    # Peers and timers.

    def _change_peers(
        self, peers: tuple[messages.Process, ...], now: float
    ) -> list[commands.Command]:
        self._peers = peers
        for batch in self._batches.values():
            for commit in batch.commits:
                if commit.holder is not None and commit.holder not in peers:
                    commit.holder = None
                    commit.retry_at = now
        self._respool_at = now
        return self._respool(now)

    def _respool(self, now: float) -> list[commands.Command]:
        """Spools commits again that no other process holds."""
        result: list[commands.Command] = []
        if not self._peers or now < self._respool_at:
            return result
        self._respool_at = math.inf
        for batch in list(self._batches.values()):
            for commit in batch.commits:
                if commit.holder is not None or commit.op:
                    continue
                if commit.retry_at <= now:
                    result.extend(self._spool(batch, commit, now))
                else:
                    self._respool_at = min(self._respool_at, commit.retry_at)
        return result

    def _handle_tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        due = self.get_commit_due_at()
        if due is not None and due <= now:
            result.extend(self._commit(now))
        for batch in self._batches.values():
            if now - batch.opened_at >= MAX_BATCH_AGE_S:
                batch.sealed = True
        result.extend(self._respool(now))
        return result + self._start_writes(now)

    def _handle_op_result(
        self, event: events.Event, now: float
    ) -> list[commands.Command]:
        batch, commit = self._ops.pop(getattr(event, "op", ""), (None, None))
        if batch is None:
            return []
        if commit is None:
            return self._handle_write_result(batch, event, now)
        if batch.sequence not in self._batches:
            return []
        return self._handle_spool_result(batch, commit, event, now)

    def _start_op(self, batch: _Batch, commit: _Commit | None) -> str:
        self._next_op += 1
        op = f"bill-{self._next_op}"
        self._ops[op] = (batch, commit)
        return op


def _release(commit: _Commit, exposed: bool) -> list[commands.Command]:
    """Releases the last chunks that wait for a commit."""
    result: list[commands.Command] = []
    for token in commit.tokens:
        result.append(messages.ReleaseResponse(token, exposed))
    commit.tokens = []
    return result


def _encode_batch(batch: _Batch) -> str:
    items: list[str] = []
    for commit in batch.commits:
        items.extend(commit.items)
    return messages.encode_batch(items)
