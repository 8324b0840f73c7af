"""Tests of the selection of upstreams."""

import random
import unittest

from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding
from tests import forwarding_world

UPSTREAMS = [
    forwarding_world.build_upstream(name, port=1000 + number)
    for number, name in enumerate("abcde")
]


class PlacementTest(unittest.TestCase):
    """Tests slow, failing, cold and distant upstreams."""

    def _spread(self, router, count=200, request=None, route=None, finish=None):
        """Sends requests one after the other; returns counts by upstream."""
        counts = {}
        for number in range(count):
            now = number * 0.1
            lifecycle = forwarding_world.build_lifecycle(
                router, request, route, now
            )
            step = lifecycle.choose_next_step(now)
            name = step.state.upstream.identity
            counts[name] = counts.get(name, 0) + 1
            if finish is not None:
                finish(lifecycle, name, now)
        return counts

    def test_slow_upstream_gets_less(self):
        router = forwarding_world.build_router(*UPSTREAMS[:3])

        def finish(lifecycle, name, now):
            took_s = 0.4 if name == "a" else 0.06
            lifecycle.evaluate_head(forwarding_world.build_head(), now + took_s)

        counts = self._spread(router, finish=finish)
        self.assertLess(counts.get("a", 0), 0.5 * 200 / 3)

    def test_failing_upstream_gets_less(self):
        router = forwarding_world.build_router(*UPSTREAMS[:3])

        def finish(lifecycle, name, now):
            status = 500 if name == "a" else 200
            lifecycle.evaluate_head(
                forwarding_world.build_head(status), now + 0.06
            )

        route = forwarding_world.build_route(models=())
        counts = self._spread(router, route=route, finish=finish)
        self.assertLess(counts.get("a", 0), 0.5 * 200 / 3)

    def test_own_data_centre_is_preferred_for_large_bodies(self):
        router = forwarding_world.build_router(
            forwarding_world.build_upstream("near"),
            forwarding_world.build_upstream("far", data_centre="dc-2"),
        )

        def finish(lifecycle, name, now):
            lifecycle.evaluate_head(forwarding_world.build_head(), now + 0.06)

        counts = self._spread(router, finish=finish)
        self.assertGreater(counts["near"], 150)

    def test_cold_upstream_gets_its_share_only(self):
        service = forwarding.Service("llm", 100, cold_requests_per_s=4.0)
        router = forwarding_world.build_router(
            forwarding_world.build_upstream("cold", cold_s=100.0),
            configuration=forwarding_world.build_configuration(
                services={"llm": service}
            ),
            cold_factor=1.0,
            cold_floor=0.0,
        )
        sent = 0
        for number in range(50):
            now = number * 0.02
            lifecycle = forwarding_world.build_lifecycle(router, now=now)
            if isinstance(lifecycle.choose_next_step(now), steps.Send):
                sent += 1
        self.assertLessEqual(sent, 4)

    def test_shared_prompt_parts_stay_together(self):
        router = forwarding_world.build_router(*UPSTREAMS)
        parts = (
            forwarding.PromptPart("shared", 8000),
            forwarding.PromptPart("own", 100),
        )
        request = forwarding_world.build_request(
            prompt_tokens=8100, prompt_parts=parts
        )

        def finish(lifecycle, name, now):
            lifecycle.evaluate_head(forwarding_world.build_head(), now + 0.1)

        counts = self._spread(router, 100, request, finish=finish)
        self.assertGreater(max(counts.values()), 80)

    def test_hot_prompt_part_spreads_when_its_upstream_fills(self):
        router = forwarding_world.build_router(*UPSTREAMS)
        parts = (
            forwarding.PromptPart("hot", 8000),
            forwarding.PromptPart("own", 100),
        )
        request = forwarding_world.build_request(
            prompt_tokens=8100, prompt_parts=parts
        )
        counts = {}
        source = random.Random(3)
        for number in range(60):
            lifecycle = forwarding_world.build_lifecycle(
                router, request, now=0.0
            )
            step = lifecycle.choose_next_step(source.random() * 0.01)
            name = step.state.upstream.identity
            step.state.running += 1
            counts[name] = counts.get(name, 0) + 1
            self.assertLess(number, 60)
        self.assertGreaterEqual(len(counts), 3)
