"""Roll-outs in stages that are recorded in the store."""

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

# Evidence of peers arrives within this time after a process learns a stage.
EVIDENCE_SETTLE_S = 10.0
LEASE_TTL_S = 15.0
# A write has to reach the store within this rest of the lease.
LEASE_MARGIN_S = 5.0
DRIVE_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class Pace:
    """What a stage needs before the next one.

    Attributes:
        dwell_s: Seconds at the stage, as seen by the holder of the lease.
        outcomes: Ended answers of the new version at the stage.
        ratings: Rated answers of the new version at the stage.
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
    """Whether this process is one of those that may drive roll-outs."""

    is_coordinator: bool


@dataclasses.dataclass(frozen=True)
class StopRequested(events.Event):
    """An operator stops the new version of a roll-out at this process."""

    rollout: str
    reason: str


@dataclasses.dataclass(frozen=True)
class LeaseGranted(events.Event):
    """The lease of a roll-out is held until a monotonic time in seconds."""

    rollout: str
    until: float


@dataclasses.dataclass(frozen=True)
class LeaseLost(events.Event):
    """The lease of a roll-out is not held."""

    rollout: str


@dataclasses.dataclass(frozen=True)
class StageObserved(events.Event):
    """The store has the document: read, watched, or just written.

    Attributes:
        rollout: Name of the roll-out.
        revision: Store revision of the document; 0 when there is none.
        value: The document; empty when there is none.
    """

    rollout: str
    revision: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class StageConflict(StageObserved):
    """A write was refused; the store has this document instead."""


@dataclasses.dataclass(frozen=True)
class StoreCallFailed(events.Event):
    """A read or write of the document got no response."""

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
        rollout: Name of the roll-out.
        key: Key in the store.
        value: The document.
        expected_revision: Revision that the store must have; 0 to create.
        not_after: Monotonic time in seconds after which it must not be sent.
    """

    rollout: str
    key: str
    value: bytes
    expected_revision: int
    not_after: float


@dataclasses.dataclass
class _RolloutState:
    """What this process knows of one roll-out's document."""

    revision: int = 0
    value: bytes = b""
    stage: stages.Stage | None = None
    observed_at: float = 0.0
    outcomes: int = 0
    ratings: int = 0
    lease_until: float = -math.inf
    # Until the store has been read, or while a write has no known result.
    in_doubt: bool = True
    next_try_at: float = -math.inf


