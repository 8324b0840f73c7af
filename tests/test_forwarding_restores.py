"""Tests of mirrors of a store that is restored from copies."""

import json
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import canary
from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import restores
from sycamorehollow.model import forwarding
from sycamorehollow.platform import store_codec

CONFIG = "op/config"
EVACUATION = "op/evacuate/dc-1"
UPSTREAM = "servers/a"
NODES = 3


def build_upstream(born, seq, state="ready"):
    """Returns an upstream's entry."""
    return json.dumps({"born": born, "seq": seq, "state": state})


def build_mirror(*entries, era=1):
    """Returns a mirror with some entries at the revision of the last."""
    copy = mirror.Mirror(store_codec.PlatformStoreCodec())
    values = [mirror.Entry(*entry) for entry in entries]
    copy.replace(values, entries[-1][2], era)
    return copy


def restore(copy, entries, revision, now=0.0):
    """Begins the next era; returns the updates by key."""
    listed = [mirror.Entry(*entry) for entry in entries]
    updates = copy.begin_era(copy.era + 1, listed, revision, now)
    return {entry.key: entry.value for entry in updates}


class RestoreGuardTest(unittest.TestCase):
    """Guards against confirmed changes that a copy undoes."""

    def test_upstream_that_was_removed_is_kept_out(self):
        ready = build_upstream(5, 2)
        copy = build_mirror((UPSTREAM, ready, 10))
        copy.apply([mirror.Entry(UPSTREAM, None, 12)], 12)
        self.assertEqual(restore(copy, [(UPSTREAM, ready, 10)], 11), {})
        self.assertEqual(copy.list_kept(), [UPSTREAM])
        # Its entry in the new era counts at once.
        changed = mirror.Entry(UPSTREAM, ready, 12)
        self.assertEqual(copy.apply([changed], 12), [changed])
        self.assertEqual(copy.list_kept(), [])

    def test_upstream_that_stays_in_the_store_counts_in_the_end(self):
        ready = build_upstream(5, 2)
        copy = build_mirror((UPSTREAM, ready, 10))
        copy.apply([mirror.Entry(UPSTREAM, None, 12)], 12)
        restore(copy, [(UPSTREAM, ready, 10)], 11)
        self.assertIsNone(copy.settle(restores.SETTLE_S - 0.1))
        settled = copy.settle(restores.SETTLE_S)
        self.assertEqual(settled, [mirror.Entry(UPSTREAM, ready, 10)])

    def test_older_state_of_an_upstream_never_counts(self):
        for known, old in (((5, 3), (5, 2)), ((6, 1), (5, 9))):
            copy = build_mirror((UPSTREAM, build_upstream(*known), 12))
            older = build_upstream(*old)
            self.assertEqual(restore(copy, [(UPSTREAM, older, 10)], 10), {})
            self.assertEqual(copy.settle(restores.SETTLE_S), [])

    def test_newer_state_of_an_upstream_counts_at_any_revision(self):
        for born, seq in ((5, 3), (6, 1)):
            copy = build_mirror((UPSTREAM, build_upstream(5, 2), 90))
            newer = build_upstream(born, seq, "draining")
            updates = restore(copy, [(UPSTREAM, newer, 40)], 40)
            self.assertEqual(updates, {UPSTREAM: newer})

    def test_upstream_that_the_copy_lacks_has_its_own_time(self):
        copy = build_mirror(
            (CONFIG, '{"version": 1}', 3), (UPSTREAM, build_upstream(5, 2), 9)
        )
        updates = restore(copy, [(CONFIG, '{"version": 1}', 3)], 5)
        self.assertEqual(updates, {UPSTREAM: None})

    def test_evacuation_is_kept_until_it_settles(self):
        copy = build_mirror((CONFIG, '{"version": 1}', 3), (EVACUATION, "", 9))
        self.assertEqual(restore(copy, [(CONFIG, '{"version": 1}', 3)], 5), {})
        (settled,) = copy.settle(restores.SETTLE_S)
        self.assertEqual((settled.key, settled.value), (EVACUATION, None))

    def test_evacuation_that_was_ended_does_not_return(self):
        copy = build_mirror((EVACUATION, "", 4))
        copy.apply([mirror.Entry(EVACUATION, None, 9)], 9)
        self.assertEqual(restore(copy, [(EVACUATION, "", 4)], 8), {})
        # Another one, ordered after the restore.
        copy = build_mirror((CONFIG, '{"version": 1}', 3), (EVACUATION, "", 4))
        copy.apply([mirror.Entry(EVACUATION, None, 9)], 9)
        listed = [(CONFIG, '{"version": 1}', 3), (EVACUATION, "", 6)]
        self.assertEqual(restore(copy, listed, 6), {EVACUATION: ""})

    def test_unreadable_values_do_not_hinder_a_restore(self):
        unreadable = ("[" * 100_000, "null", "3", '{"born": "x"}', "\udcff")
        for number, value in enumerate(unreadable):
            copy = build_mirror((UPSTREAM, build_upstream(5, 2), 12))
            listed = [(UPSTREAM, value, 20 + number)]
            self.assertEqual(restore(copy, listed, 30), {UPSTREAM: value})

    def test_second_restore_from_an_older_copy(self):
        copy = build_mirror((CONFIG, '{"version": 1}', 3), (EVACUATION, "", 9))
        listed = [(CONFIG, '{"version": 1}', 3)]
        self.assertEqual(restore(copy, listed, 5), {})
        self.assertEqual(restore(copy, listed, 4, 1.0), {})
        self.assertEqual(copy.list_kept(), [EVACUATION])
        again = mirror.Entry(EVACUATION, "", 5)
        self.assertEqual(copy.apply([again], 5), [again])
        self.assertEqual(copy.settle(1.0 + restores.SETTLE_S), [])

    def test_configuration_with_a_higher_version_counts_at_any_revision(self):
        copy = build_mirror((CONFIG, '{"version": 4}', 90))
        updates = restore(copy, [(CONFIG, '{"version": 5}', 20)], 20)
        self.assertEqual(updates, {CONFIG: '{"version": 5}'})


