"""Stand-ins of the platform's store and upstreams, with its protocol."""

import base64
import collections
import contextlib
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse

from tests import floods

HOST = "127.0.0.1"
# Delay of a duplicate response: a connection is mostly reused within it.
DUPLICATE_DELAY_S = 0.03
# States of the store that are kept for a restore.
MAX_STATES = 2000
# Time for which an upstream is down after a crash, and the time from the head
# of a response to the crash.
DOWN_S = 2.0
CRASH_DELAY_S = 0.03


class Server:
    """An HTTP server with threads of this process.

    Args:
        port: Port to listen on; 0 for a free one.

    Attributes:
        address: Host and port that it listens on.
    """

    def __init__(self, port=0):
        outer = self
        self._open = set()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                """Disables the request log."""

            def _run(self):
                length = int(self.headers.get("Content-Length") or 0)
                outer.handle(self, outer.read_body(self, length))

            do_GET = do_POST = do_DELETE = _run  # noqa: N815

            def handle(self):
                outer._open.add(self.connection)
                try:
                    super().handle()
                except (OSError, ValueError):
                    return  # The connection was closed, or reset by `reset`.
                finally:
                    outer._open.discard(self.connection)

        self._handler = Handler
        self._listen(port)

    def _listen(self, port):
        self._server = http.server.ThreadingHTTPServer(
            (HOST, port), self._handler
        )
        self._server.daemon_threads = True
        self.address = "%s:%d" % self._server.server_address
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def stop(self):
        """Stops the server."""
        self._server.shutdown()
        self._server.server_close()

    def _stop_at_once(self, listener_outlives_s=0.0):
        """Stops listening and closes all connections.

        Args:
            listener_outlives_s: Time for which it still accepts connections
                after the open ones are closed; 0 to stop listening first.
        """
        if not listener_outlives_s:
            self.stop()
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        if listener_outlives_s:
            time.sleep(listener_outlives_s)
            self.stop()

    def read_body(self, handler, length):
        """Returns the body of a request, or the part to read at first."""
        return handler.rfile.read(length)

    def handle(self, handler, body):
        """Responds to one request."""
        raise NotImplementedError


def send(handler, status, headers, body):
    """Writes a complete response."""
    handler.send_response(status)
    for name, value in headers.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


def send_half(handler, headers):
    """Writes half of a large response and resets the connection."""
    handler.send_response(200)
    for name, value in headers.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", "400000")
    handler.end_headers()
    handler.wfile.write(b"x" * 200_000)
    time.sleep(0.2)
    reset(handler)


def reset(handler):
    """Resets the connection of a request."""
    linger = struct.pack("ii", 1, 0)
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    handler.connection.close()
    handler.close_connection = True
    handler.rfile.close()
    handler.wfile.close()


