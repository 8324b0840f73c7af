"""Tests of upstreams that leave, and of upstreams that ask for a pause."""

import threading
import time
import unittest

from tests import gateway_world
from tests import processes


class LeavingTest(unittest.TestCase):
    """Guards against requests to upstreams that say they leave."""

    def setUp(self):
        self.world = gateway_world.World(engines=2, desks=2)
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]

    def press(self, seconds):
        """Sends requests one after the other; returns their statuses."""
        end = time.monotonic() + seconds
        statuses = []
        while time.monotonic() < end:
            statuses.append(self.node.request("/status/1").status)
        return statuses

    def test_leaving_upstream_gets_no_more_requests(self):
        desk = self.world.desks[0]
        desk.leaving = True
        # The other one refuses, so that the first one gets a request.
        self.world.desks[1].mode = "refuse"
        processes.wait_for(
            lambda: self.node.request("/status/1").status and desk.arrivals
        )
        self.world.desks[1].mode = "serve"
        time.sleep(0.2)
        since = time.monotonic()
        self.assertEqual(set(self.press(2.0)), {200})
        self.assertEqual([at for at in desk.arrivals if at > since], [])
        self.assertIn("leaving=desk-0", self.node.read_log())

    def test_open_stream_of_a_leaving_upstream_is_read_to_its_end(self):
        for engine in self.world.engines:
            engine.leaving = True
            engine.pause_s = 0.3
        response = self.node.stream()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.data.count(b"id: "), 4)

    def test_request_is_rejected_at_once_if_all_leave(self):
        for desk in self.world.desks:
            desk.leaving = True
        statuses = []

        def is_rejected():
            response = self.node.request("/status/1")
            statuses.append(response.status)
            return response.status == 503

        processes.wait_for(is_rejected)
        before = time.monotonic()
        response = self.node.request("/status/1")
        self.assertLess(time.monotonic() - before, 0.2)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertLessEqual(statuses.count(200), 2)

    def test_new_incarnation_gets_requests(self):
        for desk in self.world.desks:
            desk.leaving = True
        processes.wait_for(lambda: self.node.request("/status/1").status == 503)
        desk = self.world.desks[0]
        desk.leaving = False
        desk.register(self.world.store, "desk", born=7)
        processes.wait_for(lambda: self.node.request("/status/1").status == 200)


class PauseTest(unittest.TestCase):
    """Guards against requests to upstreams that ask for a pause."""

    def setUp(self):
        self.world = gateway_world.World(engines=0, desks=2)
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]

    def send_steadily(self, seconds):
        """Sends overlapping requests; returns status and `Retry-After`."""
        responses = []

        def send():
            response = self.node.request("/status/1")
            responses.append(
                (response.status, response.headers.get("Retry-After"))
            )

        threads = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            threads.append(threading.Thread(target=send))
            threads[-1].start()
            time.sleep(0.05)
        for thread in threads:
            thread.join(10)
        return responses

    def test_upstream_is_left_alone_until_its_pause_ends(self):
        desk, other = self.world.desks
        desk.mode = "refuse"
        desk.retry_after = "2"
        other.mode = "refuse"
        processes.wait_for(
            lambda: self.node.request("/status/1").status and desk.arrivals
        )
        other.mode = "serve"
        first = desk.arrivals[-1]
        responses = self.send_steadily(2.2)
        self.assertEqual({status for status, _ in responses}, {200})
        late = [at for at in desk.arrivals if first + 0.5 < at < first + 2.0]
        self.assertLessEqual(len(late), 2)
        self.assertIn("pause=desk-0", self.node.read_log())
        desk.mode = "serve"
        other.mode = "refuse"
        processes.wait_for(
            lambda: self.node.request("/status/1").status == 200, limit_s=3.0
        )

    def test_rejection_tells_when_the_pause_ends(self):
        for desk in self.world.desks:
            desk.mode = "refuse"
            desk.retry_after = "5"
        processes.wait_for(
            lambda: all(
                self.node.request("/status/1").status == 503 and d.arrivals
                for d in self.world.desks
            )
        )
        before = time.monotonic()
        response = self.node.request("/status/1")
        self.assertLess(time.monotonic() - before, 0.2)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 3.0)
        self.assertLess(float(response.headers["Retry-After"]), 12.0)
