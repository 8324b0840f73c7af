"""Roll-outs of versions: shares, evidence and when they end.

A new version gets a small share of the requests first. Every node counts
answers of both versions and nodes exchange their counts. A version that is
worse than the one in service is stopped at once by each node that can tell; a
sound one gets more and is completed before its time is up.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import zlib

from sycamorehollow.model import forwarding

# Share of the tolerated exposure that a version gets at most while little is
# known. Sessions that are open when they get the new version change theirs, so
# the share is halved until it brings no more answers than the evidence needs.
FIRST_SHARE = 0.55
EVIDENCE_PER_S = 4.0
# Time in seconds in which each node measures the rate of answers.
SURVEY_S = 2.0
# Part of the time during which only that share is sent.
FIRST_PART = 0.5
# Part of the time from which a proven version gets all requests, and at which
# the roll-out is completed: the upstreams of the other version then stop at
# once, so their streams need the time between to end.
ALL_PART = 0.7
COMPLETE_PART = 0.88
# Share of requests that a proven version gets just before it gets all.
LAST_SHARE = 0.5
# Log likelihood ratio at which a version counts as sound, so that it may get
# more requests; about a dozen answers without a failure.
SOUND = -math.log(10)
# Rise of the failure rate that is to be found.
RISE = 0.2
# Failure rate of the version in service that is assumed at least.
MIN_RATE = 0.02
# Log likelihood ratio at which a version counts as worse: one false alarm in
# about a hundred roll-outs.
WORSE = math.log(100)
# Failed answers of the new version below which it is never called worse.
MIN_FAILED = 3
# Only answers of the last seconds count, so that a version that turns bad
# late is found as fast as one that is bad from its start.
WINDOW_S = 6.0


@dataclasses.dataclass(frozen=True)
class Tally:
    """Answers of both versions of a service."""

    new: int = 0
    new_failed: int = 0
    old: int = 0
    old_failed: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Returns the sum."""
        return Tally(
            self.new + other.new,
            self.new_failed + other.new_failed,
            self.old + other.old,
            self.old_failed + other.old_failed,
        )

    def minus(self, other: "Tally") -> "Tally":
        """Returns the difference."""
        return Tally(
            self.new - other.new,
            self.new_failed - other.new_failed,
            self.old - other.old,
            self.old_failed - other.old_failed,
        )


def measure(tally: Tally) -> float:
    """Returns the log likelihood ratio of a worse new version."""
    rate = max(MIN_RATE, (tally.old_failed + 0.5) / (tally.old + 1))
    rate = min(rate, 1 - RISE - 0.01)
    passed = tally.new - tally.new_failed
    return tally.new_failed * math.log(
        (rate + RISE) / rate
    ) + passed * math.log((1 - rate - RISE) / (1 - rate))


def is_worse(tally: Tally) -> bool:
    """Tells whether the new version fails more often."""
    return tally.new_failed >= MIN_FAILED and measure(tally) > WORSE


@dataclasses.dataclass(frozen=True)
class Finding:
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
    tallies: Mapping[str, Tally]


@dataclasses.dataclass
class Rollout:
    """One order and what is known of it.

    Attributes:
        started_at: When this process heard of it.
        tallies: Counts by node; each node only raises its own.
        history: Sums of all counts at earlier times.
        worse: Whether the new version was found to be worse.
        first_share: Share of the new version while little is known, the
            smallest that any node has found; `None` while it is measured.
        sound_at: When a node first found the version to be sound.
    """

    order: forwarding.RolloutOrder
    started_at: float
    state: forwarding.RolloutState | None = None
    tallies: dict[str, Tally] = dataclasses.field(default_factory=dict)
    history: list[tuple[float, Tally]] = dataclasses.field(default_factory=list)
    worse: bool = False
    first_share: float | None = None
    sound_at: float | None = None

    def sum_up(self) -> Tally:
        """Returns the counts of all nodes."""
        total = Tally()
        for tally in self.tallies.values():
            total = total.plus(tally)
        return total


