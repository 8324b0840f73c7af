"""Starts the project's gateway with the command of the deploy file."""

import contextlib
import http.client
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = (15_000, 30_000)
START_LIMIT_S = 20.0
# Fields of a front machine of `bluemahoe-dispatch`.
MACHINE = {
    "role": "gateway",
    "machineClass": "front",
    "serves": "front",
    "region": "kingston",
    "bootstrap": "true",
    "limits.cpuShare": "0.537",
    "limits.cores": "2",
    "limits.memoryMb": "150",
    "limits.maxFds": "4100",
    "limits.linkMbps": "1000.0",
    "discovery": "platform",
    "entry": "vip",
    "heartbeatMs": "1200",
    "bounds.contactMs": "3000",
    "bounds.drainMs": "2000",
    "bounds.graceS": "8",
    "bounds.lossSlackMs": "200",
    "bounds.configApplyMs": "2000",
    "bounds.retryBudgetRatio": "0.9",
    "bounds.budgetWindowS": "10",
    "bounds.budgetMinRetries": "52",
    "bounds.exposeShare": "0.15",
    "bounds.coldOverage": "1.5",
    "bounds.coldSlack": "5",
    "bounds.reuseWindowS": "7.6",
    "platform.form": "kv",
}


def find_ports(host, count):
    """Returns the first of some consecutive free ports."""
    while True:
        first = random.randrange(*PORTS)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port))
            except OSError:
                continue
            return first


class Gateway:
    """One machine with its gateway process.

    Each has a loopback address of its own, as the deploy file fixes a port.

    Attributes:
        host: Its address.
        front: Host and port for consumers.
        started_at: When its process was last started.
        ends: Times at which its process was found to have ended.
    """

    def __init__(self, folder, number, zone, store_address):
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = f"127.0.77.{10 + number}"
        first = find_ports(self.host, 8)
        self.front = (self.host, first)
        self.ready = (self.host, first + 1)
        self.started_at = float("inf")
        self.ends = []
        self._path = pathlib.Path(folder) / f"{self.name}.conf"
        self._log = pathlib.Path(folder) / f"{self.name}.log"
        values = MACHINE | {
            "nodeName": self.name,
            "ip": self.host,
            "zone": zone,
            "listen.front": f"{self.host}:{first}",
            "listen.ready": f"{self.host}:{first + 1}",
            "internalPortRange": f"{first + 2},{first + 7}",
            "platform.address": store_address,
        }
        lines = [f"{key}={value}\n" for key, value in values.items()]
        self._path.write_text("".join(lines), encoding="utf-8")
        self._child = None

    def start(self):
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SYCAMOREHOLLOW_NODE_FILE"] = str(self._path)
        self.started_at = time.monotonic()
        with self._log.open("a", encoding="utf-8") as log:
            self._child = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def wait_ready(self):
        """Waits until the process says that it is ready.

        Raises:
            RuntimeError: It does not become ready.
        """
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection(*self.ready, timeout=1)
                connection.request("GET", "/-/ready")
                status = connection.getresponse().status
                connection.close()
                if status == 200:
                    return
            time.sleep(0.05)
        raise RuntimeError(f"not ready: {self.read_log()[-2000:]}")

    @property
    def is_running(self):
        """Whether its process has not ended."""
        return self._child is not None and self._child.poll() is None

    def measure_memory_mb(self):
        """Returns the resident memory of the process; 0 if it has ended."""
        path = pathlib.Path(f"/proc/{self._child.pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def send_signal(self, number):
        """Sends a signal to the process."""
        self._child.send_signal(number)

    def read_log(self):
        """Returns what the process has written."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    def stop(self):
        """Ends the process, even if it is paused."""
        if self._child is None:
            return
        if self._child.poll() is None:
            self._child.send_signal(signal.SIGCONT)
            self._child.kill()
        self._child.wait(10)
