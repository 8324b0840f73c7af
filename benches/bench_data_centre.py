"""A data centre is taken out, returns or is partitioned, with whole nodes."""

from collections.abc import Callable
import dataclasses

from benches import fakes
from benches import node_callers
from benches import node_world
from benches import results
from benches import routing_baselines
from benches import sites
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import operator_drains

SEED = 23
# Work offered, as a part of the rate of all upstreams: what is left while the
# data centre is out carries it, with room for bursts.
LOAD = 0.4
WARM_UP_S = 20.0
OUT_AT_S = 50.0
BACK_AT_S = 90.0
END_S = 140.0
# Longest deadline, so that every request has ended.
SETTLE_S = 60.0
# "A few seconds" of the invariants.
SPREAD_S = 5.0
CENTRE = "dc-0"
# The data centre with the fewest replicas has the least of its own.
CUT_CENTRE = "dc-2"
GROWTH_S = 10.0
PHASES = {
    "before": (WARM_UP_S, OUT_AT_S),
    "during": (OUT_AT_S, BACK_AT_S),
    "after": (BACK_AT_S, END_S),
}
WORKSPACES = {
    "large": {"versions": [sites.VERSION], "weight": 1},
    "small": {"versions": [sites.VERSION], "weight": 1},
}
MERIDIAN = sites.Site((2, 2, 1), 2, 0.001, WORKSPACES)
MERIDIAN_CLIENT_S = 0.004
MERIDIAN_KINDS = (
    node_callers.Kind("chapter", 6000, 500, 0.15, 60.0),
    node_callers.Kind("caption", 2500, 120, 0.35, 30.0),
    node_callers.Kind("check", 300, 5, 0.5, 10.0),
)
BLUE_MAHOE = sites.Site((3, 3, 3), 2, 0.0005, WORKSPACES)
BLUE_MAHOE_CLIENT_S = 0.0007
BLUE_MAHOE_KINDS = (
    node_callers.Kind("summary", 3000, 200, 0.3, 30.0),
    node_callers.Kind("message", 400, 40, 0.5, 10.0),
    node_callers.Kind("note", 800, 80, 0.2, 20.0),
)


@dataclasses.dataclass(frozen=True)
class Case:
    """One deployment with its callers."""

    name: str
    site: sites.Site
    kinds: tuple[node_callers.Kind, ...]
    client_s: float


CASES = (
    Case("meridian", MERIDIAN, MERIDIAN_KINDS, MERIDIAN_CLIENT_S),
    Case("blue mahoe", BLUE_MAHOE, BLUE_MAHOE_KINDS, BLUE_MAHOE_CLIENT_S),
)


class Run:
    """One course of events at one deployment.

    Args:
        case: The deployment.
        change: Schedules what happens to the data centre.
        prepare: Replaces the rules of a node by a baseline.
    """

    def __init__(
        self,
        case: Case,
        change: Callable[[node_world.World], None],
        prepare: Callable[[node_world.World], None] = lambda _: None,
    ):
        self.world = node_world.World(case.site, SEED)
        prepare(self.world)
        change(self.world)
        mean = sum(kind.part * kind.work for kind in case.kinds)
        rate = LOAD * sites.RATE * len(self.world.engines) / mean
        self.callers = node_callers.Callers(
            self.world,
            case.kinds,
            {"large": 0.7 * rate, "small": 0.3 * rate},
            case.client_s,
            SEED,
        )
        self.callers.end_at = END_S
        self.world.run(END_S + SETTLE_S)

    def select(self, phase: str, centre: str = "") -> list[node_callers.Asked]:
        """Returns the requests that were asked in a phase."""
        start, end = PHASES[phase]
        return [
            asked
            for asked in self.callers.asked
            if start <= asked.asked_at < end and centre in ("", asked.centre)
        ]

    def count_late_starts(self) -> int:
        """Returns the work sent to the data centre after the spread time."""
        return sum(
            OUT_AT_S + SPREAD_S < when < BACK_AT_S
            for name, engine in self.world.engines.items()
            for when in engine.offers
            if self.world.centres[name] == CENTRE
        )

    def find_excess(self) -> int:
        """Returns the largest load above what a cold upstream bore."""
        return max(
            engine.excess
            for name, engine in self.world.engines.items()
            if self.world.centres[name] == CENTRE
        )

    def compare_load(self, start: float, end: float) -> float:
        """Returns the starts per second there, relative to before."""
        offers = [
            when
            for name, engine in self.world.engines.items()
            for when in engine.offers
            if self.world.centres[name] == CENTRE
        ]
        before = sum(WARM_UP_S <= when < OUT_AT_S for when in offers)
        seen = sum(start <= when < end for when in offers)
        return seen / (end - start) * (OUT_AT_S - WARM_UP_S) / before


def count_served(asked: list[node_callers.Asked]) -> float:
    """Returns the share of requests that were complete in time."""
    return sum(one.served for one in asked) / max(1, len(asked))


def count_cut(run: Run) -> int:
    """Returns the requests that ended after they had started."""
    return sum(asked.cut for asked in run.callers.asked)


def turn_cold(world: node_world.World) -> None:
    """Makes the upstreams of the data centre lose their caches."""
    for name, engine in world.engines.items():
        if world.centres[name] == CENTRE:
            engine.turn_cold()


