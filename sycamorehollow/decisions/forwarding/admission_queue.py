"""Order in which waiting requests get the room of a full service.

Load pattern: upstreams are full while one workspace sends many times its usual
share, or while urgent and patient requests meet. The most urgent request goes
first; among equals the workspaces take turns, each in its order of arrival.
"""

from collections.abc import Hashable
import dataclasses

# A request that has not asked for this long, in seconds, has left; those that
# wait ask several times in it.
WAITER_TTL_S = 0.15


@dataclasses.dataclass(frozen=True)
class Waiter:
    """A request in line.

    Attributes:
        urgency: Lower numbers go first.
        arrived: Monotonic time of the request's arrival.
    """

    priority: int
    workspace: str
    arrived_at: float
    number: int


class AdmissionQueue:
    """Keeps a line for each set of upstreams that is full."""

    def __init__(self) -> None:
        # When each waiting request last asked.
        self._queues: dict[Hashable, dict[Waiter, float]] = {}
        # Requests of each workspace that went while others waited.
        self._admitted: dict[Hashable, dict[str, int]] = {}
        self._last_number = 0

    def create_waiter(
        self, priority: int, workspace: str, arrived_at: float
    ) -> Waiter:
        """Returns a ticket, which is not in line yet."""
        self._last_number += 1
        return Waiter(priority, workspace, arrived_at, self._last_number)

    def try_admit(
        self, waiter: Waiter, queue_key: Hashable, capacity: int, now: float
    ) -> bool:
        """Takes room if it is this request's turn; else it stays in line.

        Args:
            waiter: The request.
            queue_key: Identifies the upstreams that it could use; equal for
                all requests that could use the same ones.
            capacity: Requests that these upstreams can take now.
            now: Monotonic time in seconds.
        """
        line = self._queues.setdefault(queue_key, {})
        for other in [t for t, at in line.items() if now - at > WAITER_TTL_S]:
            del line[other]
        taken = self._admitted.setdefault(queue_key, {})
        if not line:
            taken.clear()
        rank = _rank(waiter, taken)
        ahead = sum(
            other != waiter and _rank(other, taken) < rank for other in line
        )
        if ahead >= capacity:
            line[waiter] = now
            return False
        line.pop(waiter, None)
        if line:
            count = taken.get(waiter.workspace, 0)
            taken[waiter.workspace] = count + 1
        return True

    def remove(self, waiter: Waiter) -> None:
        """The request waits no more."""
        for line in self._queues.values():
            line.pop(waiter, None)

    def evict_idle_queues(self, now: float) -> None:
        """Forgets lines in which nobody waits."""
        for place, line in list(self._queues.items()):
            if all(now - at > WAITER_TTL_S for at in line.values()):
                del self._queues[place]
                self._admitted.pop(place, None)


def _rank(
    waiter: Waiter, admitted: dict[str, int]
) -> tuple[int, int, float, int]:
    turns = admitted.get(waiter.workspace, 0)
    return (waiter.priority, turns, waiter.arrived_at, waiter.number)
