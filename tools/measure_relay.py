"""Measures what the relay of an entry process adds to streams of an engine.

Starts a store, two engine stand-ins and an entry process on loopback, opens the
same number of streams to one engine and, through the router, to the other, and
prints one row for each number of streams. Everything ends by itself.
"""

import argparse
import configparser
import dataclasses
import hashlib
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

import urllib3

from sycamorehollow.programs import exchanges
from sycamorehollow.programs import load

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
API_KEY = "measure"
VERSION = "small-1"
TOKENS_PER_S = 20
# Requests that arrive at an entry node each second at the target scale.
ARRIVALS_PER_S = 15.0
SETTLE_S = 1.0
WINDOW_S = 10.0
START_S = 20.0
LIFETIME_S = 75
MAX_STREAMS = 400
TAIL_S = 3.0
CAPACITY_TOKENS = 4_000_000
HTTP = urllib3.PoolManager(retries=False, timeout=5.0)


@dataclasses.dataclass
class Lane:
    """Streams to one target.

    Attributes:
        pid: Process whose cost is measured.
        marks: Number of gaps of each stream at the start of the window.
    """

    name: str
    target: load.Target
    pid: int
    streams: list[exchanges.Exchange] = dataclasses.field(default_factory=list)
    marks: list[int] = dataclasses.field(default_factory=list)
    idle_kb: int = 0
    loaded_kb: int = 0
    processor_s: float = 0.0
    events: int = 0


class Deployment:
    """The processes of one measurement."""

    def __init__(self) -> None:
        self._children: list[subprocess.Popen] = []
        self._folder = tempfile.TemporaryDirectory(prefix="sycamorehollow-")

    def start(self) -> list[Lane]:
        """Starts all processes; returns the lanes engine and router."""
        _, store = self._start_stand_in("store")
        settings = [
            f"engine.versions={VERSION}",
            f"engine.tokens_per_s={TOKENS_PER_S}",
            f"memory.capacity_tokens={CAPACITY_TOKENS}",
            "engine.max_running=1000",
        ]
        alone_pid, alone = self._start_stand_in("engine", *settings)
        _, routed = self._start_stand_in("engine", *settings)
        put_branches(store, routed)
        entry_pid, entry = self._start_entry(store)
        return [
            Lane("engine", load.parse_target(alone), alone_pid),
            Lane("router", load.parse_target(entry), entry_pid),
        ]

    def stop(self) -> None:
        """Ends every process that was started."""
        for child in self._children:
            child.kill()
        for child in self._children:
            child.wait(10)
            assert child.stdout is not None
            child.stdout.close()
        self._folder.cleanup()

    def _start(self, module: str, *arguments: str) -> tuple[int, str]:
        child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            cwd=ROOT,
            text=True,
        )
        self._children.append(child)
        assert child.stdout is not None
        return child.pid, json.loads(child.stdout.readline())["url"]

    def _start_stand_in(self, name: str, *settings: str) -> tuple[int, str]:
        arguments = ["--set", "server.port=0", "--exit-after", str(LIFETIME_S)]
        for item in settings:
            arguments += ["--set", item]
        return self._start(f"sycamorehollow.standins.{name}", *arguments)

    def _start_entry(self, store: str) -> tuple[int, str]:
        parser = configparser.ConfigParser()
        parser["process"] = {
            "name": "entry",
            "address": f"{HOST}:{find_port()}",
            "peer_address": f"{HOST}:{find_port()}",
            "data_centre": "dc-1",
            "region": "region",
            "slot": "0",
            "slots": "1",
        }
        parser["store"] = {"url": store}
        parser["peers"] = {"seeds": ""}
        # Neither is needed here; their polls fail.
        parser["vms"] = {"url": store}
        parser["ratings"] = {"url": store}
        parser["sessions"] = {"keys": f"k1:{'ab' * 32}"}
        path = pathlib.Path(self._folder.name) / "entry.ini"
        with path.open("w", encoding="utf-8") as file:
            parser.write(file)
        pid, url = self._start(
            "sycamorehollow.programs.entry", "--settings", str(path)
        )
        wait_until_healthy(url)
        return pid, url


