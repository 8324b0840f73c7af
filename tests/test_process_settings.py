"""Tests of the INI settings of an entry process."""

import unittest

from sycamorehollow.settings import process

KEY = "ab" * 32
GOOD = f"""
[process]
name = entry-1
address = 127.0.0.1:8000
peer_address = 127.0.0.1:8100
data_centre = levant-1
region = levant-east
slot = 0
slots = 2
[store]
url = http://127.0.0.1:9000/
[peers]
seeds = 127.0.0.1:8101, 127.0.0.1:8102
[vms]
url = http://127.0.0.1:9001
[ratings]
url = http://127.0.0.1:9002
[sessions]
keys = k1:{KEY}, k2:{KEY}
[metrics]
port = 9125
[logs]
level = DEBUG
"""


class ParseSettingsTest(unittest.TestCase):
    """Guards against starting with invalid settings and printing secrets."""

    def _find_faults(self, text):
        faults = process.parse_settings(text)
        self.assertIsInstance(faults, list)
        return {(fault.section, fault.key): fault for fault in faults}

    def test_reads_every_section(self):
        settings = process.parse_settings(GOOD)
        self.assertIsInstance(settings, process.Settings)
        self.assertEqual(settings.store.url, "http://127.0.0.1:9000")
        self.assertEqual(
            settings.peers.seeds, ["127.0.0.1:8101", "127.0.0.1:8102"]
        )
        self.assertEqual(settings.sessions.keys["k2"], bytes.fromhex(KEY))
        self.assertEqual(list(settings.sessions.keys), ["k1", "k2"])
        self.assertEqual(settings.metrics.host, "127.0.0.1")

    def test_reports_all_faults_at_once(self):
        text = (
            GOOD.replace("slots = 2", "slots = many")
            .replace("address = 127.0.0.1:8000", "address = here:80")
            .replace("[vms]\nurl = http://127.0.0.1:9001", "")
            .replace("port = 9125", "prot = 9125")
        )
        faults = self._find_faults(text + "[extra]\na = 1\n")
        self.assertEqual(
            set(faults),
            {
                ("process", "slots"),
                ("process", "address"),
                ("vms", "url"),
                ("metrics", "prot"),
                ("extra", ""),
            },
        )
        self.assertEqual(faults["process", "address"].value, "here:80")
        self.assertIn("IP address", faults["process", "address"].expectation)

    def test_names_a_slot_out_of_range(self):
        faults = self._find_faults(GOOD.replace("slot = 0", "slot = 2"))
        self.assertEqual(faults["process", "slot"].value, "2")

    def test_does_not_print_keys(self):
        for keys in (f"k1:{KEY}, k1:{KEY}", "k1:abcd", "", f"k1 {KEY}"):
            text = GOOD.replace(f"k1:{KEY}, k2:{KEY}", keys)
            faults = self._find_faults(text)
            self.assertEqual(set(faults), {("sessions", "keys")}, keys)
            self.assertNotIn(KEY, str(faults["sessions", "keys"]))
            self.assertNotIn("abcd", str(faults["sessions", "keys"]))

    def test_operators_and_rollouts_are_optional(self):
        plain = process.parse_settings(GOOD)
        self.assertEqual(plain.operators.token, "")
        self.assertEqual(plain.rollouts.dwell_s, 300.0)
        token = "a-token-of-operators"
        text = f"{GOOD}[operators]\ntoken = {token}\n"
        text += "[rollouts]\ndwell_s = 0.5\noutcomes = 3\n"
        settings = process.parse_settings(text)
        self.assertEqual(settings.operators.token, token)
        self.assertEqual(
            (settings.rollouts.dwell_s, settings.rollouts.outcomes), (0.5, 3)
        )
        for wrong in ("", "short", f"{token} {token}"):
            faults = self._find_faults(text.replace(token, wrong))
            self.assertEqual(set(faults), {("operators", "token")}, wrong)
            if wrong:
                self.assertNotIn(wrong, str(faults["operators", "token"]))
        faults = self._find_faults(text.replace("0.5", "nan"))
        self.assertEqual(set(faults), {("rollouts", "dwell_s")})

    def test_names_a_broken_or_missing_file(self):
        self.assertEqual(len(process.parse_settings("no section")), 1)
        self.assertEqual(process.read_settings("missing.ini")[0].section, "")
