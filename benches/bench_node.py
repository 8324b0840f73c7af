"""Whole nodes: bytes by kind, store calls, state and processor time.

Nodes run in one process through the decision interface, in simulated time, at
the target's rates per node. Bytes are envelopes as encoded, sent plus received,
without the framing of HTTP/2, TCP and IP. Processor time is real and has no
bound. CI runs the small sizes; `python -m benches.bench_node 400` runs others.
"""

import collections
import dataclasses
import pickle
import random
import sys
import time
import tracemalloc

from benches import node_fleet
from benches import node_tree
from benches import results
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.decisions.cascading import rating_counts
from sycamorehollow.decisions.releases import sequential_test
from sycamorehollow.decisions.replication import compressed_json
from sycamorehollow.model import events
from sycamorehollow.model import lifecycle

COUNTS = (6, 10, 50)
NODE_BYTES_PER_S = 10_000
# What the stand-in for the store allows, see design.md 1.3.
STORE_WRITES_PER_S = 400
STORE_READS_PER_S = 2_000
WARM_UP_S = 6.0
LOAD_S = 4.0
STEADY_S = 4.0
# Bills travel on the same calls, but they are data.
DATA_PREFIX = "bill"
REQUEST_UPSTREAMS = (20, 100)
REQUEST_NODES = 7
REQUESTS = 200
RATES = (5.0, 30.0)
# About 1 ms of processor time; 15 requests a second then take 1.5% of a core.
REQUEST_CALLS = 6_000
TICKS = 500
LEARNING_TRACKS = 50


@dataclasses.dataclass
class Costs:
    """Costs of a fleet in a steady state, per second.

    Attributes:
        traffic: Bytes by kind, mean over the nodes.
        busiest: Control bytes of the busiest node.
        messages: Envelopes sent per node.
        reads: Store reads of the whole fleet.
        writes: Store writes of the whole fleet.
        cpu_s: Processor seconds by kind of event, mean over the nodes.
        state: Bytes of memory of one node.
        known: Share of all ratings of the fleet that a node knows.
        evidence: The same of the outcomes that count for the roll-out.
    """

    traffic: dict[str, float]
    busiest: float
    messages: float
    reads: float
    writes: float
    cpu_s: dict[str, float]
    state: int
    known: float
    evidence: float

    @property
    def control(self) -> float:
        """Bytes of control state per node and second."""
        return sum(
            size
            for kind, size in self.traffic.items()
            if not kind.startswith(DATA_PREFIX)
        )


def run_fleet(count: int) -> Costs:
    """Runs a fleet and measures its steady state, with one change."""
    fleet = node_fleet.Fleet(count, seed=count)
    fleet.run(WARM_UP_S)
    fleet.start_load()
    fleet.run(LOAD_S)
    for member in fleet.members:
        member.reset()
    reads, writes = fleet.store.reads, fleet.store.writes
    fleet.run(STEADY_S / 2)
    fleet.change_configuration(1)
    fleet.run(STEADY_S / 2)
    traffic: collections.Counter[str] = collections.Counter()
    cpu_s: dict[str, float] = collections.defaultdict(float)
    for member in fleet.members:
        traffic.update(member.traffic)
        for kind, spent in member.cpu_s.items():
            cpu_s[kind] += spent / count / STEADY_S
    return Costs(
        {kind: size / count / STEADY_S for kind, size in traffic.items()},
        max(map(count_control, fleet.members)) / STEADY_S,
        sum(m.messages for m in fleet.members) / count / STEADY_S,
        (fleet.store.reads - reads) / STEADY_S,
        (fleet.store.writes - writes) / STEADY_S,
        cpu_s,
        measure_state(fleet.members[0]),
        measure_known(fleet),
        measure_evidence(fleet),
    )


def count_control(member: node_fleet.Member) -> int:
    """Returns the bytes of control state of a node."""
    return sum(
        size
        for kind, size in member.traffic.items()
        if not kind.startswith(DATA_PREFIX)
    )


def measure_known(fleet: node_fleet.Fleet) -> float:
    """Returns the mean share of the fleet's rated answers known to a node."""
    rated = sum(member.outcomes["rated"] for member in fleet.members)
    if not rated:
        return 0.0
    known = [
        sum(
            total[0]
            for key, track in member.node.learning.list_counts()
            if key.version
            for total in track.totals.values()
        )
        for member in fleet.members
    ]
    return sum(known) / len(known) / rated


def measure_evidence(fleet: node_fleet.Fleet) -> float:
    """Returns the mean share of the roll-out's outcomes known to a node."""
    ended = 0
    known = 0
    for member in fleet.members:
        node = member.node
        tally = node.evidence.combine(node.rollouts.get_rollout_id("small"))[
            sequential_test.Metric.ERROR
        ]
        own = node.evidence.count_own_outcomes(
            node.rollouts.get_rollout_id("small")
        )
        known += tally.candidate + tally.baseline
        ended += own
    return known / len(fleet.members) / ended if ended else 0.0


def measure_state(member: node_fleet.Member) -> int:
    """Returns the bytes of a copy of a node that shares nothing."""
    # The conversion keeps the results of the whole fleet.
    node = member.node
    stored = pickle.dumps(node)
    tracemalloc.start()
    copy = pickle.loads(stored)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del copy
    return size


