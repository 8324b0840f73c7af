"""Tests of content that crashes upstreams."""

import unittest

from sycamorehollow.decisions.forwarding import poison


class PoisonTest(unittest.TestCase):
    """Guards against requests that crash one upstream after the other."""

    def test_third_break_ends_it_and_success_clears_it(self):
        known = poison.Poison()
        for run in ("a/1", "b/1", "b/1"):
            known.note_break("f", run, 0.0)
        self.assertFalse(known.is_refused("f", 1.0))
        other = poison.Poison()
        other.merge(known.export(1.0), 1.0)
        other.note_break("f", "c/1", 1.0)
        self.assertTrue(other.is_refused("f", 1.0))
        self.assertFalse(other.is_refused("f", 1.0 + poison.KEEP_S))
        other.note_success("f", 1.0)
        self.assertFalse(other.is_refused("f", 1.0))

    def test_content_that_runs_elsewhere_is_not_to_blame(self):
        known, other = poison.Poison(), poison.Poison()
        known.note_success("f", 0.0)
        for run in ("a/1", "b/1", "c/1"):
            known.note_break("f", run, 1.0)
            other.note_break("f", run, 1.0)
        # Three upstreams were cut off while each ran the popular request.
        self.assertFalse(known.is_refused("f", 2.0))
        self.assertTrue(other.is_refused("f", 2.0))
        known.merge(other.export(2.0), 2.0)
        self.assertFalse(known.is_refused("f", 2.0))
        other.merge_sound(known.export_sound(2.0), 2.0)
        self.assertFalse(other.is_refused("f", 2.0))
        self.assertEqual(known.export(2.0), {})

    def test_content_that_ran_long_ago_is_counted_again(self):
        known = poison.Poison()
        known.note_success("f", 0.0)
        later = poison.KEEP_S + 1.0
        for run in ("a/1", "b/1", "c/1"):
            known.note_break("f", run, later)
        self.assertTrue(known.is_refused("f", later))
        self.assertEqual(known.export_sound(later), {})

    def test_memory_of_contents_is_bounded(self):
        known = poison.Poison()
        for number in range(3 * poison.MAX_FINGERPRINTS):
            known.note_success(f"f{number}", 0.0)
        # The earliest is forgotten, the latest is not.
        for run in ("a/1", "b/1", "c/1"):
            known.note_break("f0", run, 1.0)
            known.note_break(f"f{number}", run, 1.0)
        self.assertTrue(known.is_refused("f0", 1.0))
        self.assertFalse(known.is_refused(f"f{number}", 1.0))
