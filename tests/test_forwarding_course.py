"""Tests of the lifecycle of a request."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import attempt_limits
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from tests import forwarding_world

UPSTREAMS = [
    forwarding_world.build_upstream(name, port=1000 + number)
    for number, name in enumerate("abcde")
]
OUTCOMES = strategies.lists(
    strategies.sampled_from(
        ("refused", "unwritten", "broken", "failed", "served", "unsealed")
    ),
    min_size=1,
    max_size=12,
)


def run_request(kind, outcomes, max_attempts):
    """Runs a request whose attempts end as given.

    Returns:
        The final failure or `None`, and the runs that upstreams made.
    """
    router = forwarding_world.build_router(*UPSTREAMS)
    route = forwarding_world.build_route(
        kind, max_attempts=max_attempts, models=()
    )
    lifecycle = forwarding_world.build_lifecycle(router, route=route)
    runs = 0
    now = 0.0
    for outcome in outcomes * 3:
        now += 0.05
        step = lifecycle.choose_next_step(now)
        if isinstance(step, steps.Reject):
            return step.failure, runs
        if isinstance(step, steps.Wait):
            continue
        if outcome == "unwritten":
            lifecycle.record_connection_failure("cannot connect", False, now)
            continue
        if outcome == "refused":
            head = forwarding_world.build_head(503, not_run=True, sealed=False)
            lifecycle.evaluate_head(head, now)
            continue
        runs += 1
        if outcome == "broken":
            lifecycle.record_connection_failure("closed", True, now)
            continue
        heads = {
            "failed": forwarding_world.build_head(500),
            "unsealed": forwarding_world.build_head(200, sealed=False),
            "served": forwarding_world.build_head(200),
        }
        verdict = lifecycle.evaluate_head(heads[outcome], now)
        if verdict is steps.Verdict.DELIVER:
            return None, runs
    return None, runs


class RequestLifecycleTest(unittest.TestCase):
    """Guards against duplicate runs, false refusals and endless retries."""

    @hypothesis.given(OUTCOMES, strategies.integers(1, 3))
    def test_unsafe_request_runs_at_most_once(self, outcomes, most):
        _, runs = run_request(forwarding_world.UNSAFE, outcomes, most)
        self.assertLessEqual(runs, 1)

    @hypothesis.given(
        OUTCOMES,
        strategies.sampled_from(list(forwarding.RouteKind)),
        strategies.integers(1, 3),
    )
    def test_refusal_that_says_not_run_is_true(self, outcomes, kind, most):
        failure, runs = run_request(kind, outcomes, most)
        self.assertLessEqual(runs, most)
        if failure is None:
            return
        if failure.status in (408, 421, 429, 503):
            self.assertEqual(runs, 0)
            self.assertIsNotNone(failure.retry_after_s)
        if runs:
            self.assertIs(failure.execution, failures.Execution.UNKNOWN)

    def test_failed_safe_request_goes_to_another_upstream(self):
        router = forwarding_world.build_router(*UPSTREAMS)
        route = forwarding_world.build_route(
            forwarding_world.SAFE, max_attempts=2
        )
        lifecycle = forwarding_world.build_lifecycle(router, route=route)
        first = lifecycle.choose_next_step(0.0)
        verdict = lifecycle.evaluate_head(
            forwarding_world.build_head(500), 0.02
        )
        self.assertIs(verdict, steps.Verdict.RETRY)
        second = lifecycle.choose_next_step(0.02)
        self.assertIsNot(first.state, second.state)
        # The response of the last attempt is delivered as it is.
        verdict = lifecycle.evaluate_head(
            forwarding_world.build_head(500), 0.04
        )
        self.assertIs(verdict, steps.Verdict.DELIVER)

    def test_attempts_that_reach_no_upstream_are_refunded(self):
        router = forwarding_world.build_router(*UPSTREAMS, retry_floor=3.0)
        lifecycle = forwarding_world.build_lifecycle(router)
        now = 0.0
        for _ in range(attempt_limits.MAX_CONNECT_FAILURES):
            now += 0.1
            step = lifecycle.choose_next_step(now)
            if isinstance(step, steps.Send):
                lifecycle.record_connection_failure(
                    "cannot connect", False, now
                )
        self.assertIsInstance(lifecycle.choose_next_step(now + 0.1), steps.Send)

    def test_request_without_reachable_upstream_is_refused_early(self):
        router = forwarding_world.build_router(*UPSTREAMS)
        lifecycle = forwarding_world.build_lifecycle(router)
        now = 0.0
        step = None
        while not isinstance(step, steps.Reject):
            now += 0.01
            self.assertLess(now, 1.0)
            step = lifecycle.choose_next_step(now)
            if isinstance(step, steps.Send):
                lifecycle.record_connection_failure(
                    "cannot connect", False, now
                )
        self.assertIsInstance(step.failure, steps.Unavailable)

    def _press(self, until, free_at):
        """Runs a request while all upstreams are full until `free_at`.

        Returns:
            The final step, when it came and how many attempts were refused.
        """
        router = forwarding_world.build_router(*UPSTREAMS[:4])
        route = forwarding_world.build_route(
            forwarding_world.UNSAFE, max_attempts=1, objective_s=0.2
        )
        lifecycle = forwarding_world.build_lifecycle(router, route=route)
        now, refused = 0.0, 0
        while now < until:
            step = lifecycle.choose_next_step(now)
            if isinstance(step, steps.Wait):
                now += step.seconds
                continue
            if isinstance(step, steps.Reject) or now >= free_at:
                return step, now, refused
            refused += 1
            now += 0.002
            head = forwarding_world.build_head(503, not_run=True, sealed=False)
            lifecycle.evaluate_head(head, now)
        return None, now, refused

    def test_request_waits_for_capacity_with_few_refusals(self):
        step, _, refused = self._press(1.0, free_at=0.05)
        self.assertIsInstance(step, steps.Send)
        self.assertLessEqual(refused, 4)

    def test_request_without_room_is_refused_in_part_of_its_objective(self):
        step, now, refused = self._press(1.0, free_at=1.0)
        self.assertIsInstance(step.failure, steps.Unavailable)
        self.assertLess(now, 0.1)
        self.assertLessEqual(refused, attempt_limits.MAX_REFUSALS + 1)

    def test_full_upstream_is_left_alone_by_other_requests(self):
        router = forwarding_world.build_router(*UPSTREAMS[:2])
        first = forwarding_world.build_lifecycle(router)
        name = first.choose_next_step(0.0).state.upstream.identity
        head = forwarding_world.build_head(503, not_run=True, sealed=False)
        first.evaluate_head(head, 0.01)
        for _ in range(20):
            lifecycle = forwarding_world.build_lifecycle(router, now=0.011)
            step = lifecycle.choose_next_step(0.011)
            self.assertNotEqual(step.state.upstream.identity, name)

    def test_nothing_registered_is_refused_at_once(self):
        router = forwarding_world.build_router()
        step = forwarding_world.build_lifecycle(router).choose_next_step(0.0)
        self.assertIsInstance(step.failure, steps.Unavailable)

    def test_route_timeout_bounds_the_deadline(self):
        router = forwarding_world.build_router(*UPSTREAMS)
        route = forwarding_world.build_route(timeout_s=0.8)
        lifecycle = forwarding_world.build_lifecycle(router, route=route)
        self.assertAlmostEqual(lifecycle.choose_next_step(0.0).left_s, 0.8)
        lifecycle.record_connection_failure("closed", True, 0.9)
        self.assertIsInstance(
            lifecycle.choose_next_step(0.9).failure, steps.TimedOut
        )

    def test_rest_of_a_stream_comes_from_its_version_while_that_runs(self):
        old = [
            forwarding_world.build_upstream(name, version="v1")
            for name in ("a", "b")
        ]
        new = forwarding_world.build_upstream("c", version="v2")
        router = forwarding_world.build_router(*old, new)
        order = forwarding.RolloutOrder("llm", "v2", 24.0, 5)
        router.apply_event(updates.RolloutOrdered(order), 0.0)
        lifecycle = forwarding_world.build_lifecycle(router)
        lifecycle.choose_next_step(0.0)
        lifecycle.evaluate_head(forwarding_world.build_head(confidence=99), 0.1)
        lifecycle.delivering = True
        lifecycle.record_connection_failure("closed", True, 1.0)
        step = lifecycle.choose_next_step(1.0)
        self.assertEqual(step.state.upstream.version, "v1")
        lifecycle.record_connection_failure("closed", True, 2.0)
        for upstream in old:
            router.apply_event(updates.UpstreamRemoved(upstream.identity), 2.0)
        step = lifecycle.choose_next_step(2.0)
        self.assertEqual(step.state.upstream.version, "v2")

    def test_failure_never_follows_the_start_of_an_answer(self):
        for status in (500, 503, 404, 204):
            router = forwarding_world.build_router(*UPSTREAMS)
            lifecycle = forwarding_world.build_lifecycle(router)
            lifecycle.choose_next_step(0.0)
            lifecycle.evaluate_head(forwarding_world.build_head(), 0.1)
            lifecycle.delivering = True
            for attempt in range(1, 4):
                lifecycle.record_connection_failure(
                    "closed", True, float(attempt)
                )
                if isinstance(
                    lifecycle.choose_next_step(float(attempt)), steps.Reject
                ):
                    break
                verdict = lifecycle.evaluate_head(
                    forwarding_world.build_head(status), attempt + 0.1
                )
                self.assertIs(verdict, steps.Verdict.RETRY)

    def test_break_by_an_upstream_that_leaves_is_no_crash(self):
        router = forwarding_world.build_router(*UPSTREAMS)
        for attempt in range(4):
            lifecycle = forwarding_world.build_lifecycle(
                router, now=float(attempt)
            )
            step = lifecycle.choose_next_step(float(attempt))
            leaving = dataclasses.replace(step.state.upstream, draining=True)
            router.apply_event(updates.UpstreamSet(leaving), attempt + 0.05)
            lifecycle.record_connection_failure("closed", True, attempt + 0.1)
            lifecycle.record_possible_crash(attempt + 0.1)
        self.assertFalse(router.quarantine.is_quarantined("fingerprint", 4.0))

    def test_request_that_crashes_upstreams_is_rejected(self):
        router = forwarding_world.build_router(*UPSTREAMS)
        sent = 0
        for attempt in range(6):
            lifecycle = forwarding_world.build_lifecycle(
                router, now=float(attempt)
            )
            step = lifecycle.choose_next_step(float(attempt))
            if isinstance(step, steps.Reject):
                self.assertEqual(step.failure.status, 502)
                break
            sent += 1
            lifecycle.record_connection_failure("closed", True, attempt + 0.1)
            lifecycle.record_possible_crash(attempt + 0.1)
        self.assertLessEqual(sent, 4)


class AttemptTimeoutTest(unittest.TestCase):
    """Tests time-outs at overloaded engines and at engines that hang."""

    def setUp(self):
        self.router = forwarding_world.build_router(*UPSTREAMS[:2])
        self.lifecycle = forwarding_world.build_lifecycle(self.router)
        self.state = self.lifecycle.choose_next_step(0.0).state

    def _wait(self, lifecycle, until):
        """Returns when the attempt times out."""
        now = 0.0
        while now < until:
            timeout_s = lifecycle.compute_timeout(now)
            if timeout_s <= 0:
                return now
            now += timeout_s
        return until

    def test_request_that_only_waits_is_not_sent_again_early(self):
        objective_s = self.lifecycle.route.objective_s
        gave_up = self._wait(self.lifecycle, 10.0)
        self.assertGreaterEqual(gave_up, 0.75 * objective_s)

    def test_request_that_later_ones_have_passed_goes_elsewhere(self):
        self.state.latest_served_sent_at = 0.5
        gave_up = self._wait(self.lifecycle, 10.0)
        self.assertLess(gave_up, 0.5 * self.lifecycle.route.objective_s)

    def test_unreachable_upstream_is_given_up_at_once(self):
        self.assertFalse(self.lifecycle.begin_probe_if_silent(0.1))
        self.assertTrue(self.lifecycle.begin_probe_if_silent(0.4))
        self.lifecycle.record_unreachable(False, 0.5)
        self.assertEqual(self.lifecycle.compute_timeout(0.5), 0.0)

    def test_reachable_upstream_is_waited_for(self):
        self.assertTrue(self.lifecycle.begin_probe_if_silent(0.4))
        self.assertGreater(self.lifecycle.compute_timeout(0.5), 0.0)

    def test_node_that_is_cut_off_keeps_its_attempts(self):
        last_s = self.lifecycle.route.objective_s
        now = 0.0
        while now < last_s:
            now += 0.1
            if self.lifecycle.begin_probe_if_silent(now):
                self.lifecycle.record_unreachable(True, now)
            self.assertGreater(self.lifecycle.compute_timeout(now), 0.0, now)
        # Once others respond again, the silent upstream times out.
        self.state.latest_served_sent_at = now
        self.assertEqual(self.lifecycle.compute_timeout(now), 0.0)

    def test_other_upstream_shows_whether_the_node_is_cut_off(self):
        other = self.router.directory.get(
            "b" if self.state.upstream.identity == "a" else "a"
        )
        self.assertIs(self.lifecycle.choose_reference(0.4), other)
        other.last_byte_at = 0.35
        self.assertIsNone(self.lifecycle.choose_reference(0.4))

    def test_long_prompt_has_longer(self):
        short = self._wait(self.lifecycle, 20.0)
        request = forwarding_world.build_request(
            prompt_tokens=100_000, deadline_s=15.0
        )
        lifecycle = forwarding_world.build_lifecycle(self.router, request)
        lifecycle.choose_next_step(0.0)
        self.assertGreater(self._wait(lifecycle, 20.0), 2 * short)

    def test_unsafe_request_is_waited_for_until_its_deadline(self):
        route = forwarding_world.build_route(
            forwarding_world.UNSAFE, max_attempts=1, timeout_s=0.8
        )
        lifecycle = forwarding_world.build_lifecycle(self.router, route=route)
        lifecycle.choose_next_step(0.0)
        self.assertAlmostEqual(lifecycle.compute_timeout(0.0), 0.8)


class CascadeTest(unittest.TestCase):
    """Tests the choice of a larger model under light and heavy load."""

    def _ask(self, confidence, took_s, **route):
        router = forwarding_world.build_router(*UPSTREAMS)
        lifecycle = forwarding_world.build_lifecycle(
            router, route=forwarding_world.build_route(**route)
        )
        self.assertEqual(lifecycle.choose_next_step(0.0).model, "small")
        head = forwarding_world.build_head(confidence=confidence)
        verdict = lifecycle.evaluate_head(head, took_s)
        if verdict is steps.Verdict.DELIVER:
            return "small"
        return lifecycle.choose_next_step(took_s).model

    def test_doubtful_answer_is_replaced_while_there_is_room(self):
        self.assertEqual(self._ask(10, 0.08), "large")
        self.assertEqual(self._ask(95, 0.08), "small")
        self.assertEqual(self._ask(None, 0.08), "small")

    def test_late_first_answers_are_kept(self):
        self.assertEqual(self._ask(10, 0.9), "small")

    def test_urgent_requests_get_larger_models_first(self):
        self.assertEqual(self._ask(70, 0.08, priority=0), "large")
        self.assertEqual(self._ask(70, 0.08, priority=2), "small")

    def test_attempts_and_budget_bound_larger_models(self):
        self.assertEqual(self._ask(10, 0.08, max_attempts=1), "small")
        router = forwarding_world.build_router(
            *UPSTREAMS, retry_ratio=0.0, retry_floor=0.0
        )
        lifecycle = forwarding_world.build_lifecycle(router)
        lifecycle.choose_next_step(0.0)
        head = forwarding_world.build_head(confidence=0)
        self.assertIs(
            lifecycle.evaluate_head(head, 0.08), steps.Verdict.DELIVER
        )
