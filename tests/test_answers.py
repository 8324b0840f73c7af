"""Tests of the assembly of responses."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.requests import response_assembly
from sycamorehollow.model import events
from sycamorehollow.model import failures
from tests import worlds

NUMBERS = strategies.lists(strategies.integers(0, 10_000), max_size=80)
TOTAL = 6


class World:
    """Two requests with lost, repeated, reordered and stale chunks."""

    def __init__(self, schedule):
        self.schedule = schedule
        self.assembler = response_assembly.ResponseAssembler()
        self.now = 0.0
        self.wire = []
        self.delivered = {"a": [], "b": []}
        self.ends = {}
        self.declared = set()
        self.attempts = {"a": 0, "b": 0}
        for request_id in self.delivered:
            self.open(request_id)

    def open(self, request_id):
        self.attempts[request_id] += 1
        attempt = f"{request_id}{self.attempts[request_id]}"
        self.give(response_assembly.ResponseOpened(request_id, attempt, "u"))
        self.send(request_id, attempt, 0)

    def send(self, request_id, attempt, start):
        for number in range(start, TOTAL):
            data = f"{attempt}/{number}".encode()
            self.wire.append(
                response_assembly.ChunkArrived(
                    request_id, attempt, number, data
                )
            )
        self.wire.append(
            response_assembly.EndArrived(request_id, attempt, TOTAL)
        )

    def give(self, event):
        if isinstance(event, response_assembly.EndArrived):
            if event.request_id not in self.ends:
                self.declared.add(event.attempt)
        for command in self.assembler.handle(event, self.now):
            request_id = command.request_id
            assert request_id not in self.ends, "a command after the end"
            if isinstance(command, response_assembly.DeliverChunk):
                self.delivered[request_id].append(command.data)
            elif isinstance(command, response_assembly.ResumeStream):
                if self.schedule.pick(3) == 1:
                    self.wire.append(
                        response_assembly.ResumeFailed(
                            request_id, command.attempt
                        )
                    )
                else:
                    self.send(request_id, command.attempt, command.start_number)
            elif (
                isinstance(command, response_assembly.FailResponse)
                and not command.chunks
            ):
                # The retry rule starts another attempt.
                if self.attempts[request_id] < 3:
                    self.open(request_id)
                else:
                    self.ends[request_id] = command
            else:
                self.ends[request_id] = command

    def step(self):
        # 0 to 3: the next message arrives. 4: a later one overtakes. 5: one
        # arrives twice. 6: one is lost. 7: the connection breaks. 8: time.
        kind = self.schedule.pick(9)
        if kind == 7:
            request_id = "ab"[self.schedule.pick(2)]
            attempt = f"{request_id}{self.attempts[request_id]}"
            self.give(response_assembly.StreamBroken(request_id, attempt))
        elif kind == 8 or not self.wire:
            self.now += 1.5
            self.give(events.Tick())
        elif kind == 4:
            self.give(self.wire.pop(self.schedule.pick(len(self.wire))))
        elif kind == 5:
            self.give(self.wire[self.schedule.pick(len(self.wire))])
        elif kind == 6:
            self.wire.pop(self.schedule.pick(len(self.wire)))
        else:
            self.give(self.wire.pop(0))

    def run(self):
        while not self.schedule.ended:
            self.step()
        for _ in range(100):
            self.step()
            if self.wire:
                continue
            # The progress monitor reports a stalled connection.
            for request_id, count in self.attempts.items():
                attempt = f"{request_id}{count}"
                self.give(response_assembly.StreamBroken(request_id, attempt))


class AssemblyTest(unittest.TestCase):
    """Guards against incomplete, mixed or repeated responses."""

    @hypothesis.settings(max_examples=1000)
    @hypothesis.given(NUMBERS)
    def test_complete_or_typed_failure(self, numbers):
        world = World(worlds.Schedule(numbers))
        world.run()
        for request_id, chunks in world.delivered.items():
            attempt = f"{request_id}{world.attempts[request_id]}"
            whole = [f"{attempt}/{n}".encode() for n in range(TOTAL)]
            self.assertEqual(chunks, whole[: len(chunks)])
            end = world.ends[request_id]
            if isinstance(end, response_assembly.CompleteResponse):
                self.assertEqual(chunks, whole)
            else:
                # Without a declared end the chunks so far may be incomplete.
                if attempt in world.declared:
                    self.assertLess(len(chunks), TOTAL)
                expected = failures.UpstreamFailed
                if chunks:
                    expected = failures.AnswerTruncated
                self.assertIsInstance(end.failure, expected)
                self.assertEqual(end.chunks, len(chunks))


class LimitTest(unittest.TestCase):
    """Guards against endless waits and unbounded memory for one response."""

    def setUp(self):
        self.assembler = response_assembly.ResponseAssembler()
        self.assembler.handle(
            response_assembly.ResponseOpened("a", "a1", "u"), 0.0
        )

    def test_late_chunks_are_bounded(self):
        resumed = []
        for number in range(1, 3 * response_assembly.MAX_OUT_OF_ORDER_CHUNKS):
            event = response_assembly.ChunkArrived(
                "a", "a1", number, b"x" * 2000
            )
            resumed.extend(self.assembler.handle(event, 0.0))
            self.assertLessEqual(
                self.assembler.count_buffered_bytes("a"),
                response_assembly.MAX_OUT_OF_ORDER_BYTES,
            )
        self.assertEqual(
            resumed[0], response_assembly.ResumeStream("a", "a1", "u", 0)
        )

    def test_missing_chunk_is_read_again_after_a_second(self):
        self.assembler.handle(
            response_assembly.ChunkArrived("a", "a1", 1, b"x"), 0.0
        )
        self.assertEqual(self.assembler.handle(events.Tick(), 0.9), [])
        resumed = self.assembler.handle(events.Tick(), 1.1)
        self.assertEqual(
            resumed, [response_assembly.ResumeStream("a", "a1", "u", 0)]
        )

    def test_second_attempt_does_not_continue_the_first(self):
        self.assembler.handle(
            response_assembly.ChunkArrived("a", "a1", 0, b"x"), 0.0
        )
        failed = self.assembler.handle(
            response_assembly.ResponseOpened("a", "a2", "u"), 0.0
        )[0]
        self.assertIsInstance(failed.failure, failures.AnswerTruncated)

    def test_resumes_at_the_next_chunk_and_not_for_ever(self):
        for _ in range(2):
            self.assembler.handle(
                response_assembly.ChunkArrived("a", "a1", 0, b"x"), 0.0
            )
        self.assertEqual(self.assembler.count_buffered_bytes("a"), 0)
        broken = response_assembly.StreamBroken("a", "a1")
        for _ in range(response_assembly.MAX_RESUMES):
            resumed = self.assembler.handle(broken, 0.0)
            expected = response_assembly.ResumeStream("a", "a1", "u", 1)
            self.assertEqual(resumed, [expected])
        failed = self.assembler.handle(broken, 0.0)[0]
        self.assertIsInstance(failed.failure, failures.AnswerTruncated)
        self.assertEqual(self.assembler.active_count, 0)

    def test_empty_response_is_complete(self):
        ended = self.assembler.handle(
            response_assembly.EndArrived("a", "a1", 0), 0.0
        )
        self.assertEqual(ended, [response_assembly.CompleteResponse("a", 0)])
