"""Tests of the sequential test and its evidence."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.releases import sequential_test


def play(evidence, seed, bad=0.05, good=0.05, sick=None, only=None, count=3000):
    """Feeds outcomes; returns whether the new version tested as worse."""
    draws = random.Random(seed)
    for number in range(count):
        candidate = draws.random() < 0.2
        upstream = f"u{draws.randrange(4)}"
        chance = bad if candidate else good
        if only and candidate:
            upstream = only
        if sick == upstream and number > count // 3:
            chance = 0.7
        event = sequential_test.AnswerEnded(
            str(number), "r", candidate, upstream, 0.2, draws.random() < chance
        )
        evidence.handle(event, 0.0)
        if sequential_test.evaluate(evidence.combine("r")).worse:
            return True
    return False


def make(name="p"):
    evidence = sequential_test.Evidence(name)
    evidence.retain_rollouts(["r"])
    return evidence


class JudgeTest(unittest.TestCase):
    """Guards against blaming the wrong version, or a version for a fault."""

    def test_worse_version_is_found(self):
        for seed in range(5):
            self.assertTrue(play(make(), seed, bad=0.15))

    def test_equal_or_better_version_is_rarely_halted(self):
        halts = sum(play(make(), seed) for seed in range(40))
        self.assertLessEqual(halts, 2)
        self.assertFalse(play(make(), 1, bad=0.01))

    def test_sick_upstream_is_not_blamed_on_the_version(self):
        halts = sum(play(make(), seed, sick="u1") for seed in range(20))
        self.assertLessEqual(halts, 1)

    def test_sick_upstream_does_not_hide_a_worse_version(self):
        for seed in range(5):
            self.assertTrue(play(make(), seed, bad=0.25, sick="u1"))

    def test_upstream_with_the_new_version_alone_is_no_evidence(self):
        for seed in range(5):
            self.assertFalse(play(make(), seed, sick="own", only="own"))

    def test_upstreams_without_a_baseline_do_not_add_up(self):
        evidence = make()
        for number in range(400):
            upstream = f"u{number % 20}"
            event = sequential_test.AnswerEnded(
                str(number), "r", True, upstream, 0.9, True
            )
            evidence.handle(event, 0.0)
        self.assertFalse(sequential_test.evaluate(evidence.combine("r")).worse)

    def test_rating_counts_once_and_only_for_a_known_run(self):
        evidence = make()
        for run in ("r", "other"):
            event = sequential_test.AnswerEnded(run, run, True, "u", 0.2)
            evidence.handle(event, 0.0)
            for _ in range(2):
                rating = sequential_test.AnswerRated(run, False)
                evidence.handle(rating, 0.0)
        quality = evidence.combine("r")[sequential_test.Metric.QUALITY]
        self.assertEqual(quality.candidate_failed, 1)
        self.assertEqual(
            evidence.combine("other")[sequential_test.Metric.ERROR],
            sequential_test.Tally(),
        )


class EvidenceMergeTest(unittest.TestCase):
    """Guards against merges that depend on the order of messages."""

    @hypothesis.settings(max_examples=50)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2), strategies.integers(1, 40)
            ),
            max_size=8,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_merge_is_idempotent_and_commutative(self, steps, order):
        sources = [make(f"p{i}") for i in range(3)]
        empty = make("empty").build_digest(0.0)
        deltas = []
        for number, (index, count) in enumerate(steps):
            play(sources[index], number, count=count)
            deltas.append(sources[index].build_delta(empty, 0.0))
        one, two = make("one"), make("two")
        for delta in deltas:
            one.merge(delta, 0.0)
        shuffled = deltas * 2
        order.shuffle(shuffled)
        for delta in shuffled:
            two.merge(delta, 0.0)
        for metric, tally in one.combine("r").items():
            other = two.combine("r")[metric]
            self.assertEqual(tally.candidate, other.candidate)
            self.assertEqual(tally.baseline_failed, other.baseline_failed)
            for left, right in zip(tally.scores, other.scores, strict=True):
                self.assertAlmostEqual(left, right)


if __name__ == "__main__":
    unittest.main()
