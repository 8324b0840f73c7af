"""Duty that orders the number of upstreams of scaled services."""

import abc
from collections.abc import Callable

from sycamorehollow.decisions.duties import duty
from sycamorehollow.decisions.duties import scaling
from sycamorehollow.decisions.duties import scaling_view

# Interval of the decisions.
DECISION_INTERVAL_S = 1.0
# Calls without a result. They are made one after the other, in up to 0.5 s
# each, and a pause of 0.5 s follows a failed one.
MAX_OPEN_CALLS = 4
# Age from which an order without a call is dropped, as it may not fit the state
# any more. With the open calls, the pause and two calls of another duty it ends
# within `scaling.RESULT_TIMEOUT_S`.
MAX_WAIT_S = 1.0


class OrderLog(abc.ABC):
    """Records orders and their results."""

    @abc.abstractmethod
    def record_order(self, order: scaling.Order) -> None:
        """Records a decision."""

    @abc.abstractmethod
    def record_result(self, call: duty.ScaleOrder, result: duty.Result) -> None:
        """Records what became of an order."""


class ScalingDuty(duty.Duty):
    """Makes the calls for the orders of `scaling.Scaling`.

    Args:
        views: Builds what orders are decided on.
        order_log: Records orders and results.
        read_monotonic: Returns the monotonic time in seconds.
    """

    name = "scaling"

    def __init__(
        self,
        views: scaling_view.ViewBuilder,
        order_log: OrderLog,
        read_monotonic: Callable[[], float],
    ) -> None:
        self._views = views
        self._order_log = order_log
        self._read_monotonic = read_monotonic
        self._scaling = scaling.Scaling()
        self._next_at = 0.0
        # Orders that wait for a call, with the times of the decisions, and
        # orders whose calls have no result; both by subject.
        self._waiting: dict[str, tuple[scaling.Order, float]] = {}
        self._open: dict[str, scaling.Order] = {}

    def begin(self, now: float) -> None:
        """Begins with what is registered; other owners gave orders before."""
        self._scaling = scaling.Scaling()
        self._next_at = now
        self._waiting.clear()
        self._open.clear()

    def end(self, now: float) -> None:
        """Drops the orders that wait."""
        self._waiting.clear()
        self._open.clear()

    def is_due(self, now: float) -> bool:
        """Tells whether a decision is due or an order waits."""
        return now >= self._next_at or bool(self._waiting)

    def build_calls(self, now: float) -> list[duty.Call]:
        """Returns calls for the orders that are due."""
        if now >= self._next_at:
            self._next_at = now + DECISION_INTERVAL_S
            self._decide(now)
        calls: list[duty.Call] = []
        for subject, (order, decided_at) in list(self._waiting.items()):
            call = _build_call(order)
            if now - decided_at > MAX_WAIT_S:
                del self._waiting[subject]
                self._scaling.record_result(order, False, now)
                self._order_log.record_result(call, duty.Result.NOT_SENT)
                continue
            if subject not in self._open and len(self._open) >= MAX_OPEN_CALLS:
                continue
            del self._waiting[subject]
            self._open[subject] = order
            calls.append(call)
        return calls

    def record_result(
        self, call: duty.Call, result: duty.Result, now: float
    ) -> None:
        """Records what became of an order.

        A refused or rejected order is decided on again after a pause, with the
        number that is needed then.
        """
        if not isinstance(call, duty.ScaleOrder):
            return
        self._order_log.record_result(call, result)
        order = self._open.get(call.subject)
        if order is None or order.count != call.count:
            # The call is of an earlier ownership, or a newer order replaces it.
            return
        del self._open[call.subject]
        self._scaling.record_result(order, result is duty.Result.ACCEPTED, now)

    def _decide(self, now: float) -> None:
        view = self._views.build(now, self._read_monotonic())
        if view is None:
            return
        for order in self._scaling.decide(view, now):
            self._order_log.record_order(order)
            self._waiting[_build_call(order).subject] = order, now


def _build_call(order: scaling.Order) -> duty.ScaleOrder:
    return duty.ScaleOrder(order.service, order.data_centre, order.count)