class Store(Server):
    """The platform's store, with conditional writes, watches and paging.

    Attributes:
        refuse: Status with which every call is rejected; 0 for none.
        calls: Paths of the received calls.
        era: Number of restores, which all responses state; `None` to leave
            the header out.
        rewrite: Returns the value to store for a key and value of a node.
        page_lags_s: Ages of the copies that serve the pages of lists that may
            be stale, in turns from the first page on.
    """

    def __init__(self, port=0):
        self.refuse = 0
        self.calls = []
        self.era = 1
        self.page_lags_s = (0.0,)
        self._stale_reads = 0
        self.rewrite = self._replace_addresses
        self._replaced = {}
        self._items = {}
        # Time, revision and items after each change.
        self._states = collections.deque(maxlen=MAX_STATES)
        self._events = []
        self._revision = 1
        self._compacted_revision = 0
        # Time at which each lease ends, and its lifetime in seconds.
        self._leases = {}
        self._last_lease = 0
        self._changed = threading.Condition()
        super().__init__(port)
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def _expire_leases(self):
        """Ends leases that are not renewed."""
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            with self._changed:
                ended = [n for n, (at, _) in self._leases.items() if at <= now]
                for lease in ended:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self._leases[lease]
        keys = [k for k, i in self._items.items() if i["lease"] == lease]
        for key in keys:
            self._remove(key)

    def _call_lease(self, path, document):
        """Grants, renews or ends a lease."""
        name, _, number = path.removeprefix("/-/").partition("/")
        with self._changed:
            if name == "kv-lease":
                self._last_lease += 1
                lease = self._last_lease
                ttl_s = max(1.0, document["ttlMs"] / 1000)
            else:
                lease = int(number)
                if lease not in self._leases:
                    return 404, {}
                _, ttl_s = self._leases[lease]
            if name == "kv-lease-end":
                self._end_lease(lease)
                return 200, {}
            self._leases[lease] = time.monotonic() + ttl_s, ttl_s
            return 200, {"lease": lease, "ttlMs": int(ttl_s * 1000)}

    def put(self, key, value):
        """Writes a value, as operators and upstreams do."""
        with self._changed:
            self._write(key, value)

    def remove(self, key):
        """Removes a key."""
        with self._changed:
            self._remove(key)

    def read(self, key):
        """Returns a value as text; `None` if there is none."""
        with self._changed:
            item = self._items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    def compact(self):
        """Discards the history of changes."""
        with self._changed:
            self._compacted_revision = self._revision
            self._events.clear()

    def age(self, seconds):
        """Makes all states so far older, as if time had passed."""
        with self._changed:
            states = [(at - seconds, *rest) for at, *rest in self._states]
            self._states.clear()
            self._states.extend(states)

    def restore(self, age_s=None, changes=None):
        """Goes back to an earlier state, which begins another era.

        Args:
            age_s: Age of that state in seconds.
            changes: Number of changes that are lost; instead of the age.
        """
        with self._changed:
            states = list(self._states)
            if changes is None:
                until = time.monotonic() - age_s
                older = [state for state in states if state[0] <= until]
            else:
                older = states[: len(states) - changes]
            _, self._revision, items = (older or [(0.0, 1, {})])[-1]
            self._items = dict(items)
            # Leases of the copy begin again.
            for lease in {item["lease"] for item in items.values()} - {0}:
                _, ttl_s = self._leases.get(lease, (0.0, 1.0))
                self._leases[lease] = time.monotonic() + ttl_s, ttl_s
            self._states.clear()
            self._states.append((time.monotonic(), self._revision, items))
            self._events.clear()
            self._compacted_revision = self._revision
            self.era += 1
            self._changed.notify_all()

    def _replace_addresses(self, key, value):
        """Replaces addresses of nodes by those of proxies before them."""
        if key.startswith("nodes/"):
            for address, proxy in self._replaced.items():
                value = value.replace(f'"{address}"', f'"{proxy}"')
        return value

    def _keep_state(self):
        self._states.append(
            (time.monotonic(), self._revision, dict(self._items))
        )

    def _write(self, key, value, lease=0):
        self._revision += 1
        if isinstance(value, str):
            value = value.encode()
        made = self._items.get(key, {}).get("createdAt", self._revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "createdAt": made,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)
        self._keep_state()
        self._changed.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._events.append(
            {"key": key, "revision": self._revision, "deleted": True}
        )
        self._keep_state()
        self._changed.notify_all()

    def handle(self, handler, body):
        """Responds to one call."""
        status, response = self.answer(handler, body)
        headers = {"Content-Type": "application/json"}
        if self.era is not None:
            headers["Store-Era"] = str(self.era)
        send(handler, status, headers, json.dumps(response).encode())

    def answer(self, handler, body):
        """Returns the status and the document of the response to a call."""
        parts = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(parts.query, True))
        self.calls.append(parts.path)
        if self.refuse:
            status, response = self.refuse, {}
        elif parts.path == "/-/kv-range":
            status, response = self._range(query)
        elif parts.path == "/-/kv-watch":
            status, response = self._watch(query)
        elif parts.path == "/test/restore":
            self.restore(float(query["age_s"]))
            status, response = 200, {}
        elif parts.path == "/test/rewrite":
            self._replaced[query["from"]] = query["to"]
            status, response = 200, {}
        elif parts.path == "/test/lags":
            lags = query["lags_s"].split(",")
            self.page_lags_s = tuple(float(lag_s) for lag_s in lags)
            status, response = 200, {}
        elif parts.path == "/test/compact":
            self.compact()
            status, response = 200, {}
        elif parts.path == "/-/kv-txn":
            status, response = self._change(json.loads(body))
        elif parts.path.startswith(("/-/kv-lease", "/-/kv-keep/")):
            status, response = self._call_lease(
                parts.path, json.loads(body or b"{}")
            )
        elif parts.path == "/-/kv-key":
            with self._changed:
                item = self._items.get(query["key"])
            status, response = (200, item) if item else (404, {})
        else:
            status, response = 404, {}
        return status, response

    def _range(self, query):
        with self._changed:
            revision, items = self._revision, self._items
            if query.get("allowStale") == "1":
                revision, items = self._read_copy("after" not in query)
            keys = sorted(
                key
                for key in items
                if key.startswith(query["pathPrefix"])
                and key > query.get("after", "")
            )
            # Short pages, so that clients have to request further ones.
            page = [items[key] for key in keys[:5]]
            more = len(keys) > 5
            return 200, {"items": page, "hasMore": more, "at": revision}

    def _read_copy(self, is_first):
        """Returns the revision and the items of the copy whose turn it is."""
        if is_first:
            self._stale_reads = 0
        lag_s = self.page_lags_s[self._stale_reads % len(self.page_lags_s)]
        self._stale_reads += 1
        until = time.monotonic() - lag_s
        older = [state for state in self._states if state[0] <= until]
        if not lag_s or not older:
            return self._revision, self._items
        _, revision, items = older[-1]
        return revision, items

    def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        with self._changed:
            while True:
                if not self._compacted_revision <= after <= self._revision:
                    return 410, {}
                news = [
                    event
                    for event in self._events
                    if event["revision"] > after
                    and event["key"].startswith(query["pathPrefix"])
                ]
                left_s = end - time.monotonic()
                if news or left_s <= 0 or self.refuse:
                    return 200, {"events": news, "at": self._revision}
                self._changed.wait(min(left_s, 0.2))

    def _change(self, document):
        with self._changed:
            for row in document["expectedRevision"]:
                item = self._items.get(row["key"])
                if row["revision"] != (item["revision"] if item else 0):
                    return 412, {"items": [item] if item else []}
            leases = {entry.get("lease", 0) for entry in document["writes"]}
            if leases - {0} - self._leases.keys():
                return 404, {}
            for entry in document["writes"]:
                value = base64.b64decode(entry["value"]).decode()
                value = self.rewrite(entry["key"], value)
                self._write(entry["key"], value, entry.get("lease", 0))
            for key in document["remove"]:
                self._remove(key)
            return 200, {"revision": self._revision}


