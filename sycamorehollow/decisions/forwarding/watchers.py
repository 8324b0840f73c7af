"""Which nodes follow the store themselves and which follow other nodes.

Every call to the store is priced and every change ends the pending watches of
all nodes, so that watching by each node costs the square of the fleet. A few
nodes of each data centre watch, those with the fastest links; the others ask
these. A node that hears nothing recent watches by itself, so nothing has to be
agreed on.

What nodes find out by themselves takes the same ways: each question brings the
findings of a follower to a watcher and those of all others back, and watchers
exchange theirs. So the messages between data centres depend on the number of
watchers and not on that of nodes.
"""

from collections.abc import Mapping
import dataclasses
import heapq
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

    def __init__(self, name: str, data_centre: str, rng: random.Random):
        self._name = name
        self._data_centre = data_centre
        self._rng = rng
        self._unreachable: dict[str, float] = {}
        self._fresh_at = float("-inf")

    def record_fresh(self, at: float) -> None:
        """All changes that the store had made by then are known."""
        self._fresh_at = max(self._fresh_at, at)

    def record_unreachable(self, name: str, now: float) -> None:
        """A node did not answer."""
        self._unreachable[name] = now + UNREACHABLE_S

    def compute_age_s(self, now: float) -> float:
        """Returns the seconds since the store was last heard of."""
        return now - self._fresh_at

    def list_watchers(self, nodes: Mapping[str, Node], now: float) -> list[str]:
        """Returns the nodes of the data centre that watch."""
        return self._list_by_data_centre(nodes, now).get(self._data_centre, [])

    def should_watch(self, nodes: Mapping[str, Node], now: float) -> bool:
        """Tells whether this node follows the store itself."""
        if self._is_watcher(nodes, now):
            return True
        return self.compute_age_s(now) > STALE_S

    def choose_watcher(
        self, nodes: Mapping[str, Node], now: float
    ) -> str | None:
        """Returns the node to ask for news, if this node is a follower."""
        chosen = self.list_watchers(nodes, now)
        if len(chosen) < WATCHERS_PER_DATA_CENTRE or self._name in chosen:
            return None
        return self._rng.choice(chosen)

    def choose_gossip_peer(
        self, nodes: Mapping[str, Node], age_s: float, now: float
    ) -> str | None:
        """Returns the node to exchange findings with, if there is a need.

        Args:
            nodes: The registered nodes.
            age_s: Age in seconds of what this node knows.
            now: Monotonic time in seconds.
        """
        if age_s > STALE_S:
            # Neither the store nor a watcher tells anything; others may know.
            others = [name for name in nodes if name != self._name]
        elif self._is_watcher(nodes, now):
            by_data_centre = self._list_by_data_centre(nodes, now)
            others = [
                name
                for chosen in by_data_centre.values()
                for name in chosen
                if name != self._name
            ]
        else:
            return None
        return self._rng.choice(others) if others else None

    def _is_watcher(self, nodes: Mapping[str, Node], now: float) -> bool:
        chosen = self.list_watchers(nodes, now)
        return len(chosen) < WATCHERS_PER_DATA_CENTRE or self._name in chosen

    def _list_by_data_centre(
        self, nodes: Mapping[str, Node], now: float
    ) -> dict[str, list[str]]:
        """Returns the watchers of each data centre, the first choice first."""
        names: dict[str, list[str]] = {}
        for name, node in nodes.items():
            if name == self._name or now >= self._unreachable.get(name, 0):
                names.setdefault(node.data_centre, []).append(name)
        return {
            data_centre: heapq.nsmallest(
                WATCHERS_PER_DATA_CENTRE,
                near,
                key=lambda name: (
                    -nodes[name].link_mbps,
                    zlib.crc32(name.encode()),
                ),
            )
            for data_centre, near in names.items()
        }
