"""Tests of how a node keeps what it knows current."""

import asyncio
import json
import random
import time
import unittest
from unittest import mock

from sycamorehollow.decisions.forwarding import router
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.platform import documents
from sycamorehollow.platform import feed
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import journal
from sycamorehollow.shells.gateway import knowledge
from sycamorehollow.shells.gateway import peer_link
from sycamorehollow.shells.gateway import store_tasks
from tests import forwarding_world
from tests import platform_standins

ENTRY = json.dumps(
    {
        "service": "llm",
        "address": "127.0.0.1:1",
        "zone": "dc-1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
    }
)
PEER = "127.0.0.1:9"


class KnowledgeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against followers that use upstreams which have left."""

    async def asyncSetUp(self):
        self.peers = mock.Mock()
        settings = forwarding_world.build_settings(node="n9")
        self.router = forwarding_world.build_router()
        self.known = knowledge.Knowledge(
            settings,
            self.router,
            feed.PlatformFeed(),
            journal.Journal(),
            random.Random(1),
        )
        self.watch = mock.Mock(active=True)
        self.known.connect(self.watch, mock.Mock())
        self.known.connect_peers(self.peers)
        nodes = {
            f"nodes/n{number}": documents.encode_node(
                watchers.Node(f"127.0.0.1:{number}", "dc-1")
            )
            for number in range(9)
        }
        values = nodes | {"servers/a": ENTRY}
        items = tuple(
            stores.Found(key, value, 5) for key, value in values.items()
        )
        await self._deliver(store_tasks.Listed(stores.Listing(items, 5)))

    async def _deliver(self, event):
        self.known.deliver(event)
        await asyncio.sleep(0.01)

    async def _answer(self, **changes):
        """Delivers what another node knows."""
        document = {"since": 5, "age_s": 0.0, "store_back_s": 1e6} | changes
        payload = json.dumps(document).encode()
        await self._deliver(peer_link.PeerAnswered(0, PEER, payload))

    def _count_usable(self):
        now = time.monotonic()
        return len(self.router.directory.list_usable("llm", now))

    async def test_removal_counts_at_once_for_a_node_turned_away(self):
        failure = stores.RateLimited("refused")
        await self._deliver(store_tasks.StoreLost(failure))
        await self._answer()
        self.known.tick()
        gone = {"entries": [["servers/a", None, 6]], "revision": 6}
        self.assertEqual(self._count_usable(), 1)
        await self._answer(delta=gone | {"whole": False})
        self.assertEqual(self._count_usable(), 0)

    async def test_entry_that_lapsed_with_the_store_is_kept_a_while(self):
        gone = {"entries": [["servers/a", None, 6]], "revision": 6}
        await self._answer(delta=gone | {"whole": False}, store_back_s=0.2)
        self.assertEqual(self._count_usable(), 1)

    async def test_follower_with_fresh_news_does_not_watch(self):
        await self._answer()
        self.known.tick()
        self.assertFalse(self.watch.active)

    async def test_unreadable_news_change_nothing(self):
        for payload in (b"", b"[]", b"{}", b'{"delta": 3}'):
            await self._deliver(peer_link.PeerAnswered(0, PEER, payload))
        self.assertEqual(self._count_usable(), 1)

    async def _ask(self, since):
        """Returns the answer to a node that knows changes up to `since`."""
        answer = self.known.answer_peer(
            PEER, json.dumps({"since": since}).encode()
        )
        return await asyncio.wrap_future(answer)

    async def test_large_configuration_is_handed_on_in_few_bytes(self):
        routes = [
            {"name": f"r-{n}", "host": f"h{n}.example", "pathPrefix": "/a/"}
            for n in range(2000)
        ]
        large = json.dumps({"version": 9, "routes": routes})
        changes = (stores.Change("op/config", large, 6),)
        await self._deliver(store_tasks.Watched(stores.Changes(changes, 6)))
        payload = await self._ask(5)
        # Twenty followers fetch it within a second over 10 Mbit/s.
        self.assertLess(len(payload) * 20 * 8, 10e6)
        other = forwarding_world.build_router()
        follower = knowledge.Knowledge(
            forwarding_world.build_settings(node="n8"),
            other,
            feed.PlatformFeed(),
            journal.Journal(),
            random.Random(1),
        )
        follower.deliver(peer_link.PeerAnswered(0, PEER, payload))
        await asyncio.sleep(0.05)
        self.assertEqual(follower.get_revision(), 6)

    async def test_follower_asks_again_only_after_an_answer(self):
        await self._answer()
        posts = []
        self.peers.ask.side_effect = lambda number, *_: posts.append(number)
        later = time.monotonic()
        with mock.patch("time.monotonic", lambda: later):
            for _ in range(15):
                # In all less than the age from which it watches by itself.
                later += 0.04
                self.known.tick()
        # One to any node, one to the node that it follows.
        self.assertEqual(len(posts), 2)
        for number in tuple(posts):
            await self._deliver(peer_link.PeerSilent(number, "timed out"))
        count = len(posts)
        with mock.patch("time.monotonic", lambda: later + 0.1):
            self.known.tick()
        self.assertGreater(len(posts), count)


class StartWithoutStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that wait for a store that is away."""

    async def asyncSetUp(self):
        self.asked = []
        self.known = self._build("n1", ("10.0.0.2:7",))
        self.watch = mock.Mock(active=True)
        self.known.connect(self.watch, mock.Mock())
        link = mock.Mock()
        link.ask.side_effect = lambda *ask: self.asked.append(ask)
        self.known.connect_peers(link)

    def _build(self, name, first_peers=()):
        settings = forwarding_world.build_settings(
            node=name, first_peers=first_peers
        )
        return knowledge.Knowledge(
            settings,
            router.Router(settings, random.Random(1)),
            feed.PlatformFeed(),
            journal.Journal(),
            random.Random(1),
        )

    def _tick(self, after_s):
        now = time.monotonic() + after_s
        with mock.patch("time.monotonic", lambda: now):
            self.known.tick()

    async def test_copy_of_a_node_in_the_settings_makes_it_ready(self):
        self._tick(0.1)
        self.assertEqual(self.asked, [])
        self._tick(knowledge.FIRST_PEER_S + 0.1)
        ((number, address, question),) = self.asked
        self.assertEqual(address, "10.0.0.2:7")
        other = self._build("n2")
        configuration = json.dumps(platform_standins.build_configuration())
        own = documents.encode_node(watchers.Node("127.0.0.1:2", "dc-1"))
        items = (
            stores.Found("op/config", configuration, 4),
            stores.Found("servers/a", ENTRY, 5),
            stores.Found("nodes/n2", own, 6),
        )
        other.deliver(store_tasks.Listed(stores.Listing(items, 6)))
        await asyncio.sleep(0.01)
        future = other.answer_peer("127.0.0.1:1", question)
        answer = await asyncio.wrap_future(future)
        self.assertFalse(self.known.is_ready)
        self.known.deliver(peer_link.PeerAnswered(number, address, answer))
        await asyncio.sleep(0.01)
        self.assertTrue(self.known.is_ready)
        self._tick(2.0)
        # From now on it follows the nodes that it has learned of.
        addresses = {address for _, address, _ in self.asked[1:]}
        self.assertEqual(addresses, {"127.0.0.1:2"})

    async def test_copy_of_another_node_is_no_news_of_the_store(self):
        await self.test_copy_of_a_node_in_the_settings_makes_it_ready()
        later = time.monotonic() + 5.0
        with mock.patch("time.monotonic", lambda: later):
            answer = await asyncio.wrap_future(
                self.known.answer_peer("127.0.0.1:2", b'{"since": 9}')
            )
            await asyncio.sleep(0)
        self.assertGreater(json.loads(answer)["age_s"], 0.0)
