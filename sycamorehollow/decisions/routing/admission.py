"""Admission to a saturated node, shared fairly between workspaces."""

import collections
import dataclasses
import heapq
import math
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.routing import capacity
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

# About one long request, so that a round serves each workspace at least once
# in a few rounds and short requests are served many at a time.
QUANTUM_TOKENS = 4000
# At 2 s the queue of a small workspace runs empty while its refused callers
# stay away, and it gets 0.77 of its fair share in the bench; at 5 s, 0.88.
MAX_WAIT_S = 5.0
# Waiting may use this part of the time to the deadline; the rest is for the
# work and for a retry of the caller elsewhere.
WAIT_SHARE = 0.25
MIN_RETRY_AFTER_S = 0.5
SMOOTHING = 0.05
# A limit found by a failed start rises by this part of the capacity each
# second, so a full pool is tried again about once a second.
RECOVERY_PER_S = 0.05


@dataclasses.dataclass(frozen=True)
class Overloaded(failures.Failure):
    """The node has no room for the workspace now."""

    code = "overloaded"
    status = 503


@dataclasses.dataclass(frozen=True)
class WorkOffered(events.Event):
    """A request wants to be admitted.

    Attributes:
        weight: Weight of the workspace, at least 1.
        tokens: Prompt and expected output in tokens.
        priority: Lower numbers go first within the workspace.
        deadline: Monotonic time in seconds.
        needs_s: Estimated duration of the work in seconds.
        pool: Version whose upstreams the work needs.
    """

    request: str
    workspace: str
    weight: int
    tokens: int
    priority: int
    deadline: float
    needs_s: float
    pool: str = ""

    @property
    def queue(self) -> tuple[str, str]:
        """Work of another pool must not wait behind a full one."""
        return self.workspace, self.pool

    @property
    def room(self) -> tuple[str, bool]:
        """Short work has a reserve at the upstreams, so a room of its own."""
        return self.pool, self.tokens <= capacity.SHORT_REQUEST_TOKENS


@dataclasses.dataclass(frozen=True)
class NoRoom(events.Event):
    """An admitted request found all upstreams full and did not start."""

    request: str
    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class WorkEnded(events.Event):
    """An admitted request has ended, or the caller of a waiting one left."""

    request: str


@dataclasses.dataclass(frozen=True)
class CapacityChanged(events.Event):
    """The tokens that this node may have in flight have changed."""

    tokens: int


@dataclasses.dataclass(frozen=True)
class AdmitWork(commands.Command):
    """Starts a request."""

    request: str


@dataclasses.dataclass(frozen=True)
class RefuseWork(commands.Command):
    """Refuses a request that was not started."""

    request: str
    failure: failures.Failure


@dataclasses.dataclass
class Queue:
    """Waiting work of one workspace.

    Attributes:
        waiting: Heap of (priority, arrival number, expiry, work).
        tokens: Sum of the waiting work.
        deficit: Tokens that the workspace may admit in its present turn.
    """

    weight: int = 1
    waiting: list[tuple[int, int, float, WorkOffered]] = dataclasses.field(
        default_factory=list
    )
    tokens: int = 0
    deficit: float = 0.0


def limit_wait_s(left_s: float) -> float:
    """Returns how long work may wait, by the seconds to its deadline."""
    return min(MAX_WAIT_S, WAIT_SHARE * left_s)


