"""Tests of the outcomes of responses in the log."""

import re

from tests import gateway_world
from tests import processes


class GatewayLogTest(gateway_world.SharedWorldTest):
    """Guards against log lines that do not show how a response ended."""

    def _read_line(self, request_id):
        pattern = re.compile(rf".* request={request_id} .*")
        found = []

        def look():
            found[:] = pattern.findall(self.node.read_log())
            return found

        processes.wait_for(look)
        return found[0]

    def test_answer_that_the_upstream_broke_off(self):
        for engine in self.world.engines:
            engine.mode = "cut"
        with self.node.open_socket() as caller:
            caller.sendall(build_request("broken", 4000))
            while caller.recv(4096):
                pass
        line = self._read_line("broken")
        self.assertIn("cut: no attempt is left", line)
        self.assertRegex(
            line, r"closed the connection \(upstream \+0\.\d+ silent_s=0\.0"
        )

    def test_answer_that_was_silent_until_its_deadline(self):
        for engine in self.world.engines:
            engine.events, engine.pause_s = 2, 5.0
        with self.node.open_socket() as caller:
            caller.sendall(build_request("late", 700))
            while caller.recv(4096):
                pass
        line = self._read_line("late")
        self.assertIn("cut: its time is over", line)
        self.assertRegex(
            line, r"no byte in time \(deadline \+0\.[67]\d+ silent_s=0\.[67]"
        )

    def test_answer_that_ended_with_its_connection(self):
        for engine in self.world.engines:
            engine.closing = True
        with self.node.open_socket() as caller:
            caller.sendall(build_request("closed", 4000))
            received = b""
            while not received.endswith(b"0\r\n\r\n"):
                received += caller.recv(4096)
        self.assertIn(
            "delivered, ended with its connection after event 4",
            self._read_line("closed"),
        )

    def test_caller_that_left(self):
        for engine in self.world.engines:
            engine.events, engine.pause_s = 50, 0.1
        with self.node.open_socket() as caller:
            caller.sendall(build_request("left", 4000))
            caller.recv(200)
        self.assertRegex(
            self._read_line("left"), r"the caller left \(caller \+"
        )

    def test_dropped_answer_of_a_smaller_model(self):
        for engine in self.world.engines:
            engine.confidences = {"small": 10}
        self.node.stream(request_id="dropped")
        self.assertRegex(
            self._read_line("dropped"),
            r"discarded at confidence 10.*\(cascade \+",
        )


def build_request(request_id, deadline_ms):
    """Returns the bytes of a request for a stream."""
    return (
        b"POST /draft/1 HTTP/1.1\r\nHost: models.example\r\n"
        b"Request-Id: %s\r\nAuthorization: Bearer key-1\r\n"
        b"Request-Deadline: %d\r\n"
        b"Accept: text/event-stream\r\nModel: *\r\n"
        b"Connection: close\r\nContent-Length: 1\r\n\r\nx"
    ) % (request_id.encode(), deadline_ms)
