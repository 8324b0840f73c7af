"""Tests of roll-outs, their documents and stop records."""

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.decisions.releases import sequential_test
from sycamorehollow.decisions.releases import stages
from sycamorehollow.decisions.releases import stops
from sycamorehollow.model import deployment
from sycamorehollow.model import events

STAGES = (0.1, 0.3, 0.6, 0.9)
ROLLOUT = deployment.Rollout("r", "team", "atlas", "v1", "v2", STAGES)
OTHER = dataclasses.replace(ROLLOUT, candidate="v3")
PACE = rollouts.Pace(dwell_s=10.0, outcomes=0, ratings=0)


def configure(rollout, revision):
    return rollouts.DeploymentChanged(
        deployment.Deployment(
            rollouts={rollout.name: rollout} if rollout else {},
            revisions={"team": revision},
        )
    )


class Node:
    """One process and its pending commands."""

    def __init__(self, name, rollout=ROLLOUT, revision=5):
        self.evidence = sequential_test.Evidence(name)
        self.stops = stops.Stops(name)
        self.rollouts = rollouts.Rollouts(
            self.stops, self.evidence, random.Random(name), PACE
        )
        self.queue = []
        self.rollouts.handle(configure(rollout, revision), 0.0)
        self.rollouts.handle(rollouts.CoordinatorChanged(True), 0.0)

    def handle(self, event, now):
        self.queue.extend(self.rollouts.handle(event, now))

    def share(self):
        return self.rollouts.get_shares().get("r", 0.0)


def sync(one, two, now):
    for left, right in ((one.rollouts, two.rollouts), (one.stops, two.stops)):
        right.merge(left.build_delta(left.build_digest(now), now), now)
        right.merge(left.build_delta(right.build_digest(now), now), now)
        left.merge(right.build_delta(left.build_digest(now), now), now)


class Store:
    """Documents by revision; a write needs the current revision."""

    def __init__(self):
        self.revision = 0
        self.value = b""
        self.history = []

    def put(self, value, expect):
        if expect != self.revision:
            return False
        self.revision += 7
        self.value = value
        self.history.append(stages.decode(value))
        return True


class World:
    """Processes and operators with a shared store that loses responses."""

    def __init__(self):
        self.store = Store()
        self.nodes = [Node(f"p{i}") for i in range(3)]
        self.now = 0.0
        self.seen = {0: 0, 1: 0}

    def act(self, kind, index, value):
        node = self.nodes[index]
        if kind == "tick":
            node.handle(events.Tick(), self.now)
        elif kind == "wait":
            self.now += value
        elif kind == "lease":
            lease = rollouts.LeaseGranted("r", self.now + 2.0 * value)
            node.handle(lease, self.now)
        elif kind == "lapse":
            node.handle(rollouts.LeaseLost("r"), self.now)
        elif kind == "carry":
            self.carry_out(node, value)
        elif kind == "gossip":
            sync(node, self.nodes[(index + 1) % 3], self.now)
        elif kind == "restart":
            self.nodes[index] = Node(f"p{index}.{self.now}.{value}")
        elif kind == "step":
            self.step(node, value)
        elif kind == "look":
            self.seen[index % 2] = self.store.revision
        elif kind == "operate":
            self.operate(index % 2, value)

    def step(self, node, value):
        """Lets the lease holder take its next step towards a stage."""
        self.now += 11.0
        node.handle(rollouts.LeaseGranted("r", self.now + 60.0), self.now)
        node.handle(events.Tick(), self.now)
        if value % 3:
            self.carry_out(node, value)

    def carry_out(self, node, value):
        """Executes the oldest command, too late if it was queued for long."""
        if not node.queue:
            return
        command = node.queue.pop(0)
        written = None
        if isinstance(command, rollouts.WriteStage) and value % 4 != 3:
            written = self.store.put(command.value, command.expected_revision)
        elif not isinstance(command, rollouts.ReadStage):
            return
        kind = rollouts.StageConflict if written is False else None
        kind = kind or rollouts.StageObserved
        if value % 4 >= 2:
            node.handle(rollouts.StoreCallFailed("r"), self.now)
            return
        answer = kind("r", self.store.revision, self.store.value)
        node.handle(answer, self.now)

    def operate(self, operator, value):
        """Pauses, resumes or withdraws the document that an operator read."""
        if value > 5:
            self.seen[operator] = self.store.revision
        if not self.store.value or self.seen[operator] != self.store.revision:
            return
        seen = stages.decode(self.store.value)
        state = list(stages.State)[value % 3]
        self.store.put(
            stages.encode(
                dataclasses.replace(seen, state=state, nonce_suffix="op")
            ),
            self.seen[operator],
        )

    def check(self, test):
        for node in self.nodes:
            stage = node.rollouts.get_stage("r")
            if stage is None:
                test.assertEqual(node.share(), 0.0)
                continue
            test.assertIn(stage, self.store.history)
            test.assertLessEqual(node.share(), STAGES[stage.stage])
        previous = None
        for stage in self.store.history:
            by_process = stage.nonce_suffix != "op"
            if by_process and previous is None:
                test.assertEqual(stage.stage, 0)
            if by_process and previous is not None:
                test.assertLessEqual(stage.stage, previous.stage + 1)
                test.assertEqual(previous.state, stages.State.RUNNING)
            previous = stage


