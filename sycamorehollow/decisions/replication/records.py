"""Replicated set of small records: stops, quarantine, cold states, drains."""

from collections.abc import Iterable
import dataclasses
import json
import math
from typing import Any

from sycamorehollow.decisions import components
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.model import commands

BUCKETS = 16
# A process that was isolated for longer can bring a deleted record back, so
# this exceeds the one-hour partitions between regions.
TOMBSTONE_TTL_S = 3 * 3600.0
# An expired record is rejected for this long if received again. Its remaining
# time does not run while a delta is in transit, so that other processes keep it
# a little longer.
EXPIRED_RETENTION_S = 60.0


@dataclasses.dataclass(frozen=True)
class ReplicatedRecord:
    """One record.

    Attributes:
        kind: Kind of record, for example `stop`.
        key: Subject of the record, for example an upstream.
        version: Version; the highest one wins.
        value: JSON text in canonical form; empty for a tombstone.
        expires_at: Local monotonic time in seconds, or `None` for never.
    """

    kind: str
    key: str
    version: int
    value: str
    expires_at: float | None = None

    @property
    def is_tombstone(self) -> bool:
        """Whether this is a tombstone."""
        return not self.value

    @property
    def precedence(self) -> tuple[int, bool, str]:
        """Sort key among records of one key; a tombstone wins a tie."""
        return (self.version, self.is_tombstone, self.value)

    def decode_value(self) -> Any:
        """Returns the value; `None` for a tombstone."""
        return json.loads(self.value) if self.value else None


@dataclasses.dataclass(frozen=True)
class RecordChanged(commands.Command):
    """Reports that a record was added, replaced or deleted."""

    record: ReplicatedRecord


