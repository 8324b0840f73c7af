"""Sequential test of whether a new version answers slowly.

Versions are drawn by hash. If the new one is as fast, a slow answer is its own
with the probability of its share when the request was sent, whatever makes
answers slow. The log likelihood ratio of that against a version with several
times the slow answers is summed up over all answers, and for each route and
model. What counts is the rise since the lowest sum, so that a version that
turns slow late is found as fast.

An upstream that is slow by itself makes answers slow as well. A version has to
be slow at most groups of its upstreams.
"""

from collections.abc import Mapping
import dataclasses
import math
from typing import TypeVar
import zlib

from sycamorehollow.decisions.forwarding import response_times

# Groups of the new version's upstreams.
GROUPS = 8
# Ratios of slow answers that the test looks for, and the one above which a
# group of upstreams counts as slow.
RATIOS = (4.0, 16.0)
GROUP_RATIO = 2.0
# Share of slow answers that is assumed at least of the version in service.
MIN_RATE = 0.02
# Log likelihood ratio at which a version counts as slow, and the one from which
# on it is suspected.
SLOW_LOG_RATIO = math.log(5000)
SUSPECT_LOG_RATIO = SLOW_LOG_RATIO / 2
# Standard deviations by which the share of the answers may exceed the one by
# which versions are drawn.
SHARE_SIGMA = 2.0

_Number = TypeVar("_Number", int, float)


@dataclasses.dataclass(frozen=True)
class Counts:
    """Answers of both versions.

    Attributes:
        new: Answers of the new version by group of its upstreams.
        new_slow: Slow ones among them.
        scores: Log likelihood ratio of a slow new version for each ratio.
    """

    old: int = 0
    old_slow: int = 0
    new: tuple[int, ...] = (0,) * GROUPS
    new_slow: tuple[int, ...] = (0,) * GROUPS
    scores: tuple[float, ...] = (0.0,) * len(RATIOS)

    @property
    def size(self) -> int:
        """All answers."""
        return self.old + sum(self.new)

    def plus(self, other: "Counts", sign: int = 1) -> "Counts":
        """Returns the sum, or the difference for a sign of -1."""
        return Counts(
            self.old + sign * other.old,
            self.old_slow + sign * other.old_slow,
            _add(self.new, other.new, sign),
            _add(self.new_slow, other.new_slow, sign),
            _add(self.scores, other.scores, sign),
        )

    def encode(self) -> list[float]:
        """Returns the counts as a list of numbers."""
        scores = [round(score, 3) for score in self.scores]
        return [self.old, self.old_slow, *self.new, *self.new_slow, *scores]

    def describe(self) -> str:
        """Returns the counts for the log."""
        return (
            f"{sum(self.new_slow)} of {sum(self.new)} answers slow against"
            f" {self.old_slow} of {self.old} in service"
        )


def decode(values: list[float]) -> Counts:
    """Reads what `Counts.encode` has written.

    Raises:
        ValueError: The list has another length.
    """
    if len(values) != 2 + 2 * GROUPS + len(RATIOS):
        raise ValueError(f"{len(values)} counts")
    counts = [int(value) for value in values[: 2 + 2 * GROUPS]]
    return Counts(
        counts[0],
        counts[1],
        tuple(counts[2 : 2 + GROUPS]),
        tuple(counts[2 + GROUPS :]),
        tuple(values[2 + 2 * GROUPS :]),
    )


def build_counts(upstream: str, new: bool, slow: bool, share: float) -> Counts:
    """Returns the counts of one answer.

    Args:
        upstream: Where it ran.
        new: Whether the new version answered.
        slow: Whether it was slow.
        share: Share of the new version in answers that were sent with it.
    """
    scores = tuple(
        (math.log(ratio) if new else 0.0) - math.log(1 - share + share * ratio)
        if slow
        else 0.0
        for ratio in RATIOS
    )
    if not new:
        return Counts(1, int(slow), scores=scores)
    group = zlib.crc32(upstream.encode()) % GROUPS
    ones = tuple(int(place == group) for place in range(GROUPS))
    return Counts(0, 0, ones, ones if slow else (0,) * GROUPS, scores)