def report_fleet(count: int, costs: Costs) -> list[results.Result]:
    """Returns the figures of one size."""
    name = f"node {count}:"
    found = [
        results.Result(
            f"{name} control bytes per node and second, mean",
            costs.control,
            NODE_BYTES_PER_S,
        ),
        results.Result(
            f"{name} control bytes per node and second, busiest node",
            costs.busiest,
            NODE_BYTES_PER_S,
        ),
        results.Result(
            f"{name} store reads per second", costs.reads, STORE_READS_PER_S
        ),
        results.Result(
            f"{name} store writes per second", costs.writes, STORE_WRITES_PER_S
        ),
        results.Result(f"{name} messages sent per node", costs.messages),
        results.Result(f"{name} state of a node, bytes", costs.state),
        results.Result(f"{name} share of ratings known to a node", costs.known),
        results.Result(
            f"{name} share of roll-out outcomes known to a node",
            costs.evidence,
        ),
    ]
    for kind, size in sorted(costs.traffic.items()):
        found.append(results.Result(f"{name} bytes of {kind}", size))
    for kind, spent in sorted(costs.cpu_s.items()):
        found.append(
            results.Result(f"{name} processor time, {kind}, us/s", spent * 1e6)
        )
    return found


def report_slopes(low: int, high: int, costs: dict[int, Costs]) -> list:
    """Returns the growth per node between two sizes."""
    span = high - low
    found = []
    for label, read in (
        ("control bytes per second", lambda c: c.control),
        ("store writes per second", lambda c: c.writes),
        ("state, bytes", lambda c: c.state),
        ("processor time of control, us/s", lambda c: c.cpu_s["control"] * 1e6),
    ):
        slope = (read(costs[high]) - read(costs[low])) / span
        name = f"node {low} to {high}: {label}, growth per node"
        found.append(results.Result(name, slope))
    return found


def count_calls(member: node_fleet.Member, fleet: node_fleet.Fleet) -> float:
    """Returns the Python calls that the start of a request takes."""
    calls = 0

    def note(frame: object, kind: str, argument: object) -> None:
        nonlocal calls
        calls += kind == "call"

    for _ in range(REQUESTS):
        event = lifecycle.RequestArrived(fleet.make_request())
        sys.setprofile(note)
        member.node.handle(event, fleet.now)
        sys.setprofile(None)
    return calls / REQUESTS


def measure_requests() -> list[results.Result]:
    """Measures the cost of a request: calls, and time as a slope."""
    found = []
    for upstreams in REQUEST_UPSTREAMS:
        spent = []
        for rate in RATES:
            fleet = node_fleet.Fleet(REQUEST_NODES, 1, upstreams)
            fleet.run(WARM_UP_S)
            fleet.requests_per_s = rate
            fleet.start_load()
            fleet.run(LOAD_S)
            for member in fleet.members:
                member.reset()
            fleet.run(STEADY_S)
            cpu_s = sum(m.cpu_s["data"] for m in fleet.members)
            done = sum(m.outcomes["RequestArrived"] for m in fleet.members)
            spent.append((done, cpu_s))
        (few, less), (many, more) = spent
        name = f"router task, {upstreams} upstreams:"
        found += [
            results.Result(
                f"{name} processor time per request, us",
                (more - less) / (many - few) * 1e6,
            ),
            results.Result(
                f"{name} Python calls to start a request",
                count_calls(fleet.members[0], fleet),
                REQUEST_CALLS,
            ),
        ]
    return found


def measure_learning() -> float:
    """Returns the bytes of the counts of all keys once epochs are full.

    At the target each rating of an epoch comes from another process, because
    there are more processes than ratings in an epoch.
    """
    part = quality_estimator.QualityEstimator("observer")
    rng = random.Random(1)
    processes = [f"process{number:04d}" for number in range(370)]
    tracemalloc.start()
    for number in range(LEARNING_TRACKS):
        key = [f"workspace-{number}", "check", "small-1", []]
        epochs = {
            epoch: {
                process: [1, int(rng.random() < node_fleet.GOOD_SHARE)]
                for process in rng.sample(
                    processes, rating_counts.EPOCH_RATINGS
                )
            }
            for epoch in range(rating_counts.KEPT_EPOCHS)
        }
        part.merge(compressed_json.compress_json([[key, 0, epochs]]), 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / LEARNING_TRACKS


def measure_fixed() -> list[results.Result]:
    """Measures what does not depend on the fleet: a tick, a conversion."""
    fleet = node_fleet.Fleet(REQUEST_NODES, 1, node_tree.TARGET_UPSTREAMS)
    fleet.run(WARM_UP_S)
    node = fleet.members[0].node
    began = time.thread_time()
    for number in range(TICKS):
        # Exchanges are measured in the fleet; here only the other parts tick.
        node.handle(events.Tick(), fleet.now + 0.0001 * number)
    tick_s = (time.thread_time() - began) / TICKS
    began = time.thread_time()
    node_tree.convert_target()
    convert_s = time.thread_time() - began
    return [
        results.Result("node: processor time of a tick, us", tick_s * 1e6),
        results.Result(
            "node: processor time to convert the settings tree, ms",
            convert_s * 1e3,
        ),
        results.Result(
            "node: state of a key of learning with full epochs, bytes",
            measure_learning(),
        ),
    ]


def run(counts: tuple[int, ...] = COUNTS) -> list[results.Result]:
    """Runs fleets of each size, then the costs of requests."""
    found = []
    costs = {}
    for count in counts:
        costs[count] = run_fleet(count)
        found += report_fleet(count, costs[count])
    for low, high in zip(counts, counts[1:], strict=False):
        found += report_slopes(low, high, costs)
    return found + measure_requests() + measure_fixed()


def main() -> int:
    """Runs the sizes given as arguments and prints the figures."""
    for number in map(int, sys.argv[1:]):
        for result in report_fleet(number, run_fleet(number)):
            print(result, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
