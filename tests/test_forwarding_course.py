"""Tests of the course of a request."""

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


def run_course(kind, outcomes, max_attempts):
    """Plays a request whose attempts end as given.

    Returns:
        The final failure or `None`, and the runs that upstreams made.
    """
    built = forwarding_world.build_router(*UPSTREAMS)
    route = forwarding_world.build_route(
        kind, max_attempts=max_attempts, models=()
    )
    played = forwarding_world.build_course(built, route=route)
    runs = 0
    now = 0.0
    for outcome in outcomes * 3:
        now += 0.05
        step = played.find_step(now)
        if isinstance(step, steps.Reject):
            return step.failure, runs
        if isinstance(step, steps.Wait):
            continue
        if outcome == "unwritten":
            played.record_connection_failure("cannot connect", False, now)
            continue
        if outcome == "refused":
            head = forwarding_world.build_head(503, not_run=True, sealed=False)
            played.judge_head(head, now)
            continue
        runs += 1
        if outcome == "broken":
            played.record_connection_failure("closed", True, now)
            continue
        heads = {
            "failed": forwarding_world.build_head(500),
            "unsealed": forwarding_world.build_head(200, sealed=False),
            "served": forwarding_world.build_head(200),
        }
        verdict = played.judge_head(heads[outcome], now)
        if verdict is steps.Verdict.DELIVER:
            return None, runs
    return None, runs


