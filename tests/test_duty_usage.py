"""Tests of the counts, the clock and the settings of usage reports."""

import pathlib
import subprocess
import sys
import unittest

from sycamorehollow.decisions.duties import clock_offset
from sycamorehollow.decisions.duties import duty
from sycamorehollow.decisions.duties import usage
from sycamorehollow.platform import duty_codec
from sycamorehollow.platform import settings
from tests import gateway_world
from tests import platform_standins

WALL = 1_767_225_000.0


def build(name, run=1):
    """Returns a duty whose boot time is 0 at the time `WALL`."""
    clock = clock_offset.ClockOffset()
    clock.record_clocks(0.0, WALL)
    return usage.UsageDuty(name, run, 5.0, 10.0, clock)


class UsageTest(unittest.TestCase):
    """Guards against totals that miss, repeat or contradict counts."""

    def setUp(self):
        self.owner, self.node = build("a"), build("b")
        self.first = int(WALL // 5)
        self.owner.load_records({}, frozenset(), -20.0, 0.0)
        self.owner.begin(0.0)

    def pass_on(self, now, is_confirmed=True):
        values = self.node.export("a 1/2", now)
        if values:
            self.owner.merge(values, now)
        if values and is_confirmed:
            self.node.record_confirmed("a 1/2", values)
        return values

    def settle(self, now):
        """Settles all windows that are due."""
        while records := self.owner.build_records(now):
            self.owner.record_written(records[0], records[0].call, now)
        return self.owner.build_calls(now)

    def test_repeated_messages_count_once(self):
        self.owner.count("maps", 1.0)
        self.node.count("maps", 1.0)
        self.pass_on(1.1, is_confirmed=False)
        self.node.count("maps", 2.0)
        self.pass_on(2.1)
        self.pass_on(2.2)
        reports = {c.window: c.counts for c in self.settle(8.0)}
        self.assertEqual(reports[self.first], {"maps": 3})

    def test_only_changed_windows_are_sent(self):
        self.node.count("maps", 1.0)
        self.pass_on(1.1)
        self.assertEqual(self.pass_on(1.2), {})
        self.node.count("maps", 6.0)
        windows = self.pass_on(6.1)[usage.WINDOWS]
        self.assertEqual(list(windows), [str(self.first + 1)])
        # Another owner gets all of them.
        every = self.node.export("c 1/2", 6.2)[usage.WINDOWS]
        self.assertEqual(len(every), 2)

    def test_a_restarted_node_does_not_replace_its_earlier_counts(self):
        self.node.count("maps", 1.0)
        self.pass_on(1.1)
        self.node = build("b", run=2)
        self.node.count("maps", 2.0)
        self.pass_on(2.1)
        reports = {c.window: c.counts for c in self.settle(8.0)}
        self.assertEqual(reports[self.first], {"maps": 2})

    def test_settled_totals_never_change(self):
        self.node.count("maps", 1.0)
        self.pass_on(1.1)
        (report,) = [c for c in self.settle(8.0) if c.window == self.first]
        self.owner.record_result(report, duty.Result.UNKNOWN, 8.1)
        self.node.count("maps", 2.0)
        self.pass_on(8.2)
        self.assertIn("late_counts=1", " ".join(self.owner.take_notes(8.3)))
        self.assertEqual(
            [c for c in self.settle(9.0) if c.window == self.first], [report]
        )

    def test_totals_in_the_store_win(self):
        self.owner.count("maps", 1.0)
        held = duty.UsageReport(self.first, {"maps": 7})
        while records := self.owner.build_records(8.0):
            (record,) = records
            call = held if record.name == str(self.first) else record.call
            self.owner.record_written(record, call, 8.0)
        self.assertIn(held, self.settle(8.0))

    def test_windows_settled_before_a_restore_are_not_settled_again(self):
        # The store lost its records at boot time 20.
        self.owner.load_records({}, frozenset(), 20.0, 24.0)
        ends = [
            (int(r.name) + 1) * 5.0 - WALL
            for r in self.owner.build_records(40.0)
        ]
        self.assertGreaterEqual(min(ends), 20.0)
        # A record of the present era shows that later windows are safe.
        report = duty.UsageReport(self.first + 1, {})
        name = str(self.first + 1)
        self.owner.load_records({name: report}, frozenset([name]), 20.0, 24.0)
        (record,) = self.owner.build_records(40.0)
        self.assertEqual(int(record.name), self.first + 2)

    def test_malformed_values_are_errors(self):
        for values in ({}, {"node": "b", "run": 1, "windows": [1]}):
            with self.assertRaises((AttributeError, KeyError, TypeError)):
                self.owner.merge(values, 1.0)

    def test_records_are_read_as_written(self):
        codec = duty_codec.PlatformDutyCodec()
        report = duty.UsageReport(5, {"maps": 3})
        value = codec.encode_record(report, 2)
        self.assertEqual(codec.decode_record(value), (report, 2))
        self.assertIsNone(codec.decode_record("[]"))
        order = duty.ScaleOrder("llm", "east-a", 6)
        self.assertEqual(codec.encode_call(order, "a", 9).path, "/scale")


class ClockTest(unittest.TestCase):
    """Guards against windows that move with a wrong wall clock."""

    def test_jumps_that_end_are_ignored_and_drift_is_followed(self):
        clock = clock_offset.ClockOffset()
        for tick in range(800):
            now = tick * 0.25
            jump = 4.0 if 100 <= tick < 200 else 0.0
            clock.record_clocks(now, WALL + now * 1.0001 + jump)
            error = clock.compute_time(now) - (WALL + now * 1.0001)
            self.assertLess(abs(error), 0.1)

    def test_other_nodes_correct_a_wrong_clock(self):
        clock = clock_offset.ClockOffset()
        clock.record_clocks(0.0, WALL + 30.0)
        for number, error in enumerate((0.02, -0.01, 9.0, 0.0)):
            clock.record_peer(f"n{number}", WALL + 1.0 + error, 1.0)
        clock.record_clocks(1.0, WALL + 31.0)
        self.assertLess(abs(clock.compute_time(1.0) - (WALL + 1.0)), 0.1)


class SettingsTest(unittest.TestCase):
    """Guards against duties where the settings list none."""

    def test_settings_are_optional(self):
        lines = gateway_world.build_settings("a", "127.0.0.1:9")
        text = "\n".join(f"{k}={v}" for k, v in lines.items())
        self.assertFalse(settings.parse_settings(text).has_duties)
        text += "\ncloud.address=127.0.0.1:8\ncloud.duties=usage, scaling\n"
        read = settings.parse_settings(text + "bounds.leaseMs=2500")
        self.assertEqual(read.duties, ("usage", "scaling"))
        self.assertEqual(read.owner_lease_s, 2.5)

    def test_nothing_is_loaded_without_duties(self):
        code = (
            "import sys; from sycamorehollow.programs import gateway_command;"
            "print([m for m in sys.modules if 'duty' in m or 'duties' in m])"
        )
        root = pathlib.Path(__file__).resolve().parent.parent
        result = subprocess.run(
            [sys.executable, "-c", code], cwd=root, capture_output=True
        )
        self.assertEqual(result.stdout.strip(), b"[]", result.stderr)


class StoreLeaseTest(unittest.TestCase):
    """Guards the stand-in's leases, which the tests of duties rely on."""

    def test_a_lease_ends_with_its_keys(self):
        store = platform_standins.Store()
        self.addCleanup(store.stop)
        _, lease = store._call_lease("/-/kv-lease", {"ttlMs": 1000})
        write = {"key": "k", "value": "dg==", "lease": lease["lease"]}
        change = {"expectedRevision": [], "writes": [write], "remove": []}
        self.assertEqual(store._change(change)[0], 200)
        store._call_lease(f"/-/kv-lease-end/{lease['lease']}", {})
        self.assertIsNone(store.read("k"))
        self.assertEqual(store._change(change)[0], 404)
