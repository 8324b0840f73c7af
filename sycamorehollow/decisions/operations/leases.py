"""A lease on a store record, and how long its holder may rely on it.

The holder stops relying on the lease before the store ends it, so that two
processes never hold it at once.
"""

import dataclasses
import enum

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events

# Clocks may run at different speeds: 1 s in 10 s is far more than the drift of
# any clock, and leaves time for a command in progress.
CLOCK_DRIFT_MARGIN_S = 1.0
# Three renewals per TTL, so that two may be lost.
RENEWALS_PER_TTL = 3
RETRY_DELAY_S = 1.0
# Longer than the call of the shell; no response can come after it.
CALL_TIMEOUT_S = 3.0


class LeaseState(enum.Enum):
    """State of a lease."""

    IDLE = "idle"
    CREATING = "creating"
    CLAIMING = "claiming"
    READING = "reading"
    HELD = "held"


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """A valid lease.

    Attributes:
        fencing_token: Grows with each claim of the record, across restores
            of the store.
        valid_until: Monotonic time in seconds at which it ends.
    """

    fencing_token: int
    valid_until: float


@dataclasses.dataclass(frozen=True)
class LeaseCreated(events.Event):
    """The store created a lease."""

    number: int
    lease: str


@dataclasses.dataclass(frozen=True)
class LeaseRecordClaimed(events.Event):
    """The store wrote the record under the lease."""

    number: int
    fencing_token: int


@dataclasses.dataclass(frozen=True)
class LeaseRecordRead(events.Event):
    """The record was read back; `value` is empty if it is absent."""

    number: int
    fencing_token: int
    value: str


@dataclasses.dataclass(frozen=True)
class LeaseRenewed(events.Event):
    """The store renewed the lease."""

    number: int


@dataclasses.dataclass(frozen=True)
class LeaseCallRefused(events.Event):
    """The store refused: the record exists, or the lease has ended."""

    number: int


@dataclasses.dataclass(frozen=True)
class LeaseCallFailed(events.Event):
    """The response is missing; the call may have taken effect."""

    number: int


@dataclasses.dataclass(frozen=True)
class ReleaseRequested(events.Event):
    """The lease is no longer needed, for example at shutdown."""


@dataclasses.dataclass(frozen=True)
class CreateLease(commands.Command):
    """Requests `POST /v1/leases`."""

    number: int
    ttl_s: float


@dataclasses.dataclass(frozen=True)
class ClaimLeaseRecord(commands.Command):
    """Requests `PUT /v1/kv/{key}`, creating the record if absent."""

    number: int
    key: str
    value: str
    lease: str


@dataclasses.dataclass(frozen=True)
class ReadLeaseRecord(commands.Command):
    """Requests `GET /v1/kv/{key}` to resolve a lost response."""

    number: int
    key: str


@dataclasses.dataclass(frozen=True)
class RenewLease(commands.Command):
    """Requests `PUT /v1/leases/{id}`."""

    number: int
    lease: str


@dataclasses.dataclass(frozen=True)
class ReleaseLease(commands.Command):
    """Requests `DELETE /v1/leases/{id}`."""

    lease: str


