"""Tests of the replication of the configuration."""

import json
import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.operations import configuration
from sycamorehollow.decisions.operations import (
    configuration_messages as messages,
)
from sycamorehollow.model import events
from sycamorehollow.settings import tree

PEERS = tuple(
    messages.Peer(f"10.0.{centre}.{number}:1", f"dc-{centre}")
    for centre in range(2)
    for number in range(3)
)
PRICE = {"prompt_price": 1, "output_price": 1}


def write_document(branch, kind):
    """Returns the text of a valid, invalid or conflicting document."""
    if kind == "text":
        return "no JSON"
    if kind == "bad":
        return json.dumps({"unknown": 1})
    if branch == "platform":
        names = ["v1", "v2"] if kind == "wide" else ["v1"]
        versions = dict.fromkeys(names, PRICE)
        return json.dumps({"models": {"m": {"versions": versions}}})
    document = {"workspaces": {branch: {"versions": ["v1"]}}}
    if kind == "wide":
        document["workspaces"][branch]["versions"].append("v2")
    if kind == "shared":
        document["workspaces"]["shared"] = {}
    if kind == "deleted":
        document = {"deleted": True}
    return json.dumps(document)


class World:
    """Processes, a store and messages that may be late, lost or repeated."""

    def __init__(self):
        self.now = 100.0
        self.history = []
        self.mailbox = []
        self.calls = {}
        self.processes = {}
        self.seen = {}
        for index in range(len(PEERS)):
            self.restart(index)

    def restart(self, index):
        self.processes[index] = configuration.Configuration(
            PEERS[index], tree.convert, random.Random(index)
        )
        self.seen[index] = {}
        self.calls.pop(index, None)
        self.send(index, messages.MembersUpdated(PEERS))

    def send(self, index, event):
        process = self.processes[index]
        self.carry_out(index, process.handle(event, self.now))

    def carry_out(self, index, commands):
        for command in commands:
            if isinstance(command, messages.PushDeltaTo):
                for target in command.targets:
                    place = [peer.address for peer in PEERS].index(target)
                    self.mailbox.append((place, command.delta))
            if isinstance(command, (messages.ReadRange, messages.StartWatch)):
                self.calls[index] = command
            if isinstance(command, messages.CancelCall):
                self.calls.pop(index, None)

    def write(self, branch, kind):
        self.history.append((branch, kind))

    def answer(self, index, lag=0):
        """Responds to a store call, with the state `lag` changes ago."""
        command = self.calls.pop(index, None)
        if command is None:
            return
        revision = max(0, len(self.history) - lag)
        after = getattr(command, "after", 0)
        latest = {}
        for number, (branch, kind) in enumerate(self.history[:revision], 1):
            if number > after:
                latest[branch] = (number, write_document(branch, kind))
        values = tuple(
            messages.Value(f"config/{branch}", number, text)
            for branch, (number, text) in latest.items()
        )
        self.send(
            index, messages.StoreResponded(command.call, values, revision)
        )

    def fail(self, index):
        command = self.calls.pop(index, None)
        if command is not None:
            self.send(index, messages.StoreFailed(command.call))

    def deliver(self, place, keep=False):
        if self.mailbox:
            place %= len(self.mailbox)
            index, delta = self.mailbox[place]
            if not keep:
                del self.mailbox[place]
            self.merge(index, delta)

    def merge(self, index, delta):
        process = self.processes[index]
        self.carry_out(index, process.merge(delta, self.now))

    def exchange(self, one, other, late=False):
        mine, theirs = self.processes[one], self.processes[other]
        digest = theirs.build_digest(self.now)
        deltas = [
            (one, theirs.build_delta(mine.build_digest(self.now), self.now))
        ]
        if late:
            deltas.append((other, mine.build_delta(digest, self.now)))
            self.mailbox.extend(deltas)
            return
        self.merge(*deltas[0])
        self.merge(other, mine.build_delta(digest, self.now))

    def tick(self, seconds=1.0):
        self.now += seconds
        for index in self.processes:
            self.send(index, events.Tick())

    def heal(self, store_up):
        """Runs rounds without lost messages."""
        for turn in range(10):
            self.tick()
            for index in self.processes:
                self.answer(index) if store_up else self.fail(index)
                self.exchange(index, (index + 1 + turn % 3) % len(PEERS))
            while self.mailbox:
                self.deliver(0)

    def check_no_revert(self, case):
        for index, process in self.processes.items():
            revisions = process.deployment.revisions
            for branch, revision in self.seen[index].items():
                case.assertGreaterEqual(revisions.get(branch, 0), revision)
            self.seen[index] = dict(revisions)