actions = strategies.tuples(
    strategies.sampled_from(
        ("step", "step", "step", "step", "tick", "carry", "carry", "wait")
        + ("lease", "lapse", "gossip", "restart", "look", "operate")
    ),
    strategies.integers(0, 2),
    strategies.integers(0, 12),
)


class InterleavingTest(unittest.TestCase):
    """Guards against a share above the recorded stage."""

    @hypothesis.settings(max_examples=400)
    @hypothesis.given(strategies.lists(actions, min_size=40, max_size=80))
    def test_no_interleaving_widens_the_share(self, steps):
        world = World()
        for step in steps:
            world.act(*step)
            world.check(self)

    def test_roll_out_gets_to_the_end_despite_lost_answers(self):
        world, draws = World(), random.Random(3)
        while world.now < 600 and len(world.store.history) < 5:
            for index in range(3):
                for kind in ("lease", "tick", "carry", "gossip"):
                    world.act(kind, index, 8 + draws.randrange(4))
            world.act("wait", 0, 2)
            world.check(self)
        last = world.store.history[-1]
        self.assertEqual((last.stage, last.state), (3, stages.State.DONE))


class DriveTest(unittest.TestCase):
    """Guards against a roll-out that stalls or advances without conditions."""

    def setUp(self):
        self.node = Node("p")

    def record(self, stage, state, rollout=ROLLOUT, config=5, revision=20):
        document = stages.Stage(
            stage, state, config, stops.compute_rollout_id(rollout), "m"
        )
        value = stages.encode(document)
        self.node.handle(rollouts.StageObserved("r", revision, value), 0.0)

    def write(self, now):
        """Returns the document that the lease holder writes, if any."""
        self.node.queue.clear()
        self.node.handle(rollouts.LeaseGranted("r", now + 60), now)
        self.node.handle(events.Tick(), now)
        for command in self.node.queue:
            if isinstance(command, rollouts.WriteStage):
                return stages.decode(command.value)
        return None

    def test_restarted_process_continues_at_the_recorded_stage(self):
        for stage in range(3):
            self.node = Node(f"p{stage}")
            self.record(stage, stages.State.RUNNING)
            self.assertEqual(self.node.share(), STAGES[stage])
            self.assertIsNone(self.write(5.0))
            self.assertEqual(self.write(20.0).stage, stage + 1)

    def test_nothing_is_written_without_a_lease_or_before_a_read(self):
        self.node.handle(events.Tick(), 0.0)
        self.assertEqual(
            self.node.queue, [rollouts.RequestLease("r", rollouts.LEASE_TTL_S)]
        )
        self.assertIsNone(self.write(10.0))
        self.assertIsInstance(self.node.queue[-1], rollouts.ReadStage)

    def test_paused_and_malformed_documents_are_left_alone(self):
        self.record(1, stages.State.PAUSED)
        self.assertIsNone(self.write(100.0))
        self.assertEqual(self.node.share(), STAGES[1])
        self.node.handle(rollouts.StageObserved("r", 30, b'{"stage": 3}'), 0.0)
        self.assertIsNone(self.write(200.0))
        self.assertEqual(self.node.share(), 0.0)

    def test_reused_name_starts_over_and_old_configuration_waits(self):
        self.record(3, stages.State.RUNNING, OTHER, config=4)
        self.assertEqual(self.node.share(), 0.0)
        self.assertEqual(self.write(100.0).stage, 0)
        self.node = Node("q")
        self.record(3, stages.State.RUNNING, OTHER, config=6)
        self.assertIsNone(self.write(100.0))

    def test_late_answer_does_not_bring_an_older_document_back(self):
        self.record(1, stages.State.RUNNING)
        self.record(3, stages.State.RUNNING, revision=10)
        self.assertEqual(self.node.share(), STAGES[1])

    def test_deleted_document_takes_the_share_away(self):
        self.record(2, stages.State.RUNNING)
        self.node.handle(rollouts.StageConflict("r", 0, b""), 1.0)
        self.assertEqual(self.node.share(), 0.0)

    def test_stop_is_recorded_as_withdrawn_when_the_store_returns(self):
        self.record(2, stages.State.DONE)
        self.node.handle(rollouts.StopRequested("r", "bad"), 1.0)
        self.assertEqual(self.node.share(), 0.0)
        self.assertEqual(self.write(9.0).state, stages.State.WITHDRAWN)
        other = Node("q")
        sync(self.node, other, 10.0)
        self.assertIn("v2", other.rollouts.list_stopped_versions())

    def test_evidence_of_a_worse_version_stops_it_without_the_store(self):
        run = self.node.rollouts.get_rollout_id("r")
        for number in range(400):
            candidate = number % 4 == 0
            event = sequential_test.AnswerEnded(
                str(number), run, candidate, "u", 0.3, candidate
            )
            self.node.evidence.handle(event, 0.0)
        self.node.handle(events.Tick(), 1.0)
        self.assertIsInstance(self.node.queue[0], stops.PushStops)
        self.assertIn("v2", self.node.rollouts.list_stopped_versions())


