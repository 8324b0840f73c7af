"""Drives whole nodes in one process in simulated time."""

import collections
from collections.abc import Callable
import functools
import heapq
import itertools
import json
import random
import time
from typing import Any

from benches import node_store
from benches import node_tree
from sycamorehollow.decisions import node as nodes
from sycamorehollow.decisions import node_components
from sycamorehollow.decisions.bills import billing_encoding
from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.operations import configuration_messages
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.decisions.releases import stages
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.replication import membership
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import identity
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests
from sycamorehollow.shells import envelopes
from sycamorehollow.shells import rollout_io

# The process ticks each 0.02 s; the cost of a tick is measured separately.
TICK_S = 0.1
REPORT_S = 1.0
CALL_TIMEOUT_S = 1.0
LATENCY_S = (0.001, 0.02)
STORE_S = 0.005
REQUESTS_PER_S = 5500 / node_tree.TARGET_NODES
STREAMS = 300
# Shorter than real answers, so that a run soon reaches a steady state; the
# other streams of a node are standing ones.
ANSWER_S = (1.0, 2.0)
RATING_S = 0.5
PROMPT_TOKENS = 600
OUTPUT_TOKENS = 418
GOOD_SHARE = 0.85
RECORDS = 10
STORE_CALLS = (
    configuration_messages.ReadRange,
    configuration_messages.StartWatch,
    billing_messages.WriteBatch,
    rollouts.RequestLease,
    rollouts.ReadStage,
    rollouts.WriteStage,
)
CONTROL_EVENTS = (
    events.Tick,
    exchange.CallReceived,
    exchange.ReplyReceived,
    exchange.CallFailed,
    configuration_messages.StoreResponded,
)


def read_clock() -> int:
    """Returns a fixed wall-clock time, which session tokens need."""
    return 1_790_000_000


class Member:
    """One node and what it has cost.

    Attributes:
        traffic: Bytes sent and received by kind of state.
        messages: Envelopes sent.
        cpu_s: Processor seconds in the decision code by kind of event.
    """

    def __init__(self, node: nodes.Node):
        self.node = node
        self.address = node.process.address
        self.data_centre = node.process.data_centre
        self.traffic: collections.Counter[str] = collections.Counter()
        self.messages = 0
        self.cpu_s: dict[str, float] = collections.defaultdict(float)
        self.outcomes: collections.Counter[str] = collections.Counter()

    def reset(self) -> None:
        """Starts a measurement; ratings count from the start of the run."""
        rated = self.outcomes["rated"]
        self.traffic.clear()
        self.messages = 0
        self.cpu_s.clear()
        self.outcomes.clear()
        self.outcomes["rated"] = rated


