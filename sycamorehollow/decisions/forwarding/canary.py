"""Canary roll-outs of versions: traffic shares, evaluation and completion.

A new version gets a small share of the requests first. Every node counts the
responses of both versions, and nodes exchange their counts. If the new version
fails more often or responds more slowly than the version in service, each node
that detects it stops the roll-out at once. A sound version is ramped up and
completed before the time of its order is over.
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

# Share of the tolerated exposure that a version gets at most before the
# ramp-up. Assigning the new version moves open sessions to it, so the share is
# halved while it yields more than twice the rate of responses that the
# evaluation needs.
FIRST_SHARE = 0.55
TARGET_RESPONSES_PER_S = 4.0
# Responses that short orders need before the ramp-up, twice the number that
# proves a version sound.
MIN_TARGET_RESPONSES = 24
# Each node first measures the response rate for this long, limited to this
# fraction of the order's duration.
RATE_SAMPLING_S = 2.0
RATE_SAMPLING_FRACTION = 0.1
# Fraction of the duration at which the ramp-up starts.
RAMP_START_FRACTION = 0.5
# Fractions of the duration at which a sound version gets all requests and at
# which the roll-out is completed. Completion stops the upstreams of the other
# version at once, so their streams need the time in between to finish.
RAMP_END_FRACTION = 0.7
COMPLETION_FRACTION = 0.88
# Traffic share at the end of the ramp-up, just before the switch to all.
RAMP_END_SHARE = 0.5
# Log likelihood ratio below which a version counts as sound and is ramped up;
# takes about a dozen responses without a failure.
SOUND_LOG_RATIO = -math.log(10)
# Classified latencies of the new version needed before it can count as sound.
MIN_LATENCIES = 10
# Failures are also evaluated over the latest seconds alone, so that a version
# that degrades late is detected as fast as one that fails from the start.
WINDOW_S = 6.0


class Rollouts:
    """All roll-outs that have orders.

    Args:
        node: Name of this node.
        exposure: Share of the requests that a faulty version may get.
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
        """Applies a changed exposure limit."""
        self._exposure = exposure

    def set_order(self, order: forwarding.RolloutOrder, now: float) -> None:
        """Starts the roll-out of an operator's order unless it is known."""
        existing = self._rollouts.get(order.service)
        if existing is not None and existing.is_carried_over:
            if existing.is_for(order):
                existing.order = order
                return
        elif existing is not None and existing.order.revision >= order.revision:
            return
        self._rollouts[order.service] = rollout_records.Rollout(order, now)

    def begin_era(self) -> None:
        """Keeps the roll-outs, whose orders may be written again."""
        for rollout in self._rollouts.values():
            rollout.is_carried_over = True

    def settle_era(self) -> None:
        """Takes orders from now on for new ones."""
        for rollout in self._rollouts.values():
            rollout.is_carried_over = False

    def remove_order(self, service: str) -> None:
        """Drops the roll-out of a withdrawn order."""
        self._rollouts.pop(service, None)

    def set_status(self, status: forwarding.RolloutStatus) -> None:
        """Applies the published state of a roll-out."""
        rollout = self._rollouts.get(status.service)
        if rollout is None or rollout.state in _ENDED:
            return
        is_earlier = status.revision < rollout.order.revision
        if is_earlier and not rollout.is_carried_over:
            return
        if status.target == rollout.order.target:
            rollout.state = status.state

    def get(self, service: str) -> rollout_records.Rollout | None:
        """Returns the roll-out of a service, or `None`."""
        return self._rollouts.get(service)

    def list_all(self) -> list[rollout_records.Rollout]:
        """Returns all roll-outs."""
        return list(self._rollouts.values())

    def list_running(self) -> list[rollout_records.Rollout]:
        """Returns the roll-outs that have not ended."""
        return [r for r in self._rollouts.values() if r.state not in _ENDED]

    def record_response(self, service: str, version: str, failed: bool) -> None:
        """Counts a response of a service."""
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
        labels: response_times.AttemptLabels,
        latency: response_times.LatencyKind,
        slow: bool,
    ) -> None:
        """Counts a classified latency of a response."""
        rollout = self._rollouts.get(labels.service)
        if rollout is None or rollout.state in _ENDED:
            return
        if labels.share <= 0:
            # The cause that slows a retry may have slowed its first attempt.
            return
        new = labels.version == rollout.order.target
        rollout.evidence.record(self._node, labels, latency, new, slow)

    def is_in_service(self, service: str, version: str) -> bool:
        """Returns whether a version is in service, or was until completion."""
        rollout = self._rollouts.get(service)
        if rollout is None or version != rollout.order.target:
            return True
        return rollout.state is forwarding.RolloutState.COMPLETED

    def export(self, now: float) -> list[rollout_records.RolloutReport]:
        """Returns reports for other nodes on all running roll-outs."""
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
        """Merges another node's report; of two counts the larger is newer."""
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
        # A node that restarted during the roll-out lacks its real start time.
        rollout.started_at = min(rollout.started_at, now - report.age_s)
        for node, tally in report.tallies.items():
            existing = rollout.tallies.get(node, failure_counts.Tally())
            if node == self._node:
                continue
            if tally.new + tally.old > existing.new + existing.old:
                rollout.tallies[node] = tally

    def merge_slowness(
        self,
        service: str,
        revision: int,
        counts: Mapping[str, Mapping[str, slowness.Counts]],
    ) -> None:
        """Merges the counts of slow responses that another node has."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.revision != revision:
            return
        for node, routes in counts.items():
            if node != self._node:
                rollout.evidence.merge(node, routes)

    def evaluate(self, now: float) -> list[rollout_records.Rollout]:
        """Evaluates all roll-outs; returns those newly found to be worse."""
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
                    rollout.reason = f"failed responses: {tally}"
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
        """Returns the traffic share of the new version."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return 0.0
        if rollout.state is forwarding.RolloutState.COMPLETED:
            return 1.0
        if rollout.state is not None and rollout.state in _ENDED:
            return 0.0
        if rollout.worse:
            return 0.0
        first_share = self._find_first_share(rollout, now)
        progress = self._compute_progress(rollout, now)
        if progress <= RAMP_START_FRACTION:
            return first_share
        if progress >= RAMP_END_FRACTION:
            return 1.0
        ramped = (progress - RAMP_START_FRACTION) / (
            RAMP_END_FRACTION - RAMP_START_FRACTION
        )
        return first_share + (RAMP_END_SHARE - first_share) * ramped

    def get_assignment_share(
        self, service: str, version: str, session: str | None, now: float
    ) -> float:
        """Returns the traffic share by which a version was assigned.

        Args:
            service: Name of the service.
            version: Version of the attempt's upstream.
            session: As for `is_assigned`; `None` for a retry.
            now: Monotonic time in seconds.

        Returns:
            0 if the version was not assigned by share.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or session is None:
            return 0.0
        share = self.compute_share(service, now)
        assigned = is_assigned(service, session, share)
        return share if assigned == (version == rollout.order.target) else 0.0

    def find_due_state(
        self, service: str, now: float
    ) -> forwarding.RolloutState | None:
        """Returns the state that should be published now, or `None`."""
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
        """Returns whether a version must not get requests any more."""
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
        """Returns whether a version looks slow but is not proven slow."""
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
        sampling_s = min(
            RATE_SAMPLING_S, RATE_SAMPLING_FRACTION * rollout.order.duration_s
        )
        if age_s < sampling_s:
            return 0.0
        own = rollout.tallies.get(self._node, failure_counts.Tally())
        rate = (own.new + own.old) * self._node_count / max(age_s, 0.001)
        share = self._exposure * FIRST_SHARE
        proof_s = RAMP_START_FRACTION * rollout.order.duration_s - sampling_s
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
        """Returns the elapsed fraction of the duration that sets the share.

        Stays at `RAMP_START_FRACTION` until the version is sound, so that a
        late proof is still followed by the complete ramp-up.
        """
        duration_s = max(rollout.order.duration_s, 0.001)
        progress = (now - rollout.started_at) / duration_s
        if progress <= RAMP_START_FRACTION:
            return progress
        if rollout.sound_at is None:
            return RAMP_START_FRACTION
        proven_at = (rollout.sound_at - rollout.started_at) / duration_s
        return progress - max(0.0, proven_at - RAMP_START_FRACTION)


def _may_have_ramped_up(rollout: rollout_records.Rollout, now: float) -> bool:
    """Returns whether the ramp-up may have started."""
    return (
        now - rollout.started_at
        > RAMP_START_FRACTION * rollout.order.duration_s
    )


def _is_sound(
    rollout: rollout_records.Rollout, total: failure_counts.Tally
) -> bool:
    """Returns whether the version is proven neither to fail nor to be slow."""
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
    """Returns whether a session is assigned to the new version.

    The assignment is a hash, so all nodes agree, and a session that has the new
    version keeps it as the share rises.
    """
    position = zlib.crc32(f"{service}|{session}".encode()) / 2**32
    return position < share


def split_versions(
    versions: Iterable[str], target: str
) -> tuple[set[str], set[str]]:
    """Splits the running versions into those in service and the new one."""
    running = set(versions)
    return running - {target}, running & {target}


_ENDED = (
    forwarding.RolloutState.COMPLETED,
    forwarding.RolloutState.ROLLED_BACK,
)
