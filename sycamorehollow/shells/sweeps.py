"""Deletion of expired call records from the store."""

import time

import loguru

from sycamorehollow.decisions.calls import call_records
from sycamorehollow.model import failures
from sycamorehollow.shells import polling
from sycamorehollow.shells import stores

INTERVAL_S = 1800.0
JOB = "sweeps"


class RecordSweep:
    """Deletes the records of calls and outcomes after their retention.

    Args:
        store: Client of the store.
    """

    def __init__(self, store: stores.Store):
        self._store = store

    def build_jobs(self, coordinator: bool) -> dict[str, polling.Job]:
        """Returns the job of a coordinator; other processes have none.

        The first sweep starts after a whole interval, so that it puts no load
        on the store while a fleet starts.
        """
        if not coordinator:
            return {}
        due_at = time.monotonic() + INTERVAL_S
        return {JOB: polling.Job(INTERVAL_S, self.sweep, due_at)}

    def sweep(self) -> None:
        """Deletes expired records, each only at the revision that was read."""
        deleted_count = 0
        for prefix in call_records.PREFIXES:
            listing = self._store.list_range(prefix)
            if isinstance(listing, failures.Failure):
                continue
            records = [
                (item.key, item.value, item.revision) for item in listing.items
            ]
            for key, revision in call_records.find_expired(
                records, time.time()
            ):
                result = self._store.delete(key, revision)
                deleted_count += isinstance(result, stores.Deleted)
        loguru.logger.info("sweeps: records={} deleted", deleted_count)
