"""Keeps what a node knows current: from the store and from other nodes."""

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
from sycamorehollow.shells.gateway import peer_link
from sycamorehollow.shells.gateway import peer_news
from sycamorehollow.shells.gateway import rollout_news
from sycamorehollow.shells.gateway import store_codec
from sycamorehollow.shells.gateway import store_tasks
from sycamorehollow.shells.gateway import telemetry

# Time between exchanges of a watcher with another one. A finding takes some of
# them to reach all, which is a part of the seconds in which a faulty version
# has to be stopped everywhere.
SYNC_S = 0.5
# The same while the store is away and other nodes are the only source of news.
LOST_SYNC_S = 0.4
# Time between questions of a node that follows another instead of the store.
FOLLOW_S = 0.3
TICK_S = 0.25
# Nodes of lower rank act that much later, so that mostly one of them does.
RANK_DELAY_S = 0.4
WRITE_RETRY_S = 1.0
# Ages are cut off here, as infinity cannot be sent.
LONG_AGO_S = 1e6


class Knowledge:
    """Applies news to the router and hands it on to other nodes.

    Runs in the event loop of the gateway. Threads deliver their events by
    `deliver`.

    Args:
        settings: Settings of the process.
        router: What is kept current.
        codec: Reads and writes the values of the store.
        telemetry_sink: Takes every change.
        source: Source of randomness.
    """

    def __init__(
        self,
        settings: gateway.Settings,
        router: routers.Router,
        codec: store_codec.StoreCodec,
        telemetry_sink: telemetry.Telemetry,
        source: random.Random,
    ):
        self.settings = settings
        self._router = router
        self._codec = codec
        self._telemetry = telemetry_sink
        self._source = source
        self._mirror = mirror.Mirror()
        self._loop = asyncio.get_running_loop()
        self._store_lost = False
        self._listed = False
        self._writer: store_tasks.WriteTask | None = None
        self._writes: dict[str, float] = {}
        self._due: dict[str, tuple[str, float]] = {}
        self._peers: peer_link.PeerLink | None = None
        self._syncs = 0
        self._next_sync = 0.0
        self._next_follow = 0.0
        self._asked: dict[int, str] = {}
        self._followed: int | None = None
        self._watchers = watchers.Watchers(
            settings.node, settings.data_centre, source
        )
        self._own_node = watchers.Node(
            settings.peer_address, settings.data_centre, settings.link_mbps
        )
        self._watch: store_tasks.WatchTask | None = None
        self._store_back_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether enough is known to serve requests."""
        return self._router.table is not None and bool(
            self._router.directory.list_all()
        )

    def get_revision(self) -> int:
        """Returns the revision up to which all changes are known."""
        return self._mirror.revision

    def connect(
        self,
        watch: store_tasks.WatchTask,
        writer: store_tasks.WriteTask,
    ) -> None:
        """Sets the tasks that use the store."""
        self._watch = watch
        self._writer = writer

    def connect_peers(self, link: peer_link.PeerLink) -> None:
        """Sets what calls other nodes."""
        self._peers = link

    def deliver(self, event: events.Event) -> None:
        """Takes an event from any thread."""
        try:
            self._loop.call_soon_threadsafe(self._handle, event)
        except RuntimeError:
            # The loop has ended; nobody needs the news any more.
            return

    def answer_peer(
        self, address: str, payload: bytes
    ) -> "concurrent.futures.Future[bytes]":
        """Answers another node; called on the thread of the peers."""
        answer: concurrent.futures.Future[bytes] = concurrent.futures.Future()

        def reply() -> None:
            try:
                self._merge(address, payload, answered=False)
                since = peer_news.unpack(payload).get("since")
                known = since if isinstance(since, int) else 0
                answer.set_result(self._collect(known))
            except Exception as error:
                self._telemetry.log_error(f"question of {address}", error)
                answer.set_exception(error)

        self._loop.call_soon_threadsafe(reply)
        return answer

    def tick(self) -> list[str]:
        """Does what is due; returns the upstreams that were forgotten."""
        now = time.monotonic()
        for rollout in self._router.rollouts.judge(now):
            self._telemetry.record_state_change(
                f"rollout={rollout.order.service}",
                f"worse: {rollout.reason}",
                "own evidence",
            )
        for rollout in self._router.rollouts.list_all():
            self._state_rollout(rollout, now)
        if now >= self._next_sync:
            pause_s = LOST_SYNC_S if self._store_lost else SYNC_S
            self._next_sync = now + pause_s * self._source.uniform(0.8, 1.2)
            self._sync(
                self._watchers.choose_partner(
                    self._router.nodes, self._measure_age(now), now
                )
            )
        self._follow(now)
        return self._router.sweep(now)

    def _follow(self, now: float) -> None:
        """Follows the store or a node that does."""
        if self._watch is None or not self._listed:
            return
        nodes = self._router.nodes
        active = self._watchers.needs_watch(nodes, now)
        if active != self._watch.active:
            self._watch.active = active
            # A follower does not call the store, so it cannot have lost it.
            self._store_lost = self._store_lost and active
            self._telemetry.record_state_change(
                "store",
                "followed directly" if active else "followed by another node",
                f"age {self._watchers.measure_age(now):.1f} s",
            )
        if now < self._next_follow or self._followed in self._asked:
            # A second answer would repeat what is still on its way.
            return
        self._next_follow = now + FOLLOW_S
        self._followed = self._sync(self._watchers.choose_source(nodes, now))

    def _handle(self, event: events.Event) -> None:
        match event:
            case store_tasks.Listed():
                self._note_store_back()
                news = self._mirror.replace(
                    _convert(event.listing.items), event.listing.revision
                )
                self._apply(news, f"list {event.listing.revision}")
                self._register_node()
            case store_tasks.Watched():
                self._note_store_back()
                changes = [
                    mirror.Entry(c.key, c.value, c.revision)
                    for c in event.changes.changes
                ]
                news = self._mirror.apply(changes, event.changes.revision)
                self._apply(news, f"watch {event.changes.revision}")
            case store_tasks.StoreLost():
                self._note_store_lost(event.failure)
            case store_tasks.WriteEnded():
                self._note_written(event)
            case peer_link.PeerAnswered():
                self._asked.pop(event.number, None)
                self._merge(event.address, event.payload, answered=True)
            case peer_link.PeerSilent():
                name = self._asked.pop(event.number, "")
                self._watchers.note_unreachable(name, time.monotonic())

    def _apply(self, news: list[mirror.Entry], source: str) -> None:
        for entry in news:
            try:
                self._apply_entry(entry, f"{source} at {entry.revision}")
            except Exception as error:
                # The copy has the entry already, so it does not come again;
                # the entries after it must not be lost with it.
                self._telemetry.log_error(f"entry={entry.key}", error)

    def _apply_entry(self, entry: mirror.Entry, source: str) -> None:
        now = time.monotonic()
        for update in self._codec.decode(entry):
            for change in self._router.handle(update, now):
                self._telemetry.record_state_change(
                    change.subject, change.outcome, source
                )

    def _note_store_back(self) -> None:
        if self._store_lost or not self._listed:
            self._telemetry.log_event("store regained")
        now = time.monotonic()
        self._watchers.note_fresh(now)
        if self._store_lost:
            self._store_back_at = now
            self._router.directory.record_store_recovery(now)
        self._store_lost = False
        self._listed = True

    def _note_store_lost(self, failure: failures.Failure) -> None:
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
        """Writes a value unless the same key is being written."""
        now = time.monotonic()
        if self._writer is None or now < self._writes.get(item.key, 0.0):
            return
        self._writes[item.key] = now + 4 * WRITE_RETRY_S
        expect = self._mirror.get_revision(item.key)
        self._writer.post(store_tasks.Write(item, expect))

    def _note_written(self, event: store_tasks.WriteEnded) -> None:
        self._writes[event.key] = time.monotonic() + WRITE_RETRY_S
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
            self._loop.call_later(WRITE_RETRY_S, self._register_node)

    def _state_rollout(
        self, rollout: rollout_records.Rollout, now: float
    ) -> None:
        """Writes how far a roll-out has come, if it is this node's turn."""
        service = rollout.order.service
        state = self._router.rollouts.find_due_state(service, now)
        if state is None:
            self._due.pop(service, None)
            return
        known, since = self._due.get(service, ("", now))
        if known != state.value:
            self._due[service] = (state.value, now)
            since = now
        if now - since < self._find_rank(service) * RANK_DELAY_S:
            return
        self._write(
            self._codec.encode_status(service, rollout.order.target, state)
        )

    def _find_rank(self, service: str) -> int:
        """Returns the place of this node among those that may write."""
        names = sorted(
            {*self._router.nodes, self.settings.node},
            key=lambda name: zlib.crc32(f"{service}|{name}".encode()),
        )
        return names.index(self.settings.node)

    def _sync(self, name: str | None) -> int | None:
        """Asks another node for news; returns the number of the question."""
        if name is None or self._peers is None:
            return None
        self._syncs += 1
        self._asked[self._syncs] = name
        address = self._router.nodes[name].peer_address
        self._peers.ask(self._syncs, address, self._collect(None))
        return self._syncs

    def _collect(self, since: int | None) -> bytes:
        """Returns what is known here, with changes after a revision."""
        now = time.monotonic()
        document = {
            "since": self._mirror.revision,
            "age_s": self._measure_age(now),
            "store_back_s": min(LONG_AGO_S, now - self._store_back_at),
            **rollout_news.collect(self._router.rollouts, now),
            "poison": self._router.poison.export(now),
            "sound": self._router.poison.export_sound(now),
        }
        delta = None if since is None else self._mirror.collect(since)
        if delta is not None:
            document["delta"] = {
                "entries": [
                    [e.key, e.value, e.revision] for e in delta.entries
                ],
                "revision": delta.revision,
                "whole": delta.whole,
            }
        return peer_news.pack(document)

    def _measure_age(self, now: float) -> float:
        """Returns the age of what is known, in seconds."""
        watching = self._watch is not None and self._watch.active
        if watching and self._listed and not self._store_lost:
            return 0.0
        return min(LONG_AGO_S, self._watchers.measure_age(now))

    def _merge(self, address: str, payload: bytes, answered: bool) -> None:
        """Takes what another node knows.

        Args:
            address: Address of the node.
            payload: What it sent.
            answered: Whether it was asked for all changes since a revision.
        """
        now = time.monotonic()
        document = peer_news.unpack(payload)
        if not document:
            self._telemetry.record_state_change(
                f"peer={address}", "unreadable news", "sync"
            )
            return
        try:
            rollout_news.merge(self._router.rollouts, document, now)
            self._router.poison.merge_sound(document.get("sound", {}), now)
            self._router.poison.merge(document.get("poison", {}), now)
            if answered:
                self._watchers.note_fresh(now - float(document["age_s"]))
            # Entries may have lapsed while the store was away from the other
            # node; that it is away from this one alone tells nothing.
            back_at = now - float(document["store_back_s"])
            self._router.directory.record_store_recovery(back_at)
            delta = document.get("delta")
            if delta is None:
                return
            entries = tuple(mirror.Entry(*e) for e in delta["entries"])
            news = self._mirror.merge(
                mirror.Delta(entries, delta["revision"], delta["whole"])
            )
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            self._telemetry.record_state_change(
                f"peer={address}", f"unreadable news: {error!r}", "sync"
            )
            return
        self._apply(news, f"peer {address}")


def _convert(items: tuple[stores.Found, ...]) -> list[mirror.Entry]:
    return [mirror.Entry(i.key, i.value, i.revision) for i in items]
