"""Model cascade: when to discard a response for that of a larger model.

A request starts at the smallest model. A response of low confidence is
discarded for the largest model's if load, time and retry budget allow it.
"""

import dataclasses

from sycamorehollow.model import forwarding

# Confidence threshold for a larger model while the engines are idle.
IDLE_CONFIDENCE_THRESHOLD = 80.0
# Reduction of the threshold per priority level, so that urgent requests get
# larger models first.
PRIORITY_STEP = 15.0
# Occupancy from which the threshold is lowered, and at which it reaches 0.
OCCUPANCY_FROM = 0.45
OCCUPANCY_TO = 0.95
# The same for the delay of first responses, as a share of the objective.
DELAY_FROM = 0.05
DELAY_TO = 0.25
# Half-life of the delays of earlier requests.
DELAY_HALF_LIFE_S = 0.7
SMOOTHING = 0.3
# Share of the objective within which the larger model has to start responding.
OBJECTIVE_SHARE = 0.9
# Retries of the budget that are reserved for failures. Without one, a response
# that was delivered in part cannot be completed.
RESERVED_RETRIES = 2.0


class DelayTracker:
    """Smoothed delays of first responses, as shares of the objective."""

    def __init__(self) -> None:
        self._delays: dict[str, tuple[float, float]] = {}

    def record(self, service: str, delay: float, now: float) -> float:
        """Records a delay and returns the larger of it and the average."""
        average, at = self._delays.get(service, (0.0, now))
        weight = 0.5 ** ((now - at) / DELAY_HALF_LIFE_S)
        # A single late response may come from a slow upstream.
        smooth = average * weight + (delay - average * weight) * SMOOTHING
        self._delays[service] = (smooth, now)
        return max(delay, smooth)


@dataclasses.dataclass(frozen=True)
class CascadeInputs:
    """Inputs of the decision about a larger model.

    Attributes:
        model: Model that has responded.
        confidence: Confidence that it reports, 0 to 100.
        elapsed_s: Seconds since the request arrived.
        larger_expected_s: Expected time until the larger model begins to
            respond.
        occupancy: Share of the engines' slots that are in use.
        delay: Delay of first responses beyond that of an idle engine, as a
            share of the objective.
        attempts_left: Attempts that the route still allows.
        retries_left: Retries that the budget still allows.
        has_room: Whether an upstream is known to run the larger model in time
            and without harm to the requests there.
    """

    model: str
    confidence: int | None
    elapsed_s: float
    larger_expected_s: float
    occupancy: float
    delay: float
    attempts_left: int
    retries_left: float
    has_room: bool = False


@dataclasses.dataclass(frozen=True)
class Decision:
    """The model to ask next, or an empty name to keep the response."""

    model: str
    reason: str


def choose_first_model(route: forwarding.Route) -> str:
    """Returns the model that gets a request first."""
    return route.models[0]


def choose_larger_model(route: forwarding.Route) -> str:
    """Returns the model that is asked after low confidence."""
    return route.models[-1]


def may_discard(
    route: forwarding.Route, model: str, confidence: int | None
) -> bool:
    """Returns whether `decide` could discard a response under any load."""
    if confidence is None or model == choose_larger_model(route):
        return False
    return confidence < _compute_idle_threshold(route)


def decide(route: forwarding.Route, inputs: CascadeInputs) -> Decision:
    """Decides whether to discard a response for a larger model's."""
    larger = choose_larger_model(route)
    if inputs.model == larger:
        return Decision("", "largest model")
    if inputs.confidence is None:
        return Decision("", "no confidence")
    headroom = 1.0
    if not inputs.has_room:
        # Without an upstream that surely has room, the means over all tell.
        headroom = min(
            _interpolate_down(inputs.occupancy, OCCUPANCY_FROM, OCCUPANCY_TO),
            _interpolate_down(inputs.delay, DELAY_FROM, DELAY_TO),
        )
    threshold = _compute_idle_threshold(route) * headroom
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


def _compute_idle_threshold(route: forwarding.Route) -> float:
    """Returns the confidence below which an idle service tries again."""
    return max(0.0, IDLE_CONFIDENCE_THRESHOLD - PRIORITY_STEP * route.priority)


def _interpolate_down(value: float, start: float, end: float) -> float:
    """Returns 1 up to `start`, 0 from `end`, linear in between."""
    return min(1.0, max(0.0, (end - value) / (end - start)))
