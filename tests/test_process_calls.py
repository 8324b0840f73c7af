"""Non-idempotent calls through real processes, under faults."""

import unittest

from tests import fault_world
from tests import processes

# Long enough to kill an entry process and to call another one.
WORK_S = 3.0


class CallFaultTest(unittest.TestCase):
    """Guards against calls that run twice or are misreported."""

    @classmethod
    def setUpClass(cls):
        cls.world = fault_world.World(("dc-1", "dc-2", "dc-1"))
        cls.addClassCleanup(cls.world.close)
        cls.first, cls.second, cls.victim = cls.world.entries

    def setUp(self):
        self.addCleanup(self.world.clear_faults)

    def _wait_for_effect(self, key):
        processes.wait_for(lambda: self.world.count_effects(key) > 0)

    def test_lost_entry_runs_a_call_at_most_once(self):
        """Guards against a second run if the retry goes to another entry."""
        world = self.world
        keys = [fault_world.make_key(), world.issue_ticket(self.victim)]
        world.inject("service", "work_s", value=WORK_S)
        under_way = [
            world.pool.submit(world.call, self.victim, key) for key in keys
        ]
        processes.wait_for(lambda: world.count_running_calls() == len(keys))
        self.victim.child.kill()
        for future in under_way:
            self.assertEqual(future.result(20).code, "broken")
        retries = [world.call(self.second, key) for key in keys]
        for key, retry in zip(keys, retries, strict=True):
            self.assertTrue(retry.served or retry.run == "unknown", retry)
            self._wait_for_effect(key)
        world.clear_faults()
        # After the issuer of a ticket is gone, the outcome request has to name
        # service and operation.
        queries = ("", "?service=filing&operation=lodge")
        for key, query in zip(keys, queries, strict=True):
            self._check_settled(key, query)

    def _check_settled(self, key, query):
        outcome = self.world.ask_outcome(self.first, key, query)
        self.assertTrue(outcome.served, outcome)
        again = self.world.call(self.first, key)
        self.assertTrue(again.served or again.run == "unknown", again)
        self.assertEqual(self.world.count_effects(key), 1)

    def test_lost_answer_of_the_service_is_resolved(self):
        """Guards against a second run after a lost response."""
        for make_key in (
            fault_world.make_key,
            lambda: self.world.issue_ticket(self.first),
        ):
            key = make_key()
            self.world.inject("service", "lose_answer", method="POST", count=1)
            answer = self.world.call(self.first, key)
            self.assertTrue(answer.served, answer)
            again = self.world.call(self.second, key)
            self.assertEqual(again.document, answer.document)
            self.assertEqual(self.world.count_effects(key), 1)

    def test_lost_answer_of_the_claim_runs_the_call_once(self):
        """Guards against claims that block their own call or run it twice."""
        key = fault_world.make_key()
        self.world.inject(
            "store",
            "lose_answer",
            method="PUT",
            path="/v1/kv/effects/",
            count=1,
        )
        answer = self.world.call(self.first, key)
        self.assertTrue(answer.served, answer)
        again = self.world.call(self.second, key)
        self.assertEqual(again.document, answer.document)
        self.assertEqual(self.world.count_effects(key), 1)

    def test_store_outage_leaves_tickets_and_reads_in_service(self):
        """Guards against calls that a store outage makes impossible."""
        world = self.world
        key = fault_world.make_key()
        world.inject("store", "down")
        refusal = world.call(self.first, key)
        self.assertEqual(refusal.run, "no", refusal)
        ticket = refusal.error["ticket"]
        self.assertEqual(world.count_effects(key), 0)
        for entry in (self.second, self.first):
            answer = world.call(entry, ticket)
            self.assertTrue(answer.served, answer)
        self.assertEqual(world.count_effects(ticket), 1)
        read = world.call(self.first, "", path="/v1/services/filing/status")
        self.assertTrue(read.served, read)
        outcome = world.ask_outcome(self.second, ticket)
        self.assertTrue(outcome.served, outcome)
        world.clear_faults()

        def is_served():
            return world.call(self.second, key).served

        # The claim of the refused call was in doubt; it is released first.
        processes.wait_for(is_served)
        self.assertEqual(world.count_effects(key), 1)

    def test_silent_service_gives_an_unknown_outcome(self):
        """Guards against reporting a call as not run that may have run."""
        for key in (
            fault_world.make_key(),
            self.world.issue_ticket(self.first),
        ):
            self.world.inject("service", "silent", method="POST", count=1)
            answer = self.world.call(self.first, key, deadline_s=1.0)
            self.assertEqual(answer.run, "unknown", answer)
            again = self.world.call(self.second, key, deadline_s=1.0)
            self.assertEqual(again.run, "unknown", again)
            self.assertEqual(self.world.count_effects(key), 0)

    def test_same_key_with_other_content_is_a_conflict(self):
        """Guards against one caller getting the outcome of another call."""
        for key in (
            fault_world.make_key(),
            self.world.issue_ticket(self.first),
        ):
            answer = self.world.call(self.first, key)
            self.assertTrue(answer.served, answer)
            for entry in (self.first, self.second):
                other = self.world.call(entry, key, content="two")
                self.assertEqual(other.status, 409, other)
                self.assertEqual(other.run, "no")
            self.assertEqual(self.world.count_effects(key), 1)