class Rollouts:
    """All roll-outs that have orders.

    Args:
        node: Name of this node.
        exposure: Part of the requests that a faulty version may get.
    """

    def __init__(self, node: str, exposure: float):
        self._node = node
        self._exposure = exposure
        self._nodes = 1
        self._rollouts: dict[str, Rollout] = {}

    def set_nodes(self, nodes: int) -> None:
        """Sets how many nodes serve requests."""
        self._nodes = max(1, nodes)

    def configure(self, exposure: float) -> None:
        """Takes a changed setting."""
        self._exposure = exposure

    def set_order(self, order: forwarding.RolloutOrder, now: float) -> None:
        """Takes an operator's order; a repeat of it changes nothing."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.revision >= order.revision:
            return
        self._rollouts[order.service] = Rollout(order, now)

    def remove_order(self, service: str) -> None:
        """The operator has withdrawn the order."""
        self._rollouts.pop(service, None)

    def set_status(self, status: forwarding.RolloutStatus) -> None:
        """Takes what was stated about a roll-out."""
        rollout = self._rollouts.get(status.service)
        if rollout is None or status.revision < rollout.order.revision:
            return
        if status.target == rollout.order.target:
            rollout.state = status.state

    def get(self, service: str) -> Rollout | None:
        """Returns the roll-out of a service."""
        return self._rollouts.get(service)

    def list_all(self) -> list[Rollout]:
        """Returns all roll-outs."""
        return list(self._rollouts.values())

    def note_answer(self, service: str, version: str, failed: bool) -> None:
        """An upstream of a service has answered."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state in _ENDED:
            return
        new = version == rollout.order.target
        one = Tally(
            int(new), int(new and failed), int(not new), int(failed and not new)
        )
        tally = rollout.tallies.get(self._node, Tally())
        rollout.tallies[self._node] = tally.plus(one)

    def export(self, now: float) -> list[Finding]:
        """Returns what other nodes need to know."""
        return [
            Finding(
                rollout.order.service,
                rollout.order.revision,
                rollout.worse,
                now - rollout.started_at,
                rollout.first_share,
                None if rollout.sound_at is None else now - rollout.sound_at,
                dict(rollout.tallies),
            )
            for rollout in self._rollouts.values()
            if rollout.state not in _ENDED
        ]

    def merge(self, finding: Finding, now: float) -> None:
        """Takes what another node has found; larger counts are newer."""
        rollout = self._rollouts.get(finding.service)
        if rollout is None or rollout.order.revision != finding.revision:
            return
        rollout.worse = rollout.worse or finding.worse
        if finding.first_share is not None:
            known_share = rollout.first_share or finding.first_share
            rollout.first_share = min(known_share, finding.first_share)
        if finding.sound_s is not None:
            sound_at = now - finding.sound_s
            rollout.sound_at = min(rollout.sound_at or sound_at, sound_at)
        # A node that has started since does not know how long it has run.
        rollout.started_at = min(rollout.started_at, now - finding.age_s)
        for node, tally in finding.tallies.items():
            known = rollout.tallies.get(node, Tally())
            if node == self._node:
                continue
            if tally.new + tally.old > known.new + known.old:
                rollout.tallies[node] = tally

    def judge(self, now: float) -> list[Rollout]:
        """Looks at the evidence; returns roll-outs found to be worse now."""
        found = []
        for rollout in self._rollouts.values():
            if rollout.state in _ENDED or rollout.worse:
                continue
            total = rollout.sum_up()
            rollout.history = [
                entry for entry in rollout.history if entry[0] >= now - WINDOW_S
            ]
            base = rollout.history[0][1] if rollout.history else Tally()
            rollout.history.append((now, total))
            if is_worse(total) or is_worse(total.minus(base)):
                rollout.worse = True
                found.append(rollout)
            elif rollout.sound_at is None and measure(total) <= SOUND:
                rollout.sound_at = now
        return found

    def compute_share(self, service: str, now: float) -> float:
        """Returns the share of requests that the new version gets."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return 0.0
        if rollout.state is forwarding.RolloutState.COMPLETED:
            return 1.0
        if rollout.state is not None and rollout.state in _ENDED:
            return 0.0
        if rollout.worse:
            return 0.0
        first = self._find_first_share(rollout, now)
        part = self._measure_climb(rollout, now)
        if part <= FIRST_PART:
            return first
        if part >= ALL_PART:
            return 1.0
        climbed = (part - FIRST_PART) / (ALL_PART - FIRST_PART)
        return first + (LAST_SHARE - first) * climbed

    def find_due_state(
        self, service: str, now: float
    ) -> forwarding.RolloutState | None:
        """Returns the state that should be written, or `None`."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state in _ENDED:
            return None
        if rollout.worse:
            return forwarding.RolloutState.ROLLED_BACK
        if self._measure_climb(rollout, now) >= COMPLETE_PART:
            return forwarding.RolloutState.COMPLETED
        if rollout.state is None:
            return forwarding.RolloutState.RUNNING
        return None

    def is_stopped(self, service: str, version: str) -> bool:
        """Tells whether a version of a service gets nothing any more."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return False
        if version != rollout.order.target:
            return rollout.state is forwarding.RolloutState.COMPLETED
        return (
            rollout.worse
            or rollout.state is forwarding.RolloutState.ROLLED_BACK
        )

    def _find_first_share(self, rollout: Rollout, now: float) -> float:
        if rollout.first_share is not None:
            return rollout.first_share
        age_s = now - rollout.started_at
        if age_s < SURVEY_S:
            return 0.0
        own = rollout.tallies.get(self._node, Tally())
        rate = (own.new + own.old) * self._nodes / age_s
        share = self._exposure * FIRST_SHARE
        while share * rate > 2 * EVIDENCE_PER_S:
            share /= 2
        rollout.first_share = share
        return share

    def _measure_climb(self, rollout: Rollout, now: float) -> float:
        """Returns the part of the time that counts for the share.

        It stands still at `FIRST_PART` until the version is sound, so that a
        late proof is followed by the whole climb.
        """
        duration_s = max(rollout.order.duration_s, 0.001)
        part = (now - rollout.started_at) / duration_s
        if part <= FIRST_PART:
            return part
        if rollout.sound_at is None:
            return FIRST_PART
        waited = (rollout.sound_at - rollout.started_at) / duration_s
        return part - max(0.0, waited - FIRST_PART)


def is_chosen(service: str, session: str, share: float) -> bool:
    """Tells whether a session gets the new version.

    Every node draws alike, and a session that has got the new version keeps it
    while the share rises.
    """
    drawn = zlib.crc32(f"{service}|{session}".encode()) / 2**32
    return drawn < share


def split_versions(
    versions: Iterable[str], target: str
) -> tuple[set[str], set[str]]:
    """Returns the versions in service and the new one, of those that run."""
    known = set(versions)
    return known - {target}, known & {target}


_ENDED = (
    forwarding.RolloutState.COMPLETED,
    forwarding.RolloutState.ROLLED_BACK,
)
