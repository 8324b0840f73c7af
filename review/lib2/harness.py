"""A small deployment for the scripts of the review.

Gateways run as processes of their own, started by the command of the deploy
file. The store is the project's stand-in; replicas and clients are those of
this module. Everything listens on loopback addresses, one for each machine.
"""

import asyncio
import contextlib
import importlib
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
import types

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The package of the tests needs libraries that the deploy file does not build.
# Its stand-ins do not, so they are loaded without the package's own code.
_tests = types.ModuleType("tests")
_tests.__path__ = [str(ROOT / "tests")]
sys.modules.setdefault("tests", _tests)

platform_standins = importlib.import_module("tests.platform_standins")

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "desk.example"
KEY = "review-key"
TENANT = "review"
# Kinds of machines differ in this octet of their addresses.
_NET = random.randrange(60, 120)
_SUBNET = random.randrange(1, 250)


class CannotRunError(Exception):
    """Raised when a case cannot run here."""


def build_address(number):
    """Returns the loopback address of a machine."""
    return f"127.{_NET}.{_SUBNET}.{number}"


def find_ports(address, count):
    """Returns the first of consecutive free ports of an address."""
    for _ in range(200):
        first = random.randrange(16_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((address, port))
            except OSError:
                continue
        return first
    raise CannotRunError("no free ports")


class Record:
    """The file `record.txt` of a case.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, *words):
        """Writes a line with the seconds since the start."""
        now = time.monotonic() - self._began
        line = " ".join(str(word) for word in words)
        with self._lock:
            self._file.write(f"{now:8.3f} {line}\n")
            self._file.flush()


class Gateway:
    """One gateway process on a machine of its own.

    Args:
        folder: Folder for its files.
        number: Number of the machine.
        store: Address of the store.
        zone: Zone of the machine.
        changes: Changed fields of its settings file.
    """

    def __init__(self, folder, number, store, zone, changes):
        self.ip = build_address(number)
        self.name = f"front-{zone}-{number}"
        ports = find_ports(self.ip, 20)
        self.port = ports
        self.ready_port = ports + 1
        self.first_internal = ports + 3
        self._path = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        values = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": zone,
            "region": "kingston",
            "listen.front": f"{self.ip}:{self.port}",
            "listen.ready": f"{self.ip}:{self.ready_port}",
            "internalPortRange": f"{ports + 3},{ports + 18}",
            "bootstrap": "true",
            "limits.memoryMb": "150",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1200",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.9",
            "bounds.budgetWindowS": "10",
            "bounds.budgetMinRetries": "52",
            "bounds.exposeShare": "0.15",
            "bounds.exposeSlack": "30",
            "bounds.rollbackMs": "5000",
            "bounds.coldOverage": "1.5",
            "bounds.coldSlack": "5",
            "bounds.reuseWindowS": "7.6",
            "bounds.sessionS": "5",
            "platform.address": store,
            **changes,
        }
        self.memory_mb = float(values["limits.memoryMb"])
        self._path.write_text(
            "".join(f"{name}={value}\n" for name, value in values.items())
        )
        self._child = None
        self.start()

    def start(self):
        """Starts the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SYCAMOREHOLLOW_NODE_FILE"] = str(self._path)
        with self._log.open("a", encoding="utf-8") as log:
            self._child = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def pid(self):
        """Identifier of the process."""
        return self._child.pid

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._child.poll() is None

    def send_signal(self, number):
        """Sends a signal to the process."""
        self._child.send_signal(number)

    def wait(self):
        """Waits until the process has ended."""
        self._child.wait(10)

    def is_ready(self):
        """Asks the process whether it is ready, as the platform does."""
        try:
            with socket.create_connection(
                (self.ip, self.ready_port), 1.0
            ) as sock:
                sock.settimeout(1.0)
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(200).partition(b"\r\n")[0]
        except OSError:
            return False

    def read_memory_mb(self):
        """Returns the resident memory of the process; 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def read_log(self):
        """Returns the output of the process."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    def stop(self):
        """Ends the process, also if it is paused."""
        if self._child.poll() is None:
            self._child.send_signal(signal.SIGCONT)
            self._child.kill()
        self._child.wait(10)


class Deployment:
    """A store, replicas and gateways.

    Args:
        record: Receives what happens.
    """

    def __init__(self, record):
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.store = platform_standins.Store()
        self.gateways = []
        self.replicas = []

    def start_gateways(self, zones, **changes):
        """Starts one gateway in each of the zones named."""
        for zone in zones:
            number = 10 + len(self.gateways)
            self.gateways.append(
                Gateway(self.folder, number, self.store.address, zone, changes)
            )

    def wait_ready(self, limit_s=20.0):
        """Waits until all gateways are ready.

        Raises:
            CannotRunError: They are not ready in time.
        """
        end = time.monotonic() + limit_s
        for gateway in self.gateways:
            while not gateway.is_ready():
                if time.monotonic() > end or not gateway.is_running:
                    raise CannotRunError(
                        f"{gateway.name} is not ready: "
                        + gateway.read_log()[-2000:]
                    )
                time.sleep(0.05)

    def close(self):
        """Ends all processes and deletes their files."""
        for gateway in self.gateways:
            gateway.stop()
        self._folder.cleanup()


class Request:
    """A request as it reached a replica."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self):
        """The `Request-Id`; empty if it has none."""
        return self.headers.get("request-id", "")


async def read_message(reader):
    """Reads the head of a message and a body with a length.

    Returns:
        The first line, the headers by lower-case name and the body; `None` at
        the end of the connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    elif int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def encode(status, headers, body=b"", length=True):
    """Returns a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Replica:
    """A replica: it runs as many requests at once as it has slots.

    Attributes:
        runs: Time of each start of work, by `Request-Id`.
        run_count: Number of requests that it began to work on.
    """

    def __init__(self, deployment, name, service, zone, slots=6, queue=24):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = 0.02
        self.runs = {}
        self.run_count = 0
        self.seq = 0
        self.version = "v1"
        self.models = ()
        self.state = "ready"
        self.record = deployment.record
        self.store = deployment.store
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Condition()
        self._tasks = set()
        self._server = None
        self.address = ""
        self._born = int(time.time() * 1000)
        self._deployment = deployment
        deployment.replicas.append(self)

    async def start(self):
        """Starts to listen, and registers the replica."""
        ip = build_address(100 + self._deployment.replicas.index(self))
        self._server = await asyncio.start_server(
            self._serve, ip, 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        self.register()

    def register(self):
        """Writes the entry of the replica."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [{"name": n, "version": 1} for n in self.models],
            "seq": self.seq,
            "born": self._born,
        }
        self.store.put(f"servers/{self.name}", json.dumps(entry))

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, body)
                if not await self.handle(request, reader, writer):
                    break
        self._tasks.discard(task)
        writer.close()

    async def handle(self, request, reader, writer):
        """Responds to a request; returns whether to read another one."""
        wanted = request.headers.get("target-replica", self.name)
        if wanted != self.name:
            writer.write(encode(421, {"Replica-Id": self.name}))
            return True
        if request.target == "/health":
            return await self.answer_health(request, writer)
        if request.target == "/-/report":
            writer.write(self.build_report())
            return True
        return await self.run(request, reader, writer)

    def build_report(self):
        """Returns the answer to a question for the replica's state."""
        report = {
            "stage": "both",
            "models": [],
            "seq": self.seq,
            "waiting": self.waiting,
            "running": self.running,
            "born": self._born,
        }
        return encode(
            200,
            {"Content-Type": "application/json"},
            json.dumps(report).encode(),
        )

    async def answer_health(self, request, writer):
        """Answers a liveness check, which takes a slot like any request."""
        writer.write(encode(200, {"Replica-Id": self.name}))
        return True

    @property
    def is_full(self):
        """Whether neither a slot nor a place in the queue is free."""
        return self.running >= self.slots and self.waiting >= self.queue

    async def take_slot(self):
        """Waits for a slot; returns whether there was room to wait."""
        if self.is_full:
            return False
        self.waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        return True

    async def free_slot(self):
        """Returns a slot."""
        async with self._free:
            self.running -= 1
            self._free.notify()

    def record_run(self, request):
        """Records that the replica begins to work on a request."""
        self.run_count += 1
        self.runs.setdefault(request.id, []).append(time.monotonic())
        self.record.write("run", request.id, "at", self.name)

    async def run(self, request, reader, writer):
        """Runs a request; returns whether to read another one."""
        if not await self.take_slot():
            self.record.write("refused", request.id, "at", self.name)
            writer.write(self.build_refusal(request))
            return True
        try:
            if reader.at_eof():
                # Its caller has closed the channel while it waited.
                return False
            self.record_run(request)
            await asyncio.sleep(self.work_s)
        finally:
            await self.free_slot()
        writer.write(
            encode(200, self.build_headers(request), self.build_body(request))
        )
        await writer.drain()
        return True

    def build_refusal(self, request):
        """Returns the refusal of a replica that is full."""
        headers = {"Not-Executed": "1"}
        if request.id:
            headers["Request-Id"] = request.id
        return encode(503, headers)

    def build_headers(self, request):
        """Returns the headers of a success."""
        load = f"{self.running},{self.waiting},{self.slots}"
        return {
            "Request-Id": request.id,
            "Response-Seal": f"seal.{self.name}.{request.id}",
            "Replica-Load": load,
        }

    def build_body(self, request):
        """Returns the body of a success, which names its request."""
        return f"answer to {request.id} of {self.name}".encode()


