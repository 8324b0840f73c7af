"""Chooses where a node gets the changes of the store from, and how old it is.

A node watches the store itself or follows a node that does. Its age is the time
since it last knew that it had all changes: an answer of the store shows so, and
a response of another node as far as that node knows. Silence proves nothing.
"""

import asyncio
from collections.abc import Callable
import random
import time

from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import failures
from sycamorehollow.settings import gateway
from sycamorehollow.shells.gateway import store_tasks
from sycamorehollow.shells.gateway import telemetry

# Interval of the requests to a peer that is followed instead of the store.
FOLLOW_INTERVAL_S = 0.3
# Time without a response after which another watcher is asked as well.
SECOND_REQUEST_DELAY_S = 0.4
# Entries of live upstreams expire after three heartbeats without a renewal, the
# first of which may have been due just before an outage of the store. In less
# than this many heartbeats without an answer none expires.
LAPSE_HEARTBEATS = 1.5
# Upper bound of ages in messages, as JSON has no infinity.
MAX_AGE_S = 1e6

# Sends a request to the node of a name; returns its number, or `None`.
SendRequest = Callable[[str | None], int | None]


class StateSource:
    """Follows the store, or the nodes that watch it.

    Runs in the event loop of the gateway.

    Args:
        settings: Settings of the process.
        router: Holds the nodes and the upstreams.
        telemetry_sink: Records every change.
        rng: Randomises the choice of nodes.
        send_request: Asks another node for its state.

    Attributes:
        store_lost: Whether the latest call of the store has failed.
        has_listing: Whether the store has given all values once.
        recovered_at: When the store was last back after an outage.
    """

    def __init__(
        self,
        settings: gateway.Settings,
        router: routers.Router,
        telemetry_sink: telemetry.Telemetry,
        rng: random.Random,
        send_request: SendRequest,
    ):
        self.store_lost = False
        self.has_listing = False
        self.recovered_at = float("-inf")
        self._router = router
        self._watchers = router.watchers
        self._telemetry = telemetry_sink
        self._rng = rng
        self._send_request = send_request
        # When the store was back, and when it was lost, until another node
        # tells that it was not away.
        self._outage: tuple[float, float] | None = None
        self._followed_since = float("inf")
        self._lapse_s = LAPSE_HEARTBEATS * settings.heartbeat_s
        self._loop = asyncio.get_running_loop()
        self._watch_task: store_tasks.WatchTask | None = None
        # Watchers that have not responded yet, by the number of the request.
        self._asked: dict[int, str] = {}
        self._timer: asyncio.TimerHandle | None = None

    def set_watch_task(self, task: store_tasks.WatchTask) -> None:
        """Sets the task that watches the store."""
        self._watch_task = task

    def compute_age_s(self, now: float) -> float:
        """Returns the time since the node knew that it had all changes."""
        return min(MAX_AGE_S, self._watchers.compute_age_s(now))

    def record_store_answer(self, as_of: float) -> None:
        """Records an answer of the store with all changes until `as_of`."""
        now = time.monotonic()
        age_s = self.compute_age_s(now)
        if self.store_lost or not self.has_listing:
            self._telemetry.log_event(
                "store available, state {:.1f} s old", age_s
            )
        self.record_fresh(as_of)
        if self.store_lost and age_s >= self._lapse_s:
            self.record_recovery(now)
            self._ask_for_outage(now, now - age_s)
        self.store_lost = False
        self.has_listing = True

    def record_store_failure(self, failure: failures.Failure) -> None:
        """Records a call of the store that failed or was not answered."""
        if not self.store_lost:
            self._telemetry.log_event(
                "store lost: {} ({}), state {:.1f} s old",
                failure.code,
                failure.reason,
                self.compute_age_s(time.monotonic()),
            )
        self.store_lost = True

    def record_fresh(self, as_of: float) -> None:
        """Records that the node has all changes until `as_of`."""
        now = time.monotonic()
        if as_of - (now - self._watchers.compute_age_s(now)) >= self._lapse_s:
            self._followed_since = as_of
        self._watchers.record_fresh(as_of)

    def compute_followed_s(self, now: float) -> float:
        """Returns for how long no entry can have expired unseen."""
        return min(MAX_AGE_S, max(0.0, now - self._followed_since))

    def _ask_for_outage(self, now: float, lost_at: float) -> None:
        """Asks a node whether it has lost the store as well."""
        self._outage = now, lost_at
        self._send_request(
            self._watchers.choose_gossip_peer(
                self._router.nodes, MAX_AGE_S, now
            )
        )

    def record_followed(
        self, followed_s: float, age_s: float, asked_at: float
    ) -> None:
        """Records for how long another node has followed the store.

        If it did while this node could not, the store was not away, and what
        was removed meanwhile has not just expired.

        Args:
            followed_s: Time for which it has, until now.
            age_s: Age of its state.
            asked_at: When it was asked.
        """
        if self._outage is None or age_s >= self._lapse_s:
            return
        recovered_at, lost_at = self._outage
        if asked_at < recovered_at or asked_at - followed_s > lost_at:
            return
        self._outage = None
        self._router.directory.retract_store_recovery(recovered_at)
        self._telemetry.record_state_change(
            "store", "was not away, removals count at once", "another node"
        )

    def record_recovery(self, now: float) -> None:
        """Records that the store is back after an outage."""
        self.recovered_at = now
        self._router.directory.record_store_recovery(now)

    def record_response(self, number: int) -> None:
        """Records the response to a request, also to one of another kind."""
        if self._asked.pop(number, None) is None:
            return
        # A second response would repeat the one that has arrived.
        self._asked.clear()
        self._schedule(FOLLOW_INTERVAL_S)

    def record_failure(self, number: int) -> None:
        """Records a request that got no response."""
        if self._asked.pop(number, None) is not None and not self._asked:
            self._schedule(0.0)

    def choose(self, now: float) -> None:
        """Chooses between watching the store and following a peer."""
        if self._watch_task is None or not self.has_listing:
            return
        active = self._watchers.should_watch(self._router.nodes, now)
        if active != self._watch_task.active:
            self._watch_task.active = active
            # A follower does not call the store and cannot detect its loss.
            self.store_lost = self.store_lost and active
            self._telemetry.record_state_change(
                "store",
                "watched directly" if active else "followed through a peer",
                f"age {self.compute_age_s(now):.1f} s",
            )
        if self._timer is None and not self._asked:
            self._follow()

    def _schedule(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._follow)

    def _follow(self) -> None:
        """Asks a watcher, or another one beside those that were asked."""
        self._timer = None
        now = time.monotonic()
        name = self._watchers.choose_watcher(
            self._router.nodes, now, set(self._asked.values())
        )
        number = self._send_request(name)
        if number is None or name is None:
            return
        self._asked[number] = name
        if len(self._asked) == 1:
            self._schedule(SECOND_REQUEST_DELAY_S)
