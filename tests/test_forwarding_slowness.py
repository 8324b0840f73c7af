"""Tests of the detection of slow versions in a simulated fleet."""

import dataclasses
import heapq
import random
import unittest

from sycamorehollow.decisions.forwarding import canary
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import failure_evidence
from sycamorehollow.decisions.forwarding import response_times
from sycamorehollow.decisions.forwarding import slowness
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.model import forwarding
from tests import forwarding_world

DURATION_S = 16.0
LEAD_S = 10.0
EXPOSURE = 0.15
FLOOR = 30
NODES = 6
OLD_UPSTREAMS = 18
NEW_UPSTREAMS = 9
RATE_PER_S = 70.0
SYNC_S = 0.3
JUDGE_S = 0.25
TIMEOUT_S = 1.0
ROLLED_BACK = forwarding.RolloutState.ROLLED_BACK
COMPLETED = forwarding.RolloutState.COMPLETED


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request: its share, prompt length and number of events."""

    part: float
    tokens: int
    events: int
    model: str = "small"
    pace_s: float = 0.02


KINDS = {
    "draft": Kind(0.25, 600, 26),
    "draft-large": Kind(0.2, 600, 26, "large", 0.05),
    "digest": Kind(0.2, 6000, 35),
    "tag": Kind(0.35, 1800, 2),
}


def keep_latency(_):
    """Returns factors of 1 for the first event and the event gaps."""
    return 1.0, 1.0


@dataclasses.dataclass
class Response:
    """A response in progress."""

    kind: str
    new: bool
    upstream: int
    at: float
    timer: response_times.ResponseTimer = None
    attempt: steps.Attempt = None
    left: int = 0
    gap_s: float = 0.0
    hard: float = 0.0


class Fleet:
    """Simulates nodes that exchange reports, and a service with latencies.

    Args:
        slow: Returns the factors of the first event and the event gaps.
        rate: Requests per second at a time.
        leave: Share of the callers that disconnect after 0.3 s.
        cold_s: Seconds for which the new upstreams are cold.
        restart_at: When a node restarts.
    """

    def __init__(
        self,
        seed,
        slow=keep_latency,
        rate=lambda now: RATE_PER_S,
        leave=0.0,
        cold_s=0.0,
        restart_at=None,
        duration_s=DURATION_S,
    ):
        self._source = random.Random(seed)
        self._slow = slow
        self._rate = rate
        self._leave = leave
        self._restart_at = restart_at
        self._duration_s = duration_s
        self._queue = []
        self._count = 0
        self.order = forwarding.RolloutOrder("llm", "v2", duration_s, 5)
        self.new = self.total = 0
        self.final = None
        self.ended_at = None
        self.reason = ""
        self.nodes = [self._build_node(n, f"n{n}") for n in range(NODES)]
        self.states = {}
        for new, count in ((False, OLD_UPSTREAMS), (True, NEW_UPSTREAMS)):
            for number in range(count):
                name = f"{'new' if new else 'old'}-{number}"
                upstream = forwarding_world.build_upstream(
                    name, version="v2" if new else "v1"
                )
                known_at = 0.0 if new else -100.0
                state = directory.UpstreamState(upstream, known_at, known_at)
                state.cold_until = cold_s if new else -100.0
                self.states[new, number] = state

    def run(self):
        """Runs the roll-out, ordered at 0; returns its final state."""
        self._at(-LEAD_S, self._arrive)
        self._at(0.0, self._begin)
        self._at(0.1, self._judge)
        self._at(0.2, self._sync)
        if self._restart_at is not None:
            self._at(self._restart_at, self._restart)
        while self._queue:
            now, _, action, values = heapq.heappop(self._queue)
            if now >= self._duration_s or self.final is not None:
                break
            action(now, *values)
        return self.final

    def _build_node(self, number, run):
        rollouts = canary.Rollouts(run, EXPOSURE, FLOOR)
        rollouts.set_node_count(NODES)
        times = response_times.ResponseTimes(
            rollouts.is_in_service, rollouts.record_latency
        )
        return [number, rollouts, times]

    def _at(self, when, action, *values):
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, action, values))

    def _begin(self, now):
        for _, rollouts, _ in self.nodes:
            rollouts.set_order(self.order, now)

    def _restart(self, now):
        node = self._build_node(0, "n0-again")
        node[1].set_order(self.order, now)
        self.nodes[0] = node

    def _arrive(self, now):
        self._at(now + self._source.expovariate(self._rate(now)), self._arrive)
        _, rollouts, times = self._source.choice(self.nodes)
        share = rollouts.compute_share("llm", now)
        new = canary.is_assigned("llm", str(self._source.random()), share)
        if now >= 0:
            self.total += 1
            self.new += int(new)
        parts = [kind.part for kind in KINDS.values()]
        name = self._source.choices(list(KINDS), parts)[0]
        kind = KINDS[name]
        count = NEW_UPSTREAMS if new else OLD_UPSTREAMS
        number = self._source.randrange(count)
        state = self.states[new, number]
        response = Response(name, new, number, now, hard=self._source.random())
        first, pace = self._slow(response)
        tokens = int(kind.tokens * self._source.lognormvariate(0, 0.8))
        response.attempt = steps.Attempt(
            state, kind.model, now, tokens, 0.1, now, 0.0
        )
        route = forwarding_world.build_route(name=name.partition("-")[0])
        service = forwarding_world.build_configuration().services["llm"]
        response.timer = times.start_timer(
            service, route, response.attempt, share
        )
        response.left = max(
            1, int(kind.events * self._source.lognormvariate(0, 0.6))
        )
        noise = self._source.lognormvariate(0, 0.4)
        response.gap_s = (
            pace * kind.pace_s * self._source.lognormvariate(0, 0.3)
        )
        first_s = first * noise * (0.05 + tokens / 100_000)
        if self._source.random() < self._leave:
            self._at(now + 0.3, self._disconnect, response)
        self._schedule_event(now, first_s, response, rollouts)

    def _schedule_event(self, now, wait_s, response, rollouts):
        if wait_s > TIMEOUT_S:
            self._at(now + TIMEOUT_S, self._time_out, response)
        else:
            self._at(now + wait_s, self._receive_event, response, rollouts)

    def _receive_event(self, now, response, rollouts):
        attempt = response.attempt
        if attempt.end_cause is not None:
            return
        if response.left > 0 and attempt.last_byte_at == attempt.sent_at:
            origin = failure_evidence.Origin(
                response.kind.partition("-")[0],
                attempt.model,
                f"{response.new}-{response.upstream}",
            )
            version = "v2" if response.new else "v1"
            rollouts.record_response("llm", version, origin, False)
        attempt.last_byte_at = now
        response.timer.record_event(now)
        response.left -= 1
        if response.left > 0:
            gap_s = response.gap_s * self._source.lognormvariate(0, 0.5)
            self._schedule_event(now, gap_s, response, rollouts)
            return
        attempt.end(steps.EndCause.UPSTREAM, steps.DELIVERED, now)
        response.timer.record_end()

    def _time_out(self, now, response):
        if response.attempt.end_cause is None:
            response.attempt.end(steps.EndCause.TIMEOUT, "no byte in time", now)
            response.timer.record_end()

    def _disconnect(self, now, response):
        if response.attempt.end_cause is None:
            response.attempt.end(steps.EndCause.CALLER, "the caller left", now)
            response.timer.record_end()

    def _judge(self, now):
        self._at(now + JUDGE_S, self._judge)
        for _, rollouts, _ in self.nodes:
            for found in rollouts.evaluate(now):
                self.reason = found.reason
            state = rollouts.find_due_state("llm", now)
            if state in (COMPLETED, ROLLED_BACK):
                self.final = state
                self.ended_at = now

    def _sync(self, now):
        self._at(now + SYNC_S, self._sync)
        one, other = self._source.sample([node[1] for node in self.nodes], 2)
        for source, sink in ((one, other), (other, one)):
            for finding in source.export(now):
                sink.merge(finding, now)
            for rollout in source.list_running():
                sink.merge_slowness("llm", 5, rollout.evidence.counts)
            for report in source.export_routes(now):
                sink.merge_routes(report, now)


class SlowVersionTest(unittest.TestCase):
    """Guards against keeping slow versions and rejecting sound ones."""

    seeds = range(4)

    def check_rolled_back(self, slow, **changes):
        """Checks that a slow version is found within the exposure limit."""
        for seed in self.seeds:
            with self.subTest(seed=seed):
                fleet = Fleet(seed, slow, **changes)
                self.assertIs(fleet.run(), ROLLED_BACK)
                allowed = EXPOSURE * DURATION_S * RATE_PER_S + FLOOR
                self.assertLessEqual(fleet.new, allowed)

    def check_completed(self, slow=keep_latency, **changes):
        """Checks that a sound version is completed in time."""
        for seed in self.seeds:
            with self.subTest(seed=seed):
                fleet = Fleet(seed, slow, **changes)
                self.assertIs(fleet.run(), COMPLETED, fleet.reason)

    def test_version_several_times_slower_is_not_completed(self):
        self.check_rolled_back(
            lambda a: (8.0, 8.0) if a.new and a.hard < 0.5 else (1.0, 1.0)
        )

    def test_version_slow_in_its_first_event_is_rolled_back(self):
        self.check_rolled_back(lambda a: (6.0 if a.new else 1.0, 1.0))

    def test_version_slow_between_events_is_rolled_back(self):
        self.check_rolled_back(lambda a: (1.0, 6.0 if a.new else 1.0))

    def test_version_slow_in_all_is_rolled_back(self):
        self.check_rolled_back(lambda a: (4.0, 4.0) if a.new else (1.0, 1.0))

    def test_version_slow_on_one_route_is_rolled_back(self):
        for name in ("digest", "tag"):
            self.check_rolled_back(
                lambda a, name=name: (
                    (8.0, 8.0) if a.new and a.kind == name else (1.0, 1.0)
                )
            )

    def test_version_slow_with_one_model_is_not_completed(self):
        # Only a fifth of the requests use the model, so the initial share may
        # yield too few of them for a proof in time.
        def slow(response):
            hit = response.new and response.kind == "draft-large"
            return (8.0, 8.0) if hit else (1.0, 1.0)

        for seed in self.seeds:
            with self.subTest(seed=seed):
                fleet = Fleet(seed, slow)
                self.assertIsNot(fleet.run(), COMPLETED)
                allowed = EXPOSURE * DURATION_S * RATE_PER_S + FLOOR
                self.assertLessEqual(fleet.new, allowed)

    def test_version_that_turns_slow_late_is_rolled_back(self):
        # The later time is after the version was found to be sound.
        for late_s in (3.0, 7.0):
            self.check_rolled_back(
                lambda a, late_s=late_s: (
                    (8.0, 8.0) if a.new and a.at > late_s else (1.0, 1.0)
                )
            )

    def test_version_that_never_answers_is_rolled_back(self):
        self.check_rolled_back(
            lambda a: (1e3, 1.0) if a.new and a.hard < 0.4 else (1.0, 1.0)
        )

    def test_callers_that_leave_a_slow_version_count(self):
        self.check_rolled_back(
            lambda a: (8.0, 8.0) if a.new else (1.0, 1.0), leave=0.9
        )

    def test_slow_version_is_found_while_a_node_restarts(self):
        self.check_rolled_back(
            lambda a: (8.0, 8.0) if a.new and a.hard < 0.5 else (1.0, 1.0),
            restart_at=4.0,
        )

    def test_sound_version_is_completed(self):
        self.check_completed()

    def test_sound_version_with_slow_upstreams_is_completed(self):
        # One in six upstreams of both versions is slow for 6 s.
        def slow(response):
            hit = 4 < response.at < 10 and response.upstream % 6 == 1
            return (5.0, 5.0) if hit else (1.0, 1.0)

        self.check_completed(slow)

    def test_sound_version_beside_a_burst_is_completed(self):
        for start_s in (2.0, 8.0, 12.0):

            def slow(response, start_s=start_s):
                hit = start_s < response.at < start_s + 3
                return (3.0, 2.5) if hit else (1.0, 1.0)

            def rate(now, start_s=start_s):
                hit = start_s < now < start_s + 3
                return RATE_PER_S * (1.7 if hit else 1.0)

            self.check_completed(slow, rate=rate)

    def test_sound_version_on_cold_upstreams_is_completed(self):
        self.check_completed(
            lambda a: (6.0, 3.0) if a.new and a.at < 3 else (1.0, 1.0),
            cold_s=3.0,
        )

    def test_sound_version_while_a_node_restarts_is_completed(self):
        self.check_completed(restart_at=4.0)

    def test_sound_version_with_callers_that_leave_is_completed(self):
        self.check_completed(leave=0.3)

    def test_few_requests_complete_a_sound_version(self):
        self.check_completed(rate=lambda now: 12.0, duration_s=40.0)

    def test_no_roll_out_is_completed_for_lack_of_evidence(self):
        fleet = Fleet(1, cold_s=100.0)
        self.assertIsNone(fleet.run())

    def test_version_a_little_slower_is_completed(self):
        self.check_completed(lambda a: (1.15, 1.15) if a.new else (1.0, 1.0))


class LifecycleLatencyTest(unittest.TestCase):
    """Tests the latencies that the request lifecycle reports."""

    def play(self, pace_s, give_up=False):
        """Runs requests one after the other; returns the router."""
        router = forwarding_world.build_router(
            forwarding_world.build_upstream("a"),
            *(
                forwarding_world.build_upstream(f"b{n}", version="v2")
                for n in range(4)
            ),
        )
        order = forwarding.RolloutOrder("llm", "v2", 60.0, 5)
        router.apply_event(updates.RolloutOrdered(order), 0.0)
        now = 3.0
        for number in range(400):
            now += 0.05
            self.serve(router, f"q-{number}", now, pace_s, give_up)
            router.rollouts.evaluate(now)
        return router

    def serve(self, router, name, now, pace_s, give_up):
        """Runs one request, to completion or up to its time-out."""
        request = forwarding_world.build_request(request_id=name)
        lifecycle = forwarding_world.build_lifecycle(router, request, now=now)
        sent = lifecycle.choose_next_step(now)
        head = forwarding_world.build_head(confidence=100)
        lifecycle.evaluate_head(head, now + 0.05)
        gap_s = 0.02
        if sent.state.upstream.version == "v2":
            gap_s = pace_s
            if give_up:
                lifecycle.delivering = True
                lifecycle.handle_timeout(now + 1.0)
                return
        for event in range(12):
            lifecycle.record_bytes(now + 0.06 + event * gap_s)
        lifecycle.record_delivered(now + 0.06 + 12 * gap_s)

    def test_slow_streams_are_found(self):
        found = self.play(0.16).rollouts.get("llm")
        self.assertTrue(found.worse)
        self.assertIn("responses slow against", found.reason)

    def test_streams_that_were_given_up_are_found(self):
        self.assertTrue(self.play(0.02, True).rollouts.get("llm").worse)

    def test_sound_streams_are_no_evidence_against_the_version(self):
        found = self.play(0.02).rollouts.get("llm")
        self.assertFalse(found.worse)
        self.assertIsNotNone(found.sound_at)


class CountsTest(unittest.TestCase):
    """Tests the exchange of counts between nodes."""

    def test_counts_are_read_as_they_were_written(self):
        counts = slowness.build_counts("a", True, True, 0.25).plus(
            slowness.build_counts("b", False, False, 0.25)
        )
        numbers = counts.encode()
        self.assertEqual(slowness.decode(numbers).encode(), numbers)
        self.assertEqual(slowness.decode(numbers).new, counts.new)

    def test_counts_of_another_length_are_refused(self):
        with self.assertRaises(ValueError):
            slowness.decode([1, 2, 3])

    def test_earlier_counts_of_a_node_change_nothing(self):
        evidence = slowness.Evidence()
        later = {"r": slowness.Counts(9, 1)}
        evidence.merge("n", later)
        evidence.merge("n", {"r": slowness.Counts(5, 0)})
        self.assertEqual(evidence.counts["n"], later)
