"""Handlers that respond from local state, without calling an upstream."""

from collections.abc import Callable
import queue
import re
from typing import Any

from sycamorehollow.decisions.operations import version_access
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.shells import exchange as exchanges
from sycamorehollow.shells import front


class ModelsHandler(front.WorkspaceHandler):
    """Handles `GET /v1/models`: lists what the workspace may use."""

    method = "GET"
    pattern = "/v1/models"

    def respond_to(
        self,
        exchange: exchanges.Exchange,
        match: re.Match[str],
        workspace: deployment.Workspace,
    ) -> None:
        """Sends the names of versions, models and cascades."""
        current = self._snapshot.current
        assert current is not None
        names = set()
        for version in current.versions.values():
            if version_access.check_version_access(
                current, frozenset(), workspace.name, version.name
            ):
                continue
            names.add(version.name)
            names.add(version.model)
        for cascade in current.cascades.values():
            if names.intersection(cascade.steps):
                names.add(cascade.name)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "router"}
            for name in sorted(names)
        ]
        exchange.send_json(200, {"object": "list", "data": data})


class HealthHandler(front.Handler):
    """Handles `GET /healthz`, the health check of the load balancer."""

    method = "GET"
    pattern = "/healthz"

    def __init__(self, check: Callable[[], str]):
        self._check = check

    def respond(
        self, exchange: exchanges.Exchange, match: re.Match[str]
    ) -> None:
        """Sends 200 while the process admits requests, otherwise 503."""
        problem = self._check()
        status = 503 if problem else 200
        exchange.send_json(status, {"state": problem or "ok"})


class StatusHandler(front.Handler):
    """Handles `GET /v1/status` for operators."""

    method = "GET"
    pattern = "/v1/status"

    def __init__(self, describe: Callable[[], dict[str, Any]]):
        self._describe = describe

    def respond(
        self, exchange: exchanges.Exchange, match: re.Match[str]
    ) -> None:
        """Sends the state of the process: what is in force and why."""
        try:
            exchange.send_json(200, self._describe())
        except queue.Empty:
            exchange.send_failure(
                failures.Overloaded(
                    "The router task did not answer in time.",
                    retry_after_s=1.0,
                )
            )
