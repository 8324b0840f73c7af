"""Steps up and down of the number of upstreams in one data centre."""

import dataclasses
import math

from sycamorehollow.decisions.duties import demand
from sycamorehollow.model import forwarding

# Time without reason for a larger number, before each step down.
CALM_S = 30.0
# Largest part of the upstreams that one step removes.
STEP_SHARE = 0.25
# Upstreams kept beyond the need by steps down, so that noise in the estimate
# does not bring them back.
SPARE_SHARE = 0.1
# Fewest upstreams that are ordered, whatever `min` says: a data centre without
# any cannot be told from one that is cut off.
MIN_UPSTREAMS = 1
# Time beyond two boot times in which an order shows in the registered
# upstreams; afterwards it is repeated.
SETTLE_S = 10.0


@dataclasses.dataclass
class OrderState:
    """Orders for one data centre and the calm since then.

    Attributes:
        low: Smallest number that the platform may have. Before the first
            order it is what is registered or has just disappeared.
        high: Largest number that it may have.
        has_ordered: Whether an order was given.
        pending: Number in an order without a result.
        ordered_at: When the latest order was given.
        failed_at: When an order last failed.
        calm_since: Start of the calm period.
        calm_s: Length of the calm period.
        calm_before_order: Both before the latest order.
        negated_warm: Minus the number of warm upstreams, so that its maximum
            shows the smallest number within the last `CALM_S`.
    """

    calm_since: float
    calm_s: float
    low: int = 0
    high: int = 0
    has_ordered: bool = False
    pending: int | None = None
    ordered_at: float = -math.inf
    failed_at: float = -math.inf
    calm_before_order: tuple[float, float] = (math.inf, CALM_S)
    negated_warm: demand.SlidingMaximum = dataclasses.field(
        default_factory=lambda: demand.SlidingMaximum(CALM_S)
    )

    def restart_calm(self, now: float) -> None:
        """Begins a new calm period of full length."""
        self.calm_since = now
        self.calm_s = CALM_S

    def is_calm(self, now: float) -> bool:
        """Returns whether the calm period is over."""
        return now - self.calm_since >= self.calm_s

    def record_result(self, ok: bool, now: float) -> None:
        """Records the outcome of the pending order.

        The platform may have a failed order or the number before it. A
        reduction that failed is due again without another calm period.
        """
        if self.pending is None:
            return
        count, self.pending = self.pending, None
        if ok:
            self.low = self.high = count
            return
        self.failed_at = now
        is_reduction = count < self.high
        self.low = min(self.low, count)
        self.high = max(self.high, count)
        if is_reduction and self.calm_since == self.ordered_at:
            self.calm_since, self.calm_s = self.calm_before_order

    def give(self, count: int, now: float) -> None:
        """Records a new order, which begins a calm period."""
        self.pending = count
        self.ordered_at = now
        self.has_ordered = True
        self.calm_before_order = (self.calm_since, self.calm_s)
        self.restart_calm(now)


@dataclasses.dataclass(frozen=True)
class Need:
    """Needed upstreams of a data centre.

    Attributes:
        exact: Number needed, not rounded.
        kept: Number that steps down keep.
    """

    exact: float
    kept: float
    reason: str


def build_need(
    slots: dict[str, float], own_slots: float, slots_per_replica: float
) -> Need:
    """Returns the need of a data centre.

    Args:
        slots: Slots that are needed, by reason; the largest number counts.
        own_slots: Slots that steps down keep in any case.
        slots_per_replica: Slots of an upstream.
    """
    exact = max(slots.values()) / slots_per_replica
    kept = max(exact * (1 + SPARE_SHARE), own_slots / slots_per_replica)
    parts = [f"{name} {value:.1f}" for name, value in slots.items()]
    reason = f"needs {exact:.1f} for {', '.join(parts)} slots"
    return Need(exact, kept, reason)


def find_increase(
    limits: forwarding.Scaling,
    state: OrderState,
    need: Need,
    ready: int,
    running: int,
    now: float,
) -> tuple[int | None, str]:
    """Returns a larger or repeated number; never less than what may run.

    Cold upstreams count here: a further one would serve later than they do.

    Args:
        limits: Limits of the service.
        state: Orders for the data centre.
        need: What is needed there.
        ready: Registered upstreams that do not drain.
        running: Number that must not be undercut, whatever was ordered.
        now: Monotonic time in seconds.
    """
    needed = _clamp(math.ceil(need.exact), limits)
    count = _clamp(max(needed, state.high, running), limits)
    if needed > max(state.low, running):
        return count, "up"
    settle_s = SETTLE_S + 2 * limits.boot_time_s
    if ready < needed and now - state.ordered_at >= settle_s:
        return count, "missing"
    return None, ""


def find_decrease(
    limits: forwarding.Scaling,
    state: OrderState,
    need: Need,
    ready: int,
) -> tuple[int | None, str]:
    """Returns the next smaller number, or repeats one without effect.

    What was not warm throughout the calm period does not count as capacity.
    """
    kept = _clamp(math.ceil(need.kept), limits)
    high = state.high
    spare = min(high, round(-state.negated_warm.value)) - kept
    if spare > 0:
        step = min(max(1, math.floor(high * STEP_SHARE)), spare)
        return _clamp(high - step, limits), "down"
    if ready > high >= kept:
        return high, "surplus"
    return None, ""


def _clamp(count: int, limits: forwarding.Scaling) -> int:
    lowest = max(limits.min_count, MIN_UPSTREAMS)
    return min(max(count, lowest), limits.max_count)
