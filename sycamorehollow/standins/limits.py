"""Rate limits of the stand-ins."""

import time

# Length of the burst that a full bucket allows, at the full rate.
BURST_S = 0.25


class RateLimit:
    """Token bucket; a rate of 0 means unlimited."""

    def __init__(self, per_s: float):
        self._per_s = per_s
        self._burst = max(1.0, per_s * BURST_S)
        self._tokens = self._burst
        self._at = time.monotonic()

    def take(self, now: float) -> bool:
        """Takes one call out of the bucket if there is one."""
        if self._per_s <= 0:
            return True
        grown = self._tokens + (now - self._at) * self._per_s
        self._tokens = min(self._burst, grown)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
