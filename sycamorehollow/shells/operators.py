"""Requests of operators that need no store."""

from collections.abc import Callable
from collections.abc import Collection
import hmac
import queue
import re

import pydantic

from sycamorehollow.decisions import rollouts
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.settings import bodies
from sycamorehollow.shells import exchange as exchanges
from sycamorehollow.shells import front


class StopHandler(front.Handler):
    """Answers `POST /v1/operator/stops`.

    Args:
        token: Token of operators; empty refuses every request.
        snapshot: The configuration in force.
        report: Passes an event to the router task.
        read_stopped: Asks the router task, after the events before, for the
            versions that take no new work.
    """

    method = "POST"
    pattern = "/v1/operator/stops"

    def __init__(
        self,
        token: str,
        snapshot: front.Snapshot,
        report: Callable[[events.Event], None],
        read_stopped: Callable[[], Collection[str]],
    ):
        self._token = token.encode()
        self._snapshot = snapshot
        self._report = report
        self._read_stopped = read_stopped

    def respond(
        self, exchange: exchanges.Exchange, match: re.Match[str]
    ) -> None:
        """Stops the new version of a roll-out at once."""
        refusal = self._authenticate(exchange.get_header("Authorization"))
        if refusal is not None:
            # The unread body must not be taken for the next request.
            exchange.close_after()
            exchange.send_failure(refusal)
            return
        body = exchange.read_body()
        if isinstance(body, failures.Failure):
            exchange.send_failure(body)
            return
        try:
            asked = bodies.StopBody.model_validate_json(body)
        except pydantic.ValidationError as error:
            reason = bodies.describe_faults(error)
            exchange.send_failure(failures.InvalidRequest(reason))
            return
        version = self._stop(asked)
        if isinstance(version, failures.Failure):
            exchange.send_failure(version)
            return
        exchange.send_json(
            200, {"rollout": asked.rollout, "version": version, "stopped": True}
        )

    def _stop(self, asked: bodies.StopBody) -> str | failures.Failure:
        """Returns the version that takes no new work from now on."""
        current = self._snapshot.current
        if current is None:
            return failures.NoConfiguration(
                "This node has no configuration yet.", retry_after_s=1.0
            )
        rollout = current.rollouts.get(asked.rollout)
        if rollout is None:
            return failures.NotFound(f"There is no roll-out {asked.rollout}.")
        self._report(rollouts.StopRequested(asked.rollout, asked.reason))
        try:
            stopped = rollout.candidate in self._read_stopped()
        except queue.Empty:
            stopped = False
        if stopped:
            return rollout.candidate
        return failures.Overloaded(
            "The router task has not confirmed the stop.",
            failures.Run.UNKNOWN,
            1.0,
        )

    def _authenticate(self, authorization: str) -> failures.Failure | None:
        if not self._token:
            return failures.NotAllowed(
                "This process has no token of operators in its settings."
            )
        scheme, _, token = authorization.partition(" ")
        given = token.strip().encode("latin-1")
        if scheme.lower() != "bearer":
            return failures.Unauthorized("The operator's token is missing.")
        # A comparison in constant time tells nothing about the token.
        if not hmac.compare_digest(given, self._token):
            return failures.Unauthorized("The operator's token is wrong.")
        return None
