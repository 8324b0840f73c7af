"""Which model answers, from small to large.

Starts with the smallest model and asks a larger one when the answer's
confidence is low, as long as load, time and the budget of repeats allow it.
"""

import dataclasses

from sycamorehollow.model import forwarding

# Confidence below which a larger model is asked while the engines are idle.
IDLE_CONFIDENCE_THRESHOLD = 80.0
# Larger models serve urgent requests first: the threshold is that much lower
# for each step of the priority.
PRIORITY_STEP = 15.0
# Share of taken places from which fewer answers are asked for again, and at
# which none is.
OCCUPANCY_FROM = 0.45
OCCUPANCY_TO = 0.95
# The same for the part of the objective by which the first answer was late.
DELAY_FROM = 0.05
DELAY_TO = 0.25
# Time in seconds in which a delay of other requests counts half.
DELAY_HALF_LIFE_S = 0.7
SMOOTHING = 0.3
# Part of the objective in which the larger model has to begin its answer.
OBJECTIVE_SHARE = 0.9
# Repeats of the budget that are left to attempts that fail: without one, an
# answer of which the caller has a part is lost.
RESERVED_RETRIES = 2.0


class DelayTracker:
    """Recent delays of first answers, as parts of the objective."""

    def __init__(self) -> None:
        self._delays: dict[str, tuple[float, float]] = {}

    def record(self, service: str, delay: float, now: float) -> float:
        """Takes one more delay and returns the smoothed one."""
        known, at = self._delays.get(service, (0.0, now))
        weight = 0.5 ** ((now - at) / DELAY_HALF_LIFE_S)
        # One late answer alone may be that of a slow upstream.
        smooth = known * weight + (delay - known * weight) * SMOOTHING
        self._delays[service] = (smooth, now)
        return max(delay, smooth)


@dataclasses.dataclass(frozen=True)
class CascadeInputs:
    """What decides about a larger model.

    Attributes:
        model: Model that has answered.
        confidence: Its opinion of the answer, 0 to 100.
        elapsed_s: Seconds since the request arrived.
        larger_expected_s: Expected time until the larger model begins to
            respond.
        occupancy: Share of the engines' places that are taken.
        delay: Part of the objective by which first answers come later than
            from an idle engine.
        attempts_left: Attempts that the route still allows.
        retries_left: Repeats that the budget still allows.
    """

    model: str
    confidence: int | None
    elapsed_s: float
    larger_expected_s: float
    occupancy: float
    delay: float
    attempts_left: int
    retries_left: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """The model to ask next, or empty to keep the answer."""

    model: str
    reason: str


def choose_initial_model(route: forwarding.Route) -> str:
    """Returns the model that is asked first."""
    return route.models[0]


def choose_larger_model(route: forwarding.Route) -> str:
    """Returns the model that is asked when an answer is doubtful."""
    return route.models[-1]


def decide(route: forwarding.Route, inputs: CascadeInputs) -> Decision:
    """Decides whether an answer is dropped for that of a larger model."""
    larger = choose_larger_model(route)
    if inputs.model == larger:
        return Decision("", "largest model")
    if inputs.confidence is None:
        return Decision("", "no confidence")
    room = min(
        _interpolate_down(inputs.occupancy, OCCUPANCY_FROM, OCCUPANCY_TO),
        _interpolate_down(inputs.delay, DELAY_FROM, DELAY_TO),
    )
    idle = max(0.0, IDLE_CONFIDENCE_THRESHOLD - PRIORITY_STEP * route.priority)
    threshold = idle * room
    if inputs.confidence >= threshold:
        return Decision("", f"confidence of {threshold:.0f} or more")
    if inputs.attempts_left < 1:
        return Decision("", "no attempt left")
    if inputs.retries_left < 1 + RESERVED_RETRIES:
        return Decision("", "no repeat left in the budget")
    due_s = route.objective_s * OBJECTIVE_SHARE
    if inputs.elapsed_s + inputs.larger_expected_s > due_s:
        return Decision("", "too late for a larger model")
    return Decision(larger, f"confidence below {threshold:.0f}")


def _interpolate_down(value: float, start: float, end: float) -> float:
    """Returns 1 up to `start`, 0 from `end` and a straight line between."""
    return min(1.0, max(0.0, (end - value) / (end - start)))