class Lease(components.Component):
    """Acquires, renews and releases one lease.

    The TTL is measured from when the command was returned. That is before the
    request was sent, and so before the TTL at the store began.
    """

    def __init__(self, key: str, owner: str, ttl_s: float):
        """Creates a lease that is not held yet.

        Args:
            key: Store key of the record.
            owner: Address and incarnation of this process.
            ttl_s: Time to live of the lease in seconds.
        """
        self._key = key
        self._owner = owner
        self._ttl_s = ttl_s
        self._state = LeaseState.IDLE
        self._last_number = 0
        self._issued_at = 0.0
        self._lease = ""
        self._value = ""
        self._fencing_token = 0
        self._valid_until = 0.0
        self._is_renewing = False
        self._retry_at = float("-inf")
        self._is_release_requested = False

    def get_held_lease(self, now: float) -> HeldLease | None:
        """Returns the lease, or `None` if it is not valid now."""
        if self._state is not LeaseState.HELD or now >= self._valid_until:
            return None
        return HeldLease(self._fencing_token, self._valid_until)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event; responses to earlier commands are ignored."""
        if isinstance(event, events.Tick):
            return self._tick(now)
        if isinstance(event, ReleaseRequested):
            self._is_release_requested = True
            return self._release(now)
        number = getattr(event, "number", None)
        if number != self._last_number or self._state is LeaseState.IDLE:
            return []
        if (
            isinstance(event, LeaseCreated)
            and self._state is LeaseState.CREATING
        ):
            return self._claim(event.lease, now)
        if (
            isinstance(event, LeaseRecordClaimed)
            and self._state is LeaseState.CLAIMING
        ):
            return self._mark_held(event.fencing_token, now)
        if (
            isinstance(event, LeaseRecordRead)
            and self._state is LeaseState.READING
        ):
            if event.value == self._value:
                return self._mark_held(event.fencing_token, now)
            return self._release(now)
        if isinstance(event, LeaseRenewed) and self._is_renewing:
            self._is_renewing = False
            self._valid_until = (
                self._issued_at + self._ttl_s - CLOCK_DRIFT_MARGIN_S
            )
            return []
        if isinstance(event, LeaseCallRefused):
            return self._release(now)
        if (
            isinstance(event, LeaseCallFailed)
            and self._state is not LeaseState.READING
        ):
            return self._handle_failure(now)
        # A failed read is retried on a tick. Retrying at once would be a tight
        # loop while the store refuses connections.
        return []

    def _tick(self, now: float) -> list[commands.Command]:
        """Renews, acquires or times out, whichever is due."""
        if self._state is LeaseState.HELD:
            return self._renew(now)
        if self._state is LeaseState.IDLE:
            if self._is_release_requested or now < self._retry_at:
                return []
            self._state = LeaseState.CREATING
            self._valid_until = now + self._ttl_s - CLOCK_DRIFT_MARGIN_S
            return [CreateLease(self._issue(now), self._ttl_s)]
        if now >= self._valid_until:
            return self._release(now)
        if now - self._issued_at >= CALL_TIMEOUT_S:
            return self._handle_failure(now)
        return []

    def _issue(self, now: float) -> int:
        """Returns the number for a new command."""
        self._last_number += 1
        self._issued_at = now
        return self._last_number

    def _claim(self, lease: str, now: float) -> list[commands.Command]:
        """Writes the record under the lease."""
        self._lease = lease
        self._state = LeaseState.CLAIMING
        number = self._issue(now)
        # The unique value shows in a read-back whether a claim without a
        # response was written, or another holder's.
        self._value = f"{self._owner}/{number}"
        return [ClaimLeaseRecord(number, self._key, self._value, lease)]

    def _mark_held(self, token: int, now: float) -> list[commands.Command]:
        """Marks the lease as held, unless it has ended already."""
        if now >= self._valid_until:
            return self._release(now)
        self._state = LeaseState.HELD
        self._fencing_token = token
        self._is_renewing = False
        return []

    def _renew(self, now: float) -> list[commands.Command]:
        """Renews the lease when due, and releases it once invalid."""
        if now >= self._valid_until:
            return self._release(now)
        if now - self._issued_at < self._ttl_s / RENEWALS_PER_TTL:
            return []
        self._is_renewing = True
        return [RenewLease(self._issue(now), self._lease)]

    def _handle_failure(self, now: float) -> list[commands.Command]:
        """Handles a call without a response."""
        if self._state is LeaseState.HELD:
            self._is_renewing = False
            return []
        if self._state is LeaseState.CREATING:
            return self._release(now)
        self._state = LeaseState.READING
        return [ReadLeaseRecord(self._issue(now), self._key)]

    def _release(self, now: float) -> list[commands.Command]:
        """Stops relying on the lease and asks the store to end it."""
        lease, self._lease = self._lease, ""
        self._state = LeaseState.IDLE
        self._is_renewing = False
        self._retry_at = now + RETRY_DELAY_S
        return [ReleaseLease(lease)] if lease else []
