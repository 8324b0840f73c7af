"""Tests of the capacity of upstreams."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.routing import capacity
from sycamorehollow.decisions.routing import upstream_events
from tests import test_upstreams

STEP_S = 0.25
# A poll at least once a second; each report is a quarter of a second old.
POLL_STEPS = 4


class CapacityTest(unittest.TestCase):
    """Guards against upstreams that crash because they run out of memory."""

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(strategies.data())
    def test_held_tokens_stay_within_memory(self, data):
        """Processes that use different reports must not exceed the memory."""
        count = data.draw(strategies.integers(2, 4))
        nodes = []
        for index in range(count):
            table = test_upstreams.make_table(f"p{index}")
            nodes.append(
                (
                    table,
                    capacity.Capacity(
                        table, count, upstreams_enforce_limit=False
                    ),
                )
            )
        running = {}
        held_before = 0
        waits = [0] * count
        for step in range(data.draw(strategies.integers(1, 40))):
            now = step * STEP_S
            for index, (table, _) in enumerate(nodes):
                waits[index] -= 1
                if waits[index] >= 0:
                    continue
                waits[index] = data.draw(strategies.integers(0, POLL_STEPS - 1))
                seen = test_upstreams.report(held_before, now - STEP_S)
                table.handle(seen, now)
            held_before = sum(running.values())
            self._act(data, nodes, running, step, now)
            self.assertLessEqual(sum(running.values()), 1000)
            # Reports of the next step are the first to include this work.
            held_before = sum(running.values())

    def _act(self, data, nodes, running, step, now):
        for index, (table, room) in enumerate(nodes):
            action = data.draw(strategies.sampled_from(("idle", "fill", "end")))
            if action == "end":
                for key in [key for key in running if key[0] == index]:
                    del running[key]
                    table.handle(
                        upstream_events.AttemptEnded(
                            str(key[1]),
                            "u",
                            upstream_events.AttemptStatus.COMPLETED,
                        ),
                        now,
                    )
            if action == "fill":
                free = room.count_free_tokens("u", capacity.Demand(0, 1), now)
                self.assertFalse(
                    room.has_room(
                        "u", capacity.Demand(0, max(0, free) + 1), now
                    )
                )
                if free > 0 and table.find_load("u").report is not None:
                    running[index, step] = free
                    table.handle(
                        upstream_events.AttemptStarted(str(step), "u", free),
                        now,
                    )

    def test_reserve_is_for_short_requests(self):
        """Without it a short request would wait for a long one to end."""
        table = test_upstreams.make_table()
        table.handle(test_upstreams.report(55000, 0.0, capacity=60000), 0.0)
        room = capacity.Capacity(table)
        self.assertTrue(room.has_room("u", capacity.Demand(500, 500), 0.0))
        self.assertFalse(room.has_room("u", capacity.Demand(3000, 0), 0.0))

    def test_beyond_the_share_the_estimate_decides(self):
        """A request larger than an equal share must still be placed."""
        table = test_upstreams.make_table()
        table.handle(test_upstreams.report(0, 0.0, capacity=100000), 0.0)
        room = capacity.Capacity(table, members=50)
        strict = capacity.Capacity(
            table, members=50, upstreams_enforce_limit=False
        )
        demand = capacity.Demand(20000, 1000)
        self.assertTrue(room.has_room("u", demand, 0.0))
        self.assertFalse(strict.has_room("u", demand, 0.0))
        for number in range(3):
            started = upstream_events.AttemptStarted(str(number), "u", 21000)
            table.handle(started, 0.1)
        self.assertFalse(room.has_room("u", demand, 0.2))

    def test_estimate_learns_the_speed(self):
        """A deadline that can't be met must be found before the start."""
        room = capacity.Capacity(test_upstreams.make_table())
        demand = capacity.Demand(1000, 101, deadline=5.0)
        self.assertTrue(room.can_meet_deadline("u", demand, 0.0))
        for _ in range(100):
            room.record_speed("u", 1000, 1.0, 101, 10.0)
        self.assertFalse(room.can_meet_deadline("u", demand, 0.0))
        self.assertAlmostEqual(
            room.estimate_duration_s("u", demand), 11.1, delta=0.5
        )