class StoreProxy(Server):
    """A proxy in front of a store that can reject its own clients.

    Attributes:
        refuse: Status with which every call is rejected; 0 for none.
    """

    def __init__(self, store):
        self.refuse = 0
        self._store = store
        super().__init__()

    def handle(self, handler, body):
        """Forwards one call to the store."""
        if self.refuse:
            send(handler, self.refuse, {}, b"{}")
            return
        self._store.handle(handler, body)


class StoreView(Server):
    """A store as one node sees it, with other addresses of the upstreams.

    Args:
        store: The store.
        replace: Returns the address to use instead of an upstream's.
    """

    def __init__(self, store, replace):
        self._store = store
        self._replace = replace
        super().__init__()

    def handle(self, handler, body):
        """Passes one call on and changes the addresses in its response."""
        status, response = self._store.answer(handler, body)
        response = self.change(response)
        headers = {"Store-Era": str(self._store.era)}
        send(handler, status, headers, json.dumps(response).encode())

    def change(self, response):
        """Returns the document of a response with other addresses."""
        entries = [
            *response.get("items", ()),
            *response.get("events", ()),
        ]
        changed = [self._change(entry) for entry in entries]
        for name in ("items", "events"):
            if name in response:
                response = response | {name: changed}
        return response

    def _change(self, entry):
        if not entry["key"].startswith("servers/") or "value" not in entry:
            return entry
        document = json.loads(base64.b64decode(entry["value"]))
        document["address"] = self._replace(document["address"])
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return entry | {"value": value}


