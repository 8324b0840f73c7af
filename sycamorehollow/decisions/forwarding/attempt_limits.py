"""Limits on the attempts of one request.

Prevents retry storms. Attempts that may have run count against the limit of
the route. Attempts that were refused or reached no upstream do not, but have
limits of their own.
"""

from sycamorehollow.decisions.forwarding import retry_budget
from sycamorehollow.model import forwarding

# Attempts that upstreams may refuse without running them.
MAX_REFUSALS = 4
# Attempts that may fail to connect; each can take a whole connect timeout.
MAX_CONNECT_FAILURES = 8


class AttemptLimits:
    """Counts the attempts of one request.

    Args:
        route: Route of the request.
        service: Name of its service.
        budget: Retry budget.

    Attributes:
        possible_runs: Attempts that may have run.
    """

    def __init__(
        self,
        route: forwarding.Route,
        service: str,
        budget: retry_budget.RetryBudget,
    ):
        self.possible_runs = 0
        self._route = route
        self._service = service
        self._budget = budget
        self._sent = 0
        self._refusals = 0
        self._connect_failures = 0

    def record_sent(self, now: float) -> None:
        """Records that an attempt is sent."""
        if self._sent:
            self._budget.record_retry(self._service, now)
        self._sent += 1
        self.possible_runs += 1

    def record_earlier(self, attempts: int) -> None:
        """Records attempts at another node, which may have run."""
        self._sent += attempts
        self.possible_runs += attempts

    def record_refusal(self, was_resent: bool) -> None:
        """Records that the latest attempt was refused without running.

        Args:
            was_resent: Whether it was sent before on another connection that
                broke, in which case the first copy may have run.
        """
        self.possible_runs -= 0 if was_resent else 1
        self._refusals += 1

    def record_connect_failure(self) -> None:
        """Records that the latest attempt reached no upstream."""
        self.possible_runs -= 1
        self._connect_failures += 1
        if self._sent > 1:
            self._budget.refund_retry(self._service)

    @property
    def is_next_attempt_last(self) -> bool:
        """Whether the next attempt that may run would be the last one."""
        return self.possible_runs + 1 >= self._route.max_attempts

    def find_permanent_limit(self) -> str:
        """Returns why no further attempt is ever allowed, or an empty text."""
        if self.possible_runs and not self._route.is_retryable:
            return "it may have run"
        if (
            self.possible_runs
            and self.possible_runs >= self._route.max_attempts
        ):
            return "no attempt is left"
        return ""

    def find_temporary_limit(self, now: float) -> str:
        """Returns why no further attempt is allowed now, or an empty text."""
        if not self._sent:
            return ""
        if self._refusals > MAX_REFUSALS:
            return "upstreams refuse it"
        if self._connect_failures > MAX_CONNECT_FAILURES:
            return "upstreams cannot be reached"
        if not self._budget.can_retry(self._service, now):
            return "the budget of repeats is used up"
        return ""

    def reset_failures(self) -> None:
        """Resets the counts of refusals and failed connections."""
        self._refusals = 0
        self._connect_failures = 0
