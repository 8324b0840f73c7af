"""Evidence of failed responses of a new version, by route and by model.

A version may fail on one route or with one model only. The sum over all
responses dilutes such a failure until it looks like evidence for the version,
so each group of responses is tested by itself, beside the sum.

A single failing upstream is no failure of the version. A group therefore counts
as failing only if the responses of its other upstreams, without those that fail
most, speak against the version as well.
"""

from collections.abc import Mapping
import dataclasses
import zlib

from sycamorehollow.decisions.forwarding import failure_counts

# Number of parts into which the new version's upstreams are hashed.
PARTS = 8
# With fewer parts that have responded, one of them says nothing by itself.
MIN_PARTS = 3
# Responses of both versions from which a group has to be proven sound. The
# tolerated exposure to a rarer group yields too few for a proof.
MIN_RESPONSES = 100
# Failures are also evaluated over the latest seconds alone, so that a version
# that degrades late is detected as fast as one that fails from the start.
WINDOW_S = 6.0
# Name of the group of all responses.
ALL = "all responses"
# Responses of the version in service, within the latest seconds, that show its
# present failure rate; with fewer, as after the ramp-up, all of them count.
MIN_BASELINE = 20


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where a response comes from.

    Attributes:
        route: Name of the route.
        model: Model that was named to the upstream; empty for a plain service.
        upstream: Identity of the upstream.
    """

    route: str
    model: str
    upstream: str


@dataclasses.dataclass(frozen=True)
class Counts:
    """Counts of responses of both versions in one group.

    Attributes:
        new: Responses of the new version by part of its upstreams.
        new_failed: Failed ones among them.
    """

    old: int = 0
    old_failed: int = 0
    new: tuple[int, ...] = (0,) * PARTS
    new_failed: tuple[int, ...] = (0,) * PARTS

    @property
    def size(self) -> int:
        """Number of all responses."""
        return self.old + sum(self.new)

    @property
    def tally(self) -> failure_counts.Tally:
        """The counts without the parts."""
        return failure_counts.Tally(
            sum(self.new), sum(self.new_failed), self.old, self.old_failed
        )

    def plus(self, other: "Counts", sign: int = 1) -> "Counts":
        """Returns the sum, or the difference for a sign of -1."""
        return Counts(
            self.old + sign * other.old,
            self.old_failed + sign * other.old_failed,
            _add(self.new, other.new, sign),
            _add(self.new_failed, other.new_failed, sign),
        )

    def without_worst_part(self) -> failure_counts.Tally:
        """Returns the tally without the part that has failed most."""
        failed, count = max(zip(self.new_failed, self.new, strict=True))
        return self.tally.minus(failure_counts.Tally(count, failed))

    def encode(self) -> list[int]:
        """Returns the counts as a flat list of numbers."""
        return [self.old, self.old_failed, *self.new, *self.new_failed]


def decode(values: list[int]) -> Counts:
    """Decodes the result of `Counts.encode`.

    Raises:
        ValueError: The list has another length.
    """
    if len(values) != 2 + 2 * PARTS:
        raise ValueError(f"{len(values)} counts")
    return Counts(
        int(values[0]),
        int(values[1]),
        tuple(int(value) for value in values[2 : 2 + PARTS]),
        tuple(int(value) for value in values[2 + PARTS :]),
    )


def build_counts(upstream: str, new: bool, failed: bool) -> Counts:
    """Returns the counts of one response.

    Args:
        upstream: Identity of the upstream.
        new: Whether it runs the new version.
        failed: Whether the response was a failure.
    """
    if not new:
        return Counts(1, int(failed))
    part = zlib.crc32(upstream.encode()) % PARTS
    ones = tuple(int(index == part) for index in range(PARTS))
    return Counts(0, 0, ones, ones if failed else (0,) * PARTS)


class FailureEvidence:
    """Counts of all nodes for one roll-out, and the tests on them.

    Attributes:
        counts: Counts by node, route and model. Each node only increases its
            own counts.
    """

    def __init__(self) -> None:
        self.counts: dict[str, dict[str, dict[str, Counts]]] = {}
        self._totals: dict[str, Counts] = {}
        self._history: list[tuple[float, dict[str, Counts]]] = []

    def record(
        self, node: str, origin: Origin, new: bool, failed: bool
    ) -> None:
        """Counts a response at this node."""
        models = self.counts.get(node, {}).get(origin.route, {})
        known = models.get(origin.model, Counts())
        one = build_counts(origin.upstream, new, failed)
        self._set(node, origin.route, origin.model, known.plus(one))

    def merge(
        self, node: str, routes: Mapping[str, Mapping[str, Counts]]
    ) -> None:
        """Merges another node's counts; of two the larger is newer."""
        stored = self.counts.get(node, {})
        for route, models in routes.items():
            for model, counts in models.items():
                known = stored.get(route, {}).get(model, Counts())
                if counts.size > known.size:
                    self._set(node, route, model, counts)

    def evaluate(self, now: float) -> str:
        """Runs all tests; returns why the version fails, or an empty text."""
        self._history = [
            entry for entry in self._history if entry[0] >= now - WINDOW_S
        ]
        base = self._history[0][1] if self._history else {}
        self._history.append((now, dict(self._totals)))
        for group, total in self._totals.items():
            latest = total.plus(base.get(group, Counts()), -1)
            if latest.old < MIN_BASELINE:
                latest = dataclasses.replace(
                    latest, old=total.old, old_failed=total.old_failed
                )
            for counts in (total, latest):
                if failure_counts.is_worse(
                    counts.tally
                ) and not self._is_limited_to_one_part(counts):
                    return f"{group}: failed responses: {counts.tally}"
        return ""

    def is_limited_to_one_part(self) -> bool:
        """Returns whether one part of the upstreams explains all failures."""
        return self._is_limited_to_one_part(self._totals.get(ALL, Counts()))

    def list_unproven(self, log_ratio: float) -> list[str]:
        """Returns the groups that are not proven sound, as text for the log.

        Args:
            log_ratio: Log likelihood ratio from which down a group counts as
                sound.
        """
        return [
            f"{group}: {counts.tally}"
            for group, counts in self._totals.items()
            if counts.size >= MIN_RESPONSES
            and failure_counts.compute_log_likelihood_ratio(counts.tally)
            > log_ratio
        ]

    def _is_limited_to_one_part(self, counts: Counts) -> bool:
        """Returns whether the other parts do not speak against the version."""
        everywhere = self._totals.get(ALL, Counts())
        if sum(count > 0 for count in everywhere.new) < MIN_PARTS:
            return False
        others = counts.without_worst_part()
        return failure_counts.compute_log_likelihood_ratio(others) <= 0

    def _set(self, node: str, route: str, model: str, counts: Counts) -> None:
        models = self.counts.setdefault(node, {}).setdefault(route, {})
        added = counts.plus(models.get(model, Counts()), -1)
        models[model] = counts
        groups = [f"route {route}"]
        if model:
            groups.append(f"model {model}")
        groups.append(ALL)
        for group in groups:
            total = self._totals.get(group, Counts())
            self._totals[group] = total.plus(added)


def _add(
    one: tuple[int, ...], other: tuple[int, ...], sign: int
) -> tuple[int, ...]:
    return tuple(a + sign * b for a, b in zip(one, other, strict=True))
