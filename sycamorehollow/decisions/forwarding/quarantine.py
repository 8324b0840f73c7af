"""Quarantine of requests whose content crashes upstreams.

A request is rejected if requests with the same content broke the connections to
several upstreams. Content that has run to completion, at this node or another,
is cleared: connections also break when upstreams crash or become isolated for
other reasons, and much of a service's load may have the same content.

A connection also breaks when an upstream closes an idle one, has too many or
shuts down. Each break is therefore checked: an upstream that still accepts
connections has not crashed. Until the check the break counts at this node but
is not sent to others.

In a large fleet each retry arrives at another node, which sees a single break
only. Nodes therefore gossip breaks: each node sends a break for a while after
it has learned of it. This reaches all nodes and ends once all know.
"""

import collections
from collections.abc import Mapping
import dataclasses

# Connections to upstreams that a request may break before it is rejected. The
# platform allows only few more runs after the third crash.
MAX_BREAKS = 2
# Age from which a break or a completion no longer counts.
RETENTION_S = 60.0
MAX_FINGERPRINTS = 2000
# Time for which a node sends what it has learned. Nodes exchange at least once
# per second, so the number of informed nodes at least doubles every second.
GOSSIP_S = 6.0
# Maximum number of fingerprints in one message, about 8 KB; the latest are
# sent.
MAX_EXPORTED = 100
# Delay from a break to its check. A crashing upstream closes its listening
# socket within milliseconds of its connections and is back after some seconds.
CHECK_AFTER_S = 0.05
# Time after which an unchecked break counts as a crash. A check takes up to
# 0.55 s, including the polling interval for breaks.
CHECK_WITHIN_S = 0.6


@dataclasses.dataclass
class BreakRecord:
    """Broken connections of requests with one fingerprint.

    Attributes:
        breaks: Time of the break, by incarnation of the upstream.
        learned_at: When this node last learned of another break.
    """

    breaks: dict[str, float] = dataclasses.field(default_factory=dict)
    learned_at: float = float("-inf")

    def add(self, incarnation: str, at: float, now: float) -> bool:
        """Adds a break that happened at `at`; returns whether it was new."""
        if incarnation in self.breaks:
            return False
        self.breaks[incarnation] = at
        self.learned_at = now
        return True