class EraExchangeTest(unittest.TestCase):
    """Guards against nodes that hand on the contents of an earlier era."""

    def test_node_with_the_old_era_gets_a_snapshot(self):
        old = build_mirror((CONFIG, "a", 50))
        new = build_mirror((CONFIG, "b", 40), era=2)
        self.assertIsNone(old.build_delta_for(new.position))
        delta = new.build_delta_for(old.position)
        self.assertTrue(delta.is_snapshot)
        old.merge(delta)
        self.assertEqual(old.position, new.position)
        self.assertEqual(old.get_value(CONFIG), "b")

    def test_old_delta_or_changes_without_a_base_are_ignored(self):
        new = build_mirror((CONFIG, "b", 40), era=2)
        late = mirror.Entry(CONFIG, "a", 50)
        for is_snapshot in (True, False):
            delta = mirror.Delta((late,), 50, is_snapshot, 1)
            self.assertEqual(new.merge(delta), [])
        self.assertEqual(new.replace([late], 50, 1), [])
        self.assertEqual(new.position, mirror.Position(2, 40))
        old = build_mirror((CONFIG, "a", 50))
        part = mirror.Delta((mirror.Entry(CONFIG, "b", 60),), 60, False, 2)
        self.assertEqual(old.merge(part), [])
        self.assertEqual(old.position, mirror.Position(1, 50))

    def test_nodes_without_eras_exchange_as_before(self):
        old = build_mirror((CONFIG, "a", 50), era=0)
        newer = build_mirror((CONFIG, "b", 60), era=0)
        old.merge(newer.build_delta_for(old.position))
        self.assertEqual(old.get_value(CONFIG), "b")


class RolloutRestoreTest(unittest.TestCase):
    """Guards against roll-outs that begin anew, or back, after a restore."""

    def setUp(self):
        self.rollouts = canary.Rollouts("n", 0.1)
        self.order(50)
        self.first = self.rollouts.get("llm")

    def order(self, revision, target="v2"):
        order = forwarding.RolloutOrder("llm", target, 9.0, revision)
        self.rollouts.set_order(order, 1.0)

    def set_status(self, state, revision):
        status = forwarding.RolloutStatus("llm", "v2", state, revision)
        self.rollouts.set_status(status)

    def test_order_that_is_written_again_is_the_same(self):
        self.rollouts.begin_era()
        self.order(30)
        self.assertIs(self.rollouts.get("llm"), self.first)
        self.rollouts.settle_era()
        self.order(60)
        self.assertIsNot(self.rollouts.get("llm"), self.first)

    def test_other_order_begins_at_any_revision(self):
        self.rollouts.begin_era()
        self.order(30, "v3")
        self.assertEqual(self.rollouts.get("llm").order.target, "v3")

    def test_state_of_the_copy_ends_nothing_and_revives_nothing(self):
        self.set_status(forwarding.RolloutState.ROLLED_BACK, 52)
        self.rollouts.begin_era()
        self.set_status(forwarding.RolloutState.RUNNING, 31)
        self.assertEqual(self.first.state, forwarding.RolloutState.ROLLED_BACK)

    def test_state_that_is_written_after_a_restore_counts(self):
        self.rollouts.begin_era()
        self.set_status(forwarding.RolloutState.ROLLED_BACK, 31)
        self.assertEqual(self.first.state, forwarding.RolloutState.ROLLED_BACK)


