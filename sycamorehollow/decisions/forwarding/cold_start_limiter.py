"""Rate limits for cold upstreams.

When a data centre comes back with cold upstreams, every node sends to them at
once. The rate that an upstream tolerates covers the requests of all nodes, also
of nodes that cannot reach each other, so the limit must not depend on messages
between nodes.

Each upstream has a few owner nodes, chosen by a hash that all nodes compute
alike. While the upstream is cold only its owners send to it, each its share of
the rate. If the fleet is smaller than the rate, every node is an owner. Other
nodes send nothing, and an isolated node uses no more than its own share.
"""

import collections
import math

from sycamorehollow.decisions.forwarding import node_ranks

WINDOW_S = 1.0
# Requests sent within one window may arrive within a shorter one.
ARRIVAL_SPREAD_S = 0.2


class ColdStartLimiter:
    """Enforces this node's share of the rate that cold upstreams tolerate.

    Args:
        ranks: Ranks of this node.
        factor: Tolerated multiple of an upstream's rate.
        floor: Requests per second that are tolerated in addition.
    """

    def __init__(
        self, ranks: node_ranks.NodeRanks, factor: float, floor: float
    ):
        self._ranks = ranks
        self._factor = factor
        self._floor = floor
        self._sent: dict[str, collections.deque[float]] = {}

    def configure(self, factor: float, floor: float) -> None:
        """Applies changed settings."""
        self._factor = factor
        self._floor = floor

    def can_send(self, identity: str, rate: float, now: float) -> bool:
        """Returns whether a cold upstream may get one more request.

        Args:
            identity: Identity of the upstream.
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
        """Records a request that was sent to an upstream, cold or not."""
        sent = self._sent.setdefault(identity, collections.deque(maxlen=512))
        sent.append(now)

    def remove_upstream(self, identity: str) -> None:
        """Drops the state of an upstream that is gone."""
        self._sent.pop(identity, None)

    def _compute_share(self, identity: str, rate: float) -> int:
        """Returns the requests per second that this node may send."""
        tolerated = rate * self._factor + self._floor
        usable = max(1, math.floor(tolerated / node_ranks.UNKNOWN_NODE_FACTOR))
        share, rest = divmod(usable, self._ranks.node_count)
        return share + (self._ranks.compute_rank(identity) < rest)
