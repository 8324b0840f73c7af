"""Estimated load of each upstream.

The estimate starts from the last load report and adds what this process and
its peers have started or ended since. Peers publish their outstanding tokens.
"""

import collections
from collections.abc import Iterable
import dataclasses

from sycamorehollow.decisions import components
from sycamorehollow.decisions.routing import peer_loads
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events

# Besides its usual lag; an older report no longer shows what is free.
REPORT_TTL_S = 2.5
# The TTL plus a poll interval of 1 s and its jitter. Every process is then
# limited by a report as old as the oldest one that a peer may still use.
REPORT_WINDOW_S = 4.0
MAX_CHANGES = 1000  # bounds the memory while no reports arrive
# All processes of a data centre together. The load of 94 upstreams takes about
# 0.5 KB compressed, so this stays below half of the budget of 10 KB/s.
LOAD_UPDATES_PER_S = 8.0
CONNECT_BACKOFF_S = 1.0
CONNECT_BACKOFF_MAX_S = 10.0


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """Snapshot of the load of an upstream.

    Attributes:
        name: Name of the upstream.
        data_centre: Data centre of the upstream.
        capacity_tokens: Tokens that its memory holds.
        reported_tokens: Held tokens in the last report.
        estimated_tokens: Estimate of the held tokens.
        outstanding: Outstanding attempts of this process.
        outstanding_tokens: Tokens of the attempts of this process.
        peer_tokens: Outstanding tokens that peers last published.
        queued: Requests queued at the upstream in the last report.
        report_age_s: Age of the last report; infinite without one.
        reachable: Whether no connect backoff is in progress.
    """

    name: str
    data_centre: str
    capacity_tokens: int
    reported_tokens: int
    estimated_tokens: int
    outstanding: int
    outstanding_tokens: int
    peer_tokens: int
    queued: int
    report_age_s: float
    reachable: bool


class UpstreamLoad:
    """Load of one upstream; modified only by the table."""

    def __init__(self, configured: deployment.Upstream):
        self.configuration = configured
        self.report: upstream_events.LoadReported | None = None
        self.recent_reports: collections.deque[upstream_events.LoadReported] = (
            collections.deque()
        )
        self.attempts: dict[str, tuple[int, float]] = {}
        self.own_tokens = 0
        self.own_changes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.own_growth = 0
        self.peer_tokens = 0
        self.peer_growth = 0
        self.peer_sums_stale = False
        self.backoff_until = 0.0
        self.backoff_s = CONNECT_BACKOFF_S

    @property
    def capacity_tokens(self) -> int:
        """Memory in tokens from the last report, else from configuration."""
        if self.report is None:
            return self.configuration.capacity_tokens
        return self.report.capacity_tokens

    def estimate_tokens(self) -> int:
        """Estimates the tokens held now.

        At least the tokens known to be outstanding: a report may be too old to
        contain them, and may already lack an attempt that has finished.
        """
        known = self.own_tokens + self.peer_tokens
        if self.report is None:
            return known
        grown = self.report.held_tokens + self.own_growth + self.peer_growth
        return max(known, grown)

    def record_own_change(self, tokens: int, now: float) -> None:
        """Records that this process started (positive) or ended tokens."""
        self.own_tokens += tokens
        self.own_growth += tokens
        self.own_changes.append((now, tokens))
        if len(self.own_changes) > MAX_CHANGES:
            self.own_growth -= self.own_changes.popleft()[1]

    def apply_report(
        self, report: upstream_events.LoadReported, window_s: float
    ) -> None:
        """Bases the estimate on a report unless it is outdated."""
        if self.report is not None:
            if report.generation < self.report.generation:
                return
            if report.measured_at < self.report.measured_at:
                return
            if report.generation > self.report.generation:
                self.recent_reports.clear()
        self.report = report
        self.recent_reports.append(report)
        while (
            self.recent_reports[0].measured_at < report.measured_at - window_s
        ):
            self.recent_reports.popleft()
        while self.own_changes and self.own_changes[0][0] <= report.measured_at:
            self.own_growth -= self.own_changes.popleft()[1]