@dataclasses.dataclass
class SequentialTest:
    """The test on one kind of answers.

    Attributes:
        latest: All counts.
        since: Counts at the time of the lowest sum, for each ratio.
    """

    latest: Counts = Counts()
    baselines: tuple[Counts, ...] = (Counts(),) * len(RATIOS)

    def update(self, total: Counts) -> None:
        """Takes the present counts."""
        self.latest = total
        self.baselines = tuple(
            total if total.scores[place] <= low.scores[place] else low
            for place, low in enumerate(self.baselines)
        )

    @property
    def score(self) -> float:
        """Largest log likelihood ratio since its lowest sum."""
        return self._find_largest_score()[0]

    def is_slow(self, bound: float) -> bool:
        """Tells whether the version is slow, and not only some upstreams."""
        if self.score < bound:
            return False
        found = self.get_counts()
        rate = max(MIN_RATE, found.old_slow / max(1, found.old))
        groups = [
            slow / count
            for count, slow in zip(found.new, found.new_slow, strict=True)
            if count
        ]
        many = [part for part in groups if part > GROUP_RATIO * rate]
        return 2 * len(many) > len(groups)

    def get_counts(self) -> Counts:
        """Returns the counts that led to the score."""
        return self.latest.plus(
            self.baselines[self._find_largest_score()[1]], -1
        )

    def _find_largest_score(self) -> tuple[float, int]:
        """Returns the largest score and the place of its ratio."""
        return max(
            (self.latest.scores[place] - low.scores[place], place)
            for place, low in enumerate(self.baselines)
        )


class Evidence:
    """Counts of all nodes on one roll-out, and the tests on them.

    Attributes:
        counts: Counts by node and kind, which is a part of answers at a
            route and model; each node only raises its own.
    """

    def __init__(self) -> None:
        self.counts: dict[str, dict[str, Counts]] = {}
        self._tests: dict[str, SequentialTest] = {}
        self._total = Counts()

    def record(
        self,
        node: str,
        timed: response_times.AttemptLabels,
        part: response_times.LatencyKind,
        new: bool,
        slow: bool,
    ) -> None:
        """A part of an answer was judged at this node."""
        kinds = self.counts.setdefault(node, {})
        kind = f"{part.value} {timed.route.name} {timed.model}".rstrip()
        share = self._estimate_new_share(timed.share)
        one = build_counts(timed.upstream, new, slow, share)
        kinds[kind] = kinds.get(kind, Counts()).plus(one)

    def merge(self, node: str, kinds: Mapping[str, Counts]) -> None:
        """Takes another node's counts; larger ones are newer."""
        known = self.counts.setdefault(node, {})
        for kind, counts in kinds.items():
            if counts.size > known.get(kind, Counts()).size:
                known[kind] = counts

    def evaluate(self) -> str:
        """Tests all kinds; returns why the version is slow, if it is."""
        self._total = self.sum_counts()
        totals: dict[str, Counts] = {}
        for kinds in self.counts.values():
            for kind, counts in kinds.items():
                # The part of the answer, for all routes and models.
                for name in (kind.partition(" ")[0], kind):
                    totals[name] = totals.get(name, Counts()).plus(counts)
        for kind, total in totals.items():
            trial = self._tests.setdefault(kind, SequentialTest())
            trial.update(total)
            if trial.is_slow(SLOW_LOG_RATIO):
                return (
                    f"{kind}: {trial.get_counts().describe()}"
                    f" (log evidence {trial.score:.1f},"
                    f" bound {SLOW_LOG_RATIO:.1f})"
                )
        return ""

    def is_possibly_slow(self) -> bool:
        """Tells whether the version looks slow without proof yet."""
        return any(
            trial.is_slow(SUSPECT_LOG_RATIO) for trial in self._tests.values()
        )

    def sum_counts(self) -> Counts:
        """Returns the counts of all nodes and kinds."""
        total = Counts()
        for kinds in self.counts.values():
            for counts in kinds.values():
                total = total.plus(counts)
        return total

    def _estimate_new_share(self, share: float) -> float:
        """Returns the chance that a slow answer is the new version's."""
        size = self._total.size
        if not size:
            return share
        observed = sum(self._total.new) / size
        spread = math.sqrt(share * (1 - share) / size)
        # Some sessions send more requests than others.
        return observed if observed > share + SHARE_SIGMA * spread else share


def _add(
    one: tuple[_Number, ...], other: tuple[_Number, ...], sign: int
) -> tuple[_Number, ...]:
    return tuple(a + sign * b for a, b in zip(one, other, strict=True))
