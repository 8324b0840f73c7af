"""Runs a small deployment of real processes on loopback for tests."""

import collections
import hashlib
import json
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
API_KEY = "test-key"
LIFETIME_S = 60
PORTS = (15_000, 30_000)
# Number of sockets that reserve ports. When the oldest is closed, the process
# that uses its port already listens.
MAX_RESERVED = 200
HTTP = urllib3.PoolManager(retries=False, timeout=5.0)
_reserved: collections.deque[socket.socket] = collections.deque()


def find_port(count: int = 1) -> int:
    """Reserves consecutive loopback ports and returns the first one.

    The ports are below the ephemeral range, so that no outgoing connection can
    take them. Each is held by a bound socket that does not listen: it keeps
    other calls, also of other test runs, from returning the port, but lets a
    server bind it with SO_REUSEADDR.

    Args:
        count: Number of consecutive ports.
    """
    while True:
        first = random.randrange(*PORTS)
        kept = [_reserve(port) for port in range(first, first + count)]
        if None in kept:
            for sock in kept:
                if sock is not None:
                    sock.close()
            continue
        _reserved.extend(kept)
        while len(_reserved) > MAX_RESERVED:
            _reserved.popleft().close()
        return first


def _reserve(port: int) -> socket.socket | None:
    """Returns a socket that reserves a port, or `None` if it is in use."""
    address = ("127.0.0.1", port)
    kept = socket.socket()
    try:
        with socket.socket() as sock:
            sock.bind(address)
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        kept.bind(address)
    except OSError:
        kept.close()
        return None
    return kept


class Processes:
    """Starts child processes and kills exactly those that it started."""

    def __init__(self):
        self._children: list[subprocess.Popen] = []
        self._folder = tempfile.TemporaryDirectory()

    def start(self, module: str, *arguments: str) -> tuple[Any, str]:
        """Starts a module as a program; returns the process and its URL."""
        child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            cwd=ROOT,
            text=True,
        )
        self._children.append(child)
        assert child.stdout is not None
        return child, json.loads(child.stdout.readline())["url"]

    def start_stand_in(self, name: str, *settings: str) -> tuple[Any, str]:
        """Starts a stand-in on a free port."""
        arguments = ["--set", "server.port=0", "--exit-after", str(LIFETIME_S)]
        for item in settings:
            arguments += ["--set", item]
        return self.start(f"sycamorehollow.standins.{name}", *arguments)

    def start_entry(
        self, name: str, store: str, data_centre: str = "dc-1", **sections: str
    ) -> tuple[Any, str]:
        """Starts an entry process and waits until it is healthy."""
        path = pathlib.Path(self._folder.name) / f"{name}.ini"
        address = sections.get("address", f"127.0.0.1:{find_port()}")
        path.write_text(
            f"[process]\nname={name}\naddress={address}\n"
            f"peer_address=127.0.0.1:{sections.get('peer', find_port())}\n"
            f"data_centre={data_centre}\nregion=region\n"
            f"slot={sections.get('slot', '0')}\n"
            f"slots={sections.get('slots', '1')}\n"
            f"[store]\nurl={store}\n"
            f"[peers]\nseeds={sections.get('seeds', '')}\n"
            f"[vms]\nurl={sections.get('vms', store)}\n"
            f"[ratings]\nurl={sections.get('ratings', store)}\n"
            f"[sessions]\nkeys=k1:{'ab' * 32}\n"
            f"{sections.get('more', '')}"
        )
        child, url = self.start(
            "sycamorehollow.programs.entry", "--settings", str(path)
        )
        wait_for(lambda: HTTP.request("GET", f"{url}/healthz").status == 200)
        return child, url

    def stop(self) -> None:
        """Kills all processes that were started and deletes their files."""
        for child in self._children:
            if child.poll() is None:
                child.kill()
            child.wait(10)
            assert child.stdout is not None
            child.stdout.close()
        self._folder.cleanup()


def wait_for(check: Any, limit_s: float = 15.0) -> None:
    """Waits until a check returns a true value.

    Errors of HTTP requests in the check count as false.

    Raises:
        TimeoutError: If this takes longer than `limit_s`.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            if check():
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{check} did not hold in {limit_s} s")


def put_branch(store: str, name: str, branch: dict[str, Any]) -> int:
    """Writes a branch of the settings tree and returns its revision."""
    response = HTTP.request(
        "PUT",
        f"{store}/v1/kv/config/{name}",
        json={"value": json.dumps(branch), "expect": None},
    )
    return response.json()["revision"]


def build_platform(engines: dict[str, str], **changes: Any) -> dict[str, Any]:
    """Returns a platform branch with one model and the given engines."""
    upstreams = {
        name: {
            "url": url,
            "data_centre": "dc-1",
            "versions": ["small-1", "large-1"],
            "capacity_tokens": 100_000,
            "bearable": 4,
            "checks_fence": True,
            "presence": "in",
        }
        for name, url in engines.items()
    }
    return {
        "nonce": "platform",
        "models": {
            "atlas": {
                "versions": {
                    "small-1": {
                        "prompt_price": 1000,
                        "output_price": 2000,
                        "state": "serving",
                    },
                    "large-1": {
                        "prompt_price": 5000,
                        "output_price": 9000,
                        "state": "serving",
                    },
                }
            }
        },
        "data_centres": {"dc-1": {"region": "region", "presence": "in"}},
        "upstreams": upstreams,
        "services": {},
        **changes,
    }


def build_team(**changes: Any) -> dict[str, Any]:
    """Returns a team branch with one workspace."""
    workspace = {
        "key_hashes": [hashlib.sha256(API_KEY.encode()).hexdigest()],
        "versions": ["small-1"],
        "services": [],
        "weight": 1,
        "kinds": {},
        **changes,
    }
    return {
        "nonce": "team",
        "workspaces": {"maps": workspace},
        "cascades": {},
        "rollouts": {},
    }
