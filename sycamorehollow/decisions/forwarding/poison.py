"""Requests that crash the upstreams that run them.

A request that comes back with the same content after it broke connections at
several upstreams is refused. One success clears it: a connection also breaks
when an upstream crashes for another reason.
"""

from collections.abc import Mapping
import dataclasses

# Upstreams that a request may break before it is refused; the platform's page
# allows it to reach more of them only a few times after the third.
MAX_BREAKS = 2
# Time after which a request gets another chance.
KEEP_S = 60.0
MAX_FINGERPRINTS = 2000


@dataclasses.dataclass
class Record:
    """Breaks under one fingerprint.

    Attributes:
        breaks: When each upstream run broke.
    """

    breaks: dict[str, float] = dataclasses.field(default_factory=dict)


class Poison:
    """Counts broken upstreams by the fingerprint of a request."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}

    def note_break(self, fingerprint: str, run: str, now: float) -> None:
        """A request broke the connection to a run of an upstream."""
        record = self._records.setdefault(fingerprint, Record())
        record.breaks[run] = now
        if len(self._records) > MAX_FINGERPRINTS:
            self._records.pop(next(iter(self._records)))

    def note_success(self, fingerprint: str) -> None:
        """A request has run to its end."""
        self._records.pop(fingerprint, None)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tells whether a request is not run any more."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        recent = [at for at in record.breaks.values() if at > now - KEEP_S]
        return len(recent) > MAX_BREAKS

    def export(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the fingerprints with two breaks or more, with their ages."""
        return {
            fingerprint: {
                run: round(now - at, 1) for run, at in record.breaks.items()
            }
            for fingerprint, record in self._records.items()
            if len(record.breaks) >= 2
        }

    def merge(
        self, records: Mapping[str, Mapping[str, float]], now: float
    ) -> None:
        """Takes the breaks that another node knows."""
        for fingerprint, breaks in records.items():
            for run, age_s in breaks.items():
                record = self._records.setdefault(fingerprint, Record())
                record.breaks.setdefault(run, now - age_s)
