"""Tests of billing under generated fault schedules."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.bills import billing
from sycamorehollow.decisions.bills import billing_messages as messages
from sycamorehollow.decisions.bills import billing_reader
from sycamorehollow.decisions.bills import billing_spool
from sycamorehollow.model import deployment
from tests import billing_world
from tests import worlds

NUMBERS = strategies.lists(strategies.integers(0, 10_000), max_size=150)


class ScheduleTest(unittest.TestCase):
    """Guards against lost or duplicate bills and early releases."""

    @hypothesis.settings(max_examples=800)
    @hypothesis.given(NUMBERS)
    def test_generated_schedules(self, numbers):
        world = billing_world.World(worlds.Schedule(numbers))
        world.run()
        self.assertEqual(billing_world.find_fault(world), "")

    def test_long_schedules(self):
        rng = random.Random(11)
        for _ in range(300):
            numbers = [rng.randrange(10_000) for _ in range(400)]
            world = billing_world.World(worlds.Schedule(numbers))
            world.run()
            self.assertEqual(billing_world.find_fault(world), "", numbers)


class LimitTest(unittest.TestCase):
    """Guards against unbounded batches and memory."""

    def setUp(self):
        self.process = messages.Process("p0", "dc0", 1)
        self.part = billing.Billing(self.process, random.Random(1))

    def make_bill(self, identity):
        return messages.Bill("w", identity, "v", 1, 1, 1)

    def test_batch_holds_at_most_500_bills(self):
        writes = []
        for n in range(1200):
            event = messages.BillReady("", self.make_bill(str(n)))
            writes.extend(self.part.handle(event, 0.0))
        writes.extend(self.part.handle(messages.Flush(), 0.0))
        sizes = [len(messages.decode_bills(w.value)) for w in writes]
        self.assertEqual(sizes, [500, 500, 200])

    def test_bills_of_an_ended_holder_go_to_another_peer(self):
        peers = [messages.Process(f"p{n}", "dc1", 1) for n in (1, 2)]
        self.part.handle(messages.PeersChanged((peers[0],)), 0.0)
        self.part.handle(messages.BillReady("t", self.make_bill("r")), 0.0)
        first = self.part.handle(messages.Flush(), 0.0)[0]
        self.part.handle(messages.SpoolAcknowledged(first.op), 0.0)
        again = self.part.handle(messages.PeersChanged((peers[1],)), 0.0)
        self.assertEqual([c.peer for c in again], [peers[1]])
        self.assertEqual(again[0].part, first.part)

    def test_taken_key_does_not_lose_the_batch(self):
        self.part.handle(messages.BillReady("t", self.make_bill("r")), 0.0)
        first = self.part.handle(messages.Flush(), 0.0)[0]
        taken = messages.BatchConflict(first.op, '{"items": []}')
        second = self.part.handle(taken, 0.0)[0]
        self.assertNotEqual(second.key, first.key)
        self.assertEqual(second.value, first.value)

    def test_outage_ends_in_a_refusal_and_not_in_lost_memory(self):
        item = messages.OutcomeReady("outcomes/w/t", "x" * 100_000)
        for _ in range(billing.MAX_HELD_BYTES // 100_000 + 1):
            self.part.handle(item, 0.0)
        self.assertIsInstance(
            self.part.check_backlog(), messages.BillingBacklog
        )

    def test_full_spool_refuses_and_adoption_empties_it(self):
        spool = billing_spool.Spool(self.process, random.Random(1))
        origin = messages.Process("p1", "dc1", 1)
        outcome = messages.Item(None, "outcomes/w/t", "x" * 1_000_000)
        answers = []
        for n in range(40):
            part = messages.SpoolPart(origin, 1, n, (outcome.encode(),), 1)
            event = messages.SpoolReceived(str(n), part)
            answers.extend(spool.handle(event, 0.0))
        self.assertIsInstance(answers[-1].failure, messages.BillingBacklog)
        self.assertLessEqual(spool.held_bytes, billing_spool.MAX_SPOOL_BYTES)
        waiting = spool.handle(messages.OriginEnded(origin), 0.0)
        self.assertIn("outcomes/w/t", [write.key for write in waiting])
        while waiting:
            event = messages.BatchWritten(waiting.pop(0).op)
            waiting.extend(spool.handle(event, 0.0))
        self.assertEqual((spool.held_count, spool.held_bytes), (0, 0))


class RuleTest(unittest.TestCase):
    """Guards against charges for anything but the delivered response."""

    def test_discarded_attempts_are_internal_cost(self):
        small = deployment.Version("small", "m", 20, 80)
        large = deployment.Version("large", "m", 200, 800)
        bill = messages.make_bill(
            "w",
            "r1",
            "",
            messages.Usage(large, 100, 10),
            [messages.Usage(small, 100, 10)],
        )
        self.assertEqual(bill.amount, 28_000)
        self.assertEqual(bill.internal_cost, 2_800)
        nothing = messages.Usage(large, 100, 0)
        self.assertIsNone(messages.make_bill("w", "r1", "", nothing))

    @hypothesis.given(strategies.permutations([1, 2, 3, 4]))
    def test_reader_does_not_depend_on_the_order(self, order):
        reader = billing_reader.BillReader()
        for amount in order + order:
            bill = messages.Bill("w", "key:k", "v", 1, amount, amount)
            reader.add(messages.encode_batch([messages.Item(bill).encode()]))
        expected = {"w": billing_reader.Total(1, 4, 0)}
        self.assertEqual(reader.sum_workspaces(), expected)

    def test_key_and_request_id_do_not_meet(self):
        self.assertNotEqual(
            messages.make_identity("x", ""), messages.make_identity("y", "x")
        )
