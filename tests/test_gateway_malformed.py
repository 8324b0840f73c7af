"""Tests of malformed responses of upstreams through gateway processes."""

import json
import re
import unittest

from sycamorehollow.settings import gateway
from tests import gateway_world
from tests import malformed_upstreams
from tests import platform_standins
from tests import processes

WHOLE_STREAM = [b"1", b"2", b"3", b"4"]
# Statuses that state that a request has not run.
PROMISES = (408, 421, 429, 503)


class Helper(platform_standins.Server):
    """A node that passes malformed responses on, as older builds may.

    Attributes:
        status_line: Status line of its responses.
        field_line: Header line that is added; empty for none.
        requests: Number of requests that nodes sent through it.
    """

    def __init__(self, port):
        self.status_line = self.field_line = b""
        self.requests = 0
        super().__init__(port)

    def handle(self, handler, body):
        """Refuses checks of other nodes, and responds to their requests."""
        request_id = handler.headers.get("Request-Id")
        if request_id is None:
            platform_standins.send(handler, 403, {}, b"")
            return
        self.requests += 1
        fields = {"Request-Id": request_id.encode(), "Response-Seal": b"s"}
        data = malformed_upstreams.build_response(
            self.status_line, self.field_line, fields, b"passed on"
        )
        handler.wfile.write(data)


class MalformedTest(unittest.TestCase):
    """Base of tests with two upstreams of each service."""

    @classmethod
    def setUpClass(cls):
        cls.world = gateway_world.World(
            build_upstream=malformed_upstreams.MalformedUpstream
        )
        cls.addClassCleanup(cls.world.close)
        cls.node = cls.world.nodes[0]

    def setUp(self):
        self.upstreams = [*self.world.engines, *self.world.desks]
        self.recover()

    def recover(self):
        """Waits until all upstreams are sound and have served a request."""
        for upstream in self.upstreams:
            upstream.restore()
        gateway_world.wait_until_used(self.node, self.world)
        self.world.reset()

    def check_refused(self, **head):
        """Sends requests of each kind while all upstreams send such heads."""
        for upstream in self.upstreams:
            vars(upstream).update(head)
        self.check_failure(head, b"POST /lodge/x", body=b"y")
        self.assertEqual(self.count_runs(), 1, head)
        self.check_failure(head, b"GET /status/x")
        fields = (b"Accept: text/event-stream", b"Model: *")
        self.check_failure(head, b"POST /draft/x", *fields, body=b"prompt")

    def check_failure(self, head, line, *fields, body=b""):
        """Checks the bytes of the response to a request."""
        before = self.count_runs()
        received = gateway_world.exchange(self.node, line, *fields, body=body)
        status = re.match(rb"HTTP/1\.1 ([45]\d\d) ", received)
        self.assertIsNotNone(status, (head, received))
        if self.count_runs() > before:
            self.assertNotIn(int(status[1]), PROMISES, head)
        self.assertNotIn(b"response-seal", received.lower(), head)
        self.assertNotIn(malformed_upstreams.BODY, received, head)

    def count_runs(self):
        """Returns how many requests upstreams have started to run."""
        return sum(len(upstream.run_requests) for upstream in self.upstreams)

    def check_retried(self, **head):
        """Checks that requests that may be retried are served elsewhere."""
        for upstream in (self.world.engines[0], self.world.desks[0]):
            vars(upstream).update(head)
        for _ in range(4):
            response = self.node.request("/status/x")
            self.assertEqual((response.status, response.data), (200, b"echo "))
            response = self.node.stream()
            events = re.findall(rb"id: (\d+)", response.data)
            self.assertEqual((response.status, events), (200, WHOLE_STREAM))


