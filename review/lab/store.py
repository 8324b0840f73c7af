"""Stand-in of the platform's metadata store."""

import base64
import bisect
import json
import threading
import time
import urllib.parse

from review.lab import web

# Items of one page, as in the site file; the pages allow about 500.
PAGE_ITEMS = 50
HISTORY_S = 20.0


class Store(web.Server):
    """Holds items, answers ranges and watches, and commits transactions.

    Attributes:
        stale_lag_s: How far behind the older of two copies is that serve
            reads with `allowStale` in turn; 0 if both are current.
        ranges: Time, key after which it began, staleness in seconds and
            number of items of each page that was read.
    """

    def __init__(self):
        self.stale_lag_s = 0.0
        self.ranges = []
        self._items = {}
        self._events = []
        self._revision = 1
        self._states = [(time.monotonic(), 1, {})]
        self._stale_reads = 0
        self._changed = threading.Condition()
        super().__init__()

    def put(self, key, document):
        """Writes a value, as the operator and replicas do."""
        with self._changed:
            self._write(key, json.dumps(document).encode())

    def remove(self, key):
        """Removes a key; returns when that was acknowledged."""
        with self._changed:
            self._remove(key)
        return time.monotonic()

    def _write(self, key, value):
        self._revision += 1
        before = self._items.get(key, {})
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "createdAt": before.get("createdAt", self._revision),
            "lease": 0,
        }
        self._items[key] = item
        self._finish(item)

    def _remove(self, key):
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._finish({"key": key, "revision": self._revision, "deleted": True})

    def _finish(self, event):
        now = time.monotonic()
        self._events.append(event)
        self._states.append((now, self._revision, dict(self._items)))
        while self._states[0][0] < now - HISTORY_S:
            del self._states[0]
        self._changed.notify_all()

    def handle(self, request, body):
        """Answers one call."""
        send(request, *self.answer(request.path, body))

    def answer(self, target, body):
        """Returns the status and document of the answer to a call."""
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, True))
        if parts.path == "/-/kv-range":
            status, document = self._range(query)
        elif parts.path == "/-/kv-watch":
            status, document = self._watch(query)
        elif parts.path == "/-/kv-txn":
            status, document = self._commit(json.loads(body))
        elif parts.path == "/-/kv-key":
            with self._changed:
                item = self._items.get(query["key"])
            status, document = (200, item) if item else (404, {})
        else:
            status, document = 404, {}
        return status, document

    def _range(self, query):
        after = query.get("after", "")
        with self._changed:
            lag_s = 0.0
            if query.get("allowStale") == "1":
                # Two copies serve such reads in turn.
                lag_s = self.stale_lag_s * (self._stale_reads % 2)
                self._stale_reads += 1
            _, at, items = self._find_state(time.monotonic() - lag_s)
            keys = sorted(
                key
                for key in items
                if key.startswith(query["pathPrefix"]) and key > after
            )
            page = [items[key] for key in keys[:PAGE_ITEMS]]
            self.ranges.append((time.monotonic(), after, lag_s, len(page)))
            return 200, {
                "items": page,
                "hasMore": len(keys) > PAGE_ITEMS,
                "at": at,
            }

    def _find_state(self, until):
        index = bisect.bisect_right([s[0] for s in self._states], until)
        return self._states[max(0, index - 1)]

    def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        with self._changed:
            while True:
                news = [
                    event
                    for event in self._events[-2000:]
                    if event["revision"] > after
                    and event["key"].startswith(query["pathPrefix"])
                ]
                left_s = end - time.monotonic()
                if news or left_s <= 0:
                    return 200, {"events": news, "at": self._revision}
                self._changed.wait(left_s)

    def _commit(self, document):
        with self._changed:
            for row in document["expectedRevision"]:
                item = self._items.get(row["key"])
                if row["revision"] != (item["revision"] if item else 0):
                    return 412, {"items": [item] if item else []}
            for entry in document["writes"]:
                self._write(entry["key"], base64.b64decode(entry["value"]))
            for key in document["remove"]:
                self._remove(key)
            return 200, {"revision": self._revision}


class View(web.Server):
    """The store as one machine sees it, with addresses of its own.

    Args:
        store: The store.
        replace: Returns the address to use instead of a replica's.
    """

    def __init__(self, store, replace):
        self._store = store
        self._replace = replace
        super().__init__()

    def handle(self, request, body):
        """Passes a call on and changes the addresses in its answer."""
        status, document = self._store.answer(request.path, body)
        for name in ("items", "events"):
            if name in document:
                document[name] = [self._change(e) for e in document[name]]
        send(request, status, document)

    def _change(self, entry):
        if not entry["key"].startswith("servers/") or "value" not in entry:
            return entry
        value = json.loads(base64.b64decode(entry["value"]))
        value["address"] = self._replace(value["address"])
        text = json.dumps(value).encode()
        return entry | {"value": base64.b64encode(text).decode()}


def send(request, status, document):
    """Sends the answer to a call."""
    headers = {"Content-Type": "application/json", "Store-Era": "1"}
    request.reply(status, headers, json.dumps(document).encode())


def build_route(name, kind, service, timeout_ms, **more):
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": "ficu95.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 1000,
        "priority": 1,
        "maxAttempts": 1 if kind == "unsafe" else 3,
        **more,
    }


def build_configuration(*routes, services=("booking-desk",), **limits):
    """Returns the first configuration."""
    return {
        "version": 7,
        "routes": list(routes),
        "services": [
            {"name": name, "healthCheckPath": "/health", "maxConnections": 290}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **limits,
        },
        "tenants": [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6w"]}],
    }
