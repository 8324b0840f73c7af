"""Conditional writes of configuration documents by operators.

A change edits the current document and writes it by compare-and-swap with a
nonce. After a lost response the value is read back: the nonce tells a write
that took effect from one that lost a race.
"""

from collections.abc import Callable
from collections.abc import Mapping
import copy
import dataclasses
import json
from typing import Any
from typing import ClassVar
from typing import TypeAlias

from sycamorehollow.model import failures

PREFIX = "config/"
# A document keeps the nonces of this many earlier writes, so that a writer
# whose response was lost finds its own nonce after others have written.
MAX_EARLIER_NONCES = 8
# Attempts at a write, read-backs included, while responses are lost.
MAX_ATTEMPTS = 5

# Edits a copy of the current document in place, or returns why it cannot.
Edit: TypeAlias = Callable[[dict[str, Any]], failures.Failure | None]


@dataclasses.dataclass(frozen=True)
class ChangeConflict(failures.Failure):
    """Another writer changed the key first; nothing was written."""

    code: ClassVar[str] = "change_conflict"
    status: ClassVar[int] = 409


@dataclasses.dataclass(frozen=True)
class ChangeInDoubt(failures.Failure):
    """The write may have taken effect; the response was lost."""

    code: ClassVar[str] = "change_in_doubt"
    status: ClassVar[int] = 503

    execution: failures.Execution = failures.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True)
class Unchanged(failures.Failure):
    """The edit leaves the document as it is."""

    code: ClassVar[str] = "unchanged"
    status: ClassVar[int] = 409


@dataclasses.dataclass(frozen=True)
class ValueUnreadable(failures.Failure):
    """The current value is not a JSON object."""

    code: ClassVar[str] = "value_unreadable"
    status: ClassVar[int] = 422


@dataclasses.dataclass(frozen=True)
class ConditionalWrite:
    """A compare-and-swap write of one document.

    Attributes:
        key: Store key.
        expected_revision: Revision that the key must still have; 0 for an
            absent key.
        document: New document, including the nonce.
        nonce: Unique id of this change.
    """

    key: str
    expected_revision: int
    document: Mapping[str, Any]
    nonce: str

    @property
    def text(self) -> str:
        """The document as stored JSON."""
        return json.dumps(self.document, separators=(",", ":"))


@dataclasses.dataclass(frozen=True)
class WriteConfirmed:
    """The write took effect.

    Attributes:
        key: Store key.
        revision: Revision at which the change was observed; later writes may
            already have raised it.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class ReadBack:
    """Asks for the value, to find out whether the write took effect."""

    key: str


@dataclasses.dataclass(frozen=True)
class RetryWrite:
    """Asks for the same write to be sent again."""

    write: ConditionalWrite


def make_branch_key(team: str) -> str:
    """Returns the store key of a team's branch."""
    return PREFIX + team


def prepare_write(
    key: str, revision: int, text: str | None, edit: Edit, nonce: str
) -> ConditionalWrite | failures.Failure:
    """Returns the write that applies an edit, or why there is none.

    Args:
        key: Store key.
        revision: Current revision; 0 for an absent key.
        text: Current value, or `None` for an absent key.
        edit: Edit to apply to a copy without nonces.
        nonce: Unique id of this change.
    """
    document = read_document(key, text)
    if isinstance(document, failures.Failure):
        return document
    earlier = _list_nonces(document)
    current = _remove_nonces(document)
    changed = copy.deepcopy(current)
    refusal = edit(changed)
    if refusal is not None:
        return refusal
    changed = _remove_nonces(changed)
    if changed == current and text is not None:
        return Unchanged(f"{key} already is as asked")
    changed["nonce"] = nonce
    changed["earlier_nonces"] = earlier[-MAX_EARLIER_NONCES:]
    return ConditionalWrite(key, revision, changed, nonce)


def resolve_conflict(
    write: ConditionalWrite, revision: int, text: str | None
) -> WriteConfirmed | ChangeConflict:
    """Resolves a conflict with the value that the store returned.

    The conflicting value may be an earlier attempt at the same write whose
    response was lost.
    """
    if _contains(write, text):
        return WriteConfirmed(write.key, revision)
    return ChangeConflict(
        f"{write.key} was changed by another writer at revision {revision}"
    )


def resolve_lost_response(
    write: ConditionalWrite, attempts: int
) -> ReadBack | ChangeInDoubt:
    """Decides what follows a write or read-back without a response."""
    if attempts < MAX_ATTEMPTS:
        return ReadBack(write.key)
    return ChangeInDoubt(
        f"the change of {write.key} may have taken effect: the response of"
        f" the store is missing after {attempts} attempts"
    )


def resolve_read_back(
    write: ConditionalWrite, revision: int, text: str | None
) -> WriteConfirmed | ChangeConflict | RetryWrite:
    """Resolves a lost response with the value that was read back.

    A value that is still at the expected revision does not mean that the write
    failed: it may arrive later. Sending it again is safe, since at most one of
    the two can match that revision.
    """
    if revision == write.expected_revision:
        return RetryWrite(write)
    return resolve_conflict(write, revision, text)


def read_document(
    key: str, text: str | None
) -> dict[str, Any] | ValueUnreadable:
    """Parses a value; an absent or deleted one gives an empty document."""
    if text is None:
        return {}
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        return ValueUnreadable(f"the value of {key} is no JSON object")
    return document


def _contains(write: ConditionalWrite, text: str | None) -> bool:
    document = read_document(write.key, text)
    if isinstance(document, failures.Failure):
        return False
    return write.nonce in _list_nonces(document)


def _list_nonces(document: Mapping[str, Any]) -> list[str]:
    earlier = document.get("earlier_nonces")
    nonces = list(earlier) if isinstance(earlier, list) else []
    if document.get("nonce"):
        nonces.append(document["nonce"])
    return nonces


def _remove_nonces(document: Mapping[str, Any]) -> dict[str, Any]:
    return {
        name: value
        for name, value in document.items()
        if name not in ("nonce", "earlier_nonces")
    }
