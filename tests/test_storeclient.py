"""Tests of the HTTP client of the store."""

import json
import socket
import threading
import time
import unittest

from sycamorehollow.shells import storeclient
from sycamorehollow.shells import stores


def reply(status, document, headers=""):
    """Returns the bytes of an HTTP response."""
    body = json.dumps(document).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}"
    return head.encode() + b"\r\n" + body


class ScriptedServer:
    """Server that sends one prepared response per request; records requests."""

    def __init__(self, case):
        self.accepted = 0
        self.requests = []
        self.responses = []
        self.pause_s = 0.0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = "http://127.0.0.1:%d" % self._listener.getsockname()[1]
        case.addCleanup(self._listener.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        try:
            self._send_responses(connection)
        except OSError:
            return  # The client closed the connection.

    def _send_responses(self, connection):
        with connection, connection.makefile("rb") as stream:
            while line := stream.readline():
                size = 0
                while (header := stream.readline()) not in (b"\r\n", b""):
                    name, _, value = header.partition(b":")
                    if name.lower() == b"content-length":
                        size = int(value)
                body = stream.read(size)
                method, path, _ = line.decode().split()
                self.requests.append((method, path, body))
                response = self.responses.pop(0)
                if response is None:
                    return
                head, end, body = response.partition(b"\r\n\r\n")
                connection.sendall(head + end)
                pieces = [body[i : i + 1] for i in range(len(body))]
                for piece in pieces if self.pause_s else [body]:
                    connection.sendall(piece)
                    time.sleep(self.pause_s)
                if b"Connection: close" in response:
                    return


class StoreClientTest(unittest.TestCase):
    """Guards against writes that are sent twice or reported wrongly.

    A write whose response is missing may have taken effect. The client must
    neither retry it nor report it as rejected.
    """

    def setUp(self):
        self.server = ScriptedServer(self)
        self.client = storeclient.StoreClient(
            self.server.url, call_timeout_s=0.3
        )
        self.addCleanup(self.client.close)

    def _write(self, *responses):
        self.server.responses.extend(responses)
        return self.client.write("config/a", "v", 3)

    def test_calls_follow_the_protocol(self):
        event = {"key": "a", "value": None, "revision": 7}
        item = {"key": "a/b", "value": "v", "revision": 5}
        listing = stores.Listing((stores.Found("a/b", "v", 5),), 8)
        changes = stores.Changes((stores.Change("a", None, 7),), 9)
        put = {"value": "v", "expect": 0, "lease": "9"}
        ttl = {"ttl_s": 4.0}
        watch = "/v1/watch?prefix=a&after=6&timeout=1.5"
        items = {"items": [item], "revision": 8}
        changes_body = {"events": [event], "revision": 9}
        found = stores.Found("a/b c", "v", 5)
        kv, lease = "/v1/kv/a", "/v1/leases/12"
        for method, arguments, request, sent, response, result in (
            ("read", ["a/b c"], f"GET {kv}/b%20c", None, item, found),
            ("read", ["a"], f"GET {kv}", None, None, stores.Absent("a")),
            ("write", ["a", "v", 0, "9"], f"PUT {kv}", put, {"revision": 6},
             stores.Written(6)),
            ("delete", ["a", 4], f"DELETE {kv}?expect=4", None, {},
             stores.Deleted("a")),
            ("list_range", ["a/"], "GET /v1/range?prefix=a%2F", None, items,
             listing),
            ("watch", ["a", 6, 1.5], f"GET {watch}", None,
             changes_body, changes),
            ("grant_lease", [4.0], "POST /v1/leases", ttl, {"lease": 12},
             stores.Lease("12", 4.0)),
            ("renew_lease", ["12"], f"PUT {lease}", None, {},
             stores.Lease("12", 4.0)),
            ("release_lease", ["12"], f"DELETE {lease}", None, {},
             stores.Released("12")),
        ):  # fmt: skip
            with self.subTest(request):
                status = 404 if response is None else 200
                self.server.responses.append(reply(status, response or {}))
                call = getattr(self.client, method)
                self.assertEqual(call(*arguments), result)
                verb, path, body = self.server.requests[-1]
                self.assertEqual(f"{verb} {path}", request)
                if sent is not None:
                    self.assertEqual(json.loads(body), sent)

    def test_connections_from_before_a_silence_are_not_used_again(self):
        slow = reply(200, {"events": [], "revision": 9})
        for fails in (
            lambda: self.assertIsInstance(self._write(None), stores.InDoubt),
            self.client.discard_connections,
        ):
            with self.subTest(fails):
                # Two calls at once, so that two connections are kept.
                self.server.responses.extend([slow, slow])
                self.server.pause_s = 0.005
                threads = [
                    threading.Thread(
                        target=self.client.watch, args=("a", 6, 1.0)
                    )
                    for _ in range(2)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                self.server.pause_s = 0.0
                fails()
                accepted = self.server.accepted
                result = self._write(reply(200, {"revision": 9}))
                self.assertEqual(result, stores.Written(9))
                self.assertEqual(self.server.accepted, accepted + 1)

    def test_refused_connection_means_nothing_was_sent(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            url = "http://127.0.0.1:%d" % listener.getsockname()[1]
        client = storeclient.StoreClient(url)
        self.assertIsInstance(client.write("a", "v", 0), stores.Unreachable)

    def test_missing_response_is_in_doubt_and_not_repeated(self):
        whole = reply(200, {"revision": 4})
        for name, response in (
            ("closed", None),
            ("cut", reply(200, {"revision": 4}, "Connection: close\r\n")[:-3]),
            ("no JSON", whole[:-3] + b"xxx"),
            ("no revision", reply(200, {})),
            ("server fault", reply(500, {})),
        ):
            with self.subTest(name):
                before = len(self.server.requests)
                self.assertIsInstance(self._write(response), stores.InDoubt)
                self.assertEqual(len(self.server.requests), before + 1)

    def test_broken_idle_connection_does_not_repeat_a_write(self):
        self.assertEqual(
            self._write(reply(200, {"revision": 4})), stores.Written(4)
        )
        self.assertIsInstance(self._write(None), stores.InDoubt)
        self.assertEqual(len(self.server.requests), 2)

    def test_slow_response_ends_at_the_limit(self):
        head, end, _ = reply(200, {"revision": 4}).partition(b"\r\n\r\n")
        began = time.monotonic()
        self.assertIsInstance(self._write(head + end), stores.InDoubt)
        self.server.pause_s = 0.02
        slow_response = reply(200, {"revision": 4, "filler": "x" * 400})
        self.assertIsInstance(self._write(slow_response), stores.InDoubt)
        self.assertLess(time.monotonic() - began, 4.0)

    def test_refusals_have_no_effect(self):
        limited = self._write(reply(429, {}, "Retry-After: 7\r\n"))
        self.assertIsInstance(limited, stores.RateLimited)
        self.assertEqual(limited.retry_after_s, 7)
        refused = self._write(reply(503, {"error": {"run": "no"}}))
        self.assertIsInstance(refused, stores.RateLimited)
        large = self._write(reply(413, {}))
        self.assertIsInstance(large, stores.RateLimited)
        self.assertIsNone(large.retry_after_s)

    def test_conflict_carries_the_current_value(self):
        conflict = self._write(reply(409, {"revision": 8, "value": "w"}))
        self.assertIsInstance(conflict, stores.Conflict)
        self.assertEqual((conflict.revision, conflict.value), (8, "w"))
        gone = self._write(reply(404, {}))
        self.assertIsInstance(gone, stores.Conflict)

    def test_names_a_lease_that_has_ended(self):
        self.server.responses.extend([reply(404, {}), reply(404, {})])
        self.assertIsInstance(self.client.renew_lease("1"), stores.LeaseGone)
        self.assertIsInstance(self.client.release_lease("1"), stores.LeaseGone)

    def test_pending_watch_outlives_the_connect_timeout(self):
        client = storeclient.StoreClient(self.server.url, connect_timeout_s=0.1)
        self.addCleanup(client.close)
        self.server.pause_s = 0.002
        body = {"events": [], "revision": 9, "filler": "x" * 200}
        self.server.responses.append(reply(200, body))
        self.assertEqual(client.watch("a", 6, 1.0), stores.Changes((), 9))
        with socket.create_server(("127.0.0.1", 0)) as silent_listener:
            url = "http://127.0.0.1:%d" % silent_listener.getsockname()[1]
            client = storeclient.StoreClient(url, 0.6, connect_timeout_s=0.1)
            self.addCleanup(client.close)
            began = time.monotonic()
            self.assertIsInstance(client.read("a"), stores.InDoubt)
            self.assertGreater(time.monotonic() - began, 0.5)

    def test_refused_watch_is_a_failure(self):
        self.server.responses.append(reply(410, {"error": {"run": "no"}}))
        self.assertIsInstance(
            self.client.watch("a", 1, 1.0), stores.RateLimited
        )
