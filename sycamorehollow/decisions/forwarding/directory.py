"""The upstreams that may be used now.

An upstream's entry in the store may lapse while the store is away although
the upstream lives. Such a deletion counts only once the entry had time to come
back. Broken connections keep an upstream out for a moment, longer each time.
"""

from collections.abc import Iterable
import dataclasses

from sycamorehollow.model import forwarding

# Time in which the platform brings back the entries of live upstreams.
RETURN_S = 2.0
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0
# Time in seconds in which a full upstream ends a request or two; until then it
# would only refuse more, and each refusal counts as a repeat.
FULL_S = 0.05
# Weight of the newest outcome in the rate of failed answers.
FAILURE_WEIGHT = 0.1


@dataclasses.dataclass
class State:
    """An upstream and what this process has seen of it.

    Attributes:
        upstream: Its latest entry.
        seen_at: When the entry was last changed.
        known_at: When its run was first heard of.
        cold_until: Until when it counts as cold.
        gone_at: When it stops being used; `None` while it is registered.
        blocked_until: Until when broken connections keep it out.
        full_until: Until when a refusal for want of room keeps it out.
        failures: Broken connections in a row.
        heard_at: When it last sent a byte.
        probed_at: When a check of whether it can be reached was started.
        dark_at: When such a check last failed.
        passed_at: Latest time at which a request was sent that it has begun
            to answer.
        failure_rate: Share of failed answers, recent ones weigh more.
        load: What it last said of its load, and when.
        running: Own requests at it.
        reading_s: Expected seconds until it has begun to answer all own
            requests that wait for that.
    """

    upstream: forwarding.Upstream
    seen_at: float
    known_at: float
    cold_until: float = 0.0
    gone_at: float | None = None
    blocked_until: float = 0.0
    full_until: float = 0.0
    failures: int = 0
    heard_at: float = float("-inf")
    probed_at: float = float("-inf")
    dark_at: float = float("-inf")
    passed_at: float = float("-inf")
    failure_rate: float = 0.0
    load: forwarding.Load | None = None
    load_at: float = float("-inf")
    load_running: int = 0
    running: int = 0
    reading_s: float = 0.0

    def is_cold(self, now: float) -> bool:
        """Tells whether it has to be spared."""
        return now < self.cold_until

    def is_full(self, now: float) -> bool:
        """Tells whether it has just refused a request for want of room."""
        return now < self.full_until

    def is_dark(self) -> bool:
        """Tells whether it could not be reached since it was last heard."""
        return self.dark_at > self.heard_at

    def is_blocked(self, now: float) -> bool:
        """Tells whether broken connections keep it out."""
        return now < self.blocked_until


class Directory:
    """Upstreams by identity, with evacuated data centres.

    Args:
        return_s: Seconds that a lapsed entry has to come back after an
            outage of the store.
    """

    def __init__(self, return_s: float = RETURN_S) -> None:
        self._return_s = return_s
        self._states: dict[str, State] = {}
        self._evacuated: set[str] = set()
        self._store_back_at = float("-inf")

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Replaces the data centres that get no requests."""
        self._evacuated = set(data_centres)

    def note_store_back(self, now: float) -> None:
        """The store answers again after it could not be reached."""
        self._store_back_at = max(self._store_back_at, now)

    def register(self, upstream: forwarding.Upstream, now: float) -> State:
        """Takes an upstream's entry."""
        state = self._states.get(upstream.identity)
        if state is None or state.upstream.run != upstream.run:
            state = State(upstream, now, now)
            self._states[upstream.identity] = state
        elif _is_elsewhere(state.upstream, upstream):
            state.failures = 0
            state.blocked_until = 0.0
        state.upstream = upstream
        state.seen_at = now
        state.gone_at = None
        if upstream.cold_s > 0:
            state.cold_until = max(state.cold_until, now + upstream.cold_s)
        return state

    def remove(self, identity: str, now: float) -> float | None:
        """Takes the deletion of an upstream's entry.

        Returns:
            When it stops being used, or `None` if it is not known.
        """
        state = self._states.get(identity)
        if state is None:
            return None
        state.gone_at = max(now, self._store_back_at + self._return_s)
        return state.gone_at

    def get(self, identity: str) -> State | None:
        """Returns what is known of an upstream."""
        return self._states.get(identity)

    def list_all(self) -> list[State]:
        """Returns every upstream that is still known."""
        return list(self._states.values())

    def list_usable(self, service: str, now: float) -> list[State]:
        """Returns the upstreams of a service that may get requests."""
        usable = []
        for state in self._states.values():
            upstream = state.upstream
            if upstream.service != service or upstream.draining:
                continue
            if upstream.data_centre in self._evacuated:
                continue
            if state.gone_at is not None and now >= state.gone_at:
                continue
            usable.append(state)
        return usable

    def choose_witness(
        self, silent: State, since_s: float, now: float
    ) -> State | None:
        """Returns another upstream that tells whether this node is cut off.

        `None` if one was heard while the silent one could not be reached, or
        there is no other.

        Args:
            silent: The upstream that could not be reached.
            since_s: Seconds of silence in which another one was heard.
            now: Monotonic time in seconds.
        """
        others = [
            state
            for state in self._states.values()
            if state is not silent and state.gone_at is None
        ]
        if not others:
            return None
        latest = max(others, key=lambda state: state.heard_at)
        return latest if now - latest.heard_at >= since_s else None

    def sweep(self, now: float) -> list[str]:
        """Forgets upstreams that are gone and idle; returns them."""
        gone = [
            identity
            for identity, state in self._states.items()
            if state.gone_at is not None
            and now >= state.gone_at
            and state.running <= 0
        ]
        for identity in gone:
            del self._states[identity]
        return gone


def note_broken(state: State, now: float) -> None:
    """A connection to an upstream could not be made or broke."""
    state.failures += 1
    pause = FIRST_PAUSE_S * 2 ** min(state.failures - 1, 8)
    state.blocked_until = max(
        state.blocked_until, now + min(pause, MAX_PAUSE_S)
    )


def note_dark(state: State, now: float) -> None:
    """An upstream that was silent could not be reached."""
    state.dark_at = now
    note_broken(state, now)


def note_answer(
    state: State, head: forwarding.AnswerHead, failed: bool, now: float
) -> None:
    """An upstream has answered."""
    state.failures = 0
    state.blocked_until = 0.0
    state.heard_at = now
    if head.load is not None:
        state.load = head.load
        state.load_at = now
        state.load_running = state.running
    if head.cold_s:
        state.cold_until = max(state.cold_until, now + head.cold_s)
    if not head.not_run:
        note_outcome(state, failed)
    elif not head.misdirected:
        state.full_until = now + FULL_S


def note_outcome(state: State, failed: bool) -> None:
    """An attempt ended, with an answer or without."""
    change = float(failed) - state.failure_rate
    state.failure_rate += FAILURE_WEIGHT * change


def _is_elsewhere(
    known: forwarding.Upstream, upstream: forwarding.Upstream
) -> bool:
    return (known.host, known.port) != (upstream.host, upstream.port)
