"""Tests of non-idempotent calls under generated fault schedules."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.calls import call_encoding
from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.calls import call_records as records
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.model import failures
from tests import checks
from tests import fakes
from tests import worlds

NUMBERS = strategies.lists(strategies.integers(0, 10_000), max_size=150)


class ScheduleTest(unittest.TestCase):
    """Guards against calls that run twice, are lost or wrongly refused."""

    @hypothesis.settings(max_examples=1500)
    @hypothesis.given(NUMBERS)
    def test_generated_schedules(self, numbers):
        world = fakes.World(worlds.Schedule(numbers))
        world.run()
        self.assertEqual(checks.find_fault(world), "")

    def test_long_schedules(self):
        rng = random.Random(7)
        for _ in range(500):
            numbers = [rng.randrange(10_000) for _ in range(300)]
            world = fakes.World(worlds.Schedule(numbers))
            world.run()
            self.assertEqual(checks.find_fault(world), "", numbers)


class KeyTest(unittest.TestCase):
    """Guards against wrong results in cases that schedules rarely reach."""

    def setUp(self):
        self.world = fakes.World(worlds.Schedule([]))
        self.world.faults = False
        self.intent = self.world.intents[0]

    def run_once(self, node=0):
        request_id = self.world.submit(self.intent, self.world.nodes[node])
        self.world.settle()
        return self.world.answers[request_id]

    def test_retry_gets_the_recorded_outcome(self):
        first = self.run_once(0)
        self.assertEqual(first, messages.Outcome(200, b"done 0"))
        self.assertEqual(self.run_once(1), first)
        self.assertEqual(self.world.service.effects, {b"0": 1})

    def test_other_content_is_a_conflict(self):
        self.run_once()
        self.intent = self.world.intents[1]
        self.assertIsInstance(self.run_once(1), messages.KeyConflict)

    def test_store_outage_gives_a_usable_ticket(self):
        world = self.world
        world.store_up = False
        first = world.submit(self.intent, world.nodes[0])
        world.carry_out()
        refusal = world.answers[first]
        self.assertIsInstance(refusal, messages.StoreDown)
        self.assertIs(refusal.execution, failures.Execution.NOT_STARTED)
        self.intent.key = refusal.ticket
        second = world.submit(self.intent, world.nodes[1])
        for _ in range(4):
            world.carry_out()
        self.assertIsInstance(world.answers[second], messages.Outcome)
        self.assertFalse(world.store_up)

    def test_records_end_after_a_day_and_not_earlier(self):
        self.world.now = 1000.0
        self.run_once()
        items = [(k, *v) for k, v in self.world.store.values.items()]
        day_s = records.RECORD_TTL_S
        self.assertEqual(records.find_expired(items, 1000.0 + day_s), [])
        late_s = 1001.0 + day_s + records.CLOCK_MARGIN_S
        expired = records.find_expired(items, late_s)
        self.assertEqual(expired, [("effects/w/k", 2)])

    @hypothesis.given(strategies.binary())
    def test_damaged_peer_messages_are_no_results(self, payload):
        self.assertIsNone(call_encoding.decode_result(payload))
        self.assertIsNone(call_encoding.decode_peer_request(payload, "a", 0.0))

    def test_ticket_of_another_workspace_or_forged(self):
        token = self.world.nodes[0].issuer.issue("w", 0.0)
        forged = token[:-2] + ("AA" if token[-2:] != "AA" else "BB")
        for text, workspace in ((token, "v"), (forged, "w")):
            found = tickets.parse_ticket(text, workspace, fakes.RING)
            self.assertIsInstance(found, messages.InvalidTicket)
