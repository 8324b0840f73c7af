"""Admission to upstreams in a cold start by fixed shares with loans."""

import dataclasses
import hashlib
import zlib

from sycamorehollow.decisions import components
from sycamorehollow.decisions.routing import shares
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.decisions.routing import warming
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events

# A restart takes longer than this, so an upstream whose last report is older
# may have turned cold in between.
TRUST_S = 3.0
LOAN_S = 10.0
# Covers the drift of two clocks over one loan and a cancellation on its way.
LOAN_MARGIN_S = 2.0
# Processes learn of one return within this time; it is one turn for all.
RETURN_SPREAD_S = 5.0


@dataclasses.dataclass(frozen=True)
class LoanAsked(events.Event):
    """A peer of the same data centre asks for units at a cold upstream.

    Attributes:
        peer: Identity of the borrower.
        asked_at: The borrower's clock in seconds, returned with the grant.
    """

    peer: str
    upstream: str
    units: int
    asked_at: float


@dataclasses.dataclass(frozen=True)
class LoanGranted(events.Event):
    """A peer lends units at a cold upstream to this process.

    Attributes:
        generation: Run of the upstream that the loan is for.
        asked_at: Local monotonic time in seconds at which it was asked for.
        duration_s: Seconds from `asked_at` for which it may be used.
    """

    upstream: str
    generation: int
    units: int
    asked_at: float
    duration_s: float


@dataclasses.dataclass(frozen=True)
class GrantLoan(commands.Command):
    """Sends a `LoanGranted` to a peer."""

    peer: str
    upstream: str
    generation: int
    units: int
    asked_at: float
    duration_s: float


@dataclasses.dataclass(frozen=True)
class CancelAttempt(commands.Command):
    """Cancels an attempt that runs on an expired loan."""

    attempt: str
    upstream: str


@dataclasses.dataclass(frozen=True)
class SpreadCold(commands.Command):
    """Pushes the state of this component to the live members at once."""

    upstream: str


def compute_share(upstream: str, bearable: int, slot: int, slots: int) -> int:
    """Returns the units of a slot; over all slots they sum to `bearable`."""
    digest = hashlib.sha256(upstream.encode()).digest()
    rank = (slot - int.from_bytes(digest[:8], "big")) % slots
    return bearable // slots + (1 if rank < bearable % slots else 0)


