"""Synchronises the state of a node with the store and with other nodes."""

import asyncio
from collections.abc import Mapping
import concurrent.futures
import random
import time
import types
from typing import Any

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import events
from sycamorehollow.settings import gateway
from sycamorehollow.shells.gateway import crash_sync
from sycamorehollow.shells.gateway import exchange_part
from sycamorehollow.shells.gateway import limit_messages
from sycamorehollow.shells.gateway import limit_sync
from sycamorehollow.shells.gateway import mirror_messages
from sycamorehollow.shells.gateway import peer_client
from sycamorehollow.shells.gateway import peer_messages
from sycamorehollow.shells.gateway import rollout_messages
from sycamorehollow.shells.gateway import state_source
from sycamorehollow.shells.gateway import store_codec
from sycamorehollow.shells.gateway import store_contents
from sycamorehollow.shells.gateway import store_tasks
from sycamorehollow.shells.gateway import store_writer
from sycamorehollow.shells.gateway import telemetry

# Interval of the gossip between nodes that watch the store. A report takes some
# rounds to reach all nodes, and a faulty version has to be stopped on all of
# them within seconds.
SYNC_INTERVAL_S = 0.5
# The same while the store is unavailable and only peers provide updates.
STORE_LOST_SYNC_INTERVAL_S = 0.4
PERIODIC_WORK_INTERVAL_S = 0.25
# Delay of news about crashes, which collects those of the same moment, and the
# number of nodes that each node tells.
NEWS_DELAY_S = 0.02
NEWS_FANOUT = 2
# Time over which nodes write entries that a restore of the store has lost.
REGISTRATION_SPREAD_S = 2.0
NO_PARTS: Mapping[str, Any] = types.MappingProxyType({})


