"""Tests of requests through a gateway process to stand-ins."""

import time

from tests import gateway_world
from tests import processes


def build_stream(model, first, last):
    """Returns the bytes of a stream's events."""
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, model)
        for number in range(first, last + 1)
    )


class GatewayPathTest(gateway_world.SharedWorldTest):
    """Guards against altered requests and responses, and false rejections."""

    def test_request_and_answer_are_passed_on(self):
        response = self.node.request(
            "/lodge/a?b=%20c",
            b"body",
            x_own="kept",
            tenant_id="forged",
            kv_from="1.2.3.4:5/x",
            connection="x-hop",
            x_hop="dropped",
        )
        self.assertEqual((response.status, response.data), (200, b"echo body"))
        desk = next(d for d in self.world.desks if d.run_requests)
        seal = response.headers["Response-Seal"]
        self.assertEqual(seal, f"seal-of-{desk.identity}")
        method, path, headers, body = desk.run_requests[0]
        self.assertEqual(
            (method, path, body), ("POST", "/lodge/a?b=%20c", b"body")
        )
        self.assertEqual(headers["Tenant-Id"], "maps")
        self.assertEqual(headers["X-Own"], "kept")
        self.assertEqual(headers["Target-Replica"], desk.identity)
        self.assertLessEqual(int(headers["Request-Deadline"]), 4000)
        for name in ("Authorization", "Kv-From", "X-Hop"):
            self.assertNotIn(name, headers)

    def test_chunked_body_is_passed_on_whole(self):
        with self.node.open_socket() as caller:
            caller.sendall(
                b"POST /lodge/1 HTTP/1.1\r\nHost: models.example\r\n"
                b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
                b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            response = b""
            while data := caller.recv(4096):
                response += data
        self.assertTrue(response.endswith(b"echo abcde"), response)

    def test_smuggled_requests_are_refused(self):
        for framing in (
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 4\r\nContent-Length: 9\r\n",
            b"Transfer-Encoding: xchunked\r\n",
            b"Transfer-Encoding : chunked\r\n",
        ):
            with self.subTest(framing), self.node.open_socket() as caller:
                caller.settimeout(3)
                caller.sendall(
                    b"POST /lodge/1 HTTP/1.1\r\nHost: models.example\r\n"
                    b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
                    + framing
                    + b"\r\n0\r\n\r\nGET /status/smuggled HTTP/1.1\r\n"
                    b"Host: models.example\r\nRequest-Id: s\r\n\r\n"
                )
                response = b""
                while data := caller.recv(4096):
                    response += data
                self.assertTrue(response.startswith(b"HTTP/1.1 400"), response)
        self.assertEqual(self.world.count_runs(), 0)

    def test_truthful_refusals(self):
        for path, headers, status in (
            ("/none/1", {}, 404),
            ("/status/1", {"host": "other.example"}, 404),
            ("/status/1", {"authorization": "Bearer other"}, 401),
            ("/status/1", {"authorization": None}, 401),
        ):
            with self.subTest(path=path, headers=headers):
                response = self.node.request(path, **headers)
                self.assertEqual(response.status, status)
        large = self.node.request("/lodge/1", b"x" * 100_001)
        self.assertEqual(large.status, 413)
        self.assertEqual(self.world.count_runs(), 0)

    def test_full_upstreams_give_a_refusal_with_a_time(self):
        for desk in self.world.desks:
            desk.mode = "refuse"
        response = self.node.request("/lodge/1", b"x")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertNotIn("Response-Seal", response.headers)

    def test_unsafe_request_that_broke_is_not_run_again(self):
        for desk in self.world.desks:
            desk.mode = "reset"
        response = self.node.request("/lodge/1", b"x")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.world.count_runs(), 1)

    def test_failure_of_an_upstream_keeps_its_seal(self):
        for desk in self.world.desks:
            desk.mode = "fail"
        response = self.node.request("/lodge/1", b"x")
        self.assertEqual((response.status, response.data), (500, b"failed"))
        self.assertIn("Response-Seal", response.headers)

    def test_safe_request_is_repeated_elsewhere(self):
        for mode in ("fail", "reset", "unsealed", "refuse", "hang"):
            for broken in self.world.desks:
                with self.subTest(mode=mode, broken=broken.identity):
                    self.world.reset()
                    broken.mode = mode
                    response = self.node.request("/status/1")
                    self.assertEqual(response.status, 200)

    def test_second_answer_reaches_nobody(self):
        for desk in self.world.desks:
            desk.mode = "extra"
        for number in range(10):
            response = self.node.request("/lodge/1", b"%d" % number)
            self.assertEqual(response.data, b"echo %d" % number)

    def test_doubtful_answer_is_replaced_before_the_caller_sees_it(self):
        for engine in self.world.engines:
            engine.confidences = {"small": 5, "large": 90}
        response = self.node.stream()
        self.assertEqual(response.data, build_stream(b"large", 1, 4))
        for engine in self.world.engines:
            engine.confidences = {"small": 95}
        response = self.node.stream()
        self.assertEqual(response.data, build_stream(b"small", 1, 4))

    def test_cut_stream_goes_on_at_another_engine(self):
        for broken in self.world.engines:
            with self.subTest(broken=broken.identity):
                self.world.reset()
                broken.mode = "cut"
                for _ in range(4):
                    response = self.node.stream()
                    self.assertEqual(
                        response.data, build_stream(b"small", 1, 4)
                    )

    def test_stream_that_cannot_go_on_does_not_look_whole(self):
        for engine in self.world.engines:
            engine.mode = "cut"
        with self.assertRaises(gateway_world.urllib3.exceptions.ProtocolError):
            self.node.stream()

    def test_run_ends_when_its_caller_leaves(self):
        for engine in self.world.engines:
            engine.events, engine.pause_s = 200, 0.02
        with self.node.open_socket() as caller:
            caller.sendall(
                b"POST /draft/1 HTTP/1.1\r\nHost: models.example\r\n"
                b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
                b"Accept: text/event-stream\r\nModel: *\r\n"
                b"Content-Length: 1\r\n\r\nx"
            )
            caller.recv(200)
        took_s = gateway_world.wait_until(
            lambda: (
                sum(engine.aborted_streams for engine in self.world.engines)
                == 1
            )
        )
        self.assertLess(took_s, 0.5)

    def test_route_timeout_ends_an_open_request(self):
        for desk in self.world.desks:
            desk.mode = "hang"
        began = time.monotonic()
        response = self.node.request("/lodge/1", b"x", request_deadline="600")
        self.assertEqual(response.status, 504)
        self.assertLess(time.monotonic() - began, 1.0)

    def test_metrics_and_log_tell_of_a_request(self):
        response = self.node.request("/status/1", request_id="q-log")
        self.assertEqual(response.status, 200)
        page = gateway_world.HTTP.request("GET", self.node.metrics).data
        self.assertIn(b"sycamore_requests_total", page)
        processes.wait_for(lambda: "request=q-log" in self.node.read_log())
