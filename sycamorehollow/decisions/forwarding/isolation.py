"""Detection of a node that reaches no upstream, and the nodes that may help it.

One upstream that cannot be reached may be down, and one service may be. A node
is isolated if new connections to several upstreams, of different services and
data centres, fail together. It then sends its requests through nodes that are
not. Nothing of what it cannot reach is held against the upstreams.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import random

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import watchers

# Upstreams that a survey connects to.
SURVEY_SIZE = 4
# Interval of the surveys of an isolated node, which end the isolation, and the
# shortest time between two surveys of others.
SURVEY_INTERVAL_S = 0.5
# Time for which the result of a survey is not asked for again.
SURVEY_TTL_S = 0.25
# Time for which a response on a new connection shows that the node is not
# isolated, whatever has become of another upstream.
REACHED_TTL_S = 0.5
# Time for which a node that could not help is not asked again.
HELPER_BACKOFF_S = 2.0
# Time for which a response of a node shows that its process runs.
HEARD_TTL_S = 0.05


class Isolation:
    """Whether this node is isolated.

    Args:
        rng: Chooses the upstreams of a survey.

    Attributes:
        is_isolated: Whether the latest survey has reached no upstream.
        has_open_connections: Whether connections from before were still open.
        is_confirmed: Whether another node has served a request meanwhile, so
            that upstreams are there.
    """

    def __init__(self, rng: random.Random):
        self.is_isolated = False
        self.has_open_connections = False
        self.is_confirmed = False
        self._rng = rng
        self._surveyed_at = float("-inf")
        self._reached_at = float("-inf")

    def record_reached(self, now: float) -> None:
        """Records a response on a connection that was opened for it.

        Responses on kept connections do not show that new ones work.
        """
        self._reached_at = now

    def needs_survey(self, now: float) -> bool:
        """Returns whether a failed connection calls for a survey."""
        if now - self._reached_at < REACHED_TTL_S:
            return False
        return now - self._surveyed_at >= SURVEY_TTL_S

    def is_survey_due(self, now: float) -> bool:
        """Returns whether an isolated node has to look again."""
        if not self.is_isolated:
            return False
        return now - self._surveyed_at >= SURVEY_INTERVAL_S

    def choose_sample(
        self, states: Iterable[directory.UpstreamState]
    ) -> list[directory.UpstreamState]:
        """Returns upstreams of as many services and places as there are."""
        left = [state for state in states if state.expires_at is None]
        self._rng.shuffle(left)
        chosen: list[directory.UpstreamState] = []
        while left and len(chosen) < SURVEY_SIZE:
            services = [c.upstream.service for c in chosen]
            places = [c.upstream.data_centre for c in chosen]
            best = min(
                left,
                key=lambda state: (
                    services.count(state.upstream.service),
                    places.count(state.upstream.data_centre),
                ),
            )
            left.remove(best)
            chosen.append(best)
        return chosen

    def record_survey(
        self, is_reached: bool, has_open_connections: bool, now: float
    ) -> bool:
        """Records the result of a survey.

        Args:
            is_reached: Whether it has reached any upstream.
            has_open_connections: Whether others were open already.
            now: Monotonic time in seconds.

        Returns:
            Whether the node has become isolated or has ceased to be.
        """
        before = self.is_isolated
        self.is_isolated = not is_reached
        self.is_confirmed = self.is_confirmed and self.is_isolated
        self.has_open_connections = has_open_connections
        self._surveyed_at = now
        return before != self.is_isolated


class Helpers:
    """Nodes that may send on the requests of this node.

    Args:
        name: Name of this node.
        data_centre: Data centre of this node.
        rng: Chooses among equals.
    """

    def __init__(self, name: str, data_centre: str, rng: random.Random):
        self._name = name
        self._data_centre = data_centre
        self._rng = rng
        self._skipped_until: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}

    def choose(
        self, nodes: Mapping[str, watchers.Node], now: float
    ) -> str | None:
        """Returns a node to send a request through, or `None`.

        Nodes of the own data centre come first.
        """
        names = [
            name
            for name in nodes
            if name != self._name and now >= self._skipped_until.get(name, 0.0)
        ]
        near = [
            name
            for name in names
            if nodes[name].data_centre == self._data_centre
        ]
        chosen = near or names
        return self._rng.choice(chosen) if chosen else None

    def record_response(self, name: str, now: float) -> None:
        """Records a response of a node, which shows that its process runs."""
        self._heard_at[name] = now

    def needs_check(self, name: str, now: float) -> bool:
        """Returns whether a node has to respond before it gets a request."""
        return now - self._heard_at.get(name, float("-inf")) >= HEARD_TTL_S

    def record_failure(self, name: str, now: float) -> None:
        """Records that a node is isolated as well, or cannot be reached."""
        self._skipped_until[name] = now + HELPER_BACKOFF_S
