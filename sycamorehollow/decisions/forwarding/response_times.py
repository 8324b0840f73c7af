"""How long answers take, and which of them count as slow.

Answers of the version in service are the reference: an answer is slow if its
first event, or the time per event after it, takes much longer than most of
theirs at the same route and model. Prompts that take longer to read are
compared with prompts of about the same length. Nothing is learned from
upstreams that are cold or have just started.
"""

from collections.abc import Callable
import dataclasses
import enum
import math

from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Events after the first one whose pace is judged as one; the answer's other
# events are judged together at its end.
EARLY_EVENTS = 8
# Quantile of the version in service, and the times by which it and the median
# are exceeded by an answer that counts as slow.
QUANTILE = 0.9
SLOW_QUANTILE_FACTOR = 1.5
SLOW_MEDIAN_FACTOR = 2.0
# Answers of the version in service below which the objective is the limit.
MIN_RESPONSES = 8
# Answers after which earlier ones count half.
HALVING_RESPONSES = 400
# Ratio between neighbouring bins of a histogram, and its shortest time in
# seconds.
BIN_RATIO = 1.2
SHORTEST_S = 0.0005
BINS = 70
# Ratio between neighbouring classes of prompt lengths.
LENGTH_CLASS_RATIO = 4.0
# Time in seconds for which an upstream counts as just started.
WARM_UP_S = 1.0


class LatencyKind(enum.Enum):
    """A part of an answer that is judged."""

    FIRST_EVENT = "start"
    EVENT_GAP = "pace"


class Histogram:
    """Times on a logarithmic scale; recent ones weigh more."""

    def __init__(self) -> None:
        self._bins = [0.0] * BINS
        self.count = 0.0

    def record(self, seconds: float) -> None:
        """Adds one time."""
        place = math.log(max(seconds, SHORTEST_S) / SHORTEST_S, BIN_RATIO)
        self._bins[min(BINS - 1, int(place))] += 1
        self.count += 1
        if self.count >= 2 * HALVING_RESPONSES:
            self._bins = [weight / 2 for weight in self._bins]
            self.count /= 2

    def compute_quantile(self, part: float) -> float:
        """Returns the upper end of the bin of a quantile in seconds."""
        left = part * self.count
        for place, weight in enumerate(self._bins):
            left -= weight
            if left <= 0:
                return SHORTEST_S * BIN_RATIO ** (place + 1)
        return SHORTEST_S * BIN_RATIO**BINS

    def compute_slow_limit(self) -> float:
        """Returns the seconds beyond which an answer is slow."""
        return max(
            SLOW_QUANTILE_FACTOR * self.compute_quantile(QUANTILE),
            SLOW_MEDIAN_FACTOR * self.compute_quantile(0.5),
        )


@dataclasses.dataclass(frozen=True)
class AttemptLabels:
    """What an attempt is compared by.

    Attributes:
        uncached_tokens: Prompt tokens that the upstream probably had to read.
        share: Share of the new version when it was drawn; 0 if it was not.
    """

    service: str
    version: str
    route: forwarding.Route
    model: str
    upstream: str
    uncached_tokens: int
    share: float


