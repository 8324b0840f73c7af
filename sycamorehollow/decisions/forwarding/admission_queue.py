"""Fair queueing of requests that wait for capacity of a full service.

Upstreams may be full because a single workspace sends many times its usual
share, or while requests of different priority compete. Requests are admitted
by priority, then in turns by workspace, then in order of arrival.
"""

from collections.abc import Hashable
import dataclasses

# A waiter that has not polled for this long is gone; waiting requests poll
# several times within it.
WAITER_TTL_S = 0.15


@dataclasses.dataclass(frozen=True)
class Waiter:
    """A waiting request.

    Attributes:
        priority: Lower numbers are admitted first.
        arrived_at: Monotonic time of the request's arrival.
    """

    priority: int
    workspace: str
    arrived_at: float
    number: int


class AdmissionQueue:
    """Keeps one queue for each set of upstreams that requests compete for."""

    def __init__(self) -> None:
        # Time of each waiter's last poll, by queue.
        self._queues: dict[Hashable, dict[Waiter, float]] = {}
        # Requests of each workspace admitted while others waited, by queue.
        self._admitted: dict[Hashable, dict[str, int]] = {}
        self._last_number = 0

    def create_waiter(
        self, priority: int, workspace: str, arrived_at: float
    ) -> Waiter:
        """Returns a waiter, which is not queued yet."""
        self._last_number += 1
        return Waiter(priority, workspace, arrived_at, self._last_number)

    def try_admit(
        self, waiter: Waiter, queue_key: Hashable, capacity: int, now: float
    ) -> bool:
        """Admits a request if it is its turn, and queues it otherwise.

        Args:
            waiter: The request.
            queue_key: Identifies the upstreams that it could use; equal for
                all requests that could use the same ones.
            capacity: Requests that these upstreams can take now.
            now: Monotonic time in seconds.
        """
        queue = self._queues.setdefault(queue_key, {})
        admitted = self._admitted.setdefault(queue_key, {})
        if self.count_ahead(waiter, queue_key, now) >= capacity:
            queue[waiter] = now
            return False
        queue.pop(waiter, None)
        if queue:
            count = admitted.get(waiter.workspace, 0)
            admitted[waiter.workspace] = count + 1
        return True

    def count_ahead(
        self, waiter: Waiter, queue_key: Hashable, now: float
    ) -> int:
        """Returns how many queued requests are admitted before a request."""
        queue = self._queues.get(queue_key, {})
        for other in [t for t, at in queue.items() if now - at > WAITER_TTL_S]:
            del queue[other]
        admitted = self._admitted.get(queue_key, {})
        if not queue:
            admitted.clear()
        rank = _rank(waiter, admitted)
        return sum(
            other != waiter and _rank(other, admitted) < rank for other in queue
        )

    def count_waiting(self, queue_key: Hashable) -> int:
        """Returns the number of queued requests."""
        return len(self._queues.get(queue_key, {}))

    def remove(self, waiter: Waiter) -> None:
        """Removes a request that no longer waits."""
        for queue in self._queues.values():
            queue.pop(waiter, None)

    def evict_idle_queues(self, now: float) -> None:
        """Evicts queues without waiters."""
        for queue_key, queue in list(self._queues.items()):
            if all(now - at > WAITER_TTL_S for at in queue.values()):
                del self._queues[queue_key]
                self._admitted.pop(queue_key, None)


def _rank(
    waiter: Waiter, admitted: dict[str, int]
) -> tuple[int, int, float, int]:
    count = admitted.get(waiter.workspace, 0)
    return (waiter.priority, count, waiter.arrived_at, waiter.number)
