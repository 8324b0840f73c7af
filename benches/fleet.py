"""Drives many members in one process through the decision interface."""

from collections.abc import Callable
import heapq
import itertools
import random
import time

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import membership
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.decisions.replication import records
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.shells import envelopes

TICK_S = 1.0
CALL_TIMEOUT_S = 1.0
LATENCY_S = (0.001, 0.02)
SEEDS = 3


def measure_bytes(call: exchange.SendCall | exchange.SendReply) -> int:
    """Returns the length of an envelope as encoded on the wire."""
    envelope = envelopes.encode(call.sender, call.items)
    return len(envelope.SerializeToString())


class Node:
    """One simulated entry process.

    Attributes:
        changes: Time and command of everything that was not a call.
        sent: Bytes sent; `received` and `messages` likewise.
    """

    def __init__(
        self,
        me: members.Member,
        seeds: tuple[str, ...],
        rng: random.Random,
        now: float,
    ):
        self.peers = membership.Membership(me, seeds, rng, now)
        self.records = records.ReplicatedRecords()
        self.exchange = exchange.Exchange(self.peers, (self.records,))
        self.address = me.address
        self.data_centre = me.data_centre
        self.running = True
        self.frozen = False
        self.backlog: list[events.Event] = []
        self.changes: list[tuple[float, commands.Command]] = []
        self.sent = 0
        self.received = 0
        self.messages = 0
        self.cpu_s = 0.0

    def view(self) -> dict[str, members.Member]:
        """Returns the live members by address."""
        return {member.address: member for member in self.peers.list_live()}


class Fleet:
    """Members, simulated time and a network with faults."""

    def __init__(self, seed: int, data_centres: int = 7):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.cuts: Callable[[Node, Node], bool] = lambda _source, _target: False
        self._data_centres = data_centres
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._calls: dict[int, Callable[[exchange.SendReply], None]] = {}
        self._numbers = itertools.count(1)

    def start(
        self, number: int, known: tuple[members.Member, ...] = ()
    ) -> Node:
        """Starts a process under the address of a number.

        Args:
            number: Determines the address and the data centre.
            known: Records to hold from the start, to skip the joining phase.
        """
        address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
        me = members.Member(
            f"{address}:7400",
            f"dc-{number % self._data_centres}",
            1_790_000_000_000_000_000 + int(self.now * 1e9) + number,
        )
        seeds = tuple(f"10.0.0.{seed}:7400" for seed in range(SEEDS))
        rng = random.Random(self.rng.random())
        node = Node(me, seeds, rng, self.now)
        for member in known:
            heard = membership.MessageReceived(
                member.address, member.data_centre, member.incarnation
            )
            node.peers.handle(heard, self.now)
        self.nodes[me.address] = node
        self._at(
            self.now + self.rng.random() * TICK_S, lambda: self._tick(node)
        )
        return node

    def start_joined(self, count: int) -> list[Node]:
        """Starts processes that know each other already."""
        nodes = [self.start(number) for number in range(count)]
        known = tuple(node.peers.self_record for node in nodes)
        for node in nodes:
            for member in known:
                heard = membership.MessageReceived(
                    member.address, member.data_centre, member.incarnation
                )
                node.peers.handle(heard, self.now)
        return nodes

    def kill(self, node: Node) -> None:
        """Ends a process without notice."""
        node.running = False

    def freeze(self, node: Node) -> None:
        """Pauses a process; what reaches it waits."""
        node.frozen = True

    def resume(self, node: Node) -> None:
        """Lets a paused process go on with what waited."""
        node.frozen = False
        waiting, node.backlog = node.backlog, []
        for event in waiting:
            self.deliver(node, event)

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def run_until(self, done: Callable[[], bool], limit_s: float) -> float:
        """Advances time in steps of 0.1 s; returns the seconds it took."""
        began = self.now
        while not done() and self.now - began < limit_s:
            self.run(0.1)
        return self.now - began

    def deliver(self, node: Node, event: events.Event) -> None:
        """Gives an event to a process and carries out its commands."""
        if not node.running:
            return
        if node.frozen:
            node.backlog.append(event)
            return
        began = time.process_time()
        asked = node.exchange.handle(event, self.now)
        node.cpu_s += time.process_time() - began
        self.carry_out(node, asked)

    def carry_out(self, node: Node, asked: list[commands.Command]) -> None:
        """Carries out the commands of a process."""
        for command in asked:
            if isinstance(command, exchange.SendCall):
                self._call(node, command)
            elif isinstance(command, exchange.SendReply):
                self._calls.pop(command.call)(command)
            elif isinstance(command, payloads.PushDelta):
                self.carry_out(node, node.exchange.push_delta(command))
            else:
                node.changes.append((self.now, command))

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), action))

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        if not node.frozen:
            self.deliver(node, events.Tick())
        self._at(self.now + TICK_S, lambda: self._tick(node))

    def _call(self, source: Node, call: exchange.SendCall) -> None:
        """Carries a call; a lost one fails after the timeout."""
        size = measure_bytes(call)
        source.sent += size
        source.messages += 1
        started = self.now
        number = next(self._numbers)
        answered: list[exchange.SendReply] = []

        def fail() -> None:
            if not answered:
                failed = exchange.CallFailed(call.peer, started)
                self.deliver(source, failed)

        def reply(answer: exchange.SendReply) -> None:
            if self.now - started >= CALL_TIMEOUT_S:
                return
            answered.append(answer)
            self._send(source, call.peer, answer)

        def arrive() -> None:
            target = self.nodes.get(call.peer)
            if target is None or not target.running:
                return
            if self.cuts(source, target):
                return
            target.received += size
            self._calls[number] = reply
            incoming = exchange.CallReceived(number, call.sender, call.items)
            self.deliver(target, incoming)

        self._at(self.now + self.rng.uniform(*LATENCY_S), arrive)
        self._at(started + CALL_TIMEOUT_S, fail)

    def _send(
        self, source: Node, peer: str, answer: exchange.SendReply
    ) -> None:
        """Carries the answer of a call back to its source."""
        size = measure_bytes(answer)
        target = self.nodes[peer]
        target.sent += size
        target.messages += 1

        def arrive() -> None:
            source.received += size
            event = exchange.ReplyReceived(peer, answer.sender, answer.items)
            self.deliver(source, event)

        self._at(self.now + self.rng.uniform(*LATENCY_S), arrive)
