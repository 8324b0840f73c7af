"""Limits on attempts at upstreams in a cold start.

A cold upstream bears only a few requests at once. Each process of its data
centre has a fixed share of them, called permits, so the sum stays within the
limit without any message between processes. A process may lend unused permits
to a peer for a limited time. Beyond the share the number of attempts grows
with those that the process has completed since the cold start.
"""

import dataclasses
import hashlib
import zlib

from sycamorehollow.decisions import components
from sycamorehollow.decisions.routing import cold_states
from sycamorehollow.decisions.routing import peer_loads
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events

# A restart takes longer than this, so an upstream whose last report is older
# may have restarted in between and be cold.
WARM_REPORT_TTL_S = 3.0
LOAN_S = 10.0
# Covers the drift of two clocks over one loan and the delay of a cancellation.
LOAN_MARGIN_S = 2.0
# Notices of one return to service reach a process within this time.
RETURN_PROPAGATION_S = 5.0


@dataclasses.dataclass(frozen=True)
class LoanRequested(events.Event):
    """A peer of the data centre requests permits at a cold upstream.

    Attributes:
        peer: Identity of the borrower.
        requested_at: The borrower's clock in seconds, returned with the grant.
    """

    peer: str
    upstream: str
    permits: int
    requested_at: float


@dataclasses.dataclass(frozen=True)
class LoanGranted(events.Event):
    """A peer lends permits at a cold upstream to this process.

    Attributes:
        generation: Run of the upstream that the loan is for.
        requested_at: Local monotonic time in seconds of the request.
        duration_s: Seconds from `requested_at` for which it may be used.
    """

    upstream: str
    generation: int
    permits: int
    requested_at: float
    duration_s: float


@dataclasses.dataclass(frozen=True)
class GrantLoan(commands.Command):
    """Sends a `LoanGranted` to a peer."""

    peer: str
    upstream: str
    generation: int
    permits: int
    requested_at: float
    duration_s: float


@dataclasses.dataclass(frozen=True)
class CancelAttempt(commands.Command):
    """Cancels an attempt that runs on an expired loan."""

    attempt: str
    upstream: str


@dataclasses.dataclass(frozen=True)
class PushColdState(commands.Command):
    """Pushes the cold-start state of an upstream to all live members."""

    upstream: str


def compute_share(upstream: str, bearable: int, slot: int, slots: int) -> int:
    """Returns the permits of a slot; over all slots they sum to `bearable`."""
    digest = hashlib.sha256(upstream.encode()).digest()
    rank = (slot - int.from_bytes(digest[:8], "big")) % slots
    return bearable // slots + (1 if rank < bearable % slots else 0)