class CourseTest(unittest.TestCase):
    """Guards against second runs, untrue refusals and endless attempts."""

    @hypothesis.given(OUTCOMES, strategies.integers(1, 3))
    def test_unsafe_request_runs_at_most_once(self, outcomes, most):
        _, runs = run_course(forwarding_world.UNSAFE, outcomes, most)
        self.assertLessEqual(runs, 1)

    @hypothesis.given(
        OUTCOMES,
        strategies.sampled_from(list(forwarding.RouteKind)),
        strategies.integers(1, 3),
    )
    def test_refusal_that_says_not_run_is_true(self, outcomes, kind, most):
        failure, runs = run_course(kind, outcomes, most)
        self.assertLessEqual(runs, most)
        if failure is None:
            return
        if failure.status in (408, 421, 429, 503):
            self.assertEqual(runs, 0)
            self.assertIsNotNone(failure.retry_after_s)
        if runs:
            self.assertIs(failure.execution, failures.Execution.UNKNOWN)

    def test_failed_safe_request_goes_to_another_upstream(self):
        built = forwarding_world.build_router(*UPSTREAMS)
        route = forwarding_world.build_route(
            forwarding_world.SAFE, max_attempts=2
        )
        played = forwarding_world.build_course(built, route=route)
        first = played.find_step(0.0)
        verdict = played.judge_head(forwarding_world.build_head(500), 0.02)
        self.assertIs(verdict, steps.Verdict.RETRY)
        second = played.find_step(0.02)
        self.assertIsNot(first.state, second.state)
        # The last answer that may be asked for is passed on as it is.
        verdict = played.judge_head(forwarding_world.build_head(500), 0.04)
        self.assertIs(verdict, steps.Verdict.DELIVER)

    def test_attempts_that_reach_nobody_leave_the_budget(self):
        built = forwarding_world.build_router(*UPSTREAMS, retry_floor=3.0)
        played = forwarding_world.build_course(built)
        now = 0.0
        for _ in range(attempt_limits.MAX_UNREACHED):
            now += 0.1
            step = played.find_step(now)
            if isinstance(step, steps.Send):
                played.record_connection_failure("cannot connect", False, now)
        self.assertIsInstance(played.find_step(now + 0.1), steps.Send)

    def test_request_that_reaches_nobody_is_refused_before_its_deadline(self):
        built = forwarding_world.build_router(*UPSTREAMS)
        played = forwarding_world.build_course(built)
        now = 0.0
        step = None
        while not isinstance(step, steps.Reject):
            now += 0.01
            self.assertLess(now, 1.0)
            step = played.find_step(now)
            if isinstance(step, steps.Send):
                played.record_connection_failure("cannot connect", False, now)
        self.assertIsInstance(step.failure, steps.Unavailable)

    def _press(self, until, free_at):
        """Plays a request while all upstreams are full until `free_at`.

        Returns:
            The final step, when it came and how many attempts were refused.
        """
        built = forwarding_world.build_router(*UPSTREAMS[:4])
        route = forwarding_world.build_route(
            forwarding_world.UNSAFE, max_attempts=1, objective_s=0.2
        )
        played = forwarding_world.build_course(built, route=route)
        now, refused = 0.0, 0
        while now < until:
            step = played.find_step(now)
            if isinstance(step, steps.Wait):
                now += step.seconds
                continue
            if isinstance(step, steps.Reject) or now >= free_at:
                return step, now, refused
            refused += 1
            now += 0.002
            head = forwarding_world.build_head(503, not_run=True, sealed=False)
            played.judge_head(head, now)
        return None, now, refused

    def test_request_waits_for_room_without_knocking(self):
        step, _, refused = self._press(1.0, free_at=0.05)
        self.assertIsInstance(step, steps.Send)
        self.assertLessEqual(refused, 4)

    def test_request_without_room_is_refused_in_part_of_its_objective(self):
        step, now, refused = self._press(1.0, free_at=1.0)
        self.assertIsInstance(step.failure, steps.Unavailable)
        self.assertLess(now, 0.1)
        self.assertLessEqual(refused, attempt_limits.MAX_REFUSALS + 1)

    def test_full_upstream_is_left_alone_by_other_requests(self):
        built = forwarding_world.build_router(*UPSTREAMS[:2])
        first = forwarding_world.build_course(built)
        name = first.find_step(0.0).state.upstream.identity
        head = forwarding_world.build_head(503, not_run=True, sealed=False)
        first.judge_head(head, 0.01)
        for _ in range(20):
            played = forwarding_world.build_course(built, now=0.011)
            step = played.find_step(0.011)
            self.assertNotEqual(step.state.upstream.identity, name)

    def test_nothing_registered_is_refused_at_once(self):
        built = forwarding_world.build_router()
        step = forwarding_world.build_course(built).find_step(0.0)
        self.assertIsInstance(step.failure, steps.Unavailable)

    def test_route_timeout_bounds_the_deadline(self):
        built = forwarding_world.build_router(*UPSTREAMS)
        route = forwarding_world.build_route(timeout_s=0.8)
        played = forwarding_world.build_course(built, route=route)
        self.assertAlmostEqual(played.find_step(0.0).left_s, 0.8)
        played.record_connection_failure("closed", True, 0.9)
        self.assertIsInstance(played.find_step(0.9).failure, steps.TimedOut)

    def test_rest_of_a_stream_comes_from_its_version_while_that_runs(self):
        old = [
            forwarding_world.build_upstream(name, version="v1")
            for name in ("a", "b")
        ]
        new = forwarding_world.build_upstream("c", version="v2")
        built = forwarding_world.build_router(*old, new)
        order = forwarding.RolloutOrder("llm", "v2", 24.0, 5)
        built.handle(updates.RolloutOrdered(order), 0.0)
        played = forwarding_world.build_course(built)
        played.find_step(0.0)
        played.judge_head(forwarding_world.build_head(confidence=99), 0.1)
        played.delivering = True
        played.record_connection_failure("closed", True, 1.0)
        step = played.find_step(1.0)
        self.assertEqual(step.state.upstream.version, "v1")
        played.record_connection_failure("closed", True, 2.0)
        for upstream in old:
            built.handle(updates.UpstreamRemoved(upstream.identity), 2.0)
        step = played.find_step(2.0)
        self.assertEqual(step.state.upstream.version, "v2")

    def test_failure_never_follows_the_start_of_an_answer(self):
        for status in (500, 503, 404, 204):
            built = forwarding_world.build_router(*UPSTREAMS)
            played = forwarding_world.build_course(built)
            played.find_step(0.0)
            played.judge_head(forwarding_world.build_head(), 0.1)
            played.delivering = True
            for attempt in range(1, 4):
                played.record_connection_failure("closed", True, float(attempt))
                if isinstance(played.find_step(float(attempt)), steps.Reject):
                    break
                verdict = played.judge_head(
                    forwarding_world.build_head(status), attempt + 0.1
                )
                self.assertIs(verdict, steps.Verdict.RETRY)

    def test_break_by_an_upstream_that_leaves_is_no_crash(self):
        built = forwarding_world.build_router(*UPSTREAMS)
        for attempt in range(4):
            played = forwarding_world.build_course(built, now=float(attempt))
            step = played.find_step(float(attempt))
            leaving = dataclasses.replace(step.state.upstream, draining=True)
            built.handle(updates.UpstreamSet(leaving), attempt + 0.05)
            played.record_connection_failure("closed", True, attempt + 0.1)
            played.note_crash(attempt + 0.1)
        self.assertFalse(built.poison.is_refused("fingerprint", 4.0))

    def test_poisonous_request_ends(self):
        built = forwarding_world.build_router(*UPSTREAMS)
        sent = 0
        for attempt in range(6):
            played = forwarding_world.build_course(built, now=float(attempt))
            step = played.find_step(float(attempt))
            if isinstance(step, steps.Reject):
                self.assertEqual(step.failure.status, 502)
                break
            sent += 1
            played.record_connection_failure("closed", True, attempt + 0.1)
            played.note_crash(attempt + 0.1)
        self.assertLessEqual(sent, 4)


