"""View of the scaled services, built from the state of the node.

The router's times are of the monotonic clock, those of duties of
`CLOCK_BOOTTIME`, which continues while the machine is suspended.
"""

from collections.abc import Mapping
import math

from sycamorehollow.decisions.duties import clock_offset
from sycamorehollow.decisions.duties import demand
from sycamorehollow.decisions.duties import scaling
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import forwarding

# Smallest change of the difference between both clocks that shows that the
# machine was suspended. Smaller ones come from reading one after the other.
MIN_SUSPENSION_S = 0.5
MS_PER_S = 1000.0


class BootTimes:
    """Converts monotonic times to times of `CLOCK_BOOTTIME`.

    Times before the latest suspension of the machine use the difference of
    the clocks at that time, so that load reports age during the suspension.
    """

    def __init__(self) -> None:
        self._offset_s = math.nan
        self._earlier_offset_s = math.nan
        self._resumed_at = -math.inf

    def update(self, now: float, monotonic: float) -> None:
        """Records both clocks, read at the same time."""
        offset_s = now - monotonic
        if offset_s - self._offset_s > MIN_SUSPENSION_S:
            self._earlier_offset_s = self._offset_s
            self._resumed_at = monotonic
        self._offset_s = offset_s

    def convert(self, at: float) -> float:
        """Returns the boot time of a monotonic time."""
        if at < self._resumed_at:
            return at + self._earlier_offset_s
        return at + self._offset_s


class ViewBuilder:
    """Builds views of the services that have limits on their upstreams.

    Args:
        router: Holds the state of the node.
        clock: Estimate of true time.
    """

    def __init__(
        self, router: routers.Router, clock: clock_offset.ClockOffset
    ) -> None:
        self._router = router
        self._clock = clock
        self._times = BootTimes()
        self._configuration: forwarding.Configuration | None = None
        self._limits: Mapping[str, forwarding.Scaling] = {}

    def build(self, now: float, monotonic: float) -> scaling.View | None:
        """Returns the view; `None` if no service is scaled.

        Args:
            now: Boot time in seconds.
            monotonic: Monotonic time in seconds at the same moment.
        """
        self._times.update(now, monotonic)
        self._update_limits()
        if not self._limits:
            return None
        states: dict[str, list[directory.UpstreamState]] = {
            name: [] for name in self._limits
        }
        for state in self._router.directory.list_all():
            if state.upstream.service in states:
                states[state.upstream.service].append(state)
        evacuated = self._router.directory.list_evacuated()
        changing = {
            rollout.order.service
            for rollout in self._router.rollouts.list_running()
        }
        age_s = self._router.watchers.compute_age_s(monotonic)
        services = tuple(
            scaling.ServiceView(
                name,
                limits,
                self._build_replicas(states[name], now, monotonic),
                self._router.directory.list_data_centres(name, monotonic),
                evacuated,
                name in changing,
                sum(state.running for state in states[name]),
                max(1, len(self._router.nodes)),
            )
            for name, limits in self._limits.items()
        )
        return scaling.View(
            services, now - self._times.convert(monotonic - age_s)
        )

    def _update_limits(self) -> None:
        table = self._router.route_table
        configuration = table.configuration if table is not None else None
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self._limits = {}
        if configuration is not None:
            self._limits = {
                service.name: service.scaling
                for service in configuration.services.values()
                if service.scaling is not None
            }

    def _build_replicas(
        self,
        states: list[directory.UpstreamState],
        now: float,
        monotonic: float,
    ) -> tuple[demand.Replica, ...]:
        """Returns the upstreams whose entries have not expired."""
        replicas = []
        for state in states:
            if state.expires_at is not None and monotonic >= state.expires_at:
                continue
            upstream = state.upstream
            replicas.append(
                demand.Replica(
                    upstream.identity,
                    upstream.data_centre,
                    upstream.version,
                    state.is_draining,
                    state.is_cold(monotonic),
                    self._compute_registered_at(state, now),
                    upstream.slots,
                    state.load,
                    self._times.convert(state.load_at),
                )
            )
        return tuple(replicas)

    def _compute_registered_at(
        self, state: directory.UpstreamState, now: float
    ) -> float:
        """Returns the boot time at which an upstream started.

        It did so before it was first seen, whatever its clock says.
        """
        seen_at = self._times.convert(state.first_seen_at)
        if state.upstream.started_ms <= 0:
            return seen_at
        started = state.upstream.started_ms / MS_PER_S
        age_s = self._clock.compute_time(now) - started
        return min(seen_at, now - age_s)
