"""Choice of an upstream among candidates."""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from sycamorehollow.decisions.routing import capacity
from sycamorehollow.decisions.routing import prefixes
from sycamorehollow.decisions.routing import upstreams
from sycamorehollow.model import failures

# A full upstream frees room when a response ends; captions take a few seconds.
FULL_RETRY_AFTER_S = 1.0
SAMPLES = 2


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen upstream.

    Attributes:
        upstream: Name of the upstream.
        reason: Why it was chosen, for the log.
    """

    upstream: str
    reason: str


class Selection(abc.ABC):
    """Chooses an upstream; a query that changes only its own sampling state."""

    @abc.abstractmethod
    def choose(
        self,
        request: capacity.Demand,
        candidates: Sequence[str],
        now: float,
    ) -> Choice | failures.Failure:
        """Chooses one of the candidates.

        Args:
            request: What the request needs.
            candidates: Names of the upstreams that are allowed to run it.
            now: Monotonic time in seconds.

        Returns:
            The choice, or the failure with the time to come back.
        """


def refuse_full() -> failures.Failure:
    """Returns the failure for candidates that are all full or unreachable."""
    return failures.UpstreamsFull(
        "No upstream has room for the request.",
        failures.Execution.NOT_STARTED,
        FULL_RETRY_AFTER_S,
    )


class RandomSelection(Selection):
    """Baseline: any candidate."""

    def __init__(self, source: random.Random):
        self._source = source

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> Choice | failures.Failure:
        """Chooses at random."""
        if not candidates:
            return refuse_full()
        return Choice(self._source.choice(candidates), "random")


class RoundRobinSelection(Selection):
    """Baseline: the candidates in turn."""

    def __init__(self) -> None:
        self._turn = -1

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> Choice | failures.Failure:
        """Chooses the next in turn."""
        if not candidates:
            return refuse_full()
        self._turn += 1
        return Choice(candidates[self._turn % len(candidates)], "next in turn")


class LeastOutstandingSelection(Selection):
    """Baseline: the fewest attempts of this process."""

    def __init__(self, table: upstreams.Table, source: random.Random):
        self._table = table
        self._source = source

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> Choice | failures.Failure:
        """Chooses the candidate with the fewest own attempts."""
        best: list[str] = []
        fewest = 0
        for name in candidates:
            row = self._table.find_row(name)
            if row is None:
                continue
            outstanding = len(row.attempts)
            if best and outstanding > fewest:
                continue
            if outstanding < fewest or not best:
                best = []
                fewest = outstanding
            best.append(name)
        if not best:
            return refuse_full()
        name = self._source.choice(best)
        return Choice(name, f"{fewest} own attempts")


class PowerOfTwoSelection(Selection):
    """Baseline: the less loaded of two by their last reports."""

    def __init__(self, table: upstreams.Table, source: random.Random):
        self._table = table
        self._source = source

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> Choice | failures.Failure:
        """Chooses the one of two random candidates that reports less."""
        if not candidates:
            return refuse_full()
        best = ""
        least = float("inf")
        for name in pick(self._source, candidates):
            row = self._table.find_row(name)
            if row is None or row.report is None:
                held = 0.0
            else:
                held = row.report.held_tokens / max(1, row.capacity_tokens)
            if held < least:
                best, least = name, held
        return Choice(best, f"reports {least:.0%} held")


def pick(source: random.Random, candidates: Sequence[str]) -> list[str]:
    """Picks up to two different candidates."""
    if len(candidates) <= SAMPLES:
        return list(candidates)
    first = int(source.random() * len(candidates))
    second = int(source.random() * (len(candidates) - 1))
    return [candidates[first], candidates[second + (second >= first)]]


def allow_all(upstream: str, now: float) -> bool:
    """Allows every upstream."""
    return True


class EstimateSelection(Selection):
    """The lowest estimated load among two candidates and the prefix holder.

    Args:
        table: Load of the upstreams.
        room: Capacity rules.
        holders: Prefix affinity.
        data_centre: Data centre of this process; its upstreams come first.
        source: Source of randomness.
        can_start: Whether an upstream takes one more attempt, for example
            `ColdStartLimiter.can_start`.
    """

    def __init__(
        self,
        table: upstreams.Table,
        room: capacity.Capacity,
        holders: prefixes.Prefixes,
        data_centre: str,
        source: random.Random,
        can_start: Callable[[str, float], bool] = allow_all,
    ):
        self._table = table
        self._room = room
        self._holders = holders
        self._data_centre = data_centre
        self._source = source
        self._can_start = can_start

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> Choice | failures.Failure:
        """Chooses by the estimate, in the own data centre if possible."""
        own: list[str] = []
        far: list[str] = []
        for name in candidates:
            row = self._table.find_row(name)
            if row is None:
                continue
            near = row.configured.data_centre == self._data_centre
            (own if near else far).append(name)
        late = False
        for group in (own, far):
            if not group:
                continue
            best = self._choose_sampled(request, group, now)
            if best is None:
                best = self._choose_any(request, group, now)
            if best is None:
                continue
            if self._room.meets_deadline(best, request, now):
                return Choice(best, self._explain(best, request, now))
            late = True
        if late:
            return failures.DeadlineExceeded(
                "The response cannot be complete before the deadline."
            )
        return refuse_full()

    def _choose_sampled(
        self, request: capacity.Demand, group: list[str], now: float
    ) -> str | None:
        sampled = pick(self._source, group)
        holder = self._holders.find_holder(request.blocks, now)
        if holder is not None and holder not in sampled and holder in group:
            sampled.append(holder)
        return self._find_cheapest(request, sampled, now)

    def _choose_any(
        self, request: capacity.Demand, group: list[str], now: float
    ) -> str | None:
        # The start differs between nodes and calls, so that all nodes do not
        # fill the same upstream.
        start = int(self._source.random() * len(group))
        for offset in range(len(group)):
            name = group[(start + offset) % len(group)]
            if self._can_take(name, request, now):
                return name
        return None

    def _find_cheapest(
        self, request: capacity.Demand, names: list[str], now: float
    ) -> str | None:
        best = None
        least = float("inf")
        for name in names:
            if not self._can_take(name, request, now):
                continue
            cost = self._compute_cost(name, request, now)
            if cost < least:
                best, least = name, cost
        return best

    def _can_take(
        self, name: str, request: capacity.Demand, now: float
    ) -> bool:
        # In this order a scan of 100 full or cold upstreams stays cheap.
        if not self._room.holds(name, request, now):
            return False
        if not self._can_start(name, now):
            return False
        return self._room.fits(name, request, now)

    def _compute_cost(
        self, name: str, request: capacity.Demand, now: float
    ) -> float:
        row = self._table.find_row(name)
        if row is None:
            return float("inf")
        held = row.estimate_tokens()
        if request.blocks:
            held -= self._holders.count_cached_tokens(name, request.blocks, now)
        return held / max(1, row.capacity_tokens)

    def _explain(self, name: str, request: capacity.Demand, now: float) -> str:
        cached = self._holders.count_cached_tokens(name, request.blocks, now)
        cost = self._compute_cost(name, request, now)
        return f"cost {cost:.3f} with {cached} cached tokens"
