"""A copy of the store's values that processes hand on to each other.

The store numbers all changes with one counter. So what one process knows and
another lacks is what changed after the other's number, whoever they both got
it from, and a copy never goes back.
"""

from collections.abc import Iterable
import dataclasses

# A process that was away for longer gets a whole copy.
MAX_DELETIONS = 2000


@dataclasses.dataclass(frozen=True)
class Entry:
    """The last known state of a key; `value` is `None` once it is deleted."""

    key: str
    value: str | None
    revision: int


@dataclasses.dataclass(frozen=True)
class Delta:
    """What a process lacks.

    Attributes:
        revision: Revision of the store that the receiver then has.
        whole: Whether keys that are missing here have no value.
    """

    entries: tuple[Entry, ...]
    revision: int
    is_snapshot: bool


class Mirror:
    """Values by key, with deletions kept for a while.

    Attributes:
        revision: Every change up to this revision is known; 0 at the start.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._deleted: dict[str, Entry] = {}
        # Deletions up to this revision may be forgotten.
        self._deletion_floor = 0

    def list_values(self) -> list[Entry]:
        """Returns the entries that have a value."""
        return list(self._entries.values())

    def get_revision(self, key: str) -> int:
        """Returns the revision of a key; 0 when it has no value."""
        entry = self._entries.get(key)
        return entry.revision if entry is not None else 0

    def apply(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Takes changes that follow on the present revision.

        Returns:
            The entries that are news, in the order of their revisions. Of
            several changes of a key only the last one is reported, since a
            storm of large values would take longer to read than it lasts.
        """
        news = {e.key: e for e in entries if self._apply_entry(e)}
        self.revision = max(self.revision, revision)
        return sorted(news.values(), key=lambda entry: entry.revision)

    def replace(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Takes the complete values at a revision.

        A copy that is older than the present one changes nothing.

        Returns:
            The entries that are news; deletions have the given revision.
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
        """Returns what a process at revision `since` lacks, if anything."""
        if since >= self.revision:
            return None
        whole = since < self._deletion_floor
        known = list(self._entries.values())
        if not whole:
            known.extend(self._deleted.values())
            known = [entry for entry in known if entry.revision > since]
        return Delta(tuple(known), self.revision, whole)

    def merge(self, delta: Delta) -> list[Entry]:
        """Takes what another process handed on and returns the news."""
        if delta.revision <= self.revision:
            return []
        if delta.is_snapshot:
            return self.replace(delta.entries, delta.revision)
        return self.apply(delta.entries, delta.revision)

    def _apply_entry(self, entry: Entry) -> bool:
        known = self._entries.get(entry.key) or self._deleted.get(entry.key)
        if known is not None and known.revision >= entry.revision:
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
        return known is not None and known.value is not None
