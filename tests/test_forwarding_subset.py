"""Tests of the upstreams that a node considers."""

import collections
import unittest

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import engine_placement
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.decisions.forwarding import upstream_subset
from sycamorehollow.model import forwarding
from tests import forwarding_world

CANDIDATES = engine_placement.CANDIDATES


def build_sets(nodes, upstreams):
    """Returns the candidates of each node."""
    sets = {}
    for node in nodes:
        known = directory.Directory()
        for name in upstreams:
            known.register(forwarding_world.build_upstream(name), 0.0)
        subset = upstream_subset.UpstreamSubset(node, "dc-1", known)
        for other in nodes:
            subset.add_node(other, "dc-1")
        order = subset.list_order("llm")
        sets[node] = {s.upstream.identity for s in order[:CANDIDATES]}
    return sets


def count_moved(before, after):
    """Returns the share of candidates that are new."""
    moved = sum(len(after[node] - before[node]) for node in before)
    return moved / (len(before) * CANDIDATES)


class UpstreamSubsetTest(unittest.TestCase):
    """Guards against uneven candidates and against moves without need."""

    def test_nodes_are_spread_evenly_and_move_little(self):
        nodes = [f"n{number}" for number in range(60)]
        upstreams = [f"e{number}" for number in range(30)]
        sets = build_sets(nodes, upstreams)
        counts = collections.Counter(u for s in sets.values() for u in s)
        mean = len(nodes) * CANDIDATES / len(upstreams)
        self.assertEqual(set(counts), set(upstreams))
        self.assertLess(max(counts.values()), 1.4 * mean)
        self.assertGreater(min(counts.values()), 0.6 * mean)
        more = build_sets([*nodes, "new"], upstreams)
        self.assertLess(count_moved(sets, more), 0.03)
        fewer = build_sets(nodes, upstreams[1:])
        self.assertLess(count_moved(sets, fewer), 0.08)

    def test_order_follows_the_directory(self):
        known = directory.Directory()
        subset = upstream_subset.UpstreamSubset("n", "dc-1", known)
        names = ["a", "b", "c"]
        for name in names:
            centre = "dc-2" if name == "a" else "dc-1"
            upstream = forwarding_world.build_upstream(name, data_centre=centre)
            known.register(upstream, 0.0)
            order = [s.upstream.identity for s in subset.list_order("llm")]
            self.assertEqual(set(order), set(names[: len(order)]))
            self.assertEqual(order[-1], "a")
        known.remove("b", 0.0)
        known.evict_expired(9.0)
        self.assertEqual(len(subset.list_order("llm")), 2)


class CandidatesTest(unittest.TestCase):
    """Guards against restrictions that a bounded choice does not respect."""

    def setUp(self):
        engine = forwarding.Engine(prefill_budget=True)
        self.service = forwarding.Service("llm", 0, engine=engine)
        services = {"llm": self.service}
        self.router = forwarding_world.build_router(
            *(
                forwarding_world.build_upstream(
                    f"e{number}",
                    data_centre=f"dc-{number % 2 + 1}",
                    version=f"v{number % 5}",
                    models=("m",) if number % 3 else ("m", "n"),
                )
                for number in range(60)
            ),
            configuration=forwarding_world.build_configuration(
                services=services
            ),
        )
        self.states = self.router.directory.list_all()

    def _choose(self, now=1.0, request=None, **changes):
        requirements = placement.Requirements(
            request or forwarding_world.build_request(),
            self.service,
            **({"model": "m"} | changes),
        )
        return self.router.placement.choose(requirements, now)

    def _collect(self, count=60, **changes):
        chosen = [self._choose(**changes) for _ in range(count)]
        return {choice.state.upstream.identity for choice in chosen}

    def test_bounded_and_near(self):
        names = self._collect()
        self.assertLessEqual(len(names), CANDIDATES)
        for name in names:
            state = self.router.directory.get(name)
            self.assertEqual(state.upstream.data_centre, "dc-1")

    def test_restrictions(self):
        for choice in (self._choose(versions={"v3"}), self._choose(model="n")):
            self.assertEqual(choice.available, CANDIDATES)
        for _ in range(20):
            state = self._choose(versions={"v3"}, model="n").state
            self.assertEqual(state.upstream.version, "v3")
            self.assertIn("n", state.upstream.models)
        excluded = self._collect()
        self.assertFalse(excluded & self._collect(excluded=excluded))
        self.router.apply_event(updates.EvacuationSet("dc-1", True), 1.0)
        state = self._choose().state
        self.assertEqual(state.upstream.data_centre, "dc-2")

    def test_skips_what_is_full_paused_or_backing_off(self):
        usable = self.states[7]
        for state in self.states:
            if state is usable:
                continue
            number = int(state.upstream.identity[1:])
            state.full_until = 2.0 if number % 3 == 0 else 0.0
            state.paused_until = 2.0 if number % 3 == 1 else 0.0
            state.backoff_until = 2.0 if number % 3 == 2 else 0.0
        self.assertIs(self._choose().state, usable)
        usable.full_until = 2.0
        choice = self._choose()
        self.assertTrue(choice.state.is_backing_off(1.0))
        self.assertEqual(choice.rule, engine_placement.BACKING_OFF)
        for state in self.states:
            state.full_until = 2.0
        choice = self._choose()
        self.assertIsNone(choice.state)
        self.assertEqual(choice.reason, "all upstreams are full")

    def test_widens_when_the_first_are_slow(self):
        first = self._collect()
        self.assertFalse(self._choose().is_widened)
        for name in first:
            state = self.router.directory.get(name)
            state.load = forwarding.Load(1, 0, 8, 6.2)
            state.load_at = 1.0
        choice = self._choose()
        self.assertTrue(choice.is_widened)
        self.assertNotIn(choice.state.upstream.identity, first)

    def test_cached_prompts_reach_their_upstream(self):
        parts = (
            forwarding.PromptPart("shared", 8000),
            forwarding.PromptPart("own", 100),
        )
        request = forwarding_world.build_request(
            prompt_tokens=8100, prompt_parts=parts
        )
        names = self._collect(request=request)
        self.assertEqual(len(names), 1)
        other = next(
            s.upstream.identity
            for s in self.router.placement.subset.list_order("llm")
            if s.upstream.identity not in names | self._collect()
        )
        index = self.router.prefix_index
        index.record_prefill(other, "m", [parts[0]], 1.0)
        single = forwarding_world.build_request(
            prompt_tokens=8000, prompt_parts=parts[:1]
        )
        self.assertEqual(self._collect(request=single), {other})

    def test_own_data_centre_wins_and_a_cost_of_zero_is_no_error(self):
        router = forwarding_world.build_router(
            forwarding_world.build_upstream("near"),
            forwarding_world.build_upstream("far", data_centre="dc-2"),
        )
        work = placement.Requirements(
            forwarding_world.build_request(), self.service, model="m"
        )
        for count in range(20):
            state = router.placement.choose(work, count * 0.1).state
            self.assertEqual(state.upstream.identity, "near")
        router.placement.latency.record("near", "m", 1000, 0.0, 2.0)
        self.assertIsNotNone(router.placement.choose(work, 2.0).state)
