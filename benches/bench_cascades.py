"""Cost at the quality target of the choice of versions.

Models of unlike cost and quality serve kinds of unlike difficulty. Ratings are
late, partial and noisy, and the quality of some versions drifts in mid-run.
Three processes share what they learn by digest exchange.
"""

import dataclasses
import functools
import heapq
import itertools
import random

from benches import pool
from benches import results
from sycamorehollow.decisions.cascading import cascade_selector
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.model import deployment

SEEDS = (1, 2, 3)
PROCESSES = 3
REQUESTS = 60_000
REQUESTS_PER_S = 100.0
RATED_SHARE = 0.6
THRESHOLD = 0.7
# Share of requests whose difficulty all versions see alike.
COMMON_DIFFICULTY = 0.6
# Chance that the rating of a good and of a bad answer reaches the threshold.
ACCEPTED_GOOD = 0.9522
ACCEPTED_BAD = 0.0062
DIFFICULTIES = 200
PRICES = {"tiny": 1.0, "small": 4.0, "medium": 12.0, "large": 40.0}
VERSIONS = tuple(PRICES)
# Kind → (gate, target, share of good answers by version).
KINDS = {
    "check": (False, 0.88, (0.97, 0.975, 0.98, 0.985)),
    "caption": (False, 0.86, (0.75, 0.95, 0.965, 0.985)),
    "chapter": (True, 0.88, (0.40, 0.65, 0.88, 0.97)),
}
WORKSPACES = {"a": 3, "b": 3, "c": 2, "d": 1, "e": 1}
# In mid-run a version gets worse for a large and a small workspace, and
# another one gets better.
DRIFTS = {
    ("a", "caption", "small"): 0.78,
    ("d", "caption", "small"): 0.78,
    ("b", "chapter", "small"): 0.90,
}
PHASES = ("learning", "settled", "drift", "resettled")
# A cascade as operators write it; ungated kinds get its first step.
FIXED = ("tiny", "medium", "large")
Steps = tuple[str, ...]
CONFIGURED = quality_estimator.DeploymentChanged(
    deployment.Deployment(
        workspaces={
            name: deployment.Workspace(
                name, "team", (), frozenset(VERSIONS), frozenset()
            )
            for name in WORKSPACES
        }
    )
)


