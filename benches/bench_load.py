"""Latency and rejected work of the selection rules in simulated time."""

from collections.abc import Callable
import dataclasses
import random

from benches import fakes
from benches import results
from sycamorehollow.decisions.routing import capacity
from sycamorehollow.decisions.routing import load_table
from sycamorehollow.decisions.routing import prefix_index
from sycamorehollow.decisions.routing import selection
from sycamorehollow.decisions.routing import upstream_events

SEED = 7
NODES = 6
# Replicas of three generations of accelerators.
SPEEDS = (1, 1, 1, 1, 2, 2, 2, 2, 4, 4, 4, 4)
CAPACITY_TOKENS = 30000
RATE = 250.0
REQUEST_RATE = 150.0
LOADS = (0.7, 0.95)
STEP_S = 0.05
STEPS = 1800
WARM_UP_S = 10.0
COOL_DOWN_S = 60.0
REPORT_EVERY_STEPS = 20
REPORT_LAG_STEPS = 10
CACHE_LAG_STEPS = 20
CACHE_LOSS = 0.1
PREFIXES = 60
BLOCKS = 8
MAX_RETRIES = 2
# Prompt and output tokens of checks, captions and chapters, and their part.
KINDS = ((300, 5, 0.5), (2500, 120, 0.35), (6000, 500, 0.15))

Maker = Callable[["Node", random.Random], selection.Selection]


class Node:
    """The decision components of one entry process."""

    def __init__(self, name: str, engines: list[fakes.Engine]):
        self.table = load_table.LoadTable(name, "dc")
        self.room = capacity.Capacity(self.table, NODES)
        self.holders = prefix_index.PrefixIndex()
        configured = tuple(engine.configure() for engine in engines)
        self.table.handle(upstream_events.UpstreamsConfigured(configured), 0.0)
        self.selection: selection.Selection = selection.RoundRobinSelection()


@dataclasses.dataclass
class Figures:
    """What one run has measured."""

    latencies: list[float] = dataclasses.field(default_factory=list)
    offered_tokens: int = 0
    rejected_tokens: int = 0
    attempts: int = 0
    refused_attempts: int = 0


class Fleet:
    """Six entry processes in front of unequal engines."""

    def __init__(self, make: Maker, load: float):
        self._source = random.Random(SEED)
        self._engines = {}
        for number, speed in enumerate(SPEEDS):
            name = f"u{number:02}"
            self._engines[name] = fakes.Engine(
                name, speed * CAPACITY_TOKENS, speed * RATE, REQUEST_RATE
            )
        self._names = tuple(self._engines)
        engines = list(self._engines.values())
        self._nodes = [Node(f"p{number}", engines) for number in range(NODES)]
        for number, node in enumerate(self._nodes):
            node.selection = make(node, random.Random(number))
        work = sum(
            part * (fakes.PROMPT_WORK * prompt + output)
            for prompt, output, part in KINDS
        )
        self._per_step = load * RATE * sum(SPEEDS) * STEP_S / work
        self._running: dict[str, tuple[Node, capacity.Demand, float]] = {}
        self._reports: list[list[upstream_events.LoadReported]] = []
        self._cache_events: list[list[prefix_index.CacheChanged]] = []
        self._number = 0
        self.figures = Figures()

    def run(self) -> Figures:
        """Runs to the end and returns the figures."""
        for step in range(STEPS):
            now = step * STEP_S
            self._spread(step, now)
            arrivals = self._source.random() + self._per_step
            for _ in range(int(arrivals)):
                self._arrive(now)
            for engine in self._engines.values():
                for job in engine.advance(STEP_S):
                    self._finish(job, engine.name, now + STEP_S)
        return self.figures

    def _draw(self) -> capacity.Demand:
        parts = [part for _, _, part in KINDS]
        prompt, output, _ = self._source.choices(KINDS, parts)[0]
        output = max(1, int(output * self._source.uniform(0.5, 1.5)))
        blocks: tuple[str, ...] = ()
        if prompt >= BLOCKS * prefix_index.BLOCK_TOKENS:
            # A few prefixes are popular, most are rare.
            group = int(PREFIXES * self._source.random() ** 2)
            blocks = tuple(f"{group}-{number}" for number in range(BLOCKS))
        return capacity.Demand(prompt, output, block_hashes=blocks)

    def _arrive(self, now: float) -> None:
        node = self._source.choice(self._nodes)
        demand = self._draw()
        counted = WARM_UP_S <= now < COOL_DOWN_S
        if counted:
            self.figures.offered_tokens += demand.tokens
        for _ in range(1 + MAX_RETRIES):
            choice = node.selection.choose(demand, self._names, now)
            if not isinstance(choice, selection.SelectedUpstream):
                break
            if self._start(node, choice.upstream, demand, now):
                return
        if counted:
            self.figures.rejected_tokens += demand.tokens

    def _start(
        self, node: Node, name: str, demand: capacity.Demand, now: float
    ) -> bool:
        self._number += 1
        job = str(self._number)
        self.figures.attempts += 1
        if not self._engines[name].offer(job, demand):
            self.figures.refused_attempts += 1
            return False
        node.table.handle(
            upstream_events.AttemptStarted(job, name, demand.tokens), now
        )
        node.holders.handle(
            prefix_index.PromptSent(name, demand.block_hashes), now
        )
        self._running[job] = (node, demand, now)
        return True

    def _finish(self, job: str, name: str, now: float) -> None:
        node, _, started_at = self._running.pop(job)
        node.table.handle(
            upstream_events.AttemptEnded(
                job, name, upstream_events.AttemptStatus.COMPLETED
            ),
            now,
        )
        if WARM_UP_S <= started_at < COOL_DOWN_S:
            self.figures.latencies.append(now - started_at)

    def _spread(self, step: int, now: float) -> None:
        engines = self._engines.values()
        self._reports.append([engine.report(now) for engine in engines])
        events = []
        for engine in engines:
            events += engine.cache_events
            engine.cache_events = []
        self._cache_events.append(events)
        for number, node in enumerate(self._nodes):
            for event in self._cache_events[max(0, step - CACHE_LAG_STEPS)]:
                if self._source.random() >= CACHE_LOSS:
                    node.holders.handle(event, now)
            if (step + 3 * number) % REPORT_EVERY_STEPS:
                continue
            for report in self._reports[max(0, step - REPORT_LAG_STEPS)]:
                node.table.handle(report, now)
            peer = self._source.choice(self._nodes)
            node.table.merge(
                peer.table.build_delta(node.table.build_digest(now), now), now
            )