class StateSync:
    """Applies updates to the router and passes them on to other nodes.

    Runs in the event loop of the gateway. Other threads pass their events to
    `deliver`.

    Args:
        settings: Settings of the process.
        router: Receives the updates.
        codec: Decodes and encodes entries of the store.
        telemetry_sink: Records every change.
        rng: Randomises the intervals.

    Attributes:
        part: A further part of the messages.
    """

    def __init__(
        self,
        settings: gateway.Settings,
        router: routers.Router,
        codec: store_codec.StoreCodec,
        telemetry_sink: telemetry.Telemetry,
        rng: random.Random,
    ):
        self.settings = settings
        self._router = router
        self._codec = codec
        self._telemetry = telemetry_sink
        self._rng = rng
        self._contents = store_contents.StoreContents(
            router, codec, telemetry_sink
        )
        self._mirror = self._contents.mirror
        self._loop = asyncio.get_running_loop()
        self._source = state_source.StateSource(
            settings, router, telemetry_sink, rng, self.send_sync_request
        )
        self._store_writer = store_writer.StoreWriter(
            settings, router, codec, self._mirror, telemetry_sink
        )
        self._peer_client: peer_client.PeerClient | None = None
        self._last_request = 0
        self._next_sync_at = 0.0
        # Name of the node and time of each request without a response.
        self._pending: dict[int, tuple[str, float]] = {}
        self._news_timer: asyncio.TimerHandle | None = None
        self._watchers = router.watchers
        self._limit_sync = limit_sync.LimitSync(router, telemetry_sink)
        self._crash_sync = crash_sync.CrashSync(router, telemetry_sink)
        self.part = exchange_part.ExchangePart()

    @property
    def is_ready(self) -> bool:
        """Whether the node has routes and upstreams to serve requests."""
        return self._router.route_table is not None and bool(
            self._router.directory.list_all()
        )

    @property
    def local_copy(self) -> mirror.Mirror:
        """The local copy of the store."""
        return self._mirror

    def compute_age_s(self) -> float:
        """Returns the age of the local copy of the store."""
        return self._source.compute_age_s(time.monotonic())

    def get_position(self) -> mirror.Position:
        """Returns how far all changes of the store are applied."""
        return self._mirror.position

    def set_store_tasks(
        self,
        watch: store_tasks.WatchTask,
        write: store_tasks.WriteTask,
    ) -> None:
        """Sets the tasks that call the store."""
        self._source.set_watch_task(watch)
        self._store_writer.set_task(write)

    def set_peer_client(self, client: peer_client.PeerClient) -> None:
        """Sets the client for other nodes."""
        self._peer_client = client

    def deliver(self, event: events.Event) -> None:
        """Schedules the handling of an event; safe from any thread."""
        try:
            self._loop.call_soon_threadsafe(self._handle, event)
        except RuntimeError:
            # The event loop is closed; the event is not needed any more.
            return

    def handle_peer_request(
        self, address: str, payload: bytes
    ) -> "concurrent.futures.Future[bytes]":
        """Handles a request of another node; called on the peer thread."""
        response: concurrent.futures.Future[bytes] = concurrent.futures.Future()

        def reply() -> None:
            try:
                document = self._merge_sync_message(
                    address, payload, asked_at=None
                )
                known = self._read_position(document)
                now = time.monotonic()
                parts = {
                    **self._limit_sync.handle_request(document, now),
                    **self._crash_sync.export_response(address, document, now),
                }
                response.set_result(
                    self._build_sync_message(address, known, parts)
                )
            except Exception as error:
                self._telemetry.log_error(f"sync request of {address}", error)
                response.set_exception(error)

        self._loop.call_soon_threadsafe(reply)
        return response

    def run_periodic_work(self) -> list[str]:
        """Runs all work that is due; returns the evicted upstreams."""
        now = time.monotonic()
        for rollout in self._router.rollouts.evaluate(now):
            self._telemetry.record_state_change(
                f"rollout={rollout.order.service}",
                f"worse: {rollout.reason}",
                "own measurements",
            )
        for rollout in self._router.rollouts.list_all():
            self._store_writer.write_rollout_status(rollout, now)
        self.spread_news()
        if now >= self._next_sync_at:
            pause_s = (
                STORE_LOST_SYNC_INTERVAL_S
                if self._source.store_lost
                else SYNC_INTERVAL_S
            )
            self._next_sync_at = now + pause_s * self._rng.uniform(0.8, 1.2)
            self.send_sync_request(
                self._watchers.choose_gossip_peer(
                    self._router.nodes, self._source.compute_age_s(now), now
                )
            )
        self._contents.settle(now)
        self._telemetry.set_state_age(self._source.compute_age_s(now))
        self._source.choose(now)
        self._limit_sync.record_changes(now)
        self._crash_sync.record_changes()
        for change in self._router.take_changes():
            self._telemetry.record_state_change(
                change.subject, change.outcome, "own response"
            )
        return self._router.evict_expired(now)

    def _handle(self, event: events.Event) -> None:
        match event:
            case store_tasks.StoreListed():
                self._source.record_store_answer(event.as_of)
                is_restored = self._contents.apply_listing(event.listing)
                self._handle_contents(is_restored)
                if not is_restored:
                    self._store_writer.register_node()
            case store_tasks.StoreChanged():
                if not self._contents.can_apply(event.changes):
                    return
                self._source.record_store_answer(event.as_of)
                self._contents.apply_changes(event.changes)
            case store_tasks.StoreCallFailed():
                self._source.record_store_failure(event.failure)
            case store_tasks.WriteFinished():
                self._store_writer.record_result(event)
            case peer_client.PeerRequestAnswered():
                now = time.monotonic()
                _, asked_at = self._pending.pop(event.number, ("", now))
                self._source.record_response(event.number)
                document = self._merge_sync_message(
                    event.address, event.payload, asked_at
                )
                self._limit_sync.record_response(event.number, document, now)
                self._crash_sync.record_response(event.number, now)
                self.part.record_response(event.number)
            case peer_client.PeerRequestFailed():
                now = time.monotonic()
                name, _ = self._pending.pop(event.number, ("", now))
                self._watchers.record_unreachable(name, now)
                self._source.record_failure(event.number)
                self._limit_sync.record_failure(event.number, now)
                self._crash_sync.record_failure(event.number)
                self.part.record_failure(event.number)

    def _handle_contents(self, is_restored: bool) -> None:
        """Notes a restore of the store, and what it asks of this node."""
        if not is_restored:
            return
        self._source.recovered_at = time.monotonic()
        # Nodes that have lost their entries do not all write at once.
        delay_s = self._rng.uniform(0.0, REGISTRATION_SPREAD_S)
        self._loop.call_later(delay_s, self._store_writer.register_node)

    def send_permit_requests(self) -> None:
        """Asks other nodes for the permits that requests wait for."""
        for request in self._router.permit_loans.take_requests():
            number = self.send_sync_request(
                request.owner, limit_messages.encode_request(request)
            )
            self._limit_sync.record_request(number, request)

    def spread_news(self) -> None:
        """Tells other nodes about crashes without waiting for their turn.

        Each second in which they do not know may cost an upstream.
        """
        if self._news_timer is None:
            self._news_timer = self._loop.call_later(
                NEWS_DELAY_S, self._send_news
            )

    def _send_news(self) -> None:
        self._news_timer = None
        if not self._router.part_quarantine.crash_log.take_news():
            return
        now = time.monotonic()
        nodes = self._router.nodes
        for _ in range(NEWS_FANOUT):
            name = self._watchers.choose_watcher(nodes, now)
            if name is None:
                name = self._watchers.choose_gossip_peer(
                    nodes, self._source.compute_age_s(now), now
                )
            self.send_sync_request(name)

    def send_sync_request(
        self, name: str | None, parts: Mapping[str, Any] = NO_PARTS
    ) -> int | None:
        """Sends a sync request to another node; returns its number.

        Args:
            name: Name of the node; `None` for none.
            parts: Further parts of the message.
        """
        if name is None or self._peer_client is None:
            return None
        self._last_request += 1
        now = time.monotonic()
        self._pending[self._last_request] = name, now
        address = self._router.nodes[name].peer_address
        # A permit that is lent twice is used once.
        may_repeat = not parts
        parts = {**parts, **self._crash_sync.export_request(address, now)}
        self._crash_sync.record_request(self._last_request, now)
        self._peer_client.send_request(
            self._last_request,
            address,
            self._build_sync_message(address, None, parts),
            may_repeat,
        )
        return self._last_request

    def _build_sync_message(
        self,
        address: str,
        since: mirror.Position | None,
        parts: Mapping[str, Any],
    ) -> bytes:
        """Encodes this node's state for the node at an address.

        Args:
            address: Address of the node.
            since: Position after which it needs the entries of the store;
                `None` if it needs none.
            parts: Further parts of the message.
        """
        now = time.monotonic()
        delta = None if since is None else self._mirror.build_delta_for(since)
        document = {
            "since": self._mirror.revision,
            "era": self._mirror.era,
            "age_s": self._source.compute_age_s(now),
            "followed_s": self._source.compute_followed_s(now),
            "store_back_s": min(
                state_source.MAX_AGE_S, now - self._source.recovered_at
            ),
            **rollout_messages.export(self._router.rollouts, now),
            "poison": self._router.quarantine.export(now),
            "sound": self._router.quarantine.export_completions(now),
            **self._limit_sync.export(address, now),
            **self.part.export(),
            **parts,
            **mirror_messages.encode_delta(delta),
        }
        return peer_messages.encode(document)

    def _read_position(self, document: Mapping[str, Any]) -> mirror.Position:
        """Returns how far another node knows the changes of the store."""
        since, era = document.get("since"), document.get("era")
        return mirror.Position(
            # Nodes of an older version know no eras.
            era if isinstance(era, int) else self._mirror.era,
            since if isinstance(since, int) else 0,
        )

    def _merge_sync_message(
        self, address: str, payload: bytes, asked_at: float | None
    ) -> dict[str, Any]:
        """Merges a sync message of another node and returns its document.

        Args:
            address: Address of the node.
            payload: The encoded message.
            asked_at: When it was asked for; `None` for a request, which need
                not have all changes that this node lacks.
        """
        now = time.monotonic()
        document = peer_messages.decode(payload)
        if not document:
            self._telemetry.record_state_change(
                f"peer={address}", "invalid sync message", "sync"
            )
            return document
        try:
            rollout_messages.merge(self._router.rollouts, document, now)
            self._router.quarantine.merge_completions(
                document.get("sound", {}), now
            )
            self._router.quarantine.merge(document.get("poison", {}), now)
            is_current = document.get("era", 0) >= self._mirror.era
            if asked_at is not None and is_current:
                # The other node stated its age after it was asked.
                age_s = float(document["age_s"])
                self._source.record_fresh(asked_at - age_s)
                # Nodes of an older version do not state it.
                followed_s = float(document.get("followed_s", 0.0))
                self._source.record_followed(followed_s, age_s, asked_at)
            # Entries may have expired while the other node had no connection
            # to the store. A loss that only this node sees proves nothing.
            back_at = now - float(document["store_back_s"])
            self._router.directory.record_store_recovery(back_at)
            self._limit_sync.merge(document, now)
            self._crash_sync.merge(document, now)
            self.part.merge(address, document)
            delta = mirror_messages.decode_delta(document)
            if delta is not None:
                self._handle_contents(
                    self._contents.merge(delta, f"peer {address}")
                )
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            self._telemetry.record_state_change(
                f"peer={address}", f"invalid sync message: {error!r}", "sync"
            )
            return document
        self.spread_news()
        return document