class Rollouts(components.Component, components.Replicated):
    """Drives roll-outs from stage to stage.

    Args:
        records: The stop records.
        evidence: Joint evidence of all processes.
        rng: Random source of the nonces.
        pace: What a stage needs before the next one.
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
        self._states: dict[str, _RolloutState] = {}

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
        """Returns the identity under which evidence on a roll-out counts."""
        return stops.compute_rollout_id(self._deployment.rollouts[name])

    def get_shares(self) -> dict[str, float]:
        """Returns the share in effect of each configured roll-out."""
        return {
            name: self._get_share(name) for name in self._deployment.rollouts
        }

    def list_stopped_versions(self) -> frozenset[str]:
        """Returns the versions that are stopped, or withdrawn in the store."""
        found = set(self._stops.list_versions())
        for name, rollout in self._deployment.rollouts.items():
            stage = self.get_stage(name)
            if stage is not None and stage.state is stages.State.WITHDRAWN:
                found.add(rollout.candidate)
        return frozenset(found)

    def get_stage(self, name: str) -> stages.Stage | None:
        """Returns the recorded stage of the configured roll-out, if any."""
        rollout = self._deployment.rollouts.get(name)
        run = self._states.get(name)
        if rollout is None or run is None or run.stage is None:
            return None
        if run.stage.rollout_id != stops.compute_rollout_id(rollout):
            return None
        return run.stage

    def build_digest(self, now: float) -> bytes:
        """Returns the revisions of the stage documents."""
        return compressed_json.compress_json(
            {name: run.revision for name, run in self._states.items()}
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the newer stage documents."""
        held = compressed_json.decompress_json(digest)
        news = [
            [name, run.revision, run.value.decode()]
            for name, run in self._states.items()
            if run.revision > held.get(name, 0)
        ]
        return compressed_json.compress_json(news) if news else b""

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Takes the stage documents of another process."""
        if not delta:
            return []
        for name, revision, value in compressed_json.decompress_json(delta):
            if name in self._deployment.rollouts:
                self._apply_document(name, revision, value.encode(), now)
        return []

    def _get_state(self, name: str) -> _RolloutState:
        return self._states.setdefault(name, _RolloutState())

    def _get_share(self, name: str) -> float:
        """A share comes only from a document that the store has confirmed."""
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
        run = self._get_state(event.rollout)
        if isinstance(event, StageConflict) and event.revision == 0:
            # The document is gone, so the share it gave is gone too.
            run.revision, run.value, run.stage = 0, b"", None
        self._apply_document(event.rollout, event.revision, event.value, now)
        run.in_doubt = False

    def _apply_document(
        self, name: str, revision: int, value: bytes, now: float
    ):
        """Takes a document of the store unless a newer one is known."""
        run = self._get_state(name)
        if revision <= run.revision:
            return
        run.revision, run.value = revision, value
        run.stage = stages.decode(value)
        run.observed_at = now
        rollout = self._deployment.rollouts.get(name)
        if rollout is not None:
            run.outcomes, run.ratings = self._count_outcomes(rollout)

    def _count_outcomes(self, rollout: deployments.Rollout) -> tuple[int, int]:
        tallies = self._evidence.combine_tallies(
            stops.compute_rollout_id(rollout)
        )
        return (
            tallies[sequential_test.Metric.ERROR].candidate,
            tallies[sequential_test.Metric.QUALITY].candidate,
        )

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for name, rollout in self._deployment.rollouts.items():
            tallies = self._evidence.combine_tallies(
                stops.compute_rollout_id(rollout)
            )
            verdict = sequential_test.evaluate(tallies)
            if verdict.worse:
                result.extend(self._stops.add(name, verdict.reason))
            run = self._get_state(name)
            if now - run.observed_at <= EVIDENCE_SETTLE_S:
                run.outcomes, run.ratings = self._count_outcomes(rollout)
            if self._coordinator:
                result.extend(self._drive(name, rollout, now))
        return result

    def _drive(
        self, name: str, rollout: deployments.Rollout, now: float
    ) -> list[commands.Command]:
        """Takes the next step towards the next stage, one call at a time."""
        run = self._get_state(name)
        if now < run.next_try_at:
            return []
        run.next_try_at = now + DRIVE_INTERVAL_S
        result: list[commands.Command] = []
        rest = run.lease_until - now
        if rest < 2 * LEASE_MARGIN_S:
            result.append(RequestLease(name, LEASE_TTL_S))
        if rest <= LEASE_MARGIN_S:
            return result
        if run.in_doubt:
            return [*result, ReadStage(name, stages.KEY_PREFIX + name)]
        target = self._choose_document(run, rollout, now)
        if target is None:
            return result
        run.in_doubt = True
        return [
            *result,
            WriteStage(
                name,
                stages.KEY_PREFIX + name,
                stages.encode(target),
                run.revision,
                run.lease_until - LEASE_MARGIN_S,
            ),
        ]

    def _choose_document(
        self, run: _RolloutState, rollout: deployments.Rollout, now: float
    ) -> stages.Stage | None:
        """Returns the document to write next, if any."""
        config = self._deployment.revisions.get(rollout.team, 0)
        identity = stops.compute_rollout_id(rollout)
        mark = f"{self._rng.getrandbits(64):016x}"
        stopped = self._stops.find(rollout.candidate) is not None
        stage = run.stage

        def follow(index: int, state: stages.State) -> stages.Stage:
            return stages.build_successor(
                stage, index, state, config, identity, mark
            )

        # A malformed document may be an operator's pause: leave it alone.
        if stage is None and run.revision > 0:
            return None
        if stage is None or stage.rollout_id != identity:
            # The document may belong to a configuration newer than ours.
            if stopped or (stage is not None and stage.config >= config):
                return None
            return follow(0, stages.State.RUNNING)
        here = stage.stage
        if stopped and stage.state is not stages.State.WITHDRAWN:
            return follow(here, stages.State.WITHDRAWN)
        if stage.state is not stages.State.RUNNING:
            return None
        if not 0 <= here < len(rollout.stages):
            return None
        if not self._can_advance(run, rollout, here, now):
            return None
        if here + 1 >= len(rollout.stages):
            return follow(here, stages.State.DONE)
        return follow(here + 1, stages.State.RUNNING)

    def _can_advance(
        self,
        run: _RolloutState,
        rollout: deployments.Rollout,
        index: int,
        now: float,
    ) -> bool:
        if now - run.observed_at < self._pace.dwell_s:
            return False
        outcomes, ratings = self._count_outcomes(rollout)
        if outcomes - run.outcomes < self._pace.outcomes:
            return False
        if ratings - run.ratings < self._pace.ratings:
            return False
        tallies = self._evidence.combine_tallies(
            stops.compute_rollout_id(rollout)
        )
        if any(
            sequential_test.is_possibly_worse(tally)
            for tally in tallies.values()
        ):
            return False
        share = rollout.stages[min(index + 1, len(rollout.stages) - 1)]
        # At full share nothing is left to compare with.
        if share < 1.0 or rollout.stages[index] >= 1.0:
            return True
        return sequential_test.is_noninferior(
            tallies[sequential_test.Metric.QUALITY]
        )
