"""Tests of malformed responses at the readers of entry processes and tools."""

import time
import unittest

import loguru

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests
from sycamorehollow.platform import storeclient
from sycamorehollow.programs import exchanges
from sycamorehollow.shells import calls
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import response_heads
from sycamorehollow.shells import storeclient as storeclients
from sycamorehollow.shells import stores
from tests import malformed_upstreams
from tests import relay_world

WAIT_S = 5.0
NOT_RUN = b'{"error": {"code": "full", "run": "no"}}'
ITEM = b'{"key": "a", "value": "", "revision": 1}'


class RuleTest(unittest.TestCase):
    """Guards the rules of a status line."""

    def test_statuses(self):
        for status in (100, 199, 200, 299, 404, 599):
            response_heads.check_status_line("1.1", status, b"")
        for status in (-1, 0, 1, 99, 600, 999, 1000):
            with self.assertRaises(response_heads.InvalidHeadError):
                response_heads.check_status_line("1.1", status, b"")

    def test_reason_phrases(self):
        for byte in range(256):
            reason = b"a%cb" % byte
            if byte == 9 or 32 <= byte != 127:
                response_heads.check_status_line("1.0", 200, reason)
                continue
            with self.assertRaises(response_heads.InvalidHeadError):
                response_heads.check_status_line("1.0", 200, reason)

    def test_versions(self):
        for version in ("0.9", "2.0", "1.2", ""):
            with self.assertRaises(response_heads.InvalidHeadError):
                response_heads.check_status_line(version, 200, b"")


class ServerTest(unittest.TestCase):
    """Base of tests of one reader."""

    def setUp(self):
        self.server = malformed_upstreams.RawServer()
        self.addCleanup(self.server.stop)
        self.url = f"http://{self.server.address}"

    def set_response(self, status_line=b"", field_line=b"", body=b""):
        """Sets the response to send."""
        self.server.response = malformed_upstreams.build_response(
            status_line or malformed_upstreams.OK_LINE, field_line, {}, body
        )


class CallTest(ServerTest):
    """Guards against calls whose malformed outcome is believed."""

    def dispatch(self):
        """Sends a call to the server, and to another if it was not run."""
        other = malformed_upstreams.RawServer()
        self.addCleanup(other.stop)
        client = calls.ServiceClient(
            lambda *_: [self.url, f"http://{other.address}"],
            read_timeout_s=WAIT_S,
        )
        now = time.monotonic()
        call = requests.ServiceCall(
            "q", "maps", "desk", "lodge", "k", b"{}", now + WAIT_S
        )
        event = client.dispatch(messages.Dispatch("op", call, "k", now + 5.0))
        self.assertEqual(other.requests, 0)
        return event

    def test_invalid_status_line(self):
        for line in malformed_upstreams.INVALID_STATUS_LINES:
            for body in (b"{}", NOT_RUN):
                with self.subTest(line, body=body):
                    self.set_response(line, body=body)
                    event = self.dispatch()
                    self.assertIsInstance(event, messages.OpInDoubt)

    def test_malformed_header_line(self):
        for line in malformed_upstreams.INVALID_FIELD_LINES:
            for body in (b"{}", NOT_RUN):
                with self.subTest(line, body=body):
                    self.set_response(field_line=line, body=body)
                    event = self.dispatch()
                    self.assertIsInstance(event, messages.OpInDoubt)

    def test_valid_status_line(self):
        for line in malformed_upstreams.VALID_STATUS_LINES:
            with self.subTest(line):
                self.set_response(line, body=b"{}")
                event = self.dispatch()
                self.assertIsInstance(event, messages.ServiceResponded)


