"""Processes that bill and spool under a generated fault schedule."""

import random

from sycamorehollow.decisions.bills import billing
from sycamorehollow.decisions.bills import billing_encoding
from sycamorehollow.decisions.bills import billing_messages as messages
from sycamorehollow.decisions.bills import billing_reader
from sycamorehollow.decisions.bills import billing_spool
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from tests import worlds

LOST = failures.UpstreamFailed(
    reason="lost", execution=failures.Execution.UNKNOWN
)
REFUSED = failures.UpstreamFailed(reason="connection refused")


class Node:
    """One incarnation of an entry process."""

    def __init__(self, number: int, incarnation: int):
        zone = f"dc{number % 2}"
        self.process = messages.Process(f"p{number}", zone, incarnation)
        rng = random.Random(f"{number} {incarnation}")
        self.billing = billing.Billing(self.process, rng)
        self.spool = billing_spool.Spool(self.process, rng)
        self.parts = (self.billing, self.spool)
        self.alive = True
        self.paused = False


class World(worlds.World):
    """Processes that bill, spool for each other and write to a store."""

    steps = (
        *("bill", "carry_out", "carry_out") * 2,
        *("advance",) * 2,
        *("land", "kill", "pause", "toggle_store", "partition"),
    )
    store_commands = messages.WriteBatch
    make_node = Node

    def __init__(self, schedule: worlds.Schedule, processes: int = 3):
        super().__init__(schedule, processes)
        # Per bill, the processes that received it.
        self.holders: dict[str, set[Node]] = {}
        self.origins: dict[str, Node] = {}
        self.released: dict[str, bool] = {}
        self.fault = ""
        for node in self.nodes:
            self.tell_peers(node)

    def make_failure(self, op: str, sent: bool) -> events.Event:
        return messages.OperationFailed(op, LOST if sent else REFUSED)

    def count_unfinished(self) -> int:
        return sum(node.billing.pending_count for node in self.nodes)

    def after_kill(self, old: Node) -> None:
        for node in self.nodes:
            self.give(node, messages.OriginEnded(old.process))
            self.tell_peers(node)

    def settle(self) -> None:
        for node in self.nodes:
            node.paused = False
            self.tell_peers(node)
        super().settle()

    def bill(self) -> None:
        """Bills one response at 1,000 nano-units."""
        node, token = self.pick_node(), self.make_id()
        self.origins[token] = node
        self.holders[token] = {node}
        bill = messages.Bill("w", token, "v", 1, 1, 1000)
        self.give(node, messages.BillReady(token, bill))

    def take(self, node: Node, command: commands.Command) -> None:
        if isinstance(command, messages.ReleaseResponse):
            if command.token in self.released:
                self.fault = f"{command.token} released twice"
            self.released[command.token] = command.exposed
            if not command.exposed and not self._is_safe(command.token):
                self.fault = f"{command.token} released too early"
        elif isinstance(command, messages.ReplyToSpool):
            asker, op = self.asks.pop(command.peer_request_id, (None, ""))
            answer: events.Event = messages.SpoolAcknowledged(op)
            if command.failure is not None:
                answer = messages.OperationFailed(op, command.failure)
            if asker is not None:
                self.give(asker, answer)
        else:
            self.pending.append((node, command))

    def _is_safe(self, token: str) -> bool:
        return len(self.holders[token]) > 1 or token in self.read_bills()

    def read_bills(self) -> dict[str, messages.Bill]:
        """Returns the stored bills by identity, without duplicates."""
        return {b.identity: b for b in self.make_reader().list_bills()}

    def make_reader(self) -> billing_reader.BillReader:
        reader = billing_reader.BillReader()
        for key, (value, _) in self.store.values.items():
            if key.startswith(messages.BILLS_PREFIX):
                reader.add(value)
        return reader

    def perform(self, node: Node, command: commands.Command, heard: bool):
        if isinstance(command, messages.WriteBatch):
            answer: events.Event = messages.BatchWritten(command.op)
            if not self.store.write(command.key, command.value, 0):
                value = self.store.values[command.key][0]
                answer = messages.BatchConflict(command.op, value)
            if heard:
                self.give(node, answer)
            return
        assert isinstance(
            command, messages.SpoolToPeer | messages.NotifyAdvance
        )
        target = self._find(command.peer)
        if isinstance(command, messages.NotifyAdvance):
            if target is not None:
                told = (node.process, command.oldest)
                payload = billing_encoding.encode_advance(*told)
                advance = billing_encoding.decode_advance(payload)
                assert advance is not None
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
        ask = self.make_id()
        if heard:
            self.asks[ask] = (node, command.op)
        part = billing_encoding.decode_part(
            billing_encoding.encode_part(command.part)
        )
        assert part is not None
        self.give(target, messages.SpoolReceived(ask, part))

    def _find(self, process: messages.Process) -> Node | None:
        awake = [node for node in self.nodes if not node.paused]
        return next((n for n in awake if n.process == process), None)

    def tell_peers(self, node: Node) -> None:
        peers = tuple(n.process for n in self.nodes if n is not node)
        self.give(node, messages.PeersChanged(peers))

    def pause(self) -> None:
        """Pauses or resumes a process; peers may assume that it has ended."""
        node = self.pick_node()
        node.paused = not node.paused
        if node.paused and self.schedule.pick(2):
            for other in self.nodes:
                if other is not node:
                    self.give(other, messages.OriginEnded(node.process))

    def partition(self) -> None:
        """Separates a process from its peers, or reconnects it."""
        node = self.pick_node()
        if self.schedule.pick(2):
            self.give(node, messages.PeersChanged(()))
        else:
            self.tell_peers(node)


def find_fault(world: World) -> str:
    """Returns the first violated invariant of a settled world, or ''."""
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
        if node.billing.pending_count or node.billing.held_bytes:
            return "a process keeps bills that are stored"
    return ""
