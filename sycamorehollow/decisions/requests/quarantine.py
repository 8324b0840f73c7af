"""Quarantine of requests that crash upstreams.

A lost connection followed by the end of the upstream's generation is a crash.
Every request that ran there is suspected and runs alone until it completes,
which clears it, or causes another crash, which quarantines it.
"""

import collections
import dataclasses
import enum
import json

from sycamorehollow.decisions import components
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

CRASHES_TO_QUARANTINE = 2
# A lost connection proves a crash only if the upstream then refuses connections
# or reports a new generation, which takes a few polls.
CRASH_DETECTION_WINDOW_S = 10.0
# Callers may resend a request for as long as they keep its idempotency key.
RECORD_TTL_S = 24 * 3600.0
# Ages of records from peers are off by the transmission time.
PEER_AGE_ERROR_S = 2.0
MAX_FINGERPRINTS = 10000
BUSY_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class UpstreamCrashed(events.Event):
    """A generation of an upstream is known to have ended.

    Not needed where load reports and failed connections are passed on, as
    these reveal a crash after a connection was lost.

    Attributes:
        generation: The generation that ended.
    """

    upstream: str
    generation: int


@dataclasses.dataclass(frozen=True)
class PushQuarantine(commands.Command):
    """Push the state of the quarantine to the live members at once."""


@dataclasses.dataclass(frozen=True)
class Quarantined(failures.Failure):
    """The request has crashed upstreams and is not executed again."""

    code = "quarantined"
    status = 422


@dataclasses.dataclass(frozen=True)
class SuspectBusy(failures.Failure):
    """A suspected request is already running in isolation."""

    code = "suspect_busy"
    status = 503


class Isolation(enum.Enum):
    """Whether a request has to run without other work at its upstream."""

    NOT_NEEDED = "clear"
    REQUIRED = "isolated"