class Fleet:
    """Nodes, a store, engines that answer, and the messages between them."""

    def __init__(self, count: int, seed: int, upstreams_count: int = 0):
        self.now = 0.0
        self.requests_per_s = REQUESTS_PER_S
        found = upstreams_count or node_tree.count_upstreams(count)
        self.rng = random.Random(seed)
        self.store = node_store.Store(node_tree.build_values(found))
        self.count = count
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._calls: dict[int, Callable[[exchange.SendReply], None]] = {}
        self._asks: dict[str, Callable[[Any], None]] = {}
        convert = node_tree.SharedConversion()
        self.members = [self._build(i, convert) for i in range(count)]
        self._by_address = {one.address: one for one in self.members}
        self._replicas = collections.defaultdict(list)
        for number in range(found):
            place = node_tree.name_data_centre(number)
            self._replicas[place].append(f"replica-{number:03d}")
        self._join()

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def start_load(self) -> None:
        """Starts load reports, standing streams, requests and records."""
        for member in self.members:
            self._report(member)
            replicas = self._replicas[member.data_centre]
            for number in range(STREAMS - round(REQUESTS_PER_S * 1.5)):
                started = upstream_events.AttemptStarted(
                    f"standing-{number}",
                    self.rng.choice(replicas),
                    PROMPT_TOKENS + self.rng.randrange(2 * OUTPUT_TOKENS),
                )
                self.deliver(member, started)
            self._arrive(member)
        first = self.members[0]
        for number in range(RECORDS):
            asked = first.node.records.put(
                drains.DRAIN_KIND, f"retired-{number}", True, self.now
            )
            for command in asked:
                if isinstance(command, payloads.PushDelta):
                    self._carry_out(
                        first, first.node.exchange.push_delta(command)
                    )

    def change_configuration(self, nonce: int) -> None:
        """Writes a team's branch at the store."""
        text = json.dumps(node_tree.build_team(3, nonce))
        for member, event in self.store.write("config/team-3", text):
            self._after(STORE_S, functools.partial(self.deliver, member, event))

    def deliver(self, member: Member, event: events.Event) -> None:
        """Gives an event to a node and carries out its commands."""
        began = time.thread_time()
        asked = member.node.handle(event, self.now)
        spent = time.thread_time() - began
        control = isinstance(event, CONTROL_EVENTS)
        member.cpu_s["control" if control else "data"] += spent
        member.cpu_s[type(event).__name__] += spent
        member.outcomes[type(event).__name__] += 1
        if isinstance(event, lifecycle.AnswerRated):
            member.outcomes["rated"] += 1
        self._carry_out(member, asked)

    def _build(self, number: int, convert: Any) -> Member:
        address = f"10.0.{number // 256}.{number % 256}:7400"
        process = identity.Process(
            address,
            node_tree.name_data_centre(number),
            1_790_000_000_000_000_000 + number * 7_919_113,
        )
        slots = -(-self.count // node_tree.DATA_CENTRES)
        options = node_components.Options(
            process,
            number // node_tree.DATA_CENTRES,
            slots,
            tuple(f"10.0.0.{seed}:7400" for seed in range(3)),
            keyrings.KeyRing("k1", {"k1": b"k" * 32}),
            convert,
            read_clock,
        )
        source = random.Random(self.rng.random())
        return Member(nodes.Node(options, source, self.now))

    def _join(self) -> None:
        """Lets the nodes know each other from the start."""
        heard = [
            membership.MessageReceived(
                one.address, one.data_centre, one.node.process.incarnation
            )
            for one in self.members
        ]
        for member in self.members:
            others = [h for h in heard if h.address != member.address]
            for event in others[:-1]:
                member.node.membership.handle(event, self.now)
            # Passing one through the node tells its parts of all of them.
            self.deliver(member, others[-1])
            self._after(
                self.rng.random(), functools.partial(self._tick, member)
            )
            if member.node.is_coordinator():
                self._after(
                    self.rng.random(), functools.partial(self._poll, member)
                )

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def _tick(self, member: Member) -> None:
        self._after(TICK_S, lambda: self._tick(member))
        self.deliver(member, events.Tick())

    def _poll(self, member: Member) -> None:
        """Reads all stages, as the shell of a coordinator does."""
        self._after(rollout_io.POLL_INTERVAL_S, lambda: self._poll(member))
        self.store.reads += 1
        key = stages.KEY_PREFIX + "small"
        self.deliver(member, self.store.read_stage("small", key))

    def _report(self, member: Member) -> None:
        """Feeds the load reports of the member's own data centre."""
        self._after(REPORT_S, lambda: self._report(member))
        for name in self._replicas[member.data_centre]:
            report = upstream_events.LoadReported(
                name,
                self.now,
                1,
                False,
                4,
                node_tree.CAPACITY_TOKENS // 3,
                node_tree.CAPACITY_TOKENS,
                160,
            )
            self.deliver(member, report)

    def _arrive(self, member: Member) -> None:
        delay_s = self.rng.expovariate(self.requests_per_s)
        self._after(delay_s, lambda: self._arrive(member))
        self.deliver(member, lifecycle.RequestArrived(self.make_request()))

    def make_request(self) -> requests.ModelRequest:
        """Draws a request."""
        number = next(self._numbers)
        place = self.rng.randrange(node_tree.WORKSPACES_PER_TEAM)
        team = self.rng.randrange(node_tree.TEAMS)
        return requests.ModelRequest(
            request_id=f"request-{number}",
            workspace=f"team-{team}-{place}",
            model=self.rng.choice(("small", f"cheap-{team}", "middle")),
            kind=self.rng.choice(tuple(node_tree.KINDS)),
            body=b"",
            fingerprint=f"{number:032x}",
            prompt_tokens=PROMPT_TOKENS,
            max_output_tokens=2 * OUTPUT_TOKENS,
            stream=True,
            deadline=self.now + 60.0,
        )

    def _carry_out(self, member: Member, asked: list[commands.Command]) -> None:
        for command in asked:
            if isinstance(command, exchange.SendCall):
                self._call(member, command)
            elif isinstance(command, exchange.SendReply):
                self._calls.pop(command.call)(command)
            elif isinstance(command, STORE_CALLS):
                self._call_store(member, command)
            else:
                self._carry_out_work(member, command)

    def _carry_out_work(self, member: Member, command: Any) -> None:
        """Carries out the commands of requests and of the bill spool."""
        member.outcomes[type(command).__name__] += 1
        if isinstance(command, lifecycle.StartAttempt):
            self._answer(member, command)
        elif isinstance(command, lifecycle.RequestRating):
            score = 0.9 if self.rng.random() < GOOD_SHARE else 0.1
            rated = lifecycle.AnswerRated(command.answer_id, score)
            self._after(RATING_S, lambda: self.deliver(member, rated))
        elif isinstance(command, lifecycle.FailRequest):
            member.outcomes[command.failure.code] += 1
        elif isinstance(command, billing_messages.SpoolToPeer):
            self._spool(member, command)
        elif isinstance(command, billing_messages.ReplyToSpool):
            self._asks.pop(command.peer_request_id)(command)
        elif isinstance(command, billing_messages.NotifyAdvance):
            process = member.node.process
            payload = billing_encoding.encode_advance(process, command.oldest)
            target = self._by_address[command.peer.address]
            item = exchange.Item(billing_encoding.ADVANCE_KIND, payload)
            self._count(member, target, (item,))
            event = billing_messages.OriginAdvanced(process, command.oldest)
            self._travel(lambda: self.deliver(target, event))

    def _answer(self, member: Member, command: lifecycle.StartAttempt) -> None:
        request, attempt = command.request_id, command.attempt
        produced = lifecycle.FirstChunkArrived(request, attempt)
        self._after(0.3, lambda: self.deliver(member, produced))
        completed = lifecycle.AttemptCompleted(
            request, attempt, PROMPT_TOKENS, OUTPUT_TOKENS, b"a"
        )
        delay_s = self.rng.uniform(*ANSWER_S)
        self._after(delay_s, lambda: self.deliver(member, completed))

    def _call_store(self, member: Member, command: Any) -> None:
        event = self.store.call(member, member.address, command, self.now)
        if event is not None:
            self._after(2 * STORE_S, lambda: self.deliver(member, event))
            return

        def end() -> None:
            for asker, answer in self.store.end_watch(member, command):
                self.deliver(asker, answer)

        self._after(command.timeout_s, end)

    def _spool(
        self, member: Member, command: billing_messages.SpoolToPeer
    ) -> None:
        target = self._by_address[command.peer.address]
        payload = billing_encoding.encode_part(command.part)
        item = exchange.Item(billing_encoding.PART_KIND, payload)
        self._count(member, target, (item,))
        ask = f"ask-{next(self._numbers)}"

        def answer(_: Any) -> None:
            item = exchange.Item(billing_encoding.PART_KIND, b"held")
            self._count(target, member, (item,))
            event = billing_messages.SpoolAcknowledged(command.op)
            self._travel(lambda: self.deliver(member, event))

        self._asks[ask] = answer
        event = billing_messages.SpoolReceived(ask, command.part)
        self._travel(lambda: self.deliver(target, event))

    def _travel(self, action: Callable[[], None]) -> None:
        self._after(self.rng.uniform(*LATENCY_S), action)

    def _count(self, source: Member, target: Member, items: Any) -> None:
        """Counts an envelope as encoded at both ends."""
        envelope = envelopes.encode(source.node.process, items)
        rest = envelope.ByteSize()
        source.messages += 1
        for item in envelope.items:
            # The field number and the length take two or three bytes.
            size = item.ByteSize() + 2 + (item.ByteSize() > 127)
            rest -= size
            source.traffic[item.kind] += size
            target.traffic[item.kind] += size
        source.traffic["envelope"] += rest
        target.traffic["envelope"] += rest

    def _call(self, source: Member, call: exchange.SendCall) -> None:
        target = self._by_address.get(call.peer)
        if target is None:
            failed = exchange.CallFailed(call.peer, self.now)
            self._after(CALL_TIMEOUT_S, lambda: self.deliver(source, failed))
            return
        self._count(source, target, call.items)
        number = next(self._numbers)

        def reply(answer: exchange.SendReply) -> None:
            self._count(target, source, answer.items)
            event = exchange.ReplyReceived(
                call.peer, answer.sender, answer.items
            )
            self._travel(lambda: self.deliver(source, event))

        self._calls[number] = reply
        incoming = exchange.CallReceived(number, call.sender, call.items)
        self._travel(lambda: self.deliver(target, incoming))
