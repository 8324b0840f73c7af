"""Which model answers, from small to large.

Starts with the smallest model and asks a larger one when the answer's
confidence is low, as long as load, time and the budget of repeats allow it.
"""

import dataclasses

from sycamorehollow.model import forwarding

# Confidence below which a larger model is asked while the engines are idle.
IDLE_THRESHOLD = 80.0
# Larger models serve urgent requests first: the threshold is that much lower
# for each step of the priority.
PRIORITY_STEP = 15.0
# Share of taken places from which fewer answers are asked for again, and at
# which none is.
BUSY_FROM = 0.45
BUSY_TO = 0.95
# The same for the part of the objective by which the first answer was late.
DELAYED_FROM = 0.05
DELAYED_TO = 0.25
# Time in seconds in which a delay of other requests counts half.
DELAY_HALF_LIFE_S = 0.7
SMOOTHING = 0.3
# Part of the objective in which the larger model has to begin its answer.
OBJECTIVE_SHARE = 0.9
# Repeats of the budget that are left to attempts that fail: without one, an
# answer of which the caller has a part is lost.
RESERVED_REPEATS = 2.0


class Delays:
    """Recent delays of first answers, as parts of the objective."""

    def __init__(self) -> None:
        self._delays: dict[str, tuple[float, float]] = {}

    def note(self, service: str, delay: float, now: float) -> float:
        """Takes one more delay and returns the smoothed one."""
        known, at = self._delays.get(service, (0.0, now))
        weight = 0.5 ** ((now - at) / DELAY_HALF_LIFE_S)
        # One late answer alone may be that of a slow upstream.
        smooth = known * weight + (delay - known * weight) * SMOOTHING
        self._delays[service] = (smooth, now)
        return max(delay, smooth)


@dataclasses.dataclass(frozen=True)
class Situation:
    """What decides about a larger model.

    Attributes:
        model: Model that has answered.
        confidence: Its opinion of the answer, 0 to 100.
        elapsed_s: Seconds since the request arrived.
        larger_s: Expected seconds until the larger model begins its answer.
        occupancy: Share of the engines' places that are taken.
        delay: Part of the objective by which first answers come later than
            from an idle engine.
        attempts_left: Attempts that the route still allows.
        repeats_left: Repeats that the budget still allows.
    """

    model: str
    confidence: int | None
    elapsed_s: float
    larger_s: float
    occupancy: float
    delay: float
    attempts_left: int
    repeats_left: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """The model to ask next, or empty to keep the answer."""

    model: str
    reason: str


def choose_first(route: forwarding.Route) -> str:
    """Returns the model that is asked first."""
    return route.models[0]


def choose_larger(route: forwarding.Route) -> str:
    """Returns the model that is asked when an answer is doubtful."""
    return route.models[-1]


def decide(route: forwarding.Route, situation: Situation) -> Decision:
    """Decides whether an answer is dropped for that of a larger model."""
    larger = choose_larger(route)
    if situation.model == larger:
        return Decision("", "largest model")
    if situation.confidence is None:
        return Decision("", "no confidence")
    room = min(
        _fall(situation.occupancy, BUSY_FROM, BUSY_TO),
        _fall(situation.delay, DELAYED_FROM, DELAYED_TO),
    )
    idle = max(0.0, IDLE_THRESHOLD - PRIORITY_STEP * route.priority)
    threshold = idle * room
    if situation.confidence >= threshold:
        return Decision("", f"confidence of {threshold:.0f} or more")
    if situation.attempts_left < 1:
        return Decision("", "no attempt left")
    if situation.repeats_left < 1 + RESERVED_REPEATS:
        return Decision("", "no repeat left in the budget")
    due_s = route.objective_s * OBJECTIVE_SHARE
    if situation.elapsed_s + situation.larger_s > due_s:
        return Decision("", "too late for a larger model")
    return Decision(larger, f"confidence below {threshold:.0f}")


def _fall(value: float, start: float, end: float) -> float:
    """Returns 1 up to `start`, 0 from `end` and a straight line between."""
    return min(1.0, max(0.0, (end - value) / (end - start)))
