"""Requests that crash the upstreams that run them.

A request that comes back with the same content after it broke connections at
several upstreams is refused. Content that has run to its end, here or at
another node, is not to blame: connections also break when upstreams crash or
are cut off for other reasons, and much of a service's load may be of one kind.

A connection also breaks when an upstream drops an idle one, has too many or
leaves. So each break is checked: an upstream that still takes connections has
not crashed. Until then the break counts here, but is not handed on.

In a large fleet each repeat arrives at another node, which sees one break only.
So every break is handed on, as a rumour: for a while after a node has learned
of it. That reaches all nodes, and costs nothing once everyone has heard it.
"""

import collections
from collections.abc import Mapping
import dataclasses

# Upstreams that a request may break before it is refused; the platform's page
# allows it to reach more of them only a few times after the third.
MAX_BREAKS = 2
# Time after which a request gets another chance, in seconds.
RETENTION_S = 60.0
MAX_FINGERPRINTS = 2000
# Time in seconds for which a node hands on what it has learned. Nodes exchange
# news once a second or more often, so a rumour doubles in each second at least.
GOSSIP_S = 6.0
# Fingerprints in one message, the latest ones; about 8 KB.
MAX_EXPORTED = 100
# Time in seconds from a break to its check. An upstream that crashes closes its
# listening socket within milliseconds of its connections, and is back after
# some seconds.
CHECK_AFTER_S = 0.05
# Time in seconds after which a break that is not checked counts as a crash; a
# check takes up to 0.55 s, with the period in which breaks are looked at.
CHECK_WITHIN_S = 0.6


@dataclasses.dataclass
class BreakRecord:
    """Breaks under one fingerprint.

    Attributes:
        breaks: When each upstream run broke.
        learned_at: When this node last learned of another break.
    """

    breaks: dict[str, float] = dataclasses.field(default_factory=dict)
    learned_at: float = float("-inf")

    def add(self, incarnation: str, at: float, now: float) -> bool:
        """Takes a break that happened at `at`, unless it is known."""
        if incarnation in self.breaks:
            return False
        self.breaks[incarnation] = at
        self.learned_at = now
        return True


class Quarantine:
    """Counts broken upstreams by the fingerprint of a request."""

    def __init__(self) -> None:
        self._records: dict[str, BreakRecord] = {}
        # When a fingerprint last ran to its end, the earliest first.
        self._completed: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # When a fingerprint that is sound was last found to be blamed.
        self._disputed: dict[str, float] = {}
        # Breaks seen here that are to be checked, by run and fingerprint.
        self._unchecked: dict[str, dict[str, float]] = {}

    def record_break(
        self, fingerprint: str, incarnation: str, now: float
    ) -> None:
        """A request broke the connection to a run of an upstream."""
        if self._has_completed(fingerprint, now):
            return
        breaks = self._unchecked.setdefault(incarnation, {})
        if self._add_break(fingerprint, incarnation, now, now):
            breaks[fingerprint] = now
        if not breaks or len(breaks) > MAX_FINGERPRINTS:
            del self._unchecked[incarnation]

    def list_incarnations_to_check(self, now: float) -> list[str]:
        """Returns the runs whose breaks are to be checked now."""
        return [
            run
            for run, breaks in self._unchecked.items()
            if min(breaks.values()) <= now - CHECK_AFTER_S
        ]

    def record_check(
        self, incarnation: str, crashed: bool, since: float
    ) -> int:
        """Keeps or drops the breaks of a run that was checked.

        Args:
            incarnation: The upstream's incarnation.
            crashed: Whether it has crashed.
            since: When the check began; later breaks are checked again.

        Returns:
            How many breaks were checked.
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
        """A request has run to its end."""
        self._records.pop(fingerprint, None)
        known = self._completed.get(fingerprint, now)
        self._completed[fingerprint] = max(known, now)
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_FINGERPRINTS:
            self._completed.popitem(last=False)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Tells whether a request is not run any more."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        recent = [at for at in record.breaks.values() if at > now - RETENTION_S]
        return len(recent) > MAX_BREAKS

    def export(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the breaks that are news, by fingerprint, with their ages."""
        news = []
        for fingerprint, record in self._records.items():
            if record.learned_at <= now - GOSSIP_S:
                continue
            ages = {
                run: round(now - at, 1)
                for run, at in record.breaks.items()
                if not self._awaits_check(fingerprint, run, now)
            }
            if ages:
                news.append((record.learned_at, fingerprint, ages))
        latest = sorted(news, key=lambda item: item[:2])[-MAX_EXPORTED:]
        return {fingerprint: ages for _, fingerprint, ages in latest}

    def _awaits_check(
        self, fingerprint: str, incarnation: str, now: float
    ) -> bool:
        at = self._unchecked.get(incarnation, {}).get(
            fingerprint, float("-inf")
        )
        return now - at < CHECK_WITHIN_S

    def export_completions(self, now: float) -> dict[str, float]:
        """Returns what others blame although it is sound, with its age."""
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
        """Takes what has run to its end at another node."""
        for fingerprint, age_s in ages.items():
            if fingerprint in self._records:
                # It was blamed here, and so it may be by those who heard of it.
                self._record_dispute(fingerprint, now)
            self.record_completion(fingerprint, now - age_s)

    def merge(
        self, records: Mapping[str, Mapping[str, float]], now: float
    ) -> None:
        """Takes the breaks that another node knows."""
        for fingerprint, breaks in records.items():
            if self._has_completed(fingerprint, now):
                self._record_dispute(fingerprint, now)
                continue
            for run, age_s in breaks.items():
                if age_s < RETENTION_S:
                    self._add_break(fingerprint, run, now - age_s, now)

    def _add_break(
        self, fingerprint: str, incarnation: str, at: float, now: float
    ) -> bool:
        """Takes a break; returns whether it was not known."""
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
