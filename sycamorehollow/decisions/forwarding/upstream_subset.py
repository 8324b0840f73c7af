"""The order in which a node considers the upstreams of a service.

A node that sends few requests each second cannot keep connections to many
upstreams open, and computing the cost of each one takes processor time. It uses
the first upstreams of its order and goes on to later ones only when it has to.
Upstreams of the own data centre come first.
"""

import hashlib

from sycamorehollow.decisions.forwarding import directory


class UpstreamSubset:
    """Orders the upstreams for one node, by rendezvous hashing.

    Each upstream ranks the nodes of its data centre by hash, and a node prefers
    the upstreams that rank it first. Compared with the plain hash of node and
    upstream this spreads the nodes more evenly: 12 to 20 nodes for each of 70
    upstreams instead of 7 to 24, with 140 nodes that use eight upstreams each.

    Args:
        node: Name of this node.
        data_centre: Its data centre.
        upstreams: The upstreams.
    """

    def __init__(
        self, node: str, data_centre: str, upstreams: directory.Directory
    ):
        self._node = node
        self._data_centre = data_centre
        self._directory = upstreams
        self._near_nodes = {node}
        self._keys: dict[str, tuple[int, int]] = {}
        self._generation = -1
        self._orders: dict[str, list[directory.UpstreamState]] = {}

    def add_node(self, name: str, data_centre: str) -> None:
        """Adds a node, which is never removed; its upstreams stay warm."""
        if data_centre == self._data_centre and name not in self._near_nodes:
            self._near_nodes.add(name)
            self._keys.clear()
            self._orders.clear()

    def list_order(self, service: str) -> list[directory.UpstreamState]:
        """Returns all upstreams of a service, those to prefer first.

        Includes upstreams that get no requests now. The caller must not change
        the list.
        """
        if self._generation != self._directory.generation:
            self._generation = self._directory.generation
            self._orders.clear()
        order = self._orders.get(service)
        if order is None:
            order = sorted(
                self._directory.list_service(service), key=self._get_key
            )
            self._orders[service] = order
        return order

    def remove_upstream(self, identity: str) -> None:
        """Drops the place of an upstream that is gone or restarted."""
        self._keys.pop(identity, None)

    def _get_key(
        self, state: directory.UpstreamState
    ) -> tuple[bool, tuple[int, int]]:
        upstream = state.upstream
        is_near = upstream.data_centre == self._data_centre
        key = self._keys.get(upstream.identity)
        if key is None:
            key = self._compute_key(upstream.identity, is_near)
            self._keys[upstream.identity] = key
        return not is_near, key

    def _compute_key(self, identity: str, is_near: bool) -> tuple[int, int]:
        own = _hash(self._node, identity)
        if not is_near:
            return 0, own
        rank = sum(_hash(name, identity) < own for name in self._near_nodes)
        return rank, own


def _hash(node: str, identity: str) -> int:
    # Not a CRC: it is linear, so all nodes would have similar orders.
    data = f"{node}|{identity}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
