"""Local mirror of the store's values that nodes replicate to each other.

The store numbers all changes of an era with a single revision counter. Within
an era, what one node has and another lacks is therefore exactly what changed
after the other's revision, regardless of where both got their data, and a
mirror never goes back to an earlier revision. A restore of the store begins
another era, which replaces the contents of all earlier ones; `restores` decides
what of them still counts.
"""

import bisect
from collections.abc import Iterable
import dataclasses

from sycamorehollow.decisions.forwarding import restores

# Deletions to keep. A node that lags further behind gets a snapshot.
MAX_DELETIONS = 2000

Entry = restores.Entry


@dataclasses.dataclass(frozen=True)
class Position:
    """How far the changes of the store are known.

    Attributes:
        era: Number of restores of the store; 0 if it does not state it.
        revision: All changes of the era up to this revision are known.
    """

    era: int
    revision: int


@dataclasses.dataclass(frozen=True)
class Delta:
    """Changes that another node lacks.

    Attributes:
        revision: Store revision of the receiver after it applied the delta.
        is_snapshot: Whether it holds all values, so that absent keys have none.
        era: Era of the revisions.
    """

    entries: tuple[Entry, ...]
    revision: int
    is_snapshot: bool
    era: int = 0


@dataclasses.dataclass(frozen=True)
class Segment:
    """A range of keys whose values were read at once.

    Attributes:
        last_key: Its last key; it begins after that of the segment before.
        revision: Revision at which it was read.
    """

    last_key: str
    revision: int


class _NoOrder(restores.EntryOrder):
    """Order of values that nothing is known about."""

    def compare(self, key: str, value: str, known: str) -> int | None:
        """Returns `None`."""
        return None

    def lapses(self, key: str) -> bool:
        """Returns `False`."""
        return False


