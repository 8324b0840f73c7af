"""Tests of versions that fail on one route or with one model only."""

import functools
import json
import unittest
from unittest import mock

from sycamorehollow.decisions.forwarding import canary
from sycamorehollow.decisions.forwarding import failure_evidence
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import rollout_messages
from tests import rollout_fleet

PARTS = {"digest": 0.19, "message": 0.36, "tag": 0.45}
SEEDS = range(12)
BAD_RATE = 0.2
BASE_RATE = 0.02
EXPOSURE = 0.15
ORIGIN = failure_evidence.Origin("digest", "small", "new-1")
# Fields of a report that nodes of older builds read; they reject others.
OLDER_FIELDS = {
    "service",
    "revision",
    "worse",
    "age_s",
    "first_share",
    "sound_s",
    "tallies",
}


def fail_on(bad_route, route, model, new, upstream, now):
    """Returns the failure rate if the new version fails on one route."""
    return BAD_RATE if new and route == bad_route else 0.0


def fail_rarely(route, model, new, upstream, now):
    """Returns the failure rate if both versions fail now and then."""
    return BASE_RATE


def never_fail(route, model, new, upstream, now):
    """Returns the failure rate of a service without failures."""
    return 0.0


class OneRouteTest(unittest.TestCase):
    """Guards against the completion of versions that are bad in part."""

    def check_stopped(self, fails):
        """Checks that a bad version is never completed.

        One proof in 30 may be wrong, so one seed may exceed the limit.
        """
        exceeded = []
        for seed in SEEDS:
            fleet = rollout_fleet.Fleet(seed, fails, PARTS)
            self.assertIsNot(fleet.run(), rollout_fleet.COMPLETED, seed)
            if fleet.new > fleet.allowed:
                exceeded.append((seed, fleet.new, fleet.allowed))
        self.assertLessEqual(len(exceeded), 1, exceeded)

    def check_completed(self, fails, parts, least, **changes):
        """Checks that a sound version is completed for most of the seeds."""
        outcomes = []
        for seed in SEEDS:
            fleet = rollout_fleet.Fleet(seed, fails, parts, **changes)
            fleet.run()
            outcomes.append((fleet.final, fleet.reason))
        completed = [o for o in outcomes if o[0] is rollout_fleet.COMPLETED]
        self.assertGreaterEqual(len(completed), least, outcomes)
        return outcomes

    def test_version_that_fails_on_one_route_is_not_completed(self):
        # The sum over all routes hides the failures of one.
        for route in PARTS:
            with self.subTest(route):
                self.check_stopped(functools.partial(fail_on, route))

    def test_version_that_fails_with_one_model_is_not_completed(self):
        self.check_stopped(
            lambda route, model, new, upstream, now: (
                BAD_RATE if new and model == "large" else 0.0
            )
        )

    def test_version_that_fails_late_on_one_route_is_stopped(self):
        for late_s in (5.0, 9.0):
            with self.subTest(late_s):
                self.check_stopped(
                    lambda route, model, new, upstream, now, late_s=late_s: (
                        0.5 if new and route == "tag" and now > late_s else 0.0
                    )
                )

    def test_sound_version_is_completed(self):
        self.check_completed(never_fail, PARTS, len(SEEDS))

    def test_sound_version_beside_failures_of_both_is_completed(self):
        outcomes = self.check_completed(
            fail_rarely, PARTS, len(SEEDS) - 1, duration_s=24.0
        )
        self.assertNotIn(
            rollout_fleet.ROLLED_BACK, [final for final, _ in outcomes]
        )

    def test_route_with_few_requests_does_not_delay_a_sound_version(self):
        parts = {"digest": 0.01, "message": 0.44, "tag": 0.55}
        self.check_completed(never_fail, parts, len(SEEDS))

    def test_failures_of_one_upstream_are_not_held_against_the_version(self):
        for seed in SEEDS:
            fleet = rollout_fleet.Fleet(
                seed,
                lambda route, model, new, upstream, now: (
                    0.9 if upstream == "new-3" else 0.0
                ),
                PARTS,
            )
            fleet.run()
            self.assertNotIn("failed responses", fleet.reason)

    def test_version_that_is_suspected_of_being_slow_is_not_proven(self):
        rollouts = canary.Rollouts("a", EXPOSURE)
        rollouts.set_order(forwarding.RolloutOrder("s", "v2", 16.0, 5), 0.0)
        rollout = rollouts.get("s")
        rollout.sound_at = 7.0
        with mock.patch.object(
            rollout.evidence, "is_possibly_slow", return_value=True
        ):
            rollouts.evaluate(9.0)
            self.assertIsNone(rollout.proven_at)
        rollouts.evaluate(9.5)
        self.assertEqual(rollout.proven_at, 9.5)

    def test_completed_version_that_fails_is_reported_and_kept(self):
        rollouts = canary.Rollouts("a", EXPOSURE)
        order = forwarding.RolloutOrder("s", "v2", 16.0, 5)
        rollouts.set_order(order, 0.0)
        for _ in range(100):
            rollouts.record_response("s", "v1", ORIGIN, False)
        status = forwarding.RolloutStatus("s", "v2", rollout_fleet.COMPLETED, 9)
        rollouts.set_status(status)
        for _ in range(10):
            rollouts.record_response("s", "v2", ORIGIN, True)
        (found,) = rollouts.evaluate(20.0)
        self.assertIn("route digest", found.reason)
        self.assertEqual(rollouts.evaluate(21.0), [])
        self.assertFalse(rollouts.is_stopped("s", "v2"))
        self.assertEqual(rollouts.compute_share("s", 21.0), 1.0)


