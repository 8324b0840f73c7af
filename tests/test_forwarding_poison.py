"""Tests of the quarantine of content that crashes upstreams."""

import random
import unittest

from sycamorehollow.decisions.forwarding import quarantine


class QuarantineTest(unittest.TestCase):
    """Guards against requests that crash one upstream after another."""

    def test_third_break_ends_it_and_success_clears_it(self):
        local = quarantine.Quarantine()
        for incarnation in ("a/1", "b/1", "b/1"):
            local.record_break("f", incarnation, 0.0)
        self.assertFalse(local.is_quarantined("f", 1.0))
        remote = quarantine.Quarantine()
        remote.merge(local.export(1.0), 1.0)
        remote.record_break("f", "c/1", 1.0)
        self.assertTrue(remote.is_quarantined("f", 1.0))
        self.assertFalse(
            remote.is_quarantined("f", 1.0 + quarantine.RETENTION_S)
        )
        remote.record_completion("f", 1.0)
        self.assertFalse(remote.is_quarantined("f", 1.0))

    def test_content_that_runs_elsewhere_is_not_to_blame(self):
        local, remote = quarantine.Quarantine(), quarantine.Quarantine()
        local.record_completion("f", 0.0)
        for incarnation in ("a/1", "b/1", "c/1"):
            local.record_break("f", incarnation, 1.0)
            remote.record_break("f", incarnation, 1.0)
        # Three upstreams became isolated while each ran the popular request.
        self.assertFalse(local.is_quarantined("f", 2.0))
        self.assertTrue(remote.is_quarantined("f", 2.0))
        local.merge(remote.export(2.0), 2.0)
        self.assertFalse(local.is_quarantined("f", 2.0))
        remote.merge_completions(local.export_completions(2.0), 2.0)
        self.assertFalse(remote.is_quarantined("f", 2.0))
        self.assertEqual(local.export(2.0), {})

    def test_content_that_ran_long_ago_is_counted_again(self):
        local = quarantine.Quarantine()
        local.record_completion("f", 0.0)
        later = quarantine.RETENTION_S + 1.0
        for incarnation in ("a/1", "b/1", "c/1"):
            local.record_break("f", incarnation, later)
        self.assertTrue(local.is_quarantined("f", later))
        self.assertEqual(local.export_completions(later), {})

    def test_break_by_an_upstream_that_lives_is_not_counted(self):
        local, remote = quarantine.Quarantine(), quarantine.Quarantine()
        for incarnation in ("a/1", "b/1", "c/1"):
            local.record_break("f", incarnation, 0.0)
        self.assertEqual(local.list_incarnations_to_check(0.0), [])
        # Unchecked breaks count at this node only.
        self.assertTrue(local.is_quarantined("f", 0.1))
        self.assertEqual(local.export(0.1), {})
        self.assertEqual(
            local.list_incarnations_to_check(0.1), ["a/1", "b/1", "c/1"]
        )
        local.record_check("a/1", False, 0.1)
        local.record_check("b/1", True, 0.1)
        self.assertFalse(local.is_quarantined("f", 0.2))
        remote.merge(local.export(0.2), 0.2)
        # The check of c/1 never ended, so its break counts.
        self.assertEqual(set(local.export(1.0)["f"]), {"b/1", "c/1"})
        self.assertEqual(set(remote.export(1.0)["f"]), {"b/1"})
        self.assertEqual(local.list_incarnations_to_check(1.0), ["c/1"])

    def test_break_just_before_a_check_is_checked_again(self):
        local = quarantine.Quarantine()
        local.record_break("f", "a/1", 0.0)
        local.record_break("g", "a/1", 0.0505)
        # The listening socket of a crashing process may still be open.
        self.assertEqual(local.record_check("a/1", False, 0.051), 1)
        self.assertEqual(local.list_incarnations_to_check(0.2), ["a/1"])

    def test_break_after_the_start_of_a_check_is_checked_again(self):
        local = quarantine.Quarantine()
        local.record_break("f", "a/1", 0.0)
        local.record_break("g", "a/1", 0.2)
        self.assertEqual(local.record_check("a/1", False, 0.1), 1)
        self.assertEqual(local.list_incarnations_to_check(0.3), ["a/1"])
        local.record_check("a/1", True, 0.3)
        self.assertEqual(set(local.export(0.3)), {"g"})

    def test_passed_check_keeps_breaks_of_other_nodes(self):
        local = quarantine.Quarantine()
        local.merge({"f": {"a/1": 0.0}}, 0.0)
        local.record_break("f", "a/1", 0.1)
        self.assertEqual(local.list_incarnations_to_check(1.0), [])
        local.record_check("a/1", False, 1.0)
        self.assertEqual(set(local.export(1.0)["f"]), {"a/1"})

    def test_memory_of_contents_is_bounded(self):
        local = quarantine.Quarantine()
        for number in range(3 * quarantine.MAX_FINGERPRINTS):
            local.record_completion(f"f{number}", 0.0)
        # The least recent is evicted, the latest is not.
        for incarnation in ("a/1", "b/1", "c/1"):
            local.record_break("f0", incarnation, 1.0)
            local.record_break(f"f{number}", incarnation, 1.0)
        self.assertTrue(local.is_quarantined("f0", 1.0))
        self.assertFalse(local.is_quarantined(f"f{number}", 1.0))


