"""Whole nodes with their network, store and engines in simulated time."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import json
import random

from benches import sites
from benches import timed_engine
from sycamorehollow.decisions import node as nodes
from sycamorehollow.decisions import node_components
from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.operations import configuration_messages
from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import identity
from sycamorehollow.model import lifecycle
from sycamorehollow.settings import tree

TICK_S = 0.1
STEP_S = 0.02
POLL_S = 1.0
STORE_S = 0.005
CALL_TIMEOUT_S = 1.0
# A stream that is cut by a partition counts as silent after this time.
SILENCE_S = 5.0


@dataclasses.dataclass(frozen=True)
class FirstToken(commands.Command):
    """Tells the callers that the first token of a response passed a node."""

    request_id: str


class World:
    """Runs the nodes of a site.

    Attributes:
        cut: A data centre that reaches neither the others nor the store.
        store_up: Whether the store responds.
        take: Takes the commands that concern callers.
    """

    def __init__(self, site: sites.Site, seed: int):
        self.site = site
        self.now = 0.0
        self.store_up = True
        self.cut = ""
        self.take: Callable[[str, commands.Command], None] = lambda _a, _c: None
        self._source = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._replies: dict[int, Callable[[exchange.SendReply], None]] = {}
        self._asks: dict[str, tuple[str, str]] = {}
        self._values: dict[str, configuration_messages.Value] = {}
        self._revision = 0
        self._watches: dict[str, configuration_messages.StartWatch] = {}
        # The node, request and attempt of each run, and its engine.
        self.runs: dict[str, tuple[str, lifecycle.StartAttempt]] = {}
        self.engines: dict[str, timed_engine.TimedEngine] = {}
        self.centres: dict[str, str] = {}
        self.nodes: dict[str, nodes.Node] = {}
        self._build()

    def _build(self) -> None:
        for place, count in enumerate(self.site.replicas):
            for number in range(count):
                name = f"u{place}{number}"
                self.centres[name] = f"dc-{place}"
                self.engines[name] = timed_engine.TimedEngine(
                    name,
                    sites.CAPACITY_TOKENS,
                    sites.RATE,
                    sites.REQUEST_RATE,
                    sites.BEARABLE,
                )
        self.write_platform()
        team = {"workspaces": self.site.workspaces}
        self.write("team", json.dumps(team))
        addresses = [
            (f"10.0.{place}.{slot}:7400", place, slot)
            for place in range(len(self.site.replicas))
            for slot in range(self.site.entries)
        ]
        seeds = tuple(address for address, _, _ in addresses)
        for address, place, slot in addresses:
            self.centres[address] = f"dc-{place}"
            options = node_components.Options(
                identity.Process(address, f"dc-{place}", 1),
                slot,
                self.site.entries,
                seeds,
                keyrings.KeyRing("k", {"k": b"secret"}),
                tree.convert,
                lambda: int(self.now),
            )
            source = random.Random(self._source.random())
            self.nodes[address] = nodes.Node(options, source, 0.0)
            self._every(TICK_S, address, self._tick)
            self._every(POLL_S, address, self._poll)

    def write_platform(self, out: str = "") -> None:
        """Writes the platform branch with one data centre out of service."""
        replicas = {name: self.centres[name] for name in self.engines}
        document = sites.write_platform(replicas, out, self._revision)
        self.write("platform", document)

    def write(self, branch: str, text: str) -> None:
        """Writes a branch at the store and answers the watches."""
        self._revision += 1
        key = f"config/{branch}"
        self._values[key] = configuration_messages.Value(
            key, self._revision, text
        )
        for address in list(self._watches):
            self._end_watch(address, self._watches[address])

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Carries out an action at a time."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self, end: float) -> None:
        """Advances simulated time."""
        while self.now < end:
            until = self.now + STEP_S
            while self._queue and self._queue[0][0] <= until:
                self.now, _, action = heapq.heappop(self._queue)
                action()
            for engine in self.engines.values():
                for progress in engine.advance(until - STEP_S, STEP_S):
                    self._progress(engine.name, progress)
            self.now = until

    def give(self, address: str, event: events.Event) -> None:
        """Gives an event to a node and carries out its commands."""
        for command in self.nodes[address].handle(event, self.now):
            self._carry_out(address, command)

    def reaches(self, one: str, other: str) -> bool:
        """Tells whether messages pass; the store is in no data centre."""
        centres = self.centres.get(one, ""), self.centres.get(other, "")
        return (
            centres[0] == centres[1]
            or self.cut not in centres
            or (not self.cut)
        )

    def delay_s(self, one: str, other: str) -> float:
        """Returns the time of a message in seconds."""
        if self.centres[one] == self.centres[other]:
            return self.site.near_s
        return self.site.far_s

    def _every(
        self, period_s: float, address: str, action: Callable[[str], None]
    ) -> None:
        def repeat() -> None:
            action(address)
            self.at(self.now + period_s, repeat)

        self.at(self._source.random() * period_s, repeat)

    def _tick(self, address: str) -> None:
        self.give(address, events.Tick())

    def _poll(self, address: str) -> None:
        asked_at = self.now
        for name, engine in self.engines.items():
            if not self.reaches(address, name):
                continue
            report = upstream_events.LoadReported(
                name,
                asked_at,
                1,
                False,
                engine.bearable,
                engine.held_tokens,
                engine.capacity_tokens,
                engine.running,
            )
            self._send(2 * self.delay_s(address, name), address, report)

    def _send(self, delay_s: float, address: str, event: events.Event) -> None:
        self.at(self.now + delay_s, lambda: self.give(address, event))

    def _carry_out(self, address: str, command: commands.Command) -> None:
        match command:
            case exchange.SendCall():
                self._call(address, command)
            case exchange.SendReply():
                self._replies.pop(command.call)(command)
            case configuration_messages.ReadRange():
                self._read(address, command)
            case configuration_messages.StartWatch():
                self._watch(address, command)
            case billing_messages.WriteBatch():
                self._write_batch(address, command)
            case billing_messages.SpoolToPeer():
                self._spool(address, command)
            case billing_messages.ReplyToSpool():
                origin, op = self._asks.pop(command.peer_request_id)
                held = billing_messages.SpoolAcknowledged(op)
                self._send(self.delay_s(address, origin), origin, held)
            case billing_messages.NotifyAdvance():
                advance = billing_messages.OriginAdvanced(
                    self.nodes[address].process, command.oldest
                )
                peer = command.peer.address
                if self.reaches(address, peer):
                    self._send(self.delay_s(address, peer), peer, advance)
            case lifecycle.StartAttempt():
                self._start(address, command)
            case _:
                self._take_caller(address, command)

    def _take_caller(self, address: str, command: commands.Command) -> None:
        if isinstance(command, lifecycle.CancelAttempt):
            found = self.runs.pop(command.run_id, None)
            if found is not None:
                self.engines[found[1].upstream].cancel(command.run_id)
        self.take(address, command)

    def _call(self, address: str, call: exchange.SendCall) -> None:
        started = self.now
        if not self.reaches(address, call.peer):
            failed = exchange.CallFailed(call.peer, started)
            self._send(CALL_TIMEOUT_S, address, failed)
            return
        number = next(self._numbers)
        delay_s = self.delay_s(address, call.peer)

        def reply(answer: exchange.SendReply) -> None:
            event = exchange.ReplyReceived(
                call.peer, answer.sender, answer.items
            )
            self._send(delay_s, address, event)

        self._replies[number] = reply
        incoming = exchange.CallReceived(number, call.sender, call.items)
        self._send(delay_s, call.peer, incoming)

    def _has_store(self, address: str) -> bool:
        return self.store_up and self.centres[address] != self.cut

    def _read(
        self, address: str, command: configuration_messages.ReadRange
    ) -> None:
        if not self._has_store(address):
            failed = configuration_messages.StoreFailed(command.call)
            self._send(STORE_S, address, failed)
            return
        answer = configuration_messages.StoreResponded(
            command.call, tuple(self._values.values()), self._revision
        )
        self._send(STORE_S, address, answer)

    def _watch(
        self, address: str, command: configuration_messages.StartWatch
    ) -> None:
        self._watches[address] = command

        def end() -> None:
            if self._watches.get(address) is command:
                self._end_watch(address, command)

        changed = self._revision > command.after and self._has_store(address)
        self.at(self.now + (STORE_S if changed else command.timeout_s), end)

    def _end_watch(
        self, address: str, command: configuration_messages.StartWatch
    ) -> None:
        del self._watches[address]
        if not self._has_store(address):
            failed = configuration_messages.StoreFailed(command.call)
            self._send(STORE_S, address, failed)
            return
        values = tuple(
            value
            for value in self._values.values()
            if value.revision > command.after
        )
        answer = configuration_messages.StoreResponded(
            command.call, values, self._revision
        )
        self._send(STORE_S, address, answer)

    def _write_batch(
        self, address: str, command: billing_messages.WriteBatch
    ) -> None:
        event: events.Event = billing_messages.BatchWritten(command.op)
        if not self._has_store(address):
            event = self._fail(command.op)
        self._send(STORE_S, address, event)

    def _fail(self, op: str) -> billing_messages.OperationFailed:
        failure = failures.Overloaded(
            "Not reached.", failures.Execution.UNKNOWN
        )
        return billing_messages.OperationFailed(op, failure)

    def _spool(
        self, address: str, command: billing_messages.SpoolToPeer
    ) -> None:
        peer = command.peer.address
        if not self.reaches(address, peer):
            self._send(CALL_TIMEOUT_S, address, self._fail(command.op))
            return
        ask = str(next(self._numbers))
        self._asks[ask] = (address, command.op)
        received = billing_messages.SpoolReceived(ask, command.part)
        self._send(self.delay_s(address, peer), peer, received)

    def _start(self, address: str, command: lifecycle.StartAttempt) -> None:
        name = command.upstream
        fresh = command.resume_from is None
        if not self.reaches(address, name):
            ended = lifecycle.AttemptEnd
            end = ended.NOT_SENT if fresh else ended.LOST
            failed = lifecycle.AttemptFailed(
                command.request_id, command.attempt, end
            )
            self._send(CALL_TIMEOUT_S, address, failed)
            return
        self.runs[command.run_id] = (address, command)
        if fresh:
            when = self.now + self.delay_s(address, name)
            self.at(when, lambda: self._offer(address, command))

    def _offer(self, address: str, command: lifecycle.StartAttempt) -> None:
        if command.run_id not in self.runs:
            return
        prompt, output = self.measure(command.request_id)
        engine = self.engines[command.upstream]
        if engine.offer(command.run_id, prompt, output, self.now):
            return
        del self.runs[command.run_id]
        refused = lifecycle.AttemptFailed(
            command.request_id,
            command.attempt,
            lifecycle.AttemptEnd.REFUSED,
            "overloaded",
        )
        self._send(self.delay_s(address, command.upstream), address, refused)

    def measure(self, request_id: str) -> tuple[int, int]:
        """Returns prompt and output tokens, which the request id ends in."""
        _, prompt, output = request_id.split("-")
        return int(prompt), int(output)

    def _progress(self, name: str, progress: timed_engine.Progress) -> None:
        found = self.runs.get(progress.job)
        if found is None:
            return
        address, command = found
        request, attempt = command.request_id, command.attempt
        if progress.done:
            del self.runs[progress.job]
        if not self.reaches(address, name):
            return
        event: events.Event = lifecycle.FirstChunkArrived(request, attempt)
        if progress.done:
            prompt, output = self.measure(request)
            event = lifecycle.AttemptCompleted(request, attempt, prompt, output)
        when = max(self.now, progress.at) + self.delay_s(address, name)
        self.at(when, lambda: self._pass_on(address, event))

    def _pass_on(self, address: str, event: events.Event) -> None:
        self.give(address, event)
        if isinstance(event, lifecycle.FirstChunkArrived):
            self.take(address, FirstToken(event.request_id))

    def break_streams(self) -> None:
        """Makes the streams that cross the partition silent."""
        for run, (address, command) in list(self.runs.items()):
            if self.reaches(address, command.upstream):
                continue
            del self.runs[run]
            self.engines[command.upstream].cancel(run)
            failed = lifecycle.AttemptFailed(
                command.request_id,
                command.attempt,
                lifecycle.AttemptEnd.SILENT,
                response_started=True,
            )
            self._send(SILENCE_S, address, failed)
