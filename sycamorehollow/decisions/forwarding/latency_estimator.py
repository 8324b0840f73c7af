"""Estimates of the time to the first byte of a response."""

from sycamorehollow.decisions.forwarding import prefill_budget

# Initial estimate of the time to the first byte without prompt tokens.
IDLE_FIRST_BYTE_S = 0.05
# Weight of the newest response in the moving averages.
LATENCY_WEIGHT = 0.15
# Half-life of an upstream's latency estimate, so that an upstream that was slow
# is tried again.
LATENCY_HALF_LIFE_S = 4.0


class LatencyEstimator:
    """Estimates of the time to the first byte, per upstream and model."""

    def __init__(self) -> None:
        self._factors: dict[tuple[str, str], tuple[float, float]] = {}
        self._averages: dict[str, float] = {}

    def record(
        self, identity: str, model: str, tokens: int, took_s: float, now: float
    ) -> None:
        """Records the time to the first byte after a prefill of `tokens`."""
        factor = took_s / estimate_idle_first_byte_s(tokens)
        average = self._averages.get(model, factor)
        self._averages[model] = average + LATENCY_WEIGHT * (factor - average)
        current = self._factors.get((identity, model), (average, now))[0]
        # Caps outliers: a stalled response says little about the next one.
        factor = min(factor, current * 4 + 1)
        new = current + LATENCY_WEIGHT * 2 * (factor - current)
        self._factors[identity, model] = (new, now)

    def estimate(
        self, identity: str, model: str, tokens: int, now: float
    ) -> float:
        """Returns the expected seconds to the first byte."""
        average = self._averages.get(model, 1.0)
        factor, at = self._factors.get((identity, model), (average, now))
        weight = 0.5 ** ((now - at) / LATENCY_HALF_LIFE_S)
        return estimate_idle_first_byte_s(tokens) * (
            average + (factor - average) * weight
        )

    def remove_upstream(self, identity: str) -> None:
        """Drops the estimates of an upstream that is gone or restarted."""
        for key in [key for key in self._factors if key[0] == identity]:
            del self._factors[key]


def estimate_idle_first_byte_s(tokens: int) -> float:
    """Returns the initial estimate of the time to the first byte."""
    return IDLE_FIRST_BYTE_S + tokens / prefill_budget.PREFILL_TOKENS_PER_S
