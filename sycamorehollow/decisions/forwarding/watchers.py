"""Which nodes follow the store themselves and which follow other nodes.

Every call to the store is priced and every change ends the pending watches of
all nodes, so that watching by each node costs the square of the fleet. A few
nodes of each data centre watch, those with the fastest links; the others ask
these. A node that hears nothing recent watches by itself, so nothing has to be
agreed on.
"""

from collections.abc import Mapping
import dataclasses
import random
import zlib

# Two, so that the loss of one is no gap.
WATCHERS_PER_DATA_CENTRE = 2
# Age in seconds of the last news from which a follower watches by itself; a
# part of the two seconds in which a change has to be in force.
STALE_S = 1.0
# Time in seconds for which a node that did not answer is passed over.
UNREACHABLE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Node:
    """A registered node.

    Attributes:
        link_mbps: Rate of its network link in Mbit/s; 0 if unknown.
    """

    peer_address: str
    data_centre: str
    link_mbps: float = 0.0


class Watchers:
    """Decides whether this node watches and whom it asks.

    Args:
        name: Name of this node.
        data_centre: Its data centre.
        source: Source of randomness.
    """

    def __init__(self, name: str, data_centre: str, source: random.Random):
        self._name = name
        self._data_centre = data_centre
        self._source = source
        self._unreachable: dict[str, float] = {}
        self._fresh_at = float("-inf")

    def note_fresh(self, at: float) -> None:
        """All changes that the store had made by then are known."""
        self._fresh_at = max(self._fresh_at, at)

    def note_unreachable(self, name: str, now: float) -> None:
        """A node did not answer."""
        self._unreachable[name] = now + UNREACHABLE_S

    def measure_age(self, now: float) -> float:
        """Returns the seconds since the store was last heard of."""
        return now - self._fresh_at

    def list_chosen(self, nodes: Mapping[str, Node], now: float) -> list[str]:
        """Returns the nodes of the data centre that watch."""
        near = [
            name
            for name, node in nodes.items()
            if node.data_centre == self._data_centre
            and (name == self._name or now >= self._unreachable.get(name, 0))
        ]
        near.sort(
            key=lambda name: (-nodes[name].link_mbps, zlib.crc32(name.encode()))
        )
        return near[:WATCHERS_PER_DATA_CENTRE]

    def needs_watch(self, nodes: Mapping[str, Node], now: float) -> bool:
        """Tells whether this node follows the store itself."""
        chosen = self.list_chosen(nodes, now)
        if len(chosen) < WATCHERS_PER_DATA_CENTRE or self._name in chosen:
            return True
        return self.measure_age(now) > STALE_S

    def choose_source(
        self, nodes: Mapping[str, Node], now: float
    ) -> str | None:
        """Returns the node to ask for news, if this node is a follower."""
        chosen = self.list_chosen(nodes, now)
        if len(chosen) < WATCHERS_PER_DATA_CENTRE or self._name in chosen:
            return None
        return self._source.choice(chosen)
