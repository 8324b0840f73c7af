"""Anti-entropy exchange of replicated state between entry processes.

An exchange has up to three steps. The caller sends its digests; the called
process replies with deltas and its own digests where they differ; the caller
sends the deltas that the called process lacks.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from sycamorehollow.decisions import components
from sycamorehollow.decisions.replication import bandwidth
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import membership
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import identity

DIGEST_SUFFIX = "/digest"
DELTA_SUFFIX = "/delta"
PROBE_KIND = "members/probe"


@dataclasses.dataclass(frozen=True)
class Item:
    """One message of an envelope."""

    kind: str
    payload: bytes


Process = identity.Process


@dataclasses.dataclass(frozen=True)
class CallReceived(events.Event):
    """A call of another process was received.

    Attributes:
        call: Call number from the shell.
        sender: The calling process.
        items: Items of the call.
    """

    call: int
    sender: Process
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class ReplyReceived(events.Event):
    """A called process replied.

    Attributes:
        peer: Address that was called.
        sender: Process that replied.
        items: Items of the reply.
    """

    peer: str
    sender: Process
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class CallFailed(events.Event):
    """A call failed or timed out.

    Attributes:
        peer: Address that was called.
        started_at: Monotonic time in seconds at which the call was sent.
    """

    peer: str
    started_at: float


@dataclasses.dataclass(frozen=True)
class SendCall(commands.Command):
    """Calls a peer; results in `ReplyReceived` or `CallFailed`."""

    peer: str
    sender: Process
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class SendReply(commands.Command):
    """Replies to a received call."""

    call: int
    sender: Process
    items: tuple[Item, ...]


class Exchange(components.Component):
    """Drives membership and exchanges of replicated components."""

    def __init__(
        self,
        peers: membership.Membership,
        replicated: Sequence[components.Replicated] = (),
    ):
        """Creates an exchange of the given components.

        Args:
            peers: Membership, which selects peers and is itself replicated.
            replicated: Further components, each of a different kind.
        """
        self._peers = peers
        self._components: dict[str, components.Replicated] = {peers.kind: peers}
        for component in replicated:
            if component.kind in self._components:
                raise ValueError(f"two components of kind {component.kind}")
            self._components[component.kind] = component
        self._probe_requesters: dict[str, set[str]] = {}
        self._bandwidth_budgets = {
            kind: bandwidth.BandwidthBudget(component.bytes_per_s)
            for kind, component in self._components.items()
            if component.bytes_per_s is not None
        }

    @property
    def sender(self) -> Process:
        """The identity of this process."""
        own = self._peers.self_record
        return Process(own.address, own.data_centre, own.incarnation)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event.

        Events that are not of this module are passed on to membership. For
        `payloads.PushDelta` commands see `push_delta`.
        """
        if isinstance(event, CallReceived):
            return self._handle_call(event, now)
        if isinstance(event, ReplyReceived):
            return self._handle_reply(event, now)
        if isinstance(event, CallFailed):
            self._probe_requesters.pop(event.peer, None)
            failed = membership.ProbeFailed(event.peer, event.started_at)
            return self._translate(self._peers.handle(failed, now), now)
        return self._translate(self._peers.handle(event, now), now)

    def start_exchanges(
        self, addresses: Iterable[str], now: float
    ) -> list[SendCall]:
        """Returns calls that start exchanges with the given processes."""
        return [self._start_exchange(address, now) for address in addresses]

    def push_delta(self, push: payloads.PushDelta) -> list[commands.Command]:
        """Returns the calls that push a delta made by this process."""
        item = Item(push.kind + DELTA_SUFFIX, push.delta)
        return [
            SendCall(address, self.sender, (item,))
            for address in self._peers.list_push_targets()
        ]

    def _handle_call(
        self, event: CallReceived, now: float
    ) -> list[commands.Command]:
        """Merges the deltas of a caller and replies to its digests."""
        self._count_bytes(event.items, now)
        result = self._record_contact(event.sender, False, now)
        # Deltas are merged first, so that the reply includes a refutation.
        result += self._merge(event.sender, event.items, now)
        items = self._build_items(event.items, True, now)
        result.append(SendReply(event.call, self.sender, tuple(items)))
        for item in event.items:
            if item.kind != PROBE_KIND:
                continue
            target = item.payload.decode("utf-8", "replace")
            if self._peers.find(target) is None:
                continue
            self._probe_requesters.setdefault(target, set()).add(
                event.sender.address
            )
            result.append(self._start_exchange(target, now))
        return result

    def _handle_reply(
        self, event: ReplyReceived, now: float
    ) -> list[commands.Command]:
        """Merges a reply and sends the deltas that the peer lacks."""
        if event.sender.address != event.peer:
            return []
        self._count_bytes(event.items, now)
        result = self._record_contact(event.sender, True, now)
        result += self._merge(event.sender, event.items, now)
        items = self._build_items(event.items, False, now)
        if items:
            result.append(SendCall(event.peer, self.sender, tuple(items)))
        for requester in sorted(self._probe_requesters.pop(event.peer, ())):
            result.append(self._start_exchange(requester, now))
        return result

    def _record_contact(
        self, sender: Process, is_reply: bool, now: float
    ) -> list[commands.Command]:
        """Reports to membership that a process is running."""
        received = membership.MessageReceived(
            sender.address, sender.data_centre, sender.incarnation, is_reply
        )
        return self._translate(self._peers.handle(received, now), now)

    def _merge(
        self, sender: Process, items: Iterable[Item], now: float
    ) -> list[commands.Command]:
        """Applies the deltas among the items.

        Changes from another data centre are pushed on within this one, because
        the sender pushes to one member per data centre only.
        """
        result: list[commands.Command] = []
        for item in items:
            if not item.kind.endswith(DELTA_SUFFIX):
                continue
            component = self._components.get(
                item.kind.removesuffix(DELTA_SUFFIX)
            )
            if component is None:
                continue
            merged = component.merge(item.payload, now)
            is_foreign = sender.data_centre != self.sender.data_centre
            result += self._translate(
                merged, now, own_data_centre_only=True, push_deltas=is_foreign
            )
        return result

    def _build_items(
        self, items: Iterable[Item], with_digest: bool, now: float
    ) -> list[Item]:
        """Returns deltas, and on request digests, where digests differ."""
        result = []
        for item in items:
            if not item.kind.endswith(DIGEST_SUFFIX):
                continue
            kind = item.kind.removesuffix(DIGEST_SUFFIX)
            component = self._components.get(kind)
            if component is None:
                continue
            digest = component.build_digest(now)
            if digest == item.payload:
                continue
            delta = component.build_delta(item.payload, now)
            if delta:
                result.append(Item(kind + DELTA_SUFFIX, delta))
            if with_digest:
                result.append(Item(kind + DIGEST_SUFFIX, digest))
        self._count_bytes(result, now)
        return result

    def _can_send(self, kind: str, now: float) -> bool:
        """Returns whether a digest of a kind may start an exchange now.

        Replies are counted but not limited: without a reply, the digest would
        have been sent for nothing.
        """
        budget = self._bandwidth_budgets.get(kind)
        return budget is None or budget.can_send(now)

    def _count_bytes(self, items: Iterable[Item], now: float) -> None:
        """Counts sent or received items in the budgets of their kinds."""
        for item in items:
            budget = self._bandwidth_budgets.get(item.kind.rpartition("/")[0])
            if budget is not None:
                budget.consume(len(item.payload), now)

    def _start_exchange(self, address: str, now: float) -> SendCall:
        """Returns the call that starts an exchange.

        The call tells a suspected or dead member its state, so that its reply
        can refute it.
        """
        items = [
            Item(kind + DIGEST_SUFFIX, component.build_digest(now))
            for kind, component in self._components.items()
            if self._can_send(kind, now)
        ]
        self._count_bytes(items, now)
        member = self._peers.find(address)
        if member is not None and member.state is not members.MemberState.ALIVE:
            delta = self._peers.encode_record(address)
            items.append(Item(self._peers.kind + DELTA_SUFFIX, delta))
        return SendCall(address, self.sender, tuple(items))

    def _translate(
        self,
        issued: Iterable[commands.Command],
        now: float,
        own_data_centre_only: bool = False,
        push_deltas: bool = True,
    ) -> list[commands.Command]:
        """Turns commands of components into calls; keeps other commands."""
        result: list[commands.Command] = []
        for command in issued:
            if isinstance(command, membership.Probe):
                result.append(self._start_exchange(command.address, now))
                continue
            if isinstance(command, membership.RequestIndirectProbe):
                result.append(self._request_probe(command, now))
                continue
            if isinstance(command, payloads.PushDelta):
                if push_deltas:
                    result += self._push(command, own_data_centre_only)
                continue
            result.append(command)
        return result

    def _request_probe(
        self, command: membership.RequestIndirectProbe, now: float
    ) -> SendCall:
        """Returns the call that requests an indirect probe."""
        delta = self._peers.encode_record(command.target)
        items = (
            Item(self._peers.kind + DELTA_SUFFIX, delta),
            Item(PROBE_KIND, command.target.encode()),
        )
        return SendCall(command.helper, self.sender, items)

    def _push(
        self, push: payloads.PushDelta, own_data_centre_only: bool
    ) -> list[commands.Command]:
        """Pushes a delta, on request only within the own data centre."""
        if not own_data_centre_only:
            return self.push_delta(push)
        item = Item(push.kind + DELTA_SUFFIX, push.delta)
        return [
            SendCall(member.address, self.sender, (item,))
            for member in self._peers.list_live(self.sender.data_centre)
            if member.address != self.sender.address
        ]
