"""Tests of the quality estimator."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.decisions.cascading import rating_counts
from sycamorehollow.model import deployment
from sycamorehollow.model import events

KEYS = (
    quality_estimator.EstimateKey("w", "check", "small"),
    quality_estimator.EstimateKey("w", "check", "large", ("small",)),
    quality_estimator.EstimateKey("x", "check", "small"),
)


def rate(part, name, key, accepted, now=0.0, final=True):
    part.handle(quality_estimator.ResponseProduced(name, key, 0.7, final), now)
    part.handle(
        quality_estimator.RatingArrived(name, 0.9 if accepted else 0.1), now
    )


def fill(part, key, accepted, count, now=0.0, tag=""):
    for number in range(count):
        rate(part, f"{tag}{key}{number}", key, accepted, now)


def mix(part, key, good, count):
    """Distributes the accepted ratings evenly, so that no drift is detected."""
    for number in range(count):
        accepted = (number + 1) * good // count > number * good // count
        rate(part, f"{key}{number}", key, accepted)


def sync(one, two, now=0.0):
    two.merge(one.build_delta(two.build_digest(now), now), now)
    one.merge(two.build_delta(one.build_digest(now), now), now)


def dump(part):
    return {key: part.estimate(key) for key in KEYS}


class MergeTest(unittest.TestCase):
    """Guards against counts that depend on the order of deltas."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.sampled_from(KEYS),
                strategies.booleans(),
                strategies.integers(1, 120),
            ),
            max_size=8,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_merge_is_idempotent_and_commutative(self, ratings, order):
        sources = [
            quality_estimator.QualityEstimator(f"p{i}") for i in range(3)
        ]
        deltas = []
        empty = quality_estimator.QualityEstimator("empty").build_digest(0.0)
        for number, (index, key, accepted, count) in enumerate(ratings):
            fill(sources[index], key, accepted, count, tag=str(number))
            deltas.append(sources[index].build_delta(empty, 0.0))
        one, two = (
            quality_estimator.QualityEstimator("one"),
            quality_estimator.QualityEstimator("two"),
        )
        for delta in deltas:
            one.merge(delta, 0.0)
        shuffled = deltas * 2
        order.shuffle(shuffled)
        for delta in shuffled:
            two.merge(delta, 0.0)
        self.assertEqual(dump(one), dump(two))

    def test_peer_keeps_what_a_lost_process_learned(self):
        lost, peer = (
            quality_estimator.QualityEstimator("lost"),
            quality_estimator.QualityEstimator("peer"),
        )
        for count, key in enumerate(KEYS, start=50):
            fill(lost, key, True, count)
        sync(lost, peer)
        self.assertEqual(dump(peer), dump(lost))
        self.assertEqual(peer.count_ratings(KEYS[0]), 50)

    def test_exchange_covers_every_key_within_the_delta_bound(self):
        source, peer = (
            quality_estimator.QualityEstimator("source"),
            quality_estimator.QualityEstimator("peer"),
        )
        keys = [
            quality_estimator.EstimateKey("w", "check", f"v{i}")
            for i in range(200)
        ]
        for key in keys:
            fill(source, key, True, 1)
        for second in range(20):
            sync(source, peer, float(second))
        self.assertEqual({peer.count_ratings(key) for key in keys}, {1})


