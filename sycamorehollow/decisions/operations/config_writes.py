"""Rules of an operator's change to one value in the store.

A change is an edit of the current document, written by compare-and-swap with
a nonce. A lost response is resolved by reading the value back: the nonce tells
a write that took effect from a lost race.
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
# Later writers keep the nonces of this many earlier ones, so that a writer
# whose response was lost finds its own even after others have written.
MAX_EARLIER_NONCES = 8
# Attempts at a write whose response stays lost.
MAX_ATTEMPTS = 5

# Changes a copy of the current document in place, or tells why it does not.
Edit: TypeAlias = Callable[[dict[str, Any]], failures.Failure | None]


@dataclasses.dataclass(frozen=True)
class ChangeConflict(failures.Failure):
    """Another writer was faster, so nothing was written."""

    code: ClassVar[str] = "change_conflict"
    status: ClassVar[int] = 409


@dataclasses.dataclass(frozen=True)
class ChangeInDoubt(failures.Failure):
    """The store does not say whether the change took effect."""

    code: ClassVar[str] = "change_in_doubt"
    status: ClassVar[int] = 503

    execution: failures.Execution = failures.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True)
class Unchanged(failures.Failure):
    """The edit changes nothing."""

    code: ClassVar[str] = "unchanged"
    status: ClassVar[int] = 409


@dataclasses.dataclass(frozen=True)
class ValueUnreadable(failures.Failure):
    """The current value is no JSON object."""

    code: ClassVar[str] = "value_unreadable"
    status: ClassVar[int] = 422


@dataclasses.dataclass(frozen=True)
class ConditionalWrite:
    """A write by compare-and-swap.

    Attributes:
        key: The only key that the change writes.
        expected_revision: Revision that the key must still have; 0 for an
            absent key.
        document: The new document with the writer's nonce.
        nonce: The writer's nonce.
    """

    key: str
    expected_revision: int
    document: Mapping[str, Any]
    nonce: str

    @property
    def text(self) -> str:
        """The document as it is stored."""
        return json.dumps(self.document, separators=(",", ":"))


@dataclasses.dataclass(frozen=True)
class WriteConfirmed:
    """The change took effect.

    Attributes:
        key: The key that was written.
        revision: Revision at which the change was seen; later writers may
            have raised it already.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class ReadBack:
    """The value has to be read to learn what became of the write."""

    key: str


@dataclasses.dataclass(frozen=True)
class RetryWrite:
    """The same write has to be sent again."""

    write: ConditionalWrite


def make_branch_key(team: str) -> str:
    """Returns the key of a team's branch."""
    return PREFIX + team


def prepare_write(
    key: str, revision: int, text: str | None, edit: Edit, nonce: str
) -> ConditionalWrite | failures.Failure:
    """Returns the write of an edit, or why there is none.

    Args:
        key: Key of the value.
        revision: Its current revision; 0 for an absent key.
        text: Its current value, or `None`.
        edit: The change; it gets a copy without the nonces.
        nonce: Unique name of this change.
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
    """Judges a refused write by the value that the store returned.

    An earlier attempt whose response was lost may have caused the refusal.
    """
    if _contains(write, text):
        return WriteConfirmed(write.key, revision)
    return ChangeConflict(
        f"{write.key} was changed by another writer at revision {revision}"
    )


def resolve_lost_response(
    write: ConditionalWrite, attempts: int
) -> ReadBack | ChangeInDoubt:
    """Judges a write, or a read-back, whose response is missing."""
    if attempts < MAX_ATTEMPTS:
        return ReadBack(write.key)
    return ChangeInDoubt(
        f"the change of {write.key} may have taken effect: the response of"
        f" the store is missing after {attempts} attempts"
    )


def resolve_read_back(
    write: ConditionalWrite, revision: int, text: str | None
) -> WriteConfirmed | ChangeConflict | RetryWrite:
    """Judges the value that was read after a lost response.

    A value at the expected revision does not mean that the write is lost: it
    may still arrive. Sending it again is safe, as only one can match.
    """
    if revision == write.expected_revision:
        return RetryWrite(write)
    return resolve_conflict(write, revision, text)


def read_document(
    key: str, text: str | None
) -> dict[str, Any] | ValueUnreadable:
    """Returns the document of a value; empty if it is absent or deleted."""
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