class Fleet:
    """Nodes of five data centres with two watchers each.

    As in the gateway, a watcher exchanges with another one every 0.5 s, and any
    other node with a watcher of its data centre every 0.3 s.
    """

    def __init__(self, nodes, seed):
        self.nodes = [quarantine.Quarantine() for _ in range(nodes)]
        self.rng = random.Random(seed)
        self.exported = 0

    def run(self, start, seconds):
        """Simulates some seconds of exchanges; returns the end time."""
        for tenth in range(10 * seconds):
            now = start + tenth / 10
            for number, node in enumerate(self.nodes):
                if (tenth + number) % 5 == 0 and number < 10:
                    remote = self.rng.choice(self.nodes[:10])
                    self._exchange(node, remote, now)
                if (tenth + number) % 3 == 0 and number >= 10:
                    watcher = number % 5 + 5 * self.rng.randrange(2)
                    self._exchange(node, self.nodes[watcher], now)
        return start + seconds

    def _exchange(self, node, remote, now):
        self._send(node, remote, now)
        self._send(remote, node, now)

    def _send(self, sender, receiver, now):
        breaks, completions = sender.export(now), sender.export_completions(now)
        self.exported += len(breaks) + len(completions)
        receiver.merge_completions(completions, now)
        receiver.merge(breaks, now)


class FleetTest(unittest.TestCase):
    """Guards against one more crash for each node of a large fleet."""

    def test_breaks_at_different_nodes_are_counted_together(self):
        for nodes in (9, 195, 400):
            with self.subTest(nodes=nodes):
                fleet = Fleet(nodes, seed=nodes)
                at = 0.0
                for number, incarnation in enumerate(("a/1", "b/1", "c/1")):
                    fleet.nodes[number].record_break("f", incarnation, at)
                    at = fleet.run(at, 1)
                # The platform allows 5 s from the third crash.
                at = fleet.run(at, 4)
                self.assertTrue(
                    all(node.is_quarantined("f", at) for node in fleet.nodes)
                )
                fleet.run(at, 10)
                fleet.exported = 0
                fleet.run(at + 10, 5)
                self.assertEqual(fleet.exported, 0)

    def test_content_that_one_node_has_run_is_cleared_everywhere(self):
        fleet = Fleet(195, seed=3)
        fleet.nodes[50].record_completion("f", 0.0)
        for number, incarnation in enumerate(("a/1", "b/1", "c/1")):
            fleet.nodes[number].record_break("f", incarnation, 0.0)
        at = fleet.run(0.0, 15)
        blamed = sum(node.is_quarantined("f", at) for node in fleet.nodes)
        self.assertEqual(blamed, 0)

    def test_news_of_many_breaks_is_bounded(self):
        local = quarantine.Quarantine()
        for number in range(3 * quarantine.MAX_EXPORTED):
            local.record_break(f"f{number}", "a/1", number / 1000)
        exported = local.export(1.0)
        self.assertEqual(len(exported), quarantine.MAX_EXPORTED)
        self.assertIn(f"f{3 * quarantine.MAX_EXPORTED - 1}", exported)
