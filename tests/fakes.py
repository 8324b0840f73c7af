"""Simulated callers, processes and service for non-idempotent calls."""

import dataclasses
import random

from sycamorehollow.decisions.calls import call_encoding
from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.calls import key_calls
from sycamorehollow.decisions.calls import ticket_calls
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests
from tests import worlds

RING = keyrings.KeyRing("a", {"a": b"secret"})
CALL_TIMEOUT_S = 20.0


class Service:
    """A service that runs every call and records its outcome by key."""

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
    """One incarnation of an entry process."""

    def __init__(self, number: int, incarnation: int):
        self.process = messages.Process(f"p{number}", "dc", incarnation)
        rng = random.Random(f"{number} {incarnation}")
        self.issuer = tickets.TicketIssuer(self.process, RING)
        self.keys = key_calls.KeyCalls(self.process, self.issuer, rng, 0.0)
        self.tickets = ticket_calls.TicketCalls(self.process, RING, rng, 0.0)
        self.parts = (self.keys, self.tickets)
        self.paused = False
        self.alive = True


def is_not_run(result: messages.Result | None) -> bool:
    """Returns whether a result states that the call was not run."""
    if not isinstance(result, failures.Failure):
        return False
    return result.execution is failures.Execution.NOT_STARTED


@dataclasses.dataclass
class Intent:
    """An operation that a caller wants run once, and its results.

    Attributes:
        attempts: Result of each attempt by request id; `None` while pending.
        nodes: Node of each attempt.
    """

    key: str
    body: bytes
    attempts: dict = dataclasses.field(default_factory=dict)
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    keys: list[str] = dataclasses.field(default_factory=list)

    @property
    def refused(self) -> bool:
        """Whether every attempt was refused with `run: no`."""
        return all(is_not_run(result) for result in self.attempts.values())


class World(worlds.World):
    """Calls of several callers at processes with a store and a service."""

    steps = (
        *("start_attempt",) * 2,
        *("carry_out",) * 5,
        *("land", "advance", "kill", "pause", "toggle_store"),
    )
    store_commands = messages.ReadCallRecord | messages.WriteCallRecord
    make_node = Node

    def __init__(self, schedule: worlds.Schedule, processes: int = 3):
        super().__init__(schedule, processes)
        self.service = Service()
        # Two callers share a key by mistake.
        self.intents = [Intent("k", b"0"), Intent("k", b"1"), Intent("o", b"2")]
        self.owners: dict[str, Intent] = {}
        self.answers: dict[str, messages.Result] = {}

    def make_failure(self, op: str, sent: bool) -> events.Event:
        if sent:
            return messages.OpInDoubt(op, "no response")
        return messages.OpNotSent(op, "connection refused")

    def count_unfinished(self) -> int:
        return sum(node.keys.count for node in self.nodes)

    def start_attempt(self) -> None:
        intent = self.intents[self.schedule.pick(len(self.intents))]
        node = self.pick_node()
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
        request_id = self.make_id()
        intent.attempts[request_id] = None
        intent.nodes[request_id] = node
        if intent.key not in intent.keys:
            intent.keys.append(intent.key)
        self.owners[request_id] = intent
        end = self.now + CALL_TIMEOUT_S
        what = ("w", "filing", "lodge", intent.key, intent.body)
        call = requests.ServiceCall(request_id, *what, end)
        self.give(node, messages.CallArrived(call))
        return request_id

    def ask_outcome(self, node: Node, key: str) -> messages.Result:
        """Returns the outcome of a key after all pending steps."""
        request_id = self.make_id()
        asked = messages.OutcomeRequested(
            request_id, "w", key, self.now + 1e6, "filing", "lodge"
        )
        self.give(node, asked)
        self.settle()
        return self.answers[request_id]

    def take(self, node: Node, command: commands.Command) -> None:
        if isinstance(command, messages.Reply):
            self._take_reply(command)
        elif isinstance(command, messages.ReplyToPeer):
            asker, op = self.asks.pop(command.peer_request_id, (None, ""))
            if asker is not None:
                payload = call_encoding.encode_result(command.result)
                result = call_encoding.decode_result(payload)
                assert result == command.result
                self.give(asker, messages.OwnerReplied(op, result))
        elif not isinstance(command, messages.SpoolOutcome):
            self.pending.append((node, command))

    def _take_reply(self, reply: messages.Reply) -> None:
        assert reply.request_id not in self.answers, "replied twice"
        self.answers[reply.request_id] = reply.result
        intent = self.owners.get(reply.request_id)
        if intent is not None:
            intent.attempts[reply.request_id] = reply.result

    def perform(self, node: Node, command: commands.Command, heard: bool):
        """Executes a command; replies to it only if `heard`."""
        event: events.Event | None = None
        if isinstance(command, messages.ReadCallRecord):
            value, revision = self.store.read(command.key)
            event = messages.CallRecordRead(command.op, value, revision)
        elif isinstance(command, messages.WriteCallRecord):
            event = self._write(command)
        elif isinstance(command, messages.Dispatch):
            if heard and self.now >= command.not_after:
                event = messages.OpNotSent(command.op, "too late")
            else:
                outcome = self.service.run(command)
                event = messages.ServiceResponded(command.op, outcome)
        elif isinstance(command, messages.LookUpOutcome):
            found = self.service.outcomes.get(command.service_key)
            event = messages.OutcomeLookedUp(command.op, found)
        elif isinstance(command, messages.RequestFromOwner):
            self._ask(node, command, heard)
        if heard and event is not None:
            self.give(node, event)

    def _write(self, command: messages.WriteCallRecord) -> events.Event:
        if self.store.write(
            command.key, command.value, command.expected_revision
        ):
            return messages.CallRecordWritten(command.op, self.store.revision)
        value, revision = self.store.values.get(command.key, (None, 0))
        return messages.CallRecordConflict(command.op, revision, value)

    def _ask(
        self, node: Node, command: messages.RequestFromOwner, heard: bool
    ) -> None:
        addresses = [target.process.address for target in self.nodes]
        target = self.nodes[addresses.index(command.address)]
        if target.paused:
            if heard:
                self.give(node, messages.OpInDoubt(command.op, "silent"))
            return
        ask = self.make_id()
        if heard:
            self.asks[ask] = (node, command.op)
        payload = call_encoding.encode_peer_request(command, self.now)
        asked = call_encoding.decode_peer_request(payload, ask, self.now)
        assert asked is not None
        self.give(target, asked)