class ColdStartLimiter(components.Component, components.Replicated):
    """Limits this process's attempts at upstreams that are or may be cold.

    Args:
        data_centre: Data centre of this process.
        slot: Number of this process in its data centre, from 0; no two live
            processes have the same.
        slots: Number of slots of the data centre.
        started_at: Local time of the start. The previous holder of the slot
            may have lent its share, so the share is unused for one loan.
            Minus infinity if nobody held the slot before.
        warm_report_ttl_s: Age in seconds from which a report no longer shows
            that the upstream is warm; at most the time that a restart takes.
    """

    kind = "coldstart"

    def __init__(
        self,
        data_centre: str,
        slot: int,
        slots: int,
        started_at: float,
        warm_report_ttl_s: float = WARM_REPORT_TTL_S,
    ):
        if not 0 <= slot < slots:
            raise ValueError(f"slot {slot} is not within 0 to {slots - 1}")
        self._data_centre = data_centre
        self._slot = slot
        self._slots = slots
        self._report_ttl_s = warm_report_ttl_s
        self._share_from = started_at + LOAN_S + LOAN_MARGIN_S
        self._states: dict[str, cold_states.ColdState] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        match event:
            case upstream_events.UpstreamsConfigured():
                self._configure(event.upstreams)
            case upstream_events.LoadReported():
                return self._apply_report(event, now)
            case upstream_events.AttemptStarted():
                state = self._states.get(event.upstream)
                if state is not None:
                    epoch = (state.generation, state.episode)
                    cold = cold_states.is_presumed_cold(
                        state, now, self._report_ttl_s
                    )
                    state.running[event.attempt] = epoch if cold else None
            case upstream_events.AttemptEnded():
                return self._end_attempt(event, now)
            case upstream_events.ReturnedToService():
                self._begin_ramp_up(event.upstream, now)
            case LoanRequested():
                return self._lend(event, now)
            case LoanGranted():
                self._borrow(event, now)
            case events.Tick():
                for state in self._states.values():
                    cold_states.end_ramp_up(state, now)
                return self._cancel_expired(now)
        return []

    def can_start(self, upstream: str, now: float) -> bool:
        """Returns whether one more attempt may start at an upstream now."""
        state = self._states.get(upstream)
        if state is None:
            return False
        if not cold_states.is_presumed_cold(state, now, self._report_ttl_s):
            return True
        return len(state.running) < self._count_permits(upstream, state, now)

    def is_cold(self, upstream: str, now: float) -> bool:
        """Returns whether this process treats the upstream as cold."""
        state = self._states.get(upstream)
        return state is None or cold_states.is_presumed_cold(
            state, now, self._report_ttl_s
        )

    def count_lendable_permits(self, upstream: str, now: float) -> int:
        """Returns the number of permits that this process could lend now."""
        state = self._states.get(upstream)
        if state is None or not state.is_limited:
            return 0
        # Permits gained by completed attempts are not lent: they are void as
        # soon as the upstream restarts, and the borrower may be the last to
        # learn of that.
        unused = self._count_permits(upstream, state, now) - len(state.running)
        return max(
            0, min(unused, self._count_own_permits(upstream, state, now))
        )

    def _configure(self, configured: tuple[deployment.Upstream, ...]) -> None:
        known = self._states
        self._states = {}
        for upstream in configured:
            state = known.get(upstream.name)
            if state is None:
                state = cold_states.ColdState(
                    upstream.bearable, upstream.data_centre
                )
            self._states[upstream.name] = state

    def _count_own_permits(
        self, upstream: str, state: cold_states.ColdState, now: float
    ) -> int:
        if state.data_centre != self._data_centre or now < self._share_from:
            return 0
        share = compute_share(upstream, state.bearable, self._slot, self._slots)
        state.lent = [loan for loan in state.lent if now < loan[1]]
        return max(0, share - sum(permits for permits, _ in state.lent))

    def _count_permits(
        self, upstream: str, state: cold_states.ColdState, now: float
    ) -> int:
        permits = self._count_own_permits(upstream, state, now)
        permits += sum(lent for lent, end in state.borrowed if now < end)
        # If the upstream has restarted undetected, completions from before
        # the restart must not count.
        if (
            now - state.reported_at >= self._report_ttl_s
            or not state.is_limited
        ):
            return permits
        return permits + max(0, state.completed - state.bearable)

    def _apply_report(
        self, event: upstream_events.LoadReported, now: float
    ) -> list[commands.Command]:
        state = self._states.get(event.upstream)
        if state is None or event.generation < state.generation:
            return []
        if event.measured_at < state.reported_at:
            return []
        state.reported_at = event.measured_at
        if event.generation > state.generation:
            first = state.generation == 0
            state.bearable = event.bearable
            self._mark_cold(state, event.generation, 0, now)
            if not event.cold:
                state.cold = False
                if first:
                    # Else a starting process would push one delta for each
                    # warm upstream to its whole data centre.
                    return []
            return [PushColdState(event.upstream)]
        if event.cold and not state.cold:
            # A cold start that was detected before this report is not new.
            self._mark_cold(state, state.generation, state.episode + 1, now)
            return [PushColdState(event.upstream)]
        if not event.cold and event.measured_at > state.cold_since:
            state.cold = False
        return []

    def _begin_ramp_up(self, upstream: str, now: float) -> None:
        state = self._states.get(upstream)
        if state is None:
            return
        # The return may be known from a peer before the configuration arrives.
        if state.ramping_up and now - state.cold_since < RETURN_PROPAGATION_S:
            return
        state.ramping_up = True
        self._mark_cold(state, state.generation, state.episode + 1, now)

    def _mark_cold(
        self,
        state: cold_states.ColdState,
        generation: int,
        episode: int,
        now: float,
    ) -> None:
        if generation > state.generation:
            # The attempts on these loans ended with the previous generation.
            state.borrowed.clear()
        state.generation = generation
        state.episode = episode
        state.cold = True
        state.cold_since = now
        state.completed = 0

    def _end_attempt(
        self, event: upstream_events.AttemptEnded, now: float
    ) -> list[commands.Command]:
        state = self._states.get(event.upstream)
        if state is None:
            return []
        epoch = state.running.pop(event.attempt, None)
        if event.status is upstream_events.AttemptStatus.COMPLETED:
            if epoch == (state.generation, state.episode):
                state.completed += 1
                cold_states.end_ramp_up(state, now)
        if event.code != "cold" or state.cold:
            return []
        self._mark_cold(state, state.generation, state.episode + 1, now)
        return [PushColdState(event.upstream)]

    def _lend(self, event: LoanRequested, now: float) -> list[commands.Command]:
        permits = min(
            event.permits, self.count_lendable_permits(event.upstream, now)
        )
        if permits <= 0:
            return []
        state = self._states[event.upstream]
        state.lent.append((permits, now + LOAN_S + LOAN_MARGIN_S))
        return [
            GrantLoan(
                event.peer,
                event.upstream,
                state.generation,
                permits,
                event.requested_at,
                LOAN_S,
            )
        ]

    def _borrow(self, event: LoanGranted, now: float) -> None:
        state = self._states.get(event.upstream)
        if state is None or state.generation != event.generation:
            return
        until = event.requested_at + event.duration_s
        state.borrowed = [loan for loan in state.borrowed if now < loan[1]]
        # A grant that is delivered twice counts once.
        if now < until and (event.permits, until) not in state.borrowed:
            state.borrowed.append((event.permits, until))

    def _cancel_expired(self, now: float) -> list[commands.Command]:
        cancelled: list[commands.Command] = []
        for name, state in self._states.items():
            expired = sum(lent for lent, end in state.borrowed if now >= end)
            state.borrowed = [loan for loan in state.borrowed if now < loan[1]]
            if not expired or not state.is_limited:
                continue
            started_cold = [a for a, epoch in state.running.items() if epoch]
            excess = len(started_cold) - self._count_permits(name, state, now)
            for attempt in started_cold[::-1][: min(expired, max(0, excess))]:
                cancelled.append(CancelAttempt(attempt, name))
        return cancelled

    def build_digest(self, now: float) -> bytes:
        """Returns a checksum of the states in the data centre, for a peer.

        A process starts nothing at a cold upstream of another data centre, so
        it needs only the end of a ramp-up there. Naming all upstreams in each
        digest took 0.7 KB/s of a node at 26 upstreams.
        """
        remote = {
            name: state.epoch
            for name, state in self._states.items()
            if state.ramping_up and state.data_centre != self._data_centre
        }
        return peer_loads.compress_json(
            [self._data_centre, self._compute_checksum(), remote]
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the states that are newer than those of a digest."""
        place, checksum, remote = peer_loads.decompress_json(digest)
        newer = {}
        if place == self._data_centre and checksum != self._compute_checksum():
            for name, state in self._list_local():
                newer[name] = [*state.epoch, state.bearable]
        for name, epoch in remote.items():
            known = self._states.get(name)
            if known is not None and known.epoch > epoch:
                newer[name] = [*known.epoch, known.bearable]
        return peer_loads.compress_json(newer) if newer else b""

    def _compute_checksum(self) -> int:
        epochs = [(name, state.epoch) for name, state in self._list_local()]
        return zlib.crc32(repr(epochs).encode())

    def _list_local(self) -> list[tuple[str, cold_states.ColdState]]:
        return [
            (name, state)
            for name, state in sorted(self._states.items())
            if state.data_centre == self._data_centre and state.generation
        ]

    def encode_upstream(self, upstream: str) -> bytes:
        """Returns a delta with the state of one upstream, for a push."""
        state = self._states.get(upstream)
        if state is None:
            return b""
        return peer_loads.compress_json(
            {upstream: [*state.epoch, state.bearable]}
        )

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Takes over the newer states of a peer."""
        if not delta:
            return []
        for name, epoch in peer_loads.decompress_json(delta).items():
            generation, episode, settled, bearable = epoch
            state = self._states.get(name)
            if state is None or [generation, episode, settled] <= state.epoch:
                continue
            state.ramping_up = not settled
            if (generation, episode) == (state.generation, state.episode):
                continue
            state.bearable = bearable
            self._mark_cold(state, generation, episode, now)
        return []
