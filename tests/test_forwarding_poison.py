"""Tests of content that crashes upstreams."""

import random
import unittest

from sycamorehollow.decisions.forwarding import quarantine


class PoisonTest(unittest.TestCase):
    """Guards against requests that crash one upstream after the other."""

    def test_third_break_ends_it_and_success_clears_it(self):
        known = quarantine.Quarantine()
        for run in ("a/1", "b/1", "b/1"):
            known.record_break("f", run, 0.0)
        self.assertFalse(known.is_quarantined("f", 1.0))
        other = quarantine.Quarantine()
        other.merge(known.export(1.0), 1.0)
        other.record_break("f", "c/1", 1.0)
        self.assertTrue(other.is_quarantined("f", 1.0))
        self.assertFalse(
            other.is_quarantined("f", 1.0 + quarantine.RETENTION_S)
        )
        other.record_completion("f", 1.0)
        self.assertFalse(other.is_quarantined("f", 1.0))

    def test_content_that_runs_elsewhere_is_not_to_blame(self):
        known, other = quarantine.Quarantine(), quarantine.Quarantine()
        known.record_completion("f", 0.0)
        for run in ("a/1", "b/1", "c/1"):
            known.record_break("f", run, 1.0)
            other.record_break("f", run, 1.0)
        # Three upstreams were cut off while each ran the popular request.
        self.assertFalse(known.is_quarantined("f", 2.0))
        self.assertTrue(other.is_quarantined("f", 2.0))
        known.merge(other.export(2.0), 2.0)
        self.assertFalse(known.is_quarantined("f", 2.0))
        other.merge_completions(known.export_completions(2.0), 2.0)
        self.assertFalse(other.is_quarantined("f", 2.0))
        self.assertEqual(known.export(2.0), {})

    def test_content_that_ran_long_ago_is_counted_again(self):
        known = quarantine.Quarantine()
        known.record_completion("f", 0.0)
        later = quarantine.RETENTION_S + 1.0
        for run in ("a/1", "b/1", "c/1"):
            known.record_break("f", run, later)
        self.assertTrue(known.is_quarantined("f", later))
        self.assertEqual(known.export_completions(later), {})

    def test_break_by_an_upstream_that_lives_is_not_counted(self):
        known, other = quarantine.Quarantine(), quarantine.Quarantine()
        for run in ("a/1", "b/1", "c/1"):
            known.record_break("f", run, 0.0)
        self.assertEqual(known.list_incarnations_to_check(0.0), [])
        # Before the checks the breaks count here, but nowhere else.
        self.assertTrue(known.is_quarantined("f", 0.1))
        self.assertEqual(known.export(0.1), {})
        self.assertEqual(
            known.list_incarnations_to_check(0.1), ["a/1", "b/1", "c/1"]
        )
        known.record_check("a/1", False, 0.1)
        known.record_check("b/1", True, 0.1)
        self.assertFalse(known.is_quarantined("f", 0.2))
        other.merge(known.export(0.2), 0.2)
        # The check of c/1 has failed, so it counts.
        self.assertEqual(set(known.export(1.0)["f"]), {"b/1", "c/1"})
        self.assertEqual(set(other.export(1.0)["f"]), {"b/1"})
        self.assertEqual(known.list_incarnations_to_check(1.0), ["c/1"])

    def test_break_just_before_a_check_is_checked_again(self):
        known = quarantine.Quarantine()
        known.record_break("f", "a/1", 0.0)
        known.record_break("g", "a/1", 0.0505)
        # The listening socket of a process that ends may still be open.
        self.assertEqual(known.record_check("a/1", False, 0.051), 1)
        self.assertEqual(known.list_incarnations_to_check(0.2), ["a/1"])

    def test_break_after_the_start_of_a_check_is_checked_again(self):
        known = quarantine.Quarantine()
        known.record_break("f", "a/1", 0.0)
        known.record_break("g", "a/1", 0.2)
        self.assertEqual(known.record_check("a/1", False, 0.1), 1)
        self.assertEqual(known.list_incarnations_to_check(0.3), ["a/1"])
        known.record_check("a/1", True, 0.3)
        self.assertEqual(set(known.export(0.3)), {"g"})

    def test_acquittal_keeps_what_another_node_has_checked(self):
        known = quarantine.Quarantine()
        known.merge({"f": {"a/1": 0.0}}, 0.0)
        known.record_break("f", "a/1", 0.1)
        self.assertEqual(known.list_incarnations_to_check(1.0), [])
        known.record_check("a/1", False, 1.0)
        self.assertEqual(set(known.export(1.0)["f"]), {"a/1"})

    def test_memory_of_contents_is_bounded(self):
        known = quarantine.Quarantine()
        for number in range(3 * quarantine.MAX_FINGERPRINTS):
            known.record_completion(f"f{number}", 0.0)
        # The earliest is forgotten, the latest is not.
        for run in ("a/1", "b/1", "c/1"):
            known.record_break("f0", run, 1.0)
            known.record_break(f"f{number}", run, 1.0)
        self.assertTrue(known.is_quarantined("f0", 1.0))
        self.assertFalse(known.is_quarantined(f"f{number}", 1.0))


