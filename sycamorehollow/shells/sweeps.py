"""Deletes records of calls that are past their time."""

import time

import loguru

from sycamorehollow.decisions.calls import call_records
from sycamorehollow.model import failures
from sycamorehollow.shells import polling
from sycamorehollow.shells import stores

INTERVAL_S = 1800.0
JOB = "sweeps"


class RecordSweep:
    """Ends the records of calls and outcomes after their retention.

    Args:
        store: Client of the store.
    """

    def __init__(self, store: stores.Store):
        self._store = store

    def build_jobs(self, coordinator: bool) -> dict[str, polling.Job]:
        """Returns the job, for a coordinator.

        The first sweep comes after a whole interval: a fleet that starts has
        better use for the store.
        """
        if not coordinator:
            return {}
        due_at = time.monotonic() + INTERVAL_S
        return {JOB: polling.Job(INTERVAL_S, self.sweep, due_at)}

    def sweep(self) -> None:
        """Deletes each expired record at exactly the revision that was read."""
        deleted = 0
        for prefix in call_records.PREFIXES:
            listing = self._store.list_range(prefix)
            if isinstance(listing, failures.Failure):
                continue
            rows = [
                (item.key, item.value, item.revision) for item in listing.items
            ]
            for key, revision in call_records.find_expired(rows, time.time()):
                result = self._store.delete(key, revision)
                deleted += isinstance(result, stores.Deleted)
        loguru.logger.info("sweeps: records={} deleted", deleted)
