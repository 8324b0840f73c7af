"""Admission control of a node, with fair queueing between workspaces.

Deficit round robin in tokens keeps a large workspace from starving a small one.
Requests that can't be admitted in time are rejected at once with a retry time.
"""

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

# About one long request, so that a workspace is served every few rounds and
# admits many short requests in one round.
QUANTUM_TOKENS = 4000
# In the bench a small workspace, whose queue runs empty between the retries of
# its callers, gets 0.77 of its fair share with 2 s, and 0.88 with 5 s.
MAX_WAIT_S = 5.0
# Share of the time to the deadline; the rest is for work and a retry elsewhere.
MAX_WAIT_SHARE = 0.25
MIN_RETRY_AFTER_S = 0.5
HOLD_TIME_SMOOTHING = 0.05
# Part of the capacity by which the limit of a full pool rises; the pool is
# tried again about once a second.
LIMIT_INCREASE_PER_S = 0.05


@dataclasses.dataclass(frozen=True)
class Overloaded(failures.Failure):
    """The node has no capacity left for the workspace."""

    code = "overloaded"
    status = 503


@dataclasses.dataclass(frozen=True)
class WorkSubmitted(events.Event):
    """A request asks for admission.

    Attributes:
        weight: Weight of the workspace, at least 1.
        tokens: Prompt and expected output in tokens.
        priority: Lower numbers go first within the workspace.
        deadline: Monotonic time in seconds.
        expected_duration_s: Estimated duration of the work in seconds.
        pool: Version whose upstreams the work needs.
    """

    request: str
    workspace: str
    weight: int
    tokens: int
    priority: int
    deadline: float
    expected_duration_s: float
    pool: str = ""

    @property
    def queue_key(self) -> tuple[str, str]:
        """Workspace and pool; a full pool must not delay work for another."""
        return self.workspace, self.pool

    @property
    def capacity_class(self) -> tuple[str, bool]:
        """Pool, and whether the work may use the capacity for short work."""
        return self.pool, self.tokens <= capacity.SHORT_REQUEST_TOKENS


@dataclasses.dataclass(frozen=True)
class PlacementFailed(events.Event):
    """All upstreams were full, so an admitted request was not started."""

    request: str
    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class WorkEnded(events.Event):
    """An admitted request has ended, or a waiting one was cancelled."""

    request: str


@dataclasses.dataclass(frozen=True)
class CapacityChanged(events.Event):
    """The tokens that this node may have in flight have changed."""

    tokens: int


@dataclasses.dataclass(frozen=True)
class AdmitWork(commands.Command):
    """Admits a request."""

    request: str


@dataclasses.dataclass(frozen=True)
class RefuseWork(commands.Command):
    """Rejects a request that was not started."""

    request: str
    failure: failures.Failure


@dataclasses.dataclass
class WorkspaceQueue:
    """Waiting work of one workspace for one pool.

    Attributes:
        waiting: Heap of (priority, arrival number, expiry, work).
        deficit_tokens: Tokens that the queue may still admit in its turn.
    """

    weight: int = 1
    waiting: list[tuple[int, int, float, WorkSubmitted]] = dataclasses.field(
        default_factory=list
    )
    waiting_tokens: int = 0
    deficit_tokens: float = 0.0


def compute_max_wait_s(left_s: float) -> float:
    """Returns the longest wait of work with `left_s` to its deadline."""
    return min(MAX_WAIT_S, MAX_WAIT_SHARE * left_s)


