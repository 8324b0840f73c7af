"""What the estimates say about sequences of versions."""

import dataclasses

from sycamorehollow.decisions.cascading import learning

# Estimates are read again after this many changes of a kind.
REFRESH_CHANGES = 24
MAX_OUTLOOKS = 8192


@dataclasses.dataclass(frozen=True)
class Outlook:
    """What the estimates say about a sequence.

    Attributes:
        reaches: Share of requests that reach each step.
        quality: Expected share of accepted answers.
        deviation: Standard deviation of the quality.
        ratings: Own ratings of the least known step on fresh requests.
    """

    reaches: tuple[float, ...]
    quality: float
    deviation: float
    ratings: int


class Outlooks:
    """Outlooks that are kept until the estimates have moved.

    Args:
        estimates: Where the quality estimates come from.
    """

    def __init__(self, estimates: learning.Learning) -> None:
        self._learning = estimates
        self._kept: dict[
            tuple[str, str, tuple[str, ...]], tuple[int, Outlook]
        ] = {}

    def look(self, workspace: str, kind: str, steps: tuple[str, ...]):
        """Returns the outlook of a sequence; `""` is any delivered answer."""
        changes = self._learning.count_changes(workspace, kind)
        kept = self._kept.get((workspace, kind, steps))
        # The first ratings move an estimate most.
        if kept is not None:
            stale = min(REFRESH_CHANGES, 1 + kept[0] // 8)
            if changes - kept[0] < stale:
                return kept[1]
        if len(self._kept) >= MAX_OUTLOOKS:
            self._kept.clear()
        outlook = self._make(workspace, kind, steps)
        self._kept[(workspace, kind, steps)] = (changes, outlook)
        return outlook

    def clear(self) -> None:
        """Forgets what is kept."""
        self._kept.clear()

    def _make(
        self, workspace: str, kind: str, steps: tuple[str, ...]
    ) -> Outlook:
        reaches = []
        reach = 1.0
        variance = 0.0
        ratings = []
        for index, version in enumerate(steps):
            key = learning.Key(workspace, kind, version, steps[:index])
            estimate = self._learning.estimate(key)
            fresh = learning.Key(workspace, kind, version)
            ratings.append(self._learning.count_ratings(fresh))
            reaches.append(reach)
            miss = 1.0 - estimate.mean
            variance = variance * miss**2 + (reach * estimate.deviation) ** 2
            reach *= miss
        return Outlook(tuple(reaches), 1.0 - reach, variance**0.5, min(ratings))
