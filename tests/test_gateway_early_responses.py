"""Tests of responses that end before the upstream has read the request."""

import collections
import json
import re
import unittest

import urllib3

from tests import early_upstreams
from tests import gateway_world
from tests import platform_standins
from tests import processes
from tests.soak import proxy

UPLOAD = bytes(8 * 1024 * 1024)
HALF = len(UPLOAD) // 2
PART_BODY = b"x" * 400
# More than a gateway buffers before it sends the first byte.
LONG_PART_BODY = b"x" * 100_000
WHOLE_STREAM = [b"1", b"2", b"3", b"4"]


class EarlyTest(unittest.TestCase):
    """Base of tests whose callers send long uploads."""

    @classmethod
    def setUpClass(cls):
        cls.world = gateway_world.World(
            build_upstream=early_upstreams.EarlyUpstream
        )
        cls.addClassCleanup(cls.world.close)
        cls.node = cls.world.nodes[0]
        document = platform_standins.build_configuration(version=2)
        document["limits"]["maxBodyBytes"] = 2 * len(UPLOAD)
        cls.world.store.put("op/config", json.dumps(document))
        processes.wait_for(
            lambda: "configuration=2 in force" in cls.node.read_log()
        )

    def setUp(self):
        # The next upload at any upstream takes the plan.
        self.plans = collections.deque()
        for upstream in [*self.world.engines, *self.world.desks]:
            upstream.plans = self.plans
        self.recover()

    def recover(self):
        """Waits until all upstreams are sound and have served a request."""
        self.plans.clear()
        gateway_world.wait_until_used(self.node, self.world)
        self.world.reset()
        for desk in self.world.desks:
            desk.plain_body = b"whole"

    def upload(self, path):
        """Returns the response to an upload, or `None` if it is broken."""
        try:
            return self.node.request(path, UPLOAD)
        except urllib3.exceptions.HTTPError:
            return None

    def stream(self):
        """Returns the status and events of a stream with a long prompt."""
        response = self.node.request(
            "/draft/x", UPLOAD, accept="text/event-stream", model="small"
        )
        return response.status, re.findall(rb"id: (\d+)", response.data)

    def assert_unknown(self, response, case):
        """Checks the response to a request that may have run."""
        if response is not None:
            self.assertEqual(response.status, 502, case)
            self.assertNotIn("Response-Seal", response.headers, case)


class BrokenResponseTest(EarlyTest):
    """Guards against parts of responses that callers take for complete."""

    def test_unsafe_request_has_an_unknown_outcome(self):
        for body in (PART_BODY, LONG_PART_BODY):
            for plan in early_upstreams.list_broken_plans(len(UPLOAD), body):
                with self.subTest(plan=early_upstreams.describe(plan)):
                    self.recover()
                    self.plans.append(plan)
                    self.assert_unknown(self.upload("/lodge/x"), plan.end)
                    runs = sum(len(d.run_requests) for d in self.world.desks)
                    self.assertEqual(runs, 1)

    def test_safe_request_is_repeated(self):
        for plan in early_upstreams.list_broken_plans(len(UPLOAD), PART_BODY):
            with self.subTest(plan=early_upstreams.describe(plan)):
                self.recover()
                self.plans.append(plan)
                response = self.upload("/status/x")
                self.assertEqual(
                    (response.status, response.data), (200, b"whole")
                )

    def test_stream_is_continued(self):
        for plan in early_upstreams.list_broken_plans(len(UPLOAD), PART_BODY):
            with self.subTest(plan=early_upstreams.describe(plan)):
                self.recover()
                self.plans.append(plan)
                self.assertEqual(self.stream(), (200, WHOLE_STREAM))

    def test_reset_after_the_whole_upload(self):
        taken = []
        for body in (PART_BODY, LONG_PART_BODY):
            for plan in early_upstreams.list_late_resets(len(UPLOAD), body):
                self.recover()
                self.plans.append(plan)
                response = self.upload("/lodge/x")
                if response is not None and response.status == 200:
                    taken.append(early_upstreams.describe(plan))
        self.assertEqual(taken, [])

    def test_reason_is_logged(self):
        end = early_upstreams.End.EOF_THEN_RESET
        self.plans.append(
            early_upstreams.Plan(end, gap_s=early_upstreams.GAP_S)
        )
        self.upload("/lodge/x")
        processes.wait_for(
            lambda: "after the end of the response" in self.node.read_log()
        )


class CompleteResponseTest(EarlyTest):
    """Guards against early responses that are complete and get lost."""

    def test_upstream_that_reads_on_has_responded(self):
        end = early_upstreams.End.EOF_THEN_READ
        for body in (PART_BODY, LONG_PART_BODY):
            for first, later in ((0, 0), (0, HALF), (HALF, 0)):
                with self.subTest((first, later), length=len(body)):
                    self.recover()
                    self.plans.append(
                        early_upstreams.Plan(end, first, later, body=body)
                    )
                    response = self.upload("/lodge/x")
                    self.assertEqual(
                        (response.status, response.data), (200, body)
                    )

    def test_small_request_needs_no_more_of_the_upstream(self):
        for desk in self.world.desks:
            desk.closing = True
        response = self.node.request("/lodge/x", b"y")
        self.assertEqual((response.status, response.data), (200, b"whole"))


class IsolatedNodeTest(EarlyTest):
    """Guards against parts that a node between passes on as complete."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        ways = proxy.Proxies()
        cls.addClassCleanup(ways.close)
        opened = {}

        def find_way(address):
            if address not in opened:
                opened[address] = ways.open(address)
            return opened[address].address

        view = platform_standins.StoreView(cls.world.store, find_way)
        cls.addClassCleanup(view.stop)
        cls.node = cls.world.add_node("cut", view)
        for way in opened.values():
            ways.set_mode(way, proxy.Mode.RESET)
        processes.wait_for(
            lambda: (
                cls.node.request("/status/x").status == 200
                and "reaches no upstream" in cls.node.read_log()
            )
        )

    def test_part_is_not_complete(self):
        for body in (PART_BODY, LONG_PART_BODY):
            for plan in early_upstreams.list_broken_plans(len(UPLOAD), body):
                with self.subTest(plan=early_upstreams.describe(plan)):
                    self.recover()
                    self.plans.append(plan)
                    self.assert_unknown(self.upload("/lodge/x"), plan.end)


if __name__ == "__main__":
    unittest.main()
