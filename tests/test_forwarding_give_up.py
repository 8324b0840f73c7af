"""Tests of when an open attempt or a complete response is abandoned."""

import unittest

from sycamorehollow.decisions.forwarding import attempt_limits
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.model import failures
from tests import forwarding_world

SHED = forwarding_world.build_head(503, not_run=True, sealed=False)


def build_router(upstreams=3, **settings):
    """Returns a router with some upstreams."""
    return forwarding_world.build_router(
        *(
            forwarding_world.build_upstream(f"u{number}")
            for number in range(upstreams)
        ),
        **settings,
    )


def start_stream(router, now=0.0, **route):
    """Returns a request whose response was delivered in part."""
    lifecycle = forwarding_world.build_lifecycle(
        router, route=forwarding_world.build_route(**route), now=now
    )
    lifecycle.choose_next_step(now)
    lifecycle.evaluate_head(
        forwarding_world.build_head(confidence=99), now + 0.1
    )
    lifecycle.delivering = True
    return lifecycle


class TimeoutTest(unittest.TestCase):
    """Guards against ending a stream that cannot continue elsewhere."""

    def assert_kept(self, lifecycle, now, reason):
        """Asserts that the open attempt is kept."""
        self.assertEqual(lifecycle.compute_timeout(now), 0.0)
        step = lifecycle.handle_timeout(now)
        self.assertIsInstance(step, steps.Wait)
        self.assertGreater(step.seconds, 0.0)
        attempt = lifecycle.attempts[-1]
        self.assertIsNone(attempt.end_cause)
        self.assertEqual(attempt.keep_reason, reason)

    def test_silent_stream_goes_on_elsewhere(self):
        lifecycle = start_stream(build_router())
        first = lifecycle.attempts[-1]
        step = lifecycle.handle_timeout(3.0)
        self.assertIsInstance(step, steps.Send)
        self.assertIsNot(step.state, first.state)
        self.assertIs(first.end_cause, steps.EndCause.TIMEOUT)

    def test_last_repeat_is_taken_by_one_of_two_streams(self):
        # Only part of the floor is used, which leaves one retry here.
        router = build_router(retry_ratio=0.0, retry_floor=2.0)
        first, second = start_stream(router), start_stream(router)
        # Both attempts have timed out before either fails over.
        self.assertEqual(first.compute_timeout(3.0), 0.0)
        self.assertEqual(second.compute_timeout(3.0), 0.0)
        self.assertIsInstance(first.handle_timeout(3.0), steps.Send)
        self.assert_kept(second, 3.0, "the budget of repeats is used up")
        # The retry leaves the window, so the budget allows one again.
        self.assertIsInstance(second.handle_timeout(13.1), steps.Reject)

    def test_stream_is_given_up_once_a_repeat_is_left_again(self):
        router = build_router(retry_ratio=0.0, retry_floor=2.0)
        first, second = start_stream(router), start_stream(router, 9.0)
        first.handle_timeout(3.0)
        self.assert_kept(second, 12.0, "the budget of repeats is used up")
        self.assertIsInstance(second.handle_timeout(13.1), steps.Send)

    def test_content_that_is_blamed_elsewhere_keeps_its_attempt(self):
        router = build_router()
        lifecycle = start_stream(router)
        breaks = {f"r{number}": 0.1 for number in range(3)}
        router.quarantine.merge({"fingerprint": breaks}, 1.0)
        self.assert_kept(
            lifecycle, 3.0, "requests like it have crashed upstreams"
        )

    def test_full_upstreams_leave_a_stream_where_it_is(self):
        router = build_router()
        lifecycle = start_stream(router)
        for state in router.directory.list_all():
            state.full_until = 5.0
        self.assert_kept(lifecycle, 3.0, "all upstreams are full")

    def test_last_attempt_is_spent_on_long_silence_only(self):
        lifecycle = start_stream(build_router(), max_attempts=2)
        # The upstream still serves other requests.
        lifecycle.attempts[-1].state.last_byte_at = 1.5
        self.assertGreater(lifecycle.compute_timeout(1.5), 0.0)
        self.assertEqual(lifecycle.compute_timeout(2.2), 0.0)
        spare = start_stream(build_router(), max_attempts=3)
        spare.attempts[-1].state.last_byte_at = 1.5
        self.assertEqual(spare.compute_timeout(1.5), 0.0)

    def test_unreachable_upstreams_leave_a_stream_where_it_is(self):
        router = build_router()
        lifecycle = start_stream(router)
        current = lifecycle.attempts[-1].state
        for state in router.directory.list_all():
            if state is not current:
                directory.record_unreachable(state, 2.9)
        self.assert_kept(lifecycle, 3.0, "no other can be reached")
        # If the stream's own upstream is unreachable too, any other is used.
        directory.record_unreachable(current, 3.0)
        self.assertIsInstance(lifecycle.handle_timeout(3.0), steps.Send)

    def test_head_that_came_just_before_the_limit_is_followed_by_patience(self):
        lifecycle = forwarding_world.build_lifecycle(build_router())
        lifecycle.choose_next_step(0.0)
        lifecycle.evaluate_head(
            forwarding_world.build_head(confidence=99), 1.59
        )
        self.assertGreater(lifecycle.compute_timeout(1.61), 0.0)

    def test_only_upstream_of_a_service_is_waited_for(self):
        lifecycle = start_stream(build_router(upstreams=1))
        self.assert_kept(lifecycle, 3.0, "no upstream is registered")

    def test_upstream_that_would_be_too_late_is_not_asked(self):
        router = build_router()
        request = forwarding_world.build_request(deadline_s=3.04)
        lifecycle = forwarding_world.build_lifecycle(router, request)
        lifecycle.choose_next_step(0.0)
        self.assert_kept(lifecycle, 3.0, "no other would be in time")

    def test_last_attempt_is_waited_for_until_its_deadline(self):
        lifecycle = start_stream(build_router(), max_attempts=1)
        self.assertAlmostEqual(lifecycle.compute_timeout(3.0), 7.0)
        step = lifecycle.handle_timeout(10.0)
        self.assertIsInstance(step.failure, steps.TimedOut)
        self.assertIs(lifecycle.attempts[-1].end_cause, steps.EndCause.DEADLINE)


