"""Tests of the digest exchange and of the replicated records."""

import unittest

import hypothesis
from hypothesis import strategies

from benches import fleet
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.decisions.replication import records

writes_drawn = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(["a", "b"]),
        strategies.sampled_from([1, 2, None]),
        strategies.sampled_from([None, 30.0]),
    ),
    max_size=12,
)


def write(replica, key, value, ttl_s, now):
    """Writes a value, or deletes it if `None`; returns deltas to push."""
    if value is None:
        issued = replica.delete("stop", key, now)
    else:
        issued = replica.put("stop", key, value, now, ttl_s)
    return [c.delta for c in issued if isinstance(c, payloads.PushDelta)]


class RecordsTest(unittest.TestCase):
    """Guards against copies that differ after exchanging deltas."""

    @hypothesis.given(writes_drawn, strategies.randoms())
    def test_copies_converge_whatever_the_order(self, writes, rng):
        copies = [records.ReplicatedRecords() for _ in range(3)]
        deltas = []
        for step, (number, key, value, ttl_s) in enumerate(writes):
            deltas += write(copies[number], key, value, ttl_s, step * 0.1)
        for copy in copies:
            for delta in rng.sample(deltas, len(deltas)) + deltas[:2]:
                copy.merge(delta, 2.0)
        self.assertEqual(len({copy.build_digest(2.0) for copy in copies}), 1)
        values = [
            [
                (r.key, r.value)
                for r in sorted(c.list_kind("stop", 2.0), key=repr)
            ]
            for c in copies
        ]
        self.assertEqual(values[0], values[1])
        self.assertEqual(values[0], values[2])

    def test_expired_record_does_not_return_from_a_peer(self):
        transit_s = 0.4
        copies = [records.ReplicatedRecords() for _ in range(3)]
        copies[0].put("cold", "u", 1, 0.0, 10.0)
        for step in range(200):
            now = step * 0.1
            # The third copy receives the record shortly before it expires.
            informed = copies if now > 8.0 else copies[:2]
            pairs = [(a, b) for a in informed for b in informed if a is not b]
            for source, target in pairs:
                delta = source.build_delta(target.build_digest(now), now)
                target.merge(delta, now + transit_s)
            if now > 10.0:
                self.assertIsNone(copies[0].find("cold", "u", now), now)
            if now > 10.0 + 2 * len(copies) * transit_s:
                for copy in copies:
                    self.assertEqual(copy.list_kind("cold", now), [], now)

    def test_deleted_record_does_not_return_from_a_peer(self):
        first, second = records.ReplicatedRecords(), records.ReplicatedRecords()
        first.put("drain", "u", 1, 0.0)
        second.merge(first.build_delta(b"", 0.0), 0.0)
        first.delete("drain", "u", 1.0)
        first.merge(second.build_delta(first.build_digest(1.0), 1.0), 1.0)
        self.assertIsNone(first.find("drain", "u", 1.0))

    def test_malformed_rows_change_nothing(self):
        replica = records.ReplicatedRecords()
        rows = [
            [1, "k", 1, "1", None],
            ["k", "k", "1", "1", None],
            ["k", "k", 1, "1", float("nan")],
            ["k", "k", 1, "not json", None],
            ["k"],
        ]
        self.assertEqual(replica.merge(payloads.encode_rows(rows), 0.0), [])


class ExchangeTest(unittest.TestCase):
    """Guards against state that does not reach every process in time."""

    def start(self, count=30, data_centres=3):
        driven = fleet.Fleet(1, data_centres)
        nodes = driven.start_joined(count)
        driven.run(3.0)
        return driven, nodes

    def assert_known(self, nodes, driven, expected=True):
        for node in nodes:
            found = node.records.find("stop", "v", driven.now)
            self.assertEqual(found is not None, expected, node.address)

    def test_equal_copies_exchange_nothing_but_one_digest(self):
        driven, nodes = self.start()
        issued = nodes[0].exchange._start_exchange(nodes[1].address, driven.now)
        call = exchange.CallReceived(1, issued.sender, issued.items)
        (reply,) = nodes[1].exchange.handle(call, driven.now)
        self.assertEqual(reply.items, ())

    def test_one_exchange_makes_both_sides_equal(self):
        driven, (first, second, *_) = self.start()
        first.records.put("stop", "v", 1, driven.now)
        second.records.put("stop", "w", 1, driven.now)
        driven.cuts = lambda source, target: source is not first
        driven.carry_out(
            first, [first.exchange._start_exchange(second.address, driven.now)]
        )
        driven.run(0.1)
        for node in (first, second):
            found = node.records.list_kind("stop", driven.now)
            self.assertEqual({r.key for r in found}, {"v", "w"})

    def test_urgent_record_is_everywhere_without_a_digest(self):
        driven, nodes = self.start()
        issued = nodes[4].records.put("stop", "v", 1, driven.now)
        driven.carry_out(nodes[4], issued)
        driven.run(0.1)
        self.assert_known(nodes, driven)

    def test_digests_repair_lost_pushes_within_five_seconds(self):
        driven, nodes = self.start()
        nodes[4].records.put("stop", "v", 1, driven.now)
        driven.run(5.0)
        self.assert_known(nodes, driven)

    def test_change_crosses_when_a_partition_ends(self):
        driven, nodes = self.start()
        driven.cuts = lambda source, target: (
            source.data_centre != target.data_centre
        )
        driven.carry_out(
            nodes[0], nodes[0].records.put("stop", "v", 1, driven.now)
        )
        driven.run(60.0)
        self.assert_known([n for n in nodes if n.data_centre == "dc-0"], driven)
        self.assert_known(
            [n for n in nodes if n.data_centre == "dc-1"], driven, False
        )
        driven.cuts = lambda source, target: False
        driven.run(15.0)
        self.assert_known(nodes, driven)

    def test_unknown_kinds_are_left_out(self):
        driven, nodes = self.start()
        items = (
            exchange.Item("later/digest", b"x"),
            exchange.Item("later/delta", b"x"),
            exchange.Item("records/delta", b"x"),
            exchange.Item("members/probe", b"\xff"),
        )
        call = exchange.CallReceived(1, nodes[1].exchange.sender, items)
        (reply,) = nodes[0].exchange.handle(call, driven.now)
        self.assertEqual(reply.items, ())
