"""A small deployment on loopback: platform stand-ins and gateway processes.

The gateway is started with the command of the deploy file. The store is the
project's own stand-in; replicas and consumers are small ones of this review.
"""

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from tests import platform_standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ZONES = ("levant-east-a", "levant-east-b", "levant-east-c")
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_LIMIT_S = 30.0
# Ports for the gateways, and how often another place is tried for one of them
# whose ports are taken between the look and its start.
PORTS = (10_000, 32_000)
START_ATTEMPTS = 3
_taken: set[int] = set()
# Bounds and limits of the users' sheet for a small deployment.
SETTINGS = {
    "machineClass": "front",
    "serves": "front",
    "region": "levant-east",
    "bootstrap": "true",
    "countsAsLoss": "false",
    "limits.cpuShare": "0.537",
    "limits.cores": "2",
    "limits.memoryMb": "300",
    "limits.maxFds": "4100",
    "limits.linkMbps": "1000.0",
    "limits.diskMb": "0",
    "discovery": "platform",
    "entry": "vip",
    "heartbeatMs": "1200",
    "faultTolerance.machines": "2",
    "faultTolerance.zones": "1",
    "faultTolerance.regions": "0",
    "bounds.seedLagS": "3",
    "bounds.addrReuseS": "2",
    "bounds.contactMs": "3000",
    "bounds.ackMs": "4000",
    "bounds.catchUpS": "4",
    "bounds.drainMs": "2000",
    "bounds.graceS": "8",
    "bounds.lossSlackMs": "200",
    "bounds.configApplyMs": "2000",
    "bounds.downgradeSlackMs": "250",
    "bounds.maxStretchMs": "5000",
    "bounds.strictRevocation": "false",
    "bounds.revokeMs": "5000",
    "bounds.retryBudgetRatio": "0.9",
    "bounds.budgetWindowS": "10",
    "bounds.budgetMinRetries": "58",
    "bounds.exposeShare": "0.15",
    "bounds.exposeSlack": "30",
    "bounds.rollbackMs": "5000",
    "bounds.coldOverage": "1.5",
    "bounds.coldSlack": "5",
    "bounds.evacuationMs": "5000",
    "bounds.recoveryS": "12",
    "bounds.passMs": "120",
    "bounds.reuseWindowS": "7.3",
    "bounds.sessionS": "5",
    "platform.form": "kv",
    "platform.writesPerS": "400",
    "platform.readsPerS": "2000",
    "platform.retentionS": "20",
    "platform.valueBytes": "1048576",
    "platform.minTtlMs": "1000",
}
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
VHOST = "ficu95.example"


def has_trouble():
    """Tells whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file.

    Args:
        path: The file.
    """

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text):
        """Writes a line with the time since the start."""
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            at = time.monotonic() - self._began
            file.write(f"{at:9.3f} {text}\n")


