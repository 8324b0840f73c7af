"""Directory of upstreams and their observed state.

While the store is unavailable, the entry of a live upstream may expire. After
an outage a deletion therefore takes effect only once the entry has had time to
be written again. Connection failures exclude an upstream with exponential
backoff.
"""

from collections.abc import Iterable
import dataclasses

from sycamorehollow.model import forwarding

# Time in which the platform restores the entries of live upstreams.
REREGISTRATION_S = 2.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# Time in which a full upstream finishes a request or two. Until then it would
# only refuse more, and each refusal counts as a retry.
FULL_BACKOFF_S = 0.05
# Half-life of the speed that an upstream states, which changes about every
# 0.6 s.
SPEED_HALF_LIFE_S = 0.3
# Bounds of a stated speed, so that a false one decides no placement for long.
MIN_TIME_FACTOR = 0.1
MAX_TIME_FACTOR = 10.0
# Time for which a data centre counts as one of a service after its upstream was
# evicted. Longer than a data centre is usually lost, and short enough that one
# that a service has left for good does not count for long.
DATA_CENTRE_MEMORY_S = 600.0
# Weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.1


@dataclasses.dataclass
class UpstreamState:
    """An upstream and its state as observed by this process.

    Attributes:
        upstream: Its latest entry.
        updated_at: When the entry was last changed.
        first_seen_at: When this incarnation was first seen.
        cold_until: Until when it counts as cold.
        removed_at: When its entry was last deleted.
        expires_at: When it stops being used; `None` while it is registered.
        backoff_until: Until when connection failures exclude it.
        full_until: Until when a refusal for lack of capacity excludes it.
        paused_until: Until when it asks for no requests of this node.
        is_leaving: Whether a response has said that it is about to stop.
        connection_failures: Consecutive connection failures.
        last_byte_at: When it last sent a byte.
        probed_at: When the latest reachability probe was started.
        unreachable_at: When such a probe last failed.
        latest_served_sent_at: Send time of the newest request that it has
            started to respond to.
        failure_rate: Moving average of failed attempts.
        load: Load that it last reported.
        load_at: When it reported that load.
        running_at_load: Value of `running` at that time.
        sent_since_load: Requests that this node has sent since then.
        running: Requests of this node that it is running.
        backlog_s: Expected seconds until it has started to respond to all
            waiting requests of this node.
    """

    upstream: forwarding.Upstream
    updated_at: float
    first_seen_at: float
    cold_until: float = 0.0
    removed_at: float = float("-inf")
    expires_at: float | None = None
    backoff_until: float = 0.0
    full_until: float = 0.0
    paused_until: float = float("-inf")
    is_leaving: bool = False
    connection_failures: int = 0
    last_byte_at: float = float("-inf")
    probed_at: float = float("-inf")
    unreachable_at: float = float("-inf")
    latest_served_sent_at: float = float("-inf")
    failure_rate: float = 0.0
    load: forwarding.Load | None = None
    load_at: float = float("-inf")
    running_at_load: int = 0
    sent_since_load: int = 0
    running: int = 0
    backlog_s: float = 0.0

    def is_cold(self, now: float) -> bool:
        """Returns whether the limits for cold upstreams apply."""
        return now < self.cold_until

    def is_full(self, now: float) -> bool:
        """Returns whether it has just refused a request as full."""
        return now < self.full_until

    def estimate_time_factor(self, now: float) -> float:
        """Returns the expected duration of work, relative to the usual one."""
        if self.load is None or self.load.time_factor is None:
            return 1.0
        weight = 0.5 ** ((now - self.load_at) / SPEED_HALF_LIFE_S)
        return 1 + (get_time_factor(self.load) - 1) * weight

    @property
    def is_draining(self) -> bool:
        """Whether its entry or a response says that it is about to stop."""
        return self.upstream.draining or self.is_leaving

    def is_unreachable(self) -> bool:
        """Returns whether a probe has failed since its last byte."""
        return self.unreachable_at > self.last_byte_at

    def is_backing_off(self, now: float) -> bool:
        """Returns whether connection failures exclude it."""
        return now < self.backoff_until


