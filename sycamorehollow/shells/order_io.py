"""Store calls of the lease for orders, and the orders to engines."""

from collections.abc import Callable
import json
import time

import loguru

from sycamorehollow.decisions.operations import leases
from sycamorehollow.decisions.operations import orders
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import stores

STALE_FENCE_CODE = "stale_fence"


class OrderShell:
    """Executes the commands of a lease and sends orders to engines.

    Args:
        store: Client of the store.
        workers: Threads that make the calls.
        report: Receives events.
        get_deployment: Returns the configuration in force, if there is one.
    """

    def __init__(
        self,
        store: stores.Store,
        workers: http_workers.HttpWorkers,
        report: Callable[[events.Event], None],
        get_deployment: Callable[[], deployment.Deployment | None],
    ):
        self._store = store
        self._workers = workers
        self._report = report
        self._get_deployment = get_deployment

    def create(self, command: leases.CreateLease) -> None:
        """Starts to create a lease."""
        self._workers.submit(lambda: self._create(command))

    def claim(self, command: leases.ClaimLeaseRecord) -> None:
        """Starts to write the lease record, tied to the lease."""
        self._workers.submit(lambda: self._claim(command))

    def read(self, command: leases.ReadLeaseRecord) -> None:
        """Starts to read the lease record."""
        self._workers.submit(lambda: self._read(command))

    def renew(self, command: leases.RenewLease) -> None:
        """Starts to renew the lease."""
        self._workers.submit(lambda: self._renew(command))

    def release(self, command: leases.ReleaseLease) -> None:
        """Starts to release the lease; a failure is ignored."""
        self._workers.submit(lambda: self._store.release_lease(command.lease))

    def send(self, command: orders.SendOrder) -> None:
        """Starts to send an order to an engine."""
        self._workers.submit(lambda: self._send(command))

    def _create(self, command: leases.CreateLease) -> None:
        result = self._store.grant_lease(command.ttl_s)
        if isinstance(result, stores.Lease):
            self._report(leases.LeaseCreated(command.number, result.lease))
            return
        self._report(leases.LeaseCallFailed(command.number))

    def _claim(self, command: leases.ClaimLeaseRecord) -> None:
        result = self._store.write(command.key, command.value, 0, command.lease)
        if isinstance(result, stores.Written):
            self._report(
                leases.LeaseRecordClaimed(
                    command.number, stores.compute_fencing_token(result)
                )
            )
        elif isinstance(result, stores.Conflict):
            self._report(leases.LeaseCallRefused(command.number))
        else:
            self._report(leases.LeaseCallFailed(command.number))

    def _read(self, command: leases.ReadLeaseRecord) -> None:
        result = self._store.read(command.key)
        if isinstance(result, stores.Found):
            self._report(
                leases.LeaseRecordRead(
                    command.number,
                    stores.compute_fencing_token(result),
                    result.value,
                )
            )
        elif isinstance(result, stores.Absent):
            self._report(leases.LeaseRecordRead(command.number, 0, ""))
        else:
            self._report(leases.LeaseCallFailed(command.number))

    def _renew(self, command: leases.RenewLease) -> None:
        result = self._store.renew_lease(command.lease)
        if isinstance(result, stores.Lease):
            self._report(leases.LeaseRenewed(command.number))
        elif isinstance(result, stores.LeaseGone):
            self._report(leases.LeaseCallRefused(command.number))
        else:
            self._report(leases.LeaseCallFailed(command.number))

    def _send(self, command: orders.SendOrder) -> None:
        is_stale = False
        current = self._get_deployment()
        upstream = (
            current.upstreams.get(command.upstream)
            if current is not None
            else None
        )
        if upstream is not None and time.monotonic() < command.send_before:
            is_stale = self._post(command, upstream.url)
        self._report(
            orders.OrderEnded(command.number, command.upstream, is_stale)
        )

    def _post(self, command: orders.SendOrder, url: str) -> bool:
        """Sends the order; returns whether its fencing token is stale."""
        loguru.logger.info(
            "orders: upstream={} action={} version={} role={} fence={}",
            command.upstream,
            command.action.value,
            command.version,
            command.role,
            command.fencing_token,
        )
        response = self._workers.request(
            "POST",
            f"{url}/v1/orders",
            json={
                "action": command.action.value,
                "version": command.version,
                "role": command.role,
                "fence": command.fencing_token,
            },
            timeout=command.timeout_s,
        )
        if isinstance(response, failures.Failure):
            return False
        try:
            return (
                json.loads(response.data)["error"]["code"] == STALE_FENCE_CODE
            )
        except (ValueError, KeyError, TypeError):
            return False
