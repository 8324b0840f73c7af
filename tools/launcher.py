"""Starts the stand-ins and entry processes of a deployment and ends them."""

import configparser
import ctypes
import dataclasses
import json
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
from typing import IO

import urllib3

from tools import deployments

START_TIMEOUT_S = 20.0
HEALTH_TIMEOUT_S = 20.0
HEALTH_PERIOD_S = 0.1
# An entry process lets its streams end before it exits.
END_TIMEOUT_S = 10.0
# Stand-ins outlive the planned end by this time if the launcher is killed.
STAND_IN_MARGIN_S = 30.0
ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


class LaunchError(Exception):
    """A process did not start or become healthy."""


@dataclasses.dataclass
class Child:
    """A process that the launcher started."""

    name: str
    process: subprocess.Popen
    url: str = ""

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid


@dataclasses.dataclass
class Entry:
    """An entry process and its settings."""

    child: Child
    data_centre: str
    peer_address: str


class Launcher:
    """Processes of one deployment."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        seconds: float,
        log: IO[str] | int,
    ):
        self.deployment = deployment
        self.entries: list[Entry] = []
        self.stand_ins: dict[str, Child] = {}
        self._seconds = seconds
        self._log = log
        self._folder = tempfile.TemporaryDirectory(prefix="sycamorehollow-")
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)

    def start(self, with_entries: bool = True) -> None:
        """Starts everything and returns when all entries are healthy.

        Raises:
            LaunchError: If a process does not come up.
        """
        self._start_stand_ins()
        self._seed_store()
        if with_entries:
            self._start_entries()

    def stop(self) -> None:
        """Ends all processes, the entry processes first."""
        entries = [entry.child for entry in self.entries]
        for group in (entries, list(self.stand_ins.values())):
            _end_all(group)
        self._folder.cleanup()

    def call(self, method: str, url: str, document: Any = None) -> Any:
        """Calls a stand-in and returns the JSON document.

        Raises:
            LaunchError: If the answer is not 2xx.
        """
        body = None if document is None else json.dumps(document).encode()
        response = self._http.request(method, url, body=body)
        if response.status // 100 != 2:
            text = response.data.decode(errors="replace")
            raise LaunchError(f"{method} {url}: {response.status} {text}")
        return json.loads(response.data)

    def describe(self) -> dict[str, Any]:
        """Returns what a user needs to know to send requests."""
        deployment = self.deployment
        store = self.stand_ins["store"]
        service = deployment.service
        operations = [
            {"name": service.operation, "idempotent": False},
            {"name": service.read, "idempotent": True},
        ]
        command = [sys.executable, "-m", "sycamorehollow.programs.ctl"]
        return {
            "entries": [
                {
                    "url": entry.child.url,
                    "data_centre": entry.data_centre,
                    "pid": entry.child.pid,
                }
                for entry in self.entries
            ],
            "workspaces": {
                workspace.name: {
                    "api_key": deployments.make_api_key(
                        deployment, workspace.name
                    ),
                    "models": deployments.list_models(deployment, workspace),
                }
                for workspace in deployment.workspaces
            },
            "services": [{"name": service.name, "operations": operations}],
            "store": {"url": store.url, "pid": store.pid},
            "upstreams": self.list_upstreams(),
            "operator": [*command, "--store", store.url],
            "platform": {
                name: {"url": child.url, "pid": child.pid}
                for name, child in self.stand_ins.items()
                if name in ("vms", "ratings", "weights")
            },
        }

    def list_upstreams(self) -> list[dict[str, Any]]:
        """Returns engines and service replicas."""
        places = {
            e.name: ("engine", e.data_centre) for e in self.deployment.engines
        }
        for name, data_centre in self.deployment.service.replicas:
            places[name] = ("service", data_centre)
        return [
            {
                "name": name,
                "url": self.stand_ins[name].url,
                "data_centre": data_centre,
                "kind": kind,
                "pid": self.stand_ins[name].pid,
            }
            for name, (kind, data_centre) in places.items()
        ]

    def _start_stand_ins(self) -> None:
        """Starts the stand-ins side by side."""
        deployment = self.deployment
        self._spawn_stand_in("store", "store", [])
        self._spawn_stand_in("vms", "vms", [])
        self._spawn_stand_in("weights", "weights", [])
        quality = [f"quality.{v.name}={v.quality}" for v in deployment.versions]
        self._spawn_stand_in("ratings", "ratings", quality)
        versions = ",".join(v.name for v in deployment.versions)
        for engine in deployment.engines:
            overrides = [
                f"engine.name={engine.name}",
                f"engine.versions={versions}",
                f"engine.tokens_per_s={engine.tokens_per_s}",
                f"memory.capacity_tokens={engine.capacity_tokens}",
                f"cold.bearable={engine.bearable}",
                f"orders.checks_fence={engine.checks_fence}",
            ]
            self._spawn_stand_in("engine", engine.name, overrides)
        service = deployment.service
        overrides = [
            f"service.name={service.name}",
            f"service.operations={service.operation}",
            f"service.reads={service.read}",
        ]
        # The first replica keeps the effects of all, so it must be up first.
        first, *others = [name for name, _ in service.replicas]
        self._spawn_stand_in("service", first, overrides)
        self._read_url(self.stand_ins[first])
        overrides.append(f"service.ledger={self.stand_ins[first].url}")
        for name in others:
            self._spawn_stand_in("service", name, overrides)
        for child in self.stand_ins.values():
            if not child.url:
                self._read_url(child)

    def _spawn_stand_in(
        self, module: str, name: str, overrides: list[str]
    ) -> None:
        limit = self._seconds + STAND_IN_MARGIN_S
        arguments = [f"sycamorehollow.standins.{module}"]
        arguments += ["--exit-after", str(limit)]
        for item in overrides:
            arguments += ["--set", item]
        self.stand_ins[name] = self._spawn(name, arguments)

    def _seed_store(self) -> None:
        """Writes the branches of the settings tree."""
        urls = {name: child.url for name, child in self.stand_ins.items()}
        store = self.stand_ins["store"].url
        branches = deployments.make_branches(self.deployment, urls)
        for key, document in branches.items():
            entry = {"value": document, "expect": 0, "lease": None}
            self.call("PUT", f"{store}/v1/kv/{key}", entry)

    def _start_entries(self) -> None:
        """Starts the entry processes and waits until they are healthy."""
        places = [
            (data_centre, slot)
            for data_centre in self.deployment.data_centres
            for slot in range(deployments.ENTRIES_PER_DATA_CENTRE)
        ]
        ports = _find_free_ports(2 * len(places))
        peers = [f"{LOOPBACK}:{port}" for port in ports[len(places) :]]
        vms = [
            {"address": peer, "data_centre": place[0], "state": "live"}
            for peer, place in zip(peers, places, strict=True)
        ]
        url = self.stand_ins["vms"].url
        self.call("PUT", f"{url}/v1/vms", {"vms": vms})
        key = f"demo:{secrets.token_hex(32)}"
        for index, (data_centre, slot) in enumerate(places):
            name = f"{data_centre}-entry-{slot}"
            process = {
                "name": name,
                "address": f"{LOOPBACK}:{ports[index]}",
                "peer_address": peers[index],
                "data_centre": data_centre,
                "region": self.deployment.region,
                "slot": str(slot),
                "slots": str(deployments.ENTRIES_PER_DATA_CENTRE),
            }
            path = self._write_settings(process, peers, key)
            arguments = ["sycamorehollow.programs.entry", "--settings"]
            child = self._spawn(name, [*arguments, str(path)])
            self.entries.append(Entry(child, data_centre, peers[index]))
        for entry in self.entries:
            self._read_url(entry.child)
        deadline = time.monotonic() + HEALTH_TIMEOUT_S
        for entry in self.entries:
            self._wait_healthy(entry.child, deadline)

    def _write_settings(
        self, process: dict[str, str], peers: list[str], key: str
    ) -> pathlib.Path:
        """Writes the INI file of an entry process."""
        parser = configparser.ConfigParser(interpolation=None)
        parser["process"] = process
        for name in ("store", "vms", "ratings"):
            parser[name] = {"url": self.stand_ins[name].url}
        parser["peers"] = {"seeds": ", ".join(peers)}
        parser["sessions"] = {"keys": key}
        parser["metrics"] = {"host": LOOPBACK, "port": "8125"}
        parser["logs"] = {"level": "INFO"}
        path = pathlib.Path(self._folder.name) / f"{process['name']}.ini"
        with path.open("w", encoding="utf-8") as file:
            parser.write(file)
        return path

    def _spawn(self, name: str, arguments: list[str]) -> Child:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=self._log,
            text=True,
            preexec_fn=_end_with_parent,
        )
        return Child(name, process)

    def _read_url(self, child: Child) -> None:
        """Reads the first line of a process and drains the rest."""
        lines: list[str] = []
        ready = threading.Event()

        def drain() -> None:
            for line in child.process.stdout or ():
                lines.append(line)
                del lines[1:]
                ready.set()
            ready.set()

        threading.Thread(target=drain, daemon=True).start()
        if not ready.wait(START_TIMEOUT_S) or not lines:
            raise LaunchError(f"{child.name} did not start")
        try:
            child.url = json.loads(lines[0])["url"]
        except (ValueError, KeyError) as error:
            raise LaunchError(f"{child.name} printed {lines[0]!r}") from error

    def _wait_healthy(self, child: Child, deadline: float) -> None:
        while time.monotonic() < deadline:
            try:
                self.call("GET", f"{child.url}/healthz")
                return
            except (LaunchError, ValueError, urllib3.exceptions.HTTPError):
                time.sleep(HEALTH_PERIOD_S)
        raise LaunchError(f"{child.name} did not become healthy")


def _end_with_parent() -> None:
    """Lets a child end if the launcher is killed."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def _find_free_ports(count: int) -> list[int]:
    """Returns ports that were free just now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((LOOPBACK, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def _end_all(children: list[Child]) -> None:
    """Ends processes by their ids and waits for them."""
    for child in children:
        if child.process.poll() is None:
            child.process.terminate()
    deadline = time.monotonic() + END_TIMEOUT_S
    for child in children:
        try:
            child.process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            child.process.kill()
            child.process.wait()
