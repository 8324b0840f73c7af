"""Membership: bytes, messages, times and state at 10 to 400 members.

Bytes and messages count envelopes as encoded, sent plus received, without the
framing of HTTP/2, TCP and IP. Times are simulated, except for the peer task.
"""

from collections.abc import Callable
import dataclasses
import itertools
import math
import random
import tracemalloc

from benches import fleet
from benches import loopback
from benches import results
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import membership
from sycamorehollow.decisions.replication import payloads

COUNTS = (10, 50, 100, 200, 400)
TARGET_COUNT = 370
NODE_BYTES_PER_S = 10_000
KNOWN_EVERYWHERE_S = 15.0
SETTLE_S = 3.0
STEADY_S = 10.0
LIMIT_S = 60.0
RACK = 20
RACK_S = 25
# Random peers make single seconds of single nodes uneven.
WINDOW_S = 10
# 18 failures and 230 restarts a day; each is a death or leave and a join.
CHANGES_PER_DAY = 500
# Exchanges that a node takes part in each second: two opened, two answered.
EXCHANGES_PER_S = 4


@dataclasses.dataclass(frozen=True)
class Steady:
    """Load of a node without changes, each second.

    Attributes:
        mean_bytes: Bytes sent and received, mean over the nodes.
        max_bytes: The same of the busiest node.
        messages: Envelopes sent, mean over the nodes.
        cpu_s: Processor seconds in the decision code, mean over the nodes.
    """

    mean_bytes: float
    max_bytes: float
    messages: float
    cpu_s: float


def measure_steady(driven: fleet.Fleet, nodes: list[fleet.Node]) -> Steady:
    """Measures a fleet at rest."""
    before = [(n.sent + n.received, n.messages, n.cpu_s) for n in nodes]
    driven.run(STEADY_S)
    spent = [
        (
            (node.sent + node.received - start[0]) / STEADY_S,
            (node.messages - start[1]) / STEADY_S,
            (node.cpu_s - start[2]) / STEADY_S,
        )
        for node, start in zip(nodes, before, strict=True)
    ]
    return Steady(
        sum(row[0] for row in spent) / len(spent),
        max(row[0] for row in spent),
        sum(row[1] for row in spent) / len(spent),
        sum(row[2] for row in spent) / len(spent),
    )


def wait_for(
    driven: fleet.Fleet,
    nodes: list[fleet.Node],
    holds: Callable[[fleet.Node], bool],
) -> tuple[float, float]:
    """Returns the seconds until the first and until every node knows."""
    first = driven.run_until(lambda: any(map(holds, nodes)), LIMIT_S)
    rest = driven.run_until(lambda: all(map(holds, nodes)), LIMIT_S)
    return first, first + rest


def measure_changes(
    driven: fleet.Fleet, nodes: list[fleet.Node]
) -> dict[str, float]:
    """Measures the seconds until changes are known."""
    victim, leaver = nodes[-1], nodes[-2]
    rest = nodes[:-2]

    def sees(address: str, live: bool) -> Callable[[fleet.Node], bool]:
        def holds(node: fleet.Node) -> bool:
            member = node.peers.find(address)
            return (member is not None and member.is_live) is live

        return holds

    times = {}
    driven.kill(victim)
    times["death detected"], times["death known everywhere"] = wait_for(
        driven, rest, sees(victim.address, False)
    )
    nodes[-1] = driven.start(len(nodes) - 1)
    _, times["join known everywhere"] = wait_for(
        driven, rest, sees(victim.address, True)
    )
    driven.deliver(leaver, membership.LeaveRequested())
    _, times["leave known everywhere"] = wait_for(
        driven, rest, sees(leaver.address, False)
    )
    for key, pushed in (("first push lost", False), ("pushed", True)):
        asked = rest[0].records.put("stop", key, 1, driven.now)
        if pushed:
            driven.carry_out(rest[0], asked)
        _, times[f"record known everywhere, {key}"] = wait_for(
            driven,
            rest,
            lambda node, key=key: (  # type: ignore[misc]
                node.records.find("stop", key, driven.now) is not None
            ),
        )
    return times


def measure_rack(
    driven: fleet.Fleet, nodes: list[fleet.Node]
) -> tuple[float, float]:
    """Measures the load of the other nodes after a rack fails.

    Returns:
        Bytes per node in the busiest second, mean over the nodes, and bytes
        per second of the busiest node over `WINDOW_S`.
    """
    for node in nodes[:RACK]:
        driven.kill(node)
    rest = nodes[RACK:]
    totals = [[node.sent + node.received for node in rest]]
    for _ in range(RACK_S):
        driven.run(1.0)
        totals.append([node.sent + node.received for node in rest])
    busiest_second = max(
        (sum(after) - sum(before)) / len(rest)
        for before, after in itertools.pairwise(totals)
    )
    busiest_node = max(
        (after - before) / WINDOW_S
        for first, last in zip(totals, totals[WINDOW_S:], strict=False)
        for before, after in zip(first, last, strict=True)
    )
    return busiest_second, busiest_node


def measure_state(count: int) -> float:
    """Returns the bytes of memory per member of one table."""
    tracemalloc.start()
    table = members.MemberTable()
    for number in range(count):
        address = f"10.1.{number // 256}.{number % 256}:7400"
        member = members.Member(address, f"dc-{number % 7}", 10**18 + number)
        table.apply(member, float(number))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count


def make_rows(count: int, counters: bool) -> list[list[object]]:
    """Returns the rows of a full list, with heartbeat counters if asked."""
    rng = random.Random(1)
    return [
        [
            f"10.0.{number // 256}.{number % 256}:7400",
            f"dc-{number % 7}",
            1_790_000_000_000_000_000 + rng.randrange(10**15),
            rng.randrange(100_000) if counters else 0,
            0,
        ]
        for number in range(count)
    ]


