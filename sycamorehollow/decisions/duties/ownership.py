"""Ownership of a duty: one key of the store, attached to a lease.

At most one node owns a duty. The platform need not check the order of fencing
tokens, so the order follows from two times alone, whatever the store does:

- An owner calls until `lease_s` after it sent the last renewal that the store
  executed while its key was there.
- A node calls for the first time `lease_s` after its own key was written, which
  is possible only after the previous owner's key was gone.

All times are seconds of `CLOCK_BOOTTIME`, which continues during a pause.
"""

import dataclasses
import enum

# Above all revisions of an era, and the bound of fencing tokens.
ERA_STEP = 2**40
MAX_TOKEN = 2**53
# Covers clock rates that differ by 2 % over a lease, and the time between the
# last check of a call and its first byte.
MARGIN_S = 0.2
# Lifetime of a lease. A shorter one lets another node take over sooner; a
# longer one outlasts longer pauses.
TTL_S = 1.5
# A call may begin while its time limit ends within the validity, so renewals
# have to be frequent.
RENEWALS_PER_TTL = 6
# Longer than each store call; the result of a call is ignored after it.
STEP_LIMIT_S = 2.0
RETRY_DELAY_S = 1.5
# Time in which the node's copy of the store has to show the written key.
CONFIRM_LIMIT_S = 2.0
# A node that has just started does not know the other candidates yet.
FIRST_DELAY_S = 1.0
# Time between the attempts of successive candidates, and its bound.
DELAY_PER_RANK_S = 0.3
MAX_RANK_DELAY_S = 6.0


class State(enum.Enum):
    """State of a candidate."""

    IDLE = "idle"
    ACQUIRING = "acquiring"
    # The key is written, but calls are not allowed yet.
    WAITING = "waiting"
    OWNER = "owner"
    # No calls are allowed any more, and the lease has to be ended.
    GIVEN_UP = "given up"


@dataclasses.dataclass(frozen=True)
class View:
    """What this node's copy of the store says about the key of the duty.

    Attributes:
        era: Era of the copy.
        revision: Revision of the copy.
        key_revision: Revision of the key; 0 if it is absent.
        value: Value of the key; `None` if it is absent.
        is_current: Whether the copy is recent.
    """

    era: int
    revision: int
    key_revision: int
    value: str | None
    is_current: bool


@dataclasses.dataclass(frozen=True)
class Step:
    """A call of the store that the candidate needs next."""

    number: int


@dataclasses.dataclass(frozen=True)
class GrantLease(Step):
    """Requests a new lease."""

    ttl_s: float


@dataclasses.dataclass(frozen=True)
class WriteKey(Step):
    """Writes the key with a lease on the condition that it is absent."""

    lease: str
    value: str


@dataclasses.dataclass(frozen=True)
class RenewLease(Step):
    """Renews the lease."""

    lease: str


@dataclasses.dataclass(frozen=True)
class EndLease(Step):
    """Ends the lease."""

    lease: str


