"""Graceful shutdown of a process.

The process stops admission, announces that it leaves, and exits once its
requests and bills are done and load balancers have had time to notice.
"""

import dataclasses
import enum

from sycamorehollow.decisions import components
from sycamorehollow.decisions.operations import drains
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures


class Phase(enum.Enum):
    """Phase of the shutdown."""

    SERVING = "serving"
    DRAINING = "draining"
    DONE = "done"


@dataclasses.dataclass(frozen=True)
class ShutdownRequested(events.Event):
    """An operator or the platform asks this process to shut down."""


@dataclasses.dataclass(frozen=True)
class WorkCounted(events.Event):
    """Counts of work in progress.

    Attributes:
        requests: Requests that were admitted and have not ended.
        bills: Bill records neither in the store nor replicated to a peer.
    """

    requests: int
    bills: int


@dataclasses.dataclass(frozen=True)
class StopAdmission(commands.Command):
    """Asks for new requests to be refused and `/healthz` to return 503."""


@dataclasses.dataclass(frozen=True)
class AnnounceLeave(commands.Command):
    """Asks for `membership.LeaveRequested` to be given to the exchange."""


@dataclasses.dataclass(frozen=True)
class Exit(commands.Command):
    """Asks for the process to end."""


class Shutdown(components.Component):
    """Ends a process without interrupting requests.

    There is no limit on the duration of streams. Only the platform ends a
    process earlier, by killing it.
    """

    def __init__(self) -> None:
        self._phase = Phase.SERVING
        self._started_at = 0.0

    @property
    def phase(self) -> Phase:
        """Current phase."""
        return self._phase

    def find_refusal(self) -> failures.Failure | None:
        """Returns why this process admits no new requests, or `None`."""
        if self._phase is Phase.SERVING:
            return None
        return failures.Draining(
            "This process is shutting down.", retry_after_s=0.0
        )

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event and returns the next steps of the shutdown."""
        if isinstance(event, ShutdownRequested):
            if self._phase is not Phase.SERVING:
                return []
            self._phase = Phase.DRAINING
            self._started_at = now
            return [StopAdmission(), AnnounceLeave()]
        if not isinstance(event, WorkCounted):
            return []
        if self._phase is not Phase.DRAINING:
            return []
        if event.requests or event.bills:
            return []
        if now - self._started_at < drains.DRAIN_DELAY_S:
            return []
        self._phase = Phase.DONE
        return [Exit()]
