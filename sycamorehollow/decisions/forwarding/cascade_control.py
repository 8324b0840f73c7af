"""Applies the model cascade to one request.

Collects the inputs of `cascade.decide`: load, delays and remaining attempts.
"""

from sycamorehollow.decisions.forwarding import candidates
from sycamorehollow.decisions.forwarding import cascade
from sycamorehollow.decisions.forwarding import latency_estimator
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Lower bound of the objective, which delays are divided by.
MIN_OBJECTIVE_S = 0.001


class CascadeController:
    """Decides about a larger model for one request.

    Args:
        router: State of the deployment.
        request: The request.
        route: Route of the request.
        service: Name of its service.
        upstreams: Candidates for its next attempt.
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
            attempt: The attempt that got a response.
            confidence: Confidence that the model reports, 0 to 100.
            elapsed_s: Seconds since the request arrived.
            possible_runs: Attempts that may have run.
            now: Monotonic time in seconds.
        """
        if not attempt.model or not self._route.models:
            return cascade.Decision("", "no choice of models")
        router = self._router
        objective_s = max(self._route.objective_s, MIN_OBJECTIVE_S)
        delay_s = elapsed_s - latency_estimator.estimate_idle_first_byte_s(
            self._request.prompt_tokens
        )
        delay = router.delays.record(
            self._service, max(0.0, delay_s) / objective_s, now
        )
        if not cascade.may_discard(self._route, attempt.model, confidence):
            # A choice of an upstream looks at all of them, and most responses
            # are kept whatever it finds.
            return cascade.Decision("", "kept under any load")
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
                delay,
                self._route.max_attempts - possible_runs,
                router.retry_budget.count_remaining(self._service, now),
                choice.keeps_slack,
            ),
        )
