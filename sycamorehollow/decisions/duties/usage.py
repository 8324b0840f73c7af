"""Usage reports: requests of each workspace by window of true time."""

from collections.abc import Mapping
import math
from typing import Any

from sycamorehollow.decisions.duties import clock_offset
from sycamorehollow.decisions.duties import duty

# Interval of the counts that a node passes on, and the load that all nodes
# together may cause at the owner by it.
EXPORT_INTERVAL_S = 1.0
MAX_EXPORTS_PER_S = 70.0
# Time for a message and for the work in progress at both ends.
DELIVERY_S = 1.2
# The totals are settled in this share of the time until the report is due, so
# that the rest is left for another owner to take over.
MAX_SETTLE_SHARE = 0.35
# Reports that are late by more than this many times their delay are dropped.
MAX_DELAYS = 3.0
# A new owner repeats the reports of earlier ones up to this age, as a multiple
# of the delay, since it does not know whether they were sent.
RESEND_DELAYS = 1.5
RETRY_DELAY_S = 0.5
# By how much two nodes' estimates of true time may differ.
CLOCK_TOLERANCE_S = 2.0
MAX_WORKSPACES = 5000
NODE, RUN, SEQUENCE, WINDOWS = "node", "run", "seq", "windows"

Counts = dict[str, int]


def compute_export_interval_s(node_count: int) -> float:
    """Returns the interval at which a node passes its counts on."""
    return max(EXPORT_INTERVAL_S, node_count / MAX_EXPORTS_PER_S)