class Directory:
    """Upstreams by identity, and evacuated data centres.

    Args:
        reregistration_s: Seconds that an expired entry has to be restored
            after an outage of the store.

    Attributes:
        generation: Number of changes of the set of known upstreams.
    """

    def __init__(self, reregistration_s: float = REREGISTRATION_S) -> None:
        self.generation = 0
        self._reregistration_s = reregistration_s
        self._states: dict[str, UpstreamState] = {}
        # Identities of the upstreams whose entries were deleted.
        self._removed: set[str] = set()
        # The registered upstreams of each service that neither drain nor are
        # evacuated. Filled on demand and dropped when an entry changes, since
        # each request asks for those of its service several times.
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._evacuated: set[str] = set()
        self._store_recovered_at = float("-inf")
        # When an upstream was last evicted, by service and data centre.
        self._evicted_at: dict[tuple[str, str], float] = {}

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Sets the data centres that get no requests."""
        self._evacuated = set(data_centres)
        self._by_service.clear()

    def list_evacuated(self) -> frozenset[str]:
        """Returns the data centres that get no requests."""
        return frozenset(self._evacuated)

    def is_evacuated(self, state: UpstreamState) -> bool:
        """Returns whether the data centre of an upstream is evacuated."""
        return state.upstream.data_centre in self._evacuated

    def record_store_recovery(self, now: float) -> None:
        """Records that the store is reachable again after an outage."""
        self._store_recovered_at = max(self._store_recovered_at, now)

    def retract_store_recovery(self, at: float) -> None:
        """Lets removals count at once, as the store was never away.

        Args:
            at: When its recovery was recorded; a later one still holds.
        """
        if self._store_recovered_at != at:
            return
        self._store_recovered_at = float("-inf")
        for identity in self._removed:
            state = self._states[identity]
            state.expires_at = state.removed_at

    def register(
        self, upstream: forwarding.Upstream, now: float
    ) -> UpstreamState:
        """Adds or updates an upstream from its entry."""
        state = self._states.get(upstream.identity)
        if state is None or state.upstream.incarnation != upstream.incarnation:
            state = UpstreamState(upstream, now, now)
            self._states[upstream.identity] = state
            self.generation += 1
        elif _is_elsewhere(state.upstream, upstream):
            state.connection_failures = 0
            state.backoff_until = 0.0
        if _get_group(state.upstream) != _get_group(upstream):
            self.generation += 1
        state.upstream = upstream
        state.updated_at = now
        state.expires_at = None
        self._removed.discard(upstream.identity)
        self._by_service.clear()
        if upstream.cold_s > 0:
            state.cold_until = max(state.cold_until, now + upstream.cold_s)
        return state

    def remove(self, identity: str, now: float) -> float | None:
        """Marks an upstream whose entry was deleted.

        Returns:
            When it stops being used, or `None` if it is unknown.
        """
        state = self._states.get(identity)
        if state is None:
            return None
        state.removed_at = now
        state.expires_at = max(
            now, self._store_recovered_at + self._reregistration_s
        )
        self._removed.add(identity)
        return state.expires_at

    def forget_connection_failures(self) -> None:
        """Uses all upstreams again that could not be reached.

        For a node that has reached none of them for reasons of its own.
        """
        for state in self._states.values():
            state.connection_failures = 0
            state.backoff_until = 0.0
            state.unreachable_at = float("-inf")

    def get(self, identity: str) -> UpstreamState | None:
        """Returns the state of an upstream, or `None` if it is unknown."""
        return self._states.get(identity)

    def list_all(self) -> list[UpstreamState]:
        """Returns all known upstreams."""
        return list(self._states.values())

    def list_data_centres(self, service: str, now: float) -> frozenset[str]:
        """Returns where a service has upstreams, or recently had some."""
        present = {
            state.upstream.data_centre
            for state in self._states.values()
            if state.upstream.service == service
        }
        recent = {
            data_centre
            for (name, data_centre), at in self._evicted_at.items()
            if name == service and now - at <= DATA_CENTRE_MEMORY_S
        }
        return frozenset(present | recent)

    def list_usable(self, service: str, now: float) -> list[UpstreamState]:
        """Returns the upstreams of a service that may get requests."""
        known = self._by_service.get(service)
        if known is None:
            known = self._by_service[service] = [
                state
                for state in self._states.values()
                if state.upstream.service == service
                and not state.upstream.draining
                and not self.is_evacuated(state)
            ]
        return [
            state
            for state in known
            if not state.is_leaving
            and (state.expires_at is None or now < state.expires_at)
        ]

    def is_usable(self, state: UpstreamState, now: float) -> bool:
        """Returns whether an upstream may get requests."""
        if state.is_draining or self.is_evacuated(state):
            return False
        return state.expires_at is None or now < state.expires_at

    def list_service(self, service: str) -> list[UpstreamState]:
        """Returns all known upstreams of a service."""
        states = self._states.values()
        return [s for s in states if s.upstream.service == service]

    def choose_reference(
        self, silent: UpstreamState, since_s: float, now: float
    ) -> UpstreamState | None:
        """Returns another upstream to probe, to detect an isolated node.

        `None` if there is no other, or if another one sent a byte recently,
        which shows that this node is not isolated.

        Args:
            silent: The upstream that could not be reached.
            since_s: Seconds within which a byte counts as recent.
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
        """Removes expired idle upstreams and returns their identities."""
        expired = []
        for identity in self._removed:
            state = self._states[identity]
            if state.expires_at is None or now < state.expires_at:
                continue
            if state.running <= 0:
                expired.append(identity)
        for identity in expired:
            upstream = self._states.pop(identity).upstream
            self._evicted_at[upstream.service, upstream.data_centre] = now
            self._removed.discard(identity)
            self._by_service.clear()
        self.generation += len(expired)
        return expired