class StopTest(unittest.TestCase):
    """Guards against new work on a stopped version."""

    @hypothesis.given(strategies.lists(strategies.integers(0, 5), max_size=12))
    def test_stop_holds_until_a_newer_and_different_entry(self, steps):
        node, source = Node("p"), Node("s")
        source.handle(rollouts.StopRequested("r", "bad"), 0.0)
        sync(source, node, 0.0)
        revision = 5
        for number, step in enumerate(steps):
            if step == 0:
                revision += 1
            entry = None if step == 1 else ROLLOUT
            if step == 2:
                entry = dataclasses.replace(ROLLOUT, stages=(0.2,))
            node.handle(configure(entry, revision), 1.0)
            value = stages.Stage(
                0,
                stages.State.RUNNING,
                9,
                stops.compute_rollout_id(ROLLOUT),
                "m",
            )
            seen = rollouts.StageObserved(
                "r", 100 + number, stages.encode(value)
            )
            node.handle(seen, 1.0)
            lifted = revision > 5 and step == 2
            self.assertEqual(
                "v2" not in node.rollouts.list_stopped_versions(), lifted
            )
            if not lifted:
                self.assertEqual(node.share(), 0.0)

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 9), max_size=5),
        strategies.randoms(use_true_random=False),
    )
    def test_merge_is_idempotent_and_commutative(self, revisions, order):
        empty = stops.Stops("e").build_digest(0.0)
        deltas = []
        for number, revision in enumerate(revisions):
            source = Node(f"s{number}", (ROLLOUT, OTHER)[number % 2], revision)
            source.handle(rollouts.StopRequested("r", f"bad {number}"), 0.0)
            deltas.append(source.stops.build_delta(empty, 0.0))
        one, two = stops.Stops("one"), stops.Stops("two")
        for delta in deltas:
            one.merge(delta, 0.0)
        shuffled = deltas * 2
        order.shuffle(shuffled)
        for delta in shuffled:
            two.merge(delta, 0.0)
        for version in ("v2", "v3"):
            self.assertEqual(one.find(version), two.find(version))


if __name__ == "__main__":
    unittest.main()
