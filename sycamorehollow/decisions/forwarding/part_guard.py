"""Applies the quarantine of prompt parts to one request."""

import math

from sycamorehollow.decisions.forwarding import part_blame
from sycamorehollow.decisions.forwarding import part_quarantine
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import prompt_crashes
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import forwarding

# Time after a crash in which a suspected part waits for news: most suspects are
# cleared by responses elsewhere, and others may know of further crashes.
NEWS_WAIT_S = 0.5
# Longest time that an isolated part waits for its upstream, which is back some
# seconds after a crash.
MAX_HOLD_S = 5.0
# Share of its time that a request is held for at most: after it, too little is
# left for a response, or for the caller to go elsewhere.
MAX_HOLD_SHARE = 0.5
# Interval of the checks whether an attempt may go on, while parts are blamed
# and otherwise.
BLAMED_RECHECK_S = 0.25
RECHECK_S = 1.0
# End of the reason of a rejection.
HAS_CRASHED = "has crashed upstreams"


class PartGuard:
    """Restricts the attempts of a request whose prompt parts are suspected.

    Args:
        router: State of the deployment.
        request: The request.
        service: Name of its service.
        workspace: Owner of its key; empty for none.
        now: Monotonic time in seconds at which it arrived.
        deadline: Monotonic time at which its final response is due.

    Attributes:
        was_isolated: Whether a part was suspected when it was last sent.
    """

    def __init__(
        self,
        router: routers.Router,
        request: forwarding.Request,
        service: str,
        workspace: str,
        now: float,
        deadline: float,
    ):
        self._router = router
        self._quarantine = router.part_quarantine
        self._prompt = prompt_crashes.build_prompt(
            request, service, "", workspace
        )
        left_s = max(0.0, deadline - now)
        self._hold_until = now + min(MAX_HOLD_S, MAX_HOLD_SHARE * left_s)
        self.was_isolated = False
        self._is_trial = False

    def compute_recheck_s(self) -> float:
        """Returns the seconds after which a running attempt is checked again.

        Infinite if the request has no prompt parts that others may share.
        """
        if not self._prompt.parts:
            return math.inf
        if self._quarantine.has_blamed(self._prompt.service):
            return BLAMED_RECHECK_S
        return RECHECK_S

    def find_limit(self, model: str, now: float) -> str:
        """Returns why the request must not be sent, or an empty text."""
        verdict = self._find_verdict(model, now)
        if self._is_trial or not verdict.is_rejected:
            return ""
        return _describe(verdict)

    def choose(
        self, requirements: placement.Requirements, now: float
    ) -> placement.Choice:
        """Returns the upstream for the next attempt.

        The choice is held if the request has to wait for the upstream that
        suspected parts are sent to, or for news about its parts.
        """
        verdict = self._find_verdict(requirements.model, now)
        if verdict.level is part_blame.Level.NONE:
            return self._router.placement.choose(requirements, now)
        if verdict.is_rejected:
            return placement.Choice(None, _describe(verdict), 0)
        if verdict.level is part_blame.Level.ISOLATED:
            if not self._quarantine.may_send_isolated(
                self._prompt.service, now
            ):
                return placement.Choice(
                    None, placement.ISOLATED, 1, is_held=True
                )
        choice = self._router.placement.choose_isolated(requirements, now)
        if choice.state is not None or not choice.is_held:
            return choice
        if verdict.level is part_blame.Level.SUSPECTED:
            if now - verdict.last_crash_at >= NEWS_WAIT_S:
                return self._router.placement.choose(requirements, now)
        return choice

    def may_hold(self, now: float) -> bool:
        """Returns whether the request may be held any longer."""
        return now < self._hold_until

    def record_sent(self, model: str, now: float) -> None:
        """Records that the request is sent, which may be a trial."""
        verdict = self._find_verdict(model, now)
        self.was_isolated = verdict.level > part_blame.Level.NONE
        if verdict.level is part_blame.Level.ISOLATED:
            self._quarantine.record_isolated(self._prompt.service, now)
        if verdict.is_trial_due:
            self._is_trial = True
            self._quarantine.record_trial(verdict, now)

    def record_event(self, model: str, now: float) -> None:
        """Records the first event of a response."""
        self._quarantine.crash_log.record_event(self._build(model), now)

    def record_break(
        self, model: str, incarnation: str, sent_at: float, now: float
    ) -> None:
        """Records a connection that broke before the first event."""
        self._is_trial = False
        self._quarantine.crash_log.record_break(
            self._build(model), incarnation, sent_at, now
        )

    def _find_verdict(self, model: str, now: float) -> part_quarantine.Verdict:
        if not self._prompt.parts:
            return part_quarantine.NO_VERDICT
        return self._quarantine.find_verdict(self._build(model), now)

    def _build(self, model: str) -> prompt_crashes.Prompt:
        prompt = self._prompt
        return prompt_crashes.Prompt(
            prompt.service, model, prompt.workspace, prompt.parts
        )


def _describe(verdict: part_quarantine.Verdict) -> str:
    return f"its prompt part {verdict.part} {HAS_CRASHED}"
