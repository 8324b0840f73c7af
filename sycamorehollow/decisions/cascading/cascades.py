"""Choice of the versions that a request tries, cheapest sufficient first."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.cascading import learning
from sycamorehollow.decisions.cascading import outlooks
from sycamorehollow.model import commands
from sycamorehollow.model import deployment as deployments
from sycamorehollow.model import events
from sycamorehollow.model import failures

# Longer sequences cost more time than a third rejection is worth.
MAX_STEPS = 3
# Own ratings from which a version counts as known in a kind.
EVIDENCE_RATINGS = 30
# Where trials are allowed, fewer do: the estimate is cautious by itself.
TRIED_RATINGS = 12
# Standard deviations that an estimate must lie above the target.
CAUTION = 0.8
# Standard deviations above its estimate that a version may turn out to have.
HOPE = 2.0
# Share of requests that may be used to learn. A gate catches a bad answer of
# a trial and costs little more, so gated kinds can afford more of them.
EXPLORE_SHARE = 0.35
EXPLORE_SHARE_GATED = 0.5
EXPLORE_BURST = 8.0
# A draw is spent on versions that are known already, so it has to be rarer.
DRAW_COST = 7.0
DRAW_SHARE = 0.15
# Largest amount by which a missed target raises the bar for the next choice.
MAX_CORRECTION = 0.05


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
        trial: What the choice takes from the budget for trials; 0 for none.
        expected_cost: Expected price of all attempts.
        expected_quality: Expected share of accepted answers.
        reason: One sentence for the log.
    """

    steps: tuple[str, ...]
    gate: bool
    trial: float
    expected_cost: float
    expected_quality: float
    reason: str


@dataclasses.dataclass(frozen=True)
class ChoiceMade(events.Event):
    """A request runs on a choice."""

    workspace: str
    kind: str
    choice: Choice


