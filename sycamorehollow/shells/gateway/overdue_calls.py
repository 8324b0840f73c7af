"""Blocking calls that are given up when they are overdue.

The result of a call that was given up is still used when it arrives, so a slow
server is followed as well.
"""

from collections.abc import Callable
import threading
from typing import Generic
from typing import TypeVar

# Calls that were given up and have not ended yet.
MAX_OVERDUE_CALLS = 8

Result = TypeVar("Result")


class _Call(Generic[Result]):
    """One call and whether its result is still waited for."""

    def __init__(self, handle_late: Callable[[Result], None]):
        self._handle_late = handle_late
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._result: Result | None = None
        self._is_overdue = False

    def finish(self, result: Result) -> None:
        """Sets the result, or passes it on if the call was given up."""
        with self._lock:
            self._result = result
            self._ended.set()
            is_overdue = self._is_overdue
        if is_overdue:
            self._handle_late(result)

    def wait(self, limit_s: float) -> Result | None:
        """Returns the result; gives the call up if there is none in time."""
        self._ended.wait(limit_s)
        with self._lock:
            self._is_overdue = not self._ended.is_set()
            return self._result


class OverdueCalls:
    """Runs blocking calls one after the other on threads of their own."""

    def __init__(self) -> None:
        self._slots = threading.Semaphore(1 + MAX_OVERDUE_CALLS)

    def run(
        self,
        call: Callable[[], Result],
        limit_s: float,
        handle_late: Callable[[Result], None],
    ) -> Result | None:
        """Runs a call.

        Args:
            call: The call, which raises nothing.
            limit_s: Time in seconds after which it is given up.
            handle_late: Receives the result of a call that was given up; runs
                on the call's thread.

        Returns:
            The result, or `None` if the call was given up.
        """
        self._slots.acquire()
        state = _Call[Result](handle_late)

        def run() -> None:
            try:
                state.finish(call())
            finally:
                self._slots.release()

        threading.Thread(target=run, name="store-call", daemon=True).start()
        return state.wait(limit_s)
