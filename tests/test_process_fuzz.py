"""Sends malformed requests to a real entry process."""

import json
import socket
import unittest

import hypothesis
from hypothesis import strategies

from tests import processes

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=6,
)
BODIES = strategies.fixed_dictionaries(
    {},
    optional={
        "model": VALUES | strategies.just("small-1"),
        "messages": VALUES
        | strategies.just([{"role": "user", "content": "hello"}]),
        "stream": VALUES,
        "max_tokens": VALUES | strategies.integers(1, 3),
        "stream_options": VALUES,
        "metadata": VALUES,
    },
)
HEADERS = strategies.dictionaries(
    strategies.sampled_from(
        ["X-Deadline-Ms", "X-Session", "X-Request-Kind", "Idempotency-Key"]
    ),
    strategies.text(
        strategies.characters(min_codepoint=33, max_codepoint=126), max_size=20
    ),
    max_size=3,
)


class FuzzTest(unittest.TestCase):
    """Guards against malformed input that does not get a typed 4xx response."""

    @classmethod
    def setUpClass(cls):
        cls.running = processes.Processes()
        cls.addClassCleanup(cls.running.stop)
        _, store = cls.running.start_stand_in("store")
        _, engine = cls.running.start_stand_in(
            "engine", "engine.versions=small-1", "engine.tokens_per_s=500"
        )
        platform = processes.build_platform({"a": engine})
        processes.put_branch(store, "platform", platform)
        processes.put_branch(store, "maps", processes.build_team())
        cls.entry, cls.url = cls.running.start_entry("entry-1", store)

    def _send(self, body, headers):
        return processes.HTTP.request(
            "POST",
            f"{self.url}/v1/chat/completions",
            body=body,
            headers={
                "Authorization": f"Bearer {processes.API_KEY}",
                "Content-Type": "application/json",
                **headers,
            },
        )

    def _check(self, answer):
        self.assertIsNone(self.entry.poll())
        if answer.status == 200:
            return
        self.assertLess(answer.status, 500, answer.data)
        error = json.loads(answer.data)["error"]
        self.assertTrue(error["code"])
        self.assertEqual(error["run"], "no")

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(BODIES, HEADERS)
    def test_malformed_fields_get_a_typed_refusal(self, body, headers):
        # The deadline may be too short to serve a valid request.
        headers.pop("X-Deadline-Ms", None)
        self._check(self._send(json.dumps(body).encode(), headers))

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(strategies.binary(max_size=64))
    def test_malformed_bodies_get_a_typed_refusal(self, body):
        self._check(self._send(body, {}))

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(
        strategies.text(
            strategies.characters(min_codepoint=33, max_codepoint=126),
            min_size=1,
            max_size=12,
        ).filter(lambda value: not value.isdigit())
    )
    def test_malformed_deadlines_get_a_typed_refusal(self, value):
        body = b'{"model": "small-1", "messages": [{"role": "user"}]}'
        answer = self._send(body, {"X-Deadline-Ms": value})
        self.assertEqual(answer.status, 400)
        self._check(answer)

    def test_malformed_chunked_body_gets_a_typed_refusal(self):
        host, _, port = self.url.removeprefix("http://").rpartition(":")
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n"
            f"Authorization: Bearer {processes.API_KEY}\r\n"
            "Transfer-Encoding: chunked\r\n\r\nnot-a-size\r\nabc\r\n"
        )
        with socket.create_connection((host, int(port)), 5.0) as sock:
            sock.sendall(head.encode())
            answer = b""
            while data := sock.recv(4096):
                answer += data
        self.assertIn(b" 400 ", answer.partition(b"\r\n")[0] + b" ")
        self.assertIn(b'"run": "no"', answer)

    def test_long_prompt_reaches_the_engine_whole(self):
        text = "word " * 200_000
        body = {
            "model": "small-1",
            "max_tokens": 2,
            "messages": [{"role": "user", "content": text}],
        }
        answer = self._send(json.dumps(body).encode(), {})
        self.assertLess(answer.status, 504, answer.data)
        if answer.status == 200:
            tokens = answer.json()["usage"]["prompt_tokens"]
            self.assertGreater(tokens, 200_000)
