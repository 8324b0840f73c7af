"""Policies that choose an upstream among candidates.

The one in service compares two random candidates and the upstream that has the
prompt cached. The others are baselines of the benches.
"""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from sycamorehollow.decisions.routing import capacity
from sycamorehollow.decisions.routing import load_table
from sycamorehollow.decisions.routing import prefix_index
from sycamorehollow.model import failures

# Upstreams free capacity when a response ends; short ones take a few seconds.
FULL_RETRY_AFTER_S = 1.0
SAMPLE_SIZE = 2


@dataclasses.dataclass(frozen=True)
class SelectedUpstream:
    """The chosen upstream.

    Attributes:
        upstream: Name of the upstream.
        reason: Why it was chosen, for the log.
    """

    upstream: str
    reason: str


class Selection(abc.ABC):
    """Chooses an upstream; changes nothing but its own sampling state."""

    @abc.abstractmethod
    def choose(
        self,
        request: capacity.Demand,
        candidates: Sequence[str],
        now: float,
    ) -> SelectedUpstream | failures.Failure:
        """Chooses one of the candidates.

        Args:
            request: What the request needs.
            candidates: Names of the upstreams that are allowed to run it.
            now: Monotonic time in seconds.

        Returns:
            The choice, or the failure with a retry time.
        """


def make_full_failure() -> failures.Failure:
    """Returns the failure for candidates that are all full or unreachable."""
    return failures.UpstreamsFull(
        "No upstream has room for the request.",
        failures.Execution.NOT_STARTED,
        FULL_RETRY_AFTER_S,
    )


class RandomSelection(Selection):
    """Baseline that chooses any candidate."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> SelectedUpstream | failures.Failure:
        """Chooses at random."""
        if not candidates:
            return make_full_failure()
        return SelectedUpstream(self._rng.choice(candidates), "random")


class RoundRobinSelection(Selection):
    """Baseline that chooses the candidates in turn."""

    def __init__(self) -> None:
        self._turn = -1

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> SelectedUpstream | failures.Failure:
        """Chooses the next in turn."""
        if not candidates:
            return make_full_failure()
        self._turn += 1
        return SelectedUpstream(
            candidates[self._turn % len(candidates)], "next in turn"
        )


class LeastOutstandingSelection(Selection):
    """Baseline that chooses the fewest outstanding attempts."""

    def __init__(self, table: load_table.LoadTable, rng: random.Random):
        self._table = table
        self._rng = rng

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> SelectedUpstream | failures.Failure:
        """Chooses the candidate with the fewest attempts of this process."""
        best: list[str] = []
        fewest = 0
        for name in candidates:
            load = self._table.find_load(name)
            if load is None:
                continue
            outstanding = len(load.attempts)
            if best and outstanding > fewest:
                continue
            if outstanding < fewest or not best:
                best = []
                fewest = outstanding
            best.append(name)
        if not best:
            return make_full_failure()
        name = self._rng.choice(best)
        return SelectedUpstream(name, f"{fewest} outstanding attempts")


class PowerOfTwoSelection(Selection):
    """Baseline that chooses the less loaded of two by their last reports."""

    def __init__(self, table: load_table.LoadTable, rng: random.Random):
        self._table = table
        self._rng = rng

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> SelectedUpstream | failures.Failure:
        """Chooses the one of two random candidates that reports less load."""
        if not candidates:
            return make_full_failure()
        best = ""
        least = float("inf")
        for name in sample_candidates(self._rng, candidates):
            load = self._table.find_load(name)
            if load is None or load.report is None:
                held = 0.0
            else:
                held = load.report.held_tokens / max(1, load.capacity_tokens)
            if held < least:
                best, least = name, held
        return SelectedUpstream(best, f"reports {least:.0%} held")


def sample_candidates(
    rng: random.Random, candidates: Sequence[str]
) -> list[str]:
    """Returns up to two different random candidates."""
    if len(candidates) <= SAMPLE_SIZE:
        return list(candidates)
    first = int(rng.random() * len(candidates))
    second = int(rng.random() * (len(candidates) - 1))
    return [candidates[first], candidates[second + (second >= first)]]


def allow_all(upstream: str, now: float) -> bool:
    """Allows every upstream."""
    return True


class EstimateSelection(Selection):
    """Chooses the lowest estimated load of two candidates and a prefix holder.

    Args:
        table: Load of the upstreams.
        capacity_rules: Capacity rules.
        prefixes: Prefix affinity.
        data_centre: Data centre of this process; its upstreams come first.
        rng: Source of randomness.
        can_start: Whether an upstream takes one more attempt, for example
            `ColdStartLimiter.can_start`.
    """

    def __init__(
        self,
        table: load_table.LoadTable,
        capacity_rules: capacity.Capacity,
        prefixes: prefix_index.PrefixIndex,
        data_centre: str,
        rng: random.Random,
        can_start: Callable[[str, float], bool] = allow_all,
    ):
        self._table = table
        self._capacity_rules = capacity_rules
        self._prefix_index = prefixes
        self._data_centre = data_centre
        self._rng = rng
        self._can_start = can_start

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> SelectedUpstream | failures.Failure:
        """Chooses by estimated load, in the own data centre if possible."""
        local: list[str] = []
        remote: list[str] = []
        for name in candidates:
            load = self._table.find_load(name)
            if load is None:
                continue
            is_local = load.configuration.data_centre == self._data_centre
            (local if is_local else remote).append(name)
        late = False
        for group in (local, remote):
            if not group:
                continue
            best = self._choose_sampled(request, group, now)
            if best is None:
                best = self._choose_any(request, group, now)
            if best is None:
                continue
            if self._capacity_rules.can_meet_deadline(best, request, now):
                return SelectedUpstream(best, self._explain(best, request, now))
            late = True
        if late:
            return failures.DeadlineExceeded(
                "The response cannot be complete before the deadline."
            )
        return make_full_failure()

    def _choose_sampled(
        self, request: capacity.Demand, group: list[str], now: float
    ) -> str | None:
        sampled = sample_candidates(self._rng, group)
        holder = self._prefix_index.find_holder(request.block_hashes, now)
        if holder is not None and holder not in sampled and holder in group:
            sampled.append(holder)
        return self._find_cheapest(request, sampled, now)

    def _choose_any(
        self, request: capacity.Demand, group: list[str], now: float
    ) -> str | None:
        # A random start keeps the nodes from all filling the same upstream.
        start = int(self._rng.random() * len(group))
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
        # Cheapest check first, for scans of 100 full or cold upstreams.
        if not self._capacity_rules.can_hold(name, request, now):
            return False
        if not self._can_start(name, now):
            return False
        return self._capacity_rules.has_room(name, request, now)

    def _compute_cost(
        self, name: str, request: capacity.Demand, now: float
    ) -> float:
        load = self._table.find_load(name)
        if load is None:
            return float("inf")
        held = load.estimate_tokens()
        if request.block_hashes:
            held -= self._prefix_index.count_cached_tokens(
                name, request.block_hashes, now
            )
        return held / max(1, load.capacity_tokens)

    def _explain(self, name: str, request: capacity.Demand, now: float) -> str:
        cached = self._prefix_index.count_cached_tokens(
            name, request.block_hashes, now
        )
        cost = self._compute_cost(name, request, now)
        return f"cost {cost:.3f} with {cached} cached tokens"
