"""Which entry processes run: probes, suspicion, refutation and leaving."""

from collections.abc import Mapping
import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.model import commands
from sycamorehollow.model import events

# A suspect has this long to refute. Refutation through helpers takes about two
# exchanges; the rest covers lost calls.
SUSPICION_TIMEOUT_S = 6.0
# A counter that rose this recently is proof of life. It limits the churn that
# members cause who can call but cannot be called.
REFUTED_GRACE_S = 10.0
# A gap between two ticks from which the process counts as having been paused.
PAUSE_THRESHOLD_S = 3.0
# How often one member that is believed gone, or an address that is only
# hinted at, is probed. It ends partitions.
LOST_PROBE_INTERVAL_S = 5.0
# A process this young may have started with a clock that was behind; an older
# one that hears of a higher incarnation was replaced.
STARTUP_CLOCK_GRACE_S = 30.0
INDIRECT_PROBERS = 3
# Expected number of independent probes while a suspicion spreads.
EXPECTED_SPREAD_PROBES = 8
# After this many failed probes in a row, a process that still hears from
# others takes its own outgoing path to be at fault.
LOCAL_FAULT_FAILURES = 4
RECENT_CONTACT_S = 5.0


@dataclasses.dataclass(frozen=True)
class MessageReceived(events.Event):
    """An envelope arrived from a process, as a call or as an answer."""

    address: str
    data_centre: str
    incarnation: int
    answered: bool = False


@dataclasses.dataclass(frozen=True)
class ProbeFailed(events.Event):
    """A call to a process failed or timed out.

    Attributes:
        address: The process that was called.
        started_at: Monotonic time in seconds at which the call was sent.
    """

    address: str
    started_at: float


@dataclasses.dataclass(frozen=True)
class VmListReceived(events.Event):
    """The platform's list of VMs arrived; it lags behind.

    Attributes:
        leaving: For each peer address, whether the VM is leaving.
    """

    leaving: Mapping[str, bool]


@dataclasses.dataclass(frozen=True)
class LeaveRequested(events.Event):
    """This process is shutting down."""


@dataclasses.dataclass(frozen=True)
class Probe(commands.Command):
    """Asks for an exchange of digests with an address."""

    address: str


@dataclasses.dataclass(frozen=True)
class RequestIndirectProbe(commands.Command):
    """Asks another member to probe an address that did not answer."""

    helper: str
    target: str


@dataclasses.dataclass(frozen=True)
class ProcessReplaced(commands.Command):
    """Tells that a newer process runs under this address; this one must end."""

    incarnation: int


