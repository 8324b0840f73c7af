"""Tests of calls to servers whose responses never end."""

import json
import time
import tracemalloc
import unittest

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.model import requests
from sycamorehollow.platform import storeclient
from sycamorehollow.shells import calls
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import storeclient as storeclients
from sycamorehollow.shells import stores
from tests import floods
from tests import platform_standins

LIMIT_S = 0.6


class Flood(platform_standins.Server):
    """A server whose responses never end."""

    kind = ""

    def handle(self, handler, body):
        """Sends an endless response part."""
        floods.send_without_end(handler, self.kind, "q")


class EndlessPages(platform_standins.Server):
    """A store that returns the same page with `hasMore` for ever."""

    def handle(self, handler, body):
        """Sends the first page."""
        item = {"key": "a", "value": "", "revision": 1}
        page = {"items": [item], "hasMore": True, "at": 1}
        platform_standins.send(handler, 200, {}, json.dumps(page).encode())


class EndlessAnswerTest(unittest.TestCase):
    """Guards against endless responses that hold threads and memory."""

    def setUp(self):
        self.server = Flood()
        self.addCleanup(self.server.stop)

    def _measure(self, call):
        """Returns the result, the seconds taken and the peak memory bytes."""
        tracemalloc.start()
        began = time.monotonic()
        result = call()
        took_s = time.monotonic() - began
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return result, took_s, peak

    def test_store(self):
        store = storeclient.PlatformStore(
            f"http://{self.server.address}", call_timeout_s=LIMIT_S
        )
        self.addCleanup(store.close)
        for kind in floods.RESPONSES_BY_KIND:
            with self.subTest(kind):
                self.server.kind = kind
                result, took_s, peak = self._measure(lambda: store.read("a"))
                self.assertIsInstance(result, stores.InDoubt)
                self.assertLess(took_s, LIMIT_S + 1.0)
                self.assertLess(peak, 3 * storeclients.MAX_RESPONSE_BYTES)

    def test_pages_that_do_not_go_on(self):
        server = EndlessPages()
        self.addCleanup(server.stop)
        store = storeclient.PlatformStore(f"http://{server.address}")
        self.addCleanup(store.close)
        result, took_s, _ = self._measure(lambda: store.list_range(""))
        self.assertIsInstance(result, stores.InDoubt)
        self.assertLess(took_s, 1.0)

    def test_short_calls(self):
        errand = http_workers.HttpWorkers()
        self.addCleanup(errand.stop)
        for kind in floods.RESPONSES_BY_KIND:
            with self.subTest(kind):
                self.server.kind = kind
                answer, took_s, peak = self._measure(
                    lambda: errand.request(
                        "GET", f"http://{self.server.address}"
                    )
                )
                self.assertIsInstance(answer, http_workers.CallFailed)
                self.assertLess(took_s, http_workers.READ_TIMEOUT_S + 1.0)
                self.assertLess(peak, 4 * http_workers.MAX_RESPONSE_BYTES)

    def test_plain_service(self):
        client = calls.ServiceClient(
            lambda *_: [f"http://{self.server.address}"],
            read_timeout_s=LIMIT_S,
        )
        for kind in floods.RESPONSES_BY_KIND:
            with self.subTest(kind):
                self.server.kind = kind
                now = time.monotonic()
                call = requests.ServiceCall(
                    "q", "maps", "desk", "lodge", "k", b"{}", now + 5.0
                )
                command = messages.Dispatch("op", call, "k", now + 5.0)
                event, took_s, peak = self._measure(
                    lambda command=command: client.dispatch(command)
                )
                self.assertIsInstance(event, messages.OpInDoubt)
                self.assertLess(took_s, LIMIT_S + 1.0)
                self.assertLess(peak, 8 * calls.MAX_RESPONSE_BYTES)