def draw_step(name, *arguments):
    return strategies.tuples(strategies.just(name), *arguments)


INDEX = strategies.integers(0, len(PEERS) - 1)
BRANCH = strategies.sampled_from(["platform", "a", "b"])
KIND = strategies.sampled_from(
    ["good", "wide", "shared", "deleted", "bad", "text"]
)
STEP = strategies.one_of(
    draw_step("write", BRANCH, KIND),
    draw_step("answer", INDEX, strategies.integers(0, 4)),
    draw_step("fail", INDEX),
    draw_step("deliver", strategies.integers(0, 99), strategies.booleans()),
    draw_step("exchange", INDEX, INDEX, strategies.booleans()),
    draw_step("restart", INDEX),
    draw_step("tick", strategies.floats(0.0, 3.0)),
)


class ReplicationTest(unittest.TestCase):
    """Guards against reverted, lost or diverging configurations."""

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        strategies.lists(STEP, min_size=10, max_size=50), strategies.booleans()
    )
    def test_converges_and_never_reverts(self, steps, store_up):
        world = World()
        world.write("platform", "good")
        for name, *arguments in steps:
            getattr(world, name)(*arguments)
            world.check_no_revert(self)
        loaded = any(
            process.find_refusal() is None
            for process in world.processes.values()
        )
        world.heal(store_up)
        world.check_no_revert(self)
        first = world.processes[0]
        for process in world.processes.values():
            self.assertEqual(process.deployment, first.deployment)
            self.assertEqual(process.faults, first.faults)
            if store_up or loaded:
                self.assertIsNone(process.find_refusal())
        self._check_in_force(world, first, store_up)

    def _check_in_force(self, world, process, store_up):
        """Checks that exactly the branches without own faults are in force."""
        known = {
            branch: latest
            for branch, (latest, _) in process.list_revisions().items()
        }
        if store_up:
            for number, (branch, _) in enumerate(world.history, 1):
                known[branch] = number
        revisions = process.deployment.revisions
        if "platform" not in revisions:
            return
        for branch, latest in known.items():
            kind = world.history[latest - 1][1]
            if kind in ("good", "deleted"):
                self.assertEqual(revisions[branch], latest)
            if kind in ("bad", "text"):
                self.assertIn(branch, process.faults)
                self.assertNotEqual(revisions.get(branch), latest)


