"""Limits on requests to cold upstreams.

Answers the load of a data centre that comes back with cold upstreams, at which
every node sends at once. The rate that an upstream tolerates counts requests
of all nodes, so each node uses a fixed share of it and needs no agreement.
"""

import collections
import math

WINDOW_S = 1.0
# Requests that leave within a second may arrive within less of one.
ARRIVAL_SPREAD_S = 0.2
# Nodes that were added since the members were last counted.
UNKNOWN_NODES = 1.34


class ColdLimits:
    """This node's share of what cold upstreams tolerate.

    Args:
        factor: Tolerated excess over the rate of an upstream.
        floor: Requests per second beyond that.
    """

    def __init__(self, factor: float, floor: float):
        self._factor = factor
        self._floor = floor
        self._nodes = 1
        self._sent: dict[str, collections.deque[float]] = {}

    def configure(self, factor: float, floor: float) -> None:
        """Takes changed settings."""
        self._factor = factor
        self._floor = floor

    def set_nodes(self, nodes: int) -> None:
        """Sets how many nodes are known, this one included."""
        self._nodes = max(self._nodes, nodes)

    def may_send(self, identity: str, rate: float, now: float) -> bool:
        """Tells whether a cold upstream may get one more request.

        Args:
            identity: The upstream.
            rate: Requests per second that it tolerates while cold.
            now: Monotonic time in seconds.
        """
        share = self._share(rate)
        sent = self._sent.get(identity)
        if sent is None:
            return share >= 1
        while sent and sent[0] <= now - WINDOW_S - ARRIVAL_SPREAD_S:
            sent.popleft()
        return len(sent) < share

    def note_sent(self, identity: str, now: float) -> None:
        """A request was sent to an upstream, cold or not."""
        sent = self._sent.setdefault(identity, collections.deque(maxlen=512))
        sent.append(now)

    def forget(self, identity: str) -> None:
        """An upstream is gone."""
        self._sent.pop(identity, None)

    def _share(self, rate: float) -> int:
        bearable = rate * self._factor + self._floor
        return max(1, math.floor(bearable / (self._nodes * UNKNOWN_NODES)))
