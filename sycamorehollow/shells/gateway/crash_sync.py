"""Exchanges crashes by prompt parts with other nodes."""

from collections.abc import Mapping
from typing import Any

from sycamorehollow.decisions.forwarding import part_blame
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.shells.gateway import crash_messages
from sycamorehollow.shells.gateway import telemetry

# Interval at which a node asks for all crashes. Others send news for a little
# longer, and a node that was stopped or isolated for longer has to ask.
ASK_FOR_ALL_S = 5.0


class CrashSync:
    """Adds the crashes to sync messages and merges those of other nodes.

    Args:
        router: Holds the crashes.
        telemetry_sink: Records changes of what is known about parts.
    """

    def __init__(
        self, router: routers.Router, telemetry_sink: telemetry.Telemetry
    ):
        self._quarantine = router.part_quarantine
        self._telemetry = telemetry_sink
        self._next_ask_at = float("-inf")
        # Numbers of the pending messages that ask for all crashes.
        self._asked: set[int] = set()

    def export_request(self, address: str, now: float) -> dict[str, Any]:
        """Returns the part of a request to the node at an address."""
        parts = crash_messages.export(
            self._quarantine.crash_log, address, now, False
        )
        if now >= self._next_ask_at:
            parts[crash_messages.WANTS_ALL] = True
        return parts

    def export_response(
        self, address: str, document: Mapping[str, Any], now: float
    ) -> dict[str, Any]:
        """Returns the part of the response to a request of a node."""
        wants_all = document.get(crash_messages.WANTS_ALL) is True
        return crash_messages.export(
            self._quarantine.crash_log, address, now, wants_all
        )

    def record_request(self, number: int, now: float) -> None:
        """Records the number of a request that is about to be sent."""
        if now >= self._next_ask_at:
            self._asked.add(number)

    def record_response(self, number: int, now: float) -> None:
        """Records that a request got its response."""
        if number in self._asked:
            self._asked.discard(number)
            self._next_ask_at = now + ASK_FOR_ALL_S

    def record_failure(self, number: int) -> None:
        """Records that a request got no response."""
        self._asked.discard(number)

    def merge(self, document: Mapping[str, Any], now: float) -> None:
        """Merges the crashes that another node knows.

        Raises:
            AttributeError, TypeError, ValueError: The document is malformed.
        """
        crash_messages.merge(self._quarantine.crash_log, document, now)

    def record_changes(self) -> None:
        """Records what has changed since the last call."""
        for change in self._quarantine.take_changes():
            self._telemetry.record_state_change(
                change.subject, change.outcome, "crashes"
            )
        counts = self._quarantine.count_blamed()
        self._telemetry.set_blamed_parts(
            {
                level.name.lower(): count
                for level, count in counts.items()
                if level is not part_blame.Level.NONE
            }
        )
