"""Polls of the platform's list of VMs."""

from collections.abc import Callable
import urllib.parse

import pydantic

from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.replication import membership
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.settings import answers
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import polling

INTERVAL_S = 2.0
LEAVING = "leaving"
HTTP_OK = 200


class VmPolls:
    """Reads the list and tells membership and drains what it says.

    Args:
        url: Base URL of the list.
        workers: Makes the calls.
        report: Takes events.
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
        """Returns the job that reads the list."""
        return {"vms": polling.Job(INTERVAL_S, self._poll)}

    def _poll(self) -> None:
        answer = self._workers.request("GET", f"{self._url}/v1/vms")
        if isinstance(answer, failures.Failure) or answer.status != HTTP_OK:
            return
        try:
            found = answers.VmList.model_validate_json(answer.data)
        except pydantic.ValidationError:
            return
        leaving = {vm.address: vm.state == LEAVING for vm in found.vms}
        current = self._get_deployment()
        upstreams = current.upstreams.values() if current is not None else ()
        places = {
            urllib.parse.urlsplit(upstream.url).netloc: upstream.name
            for upstream in upstreams
        }
        self._report(
            drains.UpstreamVmsReceived(
                {
                    places[address]: gone
                    for address, gone in leaving.items()
                    if address in places
                }
            )
        )
        self._report(
            membership.VmListReceived(
                {
                    address: gone
                    for address, gone in leaving.items()
                    if address not in places
                }
            )
        )
