"""Applies the limits on memory and connections to callers' connections."""

import abc
import asyncio
import time

from sycamorehollow.decisions.forwarding import memory_budget
from sycamorehollow.settings import gateway
from sycamorehollow.shells.gateway import telemetry

# Measured: 6 to 8 KB for the objects of an open connection.
CONNECTION_BYTES = 8 * 1024
CHECK_INTERVAL_S = 0.1
# Time without shortage after which it counts as ended. It bounds the log lines.
CALM_PERIOD_S = 5.0

_CLOSING = (memory_budget.Reason.IDLE, memory_budget.Reason.CONNECTIONS)


class LimitedConnection(abc.ABC):
    """A connection that the limits apply to."""

    @property
    @abc.abstractmethod
    def has_unread_bytes(self) -> bool:
        """Whether the socket has bytes that were not read yet."""

    @abc.abstractmethod
    def continue_body(self, size: int) -> None:
        """Reads the body that waited for room of a size."""

    @abc.abstractmethod
    def refuse(self, reason: memory_budget.Reason) -> None:
        """Refuses the unfinished request, or closes the connection."""


class CallerMemory:
    """Holds the account of all connections of callers.

    Args:
        settings: Settings of the process.
        telemetry_sink: Receives log lines and metrics.
    """

    def __init__(
        self, settings: gateway.Settings, telemetry_sink: telemetry.Telemetry
    ):
        self.limits = settings.memory
        self.budget = memory_budget.MemoryBudget(0, 0, 0)
        self.configure(settings)
        self._telemetry = telemetry_sink
        self._connections: dict[memory_budget.Holding, LimitedConnection] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_check_scheduled = False
        self._short_since: float | None = None
        self._last_short_at = 0.0
        telemetry_sink.watch_memory(self._get_held)

    def configure(self, settings: gateway.Settings) -> None:
        """Applies changed settings."""
        limits = settings.memory
        self.limits = limits
        budget = self.budget
        budget.limit_bytes = limits.budget_mb * memory_budget.MB
        if not limits.budget_mb:
            budget.limit_bytes = memory_budget.compute_limit(limits.memory_mb)
        budget.max_connections = limits.max_connections
        if not limits.max_connections:
            budget.max_connections = memory_budget.compute_max_connections(
                limits.max_descriptors
            )
        budget.wait_s = limits.body_wait_s

    def _get_held(self) -> dict[str, int]:
        held = self.budget.held
        return {k.name.lower(): held[k] for k in memory_budget.Kind}

    def open(
        self, connection: LimitedConnection
    ) -> memory_budget.Holding | None:
        """Counts a new connection; closes another one if there are too many.

        Returns:
            Its holding, or `None` if no other connection can be closed.
        """
        now = time.monotonic()
        budget = self.budget
        if len(self._connections) >= budget.max_connections:
            self._close_one()
            if len(self._connections) >= budget.max_connections:
                self.count_refusal(memory_budget.Reason.CONNECTIONS)
                return None
        holding = budget.open(CONNECTION_BYTES, now)
        self._connections[holding] = connection
        self.check_later()
        return holding

    def _close_one(self) -> None:
        """Closes an idle connection, or the one of least progress."""
        reason = memory_budget.Reason.CONNECTIONS
        order = self.budget.choose_idle(reason, self._is_unused)
        order = order or self.budget.choose_unfinished(reason)
        if order is not None:
            self._carry_out(order)

    def _is_unused(self, holding: memory_budget.Holding) -> bool:
        return not self._connections[holding].has_unread_bytes

    def close(self, holding: memory_budget.Holding) -> None:
        """Releases what a closed connection holds."""
        self._connections.pop(holding, None)
        self.budget.close(holding)
        self.release()

    def release(self) -> None:
        """Admits requests that wait, after memory was released."""
        if self.budget.waiting and not self._is_check_scheduled:
            self._is_check_scheduled = True
            asyncio.get_running_loop().call_soon(self._check)

    def wait(self, holding: memory_budget.Holding, size: int) -> None:
        """Lets a body wait for room."""
        self.budget.wait(holding, size, time.monotonic())
        self._telemetry.count_memory_wait()
        self.check_later()

    def check_later(self) -> None:
        """Starts regular checks if the budget is short."""
        if self._timer is None and self.budget.is_short:
            self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check_regularly)

    def _check_regularly(self) -> None:
        self._timer = None
        self._check()
        if self.budget.is_short or self._short_since is not None:
            self._schedule()
        else:
            self.budget.end_checks()

    def _check(self) -> None:
        self._is_check_scheduled = False
        now = time.monotonic()
        self._record_shortage(now)
        for order in self.budget.check(now, self._is_unused):
            self._carry_out(order)

    def _carry_out(self, order: memory_budget.Order) -> None:
        connection = self._connections.get(order.holding)
        if connection is None:
            return
        if order.reason is None:
            connection.continue_body(order.size)
            return
        self.count_refusal(order.reason)
        if order.reason in _CLOSING:
            # The loss of the connection is reported only later.
            self.close(order.holding)
        connection.refuse(order.reason)

    def refuse(self, size: int) -> None:
        """Records that a request of a size is refused without a wait."""
        self.count_refusal(memory_budget.Reason.NO_ROOM)
        self.budget.note_refusal(size)
        self.check_later()

    def count_refusal(self, reason: memory_budget.Reason) -> None:
        """Counts a refused request or closed connection."""
        self._telemetry.count_memory_refusal(reason.value)

    def _record_shortage(self, now: float) -> None:
        """Logs when the budget is reached, and when it no longer is."""
        budget = self.budget
        if budget.is_short:
            self._last_short_at = now
            if self._short_since is None:
                self._short_since = now
                self._telemetry.log_event(
                    "memory budget reached, held={} limit={:.0f} waiting={}"
                    " connections={}",
                    budget.total,
                    budget.limit_bytes,
                    budget.waiting,
                    len(self._connections),
                )
        elif (
            self._short_since is not None
            and now - self._last_short_at > CALM_PERIOD_S
        ):
            self._telemetry.log_event(
                "memory budget left, held={} short_s={:.1f}",
                budget.total,
                self._last_short_at - self._short_since,
            )
            self._short_since = None
