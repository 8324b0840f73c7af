"""Sequential test of a new version against the one in service.

Assignment is by hash, so a failure falls on the new version with the
probability of its share, whatever makes it fail, unless the version itself
fails more often. The likelihood ratio of that is a martingale under equal
quality: testing it after every answer does not add false alarms. A stratum is
one upstream; what makes an upstream sick hits both arms there alike.
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

# Ratios of failure rates that the test looks for.
RATIOS = (1.3, 1.7, 2.5, 5.0, 12.0)
# Chance that a version as good as the one in service is ever halted.
FALSE_POSITIVE_RATE = 0.01
# Likelihood ratio from which a roll-out waits for more evidence.
SUSPICION_RATIO = 5.0
# Ratio that has to be unlikely before nothing is left to compare with.
NONINFERIORITY_RATIO = 1.7
# Baseline outcomes before a stratum counts; without them an upstream that
# serves only the new version would be taken for the version.
MIN_BASELINE_OUTCOMES = 5
# Standard deviations by which the arms of an upstream may differ from the hash.
MAX_SHARE_DEVIATION_SIGMA = 2.0
MAX_PENDING_ANSWERS = 20_000
# Enough for every process and its restarts of some days at the target scale.
MAX_RECORDS = 2_000
# Keeps one delta to a few kilobytes when every process has news.
MAX_DELTA_RECORDS = 64
# At the target scale every record changes each second, so that whole digests
# and deltas would take twice the budget of a node.
DIGEST_SLICE_RECORDS = 64
BYTES_PER_S = 1_500.0


class Metric(enum.Enum):
    """What an outcome says about an answer."""

    QUALITY = "quality"
    ERROR = "error"
    LATENCY = "latency"


METRICS = tuple(Metric)


@dataclasses.dataclass(frozen=True)
class Tally:
    """Evidence on one metric; tallies of processes and strata add up.

    Attributes:
        scores: Log likelihood ratio for each of `RATIOS`.
        candidate: Outcomes of the new version.
        candidate_failed: Failed ones among them.
        baseline: Outcomes of the version in service.
        baseline_failed: Failed ones among them.
    """

    scores: tuple[float, ...] = (0.0,) * len(RATIOS)
    candidate: int = 0
    candidate_failed: int = 0
    baseline: int = 0
    baseline_failed: int = 0


@dataclasses.dataclass(frozen=True)
class TestResult:
    """Result of the test so far.

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
        answer_id: Unique per attempt; a rating may follow under it.
        rollout_id: Identity from `rollouts.Rollouts.get_rollout_id`.
        candidate: Whether the new version answered.
        upstream: Where it ran.
        share: Share of the new version when the request was assigned.
        failed: Whether it ended in an error or truncated.
        slow: Whether it missed the latency that its kind expects.
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
    """Outcome counts at one upstream, for one metric and one share."""

    def __init__(self) -> None:
        self._candidate = 0
        self._baseline = 0

    def count(
        self, tally: Tally, candidate: bool, failed: bool, share: float
    ) -> Tally:
        """Returns the tally with one more outcome.

        Args:
            tally: The evidence before the outcome.
            candidate: Whether the new version answered.
            failed: Whether the outcome is a failure.
            share: Share in (0, 1] of the new version when it was assigned.
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
        """Returns the chance that a failure here is the new version's."""
        seen = self._candidate + self._baseline
        observed = self._candidate / seen
        spread = math.sqrt(share * (1 - share) / seen)
        # An upstream that serves the new version more often than the hash
        # sends it fails it more often, too.
        if observed > share + MAX_SHARE_DEVIATION_SIGMA * spread:
            return observed
        return share


def sum_tallies(tallies: Iterable[Tally]) -> Tally:
    """Returns the joint evidence of processes or strata."""
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
    """Returns the log of the mixed likelihood ratio."""
    top = max(tally.scores)
    mixed = sum(math.exp(score - top) for score in tally.scores)
    return top + math.log(mixed / len(tally.scores))


def evaluate(tallies: Mapping[Metric, Tally]) -> TestResult:
    """Tells whether the new version is worse on any metric."""
    bound = math.log(len(METRICS) / FALSE_POSITIVE_RATE)
    for metric, tally in tallies.items():
        evidence = compute_log_likelihood_ratio(tally)
        if evidence < bound:
            continue
        return TestResult(
            True,
            f"{metric.value}: {tally.candidate_failed} of {tally.candidate}"
            f" failed against {tally.baseline_failed} of {tally.baseline}"
            f" in service (log evidence {evidence:.1f}, bound {bound:.1f})",
        )
    return TestResult(False, "no evidence that the new version is worse")


