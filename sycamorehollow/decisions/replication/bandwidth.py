"""Limits on the bytes that a kind of replicated state may cost a process."""

# A burst lets a change spread at once after a quiet time.
BURST_S = 5.0
# What a process received beyond its limit delays its own digests this long at
# most, so that it stays reachable for repairs.
MAX_DEBT_S = 15.0


class BandwidthBudget:
    """Bytes that one kind of state may still cost now.

    Args:
        bytes_per_s: Bytes sent and received per second, on average.
    """

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._left = bytes_per_s * BURST_S
        self._counted_at: float | None = None

    def can_send(self, now: float) -> bool:
        """Tells whether a digest may be sent now."""
        return self._count(now) > 0

    def consume(self, size_bytes: int, now: float) -> None:
        """Takes note of bytes that were sent or received."""
        left = self._count(now) - size_bytes
        self._left = max(left, -self._bytes_per_s * MAX_DEBT_S)
        self._counted_at = now

    def _count(self, now: float) -> float:
        if self._counted_at is None:
            return self._left
        gained = (now - self._counted_at) * self._bytes_per_s
        return min(self._left + gained, self._bytes_per_s * BURST_S)
