"""Records the start of an attempt with all that limits or predicts attempts."""

from sycamorehollow.decisions.forwarding import attempt_limits
from sycamorehollow.decisions.forwarding import candidates
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import part_guard
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding


class AttemptStarter:
    """Starts the attempts of one request.

    Args:
        router: State of the deployment.
        request: The request.
        route: Route of the request.
        service: Service selected for the request.
        upstreams: Candidates for its attempts.
        limits: Limits on its attempts.
        guard: Restricts prompts that may crash upstreams.
    """

    def __init__(
        self,
        router: routers.Router,
        request: forwarding.Request,
        route: forwarding.Route,
        service: forwarding.Service,
        upstreams: candidates.Candidates,
        limits: attempt_limits.AttemptLimits,
        guard: part_guard.PartGuard,
    ):
        self._router = router
        self._request = request
        self._route = route
        self._service = service
        self._candidates = upstreams
        self._limits = limits
        self._guard = guard

    def start(self, choice: placement.Choice, now: float) -> steps.Attempt:
        """Returns the attempt at the upstream that was chosen."""
        state = choice.state
        assert state is not None
        upstream = state.upstream
        model = self._candidates.model
        self._limits.record_sent(now)
        self._guard.record_sent(model, now)
        self._router.cold_start_limiter.record_sent(upstream.identity, now)
        limiter = self._router.rate_limiter
        limiter.record_sent(upstream.incarnation, now)
        prefixes = self._router.prefix_index
        parts = self._request.prompt_parts
        uncached = self._request.prompt_tokens - prefixes.count_cached_tokens(
            upstream.identity, model, parts, now
        )
        prefixes.record_prefill(upstream.identity, model, parts, now)
        self._candidates.record_sent(upstream)
        attempt = self._build_attempt(choice, state, uncached, now)
        self._router.placement.record_sent(
            attempt, self._route, self._service, self._candidates.due_at
        )
        share = self._candidates.get_assignment_share(upstream.version, now)
        attempt.observer = self._router.response_times.start_timer(
            self._service, self._route, attempt, share
        )
        return attempt

    def _build_attempt(
        self,
        choice: placement.Choice,
        state: directory.UpstreamState,
        uncached: int,
        now: float,
    ) -> steps.Attempt:
        """Returns the attempt and adds it to the backlog of its upstream."""
        upstream, model = state.upstream, self._candidates.model
        expected_s = self._router.placement.latency.estimate(
            upstream.identity, model, uncached, now
        )
        # The backlog is in usual time, since the speed will have changed.
        waiting_s = expected_s * max(1.0, state.estimate_time_factor(now))
        waiting_s += state.backlog_s
        state.backlog_s += expected_s
        limit = self._router.rate_limiter.get_limit(upstream.incarnation, now)
        return steps.Attempt(
            state,
            model,
            now,
            uncached,
            waiting_s,
            now,
            expected_s,
            passed_over=choice.passed_over,
            is_limited=limit is not None,
            is_isolated=self._guard.was_isolated,
            rule=choice.rule,
            choice=choice.reason,
            is_widened=choice.is_widened,
        )