class ShortCallTest(ServerTest):
    """Guards against polls and store calls that believe what is malformed."""

    def poll(self):
        """Returns the result of a short call."""
        workers = http_workers.HttpWorkers()
        self.addCleanup(workers.stop)
        return workers.request("GET", self.url)

    def read_stores(self):
        """Returns what both kinds of store clients read."""
        results = []
        for build in (storeclient.PlatformStore, storeclients.StoreClient):
            store = build(self.url)
            self.addCleanup(store.close)
            results.append(store.read("a"))
        return results

    def assert_rejected(self):
        """Checks that no reader accepts the response."""
        self.assertIsInstance(self.poll(), http_workers.CallFailed)
        for result in self.read_stores():
            self.assertIsInstance(result, stores.InDoubt)

    def test_invalid_status_line(self):
        for line in malformed_upstreams.INVALID_STATUS_LINES:
            with self.subTest(line):
                self.set_response(line, body=ITEM)
                self.assert_rejected()

    def test_malformed_header_line(self):
        for line in malformed_upstreams.INVALID_FIELD_LINES:
            for is_split in (False, True):
                with self.subTest(line, is_split=is_split):
                    self.server.is_split = is_split
                    self.set_response(field_line=line, body=ITEM)
                    self.assert_rejected()

    def test_header_line_that_is_rare(self):
        for line in (
            b"X-Own:",
            b"x!#$%&'*+-.^_`|~9: a\tb \xe4",
            b"X-Own:\t x ",
        ):
            with self.subTest(line):
                self.set_response(field_line=line, body=ITEM)
                self.assertEqual(self.poll().data, ITEM)

    def test_reason_is_logged(self):
        lines = []
        sink = loguru.logger.add(lines.append, format="{message}")
        self.addCleanup(loguru.logger.remove, sink)
        self.set_response(field_line=b"X-Own Name: x", body=ITEM)
        self.assert_rejected()
        found = [line for line in lines if self.server.address in line]
        self.assertEqual(len(found), 3)
        self.assertIn("invalid head: ", found[0])

    def test_valid_status_line(self):
        for line in malformed_upstreams.VALID_STATUS_LINES[:4]:
            with self.subTest(line):
                self.set_response(line, body=ITEM)
                self.assertEqual(self.poll().status, 200)
                for result in self.read_stores():
                    self.assertIsInstance(result, stores.Found)


class BytesAfterResponseTest(ServerTest):
    """Guards against rejecting a response for the bytes that follow it."""

    def test_complete_response_is_accepted(self):
        for rest in (b"HTTP/1.1 000 OK\r\n\r\n", b"\x00\x01", b"X-Own Name: x"):
            with self.subTest(rest):
                self.set_response(body=ITEM)
                self.server.response += rest
                workers = http_workers.HttpWorkers()
                self.addCleanup(workers.stop)
                self.assertEqual(workers.request("GET", self.url).data, ITEM)


class EngineTest(ServerTest, relay_world.RelayTest):
    """Guards against malformed responses of engines that are believed."""

    def setUp(self):
        relay_world.RelayTest.setUp(self)
        ServerTest.setUp(self)

    def test_invalid_status_line(self):
        for line in malformed_upstreams.INVALID_STATUS_LINES:
            for body in (relay_world.WHOLE, NOT_RUN):
                with self.subTest(line, body=body):
                    self.set_response(line, body=body)
                    self.assert_broken(self.server.address)

    def test_malformed_header_line(self):
        for line in malformed_upstreams.INVALID_FIELD_LINES:
            for is_split in (False, True):
                with self.subTest(line, is_split=is_split):
                    self.server.is_split = is_split
                    self.set_response(field_line=line, body=relay_world.WHOLE)
                    self.assert_broken(self.server.address)

    def test_reason_is_logged(self):
        lines = []
        sink = loguru.logger.add(lines.append, format="{message}")
        self.addCleanup(loguru.logger.remove, sink)
        self.set_response(b"HTTP/1.1 000 OK", body=relay_world.WHOLE)
        self.assert_broken(self.server.address)
        self.assertIn("invalid status line: status 0", "".join(lines))

    def test_valid_status_line(self):
        for line in malformed_upstreams.VALID_STATUS_LINES:
            if b"299" in line:
                continue
            with self.subTest(line):
                self.set_response(line, body=relay_world.WHOLE)
                event = self.run_attempt(self.server.address)
                self.assertIsInstance(event, lifecycle.AttemptCompleted)


class LoadToolTest(ServerTest):
    """Guards against malformed responses that the load tool counts."""

    def run_exchange(self):
        """Returns the outcome of a request to the server."""
        host, _, port = self.server.address.rpartition(":")
        exchange = exchanges.Exchange(
            (host, int(port)),
            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
            "plain",
            False,
            None,
        )
        loop = exchanges.Loop()
        loop.begin(exchange)
        loop.run_until(time.monotonic() + WAIT_S, stop_when_idle=True)
        loop.close()
        return exchange.outcome

    def test_invalid_status_line(self):
        for line in malformed_upstreams.INVALID_STATUS_LINES:
            with self.subTest(line):
                self.set_response(line, body=b"{}")
                self.assertEqual(self.run_exchange(), "connection_failed")

    def test_valid_status_line(self):
        for line in malformed_upstreams.VALID_STATUS_LINES[:4]:
            with self.subTest(line):
                self.set_response(line, body=b"{}")
                self.assertEqual(self.run_exchange(), "complete")


if __name__ == "__main__":
    unittest.main()
