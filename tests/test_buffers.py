"""Tests of the buffers for slow callers."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.requests import buffers
from sycamorehollow.model import events

STREAM, TOTAL, HIGH, LOW = 100, 250, 60, 30


def make():
    """Returns buffers with small limits."""
    return buffers.CallerBuffers(STREAM, TOTAL, HIGH, LOW)


class BuffersTest(unittest.TestCase):
    """Guards the memory of a node against slow readers."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("read", "read", "send", "close")),
                strategies.sampled_from("abcdef"),
                strategies.integers(1, 100),
            ),
            max_size=80,
        ),
        strategies.booleans(),
    )
    def test_bounds_hold(self, steps, asks):
        """Guards against exceeding the limits, also if a relay reads too much.

        A relay that respects the readable bytes loses callers only to the total
        limit.
        """
        rule = make()
        held = {}
        for now, (step, name, size) in enumerate(steps):
            if name not in held:
                held[name] = 0
                rule.handle(buffers.StreamOpened(name), now)
            event = events.Tick()
            if step == "read":
                size = (
                    min(size, rule.get_readable_bytes(name)) if asks else size
                )
                held[name] += size
                event = buffers.ChunkBuffered(name, size)
            if step == "send":
                size = min(size, held[name])
                held[name] -= size
                event = buffers.BytesSent(name, size)
            if step == "close":
                del held[name]
                event = buffers.StreamClosed(name)
            for command in rule.handle(event, now):
                if isinstance(command, buffers.DisconnectCaller):
                    if asks:
                        self.assertGreater(sum(held.values()), TOTAL)
                    del held[command.stream]
            self.assertEqual(rule.get_buffered_bytes(), sum(held.values()))
            self.assertLessEqual(sum(held.values()), TOTAL)
            for bytes_held in held.values():
                self.assertLessEqual(bytes_held, STREAM)

    @hypothesis.given(
        strategies.integers(1, 5),
        strategies.lists(strategies.integers(1, 40), max_size=40),
    )
    def test_slow_readers_stall_no_other(self, slow, sizes):
        """Guards against slow callers that delay or disconnect fast ones."""
        rule = make()
        rule.handle(buffers.StreamOpened("fast"), 0.0)
        for number in range(slow):
            rule.handle(buffers.StreamOpened(f"slow{number}"), 0.0)
        for now, size in enumerate(sizes):
            for number in range(slow):
                name = f"slow{number}"
                read = min(size, rule.get_readable_bytes(name))
                rule.handle(buffers.ChunkBuffered(name, read), now)
            self.assertGreaterEqual(rule.get_readable_bytes("fast"), size)
            decided = rule.handle(buffers.ChunkBuffered("fast", size), now)
            self.assertNotIn("fast", [one.stream for one in decided])
            rule.handle(buffers.BytesSent("fast", size), now)

    def test_reading_stops_and_starts(self):
        """Guards against pausing and resuming for each chunk.

        This happens without a gap between the high and the low mark.
        """
        rule = make()
        rule.handle(buffers.StreamOpened("a"), 0.0)
        paused = rule.handle(buffers.ChunkBuffered("a", 70), 0.0)
        self.assertEqual(paused, [buffers.PauseReading("a")])
        self.assertEqual(rule.get_readable_bytes("a"), 0)
        self.assertEqual(rule.handle(buffers.BytesSent("a", 20), 1.0), [])
        resumed = rule.handle(buffers.BytesSent("a", 20), 1.0)
        self.assertEqual(resumed, [buffers.ResumeReading("a")])

    def test_stalled_caller_is_disconnected(self):
        """Guards against a caller that never reads and blocks its upstream."""
        rule = make()
        for name in ("idle", "stalled"):
            rule.handle(buffers.StreamOpened(name), 0.0)
        rule.handle(buffers.ChunkBuffered("stalled", 10), 100.0)
        soon = 100.0 + buffers.STALL_TIMEOUT_S - 1
        self.assertEqual(rule.handle(events.Tick(), soon), [])
        [command] = rule.handle(events.Tick(), soon + 1)
        self.assertEqual(command.stream, "stalled")
        self.assertEqual(rule.get_buffered_bytes(), 0)
