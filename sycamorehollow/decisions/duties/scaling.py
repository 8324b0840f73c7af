"""Decision how many upstreams of a service each data centre needs.

Raises the number at once and lowers it in steps after a calm period. An order
states a number, which the platform takes whatever runs at that moment, so no
order is given on a view that may show less than what runs.
"""

from collections.abc import Collection
import dataclasses
import math

from sycamorehollow.decisions.duties import demand
from sycamorehollow.decisions.duties import replica_presence
from sycamorehollow.model import forwarding

# Age of the node's state from which no order is given.
MAX_STATE_AGE_S = 3.0
# Time without reason for a larger number, before each step down.
CALM_S = 30.0
# The same before the first step after the start of the deployment, as idle
# upstreams are billed from the start.
FIRST_CALM_S = 10.0
# Age of the oldest upstream up to which the deployment has just started.
START_S = 60.0
# Time without a usable estimate after which a calm period begins anew.
MAX_GAP_S = 5.0
# Largest part of the upstreams that one step removes.
STEP_SHARE = 0.25
# Upstreams kept beyond the need by steps down, so that noise in the estimate
# does not bring them back.
SPARE_SHARE = 0.1
# Share of the slots that the recent peak may use. Above it requests wait, as
# the load of single upstreams differs from the mean.
PEAK_SHARE = 0.8
# The same after the loss of a data centre, until new upstreams serve.
LOSS_SHARE = 0.9
# Size of a burst, relative to the base load, that is served without new
# upstreams. Bursts of three times are part of the requirements.
BURST_FACTOR = 3.0
# Time without a result after which an order counts as failed.
RESULT_TIMEOUT_S = 5.0
# Pause after a failed order.
RETRY_S = 2.0
# Time beyond two boot times in which an order shows in the registered
# upstreams; afterwards it is repeated.
SETTLE_S = 10.0


@dataclasses.dataclass(frozen=True)
class ServiceView:
    """What the node knows of one service.

    Attributes:
        replicas: Its registered upstreams.
        data_centres: Data centres where it is known to have upstreams, also
            those of which none is registered now.
        evacuated: Data centres that get no requests.
        is_changing: Whether a roll-out or a release is under way.
        own_running: Requests of this node that its upstreams run.
        nodes: Number of nodes that share the requests.
    """

    service: str
    scaling: forwarding.Scaling
    replicas: tuple[demand.Replica, ...]
    data_centres: frozenset[str] = frozenset()
    evacuated: frozenset[str] = frozenset()
    is_changing: bool = False
    own_running: int = 0
    nodes: int = 1


@dataclasses.dataclass(frozen=True)
class View:
    """What the node knows at one moment.

    Attributes:
        state_age_s: Time since the node last knew that it had all changes of
            the store.
    """

    services: tuple[ServiceView, ...]
    state_age_s: float


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to run a number of upstreams in a data centre.

    Attributes:
        reason: Reason for the log.
    """

    service: str
    data_centre: str
    count: int
    reason: str


@dataclasses.dataclass
class _OrderState:
    """Orders for one data centre and the calm since then.

    Attributes:
        low: Smallest number that the platform may have. Before the first
            order it is what is registered or has just disappeared.
        high: Largest number that it may have.
        has_ordered: Whether an order was given.
        pending: Order without a result.
        ordered_at: When the latest order was given.
        failed_at: When an order last failed.
        calm_since: Start of the calm period.
        calm_s: Length of the calm period.
        negated_warm: Minus the number of warm upstreams, so that its maximum
            shows the smallest number within the last `CALM_S`.
    """

    calm_since: float
    calm_s: float
    low: int = 0
    high: int = 0
    has_ordered: bool = False
    pending: Order | None = None
    ordered_at: float = -math.inf
    failed_at: float = -math.inf
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

        The platform may have a failed order or the number before it.
        """
        if self.pending is None:
            return
        count, self.pending = self.pending.count, None
        if ok:
            self.low = self.high = count
            return
        self.failed_at = now
        self.low = min(self.low, count)
        self.high = max(self.high, count)


