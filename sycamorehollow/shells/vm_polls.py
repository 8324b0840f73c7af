"""Polls of the platform's list of VMs.

A VM at the address of an upstream concerns drains; all others concern the
membership of entry processes.
"""

from collections.abc import Callable
import urllib.parse

import pydantic

from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.replication import membership
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.settings import responses
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import polling

INTERVAL_S = 2.0
LEAVING = "leaving"
HTTP_OK = 200


class VmPolls:
    """Polls the list of VMs and reports it to membership and drains.

    Args:
        url: Base URL of the platform's list.
        workers: Threads that make the calls.
        report: Receives events.
        get_deployment: Returns the configuration in force, if there is one.
    """

    def __init__(
        self,
        url: str,
        workers: http_workers.HttpWorkers,
        report: Callable[[events.Event], None],
        get_deployment: Callable[[], deployment.Deployment | None],
    ):
        self._url = url
        self._workers = workers
        self._report = report
        self._get_deployment = get_deployment

    def build_jobs(self) -> dict[str, polling.Job]:
        """Returns the job that polls the list."""
        return {"vms": polling.Job(INTERVAL_S, self._poll)}

    def _poll(self) -> None:
        response = self._workers.request("GET", f"{self._url}/v1/vms")
        if isinstance(response, failures.Failure) or response.status != HTTP_OK:
            return
        try:
            vm_list = responses.VmList.model_validate_json(response.data)
        except pydantic.ValidationError:
            return
        leaving = {vm.address: vm.state == LEAVING for vm in vm_list.vms}
        current = self._get_deployment()
        upstreams = current.upstreams.values() if current is not None else ()
        upstream_names = {
            urllib.parse.urlsplit(upstream.url).netloc: upstream.name
            for upstream in upstreams
        }
        self._report(
            drains.UpstreamVmsReceived(
                {
                    upstream_names[address]: is_leaving
                    for address, is_leaving in leaving.items()
                    if address in upstream_names
                }
            )
        )
        self._report(
            membership.VmListReceived(
                {
                    address: is_leaving
                    for address, is_leaving in leaving.items()
                    if address not in upstream_names
                }
            )
        )
