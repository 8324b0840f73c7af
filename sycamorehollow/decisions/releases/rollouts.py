"""Staged roll-outs, whose stages are recorded in the store.

The holder of a roll-out's lease advances it by compare-and-swap writes. Every
process applies the recorded share and may stop the new version.
"""

import dataclasses
import math
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.releases import sequential_test
from sycamorehollow.decisions.releases import stages
from sycamorehollow.decisions.releases import stops
from sycamorehollow.decisions.replication import compressed_json
from sycamorehollow.model import commands
from sycamorehollow.model import deployment as deployments
from sycamorehollow.model import events

# Time after a stage is observed within which the evidence of peers arrives.
EVIDENCE_SETTLE_S = 10.0
LEASE_TTL_S = 15.0
# Writes stop this long before the lease ends, to reach the store in time.
LEASE_MARGIN_S = 5.0
DRIVE_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class Pace:
    """Conditions for the next stage.

    Attributes:
        dwell_s: Minimum time at the stage, measured by the lease holder.
        outcomes: Minimum of ended answers of the new version at the stage.
        ratings: Minimum of rated answers of the new version at the stage.
    """

    dwell_s: float = 300.0
    outcomes: int = 50
    ratings: int = 20


@dataclasses.dataclass(frozen=True)
class DeploymentChanged(events.Event):
    """Another configuration is in effect."""

    deployment: deployments.Deployment


@dataclasses.dataclass(frozen=True)
class CoordinatorChanged(events.Event):
    """This process has become or ceased to be a roll-out coordinator."""

    is_coordinator: bool


@dataclasses.dataclass(frozen=True)
class StopRequested(events.Event):
    """An operator has stopped the new version of a roll-out here."""

    rollout: str
    reason: str


@dataclasses.dataclass(frozen=True)
class LeaseGranted(events.Event):
    """The lease of a roll-out is held until a monotonic time."""

    rollout: str
    until: float


@dataclasses.dataclass(frozen=True)
class LeaseLost(events.Event):
    """The lease of a roll-out is not held."""

    rollout: str


@dataclasses.dataclass(frozen=True)
class StageObserved(events.Event):
    """A document was read, watched or written; with revision 0 it is absent."""

    rollout: str
    revision: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class StageConflict(StageObserved):
    """A write was refused because the store has this other document."""


@dataclasses.dataclass(frozen=True)
class StoreCallFailed(events.Event):
    """A read or write of the document failed, with an unknown result."""

    rollout: str


@dataclasses.dataclass(frozen=True)
class RequestLease(commands.Command):
    """Acquire or renew the lease of a roll-out."""

    rollout: str
    ttl_s: float


@dataclasses.dataclass(frozen=True)
class ReadStage(commands.Command):
    """Read the document of a roll-out."""

    rollout: str
    key: str


@dataclasses.dataclass(frozen=True)
class WriteStage(commands.Command):
    """Compare-and-swap the document of a roll-out.

    Attributes:
        expected_revision: Revision that the store must have; 0 to create.
        not_after: Monotonic time in seconds after which it must not be sent.
    """

    rollout: str
    key: str
    value: bytes
    expected_revision: int
    not_after: float


@dataclasses.dataclass
class _State:
    """Local state of one roll-out."""

    revision: int = 0
    value: bytes = b""
    stage: stages.Stage | None = None
    observed_at: float = 0.0
    outcomes: int = 0
    ratings: int = 0
    lease_until: float = -math.inf
    # True until the store has been read and while a write has no known result.
    in_doubt: bool = True
    next_try_at: float = -math.inf


