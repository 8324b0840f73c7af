"""Tests of isolated nodes and of requests that go through other nodes."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import detour
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import isolation
from sycamorehollow.decisions.forwarding import request_lifecycle
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.shells.gateway import relay_headers
from tests import forwarding_world


def build_isolated_router(nodes=3, **settings):
    """Returns the router of an isolated node that knows other nodes."""
    built = forwarding_world.build_router(
        forwarding_world.build_upstream("a"),
        forwarding_world.build_upstream("b", data_centre="dc-2"),
        **settings,
    )
    for number in range(nodes):
        node = watchers.Node(f"127.0.0.1:{100 + number}", f"dc-{1 + number}")
        built.apply_event(updates.NodeSet(f"n{number}", node), 0.0)
    built.isolation.record_survey(False, False, 0.0)
    return built


def build_lifecycle(built, kind=forwarding_world.STREAM, earlier=None):
    """Returns the lifecycle of a request of some kind."""
    return request_lifecycle.RequestLifecycle(
        built,
        forwarding_world.build_request(),
        forwarding_world.build_route(kind),
        built.route_table.configuration.services["llm"],
        "fingerprint",
        100,
        0.0,
        "",
        earlier,
    )


class IsolationTest(unittest.TestCase):
    """Guards against nodes that are taken for isolated, and others."""

    def test_sample_has_all_services_and_data_centres(self):
        built = forwarding_world.build_router(
            *(
                forwarding_world.build_upstream(
                    f"{service}-{number}",
                    service=service,
                    data_centre=f"dc-{number}",
                )
                for service in ("llm", "desk")
                for number in range(6)
            )
        )
        for seed in range(20):
            looked = isolation.Isolation(random.Random(seed))
            sample = looked.choose_sample(built.directory.list_all())
            services = [s.upstream.service for s in sample]
            places = {s.upstream.data_centre for s in sample}
            self.assertEqual(len(sample), isolation.SURVEY_SIZE)
            self.assertEqual(services.count("llm"), services.count("desk"))
            self.assertEqual(len(places), isolation.SURVEY_SIZE)

    def test_one_upstream_that_is_reached_ends_it(self):
        looked = isolation.Isolation(random.Random(1))
        self.assertTrue(looked.record_survey(False, False, 1.0))
        self.assertFalse(looked.is_survey_due(1.1))
        self.assertTrue(looked.is_survey_due(1.0 + isolation.SURVEY_INTERVAL_S))
        self.assertTrue(looked.record_survey(True, False, 2.0))
        self.assertFalse(looked.is_isolated)

    def test_response_on_a_new_connection_makes_a_survey_needless(self):
        looked = isolation.Isolation(random.Random(1))
        self.assertTrue(looked.needs_survey(1.0))
        looked.record_reached(1.0)
        self.assertFalse(looked.needs_survey(1.1))
        self.assertTrue(looked.needs_survey(1.0 + isolation.REACHED_TTL_S))

    def test_helpers_of_the_own_data_centre_come_first(self):
        nodes = {
            f"n{number}": watchers.Node("127.0.0.1:9", f"dc-{number % 2}")
            for number in range(6)
        }
        helpers = isolation.Helpers("n0", "dc-0", random.Random(1))
        self.assertIn(helpers.choose(nodes, 0.0), ("n2", "n4"))
        for name in ("n2", "n4"):
            helpers.record_failure(name, 0.0)
        self.assertIn(helpers.choose(nodes, 0.0), ("n1", "n3", "n5"))
        later = isolation.HELPER_BACKOFF_S
        self.assertIn(helpers.choose(nodes, later), ("n2", "n4"))

    def test_node_that_has_just_responded_needs_no_check(self):
        helpers = isolation.Helpers("n0", "dc-0", random.Random(1))
        self.assertTrue(helpers.needs_check("n1", 0.0))
        helpers.record_response("n1", 1.0)
        self.assertFalse(helpers.needs_check("n1", 1.01))
        self.assertTrue(helpers.needs_check("n2", 1.01))
        later = 1.0 + isolation.HEARD_TTL_S
        self.assertTrue(helpers.needs_check("n1", later))


class DetourTest(unittest.TestCase):
    """Guards against loops, second runs and refusals that are not true."""

    def test_request_goes_through_a_node_of_the_own_data_centre(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built)
        step = lifecycle.choose_next_step(0.0)
        self.assertIsInstance(step, steps.SendThrough)
        self.assertEqual(step.node, "n0")
        self.assertEqual(step.state.upstream.port, 102)
        self.assertEqual(step.attempts, 0)

    def test_request_of_another_node_goes_to_upstreams_only(self):
        built = build_isolated_router()
        for earlier in (0, 1):
            lifecycle = build_lifecycle(built, earlier=earlier)
            step = lifecycle.choose_next_step(0.0)
            self.assertNotIsInstance(step, steps.SendThrough)

    def test_attempts_at_both_nodes_keep_the_limit_of_the_route(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built, earlier=3)
        step = lifecycle.choose_next_step(0.0)
        self.assertIsInstance(step, steps.Reject)
        self.assertEqual(step.failure.status, 502)

    def test_unsafe_request_is_not_sent_again_if_a_node_may_have_run_it(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built, forwarding_world.UNSAFE)
        lifecycle.choose_next_step(0.0)
        lifecycle.record_connection_failure("broke", True, 0.1)
        step = lifecycle.choose_next_step(0.1)
        self.assertIsInstance(step, steps.Reject)
        self.assertEqual(step.failure.status, 502)

    def test_unsafe_request_that_no_node_took_goes_to_the_next(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built, forwarding_world.UNSAFE)
        nodes = set()
        for way in ("not taken", "not reached", "not taken"):
            step = lifecycle.choose_next_step(0.0)
            nodes.add(step.node)
            if way == "not taken":
                verdict = lifecycle.detour.evaluate_head(
                    lifecycle.attempts[-1], 503, "isolated", False, 0.0
                )
                self.assertIs(verdict, steps.Verdict.RETRY)
            else:
                lifecycle.record_connection_failure("refused", False, 0.0)
        self.assertEqual(len(nodes), 3)
        # Nobody can help: the request has not run, and is told so at once.
        step = lifecycle.choose_next_step(0.0)
        self.assertIsInstance(step, steps.Reject)
        self.assertEqual(step.failure.status, 503)
        self.assertIsNotNone(step.failure.retry_after_s)

    def test_broken_stream_goes_on_through_another_node(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built)
        first = lifecycle.choose_next_step(0.0)
        lifecycle.detour.evaluate_head(
            lifecycle.attempts[-1], 200, "", False, 0.0
        )
        lifecycle.delivering = True
        lifecycle.record_connection_failure("broke", True, 0.1)
        second = lifecycle.choose_next_step(0.1)
        self.assertIsInstance(second, steps.SendThrough)
        self.assertNotEqual(second.node, first.node)
        self.assertEqual(second.attempts, 1)

    def fall_silent(self, lifecycle, now):
        """Lets the node of the latest attempt give no sign of life."""
        self.assertLessEqual(
            lifecycle.compute_timeout(now), detour.CHECK_AFTER_S
        )
        now += detour.CHECK_AFTER_S
        attempt = lifecycle.attempts[-1]
        self.assertTrue(lifecycle.detour.needs_check(attempt, now))
        lifecycle.detour.record_check(attempt, False, now)
        self.assertEqual(lifecycle.compute_timeout(now), 0.0)
        return lifecycle.handle_timeout(now)

    def test_safe_request_leaves_a_node_that_falls_silent(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built, forwarding_world.SAFE)
        first = lifecycle.choose_next_step(0.0)
        second = self.fall_silent(lifecycle, 0.0)
        self.assertIsInstance(second, steps.SendThrough)
        self.assertNotEqual(second.node, first.node)
        self.assertEqual(second.attempts, 1)

    def test_stream_goes_on_when_its_node_falls_silent(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built)
        lifecycle.choose_next_step(0.0)
        lifecycle.detour.evaluate_head(
            lifecycle.attempts[-1], 200, "", False, 0.1
        )
        lifecycle.delivering = True
        lifecycle.record_bytes(0.2)
        step = self.fall_silent(lifecycle, 0.2)
        self.assertIsInstance(step, steps.SendThrough)

    def test_unsafe_request_waits_for_a_node_that_falls_silent(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built, forwarding_world.UNSAFE)
        lifecycle.choose_next_step(0.0)
        step = self.fall_silent(lifecycle, 0.0)
        self.assertIsInstance(step, steps.Wait)
        self.assertIsNone(lifecycle.attempts[-1].end_cause)

    def test_node_that_gives_a_sign_of_life_is_waited_for(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built, forwarding_world.SAFE)
        lifecycle.choose_next_step(0.0)
        lifecycle.detour.record_check(lifecycle.attempts[-1], True, 0.5)
        self.assertGreater(lifecycle.compute_timeout(0.5), 0.0)

    def test_nodes_that_are_asked_are_limited(self):
        built = build_isolated_router(nodes=20)
        lifecycle = build_lifecycle(built)
        for _ in range(detour.MAX_NODES):
            lifecycle.choose_next_step(0.0)
            lifecycle.record_connection_failure("refused", False, 0.0)
        step = lifecycle.choose_next_step(0.0)
        self.assertNotIsInstance(step, steps.SendThrough)

    def test_request_is_counted_by_one_node_only(self):
        counts = []
        for is_isolated in (True, False):
            built = build_isolated_router()
            if not is_isolated:
                built.isolation.record_survey(True, False, 0.0)
            before = built.retry_budget.count_remaining("llm", 0.0)
            build_lifecycle(built).choose_next_step(0.0)
            after = built.retry_budget.count_remaining("llm", 0.0)
            counts.append(round(after - before, 3))
        self.assertEqual(counts[0], 0.0)
        self.assertGreater(counts[1], 0.0)

    def test_upstreams_are_used_at_once_when_they_are_reached_again(self):
        built = forwarding_world.build_router(
            forwarding_world.build_upstream("a")
        )
        state = built.directory.get("a")
        directory.record_unreachable(state, 1.0)
        built.directory.forget_connection_failures()
        self.assertFalse(state.is_backing_off(1.0))
        self.assertFalse(state.is_unreachable())

    def test_nothing_is_held_against_upstreams(self):
        built = build_isolated_router()
        lifecycle = build_lifecycle(built)
        lifecycle.choose_next_step(0.0)
        lifecycle.record_connection_failure("broke", True, 0.1)
        lifecycle.record_possible_crash(0.1)
        for state in built.directory.list_all():
            self.assertEqual(state.connection_failures, 0)
            self.assertEqual(state.failure_rate, 0.0)
        self.assertEqual(built.quarantine.list_incarnations_to_check(9.0), [])


class RelayHeadersTest(unittest.TestCase):
    """Guards against marks of callers and malformed ones."""

    @hypothesis.given(strategies.integers(0, relay_headers.MAX_ATTEMPTS))
    def test_attempts_are_read_and_removed(self, attempts):
        headers = [
            (b"Host", b"a"),
            *relay_headers.encode_request(attempts),
        ]
        self.assertEqual(relay_headers.take_attempts(headers), attempts)
        self.assertEqual(headers, [(b"Host", b"a")])

    def test_malformed_marks_count_as_none(self):
        name, _ = relay_headers.encode_request(0)[0]
        for values in ([], [b""], [b"-1"], [b"100"], [b"x"], [b"1", b"1"]):
            headers = [(name.lower(), value) for value in values]
            self.assertIsNone(relay_headers.take_attempts(headers))
            self.assertEqual(headers, [])


if __name__ == "__main__":
    unittest.main()
