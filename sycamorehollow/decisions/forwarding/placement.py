"""Selection of the upstream for one attempt.

Balances load over slow, failing, cold and full upstreams, long prompts and
shared prompt prefixes of which one may be hot. Selects the lowest expected time
to the first byte, which includes the uncached prompt tokens and the load that
the upstream reports.
"""

from collections.abc import Collection
import dataclasses
import math
import random

from sycamorehollow.decisions.forwarding import cold_start_limiter
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import latency_estimator
from sycamorehollow.decisions.forwarding import prefill_budget
from sycamorehollow.decisions.forwarding import prefix_index
from sycamorehollow.decisions.forwarding import rate_limiter
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Half-life of the load of other nodes that an upstream reports.
LOAD_HALF_LIFE_S = 1.5
# A cache miss costs double, since the prefill also evicts another prefix.
CACHE_MISS_WEIGHT = 2.0
# Cost of sending a request to another data centre, and of each of its bytes.
CROSS_DATA_CENTRE_S = 0.004
CROSS_DATA_CENTRE_S_PER_BYTE = 5e-6
# Weight of the backlog; prompts are processed one after the other, in between
# the steps of running requests.
BACKLOG_WEIGHT = 0.8
# Random increase of a cost, which spreads load over equally good upstreams.
JITTER = 0.1
# Weight of the failure rate; a failed attempt costs a retry.
FAILURE_COST = 6.0
# Cost of each consecutive connection failure: the time that is lost if the
# upstream is still unreachable.
CONNECTION_FAILURE_S = 0.2
MAX_CONNECTION_FAILURES = 3
# Weight of a limit that an upstream states, and the time in which it fades. A
# statement that is not renewed may have ended, which only a request shows.
LIMITED_WEIGHT = 1.0
LIMITED_FADE_S = 2.0
# Reasons if all upstreams want no request now.
FULL = "all upstreams are full"
LIMITED = "upstreams limit their requests"
PAUSED = "upstreams ask for a pause"
# Reason if a prompt may only be sent to an upstream that is not available.
ISOLATED = "a part of its prompt may have crashed upstreams"
# Load from which prefix affinity is ignored.
MAX_AFFINITY_LOAD = 0.75


@dataclasses.dataclass(frozen=True)
class Requirements:
    """Requirements of an attempt.

    Attributes:
        body_bytes: Length of the request's body.
        model: Requested model; empty for a plain service.
        versions: Allowed versions; `None` for all.
        excluded: Identities of upstreams that must not be selected.
        due_at: Monotonic time at which the first event or response is due.
    """

    request: forwarding.Request
    service: forwarding.Service
    body_bytes: int = 0
    model: str = ""
    versions: Collection[str] | None = None
    excluded: Collection[str] = ()
    due_at: float = math.inf

    @property
    def queue_key(self) -> tuple[str, str, frozenset[str]]:
        """Equal for all requests that can use the same upstreams."""
        return (self.service.name, self.model, frozenset(self.versions or ()))


@dataclasses.dataclass(frozen=True)
class Choice:
    """The selected upstream, or why there is none.

    Attributes:
        state: The upstream; `None` if none may get the attempt now.
        reason: Reason of the choice, for the log.
        eligible: Number of upstreams that meet the requirements.
        available: Number of those that have capacity.
        expected_s: Expected time to the first byte.
        passed_over: Number of upstreams that want no request now, by a limit
            or a pause.
        limited: If all want none, those that are limited and not paused.
        pause_s: If all want none, seconds until the first pause ends; `None`
            without a pause.
        is_held: Whether the attempt has to wait for one upstream although
            others could take it.
        rule: Rule of the choice, for the metrics; empty for the lowest cost.
        is_widened: Whether the upstreams that come first were not enough.
        keeps_slack: Whether the request is expected in time there and leaves
            those that run or wait there theirs; `False` if it is not known.
    """

    state: directory.UpstreamState | None
    reason: str
    eligible: int
    available: int = 0
    expected_s: float = 0.0
    passed_over: int = 0
    limited: tuple[forwarding.Upstream, ...] = ()
    pause_s: float | None = None
    is_held: bool = False
    rule: str = ""
    is_widened: bool = False
    keeps_slack: bool = False