def find_port() -> int:
    """Returns a free loopback port."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def put_branches(store: str, engine: str) -> None:
    """Writes a settings tree with one engine and one workspace."""
    price = {"prompt_price": 1, "output_price": 1}
    platform = {
        "models": {"small": {"versions": {VERSION: price}}},
        "data_centres": {"dc-1": {"region": "region"}},
        "upstreams": {
            "replica": {
                "url": engine,
                "data_centre": "dc-1",
                "versions": [VERSION],
                "capacity_tokens": CAPACITY_TOKENS,
                "bearable": 1000,
            }
        },
    }
    key = hashlib.sha256(API_KEY.encode()).hexdigest()
    team = {
        "workspaces": {"team": {"key_hashes": [key], "versions": [VERSION]}}
    }
    for name, branch in (("platform", platform), ("team", team)):
        HTTP.request(
            "PUT",
            f"{store}/v1/kv/config/{name}",
            json={"value": json.dumps(branch), "expect": None},
        )


def wait_until_healthy(url: str) -> None:
    """Waits until the entry process serves.

    Raises:
        TimeoutError: It did not serve in time.
    """
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        if HTTP.request("GET", f"{url}/healthz").status == 200:
            # One poll interval, so that a load report has arrived.
            time.sleep(1.5)
            return
        time.sleep(0.05)
    raise TimeoutError("The entry process did not become healthy.")


def read_resident_kb(pid: int) -> int:
    """Returns the resident memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1])


def build_stream(lane: Lane, number: int, tokens: int) -> exchanges.Exchange:
    """Returns a request for one stream."""
    document = {
        "model": VERSION,
        "messages": [{"role": "user", "content": f"{number} ".ljust(400, "x")}],
        "max_tokens": tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    body = json.dumps(document).encode()
    head = [
        "POST /v1/chat/completions HTTP/1.1",
        f"Host: {lane.target.host}:{lane.target.port}",
        "Content-Type: application/json",
        "Connection: close",
        f"Content-Length: {len(body)}",
        f"Authorization: Bearer {API_KEY}",
        "X-Deadline-Ms: 90000",
    ]
    data = ("\r\n".join(head) + "\r\n\r\n").encode() + body
    address = (lane.target.host, lane.target.port)
    return exchanges.Exchange(address, data, "chapter", True, None)


def drive(lanes: list[Lane], count: int) -> None:
    """Opens the streams of all lanes side by side and measures a window."""
    loop = exchanges.Loop()
    ramp_s = count / ARRIVALS_PER_S
    tokens = int(TOKENS_PER_S * (ramp_s + SETTLE_S + WINDOW_S + TAIL_S))
    for lane in lanes:
        lane.idle_kb = read_resident_kb(lane.pid)
    start = time.monotonic()
    for number in range(count):
        loop.run_until(start + number / ARRIVALS_PER_S)
        for lane in lanes:
            stream = build_stream(lane, number, tokens)
            lane.streams.append(stream)
            loop.begin(stream)
    loop.run_until(start + ramp_s + SETTLE_S)
    for lane in lanes:
        lane.marks = [len(stream.gaps_s) for stream in lane.streams]
        lane.events = -sum(stream.events for stream in lane.streams)
        lane.processor_s = -load.read_processor_s([lane.pid])
    loop.run_until(start + ramp_s + SETTLE_S + WINDOW_S)
    for lane in lanes:
        lane.processor_s += load.read_processor_s([lane.pid])
        lane.events += sum(stream.events for stream in lane.streams)
        lane.loaded_kb = read_resident_kb(lane.pid)
    loop.close()


def describe(lane: Lane) -> dict[str, float]:
    """Returns the figures of a lane; times in milliseconds."""
    first = [s.first_token_s for s in lane.streams if s.first_token_s]
    gaps = [
        gap
        for stream, mark in zip(lane.streams, lane.marks, strict=True)
        for gap in stream.gaps_s[mark:]
    ]
    return {
        "streams": len(first),
        "events_per_s": lane.events / WINDOW_S,
        "us_per_event": lane.processor_s / max(1, lane.events) * 1e6,
        "first_p95_ms": 1e3 * (load.get_percentile(first, 95) or 0.0),
        "gap_p95_ms": 1e3 * (load.get_percentile(gaps, 95) or 0.0),
        "memory_mb": (lane.loaded_kb - lane.idle_kb) / 1024,
    }


def measure(count: int) -> list[dict[str, float]]:
    """Measures one number of streams with processes of its own."""
    deployment = Deployment()
    try:
        lanes = deployment.start()
        drive(lanes, count)
        return [describe(lane) for lane in lanes]
    finally:
        deployment.stop()


def main(argv: list[str] | None = None) -> int:
    """Prints a table; returns 1 when a stream did not start."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("streams", nargs="*", type=int)
    counts = parser.parse_args(argv).streams or [50, 100, 200, 300]
    if not all(0 < count <= MAX_STREAMS for count in counts):
        parser.error(f"streams: expected 1 to {MAX_STREAMS}")
    complete = True
    for count in counts:
        for name, row in zip(("engine", "router"), measure(count), strict=True):
            fields = " ".join(f"{key}={row[key]:.1f}" for key in row)
            print(f"{count:4d} {name} {fields}", flush=True)
            complete = complete and row["streams"] == count
    return 0 if complete else 1


if __name__ == "__main__":
    sys.exit(main())
