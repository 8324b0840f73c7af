"""Local mirror of the store's values that nodes replicate to each other.

The store numbers all changes with a single revision counter. Therefore what
one node has and another lacks is exactly what changed after the other's
revision, regardless of where both got their data, and a mirror never goes back
to an earlier revision.
"""

from collections.abc import Iterable
import dataclasses

# Deletions to keep. A node that lags further behind gets a snapshot.
MAX_DELETIONS = 2000


@dataclasses.dataclass(frozen=True)
class Entry:
    """The latest known value of a key; `None` for a deleted one."""

    key: str
    value: str | None
    revision: int


@dataclasses.dataclass(frozen=True)
class Delta:
    """Changes that another node lacks.

    Attributes:
        revision: Store revision of the receiver after it applied the delta.
        is_snapshot: Whether it holds all values, so that absent keys have none.
    """

    entries: tuple[Entry, ...]
    revision: int
    is_snapshot: bool


class Mirror:
    """Values by key and the latest deletions.

    Attributes:
        revision: All changes up to this revision are known; 0 at the start.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._deleted: dict[str, Entry] = {}
        # Deletions up to this revision may have been evicted.
        self._deletion_floor = 0

    def list_values(self) -> list[Entry]:
        """Returns the entries that have a value."""
        return list(self._entries.values())

    def get_revision(self, key: str) -> int:
        """Returns the revision of a key; 0 when it has no value."""
        entry = self._entries.get(key)
        return entry.revision if entry is not None else 0

    def apply(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Applies changes that follow the current revision.

        Returns:
            The entries that changed something, ordered by revision. Only the
            last change of each key is returned, because decoding every value
            of a burst of large changes would take longer than the burst.
        """
        changed = {e.key: e for e in entries if self._apply_entry(e)}
        self.revision = max(self.revision, revision)
        return sorted(changed.values(), key=lambda entry: entry.revision)

    def replace(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Applies a snapshot of all values at a revision.

        A snapshot older than the mirror changes nothing.

        Returns:
            The entries that changed something; deletions have the revision of
            the snapshot.
        """
        if revision < self.revision:
            return []
        found = {entry.key: entry for entry in entries}
        gone = [
            Entry(key, None, revision)
            for key, entry in self._entries.items()
            if key not in found and entry.revision <= revision
        ]
        if self.revision == 0:
            self._deletion_floor = revision
        return self.apply([*gone, *found.values()], revision)

    def build_delta(self, since: int) -> Delta | None:
        """Returns the changes after revision `since`, or `None`."""
        if since >= self.revision:
            return None
        whole = since < self._deletion_floor
        entries = list(self._entries.values())
        if not whole:
            entries.extend(self._deleted.values())
            entries = [entry for entry in entries if entry.revision > since]
        return Delta(tuple(entries), self.revision, whole)

    def merge(self, delta: Delta) -> list[Entry]:
        """Applies another node's delta and returns the changed entries."""
        if delta.revision <= self.revision:
            return []
        if delta.is_snapshot:
            return self.replace(delta.entries, delta.revision)
        return self.apply(delta.entries, delta.revision)

    def _apply_entry(self, entry: Entry) -> bool:
        current = self._entries.get(entry.key) or self._deleted.get(entry.key)
        if current is not None and current.revision >= entry.revision:
            return False
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