class Upstream(Server):
    """A model engine or a plain service.

    Attributes:
        mode: How requests are handled: `serve`, `refuse`, `fail`, `reset`,
            `hang`, `unsealed`, `extra`, `copy` (a late duplicate of the
            response), `cut` (within the third event), `half` (half of a large
            body), `empty` (a stream without an event), or a kind of endless
            response.
        limit: Value of the `Server-Limit` header; empty for none.
        load: Value of the `Replica-Load` header; empty for none.
        leaving: Whether all responses carry `Server-Leaving`.
        retry_after: Value of the `Retry-After` header of a refusal.
        arrivals: Monotonic times at which requests arrived.
        confidences: Confidence of responses by model.
        events: Number of events of a stream.
        pause_s: Seconds between events.
        first_gap_s: Seconds before the second event.
        run_requests: Method, path, headers and body of the requests that it
            has started to run.
        aborted_streams: Number of streams that the caller has aborted.
        status_requests: Number of requests for its own state.
        deadly_parts: Prompt parts on which it crashes at the first event of a
            response; it is back after `DOWN_S`. The last part is ignored.
        deadly_arrivals: Times at which requests with such a part arrived.
        crashes: Times of its crashes.
        closing: Whether responses have neither a length nor chunks and end
            with their connection.
        crash_offsets: Offsets in the bodies of the next responses, of which
            each response takes one, after which it crashes.
        down_s: Time for which it is down after a crash.
        listener_outlives_s: Time for which it accepts connections after a
            crash has closed the open ones.
        plain_body: Body of plain responses; `None` for an echo.
        plain_status: Status of plain responses.
        plain_pause_s: Seconds in the middle of plain responses that end with
            their connection.
        line_end: Line end of events.
        status_mode: How it responds to requests for its own state: `serve`,
            `hang`, `refuse`, or `reset`.
        flood_bytes: Bytes sent of the last endless response that was closed.
    """

    # Values with which it starts to listen.
    first_events = 4
    first_pause_s = 0.0
    first_deadly_parts = ()

    def __init__(self, identity, port=0):
        self.identity = identity
        self.mode = "serve"
        self.limit = ""
        self.load = ""
        self.leaving = False
        self.retry_after = ""
        self.arrivals = []
        self.confidences = {}
        self.events = self.first_events
        self.pause_s = self.first_pause_s
        self.first_gap_s = 0.0
        self.run_requests = []
        self.aborted_streams = 0
        self.status_requests = 0
        self.deadly_parts = set(self.first_deadly_parts)
        self.deadly_arrivals = []
        self.crashes = []
        self.closing = False
        self.crash_offsets = collections.deque()
        self.down_s = DOWN_S
        self.listener_outlives_s = 0.0
        self.plain_body = None
        self.plain_status = 200
        self.plain_pause_s = 0.0
        self.line_end = b"\n"
        self.status_mode = "serve"
        self.flood_bytes = 0
        self._born = int(time.time() * 1000)
        self._is_down = False
        self._entry = ()
        self._crash_lock = threading.Lock()
        super().__init__(port)

    def register(self, store, service, **changes):
        """Writes the upstream's entry."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": "dc-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": self._born,
            **changes,
        }
        store.put(f"servers/{self.identity}", json.dumps(entry))
        self._entry = store, service, changes

    def crash(self):
        """Ends the server, which is back later under the same identity."""
        with self._crash_lock:
            if self.crashes:
                if time.monotonic() - self.crashes[-1] < self.down_s:
                    return
            self.crashes.append(time.monotonic())
            self._is_down = True
            self._stop_at_once(self.listener_outlives_s)
        threading.Timer(self.down_s, self._start_again).start()

    def _start_again(self):
        self._born = int(time.time() * 1000)
        self._is_down = False
        self._listen(int(self.address.rpartition(":")[2]))
        store, service, changes = self._entry
        self.register(store, service, **changes)

    def _respond_with_status(self, handler):
        """Responds to a request for the upstream's own state."""
        if self.status_mode == "hang":
            time.sleep(30)
        if self.status_mode == "reset":
            reset(handler)
            return
        if self.status_mode == "refuse":
            send(handler, 503, {"Not-Executed": "1"}, b"")
            return
        report = {"stage": "both", "models": [], "seq": 1, "born": self._born}
        headers = {"Replica-Id": self.identity}
        send(handler, 200, headers, json.dumps(report).encode())

    def is_deadly(self, headers):
        """Returns whether a request has a part on which it crashes."""
        parts = headers.get("Prompt-Prefix", "").split(",")[:-1]
        return any(p.partition(":")[0] in self.deadly_parts for p in parts)

    def handle(self, handler, body):
        """Responds to one request."""
        if self._is_down:
            # The kernel accepts connections that no process serves.
            time.sleep(self.listener_outlives_s)
            reset(handler)
            return
        headers = dict(handler.headers.items())
        wanted = headers.get("Target-Replica", self.identity)
        if wanted != self.identity:
            send(handler, 421, {"Replica-Id": self.identity}, b"")
            return
        if handler.path in ("/-/report", "/health"):
            self.status_requests += 1
            self._respond_with_status(handler)
            return
        self.arrivals.append(time.monotonic())
        needs = {"Server-Limit": self.limit} if self.limit else {}
        if self.load:
            needs["Replica-Load"] = self.load
        if self.leaving:
            needs["Server-Leaving"] = "1"
        if self.mode == "refuse":
            if self.retry_after:
                needs["Retry-After"] = self.retry_after
            send(handler, 503, {"Not-Executed": "1", **needs}, b"")
            return
        if self.mode in floods.RESPONSES_BY_KIND:
            self.record_run(handler, headers, body)
            self.flood_bytes = floods.send_without_end(
                handler, self.mode, headers["Request-Id"]
            )
            return
        self.record_run(handler, headers, body)
        response_headers = {
            "Request-Id": headers["Request-Id"],
            "Response-Seal": f"seal-of-{self.identity}",
            **needs,
        }
        self._respond(handler, headers, response_headers, body)

    def _respond(self, handler, headers, response_headers, body):
        """Responds to a request that the upstream has started to run."""
        if self.mode == "reset":
            reset(handler)
        elif self.mode == "hang":
            time.sleep(30)
        elif self.mode == "fail":
            send(handler, 500, response_headers, b"failed")
        elif self.mode == "half":
            send_half(handler, response_headers)
        elif self.mode == "unsealed":
            send(handler, 200, {"Request-Id": headers["Request-Id"]}, b"no")
        elif headers.get("Accept") == "text/event-stream":
            self._stream(handler, headers, response_headers)
        else:
            body = (
                b"echo " + body if self.plain_body is None else self.plain_body
            )
            self._send_plain(handler, response_headers, body)

    def _send_plain(self, handler, response_headers, body):
        """Sends a response and what the mode adds to it."""
        if self.closing:
            handler.send_response(self.plain_status)
            for name, value in response_headers.items():
                handler.send_header(name, value)
            handler.send_header("Connection", "close")
            handler.end_headers()
            middle = len(body) // 2 if self.plain_pause_s else len(body)
            offset = self._take_crash_offset()
            offset = self._write_body(handler, body[:middle], offset)
            time.sleep(self.plain_pause_s)
            self._write_body(handler, body[middle:], offset)
            return
        send(handler, self.plain_status, response_headers, body)
        if self.mode == "copy":
            time.sleep(DUPLICATE_DELAY_S)
            send(handler, 200, response_headers, body)
        if self.mode == "extra":
            handler.wfile.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                b"Response-Seal: x\r\nContent-Length: 5\r\n\r\nwrong"
            )

    def record_run(self, handler, headers, body):
        """Records a request that the upstream has started to run."""
        if self.is_deadly(headers):
            self.deadly_arrivals.append(time.monotonic())
        self.run_requests.append((handler.command, handler.path, headers, body))

    def get_confidence(self, headers):
        """Returns the confidence of a response, or `None`."""
        return self.confidences.get(headers.get("Model", ""))

    def build_event(self, number, headers):
        """Returns one event of a stream."""
        model = headers.get("Model", "").encode()
        event = b"id: %d\ndata: %s\n\n" % (number, model)
        return event.replace(b"\n", self.line_end)

    def _take_crash_offset(self):
        """Returns after how many bytes a response crashes, or `None`."""
        try:
            return self.crash_offsets.popleft()
        except IndexError:
            return None

    def _write_body(self, handler, data, crash_offset):
        """Writes a part of a body; returns the offset that is left.

        Raises:
            ConnectionAbortedError: The upstream has crashed.
        """
        if crash_offset is not None and crash_offset <= len(data):
            handler.wfile.write(data[:crash_offset])
            handler.wfile.flush()
            self.crash()
            raise ConnectionAbortedError("crashed")
        handler.wfile.write(data)
        handler.wfile.flush()
        return None if crash_offset is None else crash_offset - len(data)

    def _frame(self, data):
        """Returns a part of a stream as it is written."""
        if self.closing:
            return data
        return b"%x\r\n%s\r\n" % (len(data), data)

    def _stream(self, handler, headers, response_headers):
        handler.send_response(200)
        for name, value in response_headers.items():
            handler.send_header(name, value)
        confidence = self.get_confidence(headers)
        if confidence is not None:
            handler.send_header("Hint-Confidence", str(confidence))
        handler.send_header("Content-Type", "text/event-stream")
        if self.closing:
            handler.send_header("Connection", "close")
        else:
            handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        if self.is_deadly(headers):
            time.sleep(CRASH_DELAY_S)
            self.crash()
            return
        if self.mode == "empty":
            return
        first = int(headers.get("Last-Event-Id") or 0) + 1
        crash_offset = self._take_crash_offset()
        try:
            for number in range(first, self.events + 1):
                event = self.build_event(number, headers)
                if self.mode == "cut" and number == 3:
                    if self.closing:
                        handler.wfile.write(event[:7])
                        return
                    handler.wfile.write(b"%x\r\n%s" % (len(event), event[:7]))
                    handler.wfile.flush()
                    reset(handler)
                    return
                if number == 2:
                    time.sleep(self.first_gap_s)
                crash_offset = self._write_body(
                    handler, self._frame(event), crash_offset
                )
                time.sleep(self.pause_s)
            if not self.closing:
                handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.aborted_streams += 1
            raise


