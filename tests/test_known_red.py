"""Tests of the known-red list."""

import pathlib
import tempfile
import unittest

from tools import known_red


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
