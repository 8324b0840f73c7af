"""Response time statistics and the classification of responses as slow.

The version in service is the baseline. A response is slow if the time to its
first event, or the mean gap between later events, is far above the baseline
of the same route and model. The first event is compared among prompts of
similar uncached length, since longer prompts take longer to process. Cold and
newly started upstreams are excluded.
"""

from collections.abc import Callable
import dataclasses
import enum
import math

from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Number of events after the first whose mean gap is classified as soon as they
# have arrived. The remaining events are classified together at the end.
EARLY_EVENTS = 8
# A response is slow if it exceeds both this quantile and the median of the
# version in service, multiplied by the factors below.
QUANTILE = 0.9
SLOW_QUANTILE_FACTOR = 1.5
SLOW_MEDIAN_FACTOR = 2.0
# With fewer baseline responses than this, the route's objectives are the limit.
MIN_RESPONSES = 8
# Histogram counts are halved once twice this many responses are recorded.
HALVING_RESPONSES = 400
# Logarithmic histogram: ratio between adjacent bins, and the lowest bin.
BIN_RATIO = 1.2
SHORTEST_S = 0.0005
BINS = 70
# Ratio between adjacent classes of uncached prompt length.
LENGTH_CLASS_RATIO = 4.0
# Responses to requests sent this soon after the start are ignored.
WARM_UP_S = 1.0


class LatencyKind(enum.Enum):
    """Latency of a response that is classified."""

    FIRST_EVENT = "start"
    EVENT_GAP = "pace"


class Histogram:
    """Logarithmic histogram of durations that decays as samples are added."""

    def __init__(self) -> None:
        self._bins = [0.0] * BINS
        self.count = 0.0

    def record(self, seconds: float) -> None:
        """Adds one duration."""
        index = math.log(max(seconds, SHORTEST_S) / SHORTEST_S, BIN_RATIO)
        self._bins[min(BINS - 1, int(index))] += 1
        self.count += 1
        if self.count >= 2 * HALVING_RESPONSES:
            self._bins = [weight / 2 for weight in self._bins]
            self.count /= 2

    def compute_quantile(self, quantile: float) -> float:
        """Returns the upper bound in seconds of the bin of a quantile."""
        remaining = quantile * self.count
        for index, weight in enumerate(self._bins):
            remaining -= weight
            if remaining <= 0:
                return SHORTEST_S * BIN_RATIO ** (index + 1)
        return SHORTEST_S * BIN_RATIO**BINS

    def compute_slow_limit(self) -> float:
        """Returns the duration in seconds above which a response is slow."""
        return max(
            SLOW_QUANTILE_FACTOR * self.compute_quantile(QUANTILE),
            SLOW_MEDIAN_FACTOR * self.compute_quantile(0.5),
        )


@dataclasses.dataclass(frozen=True)
class AttemptLabels:
    """Attributes by which the latency of an attempt is grouped.

    Attributes:
        uncached_tokens: Estimated prompt tokens missing from the upstream's
            prefix cache.
        share: Traffic share of the new version at the time of assignment; 0
            if the version was not assigned by share.
    """

    service: str
    version: str
    route: forwarding.Route
    model: str
    upstream: str
    uncached_tokens: int
    share: float


class ResponseTimes:
    """Response time statistics of all services at this node.

    Args:
        is_reference: Returns whether a version of a service belongs to the
            baseline.
        report: Receives each classified latency and whether it was slow.
    """

    def __init__(
        self,
        is_reference: Callable[[str, str], bool],
        report: Callable[[AttemptLabels, LatencyKind, bool], None],
    ):
        self._is_reference = is_reference
        self._report = report
        self._histograms: dict[tuple[str, ...], Histogram] = {}

    def start_timer(
        self,
        service: forwarding.Service,
        route: forwarding.Route,
        attempt: steps.Attempt,
        share: float,
    ) -> "ResponseTimer":
        """Returns a timer for an attempt that has just been sent.

        Args:
            service: Service of the request.
            route: Route of the request.
            attempt: The attempt.
            share: Traffic share of the new version by which the attempt's
                version was assigned; 0 if it was not, as for a retry.
        """
        upstream = attempt.state.upstream
        labels = AttemptLabels(
            service.name,
            upstream.version,
            route,
            attempt.model,
            upstream.identity,
            attempt.uncached_tokens,
            share,
        )
        return ResponseTimer(self, labels, attempt)

    def find_first_event_limit(self, labels: AttemptLabels) -> float:
        """Returns the limit in seconds for the time to the first event."""
        for key in _list_first_event_keys(labels):
            histogram = self._histograms.get(key)
            if histogram is not None and histogram.count >= MIN_RESPONSES:
                return histogram.compute_slow_limit()
        return labels.route.objective_s

    def find_event_gap_limit(self, labels: AttemptLabels, events: int) -> float:
        """Returns the limit in seconds for the mean gap of some events."""
        histogram = self._histograms.get(_get_event_gap_key(labels, events))
        if histogram is not None and histogram.count >= MIN_RESPONSES:
            return histogram.compute_slow_limit()
        return labels.route.max_event_gap_s or labels.route.objective_s

    def record_first_event(self, labels: AttemptLabels, seconds: float) -> None:
        """Records the time to the first event or to a complete response."""
        if self._is_reference(labels.service, labels.version):
            for key in _list_first_event_keys(labels):
                self._histograms.setdefault(key, Histogram()).record(seconds)

    def record_event_gap(
        self, labels: AttemptLabels, seconds: float, events: int
    ) -> None:
        """Records the mean gap in seconds between events of a stream."""
        if self._is_reference(labels.service, labels.version):
            key = _get_event_gap_key(labels, events)
            self._histograms.setdefault(key, Histogram()).record(seconds)

    def report(
        self, labels: AttemptLabels, latency: LatencyKind, slow: bool
    ) -> None:
        """Reports a classified latency."""
        self._report(labels, latency, slow)


