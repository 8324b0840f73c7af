"""Thread that drives the decision components of a process.

The components take events and return commands and do no I/O. One thread owns
them, so that they need no locks.
"""

from collections.abc import Callable
import queue
import time
from typing import Any

import loguru

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.shells import tasks

TICK_S = 0.02


class DecisionLoop(tasks.Task):
    """Passes events to the decision components and executes their commands.

    Each command goes to the performer that is registered for its type. Only
    this thread accesses the component.

    Args:
        component: Component that handles the events.
        get_next_due_at: Returns the monotonic time in seconds at which an
            extra tick is due before the regular one, or `None`.
    """

    def __init__(
        self,
        component: components.Component,
        get_next_due_at: Callable[[], float | None],
    ):
        super().__init__("router")
        self._get_next_due_at = get_next_due_at
        self._component = component
        self._queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._performers: dict[type, Callable[[Any], None]] = {}

    def register_performer(
        self, command_type: type, performer: Callable[[Any], None]
    ) -> None:
        """Sets the function that executes commands of a type."""
        self._performers[command_type] = performer

    def post(self, message: Any) -> None:
        """Queues an event, or a callable to run in this thread."""
        self._queue.put(message)

    def run_query(
        self, query: Callable[[], Any], timeout_s: float = 2.0
    ) -> Any:
        """Runs a query in this thread and returns its result.

        Raises:
            queue.Empty: The loop did not run the query within `timeout_s`.
        """
        reply: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.post(lambda: reply.put(query()))
        return reply.get(timeout=timeout_s)

    def _wake(self) -> None:
        self._queue.put(None)

    def _run(self) -> None:
        next_tick = time.monotonic()
        while not self._stopping:
            now = time.monotonic()
            if now >= next_tick:
                next_tick = now + TICK_S
                self._handle(events.Tick(), now)
            due_at = self._get_next_due_at()
            if due_at is not None and due_at < next_tick:
                next_tick = due_at
            try:
                message = self._queue.get(timeout=max(0.0, next_tick - now))
            except queue.Empty:
                continue
            if isinstance(message, events.Event):
                self._handle(message, time.monotonic())
            elif callable(message):
                self._run_logging_errors(message)

    def _handle(self, event: events.Event, now: float) -> None:
        try:
            result = self._component.handle(event, now)
        except Exception:
            # A fault in one request must not stop the others.
            loguru.logger.exception(
                "router: handling of {} failed", type(event)
            )
            return
        for command in result:
            self._perform(command)

    def _perform(self, command: commands.Command) -> None:
        performer = self._performers.get(type(command))
        if performer is None:
            loguru.logger.warning(
                "router: no performer is registered for {}", command
            )
            return
        self._run_logging_errors(lambda: performer(command))

    def _run_logging_errors(self, action: Callable[[], Any]) -> None:
        try:
            action()
        except Exception:
            loguru.logger.exception("router: a performer or query failed")
