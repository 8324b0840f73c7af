"""Configuration changes through real processes, under faults."""

import json
import time
import unittest

from tests import fault_world
from tests import processes

RACERS = 3
RACES = 5


class ConfigurationFaultTest(unittest.TestCase):
    """Guards against changes that are late, lost or reverted."""

    @classmethod
    def setUpClass(cls):
        cls.world = fault_world.World(
            ("dc-1", "dc-2", "dc-1"), {"a": (), "b": ()}, {"b": "dc-2"}
        )
        cls.addClassCleanup(cls.world.close)
        cls.first, cls.second, cls.third = cls.world.entries

    def setUp(self):
        self.addCleanup(self.world.clear_faults)

    def _operate(self, *arguments):
        done = self.world.run_operator(*arguments)
        self.assertEqual(done.returncode, 0, done.stderr)

    def _wait_until_even(self):
        """Waits until the latest configuration is in force everywhere."""
        page = fault_world.HTTP.request(
            "GET", f"{self.world.urls['store']}/v1/range?prefix=config/"
        ).json()
        newest = {
            item["key"].removeprefix("config/"): item["revision"]
            for item in page["items"]
        }
        for entry in self.world.entries:
            processes.wait_for(
                lambda entry=entry: (
                    self.world.read_status(entry)["configuration"]["revisions"]
                    == newest
                )
            )

    def _count_work(self, name):
        return self.world.read_stats(name).get("admitted", 0)

    def test_store_outage_leaves_entries_in_service(self):
        """Guards against entries that need the store to serve or start."""
        world = self.world
        self._wait_until_even()
        world.inject("store", "down")
        for entry in world.entries:
            answer = world.complete(entry)
            self.assertTrue(answer.complete, answer)
        known = world.read_status(self.first)["configuration"]["revisions"]
        added = world.add_entry("dc-2")
        self.assertEqual(
            world.read_status(added)["configuration"]["revisions"], known
        )
        answer = world.complete(added)
        self.assertTrue(answer.complete, answer)

    def test_new_entry_is_healthy_once_it_can_serve(self):
        """Guards against refusals while the load of no engine is known."""
        for name in ("a", "b"):
            self.world.inject(
                name, "delay_s", value=1.0, method="GET", path="/v1/load"
            )
        added = self.world.add_entry("dc-2")
        answer = self.world.complete(added)
        self.assertTrue(answer.complete, answer)

    def test_race_of_operators_has_one_winner(self):
        """Guards against changes that another one silently overwrites."""
        # Operators conflict only if they read before the first one writes.
        self.world.inject(
            "store", "delay_s", value=0.5, method="GET", path="/v1/range"
        )
        accepted = set()
        for turn in range(RACES):
            names = [f"race-{turn}-{n}" for n in range(RACERS)]
            won = self._race(names)
            self.assertTrue(won)
            accepted |= won
            if len(won) == 1:
                break
        self.assertEqual(len(won), 1, "the operators never met")
        self.world.clear_faults()
        shown = self.world.run_operator(
            "--json", "--team", "race", "workspace", "show"
        )
        self.assertEqual(json.loads(shown.stdout).keys(), accepted)
        self._wait_until_even()

    def _race(self, names):
        """Changes one branch concurrently; returns the accepted names."""
        create = ("--json", "--team", "race", "workspace", "create")
        futures = [
            self.world.pool.submit(self.world.run_operator, *create, name)
            for name in names
        ]
        won = set()
        for name, future in zip(names, futures, strict=True):
            result = future.result(60)
            if result.returncode == 0:
                won.add(name)
                continue
            error = json.loads(result.stdout)["error"]
            self.assertEqual(error["code"], "change_conflict", result)
            self.assertEqual(error["run"], "no", result)
        return won

    def test_changes_are_in_force_everywhere_in_time(self):
        """Guards against entries with an old configuration after 5 s."""
        world = self.world
        session = world.complete(self.first, session="new")
        self.assertEqual(session.version, "small-1", session)
        self._operate("--team", "maps", "version", "allow", "maps", "large-1")
        self._operate("version", "withdraw", "small-1")
        self._operate("data-centre", "out", "dc-2")
        # One wait for three changes keeps the test short.
        time.sleep(fault_world.BOUND_S)
        work = self._count_work("b"), self._count_work("a")
        for entry in world.entries:
            with self.subTest(entry=entry.name):
                self.assertIn("large-1", world.list_models(entry))
                self._check_withdrawn(entry, session.session)
        self.assertEqual((self._count_work("b"), self._count_work("a")), work)
        for entry in world.entries:
            answer = world.complete(entry)
            self.assertTrue(answer.complete, answer)
            self.assertEqual(answer.version, "large-1")
        self.assertEqual(self._count_work("b"), work[0])
        self._operate("version", "restore", "small-1")
        self._operate("data-centre", "in", "dc-2")

        def works_again():
            world.complete(self.second)
            return self._count_work("b") > work[0]

        processes.wait_for(works_again)
        self._wait_until_even()

    def _check_withdrawn(self, entry, session):
        """Requests the withdrawn version by name and by session."""
        for options in ({"session": session}, {"model": "small-1"}):
            refusal = self.world.complete(entry, **options)
            self.assertEqual(refusal.code, "version_withdrawn", refusal)
            self.assertEqual(refusal.run, "no")