class Scaling:
    """Decides on orders while this node owns the duty.

    A new object is used for each ownership: it begins with what is registered,
    as another owner may have given orders in between.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceScaling] = {}

    def decide(self, view: View, now: float) -> list[Order]:
        """Returns the orders that are due, to be called about once a second.

        An order is not returned again before its result is recorded, or
        `RESULT_TIMEOUT_S` have passed.
        """
        names = {service.service for service in view.services}
        for name in self._services.keys() - names:
            del self._services[name]
        orders: list[Order] = []
        for service in view.services:
            scaling = self._services.setdefault(
                service.service, _ServiceScaling()
            )
            orders.extend(scaling.decide(service, view.state_age_s, now))
        return orders

    def record_result(self, order: Order, ok: bool, now: float) -> None:
        """Records whether the platform accepted an order.

        Args:
            order: An order that `decide` has returned.
            ok: Whether it was accepted; `False` if that is unknown.
            now: Monotonic time in seconds.
        """
        scaling = self._services.get(order.service)
        if scaling is not None:
            scaling.record_result(order, ok, now)


class _ServiceScaling:
    """Decides on orders for one service."""

    def __init__(self) -> None:
        self._presence = replica_presence.ReplicaPresence()
        self._history = demand.DemandHistory(CALM_S)
        self._states: dict[str, _OrderState] = {}

    def record_result(self, order: Order, ok: bool, now: float) -> None:
        """See `Scaling.record_result`."""
        state = self._states.get(order.data_centre)
        if state is not None and state.pending == order:
            state.record_result(ok, now)

    def decide(
        self, view: ServiceView, state_age_s: float, now: float
    ) -> list[Order]:
        """Returns the orders that are due."""
        if state_age_s > MAX_STATE_AGE_S:
            self._restart_calm(now)
            return []
        self._presence.update(view.replicas, now)
        found = demand.estimate(view.replicas, now)
        if found is None:
            return []
        if now - self._history.recorded_at > MAX_GAP_S:
            self._restart_calm(now)
        self._history.record(found, view.own_running, now)
        known = {*self._presence.list_data_centres(), *view.data_centres}
        self._add_states(view, known, now)
        cut_off = {dc for dc in known if self._presence.is_cut_off(dc)}
        out = cut_off | view.evacuated
        is_blocked = bool(out) or view.is_changing
        if is_blocked:
            self._restart_calm(now)
        serving = sorted(known - out)
        needs = self._compute_needs(view, found, serving, not out)
        orders = []
        for data_centre in serving:
            order = self._decide_data_centre(
                view, data_centre, needs[data_centre], is_blocked, now
            )
            if order is not None:
                orders.append(order)
        return orders

    def _restart_calm(self, now: float) -> None:
        for state in self._states.values():
            state.restart_calm(now)

    def _compute_needs(
        self,
        view: ServiceView,
        found: demand.Estimate,
        serving: Collection[str],
        has_loss_headroom: bool,
    ) -> dict[str, "_Need"]:
        """Returns the needed upstreams by data centre.

        While a data centre is out, the others already carry its demand, and no
        headroom is kept for the loss of a second one.
        """
        peaks = {dc: self._history.get_peak(dc) for dc in serving}
        own = self._history.compute_own_share(view.nodes) / max(1, len(serving))
        needs = {}
        for data_centre in serving:
            peak = peaks[data_centre]
            others = [peaks[dc] for dc in serving if dc != data_centre]
            loss = 0.0
            if others and has_loss_headroom:
                loss = (peak + max(others) / len(others)) / LOSS_SHARE
            burst = BURST_FACTOR * self._history.get_base(data_centre)
            needs[data_centre] = _build_need(
                {"peak": peak / PEAK_SHARE, "burst": burst, "loss": loss},
                own / PEAK_SHARE,
                found.slots_per_replica,
            )
        return needs

    def _decide_data_centre(
        self,
        view: ServiceView,
        data_centre: str,
        need: "_Need",
        is_blocked: bool,
        now: float,
    ) -> Order | None:
        state = self._states[data_centre]
        warm = sum(
            not (replica.cold or replica.draining)
            for replica in view.replicas
            if replica.data_centre == data_centre
        )
        state.negated_warm.add(-warm, now)
        if state.pending is not None:
            if now - state.ordered_at < RESULT_TIMEOUT_S:
                return None
            state.record_result(False, now)
        if now - state.failed_at < RETRY_S:
            return None
        ready = self._presence.count_ready(data_centre)
        seen = ready + self._presence.count_lost(data_centre)
        if not state.has_ordered:
            state.low = state.high = seen
        low = max(state.low, seen) if is_blocked else state.low
        count, why = _find_increase(view.scaling, state, need, ready, low, now)
        if count is None and state.is_calm(now):
            count, why = _find_decrease(view.scaling, state, need, ready)
        if count is None:
            return None
        reason = f"{why}: {need.reason}, {ready} ready, {warm} warm"
        state.pending = Order(view.service, data_centre, count, reason)
        state.ordered_at = now
        state.has_ordered = True
        state.restart_calm(now)
        return state.pending

    def _add_states(
        self, view: ServiceView, known: Collection[str], now: float
    ) -> None:
        oldest_at = min(replica.registered_at for replica in view.replicas)
        calm_s = FIRST_CALM_S if now - oldest_at <= START_S else CALM_S
        for data_centre in known:
            if data_centre not in self._states:
                self._states[data_centre] = _OrderState(now, calm_s)


@dataclasses.dataclass(frozen=True)
class _Need:
    """Needed upstreams of a data centre.

    Attributes:
        exact: Number needed, not rounded.
        kept: Number that steps down keep.
    """

    exact: float
    kept: float
    reason: str


def _build_need(
    slots: dict[str, float], own_slots: float, slots_per_replica: float
) -> _Need:
    exact = max(slots.values()) / slots_per_replica
    kept = max(exact * (1 + SPARE_SHARE), own_slots / slots_per_replica)
    parts = [f"{name} {value:.1f}" for name, value in slots.items()]
    reason = f"needs {exact:.1f} for {', '.join(parts)} slots"
    return _Need(exact, kept, reason)


def _find_increase(
    limits: forwarding.Scaling,
    state: _OrderState,
    need: _Need,
    ready: int,
    low: int,
    now: float,
) -> tuple[int | None, str]:
    """Returns a larger or repeated number; never less than what may run.

    Cold upstreams count here: a further one would serve later than they do.
    """
    needed = _clamp(math.ceil(need.exact), limits)
    count = _clamp(max(needed, state.high), limits)
    if needed > low:
        return count, "up"
    settle_s = SETTLE_S + 2 * limits.boot_time_s
    if ready < needed and now - state.ordered_at >= settle_s:
        return count, "missing"
    return None, ""


def _find_decrease(
    limits: forwarding.Scaling,
    state: _OrderState,
    need: _Need,
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
    return min(max(count, limits.min_count), limits.max_count)
