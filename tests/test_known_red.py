"""Tests of the known-red list."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from tests import processes
from tools import known_red

SUITE = """
import unittest

class SuiteTest(unittest.TestCase):
    def test_passes(self):
        pass

    def test_fails(self):
        for number in range(2):
            with self.subTest(number):
                self.fail("reason " * 1000)

    def test_breaks(self):
        raise RuntimeError("reason " * 1000)

    @unittest.expectedFailure
    def test_fails_as_expected(self):
        self.fail("reason")
"""


class ReadKnownRedTest(unittest.TestCase):
    """Guards against skipping tests that the list does not name."""

    def test_reads_only_test_lines(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "KNOWN-RED.txt"
            path.write_text(
                "test: tests.test_a.A.test_b\nseed: 1\nnote: test: x\n"
            )
            self.assertEqual(
                known_red.read_known_red(path), {"tests.test_a.A.test_b"}
            )

    def test_missing_list_is_empty(self):
        self.assertEqual(
            known_red.read_known_red(pathlib.Path("missing")), set()
        )


class FailedTestsTest(unittest.TestCase):
    """Guards against failed tests that long reports hide."""

    def test_each_is_named_at_the_end(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "test_suite.py"
            path.write_text(SUITE)
            run = subprocess.run(
                [sys.executable, "-m", "nose2", "--plugin", "tools.known_red"]
                + ["-s", folder, "-t", folder],
                cwd=processes.ROOT,
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
        self.assertEqual(run.returncode, 1)
        self.assertEqual(
            run.stderr.splitlines()[-2:],
            [
                "failed: test_suite.SuiteTest.test_breaks",
                "failed: test_suite.SuiteTest.test_fails",
            ],
        )
