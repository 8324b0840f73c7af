"""Handlers of the operator requests that need no store."""

import abc
from collections.abc import Callable
from collections.abc import Collection
import hmac
import queue
import re
from typing import Any

import pydantic

from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import operator_drains
from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.settings import bodies
from sycamorehollow.shells import exchange as exchanges
from sycamorehollow.shells import front


class OperatorHandler(front.Handler):
    """Handles requests that carry the operator token.

    Args:
        token: Operator token; if empty, every request is rejected.
        snapshot: The configuration in force.
        report: Passes an event to the router task.
    """

    method = "POST"

    def __init__(
        self,
        token: str,
        snapshot: front.Snapshot,
        report: Callable[[events.Event], None],
    ):
        self._token = token.encode()
        self._snapshot = snapshot
        self._report = report

    @abc.abstractmethod
    def execute(
        self, body: bytes, current: deployment.Deployment
    ) -> dict[str, Any] | failures.Failure:
        """Executes a request and returns the body of the response.

        Raises:
            pydantic.ValidationError: The body is malformed.
        """

    def respond(
        self, exchange: exchanges.Exchange, match: re.Match[str]
    ) -> None:
        """Checks the token and the body and sends the response."""
        failure = self._authenticate(exchange.get_header("Authorization"))
        if failure is not None:
            # The body is unread; on a kept-alive connection it would be parsed
            # as the next request.
            exchange.close_after_response()
            exchange.send_failure(failure)
            return
        result = self._read_and_execute(exchange)
        if isinstance(result, failures.Failure):
            exchange.send_failure(result)
            return
        exchange.send_json(200, result)

    def _read_and_execute(
        self, exchange: exchanges.Exchange
    ) -> dict[str, Any] | failures.Failure:
        body = exchange.read_body()
        if isinstance(body, failures.Failure):
            return body
        current = self._snapshot.current
        if current is None:
            return failures.NoConfiguration(
                "This node has no configuration yet.", retry_after_s=1.0
            )
        try:
            return self.execute(body, current)
        except pydantic.ValidationError as error:
            return failures.InvalidRequest(bodies.describe_faults(error))

    def _authenticate(self, authorization: str) -> failures.Failure | None:
        if not self._token:
            return failures.NotAllowed(
                "This process has no token of operators in its settings."
            )
        scheme, _, token = authorization.partition(" ")
        given = token.strip().encode("latin-1")
        if scheme.lower() != "bearer":
            return failures.Unauthorized("The operator's token is missing.")
        # Compares in constant time, so that timing does not reveal the token.
        if not hmac.compare_digest(given, self._token):
            return failures.Unauthorized("The operator's token is wrong.")
        return None


class StopHandler(OperatorHandler):
    """Handles `POST /v1/operator/stops`.

    Args:
        token: Operator token; if empty, every request is rejected.
        snapshot: The configuration in force.
        report: Passes an event to the router task.
        read_stopped: Queries the router task for the versions that take no new
            work; the events reported before are processed first.
    """

    pattern = "/v1/operator/stops"

    def __init__(
        self,
        token: str,
        snapshot: front.Snapshot,
        report: Callable[[events.Event], None],
        read_stopped: Callable[[], Collection[str]],
    ):
        super().__init__(token, snapshot, report)
        self._read_stopped = read_stopped

    def execute(
        self, body: bytes, current: deployment.Deployment
    ) -> dict[str, Any] | failures.Failure:
        """Stops the candidate version of a roll-out immediately."""
        parsed = bodies.StopBody.model_validate_json(body)
        rollout = current.rollouts.get(parsed.rollout)
        if rollout is None:
            return failures.NotFound(f"There is no roll-out {parsed.rollout}.")
        self._report(rollouts.StopRequested(parsed.rollout, parsed.reason))
        try:
            stopped = rollout.candidate in self._read_stopped()
        except queue.Empty:
            stopped = False
        if not stopped:
            return failures.Overloaded(
                "The router task has not confirmed the stop.",
                failures.Execution.UNKNOWN,
                1.0,
            )
        return {
            "rollout": parsed.rollout,
            "version": rollout.candidate,
            "stopped": True,
        }


class DrainHandler(OperatorHandler):
    """Handles `POST /v1/operator/drains`."""

    pattern = "/v1/operator/drains"

    def execute(
        self, body: bytes, current: deployment.Deployment
    ) -> dict[str, Any] | failures.Failure:
        """Takes an upstream or a data centre out of service immediately."""
        parsed = bodies.DrainBody.model_validate_json(body)
        scope = drains.Scope(parsed.scope)
        known: Collection[str] = current.data_centres
        if scope is drains.Scope.UPSTREAM:
            known = current.upstreams
        if parsed.name not in known:
            return failures.NotFound(
                f"There is no {parsed.scope} {parsed.name}."
            )
        self._report(operator_drains.DrainRequested(scope, parsed.name))
        return {"scope": parsed.scope, "name": parsed.name, "drained": True}
