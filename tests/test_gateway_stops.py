"""Tests of the shutdown of the gateway under load."""

import signal
import threading
import time
import unittest

from tests import gateway_world

# Time within which the load balancer notices that the node is not ready.
NOTICED_S = 2.3
CALLERS = 12


def build_request(number, path=b"/status/1"):
    """Returns the bytes of one request."""
    return (
        b"GET %s HTTP/1.1\r\nHost: models.example\r\nRequest-Id: q%d\r\n"
        b"Authorization: Bearer key-1\r\n\r\n" % (path, number)
    )


def read_responses(caller, count):
    """Reads from a connection until it has received `count` responses."""
    data = b""
    while data.count(b"HTTP/1.1 ") < count or not data.endswith(b"\n"):
        piece = caller.recv(65536)
        if not piece:
            break
        data += piece
        if data.count(b"echo") + data.count(b"leaving") >= count:
            break
    return data


class StopTest(unittest.TestCase):
    """Guards against requests that are cut off by a shutdown."""

    def setUp(self):
        self.world = gateway_world.World()
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]
        self.cut = []
        self.answered = 0

    def _send_until(self, number, until):
        """Sends requests in sequence, each on a new connection."""
        while time.monotonic() < until():
            with self.node.open_socket() as caller:
                caller.settimeout(5)
                try:
                    caller.sendall(build_request(number))
                    response = caller.recv(4096)
                except OSError as error:
                    response = repr(error).encode()
            if response.startswith(b"HTTP/1.1 "):
                self.answered += 1
            else:
                self.cut.append(response)

    def test_new_connections_are_answered_until_the_end(self):
        end = [time.monotonic() + 60.0]
        callers = [
            threading.Thread(target=self._send_until, args=(n, lambda: end[0]))
            for n in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        self.node.send_signal(signal.SIGTERM)
        end[0] = time.monotonic() + NOTICED_S
        # Repeated stop signals and a reload during the shutdown.
        self.node.send_signal(signal.SIGHUP)
        self.node.send_signal(signal.SIGTERM)
        time.sleep(1.0)
        self.node.send_signal(signal.SIGTERM)
        for caller in callers:
            caller.join()
        # Connections that are opened while the node rejects requests, and
        # whose requests follow a moment later.
        late = [self.node.open_socket() for _ in range(CALLERS)]
        time.sleep(0.4)
        for number, caller in enumerate(late):
            caller.settimeout(5)
            caller.sendall(build_request(number))
            time.sleep(0.01)
        for caller in late:
            with caller:
                response = caller.recv(4096)
                self.assertTrue(response.startswith(b"HTTP/1.1 "), response)
        self.assertEqual(self.cut, [])
        self.assertGreater(self.answered, CALLERS)
        self.assertEqual(self.node.wait(), 0)

    def test_pipelined_requests_are_all_answered(self):
        with self.node.open_socket() as caller:
            caller.settimeout(5)
            self.node.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            for _ in range(3):
                caller.sendall(build_request(1) * 4)
                response = read_responses(caller, 4)
                self.assertEqual(response.count(b"HTTP/1.1 "), 4)
                # Nothing may follow a response that closes the connection.
                closed = response.find(b"Connection: close")
                if closed >= 0:
                    self.assertNotIn(b"HTTP/1.1 ", response[closed:])
                    break
        self.assertEqual(self.node.wait(), 0)

    def test_request_that_is_half_read_is_answered(self):
        with self.node.open_socket() as caller:
            caller.settimeout(5)
            request = build_request(1)
            caller.sendall(request[:30])
            self.node.send_signal(signal.SIGTERM)
            time.sleep(1.0)
            caller.sendall(request[30:])
            self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.node.wait(), 0)
