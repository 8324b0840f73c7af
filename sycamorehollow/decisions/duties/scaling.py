"""Decision how many upstreams of a service each data centre needs.

Raises the number at once and lowers it in steps after a calm period. An order
states a number, which the platform takes whatever runs at that moment, so no
order is given on a view that may show less than what runs.
"""

from collections.abc import Collection
import dataclasses

from sycamorehollow.decisions.duties import demand
from sycamorehollow.decisions.duties import replica_presence
from sycamorehollow.decisions.duties import scaling_steps
from sycamorehollow.model import forwarding

# Age of the node's state from which no order is given.
MAX_STATE_AGE_S = 3.0
# Calm period before the first step down after the start of the deployment, as
# idle upstreams are billed from the start.
FIRST_CALM_S = 10.0
# Age of the oldest upstream up to which the deployment has just started.
START_S = 60.0
# Time without a usable estimate after which a calm period begins anew.
MAX_GAP_S = 5.0
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
        self._history = demand.DemandHistory(scaling_steps.CALM_S)
        self._states: dict[str, scaling_steps.OrderState] = {}

    def record_result(self, order: Order, ok: bool, now: float) -> None:
        """See `Scaling.record_result`."""
        state = self._states.get(order.data_centre)
        if state is not None and state.pending == order.count:
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
    ) -> dict[str, scaling_steps.Need]:
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
            needs[data_centre] = scaling_steps.build_need(
                {"peak": peak / PEAK_SHARE, "burst": burst, "loss": loss},
                own / PEAK_SHARE,
                found.slots_per_replica,
            )
        return needs

    def _decide_data_centre(
        self,
        view: ServiceView,
        data_centre: str,
        need: scaling_steps.Need,
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
        running = seen if is_blocked else 0
        count, why = scaling_steps.find_increase(
            view.scaling, state, need, ready, running, now
        )
        if count is None and state.is_calm(now):
            count, why = scaling_steps.find_decrease(
                view.scaling, state, need, ready
            )
        if count is None:
            return None
        reason = f"{why}: {need.reason}, {ready} ready, {warm} warm"
        state.give(count, now)
        return Order(view.service, data_centre, count, reason)

    def _add_states(
        self, view: ServiceView, known: Collection[str], now: float
    ) -> None:
        oldest_at = min(replica.registered_at for replica in view.replicas)
        calm_s = (
            FIRST_CALM_S if now - oldest_at <= START_S else scaling_steps.CALM_S
        )
        for data_centre in known:
            if data_centre not in self._states:
                self._states[data_centre] = scaling_steps.OrderState(
                    now, calm_s
                )
