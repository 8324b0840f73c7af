"""Test runner plugin that passes over exactly the cases in KNOWN-RED.txt.

It also names the other tests that failed at the end of the output, where they
are found however long the reports are.

An entry of KNOWN-RED.txt starts with a line `test: <dotted test id>`, or
`bench: <name of the figure>` for a bench. A listed test still runs; its
failure is printed and does not change the exit status.
"""

import pathlib
import sys

from nose2 import events
from nose2 import result

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
BENCH_PREFIX = "bench: "


def read_known_red(path: pathlib.Path, prefix: str = TEST_PREFIX) -> set[str]:
    """Returns the test ids, or bench names, that are listed as failing."""
    if not path.exists():
        return set()
    ids = set()
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith(prefix):
            ids.add(line[len(prefix) :].strip())
    return ids


class KnownRed(events.Plugin):
    """Turns the failure of a listed test into an expected failure."""

    configSection = "known-red"  # noqa: N815
    alwaysOn = True  # noqa: N815

    def __init__(self):
        self._known = read_known_red(KNOWN_RED)
        self._failed: dict[str, None] = {}

    def setTestOutcome(self, event):  # noqa: N802
        """Marks the failure of a listed test as expected."""
        name = event.test.id().split("\n")[0]
        if name not in self._known:
            self._record_failure(event)
            return
        if event.outcome not in (result.FAIL, result.ERROR):
            print(f"known red, passes now: {name}", file=sys.stderr)
            return
        print(f"known red, still failing: {name}", file=sys.stderr)
        event.outcome = result.FAIL
        event.expected = True

    def _record_failure(self, event):
        """Stores the name of a test that failed, also in a subtest."""
        if event.expected or event.exc_info is None:
            return
        if event.outcome in (result.FAIL, result.ERROR, result.SUBTEST):
            case = getattr(event.test, "test_case", event.test)
            self._failed[case.id().split("\n")[0]] = None

    def afterSummaryReport(self, event):  # noqa: N802
        """Names the tests whose failure was not expected."""
        for name in self._failed:
            event.stream.writeln(f"failed: {name}")
