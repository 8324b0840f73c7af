"""Exposure to bad versions, false halts and misses of roll-outs."""

from collections.abc import Callable
import dataclasses
import random

from benches import pool
from benches import results
from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.decisions.releases import sequential_test
from sycamorehollow.decisions.releases import stops
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events

STAGES = (0.01, 0.05, 0.25, 0.5, 1.0)
DWELL_S = 60.0
HORIZON_S = 400
RATE = 60.0
GOOD_RATE = 15
UPSTREAMS = 5
DATA_CENTRES = 3
# Rates of the version in service.
REJECTED, FAILED, SLOW = 0.08, 0.005, 0.03
RATED = 0.6
ROLLOUT = deployment.Rollout("r", "team", "atlas", "v1", "v2", STAGES)
DEPLOYMENT = deployment.Deployment(
    rollouts={"r": ROLLOUT}, revisions={"team": 7}
)
PACE = rollouts.Pace(dwell_s=DWELL_S, outcomes=5, ratings=3)
# Name → (rejected, failed) of a new version.
DEGRADATIONS = {
    "rejects 12% for 8%": (0.12, FAILED),
    "rejects 20% for 8%": (0.20, FAILED),
    "rejects 50% for 8%": (0.50, FAILED),
    "fails 5% for 0.5%": (REJECTED, 0.05),
    "fails 50% for 0.5%": (REJECTED, 0.50),
}
GOOD = (REJECTED, FAILED)
Sick = Callable[[int, float], float]


@dataclasses.dataclass
class Outcome:
    """What one roll-out did.

    Attributes:
        exposed: Requests that the new version served.
        failures: Those among them that failed or were not accepted.
        halted_at: Time in seconds of the first stop; `None` without one.
    """

    exposed: int = 0
    failures: int = 0
    halted_at: float | None = None


class Node:
    """One process with its own view."""

    def __init__(self, index: int, seed: int) -> None:
        name = f"p{index}"
        self.evidence = sequential_test.Evidence(name)
        self.stops = stops.Stops(name)
        self.rollouts = rollouts.Rollouts(
            self.stops, self.evidence, random.Random(seed + index), PACE
        )
        self.rollouts.handle(rollouts.DeploymentChanged(DEPLOYMENT), 0.0)
        self.rollouts.handle(rollouts.CoordinatorChanged(index == 0), 0.0)
        self.run = self.rollouts.get_rollout_id("r")

    def replicated(self, evidence: bool) -> list:
        """Returns what takes part in the exchange."""
        shared: list = [self.stops, self.rollouts]
        return [*shared, self.evidence] if evidence else shared


