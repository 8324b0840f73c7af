"""Shutdown and restart of entry processes."""

import signal
import unittest

from tests import fault_world
from tests import processes

STREAMS = 4
# At 50 tokens a second, the streams last beyond the start of the shutdown.
TOKENS = 150
WORK_S = 3.0
EXIT_LIMIT_S = 40


class ShutdownTest(unittest.TestCase):
    """Guards against work lost by the end of an entry process."""

    @classmethod
    def setUpClass(cls):
        cls.world = fault_world.World(
            ("dc-1", "dc-2"), {"a": (), "b": ()}, {"b": "dc-2"}
        )
        cls.addClassCleanup(cls.world.close)
        cls.first, cls.second = cls.world.entries

    def setUp(self):
        self.addCleanup(self.world.clear_faults)

    def _check_return(self, entry):
        """Restarts an entry and checks that it serves and is reachable."""
        world = self.world
        world.start_entry(entry)
        world.wait_for_members()
        answer = world.complete(entry)
        self.assertTrue(answer.complete, answer)
        ticket = world.issue_ticket(entry)
        # The other entry reaches the new process at the same address.
        answer = world.call(self.second, ticket)
        self.assertTrue(answer.served, answer)
        self.assertEqual(world.count_effects(ticket), 1)

    def test_termination_cuts_nothing_off(self):
        """Guards against truncated streams, lost calls and lost bills."""
        world = self.world
        world.inject("service", "work_s", value=WORK_S)
        keys = [fault_world.make_key(), world.issue_ticket(self.first)]
        answers = [
            world.pool.submit(
                world.complete, self.first, TOKENS, stream=n % 2 == 0
            )
            for n in range(STREAMS)
        ]
        processes.wait_for(lambda: world.count_running("a") == STREAMS)
        calls = [world.pool.submit(world.call, self.first, k) for k in keys]
        processes.wait_for(lambda: world.count_running_calls() == len(keys))
        self.first.child.send_signal(signal.SIGTERM)
        processes.wait_for(
            lambda: (
                fault_world.HTTP.request(
                    "GET", f"{self.first.url}/healthz"
                ).status
                == 503
            )
        )
        refusal = world.complete(self.first)
        self.assertEqual(refusal.code, "draining", refusal)
        self.assertEqual(refusal.run, "no")
        for future in answers:
            answer = future.result(60)
            self.assertTrue(answer.complete, answer)
        for key, future in zip(keys, calls, strict=True):
            answer = future.result(60)
            self.assertTrue(answer.served, answer)
            self.assertEqual(world.count_effects(key), 1)
        self.assertEqual(self.first.child.wait(EXIT_LIMIT_S), 0)
        self.assertLessEqual(
            {future.result().key for future in answers},
            world.read_bills().keys(),
        )
        for key in keys:
            outcome = world.ask_outcome(self.second, key)
            self.assertTrue(outcome.served, outcome)
        self._check_return(self.first)

    def test_killed_entry_rejoins_under_its_address(self):
        """Guards against peers that keep addressing the dead process."""
        before = self.world.read_status(self.first)["address"]
        self.first.child.kill()
        self.first.child.wait(10)
        self._check_return(self.first)
        self.assertEqual(self.world.read_status(self.first)["address"], before)
