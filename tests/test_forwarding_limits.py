"""Tests of the request limits that upstreams state."""

import dataclasses
import unittest

from sycamorehollow.decisions.forwarding import node_ranks
from sycamorehollow.decisions.forwarding import permit_loans
from sycamorehollow.decisions.forwarding import rate_limiter
from sycamorehollow.decisions.forwarding import stated_limits
from tests import forwarding_world
from tests import limit_rule
from tests import limited_fleet

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
        self.assertIsNone(self.limits.get_limit(UPSTREAM.incarnation, 0.0))
        self.record(1.0, 2.4)
        self.record(2.0, 3.5)
        self.assertEqual(self.limits.get_limit(UPSTREAM.incarnation, 9.0), 3.5)
        self.assertEqual(self.limits.count_limited(), 1)

    def test_end_raises_the_limit_step_by_step(self):
        self.record(1.0, 2.0)
        self.record(2.0)
        self.assertEqual(self.limits.count_limited(), 0)
        rates = [
            self.limits.get_limit(UPSTREAM.incarnation, at)
            for at in (2.0, 3.0, 4.0)
        ]
        self.assertEqual(rates, [2.0, 8.0, 32.0])
        self.assertIsNone(self.limits.get_limit(UPSTREAM.incarnation, 5.0))

    def test_response_under_way_does_not_end_a_limit(self):
        self.record(1.0, 2.0)
        self.record(1.2, sent_at=0.9)
        self.assertEqual(self.limits.get_limit(UPSTREAM.incarnation, 1.2), 2.0)

    def test_other_responses_say_nothing(self):
        self.record(1.0, 2.0)
        for head in (
            {"misdirected": True, "not_run": True},
            {"limit_invalid": True},
            {"sealed": False},
        ):
            with self.subTest(head):
                self.record(2.0, **head)
                self.assertEqual(
                    self.limits.get_limit(UPSTREAM.incarnation, 2.0), 2.0
                )
        self.record(3.0, 9.0, misdirected=True, not_run=True)
        self.assertEqual(self.limits.get_limit(UPSTREAM.incarnation, 3.0), 2.0)

    def test_new_incarnation_is_not_limited(self):
        self.record(1.0, 2.0)
        again = forwarding_world.build_upstream("a", started_ms=6)
        self.assertIsNone(self.limits.get_limit(again.incarnation, 1.0))

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
        other.merge(self.limits.list_all())
        self.assertEqual(other.get_limit(UPSTREAM.incarnation, 1.0), 2.0)
        self.record(2.0)
        other.merge(self.limits.list_all())
        self.assertIsNone(other.get_limit(UPSTREAM.incarnation, 9.0))
        # An earlier statement that comes late changes nothing.
        late = stated_limits.StatedLimits("node-3/1")
        late.record_response(
            UPSTREAM, forwarding_world.build_head(limit_per_s=2.0), 0.9, 1.0
        )
        other.merge(late.list_all())
        self.assertIsNone(other.get_limit(UPSTREAM.incarnation, 9.0))

    def test_unchanged_statements_are_sent_again_after_a_time(self):
        self.record(1.0, 2.0)
        self.assertEqual(len(self.limits.export("node-2", 1.0)), 1)
        self.record(2.0, 2.0)
        self.assertEqual(self.limits.export("node-2", 2.0), [])
        self.assertEqual(len(self.limits.export("node-3", 2.0)), 1)
        self.record(2.5, 3.0)
        self.assertEqual(len(self.limits.export("node-2", 2.5)), 1)
        self.record(3.0)
        self.assertEqual(len(self.limits.export("node-2", 3.0)), 1)
        again = 3.0 + stated_limits.RESEND_S
        self.assertEqual(len(self.limits.export("node-2", again)), 1)

    def test_delay_of_messages_does_not_renew_a_statement(self):
        self.record(1.0, 2.0)
        [statement] = self.limits.list_all()
        delayed = dataclasses.replace(statement, seen_at=1.5)
        self.limits.merge([delayed])
        self.assertEqual(self.limits.get(UPSTREAM.incarnation).seen_at, 1.0)

    def test_statements_about_unknown_upstreams_are_dropped(self):
        self.record(1.0, 2.0)
        self.limits.evict_expired([UPSTREAM.incarnation], 100.0)
        self.assertEqual(
            self.limits.get_limit(UPSTREAM.incarnation, 100.0), 2.0
        )
        self.limits.evict_expired([], 100.0)
        self.assertEqual(self.limits.list_all(), [])


