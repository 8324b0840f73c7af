"""Tests of the selection policies."""

import random
import unittest

from sycamorehollow.decisions.routing import capacity
from sycamorehollow.decisions.routing import load_table
from sycamorehollow.decisions.routing import prefix_index
from sycamorehollow.decisions.routing import selection
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import deployment
from sycamorehollow.model import failures

NAMES = tuple(f"u{number}" for number in range(100))
DEMAND = capacity.Demand(500, 100, deadline=100.0)


class SelectionTest(unittest.TestCase):
    """Guards the order of preference among upstreams."""

    def setUp(self):
        self.table = load_table.LoadTable("p", "dc")
        configured = [
            deployment.Upstream(name, "", "dc", ("v",), 100000)
            for name in NAMES
        ]
        configured.append(
            deployment.Upstream("far", "", "other", ("v",), 100000)
        )
        self.table.handle(
            upstream_events.UpstreamsConfigured(tuple(configured)), 0.0
        )
        self.holders = prefix_index.PrefixIndex()
        self.refused = set()
        self.asked = []
        self.chosen = selection.EstimateSelection(
            self.table,
            capacity.Capacity(self.table),
            self.holders,
            "dc",
            random.Random(1),
            self.can_start,
        )
        for name in (*NAMES, "far"):
            self.report(name, 50000)

    def can_start(self, name, now):
        self.asked.append(name)
        return name not in self.refused

    def report(self, name, held):
        self.table.handle(
            upstream_events.LoadReported(name, 0.0, 1, False, 1, held, 100000),
            0.0,
        )

    def choose(self, names, demand=DEMAND):
        return self.chosen.choose(demand, names, 1.0)

    def test_prefers_the_estimate(self):
        """With reports alone all new work would go to one upstream."""
        self.report("u0", 40000)
        self.assertEqual(self.choose(("u0", "u1")).upstream, "u0")
        self.table.handle(upstream_events.AttemptStarted("1", "u0", 20000), 0.5)
        self.assertEqual(self.choose(("u0", "u1")).upstream, "u1")

    def test_prefix_holder_joins_the_sample(self):
        """Two random candidates of 100 would miss the cached prefix."""
        demand = capacity.Demand(500, 100, block_hashes=("a",))
        self.holders.handle(prefix_index.PromptSent("u42", ("a",)), 0.0)
        for _ in range(20):
            self.assertEqual(self.choose(NAMES, demand).upstream, "u42")

    def test_loaded_prefix_holder_loses(self):
        """Affinity must not overload the holder of a popular prefix."""
        demand = capacity.Demand(500, 100, block_hashes=("a",))
        self.holders.handle(prefix_index.PromptSent("u0", ("a",)), 0.0)
        self.report("u0", 60000)
        self.assertEqual(self.choose(("u0", "u1"), demand).upstream, "u1")

    def test_own_data_centre_first(self):
        """A less loaded remote upstream must not be preferred."""
        self.report("far", 0)
        self.assertEqual(self.choose(("u0", "far")).upstream, "u0")
        self.refused = {"u0"}
        self.assertEqual(self.choose(("u0", "far")).upstream, "far")

    def test_finds_the_only_one_with_room(self):
        """Sampling must not reject work that some upstream can take."""
        self.refused = set(NAMES) - {"u77"}
        self.assertEqual(self.choose(NAMES).upstream, "u77")

    def test_refusals_are_typed(self):
        """A caller needs to know whether and when to retry."""
        self.refused = set(NAMES)
        failure = self.choose(NAMES)
        self.assertIsInstance(failure, failures.NoUpstream)
        self.assertIs(failure.execution, failures.Execution.NOT_STARTED)
        self.assertIsNotNone(failure.retry_after_s)
        self.refused = set()
        late = self.choose(NAMES, capacity.Demand(500, 100, deadline=1.1))
        self.assertIsInstance(late, failures.DeadlineExceeded)

    def test_baselines(self):
        """Benches compare against these; a wrong one gives a false ratio."""
        names = ("u0", "u1")
        source = random.Random(1)
        self.table.handle(upstream_events.AttemptStarted("1", "u0", 1), 0.5)
        self.report("u1", 90000)
        least = selection.LeastOutstandingSelection(self.table, source)
        two = selection.PowerOfTwoSelection(self.table, source)
        turn = selection.RoundRobinSelection()
        some = selection.RandomSelection(source)
        self.assertEqual(least.choose(DEMAND, names, 1.0).upstream, "u1")
        self.assertEqual(two.choose(DEMAND, names, 1.0).upstream, "u0")
        for name in ("u0", "u1", "u0"):
            self.assertEqual(turn.choose(DEMAND, names, 1.0).upstream, name)
        drawn = {some.choose(DEMAND, names, 1.0).upstream for _ in range(50)}
        self.assertEqual(drawn, set(names))

    def test_choice_looks_at_few(self):
        """Checking all 100 candidates would take several times as long."""
        demand = capacity.Demand(500, 100, block_hashes=("a",))
        self.holders.handle(prefix_index.PromptSent("u42", ("a",)), 0.0)
        for _ in range(20):
            self.asked.clear()
            self.choose(NAMES, demand)
            self.assertLessEqual(len(self.asked), selection.SAMPLE_SIZE + 1)
