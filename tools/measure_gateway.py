"""Measures the processor time and memory of one gateway process.

Starts a real `sycamore-gateway` on loopback with stand-ins of the store and of
upstreams, and prints one line for each case. Processor time is read from the
process' own clock, so a busy machine changes the figures little. Everything
that is started ends with the tool.
"""

import argparse
import http.client
import importlib
import json
import pathlib
import signal
import statistics
import tempfile
import threading
import time
from typing import Any
import uuid

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.model import identity
from sycamorehollow.shells import peers
from sycamorehollow.shells.gateway import grpc_peer_client
from sycamorehollow.shells.gateway import peer_messages

# The helpers of the tests have no types.
gateway_world: Any = importlib.import_module("tests.gateway_world")
platform_standins: Any = importlib.import_module("tests.platform_standins")

START_RUNS = 5
REFERENCE_STEPS = 3_000_000
SETTLE_S = 4.0
# Time after readiness in which a node loads the client for other nodes.
AFTER_START_S = 2.0
IDLE_WINDOW_S = 8.0
REQUESTS = 400
WARM_UP_REQUESTS = 200
STREAM_EVENTS = 400
STREAMS = 5
EVENT_PAUSE_S = 0.002
CHANGES = 200
EXCHANGES = 400
EXCHANGE_INTERVAL_S = 0.01
FAST_LINK = {"limits.linkMbps": "1000"}
MEDIUM_LINK = {"limits.linkMbps": "900"}


class Store(platform_standins.Store):
    """A store with pages as long as those of the platform."""

    def _range(self, query):
        with self._changed:
            items = [
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(query["pathPrefix"])
            ]
            return 200, {"items": items, "hasMore": False, "at": self._revision}


class Deployment:
    """A store, upstreams that serve, and entries without a process.

    Args:
        upstreams: Number of registered upstreams of each service.
        nodes: Number of registered nodes that do not run.
    """

    def __init__(self, upstreams: int, nodes: int):
        self._folder = tempfile.TemporaryDirectory(prefix="sycamorehollow-")
        self._nodes: list[Any] = []
        self.store = Store()
        self.upstreams = [
            platform_standins.Upstream(f"upstream-{n}")
            for n in range(2 * upstreams)
        ]
        document = platform_standins.build_configuration()
        self.store.put("op/config", json.dumps(document))
        for number, upstream in enumerate(self.upstreams):
            upstream.register(self.store, ("llm", "desk")[number % 2])
        # All in the data centre of the measured node: watchers call those of
        # other data centres, and a failed call costs more than an answered one.
        for number in range(nodes):
            entry = {
                "peer": f"127.0.0.1:{number + 1}",
                "data_centre": "dc-1",
            }
            self.store.put(f"nodes/silent-{number}", json.dumps(entry))

    def start_node(self, name: str, **settings: str) -> Any:
        """Starts a gateway process and waits until it is ready."""
        node = gateway_world.Node(
            self._folder.name, name, self.store, **settings
        )
        self._nodes.append(node)
        node.wait_ready()
        return node

    def stop(self) -> None:
        """Ends everything that was started."""
        for node in self._nodes:
            node.stop()
        for server in [self.store, *self.upstreams]:
            server.stop()
        self._folder.cleanup()


def read_processor_s(pid: int) -> float:
    """Returns the processor time of a process and its threads."""
    # The kernel's identifier of the processor time clock of a process.
    return time.clock_gettime(~pid << 3 | 2)


def read_resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def report(case: str, value: float, unit: str) -> None:
    """Prints one figure."""
    print(f"{case:52s} {value:8.2f} {unit}", flush=True)


def measure_idle(node: Any) -> float:
    """Returns the processor time of an idle second in milliseconds."""
    time.sleep(SETTLE_S)
    before = read_processor_s(node.pid)
    time.sleep(IDLE_WINDOW_S)
    return 1e3 * (read_processor_s(node.pid) - before) / IDLE_WINDOW_S


def measure_reference() -> None:
    """Measures a fixed calculation, to compare runs on a shared machine."""
    began = time.process_time()
    sum(number * number for number in range(REFERENCE_STEPS))
    report("reference", 1e3 * (time.process_time() - began), "ms")


def measure_start() -> None:
    """Measures the start of a node without load."""
    ready_ms, loaded_ms, ready_mb, loaded_mb = [], [], [], []
    deployment = Deployment(2, 0)
    try:
        for number in range(START_RUNS):
            node = deployment.start_node(f"start-{number}")
            ready_ms.append(1e3 * read_processor_s(node.pid))
            ready_mb.append(read_resident_mb(node.pid))
            time.sleep(AFTER_START_S)
            loaded_ms.append(1e3 * read_processor_s(node.pid))
            loaded_mb.append(read_resident_mb(node.pid))
            node.stop()
    finally:
        deployment.stop()
    report("start until ready", statistics.median(ready_ms), "ms")
    report("start and 2 s", statistics.median(loaded_ms), "ms")
    report("resident when ready", statistics.median(ready_mb), "MB")
    report("resident 2 s later", statistics.median(loaded_mb), "MB")


def measure_idle_seconds(upstreams: int, nodes: int) -> None:
    """Measures idle nodes of several kinds."""
    for case, upstream_count, node_count in (
        ("alone", 1, 0),
        ("many upstreams", upstreams, 0),
        ("many upstreams and nodes", upstreams, nodes),
    ):
        deployment = Deployment(upstream_count, node_count)
        try:
            node = deployment.start_node("measured", **FAST_LINK)
            if not node_count:
                report(f"idle second, {case}", measure_idle(node), "ms")
                continue
            deployment.start_node("other", **MEDIUM_LINK)
            follower = deployment.start_node("follower")
            report(f"idle second, {case}, watcher", measure_idle(node), "ms")
            report(
                f"idle second, {case}, follower", measure_idle(follower), "ms"
            )
            report("resident, follower", read_resident_mb(follower.pid), "MB")
            measure_exchanges(node)
        finally:
            deployment.stop()


