"""Stop records of versions that take no new work.

Records spread between processes, so that a stop takes effect without the
store.
"""

from collections.abc import Iterable
import dataclasses
import functools
import hashlib

from sycamorehollow.decisions import components
from sycamorehollow.decisions.replication import compressed_json
from sycamorehollow.model import commands
from sycamorehollow.model import deployment as deployments


@dataclasses.dataclass(frozen=True)
class Stop:
    """A version that takes no new work.

    Attributes:
        version: Name of the version.
        team: Configuration branch that contains the roll-out.
        revision: Revision of the branch in effect at the stop; only a higher
            one lifts the stop.
        run: Identity of the roll-out that was stopped.
        process: Process that stopped it.
        reason: One sentence for operators.
    """

    version: str
    team: str
    revision: int
    run: str
    process: str
    reason: str


@dataclasses.dataclass(frozen=True)
class PushStops(commands.Command):
    """Push new stop records to all peers at once."""

    stops: tuple[Stop, ...]


@dataclasses.dataclass(frozen=True)
class ReportStops(commands.Command):
    """Report stop records of other processes that are new to this one.

    A process that receives a push from another data centre forwards the records
    within its own.
    """

    stops: tuple[Stop, ...]


@functools.lru_cache(maxsize=256)
def compute_rollout_id(rollout: deployments.Rollout) -> str:
    """Returns an identity that changes with any change of the roll-out."""
    text = repr(dataclasses.astuple(rollout))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class Stops(components.Replicated):
    """The stop records, one per version.

    Args:
        process: Identity of this process, which changes with a restart.
    """

    kind = "stops"

    def __init__(self, process: str) -> None:
        self._process = process
        self._deployment = deployments.Deployment()
        self._stops: dict[str, Stop] = {}

    def set_deployment(self, deployment: deployments.Deployment) -> None:
        """Applies the configuration in effect, which may lift stops."""
        self._deployment = deployment

    def add(self, name: str, reason: str) -> list[commands.Command]:
        """Records a stop of the new version of a roll-out."""
        rollout = self._deployment.rollouts.get(name)
        if rollout is None or self.find(rollout.candidate):
            return []
        stop = Stop(
            rollout.candidate,
            rollout.team,
            self._deployment.revisions.get(rollout.team, 0),
            compute_rollout_id(rollout),
            self._process,
            reason,
        )
        return [PushStops(tuple(self._merge_records([stop])))]

    def find(self, version: str) -> Stop | None:
        """Returns the stop record in effect for a version."""
        stop = self._stops.get(version)
        if stop is None:
            return None
        if self._deployment.revisions.get(stop.team, 0) <= stop.revision:
            return stop
        rollout_ids = {
            compute_rollout_id(rollout)
            for rollout in self._deployment.rollouts.values()
            if rollout.candidate == version
        }
        # An unrelated change of the branch must not lift the stop.
        return stop if not rollout_ids or stop.run in rollout_ids else None

    def list_versions(self) -> frozenset[str]:
        """Returns the versions with a stop record in effect."""
        return frozenset(v for v in self._stops if self.find(v))

    def build_digest(self, now: float) -> bytes:
        """Returns the precedence of each record."""
        return compressed_json.compress_json(
            {v: _get_precedence(stop) for v, stop in self._stops.items()}
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the records that take precedence over those of a digest."""
        known = compressed_json.decompress_json(digest)
        return self.encode(
            stop
            for version, stop in self._stops.items()
            if _get_precedence(stop) > known.get(version, [])
        )

    def encode(self, stops: Iterable[Stop]) -> bytes:
        """Returns a delta with the records, for a push to peers."""
        newer = [dataclasses.asdict(stop) for stop in stops]
        return compressed_json.compress_json(newer) if newer else b""

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Merges the records that take precedence over the known ones."""
        if not delta:
            return []
        newer = self._merge_records(
            Stop(**stop) for stop in compressed_json.decompress_json(delta)
        )
        return [ReportStops(tuple(newer))] if newer else []

    def _merge_records(self, stops: Iterable[Stop]) -> list[Stop]:
        newer = []
        for stop in stops:
            known = self._stops.get(stop.version)
            if known is not None and _get_precedence(known) >= _get_precedence(
                stop
            ):
                continue
            self._stops[stop.version] = stop
            newer.append(stop)
        return newer


def _get_precedence(stop: Stop) -> list:
    """Returns the sort key, the same at all processes; later revisions win."""
    return [stop.revision, stop.run, stop.process, stop.reason]
