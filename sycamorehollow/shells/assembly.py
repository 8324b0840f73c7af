"""The tasks of an entry process, put together."""

import time
from typing import Any

import loguru

from sycamorehollow.decisions import placement
from sycamorehollow.decisions import planning
from sycamorehollow.decisions import router
from sycamorehollow.model import deployment
from sycamorehollow.model import lifecycle
from sycamorehollow.settings import process
from sycamorehollow.shells import chat
from sycamorehollow.shells import configurations
from sycamorehollow.shells import errands
from sycamorehollow.shells import front
from sycamorehollow.shells import loop
from sycamorehollow.shells import pages
from sycamorehollow.shells import relay

DRAIN_POLL_S = 0.05


class Entry:
    """One entry process."""

    def __init__(self, settings: process.Settings):
        self._settings = settings
        self._snapshot = front.Snapshot()
        self._draining = False
        self._loop = loop.DecisionLoop()
        self._errands = errands.Errands()
        self._relay = relay.Relay(self._loop.post)
        self._placement = placement.LeastOutstanding(
            settings.process.data_centre
        )
        self._router = router.Router(
            planning.NamedVersionPlanner(), self._placement
        )
        self._loop.add_part(self._router)
        self._register_performers()
        self._configuration = configurations.ConfigurationReader(
            settings.store.url, self._publish
        )
        host, _, port = settings.process.address.rpartition(":")
        self._front = front.Front(host, int(port), self._build_handlers())
        self._host = host

    @property
    def url(self) -> str:
        """Base URL of the HTTP front."""
        return f"http://{self._host}:{self._front.port}"

    def start(self) -> None:
        """Starts all tasks."""
        self._relay.start()
        self._loop.start()
        self._front.start()
        self._configuration.start()

    def drain(self, limit_s: float) -> None:
        """Stops admission and waits until every request has its answer."""
        self._draining = True
        self._loop.post(router.AdmissionStopped())
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self._loop.ask(lambda: self._router.active_count) == 0:
                return
            time.sleep(DRAIN_POLL_S)

    def stop(self) -> None:
        """Ends all tasks."""
        self._front.stop()
        self._relay.stop()
        self._loop.stop()
        self._errands.stop()

    def apply_deployment(self, current: deployment.Deployment) -> None:
        """Puts a configuration in force; only for the router task."""
        self._snapshot.replace(current)
        self._placement.apply(current)
        for command in self._router.handle(
            router.DeploymentChanged(current), time.monotonic()
        ):
            self._loop.perform(command)

    def _publish(self, current: deployment.Deployment) -> None:
        self._loop.post(lambda: self.apply_deployment(current))

    def _register_performers(self) -> None:
        for command_type in (
            lifecycle.RefuseRequest,
            lifecycle.FinishRequest,
        ):
            self._loop.perform_with(command_type, self._relay.post)
        self._loop.perform_with(lifecycle.StartAttempt, self._start_attempt)
        self._loop.perform_with(lifecycle.CancelAttempt, self._cancel_attempt)
        self._loop.perform_with(lifecycle.SecureBill, self._secure_bill)

    def _start_attempt(self, command: lifecycle.StartAttempt) -> None:
        loguru.logger.info(
            "router: attempt request={} version={} upstream={} reason={!r}",
            command.request_id,
            command.version,
            command.upstream,
            command.reason,
        )
        self._relay.post(command)

    def _cancel_attempt(self, command: lifecycle.CancelAttempt) -> None:
        self._relay.post(command)
        url = f"{command.url}/v1/streams/{command.request_id}"
        self._errands.submit(lambda: self._errands.request("DELETE", url))

    def _secure_bill(self, command: lifecycle.SecureBill) -> None:
        if command.urgent:
            self._loop.post(lifecycle.BillSecured(command.request_id))

    def _build_handlers(self) -> list[front.Handler]:
        return [
            chat.ChatHandler(self._snapshot, self._relay, self._loop.post),
            pages.ModelsHandler(self._snapshot),
            pages.HealthHandler(self._check_health),
            pages.StatusHandler(self._describe_status),
        ]

    def _check_health(self) -> str:
        if self._draining:
            return "draining"
        if self._snapshot.current is None:
            return "no configuration"
        return ""

    def _describe_status(self) -> dict[str, Any]:
        current = self._snapshot.current
        return {
            "process": self._settings.process.name,
            "data_centre": self._settings.process.data_centre,
            "state": self._check_health() or "ok",
            "revisions": dict(current.revisions) if current else {},
            "active": self._loop.ask(lambda: self._router.active_count),
        }