class ResponseTimer(steps.AttemptObserver):
    """Measures one attempt and classifies its latencies.

    The time to the first event and the mean gap of the early events are
    classified as soon as they are known, that of later events at the end.

    Args:
        times: Statistics of other responses.
        labels: Attributes by which the attempt is grouped.
        attempt: The attempt.
    """

    def __init__(
        self,
        times: ResponseTimes,
        labels: AttemptLabels,
        attempt: steps.Attempt,
    ):
        self._times = times
        self._labels = labels
        self._attempt = attempt
        state = attempt.state
        self._warm = not state.is_cold(attempt.sent_at) and (
            attempt.sent_at - state.first_seen_at >= WARM_UP_S
        )
        self._stream = labels.route.kind is forwarding.RouteKind.STREAM
        self._first_at: float | None = None
        self._events = 0
        self._early_events_at: float | None = None
        self._latest_at = attempt.sent_at
        self._reported: set[LatencyKind] = set()
        self._ended = False

    def record_event(self, now: float) -> None:
        """Records the arrival of a stream event."""
        if not self._warm or not self._stream:
            return
        self._latest_at = now
        if self._first_at is None:
            self._first_at = now
            self._classify_first_event(now - self._attempt.sent_at)
            return
        self._events += 1
        if self._events == EARLY_EVENTS:
            self._early_events_at = now
            self._classify_event_gap(now - self._first_at, EARLY_EVENTS)
        elif self._events < EARLY_EVENTS:
            limit_s = self._times.find_event_gap_limit(
                self._labels, EARLY_EVENTS
            )
            if now - self._first_at > limit_s * EARLY_EVENTS:
                self._report_once(LatencyKind.EVENT_GAP, True)

    def record_end(self) -> None:
        """Classifies what is left once the attempt has ended; idempotent."""
        attempt = self._attempt
        if self._ended or attempt.end_cause is None or not self._warm:
            return
        self._ended = True
        latency = (
            LatencyKind.FIRST_EVENT
            if self._first_at is None
            else LatencyKind.EVENT_GAP
        )
        match attempt.end_cause:
            case steps.EndCause.TIMEOUT | steps.EndCause.DEADLINE:
                self._report_once(latency, True)
            case steps.EndCause.CALLER:
                if self._is_late(attempt.ended_at):
                    self._report_once(latency, True)
            case steps.EndCause.CASCADE:
                self._classify_first_event(attempt.ended_at - attempt.sent_at)
            case steps.EndCause.UPSTREAM:
                if attempt.outcome != steps.DELIVERED:
                    return
                if self._first_at is None:
                    self._classify_first_event(
                        attempt.ended_at - attempt.sent_at
                    )
                else:
                    self._classify_remaining_events(self._first_at)

    def _classify_first_event(self, took_s: float) -> None:
        """Classifies the time to the first event or a complete response."""
        limit_s = self._times.find_first_event_limit(self._labels)
        self._times.record_first_event(self._labels, took_s)
        self._report_once(LatencyKind.FIRST_EVENT, took_s > limit_s)

    def _classify_event_gap(self, took_s: float, events: int) -> None:
        """Classifies the mean gap of some events."""
        limit_s = self._times.find_event_gap_limit(self._labels, events)
        self._times.record_event_gap(self._labels, took_s / events, events)
        self._report_once(LatencyKind.EVENT_GAP, took_s > limit_s * events)

    def _classify_remaining_events(self, first_at: float) -> None:
        """Classifies the events that have not been classified yet."""
        if self._early_events_at is None:
            if self._events:
                self._classify_event_gap(
                    self._latest_at - first_at, self._events
                )
            return
        events = self._events - EARLY_EVENTS
        if events < EARLY_EVENTS:
            return
        gap_s = (self._latest_at - self._early_events_at) / events
        limit_s = self._times.find_event_gap_limit(self._labels, events)
        self._times.report(self._labels, LatencyKind.EVENT_GAP, gap_s > limit_s)

    def _is_late(self, now: float) -> bool:
        """Returns whether the next event is overdue."""
        if self._first_at is None:
            waited_s = now - self._attempt.sent_at
            return waited_s > self._times.find_first_event_limit(self._labels)
        limit_s = self._times.find_event_gap_limit(self._labels, EARLY_EVENTS)
        return now - self._latest_at > limit_s * EARLY_EVENTS

    def _report_once(self, latency: LatencyKind, slow: bool) -> None:
        if latency not in self._reported:
            self._reported.add(latency)
            self._times.report(self._labels, latency, slow)


def _list_first_event_keys(labels: AttemptLabels) -> list[tuple[str, ...]]:
    """Returns keys of the groups to compare with, most specific first."""
    length = int(math.log(max(1, labels.uncached_tokens), LENGTH_CLASS_RATIO))
    key = ("start", labels.service, labels.route.name, labels.model)
    return [(*key, str(length)), key]


def _get_event_gap_key(labels: AttemptLabels, events: int) -> tuple[str, ...]:
    # The mean gap of few events varies more, so it has a histogram of its own.
    size = "few" if events < EARLY_EVENTS else "many"
    return ("pace", size, labels.service, labels.route.name, labels.model)