def measure_exchanges(node: Any) -> None:
    """Measures requests of another node that the process answers."""
    answered = threading.Semaphore(0)
    own = identity.Process("127.0.0.1:1", "dc-1", 1)
    task = peers.PeerTask("127.0.0.1:0", lambda _: answered.release())
    task.start()
    payload = peer_messages.encode(
        {"since": 1 << 40, "era": 1, "age_s": 0.5, "store_back_s": 1e6}
    )
    item = exchange.Item(grpc_peer_client.SYNC_KIND, payload)
    idle_ms = measure_idle(node)
    before, began = read_processor_s(node.pid), time.monotonic()
    for number in range(EXCHANGES):
        task.post(peers.PeerRequest(number, node.peer_address, own, item))
        time.sleep(EXCHANGE_INTERVAL_S)
        answered.acquire()
    spent_ms = 1e3 * (read_processor_s(node.pid) - before)
    spent_ms -= idle_ms * (time.monotonic() - began)
    task.stop()
    report("exchange answered", spent_ms / EXCHANGES, "ms")


class Caller:
    """One caller with a connection that it reuses."""

    def __init__(self, node: Any):
        host, _, port = node.front.rpartition(":")
        self._connection = http.client.HTTPConnection(host, int(port))

    def request(self, path: str, is_stream: bool) -> int:
        """Sends a request, reads the response and returns its size."""
        headers = {
            "Host": "models.example",
            "Request-Id": uuid.uuid4().hex[:16],
            "Request-Deadline": "4000",
            "Authorization": "Bearer key-1",
            "User-Agent": "measure",
            "Accept-Language": "en",
            "Content-Type": "application/json",
        }
        if is_stream:
            headers["Accept"] = "text/event-stream"
            headers["Model"] = "*"
            headers["Token-Counts"] = "1000,80"
            headers["Prompt-Prefix"] = "aa:500,bb:500"
        method, body = ("POST", b"x" * 2000) if is_stream else ("GET", None)
        self._connection.request(method, path, body, headers)
        response = self._connection.getresponse()
        data = response.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {data!r}")
        return len(data)


def measure_requests(upstreams: int, nodes: int) -> None:
    """Measures requests, events and changes of entries."""
    deployment = Deployment(upstreams, nodes)
    try:
        node = deployment.start_node("measured", **FAST_LINK)
        deployment.start_node("other", **MEDIUM_LINK)
        caller = Caller(node)
        idle_ms = measure_idle(node)
        for name, path, is_stream in (
            ("plain request", "/status/1", False),
            ("streamed request of 4 events", "/draft/1", True),
        ):
            for _ in range(WARM_UP_REQUESTS):
                caller.request(path, is_stream)
            before, began = read_processor_s(node.pid), time.monotonic()
            for _ in range(REQUESTS):
                caller.request(path, is_stream)
            spent_ms = 1e3 * (read_processor_s(node.pid) - before)
            spent_ms -= idle_ms * (time.monotonic() - began)
            report(name, spent_ms / REQUESTS, "ms")
        report("resident after requests", read_resident_mb(node.pid), "MB")
        measure_events(deployment, node, caller, idle_ms)
        measure_changes(deployment, node, idle_ms)
    finally:
        deployment.stop()


def measure_events(
    deployment: Deployment,
    node: Any,
    caller: Caller,
    idle_ms: float,
) -> None:
    """Measures events that arrive one by one."""
    for upstream in deployment.upstreams:
        upstream.events, upstream.pause_s = STREAM_EVENTS, EVENT_PAUSE_S
    before, began = read_processor_s(node.pid), time.monotonic()
    for _ in range(STREAMS):
        caller.request("/draft/1", True)
    spent_ms = 1e3 * (read_processor_s(node.pid) - before)
    spent_ms -= idle_ms * (time.monotonic() - began)
    report("event", 1e3 * spent_ms / (STREAMS * STREAM_EVENTS), "us")


def measure_changes(deployment: Deployment, node: Any, idle_ms: float) -> None:
    """Measures changed entries of upstreams in the store."""
    before, began = read_processor_s(node.pid), time.monotonic()
    for number in range(CHANGES):
        upstream = deployment.upstreams[number % len(deployment.upstreams)]
        upstream.register(deployment.store, "llm", seq=number + 2)
        time.sleep(EXCHANGE_INTERVAL_S)
    time.sleep(1.0)
    spent_ms = 1e3 * (read_processor_s(node.pid) - before)
    spent_ms -= idle_ms * (time.monotonic() - began)
    report("change of an entry", 1e3 * spent_ms / CHANGES, "us")


def main(argv: list[str] | None = None) -> int:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upstreams", type=int, default=70)
    parser.add_argument("--nodes", type=int, default=140)
    parser.add_argument("cases", nargs="*", help="start, idle or requests")
    arguments = parser.parse_args(argv)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    cases = arguments.cases or ["start", "idle", "requests"]
    measure_reference()
    if "start" in cases:
        measure_start()
    if "idle" in cases:
        measure_idle_seconds(arguments.upstreams, arguments.nodes)
    if "requests" in cases:
        measure_requests(arguments.upstreams, arguments.nodes)
    measure_reference()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
