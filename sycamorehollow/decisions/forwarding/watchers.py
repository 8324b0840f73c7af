"""Selection of the nodes that watch the store and of gossip peers.

Each call to the store costs money, and every change completes the pending
watches of all nodes. If all nodes watched, the cost would grow with the square
of the fleet. So only a few nodes of each data centre watch the store, those
with the fastest links, and the other nodes, the followers, poll these. A node
without recent state watches by itself, so no agreement is needed.

State that nodes observe themselves takes the same paths. Each poll carries the
state of a follower to a watcher and that of all others back, and watchers
exchange theirs with each other. The messages between data centres therefore
depend on the number of watchers, not on that of nodes.
"""

from collections.abc import Container
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import random
import zlib

from sycamorehollow.settings import gateway

# Two, so that the loss of one leaves no gap.
WATCHERS_PER_DATA_CENTRE = 2
# Age of its state from which a follower watches the store by itself. Watchers
# that work keep it at about a second: an answer of the store is up to 0.7 s
# old, and followers ask for it every 0.3 s.
STALE_S = 1.3
# Followers that lose their watchers together turn to the store over this time.
STALE_SPREAD_S = 0.4
# Time for which a node that did not respond is skipped.
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

    @property
    def relay_address(self) -> str:
        """Host and port for requests that other nodes send on."""
        host, _, port = self.peer_address.rpartition(":")
        return f"{host}:{int(port) + gateway.RELAY_PORT_OFFSET}"


class Watchers:
    """Decides whether this node watches the store and which peers it polls.

    Args:
        name: Name of this node.
        data_centre: Data centre of this node.
        rng: Random number generator.
    """

    def __init__(self, name: str, data_centre: str, rng: random.Random):
        self._name = name
        self._data_centre = data_centre
        self._rng = rng
        self._unreachable: dict[str, float] = {}
        # The nodes of the latest ranking, and that ranking.
        self._ranked_nodes: dict[str, Node] = {}
        self._ranking: Mapping[str, Sequence[str]] = {}
        self._fresh_at = float("-inf")
        self._stale_s = STALE_S + rng.uniform(0.0, STALE_SPREAD_S)

    def record_fresh(self, at: float) -> None:
        """Records that the state includes all store changes until `at`."""
        self._fresh_at = max(self._fresh_at, at)

    def record_unreachable(self, name: str, now: float) -> None:
        """Records that a node did not respond."""
        self._unreachable[name] = now + UNREACHABLE_S

    def is_reachable(self, name: str, now: float) -> bool:
        """Returns whether a node has not failed to respond recently."""
        return now >= self._unreachable.get(name, 0.0)

    def compute_age_s(self, now: float) -> float:
        """Returns the age of the state relative to the store."""
        return now - self._fresh_at

    def list_watchers(self, nodes: Mapping[str, Node], now: float) -> list[str]:
        """Returns the watchers of this node's data centre."""
        return self._list_by_data_centre(nodes, now).get(self._data_centre, [])

    def should_watch(self, nodes: Mapping[str, Node], now: float) -> bool:
        """Returns whether this node should watch the store."""
        if self._is_watcher(nodes, now):
            return True
        return self.compute_age_s(now) > self._stale_s

    def choose_watcher(
        self,
        nodes: Mapping[str, Node],
        now: float,
        excluded: Container[str] = (),
    ) -> str | None:
        """Returns the watcher to poll; `None` if this node is a watcher.

        Args:
            nodes: The registered nodes.
            now: Monotonic time in seconds.
            excluded: Names of nodes that are not to be chosen.
        """
        chosen = self.list_watchers(nodes, now)
        if len(chosen) < WATCHERS_PER_DATA_CENTRE or self._name in chosen:
            return None
        others = [name for name in chosen if name not in excluded]
        return self._rng.choice(others) if others else None

    def choose_gossip_peer(
        self, nodes: Mapping[str, Node], age_s: float, now: float
    ) -> str | None:
        """Returns the node to exchange state with, or `None`.

        Args:
            nodes: The registered nodes.
            age_s: Age of this node's state.
            now: Monotonic time in seconds.
        """
        if age_s > self._stale_s:
            # Neither the store nor a watcher is reachable; others may be.
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
        """Returns the watchers of each data centre in order of preference."""
        watchers = {}
        for data_centre, names in self._rank_nodes(nodes).items():
            reachable = (
                name
                for name in names
                if name == self._name or self.is_reachable(name, now)
            )
            watchers[data_centre] = list(
                itertools.islice(reachable, WATCHERS_PER_DATA_CENTRE)
            )
        return watchers

    def _rank_nodes(
        self, nodes: Mapping[str, Node]
    ) -> Mapping[str, Sequence[str]]:
        """Returns the nodes of each data centre in order of preference.

        The order is kept until a node changes, as it is needed several times
        per second and sorting takes time that grows with the fleet.
        """
        if nodes == self._ranked_nodes:
            return self._ranking
        names: dict[str, list[str]] = {}
        for name in sorted(nodes, key=lambda name: _compute_key(name, nodes)):
            names.setdefault(nodes[name].data_centre, []).append(name)
        self._ranked_nodes = dict(nodes)
        self._ranking = names
        return names


def _compute_key(name: str, nodes: Mapping[str, Node]) -> tuple[float, int]:
    """Returns the sort key of a node; the preferred one has the lowest."""
    return -nodes[name].link_mbps, zlib.crc32(name.encode())
