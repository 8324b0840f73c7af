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


class Escalation:
    """Decides for one request.

    Args:
        router: What the node knows.
        call: The request.
        route: Its route.
        service: Name of its service.
        upstreams: Where its next attempt may run.
    """

    def __init__(
        self,
        router: routers.Router,
        call: forwarding.Request,
        route: forwarding.Route,
        service: str,
        upstreams: candidates.Candidates,
    ):
        self._router = router
        self._call = call
        self._route = route
        self._service = service
        self._candidates = upstreams

    def decide(
        self,
        attempt: steps.Attempt,
        confidence: int | None,
        elapsed_s: float,
        ran: int,
        now: float,
    ) -> cascade.Decision:
        """Returns the larger model to ask, or none.

        Args:
            attempt: The attempt that was answered.
            confidence: The model's opinion of its answer, 0 to 100.
            elapsed_s: Seconds since the request arrived.
            ran: Attempts that may have run.
            now: Monotonic time in seconds.
        """
        if not attempt.model or not self._route.models:
            return cascade.Decision("", "no choice of models")
        router = self._router
        objective_s = max(self._route.objective_s, MIN_OBJECTIVE_S)
        delay_s = elapsed_s - placement.expect(self._call.prompt_tokens)
        larger = cascade.choose_larger(self._route)
        choice = self._candidates.choose_larger(larger, now)
        if choice.state is None:
            return cascade.Decision("", choice.reason)
        return cascade.decide(
            self._route,
            cascade.Situation(
                attempt.model,
                confidence,
                elapsed_s,
                choice.expected_s,
                router.placement.estimate_occupancy(self._service, now),
                router.delays.note(
                    self._service, max(0.0, delay_s) / objective_s, now
                ),
                self._route.max_attempts - ran,
                router.budget.count_left(self._service, now),
            ),
        )
