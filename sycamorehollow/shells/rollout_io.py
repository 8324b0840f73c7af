"""Store calls of roll-outs: their leases and stages."""

from collections.abc import Callable
import time

from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.decisions.releases import stages
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import polling
from sycamorehollow.shells import stores

LEASE_PREFIX = "leases/rollouts/"
# Operators change stages in the store; coordinators notice within this time.
POLL_INTERVAL_S = 2.0
JOB = "rollouts/stages"


class RolloutShell:
    """Holds the leases of roll-outs and reads and writes their stages."""

    def __init__(
        self,
        name: str,
        store: stores.Store,
        workers: http_workers.HttpWorkers,
        report: Callable[[events.Event], None],
    ):
        self._name = name
        self._store = store
        self._workers = workers
        self._report = report
        self._leases: dict[str, str] = {}

    def build_jobs(self, coordinator: bool) -> dict[str, polling.Job]:
        """Returns the job that reads all stages; only coordinators have it."""
        if not coordinator:
            return {}
        return {JOB: polling.Job(POLL_INTERVAL_S, self._poll)}

    def request_lease(self, command: rollouts.RequestLease) -> None:
        """Starts to acquire or renew the lease of a roll-out."""
        self._workers.submit(lambda: self._request_lease(command))

    def read(self, command: rollouts.ReadStage) -> None:
        """Starts to read the stage of a roll-out."""
        self._workers.submit(lambda: self._read(command))

    def write(self, command: rollouts.WriteStage) -> None:
        """Starts to write the stage of a roll-out by compare-and-swap."""
        self._workers.submit(lambda: self._write(command))

    def _request_lease(self, command: rollouts.RequestLease) -> None:
        # Valid from before the call, by the clock of this process, so that the
        # lease ends here before it ends in the store.
        requested_at = time.monotonic()
        if self._renew(command.rollout) or self._acquire(command):
            valid_until = requested_at + command.ttl_s
            self._report(rollouts.LeaseGranted(command.rollout, valid_until))
            return
        self._report(rollouts.LeaseLost(command.rollout))

    def _renew(self, rollout: str) -> bool:
        lease = self._leases.get(rollout)
        if lease is None:
            return False
        if isinstance(self._store.renew_lease(lease), stores.Lease):
            return True
        del self._leases[rollout]
        return False

    def _acquire(self, command: rollouts.RequestLease) -> bool:
        granted = self._store.grant_lease(command.ttl_s)
        if not isinstance(granted, stores.Lease):
            return False
        written = self._store.write(
            LEASE_PREFIX + command.rollout, self._name, 0, granted.lease
        )
        if isinstance(written, stores.Written):
            self._leases[command.rollout] = granted.lease
            return True
        # A write that may have taken effect is undone with its lease.
        self._store.release_lease(granted.lease)
        return False

    def _read(self, command: rollouts.ReadStage) -> None:
        result = self._store.read(command.key)
        if isinstance(result, stores.Found):
            self._report(
                rollouts.StageObserved(
                    command.rollout, result.revision, result.value.encode()
                )
            )
        elif isinstance(result, stores.Absent):
            self._report(rollouts.StageObserved(command.rollout, 0, b""))
        else:
            self._report(rollouts.StoreCallFailed(command.rollout))

    def _write(self, command: rollouts.WriteStage) -> None:
        if time.monotonic() >= command.not_after:
            self._report(rollouts.StoreCallFailed(command.rollout))
            return
        result = self._store.write(
            command.key, command.value.decode(), command.expected_revision
        )
        if isinstance(result, stores.Written):
            self._report(
                rollouts.StageObserved(
                    command.rollout, result.revision, command.value
                )
            )
        elif isinstance(result, stores.Conflict):
            value = (result.value or "").encode()
            self._report(
                rollouts.StageConflict(command.rollout, result.revision, value)
            )
        else:
            self._report(rollouts.StoreCallFailed(command.rollout))

    def _poll(self) -> None:
        result = self._store.list_range(stages.KEY_PREFIX)
        if isinstance(result, failures.Failure):
            return
        for item in result.items:
            name = item.key.removeprefix(stages.KEY_PREFIX)
            self._report(
                rollouts.StageObserved(name, item.revision, item.value.encode())
            )
