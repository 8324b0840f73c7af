"""Stop records: versions that take no new work, known without the store."""

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
        team: Branch that holds the roll-out.
        revision: Revision of the branch in effect when it was stopped; only a
            higher one lifts the stop.
        run: Identity of the roll-out that was stopped.
        process: Who stopped it.
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
    """Push stop records of this process to peers at once."""

    stops: tuple[Stop, ...]


@dataclasses.dataclass(frozen=True)
class ReportStops(commands.Command):
    """Stop records of others are new here.

    The receiver of a push from another data centre forwards them to its own.
    """

    stops: tuple[Stop, ...]


@functools.lru_cache(maxsize=256)
def compute_rollout_id(rollout: deployments.Rollout) -> str:
    """Returns an identity that changes whenever the roll-out's entry does."""
    text = repr(dataclasses.astuple(rollout))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class Stops(components.Replicated):
    """The stop records, one per version.

    Args:
        process: Identity of this run of the process.
    """

    kind = "stops"

    def __init__(self, process: str) -> None:
        self._process = process
        self._deployment = deployments.Deployment()
        self._stops: dict[str, Stop] = {}

    def set_deployment(self, deployment: deployments.Deployment) -> None:
        """Takes the configuration in effect, which may lift records."""
        self._deployment = deployment

    def add(self, name: str, reason: str) -> list[commands.Command]:
        """Stops the new version of a roll-out."""
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
        return [PushStops(tuple(self._take([stop])))]

    def find(self, version: str) -> Stop | None:
        """Returns the stop record in effect for a version."""
        stop = self._stops.get(version)
        if stop is None:
            return None
        if self._deployment.revisions.get(stop.team, 0) <= stop.revision:
            return stop
        runs = {
            compute_rollout_id(rollout)
            for rollout in self._deployment.rollouts.values()
            if rollout.candidate == version
        }
        # An unrelated change of the branch must not bring a bad version back.
        return stop if not runs or stop.run in runs else None

    def list_versions(self) -> frozenset[str]:
        """Returns the versions with a stop record in effect."""
        return frozenset(v for v in self._stops if self.find(v))

    def build_digest(self, now: float) -> bytes:
        """Returns the order of each record."""
        return compressed_json.compress_json(
            {v: _order(stop) for v, stop in self._stops.items()}
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the records that come later than those of the digest."""
        held = compressed_json.decompress_json(digest)
        return self.encode(
            stop
            for version, stop in self._stops.items()
            if _order(stop) > held.get(version, [])
        )

    def encode(self, stops: Iterable[Stop]) -> bytes:
        """Returns a delta with the records, for a push to peers."""
        news = [dataclasses.asdict(stop) for stop in stops]
        return compressed_json.compress_json(news) if news else b""

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Takes the records that come later than those held."""
        if not delta:
            return []
        news = self._take(
            Stop(**stop) for stop in compressed_json.decompress_json(delta)
        )
        return [ReportStops(tuple(news))] if news else []

    def _take(self, stops: Iterable[Stop]) -> list[Stop]:
        news = []
        for stop in stops:
            known = self._stops.get(stop.version)
            if known is not None and _order(known) >= _order(stop):
                continue
            self._stops[stop.version] = stop
            news.append(stop)
        return news


def _order(stop: Stop) -> list:
    """A later revision wins; the rest makes the winner the same anywhere."""
    return [stop.revision, stop.run, stop.process, stop.reason]
