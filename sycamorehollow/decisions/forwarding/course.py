"""The course of one request: attempts, repeats and its final answer."""

import functools

from sycamorehollow.decisions.forwarding import answer_times
from sycamorehollow.decisions.forwarding import attempt_limits
from sycamorehollow.decisions.forwarding import cascade
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import patience
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding

# Wait before full upstreams are tried again, and the part of the objective
# that may be spent on that.
FULL_PAUSE_S = 0.02
WAIT_SHARE = 0.4
# Time in which a full or missing upstream is usually back.
BACK_S = 0.5
MIN_LEFT_S = 0.01
STREAM_STATUS = 200


class Course:
    """Decides about one request; the shell carries its steps out.

    Args:
        router: What the node knows.
        call: The request.
        route: Its route.
        service: The service that was drawn for it.
        fingerprint: Identifies its content.
        body_bytes: Length of its body.
        now: Monotonic time in seconds at which it arrived.
        workspace: Name of the owner of its key; empty for none.

    Attributes:
        deadline: Monotonic time at which its final answer is due.
        attempts: What was tried.
        delivering: Whether the caller has received a part of the answer.
        last_event: Last event that the caller has.
        resumable: Whether another attempt could go on with the answer of which
            the caller has a part; only streams can.
    """

    def __init__(
        self,
        router: routers.Router,
        call: forwarding.Call,
        route: forwarding.Route,
        service: forwarding.Service,
        fingerprint: str,
        body_bytes: int,
        now: float,
        workspace: str = "",
    ):
        self.call = call
        self.route = route
        self.service = service
        self.arrived = now
        self.attempts: list[steps.Attempt] = []
        self.delivering = False
        self.last_event = call.last_event
        self.resumable = True
        self._router = router
        self._fingerprint = fingerprint
        self._body_bytes = body_bytes
        left_s = route.timeout_s
        if call.deadline_s is not None:
            left_s = min(left_s, call.deadline_s)
        self.deadline = now + left_s
        self._limits = attempt_limits.AttemptLimits(
            route, service.name, router.budget
        )
        self._excluded: set[str] = set()
        self._watch: answer_times.Watch | None = None
        self._version = ""
        # Whether no attempt has failed; a dropped answer is no failure.
        self._sound = True
        self._next_model = ""
        if route.models and call.open_model:
            self._next_model = cascade.choose_first(route)
        self._ticket = router.turns.issue(route.priority, workspace, now)
        router.budget.note_fresh(service.name, now)

    @property
    def session(self) -> str:
        """Key that ties the request to others; empty for none."""
        if self.call.session:
            return self.call.session
        if self.route.sticky and self.call.prompt_parts:
            return self.call.prompt_parts[-1].identity
        return self.call.request_id

    @property
    def kept_connections(self) -> int:
        """Idle connections that may be kept to an upstream."""
        return self._router.compute_kept_connections(self.service)

    def find_step(self, now: float) -> steps.Step:
        """Returns what to do next."""
        self._end_watch()
        if self.deadline - now < MIN_LEFT_S:
            return steps.Refuse(self._build_failure("its time is over", now))
        if not self.resumable:
            reason = "an answer that is no stream broke off midway"
            return steps.Refuse(self._build_failure(reason, now))
        if self._router.poison.is_refused(self._fingerprint, now):
            return steps.Refuse(
                steps.UpstreamBroke("requests like it have crashed upstreams")
            )
        fault = self._limits.find_limit(now)
        if fault:
            return steps.Refuse(self._build_failure(fault, now))
        work = self._build_work(
            self._next_model, now, frozenset(self._excluded)
        )
        choice = self._router.placement.choose(work, now)
        if choice.state is not None and self._takes_turn(
            work, choice.free, now
        ):
            return self._send(choice, now)
        if self._excluded and choice.state is None:
            # Each has had it once; a second time is better than a failure.
            self._excluded.clear()
            if not self.delivering and not self._limits.ran:
                return steps.Wait(FULL_PAUSE_S)
            return self.find_step(now)
        waited_s = now - self.arrived
        may_wait = waited_s < self.route.objective_s * WAIT_SHARE
        if choice.known and (may_wait or self.delivering):
            self._router.turns.take(self._ticket, work.place, 0, now)
            return steps.Wait(FULL_PAUSE_S)
        self._router.turns.leave(self._ticket)
        reason = choice.reason
        if choice.state is not None:
            reason = "others wait for the room that is left"
        return steps.Refuse(self._build_failure(reason, now))

    def _takes_turn(self, work: placement.Work, free: int, now: float) -> bool:
        """Tells whether the request may have the room that is free."""
        if self._limits.ran or self.delivering:
            # Its caller, or an answer that was dropped, has waited already.
            self._router.turns.leave(self._ticket)
            return True
        place = work.place
        return self._router.turns.take(self._ticket, place, free, now)

    def _may_run_elsewhere(self, now: float) -> bool:
        return self.resumable and self._limits.may_run_elsewhere(now)

    def compute_patience(self, now: float) -> float:
        """Returns the seconds to wait for the answer's next byte."""
        left_s = max(0.0, self.deadline - now)
        if not self._may_run_elsewhere(now):
            return left_s
        attempt = self.attempts[-1]
        if self.delivering and self.route.pause_s > 0:
            patience_s = patience.measure_stream(self.route, attempt, now)
        else:
            patience_s = patience.measure_start(self.route, attempt, now)
        return min(left_s, patience_s)

    def wants_probe(self, now: float) -> bool:
        """Tells whether to check that the silent upstream can be reached."""
        if not self._may_run_elsewhere(now):
            return False
        attempt = self.attempts[-1]
        if not patience.is_silent(attempt, now):
            return False
        attempt.state.probed_at = now
        return True

    def choose_witness(self, now: float) -> directory.State | None:
        """Returns another upstream that tells whether this node is cut off.

        `None` if one was heard while the silent one could not be reached, or
        there is no other.
        """
        silent = self.attempts[-1].state
        others = [
            state
            for state in self._router.directory.list_all()
            if state is not silent and state.gone_at is None
        ]
        if not others:
            return None
        latest = max(others, key=lambda state: state.heard_at)
        return latest if now - latest.heard_at >= patience.PROBE_S else None

    def note_unreachable(self, cut_off: bool, now: float) -> None:
        """The silent upstream could not be reached.

        Args:
            cut_off: Whether another one could not be reached either.
            now: Monotonic time in seconds.
        """
        attempt = self.attempts[-1]
        if cut_off:
            attempt.cut_off_at = now
            return
        attempt.state.dark_at = now
        directory.note_broken(attempt.state, now)

    def judge_head(
        self, head: forwarding.AnswerHead, now: float
    ) -> steps.Verdict:
        """Decides whether an answer is passed on."""
        attempt = self.attempts[-1]
        self._end_reading(attempt)
        attempt.heard_at = now
        ended = functools.partial(attempt.end, steps.Ender.UPSTREAM)
        attempt.state.passed_at = max(attempt.state.passed_at, attempt.sent_at)
        failed = not head.not_run and (head.status >= 500 or head.encoded)
        directory.note_answer(attempt.state, head, failed, now)
        if head.not_run:
            ended(f"refused with {head.status}", now)
            self._limits.note_refused()
            return steps.Verdict.AGAIN
        upstream = attempt.state.upstream
        self._router.rollouts.note_answer(
            self.service.name, upstream.version, failed
        )
        self._note_pace(attempt, now)
        if self.delivering and head.status != STREAM_STATUS:
            # The caller has the head of another answer already.
            self._sound = False
            ended(f"did not go on, {head.status}", now)
            return steps.Verdict.AGAIN
        if head.encoded or (head.status < 300 and not head.sealed):
            ended("not the upstream's answer", now)
            return steps.Verdict.AGAIN
        if head.status >= 500:
            self._sound = False
            ended(f"failed with {head.status}", now)
            if head.status == 503 or self._may_run_elsewhere(now):
                return steps.Verdict.AGAIN
            return steps.Verdict.DELIVER
        if self.delivering or not self._escalate(attempt, head, now):
            attempt.outcome = "delivering"
            return steps.Verdict.DELIVER
        return steps.Verdict.AGAIN

    def note_broken(self, reason: str, written: bool, now: float) -> None:
        """The attempt's connection could not be made or broke.

        Args:
            reason: What happened.
            written: Whether any byte of the request was written.
            now: Monotonic time in seconds.
        """
        attempt = self.attempts[-1]
        attempt.end(steps.Ender.UPSTREAM, reason, now)
        if not written:
            self._end_reading(attempt)
            self._sound = False
            self._limits.note_unreached()
            directory.note_broken(attempt.state, now)
            return
        self._note_failed(attempt, now)

    def note_given_up(self, now: float) -> None:
        """The attempt was ended here because its upstream was silent."""
        attempt = self.attempts[-1]
        ender = steps.Ender.PATIENCE
        if self.deadline - now < MIN_LEFT_S:
            ender = steps.Ender.DEADLINE
        attempt.end(ender, "no byte in time", now)
        self._note_failed(attempt, now)

    def _note_failed(self, attempt: steps.Attempt, now: float) -> None:
        self._end_reading(attempt)
        self._sound = False
        directory.note_outcome(attempt.state, True)
        if attempt.state.heard_at < attempt.sent_at:
            directory.note_broken(attempt.state, now)

    def note_crash(self, now: float) -> None:
        """The upstream broke the connection while it ran the request."""
        run = "/".join(map(str, self.attempts[-1].state.upstream.run))
        self._router.poison.note_break(self._fingerprint, run, now)

    def note_bytes(self, now: float) -> None:
        """More of the answer has arrived."""
        attempt = self.attempts[-1]
        if self._watch is not None:
            self._watch.note_event(now)
        attempt.heard_at = now
        attempt.state.heard_at = now

    def note_stopped(
        self, ender: steps.Ender, outcome: str, now: float
    ) -> None:
        """The request ended without an answer of an upstream or of our own."""
        self._router.turns.leave(self._ticket)
        if not self.attempts:
            return
        attempt = self.attempts[-1]
        self._end_reading(attempt)
        if attempt.ended_by is None:
            attempt.end(ender, outcome, now)
        self._end_watch()

    def note_end(self, now: float) -> None:
        """The answer has been delivered whole."""
        self.attempts[-1].end(steps.Ender.UPSTREAM, steps.DELIVERED, now)
        self._end_watch()
        self._router.poison.note_success(self._fingerprint, now)

    def _build_work(
        self, model: str, now: float, excluded: frozenset[str] = frozenset()
    ) -> placement.Work:
        return placement.Work(
            self.call,
            self.service,
            self._body_bytes,
            model,
            self._choose_versions(now),
            excluded,
        )

    def _choose_versions(self, now: float) -> set[str] | None:
        router = self._router
        allowed = router.choose_versions(
            self.service.name, self.session, self._sound, now
        )
        if not self.delivering or allowed is None:
            return allowed
        # The rest of an answer comes from the version that began it, unless
        # that is stopped, looks slow or has no upstream left.
        usable = {
            state.upstream.version
            for state in router.directory.list_usable(self.service.name, now)
        }
        name = self.service.name
        if (
            self._version not in usable
            or router.rollouts.is_stopped(name, self._version)
            or router.rollouts.is_suspected(name, self._version)
        ):
            return allowed
        return {self._version}

    def _send(self, choice: placement.Choice, now: float) -> steps.Send:
        state = choice.state
        assert state is not None
        upstream = state.upstream
        self._limits.note_sent(now)
        self._router.limits.note_sent(upstream.identity, now)
        missing = self.call.prompt_tokens - self._router.cache.count_kept(
            upstream.identity, self._next_model, self.call.prompt_parts, now
        )
        self._router.cache.note_read(
            upstream.identity, self._next_model, self.call.prompt_parts, now
        )
        self._excluded.add(upstream.identity)
        self._version = upstream.version
        expected_s = self._router.placement.pace.estimate(
            upstream.identity, self._next_model, missing, now
        )
        waiting_s = expected_s + state.reading_s
        state.reading_s += expected_s
        self.attempts.append(
            steps.Attempt(
                state,
                self._next_model,
                now,
                missing,
                waiting_s,
                now,
                expected_s,
            )
        )
        self._watch = self._router.answer_times.watch(
            self.service,
            self.route,
            self.attempts[-1],
            self._router.rollouts.find_drawn_share(
                self.service.name,
                upstream.version,
                self.session if self._sound else None,
                now,
            ),
        )
        left_s = self.deadline - now
        return steps.Send(state, self._next_model, left_s, choice.reason)

    def _end_watch(self) -> None:
        if self._watch is not None:
            self._watch.note_end()

    def _end_reading(self, attempt: steps.Attempt) -> None:
        attempt.state.reading_s -= attempt.reading_s
        attempt.reading_s = 0.0

    def _note_pace(self, attempt: steps.Attempt, now: float) -> None:
        self._router.placement.pace.note(
            attempt.state.upstream.identity,
            attempt.model,
            attempt.missing,
            now - attempt.sent_at,
            now,
        )

    def _escalate(
        self, attempt: steps.Attempt, head: forwarding.AnswerHead, now: float
    ) -> bool:
        """Decides whether a larger model is asked instead."""
        if not attempt.model or not self.route.models:
            return False
        router = self._router
        larger = cascade.choose_larger(self.route)
        delay_s = now - self.arrived - placement.expect(self.call.prompt_tokens)
        delay = max(0.0, delay_s) / max(self.route.objective_s, 0.001)
        choice = router.placement.choose(self._build_work(larger, now), now)
        if choice.state is None:
            return False
        decision = cascade.decide(
            self.route,
            cascade.Situation(
                attempt.model,
                head.confidence,
                now - self.arrived,
                choice.expected_s,
                router.placement.estimate_occupancy(self.service.name, now),
                router.delays.note(self.service.name, delay, now),
                self.route.max_attempts - self._limits.ran,
                router.budget.count_left(self.service.name, now),
            ),
        )
        if not decision.model:
            return False
        attempt.end(
            steps.Ender.CASCADE,
            f"dropped at {head.confidence}, {decision.reason}",
            now,
        )
        self._next_model = decision.model
        self._excluded.clear()
        return True

    def _build_failure(self, reason: str, now: float) -> failures.Failure:
        if self._limits.ran:
            if self.deadline - now < MIN_LEFT_S:
                return steps.TimedOut(reason, failures.Run.UNKNOWN)
            return steps.UpstreamBroke(reason, failures.Run.UNKNOWN)
        after_s = BACK_S * self._router.source.uniform(0.5, 1.0)
        return steps.Unavailable(reason, failures.Run.NO, after_s)
