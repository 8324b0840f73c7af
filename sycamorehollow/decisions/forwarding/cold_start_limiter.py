"""Limits on requests to cold upstreams.

Load pattern: a data centre comes back with cold upstreams and every node sends
at once. The rate that an upstream tolerates counts the requests of all nodes,
in touch with each other or not, so no node may rely on what others tell it.

Each upstream has a few owners, chosen by the same hash at every node. Only they
send to it while it is cold, each its part of the rate. A fleet that is smaller
than the rate consists of owners. A node that is not an owner sends nothing, and
one that is cut off uses its own part at most.
"""

import collections
from collections.abc import Iterable
import math
import zlib

WINDOW_S = 1.0
# Requests that leave within a second may arrive within less of one.
ARRIVAL_SPREAD_S = 0.2
# Nodes that were added and are not known yet, as a factor; each may take itself
# for an owner in addition to those that others know.
UNKNOWN_NODE_FACTOR = 1.34


class ColdStartLimiter:
    """This node's share of what cold upstreams tolerate.

    Args:
        node: Name of this node.
        factor: Tolerated excess over the rate of an upstream.
        floor: Requests per second beyond that.
    """

    def __init__(self, node: str, factor: float, floor: float):
        self._node = node
        self._factor = factor
        self._floor = floor
        self._node_names = {node}
        # Place of this node among the owners of an upstream.
        self._ranks: dict[str, int] = {}
        self._sent: dict[str, collections.deque[float]] = {}

    def configure(self, factor: float, floor: float) -> None:
        """Takes changed settings."""
        self._factor = factor
        self._floor = floor

    def add_nodes(self, names: Iterable[str]) -> None:
        """Sets the names of the known nodes; none is ever forgotten.

        A node that was cut off may still send.
        """
        known = self._node_names.union(names)
        if known != self._node_names:
            self._node_names = known
            self._ranks.clear()

    def can_send(self, identity: str, rate: float, now: float) -> bool:
        """Tells whether a cold upstream may get one more request.

        Args:
            identity: The upstream.
            rate: Requests per second that it tolerates while cold.
            now: Monotonic time in seconds.
        """
        share = self._compute_share(identity, rate)
        sent = self._sent.get(identity)
        if sent is None:
            return share >= 1
        while sent and sent[0] <= now - WINDOW_S - ARRIVAL_SPREAD_S:
            sent.popleft()
        return len(sent) < share

    def record_sent(self, identity: str, now: float) -> None:
        """A request was sent to an upstream, cold or not."""
        sent = self._sent.setdefault(identity, collections.deque(maxlen=512))
        sent.append(now)

    def remove_upstream(self, identity: str) -> None:
        """An upstream is gone."""
        self._sent.pop(identity, None)
        self._ranks.pop(identity, None)

    def _compute_share(self, identity: str, rate: float) -> int:
        """Returns the requests per second that this node may send."""
        bearable = rate * self._factor + self._floor
        usable = max(1, math.floor(bearable / UNKNOWN_NODE_FACTOR))
        share, rest = divmod(usable, len(self._node_names))
        return share + (self._compute_rank(identity) < rest)

    def _compute_rank(self, identity: str) -> int:
        """Returns the place of this node by rendezvous hashing; 0 is first."""
        rank = self._ranks.get(identity)
        if rank is None:
            own = _hash(self._node, identity)
            rank = sum(_hash(name, identity) < own for name in self._node_names)
            self._ranks[identity] = rank
        return rank


def _hash(node: str, identity: str) -> tuple[int, str]:
    return zlib.crc32(f"{identity}|{node}".encode()), node
