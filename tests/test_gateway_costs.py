"""Tests of the work of a node that must not grow with the deployment."""

import asyncio
import random
import sys
import unittest
import unittest.mock

from sycamorehollow.decisions.forwarding import cascade
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import caller_connections
from sycamorehollow.shells.gateway import caller_memory
from sycamorehollow.shells.gateway import telemetry
from tests import forwarding_world


def count_calls(function):
    """Returns the number of calls of functions that a call makes."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls


class WatchersCostTest(unittest.TestCase):
    """Periodic work that ranks all nodes costs each node of a large fleet."""

    def setUp(self):
        self.nodes = {
            f"n{n}": watchers.Node(f"127.0.0.1:{n}", f"dc-{n % 3}", n % 7)
            for n in range(140)
        }
        self.watchers = watchers.Watchers("n3", "dc-0", random.Random(1))
        self.watchers.record_fresh(0.0)
        self.watchers.should_watch(self.nodes, 0.0)

    def test_the_ranking_is_kept_while_no_node_changes(self):
        calls = count_calls(
            lambda: self.watchers.should_watch(self.nodes, 0.25)
        )
        self.assertLess(calls, 40)

    def test_a_changed_node_changes_the_ranking(self):
        before = self.watchers.list_watchers(self.nodes, 1.0)
        self.nodes["n138"] = watchers.Node("127.0.0.1:1", "dc-0", 1000.0)
        after = self.watchers.list_watchers(self.nodes, 1.0)
        self.assertNotIn("n138", before)
        self.assertEqual("n138", after[0])
        self.nodes["n138"] = watchers.Node("127.0.0.1:1", "dc-1", 1000.0)
        self.assertEqual(before, self.watchers.list_watchers(self.nodes, 1.0))

    def test_a_node_that_does_not_respond_is_passed_over(self):
        first, second = self.watchers.list_watchers(self.nodes, 1.0)
        self.watchers.record_unreachable(first, 1.0)
        self.assertEqual(
            second, self.watchers.list_watchers(self.nodes, 1.1)[0]
        )
        later = 1.1 + watchers.UNREACHABLE_S
        self.assertEqual(
            [first, second], self.watchers.list_watchers(self.nodes, later)
        )


class DirectoryCostTest(unittest.TestCase):
    """A request that scans all upstreams several times costs too much."""

    def setUp(self):
        self.directory = directory.Directory()
        self.entries = [
            forwarding_world.build_upstream(f"u{n}") for n in range(70)
        ]
        for entry in self.entries:
            self.directory.register(entry, 0.0)
        self.service = self.entries[0].service

    def list_usable(self, now):
        usable = self.directory.list_usable(self.service, now)
        return [state.upstream.identity for state in usable]

    def test_a_kept_list_takes_no_call_per_upstream(self):
        self.list_usable(0.0)
        calls = count_calls(
            lambda: self.directory.list_usable(self.service, 1.0)
        )
        self.assertLess(calls, 10)

    def test_the_removal_of_nothing_takes_no_call_per_upstream(self):
        calls = count_calls(lambda: self.directory.evict_expired(1.0))
        self.assertLess(calls, 10)

    def test_each_change_counts_at_once(self):
        self.assertIn("u1", self.list_usable(0.0))
        self.directory.get("u1").is_leaving = True
        self.assertNotIn("u1", self.list_usable(0.0))
        self.directory.get("u1").is_leaving = False
        self.directory.remove("u1", 1.0)
        self.assertNotIn("u1", self.list_usable(1.0))
        self.directory.register(self.entries[1], 2.0)
        self.assertIn("u1", self.list_usable(2.0))
        self.assertEqual([], self.directory.evict_expired(9.0))
        self.directory.set_evacuated({self.entries[1].data_centre})
        self.assertEqual([], self.list_usable(2.0))
        self.directory.set_evacuated(())
        self.directory.remove("u1", 3.0)
        self.assertEqual(["u1"], self.directory.evict_expired(9.0))
        self.assertEqual(69, len(self.list_usable(9.0)))


class CascadeCostTest(unittest.TestCase):
    """Shortcuts must not keep a response that the cascade would discard."""

    def test_what_may_not_be_discarded_never_is(self):
        for priority in range(10):
            route = forwarding_world.build_route(
                models=("small", "large"), priority=priority
            )
            for confidence in [None, *range(101)]:
                inputs = cascade.CascadeInputs(
                    "small", confidence, 0.0, 0.0, 0.0, 0.0, 3, 1000.0
                )
                discards = bool(cascade.decide(route, inputs).model)
                may = cascade.may_discard(route, "small", confidence)
                self.assertEqual(discards, may, (priority, confidence))
                self.assertFalse(
                    cascade.may_discard(route, "large", confidence)
                )


class ResponseWritesTest(unittest.IsolatedAsyncioTestCase):
    """A response in needless parts costs a system call and a packet each."""

    async def write(self, length, body):
        memory = caller_memory.CallerMemory(
            forwarding_world.build_settings(), telemetry.Telemetry()
        )
        connection = caller_connections.CallerConnection(
            None, forwarding.CallerLimits, set(), memory
        )
        transport = unittest.mock.create_autospec(asyncio.Transport)
        connection.connection_made(transport)
        await connection.write_head(200, b"OK", [], length, True, body)
        connection.connection_lost(None)
        (call,) = transport.write.call_args_list
        return call.args[0]

    async def test_the_head_and_the_first_part_are_one_write(self):
        self.assertEqual(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
            await self.write(3, b"abc"),
        )
        self.assertEqual(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n",
            await self.write(None, b"abc"),
        )

    async def test_no_first_part_does_not_end_a_chunked_body(self):
        data = await self.write(None, b"")
        self.assertTrue(data.endswith(b"chunked\r\n\r\n"))


class IncarnationTest(unittest.TestCase):
    """A kept incarnation must not be taken over by a changed copy."""

    def test_a_copy_has_its_own(self):
        entry = forwarding_world.build_upstream("a")
        self.assertEqual(("a", entry.started_ms), entry.incarnation)
        copy = forwarding.Upstream(**(vars_of(entry) | {"started_ms": 7}))
        self.assertEqual(("a", 7), copy.incarnation)
        self.assertEqual(entry, forwarding_world.build_upstream("a"))


def vars_of(entry):
    """Returns the fields of a record."""
    return {name: getattr(entry, name) for name in entry.__match_args__}


if __name__ == "__main__":
    unittest.main()
