"""Tests of the I/O of non-idempotent calls, on loopback."""

import queue
import re
import socket
import threading
import time
import unittest

import loguru

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.model import requests
from sycamorehollow.shells import calls
from sycamorehollow.shells import stores


def respond(status, body=b"", missing=0):
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body) + missing}"
    return head.encode() + b"\r\n\r\n" + body


def respond_until_closed(body):
    return b"HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" + body


OK = respond(200, b"{}")
CUT = respond(200, b"{}", missing=7)
FAILED = respond(500)
REFUSED = respond(503, b'{"error": {"run": "no"}}')
ABSENT = respond(200, b'{"state": "absent"}')
DONE = respond(200, b'{"state": "done", "result": 7}')


def receive_request(connection):
    """Returns a whole request; to close with a part unread is a reset."""
    received = b""
    while True:
        head, end, body = received.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if end and len(body) >= int(length[1] if length else 0):
            return received
        data = connection.recv(65536)
        if not data:
            return received
        received += data


class Server:
    """Sends one raw response per connection; `None` sends nothing."""

    def __init__(self, *responses, delay_s=0.0):
        self.delay_s = delay_s
        self.responses = list(responses)
        self.heard = []
        self.held = []
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        for response in self.responses:
            connection, _ = self.socket.accept()
            self.heard.append(receive_request(connection))
            if response is None:
                self.held.append(connection)
                continue
            time.sleep(self.delay_s)
            connection.sendall(response)
            connection.close()

    def close(self):
        for connection in [*self.held, self.socket]:
            connection.close()


class MemoryStore(stores.Store):
    """Store that returns a prepared result."""

    def __init__(self, result):
        self.result = result

    def read(self, key):
        return self.result

    def write(self, key, value, expected_revision, lease=""):
        return self.result

    delete = list_range = watch = read
    grant_lease = renew_lease = release_lease = read