class Ownership:
    """Acquires, keeps and gives up one duty for one process.

    Args:
        process: Name of the process, unique across restarts.
        lease_s: Time within which the platform accepts calls of one owner only.

    Attributes:
        state: State of this candidate.
        token: Fencing token of the latest ownership; 0 for none yet.
        reason: Why the duty was given up or not acquired.
    """

    def __init__(self, process: str, lease_s: float):
        self.state = State.IDLE
        self.token = 0
        self.reason = ""
        self._process = process
        self._lease_s = lease_s
        self._ttl_s = min(TTL_S, lease_s)
        self._is_stopping = False
        self._last_number = 0
        # Number of the pending step and when it was issued.
        self._pending: tuple[int, float] | None = None
        self._retry_at = float("-inf")
        self._absent_since: float | None = None
        self._started_at: float | None = None
        self._lease = ""
        self._lease_era = 0
        self._value = ""
        self._revision = 0
        self._is_confirmed = False
        self._renewed_at = float("-inf")
        self._valid_until = float("-inf")
        self._callable_at = float("inf")
        self._last_call_ends_at = float("-inf")

    def can_call(self, now: float, duration_s: float) -> bool:
        """Tells whether a call that takes so long may begin now.

        Only reads, so that other threads may ask right before they send.
        """
        return (
            self.state is State.OWNER
            and now >= self._callable_at
            and now + duration_s < self._valid_until
        )

    def record_call(self, now: float, duration_s: float) -> None:
        """Records that a call may be made until `now + duration_s`."""
        self._last_call_ends_at = max(self._last_call_ends_at, now + duration_s)

    def stop(self, reason: str) -> None:
        """Gives the duty up for good."""
        self._is_stopping = True
        self._give_up(reason)

    def next_step(
        self, view: View, rank: int, is_calling: bool, now: float
    ) -> Step | None:
        """Returns the next call of the store, if one is due.

        Args:
            view: What the copy of the store says.
            rank: Place of this node in the order of candidates.
            is_calling: Whether a call to the platform is in flight.
            now: Time in seconds.
        """
        self._expire_step(now)
        if self.state in (State.WAITING, State.OWNER):
            self._check(view, now)
        if self.state is State.GIVEN_UP:
            return None if is_calling else self._end_lease(view, now)
        if self._pending is not None:
            return None
        if self.state is State.IDLE:
            return self._try_acquire(view, rank, now)
        if self.state is State.ACQUIRING:
            # The value differs for each attempt, so that the copy of the store
            # shows whose write it was.
            self._value = f"{self._process}/{self._last_number + 1}"
            return WriteKey(self._issue(now), self._lease, self._value)
        if now - self._renewed_at < self._ttl_s / RENEWALS_PER_TTL:
            return None
        self._renewed_at = now
        return RenewLease(self._issue(now), self._lease)

    def record_lease(
        self, number: int, lease: str, ttl_s: float, era: int, now: float
    ) -> None:
        """Records a granted or renewed lease."""
        issued_at = self._take_pending(number)
        if issued_at is None:
            return
        if self.state is State.ACQUIRING:
            self._lease = lease
            self._lease_era = era
        elif self.state not in (State.WAITING, State.OWNER):
            return
        elif era != self._lease_era:
            self._give_up(f"renewed in era {era}")
            return
        until = issued_at + min(ttl_s, self._lease_s) - MARGIN_S
        self._valid_until = max(self._valid_until, until)
        if now >= self._valid_until:
            self._give_up("the response came too late")

    def record_written(
        self, number: int, era: int, revision: int, now: float
    ) -> None:
        """Records that the key was written."""
        if self._take_pending(number) is None:
            return
        if self.state is not State.ACQUIRING:
            return
        token = era * ERA_STEP + revision
        if era != self._lease_era or now >= self._valid_until:
            self._give_up("written after the lease or in another era")
            return
        if not self.token < token < MAX_TOKEN or revision >= ERA_STEP:
            self._give_up(f"token {token} does not follow {self.token}")
            return
        self.token = token
        self._revision = revision
        self._is_confirmed = False
        # The second bound keeps two ownerships of this process apart after
        # restores of the store, between which another node may have called.
        self._callable_at = (
            max(now, self._last_call_ends_at) + self._lease_s + MARGIN_S
        )
        self.state = State.WAITING

    def record_failure(self, number: int, is_final: bool, now: float) -> None:
        """Records a failed step.

        Args:
            number: Number of the step.
            is_final: Whether the lease has ended or another node has the key;
                otherwise the step may have taken effect or not.
            now: Time in seconds.
        """
        if self._take_pending(number) is None:
            return
        if self.state is State.ACQUIRING:
            # A write without a response may still be executed; its lease is
            # not renewed, so that the key disappears.
            self._give_up("refused" if is_final else "no response")
        elif is_final and self.state in (State.WAITING, State.OWNER):
            self._give_up("the lease has ended")

    def _check(self, view: View, now: float) -> None:
        """Gives up if the ownership has ended; otherwise allows calls."""
        if now >= self._valid_until:
            self._give_up("the lease was not renewed in time")
        elif view.era > self._lease_era:
            self._give_up(f"era {view.era} has begun")
        elif view.era == self._lease_era and view.revision >= self._revision:
            if view.key_revision != self._revision or view.value != self._value:
                self._give_up("the key is gone")
                return
            self._is_confirmed = True
        if now >= self._callable_at + CONFIRM_LIMIT_S and (
            not self._is_confirmed
        ):
            # A node without a current copy would block the duty.
            self._give_up("the copy of the store does not show the key")
        if (
            self.state is State.WAITING
            and self._is_confirmed
            and now >= self._callable_at
        ):
            self.state = State.OWNER

    def _try_acquire(
        self, view: View, rank: int, now: float
    ) -> GrantLease | None:
        """Requests a lease when it is this candidate's turn."""
        if not view.is_current or self._is_stopping:
            self._absent_since = None
            return None
        if self._started_at is None:
            self._started_at = now
        if view.value is not None:
            self._absent_since = None
            return None
        if self._absent_since is None:
            self._absent_since = now
        delay_s = min(MAX_RANK_DELAY_S, rank * DELAY_PER_RANK_S)
        turn_at = max(
            self._absent_since + delay_s, self._started_at + FIRST_DELAY_S
        )
        if now < max(self._retry_at, turn_at):
            return None
        self.state = State.ACQUIRING
        self._valid_until = float("-inf")
        self._lease = ""
        self._renewed_at = now
        return GrantLease(self._issue(now), self._ttl_s)

    def _end_lease(self, view: View, now: float) -> EndLease | None:
        """Returns to idle; ends the lease if it is certainly this node's."""
        lease, self._lease = self._lease, ""
        self.state = State.IDLE
        self._absent_since = None
        self._retry_at = now + RETRY_DELAY_S
        # After a restore the number may be that of another node's lease.
        if not lease or view.era != self._lease_era:
            return None
        return EndLease(self._issue(now), lease)

    def _give_up(self, reason: str) -> None:
        if self.state is State.IDLE:
            return
        self.state = State.GIVEN_UP
        self.reason = reason
        self._pending = None

    def _issue(self, now: float) -> int:
        self._last_number += 1
        self._pending = self._last_number, now
        return self._last_number

    def _take_pending(self, number: int) -> float | None:
        """Returns when the pending step was issued; `None` for another one."""
        if self._pending is None or self._pending[0] != number:
            return None
        issued_at = self._pending[1]
        self._pending = None
        return issued_at

    def _expire_step(self, now: float) -> None:
        """Lets a step fail whose result is overdue."""
        if self._pending is None or now - self._pending[1] < STEP_LIMIT_S:
            return
        self.record_failure(self._pending[0], False, now)
