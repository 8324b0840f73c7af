"""What a node keeps of a roll-out, and what it tells other nodes."""

from collections.abc import Mapping
import dataclasses

from sycamorehollow.decisions.forwarding import failure_counts
from sycamorehollow.decisions.forwarding import slowness
from sycamorehollow.model import forwarding


@dataclasses.dataclass(frozen=True)
class RolloutReport:
    """What one node tells another of a roll-out.

    Attributes:
        revision: Revision of the order.
        age_s: Seconds since the order was first heard of.
        first_share: See `Rollout`.
        sound_s: Seconds since the version was first found to be sound.
    """

    service: str
    revision: int
    worse: bool
    age_s: float
    first_share: float | None
    sound_s: float | None
    tallies: Mapping[str, failure_counts.Tally]


@dataclasses.dataclass
class Rollout:
    """One order and what is known of it.

    Attributes:
        started_at: When this process heard of it.
        tallies: Counts by node; each node only raises its own.
        evidence: Counts of slow answers, and the test on them.
        history: Sums of all counts at earlier times.
        worse: Whether the new version was found to be worse.
        reason: Why this node has found it to be worse.
        first_share: Share of the new version while little is known, the
            smallest that any node has found; `None` while it is measured.
        sound_at: When a node first found the version to be sound.
    """

    order: forwarding.RolloutOrder
    started_at: float
    state: forwarding.RolloutState | None = None
    tallies: dict[str, failure_counts.Tally] = dataclasses.field(
        default_factory=dict
    )
    evidence: slowness.Evidence = dataclasses.field(
        default_factory=slowness.Evidence
    )
    history: list[tuple[float, failure_counts.Tally]] = dataclasses.field(
        default_factory=list
    )
    worse: bool = False
    reason: str = ""
    first_share: float | None = None
    sound_at: float | None = None

    def sum_counts(self) -> failure_counts.Tally:
        """Returns the counts of all nodes."""
        total = failure_counts.Tally()
        for tally in self.tallies.values():
            total = total.plus(tally)
        return total
