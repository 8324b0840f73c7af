"""Tests of the load tool against an engine stand-in."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

import urllib3

from sycamorehollow.programs import load
from sycamorehollow.standins import engine
from sycamorehollow.standins import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent


class TargetTest(unittest.TestCase):
    """Guards against load on addresses outside this machine."""

    def test_only_loopback_numbers_are_accepted(self):
        self.assertEqual(load.parse_target("http://127.0.0.1:80").port, 80)
        for url in (
            "http://10.0.0.1:80",
            "http://example.com:80",
            "http://0.0.0.0:80",
            "http://127.0.0.1.example.com:80",
            "https://127.0.0.1:443",
            "http://127.0.0.1",
        ):
            with self.subTest(url), self.assertRaises(load.ArgumentError):
                load.parse_target(url)


class RunTest(unittest.TestCase):
    """Guards against counting broken or refused responses as complete."""

    def setUp(self):
        overrides = ["engine.tokens_per_s=100", "memory.restart_s=0"]
        self.engine = engine.Engine(
            settings.read_settings(settings.EngineSettings, "", overrides)
        )
        self.engine.start()
        self.addCleanup(self.engine.stop)

    def run_load(self, *extra):
        arguments = load.build_parser().parse_args(
            ["--engine", self.engine.url, "--count", "10", "--rate", "50"]
            + ["--mix", "check=1:40:6", "--drain-seconds", "5", *extra]
        )
        plan, lanes = load.build_plan(arguments), load.build_lanes(arguments)
        load.run_plan(plan, lanes)
        return load.summarise(lanes[0])

    def test_counts_complete_responses_and_their_gaps(self):
        summary = self.run_load("--stream-share", "0.5")
        self.assertEqual(summary["outcomes"], {"complete": 10})
        self.assertAlmostEqual(summary["between_tokens_ms"][50], 10, delta=4)

    def test_crash_is_no_completion(self):
        fault = {"kind": "crash_on", "content": "1-9 ", "value": 3}
        urllib3.PoolManager().request(
            "POST", self.engine.url + "/faults", body=json.dumps(fault)
        )
        outcomes = self.run_load()["outcomes"]
        self.assertGreater(outcomes["truncated"], 0)
        self.assertEqual(sum(outcomes.values()), 10)

    def test_refusals_are_named(self):
        summary = self.run_load("--model", "absent")
        self.assertEqual(summary["outcomes"], {"refused_version_absent": 10})


class ProgramTest(unittest.TestCase):
    """Guards against a stand-in that starts with settings it ignores."""

    def run_engine(self, *arguments):
        command = [sys.executable, "-m", "sycamorehollow.standins.engine"]
        return subprocess.run(
            [*command, *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )

    def test_check_names_every_error_and_exits_2(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "engine.ini"
            path.write_text("[engine]\ntokens_per_s = fast\n[colt]\na = 1\n")
            ended = self.run_engine("--check", "--settings", str(path))
        self.assertEqual(ended.returncode, 2)
        for text in ("engine", "tokens_per_s", "'fast'", "colt"):
            self.assertIn(text, ended.stderr)

    def test_ends_by_itself(self):
        ended = self.run_engine("--exit-after", "0.2")
        self.assertEqual(ended.returncode, 0)
        self.assertIn("url", json.loads(ended.stdout))
