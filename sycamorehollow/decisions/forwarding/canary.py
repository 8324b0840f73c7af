"""Canary roll-outs of versions: traffic shares, evaluation and completion.

A new version gets a small share of the requests first. Every node counts the
responses of both versions, and nodes exchange their counts. If the new version
fails more often or responds more slowly than the version in service, each node
that detects it stops the roll-out at once. A sound version is ramped up and
completed before the time of its order is over.

A version may be bad on one route only. It is therefore tested on each route and
with each model as well as on all responses together, and it gets all requests
only once each of them is proven sound. A version that is not proven in time
keeps a share that the tolerated exposure covers, and is not completed.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import zlib

from sycamorehollow.decisions.forwarding import failure_counts
from sycamorehollow.decisions.forwarding import failure_evidence
from sycamorehollow.decisions.forwarding import response_times
from sycamorehollow.decisions.forwarding import rollout_evaluation
from sycamorehollow.decisions.forwarding import rollout_ramp
from sycamorehollow.decisions.forwarding import rollout_records
from sycamorehollow.decisions.forwarding import slowness
from sycamorehollow.model import forwarding


class Rollouts:
    """All roll-outs that have orders.

    Args:
        node: Name of this node.
        exposure: Share of the requests that a faulty version may get.
        slack: Requests that it may get in addition.
    """

    def __init__(self, node: str, exposure: float, slack: float = 0.0):
        self._node = node
        self._exposure = exposure
        self._slack = slack
        self._node_count = 1
        self._rollouts: dict[str, rollout_records.Rollout] = {}

    def set_node_count(self, nodes: int) -> None:
        """Sets how many nodes serve requests."""
        self._node_count = max(1, nodes)

    def configure(self, exposure: float, slack: float) -> None:
        """Applies changed exposure limits."""
        self._exposure = exposure
        self._slack = slack

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

    def record_response(
        self,
        service: str,
        version: str,
        origin: failure_evidence.Origin,
        failed: bool,
    ) -> None:
        """Counts a response of a service."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state is _ROLLED_BACK:
            return
        new = version == rollout.order.target
        rollout.failures.record(self._node, origin, new, failed)
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
        # A node that restarted during the roll-out lacks its real start time.
        rollout.started_at = min(rollout.started_at, now - report.age_s)
        for node, tally in report.tallies.items():
            existing = rollout.tallies.get(node, failure_counts.Tally())
            if node == self._node:
                continue
            if tally.new + tally.old > existing.new + existing.old:
                rollout.tallies[node] = tally

    def export_routes(self, now: float) -> list[rollout_records.RouteReport]:
        """Returns what is known by route of all running roll-outs."""
        return [
            rollout_records.RouteReport(
                rollout.order.service,
                rollout.order.revision,
                None if rollout.sound_at is None else now - rollout.sound_at,
                None if rollout.proven_at is None else now - rollout.proven_at,
                rollout.failures.counts,
            )
            for rollout in self.list_running()
        ]

    def merge_routes(
        self, report: rollout_records.RouteReport, now: float
    ) -> None:
        """Merges what another node knows by route."""
        rollout = self._rollouts.get(report.service)
        if rollout is None or rollout.order.revision != report.revision:
            return
        for node, routes in report.counts.items():
            if node != self._node:
                rollout.failures.merge(node, routes)
        if rollout.evidence.is_possibly_slow():
            return
        if report.sound_s is not None:
            sound_at = now - report.sound_s
            rollout.sound_at = min(rollout.sound_at or sound_at, sound_at)
        if report.proven_s is not None:
            proven_at = now - report.proven_s
            rollout.proven_at = min(rollout.proven_at or proven_at, proven_at)

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
        """Evaluates all roll-outs; returns those newly found to be worse.

        A completed version is in the result as well, although nothing is left
        to go back to.
        """
        found = []
        for rollout in self._rollouts.values():
            if rollout.state is _ROLLED_BACK:
                continue
            if rollout.worse or rollout.reason:
                continue
            total = rollout.sum_counts()
            is_running = rollout.state not in _ENDED
            rollout.reason = rollout_evaluation.find_defect(rollout, total, now)
            if is_running and not rollout.reason:
                rollout_evaluation.update_proofs(rollout, total, now)
                rollout.reason = rollout_evaluation.find_overdraft(
                    rollout, total, self._exposure, self._slack, now
                )
            if rollout.reason:
                rollout.worse = is_running
                found.append(rollout)
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
        if not self._knows_first_share(rollout, now):
            return 0.0
        return rollout_ramp.compute_share(rollout, self._exposure, now)

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
        if rollout_ramp.is_completion_due(rollout, now):
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

    def _knows_first_share(
        self, rollout: rollout_records.Rollout, now: float
    ) -> bool:
        """Chooses the first share once the response rate was measured."""
        if rollout.first_share is not None:
            return True
        age_s = now - rollout.started_at
        if age_s < rollout_ramp.compute_sampling_s(rollout):
            return False
        own = rollout.tallies.get(self._node, failure_counts.Tally())
        rate = (own.new + own.old) * self._node_count / max(age_s, 0.001)
        rollout.first_share = rollout_ramp.choose_first_share(
            rollout, self._exposure, rate
        )
        return True


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


_ROLLED_BACK = forwarding.RolloutState.ROLLED_BACK
_ENDED = (forwarding.RolloutState.COMPLETED, _ROLLED_BACK)
