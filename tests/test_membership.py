"""Tests of the member table and of membership."""

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from benches import fleet
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import membership
from sycamorehollow.model import events

# Time for a suspicion, the spread of a refutation and a probe of a lost member.
SETTLE_S = 60.0

members_drawn = strategies.builds(
    members.Member,
    address=strategies.sampled_from(["a", "b", "c"]),
    data_centre=strategies.just("dc-0"),
    incarnation=strategies.integers(1, 3),
    refutations=strategies.integers(0, 3),
    state=strategies.sampled_from(members.MemberState),
)
faults_drawn = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["kill", "replace", "freeze", "cut", "lag"]),
        strategies.integers(0, 7),
        strategies.integers(0, 7),
        strategies.sampled_from([0.5, 4.0, 12.0, 40.0]),
    ),
    min_size=1,
    max_size=6,
)


def find_deaths(node, address=""):
    """Returns the members a node declared dead, or one address of them."""
    return [
        change.after.address
        for _, change in node.changes
        if isinstance(change, members.MemberChanged)
        and change.after.state is members.MemberState.DEAD
        and address in ("", change.after.address)
    ]


def make_membership(address="a", incarnation=5):
    me = members.Member(address, "dc-0", incarnation)
    return membership.Membership(me, (), random.Random(1), 0.0)


class MembersTest(unittest.TestCase):
    """Guards against member tables that depend on the order of messages."""

    @hypothesis.given(strategies.lists(members_drawn), strategies.randoms())
    def test_merge_is_commutative_and_idempotent(self, found, rng):
        tables = []
        # A first live record for each address, as unknown ones must be live.
        base = [members.Member(address, "dc-0", 0) for address in "abc"]
        for rows in (found, rng.sample(found, len(found)) + found[:2]):
            table = members.MemberTable()
            for member in base + rows:
                table.apply(member, 0.0)
            tables.append(table)
        records = [sorted(t.list_members(), key=repr) for t in tables]
        self.assertEqual(records[0], records[1])
        self.assertEqual(
            tables[0].build_digest(0.0), tables[1].build_digest(0.0)
        )

    def test_old_record_is_not_held_back_by_shared_newer_ones(self):
        first, second = members.MemberTable(), members.MemberTable()
        first.apply(members.Member("old", "dc-0", 1), 0.0)
        for number in range(600):
            member = members.Member(f"m{number}", "dc-0", 1)
            first.apply(member, 10.0)
            second.apply(member, 10.0)
        # With a malformed digest every bucket differs.
        for step in range(200):
            second.merge(first.build_delta(b"", 20.0 + step), 20.0 + step)
        self.assertIsNotNone(second.find("old"))

    def test_malformed_delta_changes_nothing(self):
        table = members.MemberTable()
        for delta in (b"x", b"", members.payloads.encode_rows([[1], ["a"]])):
            self.assertEqual(table.merge(delta, 0.0), [])

    def test_nothing_said_by_others_overrides_left(self):
        left = members.Member("a", "dc-0", 1, 0, members.MemberState.LEFT)
        for state in (members.MemberState.ALIVE, members.MemberState.DEAD):
            table = members.MemberTable()
            table.apply(members.Member("a", "dc-0", 1), 0.0)
            table.apply(left, 0.0)
            table.apply(members.Member("a", "dc-0", 1, 3, state), 0.0)
            self.assertEqual(table.find("a"), left)

    def test_expired_dead_member_is_not_taken_up_again(self):
        table = members.MemberTable()
        alive = members.Member("a", "dc-0", 1)
        dead = dataclasses.replace(alive, state=members.MemberState.DEAD)
        table.apply(alive, 0.0)
        table.apply(dead, 1.0)
        table.expire(1.0 + members.GONE_RETENTION_S)
        self.assertIsNone(table.apply(dead, 2.0 + members.GONE_RETENTION_S))
        self.assertIsNone(table.find("a"))


class MembershipTest(unittest.TestCase):
    """Guards against wrong decisions of a single process."""

    def test_old_process_learns_that_it_was_replaced(self):
        peers = make_membership()
        newer = members.MemberTable()
        newer.apply(members.Member("a", "dc-0", 9), 0.0)
        self.assertEqual(
            peers.merge(newer.encode_record("a"), 100.0),
            [membership.ProcessReplaced(9)],
        )

    def test_restart_with_a_late_clock_takes_a_higher_incarnation(self):
        peers = make_membership()
        newer = members.MemberTable()
        newer.apply(members.Member("a", "dc-0", 9), 0.0)
        peers.merge(newer.encode_record("a"), 1.0)
        self.assertEqual(peers.self_record.incarnation, 10)

    def test_process_with_a_broken_outgoing_path_suspects_few(self):
        peers = make_membership()
        for number in range(20):
            received = membership.MessageReceived(f"m{number}", "dc-0", 1)
            peers.handle(received, 0.5)
        peers.handle(events.Tick(), 1.0)
        for number in range(20):
            peers.handle(membership.ProbeFailed(f"m{number}", 1.0), 2.0)
        suspects = [
            member
            for member in peers.list_live()
            if member.state is members.MemberState.SUSPECT
        ]
        self.assertLessEqual(len(suspects), membership.LOCAL_FAULT_FAILURES)