class Cascades(components.Component):
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
        self._outlooks = outlooks.Outlooks(estimates)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; only choices change the budget for trials."""
        if isinstance(event, ChoiceMade):
            pair = (event.workspace, event.kind)
            share = EXPLORE_SHARE_GATED if event.choice.gate else EXPLORE_SHARE
            credit = self._credit.get(pair, 1.0) + share
            self._credit[pair] = min(EXPLORE_BURST, credit - event.choice.trial)
        elif isinstance(event, learning.DeploymentChanged):
            self._credit.clear()
            self._outlooks.clear()
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
        best = self._exploit(ask, sequences, gate, note, timely)
        if isinstance(best, Choice) and self._may_explore(ask, gate):
            trial = self._find_trial(ask, sequences, gate, best)
            trial = trial or self._draw_trial(ask, sequences, gate, best)
            if trial is not None:
                return dataclasses.replace(trial, reason=trial.reason + note)
        return best

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
        best: tuple[float, tuple[str, ...]] | None = None
        strongest: tuple[float, tuple[str, ...]] | None = None
        for steps in sequences:
            outlook = self._look(ask, steps)
            quality = outlook.quality - CAUTION * outlook.deviation
            if strongest is None or quality > strongest[0]:
                strongest = (quality, steps)
            if quality < bar or outlook.ratings < _count_needed(ask):
                continue
            cost = _sum_cost(ask, steps, outlook.reaches) / max(quality, 1e-6)
            if best is None or (cost, steps) < best:
                best = (cost, steps)
        if best is not None:
            text = f"cheapest sequence that meets {bar:.3f}"
            choice = self._weigh(ask, best[1], gate, -CAUTION)
            return dataclasses.replace(choice, reason=text + note)
        assert strongest is not None
        # Without trials, the dearest of what is left may be unproven too.
        pool = timely if ask.policy.explore else list(ask.versions)
        dearest = _find_dearest(ask, pool)
        if dearest not in timely or self._is_proven(ask, (dearest,)):
            text = f"no sequence is known to meet {bar:.3f}; best quality"
            choice = self._weigh(ask, strongest[1], gate, -CAUTION)
            return dataclasses.replace(choice, reason=text + note)
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

    def _find_trial(
        self,
        ask: Ask,
        sequences: list[tuple[str, ...]],
        gate: bool,
        best: Choice,
    ) -> Choice | None:
        """Returns a trial of the version most likely to save cost, if any."""
        dearest = _find_dearest(ask, ask.versions)
        found: tuple[float, int, tuple[str, ...]] | None = None
        for version in ask.versions:
            price = ask.prices.get(version, 0.0)
            steps = (version, dearest) if gate else (version,)
            if price >= best.expected_cost or steps not in sequences:
                continue
            outlook = self._look(ask, (version,))
            # Behind a gate, a step pays when it spares enough dear answers.
            needed = ask.policy.quality_target
            if gate:
                needed = price / max(price, ask.prices.get(dearest, 0.0))
                # Later steps matter too, so draws of whole sequences follow.
                if outlook.ratings >= EVIDENCE_RATINGS:
                    continue
            hope = outlook.quality + HOPE * outlook.deviation
            # Two early rejections must not rule a version out for good.
            if outlook.ratings >= TRIED_RATINGS and hope < needed:
                continue
            # A draw prefers what may be good, and does not insist on it.
            if self._random.gauss(outlook.quality, outlook.deviation) < needed:
                continue
            worth = best.expected_cost - price
            if found is None or worth > found[0]:
                found = (worth, outlook.ratings, steps)
        if found is None:
            return None
        choice = self._weigh(ask, found[2], gate, 0.0)
        reason = f"trial of {found[2][0]} with {found[1]} ratings"
        return dataclasses.replace(choice, trial=1.0, reason=reason)

    def _draw_trial(
        self,
        ask: Ask,
        sequences: list[tuple[str, ...]],
        gate: bool,
        best: Choice,
    ) -> Choice | None:
        """Draws a quality for each step and takes the best under the draw."""
        if self._get_credit(ask) < DRAW_COST:
            return None
        if self._random.random() >= DRAW_SHARE:
            return None
        draws: dict[learning.Key, float] = {}
        found: Choice | None = None
        for steps in sequences:
            reaches = [1.0]
            for index, version in enumerate(steps):
                key = learning.Key(
                    ask.workspace, ask.policy.name, version, steps[:index]
                )
                if key not in draws:
                    estimate = self._learning.estimate(key)
                    draws[key] = self._random.betavariate(
                        estimate.alpha, estimate.beta
                    )
                reaches.append(reaches[-1] * (1.0 - draws[key]))
            cost = _sum_cost(ask, steps, reaches)
            quality = 1.0 - reaches[-1]
            choice = Choice(steps, gate, DRAW_COST, cost, quality, "")
            if quality < ask.policy.quality_target:
                continue
            if found is None or _rate_cost(choice) < _rate_cost(found):
                found = choice
        if found is None or found.expected_cost >= best.expected_cost:
            return None
        return dataclasses.replace(found, reason="trial by a posterior draw")

    def _weigh(
        self, ask: Ask, steps: tuple[str, ...], gate: bool, sigmas: float
    ) -> Choice:
        """Returns expected cost and quality of a sequence."""
        outlook = self._look(ask, steps)
        quality = outlook.quality + sigmas * outlook.deviation
        cost = _sum_cost(ask, steps, outlook.reaches)
        return Choice(steps, gate, 0.0, cost, quality, "")

    def _look(self, ask: Ask, steps: tuple[str, ...]) -> outlooks.Outlook:
        return self._outlooks.look(ask.workspace, ask.policy.name, steps)

    def _is_proven(self, ask: Ask, steps: tuple[str, ...]) -> bool:
        return self._look(ask, steps).ratings >= _count_needed(ask)

    def _get_credit(self, ask: Ask) -> float:
        return self._credit.get((ask.workspace, ask.policy.name), 1.0)

    def _find_bar(self, ask: Ask) -> float:
        """Returns the target, raised while delivered answers miss it."""
        target = ask.policy.quality_target
        delivered = self._look(ask, ("",))
        if delivered.ratings < EVIDENCE_RATINGS:
            return target
        missed = max(0.0, target - delivered.quality)
        return min(1.0, target + min(MAX_CORRECTION, missed))

    def _may_explore(self, ask: Ask, gate: bool) -> bool:
        """Tells whether the budget and the delivered quality allow a trial."""
        if self._get_credit(ask) < 1.0:
            return False
        if gate:
            return True
        delivered = self._look(ask, ("",))
        if delivered.ratings < EVIDENCE_RATINGS:
            return False
        return delivered.quality >= ask.policy.quality_target


def _find_dearest(ask: Ask, versions: Sequence[str]) -> str:
    return max(versions, key=lambda v: (ask.prices.get(v, 0.0), v))


def _count_needed(ask: Ask) -> int:
    return TRIED_RATINGS if ask.policy.explore else EVIDENCE_RATINGS


def _sum_cost(
    ask: Ask, steps: tuple[str, ...], reaches: Sequence[float]
) -> float:
    cost = 0.0
    for version, reach in zip(steps, reaches, strict=False):
        cost += reach * ask.prices.get(version, 0.0)
    return cost


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