class ResponseTimes:
    """Times of the answers of all services at this node.

    Args:
        is_reference: Tells whether answers of a service's version show what
            is usual.
        count: Takes each part of an answer that was judged, and whether it
            was slow.
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
        """Returns what times an attempt that is sent.

        Args:
            service: Service of the request.
            route: Its route.
            attempt: The attempt.
            share: Share of a new version by which its version was drawn; 0 if
                it was not drawn, as for a repeat.
        """
        upstream = attempt.state.upstream
        timed = AttemptLabels(
            service.name,
            upstream.version,
            route,
            attempt.model,
            upstream.identity,
            attempt.uncached_tokens,
            share,
        )
        return ResponseTimer(self, timed, attempt)

    def find_first_event_limit(self, timed: AttemptLabels) -> float:
        """Returns the seconds to the first event beyond which it is late."""
        for key in _list_first_event_keys(timed):
            known = self._histograms.get(key)
            if known is not None and known.count >= MIN_RESPONSES:
                return known.compute_slow_limit()
        return timed.route.objective_s

    def find_event_gap_limit(self, timed: AttemptLabels, events: int) -> float:
        """Returns the seconds per event beyond which so many are slow."""
        known = self._histograms.get(_get_event_gap_key(timed, events))
        if known is not None and known.count >= MIN_RESPONSES:
            return known.compute_slow_limit()
        return timed.route.max_event_gap_s or timed.route.objective_s

    def record_first_event(self, timed: AttemptLabels, seconds: float) -> None:
        """The first event of an answer, or a whole one, has arrived."""
        if self._is_reference(timed.service, timed.version):
            for key in _list_first_event_keys(timed):
                self._histograms.setdefault(key, Histogram()).record(seconds)

    def record_event_gap(
        self, timed: AttemptLabels, seconds: float, events: int
    ) -> None:
        """Events of a stream took so many seconds each."""
        if self._is_reference(timed.service, timed.version):
            key = _get_event_gap_key(timed, events)
            self._histograms.setdefault(key, Histogram()).record(seconds)

    def report(
        self, timed: AttemptLabels, part: LatencyKind, slow: bool
    ) -> None:
        """A part of an answer was judged."""
        self._report(timed, part, slow)


class ResponseTimer(steps.AttemptObserver):
    """Times one attempt and judges it.

    The first event and the pace of some events after it are judged as soon as
    that is possible, the pace of later events at the end.

    Args:
        times: Times of other answers.
        timed: What the attempt is compared by.
        attempt: The attempt.
    """

    def __init__(
        self, times: ResponseTimes, timed: AttemptLabels, attempt: steps.Attempt
    ):
        self._times = times
        self._timed = timed
        self._attempt = attempt
        state = attempt.state
        self._warm = not state.is_cold(attempt.sent_at) and (
            attempt.sent_at - state.first_seen_at >= WARM_UP_S
        )
        self._stream = timed.route.kind is forwarding.RouteKind.STREAM
        self._first_at: float | None = None
        self._events = 0
        self._early_events_at: float | None = None
        self._latest_at = attempt.sent_at
        self._reported: set[LatencyKind] = set()
        self._ended = False

    def record_event(self, now: float) -> None:
        """An event of a stream has arrived."""
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
                self._timed, EARLY_EVENTS
            )
            if now - self._first_at > limit_s * EARLY_EVENTS:
                self._report_once(LatencyKind.EVENT_GAP, True)

    def record_end(self) -> None:
        """The attempt may have ended; a second call changes nothing."""
        attempt = self._attempt
        if self._ended or attempt.end_cause is None or not self._warm:
            return
        self._ended = True
        part = (
            LatencyKind.FIRST_EVENT
            if self._first_at is None
            else LatencyKind.EVENT_GAP
        )
        match attempt.end_cause:
            case steps.EndCause.TIMEOUT | steps.EndCause.DEADLINE:
                self._report_once(part, True)
            case steps.EndCause.CALLER:
                if self._is_late(attempt.ended_at):
                    self._report_once(part, True)
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
        """Judges the time to the first event, or to a whole answer."""
        limit_s = self._times.find_first_event_limit(self._timed)
        self._times.record_first_event(self._timed, took_s)
        self._report_once(LatencyKind.FIRST_EVENT, took_s > limit_s)

    def _classify_event_gap(self, took_s: float, events: int) -> None:
        """Judges the time that some events took."""
        limit_s = self._times.find_event_gap_limit(self._timed, events)
        self._times.record_event_gap(self._timed, took_s / events, events)
        self._report_once(LatencyKind.EVENT_GAP, took_s > limit_s * events)

    def _classify_remaining_events(self, first_at: float) -> None:
        """Judges the events that were not judged yet."""
        if self._early_events_at is None:
            if self._events:
                self._classify_event_gap(
                    self._latest_at - first_at, self._events
                )
            return
        events = self._events - EARLY_EVENTS
        if events < EARLY_EVENTS:
            return
        pace_s = (self._latest_at - self._early_events_at) / events
        limit_s = self._times.find_event_gap_limit(self._timed, events)
        self._times.report(self._timed, LatencyKind.EVENT_GAP, pace_s > limit_s)

    def _is_late(self, now: float) -> bool:
        """Tells whether the next event is overdue."""
        if self._first_at is None:
            waited_s = now - self._attempt.sent_at
            return waited_s > self._times.find_first_event_limit(self._timed)
        limit_s = self._times.find_event_gap_limit(self._timed, EARLY_EVENTS)
        return now - self._latest_at > limit_s * EARLY_EVENTS

    def _report_once(self, part: LatencyKind, slow: bool) -> None:
        if part not in self._reported:
            self._reported.add(part)
            self._times.report(self._timed, part, slow)


def _list_first_event_keys(timed: AttemptLabels) -> list[tuple[str, ...]]:
    """Returns the sets of answers to compare with, the closest first."""
    length = int(math.log(max(1, timed.uncached_tokens), LENGTH_CLASS_RATIO))
    key = ("start", timed.service, timed.route.name, timed.model)
    return [(*key, str(length)), key]


def _get_event_gap_key(timed: AttemptLabels, events: int) -> tuple[str, ...]:
    # The pace of a few events varies more.
    size = "few" if events < EARLY_EVENTS else "many"
    return ("pace", size, timed.service, timed.route.name, timed.model)
