"""Order in which waiting requests get the room of a full service.

Load pattern: upstreams are full while one workspace sends many times its usual
share, or while urgent and patient requests meet. The most urgent request goes
first; among equals the workspaces take turns, each in its order of arrival.
"""

from collections.abc import Hashable
import dataclasses

# A request that has not asked for this long, in seconds, has left; those that
# wait ask several times in it.
KEEP_S = 0.15


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A request in line.

    Attributes:
        urgency: Lower numbers go first.
        arrived: Monotonic time of the request's arrival.
    """

    urgency: int
    workspace: str
    arrived: float
    number: int


class Turns:
    """Keeps a line for each set of upstreams that is full."""

    def __init__(self) -> None:
        # When each waiting request last asked.
        self._lines: dict[Hashable, dict[Ticket, float]] = {}
        # Requests of each workspace that went while others waited.
        self._taken: dict[Hashable, dict[str, int]] = {}
        self._numbers = 0

    def issue(self, urgency: int, workspace: str, arrived: float) -> Ticket:
        """Returns a ticket, which is not in line yet."""
        self._numbers += 1
        return Ticket(urgency, workspace, arrived, self._numbers)

    def take(
        self, ticket: Ticket, place: Hashable, room: int, now: float
    ) -> bool:
        """Takes room if it is this request's turn; else it stays in line.

        Args:
            ticket: The request.
            place: Names the upstreams that it could use, alike for all
                requests that could use the same ones.
            room: Requests that these upstreams can take now.
            now: Monotonic time in seconds.
        """
        line = self._lines.setdefault(place, {})
        for other in [t for t, at in line.items() if now - at > KEEP_S]:
            del line[other]
        taken = self._taken.setdefault(place, {})
        if not line:
            taken.clear()
        rank = _rank(ticket, taken)
        ahead = sum(
            other != ticket and _rank(other, taken) < rank for other in line
        )
        if ahead >= room:
            line[ticket] = now
            return False
        line.pop(ticket, None)
        if line:
            count = taken.get(ticket.workspace, 0)
            taken[ticket.workspace] = count + 1
        return True

    def leave(self, ticket: Ticket) -> None:
        """The request waits no more."""
        for line in self._lines.values():
            line.pop(ticket, None)

    def sweep(self, now: float) -> None:
        """Forgets lines in which nobody waits."""
        for place, line in list(self._lines.items()):
            if all(now - at > KEEP_S for at in line.values()):
                del self._lines[place]
                self._taken.pop(place, None)


def _rank(ticket: Ticket, taken: dict[str, int]) -> tuple[int, int, float, int]:
    turns = taken.get(ticket.workspace, 0)
    return (ticket.urgency, turns, ticket.arrived, ticket.number)
