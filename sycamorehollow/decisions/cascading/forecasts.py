"""What the estimates say about sequences of versions."""

import dataclasses

from sycamorehollow.decisions.cascading import quality_estimator

# Estimates are read again after this many changes of a kind.
REFRESH_CHANGES = 24
MAX_FORECASTS = 8192


@dataclasses.dataclass(frozen=True)
class Forecast:
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


class ForecastCache:
    """Outlooks that are cached until the estimates have moved.

    Args:
        estimates: Where the quality estimates come from.
    """

    def __init__(self, estimates: quality_estimator.QualityEstimator) -> None:
        self._estimator = estimates
        self._cache: dict[
            tuple[str, str, tuple[str, ...]], tuple[int, Forecast]
        ] = {}

    def get(self, workspace: str, kind: str, steps: tuple[str, ...]):
        """Returns the forecast of a sequence; `""` is any delivered answer."""
        changes = self._estimator.count_changes(workspace, kind)
        cached = self._cache.get((workspace, kind, steps))
        # The first ratings move an estimate most.
        if cached is not None:
            stale = min(REFRESH_CHANGES, 1 + cached[0] // 8)
            if changes - cached[0] < stale:
                return cached[1]
        if len(self._cache) >= MAX_FORECASTS:
            self._cache.clear()
        forecast = self._compute(workspace, kind, steps)
        self._cache[(workspace, kind, steps)] = (changes, forecast)
        return forecast

    def clear(self) -> None:
        """Forgets what is cached."""
        self._cache.clear()

    def _compute(
        self, workspace: str, kind: str, steps: tuple[str, ...]
    ) -> Forecast:
        reaches = []
        reach = 1.0
        variance = 0.0
        ratings = []
        for index, version in enumerate(steps):
            key = quality_estimator.EstimateKey(
                workspace, kind, version, steps[:index]
            )
            estimate = self._estimator.estimate(key)
            fresh = quality_estimator.EstimateKey(workspace, kind, version)
            ratings.append(self._estimator.count_ratings(fresh))
            reaches.append(reach)
            miss = 1.0 - estimate.mean
            variance = variance * miss**2 + (reach * estimate.deviation) ** 2
            reach *= miss
        return Forecast(
            tuple(reaches), 1.0 - reach, variance**0.5, min(ratings)
        )
