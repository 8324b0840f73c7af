"""Tests of billing in real processes under faults."""

import unittest

from tests import fault_world
from tests import processes

# Covers missed probes and the suspicion time, after which a process is dead.
DEATH_LIMIT_S = 45.0


class BillFaultTest(unittest.TestCase):
    """Guards against responses billed twice, wrongly or not at all."""

    @classmethod
    def setUpClass(cls):
        cls.world = fault_world.World(("dc-1", "dc-2", "dc-1"))
        cls.addClassCleanup(cls.world.close)
        cls.first, cls.second, cls.victim = cls.world.entries

    def setUp(self):
        self.addCleanup(self.world.clear_faults)

    def _complete(self, entry, count=1):
        answers = [self.world.complete(entry) for _ in range(count)]
        for answer in answers:
            self.assertTrue(answer.complete, answer)
        return answers

    def _check_billed(self, answers, limit_s=15.0):
        """Waits for the bills and compares their amounts."""
        keys = {answer.key for answer in answers}
        processes.wait_for(
            lambda: keys <= self.world.read_bills().keys(), limit_s
        )
        bills = self.world.read_bills()
        for answer in answers:
            self.assertEqual(
                bills[answer.key].amount,
                fault_world.price(
                    answer.usage["prompt_tokens"],
                    answer.usage["completion_tokens"],
                ),
            )

    def test_bill_of_a_lost_entry_comes_from_its_peer(self):
        """Guards against a bill that is lost with the process that made it."""
        self.world.inject("store", "down")
        answers = self._complete(self.victim, 3)
        self.victim.child.kill()
        self.world.clear_faults()
        self._check_billed(answers, DEATH_LIMIT_S)

    def test_store_outage_delays_bills_only(self):
        """Guards against bills that are lost during a store outage."""
        self.world.inject("store", "down")
        answers = self._complete(self.first, 4) + self._complete(self.second, 4)
        processes.wait_for(
            lambda: self.world.read_status(self.first)["bills_pending"] >= 4
        )
        self.world.clear_faults()
        self._check_billed(answers)
        self._wait_until_stored()

    def test_lost_store_answers_do_not_repeat_bills(self):
        """Guards against a second copy under another key in the store."""
        self.world.inject(
            "store", "lose_answer", method="PUT", path="/v1/kv/bills/", count=2
        )
        answers = self._complete(self.first, 3)
        self._check_billed(answers)
        self._wait_until_stored()
        copies = self.world.count_stored_bills()
        for answer in answers:
            self.assertEqual(copies[answer.key], 1)

    def _wait_until_stored(self):
        for entry in (self.first, self.second):
            processes.wait_for(
                lambda entry=entry: (
                    self.world.read_status(entry)["bills_pending"] == 0
                )
            )

    def test_repeat_at_another_entry_is_billed_once(self):
        """Guards against a caller that is charged twice for one identity."""
        key = fault_world.make_key()
        for entry in (self.first, self.second):
            stream = self.world.open_stream(entry, 5, key, prompt="again")
            self.assertIn(b"[DONE]", stream.read())
        self._wait_until_stored()
        processes.wait_for(lambda: key in self.world.read_bills())
        bill = self.world.read_bills()[key]
        self.assertEqual(bill.output_tokens, 5)
        self.assertEqual(bill.amount, fault_world.price(bill.prompt_tokens, 5))

    def test_leaving_caller_pays_for_what_was_delivered(self):
        """Guards against charging too little or too much after a disconnect."""
        key = fault_world.make_key()
        stream = self.world.open_stream(self.first, 500, key)
        received = b""
        while received.count(b"data: ") < 10:
            received += stream.read1(4096)
        stream.close()
        processes.wait_for(lambda: key in self.world.read_bills())
        bill = self.world.read_bills()[key]
        # The first event contains the role and no token.
        self.assertGreaterEqual(
            bill.output_tokens, received.count(b"data: ") - 1
        )
        self.assertLess(bill.output_tokens, 500)
        self.assertEqual(
            bill.amount,
            fault_world.price(bill.prompt_tokens, bill.output_tokens),
        )
