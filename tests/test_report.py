"""Tests of the report on the journal."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from tools import report


def build_entry(**changes):
    """Returns a journal entry of a score."""
    days = [
        {"name": "quiet-1", "slot": "quiet", "G": 0.8, "rules": {}},
        {"name": "trouble-1", "slot": "trouble", "G": 0.5, "rules": {}},
        {"name": "scale-1", "slot": "scale", "G": 0.6, "rules": {"LOST": 2}},
        {"name": "fresh-1", "slot": "trouble", "G": 0.1, "rules": {"EVAC": 1}},
    ]
    return {
        "at": ["2026-12-04T06:00:00Z", ""],
        "cmd": "score",
        "head": "0123456789",
        "site": "east",
        "edited_meanwhile": False,
        "days": [day | {"gate": not day["rules"]} for day in days],
        "unknown": 1,
        **changes,
    }


class ReportTest(unittest.TestCase):
    """Guards against means of the wrong days and against lost entries."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _write(self, *entries):
        for number, entry in enumerate(entries):
            path = self.folder / f"{number}.json"
            path.write_text(json.dumps(entry))

    def test_means_are_those_of_the_standard_days(self):
        self._write(build_entry())
        (one,) = report.read_rounds(self.folder)
        self.assertEqual(set(one.worth), {"quiet-1", "trouble-1", "scale-1"})
        self.assertAlmostEqual(one.troubled, 0.55)
        self.assertEqual(one.broken, {"LOST": 2, "EVAC": 1})
        self.assertFalse(one.passed)

    def test_rounds_come_in_their_order_without_other_runs(self):
        self._write(
            build_entry(at=["2026-12-04T07:00:00Z", ""], head="b"),
            build_entry(cmd="hunt", head="a", edited_meanwhile=True),
            build_entry(cmd="run"),
            build_entry(site=None, days=[]),
            {"at": 3},
        )
        rounds = report.read_rounds(self.folder)
        self.assertEqual([one.commit for one in rounds], ["a", "b"])
        self.assertIsNone(rounds[0].troubled)
        table = report.format_table(rounds)
        self.assertIn("| hunt, edited | 4 |", table)

    def test_report_has_a_table_and_a_plot_for_each_site(self):
        self._write(build_entry(), build_entry(site="west"))
        output = self.folder / "out"
        arguments = ["--journal", str(self.folder), "--output", str(output)]
        with contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(report.main(arguments), 0)
        text = (output / "report.md").read_text()
        self.assertIn("EVAC 1, LOST 2", text)
        for site in ("east", "west"):
            self.assertIn("<svg", (output / f"{site}.svg").read_text())

    def test_empty_journal_is_said_so(self):
        with contextlib.redirect_stderr(io.StringIO()):
            code = report.main(["--journal", str(self.folder)])
        self.assertEqual(code, 1)