class PatienceTest(unittest.TestCase):
    """Replays a queue in an overloaded engine, and engines that hang."""

    def setUp(self):
        self.built = forwarding_world.build_router(*UPSTREAMS[:2])
        self.played = forwarding_world.build_course(self.built)
        self.state = self.played.find_step(0.0).state

    def _wait(self, played, until):
        """Returns when the course gives its attempt up."""
        now = 0.0
        while now < until:
            patience_s = played.compute_patience(now)
            if patience_s <= 0:
                return now
            now += patience_s
        return until

    def test_request_that_only_waits_is_not_sent_again_early(self):
        objective_s = self.played.route.objective_s
        gave_up = self._wait(self.played, 10.0)
        self.assertGreaterEqual(gave_up, 0.75 * objective_s)

    def test_request_that_later_ones_have_passed_goes_elsewhere(self):
        self.state.latest_served_sent_at = 0.5
        gave_up = self._wait(self.played, 10.0)
        self.assertLess(gave_up, 0.5 * self.played.route.objective_s)

    def test_unreachable_upstream_is_given_up_at_once(self):
        self.assertFalse(self.played.wants_probe(0.1))
        self.assertTrue(self.played.wants_probe(0.4))
        self.played.note_unreachable(False, 0.5)
        self.assertEqual(self.played.compute_patience(0.5), 0.0)

    def test_reachable_upstream_is_waited_for(self):
        self.assertTrue(self.played.wants_probe(0.4))
        self.assertGreater(self.played.compute_patience(0.5), 0.0)

    def test_node_that_is_cut_off_keeps_its_attempts(self):
        last_s = self.played.route.objective_s
        now = 0.0
        while now < last_s:
            now += 0.1
            if self.played.wants_probe(now):
                self.played.note_unreachable(True, now)
            self.assertGreater(self.played.compute_patience(now), 0.0, now)
        # Once others are heard again, this one is as silent as before.
        self.state.latest_served_sent_at = now
        self.assertEqual(self.played.compute_patience(now), 0.0)

    def test_other_upstream_shows_whether_the_node_is_cut_off(self):
        other = self.built.directory.get(
            "b" if self.state.upstream.identity == "a" else "a"
        )
        self.assertIs(self.played.choose_reference(0.4), other)
        other.last_byte_at = 0.35
        self.assertIsNone(self.played.choose_reference(0.4))

    def test_long_prompt_has_longer(self):
        short = self._wait(self.played, 20.0)
        call = forwarding_world.build_call(
            prompt_tokens=100_000, deadline_s=15.0
        )
        played = forwarding_world.build_course(self.built, call)
        played.find_step(0.0)
        self.assertGreater(self._wait(played, 20.0), 2 * short)

    def test_unsafe_request_is_waited_for_until_its_deadline(self):
        route = forwarding_world.build_route(
            forwarding_world.UNSAFE, max_attempts=1, timeout_s=0.8
        )
        played = forwarding_world.build_course(self.built, route=route)
        played.find_step(0.0)
        self.assertAlmostEqual(played.compute_patience(0.0), 0.8)


class CascadeTest(unittest.TestCase):
    """Replays light and heavy load for the choice of a larger model."""

    def _ask(self, confidence, took_s, **route):
        built = forwarding_world.build_router(*UPSTREAMS)
        played = forwarding_world.build_course(
            built, route=forwarding_world.build_route(**route)
        )
        self.assertEqual(played.find_step(0.0).model, "small")
        head = forwarding_world.build_head(confidence=confidence)
        verdict = played.judge_head(head, took_s)
        if verdict is steps.Verdict.DELIVER:
            return "small"
        return played.find_step(took_s).model

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
        built = forwarding_world.build_router(
            *UPSTREAMS, retry_ratio=0.0, retry_floor=0.0
        )
        played = forwarding_world.build_course(built)
        played.find_step(0.0)
        head = forwarding_world.build_head(confidence=0)
        self.assertIs(played.judge_head(head, 0.08), steps.Verdict.DELIVER)