@dataclasses.dataclass
class CrashRecord:
    """Crashes and completions of one fingerprint.

    Attributes:
        crashes: Time of each crash by upstream and generation.
        completions: Completions after a crash.
        completed_at: Time of the last completion; older crashes do not count.
    """

    crashes: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    completions: int = 0
    completed_at: float = float("-inf")

    def count_crashes(self) -> int:
        """Returns the number of crashes since the last completion."""
        since = self.completed_at
        return sum(1 for time in self.crashes.values() if time > since)

    def find_last_change(self) -> float:
        """Returns the time of the last change of the record."""
        return max(self.completed_at, *self.crashes.values(), float("-inf"))


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A running attempt, or one whose connection was lost recently.

    Attributes:
        generation: Last known generation of the upstream at the start.
        isolated: Whether no other work may start at the same upstream.
        lost_at: When the connection was lost; infinite while it runs.
    """

    fingerprint: str
    upstream: str
    generation: int
    isolated: bool
    lost_at: float = float("inf")


class Quarantine(components.Component, components.Replicated):
    """Detects requests that crash upstreams and clears uninvolved ones."""

    kind = "quarantine"

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._running: dict[str, Attempt] = {}
        self._running_count: collections.Counter[str] = collections.Counter()
        self._isolated_count: collections.Counter[str] = collections.Counter()
        # Keyed by attempt and upstream, as a retry keeps the attempt's name.
        self._lost: dict[tuple[str, str], Attempt] = {}
        self._last_loss_at: dict[str, float] = {}
        self._generations: dict[str, int] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        match event:
            case upstream_events.AttemptStarted():
                self._start(event, now)
            case upstream_events.AttemptEnded():
                return self._end(event, now)
            case UpstreamCrashed():
                return self._record_upstream_crash(event, now)
            case upstream_events.LoadReported():
                return self._handle_load_report(event, now)
            case upstream_events.ConnectFailed():
                generation = self._generations.get(event.upstream, 0)
                return self._record_crashes(event.upstream, generation, now)
            case events.Tick():
                self._expire(now)
        return []

    def count_quarantined(self) -> int:
        """Returns the number of quarantined requests."""
        return sum(
            record.count_crashes() >= CRASHES_TO_QUARANTINE
            for record in self._records.values()
        )

    def check(
        self, fingerprint: str, now: float, replaced_attempt: str = ""
    ) -> Isolation | failures.Failure:
        """Returns whether a request needs isolation, or why it may not run.

        Args:
            fingerprint: Hash of the workspace and the content.
            now: Monotonic time in seconds.
            replaced_attempt: Name of the running attempt that it would
                replace, which would count as lost.
        """
        record = self._records.get(fingerprint)
        if (
            record is not None
            and record.count_crashes() >= CRASHES_TO_QUARANTINE
        ):
            return Quarantined(
                "The request has crashed the upstreams that ran it."
            )
        if not replaced_attempt and not self._is_suspect(fingerprint, now):
            return Isolation.NOT_NEEDED
        if (
            self._count_possible_crashes(fingerprint, replaced_attempt)
            >= CRASHES_TO_QUARANTINE
        ):
            return SuspectBusy(
                "It is not known yet whether the request crashed upstreams.",
                failures.Execution.NOT_STARTED,
                BUSY_RETRY_AFTER_S,
            )
        for name, attempt in self._running.items():
            if name != replaced_attempt and attempt.fingerprint == fingerprint:
                return SuspectBusy(
                    "The request is suspected of a crash and runs already.",
                    failures.Execution.NOT_STARTED,
                    BUSY_RETRY_AFTER_S,
                )
        return Isolation.REQUIRED

    def can_place(
        self,
        fingerprint: str,
        upstream: str,
        peers_idle: bool,
        now: float,
        replaced_attempt: str = "",
    ) -> bool:
        """Returns whether a request may run beside the work at an upstream.

        Args:
            fingerprint: Hash of the workspace and the content.
            upstream: Name of the upstream.
            peers_idle: Whether the last load reports of peers and of the
                upstream show no other work there.
            now: Monotonic time in seconds.
            replaced_attempt: See `check`.
        """
        if replaced_attempt or self._is_suspect(fingerprint, now):
            return peers_idle and not self._running_count[upstream]
        return not self._isolated_count[upstream]

    def _count_possible_crashes(
        self, fingerprint: str, replaced_attempt: str
    ) -> int:
        """Returns the number of known crashes and of possible ones."""
        record = self._records.get(fingerprint)
        count = record.count_crashes() if record is not None else 0
        possible = {
            lost.upstream
            for lost in self._lost.values()
            if lost.fingerprint == fingerprint
        }
        running = self._running.get(replaced_attempt)
        if running is not None:
            possible.add(running.upstream)
        return count + len(possible)

    def _is_suspect(self, fingerprint: str, now: float) -> bool:
        # Until it is known whether the upstream crashed, a request whose
        # connection was lost might crash the next upstream as well.
        lost_at = self._last_loss_at.get(fingerprint)
        if lost_at is not None and now - lost_at < CRASH_DETECTION_WINDOW_S:
            return True
        record = self._records.get(fingerprint)
        return record is not None and record.count_crashes() > 0

    def _start(self, event: upstream_events.AttemptStarted, now: float) -> None:
        if event.attempt in self._running:
            return
        isolated = self._is_suspect(event.fingerprint, now)
        generation = self._generations.get(event.upstream, 0)
        attempt = Attempt(
            event.fingerprint, event.upstream, generation, isolated
        )
        self._running[event.attempt] = attempt
        self._running_count[event.upstream] += 1
        self._isolated_count[event.upstream] += isolated

    def _stop(self, name: str) -> Attempt | None:
        attempt = self._running.pop(name, None)
        if attempt is not None:
            self._running_count[attempt.upstream] -= 1
            self._isolated_count[attempt.upstream] -= attempt.isolated
        return attempt

    def _end(
        self, event: upstream_events.AttemptEnded, now: float
    ) -> list[commands.Command]:
        attempt = self._stop(event.attempt)
        if attempt is None:
            return []
        if event.status is upstream_events.AttemptStatus.LOST:
            lost = dataclasses.replace(attempt, lost_at=now)
            self._lost[event.attempt, event.upstream] = lost
            self._last_loss_at[attempt.fingerprint] = now
            if attempt.generation < self._generations.get(event.upstream, 0):
                # The report of the next generation arrived before the loss.
                return self._record_crashes(
                    event.upstream, attempt.generation, now
                )
            return []
        if event.status is not upstream_events.AttemptStatus.COMPLETED:
            return []
        return self._clear(attempt.fingerprint, now)

    def _clear(self, fingerprint: str, now: float) -> list[commands.Command]:
        """Clears a request, as a response proves that it is harmless."""
        if self._last_loss_at.pop(fingerprint, None) is not None:
            for name, lost in list(self._lost.items()):
                if lost.fingerprint == fingerprint:
                    del self._lost[name]
        record = self._records.get(fingerprint)
        if record is None or not record.count_crashes():
            return []
        record.completions += 1
        record.completed_at = now
        return [PushQuarantine()]

    def _handle_load_report(
        self, event: upstream_events.LoadReported, now: float
    ) -> list[commands.Command]:
        known = self._generations.setdefault(event.upstream, event.generation)
        if event.generation <= known:
            return []
        self._generations[event.upstream] = event.generation
        return self._record_crashes(event.upstream, known, now)

    def _record_upstream_crash(
        self, event: UpstreamCrashed, now: float
    ) -> list[commands.Command]:
        for name, attempt in list(self._running.items()):
            if attempt.upstream == event.upstream:
                # Its end may be reported later or never; it counts once.
                self._stop(name)
                lost = dataclasses.replace(attempt, lost_at=now)
                self._lost[name, event.upstream] = lost
        return self._record_crashes(event.upstream, event.generation, now)

    def _record_crashes(
        self, upstream: str, generation: int, now: float
    ) -> list[commands.Command]:
        """Records a crash for each attempt recently lost at an upstream."""
        recorded = False
        for name, lost in list(self._lost.items()):
            if lost.upstream != upstream:
                continue
            del self._lost[name]
            if now - lost.lost_at >= CRASH_DETECTION_WINDOW_S:
                continue
            record = self._records.setdefault(lost.fingerprint, CrashRecord())
            record.crashes.setdefault((upstream, generation), lost.lost_at)
            recorded = True
        return [PushQuarantine()] if recorded else []

    def _expire(self, now: float) -> None:
        for name, lost in list(self._lost.items()):
            if now - lost.lost_at >= CRASH_DETECTION_WINDOW_S:
                del self._lost[name]
        for fingerprint, lost_at in list(self._last_loss_at.items()):
            if now - lost_at >= CRASH_DETECTION_WINDOW_S:
                del self._last_loss_at[fingerprint]
        for fingerprint, record in list(self._records.items()):
            if now - record.find_last_change() >= RECORD_TTL_S:
                del self._records[fingerprint]
        excess = len(self._records) - MAX_FINGERPRINTS
        if excess > 0:
            oldest = sorted(
                self._records,
                key=lambda one: self._records[one].find_last_change(),
            )
            for fingerprint in oldest[:excess]:
                del self._records[fingerprint]

    def build_digest(self, now: float) -> bytes:
        """Returns the known crashes and completions of every fingerprint."""
        known = {}
        for fingerprint, record in self._records.items():
            known[fingerprint] = [
                [list(pair) for pair in sorted(record.crashes)],
                record.completions,
            ]
        return json.dumps(known, separators=(",", ":")).encode()

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the records that the sender of a digest lacks, with ages."""
        known = json.loads(digest)
        delta = {}
        for fingerprint, record in self._records.items():
            pairs, completions = known.get(fingerprint, ([], 0))
            seen = {(upstream, generation) for upstream, generation in pairs}
            crashes = [
                [*pair, now - time]
                for pair, time in record.crashes.items()
                if pair not in seen
            ]
            has_completed = record.completions > completions
            if not crashes and not has_completed:
                continue
            age_s = now - record.completed_at if record.completions else 0.0
            delta[fingerprint] = [crashes, record.completions, age_s]
        if not delta:
            return b""
        return json.dumps(delta, separators=(",", ":")).encode()

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Merges the records of a peer; returns no commands."""
        if not delta:
            return []
        for fingerprint, (crashes, completions, age_s) in json.loads(
            delta
        ).items():
            record = self._records.setdefault(fingerprint, CrashRecord())
            for upstream, generation, crash_age_s in crashes:
                # The crash is older than its age by the transmission time. One
                # from before a completion must not count.
                time = now - crash_age_s - PEER_AGE_ERROR_S
                pair = (upstream, generation)
                record.crashes[pair] = min(time, record.crashes.get(pair, time))
            if completions > record.completions:
                record.completions = completions
                record.completed_at = max(record.completed_at, now - age_s)
        return []
