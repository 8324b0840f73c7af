"""Roll-outs in stages that are recorded in the store."""

import dataclasses
import math
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.releases import sequential
from sycamorehollow.decisions.releases import stages
from sycamorehollow.decisions.releases import stops
from sycamorehollow.decisions.replication import compressed_json
from sycamorehollow.model import commands
from sycamorehollow.model import deployment as deployments
from sycamorehollow.model import events

# Evidence of peers arrives within this time after a process learns a stage.
SETTLE_S = 10.0
LEASE_TTL_S = 15.0
# A write has to reach the store within this rest of the lease.
LEASE_MARGIN_S = 5.0
RETRY_S = 2.0


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
class RoleChanged(events.Event):
    """Whether this process is one of those that may drive roll-outs."""

    coordinator: bool


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
class StageSeen(events.Event):
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
class StageConflict(StageSeen):
    """A write was refused; the store has this document instead."""


@dataclasses.dataclass(frozen=True)
class StoreUnanswered(events.Event):
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
        expect: Revision that the store must have; 0 to create.
        not_after: Monotonic time in seconds after which it must not be sent.
    """

    rollout: str
    key: str
    value: bytes
    expect: int
    not_after: float


@dataclasses.dataclass
class _Run:
    """What this process knows of one roll-out's document."""

    revision: int = 0
    value: bytes = b""
    stage: stages.Stage | None = None
    seen_at: float = 0.0
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
        randomness: Source of the nonces.
        pace: What a stage needs before the next one.
    """

    kind = "rollouts"

    def __init__(
        self,
        records: stops.Stops,
        evidence: sequential.Evidence,
        randomness: random.Random,
        pace: Pace = Pace(),
    ) -> None:
        self._stops = records
        self._evidence = evidence
        self._random = randomness
        self._pace = pace
        self._deployment = deployments.Deployment()
        self._coordinator = False
        self._runs: dict[str, _Run] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        if isinstance(event, DeploymentChanged):
            self._deployment = event.deployment
            self._stops.apply(event.deployment)
            rollouts = event.deployment.rollouts
            self._evidence.keep([stops.name_run(r) for r in rollouts.values()])
            for name in [n for n in self._runs if n not in rollouts]:
                del self._runs[name]
        elif isinstance(event, RoleChanged):
            self._coordinator = event.coordinator
        elif isinstance(event, StopRequested):
            return self._stops.add(event.rollout, event.reason)
        elif isinstance(event, LeaseGranted):
            self._find(event.rollout).lease_until = event.until
        elif isinstance(event, LeaseLost):
            self._find(event.rollout).lease_until = -math.inf
        elif isinstance(event, StageSeen):
            self._take_answer(event, now)
        elif isinstance(event, StoreUnanswered):
            self._find(event.rollout).in_doubt = True
        elif isinstance(event, events.Tick):
            return self._tick(now)
        return []

    def run(self, name: str) -> str:
        """Returns the identity under which evidence on a roll-out counts."""
        return stops.name_run(self._deployment.rollouts[name])

    def shares(self) -> dict[str, float]:
        """Returns the share in effect of each configured roll-out."""
        return {name: self._share(name) for name in self._deployment.rollouts}

    def stopped(self) -> frozenset[str]:
        """Returns the versions that are stopped, or withdrawn in the store."""
        found = set(self._stops.versions())
        for name, rollout in self._deployment.rollouts.items():
            stage = self.describe(name)
            if stage is not None and stage.state is stages.State.WITHDRAWN:
                found.add(rollout.candidate)
        return frozenset(found)

    def describe(self, name: str) -> stages.Stage | None:
        """Returns the recorded stage of the configured roll-out, if any."""
        rollout = self._deployment.rollouts.get(name)
        run = self._runs.get(name)
        if rollout is None or run is None or run.stage is None:
            return None
        if run.stage.run != stops.name_run(rollout):
            return None
        return run.stage

    def build_digest(self, now: float) -> bytes:
        """Returns the revisions of the stage documents."""
        return compressed_json.compress_json(
            {name: run.revision for name, run in self._runs.items()}
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the newer stage documents."""
        held = compressed_json.decompress_json(digest)
        news = [
            [name, run.revision, run.value.decode()]
            for name, run in self._runs.items()
            if run.revision > held.get(name, 0)
        ]
        return compressed_json.compress_json(news) if news else b""

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Takes the stage documents of another process."""
        if not delta:
            return []
        for name, revision, value in compressed_json.decompress_json(delta):
            if name in self._deployment.rollouts:
                self._adopt(name, revision, value.encode(), now)
        return []

    def _find(self, name: str) -> _Run:
        return self._runs.setdefault(name, _Run())

    def _share(self, name: str) -> float:
        """A share comes only from a document that the store has confirmed."""
        rollout = self._deployment.rollouts[name]
        stage = self.describe(name)
        if stage is None or stage.state is stages.State.WITHDRAWN:
            return 0.0
        if self._stops.find(rollout.candidate) is not None:
            return 0.0
        if not 0 <= stage.stage < len(rollout.stages):
            return 0.0
        return rollout.stages[stage.stage]

    def _take_answer(self, event: StageSeen, now: float) -> None:
        run = self._find(event.rollout)
        if isinstance(event, StageConflict) and event.revision == 0:
            # The document is gone, so the share it gave is gone too.
            run.revision, run.value, run.stage = 0, b"", None
        self._adopt(event.rollout, event.revision, event.value, now)
        run.in_doubt = False

    def _adopt(self, name: str, revision: int, value: bytes, now: float):
        """Takes a document of the store unless a newer one is known."""
        run = self._find(name)
        if revision <= run.revision:
            return
        run.revision, run.value = revision, value
        run.stage = stages.decode(value)
        run.seen_at = now
        rollout = self._deployment.rollouts.get(name)
        if rollout is not None:
            run.outcomes, run.ratings = self._count(rollout)

    def _count(self, rollout: deployments.Rollout) -> tuple[int, int]:
        tallies = self._evidence.pool(stops.name_run(rollout))
        return (
            tallies[sequential.Metric.ERROR].candidate,
            tallies[sequential.Metric.QUALITY].candidate,
        )

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for name, rollout in self._deployment.rollouts.items():
            tallies = self._evidence.pool(stops.name_run(rollout))
            verdict = sequential.judge(tallies)
            if verdict.worse:
                result.extend(self._stops.add(name, verdict.reason))
            run = self._find(name)
            if now - run.seen_at <= SETTLE_S:
                run.outcomes, run.ratings = self._count(rollout)
            if self._coordinator:
                result.extend(self._drive(name, rollout, now))
        return result

    def _drive(
        self, name: str, rollout: deployments.Rollout, now: float
    ) -> list[commands.Command]:
        """Takes the next step towards the next stage, one call at a time."""
        run = self._find(name)
        if now < run.next_try_at:
            return []
        run.next_try_at = now + RETRY_S
        result: list[commands.Command] = []
        rest = run.lease_until - now
        if rest < 2 * LEASE_MARGIN_S:
            result.append(RequestLease(name, LEASE_TTL_S))
        if rest <= LEASE_MARGIN_S:
            return result
        if run.in_doubt:
            return [*result, ReadStage(name, stages.KEY_PREFIX + name)]
        target = self._find_target(run, rollout, now)
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

    def _find_target(
        self, run: _Run, rollout: deployments.Rollout, now: float
    ) -> stages.Stage | None:
        """Returns the document to write next, if any."""
        config = self._deployment.revisions.get(rollout.team, 0)
        identity = stops.name_run(rollout)
        mark = f"{self._random.getrandbits(64):016x}"
        stopped = self._stops.find(rollout.candidate) is not None
        stage = run.stage

        def follow(index: int, state: stages.State) -> stages.Stage:
            return stages.succeed(stage, index, state, config, identity, mark)

        # A malformed document may be an operator's pause: leave it alone.
        if stage is None and run.revision > 0:
            return None
        if stage is None or stage.run != identity:
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
        if not self._is_ready(run, rollout, here, now):
            return None
        if here + 1 >= len(rollout.stages):
            return follow(here, stages.State.DONE)
        return follow(here + 1, stages.State.RUNNING)

    def _is_ready(
        self, run: _Run, rollout: deployments.Rollout, here: int, now: float
    ) -> bool:
        if now - run.seen_at < self._pace.dwell_s:
            return False
        outcomes, ratings = self._count(rollout)
        if outcomes - run.outcomes < self._pace.outcomes:
            return False
        if ratings - run.ratings < self._pace.ratings:
            return False
        tallies = self._evidence.pool(stops.name_run(rollout))
        if any(sequential.is_doubtful(tally) for tally in tallies.values()):
            return False
        share = rollout.stages[min(here + 1, len(rollout.stages) - 1)]
        # At full share nothing is left to compare with.
        if share < 1.0 or rollout.stages[here] >= 1.0:
            return True
        return sequential.is_cleared(tallies[sequential.Metric.QUALITY])