class BuildsTest(unittest.TestCase):
    """Guards the messages between nodes of this build and of older ones."""

    def build(self, name):
        """Returns the roll-outs of a node that has an order."""
        rollouts = canary.Rollouts(name, EXPOSURE)
        rollouts.set_order(forwarding.RolloutOrder("s", "v2", 16.0, 5), 0.0)
        return rollouts

    def exchange(self, source, sink, now, is_older=False):
        """Sends a message, as a node of an older build does if told so."""
        message = json.loads(json.dumps(rollout_messages.export(source, now)))
        if is_older:
            del message["route_failures"]
        rollout_messages.merge(sink, message, now)

    def test_older_builds_get_the_fields_that_they_know(self):
        rollouts = self.build("a")
        rollouts.record_response("s", "v1", ORIGIN, False)
        for entry in rollout_messages.export(rollouts, 1.0)["rollouts"]:
            self.assertEqual(set(entry), OLDER_FIELDS)

    def test_proof_of_an_older_build_does_not_count(self):
        older, newer = self.build("a"), self.build("b")
        older.get("s").sound_at = older.get("s").proven_at = 1.0
        self.exchange(older, newer, 8.0, is_older=True)
        self.assertIsNone(newer.get("s").sound_at)
        self.exchange(older, newer, 8.0)
        self.assertEqual(newer.get("s").sound_at, 1.0)
        self.assertEqual(newer.get("s").proven_at, 1.0)

    def test_stop_of_a_newer_build_reaches_older_ones(self):
        older, newer = self.build("a"), self.build("b")
        for _ in range(100):
            newer.record_response("s", "v1", ORIGIN, False)
        for _ in range(6):
            newer.record_response("s", "v2", ORIGIN, True)
        newer.evaluate(3.0)
        self.exchange(newer, older, 3.0, is_older=True)
        self.assertTrue(older.is_stopped("s", "v2"))

    def test_requests_of_older_builds_count_against_the_exposure(self):
        older, newer = self.build("a"), self.build("b")
        for number in range(400):
            version = "v2" if number % 3 == 0 else "v1"
            older.record_response("s", version, ORIGIN, False)
        self.exchange(older, newer, 9.0, is_older=True)
        (found,) = newer.evaluate(9.0)
        self.assertIn("not proven sound", found.reason)
        self.assertTrue(newer.is_stopped("s", "v2"))

    def test_counts_are_read_as_they_were_written(self):
        source, sink = self.build("a"), self.build("b")
        for failed in (True, False):
            source.record_response("s", "v2", ORIGIN, failed)
            source.record_response("s", "v1", ORIGIN, failed)
        self.exchange(source, sink, 1.0)
        self.exchange(source, sink, 1.5)
        self.assertEqual(
            sink.get("s").failures.counts, source.get("s").failures.counts
        )

    def test_counts_of_another_length_are_refused(self):
        with self.assertRaises(ValueError):
            failure_evidence.decode([1, 2, 3])


if __name__ == "__main__":
    unittest.main()
