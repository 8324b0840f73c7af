"""Configuration branches that a process holds, and their wire encoding."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib
import json
import math
import struct
from typing import Any
from typing import ClassVar
from typing import TypeAlias
import zlib

from sycamorehollow.model import deployment
from sycamorehollow.model import failures

PLATFORM_BRANCH = "platform"
# Keeps a delta under the default gRPC limit of 4 MB.
MAX_DELTA_BYTES = 1_500_000
# Bounds the memory for decompressing a payload. A document has up to 1 MB, and
# escaping can double it.
MAX_DECODED_BYTES = 8_000_000
_DIGEST_HEAD = struct.Struct(">8sI")
_NO_AGE = 0xFFFFFFFF

Faults: TypeAlias = Mapping[str, tuple[failures.Failure, ...]]
# Converts documents (revision and content by branch), given the branches that
# are accepted already.
Convert: TypeAlias = Callable[
    [Mapping[str, tuple[int, Mapping[str, Any]]], Collection[str]],
    tuple[deployment.Deployment, Faults],
]
# Latest and accepted revision by branch.
Revisions: TypeAlias = Mapping[str, tuple[int, int]]


@dataclasses.dataclass(frozen=True)
class DocumentUnreadable(failures.Failure):
    """The value of a branch is not a JSON object."""

    code: ClassVar[str] = "document_unreadable"


@dataclasses.dataclass(frozen=True)
class BranchRevision:
    """One revision of a branch.

    Attributes:
        branch: Name of the branch.
        revision: Store revision of the write.
        text: Document as stored.
        in_force: Whether some process has put it in force ("accepted").
    """

    branch: str
    revision: int
    text: str
    in_force: bool = False


class ConfigBranches:
    """The branches of one process; the highest revision wins.

    Two revisions of each branch are replicated: the latest one, and the
    highest one that any process has put in force (the accepted one). Processes
    with the same two revisions of every branch have the same configuration in
    force, in whatever order the revisions arrived.
    """

    def __init__(self, convert: Convert):
        self._convert = convert
        self._latest: dict[str, BranchRevision] = {}
        self._accepted: dict[str, BranchRevision] = {}
        self._effective: dict[str, BranchRevision] = {}
        self._parsed: dict[BranchRevision, Mapping[str, Any] | None] = {}
        self.deployment = deployment.Deployment()
        self.faults: Faults = {}
        self.hash = _hash_revisions({})

    def list_revisions(self) -> dict[str, tuple[int, int]]:
        """Returns the latest and the accepted revision of each branch."""
        return {
            branch: (entry.revision, _get_revision(self._accepted, branch))
            for branch, entry in sorted(self._latest.items())
        }

    def select_missing(self, theirs: Revisions) -> list[BranchRevision]:
        """Returns the entries missing at a holder of given revisions."""
        found = []
        for entry in self._list_entries():
            latest, accepted = theirs.get(entry.branch, (0, 0))
            if entry.revision > (accepted if entry.in_force else latest):
                found.append(entry)
        return found

    def add(self, entries: Iterable[BranchRevision]) -> list[BranchRevision]:
        """Applies entries with higher revisions and returns these."""
        applied = []
        for entry in entries:
            stored = dataclasses.replace(entry, in_force=False)
            new = stored.revision > _get_revision(self._latest, entry.branch)
            if new:
                self._latest[entry.branch] = stored
            if entry.in_force:
                accepted = _get_revision(self._accepted, entry.branch)
                if stored.revision > accepted:
                    self._accepted[entry.branch] = stored
                    new = True
            if new:
                applied.append(entry)
        if applied:
            self._evaluate()
            self.hash = _hash_revisions(self.list_revisions())
        return applied

    def _list_entries(self) -> list[BranchRevision]:
        """Returns all accepted entries and later ones not accepted."""
        found = []
        for branch, entry in sorted(self._latest.items()):
            accepted = self._accepted.get(branch)
            if accepted is not None:
                found.append(dataclasses.replace(accepted, in_force=True))
            if accepted is None or accepted.revision < entry.revision:
                found.append(entry)
        return found

    def _evaluate(self) -> None:
        """Puts the highest valid revision of each branch in force."""
        candidates = self._list_candidates()
        faults: dict[str, tuple[failures.Failure, ...]] = {}
        while True:
            chosen = {
                branch: entries[0]
                for branch, entries in candidates.items()
                if entries
            }
            converted, found = self._convert_chosen(chosen)
            for branch, reasons in found.items():
                if chosen[branch] is self._latest[branch]:
                    faults[branch] = tuple(reasons)
            failed = [
                branch for branch in chosen if branch not in converted.revisions
            ]
            if not failed:
                break
            # Replace one at a time: the others may become valid with it.
            first = min(failed, key=lambda name: _rank(chosen[name]))
            candidates[first].pop(0)
        self.deployment = converted
        self.faults = {
            branch: reasons
            for branch, reasons in faults.items()
            if branch in found or chosen.get(branch) is not self._latest[branch]
        }
        self._effective = chosen
        for branch, entry in chosen.items():
            if entry.revision > _get_revision(self._accepted, branch):
                self._accepted[branch] = entry
        self._evict_parsed()

    def _list_candidates(self) -> dict[str, list[BranchRevision]]:
        """Returns candidate revisions of each branch, in order.

        The one in force here comes last. It is needed when this process runs
        an older release that cannot read a revision accepted elsewhere.
        """
        result: dict[str, list[BranchRevision]] = {}
        for branch, latest in self._latest.items():
            options = [latest]
            for known in (self._accepted, self._effective):
                entry = known.get(branch)
                if entry and entry.revision < options[-1].revision:
                    options.append(entry)
            result[branch] = options
        return result

    def _convert_chosen(
        self, chosen: Mapping[str, BranchRevision]
    ) -> tuple[deployment.Deployment, dict[str, tuple[Any, ...]]]:
        readable: dict[str, tuple[int, Mapping[str, Any]]] = {}
        unreadable: dict[str, tuple[Any, ...]] = {}
        accepted = set()
        for branch, entry in chosen.items():
            document = self._parse(entry)
            if document is None:
                reason = f"config/{branch} is no JSON object"
                unreadable[branch] = (DocumentUnreadable(reason),)
                continue
            readable[branch] = (entry.revision, document)
            if entry.revision <= _get_revision(self._accepted, branch):
                accepted.add(branch)
        converted, found = self._convert(readable, accepted)
        return converted, {**found, **unreadable}

    def _parse(self, entry: BranchRevision) -> Mapping[str, Any] | None:
        if entry not in self._parsed:
            self._parsed[entry] = _read_object(entry.text)
        return self._parsed[entry]

    def _evict_parsed(self) -> None:
        used = {
            *self._latest.values(),
            *self._accepted.values(),
            *self._effective.values(),
        }
        for entry in list(self._parsed):
            if entry not in used:
                del self._parsed[entry]


@dataclasses.dataclass(frozen=True)
class Digest:
    """Summary of the branches of one process.

    Attributes:
        hash: Hash of the revisions.
        age_s: Seconds since the last confirmation; `None` for never.
        revisions: The revisions; `None` if left out.
    """

    hash: bytes
    age_s: float | None
    revisions: Revisions | None = None


@dataclasses.dataclass(frozen=True)
class Delta:
    """An update from one process to another.

    Attributes:
        digest: Digest of the sender.
        entries: Branch revisions that the receiver may lack.
    """

    digest: Digest
    entries: tuple[BranchRevision, ...] = ()


def split_by_size(
    entries: Iterable[BranchRevision],
) -> list[tuple[BranchRevision, ...]]:
    """Splits entries into groups that each fit into a delta."""
    groups: list[list[BranchRevision]] = []
    size = 0
    for entry in entries:
        size += len(entry.text)
        if not groups or size > MAX_DELTA_BYTES:
            groups.append([])
            size = len(entry.text)
        groups[-1].append(entry)
    return [tuple(group) for group in groups]


def encode_digest(digest: Digest) -> bytes:
    """Encodes a digest as hash, age in tenths of a second, revisions."""
    tenths = _NO_AGE
    if digest.age_s is not None:
        tenths = min(int(digest.age_s * 10), _NO_AGE - 1)
    head = _DIGEST_HEAD.pack(digest.hash, tenths)
    if digest.revisions is None:
        return head
    return head + json.dumps(digest.revisions, separators=(",", ":")).encode()


def decode_digest(payload: bytes) -> Digest | None:
    """Decodes a digest; returns `None` if it is malformed."""
    try:
        number, tenths = _DIGEST_HEAD.unpack_from(payload)
        text = payload[_DIGEST_HEAD.size :]
        revisions = _decode_revisions(json.loads(text)) if text else None
    except (
        struct.error,
        TypeError,
        ValueError,
        ArithmeticError,
        RecursionError,
    ):
        return None
    age_s = None if tenths == _NO_AGE else tenths / 10
    return Digest(number, age_s, revisions)


def encode_delta(delta: Delta) -> bytes:
    """Encodes a delta as compressed JSON."""
    document = {
        "hash": delta.digest.hash.hex(),
        "age_s": delta.digest.age_s,
        "revisions": delta.digest.revisions,
        "entries": [dataclasses.astuple(entry) for entry in delta.entries],
    }
    text = json.dumps(document, separators=(",", ":"))
    return zlib.compress(text.encode())


def decode_delta(payload: bytes) -> Delta | None:
    """Decodes a delta; returns `None` if it is malformed."""
    try:
        text = zlib.decompressobj().decompress(payload, MAX_DECODED_BYTES)
        document = json.loads(text)
        age_s = document["age_s"]
        if age_s is not None and not 0.0 <= age_s < math.inf:
            return None
        revisions = document["revisions"]
        digest = Digest(
            bytes.fromhex(document["hash"]),
            age_s,
            None if revisions is None else _decode_revisions(revisions),
        )
        entries = tuple(
            BranchRevision(
                str(branch), int(revision), str(value), bool(in_force)
            )
            for branch, revision, value, in_force in document["entries"]
        )
    except (
        zlib.error,
        KeyError,
        TypeError,
        ValueError,
        ArithmeticError,
        RecursionError,
    ):
        return None
    return Delta(digest, entries)


def _decode_revisions(document: Any) -> dict[str, tuple[int, int]]:
    return {
        str(branch): (int(latest), int(accepted))
        for branch, (latest, accepted) in dict(document).items()
    }


def _hash_revisions(revisions: Revisions) -> bytes:
    """Returns an eight-byte hash of the revisions."""
    text = json.dumps(revisions, sort_keys=True).encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _rank(entry: BranchRevision) -> tuple[bool, int, str]:
    return (entry.branch != PLATFORM_BRANCH, entry.revision, entry.branch)


def _get_revision(entries: Mapping[str, BranchRevision], branch: str) -> int:
    entry = entries.get(branch)
    return entry.revision if entry else 0


def _read_object(text: str) -> Mapping[str, Any] | None:
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None
