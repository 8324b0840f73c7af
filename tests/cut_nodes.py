"""Gateway processes, some of which lose their paths to all upstreams."""

import collections
import concurrent.futures
import dataclasses
import json
import tempfile
import time
import uuid

import urllib3

from tests import gateway_world
from tests import platform_standins
from tests.soak import proxy

CENTRES = ("dc-1", "dc-2", "dc-3") * 2
# Time after which the nodes have to serve their callers again.
CONTACT_S = 3.0
SETTLE_S = 2.0
# Callers of each node, and the pause of a caller between its requests.
CALLERS = 3
PAUSE_S = 0.05
STREAM_EVENTS = 4


@dataclasses.dataclass(frozen=True)
class Outcome:
    """One first attempt of a caller; `status` is 0 for a broken response."""

    node: int
    kind: str
    request_id: str
    status: int
    seconds: float


class World:
    """A store, upstreams, and nodes that reach each upstream by a proxy."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory()
        self._proxies = proxy.Proxies()
        self.store = platform_standins.Store()
        document = platform_standins.build_configuration()
        self.store.put("op/config", json.dumps(document))
        self.engines = [
            platform_standins.Upstream(f"engine-{n}") for n in range(3)
        ]
        self.desks = [platform_standins.Upstream(f"desk-{n}") for n in range(3)]
        self._servers = [self.store, *self.engines, *self.desks]
        for number in range(3):
            zone = f"dc-{number + 1}"
            self.engines[number].register(
                self.store, "llm", zone=zone, slots=48
            )
            self.desks[number].register(self.store, "desk", zone=zone, slots=48)
        # Proxies to the upstreams, by node and address.
        self._ways = [{} for _ in CENTRES]
        self.nodes = []
        for number, centre in enumerate(CENTRES):
            view = platform_standins.StoreView(
                self.store,
                lambda address, number=number: self._find_way(number, address),
            )
            self._servers.append(view)
            self.nodes.append(
                gateway_world.Node(
                    self._folder.name, f"node-{number}", view, zone=centre
                )
            )
        for node in self.nodes:
            node.wait_ready()
        time.sleep(SETTLE_S)

    def _find_way(self, number, address):
        """Returns the address at which a node reaches an upstream."""
        ways = self._ways[number]
        if address not in ways:
            ways[address] = self._proxies.open(address)
        return ways[address].address

    def cut(self, numbers, mode):
        """Cuts nodes off from all upstreams; all others reach them."""
        for number, ways in enumerate(self._ways):
            for way in ways.values():
                wanted = mode if number in numbers else proxy.Mode.PASS
                self._proxies.set_mode(way, wanted)

    def call(self, seconds, kinds=("safe", "unsafe", "stream"), numbers=None):
        """Sends requests to nodes for a while; returns the outcomes.

        Args:
            seconds: For how long.
            kinds: Kinds of the requests, in turns.
            numbers: Numbers of the nodes; `None` for all.
        """
        if numbers is None:
            numbers = range(len(self.nodes))
        end = time.monotonic() + seconds

        def run(number):
            found = []
            while time.monotonic() < end:
                kind = kinds[len(found) % len(kinds)]
                found.append(self.ask(number, kind))
                time.sleep(PAUSE_S)
            return found

        callers = [n for n in numbers for _ in range(CALLERS)]
        with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
            return [o for found in pool.map(run, callers) for o in found]

    def ask(self, number, kind):
        """Sends one request to a node on a new connection."""
        node = self.nodes[number]
        request_id = uuid.uuid4().hex[:16]
        began = time.monotonic()
        status = 0
        try:
            if kind == "stream":
                response = node.stream(request_id=request_id)
                whole = response.data.count(b"id: ") == STREAM_EVENTS
            elif kind == "safe":
                response = node.request("/status/x", request_id=request_id)
                whole = response.data.startswith(b"echo")
            else:
                body = request_id.encode()
                response = node.request("/lodge/x", body, request_id=request_id)
                whole = response.data == b"echo " + body
            status = response.status if whole or response.status != 200 else 0
        except urllib3.exceptions.HTTPError:
            status = 0
        return Outcome(
            number, kind, request_id, status, time.monotonic() - began
        )

    def count_runs(self):
        """Returns how often each request was run."""
        return collections.Counter(
            headers.get("Request-Id")
            for upstream in [*self.engines, *self.desks]
            for _, _, headers, _ in list(upstream.run_requests)
        )

    def close(self):
        """Stops all processes and servers."""
        for node in self.nodes:
            node.stop()
        for server in self._servers:
            server.stop()
        self._proxies.close()
        self._folder.cleanup()


def count_served(outcomes, numbers):
    """Returns how many requests of nodes were served, and how many there were.

    Args:
        outcomes: The outcomes.
        numbers: The nodes.
    """
    own = [o for o in outcomes if o.node in numbers]
    return sum(o.status == 200 for o in own), len(own)
