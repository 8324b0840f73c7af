"""Stand-in for the platform's key-value store."""

import collections
import json
import threading
import time
from typing import Any

from sycamorehollow.standins import arguments
from sycamorehollow.standins import limits
from sycamorehollow.standins import server
from sycamorehollow.standins import settings as standin_settings

SWEEP_PERIOD_S = 0.05
# Latest changes that a restore can undo.
MAX_UNDONE = 10_000


class Tree:
    """Keys, revisions, leases and history; guarded by one condition."""

    def __init__(self, history: int):
        self.changed = threading.Condition()
        self.revision = 0
        self.era = 0
        # Time, key and previous item of each change.
        self._undo: collections.deque[tuple[float, str, Any]] = (
            collections.deque(maxlen=MAX_UNDONE)
        )
        self._items: dict[str, tuple[Any, int, int | None]] = {}
        self._events: collections.deque[dict] = collections.deque(
            maxlen=history
        )
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._wakes = 0

    def restore(self, age_s: float) -> server.Reply:
        """Goes back to an earlier state, without its leases.

        Args:
            age_s: Age of that state in seconds.
        """
        with self.changed:
            until = time.monotonic() - age_s
            while self._undo and self._undo[-1][0] > until:
                _, key, item = self._undo.pop()
                self.revision -= 1
                self._items.pop(key, None)
                if item is not None:
                    self._items[key] = item
            for key in [k for k, v in self._items.items() if v[2] is not None]:
                del self._items[key]
            self._leases.clear()
            self._events.clear()
            self.era += 1
            self._wakes += 1
            self.changed.notify_all()
            return server.Reply(
                200, {"revision": self.revision, "era": self.era}
            )

    def get(self, key: str) -> tuple[Any, int] | None:
        """Returns value and revision of a key."""
        with self.changed:
            item = self._items.get(key)
            return (item[0], item[1]) if item else None

    def read_range(self, prefix: str) -> tuple[list[dict], int]:
        """Returns the items below a prefix and the store's revision."""
        with self.changed:
            items = [
                {"key": key, "value": item[0], "revision": item[1]}
                for key, item in sorted(self._items.items())
                if key.startswith(prefix)
            ]
            return items, self.revision

    def put(
        self, key: str, value: Any, expect: int | None, lease: int | None
    ) -> server.Reply:
        """Writes a key if its revision is the expected one."""
        with self.changed:
            self._expire()
            conflict = self._find_conflict(key, expect)
            if conflict:
                return conflict
            if lease is not None and lease not in self._leases:
                return server.refuse(404, "lease_expired", "No such lease.")
            self._record("put", key, value)
            self._items[key] = (value, self.revision, lease)
            return server.Reply(
                200, {"revision": self.revision, "era": self.era}
            )

    def delete(self, key: str, expect: int | None) -> server.Reply:
        """Deletes a key if its revision is the expected one."""
        with self.changed:
            self._expire()
            conflict = self._find_conflict(key, expect)
            if conflict:
                return conflict
            if key in self._items:
                self._remove(key)
            return server.Reply(200, {"revision": self.revision})

    def wake_watches(self) -> None:
        """Ends every pending watch."""
        with self.changed:
            self._wakes += 1
            self.changed.notify_all()

    def watch(self, prefix: str, after: int, timeout_s: float) -> server.Reply:
        """Waits for events below a prefix that are newer than `after`."""
        deadline = time.monotonic() + timeout_s
        with self.changed:
            wakes = self._wakes
            while True:
                oldest = self._events[0]["revision"] if self._events else 0
                if after + 1 < oldest:
                    return server.refuse(
                        410,
                        "compacted",
                        "The history starts later; read the range again.",
                        revision=self.revision,
                    )
                events = self._find_events(prefix, after)
                left = deadline - time.monotonic()
                if events or left <= 0 or wakes != self._wakes:
                    return server.Reply(
                        200, {"events": events, "revision": self.revision}
                    )
                self.changed.wait(left)

    def _find_events(self, prefix: str, after: int) -> list[dict]:
        """Returns newer events; looks from the newest backwards."""
        found = []
        for event in reversed(self._events):
            if event["revision"] <= after:
                break
            if event["key"].startswith(prefix):
                found.append(event)
        found.reverse()
        return found

    def grant(self, ttl_s: float) -> int:
        """Grants a lease and returns its number."""
        with self.changed:
            self._last_lease += 1
            until = time.monotonic() + ttl_s
            self._leases[self._last_lease] = (until, ttl_s)
            return self._last_lease

    def renew(self, lease: int) -> bool:
        """Renews a lease that has not expired."""
        with self.changed:
            self._expire()
            if lease not in self._leases:
                return False
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return True

    def release(self, lease: int) -> bool:
        """Ends a lease and deletes its keys."""
        with self.changed:
            if self._leases.pop(lease, None) is None:
                return False
            self._remove_leased(lease)
            return True

    def expire(self) -> None:
        """Deletes the keys of expired leases."""
        with self.changed:
            self._expire()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (until, _) in list(self._leases.items()):
            if until <= now:
                del self._leases[lease]
                self._remove_leased(lease)

    def _remove_leased(self, lease: int) -> None:
        for key in [k for k, v in self._items.items() if v[2] == lease]:
            self._remove(key)

    def _remove(self, key: str) -> None:
        self._record("delete", key, None)
        del self._items[key]

    def _record(self, kind: str, key: str, value: Any) -> None:
        self.revision += 1
        self._undo.append((time.monotonic(), key, self._items.get(key)))
        self._events.append(
            {
                "type": kind,
                "key": key,
                "value": value,
                "revision": self.revision,
            }
        )
        self.changed.notify_all()

    def _find_conflict(
        self, key: str, expect: int | None
    ) -> server.Reply | None:
        value, revision, _ = self._items.get(key, (None, 0, None))
        if expect is None or expect == revision:
            return None
        return server.Reply(409, {"revision": revision, "value": value})


