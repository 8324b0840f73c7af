"""Tests of the load table."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.routing import load_table
from sycamorehollow.decisions.routing import peer_loads
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import deployment
from sycamorehollow.model import events


def make_table(process="a#1", place="dc", names=("u",)):
    """Returns a table with upstreams of 1,000 tokens."""
    table = load_table.LoadTable(process, place)
    configured = tuple(
        deployment.Upstream(name, "", "dc", ("v",), 1000) for name in names
    )
    table.handle(upstream_events.UpstreamsConfigured(configured), 0.0)
    return table


def report(held, at, generation=1, capacity=1000, name="u"):
    """Returns a load report of an upstream."""
    return upstream_events.LoadReported(
        name, at, generation, False, 1, held, capacity
    )


class TableTest(unittest.TestCase):
    """Guards the estimate that selection and capacity rely on."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("start", "end", "report", "swap")),
                strategies.integers(0, 3),
            ),
            max_size=30,
        )
    )
    def test_estimate_is_exact_without_lag(self, steps):
        """Work of the process or a peer must be counted exactly once."""
        tables = [make_table("a#1"), make_table("b#1")]
        running = {}
        for now, (step, number) in enumerate(steps, start=1):
            owner = number % 2
            held = sum(running.values())
            if step == "start" and (owner, number) not in running:
                running[owner, number] = 10 + number
                tables[owner].handle(
                    upstream_events.AttemptStarted(
                        str(number), "u", 10 + number
                    ),
                    now,
                )
            if step == "end" and (owner, number) in running:
                del running[owner, number]
                tables[owner].handle(
                    upstream_events.AttemptEnded(
                        str(number),
                        "u",
                        upstream_events.AttemptStatus.COMPLETED,
                    ),
                    now,
                )
            if step == "report":
                tables[owner].handle(report(held, now), now)
            for table, other in (tables, tables[::-1]):
                delta = other.build_delta(table.build_digest(now), now)
                table.merge(delta, now)
                table.merge(delta, now)
            # A second exchange carries what the first summary had not seen.
            for table, other in (tables, tables[::-1]):
                table.merge(
                    other.build_delta(table.build_digest(now), now), now
                )
            for table in tables:
                view = table.view("u", now)
                self.assertEqual(view.estimated_tokens, sum(running.values()))

    def test_old_report_is_ignored(self):
        """An outdated report that arrives late must not lower the estimate."""
        table = make_table()
        table.handle(report(500, 2.0), 2.0)
        table.handle(report(0, 1.0), 2.1)
        table.handle(report(0, 3.0, generation=0), 3.0)
        self.assertEqual(table.view("u", 3.0).estimated_tokens, 500)

    def test_work_before_the_first_report_counts(self):
        """The first report may be older than the first attempt."""
        table = make_table()
        table.handle(upstream_events.AttemptStarted("1", "u", 7), 1.0)
        table.handle(report(500, 0.5), 1.5)
        self.assertEqual(table.view("u", 2.0).estimated_tokens, 507)

    def test_expired_share_does_not_return(self):
        """The load of a dead peer must not stay in the estimate."""
        first, second = make_table("a#1"), make_table("b#1")
        first.handle(upstream_events.AttemptStarted("1", "u", 7), 0.0)
        first.build_digest(0.0)
        delta = first.build_delta(second.build_digest(0.0), 0.0)
        second.merge(delta, 0.0)
        self.assertEqual(second.view("u", 0.0).peer_tokens, 7)
        later = peer_loads.PEER_TTL_INTERVALS + 1.0
        second.handle(events.Tick(), later)
        second.merge(delta, later)
        self.assertEqual(second.view("u", later).peer_tokens, 0)

    def test_other_data_centre_receives_only_its_upstreams(self):
        """Loads of all upstreams in all data centres would exceed 10 KB/s."""
        table, far = make_table("a#1"), make_table("b#1", place="far")
        table.handle(upstream_events.AttemptStarted("1", "u", 7), 0.0)
        table.build_digest(0.0)
        delta = table.build_delta(far.build_digest(0.0), 0.0)
        self.assertNotIn("u", peer_loads.decompress_json(delta)[0][3])

    def test_shares_stay_within_the_control_budget(self):
        """53 processes that publish each second exceed 10 KB/s."""
        names = [f"atlas-large-{number:02}" for number in range(94)]
        tables = [make_table(f"p{index}#1", names=names) for index in range(53)]
        for index, table in enumerate(tables):
            for number, name in enumerate(names):
                tokens = 97 * number * (index + 1) % 30011
                started = upstream_events.AttemptStarted(name, name, tokens)
                table.handle(started, 0.0)
        received = 0
        for now in range(20):
            for index, table in enumerate(tables):
                other = tables[(index + 1 + 7 * now) % 53]
                digest = table.build_digest(float(now))
                delta = other.build_delta(digest, float(now))
                table.merge(delta, float(now))
                if table is tables[0] and now >= 10:
                    received += len(digest) + len(delta)
        self.assertLess(received / 10, 5000)

    def test_refused_connection_backs_off(self):
        """A dead upstream must not be chosen for each new attempt."""
        table = make_table()
        table.handle(upstream_events.ConnectFailed("u"), 0.0)
        self.assertFalse(table.view("u", 0.5).reachable)
        self.assertTrue(table.view("u", 1.0).reachable)