class ShortageTest(unittest.TestCase):
    """Guards against losing a response to a temporary shortage."""

    def _refuse(self, lifecycle, now, times):
        """Lets upstreams refuse the request; returns the time afterwards."""
        while times:
            step = lifecycle.choose_next_step(now)
            self.assertNotIsInstance(step, steps.Reject)
            if isinstance(step, steps.Wait):
                now += step.seconds
                continue
            now += 0.001
            lifecycle.evaluate_head(SHED, now)
            times -= 1
        return now

    def test_refused_continuations_do_not_end_a_stream(self):
        lifecycle = start_stream(build_router())
        lifecycle.record_connection_failure("closed", True, 1.0)
        refusals = 2 * attempt_limits.MAX_REFUSALS + 3
        now = self._refuse(lifecycle, 1.0, refusals)
        self.assertLess(now, 8.0)
        step = lifecycle.choose_next_step(now)
        while isinstance(step, steps.Wait):
            now += step.seconds
            step = lifecycle.choose_next_step(now)
        self.assertIsInstance(step, steps.Send)

    def test_wait_for_a_shortage_ends_at_the_deadline(self):
        router = build_router(retry_ratio=0.0, retry_floor=0.0)
        lifecycle = start_stream(router)
        lifecycle.record_connection_failure("closed", True, 9.95)
        step = lifecycle.choose_next_step(9.95)
        self.assertAlmostEqual(step.seconds, 0.05)

    def test_broken_stream_waits_for_upstreams_that_are_gone(self):
        router = build_router()
        lifecycle = start_stream(router)
        lifecycle.record_connection_failure("closed", True, 1.0)
        for state in router.directory.list_all():
            router.apply_event(
                updates.UpstreamRemoved(state.upstream.identity), 1.0
            )
        self.assertIsInstance(lifecycle.choose_next_step(1.1), steps.Wait)
        upstream = forwarding_world.build_upstream("u9")
        router.apply_event(updates.UpstreamSet(upstream), 1.2)
        self.assertIsInstance(lifecycle.choose_next_step(1.3), steps.Send)

    def test_small_model_is_asked_again_when_the_larger_one_is_gone(self):
        router = forwarding_world.build_router(
            forwarding_world.build_upstream("a", models=("small",)),
            forwarding_world.build_upstream("b", models=("large",)),
        )
        lifecycle = forwarding_world.build_lifecycle(router)
        lifecycle.choose_next_step(0.0)
        unsure = forwarding_world.build_head(confidence=10)
        self.assertIs(
            lifecycle.evaluate_head(unsure, 0.05), steps.Verdict.RETRY
        )
        self.assertEqual(lifecycle.choose_next_step(0.05).model, "large")
        lifecycle.record_connection_failure("cannot connect", False, 0.06)
        router.apply_event(updates.UpstreamRemoved("b"), 0.07)
        now, step = 0.08, lifecycle.choose_next_step(0.08)
        while isinstance(step, steps.Wait):
            now += step.seconds
            step = lifecycle.choose_next_step(now)
        self.assertEqual(step.model, "small")

    def test_refusal_of_what_was_sent_twice_does_not_say_not_run(self):
        router = build_router()
        lifecycle = forwarding_world.build_lifecycle(
            router, route=forwarding_world.build_route(forwarding_world.SAFE)
        )
        now, step, sent_twice = 0.0, lifecycle.choose_next_step(0.0), True
        while not isinstance(step, steps.Reject):
            if isinstance(step, steps.Send):
                lifecycle.evaluate_head(SHED, now, sent_twice)
                sent_twice = False
            now += 0.06
            step = lifecycle.choose_next_step(now)
        self.assertIs(step.failure.execution, failures.Execution.UNKNOWN)
        self.assertNotEqual(step.failure.status, 503)

    def test_broken_stream_waits_for_a_repeat(self):
        router = build_router(retry_ratio=0.0, retry_floor=2.0)
        first, second = start_stream(router), start_stream(router, 5.0)
        for lifecycle in (first, second):
            lifecycle.record_connection_failure("closed", True, 6.0)
        self.assertIsInstance(first.choose_next_step(6.0), steps.Send)
        now = 6.0
        step = second.choose_next_step(now)
        while isinstance(step, steps.Wait):
            now += step.seconds
            step = second.choose_next_step(now)
        self.assertIsInstance(step, steps.Reject)
        self.assertGreater(now, 14.5)

    def test_answer_that_was_dropped_for_a_larger_model_is_owed(self):
        lifecycle = forwarding_world.build_lifecycle(build_router())
        lifecycle.choose_next_step(0.0)
        unsure = forwarding_world.build_head(confidence=10)
        self.assertIs(
            lifecycle.evaluate_head(unsure, 0.05), steps.Verdict.RETRY
        )
        now = self._refuse(lifecycle, 0.05, attempt_limits.MAX_REFUSALS + 2)
        step = lifecycle.choose_next_step(now)
        while isinstance(step, steps.Wait):
            now += step.seconds
            step = lifecycle.choose_next_step(now)
        self.assertIsInstance(step, steps.Send)


