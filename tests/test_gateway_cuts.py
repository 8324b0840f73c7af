"""Tests of nodes that are cut off from all upstreams."""

import os
import signal
import time
import unittest

from tests import cut_nodes
from tests.soak import proxy

LOAD_S = 4.0
# Share of the first attempts at other nodes that has to be served.
MIN_SHARE = 2 / 3
# First attempts that may fail at all, and the share of them.
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50
# Time within which a request that is not served is refused, of 4 s in all.
REFUSAL_S = 1.0
DEADLINE_S = 4.0
NODES = set(range(len(cut_nodes.CENTRES)))


class CutTest(unittest.TestCase):
    """Guards against callers who are not served where others could be."""

    def setUp(self):
        self.world = cut_nodes.World()
        self.addCleanup(self.world.close)

    def assert_served(self, outcomes, cut):
        """Checks that callers of cut nodes are served as often as others."""
        served, count = cut_nodes.count_served(outcomes, cut)
        others, other_count = cut_nodes.count_served(outcomes, NODES - cut)
        failed = [o for o in outcomes if o.node in cut and o.status != 200]
        detail = f"{served} of {count}, others {others} of {other_count}"
        self.assertGreaterEqual(
            served / count, MIN_SHARE * others / other_count, detail
        )
        self.assertLessEqual(
            len(failed),
            MAX_FAILED + MAX_FAILED_SHARE * len(outcomes),
            f"{detail}: {failed[:5]}",
        )
        self.assert_truthful(outcomes)

    def assert_truthful(self, outcomes):
        """Checks that unsafe requests run at most once, as answered."""
        runs = self.world.count_runs()
        for outcome in outcomes:
            if outcome.kind != "unsafe":
                continue
            self.assertLessEqual(runs[outcome.request_id], 1, outcome)
            if outcome.status in (429, 503):
                self.assertEqual(runs[outcome.request_id], 0, outcome)

    def cut_and_call(self, cut, mode):
        """Cuts nodes off, and returns the outcomes from then on."""
        self.world.call(0.5)
        self.world.cut(cut, mode)
        self.world.call(cut_nodes.CONTACT_S)
        return self.world.call(LOAD_S)

    def test_one_node_whose_connections_are_reset(self):
        self.assert_served(self.cut_and_call({0}, proxy.Mode.RESET), {0})

    def test_one_node_whose_connections_hang(self):
        self.assert_served(self.cut_and_call({0}, proxy.Mode.HANG), {0})

    def test_node_whose_open_connections_live_on(self):
        self.assert_served(self.cut_and_call({0}, proxy.Mode.REFUSE), {0})

    def test_all_nodes_of_a_data_centre(self):
        cut = {0, 3}
        self.assert_served(self.cut_and_call(cut, proxy.Mode.HANG), cut)

    def test_all_nodes_but_one(self):
        for mode in (proxy.Mode.HANG, proxy.Mode.RESET):
            with self.subTest(mode.value):
                cut = NODES - {4}
                self.assert_served(self.cut_and_call(cut, mode), cut)

    def test_paths_that_come_back_and_go_again(self):
        outcomes = []
        for mode in (proxy.Mode.HANG, proxy.Mode.RESET, proxy.Mode.REFUSE):
            self.world.cut({0, 1}, mode)
            self.world.call(cut_nodes.CONTACT_S)
            outcomes += self.world.call(1.0)
            self.world.cut((), mode)
            outcomes += self.world.call(1.5)
        self.assert_served(outcomes, {0, 1})

    def test_node_that_helps_is_killed_stopped_or_paused(self):
        cut = NODES - {1, 4}
        self.world.cut(cut, proxy.Mode.HANG)
        self.world.call(cut_nodes.CONTACT_S)
        for number in (signal.SIGTERM, signal.SIGSTOP):
            helper = self.world.nodes[1]
            os.kill(helper.pid, number)
            outcomes = self.world.call(2.0)
            self.assert_truthful(outcomes)
            helper.stop()
            time.sleep(0.5)
            outcomes = self.world.call(2.0)
            served, count = cut_nodes.count_served(outcomes, cut)
            self.assertGreaterEqual(served / count, MIN_SHARE)
            self.assert_truthful(outcomes)
            helper.start()
            helper.wait_ready()

    def check_paused_helpers(self, helpers, play):
        """Pauses helpers of the first node; checks what its callers get.

        Args:
            helpers: Numbers of the nodes that are paused.
            play: Sends requests to the nodes that are not paused.
        """
        self.world.cut({0}, proxy.Mode.HANG)
        self.world.call(cut_nodes.CONTACT_S)
        running = sorted(NODES - helpers)
        for number in helpers:
            self.world.nodes[number].send_signal(signal.SIGSTOP)
        outcomes = play(running)
        for number in helpers:
            self.world.nodes[number].send_signal(signal.SIGCONT)
        # What the helpers have taken may run now.
        time.sleep(1.0)
        self.assert_served(outcomes, {0})
        self.assertLess(max(o.seconds for o in outcomes), DEADLINE_S + 0.5)

    def test_paused_helper_of_the_own_data_centre_holds_nobody(self):
        # Its kernel accepts connections and takes requests.
        self.check_paused_helpers(
            {3}, lambda running: self.world.call(LOAD_S, numbers=running)
        )

    def test_paused_helpers_of_two_data_centres_hold_nobody(self):
        self.check_paused_helpers(
            {1, 3}, lambda running: self.world.call(LOAD_S, numbers=running)
        )

    def test_helper_that_is_paused_again_and_again_holds_nobody(self):
        def play(running):
            outcomes = []
            for _ in range(4):
                outcomes += self.world.call(1.0, numbers=running)
                self.world.nodes[3].send_signal(signal.SIGCONT)
                outcomes += self.world.call(0.7, numbers=running)
                self.world.nodes[3].send_signal(signal.SIGSTOP)
            return outcomes

        self.check_paused_helpers({3}, play)

    def test_paused_helper_that_is_told_to_stop_holds_nobody(self):
        def play(running):
            outcomes = self.world.call(1.0, numbers=running)
            self.world.nodes[3].send_signal(signal.SIGTERM)
            return outcomes + self.world.call(LOAD_S - 1.0, numbers=running)

        self.check_paused_helpers({3}, play)

    def test_all_nodes_are_cut_off(self):
        self.world.cut(NODES, proxy.Mode.HANG)
        self.world.call(cut_nodes.CONTACT_S)
        outcomes = self.world.call(2.0, ("safe", "unsafe"))
        self.assertEqual({o.status for o in outcomes}, {503})
        self.assert_truthful(outcomes)
        slowest = max(o.seconds for o in outcomes)
        self.assertLess(slowest, REFUSAL_S)
        self.world.cut((), proxy.Mode.PASS)
        time.sleep(cut_nodes.CONTACT_S)
        outcomes = self.world.call(2.0)
        self.assertEqual({o.status for o in outcomes}, {200})

    def test_service_that_is_down_cuts_nobody_off(self):
        for desk in self.world.desks:
            desk.stop()
        self.world.call(1.0, ("safe",))
        outcomes = self.world.call(2.0, ("stream",))
        self.assertEqual({o.status for o in outcomes}, {200})
        for node in self.world.nodes:
            self.assertNotIn("reaches no upstream", node.read_log())


if __name__ == "__main__":
    unittest.main()