class World:
    """True quality of the versions, and what ratings make of it."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._good: dict[tuple[str, str, str], float] = {}
        for workspace, kind in itertools.product(WORKSPACES, KINDS):
            for version, good in zip(VERSIONS, KINDS[kind][2], strict=True):
                shift = self._random.uniform(-0.01, 0.01)
                self._good[(workspace, kind, version)] = good + shift
        # One workspace is unlike its neighbours.
        self._good[("c", "caption", "small")] = 0.80

    def drift(self) -> None:
        """Changes the quality of some versions."""
        self._good.update(DRIFTS)

    def rate(self, where: tuple[str, str, str], difficulty: float) -> float:
        """Returns the rating of one answer."""
        draw = difficulty
        if self._random.random() > COMMON_DIFFICULTY:
            draw = self._random.random()
        mean = 0.9 if draw < self._good[where] else 0.4
        return min(1.0, max(0.0, self._random.gauss(mean, 0.12)))

    def expect(self, workspace: str, kind: str, steps: Steps) -> "Total":
        """Returns what a request costs and achieves on average."""
        total = Total(requests=1)
        for point in range(DIFFICULTIES):
            difficulty = (point + 0.5) / DIFFICULTIES
            reach = 1.0
            for version in steps:
                good = self._good[(workspace, kind, version)]
                alike = ACCEPTED_GOOD if difficulty < good else ACCEPTED_BAD
                alone = good * ACCEPTED_GOOD + (1 - good) * ACCEPTED_BAD
                share = COMMON_DIFFICULTY * alike
                share += (1 - COMMON_DIFFICULTY) * alone
                total.cost += reach * PRICES[version] / DIFFICULTIES
                reach *= 1 - share
            total.accepted += (1 - reach) / DIFFICULTIES
        return total

    def find_best(self, workspace: str, kind: str) -> Steps:
        """Returns the cheapest sequence that meets the target."""
        gate, target, _ = KINDS[kind]
        lengths = range(1, cascade_selector.MAX_STEPS + 1 if gate else 2)
        best: tuple[float, Steps] | None = None
        for length in lengths:
            for steps in itertools.combinations(VERSIONS, length):
                total = self.expect(workspace, kind, steps)
                if total.quality() < target:
                    continue
                if best is None or total.price() < best[0]:
                    best = (total.price(), steps)
        return best[1] if best else VERSIONS[-1:]

    def answer(
        self, workspace: str, kind: str, steps: Steps, gate: bool
    ) -> tuple[float, bool, list[tuple[str, float]]]:
        """Returns cost, acceptance and the rated attempts of a request."""
        difficulty = self._random.random()
        cost = 0.0
        attempts = []
        for version in steps if gate else steps[:1]:
            score = self.rate((workspace, kind, version), difficulty)
            cost += PRICES[version]
            attempts.append((version, score))
            if score >= THRESHOLD:
                break
        return cost, attempts[-1][1] >= THRESHOLD, attempts


@dataclasses.dataclass
class Total:
    """Sums over requests."""

    cost: float = 0.0
    accepted: float = 0.0
    requests: int = 0

    def add(self, other: "Total") -> None:
        """Adds other requests."""
        self.cost += other.cost
        self.accepted += other.accepted
        self.requests += other.requests

    def quality(self) -> float:
        """Returns the share of accepted answers."""
        return self.accepted / max(1, self.requests)

    def price(self) -> float:
        """Returns the cost per accepted answer."""
        return self.cost / max(1, self.accepted)


class Router:
    """Three processes that choose, deliver and learn."""

    def __init__(self, seed: int, world: World) -> None:
        self._world = world
        self._random = random.Random(seed + 1000)
        self._parts = []
        for index in range(PROCESSES):
            estimates = quality_estimator.QualityEstimator(f"p{index}")
            choice = cascade_selector.CascadeSelector(
                estimates, random.Random(seed + index)
            )
            choice.handle(CONFIGURED, 0.0)
            estimates.handle(CONFIGURED, 0.0)
            self._parts.append((estimates, choice))
        self._ratings: list[tuple[float, int, int, str, float]] = []
        self._number = 0
        self._next_exchange = 0.0

    def serve(self, workspace: str, kind: str, now: float) -> Total:
        """Serves one request and returns its cost and acceptance."""
        self._deliver_ratings(now)
        if now >= self._next_exchange:
            self._next_exchange = now + 1.0
            self._exchange(now)
        index = self._random.randrange(PROCESSES)
        estimates, chooser = self._parts[index]
        gate, target, _ = KINDS[kind]
        policy = deployment.KindPolicy(
            kind, THRESHOLD, target, gate=gate, explore=True
        )
        ask = cascade_selector.Query(workspace, policy, VERSIONS, PRICES, 60.0)
        choice = chooser.choose(ask)
        assert isinstance(choice, cascade_selector.Cascade)
        chooser.handle(
            cascade_selector.ChoiceMade(workspace, kind, choice), now
        )
        cost, accepted, attempts = self._world.answer(
            workspace, kind, choice.steps, choice.gate
        )
        for step, (version, score) in enumerate(attempts):
            self._number += 1
            name = str(self._number)
            key = quality_estimator.EstimateKey(
                workspace, kind, version, choice.steps[:step]
            )
            final = step == len(choice.steps) - 1
            event = quality_estimator.ResponseProduced(
                name, key, THRESHOLD, final
            )
            estimates.handle(event, now)
            self._rate(index, name, score, choice.gate, now)
        return Total(cost, float(accepted), 1)

    def _rate(
        self, index: int, name: str, score: float, gate: bool, now: float
    ) -> None:
        if gate:
            event = quality_estimator.RatingArrived(name, score)
            self._parts[index][0].handle(event, now)
        elif self._random.random() < RATED_SHARE:
            due = now + self._random.uniform(1.0, 10.0)
            item = (due, self._number, index, name, score)
            heapq.heappush(self._ratings, item)

    def _deliver_ratings(self, now: float) -> None:
        while self._ratings and self._ratings[0][0] <= now:
            _, _, index, name, score = heapq.heappop(self._ratings)
            event = quality_estimator.RatingArrived(name, score)
            self._parts[index][0].handle(event, now)

    def _exchange(self, now: float) -> None:
        one, two = self._random.sample([p[0] for p in self._parts], 2)
        two.merge(one.build_delta(two.build_digest(now), now), now)
        one.merge(two.build_delta(one.build_digest(now), now), now)


Group = tuple[str, str, str]


@dataclasses.dataclass
class Report:
    """Totals of one run by (phase, workspace, kind) for each policy."""

    routed: dict[Group, Total]
    hindsight: dict[Group, Total]
    dearest: dict[Group, Total]
    fixed: dict[Group, Total]

    def compare(self, phases: tuple[str, ...]) -> float:
        """Returns the cost per accepted answer relative to hindsight."""
        return self.price("routed", phases) / self.price("hindsight", phases)

    def price(self, policy: str, phases: tuple[str, ...]) -> float:
        """Returns the cost per accepted answer in some phases."""
        cost = accepted = 0.0
        for group, total in getattr(self, policy).items():
            if group[0] in phases:
                cost += total.cost
                accepted += total.accepted
        return cost / accepted

    def find_worst(self, policy: str, phases: tuple[str, ...]) -> float:
        """Returns the smallest margin over the target of a workspace's kind."""
        sums: dict[tuple[str, str], Total] = {}
        for (phase, workspace, kind), total in getattr(self, policy).items():
            if phase in phases:
                joint = sums.setdefault((workspace, kind), Total())
                joint.accepted += total.accepted
                joint.requests += total.requests
        return min(t.quality() - KINDS[key[1]][1] for key, t in sums.items())