def measure_envelope(payload: bytes) -> int:
    """Returns the length of an envelope with one membership payload."""
    sender = exchange.Process("10.0.0.1:7400", "dc-0", 1_790_000_000 * 10**9)
    items = (exchange.Item("members/delta", payload),) if payload else ()
    return fleet.measure_bytes(exchange.SendReply(1, sender, items))


def measure_full_lists(count: int) -> float:
    """Returns the bytes per node and second of full lists to the same peers."""
    rows = make_rows(count, counters=True)
    size = measure_envelope(payloads.encode_rows(rows))
    # Both sides of each exchange send their whole list.
    return 2 * EXCHANGES_PER_S * size


def measure_tree(count: int) -> tuple[float, float, float]:
    """Estimates a multicast tree over the full list, with one probe a second.

    Returns:
        Bytes per node and second, seconds until a change is known everywhere,
        and the share of live nodes that miss a change while the members of a
        failed rack are still in the list.
    """
    row = payloads.encode_rows(make_rows(1, counters=False))
    # A probe and its answer at each end, and one copy in and one out.
    probes = 2 * 2 * measure_envelope(b"")
    copies = 2 * measure_envelope(row) * CHANGES_PER_DAY / 86_400
    hops = math.ceil(math.log2(count))
    rng = random.Random(1)
    missed = 0
    for _ in range(100):
        dead = set(rng.sample(range(1, count), min(RACK, count // 4)))
        reached = [True] * count
        for number in range(1, count):
            parent = (number - 1) // 2
            reached[number] = reached[parent] and number not in dead
        missed += sum(not known for known in reached) - len(dead)
    share = missed / (100 * (count - min(RACK, count // 4)))
    return probes + copies, hops * max(fleet.LATENCY_S), share


def run() -> list[results.Result]:
    """Runs every size and compares the largest with the alternatives."""
    found = []
    steady = {}
    for count in COUNTS:
        driven = fleet.Fleet(count)
        nodes = driven.start_joined(count)
        driven.run(SETTLE_S)
        steady[count] = measure_steady(driven, nodes)
        found += report_steady(count, steady[count])
        times = measure_changes(driven, nodes)
        for name, value in times.items():
            bound = KNOWN_EVERYWHERE_S if "everywhere" in name else None
            found.append(
                results.Result(f"membership {count}: {name}, s", value, bound)
            )
    second, node_s = measure_rack(driven, nodes)
    name = f"membership {count}: rack of {RACK} fails,"
    found += [
        results.Result(
            f"{name} busiest second, bytes per node", second, NODE_BYTES_PER_S
        ),
        results.Result(
            f"{name} busiest node, bytes per second over {WINDOW_S} s",
            node_s,
            NODE_BYTES_PER_S,
        ),
    ]
    found += report_slopes(steady)
    found += compare(COUNTS[-1], steady[COUNTS[-1]])
    return found + report_loopback()


def report_slopes(steady: dict[int, Steady]) -> list[results.Result]:
    """Returns how processor time and state grow with the members."""
    low, high = steady[COUNTS[0]], steady[COUNTS[-1]]
    slope = (high.cpu_s - low.cpu_s) / (COUNTS[-1] - COUNTS[0])
    at_target = low.cpu_s + slope * (TARGET_COUNT - COUNTS[0])
    return [
        results.Result(
            "membership: processor time per node, second and member, us",
            slope * 1e6,
        ),
        results.Result(
            f"membership: processor time at {TARGET_COUNT} members, % of a"
            " core, without gRPC",
            at_target * 100,
        ),
        results.Result(
            "membership: state per member, bytes", measure_state(COUNTS[-1])
        ),
    ]


def report_steady(count: int, steady: Steady) -> list[results.Result]:
    """Returns the results of a fleet at rest."""
    name = f"membership {count}:"
    return [
        results.Result(
            f"{name} bytes per node and second, mean", steady.mean_bytes
        ),
        results.Result(
            f"{name} bytes per node and second, busiest node",
            steady.max_bytes,
            NODE_BYTES_PER_S,
        ),
        results.Result(
            f"{name} messages sent per node and second", steady.messages
        ),
        results.Result(
            f"{name} processor time per node and second, us",
            steady.cpu_s * 1e6,
        ),
    ]


def report_loopback() -> list[results.Result]:
    """Returns what calls cost the peer task, on real time."""
    cost = loopback.measure()
    name = "peer task:"
    return [
        results.Result(
            f"{name} processor time per call, both ends, us", cost.cpu_s * 1e6
        ),
        results.Result(
            f"{name} processor time per call on a new channel, both ends, us",
            cost.opening_cpu_s * 1e6,
        ),
        results.Result(
            f"{name} bytes in the TCP streams per call with a digest of"
            f" {loopback.PAYLOAD_BYTES} bytes",
            cost.wire_bytes,
        ),
        results.Result(
            f"{name} resident memory per channel, both ends, KB",
            cost.channel_bytes / 1000,
        ),
    ]


def compare(count: int, steady: Steady) -> list[results.Result]:
    """Returns the ratios to the alternatives at one size."""
    lists = measure_full_lists(count)
    tree, spread_s, missed = measure_tree(count)
    name = f"membership {count}:"
    return [
        results.Result(
            f"{name} bytes of full lists with counters / digests",
            lists / steady.mean_bytes,
        ),
        results.Result(
            f"{name} bytes of a multicast tree / digests",
            tree / steady.mean_bytes,
        ),
        results.Result(f"{name} multicast tree, known after, s", spread_s),
        results.Result(
            f"{name} multicast tree, live nodes that miss a change while"
            f" {RACK} dead ones are listed, %",
            missed * 100,
        ),
    ]
