"""Choice of the upstream for one attempt.

Answers uneven load: slow and failing upstreams, long prompts, shared prompt
parts with one hot key, cold upstreams and full ones. The choice is the lowest
expected time to the first byte, with the prompt tokens that have to be read
and what the upstream says of its load.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import random

from sycamorehollow.decisions.forwarding import cold_start_limiter
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import prefix_index
from sycamorehollow.model import forwarding

# Start of the estimate of reading speed, before answers correct it.
PREFILL_TOKENS_PER_S = 100_000.0
# Start of the estimate of the time to an answer.
IDLE_FIRST_BYTE_S = 0.05
# Weight of the newest answer in the estimates.
LATENCY_WEIGHT = 0.15
# Age in seconds at which what an upstream said of others' load counts half.
LOAD_HALF_LIFE_S = 1.5
# Age in seconds at which an estimate of a pace counts half, so that an
# upstream that was slow is tried again.
LATENCY_HALF_LIFE_S = 4.0
# Reading a shared part again also evicts another one.
CACHE_MISS_WEIGHT = 2.0
# Seconds that a way to another data centre is worth, and each byte on it.
CROSS_DATA_CENTRE_S = 0.004
CROSS_DATA_CENTRE_S_PER_BYTE = 5e-6
# Prompts are read one after the other, between the steps of running requests.
BACKLOG_WEIGHT = 0.8
# Share by which equally good upstreams are mixed.
JITTER = 0.1
# A failed answer costs a second attempt.
FAILURE_COST = 6.0
# Seconds that are lost when an upstream still cannot be reached, for each
# connection in a row that broke.
CONNECTION_FAILURE_S = 0.2
MAX_CONNECTION_FAILURES = 3
# Load above which the first choice for a prompt part is not waited for.
MAX_AFFINITY_LOAD = 0.75


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What an attempt needs.

    Attributes:
        body_bytes: Length of the request's body.
        model: Model that runs; empty for a plain service.
        versions: Versions that may run it; `None` for all.
        excluded: Upstreams that have had it already.
    """

    request: forwarding.Request
    service: forwarding.Service
    body_bytes: int = 0
    model: str = ""
    versions: Collection[str] | None = None
    excluded: Collection[str] = ()

    @property
    def queue_key(self) -> tuple[str, str, frozenset[str]]:
        """What it has in common with others for the same upstreams."""
        return (self.service.name, self.model, frozenset(self.versions or ()))


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen upstream, or why there is none.

    Attributes:
        state: `None` if no upstream may get the attempt now.
        reason: What decided, for the log.
        known: Upstreams that could serve it if they had room.
        free: Those of them that have room.
        expected_s: Expected time to the first byte in seconds.
    """

    state: directory.UpstreamState | None
    reason: str
    eligible: int
    available: int = 0
    expected_s: float = 0.0


class LatencyEstimator:
    """Estimates of the time to the first byte, per upstream and model."""

    def __init__(self) -> None:
        self._factors: dict[tuple[str, str], tuple[float, float]] = {}
        self._usual: dict[str, float] = {}

    def record(
        self, identity: str, model: str, tokens: int, took_s: float, now: float
    ) -> None:
        """An attempt that read `tokens` has sent its first byte."""
        factor = took_s / estimate_idle_first_byte_s(tokens)
        usual = self._usual.get(model, factor)
        self._usual[model] = usual + LATENCY_WEIGHT * (factor - usual)
        known = self._factors.get((identity, model), (usual, now))[0]
        # A stalled answer tells little about the next one.
        factor = min(factor, known * 4 + 1)
        new = known + LATENCY_WEIGHT * 2 * (factor - known)
        self._factors[identity, model] = (new, now)

    def estimate(
        self, identity: str, model: str, tokens: int, now: float
    ) -> float:
        """Returns the expected seconds to the first byte."""
        usual = self._usual.get(model, 1.0)
        factor, at = self._factors.get((identity, model), (usual, now))
        weight = 0.5 ** ((now - at) / LATENCY_HALF_LIFE_S)
        return estimate_idle_first_byte_s(tokens) * (
            usual + (factor - usual) * weight
        )

    def remove_upstream(self, identity: str) -> None:
        """An upstream is gone or has started again."""
        for key in [key for key in self._factors if key[0] == identity]:
            del self._factors[key]


class Placement:
    """Chooses upstreams.

    Args:
        data_centre: Data centre of this process.
        known: The upstreams.
        limits: Limits at cold upstreams.
        cache: What upstreams have read.
        source: Source of randomness.
    """

    def __init__(
        self,
        data_centre: str,
        upstreams: directory.Directory,
        limiter: cold_start_limiter.ColdStartLimiter,
        prefixes: prefix_index.PrefixIndex,
        rng: random.Random,
    ):
        self.latency = LatencyEstimator()
        self._data_centre = data_centre
        self._directory = upstreams
        self._limiter = limiter
        self._prefixes = prefixes
        self._rng = rng

    def choose(self, requirements: Requirements, now: float) -> Choice:
        """Returns the upstream with the lowest expected time."""
        candidates = self._list_candidates(requirements, now)
        if not candidates:
            return Choice(None, "no upstream is registered", 0)
        open_ones = [
            s for s in candidates if self._has_capacity(s, requirements, now)
        ]
        if not open_ones:
            return Choice(None, "all upstreams are full", len(candidates))
        # A blocked upstream may be back; it is better than none.
        sound = [s for s in open_ones if not s.is_backing_off(now)] or open_ones
        home = self._find_preferred(sound, requirements)
        costs: Mapping[str, float] = {
            state.upstream.identity: self._compute_cost(
                state, requirements, home, now
            )
            for state in sound
        }
        best = min(sound, key=lambda state: costs[state.upstream.identity])
        expected_s = costs[best.upstream.identity]
        return Choice(
            best,
            f"lowest of {len(sound)} at {expected_s * 1000:.0f} ms",
            len(candidates),
            len(open_ones),
            expected_s,
        )

    def estimate_occupancy(self, service: str, now: float) -> float:
        """Returns the mean share of a service's places that are taken."""
        usable = self._directory.list_usable(service, now)
        if not usable:
            return 1.0
        taken = sum(estimate_running(state, now) for state in usable)
        places = sum(max(1, state.upstream.slots) for state in usable)
        return taken / places

    def _list_candidates(
        self, requirements: Requirements, now: float
    ) -> list[directory.UpstreamState]:
        usable = self._directory.list_usable(requirements.service.name, now)
        found = []
        for state in usable:
            upstream = state.upstream
            if upstream.identity in requirements.excluded:
                continue
            if requirements.versions is not None:
                if upstream.version not in requirements.versions:
                    continue
            if requirements.model and upstream.models:
                if requirements.model not in upstream.models:
                    continue
            found.append(state)
        return found

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
        return self._limiter.can_send(state.upstream.identity, rate, now)

    def _find_preferred(
        self, states: list[directory.UpstreamState], requirements: Requirements
    ) -> str | None:
        """Returns the first choice for the shared part of the prompt."""
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
        identity = state.upstream.identity
        call = requirements.request
        kept = self._prefixes.count_cached_tokens(
            identity, requirements.model, call.prompt_parts, now
        )
        taken = estimate_running(state, now) / max(1, state.upstream.slots)
        if identity == preferred and taken < MAX_AFFINITY_LOAD:
            shared = sum(part.tokens for part in call.prompt_parts[:-1])
            kept = max(kept, shared)
        missing = max(0, call.prompt_tokens - kept)
        cost = self.latency.estimate(identity, requirements.model, missing, now)
        cost += CACHE_MISS_WEIGHT * missing / PREFILL_TOKENS_PER_S
        cost += BACKLOG_WEIGHT * state.backlog_s
        cost *= 1 + taken + 4 * max(0.0, taken - 0.8)
        cost *= 1 + FAILURE_COST * state.failure_rate
        cost *= 1 + JITTER * self._rng.random()
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
    """Returns how many requests are probably at an upstream."""
    if state.load is None:
        return float(state.running)
    others = state.load.running + state.load.waiting - state.running_at_load
    weight = 0.5 ** ((now - state.load_at) / LOAD_HALF_LIFE_S)
    return state.running + max(0, others) * weight


def estimate_idle_first_byte_s(tokens: int) -> float:
    """Returns the first guess of the time to the first byte in seconds."""
    return IDLE_FIRST_BYTE_S + tokens / PREFILL_TOKENS_PER_S
