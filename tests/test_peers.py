"""Tests of the peer task over loopback connections."""

import concurrent.futures
import queue
import random
import socket
import threading
import time
import unittest

from benches import loopback
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import membership
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.decisions.replication import records
from sycamorehollow.model import events
from sycamorehollow.shells import peer_channels
from sycamorehollow.shells import peers

TICK_S = 0.1
WAIT_S = 15.0


def wait_for(condition):
    """Waits until a condition holds; returns whether it did in time."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


class PeerProcess:
    """A peer task with the membership and records of an entry process."""

    def __init__(self, seeds=(), port=0):
        self.inbox = queue.SimpleQueue()
        self.task = peers.PeerTask(f"127.0.0.1:{port}", self.inbox.put)
        self.task.register("echo", self._echo)
        address = f"127.0.0.1:{self.task.start()}"
        own_process = members.Member(address, "dc-0", time.time_ns())
        self.peers = membership.Membership(
            own_process, seeds, random.Random(1), time.monotonic()
        )
        self.records = records.ReplicatedRecords()
        self.exchange = exchange.Exchange(self.peers, (self.records,))
        self.address = address
        self.paused = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self):
        self.inbox.put(None)
        self.thread.join(WAIT_S)
        self.task.stop()

    def has_live_members(self, *others):
        addresses = {member.address for member in self.peers.list_live()}
        return addresses == {other.address for other in (self, *others)}

    def _echo(self, _sender, payload):
        future = concurrent.futures.Future()
        future.set_result(payload)
        return future

    def _run(self):
        due = time.monotonic()
        while True:
            try:
                event = self.inbox.get(timeout=max(0.0, due - time.monotonic()))
            except queue.Empty:
                event = events.Tick()
                due = time.monotonic() + TICK_S
            while self.paused.is_set():
                time.sleep(0.01)
            if event is None:
                return
            for command in self.exchange.handle(event, time.monotonic()):
                self.task.post(command)


class PeerTaskTest(unittest.TestCase):
    """Guards against peers that block or lose sight of each other.

    A frozen peer or a dead connection must not delay calls to other peers, and
    a restarted peer must be found again.
    """

    def start(self, seeds=(), port=0):
        entry = PeerProcess(seeds, port)
        self.addCleanup(entry.stop)
        return entry

    def test_three_tasks_converge_and_survive_a_frozen_one(self):
        first = self.start()
        second = self.start((first.address,))
        third = self.start((first.address,))
        self.assertTrue(wait_for(lambda: first.has_live_members(second, third)))
        self.assertTrue(wait_for(lambda: third.has_live_members(first, second)))
        third.paused.set()
        began = time.monotonic()
        for command in first.records.put("stop", "v", 1, began):
            if isinstance(command, payloads.PushDelta):
                for call in first.exchange.push_delta(command):
                    first.task.post(call)
        known = wait_for(
            lambda: second.records.find("stop", "v", time.monotonic())
        )
        self.assertTrue(known)
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertTrue(wait_for(lambda: first.has_live_members(second)))
        third.paused.clear()
        self.assertTrue(wait_for(lambda: first.has_live_members(second, third)))
        self.assertTrue(wait_for(lambda: third.has_live_members(first, second)))

    def test_restart_under_the_same_address_is_seen(self):
        first = self.start()
        second = PeerProcess((first.address,))
        self.assertTrue(wait_for(lambda: first.has_live_members(second)))
        old = second.peers.self_record.incarnation
        second.stop()
        port = int(second.address.rsplit(":", 1)[1])
        again = self.start((first.address,), port)
        self.assertTrue(wait_for(lambda: again.has_live_members(first)))
        member = first.peers.find(second.address)
        self.assertGreater(member.incarnation, old)

    def test_silent_connection_is_replaced_after_one_failure(self):
        first = self.start()
        port = int(first.address.rsplit(":", 1)[1])
        forwarder = loopback.Forwarder(port)
        self.addCleanup(forwarder.close)
        received = queue.SimpleQueue()
        task = peers.PeerTask("127.0.0.1:0", received.put)
        task.start()
        self.addCleanup(task.stop)
        own_process = exchange.Process("127.0.0.1:1", "dc-0", 1)
        item = exchange.Item("echo", b"text")
        results = []
        for number in range(3):
            if number == 1:
                forwarder.silence()
            request = peers.PeerRequest(
                number, forwarder.address, own_process, item, 0.5
            )
            task.post(request)
            results.append(type(received.get(timeout=WAIT_S)))
        answered, failed = peers.PeerRequestAnswered, peers.PeerRequestFailed
        self.assertEqual(results, [answered, failed, answered])

    def test_repeatable_call_is_replied_to_in_spite_of_a_silent_channel(self):
        ways = []
        for _ in range(2):
            port = int(self.start().address.rsplit(":", 1)[1])
            ways.append(loopback.Forwarder(port))
            self.addCleanup(ways[-1].close)
        received = queue.SimpleQueue()
        task = peers.PeerTask("127.0.0.1:0", received.put)
        task.start()
        self.addCleanup(task.stop)
        own_process = exchange.Process("127.0.0.1:1", "dc-0", 1)
        item = exchange.Item("echo", b"text")

        def call(way, may_repeat):
            began = time.monotonic()
            task.post(
                peers.PeerRequest(
                    1,
                    way.address,
                    own_process,
                    item,
                    may_repeat=may_repeat,
                )
            )
            event = received.get(timeout=WAIT_S)
            self.assertIsInstance(event, peers.PeerRequestAnswered)
            return time.monotonic() - began

        for way in ways:
            call(way, True)
            way.silence()
        self.assertLess(call(ways[0], True), 0.9)
        # The other channel is as old, so it is not used any more.
        self.assertLess(call(ways[1], False), peer_channels.SILENCE_S)

    def test_handler_answers_and_silence_fails_at_its_deadline(self):
        first = self.start()
        received = queue.SimpleQueue()
        task = peers.PeerTask("127.0.0.1:0", received.put)
        task.start()
        self.addCleanup(task.stop)
        own_process = exchange.Process("127.0.0.1:1", "dc-0", 1)
        item = exchange.Item("echo", b"text")
        task.post(peers.PeerRequest(1, first.address, own_process, item))
        self.assertEqual(received.get(timeout=WAIT_S).item, item)
        # The listener accepts connections and never replies.
        with socket.create_server(("127.0.0.1", 0)) as silent_listener:
            address = f"127.0.0.1:{silent_listener.getsockname()[1]}"
            began = time.monotonic()
            for number in range(20):
                task.post(
                    peers.PeerRequest(number, address, own_process, item, 0.5)
                )
            task.post(peers.PeerRequest(99, first.address, own_process, item))
            results = [received.get(timeout=WAIT_S) for _ in range(21)]
        self.assertLess(time.monotonic() - began, 5.0)
        answered = [
            r for r in results if isinstance(r, peers.PeerRequestAnswered)
        ]
        self.assertEqual([r.number for r in answered], [99])
