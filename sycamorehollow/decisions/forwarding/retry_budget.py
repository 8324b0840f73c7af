"""Retry budget per service, which all nodes together must keep.

Prevents retry storms. Resumed streams, larger models and further attempts all
count as retries, since they reach a service in addition to first attempts.
"""

import collections

# Shares of the configured ratio and floor that are used. The rest is a margin
# for windows that differ between this process and the one that measures.
USED_RATIO = 0.85
USED_FLOOR = 0.6


class RetryBudget:
    """Counts requests and retries of each service in a sliding window.

    Args:
        ratio: Allowed retries per request.
        window_s: Length of the window.
        floor: Retries per window that all nodes together may add to that.
    """

    def __init__(self, ratio: float, window_s: float, floor: float):
        self.configure(ratio, window_s, floor)
        self._node_count = 1
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def configure(self, ratio: float, window_s: float, floor: float) -> None:
        """Applies changed settings."""
        self._ratio = ratio * USED_RATIO
        self._window_s = window_s
        self._floor = floor * USED_FLOOR

    def set_node_count(self, nodes: int) -> None:
        """Sets the number of nodes that share the floor."""
        self._node_count = max(1, nodes)

    def record_request(self, service: str, now: float) -> None:
        """Records the arrival of a request."""
        self._requests.setdefault(service, collections.deque()).append(now)

    def record_retry(self, service: str, now: float) -> None:
        """Records a retry."""
        self._retries.setdefault(service, collections.deque()).append(now)

    def refund_retry(self, service: str) -> None:
        """Refunds the latest retry, which reached no upstream."""
        retries = self._retries.get(service)
        if retries:
            retries.pop()

    def count_remaining(self, service: str, now: float) -> float:
        """Returns the number of retries left in the window."""
        requests = self._count(self._requests, service, now)
        retries = self._count(self._retries, service, now)
        allowed = requests * self._ratio + self._floor / self._node_count
        return allowed - retries

    def can_retry(self, service: str, now: float) -> bool:
        """Returns whether the budget allows one more retry."""
        return self.count_remaining(service, now) >= 1

    def _count(
        self,
        events: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> int:
        times = events.get(service)
        if times is None:
            return 0
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