class StatusLineTest(MalformedTest):
    """Guards against responses without a valid status that reach callers."""

    def test_no_caller_gets_an_invalid_status(self):
        for line in malformed_upstreams.INVALID_STATUS_LINES:
            for is_split in (False, True):
                with self.subTest(line, is_split=is_split):
                    self.recover()
                    self.check_refused(status_line=line, is_split=is_split)

    def test_request_that_may_be_retried_is_served_elsewhere(self):
        for line in malformed_upstreams.INVALID_STATUS_LINES:
            with self.subTest(line):
                self.recover()
                self.check_retried(status_line=line)

    def test_valid_status_lines_are_accepted(self):
        for line in malformed_upstreams.VALID_STATUS_LINES:
            for is_split in (False, True):
                with self.subTest(line, is_split=is_split):
                    self.recover()
                    for desk in self.world.desks:
                        desk.status_line, desk.is_split = line, is_split
                    response = self.node.request("/lodge/x", b"y")
                    self.assertEqual(response.data, malformed_upstreams.BODY)
                    self.assertIn("Response-Seal", response.headers)
                    # Interim responses have reason phrases of their own.
                    sent = line.rpartition(b"HTTP/1.")[2]
                    self.assertEqual(response.status, int(sent[2:5]))
                    self.assertEqual(
                        response.reason.encode("latin-1"), sent[6:].strip()
                    )

    def test_reason_is_logged(self):
        for desk in self.world.desks:
            desk.status_line = b"HTTP/1.1 000 OK"
        self.node.request("/lodge/x", b"y")
        processes.wait_for(
            lambda: "invalid status line: status 0" in self.node.read_log()
        )

    def test_malformed_check_is_no_sign_of_life(self):
        for upstream in self.upstreams:
            upstream.closing = True
            upstream.check_line = b"HTTP/1.1 000 OK"
        try:
            response = self.node.request("/lodge/x", b"y")
        finally:
            for upstream in self.upstreams:
                upstream.check_line = b""
        self.assertEqual(response.status, 502)


class FieldNameTest(MalformedTest):
    """Guards against heads with malformed lines that reach callers."""

    def test_no_caller_gets_a_malformed_header(self):
        for line in malformed_upstreams.INVALID_FIELD_LINES:
            for is_split in (False, True):
                with self.subTest(line, is_split=is_split):
                    self.recover()
                    self.check_refused(field_line=line, is_split=is_split)

    def test_request_that_may_be_retried_is_served_elsewhere(self):
        for line in malformed_upstreams.INVALID_FIELD_LINES:
            with self.subTest(line):
                self.recover()
                self.check_retried(field_line=line)


class IsolatedNodeTest(unittest.TestCase):
    """Guards against malformed responses that another node passes on."""

    def setUp(self):
        self.world = gateway_world.World()
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]
        dead = f"127.0.0.1:{processes.find_port()}"
        for engine in self.world.engines:
            engine.register(self.world.store, "llm", address=dead)
        for desk in self.world.desks:
            desk.register(self.world.store, "desk", address=dead)
        port = processes.find_port(gateway.RELAY_PORT_OFFSET + 1)
        self.helper = Helper(port + gateway.RELAY_PORT_OFFSET)
        self.addCleanup(self.helper.stop)
        self.world.store.put(
            "nodes/helper",
            json.dumps({"peer": f"127.0.0.1:{port}", "data_centre": "dc-1"}),
        )
        self.helper.status_line = malformed_upstreams.OK_LINE
        processes.wait_for(
            lambda: self.node.request("/status/x").data == b"passed on"
        )

    def check(self, **head):
        """Checks that a response with such a head is not passed on."""
        vars(self.helper).update(
            {"status_line": malformed_upstreams.OK_LINE, "field_line": b""}
        )
        # A node that has failed is left alone for a while.
        processes.wait_for(
            lambda: self.node.request("/status/x").data == b"passed on"
        )
        vars(self.helper).update(head)
        before = self.helper.requests
        received = gateway_world.exchange(
            self.node, b"POST /lodge/x", body=b"y"
        )
        self.assertEqual(self.helper.requests, before + 1, head)
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "), received)
        self.assertNotIn(b"response-seal", received.lower(), head)

    def test_invalid_status_line(self):
        for line in (
            b"HTTP/1.1 000 OK",
            b"HTTP/1.1 0 OK",
            b"HTTP/1.1 600 OK",
            b"HTTP/1.1 200 O\x01K",
        ):
            with self.subTest(line):
                self.check(status_line=line)

    def test_malformed_header_line(self):
        for line in malformed_upstreams.INVALID_FIELD_LINES[:2]:
            with self.subTest(line):
                self.check(field_line=line)


if __name__ == "__main__":
    unittest.main()
