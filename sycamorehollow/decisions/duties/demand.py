"""Demand for the upstreams of a service, estimated from load reports.

One node sees the reports in the responses to its own requests only. They are a
sample, from which the load of the other upstreams is extrapolated. A request
finds an upstream as it is on average over time, so the request itself, which
its report includes, is left out.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
from typing import TypeAlias

from sycamorehollow.model import forwarding

# Reports older than this are not used.
MAX_REPORT_AGE_S = 10.0
# Half-lives of a report's weight. The short one lets a burst outweigh earlier
# reports within the boot time of an upstream (8 s in known deployments); the
# long one is used where it leaves fewer than `GOOD_REPORTS`.
SHORT_HALF_LIFE_S = 1.5
LONG_HALF_LIFE_S = 5.0
GOOD_REPORTS = 8.0
# Smallest effective number of reports of an estimate, and the share of a
# service's upstreams that is enough if it has only a few.
MIN_REPORTS = 4.0
MIN_REPORTED_SHARE = 0.5
# Smallest effective number of reports for an average of a version's own.
MIN_VERSION_REPORTS = 2.0
# Reports that the average of a version counts for in that of its upstreams in
# one data centre. Without it, the noise of a data centre with few reports
# showed as bursts in replays.
PRIOR_REPORTS = 4.0
# The request whose response carries the report.
REPORTING_REQUESTS = 1
# Share of busy slots from which requests may be refused unseen, unless waiting
# ones are reported, and the factor by which the demand then counts as larger.
SATURATED_SHARE = 0.95
SATURATED_FACTOR = 1.5
# Time constant of the base load. A burst of some 20 s moves it by a sixth of
# the burst's size only.
BASE_LOAD_S = 120.0
# Time before the base load counts; the first estimate alone is too noisy.
BASE_SETTLE_S = 5.0
# Time constant of the average of this node's own running requests.
OWN_SHARE_S = 10.0
# Standard deviations subtracted from the load that follows from this node's
# own share, as the share of one node in a large fleet varies a lot.
OWN_SHARE_DEVIATIONS = 2.0


@dataclasses.dataclass(frozen=True)
class Replica:
    """A registered upstream of a scaled service.

    Attributes:
        version: Version of its software; two during a roll-out.
        registered_at: When it started, by its entry if stated there, otherwise
            when this node first saw it.
        slots: Requests that it runs at once, by its entry.
        load: Latest load report; `None` if there is none.
        load_at: When that report arrived.
    """

    identity: str
    data_centre: str
    version: str
    draining: bool
    cold: bool
    registered_at: float
    slots: int
    load: forwarding.Load | None = None
    load_at: float = -math.inf


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Estimated demand at one moment.

    Attributes:
        busy_slots: Slots that running and waiting requests need, by data
            centre.
        slots_per_replica: Average number of slots of an upstream.
        reports: Number of reports that it is based on.
    """

    busy_slots: Mapping[str, float]
    slots_per_replica: float
    reports: int


class _Average:
    """Weighted average of the loads that upstreams report.

    Attributes:
        has_waiting: Whether waiting requests are reported.
    """

    def __init__(self) -> None:
        self.has_waiting = False
        self._weight = 0.0
        self._squares = 0.0
        self._sum = 0.0

    def add(self, load: forwarding.Load, weight: float) -> None:
        """Adds one report."""
        self.has_waiting |= load.waiting > 0
        self._weight += weight
        self._squares += weight * weight
        self._sum += weight * _count_busy(load)

    @property
    def reports(self) -> float:
        """Effective number of reports."""
        return self._weight**2 / self._squares if self._squares else 0.0

    @property
    def value(self) -> float:
        """The average; 0 without reports."""
        return self._sum / self._weight if self._weight else 0.0


_Group: TypeAlias = tuple[str, ...]


def estimate(replicas: Iterable[Replica], now: float) -> Estimate | None:
    """Estimates the demand; `None` if reports are too few or too old.

    Versions are averaged separately, as a roll-out gives the upstreams of the
    two versions different loads.
    """
    members: dict[_Group, list[Replica]] = collections.defaultdict(list)
    busy: dict[str, float] = collections.defaultdict(float)
    reports = 0
    for replica in replicas:
        load = _read_load(replica, now)
        reports += load is not None
        if replica.draining or replica.cold:
            # Gets fewer requests than others, so it represents itself only.
            busy[replica.data_centre] += _count_busy(load) if load else 0.0
            continue
        members[replica.data_centre, replica.version].append(replica)
    averages = _average_groups(members, now)
    count = sum(len(group) for group in members.values())
    slots = sum(r.slots for group in members.values() for r in group)
    required = min(MIN_REPORTS, MIN_REPORTED_SHARE * count)
    if not slots or averages[()].reports < required:
        return None
    for key, group in members.items():
        wanted = _estimate_load(averages, key) * len(group)
        is_saturated = wanted >= SATURATED_SHARE * sum(r.slots for r in group)
        if is_saturated and not averages[key].has_waiting:
            wanted *= SATURATED_FACTOR
        busy[key[0]] += wanted
    return Estimate(busy, slots / count, reports)


