"""Tests of the outstanding prefill and of the engines of a service."""

import json
import unittest

import loguru

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import prefill_budget
from sycamorehollow.model import forwarding
from sycamorehollow.platform import documents
from sycamorehollow.shells.gateway import telemetry
from tests import forwarding_world


def build_router(*names):
    """Returns a router to engines."""
    services = {
        "llm": forwarding.Service(
            "llm", 0, engine=forwarding.Engine(prefill_budget=True)
        )
    }
    return forwarding_world.build_router(
        *map(forwarding_world.build_upstream, names),
        configuration=forwarding_world.build_configuration(services=services),
    )


def send(router, tokens, now=0.0, **changes):
    """Sends a request; returns its lifecycle and the upstream's name."""
    request = forwarding_world.build_request(prompt_tokens=tokens)
    route = forwarding_world.build_route(**changes)
    course = forwarding_world.build_lifecycle(router, request, route, now)
    state = course.choose_next_step(now).state
    state.running += 1
    return course, state.upstream.identity


class EngineEntryTest(unittest.TestCase):
    """Guards against an entry that rejects a configuration."""

    def test_all_fields_are_optional(self):
        full = forwarding.Engine(16, 900_000, {"m": 2.5, "n": 0.0})
        entry = {
            "slots": 16,
            "kvCapacity": 900_000,
            "models": [{"name": "m", "cost": 2.5}, {"name": "n"}],
        }
        empty = forwarding.Engine()
        for value, engine in (
            (entry, full),
            ({}, empty),
            (None, None),
            ({"slots": "many"}, empty),
            ([1], empty),
        ):
            services = [{"name": "llm", "engine": value}]
            text = json.dumps({"version": 1, "services": services})
            configuration = documents.decode_configuration(text)
            self.assertEqual(configuration.services["llm"].engine, engine)


class PrefillBudgetTest(unittest.TestCase):
    """Guards against prefill that is forgotten or counted for ever."""

    def test_prefill_counts_until_the_first_event_or_the_end(self):
        router = build_router("a")
        budget, state = router.placement.budget, router.directory.get("a")
        first, _ = send(router, 10_000)
        second, _ = send(router, 20_000)
        self.assertAlmostEqual(budget.estimate_outstanding_s(state, 0.0), 0.3)
        first.evaluate_head(forwarding_world.build_head(), 0.1)
        self.assertAlmostEqual(budget.estimate_outstanding_s(state, 0.0), 0.3)
        first.record_bytes(0.1)
        first.record_bytes(0.2)
        self.assertAlmostEqual(budget.estimate_outstanding_s(state, 0.0), 0.2)
        second.record_connection_failure("broke", True, 0.2)
        self.assertEqual(budget.estimate_outstanding_s(state, 0.0), 0.0)

    def test_requests_of_others_count_as_the_own_mix(self):
        budget = prefill_budget.PrefillBudget()
        state = build_router("a").directory.get("a")
        state.load, state.load_at = forwarding.Load(8, 4, 8), 0.0
        for _ in range(200):
            prompt = budget.record_sent(state, "m", 5000, 1.0, 1.0)
            prompt.record_end()
        others = budget.estimate_others(state, 0.0)
        self.assertEqual(others, 12)
        # Four wait, and a fifth of the others.
        expected_s = (4 + 0.2 * 8) * 0.05
        outstanding_s = budget.estimate_outstanding_s(state, others)
        self.assertAlmostEqual(outstanding_s, expected_s, 3)

    def test_short_prompts_avoid_a_long_one(self):
        router = build_router("a", "b")
        _, busy = send(router, 50_000)
        for _ in range(4):
            self.assertNotEqual(send(router, 100)[1], busy)

    def test_long_prompt_avoids_many_short_ones(self):
        router = build_router("a", "b", "c")
        for name, count in (("a", 5), ("b", 5), ("c", 1)):
            state = router.directory.get(name)
            state.load, state.load_at = forwarding.Load(count, 0, 8), 0.0
        self.assertEqual(send(router, 50_000)[1], "c")

    def test_nobody_is_refused_when_nothing_fits(self):
        router = build_router("a", "b")
        names = {send(router, 50_000, objective_s=0.1)[1] for _ in range(9)}
        self.assertEqual(names, {"a", "b"})


class TelemetryTest(unittest.TestCase):
    """Guards against choices that cannot be explained afterwards."""

    def test_rule_is_counted_and_logged(self):
        lines = []
        sink = loguru.logger.add(lambda line: lines.append(str(line)))
        self.addCleanup(loguru.logger.remove, sink)
        measures = telemetry.Telemetry()
        course, _ = send(build_router("a"), 100)
        course.attempts[0].is_widened = True
        record = telemetry.RequestRecord(0.0, service="llm")
        measures.record_request(record, course)
        text = measures.render_metrics().decode()
        self.assertIn('choices_total{rule="fits",service="llm"} 1.0', text)
        self.assertIn('widened_choices_total{service="llm"} 1.0', text)
        self.assertIn("chosen: fits, 1 of 1, ", "".join(lines))
        self.assertIn(" ms, widened", "".join(lines))


class HerdingTest(unittest.TestCase):
    """Guards against nodes that follow one old report together."""

    def _report(self, router, loads, at=0.0):
        for name, running in loads.items():
            state = router.directory.get(name)
            state.load = forwarding.Load(running, 0, 8)
            state.load_at = at

    def test_one_node_takes_a_part_of_the_free_slots_only(self):
        for now, most in ((1.0, 2), (0.1, 9)):
            router = build_router("a", "b", "c")
            self._report(router, {"a": 0, "b": 5, "c": 5})
            names = [send(router, 100, now)[1] for _ in range(10)]
            count = next(i for i, n in enumerate(names) if n != "a")
            self.assertLessEqual(count, most)
            self.assertGreaterEqual(count, 1)

    def test_a_report_renews_the_part(self):
        router = build_router("a", "b", "c")
        self._report(router, {"a": 0, "b": 7, "c": 7}, 0.7)
        while send(router, 100, 1.0)[1] == "a":
            pass
        state = router.directory.get("a")
        head = forwarding_world.build_head(load=forwarding.Load(2, 0, 8))
        directory.record_response(state, head, False, 1.0)
        self.assertEqual(send(router, 100, 1.0)[1], "a")

    def test_old_reports_fade_to_the_mean(self):
        router = build_router("a")
        budget, state = router.placement.budget, router.directory.get("a")
        self._report(router, {"a": 4})
        for _ in range(100):
            budget.record_response(state, "m", 0, 0.0)
        self._report(router, {"a": 0})
        self.assertEqual(budget.estimate_others(state, 0.0), 0.0)
        self.assertAlmostEqual(budget.estimate_others(state, 60.0), 4.0, 1)

    def test_nodes_with_one_view_choose_differently(self):
        names = set()
        for seed in range(20):
            router = build_router("a", "b", "c", "d")
            router.rng.seed(seed)
            names.add(send(router, 100)[1])
        self.assertEqual(names, {"a", "b", "c", "d"})