class RestoredStore(stateful.RuleBasedStateMachine):
    """A store that goes back, its operator, and nodes that follow it."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.revision = 1
        self.items = {}
        self.history = [(1, {})]
        self.version = 0
        self.is_evacuated = False
        self.now = 0.0
        codec = store_codec.PlatformStoreCodec()
        self.mirrors = [mirror.Mirror(codec) for _ in range(NODES)]
        self.beliefs = [{} for _ in range(NODES)]
        # Responses that are on their way.
        self.late = []
        self.configure()

    def write(self, key, value):
        self.revision += 1
        self.items = {k: v for k, v in self.items.items() if k != key}
        if value is not None:
            self.items[key] = mirror.Entry(key, value, self.revision)
        self.history.append((self.revision, self.items))

    def take(self, node, updates):
        """Applies updates as the router does."""
        for entry in updates:
            if entry.key == CONFIG:
                if entry.value is None:
                    continue
                version = json.loads(entry.value)["version"]
                known = self.beliefs[node].get(CONFIG, 0)
                self.beliefs[node][CONFIG] = max(known, version)
            else:
                self.beliefs[node][entry.key] = entry.value

    def apply_listing(self, node, era, items, revision):
        copy = self.mirrors[node]
        if copy.is_newer(era):
            updates = copy.begin_era(era, items, revision, self.now)
        else:
            updates = copy.replace(items, revision, era)
        self.take(node, updates)

    @stateful.rule()
    def configure(self):
        self.version += 1
        self.write(CONFIG, json.dumps({"version": self.version}))

    @stateful.rule(active=strategies.booleans())
    def evacuate(self, active):
        self.is_evacuated = active
        self.write(EVACUATION, "" if active else None)

    @stateful.rule(lost=strategies.integers(0, 6))
    def restore(self, lost):
        self.history = self.history[: max(1, len(self.history) - lost)]
        self.revision, self.items = self.history[-1]
        self.era += 1
        # The operator writes again what is lost.
        self.write(CONFIG, json.dumps({"version": self.version}))
        if (EVACUATION in self.items) != self.is_evacuated:
            self.write(EVACUATION, "" if self.is_evacuated else None)

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def list_values(self, node):
        items = list(self.items.values())
        self.apply_listing(node, self.era, items, self.revision)

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def list_late(self, node):
        items = list(self.items.values())
        self.late.append((node, self.era, items, self.revision))

    @stateful.rule()
    def deliver_late(self):
        if self.late:
            self.apply_listing(*self.late.pop(0))

    @stateful.rule(
        node=strategies.integers(0, NODES - 1),
        other=strategies.integers(0, NODES - 1),
    )
    def exchange(self, node, other):
        position = self.mirrors[node].position
        delta = self.mirrors[other].build_delta_for(position)
        if delta is not None:
            self.take(node, self.mirrors[node].merge(delta, self.now))

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def settle(self, node):
        self.now += restores.SETTLE_S
        self.take(node, self.mirrors[node].settle(self.now) or [])

    @stateful.invariant()
    def no_belief_goes_back(self):
        for node in range(NODES):
            known = self.beliefs[node].get(CONFIG, 0)
            self.assert_at_least(node, known)

    def assert_at_least(self, node, known):
        seen = self.__dict__.setdefault("seen", {})
        assert known >= seen.get(node, 0)
        seen[node] = known

    def teardown(self):
        """Whatever came before, one listing brings all nodes up to date."""
        for node in range(NODES):
            self.list_values(node)
            copy = self.mirrors[node]
            assert copy.position == mirror.Position(self.era, self.revision)
            assert self.beliefs[node].get(CONFIG, 0) == self.version
        self.now += restores.SETTLE_S
        for node in range(NODES):
            self.take(node, self.mirrors[node].settle(self.now) or [])
            known = self.beliefs[node].get(EVACUATION) is not None
            assert known == self.is_evacuated


RestoredStoreTest = RestoredStore.TestCase
RestoredStoreTest.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30, deadline=None, derandomize=True
)


if __name__ == "__main__":
    unittest.main()
