"""Membership of entry processes, after the SWIM protocol.

Every process probes random members. One that does not respond is suspected
and probed through others, and is declared dead unless it refutes the suspicion
in time.
"""

from collections.abc import Mapping
import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.model import commands
from sycamorehollow.model import events

# A refutation through indirect probes takes about two exchanges; the rest is
# for lost calls.
SUSPICION_TIMEOUT_S = 6.0
# A member that refuted this recently is not suspected again. This limits the
# churn from members that can call others but cannot be called.
REFUTED_GRACE_S = 10.0
# After a gap of this length between two ticks the process has been paused.
PAUSE_THRESHOLD_S = 3.0
# One dead member or one address that is known only from seeds or the VM list is
# probed at this interval, which ends partitions.
LOST_PROBE_INTERVAL_S = 5.0
# A process may have started with a clock that was behind, so that an earlier
# run has a higher incarnation. Once it has run for longer than this, a higher
# incarnation means that it was replaced.
STARTUP_CLOCK_GRACE_S = 30.0
INDIRECT_PROBERS = 3
# Expected number of independent probes while a suspicion spreads.
EXPECTED_SPREAD_PROBES = 8
# After this many failed probes in a row, a process that still receives messages
# attributes the failures to its own outgoing path.
LOCAL_FAULT_FAILURES = 4
RECENT_CONTACT_S = 5.0


@dataclasses.dataclass(frozen=True)
class MessageReceived(events.Event):
    """An envelope was received from a process, as a call or a reply."""

    address: str
    data_centre: str
    incarnation: int
    is_reply: bool = False


@dataclasses.dataclass(frozen=True)
class ProbeFailed(events.Event):
    """A call to a process failed or timed out.

    Attributes:
        address: Address that was called.
        started_at: Monotonic time in seconds at which the call was sent.
    """

    address: str
    started_at: float


@dataclasses.dataclass(frozen=True)
class VmListReceived(events.Event):
    """The platform's list of VMs was received; it may be out of date.

    Attributes:
        leaving: Whether the VM is leaving, by peer address.
    """

    leaving: Mapping[str, bool]


@dataclasses.dataclass(frozen=True)
class LeaveRequested(events.Event):
    """This process is shutting down."""


@dataclasses.dataclass(frozen=True)
class Probe(commands.Command):
    """Starts a digest exchange with an address."""

    address: str


@dataclasses.dataclass(frozen=True)
class RequestIndirectProbe(commands.Command):
    """Requests a probe, by another member, of a silent address."""

    helper: str
    target: str


@dataclasses.dataclass(frozen=True)
class ProcessReplaced(commands.Command):
    """Reports a newer process at this address; this one must exit."""

    incarnation: int


class Membership(components.Component, components.Replicated):
    """Maintains the member table and selects members to probe."""

    kind = members.MemberTable.kind

    def __init__(
        self,
        self_record: members.Member,
        seeds: tuple[str, ...],
        rng: random.Random,
        now: float,
    ):
        """Starts with this process as the only member.

        Args:
            self_record: Record of this process.
            seeds: Addresses from the settings to probe first.
            rng: Random source.
            now: Monotonic time in seconds.
        """
        self._self_record = self_record
        self._seeds = tuple(
            seed for seed in seeds if seed != self_record.address
        )
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
        self._table.apply(self_record, now)

    @property
    def self_record(self) -> members.Member:
        """Record of this process in its current incarnation."""
        return self._self_record

    def find(self, address: str) -> members.Member | None:
        """Returns the record of an address."""
        return self._table.find(address)

    def list_live(self, data_centre: str = "") -> list[members.Member]:
        """Returns the live members, on request of one data centre."""
        return [
            member
            for member in self._table.list_members()
            if member.is_live and data_centre in ("", member.data_centre)
        ]

    def list_lowest_addresses(self, data_centre: str, count: int) -> list[str]:
        """Returns the lowest addresses of live members not leaving."""
        addresses = [
            member.address
            for member in self.list_live(data_centre)
            if not self._vm_leaving.get(member.address, False)
        ]
        return sorted(addresses)[:count]

    def list_push_targets(self) -> list[str]:
        """Returns own data centre's members and one of each other one."""
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
        """Returns records that the sender of a digest may lack."""
        return self._table.build_delta(digest, now)

    def encode_record(self, address: str) -> bytes:
        """Returns a delta with one record; empty if it is unknown."""
        if self._table.find(address) is None:
            return b""
        return self._table.encode_record(address)

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies a delta and handles the changes."""
        changes = self._table.merge(delta, now)
        result: list[commands.Command] = []
        for change in changes:
            if isinstance(change, members.MemberChanged):
                result.extend(self._handle_change(change, now))
        return result

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event; see the event classes of this module."""
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
        """Returns the push of this process's record."""
        return payloads.PushDelta(
            self.kind, self._table.encode_record(self._self_record.address)
        )

    def _tick(self, now: float) -> list[commands.Command]:
        """Declares overdue suspects dead and selects members to probe."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > PAUSE_THRESHOLD_S:
            # Suspects could not reach this process while it was paused.
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
        """Selects any member, one of this data centre and a lost one."""
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
        """Returns addresses where an unknown or dead member may run."""
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
        """Records a message as evidence that its sender is running."""
        if event.address == self._self_record.address:
            return []
        self._last_contact = now
        if event.is_reply:
            self._failed_probes = 0
        found = members.Member(
            event.address, event.data_centre, event.incarnation
        )
        change = self._table.apply(found, now)
        return [] if change is None else self._handle_change(change, now)

    def _suspect(
        self, event: ProbeFailed, now: float
    ) -> list[commands.Command]:
        """Suspects a silent member and requests indirect probes."""
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
        probes = [
            RequestIndirectProbe(helper, event.address) for helper in helpers
        ]
        return [change, *probes]

    def _handle_change(
        self, change: members.MemberChanged, now: float
    ) -> list[commands.Command]:
        """Handles a change of the table received from others."""
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
        """Refutes a claim about this process, unless it was replaced."""
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
        """Declares a suspect dead that did not refute the suspicion."""
        del self._deadlines[address]
        member = self._table.find(address)
        if member is None or member.state is not members.MemberState.SUSPECT:
            return []
        dead = dataclasses.replace(member, state=members.MemberState.DEAD)
        change = self._table.apply(dead, now)
        return [] if change is None else [change]