def record_connection_failure(state: UpstreamState, now: float) -> None:
    """Records a failed or broken connection and extends the backoff."""
    state.connection_failures += 1
    backoff_s = INITIAL_BACKOFF_S * 2 ** min(state.connection_failures - 1, 8)
    state.backoff_until = max(
        state.backoff_until, now + min(backoff_s, MAX_BACKOFF_S)
    )


def record_unreachable(state: UpstreamState, now: float) -> None:
    """Records that the probe of a silent upstream has failed."""
    state.unreachable_at = now
    record_connection_failure(state, now)


def record_response(
    state: UpstreamState, head: forwarding.DecodedHead, failed: bool, now: float
) -> None:
    """Updates the state of an upstream from the head of a response."""
    state.connection_failures = 0
    state.backoff_until = 0.0
    state.last_byte_at = now
    if head.load is not None:
        state.load = head.load
        state.load_at = now
        state.running_at_load = state.running
        state.sent_since_load = 0
    if head.cold_s:
        state.cold_until = max(state.cold_until, now + head.cold_s)
    if not head.not_run:
        record_outcome(state, failed)
    elif not head.misdirected:
        state.full_until = now + FULL_BACKOFF_S


def get_time_factor(load: forwarding.Load | None) -> float:
    """Returns the duration of work that a report states; 1 without one."""
    if load is None or load.time_factor is None:
        return 1.0
    return min(MAX_TIME_FACTOR, max(MIN_TIME_FACTOR, load.time_factor))


def record_outcome(state: UpstreamState, failed: bool) -> None:
    """Adds the outcome of an attempt to the failure rate."""
    change = float(failed) - state.failure_rate
    state.failure_rate += FAILURE_WEIGHT * change


def _is_elsewhere(
    known: forwarding.Upstream, upstream: forwarding.Upstream
) -> bool:
    return (known.host, known.port) != (upstream.host, upstream.port)


def _get_group(upstream: forwarding.Upstream) -> tuple[str, str]:
    return upstream.service, upstream.data_centre