class Mirror:
    """Values by key and the latest deletions.

    Args:
        order: Orders the values of a key across eras.

    Attributes:
        era: Era of the contents; 0 if the store does not state it.
        revision: All changes up to this revision are known; 0 at the start.
        is_restored: Whether an era has begun since the start.
    """

    def __init__(self, order: restores.EntryOrder | None = None) -> None:
        self.era = 0
        self.revision = 0
        self.is_restored = False
        self._guard = restores.RestoreGuard(order or _NoOrder())
        self._entries: dict[str, Entry] = {}
        self._deleted: dict[str, Entry] = {}
        # Deletions up to this revision may have been evicted.
        self._deletion_floor = 0
        # Parts of the latest listing that are ahead of the revision.
        self._segments: tuple[Segment, ...] = ()

    @property
    def position(self) -> Position:
        """How far the changes of the store are known."""
        return Position(self.era, self.revision)

    def list_values(self) -> list[Entry]:
        """Returns the entries that have a value."""
        return list(self._entries.values())

    def list_kept(self) -> list[str]:
        """Returns the keys whose contents in the store do not count yet."""
        return self._guard.list_kept()

    def get_revision(self, key: str) -> int:
        """Returns the revision of a key; 0 when it has no value."""
        entry = self._entries.get(key)
        return entry.revision if entry is not None else 0

    def get_value(self, key: str) -> str | None:
        """Returns the value of a key in the store; `None` for none."""
        entry = self._entries.get(key)
        return entry.value if entry is not None else None

    def is_newer(self, era: int) -> bool:
        """Tells whether an era is later than that of the known contents."""
        return era > self.era and self.revision > 0

    def apply(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Applies changes of the era that follow the current revision.

        Returns:
            The entries that changed something, ordered by revision. Only the
            last change of each key is returned, because decoding every value
            of a burst of large changes would take longer than the burst.
        """
        changed = {e.key: e for e in entries if self._apply_entry(e)}
        self.revision = max(self.revision, revision)
        if all(s.revision <= self.revision for s in self._segments):
            self._segments = ()
        return sorted(changed.values(), key=lambda entry: entry.revision)

    def replace(
        self,
        entries: Iterable[Entry],
        revision: int,
        era: int = 0,
        segments: tuple[Segment, ...] = (),
    ) -> list[Entry]:
        """Applies a snapshot of all values at a revision of the same era.

        A snapshot older than the mirror changes nothing.

        Args:
            entries: The values.
            revision: Revision whose changes, and all earlier ones, the values
                include.
            era: Era of the revisions.
            segments: Ranges of keys that may be ahead of the revision.

        Returns:
            The entries that changed something; deletions have the revision of
            the snapshot.
        """
        if revision < self.revision or era < self.era:
            return []
        found = {entry.key: entry for entry in entries}
        gone = [
            Entry(key, None, revision)
            for key, entry in self._entries.items()
            if key not in found and entry.revision <= revision
        ]
        if self.revision == 0:
            self._deletion_floor = revision
            self.era = era
        updates = self.apply([*gone, *found.values()], revision)
        if any(segment.revision > revision for segment in segments):
            self._segments = segments
        return updates

    def begin_era(
        self, era: int, entries: Iterable[Entry], revision: int, now: float
    ) -> list[Entry]:
        """Replaces the contents by the first ones of a later era.

        Args:
            era: The era.
            entries: All values at the revision.
            revision: Revision of the era.
            now: Monotonic time in seconds.

        Returns:
            The entries that changed something and count at once.
        """
        listed = {entry.key: entry for entry in entries}
        updates = self._guard.reconcile(self._entries, listed, revision, now)
        self.era = era
        self.revision = revision
        self.is_restored = True
        self._entries = listed
        self._deleted = {}
        self._deletion_floor = revision
        self._segments = ()
        return sorted(updates, key=lambda entry: entry.revision)

    def settle(self, now: float) -> list[Entry] | None:
        """Returns entries that count from now on; `None` if it is too early."""
        return self._guard.settle(self._entries, now)

    def build_delta(self, since: int) -> Delta | None:
        """Returns the changes of this era after a revision, or `None`."""
        if since >= self.revision:
            return None
        whole = since < self._deletion_floor
        entries = list(self._entries.values())
        if not whole:
            entries.extend(self._deleted.values())
            entries = [entry for entry in entries if entry.revision > since]
        return Delta(tuple(entries), self.revision, whole, self.era)

    def build_delta_for(self, position: Position) -> Delta | None:
        """Returns the changes that a node at a position lacks, or `None`."""
        if position.era == self.era or not position.revision:
            return self.build_delta(position.revision)
        if position.era > self.era:
            return None
        entries = tuple(self._entries.values())
        return Delta(entries, self.revision, True, self.era)

    def merge(self, delta: Delta, now: float = 0.0) -> list[Entry]:
        """Applies another node's delta and returns the changed entries."""
        if delta.era < self.era:
            return []
        if self.is_newer(delta.era):
            if not delta.is_snapshot:
                return []
            return self.begin_era(delta.era, delta.entries, delta.revision, now)
        if delta.revision <= self.revision:
            return []
        if delta.is_snapshot:
            return self.replace(delta.entries, delta.revision, delta.era)
        if self.revision == 0:
            self.era = delta.era
        return self.apply(delta.entries, delta.revision)

    def _find_segment_revision(self, key: str) -> int:
        """Returns the revision up to which changes of a key are included."""
        if not self._segments:
            return 0
        last_keys = [segment.last_key for segment in self._segments]
        # The last segment has no end.
        index = bisect.bisect_left(last_keys, key, 0, len(last_keys) - 1)
        return self._segments[index].revision

    def _apply_entry(self, entry: Entry) -> bool:
        current = self._entries.get(entry.key) or self._deleted.get(entry.key)
        if current is not None and current.revision >= entry.revision:
            return False
        included = self._find_segment_revision(entry.key)
        if entry.value is not None and entry.revision <= included:
            # A listing lacks this value, so it was deleted later.
            return False
        self._guard.record_change(entry, current)
        self._entries.pop(entry.key, None)
        self._deleted.pop(entry.key, None)
        if entry.value is not None:
            self._entries[entry.key] = entry
            return True
        self._deleted[entry.key] = entry
        if len(self._deleted) > MAX_DELETIONS:
            oldest = next(iter(self._deleted))
            self._deletion_floor = max(
                self._deletion_floor, self._deleted.pop(oldest).revision
            )
        return current is not None and current.value is not None
