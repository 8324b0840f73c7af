"""Tests of canary roll-outs of versions."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import canary
from sycamorehollow.decisions.forwarding import failure_evidence
from sycamorehollow.decisions.forwarding import response_times
from sycamorehollow.decisions.forwarding import rollout_ramp
from sycamorehollow.decisions.forwarding import rollout_records
from sycamorehollow.decisions.forwarding import router
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.model import forwarding
from tests import forwarding_world

DURATION_S = 24.0
EXPOSURE = 0.15
FLOOR = 30
NODES = 9
RATE_PER_S = 30
SYNC_S = 1.0
ORIGIN = failure_evidence.Origin("r-1", "small", "a")


def record_response(rollouts, version, failed):
    """Records a response and its classified latency."""
    rollouts.record_response("s", version, ORIGIN, failed)
    route = forwarding_world.build_route()
    labels = response_times.AttemptLabels(
        "s", version, route, "small", "a", 0, 0.1
    )
    rollouts.record_latency(
        labels, response_times.LatencyKind.FIRST_EVENT, False
    )


class Fleet:
    """Simulates a service, and nodes that exchange reports every second."""

    def __init__(
        self,
        seed,
        fails,
        gap_s=0.0,
        base=0.02,
        nodes=NODES,
        rate=RATE_PER_S,
        duration_s=DURATION_S,
    ):
        self._source = random.Random(seed)
        self._fails = fails
        self._gap_s = gap_s
        self._base = base
        self._rate = rate
        self._duration_s = duration_s
        self.nodes = []
        self.new = self.total = 0
        self.ended_at = None
        order = forwarding.RolloutOrder("s", "v2", duration_s, 5)
        for number in range(nodes):
            rollouts = canary.Rollouts(f"n{number}", EXPOSURE, FLOOR)
            rollouts.set_node_count(nodes)
            rollouts.set_order(order, 0.0)
            self.nodes.append(rollouts)

    def run(self):
        """Runs the roll-out; returns its final state or `None`."""
        final = None
        for tick in range(int(self._duration_s * self._rate)):
            now = tick / self._rate
            self._serve(self._source.choice(self.nodes), now)
            if tick % int(SYNC_S * self._rate / len(self.nodes)) == 0:
                self._sync(now)
            for node in self.nodes:
                if tick % 8 == 0:
                    node.evaluate(now)
                state = node.find_due_state("s", now)
                if state not in (None, forwarding.RolloutState.RUNNING):
                    final = final or state
                    self.ended_at = self.ended_at or now
                    status = forwarding.RolloutStatus("s", "v2", final, 9)
                    for other in self.nodes:
                        other.set_status(status)
        return final

    def _serve(self, node, now):
        share = node.compute_share("s", now)
        session = str(self._source.random())
        new = canary.is_assigned("s", session, share)
        rate = self._base
        if new and now >= self._gap_s:
            rate = self._fails
        if self.ended_at is None:
            self.total += 1
            self.new += int(new)
        failed = self._source.random() < rate
        record_response(node, "v2" if new else "v1", failed)

    def _sync(self, now):
        one, other = self._source.sample(self.nodes, 2)
        for source, sink in ((one, other), (other, one)):
            for report in source.export(now):
                sink.merge(report, now)
            for rollout in source.list_running():
                sink.merge_slowness("s", 5, rollout.evidence.counts)
            for report in source.export_routes(now):
                sink.merge_routes(report, now)


class RolloutTest(unittest.TestCase):
    """Guards against overexposure to bad versions and delay of good ones."""

    @hypothesis.given(
        strategies.integers(0, 10_000),
        strategies.floats(0.3, 0.9),
        strategies.floats(0.0, 6.0),
    )
    @hypothesis.settings(max_examples=25, deadline=None)
    def test_bad_version_is_rolled_back_within_its_exposure(
        self, seed, fails, gap_s
    ):
        fleet = Fleet(seed, fails, gap_s)
        self.assertIs(fleet.run(), forwarding.RolloutState.ROLLED_BACK)
        allowed = EXPOSURE * DURATION_S * RATE_PER_S + FLOOR
        self.assertLessEqual(fleet.new, allowed)

    def test_good_versions_are_completed_in_time(self):
        states = [Fleet(seed, 0.02).run() for seed in range(40)]
        completed = states.count(forwarding.RolloutState.COMPLETED)
        # The likelihood ratio test allows one false alarm in a hundred.
        self.assertGreaterEqual(completed, 38)

    def test_short_orders_are_completed_in_time(self):
        # The rates are high enough for a proof within the exposure limit.
        for duration_s, rate in ((5.0, 300), (10.0, 150)):
            with self.subTest(duration_s=duration_s):
                states = [
                    Fleet(
                        seed, 0.02, nodes=2, rate=rate, duration_s=duration_s
                    ).run()
                    for seed in range(20)
                ]
                completed = states.count(forwarding.RolloutState.COMPLETED)
                self.assertGreaterEqual(completed, 19)

    def test_short_order_of_a_bad_version_stays_within_its_exposure(self):
        for seed in range(20):
            fleet = Fleet(seed, 0.5, nodes=2, rate=300, duration_s=5.0)
            self.assertIs(fleet.run(), forwarding.RolloutState.ROLLED_BACK)
            allowed = EXPOSURE * 5.0 * 300 + FLOOR
            self.assertLessEqual(fleet.new, allowed)

    def test_session_keeps_the_new_version_while_the_share_rises(self):
        for number in range(500):
            session = f"session-{number}"
            if canary.is_assigned("s", session, 0.1):
                self.assertTrue(canary.is_assigned("s", session, 0.4))

    def test_few_answers_with_failures_do_not_widen_the_exposure(self):
        rollouts = canary.Rollouts("a", EXPOSURE)
        order = forwarding.RolloutOrder("s", "v2", DURATION_S, 5)
        rollouts.set_order(order, 0.0)
        for number in range(120):
            rollouts.record_response("s", "v1", ORIGIN, False)
            if number % 10 == 0:
                failed = number in (40, 90)
                rollouts.record_response("s", "v2", ORIGIN, failed)
        for tenth in range(240):
            now = tenth * 0.1
            self.assertLessEqual(rollouts.compute_share("s", now), EXPOSURE)
            self.assertIsNot(
                rollouts.find_due_state("s", now),
                forwarding.RolloutState.COMPLETED,
            )

    def test_late_proof_is_followed_by_the_whole_climb(self):
        rollouts = canary.Rollouts("a", EXPOSURE)
        order = forwarding.RolloutOrder("s", "v2", DURATION_S, 5)
        rollouts.set_order(order, 0.0)
        for _ in range(100):
            record_response(rollouts, "v1", False)
        rollouts.compute_share("s", 18.0)
        for _ in range(20):
            record_response(rollouts, "v2", False)
        rollouts.evaluate(18.5)
        self.assertLess(rollouts.compute_share("s", 19.0), 0.2)
        self.assertEqual(rollouts.compute_share("s", 23.9), 1.0)

    def test_evidence_of_a_restarted_node_counts(self):
        other = forwarding_world.build_router(node="other").rollouts
        order = forwarding.RolloutOrder("s", "v2", DURATION_S, 5)
        other.set_order(order, 0.0)
        for run in range(3):
            # Each start of the process has its own random numbers.
            settings = forwarding_world.build_settings(node="node")
            node = router.Router(settings, random.Random(run)).rollouts
            node.set_order(order, float(run))
            for _ in range(5 - run):
                node.record_response("s", "v2", ORIGIN, True)
            for report in node.export(float(run)):
                other.merge(report, float(run))
        self.assertEqual(other.get("s").sum_counts().new_failed, 12)

    def test_restarted_node_learns_how_long_it_has_run(self):
        order = forwarding.RolloutOrder("s", "v2", DURATION_S, 5)
        old, new = canary.Rollouts("a", 0.15), canary.Rollouts("b", 0.15)
        old.set_order(order, 0.0)
        new.set_order(order, 20.0)
        for report in old.export(20.0):
            new.merge(report, 20.0)
        self.assertEqual(
            old.compute_share("s", 20.0), new.compute_share("s", 20.0)
        )

    def test_large_fleet_moves_few_open_sessions(self):
        # At 50 times the rate the share falls, so the responses stay as many.
        small, large = canary.Rollouts("a", 0.15), canary.Rollouts("b", 0.15)
        order = forwarding.RolloutOrder("s", "v2", DURATION_S, 5)
        for rollouts, responses in ((small, 4), (large, 200)):
            rollouts.set_node_count(9)
            rollouts.set_order(order, 0.0)
            self.assertEqual(rollouts.compute_share("s", 1.0), 0.0)
            for _ in range(responses):
                rollouts.record_response("s", "v1", ORIGIN, False)
        few = large.compute_share("s", 3.0)
        self.assertLess(few * 3, small.compute_share("s", 3.0))
        # All nodes use the smallest share that any of them has computed.
        for report in large.export(3.0):
            small.merge(report, 3.0)
        self.assertEqual(small.compute_share("s", 3.0), few)

    def test_first_share_brings_no_more_answers_than_the_evidence_needs(self):
        order = forwarding.RolloutOrder("s", "v2", DURATION_S, 5)
        for responses in (1, 4, 20, 40, 200, 1000):
            rollouts = canary.Rollouts("a", EXPOSURE)
            rollouts.set_node_count(9)
            rollouts.set_order(order, 0.0)
            for _ in range(responses):
                rollouts.record_response("s", "v1", ORIGIN, False)
            rate = responses * 9 / 3.0
            share = rollouts.compute_share("s", 3.0)
            self.assertLessEqual(share, EXPOSURE)
            # Halving stops within a factor of 2 of the target rate.
            self.assertLessEqual(
                share * rate, 2 * rollout_ramp.TARGET_RESPONSES_PER_S
            )

    def test_old_version_gets_nothing_new_before_it_is_stopped(self):
        rollouts = canary.Rollouts("a", EXPOSURE)
        order = forwarding.RolloutOrder("s", "v2", DURATION_S, 50)
        rollouts.set_order(order, 0.0)
        for _ in range(50):
            record_response(rollouts, "v2", False)
        rollouts.evaluate(1.0)
        due = [
            at * 0.1
            for at in range(240)
            if rollouts.find_due_state("s", at * 0.1)
            is forwarding.RolloutState.COMPLETED
        ]
        last_old = max(
            at * 0.1
            for at in range(240)
            if rollouts.compute_share("s", at * 0.1) < 1
        )
        self.assertGreater(due[0] - last_old, 3.5)
        self.assertLess(due[0], DURATION_S - 2)

    def test_stop_spreads_and_ends_traffic_to_the_version(self):
        built = forwarding_world.build_router(
            forwarding_world.build_upstream("a"),
            forwarding_world.build_upstream("b", version="v2"),
        )
        order = forwarding.RolloutOrder("llm", "v2", DURATION_S, 5)
        built.apply_event(updates.RolloutOrdered(order), 0.0)
        built.rollouts.merge(
            rollout_records.RolloutReport("llm", 5, True, 1.0, None, None, {}),
            1.0,
        )
        for number in range(50):
            versions = built.choose_versions("llm", f"s{number}", True, 1.0)
            self.assertEqual(versions, {"v1"})
        self.assertIs(
            built.rollouts.find_due_state("llm", 1.0),
            forwarding.RolloutState.ROLLED_BACK,
        )

    def test_completed_service_uses_the_new_version_only(self):
        built = forwarding_world.build_router(
            forwarding_world.build_upstream("a"),
            forwarding_world.build_upstream("b", version="v2"),
        )
        order = forwarding.RolloutOrder("llm", "v2", DURATION_S, 5)
        built.apply_event(updates.RolloutOrdered(order), 0.0)
        status = forwarding.RolloutStatus(
            "llm", "v2", forwarding.RolloutState.COMPLETED, 9
        )
        built.apply_event(updates.RolloutStatusSet(status), 1.0)
        self.assertEqual(built.choose_versions("llm", "s", True, 1.0), {"v2"})

    def test_status_of_an_earlier_order_is_ignored(self):
        rollouts = canary.Rollouts("a", EXPOSURE)
        order = forwarding.RolloutOrder("s", "v2", DURATION_S, 50)
        rollouts.set_order(order, 0.0)
        status = forwarding.RolloutStatus(
            "s", "v2", forwarding.RolloutState.COMPLETED, 40
        )
        rollouts.set_status(status)
        self.assertIs(
            rollouts.find_due_state("s", 0.1), forwarding.RolloutState.RUNNING
        )
