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
PACED_EVENTS = 8
# Quantile of the version in service, and the times by which it and the median
# are exceeded by an answer that counts as slow.
QUANTILE = 0.9
OVER_QUANTILE = 1.5
OVER_MEDIAN = 2.0
# Answers of the version in service below which the objective is the limit.
MIN_ANSWERS = 8
# Answers after which earlier ones count half.
KEPT_ANSWERS = 400
# Ratio between neighbouring bins of a histogram, and its shortest time in
# seconds.
BIN_RATIO = 1.2
SHORTEST_S = 0.0005
BINS = 70
# Ratio between neighbouring classes of prompt lengths.
LENGTH_RATIO = 4.0
# Time in seconds for which an upstream counts as just started.
STARTED_S = 1.0


class Part(enum.Enum):
    """A part of an answer that is judged."""

    START = "start"
    PACE = "pace"


class Histogram:
    """Times on a logarithmic scale; recent ones weigh more."""

    def __init__(self) -> None:
        self._bins = [0.0] * BINS
        self.count = 0.0

    def note(self, seconds: float) -> None:
        """Adds one time."""
        place = math.log(max(seconds, SHORTEST_S) / SHORTEST_S, BIN_RATIO)
        self._bins[min(BINS - 1, int(place))] += 1
        self.count += 1
        if self.count >= 2 * KEPT_ANSWERS:
            self._bins = [weight / 2 for weight in self._bins]
            self.count /= 2

    def find_quantile(self, part: float) -> float:
        """Returns the upper end of the bin of a quantile in seconds."""
        left = part * self.count
        for place, weight in enumerate(self._bins):
            left -= weight
            if left <= 0:
                return SHORTEST_S * BIN_RATIO ** (place + 1)
        return SHORTEST_S * BIN_RATIO**BINS

    def find_limit(self) -> float:
        """Returns the seconds beyond which an answer is slow."""
        return max(
            OVER_QUANTILE * self.find_quantile(QUANTILE),
            OVER_MEDIAN * self.find_quantile(0.5),
        )


@dataclasses.dataclass(frozen=True)
class Timed:
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
    missing: int
    share: float


class AnswerTimes:
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
        count: Callable[[Timed, Part, bool], None],
    ):
        self._is_reference = is_reference
        self._count = count
        self._histograms: dict[tuple[str, ...], Histogram] = {}

    def watch(
        self,
        service: forwarding.Service,
        route: forwarding.Route,
        attempt: steps.Attempt,
        share: float,
    ) -> "Watch":
        """Returns what times an attempt that is sent.

        Args:
            service: Service of the request.
            route: Its route.
            attempt: The attempt.
            share: Share of a new version by which its version was drawn; 0 if
                it was not drawn, as for a repeat.
        """
        upstream = attempt.state.upstream
        timed = Timed(
            service.name,
            upstream.version,
            route,
            attempt.model,
            upstream.identity,
            attempt.uncached_tokens,
            share,
        )
        return Watch(self, timed, attempt)

    def find_start_limit(self, timed: Timed) -> float:
        """Returns the seconds to the first event beyond which it is late."""
        for key in _list_start_keys(timed):
            known = self._histograms.get(key)
            if known is not None and known.count >= MIN_ANSWERS:
                return known.find_limit()
        return timed.route.objective_s

    def find_pace_limit(self, timed: Timed, events: int) -> float:
        """Returns the seconds per event beyond which so many are slow."""
        known = self._histograms.get(_get_pace_key(timed, events))
        if known is not None and known.count >= MIN_ANSWERS:
            return known.find_limit()
        return timed.route.max_event_gap_s or timed.route.objective_s

    def note_start(self, timed: Timed, seconds: float) -> None:
        """The first event of an answer, or a whole one, has arrived."""
        if self._is_reference(timed.service, timed.version):
            for key in _list_start_keys(timed):
                self._histograms.setdefault(key, Histogram()).note(seconds)

    def note_pace(self, timed: Timed, seconds: float, events: int) -> None:
        """Events of a stream took so many seconds each."""
        if self._is_reference(timed.service, timed.version):
            key = _get_pace_key(timed, events)
            self._histograms.setdefault(key, Histogram()).note(seconds)

    def count(self, timed: Timed, part: Part, slow: bool) -> None:
        """A part of an answer was judged."""
        self._count(timed, part, slow)