class ColdStarts(components.Component, components.Replicated):
    """Limits own attempts at upstreams that are, or may be, cold.

    Args:
        data_centre: Data centre of this process.
        slot: Number of this process in its data centre, from 0; no two live
            processes have the same.
        slots: Number of slots of the data centre.
        started_at: Local time of the start. The previous holder of the slot
            may have lent its share, so the share is unused for one loan.
            Minus infinity if nobody held the slot before.
        trust_s: Age in seconds from which a report no longer shows that the
            upstream is warm; at most the time that a restart takes.
    """

    kind = "coldstart"

    def __init__(
        self,
        data_centre: str,
        slot: int,
        slots: int,
        started_at: float,
        trust_s: float = TRUST_S,
    ):
        if not 0 <= slot < slots:
            raise ValueError(f"slot {slot} is not within 0 to {slots - 1}")
        self._data_centre = data_centre
        self._slot = slot
        self._slots = slots
        self._trust_s = trust_s
        self._share_from = started_at + LOAN_S + LOAN_MARGIN_S
        self._states: dict[str, warming.Warming] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        match event:
            case upstream_events.UpstreamsConfigured():
                self._configure(event.upstreams)
            case upstream_events.LoadReported():
                return self._report(event, now)
            case upstream_events.AttemptStarted():
                state = self._states.get(event.upstream)
                if state is not None:
                    turn = (state.generation, state.episode)
                    cold = warming.is_presumed_cold(state, now, self._trust_s)
                    state.running[event.attempt] = turn if cold else None
            case upstream_events.AttemptEnded():
                return self._end(event, now)
            case upstream_events.ReturnedToService():
                self._return(event.upstream, now)
            case LoanAsked():
                return self._lend(event, now)
            case LoanGranted():
                self._borrow(event, now)
            case events.Tick():
                for state in self._states.values():
                    warming.end_return(state, now)
                return self._cancel_expired(now)
        return []

    def may_start(self, upstream: str, now: float) -> bool:
        """Tells whether one more attempt may start there now."""
        state = self._states.get(upstream)
        if state is None:
            return False
        if not warming.is_presumed_cold(state, now, self._trust_s):
            return True
        return len(state.running) < self._count_units(upstream, state, now)

    def is_cold(self, upstream: str, now: float) -> bool:
        """Tells whether the upstream counts as cold at this process."""
        state = self._states.get(upstream)
        return state is None or warming.is_presumed_cold(
            state, now, self._trust_s
        )

    def count_lendable(self, upstream: str, now: float) -> int:
        """Returns the units that this process could lend now."""
        state = self._states.get(upstream)
        if state is None or not state.limited:
            return 0
        # Growth is not lent: it ends at once when the upstream restarts, and
        # the borrower may learn of that last.
        unused = self._count_units(upstream, state, now) - len(state.running)
        return max(0, min(unused, self._count_own(upstream, state, now)))

    def _configure(self, configured: tuple[deployment.Upstream, ...]) -> None:
        known = self._states
        self._states = {}
        for one in configured:
            state = known.get(one.name)
            if state is None:
                state = warming.Warming(one.bearable, one.data_centre)
            self._states[one.name] = state

    def _count_own(
        self, upstream: str, state: warming.Warming, now: float
    ) -> int:
        if state.data_centre != self._data_centre or now < self._share_from:
            return 0
        share = compute_share(upstream, state.bearable, self._slot, self._slots)
        state.lent = [loan for loan in state.lent if now < loan[1]]
        return max(0, share - sum(units for units, _ in state.lent))

    def _count_units(
        self, upstream: str, state: warming.Warming, now: float
    ) -> int:
        units = self._count_own(upstream, state, now)
        units += sum(lent for lent, end in state.borrowed if now < end)
        # After a restart that was not noticed yet, completions from before it
        # must not count.
        if now - state.reported_at >= self._trust_s or not state.limited:
            return units
        return units + max(0, state.completed - state.bearable)

    def _report(
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
            self._turn_cold(state, event.generation, 0, now)
            if not event.cold:
                state.cold = False
                if first:
                    # Nothing turned cold: a process that starts would push
                    # one delta for each upstream to its whole data centre.
                    return []
            return [SpreadCold(event.upstream)]
        if event.cold and not state.cold:
            # A report from before the cold turn was noticed is no new turn.
            self._turn_cold(state, state.generation, state.episode + 1, now)
            return [SpreadCold(event.upstream)]
        if not event.cold and event.measured_at > state.cold_since:
            state.cold = False
        return []

    def _return(self, upstream: str, now: float) -> None:
        state = self._states.get(upstream)
        if state is None:
            return
        # A peer may have told of the same return before the configuration.
        if state.returning and now - state.cold_since < RETURN_SPREAD_S:
            return
        state.returning = True
        self._turn_cold(state, state.generation, state.episode + 1, now)

    def _turn_cold(
        self, state: warming.Warming, generation: int, episode: int, now: float
    ) -> None:
        if generation > state.generation:
            # The attempts on these loans ended with the previous run.
            state.borrowed.clear()
        state.generation = generation
        state.episode = episode
        state.cold = True
        state.cold_since = now
        state.completed = 0

    def _end(
        self, event: upstream_events.AttemptEnded, now: float
    ) -> list[commands.Command]:
        state = self._states.get(event.upstream)
        if state is None:
            return []
        turn = state.running.pop(event.attempt, None)
        if event.status is upstream_events.AttemptStatus.COMPLETED:
            if turn == (state.generation, state.episode):
                state.completed += 1
                warming.end_return(state, now)
        if event.code != "cold" or state.cold:
            return []
        self._turn_cold(state, state.generation, state.episode + 1, now)
        return [SpreadCold(event.upstream)]

    def _lend(self, event: LoanAsked, now: float) -> list[commands.Command]:
        units = min(event.units, self.count_lendable(event.upstream, now))
        if units <= 0:
            return []
        state = self._states[event.upstream]
        state.lent.append((units, now + LOAN_S + LOAN_MARGIN_S))
        return [
            GrantLoan(
                event.peer,
                event.upstream,
                state.generation,
                units,
                event.asked_at,
                LOAN_S,
            )
        ]

    def _borrow(self, event: LoanGranted, now: float) -> None:
        state = self._states.get(event.upstream)
        if state is None or state.generation != event.generation:
            return
        until = event.asked_at + event.duration_s
        state.borrowed = [loan for loan in state.borrowed if now < loan[1]]
        # A grant that is delivered twice is one loan.
        if now < until and (event.units, until) not in state.borrowed:
            state.borrowed.append((event.units, until))

    def _cancel_expired(self, now: float) -> list[commands.Command]:
        cancelled: list[commands.Command] = []
        for name, state in self._states.items():
            ended = sum(lent for lent, end in state.borrowed if now >= end)
            state.borrowed = [loan for loan in state.borrowed if now < loan[1]]
            if not ended or not state.limited:
                continue
            started_cold = [a for a, turn in state.running.items() if turn]
            excess = len(started_cold) - self._count_units(name, state, now)
            for attempt in started_cold[::-1][: min(ended, max(0, excess))]:
                cancelled.append(CancelAttempt(attempt, name))
        return cancelled

    def build_digest(self, now: float) -> bytes:
        """Returns a checksum of the cold turns in the data centre.

        Processes elsewhere start nothing at a cold upstream, so they need no
        cold turns but the end of a return. Naming the upstreams in each digest
        took 0.7 KB/s of a node at 26 upstreams.
        """
        abroad = {
            name: state.turn
            for name, state in self._states.items()
            if state.returning and state.data_centre != self._data_centre
        }
        return shares.encode(
            [self._data_centre, self._compute_checksum(), abroad]
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the cold turns that the sender of a digest lacks."""
        place, checksum, abroad = shares.decode(digest)
        newer = {}
        if place == self._data_centre and checksum != self._compute_checksum():
            for name, state in self._list_own():
                newer[name] = [*state.turn, state.bearable]
        for name, turn in abroad.items():
            known = self._states.get(name)
            if known is not None and known.turn > turn:
                newer[name] = [*known.turn, known.bearable]
        return shares.encode(newer) if newer else b""

    def _compute_checksum(self) -> int:
        turns = [(name, state.turn) for name, state in self._list_own()]
        return zlib.crc32(repr(turns).encode())

    def _list_own(self) -> list[tuple[str, warming.Warming]]:
        return [
            (name, state)
            for name, state in sorted(self._states.items())
            if state.data_centre == self._data_centre and state.generation
        ]

    def encode(self, upstream: str) -> bytes:
        """Returns a delta with the cold turn of one upstream, for a push."""
        state = self._states.get(upstream)
        if state is None:
            return b""
        return shares.encode({upstream: [*state.turn, state.bearable]})

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Marks upstreams cold that a peer has found cold."""
        if not delta:
            return []
        for name, turn in shares.decode(delta).items():
            generation, episode, settled, bearable = turn
            state = self._states.get(name)
            if state is None or [generation, episode, settled] <= state.turn:
                continue
            state.returning = not settled
            if (generation, episode) == (state.generation, state.episode):
                continue
            state.bearable = bearable
            self._turn_cold(state, generation, episode, now)
        return []
