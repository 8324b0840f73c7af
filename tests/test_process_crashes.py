"""Requests that crash engines, through real processes."""

import time
import unittest

from tests import fault_world
from tests import processes

ENGINES = ("a", "b", "c", "d")
# Two deaths prove it; the third entry may start before it has heard of them.
MAX_DEATHS = 3


class CrashingRequestTest(unittest.TestCase):
    """Guards against one request that takes down every engine."""

    @classmethod
    def setUpClass(cls):
        cls.world = fault_world.World(
            ("dc-1", "dc-1", "dc-2"),
            {name: ("memory.restart_s=0.5",) for name in ENGINES},
            {"d": "dc-2"},
        )
        cls.addClassCleanup(cls.world.close)

    def _count_deaths(self):
        return sum(
            self.world.read_stats(name).get("crashes", 0) for name in ENGINES
        )

    def _ask_all(self, prompt, stream, refusals):
        """Repeats the request at every entry; true if all know it."""
        answers = [
            self.world.complete(entry, 5, prompt, stream=stream)
            for entry in self.world.entries
        ]
        refusals.extend(answers)
        # The caller comes back when the refusals allow it.
        time.sleep(
            max(answer.error.get("retry_after_s") or 0 for answer in answers)
        )
        return all(answer.code == "quarantined" for answer in answers)

    def _check_poison(self, prompt, tokens, stream):
        world = self.world
        before = self._count_deaths()
        for name in ENGINES:
            world.inject(name, "crash_on", content=prompt, value=tokens)
        refusals = []
        processes.wait_for(
            lambda: self._ask_all(prompt, stream, refusals), 30.0
        )
        for answer in refusals:
            self.assertFalse(answer.served, answer)
            self.assertIn(answer.run, ("no", "unknown"), answer)
        for answer in refusals[-len(world.entries) :]:
            self.assertEqual(answer.run, "no", answer)
        processes.wait_for(lambda: self._count_deaths() > before)
        self.assertLessEqual(self._count_deaths(), before + MAX_DEATHS)
        for entry in world.entries:
            processes.wait_for(
                lambda entry=entry: world.complete(entry).complete
            )

    def test_deaths_after_a_delivered_chunk_are_bounded(self):
        """Guards against unbounded deaths, and against refusing others."""
        self._check_poison("crashes late", 1, True)

    def test_deaths_before_the_first_chunk_are_bounded(self):
        """Guards against retries that kill one engine after the other."""
        self._check_poison("crashes early", 0, False)
