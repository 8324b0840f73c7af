"""Synchronises the state of a node with the store and with other nodes."""

import asyncio
import concurrent.futures
import random
import time
import zlib

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import rollout_records
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.settings import gateway
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import peer_client
from sycamorehollow.shells.gateway import peer_messages
from sycamorehollow.shells.gateway import rollout_messages
from sycamorehollow.shells.gateway import store_codec
from sycamorehollow.shells.gateway import store_tasks
from sycamorehollow.shells.gateway import telemetry

# Interval of the gossip between nodes that watch the store. A report takes some
# rounds to reach all nodes, and a faulty version has to be stopped on all of
# them within seconds.
SYNC_INTERVAL_S = 0.5
# The same while the store is unavailable and only peers provide updates.
STORE_LOST_SYNC_INTERVAL_S = 0.4
# Interval of the requests to a peer that is followed instead of the store.
FOLLOW_INTERVAL_S = 0.3
PERIODIC_WORK_INTERVAL_S = 0.25
# Delay of a status write per rank, so that mostly one node writes it.
WRITE_DELAY_PER_RANK_S = 0.4
WRITE_RETRY_DELAY_S = 1.0
# Upper bound of ages in messages, as JSON has no infinity.
MAX_AGE_S = 1e6


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
        self._mirror = mirror.Mirror()
        self._loop = asyncio.get_running_loop()
        self._store_lost = False
        self._has_listing = False
        self._write_task: store_tasks.WriteTask | None = None
        self._next_write_at: dict[str, float] = {}
        self._due_states: dict[str, tuple[str, float]] = {}
        self._peer_client: peer_client.PeerClient | None = None
        self._last_request = 0
        self._next_sync_at = 0.0
        self._next_follow_at = 0.0
        self._pending: dict[int, str] = {}
        self._follow_request: int | None = None
        self._watchers = watchers.Watchers(
            settings.node, settings.data_centre, rng
        )
        self._own_node = watchers.Node(
            settings.peer_address, settings.data_centre, settings.link_mbps
        )
        self._watch_task: store_tasks.WatchTask | None = None
        self._store_recovered_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether the node has routes and upstreams to serve requests."""
        return self._router.route_table is not None and bool(
            self._router.directory.list_all()
        )

    def get_revision(self) -> int:
        """Returns the revision up to which all changes are applied."""
        return self._mirror.revision

    def set_store_tasks(
        self,
        watch: store_tasks.WatchTask,
        write: store_tasks.WriteTask,
    ) -> None:
        """Sets the tasks that call the store."""
        self._watch_task = watch
        self._write_task = write

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
                self._merge_sync_message(address, payload, is_response=False)
                since = peer_messages.decode(payload).get("since")
                known = since if isinstance(since, int) else 0
                response.set_result(self._build_sync_message(known))
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
            self._write_rollout_status(rollout, now)
        if now >= self._next_sync_at:
            pause_s = (
                STORE_LOST_SYNC_INTERVAL_S
                if self._store_lost
                else SYNC_INTERVAL_S
            )
            self._next_sync_at = now + pause_s * self._rng.uniform(0.8, 1.2)
            self._send_sync_request(
                self._watchers.choose_gossip_peer(
                    self._router.nodes, self._compute_staleness_s(now), now
                )
            )
        self._choose_state_source(now)
        self._record_limits(now)
        return self._router.evict_expired(now)

    def _record_limits(self, now: float) -> None:
        """Records the changed request limits of upstreams."""
        limits = self._router.stated_limits
        for statement in limits.take_changes():
            outcome = f"states limit_per_s={statement.requests_per_s}"
            if statement.requests_per_s is None:
                outcome = f"ends limit_per_s={statement.previous_per_s}"
            self._telemetry.record_state_change(
                f"upstream={statement.incarnation[0]}",
                f"{outcome} age_s={now - statement.seen_at:.3f}",
                f"response to {statement.origin}",
            )
        self._telemetry.set_limited_upstreams(limits.count_limited())

    def _choose_state_source(self, now: float) -> None:
        """Chooses between watching the store and following a peer."""
        if self._watch_task is None or not self._has_listing:
            return
        nodes = self._router.nodes
        active = self._watchers.should_watch(nodes, now)
        if active != self._watch_task.active:
            self._watch_task.active = active
            # A follower does not call the store and cannot detect its loss.
            self._store_lost = self._store_lost and active
            self._telemetry.record_state_change(
                "store",
                "watched directly" if active else "followed through a peer",
                f"age {self._watchers.compute_age_s(now):.1f} s",
            )
        if now < self._next_follow_at or self._follow_request in self._pending:
            # A second response would repeat the one that is still pending.
            return
        self._next_follow_at = now + FOLLOW_INTERVAL_S
        self._follow_request = self._send_sync_request(
            self._watchers.choose_watcher(nodes, now)
        )

    def _handle(self, event: events.Event) -> None:
        match event:
            case store_tasks.StoreListed():
                self._record_store_success()
                updates = self._mirror.replace(
                    _convert(event.listing.items), event.listing.revision
                )
                self._apply(updates, f"list {event.listing.revision}")
                self._register_node()
            case store_tasks.StoreChanged():
                self._record_store_success()
                changes = [
                    mirror.Entry(c.key, c.value, c.revision)
                    for c in event.changes.changes
                ]
                updates = self._mirror.apply(changes, event.changes.revision)
                self._apply(updates, f"watch {event.changes.revision}")
            case store_tasks.StoreCallFailed():
                self._record_store_failure(event.failure)
            case store_tasks.WriteFinished():
                self._record_write(event)
            case peer_client.PeerRequestAnswered():
                self._pending.pop(event.number, None)
                self._merge_sync_message(
                    event.address, event.payload, is_response=True
                )
            case peer_client.PeerRequestFailed():
                name = self._pending.pop(event.number, "")
                self._watchers.record_unreachable(name, time.monotonic())

    def _apply(self, updates: list[mirror.Entry], source: str) -> None:
        for entry in updates:
            try:
                self._apply_entry(entry, f"{source} at {entry.revision}")
            except Exception as error:
                # The mirror already has this entry, so it is not delivered
                # again. The entries after it still have to be applied.
                self._telemetry.log_error(f"entry={entry.key}", error)

    def _apply_entry(self, entry: mirror.Entry, source: str) -> None:
        now = time.monotonic()
        for update in self._codec.decode(entry):
            for change in self._router.apply_event(update, now):
                self._telemetry.record_state_change(
                    change.subject, change.outcome, source
                )

    def _record_store_success(self) -> None:
        if self._store_lost or not self._has_listing:
            self._telemetry.log_event("store available")
        now = time.monotonic()
        self._watchers.record_fresh(now)
        if self._store_lost:
            self._store_recovered_at = now
            self._router.directory.record_store_recovery(now)
        self._store_lost = False
        self._has_listing = True

    def _record_store_failure(self, failure: failures.Failure) -> None:
        if not self._store_lost:
            self._telemetry.log_event(
                "store lost: {} ({})", failure.code, failure.reason
            )
        self._store_lost = True

    def _register_node(self) -> None:
        item = self._codec.encode_node(self.settings.node, self._own_node)
        known = self._router.nodes.get(self.settings.node)
        if known != self._own_node:
            self._write(item)

    def _write(self, item: store_codec.KeyValue) -> None:
        """Writes a value unless a write of its key is pending."""
        now = time.monotonic()
        if self._write_task is None or now < self._next_write_at.get(
            item.key, 0.0
        ):
            return
        self._next_write_at[item.key] = now + 4 * WRITE_RETRY_DELAY_S
        revision = self._mirror.get_revision(item.key)
        self._write_task.post(store_tasks.Write(item, revision))

    def _record_write(self, event: store_tasks.WriteFinished) -> None:
        self._next_write_at[event.key] = time.monotonic() + WRITE_RETRY_DELAY_S
        outcome = "written"
        if isinstance(event.result, failures.Failure):
            outcome = f"{event.result.code}: {event.result.reason}"
        self._telemetry.record_state_change(
            f"key={event.key}", outcome, "own write"
        )
        own = self.settings.node
        if isinstance(event.result, stores.CallFailure) and event.key.endswith(
            own
        ):
            self._loop.call_later(WRITE_RETRY_DELAY_S, self._register_node)

    def _write_rollout_status(
        self, rollout: rollout_records.Rollout, now: float
    ) -> None:
        """Writes the status of a roll-out after this node's rank delay."""
        service = rollout.order.service
        state = self._router.rollouts.find_due_state(service, now)
        if state is None:
            self._due_states.pop(service, None)
            return
        known, since = self._due_states.get(service, ("", now))
        if known != state.value:
            self._due_states[service] = (state.value, now)
            since = now
        if now - since < self._compute_rank(service) * WRITE_DELAY_PER_RANK_S:
            return
        self._write(
            self._codec.encode_status(service, rollout.order.target, state)
        )

    def _compute_rank(self, service: str) -> int:
        """Returns this node's position in the order of writers."""
        names = sorted(
            {*self._router.nodes, self.settings.node},
            key=lambda name: zlib.crc32(f"{service}|{name}".encode()),
        )
        return names.index(self.settings.node)

    def _send_sync_request(self, name: str | None) -> int | None:
        """Sends a sync request to another node; returns its number."""
        if name is None or self._peer_client is None:
            return None
        self._last_request += 1
        self._pending[self._last_request] = name
        address = self._router.nodes[name].peer_address
        self._peer_client.send_request(
            self._last_request, address, self._build_sync_message(None)
        )
        return self._last_request

    def _build_sync_message(self, since: int | None) -> bytes:
        """Encodes this node's state, with the entries after a revision."""
        now = time.monotonic()
        document = {
            "since": self._mirror.revision,
            "age_s": self._compute_staleness_s(now),
            "store_back_s": min(MAX_AGE_S, now - self._store_recovered_at),
            **rollout_messages.export(self._router.rollouts, now),
            "poison": self._router.quarantine.export(now),
            "sound": self._router.quarantine.export_completions(now),
        }
        delta = None if since is None else self._mirror.build_delta(since)
        if delta is not None:
            document["delta"] = {
                "entries": [
                    [e.key, e.value, e.revision] for e in delta.entries
                ],
                "revision": delta.revision,
                "whole": delta.is_snapshot,
            }
        return peer_messages.encode(document)

    def _compute_staleness_s(self, now: float) -> float:
        """Returns the age of this node's copy of the store."""
        is_watching = self._watch_task is not None and self._watch_task.active
        if is_watching and self._has_listing and not self._store_lost:
            return 0.0
        return min(MAX_AGE_S, self._watchers.compute_age_s(now))

    def _merge_sync_message(
        self, address: str, payload: bytes, is_response: bool
    ) -> None:
        """Merges a sync message of another node.

        Args:
            address: Address of the node.
            payload: The encoded message.
            is_response: Whether it is the response to a request, and so has all
                changes since the requested revision.
        """
        now = time.monotonic()
        document = peer_messages.decode(payload)
        if not document:
            self._telemetry.record_state_change(
                f"peer={address}", "invalid sync message", "sync"
            )
            return
        try:
            rollout_messages.merge(self._router.rollouts, document, now)
            self._router.quarantine.merge_completions(
                document.get("sound", {}), now
            )
            self._router.quarantine.merge(document.get("poison", {}), now)
            if is_response:
                self._watchers.record_fresh(now - float(document["age_s"]))
            # Entries may have expired while the other node had no connection
            # to the store. A loss that only this node sees proves nothing.
            back_at = now - float(document["store_back_s"])
            self._router.directory.record_store_recovery(back_at)
            delta = document.get("delta")
            if delta is None:
                return
            entries = tuple(mirror.Entry(*e) for e in delta["entries"])
            updates = self._mirror.merge(
                mirror.Delta(entries, delta["revision"], delta["whole"])
            )
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            self._telemetry.record_state_change(
                f"peer={address}", f"invalid sync message: {error!r}", "sync"
            )
            return
        self._apply(updates, f"peer {address}")


def _convert(items: tuple[stores.Found, ...]) -> list[mirror.Entry]:
    return [mirror.Entry(i.key, i.value, i.revision) for i in items]
