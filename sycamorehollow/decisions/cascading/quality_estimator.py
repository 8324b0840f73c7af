"""Estimates of response quality, learned from ratings.

Each (workspace, kind, version) has counts of accepted and rejected answers in
epochs of about `rating_counts.EPOCH_RATINGS` ratings. A process only raises
its own counts, so copies merge by taking the larger count of each process and
epoch. Old epochs weigh less and drop out, which bounds the state.
"""

import collections
from collections.abc import Mapping
import dataclasses
import math
import sys
from typing import NamedTuple
import zlib

from sycamorehollow.decisions import components
from sycamorehollow.decisions.cascading import rating_counts
from sycamorehollow.decisions.replication import compressed_json
from sycamorehollow.model import commands
from sycamorehollow.model import deployment as deployments
from sycamorehollow.model import events

# Weight of a prior in ratings: of one without data, and the limits of one from
# the same key in other workspaces, the neighbours. The closer the neighbours
# are to each other, the more their mean weighs.
UNINFORMED_PRIOR_RATINGS = 2.0
MIN_PRIOR_RATINGS = 4.0
# A few neighbours with some hundred ratings each can't show that they differ
# by less than this weight allows. A lower limit leaves a workspace with unlucky
# ratings on a dear version for thousands of requests.
MAX_PRIOR_RATINGS = 60.0
# Ratings from which the mean of a neighbour is used.
MIN_NEIGHBOUR_RATINGS = 30
MAX_PENDING_RESPONSES = 20_000
PENDING_TTL_S = 3600.0
MAX_KEYS = 4096
DIGEST_KEYS = 32
# Limits a delta to a few kilobytes when every process has changes.
MAX_DELTA_CELLS = 400
# At the target scale 5,500 ratings per second change more counts than 10 KB/s
# can carry; beyond this limit replication becomes slower instead.
BYTES_PER_S = 800.0
# A request whose first response was rejected is harder than an average one.
ESCALATION_FACTOR = 0.7


class EstimateKey(NamedTuple):
    """Key of an estimate.

    Attributes:
        workspace: Name of the workspace.
        kind: Kind of request.
        version: Version of the response; empty for all delivered responses.
        after: Versions whose responses to the request were rejected before.
            Escalated requests are harder, so they have separate estimates and
            don't bias those of fresh requests.
    """

    workspace: str
    kind: str
    version: str
    after: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ResponseProduced(events.Event):
    """A version has produced a response; its rating may follow.

    Attributes:
        answer_id: Unique per attempt.
        key: What the response counts for.
        threshold: Rating in [0, 1] from which the response is accepted.
        final: Whether the response is delivered even if it is rejected.
    """

    answer_id: str
    key: EstimateKey
    threshold: float
    final: bool


@dataclasses.dataclass(frozen=True)
class RatingArrived(events.Event):
    """The rating service has rated a response with a score in [0, 1]."""

    answer_id: str
    score: float