def make_random(node: Node, source: random.Random) -> selection.Selection:
    """Returns the random baseline."""
    return selection.RandomSelection(source)


def make_turns(node: Node, source: random.Random) -> selection.Selection:
    """Returns the round robin baseline."""
    return selection.RoundRobinSelection()


def make_least(node: Node, source: random.Random) -> selection.Selection:
    """Returns the least outstanding baseline."""
    return selection.LeastOutstandingSelection(node.table, source)


def make_two(node: Node, source: random.Random) -> selection.Selection:
    """Returns the power of two baseline."""
    return selection.PowerOfTwoSelection(node.table, source)


def make_estimate(node: Node, source: random.Random) -> selection.Selection:
    """Returns the chosen rule."""
    return selection.EstimateSelection(
        node.table, node.room, node.holders, "dc", source
    )


BASELINES: tuple[tuple[str, Maker], ...] = (
    ("random", make_random),
    ("round robin", make_turns),
    ("least outstanding", make_least),
    ("power of two", make_two),
)


def run() -> list[results.Result]:
    """Returns the ratios of the chosen rule to each baseline."""
    measured = []
    for load in LOADS:
        chosen = Fleet(make_estimate, load).run()
        p95_s = fakes.compute_percentile(chosen.latencies, 0.95)
        rejected = chosen.rejected_tokens / chosen.offered_tokens
        label = f"at load {load}"
        measured.append(
            results.Result(f"estimate, p95 latency {label}, s", p95_s)
        )
        measured.append(
            results.Result(f"estimate, rejected share {label}", rejected)
        )
        refused = chosen.refused_attempts / chosen.attempts
        measured.append(
            results.Result(f"estimate, attempts refused {label}", refused)
        )
        for name, make in BASELINES:
            figures = Fleet(make, load).run()
            ratio = p95_s / fakes.compute_percentile(figures.latencies, 0.95)
            measured.append(
                results.Result(f"p95 latency {label}, ratio to {name}", ratio)
            )
            share = figures.rejected_tokens / figures.offered_tokens
            measured.append(
                results.Result(f"{name}, rejected share {label}", share)
            )
            if share:
                measured.append(
                    results.Result(
                        f"rejected work {label}, ratio to {name}",
                        rejected / share,
                    )
                )
    return measured
