"""Tests of the engine stand-in."""

import json
import socket
import time
import unittest

import urllib3

from sycamorehollow.standins import engine
from sycamorehollow.standins import pacing
from sycamorehollow.standins import prefixes
from sycamorehollow.standins import settings

WAIT_S = 5.0


class EngineCase(unittest.TestCase):
    """Starts an engine and offers calls to it."""

    OVERRIDES: list[str] = []

    def setUp(self):
        common = ["reports.lag_s=0", "memory.restart_s=0.2"]
        self.engine = engine.Engine(
            settings.read_settings(
                settings.EngineSettings, "", common + self.OVERRIDES
            )
        )
        self.engine.start()
        self.addCleanup(self.engine.stop)
        self.http = urllib3.PoolManager(retries=False, maxsize=32)

    def call(self, method, path, document=None, headers=None):
        body = None if document is None else json.dumps(document).encode()
        response = self.http.request(
            method,
            self.engine.url + path,
            body=body,
            headers=headers,
            timeout=WAIT_S,
        )
        return response.status, json.loads(response.data)

    def ask(
        self,
        content="hello",
        tokens=4,
        request_id="",
        timeout_s=WAIT_S,
        **body,
    ):
        """Sends a request and returns the response with an unread body."""
        headers = {"X-Request-Id": request_id} if request_id else {}
        message = {"role": "user", "content": content}
        document = {
            "model": "atlas-small-1",
            "messages": [message],
            "max_tokens": tokens,
            **body,
        }
        return self.http.request(
            "POST",
            self.engine.url + "/v1/chat/completions",
            body=json.dumps(document).encode(),
            headers=headers,
            preload_content=False,
            timeout=timeout_s,
        )

    def get_stats(self):
        return self.call("GET", "/stats")[1]

    def wait_for(self, condition):
        deadline = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)


class StreamTest(EngineCase):
    """Guards against streams that differ from a real engine's."""

    def test_stream_is_complete_and_ends_with_usage_and_done(self):
        text = self.ask(stream=True).data.decode()
        data = [
            line[6:] for line in text.splitlines() if line.startswith("data: ")
        ]
        self.assertEqual(data[-1], "[DONE]")
        usage = json.loads(data[-2])["usage"]
        self.assertEqual(usage["completion_tokens"], 4)
        pieces = [json.loads(d)["choices"] for d in data[:-2]]
        answer = "".join(p[0]["delta"].get("content", "") for p in pieces)
        mark = pacing.make_digest("user:hello")
        self.assertEqual(answer.split(), [f"{mark}-{n}" for n in range(4)])

    def test_one_event_for_each_http_chunk(self):
        chunks = list(self.ask(stream=True).read_chunked())
        self.assertEqual([c.count(b"data: ") for c in chunks], [1] * 8)

    def test_resume_continues_at_the_event(self):
        whole = self.ask(stream=True, request_id="a").data
        path = self.engine.url + "/v1/streams/a?from=3"
        rest = self.http.request("GET", path).data
        self.assertTrue(rest.startswith(b"id: 3\n"))
        self.assertTrue(whole.endswith(rest))

    def test_cancel_frees_the_memory(self):
        response = self.ask(tokens=1_000, stream=True, request_id="a")
        self.assertGreater(self.get_stats()["held_tokens"], 0)
        self.assertEqual(self.call("DELETE", "/v1/streams/a")[0], 200)
        self.assertEqual(self.get_stats()["held_tokens"], 0)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            response.read()

    def test_silent_stream_stays_open_while_new_ones_work(self):
        response = self.ask(tokens=100, timeout_s=0.3, stream=True)
        self.call("POST", "/faults", {"kind": "silent", "value": "open"})
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            response.read()
        self.assertIn(b"[DONE]", self.ask(stream=True).data)


class ColdStartTest(EngineCase):
    """Guards against a cold engine that takes more than it bears."""

    OVERRIDES = [
        "cold.starts_cold=true",
        "cold.warm_after=3",
        "engine.tokens_per_s=200",
    ]

    def test_takes_what_it_bears_until_it_is_warm(self):
        held = [self.ask(tokens=30, stream=True) for _ in range(2)]
        refusal = self.ask()
        self.assertEqual(refusal.status, 503)
        error = json.loads(refusal.data)["error"]
        self.assertEqual((error["code"], error["run"]), ("cold", "no"))
        for response in held:
            self.assertIn(b"[DONE]", response.data)
        self.assertTrue(self.get_stats()["cold"])
        self.assertEqual(self.ask().status, 200)
        self.wait_for(lambda: not self.get_stats()["cold"])
        stats = self.get_stats()
        self.assertEqual(
            (stats["peak_while_cold"], stats["cold_excess"]), (2, 1)
        )


