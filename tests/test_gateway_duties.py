"""Tests of singleton duties with real gateway processes."""

import json
import signal
import time
import unittest
import uuid

from tests import duty_platform
from tests import gateway_world
from tests import platform_standins
from tests import processes

WINDOW_S = 2.0
LATE_S = 9.0
LEASE_S = 3.0


class DutiesTest(unittest.TestCase):
    """Guards against missing, wrong and repeated usage reports."""

    def setUp(self):
        self.platform = duty_platform.DutyPlatform()
        self.addCleanup(self.platform.stop)
        self.world = gateway_world.World(nodes=0)
        self.addCleanup(self.world.close)
        settings = {
            "cloud.address": self.platform.address,
            "cloud.duties": "usage",
            "bounds.leaseMs": str(int(LEASE_S * 1000)),
            "bounds.reportWindowS": str(WINDOW_S),
            "bounds.usageLateS": str(LATE_S),
        }
        for number in range(3):
            node = gateway_world.Node(
                self.world._folder.name,
                f"node-{number}",
                self.world.store,
                **settings,
            )
            self.world.nodes.append(node)
        for node in self.world.nodes:
            node.wait_ready()

    def find_owner(self):
        """Returns the node that owns the duty; `None` for none."""
        value = self.world.store.read("duties/usage")
        if value is None:
            return None
        nodes = {node.name: node for node in self.world.nodes}
        return nodes[value.partition(" ")[0]]

    def wait_call(self):
        """Waits for the next duty call and returns its holder."""
        count = len(self.platform.calls)
        processes.wait_for(lambda: len(self.platform.calls) > count, 25.0)
        return self.platform.calls[-1].holder

    def send_requests(self, nodes, seconds):
        """Sends requests in turns; returns how many have started to run."""
        end = time.monotonic() + seconds
        served = 0
        while time.monotonic() < end:
            for node in nodes:
                served += node.request("/status/x").status == 200
            time.sleep(0.05)
        return served

    def wait_reports(self, until):
        """Waits until all windows before a time are reported."""
        last = int(until // WINDOW_S)
        processes.wait_for(lambda: last in self.platform.read_reports(), 25.0)
        return self.platform.read_reports()

    def test_reports_are_complete_and_single(self):
        self.wait_call()
        began = time.time()
        served = self.send_requests(self.world.nodes, 5.0)
        reports = self.wait_reports(time.time())
        counted = sum(
            counts.get("maps", 0)
            for window, counts in reports.items()
            if (window + 1) * WINDOW_S > began
        )
        self.assertEqual(counted, served)
        windows = [call.document["windowId"] for call in self.platform.calls]
        self.assertEqual(windows, sorted(set(windows)))
        self.assertEqual(
            windows, list(range(windows[0], windows[0] + len(windows)))
        )
        self.assertIsNone(self.platform.find_violation(LEASE_S))

    def test_another_node_takes_over_from_a_killed_one(self):
        first = self.wait_call()
        began = time.time()
        owner = self.find_owner()
        self.assertEqual(owner.name, first)
        others = [node for node in self.world.nodes if node is not owner]
        owner.send_signal(signal.SIGKILL)
        served = self.send_requests(others, 4.0)
        ended = time.time()
        reports = self.wait_reports(ended)
        counted = sum(
            counts.get("maps", 0)
            for window, counts in reports.items()
            if (window + 1) * WINDOW_S > began
        )
        self.assertEqual(counted, served)
        self.assertNotEqual(self.platform.calls[-1].holder, first)
        self.assertEqual(
            sorted(reports), list(range(min(reports), max(reports) + 1))
        )
        arrivals = {}
        for call in self.platform.calls:
            arrivals.setdefault(call.document["windowId"], call.true_time)
        for window, at in arrivals.items():
            self.assertLess(at - (window + 1) * WINDOW_S, LATE_S)
        self.assertIsNone(self.platform.find_violation(LEASE_S))

    def test_owner_that_leaves_and_one_that_is_paused(self):
        first = self.wait_call()
        owner = self.find_owner()
        owner.send_signal(signal.SIGTERM)
        owner.wait(15.0)
        second = self.wait_call()
        self.assertNotEqual(second, first)
        paused = self.find_owner()
        paused.send_signal(signal.SIGSTOP)
        third = self.wait_call()
        self.assertNotIn(third, (first, second))
        paused.send_signal(signal.SIGCONT)
        self.world.store.restore(changes=3)
        self.wait_call()
        self.wait_call()
        self.platform.read_reports()
        self.assertIsNone(self.platform.find_violation(LEASE_S))

    def test_unanswered_and_refused_calls_are_repeated(self):
        self.wait_call()
        self.platform.status = 0
        time.sleep(3.0)
        self.platform.status = 503
        time.sleep(1.0)
        count = len(self.platform.calls)
        self.assertLess(count, 12)
        self.platform.status = 200
        reports = self.wait_reports(time.time())
        self.assertEqual(
            sorted(reports), list(range(min(reports), max(reports) + 1))
        )


class ScalingTest(unittest.TestCase):
    """Guards against idle upstreams that stay and are billed."""

    def setUp(self):
        self.platform = duty_platform.DutyPlatform()
        self.addCleanup(self.platform.stop)
        self.world = gateway_world.World(nodes=0, engines=4)
        self.addCleanup(self.world.close)
        document = platform_standins.build_configuration(version=2)
        for service in document["services"]:
            if service["name"] == "llm":
                service["scaling"] = {"min": 1, "max": 6, "bootTimeS": 1.0}
        self.world.store.put("op/config", json.dumps(document))
        for engine in self.world.engines:
            engine.load = "1,0,8"
        settings = {
            "cloud.address": self.platform.address,
            "cloud.duties": "scaling",
        }
        self.node = gateway_world.Node(
            self.world._folder.name, "node-0", self.world.store, **settings
        )
        self.world.nodes.append(self.node)
        self.node.wait_ready()

    def is_ordered(self):
        """Sends a request; returns whether the platform has got a call.

        Requests share no prompt parts, so that all upstreams get some.
        """
        part = f"{uuid.uuid4().hex}:1000"
        self.assertEqual(self.node.stream(prompt_prefix=part).status, 200)
        return bool(self.platform.calls)

    def test_idle_upstreams_above_the_minimum_are_removed(self):
        processes.wait_for(self.is_ordered, 40.0)
        call = self.platform.calls[0]
        self.assertEqual(call.path, "/scale")
        self.assertEqual(
            call.document,
            {"service": "llm", "zone": "dc-1", "desiredCount": 3},
        )
        expected = (
            'sycamore_scale_orders_total{data_centre="dc-1",'
            'result="accepted",service="llm"} 1.0'
        )
        processes.wait_for(
            lambda: (
                expected
                in gateway_world.HTTP.request(
                    "GET", self.node.metrics
                ).data.decode()
            )
        )
        self.assertRegex(
            self.node.read_log(),
            "duty=scaling order=llm/dc-1 count=3 reason='down: needs",
        )
