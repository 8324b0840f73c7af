"""Delta encoding and bucket hashes of replicated state."""

import dataclasses
import hashlib
import json
import struct
from typing import Any
import zlib

from sycamorehollow.model import commands

# Members in this many rows take about 1.2 KB, which keeps a node under 10 KB/s
# while a rack of members fails.
MAX_DELTA_ROWS = 48
# Bounds the memory for decompressing a payload.
MAX_DECODED_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True)
class PushDelta(commands.Command):
    """Pushes a delta to peers without waiting for an exchange.

    Attributes:
        kind: Kind of the replicated state.
        delta: Delta for `merge` at the other processes.
    """

    kind: str
    delta: bytes


def encode_rows(rows: list[list[Any]]) -> bytes:
    """Encodes rows as compressed JSON; no rows give empty bytes."""
    if not rows:
        return b""
    text = json.dumps(rows, separators=(",", ":")).encode()
    return zlib.compress(text, 6)


def decode_rows(payload: bytes) -> list[list[Any]]:
    """Decodes rows; a malformed payload gives no rows.

    Args:
        payload: Bytes from `encode_rows` at another process.

    Returns:
        The rows that are lists; others are left out.
    """
    if not payload:
        return []
    reader = zlib.decompressobj()
    try:
        rows = json.loads(reader.decompress(payload, MAX_DECODED_BYTES))
    except (zlib.error, ValueError, RecursionError):
        return []
    if not isinstance(rows, list):
        return []
    return [row for row in rows if isinstance(row, list)]


class BucketHashes:
    """Hashes of a keyed set that is split into buckets by key.

    Sets with equal digests are equal, except for a collision of 32-bit hashes,
    which the next change to the bucket resolves.
    """

    def __init__(self, count: int):
        self._hashes = [0] * count
        self._format = f"<{count}I"

    def find_bucket(self, key: str) -> int:
        """Returns the bucket number of a key."""
        return zlib.crc32(key.encode()) % len(self._hashes)

    def toggle(self, key: str, content: str) -> None:
        """Adds an entry, or removes it if it is present."""
        entry = hashlib.blake2b(f"{key}\0{content}".encode(), digest_size=4)
        number = int.from_bytes(entry.digest(), "little")
        self._hashes[self.find_bucket(key)] ^= number

    def encode(self) -> bytes:
        """Returns the digest: four bytes for each bucket."""
        return struct.pack(self._format, *self._hashes)

    def find_differing_buckets(self, digest: bytes) -> list[int]:
        """Returns the buckets that differ from a digest; all if malformed."""
        if len(digest) != struct.calcsize(self._format):
            return list(range(len(self._hashes)))
        theirs = struct.unpack(self._format, digest)
        pairs = zip(self._hashes, theirs, strict=True)
        return [
            number
            for number, (mine, their) in enumerate(pairs)
            if mine != their
        ]


def select_rows(
    candidates: list[tuple[float, list[Any]]], now: float
) -> list[list[Any]]:
    """Selects rows for one delta of bounded size.

    Half of the rows are the latest changes, so that these spread first. The
    others start at a position that moves with time; otherwise newer rows that
    both sides have could keep a missing old row from ever being sent.

    Args:
        candidates: Time of the last change in seconds, and row.
        now: Monotonic time in seconds.
    """
    if len(candidates) <= MAX_DELTA_ROWS:
        return [row for _, row in candidates]
    ordered = sorted(candidates, key=lambda pair: -pair[0])
    newest, rest = (
        ordered[: MAX_DELTA_ROWS // 2],
        ordered[MAX_DELTA_ROWS // 2 :],
    )
    start = int(now * 1000) * 7919 % len(rest)
    rotated = rest[start:] + rest[:start]
    chosen = newest + rotated[: MAX_DELTA_ROWS - len(newest)]
    return [row for _, row in chosen]