def build_configuration(version=1, keys=("key-1",), **routes):
    """Returns a configuration with a streaming and two plain routes."""
    common = {
        "host": "models.example",
        "timeoutMs": 4000,
        "targetLatencyMs": 1000,
        "priority": 0,
        "maxAttempts": 3,
    }
    draft = {
        **common,
        "name": "r-draft",
        "pathPrefix": "/draft/",
        "kind": "streaming",
        "service": "llm",
        "streamResumption": True,
        "targetGapMs": 500,
        "sizes": ["small", "large"],
    }
    status = {
        **common,
        "name": "r-status",
        "pathPrefix": "/status/",
        "kind": "safe",
        "service": "desk",
    }
    lodge = {
        **common,
        "name": "r-lodge",
        "pathPrefix": "/lodge/",
        "kind": "unsafe",
        "service": "desk",
        "maxAttempts": 1,
    }
    services = [
        {"name": name, "healthCheckPath": "/health", "maxConnections": 100}
        for name in ("llm", "desk")
    ]
    return {
        "version": version,
        "routes": [draft, status, lodge, *routes.get("extra", ())],
        "services": services,
        "limits": {"maxBodyBytes": 100_000, "idleTimeoutMs": 5000},
        "tenants": [{"name": "maps", "apiKeys": list(keys)}],
    }
