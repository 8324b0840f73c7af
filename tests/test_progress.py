"""Tests of progress timeouts."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.requests import progress
from sycamorehollow.model import events
from sycamorehollow.model import failures

PHASES = strategies.sampled_from(list(progress.Phase))


class ProgressTest(unittest.TestCase):
    """Guards against connections that stay open without progress."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("phase", "move", "tick")), PHASES
            ),
            max_size=30,
        ),
        PHASES,
    )
    def test_every_silent_connection_ends(self, steps, last):
        """A stalled connection is closed in time, whatever happened before."""
        rule = progress.ProgressMonitor()
        now = 0.0
        for step, phase in steps:
            now += 1.0
            event = events.Tick()
            if step == "phase":
                event = progress.PhaseChanged("c", phase)
            if step == "move":
                event = progress.ProgressMade("c")
            rule.handle(event, now)
        rule.handle(progress.PhaseChanged("c", last), now)
        limit_s = progress.TIMEOUTS_S.get(last, float("inf"))
        closed_at = None
        for second in range(1, 100):
            for command in rule.handle(events.Tick(), now + second):
                if isinstance(command, progress.CloseConnection):
                    closed_at = second
        if last is progress.Phase.PAUSED:
            self.assertIsNone(closed_at)
            return
        if last is progress.Phase.IDLE:
            limit_s += progress.PROBE_TIMEOUT_S
        self.assertEqual(closed_at, limit_s)

    def test_progress_keeps_a_slow_stream(self):
        """A long response must not be aborted while tokens arrive."""
        rule = progress.ProgressMonitor()
        rule.handle(progress.PhaseChanged("c", progress.Phase.FIRST_BYTE), 0.0)
        for second in range(1, 200, 5):
            rule.handle(progress.ProgressMade("c"), second)
            self.assertEqual(rule.handle(events.Tick(), second + 4), [])

    def test_silence_after_writing_is_unknown(self):
        """The upstream may execute a request that it has received."""
        rule = progress.ProgressMonitor()
        rule.handle(progress.PhaseChanged("c", progress.Phase.WRITING), 0.0)
        [command] = rule.handle(events.Tick(), progress.WRITE_TIMEOUT_S)
        self.assertIs(command.failure.execution, failures.Execution.UNKNOWN)

    def test_answered_probe_keeps_an_idle_connection(self):
        """A request on a dead idle connection would wait for its timeout."""
        rule = progress.ProgressMonitor()
        rule.handle(progress.PhaseChanged("c", progress.Phase.IDLE), 0.0)
        self.assertTrue(rule.is_usable("c"))
        [probe] = rule.handle(events.Tick(), progress.PROBE_INTERVAL_S)
        self.assertEqual(probe, progress.ProbeConnection("c"))
        self.assertFalse(rule.is_usable("c"))
        rule.handle(progress.ProgressMade("c"), 16.0)
        self.assertTrue(rule.is_usable("c"))
