"""Exchanges request limits of upstreams, and permits, with other nodes."""

from collections.abc import Mapping
from typing import Any

from sycamorehollow.decisions.forwarding import permit_loans
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.shells.gateway import limit_messages
from sycamorehollow.shells.gateway import telemetry


class LimitSync:
    """Adds the limits to sync messages and handles those of other nodes.

    Args:
        router: Holds the limits and permits.
        telemetry_sink: Records changed limits and permits.
    """

    def __init__(
        self, router: routers.Router, telemetry_sink: telemetry.Telemetry
    ):
        self._router = router
        self._telemetry = telemetry_sink
        # Pending requests for permits by the number of their message.
        self._requests: dict[int, permit_loans.PermitRequest] = {}

    def export(self, address: str, now: float) -> dict[str, Any]:
        """Returns the part of a message that tells a node the limits."""
        return limit_messages.export(self._router.stated_limits, address, now)

    def merge(self, document: Mapping[str, Any], now: float) -> None:
        """Merges the limits that another node knows.

        Raises:
            TypeError, ValueError: The document is malformed.
        """
        limit_messages.merge(self._router.stated_limits, document, now)

    def handle_request(
        self, document: Mapping[str, Any], now: float
    ) -> dict[str, Any]:
        """Returns the reply to a request for a permit, if there is one."""
        try:
            reply = limit_messages.handle_request(
                self._router.permit_loans, document, now
            )
        except (TypeError, ValueError) as error:
            self._telemetry.record_state_change(
                "peer", f"invalid permit request: {error!r}", "sync"
            )
            return {}
        if reply:
            is_lent = reply[limit_messages.PERMIT_REPLY][0]
            self._telemetry.count_permit("lent" if is_lent else "not lent")
        return reply

    def record_request(
        self, number: int | None, request: permit_loans.PermitRequest
    ) -> None:
        """Records the number of the message that asks for a permit."""
        if number is not None:
            self._requests[number] = request

    def record_response(
        self, number: int, document: Mapping[str, Any], now: float
    ) -> None:
        """Records a response, which has the reply if a permit was asked for."""
        request = self._requests.pop(number, None)
        if request is None:
            return
        try:
            reply = limit_messages.decode_reply(document)
        except (KeyError, TypeError, ValueError) as error:
            # The owner runs an older version, or the message is malformed.
            self._telemetry.record_state_change(
                f"peer={request.owner}", f"no permit reply: {error!r}", "sync"
            )
            self._router.permit_loans.record_failure(request, now)
            return
        self._telemetry.count_permit(
            "borrowed" if reply.granted else "not borrowed"
        )
        self._router.permit_loans.record_reply(request, reply, now)

    def record_failure(self, number: int, now: float) -> None:
        """Records that a message got no response."""
        request = self._requests.pop(number, None)
        if request is not None:
            self._telemetry.count_permit("no reply")
            self._router.permit_loans.record_failure(request, now)

    def record_changes(self, now: float) -> None:
        """Records the limits that have changed."""
        limits = self._router.stated_limits
        for statement in limits.take_changes():
            outcome = f"states limit_per_s={statement.requests_per_s}"
            if statement.requests_per_s is None:
                outcome = f"ends limit_per_s={statement.previous_per_s}"
            self._telemetry.record_state_change(
                f"upstream={statement.incarnation[0]}",
                f"{outcome} age_s={now - statement.seen_at:.3f}",
                f"response to {statement.origin}",
            )
        self._telemetry.set_limited_upstreams(limits.count_limited())
