"""Whether the answer of a small model is dropped for that of a larger one.

Gathers what `cascade` decides by: load, delays and what is left to the request.
"""

from sycamorehollow.decisions.forwarding import candidates
from sycamorehollow.decisions.forwarding import cascade
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Smallest objective in seconds that delays are compared with.
MIN_OBJECTIVE_S = 0.001


class CascadeController:
    """Decides for one request.

    Args:
        router: What the node knows.
        request: The request.
        route: Its route.
        service: Name of its service.
        upstreams: Where its next attempt may run.
    """

    def __init__(
        self,
        router: routers.Router,
        request: forwarding.Request,
        route: forwarding.Route,
        service: str,
        upstreams: candidates.Candidates,
    ):
        self._router = router
        self._request = request
        self._route = route
        self._service = service
        self._candidates = upstreams

    def decide(
        self,
        attempt: steps.Attempt,
        confidence: int | None,
        elapsed_s: float,
        possible_runs: int,
        now: float,
    ) -> cascade.Decision:
        """Returns the larger model to ask, or none.

        Args:
            attempt: The attempt that was answered.
            confidence: The model's opinion of its answer, 0 to 100.
            elapsed_s: Seconds since the request arrived.
            possible_runs: Attempts that may have run.
            now: Monotonic time in seconds.
        """
        if not attempt.model or not self._route.models:
            return cascade.Decision("", "no choice of models")
        router = self._router
        objective_s = max(self._route.objective_s, MIN_OBJECTIVE_S)
        delay_s = elapsed_s - placement.estimate_idle_first_byte_s(
            self._request.prompt_tokens
        )
        larger = cascade.choose_larger_model(self._route)
        choice = self._candidates.choose_for_model(larger, now)
        if choice.state is None:
            return cascade.Decision("", choice.reason)
        return cascade.decide(
            self._route,
            cascade.CascadeInputs(
                attempt.model,
                confidence,
                elapsed_s,
                choice.expected_s,
                router.placement.estimate_occupancy(self._service, now),
                router.delays.record(
                    self._service, max(0.0, delay_s) / objective_s, now
                ),
                self._route.max_attempts - possible_runs,
                router.retry_budget.count_remaining(self._service, now),
            ),
        )
