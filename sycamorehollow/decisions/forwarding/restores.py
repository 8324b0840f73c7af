"""Rules for a store that was restored from a copy.

The store then lacks its latest changes and gives their revisions out again. It
counts its restores in an era; revisions order changes within one era only. The
contents of a new era are an older state, to which operators and upstreams write
again what was lost. Until they have, what this node knows is kept where the
copy contradicts it: nothing that was confirmed is undone in the meantime.
"""

import abc
import collections
from collections.abc import Mapping
import dataclasses

# Time after which the store's contents count even where they contradict what
# was known. Entries of upstreams that are gone lapse before it.
SETTLE_S = 6.0
# Removed entries that are remembered, to recognise them in a copy.
MAX_REMOVED = 2000


@dataclasses.dataclass(frozen=True)
class Entry:
    """The latest known value of a key; `None` for a deleted one."""

    key: str
    value: str | None
    revision: int


class EntryOrder(abc.ABC):
    """Order of the values of a key, by what they say themselves."""

    @abc.abstractmethod
    def compare(self, key: str, value: str, known: str) -> int | None:
        """Compares two values of a key.

        Returns:
            A negative number if `value` is older than `known`, a positive one
            if it is newer, 0 if it is as old; `None` if the values do not tell.
        """

    @abc.abstractmethod
    def lapses(self, key: str) -> bool:
        """Tells whether a missing value has a period of its own to return."""


class RestoreGuard:
    """Knows which entries of a copy contradict what was known.

    Args:
        order: Orders the values of a key.
    """

    def __init__(self, order: EntryOrder):
        self._order = order
        # Last value of each removed key, the least recent first.
        self._removed: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        # What is known instead of the store's contents.
        self._kept: dict[str, Entry] = {}
        self._settle_at = float("inf")

    def list_kept(self) -> list[str]:
        """Returns the keys whose contents in the store do not count yet."""
        return sorted(self._kept)

    def record_change(self, entry: Entry, before: Entry | None) -> None:
        """Records a change of the store, which always counts.

        Args:
            entry: The changed entry.
            before: The previous one; `None` if the key had no value.
        """
        self._kept.pop(entry.key, None)
        if entry.value is not None:
            self._removed.pop(entry.key, None)
        elif before is not None and before.value is not None:
            self._removed[entry.key] = before
            self._removed.move_to_end(entry.key)
            if len(self._removed) > MAX_REMOVED:
                self._removed.popitem(last=False)

    def reconcile(
        self,
        known: Mapping[str, Entry],
        listed: Mapping[str, Entry],
        revision: int,
        now: float,
    ) -> list[Entry]:
        """Compares the first contents of an era with what was known.

        Args:
            known: Entries of the earlier era that have a value.
            listed: All entries of the new one.
            revision: Its revision.
            now: Monotonic time in seconds.

        Returns:
            The entries that count at once.
        """
        known = {**known, **self._kept}
        self._kept = {}
        self._settle_at = now + SETTLE_S
        copied = self._find_copied_revision(known, listed)
        updates = []
        for key, entry in listed.items():
            before = known.get(key) or Entry(key, None, 0)
            was_removed = before.value is None
            last = self._removed.get(key) if was_removed else before
            if last and self._is_copied(entry, last, copied, was_removed):
                self._kept[key] = before
            elif entry != before:
                updates.append(entry)
        for key, before in known.items():
            if key in listed or before.value is None:
                continue
            if self._order.lapses(key):
                updates.append(Entry(key, None, revision))
            else:
                self._kept[key] = before
        return updates

    def settle(
        self, contents: Mapping[str, Entry], now: float
    ) -> list[Entry] | None:
        """Returns the entries that count from now on.

        `None` if it is too early, or nothing is left to settle.

        Args:
            contents: The store's entries that have a value.
            now: Monotonic time in seconds.
        """
        if now < self._settle_at:
            return None
        self._settle_at = float("inf")
        settled = []
        for key, before in list(self._kept.items()):
            entry = contents.get(key)
            if entry is not None and before.value is not None:
                order = self._order.compare(
                    key, entry.value or "", before.value
                )
                if order is not None and order < 0:
                    # It stays an older state until it is written again.
                    continue
            del self._kept[key]
            settled.append(entry or Entry(key, None, before.revision))
        return settled

    def _find_copied_revision(
        self, known: Mapping[str, Entry], listed: Mapping[str, Entry]
    ) -> int:
        """Returns a revision up to which all entries are the copy's."""
        return max(
            (
                entry.revision
                for key, entry in listed.items()
                if entry in (known.get(key), self._removed.get(key))
            ),
            default=0,
        )

    def _is_copied(
        self, entry: Entry, last: Entry, copied: int, was_removed: bool
    ) -> bool:
        """Tells whether an entry is an older state than the known one.

        Args:
            entry: Entry of the new era.
            last: Last known entry with a value.
            copied: Revision up to which all entries are the copy's.
            was_removed: Whether that entry was removed.
        """
        if entry == last:
            return was_removed
        if entry.value == last.value and not was_removed:
            return False
        order = self._order.compare(
            entry.key, entry.value or "", last.value or ""
        )
        if order is None or order == 0:
            return entry.revision <= copied
        return order < 0
