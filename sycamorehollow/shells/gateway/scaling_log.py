"""Log lines and the metric of orders for upstreams."""

import prometheus_client

from sycamorehollow.decisions.duties import duty
from sycamorehollow.decisions.duties import scaling
from sycamorehollow.decisions.duties import scaling_duty
from sycamorehollow.shells.gateway import telemetry


class ScalingLog(scaling_duty.OrderLog):
    """Writes a log line for each order, and counts the results.

    Args:
        telemetry_sink: Receives both.
    """

    def __init__(self, telemetry_sink: telemetry.Telemetry) -> None:
        self._telemetry = telemetry_sink
        self._orders = prometheus_client.Counter(
            "sycamore_scale_orders",
            "Orders for upstreams by result",
            ["service", "data_centre", "result"],
            registry=telemetry_sink.registry,
        )

    def record_order(self, order: scaling.Order) -> None:
        """Logs a decision with its reason."""
        self._telemetry.record_state_change(
            f"duty={scaling_duty.ScalingDuty.name}",
            f"order={order.service}/{order.data_centre} count={order.count}"
            f" reason={order.reason!r}",
            "duties",
        )

    def record_result(self, call: duty.ScaleOrder, result: duty.Result) -> None:
        """Counts the result of an order."""
        self._orders.labels(call.service, call.data_centre, result.value).inc()
