"""Failover of one request to another upstream."""

from sycamorehollow.decisions.forwarding import attempt_limits
from sycamorehollow.decisions.forwarding import candidates
from sycamorehollow.decisions.forwarding import part_guard
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps

QUARANTINED = "requests like it have crashed upstreams"


class Failover:
    """Checks all conditions of one more attempt of a request.

    Args:
        router: State of the deployment.
        limits: Limits on the attempts of the request.
        upstreams: Candidates for the next attempt.
        fingerprint: Digest of the request's content.
        guard: Restricts prompts that may crash upstreams.

    Attributes:
        resumable: Whether another attempt could continue a response that was
            delivered in part; only streams can be continued.
    """

    def __init__(
        self,
        router: routers.Router,
        limits: attempt_limits.AttemptLimits,
        upstreams: candidates.Candidates,
        fingerprint: str,
        guard: part_guard.PartGuard,
    ):
        self.resumable = True
        self._router = router
        self._limits = limits
        self._candidates = upstreams
        self._fingerprint = fingerprint
        self._guard = guard

    @property
    def is_possible(self) -> bool:
        """Whether the response and the route allow one more attempt."""
        return self.resumable and not self._limits.find_permanent_limit()

    def find_permanent_limit(self, now: float) -> str:
        """Returns why no further attempt is ever allowed, or an empty text."""
        if not self.resumable:
            return "an answer that is no stream broke off midway"
        if self._router.quarantine.is_quarantined(self._fingerprint, now):
            return QUARANTINED
        limit = self.find_quarantine(now)
        if limit:
            return limit
        return self._limits.find_permanent_limit()

    def find_quarantine(self, now: float) -> str:
        """Returns why its prompt must not be run, or an empty text."""
        return self._guard.find_limit(self._candidates.model, now)

    def find_any_limit(self, now: float) -> str:
        """Returns why no further attempt is allowed now, or an empty text."""
        return self.find_permanent_limit(
            now
        ) or self._limits.find_temporary_limit(now)

    def choose(
        self, attempt: steps.Attempt, left_s: float, now: float
    ) -> placement.Choice:
        """Returns the upstream to fail over to, or why there is none.

        Args:
            attempt: The attempt that would end.
            left_s: Seconds to the deadline.
            now: Monotonic time in seconds.
        """
        limit = self.find_any_limit(now)
        if limit:
            return placement.Choice(None, limit, 0)
        current = attempt.state.upstream.identity
        choice = self._candidates.choose_alternative(current, now)
        if choice.expected_s >= left_s:
            return placement.Choice(None, "no other would be in time", 0)
        return choice

    def choose_reachable(
        self, attempt: steps.Attempt, left_s: float, now: float
    ) -> placement.Choice:
        """As `choose`, but rejects upstreams that are known to be unreachable.

        They are accepted if the current upstream is unreachable as well.
        """
        choice = self.choose(attempt, left_s, now)
        other = choice.state
        if other is None or attempt.state.is_unreachable():
            return choice
        if other.is_unreachable() or other.is_backing_off(now):
            return placement.Choice(None, "no other can be reached", 0)
        return choice