class Answer:
    """What a client got for one attempt; status 0 for a closed channel."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def send(
    gateway,
    method,
    target,
    request_id,
    headers=(),
    body=b"",
    deadline_ms=1500,
    limit_s=10.0,
):
    """Sends one attempt on a new channel and returns its answer."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Request-Deadline: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        *headers,
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.port
            )
            try:
                writer.write(data)
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"")
    if message is None:
        return Answer(0, {}, b"")
    first, answer_headers, answer_body = message
    return Answer(int(first.split(" ")[1]), answer_headers, answer_body)


def build_route(name, prefix, kind, service, **changes):
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "authExempt": False,
        "sessionAffinity": False,
        "streamResumption": False,
        **changes,
    }


def build_configuration(routes, services, version=1, **limits):
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 96,
                "coldStartS": 0.0,
                "coldPerS": 0.0,
            }
            | fields
            for name, fields in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        | limits,
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def has_trouble():
    """Tells whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder, case):
    """Plays a case and exits with its result.

    Args:
        folder: Folder of the case.
        case: Coroutine function; takes a deployment and returns the result.
    """
    record = Record(folder)
    deployment = Deployment(record)
    result = NOT_RUN
    try:
        result = asyncio.run(case(deployment))
    except CannotRunError as error:
        record.write("cannot run:", error)
    finally:
        deployment.close()
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}
    record.write("result:", names[result])
    print(names[result])
    sys.exit(result)