class LoadTable(components.Component, components.Replicated):
    """Estimates the load of every configured upstream.

    Args:
        process: Identity of this process including its incarnation, so that
            a restart counts as another process.
        data_centre: Data centre of this process.
        report_lag_s: Longest usual lag of the load reports in seconds.
    """

    kind = "upstreams"

    def __init__(
        self, process: str, data_centre: str, report_lag_s: float = 0.0
    ):
        self._process = process
        self._data_centre = data_centre
        self._loads: dict[str, UpstreamLoad] = {}
        self._by_version: dict[str, tuple[str, ...]] = {}
        self._peer_loads = peer_loads.PeerLoads()
        self._sequence = 0
        self._published: dict[str, int] = {}
        self._published_at = float("-inf")
        self._report_lag_s = report_lag_s

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; returns no commands."""
        match event:
            case upstream_events.AttemptStarted():
                self._start_attempt(event, now)
            case upstream_events.AttemptEnded():
                self._end_attempt(event, now)
            case upstream_events.LoadReported():
                self._apply_report(event)
            case upstream_events.UpstreamsConfigured():
                self._configure(event.upstreams)
            case (
                upstream_events.ConnectFailed()
                | upstream_events.ConnectTimedOut()
                | upstream_events.PollUnanswered()
            ):
                self._back_off(event.upstream, now)
            case events.Tick():
                for name in self._peer_loads.expire(
                    now, self._get_publish_interval_s()
                ):
                    self._invalidate_peer_sums(name)
        return []

    def is_stale(
        self, report: upstream_events.LoadReported, now: float
    ) -> bool:
        """Returns whether a report is too old to show what is free."""
        limit_s = REPORT_TTL_S + self._report_lag_s
        return now - report.measured_at > limit_s

    def find_load(self, name: str) -> UpstreamLoad | None:
        """Returns the load of an upstream, for reading only."""
        load = self._loads.get(name)
        if load is not None and load.peer_sums_stale:
            self._sum_peers(name, load)
        return load

    def view(self, name: str, now: float) -> UpstreamView | None:
        """Returns a snapshot of an upstream's load, or `None` if unknown."""
        load = self.find_load(name)
        if load is None:
            return None
        report = load.report
        return UpstreamView(
            name=name,
            data_centre=load.configuration.data_centre,
            capacity_tokens=load.capacity_tokens,
            reported_tokens=report.held_tokens if report else 0,
            estimated_tokens=load.estimate_tokens(),
            outstanding=len(load.attempts),
            outstanding_tokens=load.own_tokens,
            peer_tokens=load.peer_tokens,
            queued=report.queued if report else 0,
            report_age_s=now - report.measured_at if report else float("inf"),
            reachable=now >= load.backoff_until,
        )

    def list_serving(self, version: str) -> tuple[str, ...]:
        """Returns the upstreams that serve a version, in name order."""
        return self._by_version.get(version, ())

    def _configure(self, configured: Iterable[deployment.Upstream]) -> None:
        loads: dict[str, UpstreamLoad] = {}
        serving: dict[str, list[str]] = {}
        for upstream in sorted(configured, key=lambda one: one.name):
            load = self._loads.get(upstream.name) or UpstreamLoad(upstream)
            load.configuration = upstream
            loads[upstream.name] = load
            for version in upstream.versions:
                serving.setdefault(version, []).append(upstream.name)
        # A removed upstream stays until its last attempt has ended.
        for name, load in self._loads.items():
            if name not in loads and load.attempts:
                loads[name] = load
        self._loads = loads
        self._by_version = {key: tuple(names) for key, names in serving.items()}
        for name in loads:
            self._invalidate_peer_sums(name)

    def _start_attempt(
        self, event: upstream_events.AttemptStarted, now: float
    ) -> None:
        load = self._loads.get(event.upstream)
        if load is None or event.attempt in load.attempts:
            return
        load.attempts[event.attempt] = (event.tokens, now)
        load.record_own_change(event.tokens, now)

    def _end_attempt(
        self, event: upstream_events.AttemptEnded, now: float
    ) -> None:
        load = self._loads.get(event.upstream)
        if load is None or event.attempt not in load.attempts:
            return
        tokens, _ = load.attempts.pop(event.attempt)
        load.record_own_change(-tokens, now)

    def _apply_report(self, event: upstream_events.LoadReported) -> None:
        load = self._loads.get(event.upstream)
        if load is None:
            return
        load.apply_report(event, REPORT_WINDOW_S + self._report_lag_s)
        load.backoff_until = 0.0
        load.backoff_s = CONNECT_BACKOFF_S
        self._invalidate_peer_sums(event.upstream)

    def _back_off(self, name: str, now: float) -> None:
        load = self._loads.get(name)
        if load is None or now < load.backoff_until:
            return
        load.backoff_until = now + load.backoff_s
        load.backoff_s = min(2 * load.backoff_s, CONNECT_BACKOFF_MAX_S)

    def _invalidate_peer_sums(self, name: str) -> None:
        load = self._loads.get(name)
        if load is not None:
            load.peer_sums_stale = True

    def _sum_peers(self, name: str, load: UpstreamLoad) -> None:
        # Summed lazily: a choice reads a few upstreams, while an update of a
        # peer changes nearly all of them.
        load.peer_sums_stale = False
        since = load.report.measured_at if load.report else None
        load.peer_tokens, load.peer_growth = self._peer_loads.sum_tokens(
            name, since
        )

    def _get_publish_interval_s(self) -> float:
        """Returns the seconds between two publications of this process."""
        return max(
            1.0, self._peer_loads.count(self._data_centre) / LOAD_UPDATES_PER_S
        )

    def _publish(self, now: float) -> None:
        # Better slightly early than late by a whole exchange interval.
        if now - self._published_at < 0.9 * self._get_publish_interval_s():
            return
        self._sequence += 1
        self._published_at = now
        self._published = {
            name: load.own_tokens
            for name, load in self._loads.items()
            if load.own_tokens
        }

    def build_digest(self, now: float) -> bytes:
        """Returns the sequences of the loads of the own data centre."""
        self._publish(now)
        known = self._peer_loads.list_sequences(self._data_centre)
        known[self._process] = self._sequence
        return peer_loads.compress_json(
            {"data_centre": self._data_centre, "known": known}
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns newer loads of upstreams in the sender's data centre."""
        peer_digest = peer_loads.decompress_json(digest)
        known = peer_digest["known"]
        data_centre = peer_digest["data_centre"]
        newer = self._peer_loads.list_newer(known, data_centre)
        if known.get(self._process, 0) < self._sequence:
            tokens = {}
            for name, count in self._published.items():
                load = self._loads.get(name)
                if (
                    load is not None
                    and load.configuration.data_centre == data_centre
                ):
                    tokens[name] = count
            newer.append(
                (self._process, self._data_centre, self._sequence, tokens)
            )
        return peer_loads.compress_json(newer) if newer else b""

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies the loads of other processes; returns no commands."""
        if not delta:
            return []
        for (
            process,
            data_centre,
            sequence,
            tokens,
        ) in peer_loads.decompress_json(delta):
            if process == self._process:
                continue
            changed = self._peer_loads.merge(
                process, data_centre, sequence, tokens, now
            )
            for name in changed:
                self._invalidate_peer_sums(name)
        return []