class StepsTest(unittest.TestCase):
    """Guards against wrong calls to the store and to peers."""

    def setUp(self):
        self.world = World()

    def test_two_lowest_members_of_each_data_centre_watch(self):
        self.world.heal(True)
        self.assertEqual(
            [process.is_watcher for process in self.world.processes.values()],
            [True, True, False] * 2,
        )
        self.assertEqual(set(self.world.calls), {0, 1, 3, 4})
        alone = messages.MembersUpdated(PEERS[1:])
        self.world.send(2, alone)
        self.assertIn(2, self.world.calls)
        self.world.answer(2)
        self.assertIsInstance(self.world.calls[2], messages.StartWatch)
        self.world.send(2, messages.MembersUpdated(PEERS))
        self.assertNotIn(2, self.world.calls)

    def test_bad_revision_keeps_the_previous_one_in_force(self):
        for branch in ("platform", "a", "b"):
            self.world.write(branch, "good")
        self.world.heal(True)
        self.world.write("a", "bad")
        self.world.write("b", "deleted")
        self.world.heal(True)
        process = self.world.processes[5]
        self.assertEqual(
            process.deployment.revisions, {"platform": 1, "a": 2, "b": 5}
        )
        self.assertEqual(set(process.faults), {"a"})
        self.world.restart(5)
        self.world.exchange(5, 4)
        self.assertEqual(self.world.processes[5].deployment.revisions["a"], 2)

    def test_later_change_of_another_branch_does_not_revert_a_team(self):
        self.world.write("platform", "wide")
        self.world.write("a", "good")
        self.world.heal(True)
        self.world.write("a", "wide")
        self.world.heal(True)
        self.world.write("platform", "good")
        self.world.heal(True)
        deployment = self.world.processes[5].deployment
        self.assertEqual(deployment.revisions, {"platform": 4, "a": 3})
        self.assertEqual(deployment.workspaces["a"].versions, {"v1"})

    def test_bad_platform_branch_does_not_hold_back_a_team(self):
        self.world.write("platform", "good")
        self.world.write("a", "good")
        self.world.heal(True)
        self.world.write("platform", "bad")
        self.world.write("a", "shared")
        self.world.heal(True)
        process = self.world.processes[5]
        self.assertEqual(process.deployment.revisions, {"platform": 1, "a": 4})
        self.assertEqual(set(process.faults), {"platform"})

    def test_watchers_share_the_pushes(self):
        self.world.heal(True)
        self.world.write("platform", "good")
        self.world.answer(0)
        # The lowest address in the other data centre gets the change too.
        self.assertEqual([place for place, _ in self.world.mailbox], [2, 3])
        self.world.answer(4)
        self.assertEqual([place for place, _ in self.world.mailbox], [2, 3, 0])
        self.world.deliver(0)
        self.assertIn("platform", self.world.processes[2].deployment.revisions)

    def test_outdated_answers_and_deleted_keys_count_for_nothing(self):
        self.world.write("platform", "good")
        self.world.answer(0)
        process = self.world.processes[0]
        self.world.now += 50
        value = messages.Value("config/platform", 9, None)
        call = self.world.calls[0]
        self.world.send(0, messages.StoreResponded(1, (value,), 9))
        self.assertIs(self.world.calls[0], call)
        self.assertGreaterEqual(process.measure_age(self.world.now), 50)
        self.assertEqual(process.deployment.revisions, {"platform": 1})

    def test_starts_from_a_peer_while_the_store_is_down(self):
        self.world.write("platform", "good")
        self.world.heal(True)
        self.world.restart(0)
        process = self.world.processes[0]
        self.assertEqual(process.find_refusal().execution.value, "no")
        self.world.fail(0)
        issued = process.handle(events.Tick(), self.world.now + 5)
        self.assertIn(
            messages.StartExchanges, [type(command) for command in issued]
        )
        self.world.exchange(0, 5)
        self.assertIsNone(process.find_refusal())
        self.assertIn("platform", process.deployment.revisions)

    def test_age_grows_until_a_confirmation_arrives(self):
        self.world.heal(True)
        self.world.now += 7
        process = self.world.processes[2]
        self.assertGreaterEqual(process.measure_age(self.world.now), 7)
        self.world.answer(0)
        self.world.exchange(2, 0)
        self.assertGreaterEqual(process.measure_age(self.world.now), 7)
        self.world.tick(0.0)
        self.world.answer(0)
        self.world.exchange(2, 0)
        self.assertLess(process.measure_age(self.world.now), 1)

    def test_other_members_read_when_the_watchers_lost_the_store(self):
        self.world.heal(True)
        self.world.write("platform", "good")
        for _ in range(12):
            self.world.tick()
            for index in (0, 1, 3, 4):
                self.world.fail(index)
        self.world.answer(2)
        self.assertIn("platform", self.world.processes[2].deployment.revisions)
        for _ in range(5):
            self.world.tick(configuration.FALLBACK_WATCH_S / 4)
            self.world.answer(2)
            # Its own confirmation, coming back from a peer, does not end the
            # fallback watch.
            self.world.exchange(1, 2)
            self.world.exchange(2, 1)
            self.assertIsInstance(self.world.calls[2], messages.StartWatch)
        self.world.tick(3.0)
        self.world.answer(2)
        self.world.tick(3.0)
        self.world.answer(0)
        self.world.exchange(2, 0)
        self.world.tick(0.0)
        self.assertNotIn(2, self.world.calls)

    def test_fresh_change_needs_one_exchange(self):
        self.world.heal(True)
        self.world.write("platform", "good")
        self.world.answer(0)
        self.world.exchange(2, 0)
        self.assertIn("platform", self.world.processes[2].deployment.revisions)

    def test_failed_watch_is_followed_by_a_read(self):
        self.world.heal(True)
        self.world.fail(0)
        self.world.tick(3.0)
        self.assertIsInstance(self.world.calls[0], messages.ReadRange)

    def test_silent_call_is_given_up(self):
        self.world.heal(True)
        before = self.world.calls[0].call
        self.world.tick(configuration.CALL_TIMEOUT_S + 1)
        self.world.tick(3.0)
        self.assertGreater(self.world.calls[0].call, before)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_malformed_payloads_change_nothing(self, payload):
        process = self.world.processes[0]
        before = process.deployment
        for data in (payload, b"\0" * 12 + payload):
            process.build_delta(data, self.world.now)
            self.assertEqual(process.merge(data, self.world.now), [])
        self.assertIs(process.deployment, before)