class RatingTest(unittest.TestCase):
    """Guards against ratings that are counted twice or for another key."""

    def setUp(self):
        self.part = quality_estimator.QualityEstimator("p")

    def test_repeated_and_unknown_ratings_do_not_count(self):
        rate(self.part, "a", KEYS[0], True)
        self.part.handle(quality_estimator.RatingArrived("a", 0.9), 1.0)
        self.part.handle(quality_estimator.RatingArrived("other", 0.9), 1.0)
        self.assertEqual(self.part.count_ratings(KEYS[0]), 1)

    def test_escalated_requests_do_not_bias_fresh_estimates(self):
        fresh = quality_estimator.EstimateKey("w", "check", "large")
        fill(self.part, fresh, True, 40)
        before = self.part.estimate(fresh)
        fill(self.part, KEYS[1], False, 40)
        self.assertEqual(self.part.estimate(fresh), before)

    def test_pending_answers_are_bounded_and_expire(self):
        for number in range(quality_estimator.MAX_PENDING_RESPONSES + 1):
            event = quality_estimator.ResponseProduced(
                str(number), KEYS[0], 0.7, True
            )
            self.part.handle(event, 0.0)
        self.part.handle(quality_estimator.RatingArrived("0", 0.9), 1.0)
        self.assertEqual(self.part.count_ratings(KEYS[0]), 0)
        self.part.handle(events.Tick(), quality_estimator.PENDING_TTL_S + 1)
        self.part.handle(quality_estimator.RatingArrived("9", 0.9), 1.0)
        self.assertEqual(self.part.count_ratings(KEYS[0]), 0)

    def test_rejected_step_before_the_last_is_not_delivered(self):
        rate(self.part, "a", KEYS[0], False, final=False)
        rate(self.part, "b", KEYS[1], True)
        delivered = quality_estimator.EstimateKey("w", "check", "")
        self.assertEqual(self.part.count_ratings(delivered), 1)

    def test_removed_workspace_is_forgotten(self):
        fill(self.part, KEYS[0], True, 5)
        space = deployment.Workspace(
            "x", "t", (), frozenset({"small"}), frozenset()
        )
        changed = deployment.Deployment(workspaces={"x": space})
        self.part.handle(quality_estimator.DeploymentChanged(changed), 1.0)
        fill(self.part, KEYS[0], True, 5, tag="again")
        self.assertEqual(self.part.count_keys(), 0)

    def test_close_neighbours_inform_an_unknown_workspace(self):
        for name in "abc":
            key = quality_estimator.EstimateKey(name, "check", "small")
            fill(self.part, key, True, 60)
        self.assertGreater(self.part.estimate(KEYS[2]).mean, 0.9)

    def test_neighbours_keep_their_weight_beside_many_own_ratings(self):
        for name in "abcd":
            key = quality_estimator.EstimateKey(name, "check", "small")
            mix(self.part, key, 276, 300)
        # An estimate must not jump at any number of own ratings.
        before = self.part.estimate(KEYS[2]).mean
        for number in range(400):
            rate(self.part, f"own{number}", KEYS[2], number % 6 != 0)
            after = self.part.estimate(KEYS[2]).mean
            total = quality_estimator.MIN_PRIOR_RATINGS + number
            self.assertLess(abs(after - before), 1.0 / total + 0.001)
            before = after
        # The own share is 0.83, that of the neighbours 0.92.
        self.assertGreater(before, 0.84)
        self.assertLess(before, 0.88)

    def test_unlike_neighbours_do_not_outweigh_own_ratings(self):
        for name, good in zip("abcd", (60, 120, 180, 276), strict=True):
            key = quality_estimator.EstimateKey(name, "check", "small")
            mix(self.part, key, good, 300)
        mix(self.part, KEYS[2], 90, 100)
        self.assertGreater(self.part.estimate(KEYS[2]).mean, 0.86)


class DriftTest(unittest.TestCase):
    """Guards against estimates that don't follow a change of quality."""

    def test_sharp_drop_resets_and_ignores_older_answers(self):
        part = quality_estimator.QualityEstimator("p")
        fill(part, KEYS[0], True, 400)
        early = quality_estimator.ResponseProduced("early", KEYS[0], 0.7, True)
        part.handle(early, 1.0)
        fill(part, KEYS[0], False, 100, now=2.0, tag="bad")
        self.assertLess(part.estimate(KEYS[0]).mean, 0.5)
        ratings = part.count_ratings(KEYS[0])
        part.handle(quality_estimator.RatingArrived("early", 0.9), 3.0)
        self.assertEqual(part.count_ratings(KEYS[0]), ratings)

    @hypothesis.settings(max_examples=20)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_slow_change_is_followed_and_state_is_bounded(self, seed):
        draws = random.Random(seed)
        part = quality_estimator.QualityEstimator("p")
        for number in range(2000):
            good = draws.random() < (0.9 if number < 1000 else 0.8)
            rate(part, str(number), KEYS[0], good)
        self.assertAlmostEqual(part.estimate(KEYS[0]).mean, 0.8, delta=0.07)
        most = rating_counts.EPOCH_RATINGS * rating_counts.KEPT_EPOCHS
        self.assertLessEqual(part.count_ratings(KEYS[0]), most)


if __name__ == "__main__":
    unittest.main()