class Watch(steps.AttemptObserver):
    """Times one attempt and judges it.

    The first event and the pace of some events after it are judged as soon as
    that is possible, the pace of later events at the end.

    Args:
        times: Times of other answers.
        timed: What the attempt is compared by.
        attempt: The attempt.
    """

    def __init__(
        self, times: AnswerTimes, timed: Timed, attempt: steps.Attempt
    ):
        self._times = times
        self._timed = timed
        self._attempt = attempt
        state = attempt.state
        self._warm = not state.is_cold(attempt.sent_at) and (
            attempt.sent_at - state.first_seen_at >= STARTED_S
        )
        self._stream = timed.route.kind is forwarding.RouteKind.STREAM
        self._first_at: float | None = None
        self._events = 0
        self._paced_at: float | None = None
        self._latest_at = attempt.sent_at
        self._judged: set[Part] = set()
        self._ended = False

    def record_event(self, now: float) -> None:
        """An event of a stream has arrived."""
        if not self._warm or not self._stream:
            return
        self._latest_at = now
        if self._first_at is None:
            self._first_at = now
            self._judge_start(now - self._attempt.sent_at)
            return
        self._events += 1
        if self._events == PACED_EVENTS:
            self._paced_at = now
            self._judge_pace(now - self._first_at, PACED_EVENTS)
        elif self._events < PACED_EVENTS:
            limit_s = self._times.find_pace_limit(self._timed, PACED_EVENTS)
            if now - self._first_at > limit_s * PACED_EVENTS:
                self._judge(Part.PACE, True)

    def record_end(self) -> None:
        """The attempt may have ended; a second call changes nothing."""
        attempt = self._attempt
        if self._ended or attempt.end_cause is None or not self._warm:
            return
        self._ended = True
        part = Part.START if self._first_at is None else Part.PACE
        match attempt.end_cause:
            case steps.EndCause.TIMEOUT | steps.EndCause.DEADLINE:
                self._judge(part, True)
            case steps.EndCause.CALLER:
                if self._is_late(attempt.ended_at):
                    self._judge(part, True)
            case steps.EndCause.CASCADE:
                self._judge_start(attempt.ended_at - attempt.sent_at)
            case steps.EndCause.UPSTREAM:
                if attempt.outcome != steps.DELIVERED:
                    return
                if self._first_at is None:
                    self._judge_start(attempt.ended_at - attempt.sent_at)
                else:
                    self._judge_rest(self._first_at)

    def _judge_start(self, took_s: float) -> None:
        """Judges the time to the first event, or to a whole answer."""
        limit_s = self._times.find_start_limit(self._timed)
        self._times.note_start(self._timed, took_s)
        self._judge(Part.START, took_s > limit_s)

    def _judge_pace(self, took_s: float, events: int) -> None:
        """Judges the time that some events took."""
        limit_s = self._times.find_pace_limit(self._timed, events)
        self._times.note_pace(self._timed, took_s / events, events)
        self._judge(Part.PACE, took_s > limit_s * events)

    def _judge_rest(self, first_at: float) -> None:
        """Judges the events that were not judged yet."""
        if self._paced_at is None:
            if self._events:
                self._judge_pace(self._latest_at - first_at, self._events)
            return
        events = self._events - PACED_EVENTS
        if events < PACED_EVENTS:
            return
        pace_s = (self._latest_at - self._paced_at) / events
        limit_s = self._times.find_pace_limit(self._timed, events)
        self._times.count(self._timed, Part.PACE, pace_s > limit_s)

    def _is_late(self, now: float) -> bool:
        """Tells whether the next event is overdue."""
        if self._first_at is None:
            waited_s = now - self._attempt.sent_at
            return waited_s > self._times.find_start_limit(self._timed)
        limit_s = self._times.find_pace_limit(self._timed, PACED_EVENTS)
        return now - self._latest_at > limit_s * PACED_EVENTS

    def _judge(self, part: Part, slow: bool) -> None:
        if part not in self._judged:
            self._judged.add(part)
            self._times.count(self._timed, part, slow)


def _list_start_keys(timed: Timed) -> list[tuple[str, ...]]:
    """Returns the sets of answers to compare with, the closest first."""
    length = int(math.log(max(1, timed.missing), LENGTH_RATIO))
    key = ("start", timed.service, timed.route.name, timed.model)
    return [(*key, str(length)), key]


def _get_pace_key(timed: Timed, events: int) -> tuple[str, ...]:
    # The pace of a few events varies more.
    size = "few" if events < PACED_EVENTS else "many"
    return ("pace", size, timed.service, timed.route.name, timed.model)