class Membership(components.Component, components.Replicated):
    """Keeps the member table and decides whom to probe."""

    kind = members.MemberTable.kind

    def __init__(
        self,
        me: members.Member,
        seeds: tuple[str, ...],
        rng: random.Random,
        now: float,
    ):
        """Starts with this process as the only member.

        Args:
            me: The record of this process.
            seeds: Addresses to probe first, from the settings.
            rng: Source of randomness.
            now: Monotonic time in seconds.
        """
        self._self_record = me
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self._rng = rng
        self._started_at = now
        self._last_tick = now
        self._resumed_at = now
        self._lost_probe_due = now
        self._failed_probes = 0
        self._last_contact = float("-inf")
        self._vm_leaving: Mapping[str, bool] = {}
        self._deadlines: dict[str, float] = {}
        self._table = members.MemberTable()
        self._table.apply(me, now)

    @property
    def self_record(self) -> members.Member:
        """The record of this process in its present incarnation."""
        return self._self_record

    def find(self, address: str) -> members.Member | None:
        """Returns the record of an address."""
        return self._table.find(address)

    def list_live(self, data_centre: str = "") -> list[members.Member]:
        """Returns the live members, of one data centre if it is named."""
        return [
            member
            for member in self._table.list_members()
            if member.is_live and data_centre in ("", member.data_centre)
        ]

    def list_lowest_addresses(self, data_centre: str, count: int) -> list[str]:
        """Returns the lowest addresses of live members that are not leaving."""
        addresses = [
            member.address
            for member in self.list_live(data_centre)
            if not self._vm_leaving.get(member.address, False)
        ]
        return sorted(addresses)[:count]

    def list_push_targets(self) -> list[str]:
        """Returns the own data centre and one member of each other one."""
        targets = []
        others: dict[str, list[str]] = {}
        for member in self.list_live():
            if member.address == self._self_record.address:
                continue
            if member.data_centre == self._self_record.data_centre:
                targets.append(member.address)
                continue
            others.setdefault(member.data_centre, []).append(member.address)
        for name in sorted(others):
            targets.append(self._rng.choice(sorted(others[name])))
        return targets

    def build_digest(self, now: float) -> bytes:
        """Returns the digest of the member table."""
        return self._table.build_digest(now)

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the records that the sender of a digest may lack."""
        return self._table.build_delta(digest, now)

    def encode_record(self, address: str) -> bytes:
        """Returns a delta with one record; empty if it is unknown."""
        if self._table.find(address) is None:
            return b""
        return self._table.encode_record(address)

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies a delta and reacts to what changed."""
        changes = self._table.merge(delta, now)
        result: list[commands.Command] = []
        for change in changes:
            if isinstance(change, members.MemberChanged):
                result.extend(self._handle_change(change, now))
        return result

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see the event classes of this module."""
        if isinstance(event, events.Tick):
            return self._tick(now)
        if isinstance(event, MessageReceived):
            return self._record_contact(event, now)
        if isinstance(event, ProbeFailed):
            return self._suspect(event, now)
        if isinstance(event, VmListReceived):
            self._vm_leaving = dict(event.leaving)
            return []
        if isinstance(event, LeaveRequested):
            self._self_record = dataclasses.replace(
                self._self_record, state=members.MemberState.LEFT
            )
            self._table.apply(self._self_record, now)
            return [self._announce()]
        return []

    def _announce(self) -> payloads.PushDelta:
        """Asks for the record of this process to be pushed."""
        return payloads.PushDelta(
            self.kind, self._table.encode_record(self._self_record.address)
        )

    def _tick(self, now: float) -> list[commands.Command]:
        """Declares overdue suspects dead and selects peers to probe."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > PAUSE_THRESHOLD_S:
            # Suspects could not refute to a process that was paused.
            self._resumed_at = now
            for address in self._deadlines:
                self._deadlines[address] += gap
        result: list[commands.Command] = []
        for address, deadline in list(self._deadlines.items()):
            if deadline <= now:
                result.extend(self._declare_dead(address, now))
        self._table.expire(now)
        if self._self_record.state is members.MemberState.LEFT:
            return result
        result.extend(Probe(address) for address in self._select_probes(now))
        return result

    def _select_probes(self, now: float) -> list[str]:
        """Selects one member, one of the own data centre and a lost one."""
        everywhere, nearby = [], []
        for member in self.list_live():
            if member.address == self._self_record.address:
                continue
            everywhere.append(member.address)
            if member.data_centre == self._self_record.data_centre:
                nearby.append(member.address)
        chosen = []
        for candidates in (everywhere, nearby):
            if candidates:
                chosen.append(self._rng.choice(candidates))
        if now >= self._lost_probe_due or not everywhere:
            lost = self._list_lost()
            if lost:
                chosen.append(self._rng.choice(lost))
            self._lost_probe_due = now + LOST_PROBE_INTERVAL_S
        return list(dict.fromkeys(chosen))

    def _list_lost(self) -> list[str]:
        """Returns addresses that may hold a member this process has lost."""
        lost = {
            member.address
            for member in self._table.list_members()
            if member.state is members.MemberState.DEAD
        }
        for address in (*self._seeds, *self._vm_leaving):
            known = self._table.find(address)
            if known is None or not known.is_live:
                lost.add(address)
        lost.discard(self._self_record.address)
        return sorted(lost)

    def _record_contact(
        self, event: MessageReceived, now: float
    ) -> list[commands.Command]:
        """Takes a message from a process as proof that it runs."""
        if event.address == self._self_record.address:
            return []
        self._last_contact = now
        if event.answered:
            self._failed_probes = 0
        found = members.Member(
            event.address, event.data_centre, event.incarnation
        )
        change = self._table.apply(found, now)
        return [] if change is None else self._handle_change(change, now)

    def _suspect(
        self, event: ProbeFailed, now: float
    ) -> list[commands.Command]:
        """Suspects a member that did not answer and asks others to probe it."""
        member = self._table.find(event.address)
        if member is None or member.state is not members.MemberState.ALIVE:
            return []
        if (
            event.started_at < self._resumed_at
            or event.address == self._self_record.address
        ):
            return []
        self._failed_probes += 1
        has_recent_contact = now - self._last_contact < RECENT_CONTACT_S
        if self._failed_probes > LOCAL_FAULT_FAILURES and has_recent_contact:
            return []
        changed_at = self._table.get_changed_at(event.address)
        if member.refutations and now - changed_at < REFUTED_GRACE_S:
            return []
        suspect = dataclasses.replace(member, state=members.MemberState.SUSPECT)
        change = self._table.apply(suspect, now)
        assert change is not None
        self._deadlines[event.address] = now + SUSPICION_TIMEOUT_S
        others = [
            other.address
            for other in self.list_live()
            if other.address not in (event.address, self._self_record.address)
        ]
        helpers = self._rng.sample(others, min(INDIRECT_PROBERS, len(others)))
        asked = [
            RequestIndirectProbe(helper, event.address) for helper in helpers
        ]
        return [change, *asked]

    def _handle_change(
        self, change: members.MemberChanged, now: float
    ) -> list[commands.Command]:
        """Follows up a change of the table that came from outside."""
        after = change.after
        if after.address == self._self_record.address:
            return self._refute(after, now)
        self._deadlines.pop(after.address, None)
        if after.state is not members.MemberState.SUSPECT:
            return [change]
        self._deadlines[after.address] = now + SUSPICION_TIMEOUT_S
        if self._rng.random() * len(self.list_live()) < EXPECTED_SPREAD_PROBES:
            return [change, Probe(after.address)]
        return [change]

    def _refute(
        self, claim: members.Member, now: float
    ) -> list[commands.Command]:
        """Overrides what others say of this process, unless it was replaced."""
        if claim.incarnation == self._self_record.incarnation:
            refutations = claim.refutations + 1
            self._self_record = dataclasses.replace(
                self._self_record, refutations=refutations
            )
        elif now - self._started_at < STARTUP_CLOCK_GRACE_S:
            self._self_record = dataclasses.replace(
                self._self_record,
                incarnation=claim.incarnation + 1,
                refutations=0,
            )
        else:
            return [ProcessReplaced(claim.incarnation)]
        change = self._table.apply(self._self_record, now)
        return [] if change is None else [change]

    def _declare_dead(self, address: str, now: float) -> list[commands.Command]:
        """Ends the suspicion of a member that did not refute it."""
        del self._deadlines[address]
        member = self._table.find(address)
        if member is None or member.state is not members.MemberState.SUSPECT:
            return []
        dead = dataclasses.replace(member, state=members.MemberState.DEAD)
        change = self._table.apply(dead, now)
        return [] if change is None else [change]
