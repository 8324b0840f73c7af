"""Tests of the watch of the store."""

import queue
import random
import threading
import time
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import watch_pacing
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import overdue_calls
from sycamorehollow.shells.gateway import store_tasks

# Time from a silence to an answer on another connection: half of the time
# after which a node has to be up to date.
BUDGET_S = 1.5


class FakeStore:
    """A store whose watches are answered late or never, as scripted.

    Attributes:
        delays_s: Delays of the next watches beyond their wait; `None` for one
            that is never answered.
        waits: When each watch was asked, and for how long.
        discarded: Number of times that connections were discarded.
    """

    def __init__(self):
        self.delays_s = []
        self.waits = []
        self.discarded = 0
        self.default_delay_s = 0.0
        self.list_delays_s = []

    def list_range(self, prefix, allow_stale):
        """Returns an empty list."""
        if self.list_delays_s:
            time.sleep(self.list_delays_s.pop(0))
        return stores.Listing((), 5)

    def watch(self, prefix, after, timeout_s):
        """Waits and returns no changes."""
        self.waits.append((time.monotonic(), timeout_s))
        delay_s = self.default_delay_s
        if self.delays_s:
            delay_s = self.delays_s.pop(0)
        if delay_s is None:
            threading.Event().wait(30)
        time.sleep(timeout_s + delay_s)
        return stores.Changes((), after)

    def discard_connections(self):
        """Counts the call."""
        self.discarded += 1


class WatchTaskTest(unittest.TestCase):
    """Guards against a watch that is waited for in vain."""

    def setUp(self):
        self.store = FakeStore()
        self.events = queue.SimpleQueue()
        self.task = store_tasks.WatchTask(
            self.store,
            self.events.put,
            lambda: mirror.Position(0, 5),
            random.Random(1),
        )

    def _collect(self, seconds):
        """Returns the events of some seconds with their times."""
        self.task.start()
        end = time.monotonic() + seconds
        found = []
        while (left_s := end - time.monotonic()) > 0:
            try:
                found.append(
                    (self.events.get(timeout=left_s), time.monotonic())
                )
            except queue.Empty:
                break
        self.task.stop(0.1)
        return found

    def _list_gaps(self, found):
        """Returns the times between answers of watches."""
        times = [
            at
            for event, at in found
            if isinstance(event, store_tasks.StoreChanged)
        ]
        return [b - a for a, b in zip(times, times[1:], strict=False)]

    def test_answers_follow_each_other_within_the_budget(self):
        gaps = self._list_gaps(self._collect(3.0))
        self.assertGreaterEqual(len(gaps), 2)
        self.assertLess(max(gaps), BUDGET_S)
        self.assertEqual(self.store.discarded, 0)

    def test_watch_without_an_answer_is_replaced(self):
        self.store.delays_s = [0.0, None, 0.0, None]
        found = self._collect(6.0)
        self.assertLess(max(self._list_gaps(found)), BUDGET_S)
        self.assertEqual(self.store.discarded, 2)

    def test_store_that_answers_late_is_followed(self):
        self.store.default_delay_s = 0.45
        gaps = self._list_gaps(self._collect(6.0))
        self.assertGreaterEqual(len(gaps), 3)
        # Once its delay is known it is waited for.
        self.assertLessEqual(self.store.discarded, 1)

    def test_late_answers_beyond_all_margins_still_count(self):
        self.store.default_delay_s = 1.6
        found = self._collect(7.0)
        changed = [
            (event.as_of, at)
            for event, at in found
            if isinstance(event, store_tasks.StoreChanged)
        ]
        self.assertGreaterEqual(len(changed), 2)
        for as_of, at in changed:
            # What a late answer says may be as old as its question.
            self.assertLess(as_of, at - 1.0)

    def test_list_without_an_answer_is_asked_for_again(self):
        self.store.list_delays_s = [30.0]
        found = self._collect(3.0)
        self.assertTrue(
            any(isinstance(e, store_tasks.StoreListed) for e, _ in found)
        )

    def test_listing_that_may_be_stale_proves_nothing(self):
        found = self._collect(0.3)
        listed = [e for e, _ in found if isinstance(e, store_tasks.StoreListed)]
        self.assertEqual(listed[0].as_of, float("-inf"))


class OverdueCallsTest(unittest.TestCase):
    """Guards against results that are lost or used twice."""

    def test_result_is_returned_or_handled_late_but_not_both(self):
        calls = overdue_calls.OverdueCalls()
        for delay_s in (0.0, 0.005, 0.01, 0.015, 0.03) * 5:
            late = queue.SimpleQueue()

            def call(delay_s=delay_s):
                time.sleep(delay_s)
                return "result"

            result = calls.run(call, 0.01, late.put)
            if result is None:
                self.assertEqual(late.get(timeout=2.0), "result")
            time.sleep(0.01)
            self.assertTrue(late.empty())


class WatchPacingTest(unittest.TestCase):
    """Guards against waits beyond the budget."""

    @hypothesis.given(
        strategies.lists(
            strategies.one_of(strategies.none(), strategies.floats(-1.0, 5.0)),
            max_size=20,
        ),
        strategies.floats(0.0, 1.0),
    )
    def test_waits_are_bounded(self, answers, pause_s):
        pacing = watch_pacing.WatchPacing()
        now = 100.0
        for delay_s in answers:
            wait_s = pacing.compute_wait_s(now)
            margin_s = pacing.compute_margin_s(now)
            self.assertGreaterEqual(wait_s, watch_pacing.MIN_WAIT_S)
            self.assertLessEqual(wait_s, watch_pacing.ANSWER_INTERVAL_S)
            self.assertGreaterEqual(margin_s, watch_pacing.MIN_MARGIN_S)
            self.assertLessEqual(margin_s, watch_pacing.MAX_MARGIN_S)
            now += wait_s
            if delay_s is None:
                pacing.record_silence()
            else:
                pacing.record_answer(delay_s, now)
            now += pause_s

    def test_a_first_silence_ends_within_the_budget(self):
        pacing = watch_pacing.WatchPacing()
        pacing.record_answer(0.0, 10.0)
        worst_s = pacing.compute_wait_s(10.0) + pacing.compute_margin_s(10.0)
        self.assertLess(worst_s, BUDGET_S)


if __name__ == "__main__":
    unittest.main()
