"""Table of upstreams: what this process knows of the load of each."""

import collections
from collections.abc import Iterable
import dataclasses

from sycamorehollow.decisions import components
from sycamorehollow.decisions.routing import shares
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events

# A report older than this, beyond its usual lag, no longer shows what is free.
REPORT_TTL_S = 2.5
# The time to live plus a poll interval of 1 s and its jitter: every process is
# then bound by a report as old as the oldest one that another may still use.
REPORT_WINDOW_S = 4.0
MAX_CHANGES = 1000  # bounds the memory while no reports arrive
# A share of 94 upstreams takes about 0.5 KB compressed; more processes than
# this publish less often, to stay below half of the budget of 10 KB/s.
SHARES_PER_S = 8.0
CONNECT_BACKOFF_S = 1.0
CONNECT_BACKOFF_MAX_S = 10.0


@dataclasses.dataclass(frozen=True)
class View:
    """What this process knows of an upstream.

    Attributes:
        name: Name of the upstream.
        data_centre: Where it stands.
        capacity_tokens: Tokens that its memory holds.
        reported_tokens: Held tokens of the last report.
        estimated_tokens: Held tokens by the estimate.
        outstanding: Attempts of this process.
        outstanding_tokens: Tokens of the attempts of this process.
        peer_tokens: Outstanding tokens that peers last told of.
        queued: Requests that waited at the upstream in the last report.
        report_age_s: Age of the last report; infinite without one.
        reachable: Whether connections are tried now.
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


class Row:
    """Mutable record of one upstream; written only by the table."""

    def __init__(self, configured: deployment.Upstream):
        self.configured = configured
        self.report: upstream_events.LoadReported | None = None
        self.recent: collections.deque[upstream_events.LoadReported] = (
            collections.deque()
        )
        self.attempts: dict[str, tuple[int, float]] = {}
        self.own_tokens = 0
        self.changes: collections.deque[tuple[float, int]] = collections.deque()
        self.own_growth = 0
        self.peer_tokens = 0
        self.peer_growth = 0
        self.peers_changed = False
        self.down_until = 0.0
        self.backoff_s = CONNECT_BACKOFF_S

    @property
    def capacity_tokens(self) -> int:
        """Memory in tokens, by the last report or else by configuration."""
        if self.report is None:
            return self.configured.capacity_tokens
        return self.report.capacity_tokens

    def estimate_tokens(self) -> int:
        """Estimates the held tokens now.

        The floor is what is known to be outstanding: a report may be too old
        to contain it and a finished attempt may be missing from it.
        """
        known = self.own_tokens + self.peer_tokens
        if self.report is None:
            return known
        grown = self.report.held_tokens + self.own_growth + self.peer_growth
        return max(known, grown)

    def change(self, tokens: int, now: float) -> None:
        """Records a start (positive) or an end (negative) of own work."""
        self.own_tokens += tokens
        self.own_growth += tokens
        self.changes.append((now, tokens))
        if len(self.changes) > MAX_CHANGES:
            self.own_growth -= self.changes.popleft()[1]

    def apply_report(
        self, report: upstream_events.LoadReported, window_s: float
    ) -> None:
        """Makes a newer report the base of the estimate."""
        if self.report is not None:
            if report.generation < self.report.generation:
                return
            if report.measured_at < self.report.measured_at:
                return
            if report.generation > self.report.generation:
                self.recent.clear()
        self.report = report
        self.recent.append(report)
        while self.recent[0].measured_at < report.measured_at - window_s:
            self.recent.popleft()
        while self.changes and self.changes[0][0] <= report.measured_at:
            self.own_growth -= self.changes.popleft()[1]


class Table(components.Component, components.Replicated):
    """Load of every configured upstream, as this process estimates it.

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
        self._rows: dict[str, Row] = {}
        self._by_version: dict[str, tuple[str, ...]] = {}
        self._shares = shares.PeerShares()
        self._sequence = 0
        self._published: dict[str, int] = {}
        self._published_at = float("-inf")
        self._report_lag_s = report_lag_s

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; returns no commands."""
        match event:
            case upstream_events.AttemptStarted():
                self._start(event, now)
            case upstream_events.AttemptEnded():
                self._end(event, now)
            case upstream_events.LoadReported():
                self._report(event)
            case upstream_events.UpstreamsConfigured():
                self._configure(event.upstreams)
            case (
                upstream_events.ConnectFailed()
                | upstream_events.ConnectTimedOut()
                | upstream_events.PollUnanswered()
            ):
                self._back_off(event.upstream, now)
            case events.Tick():
                for name in self._shares.expire(now, self._interval_s()):
                    self._mark(name)
        return []

    def is_stale(
        self, report: upstream_events.LoadReported, now: float
    ) -> bool:
        """Tells whether a report is too old to show what is free."""
        limit_s = REPORT_TTL_S + self._report_lag_s
        return now - report.measured_at > limit_s

    def find_row(self, name: str) -> Row | None:
        """Returns the record of an upstream, for reading only."""
        row = self._rows.get(name)
        if row is not None and row.peers_changed:
            self._sum_peers(name, row)
        return row

    def view(self, name: str, now: float) -> View | None:
        """Returns what is known of an upstream, or `None` if unknown."""
        row = self.find_row(name)
        if row is None:
            return None
        report = row.report
        return View(
            name=name,
            data_centre=row.configured.data_centre,
            capacity_tokens=row.capacity_tokens,
            reported_tokens=report.held_tokens if report else 0,
            estimated_tokens=row.estimate_tokens(),
            outstanding=len(row.attempts),
            outstanding_tokens=row.own_tokens,
            peer_tokens=row.peer_tokens,
            queued=report.queued if report else 0,
            report_age_s=now - report.measured_at if report else float("inf"),
            reachable=now >= row.down_until,
        )

    def list_serving(self, version: str) -> tuple[str, ...]:
        """Returns the upstreams that serve a version, in name order."""
        return self._by_version.get(version, ())

    def _configure(self, configured: Iterable[deployment.Upstream]) -> None:
        rows: dict[str, Row] = {}
        serving: dict[str, list[str]] = {}
        for upstream in sorted(configured, key=lambda one: one.name):
            row = self._rows.get(upstream.name) or Row(upstream)
            row.configured = upstream
            rows[upstream.name] = row
            for version in upstream.versions:
                serving.setdefault(version, []).append(upstream.name)
        # Attempts at a removed upstream still run; the row goes with the last.
        for name, row in self._rows.items():
            if name not in rows and row.attempts:
                rows[name] = row
        self._rows = rows
        self._by_version = {key: tuple(names) for key, names in serving.items()}
        for name in rows:
            self._mark(name)

    def _start(self, event: upstream_events.AttemptStarted, now: float) -> None:
        row = self._rows.get(event.upstream)
        if row is None or event.attempt in row.attempts:
            return
        row.attempts[event.attempt] = (event.tokens, now)
        row.change(event.tokens, now)

    def _end(self, event: upstream_events.AttemptEnded, now: float) -> None:
        row = self._rows.get(event.upstream)
        if row is None or event.attempt not in row.attempts:
            return
        tokens, _ = row.attempts.pop(event.attempt)
        row.change(-tokens, now)

    def _report(self, event: upstream_events.LoadReported) -> None:
        row = self._rows.get(event.upstream)
        if row is None:
            return
        row.apply_report(event, REPORT_WINDOW_S + self._report_lag_s)
        row.down_until = 0.0
        row.backoff_s = CONNECT_BACKOFF_S
        self._mark(event.upstream)

    def _back_off(self, name: str, now: float) -> None:
        row = self._rows.get(name)
        if row is None or now < row.down_until:
            return
        row.down_until = now + row.backoff_s
        row.backoff_s = min(2 * row.backoff_s, CONNECT_BACKOFF_MAX_S)

    def _mark(self, name: str) -> None:
        row = self._rows.get(name)
        if row is not None:
            row.peers_changed = True

    def _sum_peers(self, name: str, row: Row) -> None:
        # Summed when read: a choice reads a few rows, while a share of a peer
        # changes nearly all of them.
        row.peers_changed = False
        since = row.report.measured_at if row.report else None
        row.peer_tokens, row.peer_growth = self._shares.sum(name, since)

    def _interval_s(self) -> float:
        """Returns the seconds between two shares of this process."""
        return max(1.0, self._shares.count(self._data_centre) / SHARES_PER_S)

    def _publish(self, now: float) -> None:
        # A little early rather than a whole exchange late.
        if now - self._published_at < 0.9 * self._interval_s():
            return
        self._sequence += 1
        self._published_at = now
        self._published = {
            name: row.own_tokens
            for name, row in self._rows.items()
            if row.own_tokens
        }

    def build_digest(self, now: float) -> bytes:
        """Returns the sequence of every share of the own data centre."""
        self._publish(now)
        known = self._shares.list_known(self._data_centre)
        known[self._process] = self._sequence
        return shares.encode({"data_centre": self._data_centre, "known": known})

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns newer shares at upstreams of the sender's data centre."""
        asked = shares.decode(digest)
        known = asked["known"]
        place = asked["data_centre"]
        newer = self._shares.list_newer(known, place)
        if known.get(self._process, 0) < self._sequence:
            tokens = {}
            for name, count in self._published.items():
                row = self._rows.get(name)
                if row is not None and row.configured.data_centre == place:
                    tokens[name] = count
            newer.append(
                (self._process, self._data_centre, self._sequence, tokens)
            )
        return shares.encode(newer) if newer else b""

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies the shares of other processes; returns no commands."""
        if not delta:
            return []
        for process, place, sequence, tokens in shares.decode(delta):
            if process == self._process:
                continue
            changed = self._shares.merge(process, place, sequence, tokens, now)
            for name in changed:
                self._mark(name)
        return []