class ReplicatedRecords(components.Replicated):
    """Replicated records by kind and key; the highest version wins."""

    kind = "records"

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], ReplicatedRecord] = {}
        self._changed_at: dict[tuple[str, str], float] = {}
        self._expired: dict[tuple[str, str], ReplicatedRecord] = {}
        self._buckets = payloads.BucketHashes(BUCKETS)

    def find(self, kind: str, key: str, now: float) -> ReplicatedRecord | None:
        """Returns the record in effect, or `None`."""
        record = self._records.get((kind, key))
        if record is None or record.is_tombstone or has_expired(record, now):
            return None
        return record

    def list_kind(self, kind: str, now: float) -> list[ReplicatedRecord]:
        """Returns the records of one kind that are in effect."""
        return [
            record
            for record in self._records.values()
            if record.kind == kind
            and not record.is_tombstone
            and not has_expired(record, now)
        ]

    def put(
        self,
        kind: str,
        key: str,
        value: Any,
        now: float,
        ttl_s: float | None = None,
    ) -> list[commands.Command]:
        """Writes a record above the current version and pushes it.

        Args:
            kind: Kind of record.
            key: Subject of the record.
            value: Any JSON value but `None`.
            now: Monotonic time in seconds.
            ttl_s: Seconds until it expires, or `None` for never.
        """
        text = json.dumps(value, sort_keys=True, separators=(",", ":"))
        return self._write(kind, key, text, now, ttl_s)

    def delete(self, kind: str, key: str, now: float) -> list[commands.Command]:
        """Writes a tombstone above the current version and pushes it."""
        if (kind, key) not in self._records:
            return []
        return self._write(kind, key, "", now, TOMBSTONE_TTL_S)

    def build_digest(self, now: float) -> bytes:
        """Returns the bucket hashes of the records that have not expired."""
        self._expire(now)
        return self._buckets.encode()

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns records of differing buckets, up to a limit."""
        self._expire(now)
        differing = set(self._buckets.find_differing_buckets(digest))
        candidates = []
        for name, record in sorted(self._records.items()):
            if self._buckets.find_bucket("\0".join(name)) not in differing:
                continue
            row = encode_record(record, now)
            candidates.append((self._changed_at[name], row))
        return payloads.encode_rows(payloads.select_rows(candidates, now))

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies a delta and pushes the records that were new."""
        self._expire(now)
        changes: list[commands.Command] = []
        for row in payloads.decode_rows(delta):
            record = decode_record(row, now)
            if record is None or has_expired(record, now):
                continue
            if self._apply(record, now):
                changes.append(RecordChanged(record))
        rows = [
            encode_record(change.record, now)
            for change in changes
            if isinstance(change, RecordChanged)
        ]
        if rows:
            push = payloads.PushDelta(self.kind, payloads.encode_rows(rows))
            changes.append(push)
        return changes

    def _write(
        self, kind: str, key: str, text: str, now: float, ttl_s: float | None
    ) -> list[commands.Command]:
        """Writes a value above the current version and pushes it."""
        self._expire(now)
        name = (kind, key)
        held = self._records.get(name) or self._expired.get(name)
        version = 1 if held is None else held.version + 1
        expires = None if ttl_s is None else now + ttl_s
        record = ReplicatedRecord(kind, key, version, text, expires)
        self._apply(record, now)
        delta = payloads.encode_rows([encode_record(record, now)])
        return [RecordChanged(record), payloads.PushDelta(self.kind, delta)]

    def _apply(self, record: ReplicatedRecord, now: float) -> bool:
        """Stores a record if it takes precedence; returns whether it did."""
        name = (record.kind, record.key)
        expired = self._expired.get(name)
        if expired is not None and expired.precedence >= record.precedence:
            return False
        held = self._records.get(name)
        if held is not None and held.precedence == record.precedence:
            self._records[name] = keep_earlier_expiry(held, record)
            return False
        if held is not None and held.precedence > record.precedence:
            return False
        if held is not None:
            self._toggle(held)
        self._toggle(record)
        self._records[name] = record
        self._changed_at[name] = now
        return True

    def _expire(self, now: float) -> None:
        """Sets expired records aside, and later drops them."""
        for name, record in list(self._expired.items()):
            if has_expired(record, now - EXPIRED_RETENTION_S):
                del self._expired[name]
        for name, record in list(self._records.items()):
            if not has_expired(record, now):
                continue
            self._toggle(record)
            self._expired[name] = record
            del self._records[name]
            del self._changed_at[name]

    def _toggle(self, record: ReplicatedRecord) -> None:
        """Adds a record to the digest, or removes it."""
        name = f"{record.kind}\0{record.key}"
        self._buckets.toggle(name, f"{record.version} {record.value}")


def has_expired(record: ReplicatedRecord, now: float) -> bool:
    """Returns whether a record has expired."""
    return record.expires_at is not None and record.expires_at <= now


def keep_earlier_expiry(
    first: ReplicatedRecord, second: ReplicatedRecord
) -> ReplicatedRecord:
    """Returns the first of two equal records with the earlier expiry."""
    ends = [
        record.expires_at
        for record in (first, second)
        if record.expires_at is not None
    ]
    return dataclasses.replace(first, expires_at=min(ends, default=None))


def encode_record(record: ReplicatedRecord, now: float) -> list[Any]:
    """Encodes a record as a row of a delta, with its remaining seconds."""
    left = (
        None if record.expires_at is None else round(record.expires_at - now, 3)
    )
    return [record.kind, record.key, record.version, record.value, left]


def decode_record(row: Iterable[Any], now: float) -> ReplicatedRecord | None:
    """Decodes a row of a delta; returns `None` if it is malformed."""
    fields = list(row)
    if len(fields) != 5:
        return None
    kind, key, version, value, left = fields
    texts = (kind, key, value)
    if not all(isinstance(text, str) for text in texts):
        return None
    if not isinstance(version, int):
        return None
    if left is not None and not isinstance(left, int | float):
        return None
    if left is not None and not math.isfinite(left):
        return None
    if value:
        try:
            json.loads(value)
        except (ValueError, RecursionError):
            return None
    expires = None if left is None else now + left
    return ReplicatedRecord(kind, key, version, value, expires)
