"""Applies the contents of the store to the router."""

from collections.abc import Iterable
import time

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import store_codec
from sycamorehollow.shells.gateway import telemetry

# Keys in the line about a restored store.
MAX_LOGGED_KEYS = 20


class StoreContents:
    """What this node knows of the store, from itself and from other nodes.

    Args:
        router: Receives the updates.
        codec: Decodes entries of the store.
        telemetry_sink: Records every change.

    Attributes:
        mirror: The local copy of the store.
    """

    def __init__(
        self,
        router: routers.Router,
        codec: store_codec.StoreCodec,
        telemetry_sink: telemetry.Telemetry,
    ):
        self.mirror = mirror.Mirror(codec)
        self._router = router
        self._codec = codec
        self._telemetry = telemetry_sink

    def apply_listing(self, listing: stores.Listing) -> bool:
        """Applies all values; returns whether they begin another era."""
        # A store that states no era, or does no longer, has one era.
        era = self.mirror.era if listing.era is None else listing.era
        entries = tuple(
            mirror.Entry(i.key, i.value, i.revision) for i in listing.items
        )
        source = f"list {listing.revision}"
        if self.mirror.is_newer(era):
            snapshot = mirror.Delta(entries, listing.revision, True, era)
            self._begin_era(snapshot, source)
            return True
        segments = tuple(
            mirror.Segment(page.last_key, page.revision)
            for page in listing.pages
        )
        self._log_uneven_pages(listing)
        self._apply(
            self.mirror.replace(entries, listing.revision, era, segments),
            source,
        )
        return False

    def _log_uneven_pages(self, listing: stores.Listing) -> None:
        """Logs a listing whose pages come from copies of different age."""
        revisions = [page.revision for page in listing.pages]
        if revisions == sorted(revisions):
            return
        self._telemetry.record_state_change(
            f"list={listing.revision}",
            f"a later page is older, pages at {revisions[:MAX_LOGGED_KEYS]}",
            "store",
        )

    def can_apply(self, changes: stores.Changes) -> bool:
        """Returns whether the result of a watch is of the known era.

        One of a later era lacks what was lost, and one of an earlier era what
        another node has told since.
        """
        return changes.era in (None, self.mirror.era)

    def apply_changes(self, changes: stores.Changes) -> None:
        """Applies the result of a watch of the known era."""
        entries = [
            mirror.Entry(c.key, c.value, c.revision) for c in changes.changes
        ]
        self._apply(
            self.mirror.apply(entries, changes.revision),
            f"watch {changes.revision}",
        )

    def merge(self, delta: mirror.Delta, source: str) -> bool:
        """Applies another node's changes; returns as `apply_listing`."""
        if not self.mirror.is_newer(delta.era):
            self._apply(self.mirror.merge(delta), source)
            return False
        if not delta.is_snapshot:
            return False
        self._begin_era(delta, source)
        return True

    def settle(self, now: float) -> None:
        """Lets the contents of a restored store count in the end."""
        updates = self.mirror.settle(now)
        if updates is None:
            return
        self._router.rollouts.settle_era()
        self._apply(updates, "restored store, not written again")

    def _begin_era(self, snapshot: mirror.Delta, source: str) -> None:
        """Applies the first contents of a restored store."""
        now = time.monotonic()
        before = self.mirror.position
        # Upstreams that the copy lacks have time to be registered again.
        self._router.directory.record_store_recovery(now)
        self._router.rollouts.begin_era()
        updates = self.mirror.begin_era(
            snapshot.era, snapshot.entries, snapshot.revision, now
        )
        kept = self.mirror.list_kept()
        self._telemetry.record_state_change(
            f"store_era={snapshot.era}",
            f"revision {snapshot.revision} after {before.revision} of era"
            f" {before.era}, changed={len(updates)} kept={len(kept)}"
            f" {','.join(kept[:MAX_LOGGED_KEYS])}",
            source,
        )
        self._apply(updates, source)

    def _apply(self, updates: Iterable[mirror.Entry], source: str) -> None:
        for entry in updates:
            try:
                self._apply_entry(entry, f"{source} at {entry.revision}")
            except Exception as error:
                # The mirror already has this entry, so it is not delivered
                # again. The entries after it still have to be applied.
                self._telemetry.log_error(f"entry={entry.key}", error)

    def _apply_entry(self, entry: mirror.Entry, source: str) -> None:
        now = time.monotonic()
        for update in self._codec.decode(entry):
            for change in self._router.apply_event(update, now):
                self._telemetry.record_state_change(
                    change.subject, change.outcome, source
                )
