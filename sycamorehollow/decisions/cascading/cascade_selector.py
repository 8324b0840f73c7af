"""Choice of the cascade of versions that a request tries.

It takes the cheapest sequence that meets the quality target with enough
certainty. A limited share of the requests may explore cheaper sequences.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.cascading import forecasts
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.model import commands
from sycamorehollow.model import deployment as deployments
from sycamorehollow.model import events
from sycamorehollow.model import failures

# Another step would take more time than a third rejection is worth.
MAX_STEPS = 3
# Ratings in the workspace from which the quality of a version counts as known.
MIN_RATINGS = 30
# Fewer suffice where trials are allowed, as the lower bound is cautious itself.
MIN_TRIAL_RATINGS = 12
# Standard deviations between an estimate and its lower confidence bound.
LOWER_SIGMAS = 0.8
# Standard deviations between an estimate and its upper confidence bound.
UPPER_SIGMAS = 2.0
# Share of trials; more with a gate, which catches bad responses at little cost.
EXPLORE_SHARE = 0.35
EXPLORE_SHARE_GATED = 0.5
MAX_CREDIT = 8.0
# Thompson sampling also tries versions that are known, so it has to be rarer.
THOMPSON_COST = 7.0
THOMPSON_SHARE = 0.15
# Limit on the increase of the required quality after a missed target.
MAX_TARGET_INCREASE = 0.05


@dataclasses.dataclass(frozen=True)
class Conditions:
    """State of the upstreams and of the rating service for one request.

    Attributes:
        durations_s: Expected duration of a response of each version in seconds.
        full: Versions without an upstream that has capacity.
        rating_wait_s: Seconds that the gate waits for a rating.
        ratings_down: Whether the rating service returns no ratings.
    """

    durations_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    full: frozenset[str] = frozenset()
    rating_wait_s: float = 0.0
    ratings_down: bool = False


@dataclasses.dataclass(frozen=True)
class Query:
    """Inputs of the choice for one request.

    Attributes:
        workspace: Name of the workspace.
        policy: Policy of the workspace for the kind of request.
        versions: The versions to choose from, as `versions.resolve` returns
            them; a sequence tries them in this order.
        prices: Expected price of one response of each version.
        remaining_s: Seconds until the deadline.
        conditions: State of the upstreams and of the rating service.
    """

    workspace: str
    policy: deployments.KindPolicy
    versions: tuple[str, ...]
    prices: Mapping[str, float]
    remaining_s: float
    conditions: Conditions = dataclasses.field(default_factory=Conditions)


@dataclasses.dataclass(frozen=True)
class Cascade:
    """The versions that a request tries.

    Attributes:
        steps: Versions in order; the next one runs after a rejection.
        gate: Whether responses are rated before delivery.
        trial_cost: Exploration credit that the choice uses; 0 if no trial.
        expected_cost: Expected price of all attempts.
        expected_quality: Expected share of accepted responses.
        reason: One sentence for the log.
    """

    steps: tuple[str, ...]
    gate: bool
    trial_cost: float
    expected_cost: float
    expected_quality: float
    reason: str


@dataclasses.dataclass(frozen=True)
class ChoiceMade(events.Event):
    """A request runs with a chosen cascade."""

    workspace: str
    kind: str
    choice: Cascade


class CascadeSelector(components.Component):
    """Chooses the cascade for each request.

    Args:
        estimates: Source of the quality estimates.
        rng: Source of randomness for trials.
    """

    def __init__(
        self, estimates: quality_estimator.QualityEstimator, rng: random.Random
    ) -> None:
        self._estimator = estimates
        self._rng = rng
        self._credit: dict[tuple[str, str], float] = {}
        self._forecasts = forecasts.ForecastCache(estimates)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event and updates the exploration credit."""
        if isinstance(event, ChoiceMade):
            pair = (event.workspace, event.kind)
            share = EXPLORE_SHARE_GATED if event.choice.gate else EXPLORE_SHARE
            credit = self._credit.get(pair, 1.0) + share
            self._credit[pair] = min(
                MAX_CREDIT, credit - event.choice.trial_cost
            )
        elif isinstance(event, quality_estimator.DeploymentChanged):
            self._credit.clear()
            self._forecasts.clear()
        return []

    def choose(self, query: Query) -> Cascade | failures.Failure:
        """Returns the cascade for a request, with the reason."""
        if not query.versions:
            return failures.NotAllowed("No version is allowed for the request.")
        free = [v for v in query.versions if v not in query.conditions.full]
        if not free:
            return failures.NoUpstream(
                "Every allowed version is at capacity.", retry_after_s=1.0
            )
        timely = [
            v
            for v in free
            if query.conditions.durations_s.get(v, 0.0) <= query.remaining_s
        ]
        if not timely:
            return failures.DeadlineExceeded(
                "No allowed version can answer before the deadline."
            )
        gate = query.policy.gate and not query.conditions.ratings_down
        note = _describe_limits(query, len(free), len(timely))
        sequences = _list_sequences(query, timely, gate)
        if not query.policy.explore:
            known = [s for s in sequences if self._is_proven(query, s)]
            return self._exploit(query, known, gate, note, timely)
        if query.policy.gate and query.conditions.ratings_down:
            return self._take_dearest(query, timely, "ratings are down", note)
        best = self._exploit(query, sequences, gate, note, timely)
        if isinstance(best, Cascade) and self._can_explore(query, gate):
            trial = self._find_trial(query, sequences, gate, best)
            trial = trial or self._sample_trial(query, sequences, gate, best)
            if trial is not None:
                return dataclasses.replace(trial, reason=trial.reason + note)
        return best

    def _exploit(
        self,
        query: Query,
        sequences: list[tuple[str, ...]],
        gate: bool,
        note: str,
        timely: list[str],
    ) -> Cascade | failures.Failure:
        if not sequences:
            return self._fall_back(query, timely, note)
        bar = self._compute_quality_bar(query)
        best: tuple[float, tuple[str, ...]] | None = None
        strongest: tuple[float, tuple[str, ...]] | None = None
        for steps in sequences:
            forecast = self._forecast(query, steps)
            quality = forecast.quality - LOWER_SIGMAS * forecast.deviation
            if strongest is None or quality > strongest[0]:
                strongest = (quality, steps)
            if quality < bar or forecast.ratings < _get_min_ratings(query):
                continue
            cost = _sum_cost(query, steps, forecast.reaches) / max(
                quality, 1e-6
            )
            if best is None or (cost, steps) < best:
                best = (cost, steps)
        if best is not None:
            text = f"cheapest sequence that meets {bar:.3f}"
            choice = self._evaluate(query, best[1], gate, -LOWER_SIGMAS)
            return dataclasses.replace(choice, reason=text + note)
        assert strongest is not None
        # Without trials, the dearest of those left may be unproven too.
        pool = timely if query.policy.explore else list(query.versions)
        dearest = _find_dearest(query, pool)
        if dearest not in timely or self._is_proven(query, (dearest,)):
            text = f"no sequence is known to meet {bar:.3f}; best quality"
            choice = self._evaluate(query, strongest[1], gate, -LOWER_SIGMAS)
            return dataclasses.replace(choice, reason=text + note)
        return self._take_dearest(query, timely, "too few ratings", note)

    def _fall_back(
        self, query: Query, timely: list[str], note: str
    ) -> Cascade | failures.Failure:
        """Returns the cascade if trials are off and no sequence is proven."""
        if _find_dearest(query, query.versions) in timely:
            return self._take_dearest(query, timely, "no proven version", note)
        return failures.NoUpstream(
            "The kind forbids trials and no proven version can take the"
            " request now.",
            retry_after_s=1.0,
        )

    def _take_dearest(
        self, query: Query, timely: list[str], why: str, note: str
    ) -> Cascade:
        dearest = _find_dearest(query, timely)
        gate = query.policy.gate and not query.conditions.ratings_down
        choice = self._evaluate(query, (dearest,), gate, 0.0)
        return dataclasses.replace(choice, reason=f"{why}; dearest" + note)

    def _find_trial(
        self,
        query: Query,
        sequences: list[tuple[str, ...]],
        gate: bool,
        best: Cascade,
    ) -> Cascade | None:
        """Returns a trial of the version most likely to save cost, if any."""
        dearest = _find_dearest(query, query.versions)
        found: tuple[float, int, tuple[str, ...]] | None = None
        for version in query.versions:
            price = query.prices.get(version, 0.0)
            steps = (version, dearest) if gate else (version,)
            if price >= best.expected_cost or steps not in sequences:
                continue
            forecast = self._forecast(query, (version,))
            # With a gate a step pays off if it saves enough dear responses.
            needed = query.policy.quality_target
            if gate:
                needed = price / max(price, query.prices.get(dearest, 0.0))
                # Later steps matter too; `_sample_trial` draws them all.
                if forecast.ratings >= MIN_RATINGS:
                    continue
            upper_bound = forecast.quality + UPPER_SIGMAS * forecast.deviation
            # Two early rejections must not rule a version out for good.
            if forecast.ratings >= MIN_TRIAL_RATINGS and upper_bound < needed:
                continue
            # A random draw favours versions that are likely to be good.
            if self._rng.gauss(forecast.quality, forecast.deviation) < needed:
                continue
            saving = best.expected_cost - price
            if found is None or saving > found[0]:
                found = (saving, forecast.ratings, steps)
        if found is None:
            return None
        choice = self._evaluate(query, found[2], gate, 0.0)
        reason = f"trial of {found[2][0]} with {found[1]} ratings"
        return dataclasses.replace(choice, trial_cost=1.0, reason=reason)

    def _sample_trial(
        self,
        query: Query,
        sequences: list[tuple[str, ...]],
        gate: bool,
        best: Cascade,
    ) -> Cascade | None:
        """Returns the best trial for qualities drawn from the posteriors."""
        if self._get_credit(query) < THOMPSON_COST:
            return None
        if self._rng.random() >= THOMPSON_SHARE:
            return None
        draws: dict[quality_estimator.EstimateKey, float] = {}
        found: Cascade | None = None
        for steps in sequences:
            reaches = [1.0]
            for index, version in enumerate(steps):
                key = quality_estimator.EstimateKey(
                    query.workspace, query.policy.name, version, steps[:index]
                )
                if key not in draws:
                    estimate = self._estimator.estimate(key)
                    draws[key] = self._rng.betavariate(
                        estimate.alpha, estimate.beta
                    )
                reaches.append(reaches[-1] * (1.0 - draws[key]))
            cost = _sum_cost(query, steps, reaches)
            quality = 1.0 - reaches[-1]
            choice = Cascade(steps, gate, THOMPSON_COST, cost, quality, "")
            if quality < query.policy.quality_target:
                continue
            if found is None or _rank_cost(choice) < _rank_cost(found):
                found = choice
        if found is None or found.expected_cost >= best.expected_cost:
            return None
        return dataclasses.replace(found, reason="trial by a posterior draw")

    def _evaluate(
        self, query: Query, steps: tuple[str, ...], gate: bool, sigmas: float
    ) -> Cascade:
        """Returns a sequence with its cost, and quality shifted by `sigmas`."""
        forecast = self._forecast(query, steps)
        quality = forecast.quality + sigmas * forecast.deviation
        cost = _sum_cost(query, steps, forecast.reaches)
        return Cascade(steps, gate, 0.0, cost, quality, "")

    def _forecast(
        self, query: Query, steps: tuple[str, ...]
    ) -> forecasts.Forecast:
        return self._forecasts.get(query.workspace, query.policy.name, steps)

    def _is_proven(self, query: Query, steps: tuple[str, ...]) -> bool:
        return self._forecast(query, steps).ratings >= _get_min_ratings(query)

    def _get_credit(self, query: Query) -> float:
        return self._credit.get((query.workspace, query.policy.name), 1.0)

    def _compute_quality_bar(self, query: Query) -> float:
        """Returns the target, raised while delivered responses miss it."""
        target = query.policy.quality_target
        delivered = self._forecast(query, ("",))
        if delivered.ratings < MIN_RATINGS:
            return target
        missed = max(0.0, target - delivered.quality)
        return min(1.0, target + min(MAX_TARGET_INCREASE, missed))

    def _can_explore(self, query: Query, gate: bool) -> bool:
        """Returns whether credit and delivered quality allow a trial."""
        if self._get_credit(query) < 1.0:
            return False
        if gate:
            return True
        delivered = self._forecast(query, ("",))
        if delivered.ratings < MIN_RATINGS:
            return False
        return delivered.quality >= query.policy.quality_target


