"""Store calls, delay and traffic of the spread of the configuration.

One process simulates the fleet through the decision interface: a message
takes 1 ms inside a data centre, 40 ms between data centres and 5 ms to the
store. Peers are selected as by membership: each second one random member and
one of the own data centre.
"""

from collections.abc import Iterable
import heapq
import itertools
import json
import random

from benches import results
from sycamorehollow.decisions.operations import configuration
from sycamorehollow.decisions.operations import (
    configuration_messages as messages,
)
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.settings import tree

DATA_CENTRES = 7
SIZES = (6, 50, 370)
# Bounds of the design: few VMs as today, and the fleet of the target scale.
IN_FORCE_BOUNDS_S = {6: 5.0, 50: 15.0, 370: 15.0}
STORE_READS_PER_S = 2000.0
# Membership, statistics and load shares need the rest of the 10 KB/s.
NODE_BYTES_PER_S = 5000.0
TEAMS = 10
WARM_UP_S = 12.0
CHANGES = 3
CHANGE_PERIOD_S = 10.0
# Twice the mean pause between the 3,000 changes of a day.
QUIET_S = 30.0
NEAR_S = 0.001
FAR_S = 0.040
STORE_S = 0.005
CONNECT_TIMEOUT_S = 1.0
# Longer than every process takes to notice that confirmations are missing.
OUTAGE_S = 40.0


def _write_branch(number: int, nonce: int) -> str:
    """Returns a team's branch with 20 workspaces."""
    workspaces = {
        f"team-{number}-{place}": {
            "key_hashes": [f"{number * 1000 + place:064x}"],
            "versions": ["atlas-1"],
            "weight": 1 + nonce % 9,
        }
        for place in range(20)
    }
    return json.dumps({"nonce": str(nonce), "workspaces": workspaces})


