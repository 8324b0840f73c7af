"""Budget of repeats, for which all nodes together answer.

Answers storms of retries: resumed streams, larger models and second attempts
all arrive at a service beyond the first attempt of a request.
"""

import collections

# Part of the ratio that is used; the rest covers windows that differ between
# this process and the one who counts.
USED_RATIO = 0.85
USED_FLOOR = 0.6


class RetryBudget:
    """Counts first attempts and repeats of each service in a sliding window.

    Args:
        ratio: Repeats per first attempt.
        window_s: Length of the window in seconds.
        floor: Repeats in a window beyond the ratio, over all nodes.
    """

    def __init__(self, ratio: float, window_s: float, floor: float):
        self.configure(ratio, window_s, floor)
        self._nodes = 1
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def configure(self, ratio: float, window_s: float, floor: float) -> None:
        """Takes changed settings."""
        self._ratio = ratio * USED_RATIO
        self._window_s = window_s
        self._floor = floor * USED_FLOOR

    def set_node_count(self, nodes: int) -> None:
        """Sets how many nodes share the floor."""
        self._nodes = max(1, nodes)

    def record_request(self, service: str, now: float) -> None:
        """A caller's request for a service has arrived."""
        self._requests.setdefault(service, collections.deque()).append(now)

    def record_retry(self, service: str, now: float) -> None:
        """A request is sent to a service once more."""
        self._retries.setdefault(service, collections.deque()).append(now)

    def refund_retry(self, service: str) -> None:
        """The latest repeat did not reach an upstream."""
        repeats = self._retries.get(service)
        if repeats:
            repeats.pop()

    def count_remaining(self, service: str, now: float) -> float:
        """Returns how many repeats are left in the window."""
        fresh = self._count(self._requests, service, now)
        repeats = self._count(self._retries, service, now)
        allowed = fresh * self._ratio + self._floor / self._nodes
        return allowed - repeats

    def can_retry(self, service: str, now: float) -> bool:
        """Tells whether a request may be sent once more."""
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
