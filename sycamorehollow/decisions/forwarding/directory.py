"""The upstreams that may be used now.

An upstream's entry in the store may lapse while the store is away although
the upstream lives. Such a deletion counts only once the entry had time to come
back. Broken connections keep an upstream out for a moment, longer each time.
"""

from collections.abc import Iterable
import dataclasses

from sycamorehollow.model import forwarding

# Time in which the platform brings back the entries of live upstreams.
REREGISTRATION_S = 2.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# Time in seconds in which a full upstream ends a request or two; until then it
# would only refuse more, and each refusal counts as a repeat.
FULL_BACKOFF_S = 0.05
# Weight of the newest outcome in the rate of failed answers.
FAILURE_WEIGHT = 0.1


@dataclasses.dataclass
class UpstreamState:
    """An upstream and what this process has seen of it.

    Attributes:
        upstream: Its latest entry.
        updated_at: When the entry was last changed.
        first_seen_at: When its run was first heard of.
        cold_until: Until when it counts as cold.
        expires_at: When it stops being used; `None` while it is registered.
        backoff_until: Until when broken connections keep it out.
        full_until: Until when a refusal for want of room keeps it out.
        connection_failures: Broken connections in a row.
        last_byte_at: When it last sent a byte.
        probed_at: When a check of whether it can be reached was started.
        unreachable_at: When such a check last failed.
        latest_served_sent_at: Send time of the newest request that it has
            begun to answer.
        failure_rate: Share of failed answers, recent ones weigh more.
        load: What it last said of its load, and when.
        running: Own requests at it.
        backlog_s: Expected seconds until it has begun to answer all own
            requests that wait for that.
    """

    upstream: forwarding.Upstream
    updated_at: float
    first_seen_at: float
    cold_until: float = 0.0
    expires_at: float | None = None
    backoff_until: float = 0.0
    full_until: float = 0.0
    connection_failures: int = 0
    last_byte_at: float = float("-inf")
    probed_at: float = float("-inf")
    unreachable_at: float = float("-inf")
    latest_served_sent_at: float = float("-inf")
    failure_rate: float = 0.0
    load: forwarding.Load | None = None
    load_at: float = float("-inf")
    running_at_load: int = 0
    running: int = 0
    backlog_s: float = 0.0

    def is_cold(self, now: float) -> bool:
        """Tells whether it has to be spared."""
        return now < self.cold_until

    def is_full(self, now: float) -> bool:
        """Tells whether it has just refused a request for want of room."""
        return now < self.full_until

    def is_unreachable(self) -> bool:
        """Tells whether it could not be reached since it was last heard."""
        return self.unreachable_at > self.last_byte_at

    def is_backing_off(self, now: float) -> bool:
        """Tells whether broken connections keep it out."""
        return now < self.backoff_until


class Directory:
    """Upstreams by identity, with evacuated data centres.

    Args:
        reregistration_s: Seconds that a lapsed entry has to come back after an
            outage of the store.
    """

    def __init__(self, reregistration_s: float = REREGISTRATION_S) -> None:
        self._reregistration_s = reregistration_s
        self._states: dict[str, UpstreamState] = {}
        self._evacuated: set[str] = set()
        self._store_recovered_at = float("-inf")

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Replaces the data centres that get no requests."""
        self._evacuated = set(data_centres)

    def record_store_recovery(self, now: float) -> None:
        """The store answers again after it could not be reached."""
        self._store_recovered_at = max(self._store_recovered_at, now)

    def register(
        self, upstream: forwarding.Upstream, now: float
    ) -> UpstreamState:
        """Takes an upstream's entry."""
        state = self._states.get(upstream.identity)
        if state is None or state.upstream.incarnation != upstream.incarnation:
            state = UpstreamState(upstream, now, now)
            self._states[upstream.identity] = state
        elif _is_elsewhere(state.upstream, upstream):
            state.connection_failures = 0
            state.backoff_until = 0.0
        state.upstream = upstream
        state.updated_at = now
        state.expires_at = None
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
        state.expires_at = max(
            now, self._store_recovered_at + self._reregistration_s
        )
        return state.expires_at

    def get(self, identity: str) -> UpstreamState | None:
        """Returns what is known of an upstream."""
        return self._states.get(identity)

    def list_all(self) -> list[UpstreamState]:
        """Returns every upstream that is still known."""
        return list(self._states.values())

    def list_usable(self, service: str, now: float) -> list[UpstreamState]:
        """Returns the upstreams of a service that may get requests."""
        usable = []
        for state in self._states.values():
            upstream = state.upstream
            if upstream.service != service or upstream.draining:
                continue
            if upstream.data_centre in self._evacuated:
                continue
            if state.expires_at is not None and now >= state.expires_at:
                continue
            usable.append(state)
        return usable

    def choose_reference(
        self, silent: UpstreamState, since_s: float, now: float
    ) -> UpstreamState | None:
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
            if state is not silent and state.expires_at is None
        ]
        if not others:
            return None
        latest = max(others, key=lambda state: state.last_byte_at)
        return latest if now - latest.last_byte_at >= since_s else None

    def evict_expired(self, now: float) -> list[str]:
        """Forgets upstreams that are gone and idle; returns them."""
        gone = [
            identity
            for identity, state in self._states.items()
            if state.expires_at is not None
            and now >= state.expires_at
            and state.running <= 0
        ]
        for identity in gone:
            del self._states[identity]
        return gone


def record_connection_failure(state: UpstreamState, now: float) -> None:
    """A connection to an upstream could not be made or broke."""
    state.connection_failures += 1
    pause = INITIAL_BACKOFF_S * 2 ** min(state.connection_failures - 1, 8)
    state.backoff_until = max(
        state.backoff_until, now + min(pause, MAX_BACKOFF_S)
    )


def record_unreachable(state: UpstreamState, now: float) -> None:
    """An upstream that was silent could not be reached."""
    state.unreachable_at = now
    record_connection_failure(state, now)


def record_response(
    state: UpstreamState, head: forwarding.DecodedHead, failed: bool, now: float
) -> None:
    """An upstream has answered."""
    state.connection_failures = 0
    state.backoff_until = 0.0
    state.last_byte_at = now
    if head.load is not None:
        state.load = head.load
        state.load_at = now
        state.running_at_load = state.running
    if head.cold_s:
        state.cold_until = max(state.cold_until, now + head.cold_s)
    if not head.not_run:
        record_outcome(state, failed)
    elif not head.misdirected:
        state.full_until = now + FULL_BACKOFF_S


def record_outcome(state: UpstreamState, failed: bool) -> None:
    """An attempt ended, with an answer or without."""
    change = float(failed) - state.failure_rate
    state.failure_rate += FAILURE_WEIGHT * change


def _is_elsewhere(
    known: forwarding.Upstream, upstream: forwarding.Upstream
) -> bool:
    return (known.host, known.port) != (upstream.host, upstream.port)