class Fleet:
    """Entry processes, a store and the messages between them."""

    def __init__(self, size: int, seed: int):
        self.now = 0.0
        self.store_calls = 0
        self.sent_bytes = [0] * size
        self.lose_pushes = False
        # Processes that reach the store; `None` for all.
        self.reach: set[int] | None = None
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, tuple]] = []
        self._order = itertools.count()
        self.peers = [
            messages.Peer(
                f"10.0.{i // 250}.{i % 250}:1", f"dc-{i % DATA_CENTRES}"
            )
            for i in range(size)
        ]
        self._places = {p.address: i for i, p in enumerate(self.peers)}
        self._own = [
            [q for q in range(size) if self._is_near(p, q)] for p in range(size)
        ]
        self.parts = [
            configuration.Configuration(peer, tree.convert, random.Random(i))
            for i, peer in enumerate(self.peers)
        ]
        self._values: dict[str, messages.Value] = {}
        self._revision = 0
        self._watches: dict[int, messages.StartWatch] = {}
        versions = {"atlas-1": {"prompt_price": 1, "output_price": 1}}
        platform = {"models": {"atlas": {"versions": versions}}}
        self.write("platform", json.dumps(platform))
        for number in range(TEAMS):
            self.write(f"team-{number}", _write_branch(number, 0))
        seen = messages.MembersUpdated(tuple(self.peers))
        for place in range(size):
            self._at(self._random.random(), ("event", place, seen))
            self._at(self._random.random(), ("tick", place))

    def _is_near(self, one: int, other: int) -> bool:
        centres = [self.peers[i].data_centre for i in (one, other)]
        return one != other and centres[0] == centres[1]

    def _at(self, delay_s: float, action: tuple) -> None:
        heapq.heappush(
            self._queue, (self.now + delay_s, next(self._order), action)
        )

    def run_until(self, end: float) -> None:
        """Carries out everything that is due before a time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, (name, *arguments) = heapq.heappop(self._queue)
            getattr(self, f"_do_{name}")(*arguments)
        self.now = end

    def write(self, branch: str, text: str) -> int:
        """Writes a branch at the store and answers the watches."""
        self._revision += 1
        key = f"config/{branch}"
        self._values[key] = messages.Value(key, self._revision, text)
        for place, watch in list(self._watches.items()):
            self._do_watch_end(place, watch)
        return self._revision

    def find_delay(self, branch: str, revision: int, limit_s: float) -> float:
        """Runs until a revision is in force on all; returns the seconds."""
        began = self.now
        while self.now - began < limit_s:
            if all(
                part.deployment.revisions.get(branch) == revision
                for part in self.parts
            ):
                return self.now - began
            self.run_until(self.now + 0.005)
        return float("inf")

    def _carry_out(self, place: int, asked: Iterable[commands.Command]) -> None:
        for command in asked:
            if isinstance(command, messages.PushDeltaTo):
                if self.lose_pushes:
                    continue
                for address in command.targets:
                    self._send(place, self._places[address], command.delta)
            elif isinstance(command, messages.StartExchanges):
                for address in command.targets:
                    self._open(place, self._places[address])
            elif isinstance(command, (messages.ReadRange, messages.StartWatch)):
                self._call_store(place, command)
            elif isinstance(command, messages.CancelCall):
                self._watches.pop(place, None)

    def _call_store(
        self,
        place: int,
        command: messages.ReadRange | messages.StartWatch,
    ) -> None:
        if self.reach is not None and place not in self.reach:
            failed = messages.StoreFailed(command.call)
            self._at(CONNECT_TIMEOUT_S, ("event", place, failed))
            return
        self.store_calls += 1
        if isinstance(command, messages.ReadRange):
            self._answer(place, command.call, 0)
        else:
            self._at(STORE_S, ("watch", place, command))

    def _answer(self, place: int, call: int, after: int) -> None:
        values = [v for v in self._values.values() if v.revision > after]
        event = messages.StoreResponded(call, tuple(values), self._revision)
        self._at(2 * STORE_S, ("event", place, event))

    def _do_watch(self, place: int, watch: messages.StartWatch) -> None:
        if self._revision > watch.after:
            self._answer(place, watch.call, watch.after)
            return
        self._watches[place] = watch
        self._at(watch.timeout_s, ("watch_end", place, watch))

    def _do_watch_end(self, place: int, watch: messages.StartWatch) -> None:
        if self._watches.get(place) is watch:
            del self._watches[place]
            self._answer(place, watch.call, watch.after)

    def _do_event(self, place: int, event: events.Event) -> None:
        self._carry_out(place, self.parts[place].handle(event, self.now))

    def _do_tick(self, place: int) -> None:
        self._at(1.0, ("tick", place))
        self._do_event(place, events.Tick())
        for choices in (range(len(self.parts)), self._own[place]):
            if choices:
                self._open(place, self._random.choice(choices))

    def _travel(self, one: int, other: int, payload: bytes) -> float:
        self.sent_bytes[one] += len(payload)
        return NEAR_S if self._is_near(one, other) else FAR_S

    def _send(self, one: int, other: int, delta: bytes) -> None:
        if delta:
            delay_s = self._travel(one, other, delta)
            self._at(delay_s, ("merge", other, delta))

    def _open(self, one: int, other: int) -> None:
        if one != other:
            digest = self.parts[one].build_digest(self.now)
            delay_s = self._travel(one, other, digest)
            self._at(delay_s, ("digest", other, one, digest, True))

    def _do_merge(self, place: int, delta: bytes) -> None:
        self._carry_out(place, self.parts[place].merge(delta, self.now))

    def _do_digest(
        self, place: int, sender: int, digest: bytes, reply: bool
    ) -> None:
        part = self.parts[place]
        own = part.build_digest(self.now)
        self._send(place, sender, part.build_delta(digest, self.now))
        if reply and own != digest:
            delay_s = self._travel(place, sender, own)
            self._at(delay_s, ("digest", sender, place, own, False))


def _measure_traffic(size: int) -> list[results.Result]:
    """Measures a fleet that loses nothing."""
    fleet = Fleet(size, seed=size)
    fleet.run_until(WARM_UP_S)
    calls, sent = fleet.store_calls, list(fleet.sent_bytes)
    fleet.run_until(fleet.now + QUIET_S)
    per_s = (fleet.store_calls - calls) / QUIET_S
    quiet_bytes = (sum(fleet.sent_bytes) - sum(sent)) / QUIET_S / size
    calls, sent, began = fleet.store_calls, list(fleet.sent_bytes), fleet.now
    worst_s = 0.0
    for nonce in range(1, CHANGES + 1):
        revision = fleet.write("team-3", _write_branch(3, nonce))
        delay_s = fleet.find_delay("team-3", revision, 30.0)
        worst_s = max(worst_s, delay_s)
        fleet.run_until(began + nonce * CHANGE_PERIOD_S)
    span_s = fleet.now - began
    extra = (fleet.store_calls - calls - per_s * span_s) / CHANGES
    busy = [
        (after - before) / span_s
        for before, after in zip(sent, fleet.sent_bytes, strict=True)
    ]
    found: list[tuple[str, float, float]] = [
        ("in force on all [s]", worst_s, IN_FORCE_BOUNDS_S[size]),
        ("store calls [1/s]", per_s, STORE_READS_PER_S / 10),
        ("further store calls per change", extra, 2.0 * 14),
    ]
    for name, value in (
        ("no change", quiet_bytes),
        ("a change each 10 s", sum(busy) / size),
        ("a change each 10 s, busiest node", max(busy)),
    ):
        name = f"payload sent per node, {name} [B/s]"
        found.append((name, value, NODE_BYTES_PER_S))
    prefix = f"configuration, {size} processes:"
    return [
        results.Result(f"{prefix} {name}", value, bound)
        for name, value, bound in found
    ]


def _measure_faults(size: int) -> list[results.Result]:
    """Measures the delay with lost pushes and without the store."""
    fleet = Fleet(size, seed=size)
    fleet.run_until(WARM_UP_S)
    delays = {}
    fleet.lose_pushes = True
    revision = fleet.write("team-3", _write_branch(3, 1))
    delays["all pushes lost"] = fleet.find_delay("team-3", revision, 60.0)
    # The last process of its data centre is no watcher in a large fleet.
    fleet.reach = {size - 1}
    fleet.run_until(fleet.now + OUTAGE_S)
    revision = fleet.write("team-3", _write_branch(3, 2))
    delays["and one process reaches the store"] = fleet.find_delay(
        "team-3", revision, 60.0
    )
    fleet.reach = set()
    fleet.run_until(fleet.now + OUTAGE_S)
    revision = fleet.write("team-3", _write_branch(3, 3))
    fleet.reach = None
    calls = fleet.store_calls
    delays["and the store returns"] = fleet.find_delay("team-3", revision, 60.0)
    prefix = f"configuration, {size} processes,"
    found = [
        results.Result(
            f"{prefix} {name}: in force on all [s]",
            delay_s,
            IN_FORCE_BOUNDS_S[size],
        )
        for name, delay_s in delays.items()
    ]
    calls = fleet.store_calls - calls
    name = f"{prefix} store calls until then"
    return [*found, results.Result(name, calls, STORE_READS_PER_S)]


def run() -> list[results.Result]:
    """Measures fleets of each size."""
    found = []
    for size in SIZES:
        found.extend(_measure_traffic(size))
        found.extend(_measure_faults(size))
    return found