class Quarantine:
    """Counts broken connections by fingerprint of the request."""

    def __init__(self) -> None:
        self._records: dict[str, BreakRecord] = {}
        # Latest completion of each fingerprint, the least recent first.
        self._completed: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # When a completed fingerprint was last found to be blamed elsewhere.
        self._disputed: dict[str, float] = {}
        # Unchecked breaks of this node, by incarnation and fingerprint.
        self._unchecked: dict[str, dict[str, float]] = {}

    def record_break(
        self, fingerprint: str, incarnation: str, now: float
    ) -> None:
        """Records that a request broke the connection to an upstream."""
        if self._has_completed(fingerprint, now):
            return
        breaks = self._unchecked.setdefault(incarnation, {})
        if self._add_break(fingerprint, incarnation, now, now):
            breaks[fingerprint] = now
        if not breaks or len(breaks) > MAX_FINGERPRINTS:
            del self._unchecked[incarnation]

    def list_incarnations_to_check(self, now: float) -> list[str]:
        """Returns the incarnations whose breaks are due for a check."""
        return [
            incarnation
            for incarnation, breaks in self._unchecked.items()
            if min(breaks.values()) <= now - CHECK_AFTER_S
        ]

    def record_check(
        self, incarnation: str, crashed: bool, since: float
    ) -> int:
        """Confirms or drops the breaks of an incarnation that was checked.

        Args:
            incarnation: The upstream's incarnation.
            crashed: Whether it has crashed.
            since: When the check began; later breaks need another check.

        Returns:
            The number of breaks that were checked.
        """
        breaks = self._unchecked.pop(incarnation, {})
        until = since - CHECK_AFTER_S
        checked = {f: at for f, at in breaks.items() if at <= until}
        later = {f: at for f, at in breaks.items() if at > until}
        if later:
            self._unchecked[incarnation] = later
        if not crashed:
            for fingerprint in checked:
                self._remove_break(fingerprint, incarnation)
        return len(checked)

    def _remove_break(self, fingerprint: str, incarnation: str) -> None:
        record = self._records.get(fingerprint)
        if record is None:
            return
        record.breaks.pop(incarnation, None)
        if not record.breaks:
            del self._records[fingerprint]

    def record_completion(self, fingerprint: str, now: float) -> None:
        """Clears the fingerprint of a request that ran to completion."""
        self._records.pop(fingerprint, None)
        latest = self._completed.get(fingerprint, now)
        self._completed[fingerprint] = max(latest, now)
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_FINGERPRINTS:
            self._completed.popitem(last=False)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must be rejected."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        recent = [at for at in record.breaks.values() if at > now - RETENTION_S]
        return len(recent) > MAX_BREAKS

    def export(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the ages of the breaks to gossip, by fingerprint."""
        recent = []
        for fingerprint, record in self._records.items():
            if record.learned_at <= now - GOSSIP_S:
                continue
            ages = {
                incarnation: round(now - at, 1)
                for incarnation, at in record.breaks.items()
                if not self._awaits_check(fingerprint, incarnation, now)
            }
            if ages:
                recent.append((record.learned_at, fingerprint, ages))
        latest = sorted(recent, key=lambda item: item[:2])[-MAX_EXPORTED:]
        return {fingerprint: ages for _, fingerprint, ages in latest}

    def _awaits_check(
        self, fingerprint: str, incarnation: str, now: float
    ) -> bool:
        at = self._unchecked.get(incarnation, {}).get(
            fingerprint, float("-inf")
        )
        return now - at < CHECK_WITHIN_S

    def export_completions(self, now: float) -> dict[str, float]:
        """Returns the ages of completions that refute blame elsewhere."""
        for fingerprint, at in list(self._disputed.items()):
            if at <= now - GOSSIP_S:
                del self._disputed[fingerprint]
        latest = list(self._disputed)[-MAX_EXPORTED:]
        return {
            fingerprint: round(now - self._completed[fingerprint], 1)
            for fingerprint in latest
            if self._has_completed(fingerprint, now)
        }

    def merge_completions(self, ages: Mapping[str, float], now: float) -> None:
        """Merges completions at other nodes."""
        for fingerprint, age_s in ages.items():
            if fingerprint in self._records:
                # Nodes that got the breaks from here may still blame it.
                self._record_dispute(fingerprint, now)
            self.record_completion(fingerprint, now - age_s)

    def merge(
        self, records: Mapping[str, Mapping[str, float]], now: float
    ) -> None:
        """Merges the breaks that another node knows."""
        for fingerprint, breaks in records.items():
            if self._has_completed(fingerprint, now):
                self._record_dispute(fingerprint, now)
                continue
            for incarnation, age_s in breaks.items():
                if age_s < RETENTION_S:
                    self._add_break(fingerprint, incarnation, now - age_s, now)

    def _add_break(
        self, fingerprint: str, incarnation: str, at: float, now: float
    ) -> bool:
        """Adds a break; returns whether it was new."""
        record = self._records.setdefault(fingerprint, BreakRecord())
        added = record.add(incarnation, at, now)
        if len(self._records) > MAX_FINGERPRINTS:
            self._records.pop(next(iter(self._records)))
        return added

    def _record_dispute(self, fingerprint: str, now: float) -> None:
        self._disputed.pop(fingerprint, None)
        self._disputed[fingerprint] = now

    def _has_completed(self, fingerprint: str, now: float) -> bool:
        return (
            self._completed.get(fingerprint, float("-inf")) > now - RETENTION_S
        )
