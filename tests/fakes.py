"""Entry processes, a store and a service under a generated fault schedule."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
import random

from sycamorehollow.decisions import effect_messages as messages
from sycamorehollow.decisions import effects
from sycamorehollow.decisions import keyrings
from sycamorehollow.decisions import ticket_calls
from sycamorehollow.decisions import tickets
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests

RING = keyrings.KeyRing("a", {"a": b"secret"})
CALL_TIMEOUT_S = 20.0


class Schedule:
    """Choices taken from a list of numbers."""

    def __init__(self, numbers: Iterable[int]):
        self._numbers = iter(numbers)
        self.ended = False

    def pick(self, count: int) -> int:
        """Returns a choice below `count`; 0 when the list has ended."""
        number = next(self._numbers, None)
        if number is None:
            self.ended = True
            return 0
        return number % count


class Store:
    """A key-value store with compare-and-swap that counts its calls."""

    def __init__(self):
        self.values: dict[str, tuple[str, int]] = {}
        self.revision = 0
        self.calls = 0

    def read(self, key: str) -> tuple[str | None, int]:
        self.calls += 1
        return self.values.get(key, (None, 0))

    def write(self, key: str, value: str, expect: int | None) -> bool:
        self.calls += 1
        if expect is not None and self.values.get(key, (None, 0))[1] != expect:
            return False
        self.revision += 1
        self.values[key] = (value, self.revision)
        return True


class Service:
    """A service that runs whatever arrives and remembers it by key."""

    def __init__(self):
        self.effects: dict[bytes, int] = {}
        self.outcomes: dict[str, messages.Outcome] = {}
        self.requests: list[str] = []

    def run(self, dispatch: messages.Dispatch) -> messages.Outcome:
        body = dispatch.call.body
        self.requests.append(dispatch.call.request_id)
        self.effects[body] = self.effects.get(body, 0) + 1
        outcome = messages.Outcome(200, b"done " + body)
        self.outcomes[dispatch.service_key] = outcome
        return outcome


class Node:
    """One run of an entry process."""

    def __init__(self, address: str, incarnation: int):
        self.process = messages.Process(address, "dc", incarnation)
        rng = random.Random(f"{address} {incarnation}")
        self.issuer = tickets.TicketIssuer(self.process, RING)
        self.keys = effects.KeyCalls(self.process, self.issuer, rng)
        self.tickets = ticket_calls.TicketCalls(self.process, RING, rng)
        self.paused = False
        self.alive = True


@dataclasses.dataclass
class Intent:
    """What one caller wants to happen once, and what it was told.

    Attributes:
        attempts: Result of each attempt by request id; `None` while missing.
        nodes: Node of each attempt.
    """

    key: str
    body: bytes
    attempts: dict[str, messages.Result | None] = dataclasses.field(
        default_factory=dict
    )
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    keys: list[str] = dataclasses.field(default_factory=list)

    @property
    def refused(self) -> bool:
        """Whether the caller has only seen refusals with `run: no`."""
        for result in self.attempts.values():
            if not isinstance(result, failures.Failure):
                return False
            if result.run is not failures.Run.NO:
                return False
        return True


class World:
    """Processes whose commands are carried out, lost, delayed or refused."""

    def __init__(self, schedule: Schedule, processes: int = 3):
        self.schedule = schedule
        self.now = 100.0
        self.store = Store()
        self.service = Service()
        self.store_up = True
        self.faults = True
        self.nodes = [Node(f"p{n}", 1) for n in range(processes)]
        self.pending: list[tuple[Node, commands.Command]] = []
        self.late: list[Callable[[], object]] = []
        self.asks: dict[str, tuple[Node, str]] = {}
        # Two callers share a key by mistake.
        self.intents = [
            Intent("k", b"0"),
            Intent("k", b"1"),
            Intent("other", b"2"),
        ]
        self.owners: dict[str, Intent] = {}
        self.answers: dict[str, messages.Result] = {}
        self._next = 0

    def run(self) -> None:
        """Follows the schedule to its end, then lets everything settle."""
        steps = [
            self.start_attempt,
            self.start_attempt,
            self.carry_out,
            self.carry_out,
            self.carry_out,
            self.carry_out,
            self.carry_out,
            self.land,
            self.advance,
            self.kill,
            self.pause,
            self.toggle_store,
        ]
        while not self.schedule.ended:
            steps[self.schedule.pick(len(steps))]()
        self.settle()

    def start_attempt(self) -> None:
        intent = self.intents[self.schedule.pick(len(self.intents))]
        node = self.nodes[self.schedule.pick(len(self.nodes))]
        if not intent.attempts and self.schedule.pick(4) == 0:
            intent.key = node.issuer.issue("w", self.now)
        for result in intent.attempts.values():
            ticket = getattr(result, "ticket", "")
            if ticket and intent.refused and self.schedule.pick(2):
                intent.key = ticket
                break
        self.submit(intent, node)

    def submit(self, intent: Intent, node: Node) -> str:
        """Sends an attempt to a node and returns its request id."""
        request_id = self._make_id()
        intent.attempts[request_id] = None
        intent.nodes[request_id] = node
        if intent.key not in intent.keys:
            intent.keys.append(intent.key)
        self.owners[request_id] = intent
        call = requests.ServiceCall(
            request_id,
            "w",
            "filing",
            "lodge",
            intent.key,
            intent.body,
            self.now + CALL_TIMEOUT_S,
        )
        self.give(node, messages.CallArrived(call))
        return request_id

    def ask_outcome(self, node: Node, key: str) -> messages.Result:
        """Asks for an outcome in a settled world."""
        request_id = self._make_id()
        asked = messages.OutcomeAsked(
            request_id, "w", key, self.now + 1e6, "filing", "lodge"
        )
        self.give(node, asked)
        self.settle()
        return self.answers[request_id]

    def give(self, node: Node, event: events.Event) -> None:
        """Gives an event to both parts of a node."""
        if not node.alive:
            return
        for part in (node.keys, node.tickets):
            for command in part.handle(event, self.now):
                self._take(node, command)

    def _take(self, node: Node, command: commands.Command) -> None:
        if isinstance(command, messages.Reply):
            self._take_reply(command)
        elif isinstance(command, messages.AnswerPeer):
            asker, op = self.asks.pop(command.ask, (None, ""))
            if asker is not None:
                self.give(asker, messages.OwnerAnswered(op, command.result))
        elif not isinstance(command, messages.SpoolOutcome):
            self.pending.append((node, command))

    def _take_reply(self, reply: messages.Reply) -> None:
        assert reply.request_id not in self.answers, "replied twice"
        self.answers[reply.request_id] = reply.result
        intent = self.owners.get(reply.request_id)
        if intent is not None:
            intent.attempts[reply.request_id] = reply.result

    def carry_out(self) -> None:
        """Carries out one command of a process that is not paused."""
        ready = [n for n, p in enumerate(self.pending) if not p[0].paused]
        if not ready:
            return
        index = ready[self.schedule.pick(len(ready)) if self.faults else 0]
        node, command = self.pending.pop(index)
        variant = self.schedule.pick(7) if self.faults else 0
        # 0 to 3: carried out. 4: nothing sent. 5: sent, and it takes effect
        # later. 6: the response is lost.
        if not self.store_up:
            if isinstance(command, messages.ReadRecord | messages.WriteRecord):
                variant = 4
        op = getattr(command, "op", "")
        if variant == 4:
            self.give(node, messages.NotSent(op, "connection refused"))
        elif variant == 5:
            self.late.append(lambda: self._perform(node, command, False))
            self.give(node, messages.InDoubt(op, "silent"))
        elif variant == 6:
            self._perform(node, command, False)
            self.give(node, messages.InDoubt(op, "response lost"))
        else:
            self._perform(node, command, True)

    def _perform(
        self, node: Node, command: commands.Command, heard: bool
    ) -> None:
        """Lets a command take effect; `heard` tells whether it is answered."""
        event: events.Event | None = None
        if isinstance(command, messages.ReadRecord):
            value, revision = self.store.read(command.key)
            event = messages.RecordRead(command.op, value, revision)
        elif isinstance(command, messages.WriteRecord):
            event = self._write(command)
        elif isinstance(command, messages.Dispatch):
            if heard and self.now >= command.not_after:
                event = messages.NotSent(command.op, "too late")
            else:
                outcome = self.service.run(command)
                event = messages.ServiceAnswered(command.op, outcome)
        elif isinstance(command, messages.LookUp):
            found = self.service.outcomes.get(command.service_key)
            event = messages.LookedUp(command.op, found)
        elif isinstance(command, messages.AskOwner):
            self._ask(node, command, heard)
        if heard and event is not None:
            self.give(node, event)

    def _write(self, command: messages.WriteRecord) -> events.Event:
        if self.store.write(command.key, command.value, command.expect):
            return messages.RecordWritten(command.op, self.store.revision)
        value, revision = self.store.values.get(command.key, (None, 0))
        return messages.RecordConflict(command.op, revision, value)

    def _ask(self, node: Node, command: messages.AskOwner, heard: bool) -> None:
        for target in self.nodes:
            if target.process.address != command.address:
                continue
            if target.paused:
                if heard:
                    self.give(node, messages.InDoubt(command.op, "silent"))
                return
            ask = self._make_id()
            if heard:
                self.asks[ask] = (node, command.op)
            asked = messages.PeerAsked(
                ask,
                command.incarnation,
                command.workspace,
                command.key,
                command.call,
                command.deadline,
            )
            self.give(target, asked)

    def land(self) -> None:
        """Lets one late message take effect."""
        if self.late:
            self.late.pop(self.schedule.pick(len(self.late)))()

    def advance(self) -> None:
        self.tick((0.5, 5.0, 60.0, 700.0)[self.schedule.pick(4)])

    def tick(self, seconds: float) -> None:
        self.now += seconds
        for node in list(self.nodes):
            if not node.paused:
                self.give(node, events.Tick())

    def kill(self) -> None:
        """Kills a process and starts a new run at its address."""
        index = self.schedule.pick(len(self.nodes))
        old = self.nodes[index]
        old.alive = False
        self.nodes[index] = Node(
            old.process.address, old.process.incarnation + 1
        )
        for entry in list(self.pending):
            if entry[0] is old:
                self.pending.remove(entry)
                if self.schedule.pick(2):
                    self.late.append(
                        functools.partial(self._perform, old, entry[1], False)
                    )
        for ask, (node, op) in list(self.asks.items()):
            if node is old:
                del self.asks[ask]
            elif node.alive:
                # The connection to the owner may have been this one.
                del self.asks[ask]
                self.give(node, messages.InDoubt(op, "connection lost"))

    def pause(self) -> None:
        node = self.nodes[self.schedule.pick(len(self.nodes))]
        node.paused = not node.paused

    def toggle_store(self) -> None:
        self.store_up = not self.store_up

    def settle(self) -> None:
        """Ends all faults and lets every process finish its work."""
        self.faults = False
        self.store_up = True
        for node in self.nodes:
            node.paused = False
        for _ in range(20):
            while self.late:
                self.late.pop(0)()
            for _ in range(500):
                if not self.pending:
                    break
                self.carry_out()
            self.tick(5.0)
            if not self.pending and not any(n.keys.held for n in self.nodes):
                return

    def _make_id(self) -> str:
        self._next += 1
        return f"r{self._next}"
