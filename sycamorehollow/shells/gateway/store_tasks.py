"""Threads that talk to the platform's store."""

from collections.abc import Callable
import dataclasses
import queue
import random
import time

import loguru

from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import stores
from sycamorehollow.shells import tasks
from sycamorehollow.shells.gateway import store_codec

# Longest wait of one watch in seconds; a watch that a silent store never
# answers is noticed after it.
WATCH_TIMEOUT_S = 12.0
# Changes within this time are fetched together, as each answer is priced. It
# is a small part of the seconds in which a change has to be in force.
BATCH_WINDOW_S = 0.4
# Time in which the event loop has taken an event.
APPLY_DELAY_S = 0.02
# Time between looks at whether to follow the store.
INACTIVE_POLL_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 1.5


@dataclasses.dataclass(frozen=True)
class StoreListed(events.Event):
    """All values of the store at a revision."""

    listing: stores.Listing


@dataclasses.dataclass(frozen=True)
class StoreChanged(events.Event):
    """Changes since the last report."""

    changes: stores.Changes


@dataclasses.dataclass(frozen=True)
class StoreCallFailed(events.Event):
    """A call has failed."""

    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class WriteFinished(events.Event):
    """A write was made or has failed."""

    key: str
    result: stores.Written | stores.Conflict | stores.CallFailure


class WatchTask(tasks.Task):
    """Follows all changes of the store.

    Args:
        store: Client of the store.
        deliver: Takes events; safe from any thread.
        get_revision: Returns the revision up to which all changes are known.
        rng: Randomises the pauses.

    Attributes:
        active: Whether to follow the store; a pending watch ends first.
    """

    def __init__(
        self,
        store: stores.Store,
        deliver: Callable[[events.Event], None],
        get_revision: Callable[[], int],
        rng: random.Random,
    ):
        super().__init__("watch")
        self.active = True
        self._get_revision = get_revision
        self._store = store
        self._deliver = deliver
        self._rng = rng
        self._failures = 0

    def _wake(self) -> None:
        """The thread ends with its process; a pending watch is not cut."""

    def _run(self) -> None:
        while not self._stopping:
            try:
                self._follow()
            except Exception as error:
                # The store may send anything; the node needs its news later.
                loguru.logger.opt(exception=error).error("fault in the watch")
                self._back_off(stores.InDoubt(f"unexpected {error!r}"))

    def _follow(self) -> None:
        """Lists all values and follows their changes."""
        listed = False
        allow_stale = True
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
                # The listing is applied before its revision is asked for.
                time.sleep(APPLY_DELAY_S)
            after = self._get_revision()
            changes = self._store.watch("", after, WATCH_TIMEOUT_S)
            if isinstance(changes, stores.HistoryGone):
                listed = False
                # A late copy may lack what the watch has missed.
                allow_stale = False
                continue
            if isinstance(changes, failures.Failure):
                self._back_off(changes)
                continue
            self._failures = 0
            self._deliver(StoreChanged(changes))
            if changes.changes:
                time.sleep(BATCH_WINDOW_S)

    def _back_off(self, failure: failures.Failure) -> None:
        self._deliver(StoreCallFailed(failure))
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._failures)
        self._failures += 1
        time.sleep(pause_s * self._rng.uniform(0.7, 1.3))


@dataclasses.dataclass(frozen=True)
class Write:
    """A write under the condition that the key is at a revision."""

    item: store_codec.KeyValue
    expected_revision: int


class WriteTask(tasks.Task):
    """Makes writes one after the other.

    Args:
        store: Client of the store.
        deliver: Takes events; safe from any thread.
    """

    def __init__(
        self, store: stores.Store, deliver: Callable[[events.Event], None]
    ):
        super().__init__("write")
        self._store = store
        self._deliver = deliver
        self._queue: queue.SimpleQueue[Write | None] = queue.SimpleQueue()

    def post(self, message: Write) -> None:
        """Adds a write."""
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
            loguru.logger.opt(exception=error).error("fault in a write")
            return stores.InDoubt(f"unexpected {error!r}")
