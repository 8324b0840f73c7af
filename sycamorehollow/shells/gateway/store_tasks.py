"""Threads that watch the platform's store and write to it."""

from collections.abc import Callable
import dataclasses
import queue
import random
import time

import loguru

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import stores
from sycamorehollow.shells import tasks
from sycamorehollow.shells.gateway import store_codec

# Longest wait of one watch, which also bounds the time until a store that does
# not respond is noticed.
WATCH_TIMEOUT_S = 12.0
# Changes within this time are fetched together, as each response is billed. It
# is a fraction of the seconds within which a change has to be in force.
BATCH_WINDOW_S = 0.4
# Time in which the event loop handles a delivered event.
APPLY_DELAY_S = 0.02
# Interval of the checks whether an inactive task has become active.
INACTIVE_POLL_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 1.5


@dataclasses.dataclass(frozen=True)
class StoreListed(events.Event):
    """All values of the store at a revision were read."""

    listing: stores.Listing


@dataclasses.dataclass(frozen=True)
class StoreChanged(events.Event):
    """The store has reported changes."""

    changes: stores.Changes


@dataclasses.dataclass(frozen=True)
class StoreCallFailed(events.Event):
    """A call of the store has failed."""

    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class WriteFinished(events.Event):
    """A write has succeeded or failed."""

    key: str
    result: stores.Written | stores.Conflict | stores.CallFailure


class WatchTask(tasks.Task):
    """Watches all changes of the store.

    Args:
        store: Client of the store.
        deliver: Receives the events; safe from any thread.
        get_position: Returns how far all changes are applied.
        rng: Randomises the backoff.

    Attributes:
        active: Whether to watch the store; a pending watch is completed first.
    """

    def __init__(
        self,
        store: stores.Store,
        deliver: Callable[[events.Event], None],
        get_position: Callable[[], mirror.Position],
        rng: random.Random,
    ):
        super().__init__("watch")
        self.active = True
        self._get_position = get_position
        self._store = store
        self._deliver = deliver
        self._rng = rng
        self._failures = 0

    def _wake(self) -> None:
        """Does nothing: a pending watch ends with the process."""

    def _run(self) -> None:
        while not self._stopping:
            try:
                self._follow()
            except Exception as error:
                # The store may send any response, and the watch has to
                # continue after an invalid one.
                loguru.logger.opt(exception=error).error("error in the watch")
                self._back_off(stores.InDoubt(f"unexpected {error!r}"))

    def _follow(self) -> None:
        """Reads all values, then watches their changes."""
        listed = False
        allow_stale = True
        relists = 0
        while not self._stopping:
            if not self.active:
                time.sleep(INACTIVE_POLL_INTERVAL_S)
                continue
            if not listed:
                listing = self._store.list_range("", allow_stale)
                if isinstance(listing, failures.Failure):
                    self._back_off(listing)
                    continue
                self._failures = 0
                self._deliver(StoreListed(listing))
                listed = True
                # The listing has to be applied before its revision is read.
                time.sleep(APPLY_DELAY_S)
            position = self._get_position()
            changes = self._store.watch("", position.revision, WATCH_TIMEOUT_S)
            if _needs_listing(changes, position):
                listed = False
                # A stale replica may lack the changes that the watch missed.
                allow_stale = False
                if relists:
                    pause_s = INITIAL_BACKOFF_S * 2 ** min(relists - 1, 8)
                    time.sleep(min(MAX_BACKOFF_S, pause_s))
                relists += 1
                continue
            if isinstance(changes, failures.Failure):
                self._back_off(changes)
                continue
            self._failures = 0
            relists = 0
            self._deliver(StoreChanged(changes))
            if changes.changes:
                time.sleep(BATCH_WINDOW_S)

    def _back_off(self, failure: failures.Failure) -> None:
        self._deliver(StoreCallFailed(failure))
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._failures)
        self._failures += 1
        time.sleep(pause_s * self._rng.uniform(0.7, 1.3))


def _needs_listing(
    changes: stores.Changes | stores.HistoryGone | stores.CallFailure,
    position: mirror.Position,
) -> bool:
    """Tells whether the result of a watch does not follow a position."""
    if isinstance(changes, stores.HistoryGone):
        return True
    if not isinstance(changes, stores.Changes) or changes.era is None:
        return False
    # A revision of an earlier era has another meaning in this one.
    return changes.era != position.era


@dataclasses.dataclass(frozen=True)
class Write:
    """A write on the condition that the key is at a revision."""

    item: store_codec.KeyValue
    expected_revision: int


class WriteTask(tasks.Task):
    """Executes writes in order.

    Args:
        store: Client of the store.
        deliver: Receives the events; safe from any thread.
    """

    def __init__(
        self, store: stores.Store, deliver: Callable[[events.Event], None]
    ):
        super().__init__("write")
        self._store = store
        self._deliver = deliver
        self._queue: queue.SimpleQueue[Write | None] = queue.SimpleQueue()

    def post(self, message: Write) -> None:
        """Queues a write."""
        self._queue.put(message)

    def _wake(self) -> None:
        self._queue.put(None)

    def _run(self) -> None:
        while not self._stopping:
            write = self._queue.get()
            if write is None:
                continue
            self._deliver(WriteFinished(write.item.key, self._write(write)))

    def _write(
        self, write: Write
    ) -> stores.Written | stores.Conflict | stores.CallFailure:
        item = write.item
        try:
            return self._store.write(
                item.key, item.value, write.expected_revision
            )
        except Exception as error:
            loguru.logger.opt(exception=error).error("error in a write")
            return stores.InDoubt(f"unexpected {error!r}")
