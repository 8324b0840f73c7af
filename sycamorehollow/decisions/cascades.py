"""Choice of the versions that a request tries, cheapest sufficient first."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import random

from sycamorehollow.decisions import learning
from sycamorehollow.decisions import parts
from sycamorehollow.model import commands
from sycamorehollow.model import deployment as deployments
from sycamorehollow.model import events
from sycamorehollow.model import failures

# Longer sequences cost more time than a third rejection is worth.
MAX_STEPS = 3
# Own ratings from which a version counts as known in a kind.
EVIDENCE_RATINGS = 30
# Standard deviations that an estimate must lie above the target.
CAUTION = 1.0
# Share of requests that may be used to learn. A gate catches a bad answer of
# the trial, so gated kinds can afford more of them.
EXPLORE_SHARE = 0.08
EXPLORE_SHARE_GATED = 0.15
EXPLORE_BURST = 4.0
# Largest amount by which a missed target raises the bar for the next choice.
MAX_CORRECTION = 0.05
# Estimates are read again after this many changes of a kind.
REFRESH_CHANGES = 8


@dataclasses.dataclass(frozen=True)
class Conditions:
    """What the pools look like for one request.

    Attributes:
        durations_s: Expected seconds until the answer of each version ends.
        full: Versions that no upstream can take now.
        rating_s: Seconds that the gate waits for a rating.
        rating_down: Whether the rating service gives no ratings.
    """

    durations_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    full: frozenset[str] = frozenset()
    rating_s: float = 0.0
    rating_down: bool = False


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request that needs a choice.

    Attributes:
        workspace: Name of the workspace.
        policy: How the workspace wants the kind handled.
        versions: The versions to choose from, as `versions.resolve` gives
            them; a sequence tries them in this order.
        prices: Expected price of one answer of each version.
        remaining_s: Seconds until the deadline.
        conditions: State of the pools.
    """

    workspace: str
    policy: deployments.KindPolicy
    versions: tuple[str, ...]
    prices: Mapping[str, float]
    remaining_s: float
    conditions: Conditions = dataclasses.field(default_factory=Conditions)


@dataclasses.dataclass(frozen=True)
class Choice:
    """What a request tries.

    Attributes:
        steps: Versions in order; the next one runs after a rejection.
        gate: Whether answers are rated before delivery.
        explored: Whether the choice is a trial.
        expected_cost: Expected price of all attempts.
        expected_quality: Expected share of accepted answers.
        reason: One sentence for the log.
    """

    steps: tuple[str, ...]
    gate: bool
    explored: bool
    expected_cost: float
    expected_quality: float
    reason: str


@dataclasses.dataclass(frozen=True)
class ChoiceMade(events.Event):
    """A request runs on a choice."""

    workspace: str
    kind: str
    choice: Choice


def price_versions(
    versions: Mapping[str, deployments.Version],
    names: tuple[str, ...],
    prompt_tokens: int,
    output_tokens: int,
) -> dict[str, float]:
    """Returns the expected price of one answer in micro-units of currency."""
    prices = {}
    for name in names:
        version = versions[name]
        prompt = version.prompt_price * prompt_tokens
        prices[name] = (prompt + version.output_price * output_tokens) / 1000
    return prices