def drain(world: node_world.World) -> None:
    """The operators write the change and the return to the store."""
    world.at(OUT_AT_S, lambda: world.write_platform(CENTRE))
    world.at(BACK_AT_S, lambda: turn_cold(world))
    world.at(BACK_AT_S, world.write_platform)


def drain_by_record(world: node_world.World) -> None:
    """The store is down at the change, so a record spreads between peers."""

    def set_store(up: bool) -> Callable[[], None]:
        return lambda: setattr(world, "store_up", up)

    order = operator_drains.DrainRequested(drains.Scope.DATA_CENTRE, CENTRE)
    # The order reaches a node of another data centre.
    address = next(a for a in world.nodes if world.centres[a] != CENTRE)
    world.at(OUT_AT_S - SPREAD_S, set_store(False))
    world.at(OUT_AT_S, lambda: world.give(address, order))
    world.at(BACK_AT_S - SPREAD_S, set_store(True))
    world.at(BACK_AT_S, lambda: turn_cold(world))
    world.at(BACK_AT_S, world.write_platform)


def partition(world: node_world.World) -> None:
    """The data centre reaches neither the others nor the store."""

    def cut() -> None:
        world.cut = CUT_CENTRE
        world.break_streams()

    world.at(OUT_AT_S, cut)
    world.at(BACK_AT_S, lambda: setattr(world, "cut", ""))


def report_phases(label: str, case: Case, run: Run) -> list[results.Result]:
    """Returns served shares and times by kind in each phase."""
    found = []
    for phase in PHASES:
        asked = run.select(phase)
        found.append(
            results.Result(
                f"{label}, served share {phase}", count_served(asked)
            )
        )
        for kind in case.kinds:
            done = [a for a in asked if a.kind is kind and a.served]
            name = f"{label}, {kind.name} {phase}"
            firsts = [a.first_at - a.asked_at for a in done if a.first_at]
            ends = [a.done_at - a.asked_at for a in done if a.done_at]
            if not done:
                continue
            first_s = fakes.compute_percentile(firsts, 0.95)
            end_s = fakes.compute_percentile(ends, 0.95)
            found.append(results.Result(f"{name}, first token p95, s", first_s))
            found.append(results.Result(f"{name}, complete p95, s", end_s))
    return found


def report_change(
    label: str, run: Run, bounded: bool = True
) -> list[results.Result]:
    """Returns what the change and the return cost.

    Args:
        label: Start of the names.
        run: The course of events.
        bounded: Whether the bounds of the invariants apply.
    """
    bound = 0.0 if bounded else None
    return [
        results.Result(
            f"{label}, work sent later than 5 s after the change",
            run.count_late_starts(),
            bound,
        ),
        results.Result(f"{label}, requests cut off", count_cut(run), bound),
        results.Result(
            f"{label}, requests above what a returned upstream bears",
            run.find_excess(),
            bound,
        ),
        results.Result(
            f"{label}, starts in the first 10 s after the return, ratio to"
            " before",
            run.compare_load(BACK_AT_S, BACK_AT_S + GROWTH_S),
        ),
        results.Result(
            f"{label}, starts later after the return, ratio to before",
            run.compare_load(BACK_AT_S + GROWTH_S, END_S),
        ),
    ]


def report_baseline(label: str, run: Run) -> list[results.Result]:
    """Returns the figures of a baseline; none of them is bounded."""
    found = [
        results.Result(
            f"{label}, served share {phase}", count_served(run.select(phase))
        )
        for phase in PHASES
    ]
    for phase in PHASES:
        ends = [
            a.done_at - a.asked_at
            for a in run.select(phase)
            if a.done_at is not None
        ]
        if ends:
            end_s = fakes.compute_percentile(ends, 0.95)
            name = f"{label}, all kinds {phase}, complete p95, s"
            found.append(results.Result(name, end_s))
    return found


def report_partition(label: str, run: Run) -> list[results.Result]:
    """Returns how callers inside and outside of the data centre fare."""
    found = []
    for phase in PHASES:
        inside = run.select(phase, CUT_CENTRE)
        whole = run.select(phase)
        outside = [asked for asked in whole if asked.centre != CUT_CENTRE]
        for place, asked in (("own", inside), ("other", outside)):
            found.append(
                results.Result(
                    f"{label}, served share of {place} callers {phase}",
                    count_served(asked),
                )
            )
    found.append(results.Result(f"{label}, requests cut off", count_cut(run)))
    return found


def run() -> list[results.Result]:
    """Returns the figures of both deployments."""
    found = []
    for case in CASES:
        chosen = Run(case, drain)
        found += report_phases(f"{case.name}, drain", case, chosen)
        found += report_baseline(f"{case.name}, chosen", chosen)
        found += report_change(f"{case.name}, drain", chosen)
        for name, prepare in routing_baselines.BASELINES:
            baseline = Run(case, drain, prepare)
            label = f"{case.name}, {name}"
            found += report_baseline(label, baseline)
            found += report_change(label, baseline, False)
        record = Run(case, drain_by_record)
        label = f"{case.name}, drain record without the store"
        found += report_phases(label, case, record)
        found += report_change(label, record)
        cut = Run(case, partition)
        found += report_partition(f"{case.name}, partition", cut)
    return found