def simulate(seed: int) -> Report:
    """Runs the processes and the policies to compare on the same world."""
    world = World(seed)
    router = Router(seed, world)
    randomness = random.Random(seed + 2000)
    names = list(WORKSPACES)
    weights = list(WORKSPACES.values())
    report = Report({}, {}, {}, {})
    expected: dict[tuple[str, str], list[Total]] = {}
    for number in range(REQUESTS):
        if number == REQUESTS // 2:
            world.drift()
            expected = {}
        workspace = randomness.choices(names, weights)[0]
        kind = randomness.choice(list(KINDS))
        phase = PHASES[4 * number // REQUESTS]
        group = (phase, workspace, kind)
        if (workspace, kind) not in expected:
            fixed = FIXED if KINDS[kind][0] else FIXED[:1]
            best = world.find_best(workspace, kind)
            expected[(workspace, kind)] = [
                world.expect(workspace, kind, steps)
                for steps in (best, VERSIONS[-1:], fixed)
            ]
        compared = (report.hindsight, report.dearest, report.fixed)
        for totals, total in zip(
            compared, expected[(workspace, kind)], strict=True
        ):
            totals.setdefault(group, Total()).add(total)
        outcome = router.serve(workspace, kind, number / REQUESTS_PER_S)
        report.routed.setdefault(group, Total()).add(outcome)
    return report


@functools.cache
def collect() -> tuple[Report, ...]:
    """Returns the reports of all seeds."""
    return tuple(pool.run_all(simulate, [(seed,) for seed in SEEDS]))


def run() -> list[results.Result]:
    """Compares cost and quality; each figure is the worst of the seeds."""
    reports = collect()
    after = ("settled", "resettled")
    found = []
    ratios = [report.compare(after) for report in reports]
    margins = [report.find_worst("routed", after) for report in reports]
    found.append(
        results.Result(
            "cascades: cost against hindsight after learning, worst seed",
            max(ratios),
            1.10,
        )
    )
    found.append(
        results.Result(
            "cascades: the same, best seed",
            min(ratios),
        )
    )
    found.append(
        results.Result(
            "cascades: the same, mean of seeds", sum(ratios) / len(ratios)
        )
    )
    found.append(
        results.Result(
            "cascades: accepted share over the target, worst kind of a"
            " workspace and seed",
            min(margins),
            0.0,
            at_most=False,
        )
    )
    found.append(results.Result("cascades: the same, best seed", max(margins)))
    return found + describe_phases(reports) + describe_policies(reports)


def describe_phases(reports: tuple[Report, ...]) -> list[results.Result]:
    """Returns cost and quality of each quarter of the run."""
    found = []
    for phase in PHASES:
        found.append(
            results.Result(
                f"cascades: cost against hindsight, phase {phase}, worst seed",
                max(report.compare((phase,)) for report in reports),
            )
        )
        found.append(
            results.Result(
                f"cascades: margin over the target, phase {phase}, worst seed",
                min(r.find_worst("routed", (phase,)) for r in reports),
            )
        )
    return found


def describe_policies(reports: tuple[Report, ...]) -> list[results.Result]:
    """Returns cost and quality of each policy over the whole run."""
    found = []
    for policy in ("routed", "hindsight", "dearest", "fixed"):
        prices = [report.price(policy, PHASES) for report in reports]
        found.append(
            results.Result(
                f"cascades: cost per accepted answer, {policy}, worst seed",
                max(prices),
            )
        )
        found.append(
            results.Result(
                f"cascades: margin over the target, {policy}, worst seed",
                min(report.find_worst(policy, PHASES) for report in reports),
            )
        )
    return found
