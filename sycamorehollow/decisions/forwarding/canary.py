"""Roll-outs of versions: shares, evidence and when they end.

A new version gets a small share of the requests first. Every node counts
answers of both versions and nodes exchange their counts. A version that is
worse than the one in service, because it fails more often or answers slowly, is
stopped at once by each node that can tell; a sound one gets more and is
completed before its time is up.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import zlib

from sycamorehollow.decisions.forwarding import failure_counts
from sycamorehollow.decisions.forwarding import response_times
from sycamorehollow.decisions.forwarding import rollout_records
from sycamorehollow.decisions.forwarding import slowness
from sycamorehollow.model import forwarding

# Share of the tolerated exposure that a version gets at most while little is
# known. Sessions that are open when they get the new version change theirs, so
# the share is halved until it brings no more answers than the evidence needs.
FIRST_SHARE = 0.55
TARGET_RESPONSES_PER_S = 4.0
# Answers that a short order asks for in the first part of its time, twice what
# the proof of a sound version needs.
MIN_TARGET_RESPONSES = 24
# Time in seconds in which each node measures the rate of answers, and the part
# of an order's time that it takes at most.
RATE_SAMPLING_S = 2.0
RATE_SAMPLING_FRACTION = 0.1
# Part of the time during which only that share is sent.
RAMP_START_FRACTION = 0.5
# Part of the time from which a proven version gets all requests, and at which
# the roll-out is completed: the upstreams of the other version then stop at
# once, so their streams need the time between to end.
RAMP_END_FRACTION = 0.7
COMPLETION_FRACTION = 0.88
# Share of requests that a proven version gets just before it gets all.
RAMP_END_SHARE = 0.5
# Log likelihood ratio at which a version counts as sound, so that it may get
# more requests; about a dozen answers without a failure.
SOUND_LOG_RATIO = -math.log(10)
# Judged times of the new version below which it is never called sound.
MIN_LATENCIES = 10
# Only answers of the last seconds count, so that a version that turns bad
# late is found as fast as one that is bad from its start.
WINDOW_S = 6.0


class Rollouts:
    """All roll-outs that have orders.

    Args:
        node: Name of this node.
        exposure: Part of the requests that a faulty version may get.
    """

    def __init__(self, node: str, exposure: float):
        self._node = node
        self._exposure = exposure
        self._node_count = 1
        self._rollouts: dict[str, rollout_records.Rollout] = {}

    def set_node_count(self, nodes: int) -> None:
        """Sets how many nodes serve requests."""
        self._node_count = max(1, nodes)

    def configure(self, exposure: float) -> None:
        """Takes a changed setting."""
        self._exposure = exposure

    def set_order(self, order: forwarding.RolloutOrder, now: float) -> None:
        """Takes an operator's order; a repeat of it changes nothing."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.revision >= order.revision:
            return
        self._rollouts[order.service] = rollout_records.Rollout(order, now)

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

    def get(self, service: str) -> rollout_records.Rollout | None:
        """Returns the roll-out of a service."""
        return self._rollouts.get(service)

    def list_all(self) -> list[rollout_records.Rollout]:
        """Returns all roll-outs."""
        return list(self._rollouts.values())

    def list_running(self) -> list[rollout_records.Rollout]:
        """Returns the roll-outs that have not ended."""
        return [r for r in self._rollouts.values() if r.state not in _ENDED]

    def record_response(self, service: str, version: str, failed: bool) -> None:
        """An upstream of a service has answered."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state in _ENDED:
            return
        new = version == rollout.order.target
        one = failure_counts.Tally(
            int(new), int(new and failed), int(not new), int(failed and not new)
        )
        tally = rollout.tallies.get(self._node, failure_counts.Tally())
        rollout.tallies[self._node] = tally.plus(one)

    def record_latency(
        self,
        timed: response_times.AttemptLabels,
        part: response_times.LatencyKind,
        slow: bool,
    ) -> None:
        """It was judged whether a part of an answer was slow."""
        rollout = self._rollouts.get(timed.service)
        if rollout is None or rollout.state in _ENDED:
            return
        if timed.share <= 0:
            # What makes a repeat slow may have made its first attempt slow.
            return
        new = timed.version == rollout.order.target
        rollout.evidence.record(self._node, timed, part, new, slow)

    def is_in_service(self, service: str, version: str) -> bool:
        """Tells whether a version is, or was until now, the one in service."""
        rollout = self._rollouts.get(service)
        if rollout is None or version != rollout.order.target:
            return True
        return rollout.state is forwarding.RolloutState.COMPLETED

    def export(self, now: float) -> list[rollout_records.RolloutReport]:
        """Returns what other nodes need to know."""
        return [
            rollout_records.RolloutReport(
                rollout.order.service,
                rollout.order.revision,
                rollout.worse,
                now - rollout.started_at,
                rollout.first_share,
                None if rollout.sound_at is None else now - rollout.sound_at,
                dict(rollout.tallies),
            )
            for rollout in self.list_running()
        ]

    def merge(self, report: rollout_records.RolloutReport, now: float) -> None:
        """Takes what another node has found; larger counts are newer."""
        rollout = self._rollouts.get(report.service)
        if rollout is None or rollout.order.revision != report.revision:
            return
        rollout.worse = rollout.worse or report.worse
        if report.first_share is not None:
            known_share = rollout.first_share or report.first_share
            rollout.first_share = min(known_share, report.first_share)
        if (
            report.sound_s is not None
            and not rollout.evidence.is_possibly_slow()
        ):
            sound_at = now - report.sound_s
            rollout.sound_at = min(rollout.sound_at or sound_at, sound_at)
        # A node that has started since does not know how long it has run.
        rollout.started_at = min(rollout.started_at, now - report.age_s)
        for node, tally in report.tallies.items():
            known = rollout.tallies.get(node, failure_counts.Tally())
            if node == self._node:
                continue
            if tally.new + tally.old > known.new + known.old:
                rollout.tallies[node] = tally

    def merge_slowness(
        self,
        service: str,
        revision: int,
        counts: Mapping[str, Mapping[str, slowness.Counts]],
    ) -> None:
        """Takes the counts of slow answers that another node knows."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.revision != revision:
            return
        for node, routes in counts.items():
            if node != self._node:
                rollout.evidence.merge(node, routes)

    def evaluate(self, now: float) -> list[rollout_records.Rollout]:
        """Looks at the evidence; returns roll-outs found to be worse now."""
        found = []
        for rollout in self._rollouts.values():
            if rollout.state in _ENDED or rollout.worse:
                continue
            total = rollout.sum_counts()
            rollout.history = [
                entry for entry in rollout.history if entry[0] >= now - WINDOW_S
            ]
            base = (
                rollout.history[0][1]
                if rollout.history
                else failure_counts.Tally()
            )
            rollout.history.append((now, total))
            rollout.reason = rollout.evidence.evaluate()
            for tally in (total, total.minus(base)):
                if failure_counts.is_worse(tally):
                    rollout.reason = f"failed answers: {tally}"
            if rollout.reason:
                rollout.worse = True
                found.append(rollout)
            elif rollout.sound_at is None and _is_sound(rollout, total):
                rollout.sound_at = now
            elif (
                rollout.evidence.is_possibly_slow()
                and not _may_have_ramped_up(rollout, now)
            ):
                rollout.sound_at = None
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
        part = self._compute_progress(rollout, now)
        if part <= RAMP_START_FRACTION:
            return first
        if part >= RAMP_END_FRACTION:
            return 1.0
        climbed = (part - RAMP_START_FRACTION) / (
            RAMP_END_FRACTION - RAMP_START_FRACTION
        )
        return first + (RAMP_END_SHARE - first) * climbed

    def get_assignment_share(
        self, service: str, version: str, session: str | None, now: float
    ) -> float:
        """Returns the share by which the version of an attempt was drawn.

        Args:
            service: Name of the service.
            version: Version of the attempt's upstream.
            session: As for `is_chosen`; `None` for a repeat.
            now: Monotonic time in seconds.

        Returns:
            0 if the version was not drawn.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or session is None:
            return 0.0
        share = self.compute_share(service, now)
        drawn = is_assigned(service, session, share)
        return share if drawn == (version == rollout.order.target) else 0.0

    def find_due_state(
        self, service: str, now: float
    ) -> forwarding.RolloutState | None:
        """Returns the state that should be written, or `None`."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state in _ENDED:
            return None
        if rollout.worse:
            return forwarding.RolloutState.ROLLED_BACK
        if self._compute_progress(rollout, now) >= COMPLETION_FRACTION:
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

    def is_suspected(self, service: str, version: str) -> bool:
        """Tells whether a version looks slow without proof yet."""
        rollout = self._rollouts.get(service)
        if rollout is None or version != rollout.order.target:
            return False
        return (
            rollout.state not in _ENDED and rollout.evidence.is_possibly_slow()
        )

    def _find_first_share(
        self, rollout: rollout_records.Rollout, now: float
    ) -> float:
        if rollout.first_share is not None:
            return rollout.first_share
        age_s = now - rollout.started_at
        survey_s = min(
            RATE_SAMPLING_S, RATE_SAMPLING_FRACTION * rollout.order.duration_s
        )
        if age_s < survey_s:
            return 0.0
        own = rollout.tallies.get(self._node, failure_counts.Tally())
        rate = (own.new + own.old) * self._node_count / max(age_s, 0.001)
        share = self._exposure * FIRST_SHARE
        proof_s = RAMP_START_FRACTION * rollout.order.duration_s - survey_s
        evidence = max(
            TARGET_RESPONSES_PER_S, MIN_TARGET_RESPONSES / max(proof_s, 0.001)
        )
        while share * rate > 2 * evidence:
            share /= 2
        rollout.first_share = share
        return share

    def _compute_progress(
        self, rollout: rollout_records.Rollout, now: float
    ) -> float:
        """Returns the part of the time that counts for the share.

        It stands still at `FIRST_PART` until the version is sound, so that a
        late proof is followed by the whole climb.
        """
        duration_s = max(rollout.order.duration_s, 0.001)
        part = (now - rollout.started_at) / duration_s
        if part <= RAMP_START_FRACTION:
            return part
        if rollout.sound_at is None:
            return RAMP_START_FRACTION
        waited = (rollout.sound_at - rollout.started_at) / duration_s
        return part - max(0.0, waited - RAMP_START_FRACTION)


def _may_have_ramped_up(rollout: rollout_records.Rollout, now: float) -> bool:
    """Tells whether the share may have been raised already."""
    return (
        now - rollout.started_at
        > RAMP_START_FRACTION * rollout.order.duration_s
    )


def _is_sound(
    rollout: rollout_records.Rollout, total: failure_counts.Tally
) -> bool:
    """Tells whether the version neither fails more often nor is slower."""
    if rollout.evidence.is_possibly_slow():
        return False
    if failure_counts.compute_log_likelihood_ratio(total) > SOUND_LOG_RATIO:
        return False
    times = rollout.evidence.sum_counts()
    if sum(times.new) < MIN_LATENCIES:
        return False
    slow = failure_counts.Tally(
        sum(times.new), sum(times.new_slow), times.old, times.old_slow
    )
    return (
        min(times.scores[0], failure_counts.compute_log_likelihood_ratio(slow))
        <= SOUND_LOG_RATIO
    )


def is_assigned(service: str, session: str, share: float) -> bool:
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
