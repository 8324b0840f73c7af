"""How long a request waits for capacity, and when it may come back."""

import math

from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import forwarding

# Share of the objective for which a request may wait for full upstreams.
MAX_QUEUE_SHARE = 0.4
# Time after which a full or missing upstream is usually back.
RETRY_AFTER_S = 0.5
# Longest `Retry-After`, as limits may end before the next permitted request.
MAX_RETRY_AFTER_S = 10.0


class CapacityWait:
    """The wait of one request.

    Args:
        router: State of the deployment.
        route: Route of the request.
        workspace: Name of the owner of its key; empty for none.
        now: Monotonic time in seconds at which it arrived.
    """

    def __init__(
        self,
        router: routers.Router,
        route: forwarding.Route,
        workspace: str,
        now: float,
    ):
        self._router = router
        self._queue = router.admission_queue
        self._end = now + route.objective_s * MAX_QUEUE_SHARE
        self._waiter = self._queue.create_waiter(route.priority, workspace, now)

    def try_admit(
        self, needs: placement.Requirements, available: int, now: float
    ) -> bool:
        """Returns whether the request is admitted, and queues it if not.

        Args:
            needs: Requirements of its next attempt.
            available: Number of upstreams that have capacity.
            now: Monotonic time in seconds.
        """
        return self._queue.try_admit(
            self._waiter, needs.queue_key, available, now
        )

    def enqueue(
        self,
        needs: placement.Requirements,
        choice: placement.Choice,
        now: float,
    ) -> None:
        """Queues the request, or renews its place, and asks for permits."""
        self.try_admit(needs, 0, now)
        if choice.limited:
            waiting = self._queue.count_waiting(needs.queue_key)
            self._router.permit_loans.ask(choice.limited, waiting, now)

    def is_worthwhile(
        self,
        needs: placement.Requirements,
        choice: placement.Choice,
        now: float,
    ) -> bool:
        """Returns whether the request may be served before its wait ends."""
        return now + self._estimate(needs, choice, now) < self._end

    def leave(self) -> None:
        """Removes the request from the queue."""
        self._queue.remove(self._waiter)

    def draw_retry_after(self) -> float:
        """Returns the seconds after which a caller may come back.

        Spread, so that rejected requests do not return at the same time.
        """
        return RETRY_AFTER_S * self._router.rng.uniform(0.5, 1.0)

    def compute_retry_after(
        self,
        needs: placement.Requirements,
        choice: placement.Choice,
        now: float,
    ) -> float:
        """As `draw_retry_after`, but considers why there is no upstream."""
        wait_s = self._estimate(needs, choice, now)
        if wait_s <= 0:
            return self.draw_retry_after()
        wait_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, wait_s))
        return wait_s * self._router.rng.uniform(1.0, 1.5)

    def _estimate(
        self,
        needs: placement.Requirements,
        choice: placement.Choice,
        now: float,
    ) -> float:
        """Returns the expected seconds until the request is sent.

        Infinite if this node may not send it and cannot ask for a permit.
        """
        pause_s = math.inf if choice.pause_s is None else choice.pause_s
        if not choice.limited:
            return 0.0 if choice.pause_s is None else pause_s
        limiter, loans = self._router.rate_limiter, self._router.permit_loans
        incarnations = [upstream.incarnation for upstream in choice.limited]
        loan_s = min(loans.compute_delay(key, now) for key in incarnations)
        ahead = self._queue.count_ahead(self._waiter, needs.queue_key, now)
        rate = sum(limiter.compute_own_rate(key, now) for key in incarnations)
        own_s = min(limiter.compute_own_delay(key, now) for key in incarnations)
        if ahead:
            own_s += ahead / rate if rate > 0 else math.inf
        return min(pause_s, loan_s, own_s)
