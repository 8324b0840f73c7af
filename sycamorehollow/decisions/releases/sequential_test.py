"""Sequential test of a new version against the one in service.

Requests are assigned by hash, so a failure belongs to the new version with a
probability equal to its share, whatever the cause, unless the version itself
fails more often. Under equal quality the likelihood ratio is a martingale, so
evaluating it after every answer adds no false positives. Each upstream is a
stratum, because a fault of an upstream affects both arms alike.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import math
import zlib

from sycamorehollow.decisions import components
from sycamorehollow.decisions.replication import compressed_json
from sycamorehollow.model import commands
from sycamorehollow.model import events

# Ratios of failure rates that the test is designed to detect.
RATIOS = (1.3, 1.7, 2.5, 5.0, 12.0)
# Probability that a version as good as the one in service is ever stopped.
FALSE_POSITIVE_RATE = 0.01
# Likelihood ratio above which a roll-out waits for more evidence.
SUSPECT_RATIO = 5.0
# Ratio that must be unlikely before full share, as that ends the comparison.
NONINFERIORITY_RATIO = 1.7
# Baseline outcomes before a stratum counts; otherwise a fault of an upstream
# that serves only the new version would be attributed to the version.
MIN_BASELINE_OUTCOMES = 5
# Standard deviations by which the observed share of an upstream may exceed the
# assigned one.
SHARE_SIGMA = 2.0
MAX_PENDING_ANSWERS = 20_000
# Enough for all processes and several days of restarts at the target scale.
MAX_RECORDS = 2_000
# Limits a delta to a few kilobytes when every process has changes.
MAX_DELTA_RECORDS = 64
# At the target scale every record changes each second; complete digests and
# deltas would take twice the bandwidth budget of a node.
DIGEST_SLICE_RECORDS = 64
BYTES_PER_S = 1_500.0


class Metric(enum.Enum):
    """Aspect of an answer that an outcome refers to."""

    QUALITY = "quality"
    ERROR = "error"
    LATENCY = "latency"


METRICS = tuple(Metric)


@dataclasses.dataclass(frozen=True)
class Tally:
    """Evidence on one metric, additive over processes and strata.

    Attributes:
        scores: Log-likelihood ratio for each of `RATIOS`.
        candidate: Outcomes of the new version.
        candidate_failed: Failed outcomes of the new version.
        baseline: Outcomes of the version in service.
        baseline_failed: Failed outcomes of the version in service.
    """

    scores: tuple[float, ...] = (0.0,) * len(RATIOS)
    candidate: int = 0
    candidate_failed: int = 0
    baseline: int = 0
    baseline_failed: int = 0


@dataclasses.dataclass(frozen=True)
class TestResult:
    """Result of the test on the evidence so far.

    Attributes:
        worse: Whether the new version fails more often.
        reason: One sentence for the log.
    """

    worse: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class AnswerEnded(events.Event):
    """An answer that counts for a roll-out has ended.

    Attributes:
        answer_id: Identity of the answer; its rating may follow.
        rollout_id: Identity from `rollouts.Rollouts.get_rollout_id`.
        candidate: Whether the new version answered.
        upstream: Upstream that answered.
        share: Share of the new version when the request was assigned.
        failed: Whether it ended with an error or a truncated answer.
        slow: Whether it exceeded the expected latency of its kind.
    """

    answer_id: str
    rollout_id: str
    candidate: bool
    upstream: str
    share: float
    failed: bool = False
    slow: bool = False


@dataclasses.dataclass(frozen=True)
class AnswerRated(events.Event):
    """The rating of an answer has arrived."""

    answer_id: str
    accepted: bool


class Stratum:
    """Outcome counts of one upstream, metric and share."""

    def __init__(self) -> None:
        self._candidate = 0
        self._baseline = 0

    def count(
        self, tally: Tally, candidate: bool, failed: bool, share: float
    ) -> Tally:
        """Returns the tally with one outcome added.

        Args:
            tally: The evidence before the outcome.
            candidate: Whether the new version answered.
            failed: Whether the outcome is a failure.
            share: Share in (0, 1] of the new version at the assignment.
        """
        scores = tally.scores
        if failed and self._baseline >= MIN_BASELINE_OUTCOMES and share < 1.0:
            expected = self._expect(share)
            scores = tuple(
                score
                + (math.log(ratio) if candidate else 0.0)
                - math.log(1 - expected + expected * ratio)
                for score, ratio in zip(scores, RATIOS, strict=True)
            )
        self._candidate += int(candidate)
        self._baseline += int(not candidate)
        return Tally(
            scores,
            tally.candidate + int(candidate),
            tally.candidate_failed + int(candidate and failed),
            tally.baseline + int(not candidate),
            tally.baseline_failed + int(not candidate and failed),
        )

    def _expect(self, share: float) -> float:
        """Returns the probability that a failure is of the new version."""
        total = self._candidate + self._baseline
        observed = self._candidate / total
        deviation = math.sqrt(share * (1 - share) / total)
        # An upstream that serves a larger share of the new version than was
        # assigned also sees a larger share of its failures.
        if observed > share + SHARE_SIGMA * deviation:
            return observed
        return share


def sum_tallies(tallies: Iterable[Tally]) -> Tally:
    """Returns the sum of the tallies of processes or strata."""
    scores = [0.0] * len(RATIOS)
    counts = [0, 0, 0, 0]
    for tally in tallies:
        for index, score in enumerate(tally.scores):
            scores[index] += score
        counts[0] += tally.candidate
        counts[1] += tally.candidate_failed
        counts[2] += tally.baseline
        counts[3] += tally.baseline_failed
    return Tally(tuple(scores), *counts)


def compute_log_likelihood_ratio(tally: Tally) -> float:
    """Returns the log of the likelihood ratio, averaged over `RATIOS`."""
    top = max(tally.scores)
    mixed = sum(math.exp(score - top) for score in tally.scores)
    return top + math.log(mixed / len(tally.scores))


def evaluate(tallies: Mapping[Metric, Tally]) -> TestResult:
    """Returns whether the new version is worse on any metric, and why."""
    threshold = math.log(len(METRICS) / FALSE_POSITIVE_RATE)
    for metric, tally in tallies.items():
        evidence = compute_log_likelihood_ratio(tally)
        if evidence < threshold:
            continue
        return TestResult(
            True,
            f"{metric.value}: {tally.candidate_failed} of {tally.candidate}"
            f" failed against {tally.baseline_failed} of {tally.baseline}"
            f" in service (log evidence {evidence:.1f}, bound {threshold:.1f})",
        )
    return TestResult(False, "no evidence that the new version is worse")


def is_possibly_worse(tally: Tally) -> bool:
    """Returns whether the new version may be worse, without proof yet."""
    return compute_log_likelihood_ratio(tally) > math.log(SUSPECT_RATIO)


def is_noninferior(tally: Tally) -> bool:
    """Returns whether a much worse version is unlikely on the evidence."""
    return tally.scores[RATIOS.index(NONINFERIORITY_RATIO)] < -math.log(
        SUSPECT_RATIO
    )


class Evidence(components.Component, components.Replicated):
    """Evidence of all processes on the roll-outs in progress.

    Each process owns one record per roll-out and numbers its changes; of two
    copies the one with the higher number wins.

    Args:
        process: Identity of this process, which changes with a restart.
    """

    kind = "evidence"
    bytes_per_s = BYTES_PER_S

    def __init__(self, process: str) -> None:
        self._process = process
        self._records: dict[
            str, dict[str, tuple[int, dict[Metric, Tally]]]
        ] = {}
        self._strata: dict[tuple[str, str, float, Metric], Stratum] = {}
        self._pending: collections.OrderedDict[str, AnswerEnded] = (
            collections.OrderedDict()
        )
        self._retained: frozenset[str] = frozenset()

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; returns no commands."""
        if (
            isinstance(event, AnswerEnded)
            and event.rollout_id in self._retained
        ):
            self._count(event, Metric.ERROR, event.failed)
            if not event.failed:
                self._count(event, Metric.LATENCY, event.slow)
                self._pending[event.answer_id] = event
            if len(self._pending) > MAX_PENDING_ANSWERS:
                self._pending.popitem(last=False)
        elif isinstance(event, AnswerRated):
            # The answer is removed, so that a repeated rating counts once.
            answer = self._pending.pop(event.answer_id, None)
            if answer is not None and answer.rollout_id in self._retained:
                self._count(answer, Metric.QUALITY, not event.accepted)
        return []

    def retain_rollouts(self, rollout_ids: Collection[str]) -> None:
        """Drops the evidence on all other roll-outs."""
        self._retained = frozenset(rollout_ids)
        for rollout_id in [r for r in self._records if r not in self._retained]:
            del self._records[rollout_id]
        for key in [k for k in self._strata if k[0] not in self._retained]:
            del self._strata[key]

    def combine(self, rollout_id: str) -> dict[Metric, Tally]:
        """Returns the combined evidence of all processes by metric."""
        records = self._records.get(rollout_id, {}).values()
        return {
            metric: sum_tallies(
                tallies[metric] for _, tallies in records if metric in tallies
            )
            for metric in METRICS
        }

    def count_own_outcomes(self, rollout_id: str) -> int:
        """Returns the number of outcomes counted by this process."""
        processes = self._records.get(rollout_id, {})
        _, tallies = processes.get(self._process, (0, {}))
        tally = tallies.get(Metric.ERROR, Tally())
        return tally.candidate + tally.baseline

    def build_digest(self, now: float) -> bytes:
        """Returns the change numbers of one slice of the records.

        The slice rotates every second, which keeps digests small.
        """
        count = sum(len(processes) for processes in self._records.values())
        slices = max(1, math.ceil(count / DIGEST_SLICE_RECORDS))
        slice_index = int(now) % slices
        known_numbers = {
            rollout_id: {
                process: record[0]
                for process, record in processes.items()
                if _is_in_slice(process, slices, slice_index)
            }
            for rollout_id, processes in self._records.items()
        }
        return compressed_json.compress_json(
            [slices, slice_index, known_numbers]
        )

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns newer records up to a limit, with a rotating start."""
        slices, slice_index, known_numbers = compressed_json.decompress_json(
            digest
        )
        newer = []
        for rollout_id, processes in sorted(self._records.items()):
            known = known_numbers.get(rollout_id, {})
            for process, (number, tallies) in sorted(processes.items()):
                if not _is_in_slice(process, slices, slice_index):
                    continue
                if number > known.get(process, 0):
                    newer.append(
                        [rollout_id, process, number, _encode(tallies)]
                    )
        if not newer:
            return b""
        start = int(now * 7) % len(newer)
        return compressed_json.compress_json(
            (newer[start:] + newer[:start])[:MAX_DELTA_RECORDS]
        )

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Merges the records with a higher number."""
        if not delta:
            return []
        for (
            rollout_id,
            process,
            number,
            tallies,
        ) in compressed_json.decompress_json(delta):
            # A restart has a new identity, so no peer has a newer own record.
            if rollout_id not in self._retained or process == self._process:
                continue
            processes = self._records.setdefault(rollout_id, {})
            if number > processes.get(process, (0, {}))[0]:
                processes[process] = (number, _decode(tallies))
            if len(processes) > MAX_RECORDS:
                del processes[
                    min(processes, key=lambda name: (processes[name][0], name))
                ]
        return []

    def _count(self, answer: AnswerEnded, metric: Metric, failed: bool) -> None:
        processes = self._records.setdefault(answer.rollout_id, {})
        number, tallies = processes.get(self._process, (0, {}))
        # The share is part of the stratum: a fault of an upstream during one
        # stage only would otherwise weigh more on the new version.
        key = (answer.rollout_id, answer.upstream, answer.share, metric)
        stratum = self._strata.setdefault(key, Stratum())
        tally = stratum.count(
            tallies.get(metric, Tally()), answer.candidate, failed, answer.share
        )
        processes[self._process] = (number + 1, {**tallies, metric: tally})


def _is_in_slice(process: str, slices: int, slice_index: int) -> bool:
    return zlib.crc32(process.encode()) % slices == slice_index


def _encode(tallies: Mapping[Metric, Tally]) -> dict[str, list]:
    return {
        metric.value: [
            [round(score, 3) for score in tally.scores],
            tally.candidate,
            tally.candidate_failed,
            tally.baseline,
            tally.baseline_failed,
        ]
        for metric, tally in tallies.items()
    }


def _decode(tallies: Mapping[str, list]) -> dict[Metric, Tally]:
    return {
        Metric(name): Tally(tuple(values[0]), *values[1:])
        for name, values in tallies.items()
    }