@dataclasses.dataclass(frozen=True)
class DeploymentChanged(events.Event):
    """A new configuration is in force."""

    deployment: deployments.Deployment


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Beta distribution of the share of accepted responses.

    Attributes:
        alpha: Discounted accepted ratings plus prior.
        beta: Discounted rejected ratings plus prior.
        ratings: Number of ratings, without prior and discount.
    """

    alpha: float
    beta: float
    ratings: int

    @property
    def mean(self) -> float:
        """Expected share of accepted responses."""
        return self.alpha / (self.alpha + self.beta)

    @property
    def deviation(self) -> float:
        """Standard deviation of the share."""
        total = self.alpha + self.beta
        return math.sqrt(self.alpha * self.beta / (total + 1)) / total


class QualityEstimator(components.Component, components.Replicated):
    """Estimates how often the responses of each version are accepted.

    Args:
        process: Identity of this process, which changes with a restart.
    """

    kind = "learning"
    bytes_per_s = BYTES_PER_S

    def __init__(self, process: str) -> None:
        self._process = process
        self._counts: dict[EstimateKey, rating_counts.RatingCounts] = {}
        self._pending: collections.OrderedDict[
            str, tuple[ResponseProduced, float]
        ] = collections.OrderedDict()
        self._configured: Mapping[str, deployments.Workspace] | None = None
        self._changes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; returns no commands."""
        if isinstance(event, ResponseProduced):
            self._pending[event.answer_id] = (event, now)
            self._drop_pending(now)
        elif isinstance(event, RatingArrived):
            self._apply_rating(event, now)
        elif isinstance(event, DeploymentChanged):
            self._configured = event.deployment.workspaces
            for key in [k for k in self._counts if not self._is_known(k)]:
                del self._counts[key]
        elif isinstance(event, events.Tick):
            self._drop_pending(now)
        return []

    def estimate(self, key: EstimateKey) -> Estimate:
        """Returns the estimate of a key; the prior if there are no ratings."""
        counts = self._counts.get(key)
        rated, accepted, ratings = (
            counts.compute_discounted() if counts else (0.0, 0.0, 0)
        )
        mean, weight = self._find_prior(key)
        return Estimate(
            alpha=0.5 + weight * mean + accepted,
            beta=0.5 + weight * (1 - mean) + rated - accepted,
            ratings=ratings,
        )

    def count_ratings(self, key: EstimateKey) -> int:
        """Returns the number of ratings of a key."""
        counts = self._counts.get(key)
        return sum(t[0] for t in counts.totals.values()) if counts else 0

    def count_changes(self, workspace: str, kind: str) -> int:
        """Returns how often the estimates of a kind have changed."""
        return self._changes[(workspace, kind)]

    def count_keys(self) -> int:
        """Returns the number of keys with counts."""
        return len(self._counts)

    def list_counts(
        self,
    ) -> list[tuple[EstimateKey, rating_counts.RatingCounts]]:
        """Returns the keys with their counts."""
        return list(self._counts.items())

    def build_digest(self, now: float) -> bytes:
        """Returns checksums of a slice of the keys, which rotates by second."""
        slices = max(1, math.ceil(len(self._counts) / DIGEST_KEYS))
        slice_index = int(now) % slices
        held = {}
        for key in self._list_slice(slices, slice_index):
            counts = self._counts[key]
            sums = {
                epoch: counts.compute_checksum(epoch) for epoch in counts.epochs
            }
            held["\n".join((*key[:3], *key.after))] = [counts.first_epoch, sums]
        return compressed_json.compress_json([slices, slice_index, held])

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns epochs that differ from the digest, up to a size limit."""
        slices, slice_index, held = compressed_json.decompress_json(digest)
        keys = self._list_slice(slices, slice_index)
        start = int(now * 7) % len(keys) if keys else 0
        updates = []
        remaining_cells = MAX_DELTA_CELLS
        for key in keys[start:] + keys[:start]:
            counts = self._counts[key]
            floor, sums = held.get("\n".join((*key[:3], *key.after)), (0, {}))
            epochs = {
                epoch: cells
                for epoch, cells in counts.epochs.items()
                if epoch >= floor
                and sums.get(str(epoch)) != counts.compute_checksum(epoch)
            }
            if not epochs and counts.first_epoch <= floor:
                continue
            updates.append([key, counts.first_epoch, epochs])
            remaining_cells -= sum(len(cells) for cells in epochs.values())
            if remaining_cells <= 0:
                break
        return compressed_json.compress_json(updates) if updates else b""

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Merges the counts of another process."""
        if not delta:
            return []
        for fields, floor, epochs in compressed_json.decompress_json(delta):
            key = EstimateKey(fields[0], fields[1], fields[2], tuple(fields[3]))
            if not self._is_known(key):
                continue
            counts = self._get_or_create_counts(key)
            if counts is None:
                continue
            # The cells come first, so that `floor` drops outdated ones again.
            for epoch, cells in epochs.items():
                for process, cell in cells.items():
                    # Else each delta would add a copy of every name.
                    name = sys.intern(process)
                    counts.merge_cell(int(epoch), name, (cell[0], cell[1]))
            if counts.drop_epochs_before(floor):
                counts.reset_at = now
            self._changes[key[:2]] += 1
        return []

    def _apply_rating(self, event: RatingArrived, now: float) -> None:
        # Removes the response, so that a repeated rating counts once.
        entry = self._pending.pop(event.answer_id, None)
        if entry is None:
            return
        response, produced_at = entry
        accepted = event.score >= response.threshold
        self._record(response.key, accepted, produced_at, now)
        if accepted or response.final:
            delivered = EstimateKey(
                response.key.workspace, response.key.kind, ""
            )
            self._record(delivered, accepted, produced_at, now)

    def _record(
        self, key: EstimateKey, accepted: bool, produced_at: float, now: float
    ) -> None:
        counts = (
            self._get_or_create_counts(key) if self._is_known(key) else None
        )
        # A response from before a drift says nothing about the quality since.
        if counts is None or produced_at < counts.reset_at:
            return
        counts.record(self._process, accepted)
        self._changes[(key.workspace, key.kind)] += 1
        start = counts.find_drift()
        if start is not None and counts.drop_epochs_before(start):
            counts.reset_at = now

    def _get_or_create_counts(
        self, key: EstimateKey
    ) -> rating_counts.RatingCounts | None:
        counts = self._counts.get(key)
        if counts is None and len(self._counts) < MAX_KEYS:
            counts = self._counts[key] = rating_counts.RatingCounts()
        return counts

    def _is_known(self, key: EstimateKey) -> bool:
        if self._configured is None:
            return True
        workspace = self._configured.get(key.workspace)
        if workspace is None:
            return False
        named = {key.version, *key.after} - {""}
        return named <= workspace.versions

    def _find_prior(self, key: EstimateKey) -> tuple[float, float]:
        """Returns the mean of the prior and its weight in ratings."""
        neighbours = []
        for name in self._list_workspaces():
            counts = self._counts.get(EstimateKey(name, *key[1:]))
            if name != key.workspace and counts is not None:
                neighbours.append(counts.compute_discounted()[:2])
        neighbours = [c for c in neighbours if c[0] >= MIN_NEIGHBOUR_RATINGS]
        if neighbours:
            return _pool_neighbours(neighbours)
        if not key.after:
            return 0.5, UNINFORMED_PRIOR_RATINGS
        # The closest known key is the one with one rejection less.
        parent = self.estimate(key._replace(after=key.after[1:]))
        return parent.mean * ESCALATION_FACTOR, MIN_PRIOR_RATINGS

    def _list_workspaces(self) -> list[str]:
        if self._configured is not None:
            return list(self._configured)
        return sorted({key.workspace for key in self._counts})

    def _drop_pending(self, now: float) -> None:
        while self._pending:
            answer_id, (_, produced_at) = next(iter(self._pending.items()))
            late = now - produced_at > PENDING_TTL_S
            if not late and len(self._pending) <= MAX_PENDING_RESPONSES:
                return
            del self._pending[answer_id]

    def _list_slice(self, slices: int, slice_index: int) -> list[EstimateKey]:
        return [
            key
            for key in sorted(self._counts)
            if zlib.crc32("\n".join(key[:3]).encode()) % slices == slice_index
        ]


def _pool_neighbours(
    neighbours: list[tuple[float, float]],
) -> tuple[float, float]:
    """Returns mean and weight of a Beta prior fitted to the neighbours."""
    means = [accepted / rated for rated, accepted in neighbours]
    mean = sum(means) / len(means)
    if len(means) < 2:
        return mean, MIN_PRIOR_RATINGS
    # Bounded, since the noise would be 0 for neighbours without a rejection.
    smooth = min(0.98, max(0.02, mean))
    noise = smooth * (1 - smooth)
    spread = sum((m - mean) ** 2 for m in means) / (len(means) - 1)
    spread -= noise * sum(1 / rated for rated, _ in neighbours) / len(means)
    # A few neighbours can be close by chance.
    spread = max(spread, noise / MAX_PRIOR_RATINGS)
    weight = noise / spread - 1
    return mean, min(MAX_PRIOR_RATINGS, max(MIN_PRIOR_RATINGS, weight))