class Placement:
    """Selects upstreams.

    Args:
        data_centre: Data centre of this process.
        upstreams: The upstreams.
        cold_limiter: Rate limits for cold upstreams.
        limiter: Rate limits that upstreams state.
        prefixes: Index of the prompt prefixes that upstreams have cached.
        rng: Random number generator.
    """

    def __init__(
        self,
        data_centre: str,
        upstreams: directory.Directory,
        cold_limiter: cold_start_limiter.ColdStartLimiter,
        limiter: rate_limiter.RateLimiter,
        prefixes: prefix_index.PrefixIndex,
        rng: random.Random,
    ):
        self.latency = latency_estimator.LatencyEstimator()
        self._data_centre = data_centre
        self._directory = upstreams
        self._cold_limiter = cold_limiter
        self._limiter = limiter
        self._prefixes = prefixes
        self._rng = rng

    def choose(self, requirements: Requirements, now: float) -> Choice:
        """Returns the upstream with the lowest expected time."""
        candidates = self._list_candidates(requirements, now)
        if not candidates:
            return Choice(None, "no upstream is registered", 0)
        allowed = [s for s in candidates if self.may_send(s, now)]
        if not allowed:
            return self._explain_delay(candidates, now)
        passed_over = len(candidates) - len(allowed)
        available = [
            s for s in allowed if self._has_capacity(s, requirements, now)
        ]
        if not available:
            return Choice(None, FULL, len(candidates), passed_over=passed_over)
        # An upstream in backoff may be back; it is better than none.
        reachable = [
            s for s in available if not s.is_backing_off(now)
        ] or available
        preferred = self._find_preferred(reachable, requirements)
        costs = [
            self._compute_cost(state, requirements, preferred, now)
            for state in reachable
        ]
        expected_s = min(costs)
        best = reachable[costs.index(expected_s)]
        return Choice(
            best,
            f"lowest of {len(reachable)} at {expected_s * 1000:.0f} ms",
            len(candidates),
            len(available),
            expected_s,
            passed_over,
        )

    def choose_isolated(self, requirements: Requirements, now: float) -> Choice:
        """Returns the one upstream for prompts that may crash upstreams.

        All nodes compute the same one, as long as they know the same upstreams.
        """
        all_requirements = dataclasses.replace(requirements, excluded=())
        candidates = self._list_candidates(all_requirements, now)
        if not candidates:
            return Choice(None, "no upstream is registered", 0)
        by_name = {state.upstream.identity: state for state in candidates}
        name = prefix_index.rank_by_hash(
            list(by_name), "", requirements.service.name
        )[0]
        state = by_name[name]
        if (
            name in requirements.excluded
            or state.is_backing_off(now)
            or not self.may_send(state, now)
            or not self._has_capacity(state, requirements, now)
        ):
            return Choice(None, ISOLATED, 1, is_held=True)
        cost = self._compute_cost(state, requirements, None, now)
        return Choice(state, "isolated", 1, 1, cost)

    def record_sent(
        self,
        attempt: steps.Attempt,
        route: forwarding.Route,
        service: forwarding.Service,
        due_at: float,
    ) -> None:
        """Records an attempt that is about to be sent.

        Args:
            attempt: The attempt.
            route: Route of the request.
            service: Service of its upstream.
            due_at: Monotonic time in seconds at which the first event is due.
        """

    def record_response(
        self, attempt: steps.Attempt, head: forwarding.DecodedHead, now: float
    ) -> None:
        """Records the time to the first byte of a response."""
        took_s = now - attempt.sent_at
        self.latency.record(
            attempt.state.upstream.identity,
            attempt.model,
            attempt.uncached_tokens,
            took_s / directory.get_time_factor(head.load),
            now,
        )

    def remove_upstream(self, identity: str) -> None:
        """Drops what is known of an upstream that is gone or restarted."""
        self.latency.remove_upstream(identity)

    def may_send(self, state: directory.UpstreamState, now: float) -> bool:
        """Returns whether the upstream wants a request of this node now."""
        if state.is_draining or now < state.paused_until:
            return False
        return self._limiter.compute_delay(state.upstream.incarnation, now) <= 0

    def estimate_occupancy(self, service: str, now: float) -> float:
        """Returns the share of a service's slots that are in use.

        The slots of upstreams that limit their requests do not count.
        """
        usable = [
            state
            for state in self._directory.list_usable(service, now)
            if self._limiter.get_limit(state.upstream.incarnation, now) is None
        ]
        if not usable:
            return 1.0
        running = sum(estimate_running(state, now) for state in usable)
        slots = sum(max(1, state.upstream.slots) for state in usable)
        return running / slots

    def _list_candidates(
        self, requirements: Requirements, now: float
    ) -> list[directory.UpstreamState]:
        usable = self._directory.list_usable(requirements.service.name, now)
        return [s for s in usable if is_suitable(s.upstream, requirements)]

    def _has_capacity(
        self,
        state: directory.UpstreamState,
        requirements: Requirements,
        now: float,
    ) -> bool:
        if state.is_full(now):
            return False
        rate = requirements.service.cold_requests_per_s
        if rate <= 0 or not state.is_cold(now):
            return True
        return self._cold_limiter.can_send(state.upstream.identity, rate, now)

    def _explain_delay(
        self, candidates: list[directory.UpstreamState], now: float
    ) -> Choice:
        """Returns why no upstream wants a request of this node now."""
        limited = tuple(
            state.upstream for state in candidates if now >= state.paused_until
        )
        pauses_s = [s.paused_until - now for s in candidates]
        return Choice(
            None,
            LIMITED if limited else PAUSED,
            len(candidates),
            passed_over=len(candidates),
            limited=limited,
            pause_s=min((p for p in pauses_s if p > 0), default=None),
        )

    def _find_preferred(
        self, states: list[directory.UpstreamState], requirements: Requirements
    ) -> str | None:
        """Returns the preferred upstream for the shared prompt prefix."""
        parts = requirements.request.prompt_parts
        if len(parts) < 2:
            return None
        near = [
            state
            for state in states
            if state.upstream.data_centre == self._data_centre
        ]
        names = [state.upstream.identity for state in near or states]
        return prefix_index.rank_by_hash(
            names, requirements.model, parts[-2].identity
        )[0]

    def _compute_cost(
        self,
        state: directory.UpstreamState,
        requirements: Requirements,
        preferred: str | None,
        now: float,
    ) -> float:
        """Returns the expected cost of an attempt in seconds."""
        load = estimate_running(state, now) / max(1, state.upstream.slots)
        uncached = self._count_uncached(
            state, requirements, preferred, load, now
        )
        identity = state.upstream.identity
        cost = self.latency.estimate(
            identity, requirements.model, uncached, now
        )
        miss_s = uncached / prefill_budget.PREFILL_TOKENS_PER_S
        cost += CACHE_MISS_WEIGHT * miss_s
        cost += BACKLOG_WEIGHT * state.backlog_s
        cost *= state.estimate_time_factor(now)
        cost *= 1 + load + 4 * max(0.0, load - 0.8)
        return self._add_penalties(cost, state, requirements, now)

    def _count_uncached(
        self,
        state: directory.UpstreamState,
        requirements: Requirements,
        preferred: str | None,
        load: float,
        now: float,
    ) -> int:
        """Returns the prompt tokens that an upstream has to process."""
        identity = state.upstream.identity
        request = requirements.request
        cached = self._prefixes.count_cached_tokens(
            identity, requirements.model, request.prompt_parts, now
        )
        if identity == preferred and load < MAX_AFFINITY_LOAD:
            shared = sum(part.tokens for part in request.prompt_parts[:-1])
            cached = max(cached, shared)
        return max(0, request.prompt_tokens - cached)

    def _add_penalties(
        self,
        cost: float,
        state: directory.UpstreamState,
        requirements: Requirements,
        now: float,
        jitter: float = JITTER,
    ) -> float:
        """Adds the costs of failures, limits and distance, and a random one."""
        cost *= 1 + FAILURE_COST * state.failure_rate
        cost *= 1 + jitter * self._rng.random()
        age_s = self._limiter.compute_statement_age(
            state.upstream.incarnation, now
        )
        cost *= 1 + LIMITED_WEIGHT * max(0.0, 1 - age_s / LIMITED_FADE_S)
        cost += CONNECTION_FAILURE_S * min(
            state.connection_failures, MAX_CONNECTION_FAILURES
        )
        if state.upstream.data_centre != self._data_centre:
            cost += (
                CROSS_DATA_CENTRE_S
                + CROSS_DATA_CENTRE_S_PER_BYTE * requirements.body_bytes
            )
        return cost


def estimate_running(state: directory.UpstreamState, now: float) -> float:
    """Returns the estimated number of requests at an upstream."""
    if state.load is None:
        return float(state.running)
    others = state.load.running + state.load.waiting - state.running_at_load
    weight = 0.5 ** ((now - state.load_at) / LOAD_HALF_LIFE_S)
    return state.running + max(0, others) * weight


def is_suitable(
    upstream: forwarding.Upstream, requirements: Requirements
) -> bool:
    """Returns whether an upstream meets the requirements of an attempt."""
    if upstream.identity in requirements.excluded:
        return False
    if requirements.versions is not None:
        if upstream.version not in requirements.versions:
            return False
    if requirements.model and upstream.models:
        return requirements.model in upstream.models
    return True
