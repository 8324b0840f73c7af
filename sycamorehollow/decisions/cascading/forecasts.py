"""Forecasts of the quality of sequences of versions, with a cache."""

import dataclasses

from sycamorehollow.decisions.cascading import quality_estimator

# Ratings of a kind after which a cached forecast is outdated.
REFRESH_CHANGES = 24
MAX_FORECASTS = 8192


@dataclasses.dataclass(frozen=True)
class Forecast:
    """Expected quality of a sequence of versions.

    Attributes:
        reaches: Share of requests that reach each step.
        quality: Expected share of accepted responses.
        deviation: Standard deviation of the quality.
        ratings: Ratings in the workspace of the step with the fewest, on
            requests that no other version has tried.
    """

    reaches: tuple[float, ...]
    quality: float
    deviation: float
    ratings: int


class ForecastCache:
    """Caches forecasts until the estimates have changed enough.

    Args:
        estimates: Source of the quality estimates.
    """

    def __init__(self, estimates: quality_estimator.QualityEstimator) -> None:
        self._estimator = estimates
        self._cache: dict[
            tuple[str, str, tuple[str, ...]], tuple[int, Forecast]
        ] = {}

    def get(self, workspace: str, kind: str, steps: tuple[str, ...]):
        """Returns the forecast; the step `""` is any delivered response."""
        changes = self._estimator.count_changes(workspace, kind)
        cached = self._cache.get((workspace, kind, steps))
        # The first ratings change an estimate most.
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
        """Clears the cache."""
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
