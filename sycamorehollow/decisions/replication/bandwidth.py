"""Bandwidth limits for each kind of replicated state."""

# Allows a change to spread at once after a time of low use.
BURST_S = 5.0
# Received bytes beyond the limit delay a process's own digests by at most this
# long, so that it can still be repaired by exchanges.
MAX_DEBT_S = 15.0


class BandwidthBudget:
    """Token bucket, in bytes, for one kind of state.

    Args:
        bytes_per_s: Average limit on bytes sent and received.
    """

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._remaining_bytes = bytes_per_s * BURST_S
        self._counted_at: float | None = None

    def can_send(self, now: float) -> bool:
        """Returns whether a digest may be sent now."""
        return self._compute_remaining(now) > 0

    def consume(self, size_bytes: int, now: float) -> None:
        """Counts bytes that were sent or received."""
        remaining = self._compute_remaining(now) - size_bytes
        self._remaining_bytes = max(remaining, -self._bytes_per_s * MAX_DEBT_S)
        self._counted_at = now

    def _compute_remaining(self, now: float) -> float:
        if self._counted_at is None:
            return self._remaining_bytes
        gained_bytes = (now - self._counted_at) * self._bytes_per_s
        return min(
            self._remaining_bytes + gained_bytes, self._bytes_per_s * BURST_S
        )