class Admission(components.Component):
    """Deficit round robin over workspaces, in tokens.

    Args:
        tokens: Tokens that this node may have in flight.
        rng: Source of randomness for the jitter of retry times.
    """

    def __init__(self, tokens: int, rng: random.Random):
        self._capacity = tokens
        self._rng = rng
        self._running: dict[str, tuple[WorkSubmitted, float]] = {}
        self._in_use = 0
        self._short_in_use = 0
        self._queues: dict[tuple[str, str], WorkspaceQueue] = {}
        self._round: collections.deque[tuple[str, str]] = collections.deque()
        self._waiting: dict[str, tuple[str, str]] = {}
        # Arrival number and expiry of each request that waits or runs.
        self._arrivals: dict[str, tuple[int, float]] = {}
        self._in_use_by: collections.Counter[tuple[str, bool]] = (
            collections.Counter()
        )
        self._limits: dict[tuple[str, bool], float] = {}
        self._limits_raised_at = float("-inf")
        self._arrival_count = 0
        self._mean_hold_s = 0.0

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        decided: list[commands.Command] = []
        match event:
            case WorkSubmitted():
                decided += self._submit(event, now)
            case WorkEnded():
                self._end(event.request, now)
            case PlacementFailed():
                decided += self._defer(event, now)
            case CapacityChanged():
                self._capacity = event.tokens
            case events.Tick():
                self._raise_limits(now)
            case _:
                return []
        decided += self._expire(now)
        decided += self._admit_waiting(now)
        return decided

    def count_waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    def count_tokens_in_use(self) -> int:
        """Returns the tokens of admitted requests."""
        return self._in_use

    def _submit(
        self, work: WorkSubmitted, now: float
    ) -> list[commands.Command]:
        if work.request in self._running or work.request in self._waiting:
            return []
        if now + work.expected_duration_s > work.deadline:
            failure = failures.DeadlineExceeded(
                "The work takes longer than the time to its deadline."
            )
            return [RefuseWork(work.request, failure)]
        if self._mean_hold_s == 0.0:
            self._mean_hold_s = work.expected_duration_s
        if work.tokens > self._capacity and not self._running:
            # No running work can end and free capacity, so waiting is useless.
            return [self._refuse(work, MAX_WAIT_S)]
        allowed_s = compute_max_wait_s(work.deadline - now)
        self._arrival_count += 1
        self._arrivals[work.request] = (self._arrival_count, now + allowed_s)
        free = not self._waiting and not self._is_limited(work)
        if free and self._has_room(work, False):
            return [self._start(work, now)]
        return self._queue_or_refuse(work, now)

    def _queue_or_refuse(
        self, work: WorkSubmitted, now: float
    ) -> list[commands.Command]:
        wait_s = self._estimate_wait_s(work)
        expiry = self._arrivals[work.request][1]
        late = now + wait_s + work.expected_duration_s > work.deadline
        if now + wait_s > expiry or late:
            return [self._refuse(work, wait_s)]
        self._enqueue(work)
        return []

    def _enqueue(self, work: WorkSubmitted) -> None:
        queue = self._queues.setdefault(work.queue_key, WorkspaceQueue())
        queue.weight = max(1, work.weight)
        if not queue.waiting:
            self._round.append(work.queue_key)
        number, expiry = self._arrivals[work.request]
        heapq.heappush(queue.waiting, (work.priority, number, expiry, work))
        queue.waiting_tokens += work.tokens
        self._waiting[work.request] = work.queue_key

    def _defer(
        self, event: PlacementFailed, now: float
    ) -> list[commands.Command]:
        """Queues admitted work again that found all upstreams full."""
        entry = self._running.pop(event.request, None)
        if entry is None:
            return []
        work = entry[0]
        self._release_tokens(work)
        in_use = self._in_use_by[work.capacity_class]
        if not in_use:
            # No running work can end and free capacity, so waiting is useless.
            self._arrivals.pop(work.request, None)
            return [RefuseWork(work.request, event.failure)]
        self._limits[work.capacity_class] = in_use
        return self._queue_or_refuse(work, now)

    def _raise_limits(self, now: float) -> None:
        passed_s = max(0.0, now - self._limits_raised_at)
        self._limits_raised_at = now
        for name, limit in list(self._limits.items()):
            limit += LIMIT_INCREASE_PER_S * self._capacity * min(1.0, passed_s)
            self._limits[name] = limit
            if limit >= self._capacity:
                del self._limits[name]

    def _estimate_wait_s(self, work: WorkSubmitted) -> float:
        """Estimates the wait from the backlog and the workspace's share."""
        # Little's law: a full node completes capacity / mean hold time per s.
        weights = max(1, work.weight)
        ahead = work.tokens
        for name, queue in self._queues.items():
            if name == work.queue_key:
                ahead += queue.waiting_tokens
            elif queue.waiting and name[1] == work.pool:
                weights += queue.weight
        share = max(1, work.weight) / weights
        limit = min(
            self._capacity,
            self._limits.get(work.capacity_class, math.inf),
        )
        per_s = share * limit / max(0.001, self._mean_hold_s)
        return ahead / max(1.0, per_s)

    def _refuse(self, work: WorkSubmitted, wait_s: float) -> RefuseWork:
        self._arrivals.pop(work.request, None)
        # Jitter up to the length of the wait spreads the retries of callers.
        after_s = max(MIN_RETRY_AFTER_S, wait_s)
        after_s *= self._rng.uniform(1.0, 2.0)
        failure = Overloaded(
            f"The workspace {work.workspace} has no share of the node left.",
            failures.Execution.NOT_STARTED,
            after_s,
        )
        return RefuseWork(work.request, failure)

    def _is_limited(self, work: WorkSubmitted) -> bool:
        """Returns whether the upstreams of the work are full."""
        limit = self._limits.get(work.capacity_class)
        return (
            limit is not None
            and self._in_use_by[work.capacity_class] + work.tokens > limit
        )

    def _has_room(self, work: WorkSubmitted, only_reserve: bool) -> bool:
        free = self._capacity - self._in_use
        reserve = int(self._capacity * capacity.SHORT_RESERVE)
        if work.tokens <= capacity.SHORT_REQUEST_TOKENS:
            if only_reserve and self._short_in_use + work.tokens > reserve:
                return False
            return work.tokens <= free
        if not self._running:
            return work.tokens <= free
        return not only_reserve and work.tokens <= free - reserve

    def _start(self, work: WorkSubmitted, now: float) -> AdmitWork:
        self._running[work.request] = (work, now)
        self._in_use += work.tokens
        self._in_use_by[work.capacity_class] += work.tokens
        if work.tokens <= capacity.SHORT_REQUEST_TOKENS:
            self._short_in_use += work.tokens
        return AdmitWork(work.request)

    def _release_tokens(self, work: WorkSubmitted) -> None:
        self._in_use -= work.tokens
        self._in_use_by[work.capacity_class] -= work.tokens
        if work.tokens <= capacity.SHORT_REQUEST_TOKENS:
            self._short_in_use -= work.tokens

    def _end(self, request: str, now: float) -> None:
        self._remove_waiting(request)
        self._arrivals.pop(request, None)
        entry = self._running.pop(request, None)
        if entry is None:
            return
        work, started_at = entry
        self._release_tokens(work)
        # Weighted by tokens, because the completion rate is in tokens.
        weight = min(0.5, HOLD_TIME_SMOOTHING * work.tokens / QUANTUM_TOKENS)
        self._mean_hold_s += weight * (now - started_at - self._mean_hold_s)

    def _remove_waiting(self, request: str) -> None:
        queue_key = self._waiting.pop(request, None)
        if queue_key is None:
            return
        queue = self._queues[queue_key]
        for entry in queue.waiting:
            if entry[3].request == request:
                queue.waiting_tokens -= entry[3].tokens
                queue.waiting.remove(entry)
                heapq.heapify(queue.waiting)
                break
        self._delete_if_empty(queue_key)

    def _delete_if_empty(self, queue_key: tuple[str, str]) -> None:
        if self._queues[queue_key].waiting:
            return
        # An idle workspace must not accumulate deficit.
        del self._queues[queue_key]
        self._round.remove(queue_key)

    def _expire(self, now: float) -> list[commands.Command]:
        expired = []
        for queue in self._queues.values():
            for _, _, expiry, work in queue.waiting:
                if now >= expiry:
                    expired.append(work)
        refused: list[commands.Command] = []
        for work in expired:
            wait_s = self._estimate_wait_s(work)
            self._remove_waiting(work.request)
            refused.append(self._refuse(work, wait_s))
        return refused

    def _admit_waiting(self, now: float) -> list[commands.Command]:
        admitted: list[commands.Command] = []
        # Queues whose next work doesn't fit. While there is one, the others may
        # use only the reserve, so that short work doesn't starve long work.
        blocked: set[tuple[str, str]] = set()
        # Queues whose own pool is full; they don't block those of other pools.
        limited: set[tuple[str, str]] = set()
        while len(blocked) + len(limited) < len(self._round):
            queue_key = self._round[0]
            if queue_key in blocked or queue_key in limited:
                self._round.rotate(-1)
                continue
            queue = self._queues[queue_key]
            work = queue.waiting[0][3]
            if self._is_limited(work):
                limited.add(queue_key)
                self._round.rotate(-1)
                continue
            if not self._has_room(work, bool(blocked)):
                blocked.add(queue_key)
                self._round.rotate(-1)
                continue
            if queue.deficit_tokens < work.tokens:
                queue.deficit_tokens += QUANTUM_TOKENS * queue.weight
                self._round.rotate(-1)
                continue
            queue.deficit_tokens -= work.tokens
            heapq.heappop(queue.waiting)
            queue.waiting_tokens -= work.tokens
            del self._waiting[work.request]
            admitted.append(self._start(work, now))
            self._delete_if_empty(queue_key)
        return admitted
