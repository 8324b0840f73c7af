"""Ranks of this node among all nodes, one for each upstream or other subject.

Limits on the requests of all nodes together must hold without messages between
them. The nodes of the lowest ranks own a part of such a limit each. All nodes
compute the same ranks, by rendezvous hashing.
"""

from collections.abc import Iterable
import zlib

# Safety factor for nodes that were added but are not known everywhere yet. Each
# of them may consider itself an owner in addition to the known ones.
UNKNOWN_NODE_FACTOR = 1.34


class NodeRanks:
    """Ranks of one node.

    Args:
        node: Name of the node.
    """

    def __init__(self, node: str):
        self._node = node
        self._names = {node}
        self._ranks: dict[str, int] = {}
        self._orders: dict[str, list[str]] = {}

    @property
    def node_count(self) -> int:
        """Number of known nodes."""
        return len(self._names)

    def add_nodes(self, names: Iterable[str]) -> None:
        """Adds names to the known nodes, which are never removed.

        A node that has become isolated may still send.
        """
        all_names = self._names.union(names)
        if all_names != self._names:
            self._names = all_names
            self._ranks.clear()
            self._orders.clear()

    def compute_rank(self, identity: str) -> int:
        """Returns this node's rank for a subject; 0 is the first."""
        rank = self._ranks.get(identity)
        if rank is None:
            own = _hash(self._node, identity)
            rank = sum(_hash(name, identity) < own for name in self._names)
            self._ranks[identity] = rank
        return rank

    def list_others(self, identity: str, count: int) -> list[str]:
        """Returns the nodes of the first `count` ranks but for this one."""
        order = self._orders.get(identity)
        if order is None:
            order = sorted(self._names, key=lambda n: _hash(n, identity))
            self._orders[identity] = order
        return [name for name in order[:count] if name != self._node]

    def remove(self, identity: str) -> None:
        """Drops the ranks for a subject that is gone."""
        self._ranks.pop(identity, None)
        self._orders.pop(identity, None)


def _hash(node: str, identity: str) -> tuple[int, str]:
    return zlib.crc32(f"{identity}|{node}".encode()), node