class FaultsTest(unittest.TestCase):
    """Guards against member tables that stay wrong after faults end."""

    def start(self, seed=1, count=8, data_centres=2):
        driven = fleet.Fleet(seed, data_centres)
        nodes = driven.start_joined(count)
        driven.run(3.0)
        return driven, nodes

    def assert_converged(self, driven):
        running = [node for node in driven.nodes.values() if node.running]
        expected = {
            node.address: node.peers.self_record.incarnation for node in running
        }
        for node in running:
            seen = {
                address: member.incarnation
                for address, member in node.view().items()
            }
            self.assertEqual(seen, expected, node.address)

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(strategies.integers(0, 99), faults_drawn)
    def test_views_converge_after_faults_stop(self, seed, faults):
        driven, nodes = self.start(seed)
        cut = set()
        driven.cuts = lambda source, target: (
            (source.address, target.address) in cut
        )
        for kind, first, second, seconds in faults:
            node = driven.nodes[nodes[first].address]
            if kind == "kill":
                driven.kill(node)
            elif kind == "replace":
                driven.kill(node)
                driven.start(first)
            elif kind == "freeze":
                driven.freeze(node)
            elif kind == "cut":
                cut.add((node.address, nodes[second].address))
            else:
                vm_list = {nodes[second].address: True, "10.9.9.9:7400": False}
                driven.deliver(node, membership.VmListReceived(vm_list))
            driven.run(seconds)
        cut.clear()
        for node in driven.nodes.values():
            if node.frozen:
                driven.resume(node)
        driven.run(SETTLE_S)
        self.assert_converged(driven)

    def test_views_merge_after_a_partition(self):
        driven, nodes = self.start()
        driven.cuts = lambda source, target: (
            source.data_centre != target.data_centre
        )
        driven.run(120.0)
        self.assertEqual({len(node.view()) for node in nodes}, {4})
        driven.cuts = lambda source, target: False
        driven.run(SETTLE_S)
        self.assert_converged(driven)

    @hypothesis.settings(max_examples=10)
    @hypothesis.given(strategies.integers(0, 99), strategies.integers(1, 7))
    def test_member_behind_a_one_way_cut_is_not_declared_dead(
        self, seed, target
    ):
        driven, nodes = self.start(seed)
        driven.cuts = lambda source, called: (
            source is nodes[0] and called is nodes[target]
        )
        driven.run(120.0)
        for node in nodes:
            self.assertEqual(find_deaths(node), [])

    def test_helpers_clear_a_suspicion_before_the_next_probe_round(self):
        driven, nodes = self.start()
        driven.cuts = lambda source, called: (
            source is nodes[0] and called is nodes[3]
        )
        driven.run(60.0)
        spans = []
        for when, change in nodes[0].changes:
            if change.after.state is members.MemberState.SUSPECT:
                spans.append(when)
            elif change.before.state is members.MemberState.SUSPECT:
                spans[-1] = when - spans[-1]
        self.assertTrue(spans)
        self.assertLess(max(spans), 0.5)

    def test_resumed_process_declares_nobody_dead(self):
        for seed in range(8):
            driven, nodes = self.start(seed)
            driven.cuts = lambda source, target, paused=nodes[0]: (
                source is paused
            )
            driven.run(4.0)
            driven.freeze(nodes[0])
            driven.cuts = lambda source, target: False
            driven.run(40.0)
            driven.resume(nodes[0])
            driven.run(SETTLE_S)
            self.assertEqual(find_deaths(nodes[0]), [], seed)
            self.assert_converged(driven)

    @hypothesis.settings(max_examples=10)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.integers(0, 9), strategies.booleans()
        )
    )
    def test_vm_list_declares_no_answering_member_dead(self, listed):
        driven, nodes = self.start()
        vm_list = {
            f"10.0.0.{number}:7400": leaving
            for number, leaving in listed.items()
        }
        for _ in range(20):
            for node in nodes:
                driven.deliver(node, membership.VmListReceived(vm_list))
            driven.run(1.0)
        self.assertEqual([find_deaths(node) for node in nodes], [[]] * 8)
        self.assert_converged(driven)

    def test_vm_list_leads_to_a_process_without_seeds(self):
        driven, nodes = self.start()
        lonely = driven.start(40)
        lonely.peers = membership.Membership(
            lonely.peers.self_record, (), random.Random(1), driven.now
        )
        lonely.exchange = fleet.exchange.Exchange(lonely.peers)
        vm_list = {lonely.address: False}
        driven.deliver(nodes[0], membership.VmListReceived(vm_list))
        driven.run(10.0)
        self.assert_converged(driven)

    def test_leave_is_known_within_five_seconds_and_is_final(self):
        driven, nodes = self.start()
        driven.deliver(nodes[1], membership.LeaveRequested())
        driven.run(0.3)
        for node in nodes:
            if node.data_centre == nodes[1].data_centre:
                self.assertNotIn(nodes[1].address, node.view())
        driven.run(4.7)
        for node in nodes:
            self.assertNotIn(nodes[1].address, node.view())
        driven.run(SETTLE_S)
        for node in nodes:
            member = node.peers.find(nodes[1].address)
            self.assertIs(member.state, members.MemberState.LEFT)
        driven.kill(nodes[1])
        driven.start(1)
        driven.run(10.0)
        self.assert_converged(driven)

    def test_lowest_members_skip_the_dead_and_the_leaving(self):
        driven, nodes = self.start()
        driven.kill(nodes[0])
        driven.run(SETTLE_S)
        vm_list = {nodes[2].address: True}
        driven.deliver(nodes[5], membership.VmListReceived(vm_list))
        self.assertEqual(
            nodes[5].peers.list_lowest_addresses("dc-0", 2),
            [nodes[4].address, nodes[6].address],
        )
