"""State of a roll-out at a node, and the report sent to other nodes."""

from collections.abc import Mapping
import dataclasses

from sycamorehollow.decisions.forwarding import failure_counts
from sycamorehollow.decisions.forwarding import failure_evidence
from sycamorehollow.decisions.forwarding import slowness
from sycamorehollow.model import forwarding


@dataclasses.dataclass(frozen=True)
class RolloutReport:
    """Report on a roll-out from one node to another.

    Attributes:
        revision: Revision of the order.
        age_s: Seconds since the order was first received.
        first_share: See `Rollout`.
        sound_s: Seconds since the version was first found to be sound. Only
            nodes of older builds read it, and what they state does not count:
            they do not look at routes.
    """

    service: str
    revision: int
    worse: bool
    age_s: float
    first_share: float | None
    sound_s: float | None
    tallies: Mapping[str, failure_counts.Tally]


@dataclasses.dataclass(frozen=True)
class RouteReport:
    """What a node knows of a roll-out by route.

    Attributes:
        revision: Revision of the order.
        sound_s: Seconds since `Rollout.sound_at`, or `None`.
        proven_s: Seconds since `Rollout.proven_at`, or `None`.
        counts: Counts by node, route and model.
    """

    service: str
    revision: int
    sound_s: float | None
    proven_s: float | None
    counts: Mapping[str, Mapping[str, Mapping[str, failure_evidence.Counts]]]


@dataclasses.dataclass
class Rollout:
    """An order and the state of its roll-out.

    Attributes:
        started_at: When the order was first received, by the earliest node.
        tallies: Counts by node; each node only increases its own.
        evidence: Counts of slow responses and the tests on them.
        failures: Counts of failed responses by route, and the tests on them.
        history: Sums of the counts of all nodes at earlier times.
        worse: Whether the new version was found to be worse.
        reason: Why this node found it to be worse.
        first_share: Traffic share of the new version before the ramp-up, the
            smallest that any node has computed; `None` while the response
            rate is measured.
        sound_at: When a node first found the version to be sound enough for
            the ramp-up.
        proven_at: When a node first found it to be sound enough for all
            requests.
        is_carried_over: Whether the store was restored since, so that the
            same order may be written again, at any revision.
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
    failures: failure_evidence.FailureEvidence = dataclasses.field(
        default_factory=failure_evidence.FailureEvidence
    )
    history: list[tuple[float, failure_counts.Tally]] = dataclasses.field(
        default_factory=list
    )
    worse: bool = False
    reason: str = ""
    first_share: float | None = None
    sound_at: float | None = None
    proven_at: float | None = None
    is_carried_over: bool = False

    def is_for(self, order: forwarding.RolloutOrder) -> bool:
        """Returns whether an order asks for the same as this one's."""
        return (order.target, order.duration_s) == (
            self.order.target,
            self.order.duration_s,
        )

    def sum_counts(self) -> failure_counts.Tally:
        """Returns the sum of the counts of all nodes."""
        total = failure_counts.Tally()
        for tally in self.tallies.values():
            total = total.plus(tally)
        return total