class CrashTest(EngineCase):
    """Guards against a crash that leaves traces of the old process."""

    OVERRIDES = [
        "memory.capacity_tokens=300",
        "memory.refuse_share=0",
        "engine.tokens_per_s=200",
    ]

    def test_too_many_held_tokens_break_streams_and_change_generation(self):
        before = self.get_stats()["generation"]
        response = self.ask("x" * 800, tokens=200, stream=True)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            response.read()
        host, port = self.engine.url[7:].split(":")
        with self.assertRaises(ConnectionRefusedError):
            # The listening socket may close just after the stream breaks.
            for _ in range(20):
                socket.create_connection((host, int(port))).close()
                time.sleep(0.01)
        self.wait_for(self.is_up)
        stats = self.get_stats()
        self.assertNotEqual(stats["generation"], before)
        self.assertTrue(stats["cold"])
        self.assertEqual((stats["crashes"], stats["held_tokens"]), (1, 0))

    def test_crashes_only_on_the_named_content(self):
        fault = {"kind": "crash_on", "content": "poison"}
        self.call("POST", "/faults", fault)
        self.assertEqual(self.ask("harmless").status, 200)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.ask("some poison").read()
        self.wait_for(self.is_up)
        self.assertEqual(self.get_stats()["crashes"], 1)

    def is_up(self):
        try:
            return self.call("GET", "/healthz")[0] == 200
        except urllib3.exceptions.HTTPError:
            return False


class FullTest(EngineCase):
    """Guards against a refusal for memory after work was started."""

    OVERRIDES = ["memory.capacity_tokens=300", "engine.tokens_per_s=200"]

    def test_refuses_before_the_memory_can_run_out(self):
        held = self.ask("x" * 400, tokens=100, stream=True)
        refusal = self.ask("x" * 400, tokens=100)
        self.assertEqual(json.loads(refusal.data)["error"]["code"], "full")
        self.assertIn(b"[DONE]", held.data)
        self.assertEqual(self.get_stats().get("crashes", 0), 0)


class OrderTest(EngineCase):
    """Guards against an engine that obeys a former lease holder."""

    OVERRIDES = ["orders.load_s=0"]

    def order(self, fence):
        document = {"action": "role", "role": f"r{fence}", "fence": fence}
        return self.call("POST", "/v1/orders", document)[0]

    def test_stale_token_is_refused_unless_tokens_are_ignored(self):
        self.assertEqual([self.order(5), self.order(4)], [200, 409])
        self.assertEqual(self.get_stats()["role"], "r5")
        self.call("POST", "/faults", {"kind": "ignore_fence"})
        self.assertEqual(self.order(4), 200)
        self.assertEqual(self.get_stats()["role"], "r4")


class CacheEventTest(EngineCase):
    """Guards against cache events that are too good to be true."""

    OVERRIDES = ["reports.cache_delay_s=0.3", "reports.cache_gap_share=0.5"]

    def test_events_are_late_and_gaps_show_in_the_numbers(self):
        content = "".join(f"{n:04d}" for n in range(256 * 20))
        self.ask(content, tokens=1).read()
        early = self.call("GET", "/v1/cache-events?after=0")[1]
        self.assertEqual((early["events"], early["last"]), ([], 0))
        time.sleep(0.35)
        events = self.call("GET", "/v1/cache-events?after=0")[1]["events"]
        expected = prefixes.hash_prefixes("atlas-small-1", "user:" + content)
        self.assertTrue(0 < len(events) < len(expected))
        for event in events:
            self.assertEqual(event["prefix"], expected[event["number"] - 1])


class ReportLagTest(EngineCase):
    """Guards against load reports that are fresher than a real engine's."""

    OVERRIDES = ["reports.lag_s=0.4"]

    def test_report_shows_the_load_late(self):
        time.sleep(0.5)
        self.ask(tokens=1_000, stream=True)
        self.assertEqual(self.call("GET", "/v1/load")[1]["running"], 0)
        self.wait_for(lambda: self.call("GET", "/v1/load")[1]["running"] == 1)