class Fleet:
    """Processes, a store that answers at once, and traffic.

    Args:
        seed: Seed of the run.
        nodes: Number of processes.
        rate: Requests a second over all processes.
        arms: Rejected and failed share of the new version.
        shared: Whether processes exchange evidence.
        sick: Extra failures of an upstream at a time, for both versions.
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        rate: float,
        arms: tuple[float, float],
        shared: bool = True,
        sick: Sick = lambda upstream, now: 0.0,
    ) -> None:
        self._random = random.Random(seed)
        self._nodes = [Node(i, seed) for i in range(nodes)]
        self._rate = rate
        self._arms = arms
        self._shared = shared
        self._sick = sick
        self._revision = 10
        self._number = 0
        self._ratings: list[tuple[Node, sequential_test.AnswerRated]] = []
        self.outcome = Outcome()

    def play(self, seconds: int) -> Outcome:
        """Runs second by second until the end or until all have stopped."""
        for second in range(seconds):
            now = float(second)
            self._serve(now)
            for node in self._nodes:
                pushed = node.rollouts.handle(events.Tick(), now)
                for command in pushed:
                    self._carry_out(node, command, now)
            self._exchange(now)
            stopped = sum(
                "v2" in n.rollouts.list_stopped_versions() for n in self._nodes
            )
            if stopped and self.outcome.halted_at is None:
                self.outcome.halted_at = now
            if stopped == len(self._nodes):
                break
        return self.outcome

    def _serve(self, now: float) -> None:
        due, self._ratings = self._ratings, []
        for rated, rating in due:
            rated.evidence.handle(rating, now)
        for _ in range(int(self._rate)):
            node = self._random.choice(self._nodes)
            share = node.rollouts.get_shares()["r"]
            candidate = self._random.random() < share
            upstream = self._random.randrange(UPSTREAMS)
            rejected, failed = self._arms if candidate else GOOD
            failed += self._sick(upstream, now)
            self._number += 1
            event = sequential_test.AnswerEnded(
                str(self._number),
                node.run,
                candidate,
                f"u{upstream}",
                share,
                self._random.random() < failed,
                self._random.random() < SLOW,
            )
            node.evidence.handle(event, now)
            accepted = self._random.random() >= rejected
            if not event.failed and self._random.random() < RATED:
                late = sequential_test.AnswerRated(event.answer_id, accepted)
                self._ratings.append((node, late))
            self.outcome.exposed += int(candidate)
            bad = event.failed or not accepted
            self.outcome.failures += int(candidate and bad)

    def _carry_out(
        self, node: Node, command: commands.Command, now: float
    ) -> None:
        if isinstance(command, rollouts.RequestLease):
            granted = rollouts.LeaseGranted("r", now + command.ttl_s)
            node.rollouts.handle(granted, now)
        elif isinstance(command, rollouts.ReadStage):
            node.rollouts.handle(rollouts.StageObserved("r", 0, b""), now)
        elif isinstance(command, rollouts.WriteStage):
            self._revision += 1
            seen = rollouts.StageObserved("r", self._revision, command.value)
            node.rollouts.handle(seen, now)
        elif isinstance(command, stops.PushStops):
            self._push(node, command.stops, now)

    def _push(
        self, node: Node, records: tuple[stops.Stop, ...], now: float
    ) -> None:
        """Pushes to the own data centre and one member of each other."""
        delta = node.stops.encode(records)
        origin = self._nodes.index(node) % DATA_CENTRES
        for index, other in enumerate(self._nodes):
            own = index % DATA_CENTRES == origin
            if own or index < DATA_CENTRES:
                other.stops.merge(delta, now)

    def _exchange(self, now: float) -> None:
        for node in self._nodes:
            peer = self._random.choice(self._nodes)
            mine = node.replicated(self._shared)
            theirs = peer.replicated(self._shared)
            for one, two in zip(mine, theirs, strict=True):
                two.merge(one.build_delta(two.build_digest(now), now), now)
                one.merge(two.build_delta(one.build_digest(now), now), now)


def run_fixed(rate: float, until_s: int) -> float:
    """Returns the exposure of stages that advance without a test."""
    total = 0.0
    for second in range(until_s):
        stage = min(int(second / DWELL_S), len(STAGES) - 1)
        total += rate * STAGES[stage]
    return total


def play_degradation(name: str, seed: int, shared: bool) -> Outcome:
    """Plays a degradation at 6 processes of 60 requests a second."""
    fleet = Fleet(seed, 6, RATE, DEGRADATIONS[name], shared=shared)
    return fleet.play(HORIZON_S)


def play_sick_centre(seed: int) -> Outcome:
    """Plays a bad version beside a sick data centre."""
    fleet = Fleet(seed, 6, RATE, (0.20, FAILED), sick=make_centre_sick)
    return fleet.play(HORIZON_S)


def measure_degradations() -> list[results.Result]:
    """Compares exposure with and without the test, and by one process."""
    found = []
    fixed = run_fixed(RATE, HORIZON_S)
    found.append(
        results.Result(
            f"rollouts: requests exposed without a test in {HORIZON_S} s", fixed
        )
    )
    asked = [(name, seed, True) for name in DEGRADATIONS for seed in range(5)]
    asked += [(name, seed, False) for name in DEGRADATIONS for seed in range(2)]
    played: dict[str, list[Outcome]] = {name: [] for name in DEGRADATIONS}
    played_alone: dict[str, list[Outcome]] = {name: [] for name in DEGRADATIONS}
    reports = pool.run_all(play_degradation, asked)
    for (name, _, shared), report in zip(asked, reports, strict=True):
        (played if shared else played_alone)[name].append(report)
    for name in DEGRADATIONS:
        runs = played[name]
        alone = played_alone[name]
        exposed = sorted(r.exposed for r in runs)
        missed = sum(r.halted_at is None for r in runs)
        prefix = f"rollouts: 6 processes, {name}:"
        found.extend(
            [
                results.Result(
                    f"{prefix} requests exposed, worst of 5",
                    exposed[-1],
                    0.5 * fixed,
                ),
                results.Result(f"{prefix} best of 5", exposed[0]),
                results.Result(f"{prefix} missed of 5", missed, 0),
                results.Result(
                    f"{prefix} each process alone, worst of 2",
                    max(r.exposed for r in alone),
                ),
            ]
        )
    return found


def halt_rate(sick: Sick) -> float:
    """Returns halts per hundred roll-outs of a version that is good."""
    asked = [(seed, sick) for seed in range(100, 200)]
    return float(sum(pool.run_all(halts_good, asked)))


def halts_good(seed: int, sick: Sick) -> bool:
    """Tells whether one roll-out of a good version is halted."""
    draws = random.Random(seed)
    run_name = stops.compute_rollout_id(ROLLOUT)
    evidence = sequential_test.Evidence("p")
    evidence.retain_rollouts([run_name])
    for second in range(int(DWELL_S) * (len(STAGES) - 1)):
        share = STAGES[int(second / DWELL_S)]
        for number in range(GOOD_RATE):
            upstream = draws.randrange(UPSTREAMS)
            event = sequential_test.AnswerEnded(
                f"{second}.{number}",
                run_name,
                draws.random() < share,
                f"u{upstream}",
                share,
                draws.random() < FAILED + sick(upstream, float(second)),
                draws.random() < SLOW,
            )
            evidence.handle(event, float(second))
            if draws.random() < RATED:
                accepted = draws.random() >= REJECTED
                rating = sequential_test.AnswerRated(event.answer_id, accepted)
                evidence.handle(rating, float(second))
        if sequential_test.evaluate(evidence.combine(run_name)).worse:
            return True
    return False


def make_none_sick(upstream: int, now: float) -> float:
    """Returns the added failures of healthy upstreams."""
    return 0.0


def make_upstream_sick(upstream: int, now: float) -> float:
    """Returns the added failures while one upstream is sick."""
    return 0.5 if upstream == 0 and 90 <= now < 200 else 0.0


def make_centre_sick(upstream: int, now: float) -> float:
    """Returns the added failures while a data centre is sick."""
    return 0.4 if upstream < 3 and 90 <= now < 200 else 0.0


def measure_blame() -> list[results.Result]:
    """Measures halts that are wrong, and a bad version on sick upstreams."""
    healthy = halt_rate(make_none_sick)
    one = halt_rate(make_upstream_sick)
    centre = halt_rate(make_centre_sick)
    both = pool.run_all(play_sick_centre, [(seed,) for seed in range(3)])
    bound = 100 * sequential_test.FALSE_POSITIVE_RATE
    return [
        results.Result(
            "rollouts: false halts per hundred good roll-outs (100 runs)",
            healthy,
            bound,
        ),
        results.Result(
            "rollouts: the same with a sick upstream (100 runs)", one, bound
        ),
        results.Result(
            "rollouts: the same with a sick data centre (100 runs)",
            centre,
            bound,
        ),
        results.Result(
            "rollouts: bad version missed beside a sick data centre, of 3",
            sum(r.halted_at is None for r in both),
            0,
        ),
    ]


def observe_large_fleet(seed: int, failed: float) -> tuple[int, float]:
    """Returns exposure and halt time at 370 processes' traffic.

    Each process sees 1/370 of 780 requests a second. Evidence reaches the
    process that stops first after a modelled lag, and the stop reaches the last
    one after another one; both lags are assumptions of this bench.
    """
    nodes, rate, lag_s = 370, 780, 12
    randomness = random.Random(seed)
    run_name = stops.compute_rollout_id(ROLLOUT)
    processes = [sequential_test.Evidence(f"p{i}") for i in range(nodes)]
    observer = sequential_test.Evidence("observer")
    for evidence in (*processes, observer):
        evidence.retain_rollouts([run_name])
    exposed = 0
    for second in range(120):
        for number in range(rate):
            evidence = randomness.choice(processes)
            candidate = randomness.random() < STAGES[0]
            exposed += int(candidate)
            chance = failed if candidate else FAILED
            event = sequential_test.AnswerEnded(
                f"{second}.{number}",
                run_name,
                candidate,
                f"u{randomness.randrange(10)}",
                STAGES[0],
                randomness.random() < chance,
            )
            evidence.handle(event, float(second))
        if second % 5:
            continue
        digest = observer.build_digest(float(second))
        for evidence in processes:
            observer.merge(evidence.build_delta(digest, 0.0), float(second))
        if sequential_test.evaluate(observer.combine(run_name)).worse:
            spread = int(2 * lag_s * rate * STAGES[0])
            return exposed + spread, second + 2.0 * lag_s
    return exposed, float("inf")


def run() -> list[results.Result]:
    """Measures exposure, misses and false halts."""
    found = measure_degradations() + measure_blame()
    rates = (0.05, 0.5)
    asked = [(seed, failed) for failed in rates for seed in range(2)]
    observed = pool.run_all(observe_large_fleet, asked)
    for index, failed in enumerate(rates):
        seen = observed[2 * index : 2 * index + 2]
        prefix = f"rollouts: 370 processes, fails {failed:.0%} for 0.5%:"
        found.append(
            results.Result(
                f"{prefix} requests exposed, worst of 2",
                max(exposed for exposed, _ in seen),
                # A stage of the fixed roll-out exposes this many.
                780 * STAGES[0] * 300,
            )
        )
        found.append(
            results.Result(
                f"{prefix} seconds until the last process stops",
                max(halted for _, halted in seen),
            )
        )
    return found