class UsageDuty(duty.Duty):
    """Counts requests on each node, and reports the totals on the owner.

    Args:
        node: Name of the node.
        run: Number of the process, which differs after a restart.
        window_s: Length of a window.
        report_delay_s: Time after its end until a report is due.
        clock: Estimate of true time.

    """

    name = "usage"

    def __init__(
        self,
        node: str,
        run: int,
        window_s: float,
        report_delay_s: float,
        clock: clock_offset.ClockOffset,
    ):
        # Requests whose counts came after the totals were settled, by window.
        self._late_counts: dict[int, int] = {}
        self._notes: list[str] = []
        self._own = (node, run)
        self._window_s = window_s
        self._report_delay_s = report_delay_s
        self._clock = clock
        self._settle_s = self._compute_settle_s(1)
        self._kept = math.ceil(MAX_DELAYS * report_delay_s / window_s) + 3
        self._counts: dict[tuple[str, int], dict[int, Counts]] = {}
        self._counts[self._own] = {}
        self._sequence = 0
        self._changed: dict[int, int] = {}
        self._confirmed: dict[str, int] = {}
        # Totals that are fixed by a record, and which of them were accepted.
        self._fixed: dict[int, duty.UsageReport] = {}
        self._done: set[int] = set()
        # Reports that were returned and have no result yet.
        self._offered: set[int] = set()
        self._record_names: set[str] = set()
        self._first_window = 0
        self._next_at = 0.0

    def set_node_count(self, count: int) -> None:
        """Sets the number of nodes, which share the load on the owner."""
        self._settle_s = self._compute_settle_s(count)

    def count(self, workspace: str, now: float) -> None:
        """Counts a request that has begun to run."""
        window = self._find_window(now)
        counts = self._counts[self._own].setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        self._sequence += 1
        self._changed[window] = self._sequence

    def load_records(
        self,
        records: Mapping[str, duty.Call],
        recent: frozenset[str],
        known_since: float,
        now: float,
    ) -> None:
        """Takes over what earlier owners have settled.

        A restore of the store may have lost records of windows that were
        reported. Windows are settled in order, so those after a record of the
        present era, and those settled after this node knew the era, are safe.
        """
        safe_at = (
            self._clock.compute_time(known_since)
            - self._compute_settle_s(1)
            + CLOCK_TOLERANCE_S
        )
        first = math.ceil(safe_at / self._window_s)
        for name, call in records.items():
            self._record_names.add(name)
            if not isinstance(call, duty.UsageReport):
                continue
            self._fixed.setdefault(call.window, call)
            if self._compute_age_s(call.window, now) > (
                RESEND_DELAYS * self._report_delay_s
            ):
                # The owner at the time has sent it.
                self._done.add(call.window)
            if name in recent:
                first = min(first, call.window + 1)
        self._first_window = first

    def begin(self, now: float) -> None:
        """Lets the windows that are due be looked at."""
        self._next_at = now
        self._offered.clear()

    def is_due(self, now: float) -> bool:
        """Tells whether a window may have to be settled or reported."""
        return now >= self._next_at

    def build_records(self, now: float) -> list[duty.Record]:
        """Returns the record of the oldest window that is to be settled."""
        current = self._find_window(now)
        settled = (self._clock.compute_time(now) - self._settle_s) // (
            self._window_s
        )
        oldest = max(self._first_window, current - self._kept + 3)
        for window in range(oldest, int(settled)):
            if window in self._fixed:
                continue
            report = duty.UsageReport(window, self._sum(window))
            expired = tuple(
                sorted(
                    name
                    for name in self._record_names
                    if name.isdecimal() and int(name) < current - self._kept
                )
            )
            return [duty.Record(str(window), report, expired)]
        return []

    def record_written(
        self, record: duty.Record, call: duty.Call | None, now: float
    ) -> None:
        """Fixes the totals of a window as the store holds them."""
        if not isinstance(call, duty.UsageReport):
            self._next_at = now + RETRY_DELAY_S
            return
        self._fixed[call.window] = call
        self._record_names.add(record.name)
        self._record_names.difference_update(record.expired)

    def build_calls(self, now: float) -> list[duty.Call]:
        """Returns the reports that are fixed and not accepted yet."""
        current = self._find_window(now)
        self._prune(current)
        calls: list[duty.Call] = []
        for window, report in sorted(self._fixed.items()):
            age_s = self._compute_age_s(window, now)
            if window in self._done or window in self._offered:
                continue
            if age_s > MAX_DELAYS * self._report_delay_s:
                self._done.add(window)
                self._notes.append(f"window={window} dropped after {age_s:.1f}")
                continue
            self._offered.add(window)
            calls.append(report)
        return calls

    def record_result(
        self, call: duty.Call, result: duty.Result, now: float
    ) -> None:
        """Records what became of a report; failed ones are repeated."""
        assert isinstance(call, duty.UsageReport)
        self._offered.discard(call.window)
        if result in (duty.Result.ACCEPTED, duty.Result.REJECTED):
            self._done.add(call.window)
            age_s = self._compute_age_s(call.window, now)
            if age_s > self._report_delay_s:
                self._notes.append(f"window={call.window} late age={age_s:.1f}")
            return
        self._next_at = now + RETRY_DELAY_S

    def take_notes(self, now: float) -> list[str]:
        """Returns lines about late counts and reports."""
        notes, self._notes = self._notes, []
        for window, count in self._late_counts.items():
            notes.append(f"window={window} late_counts={count}")
        self._late_counts.clear()
        return notes

    def export(self, target: str, now: float) -> Mapping[str, Any]:
        """Returns the windows that changed since a process confirmed them."""
        confirmed = self._confirmed.get(target, 0)
        if self._sequence == confirmed:
            return {}
        self._prune(self._find_window(now))
        counts = self._counts[self._own]
        windows = {
            str(window): dict(counts[window])
            for window, changed in self._changed.items()
            if changed > confirmed
        }
        node, run = self._own
        return {
            NODE: node,
            RUN: run,
            SEQUENCE: self._sequence,
            WINDOWS: windows,
        }

    def record_confirmed(self, target: str, values: Mapping[str, Any]) -> None:
        """Records that a process has received exported counts."""
        known = self._confirmed.pop(target, 0)
        self._confirmed[target] = max(known, values[SEQUENCE])
        # Only the present owner and its successor matter.
        while len(self._confirmed) > 4:
            del self._confirmed[next(iter(self._confirmed))]

    def merge(self, values: Mapping[str, Any], now: float) -> None:
        """Merges the cumulative counts of a node by their maximum.

        Raises:
            AttributeError, KeyError, TypeError, ValueError: The values are
                malformed.
        """
        source = str(values[NODE]), int(values[RUN])
        if source == self._own:
            return
        current = self._find_window(now)
        for name, counts in values[WINDOWS].items():
            window = int(name)
            if not current - self._kept <= window <= current + 2:
                continue
            known = self._counts.setdefault(source, {}).setdefault(window, {})
            for workspace, count in counts.items():
                if len(known) >= MAX_WORKSPACES and workspace not in known:
                    continue
                added = int(count) - known.get(str(workspace), 0)
                if added <= 0:
                    continue
                known[str(workspace)] = int(count)
                if window in self._fixed:
                    late = self._late_counts.get(window, 0)
                    self._late_counts[window] = late + added

    def _sum(self, window: int) -> Counts:
        totals: Counts = {}
        for windows in self._counts.values():
            for workspace, count in windows.get(window, {}).items():
                totals[workspace] = totals.get(workspace, 0) + count
        return dict(sorted(totals.items()))

    def _prune(self, current: int) -> None:
        """Drops what is too old to be reported."""
        oldest = current - self._kept
        for source, windows in list(self._counts.items()):
            for window in [w for w in windows if w < oldest]:
                del windows[window]
            if not windows and source != self._own:
                del self._counts[source]
        for window in [w for w in self._changed if w < oldest]:
            del self._changed[window]
        for window in [w for w in self._fixed if w < oldest]:
            del self._fixed[window]
        self._done = {w for w in self._done if w >= oldest}

    def _find_window(self, now: float) -> int:
        return int(self._clock.compute_time(now) // self._window_s)

    def _compute_age_s(self, window: int, now: float) -> float:
        """Returns the time since the end of a window."""
        end = (window + 1) * self._window_s
        return self._clock.compute_time(now) - end

    def _compute_settle_s(self, node_count: int) -> float:
        """Returns the time after a window until its totals are settled."""
        return min(
            compute_export_interval_s(node_count) + DELIVERY_S,
            MAX_SETTLE_SHARE * self._report_delay_s,
        )