def build_configuration(version=1, limits=None, **routes):
    """Returns a configuration with one route of each kind.

    Args:
        version: Its version.
        limits: Changes of the limits.
        routes: Changes of the fields of a route, by its name.
    """
    common = {
        "host": VHOST,
        "maxAttempts": 1,
        "authExempt": False,
        "sessionAffinity": False,
        "streamResumption": False,
        "targetGapMs": 0,
    }
    lodge = common | {
        "name": "lodge",
        "pathPrefix": "/puxa403/",
        "kind": "unsafe",
        "timeoutMs": 1500,
        "targetLatencyMs": 200,
        "priority": 2,
        "service": "wuno96b",
    }
    lookup = lodge | {
        "name": "lookup",
        "pathPrefix": "/cufi504/",
        "kind": "safe",
        "maxAttempts": 2,
    }
    draft = common | {
        "name": "draft",
        "pathPrefix": "/lohu930/",
        "kind": "streaming",
        "timeoutMs": 15000,
        "targetLatencyMs": 2000,
        "priority": 1,
        "service": "huvo11a",
        "maxAttempts": 3,
        "sessionAffinity": True,
        "streamResumption": True,
        "targetGapMs": 1000,
    }
    listed = [lodge, lookup, draft]
    services = [
        {
            "name": name,
            "healthCheckPath": "/health",
            "maxConnections": 310,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 0.0,
            "coldPerS": 0.0,
        }
        for name in ("huvo11a", "wuno96b")
    ]
    return {
        "version": version,
        "routes": [r | routes.get(r["name"], {}) for r in listed],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **(limits or {}),
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def find_ports(count):
    """Returns the first of some free ports in a row.

    They lie below the range that outgoing connections use, and no two calls
    return the same ones.
    """
    while True:
        first = random.randrange(*PORTS, count)
        numbers = range(first, first + count)
        if _taken.intersection(numbers):
            continue
        try:
            with contextlib.ExitStack() as stack:
                for number in numbers:
                    stack.enter_context(socket.socket()).bind((HOST, number))
        except OSError:
            continue
        _taken.update(numbers)
        return first


class Node:
    """One gateway process on a machine of its own settings.

    Args:
        deployment: The deployment.
        number: Number of the machine.
        settings: Changes of its settings.
        stdout: Descriptor that takes its log; `None` for a file.
    """

    def __init__(self, deployment, number, settings=None, stdout=None):
        self._deployment = deployment
        self.number = number
        zone = ZONES[number % len(ZONES)]
        self.name = f"front-{zone}-{number // len(ZONES) + 1}"
        port = find_ports(20)
        self.front = (HOST, port)
        self.ready = (HOST, port + 1)
        self._metrics_port = port + 3
        self._path = pathlib.Path(deployment.folder) / f"{self.name}.conf"
        self._log = pathlib.Path(deployment.folder) / f"{self.name}.log"
        self._stdout = stdout
        values = {
            "nodeName": self.name,
            "role": "gateway",
            "ip": HOST,
            "zone": zone,
            **{f"zones.{name}": "levant-east" for name in ZONES},
            "listen.front": f"{HOST}:{port}",
            "listen.ready": f"{HOST}:{port + 1}",
            "internalPortRange": f"{port + 4},{port + 19}",
            "platform.address": deployment.store.address,
            **SETTINGS,
            **(settings or {}),
        }
        self._values = values
        self.change_settings({})
        self.process = None
        self.start()

    def change_settings(self, changes):
        """Writes the settings file, as the platform does on a change."""
        self._values |= changes
        lines = [f"{key}={value}\n" for key, value in self._values.items()]
        self._path.write_text("".join(lines), encoding="utf-8")

    def start(self):
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        words[words.index("--metrics-port") + 1] = str(self._metrics_port)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SYCAMOREHOLLOW_NODE_FILE"] = str(self._path)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log if self._stdout is None else self._stdout,
                stderr=log,
            )
        self._deployment.record.write(
            f"platform: start of {self.name} pid={self.process.pid}"
        )

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process.poll() is None

    def is_ready(self, limit_s=1.0):
        """Tells whether the process answers the platform's check with 200."""
        try:
            with socket.create_connection(self.ready, limit_s) as sock:
                sock.settimeout(limit_s)
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self):
        """Waits until the process is ready.

        Raises:
            CannotRunError: It is not in time.
        """
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end and self.is_running:
            if self.is_ready():
                self._deployment.record.write(f"platform: {self.name} is ready")
                return
            time.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.read_log()}")

    def send_signal(self, number):
        """Sends a signal to the process."""
        name = signal.Signals(number).name
        self._deployment.record.write(f"platform: {name} to {self.name}")
        self.process.send_signal(number)

    def measure_memory_mb(self):
        """Returns the resident memory of the process; 0 if it has ended."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def read_log(self):
        """Returns the end of its output."""
        return self._log.read_text(encoding="utf-8", errors="replace")[-2000:]

    def stop(self):
        """Kills the process."""
        if self.is_running:
            self.process.kill()
        self.process.wait(10)


class CannotRunError(Exception):
    """The case could not be run."""


class Deployment:
    """The store, the replicas and the gateway processes of one case.

    Args:
        record: Receives what happens.
    """

    def __init__(self, record):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.store = platform_standins.Store()
        self.replicas = []
        self.nodes = []

    def configure(self, configuration):
        """Writes a configuration as the operator does."""
        self.store.put("op/config", json.dumps(configuration))
        version = configuration["version"]
        self.record.write(f"operator: op/config {version} is acknowledged")

    def add_replicas(self, service, replicas, slots=6):
        """Registers replicas of a service, one in each zone in turn."""
        for number, replica in enumerate(replicas):
            self.replicas.append(replica)
            entry = {
                "service": service,
                "address": replica.address,
                "zone": ZONES[number % len(ZONES)],
                "version": "v1",
                "slots": slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": 1,
                "born": replica.born,
            }
            self.store.put(f"servers/{replica.identity}", json.dumps(entry))

    def start_nodes(self, count, settings=None, stdout=None):
        """Starts gateway processes and waits until they are ready."""
        for _ in range(count):
            number = len(self.nodes)
            self.nodes.append(Node(self, number, settings, stdout))
        for number, node in enumerate(self.nodes):
            self.nodes[number] = self._wait_for(node, settings, stdout)

    def _wait_for(self, node, settings, stdout):
        """Returns a node once it is ready, if need be at other ports.

        Raises:
            CannotRunError: It does not start anywhere.
        """
        for _ in range(START_ATTEMPTS - 1):
            try:
                node.wait_ready()
                return node
            except CannotRunError as error:
                self.record.write(f"platform: {error}")
                node.stop()
                node = Node(self, node.number, settings, stdout)
        node.wait_ready()
        return node

    def close(self):
        """Ends all that was started."""
        for node in self.nodes:
            node.stop()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        self._temporary.cleanup()


def run_case(folder, play):
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case, for its record.
        play: Plays the case on a deployment; returns what broke the rule.
    """
    # A case that is stopped still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = has_trouble()
    record.write(f"case: the disruption is {'played' if trouble else 'off'}")
    deployment = Deployment(record)
    try:
        breaks = play(deployment, trouble)
    except Exception as error:
        # A fault of the case itself says nothing about the rule.
        record.write(f"case: cannot run: {error!r}")
        print(f"the case cannot run: {error!r}")
        status = NOT_RUN
    else:
        for line in breaks:
            record.write(f"broken: {line}")
            print(f"broken: {line}")
        status = BROKEN if breaks else HELD
        print("the rule was broken" if breaks else "the rule held")
    finally:
        deployment.close()
    record.write(f"case: exit status {status}")
    sys.exit(status)
