"""Selection among upstreams whose load and speed change faster than reports.

Used for services of engines and for upstreams that state their speed. All other
services keep the choice of `placement`.
"""

import random

from sycamorehollow.decisions.forwarding import cold_start_limiter
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import prefill_budget
from sycamorehollow.decisions.forwarding import prefix_index
from sycamorehollow.decisions.forwarding import rate_limiter
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Cost of each second of prefill beyond what the requests at an upstream
# tolerate, and of each second by which the first event would be late.
EXCESS_WEIGHT = 4.0
# Cost of a prefill for the requests that run beside it, at a full upstream. It
# leads long prompts to where few others run.
INTERFERENCE_WEIGHT = 2.0
# Load from which waiting for a slot becomes likely, and its weight.
BUSY_LOAD = 0.8
BUSY_WEIGHT = 4.0


class EnginePlacement(placement.Placement):
    """Selects upstreams by the prefill that is outstanding at them.

    Args: see `placement.Placement`.
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
        super().__init__(
            data_centre, upstreams, cold_limiter, limiter, prefixes, rng
        )
        self.budget = prefill_budget.PrefillBudget()
        self._services_with_speed: set[str] = set()

    def is_enabled(self, service: forwarding.Service) -> bool:
        """Returns whether this choice is used for a service."""
        return (
            service.engine is not None
            or service.name in self._services_with_speed
        )

    def record_sent(
        self,
        attempt: steps.Attempt,
        route: forwarding.Route,
        service: forwarding.Service,
        due_at: float,
    ) -> None:
        """Adds an attempt to the outstanding prefill of its upstream."""
        if not self.is_enabled(service):
            return
        attempt.prompt = self.budget.record_sent(
            attempt.state,
            attempt.model,
            attempt.uncached_tokens,
            due_at,
            route.max_event_gap_s,
        )

    def record_response(
        self, attempt: steps.Attempt, head: forwarding.DecodedHead, now: float
    ) -> None:
        """Records the time to the first byte and the load of the upstream."""
        super().record_response(attempt, head, now)
        if head.load is not None and head.load.time_factor is not None:
            self._services_with_speed.add(attempt.state.upstream.service)
        if attempt.prompt is not None:
            took_s = now - attempt.sent_at
            self.budget.record_response(
                attempt.state,
                attempt.model,
                attempt.uncached_tokens,
                took_s / directory.get_time_factor(head.load),
            )

    def remove_upstream(self, identity: str) -> None:
        """Drops what is known of an upstream that is gone or restarted."""
        super().remove_upstream(identity)
        self.budget.remove_upstream(identity)

    def _compute_cost(
        self,
        state: directory.UpstreamState,
        requirements: placement.Requirements,
        preferred: str | None,
        now: float,
    ) -> float:
        """Returns the expected cost of an attempt in seconds."""
        if not self.is_enabled(requirements.service):
            return super()._compute_cost(state, requirements, preferred, now)
        budget, model = self.budget, requirements.model
        others = budget.estimate_others(state, now)
        load = (state.running + others) / max(1, state.upstream.slots)
        uncached = self._count_uncached(
            state, requirements, preferred, load, now
        )
        factor = state.estimate_time_factor(now)
        own_s = budget.estimate_prefill_s(model, uncached) * factor
        ahead_s = budget.estimate_outstanding_s(state, others) * factor
        expected_s = ahead_s + factor * self.latency.estimate(
            state.upstream.identity, model, uncached, now
        )
        expected_s *= 1 + load + BUSY_WEIGHT * max(0.0, load - BUSY_LOAD)
        # The slack of others matters only where there are others.
        slack_s = budget.compute_slack_s(state, ahead_s, now)
        excess_s = max(0.0, own_s - slack_s) if load > 0 else 0.0
        excess_s += max(0.0, now + expected_s - requirements.due_at)
        cost = (
            expected_s
            + EXCESS_WEIGHT * excess_s
            + INTERFERENCE_WEIGHT * own_s * min(1.0, load)
        )
        return self._add_penalties(cost, state, requirements, now)
