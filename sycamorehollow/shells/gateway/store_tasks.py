"""Threads that watch the platform's store and write to it."""

from collections.abc import Callable
import dataclasses
import queue
import random
import time

import loguru

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import watch_pacing
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import stores
from sycamorehollow.shells import tasks
from sycamorehollow.shells.gateway import overdue_calls
from sycamorehollow.shells.gateway import store_codec

# Changes within this time are fetched together, as each response is billed. It
# is a fraction of the seconds within which a change has to be in force.
BATCH_WINDOW_S = 0.4
# Time in which the event loop handles a delivered event.
APPLY_DELAY_S = 0.02
# Interval of the checks whether an inactive task has become active.
INACTIVE_POLL_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 1.5
# A connection that falls silent says nothing against the store, so the next
# call follows at once; nodes that lose theirs together differ by up to this.
SILENCE_SPREAD_S = 0.1

# Time until which all changes are included, if it is not known.
_UNKNOWN = float("-inf")

_Result = (
    stores.Listing | stores.Changes | stores.HistoryGone | stores.CallFailure
)


@dataclasses.dataclass(frozen=True)
class StoreListed(events.Event):
    """All values of the store at a revision were read.

    Attributes:
        as_of: Monotonic time until which all changes are included.
    """

    listing: stores.Listing
    as_of: float


@dataclasses.dataclass(frozen=True)
class StoreChanged(events.Event):
    """The store has reported changes; `as_of` as in `StoreListed`."""

    changes: stores.Changes
    as_of: float


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
        self._has_listing = False
        self._pacing = watch_pacing.WatchPacing()
        self._calls = overdue_calls.OverdueCalls()

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
        self._has_listing = False
        allow_stale = True
        relists = 0
        while not self._stopping:
            if not self.active:
                time.sleep(INACTIVE_POLL_INTERVAL_S)
                continue
            if not self._has_listing:
                if self._list(allow_stale):
                    # It has to be applied before its revision is read.
                    time.sleep(APPLY_DELAY_S)
                continue
            position = self._get_position()
            changes = self._watch(position.revision)
            if _needs_listing(changes, position):
                self._has_listing = False
                # A stale replica may lack the changes that the watch missed.
                allow_stale = False
                if relists:
                    pause_s = INITIAL_BACKOFF_S * 2 ** min(relists - 1, 8)
                    time.sleep(min(MAX_BACKOFF_S, pause_s))
                relists += 1
                continue
            if not isinstance(changes, stores.Changes):
                continue
            relists = 0
            if changes.changes:
                time.sleep(BATCH_WINDOW_S)

    def _list(self, allow_stale: bool) -> bool:
        """Reads all values; returns whether that has succeeded."""
        limit_s = self._pacing.compute_list_limit_s()
        listing = self._call(
            lambda: self._store.list_range("", allow_stale),
            0.0,
            limit_s,
            is_stale=allow_stale,
        )
        return isinstance(listing, stores.Listing)

    def _watch(self, revision: int) -> _Result | None:
        """Waits for changes after a revision; returns what it got."""
        now = time.monotonic()
        wait_s = self._pacing.compute_wait_s(now)
        return self._call(
            lambda: self._store.watch("", revision, wait_s),
            wait_s,
            wait_s + self._pacing.compute_margin_s(now),
        )

    def _call(
        self,
        call: Callable[[], _Result],
        wait_s: float,
        limit_s: float,
        is_stale: bool = False,
    ) -> _Result | None:
        """Makes a call and delivers its result.

        Args:
            call: The call.
            wait_s: Time for which the store itself may wait.
            limit_s: Time after which the call counts as silent.
            is_stale: Whether the answer may lack the latest changes.

        Returns:
            The result; `None` if there was none in time.
        """
        sent_at = time.monotonic()

        def run() -> _Result:
            try:
                return call()
            except Exception as error:
                loguru.logger.opt(exception=error).error("error in the watch")
                return stores.InDoubt(f"unexpected {error!r}")

        result = self._calls.run(
            run,
            limit_s,
            # The store may have given a late answer when it was asked.
            lambda late: self._deliver_late(
                late,
                _UNKNOWN if is_stale else sent_at,
                time.monotonic() - sent_at - wait_s,
            ),
        )
        now = time.monotonic()
        if result is None:
            self._store.discard_connections()
            self._pacing.record_silence()
            failure = stores.InDoubt(f"no answer within {limit_s:.2f} s")
            self._deliver(StoreCallFailed(failure))
            time.sleep(self._rng.uniform(0.0, SILENCE_SPREAD_S))
            return None
        if isinstance(result, failures.Failure):
            if not isinstance(result, stores.HistoryGone):
                self._back_off(result)
            return result
        self._failures = 0
        delay_s = now - sent_at - wait_s if wait_s else 0.0
        self._pacing.record_answer(delay_s, now)
        self._deliver_answer(result, _UNKNOWN if is_stale else now)
        return result

    def _deliver_late(
        self, result: _Result, as_of: float, overdue_s: float
    ) -> None:
        """Delivers an answer that came after its call was given up."""
        if isinstance(result, failures.Failure):
            return
        self._pacing.record_answer(overdue_s, time.monotonic())
        self._deliver_answer(result, as_of)

    def _deliver_answer(
        self, answer: stores.Listing | stores.Changes, as_of: float
    ) -> None:
        if isinstance(answer, stores.Changes):
            self._deliver(StoreChanged(answer, as_of))
            return
        self._has_listing = True
        self._deliver(StoreListed(answer, as_of))

    def _back_off(self, failure: failures.Failure) -> None:
        self._deliver(StoreCallFailed(failure))
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._failures)
        self._failures += 1
        time.sleep(pause_s * self._rng.uniform(0.7, 1.3))


def _needs_listing(result: _Result | None, position: mirror.Position) -> bool:
    """Tells whether the result of a watch does not follow a position."""
    if isinstance(result, stores.HistoryGone):
        return True
    if not isinstance(result, stores.Changes) or result.era is None:
        return False
    # A revision of an earlier era has another meaning in this one.
    return result.era != position.era


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