class LimitedFleetTest(unittest.TestCase):
    """Guards against fleets that exceed a limit, or leave it unused."""

    STATED_AT = 2.0
    END = 15.0

    def build(self, nodes, limit, limited, rate=40.0, seed=1):
        """Returns a fleet under load whose upstreams state a limit."""
        fleet = limited_fleet.Fleet(nodes, 3, seed)
        fleet.press(rate, 0.0, self.END)
        chosen = list(fleet.upstreams.values())[:limited]

        def state_limits():
            for upstream in chosen:
                upstream.limit = limit

        fleet.at(self.STATED_AT, state_limits)
        return fleet

    def check(self, fleet, limit, excused=()):
        """Checks the worst window of each upstream that states the limit.

        Args:
            fleet: The fleet, after its run.
            limit: The limit.
            excused: Names of nodes whose requests do not count.
        """
        since = self.STATED_AT + limit_rule.CONTACT_S
        for identity, upstream in fleet.upstreams.items():
            if upstream.limit is None:
                continue
            times = [at for at, n in upstream.arrivals if n not in excused]
            worst = limit_rule.count_worst_window(times, since)
            allowed = limit_rule.compute_allowed(limit)
            self.assertLessEqual(worst, allowed, identity)

    def test_limits_hold_at_each_size(self):
        for nodes in (1, 9, 60, 195):
            for limit in (0.0, 0.1, 0.3, 2.4, 10.0, 200.0):
                for limited in (1, 3):
                    with self.subTest(f"{nodes} {limit} {limited}"):
                        fleet = self.build(nodes, limit, limited)
                        fleet.run(self.END)
                        self.check(fleet, limit)

    def test_bursts_at_all_nodes_are_kept_off(self):
        for nodes in (9, 195):
            for limit in (0.3, 2.4, 10.0):
                with self.subTest(f"{nodes} {limit}"):
                    fleet = self.build(nodes, limit, 3, rate=5.0)
                    for at in (6.0, 6.1, 9.0, 12.5):
                        fleet.burst(at)
                    fleet.run(self.END)
                    self.check(fleet, limit)

    def test_added_nodes_that_others_do_not_know_fit_in(self):
        for nodes in (9, 60):
            fleet = self.build(nodes, 2.4, 3, rate=80.0)
            fleet.run(4.0)
            for number in range(nodes // 4):
                fleet.add(f"added-{number}")
            fleet.run(self.END)
            self.check(fleet, 2.4)

    def test_isolated_nodes_keep_to_their_part(self):
        fleet = self.build(60, 2.4, 3, rate=80.0)
        fleet.run(4.0)
        fleet.isolated = {f"node-{number}" for number in range(40)}
        fleet.run(self.END)
        self.check(fleet, 2.4)

    def test_restarted_nodes_hold_the_others_to_the_limit(self):
        fleet = self.build(9, 2.4, 3, rate=80.0)
        restarted = {f"node-{number}" for number in range(3)}
        for at in (5.0, 7.0, 9.0, 11.0):
            fleet.run(at)
            for name in restarted:
                fleet.start(name, list(fleet.routers))
        fleet.run(self.END)
        self.check(fleet, 2.4, excused=restarted)

    def test_limit_is_used_wherever_requests_arrive(self):
        for nodes in (9, 60, 195):
            with self.subTest(nodes):
                fleet = self.build(nodes, 2.4, 3)
                fleet.run(self.END)
                start = self.STATED_AT + limit_rule.CONTACT_S
                seconds = self.END - start
                for upstream in fleet.upstreams.values():
                    used = sum(at >= start for at, _ in upstream.arrivals)
                    self.assertGreaterEqual(used, 0.7 * 2.4 * seconds)

    def test_others_serve_what_one_upstream_does_not_take(self):
        fleet = self.build(60, 2.4, 1)
        fleet.run(self.END)
        self.assertEqual(fleet.compute_served_share(0.0, self.END), 1.0)

    def test_end_of_a_limit_reaches_all_nodes_without_a_rush(self):
        for nodes in (9, 195):
            with self.subTest(nodes):
                fleet = self.build(nodes, 2.4, 3, rate=60.0)
                fleet.run(8.0)
                for upstream in fleet.upstreams.values():
                    upstream.limit = None
                fleet.run(self.END)
                served = fleet.compute_served_share(12.0, self.END - 0.5)
                self.assertEqual(served, 1.0)
                for upstream in fleet.upstreams.values():
                    first = [at for at, _ in upstream.arrivals if 8 <= at < 9]
                    self.assertLess(len(first), 15)

    def test_rejected_callers_do_not_return_together(self):
        fleet = self.build(60, 2.4, 3, rate=80.0)
        fleet.run(self.END)
        self.assertGreater(len(set(fleet.retry_after)), 100)
        self.assertGreaterEqual(min(fleet.retry_after), 0.25)

    def test_urgent_requests_get_the_permits_first(self):
        fleet = limited_fleet.Fleet(1, 1)
        fleet.upstreams["u-0"].limit = 4.0
        urgent = forwarding_world.build_route(
            forwarding_world.SAFE, objective_s=2.0, priority=0
        )
        other = forwarding_world.build_route(
            forwarding_world.SAFE, objective_s=2.0, priority=3
        )
        for number in range(120):
            fleet.at(0.1 * number, fleet.send_request, None, urgent)
            fleet.at(0.1 * number, fleet.send_request, None, other)
        fleet.run(20.0)
        served = {
            route: sum(s == 200 for at, s, p in fleet.outcomes if p == route)
            for route in (0, 3)
        }
        self.assertGreater(served[0], 5 * max(1, served[3] - 15))


class RateLimiterTest(unittest.TestCase):
    """Guards against parts of a limit that add up to more than it."""

    def test_parts_and_bursts_add_up(self):
        for limit in (0.1, 0.3, 1.0, 2.4, 10.0, 200.0):
            window = limit * limit_rule.WINDOW_S
            most = window + rate_limiter.compute_burst(limit)
            self.assertLessEqual(
                most * node_ranks.UNKNOWN_NODE_FACTOR,
                limit_rule.FACTOR * window + limit_rule.EXTRA,
            )


class PermitLoansTest(unittest.TestCase):
    """Guards against permits that are lent twice or never."""

    def setUp(self):
        fleet = limited_fleet.Fleet(9, 1)
        self.now = 10.0
        for router in fleet.routers.values():
            router.stated_limits.record_response(
                fleet.upstreams["u-0"].entry,
                forwarding_world.build_head(limit_per_s=2.4),
                9.0,
                self.now,
            )
        self.upstream = fleet.upstreams["u-0"].entry
        self.key = self.upstream.incarnation
        self.routers = fleet.routers
        [self.asker] = [
            router
            for name, router in fleet.routers.items()
            if name == self.find_node(owner=False)
        ]

    def find_node(self, owner):
        """Returns the name of a node that owns a part of the limit or none."""
        for name, router in self.routers.items():
            # Fills the bucket from now on.
            router.rate_limiter.compute_own_delay(self.key, self.now)
            rate = router.rate_limiter.compute_own_rate(self.key, self.now)
            if (rate > 0) == owner:
                return name
        raise LookupError("there is no such node")

    def ask(self, waiting=1):
        """Returns the requests of a node that owns no part."""
        loans = self.asker.permit_loans
        loans.ask([self.upstream], waiting, self.now)
        return loans.take_requests()

    def test_lent_permit_is_spent_at_its_owner(self):
        owner = self.routers[self.find_node(owner=True)]
        self.assertTrue(owner.permit_loans.lend(self.key, self.now + 9).granted)
        reply = owner.permit_loans.lend(self.key, self.now + 9)
        self.assertFalse(reply.granted)
        self.assertGreater(reply.backoff_s, 1.0)
        again = owner.permit_loans.lend(self.key, self.now + 9)
        self.assertGreater(again.backoff_s, reply.backoff_s)

    def test_borrowed_permit_is_used_once_and_expires(self):
        [request] = self.ask()
        loans, limiter = self.asker.permit_loans, self.asker.rate_limiter
        self.assertGreater(limiter.compute_delay(self.key, self.now), 0)
        granted = permit_loans.PermitReply(True, 0.0)
        loans.record_reply(request, granted, self.now)
        self.assertEqual(limiter.compute_delay(self.key, self.now), 0.0)
        limiter.record_sent(self.key, self.now)
        self.assertGreater(limiter.compute_delay(self.key, self.now), 0)
        loans.record_reply(request, granted, self.now)
        later = self.now + permit_loans.PERMIT_TTL_S
        self.assertGreater(limiter.compute_delay(self.key, later), 0)

    def test_no_more_permits_are_asked_for_than_requests_wait(self):
        self.assertEqual(len(self.ask()), 1)
        self.assertEqual(self.ask(), [])
        self.assertEqual(len(self.ask(waiting=2)), 1)

    def test_owners_that_refuse_or_are_silent_are_left_alone(self):
        loans = self.asker.permit_loans
        owners = set()
        while requests := self.ask(waiting=9):
            owners.add(requests[0].owner)
            if len(owners) % 2:
                reply = permit_loans.PermitReply(False, 1.0)
                loans.record_reply(requests[0], reply, self.now)
        self.assertEqual(len(owners), rate_limiter.compute_burst(2.4))
        self.now += permit_loans.REPLY_TIMEOUT_S
        loans.evict_expired(self.now)
        self.assertAlmostEqual(loans.compute_delay(self.key, self.now), 0.7)


if __name__ == "__main__":
    unittest.main()