def is_possibly_worse(tally: Tally) -> bool:
    """Tells whether the new version looks worse without proof yet."""
    return compute_log_likelihood_ratio(tally) > math.log(SUSPICION_RATIO)


def is_noninferior(tally: Tally) -> bool:
    """Tells whether the evidence speaks against a version clearly worse."""
    return tally.scores[RATIOS.index(NONINFERIORITY_RATIO)] < -math.log(
        SUSPICION_RATIO
    )


class Evidence(components.Component, components.Replicated):
    """Evidence of all processes on the roll-outs in progress.

    Each process owns one record per roll-out and numbers its changes, so that
    copies merge by the higher number.

    Args:
        process: Identity of this run of the process; a restart has another.
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
        """Applies one event; evidence asks for no commands."""
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
            # Taking the answer out makes a repeated rating count once.
            answer = self._pending.pop(event.answer_id, None)
            if answer is not None and answer.rollout_id in self._retained:
                self._count(answer, Metric.QUALITY, not event.accepted)
        return []

    def retain_rollouts(self, rollout_ids: Collection[str]) -> None:
        """Forgets the evidence on all other roll-outs."""
        self._retained = frozenset(rollout_ids)
        for run in [r for r in self._records if r not in self._retained]:
            del self._records[run]
        for key in [k for k in self._strata if k[0] not in self._retained]:
            del self._strata[key]

    def combine_tallies(self, rollout_id: str) -> dict[Metric, Tally]:
        """Returns the joint evidence of all processes."""
        records = self._records.get(rollout_id, {}).values()
        return {
            metric: sum_tallies(
                tallies[metric] for _, tallies in records if metric in tallies
            )
            for metric in METRICS
        }

    def count_own_outcomes(self, rollout_id: str) -> int:
        """Returns the outcomes that this process has counted itself."""
        group = self._records.get(rollout_id, {})
        _, tallies = group.get(self._process, (0, {}))
        tally = tallies.get(Metric.ERROR, Tally())
        return tally.candidate + tally.baseline

    def build_digest(self, now: float) -> bytes:
        """Returns the change numbers of one slice of the records.

        Each second has another slice, so that a digest stays small.
        """
        count = sum(len(group) for group in self._records.values())
        slices = max(1, math.ceil(count / DIGEST_SLICE_RECORDS))
        turn = int(now) % slices
        held = {
            run: {
                process: record[0]
                for process, record in group.items()
                if _is_in_slice(process, slices, turn)
            }
            for run, group in self._records.items()
        }
        return compressed_json.compress_json([slices, turn, held])

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the newer records, up to a bound, from a rotating start."""
        slices, turn, held = compressed_json.decompress_json(digest)
        news = []
        for run, group in sorted(self._records.items()):
            known = held.get(run, {})
            for process, (number, tallies) in sorted(group.items()):
                if not _is_in_slice(process, slices, turn):
                    continue
                if number > known.get(process, 0):
                    news.append([run, process, number, _encode(tallies)])
        if not news:
            return b""
        start = int(now * 7) % len(news)
        return compressed_json.compress_json(
            (news[start:] + news[:start])[:MAX_DELTA_RECORDS]
        )

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Takes the records with a higher number."""
        if not delta:
            return []
        for run, process, number, tallies in compressed_json.decompress_json(
            delta
        ):
            # A restart has a new identity, so nobody else knows better.
            if run not in self._retained or process == self._process:
                continue
            group = self._records.setdefault(run, {})
            if number > group.get(process, (0, {}))[0]:
                group[process] = (number, _decode(tallies))
            if len(group) > MAX_RECORDS:
                del group[min(group, key=lambda name: (group[name][0], name))]
        return []

    def _count(self, answer: AnswerEnded, metric: Metric, failed: bool) -> None:
        group = self._records.setdefault(answer.rollout_id, {})
        number, tallies = group.get(self._process, (0, {}))
        # The share is part of the stratum: an upstream that is sick during
        # one stage only would otherwise weigh more on the new version.
        key = (answer.rollout_id, answer.upstream, answer.share, metric)
        stratum = self._strata.setdefault(key, Stratum())
        tally = stratum.count(
            tallies.get(metric, Tally()), answer.candidate, failed, answer.share
        )
        group[self._process] = (number + 1, {**tallies, metric: tally})


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
