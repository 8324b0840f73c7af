"""Tests of connections that fall silent while new ones work."""

import time
import unittest

from tests import silent_links

# Times from the silence to a change.
MOMENTS_S = (0.1, 0.9, 1.8)
OUTAGE_S = 5.1
# Pauses between the silences of a series.
PAUSES_S = (2.1, 3.4, 2.6, 4.2) * 3
# Connections that a node may open beyond those that it had, as some are only
# opened when they are needed.
MORE_DESCRIPTORS = 12


class SilenceTest(unittest.TestCase):
    """Guards against silence that is taken for the absence of changes."""

    centres = ("dc-1",) * 6

    def setUp(self):
        self.world = silent_links.World(self.centres)
        self.addCleanup(self.world.close)

    def assert_changes_in_force(self, **silence):
        """Checks changes at several times after connections fell silent."""
        for moment_s in MOMENTS_S:
            silent_at = time.monotonic()
            self.world.silence(**silence)
            time.sleep(moment_s)
            late = self.world.measure_lateness(silent_at)
            self.assertLess(max(late), 0.0, f"{moment_s} s later: {late}")

    def test_change_on_a_broken_path_to_the_store(self):
        self.assert_changes_in_force()

    def test_change_with_a_store_whose_answers_never_come(self):
        self.assert_changes_in_force(drops_packets=False)

    def test_change_on_broken_paths_to_peers(self):
        self.assert_changes_in_force(store=False, peers=True)

    def test_change_on_broken_paths_to_the_store_and_to_peers(self):
        self.assert_changes_in_force(peers=True)

    def test_change_with_answers_of_store_and_peers_that_never_come(self):
        self.assert_changes_in_force(peers=True, drops_packets=False)

    def test_change_after_an_outage_that_leaves_connections_silent(self):
        for drops_packets in (True, False):
            with self.world.stop_store():
                time.sleep(0.5)
                self.world.silence(peers=True, drops_packets=drops_packets)
                time.sleep(OUTAGE_S - 0.5)
            late = self.world.measure_lateness(time.monotonic())
            self.assertLess(max(late), 0.0, str(late))

    def test_changes_during_a_series_of_silences(self):
        before = self.world.count_descriptors()
        late = []
        for number, pause_s in enumerate(PAUSES_S):
            silent_at = time.monotonic()
            self.world.silence(peers=True, drops_packets=number % 3 != 2)
            time.sleep(0.1)
            late.append(self.world.measure_lateness(silent_at))
            time.sleep(max(0.0, silent_at + pause_s - time.monotonic()))
        self.assertLess(max(map(max, late)), 0.0, str(late))
        time.sleep(silent_links.CONTACT_S)
        after = self.world.count_descriptors()
        for count_before, count_after in zip(before, after, strict=True):
            self.assertLessEqual(
                count_after, count_before + MORE_DESCRIPTORS, str(after)
            )

    def test_upstream_that_leaves_while_connections_are_silent(self):
        leaving = self.world.desks[0]
        silent_at = time.monotonic()
        self.world.silence(peers=True, drops_packets=False)
        time.sleep(1.2)
        leaving.register(self.world.store, "desk", state="draining", seq=2)
        due_at = max(
            silent_at + silent_links.CONTACT_S,
            time.monotonic() + silent_links.APPLY_S,
        )
        time.sleep(max(0.0, due_at - time.monotonic()))
        leaving.run_requests.clear()
        for _ in range(12):
            for node in self.world.nodes:
                self.assertEqual(node.request("/status/x").status, 200)
        self.assertEqual(leaving.run_requests, [])


class SilenceInDataCentresTest(SilenceTest):
    """The same with nodes in several data centres."""

    centres = ("dc-1", "dc-2", "dc-3") * 3


if __name__ == "__main__":
    unittest.main()
