"""Stand-in for a plain service with and without effects."""

import abc
import collections
import json
import threading
import time
import urllib.parse

import urllib3

from sycamorehollow.standins import arguments
from sycamorehollow.standins import server
from sycamorehollow.standins import settings as standin_settings

LEDGER_TIMEOUT_S = 5.0


class Ledger(abc.ABC):
    """Effects by operation and key, shared by the replicas of a service."""

    @abc.abstractmethod
    def record(self, operation: str, key: str, result: dict) -> None:
        """Records one effect; a second one for a key is counted."""

    @abc.abstractmethod
    def find(self, operation: str, key: str) -> dict | None:
        """Returns the result of the first effect of a key."""


class LocalLedger(Ledger):
    """Ledger in the memory of this process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()
        self._results: dict[tuple[str, str], dict] = {}

    def record(self, operation: str, key: str, result: dict) -> None:
        """Records one effect in memory."""
        with self._lock:
            self._counts[key] += 1
            self._results.setdefault((operation, key), result)

    def find(self, operation: str, key: str) -> dict | None:
        """Returns the result of the first effect from memory."""
        with self._lock:
            return self._results.get((operation, key))

    def count_effects(self) -> dict[str, int]:
        """Returns the number of effects by key."""
        with self._lock:
            return dict(self._counts)


class RemoteLedger(Ledger):
    """Ledger kept by another replica."""

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._http = urllib3.PoolManager(
            maxsize=32, retries=False, timeout=LEDGER_TIMEOUT_S
        )

    def record(self, operation: str, key: str, result: dict) -> None:
        """Records one effect at the other replica."""
        entry = {"operation": operation, "key": key, "result": result}
        self._http.request(
            "POST", f"{self._url}/ledger", body=json.dumps(entry).encode()
        )

    def find(self, operation: str, key: str) -> dict | None:
        """Asks the other replica."""
        quoted = urllib.parse.quote(key, safe="")
        response = self._http.request(
            "GET", f"{self._url}/operations/{operation}/{quoted}"
        )
        return json.loads(response.data).get("result")


class Service(server.StandIn):
    """Plain service; it does not notice repeated keys."""

    def __init__(self, settings: standin_settings.ServiceSettings):
        super().__init__(settings.server)
        self._settings = settings.service
        self._operations = _split(settings.service.operations)
        self._reads = _split(settings.service.reads)
        self._local = LocalLedger()
        self._ledger: Ledger = self._local
        if settings.service.ledger:
            self._ledger = RemoteLedger(settings.service.ledger)
        self._generation = time.time_ns()
        self._lock = threading.Lock()
        self._running = 0
        self._calls = 0
        self._work_s = settings.service.work_s

    def inject(self, fault: server.Fault) -> bool:
        """Applies `work_s`, the time that operations take from now on."""
        if fault.kind == "clear":
            self._work_s = self._settings.work_s
        if fault.kind != "work_s":
            return False
        self._work_s = float(fault.value)
        return True

    def handle(self, request: server.Request) -> server.Answer:
        """Answers one request."""
        parts = request.path.strip("/").split("/", 2)
        if request.path == "/effects":
            return server.Reply(200, {"effects": self._local.count_effects()})
        if request.path == "/ledger" and request.method == "POST":
            entry = request.parse_json()
            self._local.record(
                entry["operation"], entry["key"], entry["result"]
            )
            return server.Reply(200, {})
        if request.path == "/v1/load":
            return server.Reply(200, self._make_report())
        if request.path == "/stats":
            return server.Reply(200, {"calls": self._calls})
        if request.path == "/healthz":
            return server.Reply(200, {})
        if parts[0] != "operations" or len(parts) < 2:
            return server.refuse(404, "not_found", "No such path.")
        if request.method == "GET" and len(parts) == 3:
            return self._look_up(parts[1], parts[2])
        if request.method == "POST" and len(parts) == 2:
            return self._run(parts[1], request)
        return server.refuse(404, "not_found", "No such path.")

    def _look_up(self, operation: str, key: str) -> server.Reply:
        result = self._ledger.find(operation, key)
        if result is None:
            return server.Reply(200, {"state": "absent"})
        return server.Reply(200, {"state": "done", "result": result})

    def _run(self, operation: str, request: server.Request) -> server.Reply:
        if operation not in self._operations | self._reads:
            return server.refuse(404, "not_found", "No such operation.")
        key = request.headers.get("idempotency-key", "")
        if operation in self._operations and not key:
            return server.refuse(400, "key_missing", "The key is missing.")
        with self._lock:
            self._running += 1
            self._calls += 1
            number = self._calls
        try:
            self._stopped.wait(self._work_s)
            result = {
                "operation": operation,
                "key": key,
                "number": number,
                "echo": request.parse_json(),
            }
            if operation in self._operations:
                self._ledger.record(operation, key, result)
            return server.Reply(200, result)
        finally:
            with self._lock:
                self._running -= 1

    def _make_report(self) -> dict:
        return {
            "generation": self._generation,
            "cold": False,
            "bearable": 1,
            "held_tokens": 0,
            "capacity_tokens": 0,
            "running": self._running,
            "queued": 0,
            "versions": [],
            "role": "service",
        }


def _split(text: str) -> set[str]:
    return {name.strip() for name in text.split(",") if name.strip()}


def main(argv: list[str] | None = None) -> int:
    """Runs the service."""
    return arguments.run_program(
        "sycamore-fake-service",
        standin_settings.ServiceSettings,
        Service,
        argv,
    )


if __name__ == "__main__":
    raise SystemExit(main())