class Admission(components.Component):
    """Deficit round robin over workspaces, in tokens.

    Args:
        tokens: Tokens that this node may have in flight.
        source: Source of randomness for the time to come back.
    """

    def __init__(self, tokens: int, source: random.Random):
        self._capacity = tokens
        self._source = source
        self._running: dict[str, tuple[WorkOffered, float]] = {}
        self._in_use = 0
        self._short_in_use = 0
        self._queues: dict[tuple[str, str], Queue] = {}
        self._order: collections.deque[tuple[str, str]] = collections.deque()
        self._waiting: dict[str, tuple[str, str]] = {}
        # Arrival number and expiry of each request that is kept.
        self._arrived: dict[str, tuple[int, float]] = {}
        self._rooms: collections.Counter[tuple[str, bool]] = (
            collections.Counter()
        )
        self._limits: dict[tuple[str, bool], float] = {}
        self._recovered_at = float("-inf")
        self._arrivals = 0
        self._mean_hold_s = 0.0

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        decided: list[commands.Command] = []
        match event:
            case WorkOffered():
                decided += self._offer(event, now)
            case WorkEnded():
                self._end(event.request, now)
            case NoRoom():
                decided += self._put_back(event, now)
            case CapacityChanged():
                self._capacity = event.tokens
            case events.Tick():
                self._recover(now)
            case _:
                return []
        decided += self._expire(now)
        decided += self._admit_waiting(now)
        return decided

    def count_waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    def count_in_use(self) -> int:
        """Returns the tokens of admitted requests."""
        return self._in_use

    def _offer(self, work: WorkOffered, now: float) -> list[commands.Command]:
        if work.request in self._running or work.request in self._waiting:
            return []
        if now + work.needs_s > work.deadline:
            failure = failures.DeadlineExceeded(
                "The work takes longer than the time to its deadline."
            )
            return [RefuseWork(work.request, failure)]
        if self._mean_hold_s == 0.0:
            self._mean_hold_s = work.needs_s
        if work.tokens > self._capacity and not self._running:
            # Nothing can end that would make room, so waiting is useless.
            return [self._refuse(work, MAX_WAIT_S)]
        allowed_s = limit_wait_s(work.deadline - now)
        self._arrivals += 1
        self._arrived[work.request] = (self._arrivals, now + allowed_s)
        free = not self._waiting and not self._is_limited(work)
        if free and self._has_room(work, False):
            return [self._start(work, now)]
        return self._wait(work, now)

    def _wait(self, work: WorkOffered, now: float) -> list[commands.Command]:
        wait_s = self._estimate_wait_s(work)
        expiry = self._arrived[work.request][1]
        late = now + wait_s + work.needs_s > work.deadline
        if now + wait_s > expiry or late:
            return [self._refuse(work, wait_s)]
        self._enqueue(work)
        return []

    def _enqueue(self, work: WorkOffered) -> None:
        queue = self._queues.setdefault(work.queue, Queue())
        queue.weight = max(1, work.weight)
        if not queue.waiting:
            self._order.append(work.queue)
        number, expiry = self._arrived[work.request]
        heapq.heappush(queue.waiting, (work.priority, number, expiry, work))
        queue.tokens += work.tokens
        self._waiting[work.request] = work.queue

    def _put_back(self, event: NoRoom, now: float) -> list[commands.Command]:
        """Lets work wait that the upstreams have no room for."""
        entry = self._running.pop(event.request, None)
        if entry is None:
            return []
        work = entry[0]
        self._free(work)
        in_use = self._rooms[work.room]
        if not in_use:
            # Nothing can end that would make room, so waiting is useless.
            self._arrived.pop(work.request, None)
            return [RefuseWork(work.request, event.failure)]
        self._limits[work.room] = in_use
        return self._wait(work, now)

    def _recover(self, now: float) -> None:
        passed_s = max(0.0, now - self._recovered_at)
        self._recovered_at = now
        for room, limit in list(self._limits.items()):
            limit += RECOVERY_PER_S * self._capacity * min(1.0, passed_s)
            self._limits[room] = limit
            if limit >= self._capacity:
                del self._limits[room]

    def _estimate_wait_s(self, work: WorkOffered) -> float:
        """Estimates the wait from the backlog and the workspace's part.

        By Little's law a full node ends `capacity / mean hold` tokens each
        second.
        """
        weights = max(1, work.weight)
        ahead = work.tokens
        for name, queue in self._queues.items():
            if name == work.queue:
                ahead += queue.tokens
            elif queue.waiting and name[1] == work.pool:
                weights += queue.weight
        part = max(1, work.weight) / weights
        limit = min(self._capacity, self._limits.get(work.room, math.inf))
        per_s = part * limit / max(0.001, self._mean_hold_s)
        return ahead / max(1.0, per_s)

    def _refuse(self, work: WorkOffered, wait_s: float) -> RefuseWork:
        self._arrived.pop(work.request, None)
        # Jitter over the whole wait spreads the callers that come back.
        after_s = max(MIN_RETRY_AFTER_S, wait_s)
        after_s *= self._source.uniform(1.0, 2.0)
        failure = Overloaded(
            f"The workspace {work.workspace} has no share of the node left.",
            failures.Execution.NOT_STARTED,
            after_s,
        )
        return RefuseWork(work.request, failure)

    def _is_limited(self, work: WorkOffered) -> bool:
        """Tells whether the upstreams of the work are full."""
        limit = self._limits.get(work.room)
        return (
            limit is not None and self._rooms[work.room] + work.tokens > limit
        )

    def _has_room(self, work: WorkOffered, only_reserve: bool) -> bool:
        free = self._capacity - self._in_use
        reserve = int(self._capacity * capacity.SHORT_RESERVE)
        if work.tokens <= capacity.SHORT_REQUEST_TOKENS:
            if only_reserve and self._short_in_use + work.tokens > reserve:
                return False
            return work.tokens <= free
        if not self._running:
            return work.tokens <= free
        return not only_reserve and work.tokens <= free - reserve

    def _start(self, work: WorkOffered, now: float) -> AdmitWork:
        self._running[work.request] = (work, now)
        self._in_use += work.tokens
        self._rooms[work.room] += work.tokens
        if work.tokens <= capacity.SHORT_REQUEST_TOKENS:
            self._short_in_use += work.tokens
        return AdmitWork(work.request)

    def _free(self, work: WorkOffered) -> None:
        self._in_use -= work.tokens
        self._rooms[work.room] -= work.tokens
        if work.tokens <= capacity.SHORT_REQUEST_TOKENS:
            self._short_in_use -= work.tokens

    def _end(self, request: str, now: float) -> None:
        # The heap entry of a request that left is skipped when it comes up.
        self._forget_waiting(request)
        self._arrived.pop(request, None)
        entry = self._running.pop(request, None)
        if entry is None:
            return
        work, started_at = entry
        self._free(work)
        # Weighted by tokens, because the rate is in tokens.
        part = min(0.5, SMOOTHING * work.tokens / QUANTUM_TOKENS)
        self._mean_hold_s += part * (now - started_at - self._mean_hold_s)

    def _forget_waiting(self, request: str) -> None:
        workspace = self._waiting.pop(request, None)
        if workspace is None:
            return
        queue = self._queues[workspace]
        for entry in queue.waiting:
            if entry[3].request == request:
                queue.tokens -= entry[3].tokens
                queue.waiting.remove(entry)
                heapq.heapify(queue.waiting)
                break
        self._drop_empty(workspace)

    def _drop_empty(self, workspace: tuple[str, str]) -> None:
        if self._queues[workspace].waiting:
            return
        # An idle workspace must not save up its turns.
        del self._queues[workspace]
        self._order.remove(workspace)

    def _expire(self, now: float) -> list[commands.Command]:
        expired = []
        for queue in self._queues.values():
            for _, _, expiry, work in queue.waiting:
                if now >= expiry:
                    expired.append(work)
        refused: list[commands.Command] = []
        for work in expired:
            wait_s = self._estimate_wait_s(work)
            self._forget_waiting(work.request)
            refused.append(self._refuse(work, wait_s))
        return refused

    def _admit_waiting(self, now: float) -> list[commands.Command]:
        admitted: list[commands.Command] = []
        # Set when the workspace whose turn it is waits for room; until then
        # others may only use the reserve, so that long work is not passed by.
        blocked: set[tuple[str, str]] = set()
        # Work whose own upstreams are full holds up no work for others.
        limited: set[tuple[str, str]] = set()
        while len(blocked) + len(limited) < len(self._order):
            workspace = self._order[0]
            if workspace in blocked or workspace in limited:
                self._order.rotate(-1)
                continue
            queue = self._queues[workspace]
            work = queue.waiting[0][3]
            if self._is_limited(work):
                limited.add(workspace)
                self._order.rotate(-1)
                continue
            if not self._has_room(work, bool(blocked)):
                blocked.add(workspace)
                self._order.rotate(-1)
                continue
            if queue.deficit < work.tokens:
                queue.deficit += QUANTUM_TOKENS * queue.weight
                self._order.rotate(-1)
                continue
            queue.deficit -= work.tokens
            heapq.heappop(queue.waiting)
            queue.tokens -= work.tokens
            del self._waiting[work.request]
            admitted.append(self._start(work, now))
            self._drop_empty(workspace)
        return admitted
