"""Replicated table of entry processes."""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

from sycamorehollow.decisions import components
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.model import commands

BUCKETS = 64
# Longer than the one-hour partitions between regions, so that both sides still
# know which addresses to probe when the partition ends.
GONE_RETENTION_S = 3 * 3600.0


class MemberState(enum.IntEnum):
    """State of a member; a higher one wins with equal refutations."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Record of one entry process.

    Attributes:
        address: IP address and port of its peer server.
        data_centre: Data centre that it runs in.
        incarnation: Start time in nanoseconds; a restart has a higher one.
        refutations: Counter that the member raises to refute a suspicion.
        state: State that this record claims.
    """

    address: str
    data_centre: str
    incarnation: int
    refutations: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, bool, int, int]:
        """Sort key among the records of one address; the highest wins.

        Only the member itself announces that it left, so no other record of the
        same incarnation overrides that one.
        """
        left = self.state is MemberState.LEFT
        return (self.incarnation, left, self.refutations, self.state)

    @property
    def is_live(self) -> bool:
        """Whether the member is considered to be running."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclasses.dataclass(frozen=True)
class MemberChanged(commands.Command):
    """Reports a changed member record.

    Attributes:
        before: Previous record, or `None` for a new address.
        after: New record.
    """

    before: Member | None
    after: Member


def decode_member(row: list[Any]) -> Member | None:
    """Decodes a row of a delta; returns `None` if it is malformed."""
    if len(row) != 5:
        return None
    address, data_centre, incarnation, refutations, state = row
    if not isinstance(address, str) or not isinstance(data_centre, str):
        return None
    if not isinstance(incarnation, int) or not isinstance(refutations, int):
        return None
    try:
        return Member(
            address, data_centre, incarnation, refutations, MemberState(state)
        )
    except ValueError:
        return None


def encode_member(member: Member) -> list[Any]:
    """Encodes a member as a row of a delta."""
    return [
        member.address,
        member.data_centre,
        member.incarnation,
        member.refutations,
        int(member.state),
    ]


class MemberTable(components.Replicated):
    """Member table; the record with the highest precedence wins.

    The digest covers live members only. Records of members that are gone are
    kept to override stale live records, and are sent when a bucket differs.
    They can therefore expire at different times without making digests differ.
    """

    kind = "members"

    def __init__(self) -> None:
        self._records: dict[str, Member] = {}
        self._changed_at: dict[str, float] = {}
        self._buckets = payloads.BucketHashes(BUCKETS)
        self._keys: list[set[str]] = [set() for _ in range(BUCKETS)]

    def find(self, address: str) -> Member | None:
        """Returns the record of an address, or `None`."""
        return self._records.get(address)

    def get_changed_at(self, address: str) -> float:
        """Returns the local time of the last change of a known record."""
        return self._changed_at[address]

    def list_members(self) -> Iterable[Member]:
        """Returns every record, including members that are gone."""
        return self._records.values()

    def apply(self, member: Member, now: float) -> MemberChanged | None:
        """Stores a record if it takes precedence over the current one."""
        before = self._records.get(member.address)
        if before is not None and before.precedence >= member.precedence:
            return None
        # Storing an expired record again would keep it in circulation.
        if before is None and not member.is_live:
            return None
        if before is not None and before.is_live:
            self._toggle(before)
        if member.is_live:
            self._toggle(member)
        self._records[member.address] = member
        self._changed_at[member.address] = now
        bucket = self._buckets.find_bucket(member.address)
        self._keys[bucket].add(member.address)
        return MemberChanged(before, member)

    def expire(self, now: float) -> None:
        """Removes members that have been gone for `GONE_RETENTION_S`."""
        for address, member in list(self._records.items()):
            if member.is_live:
                continue
            if now - self._changed_at[address] < GONE_RETENTION_S:
                continue
            del self._records[address]
            del self._changed_at[address]
            bucket = self._buckets.find_bucket(address)
            self._keys[bucket].discard(address)

    def build_digest(self, now: float) -> bytes:
        """Returns the bucket hashes of the live members."""
        return self._buckets.encode()

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns records of differing buckets, up to a limit."""
        candidates = []
        for bucket in self._buckets.find_differing_buckets(digest):
            for address in sorted(self._keys[bucket]):
                row = encode_member(self._records[address])
                candidates.append((self._changed_at[address], row))
        return payloads.encode_rows(payloads.select_rows(candidates, now))

    def encode_record(self, address: str) -> bytes:
        """Returns a delta with one known record."""
        return payloads.encode_rows([encode_member(self._records[address])])

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies a delta and returns a `MemberChanged` for each change."""
        changes: list[commands.Command] = []
        for row in payloads.decode_rows(delta):
            member = decode_member(row)
            if member is None:
                continue
            change = self.apply(member, now)
            if change is not None:
                changes.append(change)
        return changes

    def _toggle(self, member: Member) -> None:
        """Adds a live record to the digest, or removes it."""
        content = (
            f"{member.data_centre} {member.incarnation} {member.refutations}"
            f" {int(member.state)}"
        )
        self._buckets.toggle(member.address, content)
