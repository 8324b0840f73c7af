"""Interface of clients of the platform's key-value store.

Each call returns a result or a failure. The failures distinguish calls without
any effect from those that may have taken effect.
"""

import abc
import dataclasses
from typing import ClassVar

from sycamorehollow.model import failures


@dataclasses.dataclass(frozen=True)
class Found:
    """A stored value.

    Attributes:
        era: As of a listing; 0 if it is not known.
    """

    key: str
    value: str
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True)
class Absent:
    """The key has no value."""

    key: str


@dataclasses.dataclass(frozen=True)
class Written:
    """A write took effect at a revision.

    Attributes:
        era: As of a listing; 0 if it is not known.
    """

    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True)
class Deleted:
    """The key was deleted or had no value."""

    key: str


@dataclasses.dataclass(frozen=True)
class Page:
    """A part of a list that was read at once.

    Attributes:
        last_key: Its last key. It holds all keys up to this one that do not
            belong to an earlier page.
        revision: Store revision at which it was taken.
    """

    last_key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Listing:
    """The values under a prefix, ordered by key.

    Attributes:
        items: The values.
        revision: Store revision whose changes, and all earlier ones, the list
            includes. Values may have later revisions.
        era: Number of restores of the store, which order revisions before
            their numbers do; `None` if it does not state it.
        pages: Its parts in the order of their keys, if it was not taken at
            once.
    """

    items: tuple[Found, ...]
    revision: int
    era: int | None = None
    pages: tuple[Page, ...] = ()


@dataclasses.dataclass(frozen=True)
class Change:
    """One change of a key; `value` is `None` after a deletion."""

    key: str
    value: str | None
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """Result of a watch; `changes` is empty if the watch timed out.

    Attributes:
        changes: Changes in the order of their revisions.
        revision: Revision to pass as `after` in the next watch.
        era: As of a listing.
    """

    changes: tuple[Change, ...]
    revision: int
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class Lease:
    """A granted or renewed lease.

    Attributes:
        era: As of a listing; 0 if it is not known.
    """

    lease: str
    ttl_s: float
    era: int = 0


@dataclasses.dataclass(frozen=True)
class KeyWrite:
    """A write of a transaction; `lease` as in `Store.write`."""

    key: str
    value: str
    lease: str = ""


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Changes that take effect together.

    Attributes:
        expected: Revisions that keys must have; 0 for an absent key.
        writes: Values to write.
        removals: Keys to delete if they exist.
    """

    expected: tuple[tuple[str, int], ...]
    writes: tuple[KeyWrite, ...] = ()
    removals: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Released:
    """A lease that has ended."""

    lease: str


@dataclasses.dataclass(frozen=True)
class Unreachable(failures.Failure):
    """No connection: no byte of the call was sent, so it has no effect."""

    code: ClassVar[str] = "store_unreachable"
    status: ClassVar[int] = 503


@dataclasses.dataclass(frozen=True)
class InDoubt(failures.Failure):
    """No complete response arrived; a write may have taken effect."""

    code: ClassVar[str] = "store_in_doubt"
    status: ClassVar[int] = 503

    execution: failures.Execution = failures.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True)
class Conflict(failures.Failure):
    """The key is not at the expected revision, so nothing was written.

    Attributes:
        revision: Current revision of the key; 0 when it has no value.
        value: Current value, or `None` when the key has no value.
    """

    code: ClassVar[str] = "store_conflict"
    status: ClassVar[int] = 409

    revision: int = 0
    value: str | None = None


@dataclasses.dataclass(frozen=True)
class RateLimited(failures.Failure):
    """The store rejected the call, so it has no effect."""

    code: ClassVar[str] = "store_rate_limited"
    status: ClassVar[int] = 429


@dataclasses.dataclass(frozen=True)
class HistoryGone(failures.Failure):
    """The store no longer holds the changes that a watch asked for."""

    code: ClassVar[str] = "store_history_gone"
    status: ClassVar[int] = 410


@dataclasses.dataclass(frozen=True)
class LeaseGone(failures.Failure):
    """The lease does not exist or has expired."""

    code: ClassVar[str] = "lease_gone"
    status: ClassVar[int] = 404


# Above all revisions of an era.
_ERA_STEP = 2**40


def compute_fencing_token(written: Written | Found) -> int:
    """Returns a number that grows with each write, also after a restore."""
    return written.era * _ERA_STEP + written.revision


CallFailure = Unreachable | InDoubt | RateLimited


class Store(abc.ABC):
    """Client of the store; calls return failures and do not raise them."""

    def discard_connections(self) -> None:  # noqa: B027
        """Uses no connection again that was opened before.

        For a caller that has found one of them silent.
        """

    @abc.abstractmethod
    def read(self, key: str) -> Found | Absent | CallFailure:
        """Returns the value of a key."""

    @abc.abstractmethod
    def write(
        self,
        key: str,
        value: str,
        expected_revision: int | None,
        lease: str = "",
    ) -> Written | Conflict | CallFailure:
        """Writes a value by compare-and-swap.

        Args:
            key: Key of the value.
            value: New value, at most 1 MB.
            expected_revision: Revision that the key must have; 0 creates the
                key if it is absent and `None` writes at any revision.
            lease: Lease that the value is tied to; empty for none.
        """

    @abc.abstractmethod
    def delete(
        self, key: str, expected_revision: int | None = None
    ) -> Deleted | Conflict | CallFailure:
        """Deletes a key, at any revision if none is expected."""

    @abc.abstractmethod
    def list_range(
        self, prefix: str, allow_stale: bool = False
    ) -> Listing | CallFailure:
        """Returns all values whose keys start with a prefix.

        Args:
            prefix: Start of the keys.
            allow_stale: Whether values may be a few seconds old, if the store
                then charges less. They are consistent with the returned
                revision.
        """

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Changes | HistoryGone | CallFailure:
        """Waits for changes under a prefix.

        Args:
            prefix: Start of the keys to report.
            after: Only changes with a higher revision are reported.
            timeout_s: Longest wait in seconds.
        """

    @abc.abstractmethod
    def grant_lease(self, ttl_s: float) -> Lease | CallFailure:
        """Creates a lease that ends after `ttl_s` seconds unless renewed."""

    @abc.abstractmethod
    def renew_lease(self, lease: str) -> Lease | LeaseGone | CallFailure:
        """Renews a lease for its full lifetime."""

    @abc.abstractmethod
    def release_lease(self, lease: str) -> Released | LeaseGone | CallFailure:
        """Ends a lease and deletes the values that are tied to it."""


class TransactionStore(Store):
    """Client of a store that changes several keys at once."""

    @abc.abstractmethod
    def commit(
        self, transaction: Transaction
    ) -> Written | Conflict | CallFailure:
        """Makes the changes if all keys are at their expected revisions.

        A conflict states the value of the first expected key. A lease that has
        ended is a conflict as well.
        """