class Fleet:
    """Nodes of five data centres with two watchers each.

    As in the gateway, a watcher exchanges with another one every 0.5 s, and any
    other node with a watcher of its data centre every 0.3 s.
    """

    def __init__(self, nodes, seed):
        self.nodes = [quarantine.Quarantine() for _ in range(nodes)]
        self.source = random.Random(seed)
        self.exported = 0

    def play(self, start, seconds):
        """Plays some seconds of exchanges and returns the end."""
        for tenth in range(10 * seconds):
            now = start + tenth / 10
            for number, node in enumerate(self.nodes):
                if (tenth + number) % 5 == 0 and number < 10:
                    other = self.source.choice(self.nodes[:10])
                    self._exchange(node, other, now)
                if (tenth + number) % 3 == 0 and number >= 10:
                    watcher = number % 5 + 5 * self.source.randrange(2)
                    self._exchange(node, self.nodes[watcher], now)
        return start + seconds

    def _exchange(self, node, other, now):
        self._hand_on(node, other, now)
        self._hand_on(other, node, now)

    def _hand_on(self, sender, receiver, now):
        breaks, sound = sender.export(now), sender.export_completions(now)
        self.exported += len(breaks) + len(sound)
        receiver.merge_completions(sound, now)
        receiver.merge(breaks, now)


class FleetTest(unittest.TestCase):
    """Guards against a crash at a new node for each of many nodes."""

    def test_breaks_at_different_nodes_are_counted_together(self):
        for nodes in (9, 195, 400):
            with self.subTest(nodes=nodes):
                fleet = Fleet(nodes, seed=nodes)
                at = 0.0
                for number, run in enumerate(("a/1", "b/1", "c/1")):
                    fleet.nodes[number].record_break("f", run, at)
                    at = fleet.play(at, 1)
                # The platform's page gives five seconds from the third crash.
                at = fleet.play(at, 4)
                self.assertTrue(
                    all(node.is_quarantined("f", at) for node in fleet.nodes)
                )
                fleet.play(at, 10)
                fleet.exported = 0
                fleet.play(at + 10, 5)
                self.assertEqual(fleet.exported, 0)

    def test_content_that_one_node_has_run_is_cleared_everywhere(self):
        fleet = Fleet(195, seed=3)
        fleet.nodes[50].record_completion("f", 0.0)
        for number, run in enumerate(("a/1", "b/1", "c/1")):
            fleet.nodes[number].record_break("f", run, 0.0)
        at = fleet.play(0.0, 15)
        blamed = sum(node.is_quarantined("f", at) for node in fleet.nodes)
        self.assertEqual(blamed, 0)

    def test_news_of_many_breaks_is_bounded(self):
        known = quarantine.Quarantine()
        for number in range(3 * quarantine.MAX_EXPORTED):
            known.record_break(f"f{number}", "a/1", number / 1000)
        news = known.export(1.0)
        self.assertEqual(len(news), quarantine.MAX_EXPORTED)
        self.assertIn(f"f{3 * quarantine.MAX_EXPORTED - 1}", news)
