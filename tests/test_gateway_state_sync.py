"""Tests of the synchronisation of a node's state."""

import asyncio
import json
import random
import time
import unittest
from unittest import mock

from sycamorehollow.decisions.forwarding import permit_loans
from sycamorehollow.decisions.forwarding import slowness
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import forwarding
from sycamorehollow.platform import documents
from sycamorehollow.platform import store_codec
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import peer_client
from sycamorehollow.shells.gateway import peer_messages
from sycamorehollow.shells.gateway import state_source
from sycamorehollow.shells.gateway import state_sync
from sycamorehollow.shells.gateway import store_tasks
from sycamorehollow.shells.gateway import telemetry
from tests import forwarding_world

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


class StateSyncTest(unittest.IsolatedAsyncioTestCase):
    """Guards against stale state and against malformed messages of nodes."""

    async def asyncSetUp(self):
        self.peers = mock.Mock()
        settings = forwarding_world.build_settings(node="n9", heartbeat_s=1.2)
        self.router = forwarding_world.build_router()
        self.state_sync = state_sync.StateSync(
            settings,
            self.router,
            store_codec.PlatformStoreCodec(),
            telemetry.Telemetry(),
            random.Random(1),
        )
        self.watch = mock.Mock(active=True)
        self.state_sync.set_store_tasks(self.watch, mock.Mock())
        self.state_sync.set_peer_client(self.peers)
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
        await self._deliver(
            store_tasks.StoreListed(stores.Listing(items, 5), time.monotonic())
        )

    async def _deliver(self, event):
        self.state_sync.deliver(event)
        await asyncio.sleep(0.01)

    async def _deliver_response(self, **changes):
        """Delivers a sync response of another node."""
        document = {"since": 5, "age_s": 0.0, "store_back_s": 1e6} | changes
        payload = json.dumps(document).encode()
        await self._deliver(peer_client.PeerRequestAnswered(0, PEER, payload))

    def _count_usable(self):
        now = time.monotonic()
        return len(self.router.directory.list_usable("llm", now))

    async def test_removal_counts_at_once_for_a_node_turned_away(self):
        failure = stores.RateLimited("refused")
        await self._deliver(store_tasks.StoreCallFailed(failure))
        await self._deliver_response()
        self.state_sync.run_periodic_work()
        gone = {"entries": [["servers/a", None, 6]], "revision": 6}
        self.assertEqual(self._count_usable(), 1)
        await self._deliver_response(delta=gone | {"whole": False})
        self.assertEqual(self._count_usable(), 0)

    async def test_removal_counts_at_once_after_a_short_silence(self):
        failure = stores.InDoubt("no answer within 1.05 s")
        await self._deliver(store_tasks.StoreCallFailed(failure))
        gone = stores.Changes((stores.Change("servers/a", None, 6),), 6)
        await self._deliver(store_tasks.StoreChanged(gone, time.monotonic()))
        self.assertEqual(self._count_usable(), 0)

    async def test_entry_that_expired_in_an_outage_is_kept_a_while(self):
        failure = stores.InDoubt("no answer within 1.05 s")
        await self._deliver(store_tasks.StoreCallFailed(failure))
        await asyncio.sleep(2.0)
        gone = stores.Changes((stores.Change("servers/a", None, 6),), 6)
        await self._deliver(store_tasks.StoreChanged(gone, time.monotonic()))
        self.assertEqual(self._count_usable(), 1)

    async def test_removal_counts_if_only_this_node_had_lost_the_store(self):
        failure = stores.InDoubt("no answer within 1.05 s")
        await self._deliver(store_tasks.StoreCallFailed(failure))
        await asyncio.sleep(2.0)
        gone = stores.Changes((stores.Change("servers/a", None, 6),), 6)
        await self._deliver(store_tasks.StoreChanged(gone, time.monotonic()))
        self.assertEqual(self._count_usable(), 1)
        for followed_s, age_s, usable in (
            (1.0, 0.0, 1),
            (60.0, 3.0, 1),
            (60.0, 0.2, 0),
        ):
            await self._deliver_response(followed_s=followed_s, age_s=age_s)
            self.assertEqual(self._count_usable(), usable)

    async def test_changes_of_another_era_do_not_renew_the_state(self):
        await asyncio.sleep(0.4)
        other = stores.Changes((), 5, era=7)
        await self._deliver(store_tasks.StoreChanged(other, time.monotonic()))
        document = peer_messages.decode(await self._request_sync(5))
        self.assertGreaterEqual(document["age_s"], 0.4)

    async def test_age_and_continuity_are_stated(self):
        await asyncio.sleep(0.3)
        document = peer_messages.decode(await self._request_sync(5))
        self.assertGreaterEqual(document["followed_s"], 0.3)
        self.assertLess(document["followed_s"], 5.0)

    async def test_entry_that_lapsed_with_the_store_is_kept_a_while(self):
        gone = {"entries": [["servers/a", None, 6]], "revision": 6}
        await self._deliver_response(
            delta=gone | {"whole": False}, store_back_s=0.2
        )
        self.assertEqual(self._count_usable(), 1)

    async def test_follower_with_fresh_news_does_not_watch(self):
        await self._deliver_response()
        self.state_sync.run_periodic_work()
        self.assertFalse(self.watch.active)

    async def test_unreadable_news_change_nothing(self):
        for payload in (b"", b"[]", b"{}", b'{"delta": 3}'):
            await self._deliver(
                peer_client.PeerRequestAnswered(0, PEER, payload)
            )
        self.assertEqual(self._count_usable(), 1)

    async def test_malformed_fields_of_news_are_logged_and_answered(self):
        failed = mock.Mock()
        asyncio.get_running_loop().set_exception_handler(failed)
        wrong = ([], [1], "x", 3, None, {"a": 1}, {"a": []}, [[1, 2, 3]])
        for name in (
            "rollouts",
            "sound",
            "poison",
            "delta",
            "age_s",
            "since",
            "limits",
            "permit_request",
            "permit_reply",
        ):
            for value in wrong:
                with self.subTest(name=name, value=value):
                    await self._deliver_response(**{name: value})
                    await self._request_sync(value)
                    await self._request_sync(5, permit_request=value)
        self.assertEqual(self._count_usable(), 1)
        failed.assert_not_called()

    async def test_limits_are_exchanged(self):
        entry = ["a", 0, 2.4, 0.0, 0.5, "n1/5", 7]
        await self._deliver_response(limits=[entry])
        now = time.monotonic()
        limits = self.router.stated_limits
        self.assertEqual(limits.get_limit(("a", 0), now), 2.4)
        handed_on = peer_messages.decode(await self._request_sync(5))["limits"]
        self.assertEqual(
            handed_on[0][:4] + handed_on[0][5:], entry[:4] + entry[5:]
        )
        self.assertGreaterEqual(handed_on[0][4], 0.5)
        # It is sent to the same node again only after a time.
        again = peer_messages.decode(await self._request_sync(5))
        self.assertNotIn("limits", again)
        for wrong in (
            [entry[:6]],
            [[*entry[:2], -1.0, *entry[3:]]],
            [[*entry[:2], 1e999, *entry[3:]]],
            [[*entry[:2], "2", *entry[3:]]],
            [[*entry[:4], -0.5, *entry[5:]]],
            [[3, *entry[1:]]],
            [[*entry[:6], 8.5]],
        ):
            await self._deliver_response(limits=wrong)
        self.assertEqual(limits.get_limit(("a", 0), now), 2.4)

    async def test_permit_is_lent_to_another_node(self):
        await self._deliver_response(
            limits=[["a", 0, 200.0, 0.0, 0, "n1/5", 7]]
        )
        loans = self.router.permit_loans
        lend = mock.Mock(return_value=permit_loans.PermitReply(True, 0.0))
        with mock.patch.object(loans, "lend", lend):
            response = await self._request_sync(5, permit_request=["a", 0])
        self.assertEqual(
            peer_messages.decode(response)["permit_reply"], [True, 0.0]
        )
        self.assertEqual(lend.call_args.args[0], ("a", 0))
        response = await self._request_sync(5)
        self.assertNotIn("permit_reply", peer_messages.decode(response))

    async def test_node_of_an_older_version_lends_no_permit(self):
        await self._deliver_response(limits=[["a", 0, 2.4, 0.0, 0, "n1/5", 7]])
        loans = self.router.permit_loans
        upstream = self.router.directory.get("a").upstream
        delays = []
        for reply in ({}, {"permit_reply": [False, 5.0]}):
            loans.ask([upstream], 99, time.monotonic())
            self.state_sync.send_permit_requests()
            number = self.peers.send_request.call_args.args[0]
            document = {"since": 5, "age_s": 0.0, "store_back_s": 1e6} | reply
            payload = json.dumps(document).encode()
            await self._deliver(
                peer_client.PeerRequestAnswered(number, PEER, payload)
            )
            delays.append(len(loans.take_requests()))
        self.assertEqual(delays, [0, 0])
        limiter = self.router.rate_limiter
        borrowed = limiter.count_borrowed(("a", 0), time.monotonic())
        self.assertEqual(borrowed, 0)

    async def test_counts_of_slow_answers_are_exchanged(self):
        order = forwarding.RolloutOrder("llm", "v2", 60.0, 5)
        self.router.apply_event(updates.RolloutOrdered(order), 0.0)
        one = slowness.build_counts("b", True, True, 0.1)
        entry = {"service": "llm", "revision": 5}
        counts = {"n1": {"r-1 small": one.encode()}}
        await self._deliver_response(slowness=[entry | {"counts": counts}])
        known = self.router.rollouts.get("llm").evidence
        self.assertEqual(sum(known.sum_counts().new_slow), 1)
        handed_on = peer_messages.decode(await self._request_sync(5))[
            "slowness"
        ]
        self.assertEqual(handed_on, [entry | {"counts": counts}])
        # A peer of an older version without these counts, and malformed ones.
        await self._deliver_response()
        for wrong in (3, [{}], [entry | {"counts": {"n1": {"r": [1]}}}]):
            await self._deliver_response(slowness=wrong)
        self.assertEqual(sum(known.sum_counts().new_slow), 1)

    async def test_entry_that_breaks_a_rule_does_not_stop_the_others(self):
        handle = self.router.apply_event
        broken = mock.Mock(side_effect=[RuntimeError("a fault"), []])
        with mock.patch.object(self.router, "apply_event", broken):
            changes = (
                stores.Change("servers/b", ENTRY, 6),
                stores.Change("servers/a", None, 6),
            )
            await self._deliver(
                store_tasks.StoreChanged(
                    stores.Changes(changes, 6), time.monotonic()
                )
            )
        self.assertEqual(broken.call_count, 2)
        self.assertIs(self.router.apply_event.__func__, handle.__func__)

    async def _request_sync(self, since, **parts):
        """Returns the response to a node with all changes up to `since`."""
        response = self.state_sync.handle_peer_request(
            PEER, json.dumps({"since": since, **parts}).encode()
        )
        return await asyncio.wrap_future(response)

    async def test_large_configuration_is_handed_on_in_few_bytes(self):
        routes = [
            {"name": f"r-{n}", "host": f"h{n}.example", "pathPrefix": "/a/"}
            for n in range(2000)
        ]
        large = json.dumps({"version": 9, "routes": routes})
        changes = (stores.Change("op/config", large, 6),)
        await self._deliver(
            store_tasks.StoreChanged(
                stores.Changes(changes, 6), time.monotonic()
            )
        )
        payload = await self._request_sync(5)
        # Twenty followers fetch it within a second over 10 Mbit/s.
        self.assertLess(len(payload) * 20 * 8, 10e6)
        other = forwarding_world.build_router()
        follower = state_sync.StateSync(
            forwarding_world.build_settings(node="n8"),
            other,
            store_codec.PlatformStoreCodec(),
            telemetry.Telemetry(),
            random.Random(1),
        )
        follower.deliver(peer_client.PeerRequestAnswered(0, PEER, payload))
        await asyncio.sleep(0.05)
        self.assertEqual(follower.get_position().revision, 6)

    async def test_follower_asks_again_only_after_an_deliver_response(self):
        await self._deliver_response()
        posts = []
        self.peers.send_request.side_effect = lambda number, *_: posts.append(
            number
        )
        later = time.monotonic()
        with mock.patch("time.monotonic", lambda: later):
            for _ in range(15):
                # In total less than the age from which it watches the store.
                later += 0.04
                self.state_sync.run_periodic_work()
        # The one request goes to the node that it follows.
        self.assertEqual(len(posts), 1)
        # It has no response to wait for any more, so it asks another one.
        await self._deliver(
            peer_client.PeerRequestFailed(posts[0], "timed out")
        )
        self.assertEqual(len(posts), 2)

    async def test_second_watcher_is_asked_when_the_first_is_silent(self):
        await self._deliver_response()
        self.peers.send_request.reset_mock()
        self.state_sync.run_periodic_work()
        # Half of the second after which a request has failed.
        await asyncio.sleep(0.5)
        calls = self.peers.send_request.call_args_list
        self.assertEqual(len({call.args[1] for call in calls}), 2)
        # Whoever responds first ends the search.
        document = {"since": 5, "age_s": 0.0, "store_back_s": 1e6}
        await self._deliver(
            peer_client.PeerRequestAnswered(
                calls[1].args[0], PEER, json.dumps(document).encode()
            )
        )
        await asyncio.sleep(state_source.FOLLOW_INTERVAL_S + 0.1)
        self.assertEqual(self.peers.send_request.call_count, 3)

    async def test_silent_watcher_states_a_growing_age(self):
        # No call has failed, but nothing has shown that changes are complete.
        await asyncio.sleep(0.4)
        document = peer_messages.decode(await self._request_sync(5))
        self.assertGreaterEqual(document["age_s"], 0.4)

    async def test_follower_of_a_watcher_without_news_watches_the_store(self):
        await self._deliver_response()
        self.state_sync.run_periodic_work()
        self.assertFalse(self.watch.active)
        await asyncio.sleep(0.3)
        # The watcher responds, but it has not heard of the store for long.
        await self._deliver_response(age_s=5.0)
        later = time.monotonic() + 1.5
        with mock.patch("time.monotonic", lambda: later):
            self.state_sync.run_periodic_work()
        self.assertTrue(self.watch.active)