class Cascades(parts.Part):
    """Chooses the sequence of versions for each request.

    Args:
        estimates: Where the quality estimates come from.
        randomness: Source of the draws for trials.
    """

    def __init__(
        self, estimates: learning.Learning, randomness: random.Random
    ) -> None:
        self._learning = estimates
        self._random = randomness
        self._credit: dict[tuple[str, str], float] = {}
        self._cache: dict[learning.Key, tuple[int, learning.Estimate]] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; only choices change the budget for trials."""
        if isinstance(event, ChoiceMade):
            pair = (event.workspace, event.kind)
            share = EXPLORE_SHARE_GATED if event.choice.gate else EXPLORE_SHARE
            credit = self._credit.get(pair, 1.0) + share
            credit -= 1.0 if event.choice.explored else 0.0
            self._credit[pair] = min(EXPLORE_BURST, credit)
        elif isinstance(event, learning.DeploymentChanged):
            self._credit.clear()
            self._cache.clear()
        return []

    def choose(self, ask: Ask) -> Choice | failures.Failure:
        """Returns the sequence for a request, with the reason."""
        if not ask.versions:
            return failures.NotAllowed("No version is allowed for the request.")
        free = [v for v in ask.versions if v not in ask.conditions.full]
        if not free:
            return failures.NoUpstream(
                "Every allowed version is at capacity.", retry_after_s=1.0
            )
        timely = [
            v
            for v in free
            if ask.conditions.durations_s.get(v, 0.0) <= ask.remaining_s
        ]
        if not timely:
            return failures.DeadlineExceeded(
                "No allowed version can answer before the deadline."
            )
        gate = ask.policy.gate and not ask.conditions.rating_down
        note = _describe_limits(ask, len(free), len(timely))
        sequences = _list_sequences(ask, timely, gate)
        if not ask.policy.explore:
            known = [s for s in sequences if self._is_proven(ask, s)]
            return self._exploit(ask, known, gate, note, timely)
        if ask.policy.gate and ask.conditions.rating_down:
            return self._take_dearest(ask, timely, "ratings are down", note)
        if self._may_explore(ask, gate):
            trial = self._explore(ask, sequences, gate)
            if trial is not None:
                return dataclasses.replace(trial, reason=trial.reason + note)
        return self._exploit(ask, sequences, gate, note, timely)

    def _exploit(
        self,
        ask: Ask,
        sequences: list[tuple[str, ...]],
        gate: bool,
        note: str,
        timely: list[str],
    ) -> Choice | failures.Failure:
        if not sequences:
            return self._fall_back(ask, timely, note)
        bar = self._find_bar(ask)
        best: Choice | None = None
        strongest: Choice | None = None
        for steps in sequences:
            known = self._is_proven(ask, steps)
            choice = self._weigh(ask, steps, gate, -CAUTION)
            if strongest is None or (
                choice.expected_quality > strongest.expected_quality
            ):
                strongest = choice
            if not known or choice.expected_quality < bar:
                continue
            if best is None or _rate_cost(choice) < _rate_cost(best):
                best = choice
        if best is not None:
            text = f"cheapest sequence that meets {bar:.3f}"
            return dataclasses.replace(best, reason=text + note)
        assert strongest is not None
        # Without trials, the dearest of what is left may be unproven too.
        pool = timely if ask.policy.explore else list(ask.versions)
        dearest = _find_dearest(ask, pool)
        if dearest not in timely or self._is_proven(ask, (dearest,)):
            text = f"no sequence is known to meet {bar:.3f}; best quality"
            return dataclasses.replace(strongest, reason=text + note)
        return self._take_dearest(ask, timely, "too few ratings", note)

    def _fall_back(
        self, ask: Ask, timely: list[str], note: str
    ) -> Choice | failures.Failure:
        """Answers when exploring is forbidden and no version is proven."""
        if _find_dearest(ask, ask.versions) in timely:
            return self._take_dearest(ask, timely, "no proven version", note)
        return failures.NoUpstream(
            "The kind forbids trials and no proven version can take the"
            " request now.",
            retry_after_s=1.0,
        )

    def _take_dearest(
        self, ask: Ask, timely: list[str], why: str, note: str
    ) -> Choice:
        dearest = _find_dearest(ask, timely)
        gate = ask.policy.gate and not ask.conditions.rating_down
        choice = self._weigh(ask, (dearest,), gate, 0.0)
        return dataclasses.replace(choice, reason=f"{why}; dearest" + note)

    def _explore(
        self, ask: Ask, sequences: list[tuple[str, ...]], gate: bool
    ) -> Choice | None:
        """Draws a quality for each step and takes the best under the draw."""
        draws: dict[learning.Key, float] = {}
        best: Choice | None = None
        for steps in sequences:
            choice = self._weigh(ask, steps, gate, 0.0, draws)
            if choice.expected_quality < ask.policy.quality_target:
                continue
            if best is None or _rate_cost(choice) < _rate_cost(best):
                best = choice
        if best is None:
            return None
        return dataclasses.replace(
            best, explored=True, reason="trial by a posterior draw"
        )

    def _weigh(
        self,
        ask: Ask,
        steps: tuple[str, ...],
        gate: bool,
        sigmas: float,
        draws: dict[learning.Key, float] | None = None,
    ) -> Choice:
        """Returns expected cost and quality of a sequence."""
        reach = 1.0
        cost = 0.0
        variance = 0.0
        for index, version in enumerate(steps):
            key = learning.Key(
                ask.workspace, ask.policy.name, version, steps[:index]
            )
            estimate = self._estimate(key)
            share = estimate.mean
            if draws is not None:
                if key not in draws:
                    draws[key] = self._random.betavariate(
                        estimate.alpha, estimate.beta
                    )
                share = draws[key]
            cost += reach * ask.prices.get(version, 0.0)
            # Each deviation counts as far as requests reach the step.
            miss = 1.0 - share
            variance = variance * miss**2 + (reach * estimate.deviation) ** 2
            reach *= miss
        quality = 1.0 - reach + sigmas * variance**0.5
        return Choice(steps, gate, False, cost, quality, "")

    def _estimate(self, key: learning.Key) -> learning.Estimate:
        changes = self._learning.count_changes(key.workspace, key.kind)
        cached = self._cache.get(key)
        if cached is not None and changes - cached[0] < REFRESH_CHANGES:
            return cached[1]
        if len(self._cache) >= 2 * learning.MAX_TRACKS:
            self._cache.clear()
        estimate = self._learning.estimate(key)
        self._cache[key] = (changes, estimate)
        return estimate

    def _is_proven(self, ask: Ask, steps: tuple[str, ...]) -> bool:
        for version in steps:
            key = learning.Key(ask.workspace, ask.policy.name, version)
            if self._learning.count_ratings(key) < EVIDENCE_RATINGS:
                return False
        return True

    def _delivered(self, ask: Ask) -> learning.Estimate:
        return self._estimate(learning.Key(ask.workspace, ask.policy.name, ""))

    def _find_bar(self, ask: Ask) -> float:
        """Returns the target, raised while delivered answers miss it."""
        target = ask.policy.quality_target
        delivered = self._delivered(ask)
        if delivered.ratings < EVIDENCE_RATINGS:
            return target
        missed = max(0.0, target - delivered.mean)
        return min(1.0, target + min(MAX_CORRECTION, missed))

    def _may_explore(self, ask: Ask, gate: bool) -> bool:
        """Tells whether the budget and the delivered quality allow a trial."""
        if self._credit.get((ask.workspace, ask.policy.name), 1.0) < 1.0:
            return False
        if gate:
            return True
        delivered = self._delivered(ask)
        if delivered.ratings < EVIDENCE_RATINGS:
            return False
        return delivered.mean >= ask.policy.quality_target


def _find_dearest(ask: Ask, versions: Sequence[str]) -> str:
    return max(versions, key=lambda v: (ask.prices.get(v, 0.0), v))


def _rate_cost(choice: Choice) -> tuple[float, tuple[str, ...]]:
    """Returns the cost per accepted answer; names break ties."""
    return choice.expected_cost / max(
        choice.expected_quality, 1e-6
    ), choice.steps


def _list_sequences(
    ask: Ask, timely: list[str], gate: bool
) -> list[tuple[str, ...]]:
    """Returns the sequences that end before the deadline."""
    if not gate:
        return [(version,) for version in timely]
    durations = ask.conditions.durations_s
    sequences = []
    for length in range(1, min(MAX_STEPS, len(timely)) + 1):
        for steps in itertools.combinations(timely, length):
            needed = sum(durations.get(v, 0.0) for v in steps)
            needed += ask.conditions.rating_s * (length - 1)
            if needed <= ask.remaining_s:
                sequences.append(steps)
    return sequences


def _describe_limits(ask: Ask, free: int, timely: int) -> str:
    """Returns what the pools and the deadline ruled out."""
    notes = []
    if free < len(ask.versions):
        notes.append(f"{len(ask.versions) - free} at capacity")
    if timely < free:
        notes.append(f"{free - timely} too slow for the deadline")
    return f" ({', '.join(notes)})" if notes else ""