def _find_dearest(query: Query, versions: Sequence[str]) -> str:
    return max(versions, key=lambda v: (query.prices.get(v, 0.0), v))


def _get_min_ratings(query: Query) -> int:
    return MIN_TRIAL_RATINGS if query.policy.explore else MIN_RATINGS


def _sum_cost(
    query: Query, steps: tuple[str, ...], reaches: Sequence[float]
) -> float:
    cost = 0.0
    for version, reach in zip(steps, reaches, strict=False):
        cost += reach * query.prices.get(version, 0.0)
    return cost


def _rank_cost(choice: Cascade) -> tuple[float, tuple[str, ...]]:
    """Returns the cost per accepted response; names break ties."""
    return choice.expected_cost / max(
        choice.expected_quality, 1e-6
    ), choice.steps


def _list_sequences(
    query: Query, timely: list[str], gate: bool
) -> list[tuple[str, ...]]:
    """Returns the sequences that end before the deadline."""
    if not gate:
        return [(version,) for version in timely]
    durations = query.conditions.durations_s
    sequences = []
    for length in range(1, min(MAX_STEPS, len(timely)) + 1):
        for steps in itertools.combinations(timely, length):
            needed = sum(durations.get(v, 0.0) for v in steps)
            needed += query.conditions.rating_wait_s * (length - 1)
            if needed <= query.remaining_s:
                sequences.append(steps)
    return sequences


def _describe_limits(query: Query, free: int, timely: int) -> str:
    """Describes how many versions capacity and deadline ruled out."""
    notes = []
    if free < len(query.versions):
        notes.append(f"{len(query.versions) - free} at capacity")
    if timely < free:
        notes.append(f"{free - timely} too slow for the deadline")
    return f" ({', '.join(notes)})" if notes else ""