class ServiceTest(unittest.TestCase):
    """Guards against reporting a call that may have run as not run."""

    def serve(self, *responses, delay_s=0.0):
        server = Server(*responses, delay_s=delay_s)
        self.addCleanup(server.close)
        return server

    def make_dead_url(self):
        with socket.create_server(("127.0.0.1", 0)) as unused:
            return f"http://127.0.0.1:{unused.getsockname()[1]}"

    def dispatch(self, *urls, remaining_s=5.0):
        client = calls.ServiceClient(lambda service, new: urls, 0.5, 0.3)
        call = requests.ServiceCall("r", "w", "filing", "lodge", "k", b"{}", 0)
        not_after = time.monotonic() + remaining_s
        return client.dispatch(messages.Dispatch("o", call, "w:k", not_after))

    def dispatch_idempotent(self, *urls, remaining_s):
        client = calls.ServiceClient(lambda service, new: urls, 0.5, 0.3)
        call = requests.ServiceCall("r", "w", "filing", "read", "", b"{}", 0)
        not_after = time.monotonic() + remaining_s
        return client.dispatch_idempotent(
            messages.Dispatch("o", call, "w:k", not_after)
        )

    def test_slow_service_is_not_given_up_for_none(self):
        """Guards against abandoning a response that is only slow."""
        slow = self.serve(OK, OK, delay_s=0.6)
        event = self.dispatch_idempotent(slow.url, remaining_s=5.0)
        self.assertIsInstance(event, messages.ServiceResponded)
        silent = self.serve(None)
        event = self.dispatch_idempotent(silent.url, slow.url, remaining_s=5.0)
        self.assertIsInstance(event, messages.ServiceResponded)
        began = time.monotonic()
        silent = self.serve(None)
        event = self.dispatch_idempotent(silent.url, remaining_s=1.0)
        self.assertIsInstance(event, messages.OpInDoubt)
        self.assertLess(time.monotonic() - began, 2.0)

    def test_error_of_the_service_is_named_when_no_other_answers(self):
        failing = self.serve(FAILED)
        event = self.dispatch_idempotent(
            failing.url, self.make_dead_url(), remaining_s=5.0
        )
        expected = messages.OpInDoubt("o", "the service answered 500")
        self.assertEqual(event, expected)

    def look_up(self, *urls):
        client = calls.ServiceClient(lambda service, new: urls, 0.5, 0.3)
        return client.look_up(
            messages.LookUpOutcome("o", "filing", "lodge", "w:k")
        )

    def test_response(self):
        server = self.serve(OK)
        event = self.dispatch(server.url)
        expected = messages.Outcome(200, b"{}")
        self.assertEqual(event, messages.ServiceResponded("o", expected))
        self.assertIn(b"Idempotency-Key: w:k", server.heard[0])

    def test_closed_port_is_not_sent_and_the_next_upstream_is_used(self):
        dead = self.make_dead_url()
        self.assertIsInstance(self.dispatch(dead), messages.OpNotSent)
        event = self.dispatch(dead, self.serve(OK).url)
        self.assertIsInstance(event, messages.ServiceResponded)

    def test_anything_after_the_first_byte_is_in_doubt_and_ends(self):
        for response in (None, b"", CUT, FAILED, b"not http"):
            first, second = self.serve(response), self.serve(OK)
            event = self.dispatch(first.url, second.url)
            self.assertIsInstance(event, messages.OpInDoubt, response)
            self.assertEqual(second.heard, [], response)

    def test_response_that_may_be_shortened_is_in_doubt(self):
        whole = b'{"booking": 71}'
        for end in range(len(whole)):
            server = self.serve(respond_until_closed(whole[:end]))
            event = self.dispatch(server.url)
            self.assertIsInstance(event, messages.OpInDoubt, whole[:end])
        event = self.dispatch(self.serve(respond_until_closed(whole)).url)
        expected = messages.Outcome(200, whole)
        self.assertEqual(event, messages.ServiceResponded("o", expected))
        # A shorter text, or number, is as good a value as the whole one.
        for body in (b"confirmed", b"71"):
            event = self.dispatch(self.serve(respond_until_closed(body)).url)
            self.assertIsInstance(event, messages.OpInDoubt, body)

    def test_typed_refusal_goes_to_the_next_upstream(self):
        first = self.serve(REFUSED)
        self.assertIsInstance(self.dispatch(first.url), messages.OpRefused)
        event = self.dispatch(self.serve(REFUSED).url, self.serve(OK).url)
        self.assertIsInstance(event, messages.ServiceResponded)

    def test_nothing_is_sent_after_the_deadline(self):
        server = self.serve(OK)
        event = self.dispatch(server.url, remaining_s=-1.0)
        self.assertIsInstance(event, messages.OpNotSent)
        self.assertEqual(server.heard, [])

    def test_lookup_asks_until_one_upstream_knows(self):
        urls = [self.make_dead_url(), self.serve(ABSENT).url]
        self.assertEqual(
            self.look_up(*urls), messages.OutcomeLookedUp("o", None)
        )
        event = self.look_up(self.serve(ABSENT).url, self.serve(DONE).url)
        expected = messages.OutcomeLookedUp("o", messages.Outcome(200, b"7"))
        self.assertEqual(event, expected)
        silent = self.look_up(self.serve(None).url)
        self.assertIsInstance(silent, messages.OpInDoubt)


class ShellTest(unittest.TestCase):
    """Guards against commands that end with no event or a wrong one."""

    def carry_out(self, command, result):
        posted = queue.SimpleQueue()
        shell = calls.CallShell(MemoryStore(result), None, None, posted.put)
        self.addCleanup(shell.close)
        self.assertTrue(shell.execute(command))
        return posted.get(timeout=5)

    def test_store_results(self):
        write = messages.WriteCallRecord("o", "k", "v", 0)
        taken = stores.Conflict("taken", revision=4, value="x")
        cases = [
            (stores.Written(3), messages.CallRecordWritten("o", 3)),
            (taken, messages.CallRecordConflict("o", 4, "x")),
            (
                stores.Unreachable("down"),
                messages.OpNotSent("o", "down"),
            ),
            (stores.InDoubt("lost"), messages.OpInDoubt("o", "lost")),
            (
                stores.RateLimited("busy"),
                messages.OpRefused("o", "busy"),
            ),
        ]
        for result, event in cases:
            self.assertEqual(self.carry_out(write, result), event)
        read = messages.ReadCallRecord("o", "k")
        found = self.carry_out(read, stores.Found("k", "v", 7))
        self.assertEqual(found, messages.CallRecordRead("o", "v", 7))
        absent = self.carry_out(read, stores.Absent("k"))
        self.assertEqual(absent, messages.CallRecordRead("o", None, 0))

    def test_fault_of_the_router_is_in_doubt(self):
        loguru.logger.disable("sycamorehollow")
        self.addCleanup(loguru.logger.enable, "sycamorehollow")
        ask = messages.RequestFromOwner("o", "p", 1, "w", "k", None, 0.0)
        self.assertIsInstance(self.carry_out(ask, None), messages.OpInDoubt)