class Store(server.StandIn):
    """Key-value store with compare-and-swap, leases and watches."""

    def __init__(self, settings: standin_settings.StoreSettings):
        super().__init__(settings.server)
        self._settings = settings.store
        self.tree = Tree(settings.store.history)
        self._reads = limits.RateLimit(settings.store.reads_per_s)
        self._writes = limits.RateLimit(settings.store.writes_per_s)
        self._lock = threading.Lock()
        self._calls: collections.Counter[str] = collections.Counter()
        self._pending_watches = 0

    def start(self) -> None:
        """Listens and sweeps expired leases."""
        super().start()
        threading.Thread(target=self._sweep, daemon=True).start()

    def stop(self) -> None:
        """Stops listening; the contents stay for the next start."""
        self._stopped.set()
        self.tree.wake_watches()
        super().stop()

    def handle(self, request: server.Request) -> server.Answer:
        """Answers one call."""
        if request.path == "/v1/stats":
            return server.Reply(200, self._count_calls())
        if not self._admit(request):
            return server.Reply(
                429,
                server.refuse(429, "rate_limited", "Too many calls.").document,
                {"Retry-After": "1"},
            )
        if request.path == "/v1/restore":
            return self.tree.restore(request.read_number("age_s", 0.0))
        if request.path.startswith("/v1/kv/"):
            return self._handle_key(request, request.path[len("/v1/kv/") :])
        if request.path == "/v1/range":
            items, revision = self.tree.read_range(
                request.query.get("prefix", "")
            )
            return server.Reply(200, {"items": items, "revision": revision})
        if request.path == "/v1/watch":
            return self._handle_watch(request)
        if request.path.startswith("/v1/leases"):
            return self._handle_lease(request)
        return server.refuse(404, "not_found", "No such path.")

    def _admit(self, request: server.Request) -> bool:
        """Counts the call and applies the rate limit."""
        read = request.method == "GET"
        kind = "reads" if read else "writes"
        if request.path == "/v1/watch":
            kind = "watches"
        elif request.path.startswith("/v1/leases"):
            kind = "leases"
        limit = self._reads if read else self._writes
        with self._lock:
            self._calls["calls"] += 1
            self._calls[kind] += 1
            if limit.take(time.monotonic()):
                return True
            self._calls["rejected"] += 1
            return False

    def _count_calls(self) -> dict[str, int]:
        names = ("calls", "reads", "writes", "watches", "leases", "rejected")
        with self._lock:
            counts = {name: self._calls[name] for name in names}
            counts["pending_watches"] = self._pending_watches
        return {**counts, "revision": self.tree.revision}

    def _handle_key(self, request: server.Request, key: str) -> server.Reply:
        if request.method == "GET":
            item = self.tree.get(key)
            if item is None:
                return server.refuse(404, "absent", "No such key.")
            return server.Reply(
                200,
                {
                    "value": item[0],
                    "revision": item[1],
                    "era": self.tree.era,
                },
            )
        if request.method == "DELETE":
            expect = request.query.get("expect")
            number = _parse_expected(expect if expect != "" else None)
            return self.tree.delete(key, number)
        if request.method != "PUT":
            return server.refuse(400, "invalid_request", "Unknown method.")
        document = request.parse_json()
        if "value" not in document:
            raise server.BadRequestError("value is missing.")
        size = len(json.dumps(document["value"]).encode())
        if size > self._settings.max_value_bytes:
            return server.refuse(413, "too_large", "The value is too large.")
        return self.tree.put(
            key,
            document["value"],
            _parse_expected(document.get("expect")),
            _parse_expected(document.get("lease")),
        )

    def _handle_watch(self, request: server.Request) -> server.Reply:
        timeout_s = request.read_number("timeout", 30.0)
        after = int(request.read_number("after", 0))
        with self._lock:
            self._pending_watches += 1
        try:
            return self.tree.watch(
                request.query.get("prefix", ""),
                after,
                min(timeout_s, self._settings.max_watch_s),
            )
        finally:
            with self._lock:
                self._pending_watches -= 1

    def _handle_lease(self, request: server.Request) -> server.Reply:
        if request.method == "POST":
            ttl_s = float(request.parse_json().get("ttl_s", 10.0))
            return server.Reply(200, {"lease": self.tree.grant(ttl_s)})
        try:
            lease = int(request.path.rpartition("/")[2])
        except ValueError as error:
            raise server.BadRequestError("The lease is no number.") from error
        if request.method == "PUT":
            held = self.tree.renew(lease)
        else:
            held = self.tree.release(lease)
        if not held:
            return server.refuse(404, "lease_expired", "No such lease.")
        return server.Reply(200, {"lease": lease})

    def _sweep(self) -> None:
        while not self._stopped.wait(SWEEP_PERIOD_S):
            self.tree.expire()


def _parse_expected(value: Any) -> int | None:
    if value is None:
        return None
    try:
        return int(value)
    except (TypeError, ValueError) as error:
        raise server.BadRequestError(f"{value!r} is no number.") from error


def main(argv: list[str] | None = None) -> int:
    """Runs the store."""
    return arguments.run_program(
        "sycamore-fake-store", standin_settings.StoreSettings, Store, argv
    )


if __name__ == "__main__":
    raise SystemExit(main())
