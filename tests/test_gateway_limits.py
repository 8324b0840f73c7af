"""Tests of gateway processes before upstreams that state a request limit."""

import threading
import time
import unittest

from tests import gateway_world
from tests import limit_rule
from tests import processes

NODES = 3
REQUESTS_PER_S = 24.0
CALLERS = 24


class Load:
    """Callers that send requests to all nodes at a steady rate.

    Attributes:
        responses: Time, status, seconds until the response and `Retry-After`
            of each request.
    """

    def __init__(self, nodes, streaming):
        self.responses = []
        self._nodes = nodes
        self._streaming = streaming
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self):
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops the callers and waits for their last responses."""
        self._stop.set()
        for thread in self._threads:
            thread.join(20)

    def _run(self, number):
        node = self._nodes[number % len(self._nodes)]
        pause_s = CALLERS / REQUESTS_PER_S
        self._stop.wait(pause_s * number / CALLERS)
        while not self._stop.is_set():
            sent_at = time.monotonic()
            if self._streaming:
                response = node.stream()
            else:
                response = node.request("/status/1")
            now = time.monotonic()
            self.responses.append(
                (
                    sent_at,
                    response.status,
                    now - sent_at,
                    response.headers.get("Retry-After"),
                )
            )
            self._stop.wait(max(0.0, sent_at + pause_s - now))


class StatedLimitTest(unittest.TestCase):
    """Guards against more requests than upstreams state that they take."""

    @classmethod
    def setUpClass(cls):
        cls.world = gateway_world.World(nodes=NODES, engines=3, desks=3)
        cls.addClassCleanup(cls.world.close)

    def setUp(self):
        self.world.reset()

    def play(self, upstreams, limit, streaming):
        """Serves load while upstreams state a limit.

        Returns:
            The load's responses from the time on at which the rule holds.
        """
        load = Load(self.world.nodes, streaming)
        load.start()
        self.addCleanup(load.stop)
        time.sleep(1.0)
        for upstream in upstreams:
            upstream.limit = limit
        since = time.monotonic() + limit_rule.CONTACT_S
        time.sleep(limit_rule.CONTACT_S + limit_rule.WINDOW_S + 2.0)
        load.stop()
        allowed = limit_rule.compute_allowed(float(limit))
        for upstream in upstreams:
            worst = limit_rule.count_worst_window(upstream.arrivals, since)
            self.assertLessEqual(worst, allowed, upstream.identity)
        return [r for r in load.responses if r[0] >= since]

    def test_one_of_three_states_a_limit(self):
        responses = self.play(self.world.desks[:1], "1.2", streaming=False)
        self.assertEqual({status for _, status, _, _ in responses}, {200})

    def test_larger_model_counts_against_the_limit(self):
        for engine in self.world.engines:
            engine.confidences = {"small": 1}
        responses = self.play(self.world.engines[:1], "1.2", streaming=True)
        self.assertEqual({status for _, status, _, _ in responses}, {200})

    def test_all_state_a_limit_and_the_rest_is_refused_at_once(self):
        responses = self.play(self.world.desks, "2", streaming=False)
        statuses = {status for _, status, _, _ in responses}
        self.assertEqual(statuses, {200, 503})
        for _, status, took_s, retry_after in responses:
            if status == 200:
                continue
            self.assertLess(took_s, 1.0)
            self.assertGreater(float(retry_after), 0.0)

    def test_traffic_returns_after_the_end_of_the_limit(self):
        desk, *others = self.world.desks
        self.play([desk], "1.2", streaming=False)
        load = Load(self.world.nodes, streaming=False)
        load.start()
        self.addCleanup(load.stop)
        desk.limit = ""
        for other in others:
            other.mode = "refuse"

        def takes_all_requests():
            since = time.monotonic() - 1.0
            arrived = sum(at > since for at in desk.arrivals)
            return arrived >= 0.8 * REQUESTS_PER_S

        processes.wait_for(takes_all_requests, limit_s=8.0)


class PermitLoanTest(unittest.TestCase):
    """Guards against limits that are unused where the requests arrive."""

    def test_permits_of_other_nodes_are_used(self):
        world = gateway_world.World(nodes=6, engines=0, desks=1)
        self.addCleanup(world.close)
        desk = world.desks[0]
        desk.limit = "2"
        load = Load(world.nodes[:1], streaming=False)
        load.start()
        self.addCleanup(load.stop)
        time.sleep(2.0)
        since = time.monotonic()
        time.sleep(8.0)
        load.stop()
        served = [r for r in load.responses if r[0] >= since and r[1] == 200]
        # One node owns a quarter of the limit at most.
        self.assertGreaterEqual(len(served), 0.6 * 2 * 8)
        worst = limit_rule.count_worst_window(desk.arrivals, since)
        self.assertLessEqual(worst, limit_rule.compute_allowed(2))
