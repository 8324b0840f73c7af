"""State machine of one request: attempts, retries and the final response."""

import math

from sycamorehollow.decisions.forwarding import attempt_limits
from sycamorehollow.decisions.forwarding import attempt_starter
from sycamorehollow.decisions.forwarding import attempt_timeouts
from sycamorehollow.decisions.forwarding import candidates
from sycamorehollow.decisions.forwarding import capacity_wait
from sycamorehollow.decisions.forwarding import cascade
from sycamorehollow.decisions.forwarding import cascade_control
from sycamorehollow.decisions.forwarding import detour
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import failover
from sycamorehollow.decisions.forwarding import failure_evidence
from sycamorehollow.decisions.forwarding import part_guard
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import rejections
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding

# Delay before full upstreams are tried again.
FULL_RETRY_DELAY_S = 0.02
# Delay before a shortage is checked again while a response is incomplete.
SHORTAGE_RETRY_DELAY_S = 0.2
# Delay before a request that is held is checked again, and `Retry-After` if it
# was held in vain.
HOLD_RECHECK_S = 0.05
HOLD_RETRY_AFTER_S = 2.0
MIN_REMAINING_S = 0.01
STREAM_STATUS = 200
NO_BYTE_IN_TIME = "no byte in time"


class RequestLifecycle:
    """Decides the steps of one request, which the shell carries out.

    Args:
        router: State of the deployment.
        request: The request.
        route: Route of the request.
        service: Service selected for the request.
        fingerprint: Digest of its content.
        body_bytes: Length of its body.
        now: Monotonic time in seconds at which it arrived.
        workspace: Name of the owner of its key; empty for none.
        earlier_attempts: Attempts that may have run at the node that has sent
            it on; `None` if it came from a caller.

    Attributes:
        deadline: Monotonic time at which the final response is due.
        last_event_id: Latest event that the caller has received.
        failover: Conditions of one more attempt.
        detour: Attempts through other nodes.
    """

    def __init__(
        self,
        router: routers.Router,
        request: forwarding.Request,
        route: forwarding.Route,
        service: forwarding.Service,
        fingerprint: str,
        body_bytes: int,
        now: float,
        workspace: str = "",
        earlier_attempts: int | None = None,
    ):
        self.request = request
        self.route = route
        self.service = service
        self.arrived_at = now
        self.attempts: list[steps.Attempt] = []
        self.last_event_id = request.last_event_id
        self._router = router
        self._fingerprint = fingerprint
        left_s = route.timeout_s
        if request.deadline_s is not None:
            left_s = min(left_s, request.deadline_s)
        self.deadline = now + left_s
        self._limits = attempt_limits.AttemptLimits(
            route, service.name, router.retry_budget
        )
        self._limits.record_earlier(earlier_attempts or 0)
        self.guard = part_guard.PartGuard(
            router, request, service.name, workspace, now, self.deadline
        )
        self._candidates = candidates.Candidates(
            router,
            request,
            service,
            request.get_session_key(route),
            body_bytes,
            self.guard,
            now + route.objective_s if route.objective_s > 0 else math.inf,
        )
        self._cascade = cascade_control.CascadeController(
            router, request, route, service.name, self._candidates
        )
        self.failover = failover.Failover(
            router, self._limits, self._candidates, fingerprint, self.guard
        )
        self.detour = detour.Detour(
            router,
            service,
            self._limits,
            self.failover,
            is_allowed=earlier_attempts is None,
        )
        self._starter = attempt_starter.AttemptStarter(
            router,
            request,
            route,
            service,
            self._candidates,
            self._limits,
            self.guard,
        )
        self._response_discarded = False
        # Whether the accepted response is a success, which clears its prompt.
        self._may_clear = False
        if route.models and request.any_model:
            self._candidates.model = cascade.choose_first_model(route)
        self._capacity_wait = capacity_wait.CapacityWait(
            router, route, workspace, now
        )
        if not self.detour.is_needed:
            # Else the node that it goes through counts it.
            router.retry_budget.record_request(service.name, now)

    @property
    def max_idle_connections(self) -> int:
        """Number of idle connections that may be kept to an upstream."""
        return self._router.compute_max_idle_connections(self.service)

    @property
    def delivering(self) -> bool:
        """Whether the caller has received part of the response."""
        return self._candidates.delivering

    @delivering.setter
    def delivering(self, value: bool) -> None:
        self._candidates.delivering = value

    @property
    def _must_deliver(self) -> bool:
        """Whether a response was delivered in part or discarded by cascade."""
        return self.delivering or self._response_discarded

    def may_resend(self, now: float) -> bool:
        """Returns whether the attempt may be sent on another connection."""
        # A crash before the first byte looks like a connection that the
        # upstream had closed while it was idle.
        if self.guard.was_isolated:
            return False
        return not self.failover.find_quarantine(now)

    def choose_next_step(self, now: float) -> steps.Step:
        """Returns the next step while no attempt is open."""
        step = self._find_end(now) or self._choose_detour(now)
        if step is not None:
            return step
        return self._choose_direct_step(now)

    def _find_end(self, now: float) -> steps.Reject | None:
        """Returns the end of a request that nothing can be done for."""
        if self.deadline - now < MIN_REMAINING_S:
            return steps.Reject(self._build_failure("its time is over", now))
        limit = self.failover.find_permanent_limit(now)
        if limit:
            return steps.Reject(self._build_failure(limit, now))
        return None

    def _choose_detour(self, now: float) -> steps.Step | None:
        """Returns the step of an isolated node, if it differs."""
        step = self.detour.choose(self.deadline - now, self._must_deliver, now)
        if isinstance(step, steps.SendThrough):
            self.attempts.append(self.detour.start(step, now))
        if step is not None:
            self._capacity_wait.leave()
        return step

    def _choose_direct_step(self, now: float) -> steps.Step:
        """Returns the next step towards an upstream."""
        shortage = self._limits.find_temporary_limit(now)
        if shortage and self._must_deliver:
            self._limits.reset_failures()
            return steps.Wait(min(SHORTAGE_RETRY_DELAY_S, self.deadline - now))
        if shortage:
            return steps.Reject(self._build_failure(shortage, now))
        needs = self._candidates.build_requirements(now)
        choice = self.guard.choose(needs, now)
        if choice.state is not None and self._is_admitted(needs, choice, now):
            return self._send(choice, now)
        if choice.is_held:
            return self._hold(choice, now)
        if self._candidates.has_tried_upstreams and choice.state is None:
            # All were tried; a second try is better than a failure.
            self._candidates.clear_tried()
            if not self.delivering and not self._limits.possible_runs:
                return steps.Wait(FULL_RETRY_DELAY_S)
            return self.choose_next_step(now)
        if not choice.eligible and self._must_deliver:
            if self._response_discarded and not self.delivering:
                # No upstream serves the larger model any more.
                self._candidates.model = cascade.choose_first_model(self.route)
            return steps.Wait(min(SHORTAGE_RETRY_DELAY_S, self.deadline - now))
        return self._wait_or_reject(needs, choice, now)

    def _wait_or_reject(
        self,
        needs: placement.Requirements,
        choice: placement.Choice,
        now: float,
    ) -> steps.Step:
        """Returns the step of a request that may not be sent now."""
        wait = self._capacity_wait
        if choice.eligible and (
            self._must_deliver or wait.is_worthwhile(needs, choice, now)
        ):
            wait.enqueue(needs, choice, now)
            return steps.Wait(FULL_RETRY_DELAY_S)
        wait.leave()
        reason = choice.reason
        if choice.state is not None:
            reason = "others wait for the room that is left"
        retry_after_s = wait.compute_retry_after(needs, choice, now)
        return steps.Reject(self._build_failure(reason, now, retry_after_s))

    def _hold(self, choice: placement.Choice, now: float) -> steps.Step:
        """Waits for the only upstream that may get the request."""
        self._capacity_wait.leave()
        if self.guard.may_hold(now):
            return steps.Wait(min(HOLD_RECHECK_S, self.deadline - now))
        return steps.Reject(
            self._build_failure(choice.reason, now, HOLD_RETRY_AFTER_S)
        )

    def handle_timeout(self, now: float) -> steps.Step:
        """Fails over to another upstream, or waits on if there is none."""
        left_s = self.deadline - now
        limit = self._find_late_quarantine(now)
        if limit:
            # The upstream is not to blame, so its state stays what it is.
            self.attempts[-1].end(steps.EndCause.QUARANTINE, limit, now)
            return steps.Reject(self._build_failure(limit, now))
        if left_s < MIN_REMAINING_S:
            self._fail(steps.EndCause.DEADLINE, NO_BYTE_IN_TIME, now)
            return steps.Reject(self._build_failure("its time is over", now))
        attempt = self.attempts[-1]
        if attempt.node and self.detour.is_needed:
            return self._leave_silent_node(attempt, left_s, now)
        choice = self.failover.choose_reachable(attempt, left_s, now)
        if choice.state is None:
            attempt.keep_reason = choice.reason
            return steps.Wait(min(attempt_timeouts.RECHECK_S, left_s))
        self._fail(steps.EndCause.TIMEOUT, NO_BYTE_IN_TIME, now)
        return self._send(choice, now)

    def _leave_silent_node(
        self, attempt: steps.Attempt, left_s: float, now: float
    ) -> steps.Step:
        """Goes on through another node, or waits on if there is no way."""
        step = self.detour.choose_other(attempt, left_s, now)
        if step is None:
            # The node may go on and have a response.
            return steps.Wait(min(detour.RECHECK_S, left_s))
        self.attempts.append(self.detour.start(step, now))
        return step

    def _is_admitted(
        self,
        needs: placement.Requirements,
        choice: placement.Choice,
        now: float,
    ) -> bool:
        """Returns whether the request may use the available capacity."""
        if self._limits.possible_runs or self.delivering:
            # A request that was sent before has already waited its turn.
            self._capacity_wait.leave()
            return True
        return self._capacity_wait.try_admit(needs, choice.available, now)

    def compute_timeout(self, now: float) -> float:
        """Returns the seconds to wait for the next byte of the response."""
        left_s = max(0.0, self.deadline - now)
        attempt = self.attempts[-1]
        if attempt.node:
            return self.detour.compute_timeout(attempt, left_s, now)
        if not attempt.has_event:
            if self._find_late_quarantine(now):
                return 0.0
            left_s = min(left_s, self.guard.compute_recheck_s())
        if not self.failover.is_possible:
            return left_s
        timeout_s = attempt_timeouts.compute_timeout(
            self.route,
            attempt,
            self.delivering or attempt.response_accepted,
            self._limits.is_next_attempt_last,
            now,
        )
        return min(left_s, timeout_s)

    def _find_late_quarantine(self, now: float) -> str:
        """Returns why an attempt without an event must not go on."""
        if self.attempts[-1].has_event:
            return ""
        return self.failover.find_quarantine(now)

    def begin_probe_if_silent(self, now: float) -> bool:
        """Returns whether to probe the upstream, and records the probe."""
        attempt = self.attempts[-1]
        if attempt.node or not self.failover.is_possible:
            return False
        if not attempt_timeouts.needs_probe(attempt, now):
            return False
        attempt.state.probed_at = now
        return True

    def choose_reference(self, now: float) -> directory.UpstreamState | None:
        """Returns another upstream to probe, to detect an isolated node."""
        silent = self.attempts[-1].state
        return self._router.directory.choose_reference(
            silent, attempt_timeouts.PROBE_AFTER_S, now
        )

    def record_unreachable(self, isolated: bool, now: float) -> None:
        """Records a failed probe; `isolated` if another one failed as well."""
        attempt = self.attempts[-1]
        if isolated:
            attempt.isolated_at = now
            return
        directory.record_unreachable(attempt.state, now)

    def evaluate_head(
        self, head: forwarding.DecodedHead, now: float, was_resent: bool = False
    ) -> steps.Verdict:
        """Decides whether to deliver a response or to retry.

        Args:
            head: Head of the response.
            now: Monotonic time in seconds.
            was_resent: Whether it was sent before on a connection that broke.
        """
        attempt = self.attempts[-1]
        attempt.release_backlog()
        attempt.last_byte_at = now
        attempt.state.latest_served_sent_at = max(
            attempt.state.latest_served_sent_at, attempt.sent_at
        )
        failed = not head.not_run and (head.status >= 500 or head.encoded)
        directory.record_response(attempt.state, head, failed, now)
        self._router.record_statements(
            attempt.state, head, attempt.sent_at, now
        )
        if head.not_run:
            attempt.end_by_upstream(f"refused with {head.status}", now)
            self._limits.record_refusal(was_resent)
            return steps.Verdict.RETRY
        self._count_for_version(attempt, failed)
        self._router.placement.record_response(attempt, head, now)
        if self.delivering and head.status != STREAM_STATUS:
            # The caller already has the head of another response.
            self._candidates.no_failures = False
            attempt.end_by_upstream(f"did not resume, {head.status}", now)
            return steps.Verdict.RETRY
        if head.encoded or (head.status < 300 and not head.sealed):
            attempt.end_by_upstream("response encoded or not sealed", now)
            return steps.Verdict.RETRY
        if head.status >= 500:
            self._candidates.no_failures = False
            attempt.end_by_upstream(f"failed with {head.status}", now)
            left_s = self.deadline - now
            other = self.failover.choose(attempt, left_s, now).state
            if head.status == 503 or other is not None:
                return steps.Verdict.RETRY
            return steps.Verdict.DELIVER
        if self.delivering or not self._escalate(attempt, head.confidence, now):
            attempt.response_accepted = True
            self._may_clear = head.status < 300
            return steps.Verdict.DELIVER
        return steps.Verdict.RETRY

    def record_malformed_response(self) -> None:
        """Counts a response without a valid head against its version."""
        attempt = self.attempts[-1]
        # The version behind another node is not known, and a response whose
        # head was accepted has been counted.
        if attempt.node or attempt.response_accepted:
            return
        self._count_for_version(attempt, failed=True)

    def _count_for_version(self, attempt: steps.Attempt, failed: bool) -> None:
        """Counts a response of the version that an upstream runs."""
        upstream = attempt.state.upstream
        self._router.rollouts.record_response(
            self.service.name,
            upstream.version,
            failure_evidence.Origin(
                self.route.name, attempt.model, upstream.identity
            ),
            failed,
        )

    def record_connection_failure(
        self, reason: str, request_written: bool, now: float
    ) -> None:
        """Ends the attempt after its connection failed or broke.

        Args:
            reason: Description of the failure.
            request_written: Whether any byte of the request was written.
            now: Monotonic time in seconds.
        """
        attempt = self.attempts[-1]
        if attempt.node:
            self.detour.record_failure(attempt, reason, request_written, now)
            return
        if request_written:
            self._fail(steps.EndCause.UPSTREAM, reason, now)
            return
        attempt.end(steps.EndCause.UPSTREAM, reason, now)
        self._candidates.no_failures = False
        self._limits.record_connect_failure()
        directory.record_connection_failure(attempt.state, now)

    def _fail(self, cause: steps.EndCause, outcome: str, now: float) -> None:
        attempt = self.attempts[-1]
        attempt.end(cause, outcome, now)
        self._candidates.no_failures = False
        directory.record_outcome(attempt.state, True)
        if attempt.state.last_byte_at < attempt.sent_at:
            directory.record_connection_failure(attempt.state, now)

    def record_possible_crash(self, now: float) -> None:
        """Records that the upstream closed the connection during a request."""
        if self.attempts[-1].node or self.attempts[-1].state.is_draining:
            # Nothing is known of another node's upstream, and one that drains
            # closes its connections on purpose.
            return
        attempt = self.attempts[-1]
        key = "/".join(map(str, attempt.state.upstream.incarnation))
        self._router.quarantine.record_break(self._fingerprint, key, now)
        if not attempt.has_event:
            self.guard.record_break(attempt.model, key, attempt.sent_at, now)

    def record_bytes(self, now: float) -> None:
        """Records the arrival of more of the response."""
        attempt = self.attempts[-1]
        attempt.record_event(now)
        if not attempt.has_event and self._may_clear:
            self.guard.record_event(attempt.model, now)
        attempt.has_event = True

    def abort(self, cause: steps.EndCause, outcome: str, now: float) -> None:
        """Ends a request that gets no response, as when its caller left."""
        self._capacity_wait.leave()
        if not self.attempts:
            return
        if self.attempts[-1].end_cause is None:
            self.attempts[-1].end(cause, outcome, now)

    def record_delivered(self, now: float) -> None:
        """Records that the complete response has been delivered."""
        self.attempts[-1].end(steps.EndCause.UPSTREAM, steps.DELIVERED, now)
        self._router.quarantine.record_completion(self._fingerprint, now)

    def _send(self, choice: placement.Choice, now: float) -> steps.Send:
        attempt = self._starter.start(choice, now)
        self.attempts.append(attempt)
        left_s = self.deadline - now
        return steps.Send(attempt.state, attempt.model, left_s, choice.reason)

    def _escalate(
        self, attempt: steps.Attempt, confidence: int | None, now: float
    ) -> bool:
        """Returns whether a larger model is asked instead."""
        elapsed_s = now - self.arrived_at
        decision = self._cascade.decide(
            attempt, confidence, elapsed_s, self._limits.possible_runs, now
        )
        if not decision.model or self.failover.find_any_limit(now):
            return False
        outcome = f"discarded at confidence {confidence}, {decision.reason}"
        attempt.end(steps.EndCause.CASCADE, outcome, now)
        self._candidates.model = decision.model
        self._candidates.clear_tried()
        self._response_discarded = True
        return True

    def _build_failure(
        self, reason: str, now: float, retry_after_s: float | None = None
    ) -> failures.Failure:
        if retry_after_s is None:
            retry_after_s = self._capacity_wait.draw_retry_after()
        left_s = self.deadline - now
        return rejections.build_failure(
            reason,
            self._limits.possible_runs > 0,
            left_s < MIN_REMAINING_S,
            reason == failover.QUARANTINED
            or reason == self.failover.find_quarantine(now),
            retry_after_s,
        )
