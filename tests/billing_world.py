"""Processes that bill and spool under a generated fault schedule."""

from collections.abc import Callable
import functools
import random

from sycamorehollow.decisions import billing
from sycamorehollow.decisions import billing_messages as messages
from sycamorehollow.decisions import billing_reader
from sycamorehollow.decisions import billing_spool
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from tests import fakes

LOST = failures.UpstreamFailed(reason="lost", run=failures.Run.UNKNOWN)
REFUSED = failures.UpstreamFailed(reason="connection refused")


class Node:
    """One run of an entry process."""

    def __init__(self, number: int, incarnation: int):
        self.process = messages.Process(
            f"p{number}", f"dc{number % 2}", incarnation
        )
        rng = random.Random(f"{number} {incarnation}")
        self.billing = billing.Billing(self.process, rng)
        self.spool = billing_spool.Spool(self.process, rng)
        self.alive = True
        self.paused = False


class World:
    """Carries out, loses, delays or refuses the commands of billing."""

    def __init__(self, schedule: fakes.Schedule, processes: int = 3):
        self.schedule = schedule
        self.now = 100.0
        self.store = fakes.Store()
        self.store_up = True
        self.faults = True
        self.nodes = [Node(n, 1) for n in range(processes)]
        self.pending: list[tuple[Node, commands.Command]] = []
        self.late: list[Callable[[], None]] = []
        self.asks: dict[str, tuple[Node, str]] = {}
        # Per bill: the processes that were given it.
        self.holders: dict[str, set[Node]] = {}
        self.origins: dict[str, Node] = {}
        self.released: dict[str, bool] = {}
        self.fault = ""
        self._next = 0
        for node in self.nodes:
            self.tell_peers(node)

    def run(self) -> None:
        """Follows the schedule to its end, then lets everything settle."""
        steps = [
            self.bill,
            self.bill,
            self.carry_out,
            self.carry_out,
            self.carry_out,
            self.carry_out,
            self.land,
            self.advance,
            self.advance,
            self.kill,
            self.pause,
            self.toggle_store,
            self.partition,
        ]
        while not self.schedule.ended:
            steps[self.schedule.pick(len(steps))]()
        self.settle()

    def bill(self) -> None:
        node = self.nodes[self.schedule.pick(len(self.nodes))]
        self._next += 1
        self.bill_at(node, f"b{self._next}")

    def bill_at(self, node: Node, token: str) -> None:
        """Bills one response of 1,000 nano-units."""
        self.origins[token] = node
        self.holders[token] = {node}
        bill = messages.Bill("w", token, "v", 1, 1, 1000)
        self.give(node, messages.BillReady(token, bill))

    def give(self, node: Node, event: events.Event) -> None:
        """Gives an event to both parts of a node."""
        if not node.alive:
            return
        for part in (node.billing, node.spool):
            for command in part.handle(event, self.now):
                self._take(node, command)

    def _take(self, node: Node, command: commands.Command) -> None:
        if isinstance(command, messages.ReleaseAnswer):
            if command.token in self.released:
                self.fault = f"{command.token} released twice"
            self.released[command.token] = command.exposed
            if not command.exposed and not self._is_safe(command.token):
                self.fault = f"{command.token} released too early"
        elif isinstance(command, messages.AnswerSpool):
            asker, op = self.asks.pop(command.ask, (None, ""))
            if asker is None:
                return
            answer: events.Event = messages.SpoolAcknowledged(op)
            if command.failure is not None:
                answer = messages.OperationFailed(op, command.failure)
            self.give(asker, answer)
        else:
            self.pending.append((node, command))

    def _is_safe(self, token: str) -> bool:
        return len(self.holders[token]) > 1 or token in self.read_bills()

    def read_bills(self) -> dict[str, messages.Bill]:
        """Returns the bills in the reader's view by identity."""
        return {b.identity: b for b in self.make_reader().list_bills()}

    def make_reader(self) -> billing_reader.BillReader:
        reader = billing_reader.BillReader()
        for key, (value, _) in self.store.values.items():
            if key.startswith(messages.BILLS_PREFIX):
                reader.add(value)
        return reader

    def carry_out(self) -> None:
        """Carries out one command of a process that is not paused."""
        ready = [n for n, p in enumerate(self.pending) if not p[0].paused]
        if not ready:
            return
        index = ready[self.schedule.pick(len(ready)) if self.faults else 0]
        node, command = self.pending.pop(index)
        variant = self.schedule.pick(6) if self.faults else 0
        if isinstance(command, messages.WriteBatch) and not self.store_up:
            variant = 3
        op = getattr(command, "op", "")
        # 0 to 2: carried out. 3: refused. 4: in effect later. 5: response lost.
        if variant == 3:
            self.give(node, messages.OperationFailed(op, REFUSED))
        elif variant == 4:
            self.late.append(lambda: self._perform(node, command, False))
            self.give(node, messages.OperationFailed(op, LOST))
        elif variant == 5:
            self._perform(node, command, False)
            self.give(node, messages.OperationFailed(op, LOST))
        else:
            self._perform(node, command, True)

    def _perform(
        self, node: Node, command: commands.Command, heard: bool
    ) -> None:
        if isinstance(command, messages.WriteBatch):
            answer: events.Event = messages.BatchWritten(command.op)
            if not self.store.write(command.key, command.value, 0):
                value = self.store.values[command.key][0]
                answer = messages.BatchConflict(command.op, value)
            if heard:
                self.give(node, answer)
            return
        assert isinstance(command, messages.SpoolToPeer | messages.TellAdvance)
        target = self._find(command.peer)
        if isinstance(command, messages.TellAdvance):
            if target is not None:
                advance = messages.OriginAdvanced(node.process, command.oldest)
                self.give(target, advance)
            return
        if target is None:
            if heard:
                failed = messages.OperationFailed(command.op, REFUSED)
                self.give(node, failed)
            return
        for token in self.holders:
            if any(f'"{token}"' in item for item in command.part.items):
                self.holders[token].add(target)
        self._next += 1
        ask = f"ask{self._next}"
        if heard:
            self.asks[ask] = (node, command.op)
        self.give(target, messages.SpoolReceived(ask, command.part))

    def _find(self, process: messages.Process) -> Node | None:
        for node in self.nodes:
            if node.process == process and not node.paused:
                return node
        return None

    def land(self) -> None:
        """Lets one late message take effect."""
        if self.late:
            self.late.pop(self.schedule.pick(len(self.late)))()

    def advance(self) -> None:
        self.tick((0.02, 0.5, 2.0, 60.0)[self.schedule.pick(4)])

    def tick(self, seconds: float) -> None:
        self.now += seconds
        for node in list(self.nodes):
            if not node.paused:
                self.give(node, events.Tick())

    def tell_peers(self, node: Node) -> None:
        peers = tuple(n.process for n in self.nodes if n is not node)
        self.give(node, messages.PeersChanged(peers))

    def kill(self) -> None:
        """Kills a process and starts a new run at its address."""
        index = self.schedule.pick(len(self.nodes))
        old = self.nodes[index]
        old.alive = False
        self.nodes[index] = Node(index, old.process.incarnation + 1)
        for entry in list(self.pending):
            if entry[0] is old:
                self.pending.remove(entry)
                if self.schedule.pick(2):
                    self.late.append(
                        functools.partial(self._perform, old, entry[1], False)
                    )
        for node in self.nodes:
            self.give(node, messages.OriginGone(old.process))
            self.tell_peers(node)

    def pause(self) -> None:
        """Pauses a process, which its peers may take for ended, or resumes."""
        node = self.nodes[self.schedule.pick(len(self.nodes))]
        node.paused = not node.paused
        if node.paused and self.schedule.pick(2):
            for other in self.nodes:
                if other is not node:
                    self.give(other, messages.OriginGone(node.process))

    def toggle_store(self) -> None:
        self.store_up = not self.store_up

    def partition(self) -> None:
        """Takes all peers from a process, or gives them back."""
        node = self.nodes[self.schedule.pick(len(self.nodes))]
        if self.schedule.pick(2):
            self.give(node, messages.PeersChanged(()))
        else:
            self.tell_peers(node)

    def settle(self) -> None:
        """Ends all faults and lets every process finish its work."""
        self.faults = False
        self.store_up = True
        for node in self.nodes:
            node.paused = False
            self.tell_peers(node)
        for _ in range(30):
            while self.late:
                self.late.pop(0)()
            for _ in range(500):
                if not self.pending:
                    break
                self.carry_out()
            self.tick(6.0)
            if not self.pending and not any(
                n.billing.pending for n in self.nodes
            ):
                return

    def _count_unwritten(self) -> int:
        return sum(node.billing.pending for node in self.nodes)


def find_fault(world: World) -> str:
    """Returns the first broken invariant of a settled world, or ''."""
    if world.fault:
        return world.fault
    bills = world.read_bills()
    for token, holders in world.holders.items():
        if token not in bills and any(node.alive for node in holders):
            return f"{token} is lost"
        if world.origins[token].alive and token not in world.released:
            return f"{token} is never released"
    for token in bills:
        if token not in world.holders:
            return f"{token} was never made"
    totals = world.make_reader().sum_workspaces()
    if bills and totals["w"].amount != 1000 * len(bills):
        return f"{totals['w'].amount} billed for {len(bills)} requests"
    for node in world.nodes:
        if node.billing.pending or node.billing.held_bytes:
            return "a process keeps bills that are stored"
    return ""
