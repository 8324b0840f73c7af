"""What one request may still try.

Answers storms of repeats: an attempt that ran counts against the route, one
that was refused or reached nobody does not, and both are bounded.
"""

from sycamorehollow.decisions.forwarding import retry_budget
from sycamorehollow.model import forwarding

# Attempts in a row that upstreams may refuse without running them.
MAX_REFUSALS = 4
# Attempts that may reach no upstream; each can take a connect timeout.
MAX_UNREACHED = 8


class AttemptLimits:
    """Counts the attempts of one request.

    Args:
        route: Its route.
        service: Name of its service.
        budget: Budget of repeats.

    Attributes:
        ran: Attempts that may have run.
    """

    def __init__(
        self,
        route: forwarding.Route,
        service: str,
        budget: retry_budget.RetryBudget,
    ):
        self.ran = 0
        self._route = route
        self._service = service
        self._budget = budget
        self._sent = 0
        self._refused = 0
        self._unreached = 0

    def note_sent(self, now: float) -> None:
        """An attempt is sent."""
        if self._sent:
            self._budget.note_repeat(self._service, now)
        self._sent += 1
        self.ran += 1

    def note_refused(self, sent_twice: bool) -> None:
        """The latest attempt was refused without running.

        Args:
            sent_twice: Whether it was sent on another connection before, which
                broke: then it may have run all the same.
        """
        self.ran -= 0 if sent_twice else 1
        self._refused += 1

    def note_unreached(self) -> None:
        """The latest attempt reached no upstream."""
        self.ran -= 1
        self._unreached += 1
        if self._sent > 1:
            self._budget.note_unsent(self._service)

    @property
    def is_last_next(self) -> bool:
        """Whether one more attempt that may run would be the last one."""
        return self.ran + 1 >= self._route.max_attempts

    def find_limit(self) -> str:
        """Returns the rule that forbids any other attempt, if there is one."""
        if self.ran and not self._route.is_retryable:
            return "it may have run"
        if self.ran and self.ran >= self._route.max_attempts:
            return "no attempt is left"
        return ""

    def find_shortage(self, now: float) -> str:
        """Returns what forbids another attempt for a while, if anything."""
        if not self._sent:
            return ""
        if self._refused > MAX_REFUSALS:
            return "upstreams refuse it"
        if self._unreached > MAX_UNREACHED:
            return "upstreams cannot be reached"
        if not self._budget.may_repeat(self._service, now):
            return "the budget of repeats is used up"
        return ""

    def forgive(self) -> None:
        """Counts refusals and failed connections anew, after a pause."""
        self._refused = 0
        self._unreached = 0