class Rollouts(components.Component, components.Replicated):
    """Advances roll-outs from stage to stage.

    Args:
        evidence: Combined evidence of all processes.
        rng: Random source of the nonces.
        pace: Conditions for the next stage.
    """

    kind = "rollouts"

    def __init__(
        self,
        records: stops.Stops,
        evidence: sequential_test.Evidence,
        rng: random.Random,
        pace: Pace = Pace(),
    ) -> None:
        self._stops = records
        self._evidence = evidence
        self._rng = rng
        self._pace = pace
        self._deployment = deployments.Deployment()
        self._coordinator = False
        self._states: dict[str, _State] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        if isinstance(event, DeploymentChanged):
            self._deployment = event.deployment
            self._stops.set_deployment(event.deployment)
            rollouts = event.deployment.rollouts
            self._evidence.retain_rollouts(
                [stops.compute_rollout_id(r) for r in rollouts.values()]
            )
            for name in [n for n in self._states if n not in rollouts]:
                del self._states[name]
        elif isinstance(event, CoordinatorChanged):
            self._coordinator = event.is_coordinator
        elif isinstance(event, StopRequested):
            return self._stops.add(event.rollout, event.reason)
        elif isinstance(event, LeaseGranted):
            self._get_state(event.rollout).lease_until = event.until
        elif isinstance(event, LeaseLost):
            self._get_state(event.rollout).lease_until = -math.inf
        elif isinstance(event, StageObserved):
            self._apply_store_result(event, now)
        elif isinstance(event, StoreCallFailed):
            self._get_state(event.rollout).in_doubt = True
        elif isinstance(event, events.Tick):
            return self._tick(now)
        return []

    def get_rollout_id(self, name: str) -> str:
        """Returns the identity under which evidence on a roll-out is kept."""
        return stops.compute_rollout_id(self._deployment.rollouts[name])

    def get_shares(self) -> dict[str, float]:
        """Returns the effective share of each configured roll-out."""
        return {n: self._get_share(n) for n in self._deployment.rollouts}

    def list_stopped_versions(self) -> frozenset[str]:
        """Returns the versions with a stop record or withdrawn in the store."""
        found = set(self._stops.list_versions())
        for name, rollout in self._deployment.rollouts.items():
            stage = self.get_stage(name)
            if stage is not None and stage.state is stages.State.WITHDRAWN:
                found.add(rollout.candidate)
        return frozenset(found)

    def get_stage(self, name: str) -> stages.Stage | None:
        """Returns the recorded stage of a configured roll-out, if any."""
        rollout = self._deployment.rollouts.get(name)
        state = self._states.get(name)
        if rollout is None or state is None or state.stage is None:
            return None
        if state.stage.rollout_id != stops.compute_rollout_id(rollout):
            return None
        return state.stage

    def build_digest(self, now: float) -> bytes:
        """Returns the revisions of the stage documents."""
        return compressed_json.compress_json(
            {name: state.revision for name, state in self._states.items()}
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the newer stage documents."""
        known = compressed_json.decompress_json(digest)
        newer = [
            [name, state.revision, state.value.decode()]
            for name, state in self._states.items()
            if state.revision > known.get(name, 0)
        ]
        return compressed_json.compress_json(newer) if newer else b""

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Merges the stage documents of another process."""
        if not delta:
            return []
        for name, revision, value in compressed_json.decompress_json(delta):
            if name in self._deployment.rollouts:
                self._apply(name, revision, value.encode(), now)
        return []

    def _get_state(self, name: str) -> _State:
        return self._states.setdefault(name, _State())

    def _get_share(self, name: str) -> float:
        """Returns the share from a document confirmed by the store, else 0."""
        rollout = self._deployment.rollouts[name]
        stage = self.get_stage(name)
        if stage is None or stage.state is stages.State.WITHDRAWN:
            return 0.0
        if self._stops.find(rollout.candidate) is not None:
            return 0.0
        if not 0 <= stage.stage < len(rollout.stages):
            return 0.0
        return rollout.stages[stage.stage]

    def _apply_store_result(self, event: StageObserved, now: float) -> None:
        state = self._get_state(event.rollout)
        if isinstance(event, StageConflict) and event.revision == 0:
            # The document was deleted, and with it the share.
            state.revision, state.value, state.stage = 0, b"", None
        self._apply(event.rollout, event.revision, event.value, now)
        state.in_doubt = False

    def _apply(self, name: str, revision: int, value: bytes, now: float):
        """Applies a stored document unless a newer one is known."""
        state = self._get_state(name)
        if revision <= state.revision:
            return
        state.revision, state.value = revision, value
        state.stage = stages.decode(value)
        state.observed_at = now
        rollout = self._deployment.rollouts.get(name)
        if rollout is not None:
            state.outcomes, state.ratings = self._count_outcomes(rollout)

    def _count_outcomes(self, rollout: deployments.Rollout) -> tuple[int, int]:
        tallies = self._evidence.combine(stops.compute_rollout_id(rollout))
        return (
            tallies[sequential_test.Metric.ERROR].candidate,
            tallies[sequential_test.Metric.QUALITY].candidate,
        )

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for name, rollout in self._deployment.rollouts.items():
            tallies = self._evidence.combine(stops.compute_rollout_id(rollout))
            test_result = sequential_test.evaluate(tallies)
            if test_result.worse:
                result.extend(self._stops.add(name, test_result.reason))
            state = self._get_state(name)
            if now - state.observed_at <= EVIDENCE_SETTLE_S:
                state.outcomes, state.ratings = self._count_outcomes(rollout)
            if self._coordinator:
                result.extend(self._drive(name, rollout, now))
        return result

    def _drive(
        self, name: str, rollout: deployments.Rollout, now: float
    ) -> list[commands.Command]:
        """Returns the next store call towards the next stage, if any."""
        state = self._get_state(name)
        if now < state.next_try_at:
            return []
        state.next_try_at = now + DRIVE_INTERVAL_S
        result: list[commands.Command] = []
        remaining_s = state.lease_until - now
        if remaining_s < 2 * LEASE_MARGIN_S:
            result.append(RequestLease(name, LEASE_TTL_S))
        if remaining_s <= LEASE_MARGIN_S:
            return result
        if state.in_doubt:
            return [*result, ReadStage(name, stages.KEY_PREFIX + name)]
        document = self._choose_document(state, rollout, now)
        if document is None:
            return result
        state.in_doubt = True
        return [
            *result,
            WriteStage(
                name,
                stages.KEY_PREFIX + name,
                stages.encode(document),
                state.revision,
                state.lease_until - LEASE_MARGIN_S,
            ),
        ]

    def _choose_document(
        self, state: _State, rollout: deployments.Rollout, now: float
    ) -> stages.Stage | None:
        """Returns the next document to write, if any."""
        config = self._deployment.revisions.get(rollout.team, 0)
        own_id = stops.compute_rollout_id(rollout)
        mark = f"{self._rng.getrandbits(64):016x}"
        stopped = self._stops.find(rollout.candidate) is not None
        stage = state.stage

        def follow(index: int, state: stages.State) -> stages.Stage:
            return stages.build_next(stage, index, state, config, own_id, mark)

        # A malformed document may be an operator's pause and is not replaced.
        if stage is None and state.revision > 0:
            return None
        if stage is None or stage.rollout_id != own_id:
            # The document may belong to a newer configuration.
            if stopped or (stage is not None and stage.config >= config):
                return None
            return follow(0, stages.State.RUNNING)
        index = stage.stage
        if stopped and stage.state is not stages.State.WITHDRAWN:
            return follow(index, stages.State.WITHDRAWN)
        if stage.state is not stages.State.RUNNING:
            return None
        if not 0 <= index < len(rollout.stages):
            return None
        if not self._can_advance(state, rollout, index, now):
            return None
        if index + 1 >= len(rollout.stages):
            return follow(index, stages.State.DONE)
        return follow(index + 1, stages.State.RUNNING)

    def _can_advance(
        self,
        state: _State,
        rollout: deployments.Rollout,
        index: int,
        now: float,
    ) -> bool:
        if now - state.observed_at < self._pace.dwell_s:
            return False
        outcomes, ratings = self._count_outcomes(rollout)
        if outcomes - state.outcomes < self._pace.outcomes:
            return False
        if ratings - state.ratings < self._pace.ratings:
            return False
        tallies = self._evidence.combine(stops.compute_rollout_id(rollout))
        if any(sequential_test.is_possibly_worse(t) for t in tallies.values()):
            return False
        share = rollout.stages[min(index + 1, len(rollout.stages) - 1)]
        # At full share no baseline is left for a comparison.
        if share < 1.0 or rollout.stages[index] >= 1.0:
            return True
        return sequential_test.is_noninferior(
            tallies[sequential_test.Metric.QUALITY]
        )