class CompleteResponseTest(unittest.TestCase):
    """Guards against discarding a response without a replacement."""

    def _answer(self, router, head, **route):
        lifecycle = forwarding_world.build_lifecycle(
            router, route=forwarding_world.build_route(**route)
        )
        lifecycle.choose_next_step(0.0)
        return lifecycle.evaluate_head(head, 0.05)

    def test_doubtful_answer_of_a_stream_that_must_not_run_twice_is_kept(self):
        head = forwarding_world.build_head(confidence=10)
        verdict = self._answer(build_router(), head, resumable=False)
        self.assertIs(verdict, steps.Verdict.DELIVER)

    def test_doubtful_answer_of_blamed_content_is_kept(self):
        router = build_router()
        lifecycle = forwarding_world.build_lifecycle(router)
        lifecycle.choose_next_step(0.0)
        breaks = {f"r{number}": 0.1 for number in range(3)}
        router.quarantine.merge({"fingerprint": breaks}, 0.04)
        head = forwarding_world.build_head(confidence=10)
        self.assertIs(
            lifecycle.evaluate_head(head, 0.05), steps.Verdict.DELIVER
        )

    def test_failure_of_an_upstream_is_passed_on_while_all_others_are_full(
        self,
    ):
        router = build_router()
        lifecycle = forwarding_world.build_lifecycle(
            router, route=forwarding_world.build_route(forwarding_world.SAFE)
        )
        lifecycle.choose_next_step(0.0)
        for state in router.directory.list_all():
            state.full_until = 1.0
        verdict = lifecycle.evaluate_head(
            forwarding_world.build_head(500), 0.05
        )
        self.assertIs(verdict, steps.Verdict.DELIVER)
