"""Sequential test of whether a new version responds slowly.

Versions are assigned by hash. If both versions are equally fast, the
probability that a slow response comes from the new version equals its traffic
share when the request was sent, whatever the cause of the slowness. The test
sums up the log likelihood ratio of this hypothesis against a new version with
several times as many slow responses, over all responses and per route and
model. As in CUSUM, the increase since the lowest sum is evaluated, so that a
version that degrades late is detected as fast.

A single slow upstream causes slow responses as well. Therefore the version must
be slow at most groups of its upstreams to count as slow.
"""

from collections.abc import Mapping
import dataclasses
import math
from typing import TypeVar
import zlib

from sycamorehollow.decisions.forwarding import response_times

# Number of groups into which the new version's upstreams are hashed.
GROUPS = 8
# Ratios of slow responses that the test is to detect, and the ratio above which
# a group of upstreams counts as slow.
RATIOS = (4.0, 16.0)
GROUP_RATIO = 2.0
# Lower bound of the share of slow responses of the version in service.
MIN_RATE = 0.02
# Log likelihood ratios from which a version counts as slow and as suspect.
SLOW_LOG_RATIO = math.log(5000)
SUSPECT_LOG_RATIO = SLOW_LOG_RATIO / 2
# Standard deviations by which the new version's observed share of responses may
# exceed its traffic share.
SHARE_SIGMA = 2.0

_Number = TypeVar("_Number", int, float)


@dataclasses.dataclass(frozen=True)
class Counts:
    """Counts of responses of both versions.

    Attributes:
        new: Responses of the new version by group of its upstreams.
        new_slow: Slow ones among them.
        scores: Log likelihood ratio for each of `RATIOS`.
    """

    old: int = 0
    old_slow: int = 0
    new: tuple[int, ...] = (0,) * GROUPS
    new_slow: tuple[int, ...] = (0,) * GROUPS
    scores: tuple[float, ...] = (0.0,) * len(RATIOS)

    @property
    def size(self) -> int:
        """Number of all responses."""
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
        """Returns the counts as a flat list of numbers."""
        scores = [round(score, 3) for score in self.scores]
        return [self.old, self.old_slow, *self.new, *self.new_slow, *scores]

    def describe(self) -> str:
        """Returns a description for the log."""
        return (
            f"{sum(self.new_slow)} of {sum(self.new)} responses slow against"
            f" {self.old_slow} of {self.old} in service"
        )


def decode(values: list[float]) -> Counts:
    """Decodes the result of `Counts.encode`.

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
    """Returns the counts of one response.

    Args:
        upstream: Identity of the upstream.
        new: Whether it runs the new version.
        slow: Whether the response was slow.
        share: Traffic share of the new version when the request was sent.
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
    ones = tuple(int(index == group) for index in range(GROUPS))
    return Counts(0, 0, ones, ones if slow else (0,) * GROUPS, scores)


@dataclasses.dataclass
class SequentialTest:
    """The test on one kind of latency.

    Attributes:
        latest: All counts.
        baselines: Counts at the time of the lowest sum, for each ratio.
    """

    latest: Counts = Counts()
    baselines: tuple[Counts, ...] = (Counts(),) * len(RATIOS)

    def update(self, total: Counts) -> None:
        """Applies the current counts."""
        self.latest = total
        self.baselines = tuple(
            total if total.scores[index] <= low.scores[index] else low
            for index, low in enumerate(self.baselines)
        )

    @property
    def score(self) -> float:
        """Largest increase of a log likelihood ratio since its minimum."""
        return self._find_largest_score()[0]

    def is_slow(self, bound: float) -> bool:
        """Returns whether the version, not just some upstreams, is slow."""
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
        """Returns the counts since the minimum, which led to the score."""
        return self.latest.plus(
            self.baselines[self._find_largest_score()[1]], -1
        )

    def _find_largest_score(self) -> tuple[float, int]:
        """Returns the largest score and the index of its ratio."""
        return max(
            (self.latest.scores[index] - low.scores[index], index)
            for index, low in enumerate(self.baselines)
        )


class Evidence:
    """Counts of all nodes for one roll-out, and the tests on them.

    Attributes:
        counts: Counts by node and kind, where a kind is a latency at a route
            and model. Each node only increases its own counts.
    """

    def __init__(self) -> None:
        self.counts: dict[str, dict[str, Counts]] = {}
        self._tests: dict[str, SequentialTest] = {}
        self._total = Counts()

    def record(
        self,
        node: str,
        labels: response_times.AttemptLabels,
        latency: response_times.LatencyKind,
        new: bool,
        slow: bool,
    ) -> None:
        """Counts a latency that was classified at this node."""
        kinds = self.counts.setdefault(node, {})
        kind = f"{latency.value} {labels.route.name} {labels.model}".rstrip()
        share = self._estimate_new_share(labels.share)
        one = build_counts(labels.upstream, new, slow, share)
        kinds[kind] = kinds.get(kind, Counts()).plus(one)

    def merge(self, node: str, kinds: Mapping[str, Counts]) -> None:
        """Merges another node's counts; of two the larger is newer."""
        stored = self.counts.setdefault(node, {})
        for kind, counts in kinds.items():
            if counts.size > stored.get(kind, Counts()).size:
                stored[kind] = counts

    def evaluate(self) -> str:
        """Runs all tests; returns why the version is slow, or an empty text."""
        self._total = self.sum_counts()
        totals: dict[str, Counts] = {}
        for kinds in self.counts.values():
            for kind, counts in kinds.items():
                # Also tests the latency over all routes and models.
                for name in (kind.partition(" ")[0], kind):
                    totals[name] = totals.get(name, Counts()).plus(counts)
        for kind, total in totals.items():
            test = self._tests.setdefault(kind, SequentialTest())
            test.update(total)
            if test.is_slow(SLOW_LOG_RATIO):
                return (
                    f"{kind}: {test.get_counts().describe()}"
                    f" (log evidence {test.score:.1f},"
                    f" bound {SLOW_LOG_RATIO:.1f})"
                )
        return ""

    def is_possibly_slow(self) -> bool:
        """Returns whether a test has reached the lower, suspect bound."""
        return any(
            test.is_slow(SUSPECT_LOG_RATIO) for test in self._tests.values()
        )

    def sum_counts(self) -> Counts:
        """Returns the sum of the counts of all nodes and kinds."""
        total = Counts()
        for kinds in self.counts.values():
            for counts in kinds.values():
                total = total.plus(counts)
        return total

    def _estimate_new_share(self, share: float) -> float:
        """Returns the probability that a response is the new version's."""
        size = self._total.size
        if not size:
            return share
        observed = sum(self._total.new) / size
        spread = math.sqrt(share * (1 - share) / size)
        # Sessions differ in their number of requests, so the observed share
        # can be above the share of sessions.
        return observed if observed > share + SHARE_SIGMA * spread else share


def _add(
    one: tuple[_Number, ...], other: tuple[_Number, ...], sign: int
) -> tuple[_Number, ...]:
    return tuple(a + sign * b for a, b in zip(one, other, strict=True))