def _average_groups(
    members: Mapping[_Group, Iterable[Replica]], now: float
) -> Mapping[_Group, _Average]:
    """Averages the reports over all upstreams, by version, and by both keys."""
    averages: dict[_Group, _Average] = {}
    for half_life_s in (SHORT_HALF_LIFE_S, LONG_HALF_LIFE_S):
        averages = collections.defaultdict(_Average)
        for key, group in members.items():
            for replica in group:
                load = _read_load(replica, now)
                if load is None:
                    continue
                weight = 0.5 ** ((now - replica.load_at) / half_life_s)
                for larger in ((), key[1:], key):
                    averages[larger].add(load, weight)
        if averages[()].reports >= GOOD_REPORTS:
            break
    return averages


def _estimate_load(averages: Mapping[_Group, _Average], key: _Group) -> float:
    """Returns the load of an upstream of one version in a data centre."""
    version = averages[key[1:]]
    if version.reports < MIN_VERSION_REPORTS:
        version = averages[()]
    own = averages[key]
    weight = own.reports / (own.reports + PRIOR_REPORTS)
    return version.value + weight * (own.value - version.value)


class SlidingMaximum:
    """Largest value within a period of time."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._values: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, value: float, now: float) -> None:
        """Adds a value and drops those that are too old."""
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now, value))
        while self._values[0][0] < now - self._window_s:
            self._values.popleft()

    @property
    def value(self) -> float:
        """The largest value; 0 if there is none."""
        return self._values[0][1] if self._values else 0.0


class DemandHistory:
    """Recent demand of a service by data centre.

    Args:
        window_s: Time over which peaks are kept.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._peaks: dict[str, SlidingMaximum] = {}
        self._base: dict[str, float] = {}
        self._own_running: float | None = None
        self._recorded_at = -math.inf
        self._since: float | None = None

    @property
    def recorded_at(self) -> float:
        """When the latest estimate was recorded."""
        return self._recorded_at

    def record(self, found: Estimate, own_running: int, now: float) -> None:
        """Records an estimate and the running requests of this node."""
        if self._since is None:
            self._since = self._recorded_at = now
        elapsed_s = now - self._recorded_at
        # A plain average until the time constant has passed.
        span_s = min(BASE_LOAD_S, now - self._since)
        base_weight = min(1.0, elapsed_s / span_s) if span_s else 1.0
        for data_centre in {*found.busy_slots, *self._base}:
            busy = found.busy_slots.get(data_centre, 0.0)
            base = self._base.get(data_centre, busy)
            self._base[data_centre] = base + base_weight * (busy - base)
            if data_centre not in self._peaks:
                self._peaks[data_centre] = SlidingMaximum(self._window_s)
            self._peaks[data_centre].add(busy, now)
        own = (
            self._own_running if self._own_running is not None else own_running
        )
        weight = 1 - math.exp(-elapsed_s / OWN_SHARE_S)
        self._own_running = own + weight * (own_running - own)
        self._recorded_at = now

    def get_peak(self, data_centre: str) -> float:
        """Returns the largest demand within the window, in slots."""
        peaks = self._peaks.get(data_centre)
        return peaks.value if peaks else 0.0

    def get_base(self, data_centre: str) -> float:
        """Returns the base load in slots; 0 at the beginning."""
        if self._since is None or self._recorded_at - self._since < (
            BASE_SETTLE_S
        ):
            return 0.0
        return self._base.get(data_centre, 0.0)

    def compute_own_share(self, nodes: int) -> float:
        """Returns the slots that all nodes need at least, judged by this one.

        0 if this node has too few requests to judge.
        """
        own = self._own_running or 0.0
        return max(0.0, own - OWN_SHARE_DEVIATIONS * math.sqrt(own)) * nodes


def _read_load(replica: Replica, now: float) -> forwarding.Load | None:
    if now - replica.load_at > MAX_REPORT_AGE_S:
        return None
    return replica.load


def _count_busy(load: forwarding.Load) -> int:
    return max(0, load.running + load.waiting - REPORTING_REQUESTS)
