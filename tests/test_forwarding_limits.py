"""Tests of the request limits that upstreams state."""

import dataclasses
import unittest

from sycamorehollow.decisions.forwarding import stated_limits
from tests import forwarding_world

UPSTREAM = forwarding_world.build_upstream("a", started_ms=5)


class StatedLimitsTest(unittest.TestCase):
    """Guards against limits that are missed, kept or given to others."""

    def setUp(self):
        self.limits = stated_limits.StatedLimits("node-1/1")

    def record(self, at, limit=None, sent_at=None, **head):
        """Records a response."""
        self.limits.record_response(
            UPSTREAM,
            forwarding_world.build_head(limit_per_s=limit, **head),
            at - 0.1 if sent_at is None else sent_at,
            at,
        )

    def test_latest_statement_counts(self):
        self.assertIsNone(self.limits.get_limit(UPSTREAM, 0.0))
        self.record(1.0, 2.4)
        self.record(2.0, 3.5)
        self.assertEqual(self.limits.get_limit(UPSTREAM, 9.0), 3.5)
        self.assertEqual(self.limits.count_limited(), 1)

    def test_end_raises_the_limit_step_by_step(self):
        self.record(1.0, 2.0)
        self.record(2.0)
        self.assertEqual(self.limits.count_limited(), 0)
        rates = [self.limits.get_limit(UPSTREAM, at) for at in (2.0, 3.0, 4.0)]
        self.assertEqual(rates, [2.0, 8.0, 32.0])
        self.assertIsNone(self.limits.get_limit(UPSTREAM, 5.0))

    def test_response_under_way_does_not_end_a_limit(self):
        self.record(1.0, 2.0)
        self.record(1.2, sent_at=0.9)
        self.assertEqual(self.limits.get_limit(UPSTREAM, 1.2), 2.0)

    def test_other_responses_say_nothing(self):
        self.record(1.0, 2.0)
        for head in (
            {"misdirected": True, "not_run": True},
            {"limit_invalid": True},
            {"sealed": False},
        ):
            with self.subTest(head):
                self.record(2.0, **head)
                self.assertEqual(self.limits.get_limit(UPSTREAM, 2.0), 2.0)
        self.record(3.0, 9.0, misdirected=True, not_run=True)
        self.assertEqual(self.limits.get_limit(UPSTREAM, 3.0), 2.0)

    def test_new_incarnation_is_not_limited(self):
        self.record(1.0, 2.0)
        again = forwarding_world.build_upstream("a", started_ms=6)
        self.assertIsNone(self.limits.get_limit(again, 1.0))

    def test_changes_are_logged_once(self):
        for at in (1.0, 2.0, 3.0):
            self.record(at, 2.0)
        self.record(4.0)
        changes = [s.requests_per_s for s in self.limits.take_changes()]
        self.assertEqual(changes, [2.0, None])
        self.assertEqual(self.limits.take_changes(), [])

    def test_statements_of_other_nodes_spread(self):
        self.record(1.0, 2.0)
        other = stated_limits.StatedLimits("node-2/1")
        other.merge(self.limits.export())
        self.assertEqual(other.get_limit(UPSTREAM, 1.0), 2.0)
        self.record(2.0)
        other.merge(self.limits.export())
        self.assertIsNone(other.get_limit(UPSTREAM, 9.0))
        # An earlier statement that comes late changes nothing.
        late = stated_limits.StatedLimits("node-3/1")
        late.record_response(
            UPSTREAM, forwarding_world.build_head(limit_per_s=2.0), 0.9, 1.0
        )
        other.merge(late.export())
        self.assertIsNone(other.get_limit(UPSTREAM, 9.0))

    def test_delay_of_messages_does_not_renew_a_statement(self):
        self.record(1.0, 2.0)
        [statement] = self.limits.export()
        delayed = dataclasses.replace(statement, seen_at=1.5)
        self.limits.merge([delayed])
        self.assertEqual(self.limits.get(UPSTREAM).seen_at, 1.0)

    def test_statements_about_unknown_upstreams_are_dropped(self):
        self.record(1.0, 2.0)
        self.limits.evict_expired([UPSTREAM.incarnation], 100.0)
        self.assertEqual(self.limits.get_limit(UPSTREAM, 100.0), 2.0)
        self.limits.evict_expired([], 100.0)
        self.assertEqual(self.limits.export(), [])


if __name__ == "__main__":
    unittest.main()
