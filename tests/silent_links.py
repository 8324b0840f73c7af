"""Gateway processes whose connections to the store and to peers fall silent."""

import concurrent.futures
import contextlib
import json
import os
import pathlib
import tempfile
import time

from tests import gateway_world
from tests import platform_standins
from tests import processes
from tests.soak import proxy

# Time after which a node whose connections fell silent has to be up to date.
CONTACT_S = 3.0
# Time within which an acknowledged change is in force.
APPLY_S = 2.0
# Time to look at a node in vain beyond the bound.
LOOK_S = 3.0
# Time in which the nodes have found each other, so that some follow others.
SETTLE_S = 2.0


class World:
    """A store, plain services, and nodes that reach all through proxies.

    Args:
        centres: Data centre of each node.
    """

    def __init__(self, centres):
        self._folder = tempfile.TemporaryDirectory()
        self._proxies = proxy.Proxies()
        self.store = platform_standins.Store()
        self.store.rewrite = self._rewrite
        self._peer_ways = {}
        self._version = 0
        self.configure()
        self.desks = [platform_standins.Upstream(f"desk-{n}") for n in range(3)]
        for desk in self.desks:
            desk.register(self.store, "desk")
        self._store_ways = []
        self.nodes = []
        for number, centre in enumerate(centres):
            way = self._proxies.open(self.store.address)
            self._store_ways.append(way)
            self.nodes.append(
                gateway_world.Node(
                    self._folder.name, f"node-{number}", way, zone=centre
                )
            )
        for node in self.nodes:
            node.wait_ready()
        self._pool = concurrent.futures.ThreadPoolExecutor(len(self.nodes))
        processes.wait_for(lambda: len(self._peer_ways) == len(self.nodes))
        time.sleep(SETTLE_S)

    def _rewrite(self, key, value):
        """Replaces the address of a node by that of a proxy before it."""
        if not key.startswith("nodes/"):
            return value
        document = json.loads(value)
        address = document["peer"]
        if address not in self._peer_ways:
            self._peer_ways[address] = self._proxies.open(address)
        return json.dumps(document | {"peer": self._peer_ways[address].address})

    def configure(self):
        """Writes the next configuration, which has a route of its own."""
        self._version += 1
        route = {
            "name": f"r-{self._version}",
            "host": "models.example",
            "pathPrefix": f"/extra-{self._version}/",
            "kind": "safe",
            "service": "desk",
            "timeoutMs": 4000,
            "maxAttempts": 3,
        }
        document = platform_standins.build_configuration(
            self._version, extra=[route]
        )
        self.store.put("op/config", json.dumps(document))

    def silence(self, store=True, peers=False, drops_packets=True):
        """Silences open connections for good; new ones work."""
        ways = [*self._store_ways] if store else []
        ways += self._peer_ways.values() if peers else []
        for way in ways:
            self._proxies.silence_open(way, drops_packets)

    @contextlib.contextmanager
    def stop_store(self):
        """Lets the store neither answer nor accept calls for a while."""
        for way in self._store_ways:
            self._proxies.set_mode(way, proxy.Mode.SILENCE)
        try:
            yield
        finally:
            for way in self._store_ways:
                self._proxies.set_mode(way, proxy.Mode.PASS)

    def measure_lateness(self, silent_at):
        """Changes the configuration; returns by how much each node is late.

        Args:
            silent_at: When connections fell silent.
        """
        self.configure()
        due_at = max(silent_at + CONTACT_S, time.monotonic() + APPLY_S)
        path = f"/extra-{self._version}/x"

        def wait(node):
            while time.monotonic() < due_at + LOOK_S:
                if node.request(path).status == 200:
                    break
                time.sleep(0.02)
            return round(time.monotonic() - due_at, 2)

        return list(self._pool.map(wait, self.nodes))

    def count_descriptors(self):
        """Returns the number of open descriptors of each node."""
        return [
            len(os.listdir(pathlib.Path(f"/proc/{node.pid}/fd")))
            for node in self.nodes
        ]

    def close(self):
        """Stops all processes and servers."""
        for node in self.nodes:
            node.stop()
        for server in [self.store, *self.desks]:
            server.stop()
        self._proxies.close()
        self._folder.cleanup()
