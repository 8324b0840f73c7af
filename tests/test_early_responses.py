"""Tests of early responses at the readers of entry processes."""

import time
import unittest

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.model import requests
from sycamorehollow.platform import storeclient
from sycamorehollow.shells import calls
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import stores
from sycamorehollow.shells import uploads
from tests import early_upstreams
from tests import relay_world

UPLOAD = b" " * (8 * 1024 * 1024)
HALF = len(UPLOAD) // 2
# The part of a body of several documents, which is one itself.
PART = b'{"line": 1}\n'
LIMIT_S = 5.0


class WatchTest(unittest.TestCase):
    """Guards the rule for the end of a stream during an upload."""

    def test_rest_of_a_long_request_may_be_unread(self):
        longest = uploads.MAX_READ_AT_ONCE_BYTES
        self.assertFalse(uploads.may_be_early(longest, 0))
        self.assertTrue(uploads.may_be_early(longest + 1, 0))
        self.assertTrue(uploads.may_be_early(longest, 1))

    def test_request_that_was_sent_needs_no_wait(self):
        watch = uploads.UploadWatch(False, 1.0)
        self.assertTrue(watch.is_settled(0, False, 1.0))

    def test_early_response_waits_for_a_reset(self):
        watch = uploads.UploadWatch(True, 1.0)
        self.assertFalse(watch.is_settled(0, False, 1.1))
        self.assertTrue(watch.is_settled(0, False, 1.3))
        with self.assertRaises(uploads.UploadAbortedError):
            watch.is_settled(0, True, 1.3)

    def test_upload_may_take_long_while_it_goes_on(self):
        watch = uploads.UploadWatch(True, 0.0)
        for second in range(9):
            self.assertFalse(watch.is_settled(9 - second, False, second / 2))
        self.assertTrue(watch.is_settled(0, False, 4.5))

    def test_upload_that_stalls_is_given_up(self):
        watch = uploads.UploadWatch(False, 0.0)
        self.assertFalse(watch.is_settled(5, False, 0.0))
        self.assertFalse(watch.is_settled(5, False, uploads.STALL_S / 2))
        with self.assertRaises(uploads.UploadAbortedError):
            watch.is_settled(5, False, uploads.STALL_S)


class EarlyTest(unittest.TestCase):
    """Base of tests with a server that responds early."""

    def setUp(self):
        self.server = early_upstreams.EarlyServer()
        self.addCleanup(self.server.stop)
        self.url = f"http://{self.server.address}"

    def list_plans(self):
        """Returns early responses that are not complete."""
        return early_upstreams.list_broken_plans(len(UPLOAD), PART)

    def dispatch(self, other):
        """Sends a call with a long body to the server, or to another one."""
        client = calls.ServiceClient(
            lambda *_: [self.url, f"http://{other.address}"],
            read_timeout_s=LIMIT_S,
        )
        now = time.monotonic()
        call = requests.ServiceCall(
            "q", "maps", "desk", "lodge", "k", UPLOAD, now + LIMIT_S
        )
        command = messages.Dispatch("op", call, "k", now + LIMIT_S)
        return client.dispatch(command)

    def test_part_is_no_outcome_of_a_call(self):
        other = early_upstreams.EarlyServer()
        self.addCleanup(other.stop)
        for plan in self.list_plans():
            with self.subTest(plan=early_upstreams.describe(plan)):
                self.server.plans.append(plan)
                event = self.dispatch(other)
                self.assertIsInstance(event, messages.OpInDoubt)
                self.assertEqual(other.requests, 0)

    def test_part_is_no_response_of_a_short_call(self):
        workers = http_workers.HttpWorkers()
        self.addCleanup(workers.stop)
        for plan in self.list_plans():
            with self.subTest(plan=early_upstreams.describe(plan)):
                self.server.plans.append(plan)
                result = workers.request("POST", self.url, body=UPLOAD)
                self.assertIsInstance(result, http_workers.CallFailed)

    def test_part_is_no_response_of_the_store(self):
        store = storeclient.PlatformStore(self.url)
        self.addCleanup(store.close)
        for plan in self.list_plans():
            with self.subTest(plan=early_upstreams.describe(plan)):
                self.server.plans.append(plan)
                result = store.write("a", UPLOAD.decode(), 0)
                self.assertIsInstance(result, stores.InDoubt)

    def test_reset_after_the_whole_upload(self):
        taken = []
        for plan in early_upstreams.list_late_resets(len(UPLOAD), PART):
            self.server.plans.append(plan)
            event = self.dispatch(self.server)
            if isinstance(event, messages.ServiceResponded):
                taken.append(early_upstreams.describe(plan))
        self.assertEqual(taken, [])

    def test_server_that_reads_on_has_responded(self):
        end = early_upstreams.End.EOF_THEN_READ
        for first, later in ((0, 0), (0, HALF), (HALF, 0)):
            with self.subTest((first, later)):
                plan = early_upstreams.Plan(end, first, later, body=PART)
                self.server.plans.append(plan)
                event = self.dispatch(self.server)
                expected = messages.Outcome(200, PART)
                self.assertEqual(
                    event, messages.ServiceResponded("op", expected)
                )


class EngineTest(relay_world.RelayTest):
    """Guards against parts of streams that count as complete."""

    def test_part_is_no_stream(self):
        server = early_upstreams.EarlyServer()
        self.addCleanup(server.stop)
        plans = early_upstreams.list_broken_plans(len(UPLOAD), relay_world.PART)
        for plan in plans:
            with self.subTest(plan=early_upstreams.describe(plan)):
                server.plans.append(plan)
                self.assert_broken(server.address, UPLOAD + b"}")


if __name__ == "__main__":
    unittest.main()
