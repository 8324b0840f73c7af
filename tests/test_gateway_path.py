"""Tests of the whole path on the users' platform, with real processes."""

import json
import signal
import socket
import time
import unittest

from tests import gateway_world
from tests import platform_standins
from tests import processes


def build_stream(model, first, last):
    """Returns the bytes of a stream's events."""
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, model)
        for number in range(first, last + 1)
    )


class GatewayPathTest(unittest.TestCase):
    """Guards against changed requests and answers, and untrue refusals."""

    @classmethod
    def setUpClass(cls):
        cls.world = gateway_world.World()
        cls.addClassCleanup(cls.world.close)
        cls.node = cls.world.nodes[0]

    def setUp(self):
        self.world.reset()
        # Requests of earlier tests have kept upstreams out for a moment.
        processes.wait_for(lambda: self.node.request("/status/x").status == 200)
        self.world.reset()

    def test_request_and_answer_are_passed_on(self):
        answer = self.node.request(
            "/lodge/a?b=%20c",
            b"body",
            x_own="kept",
            tenant_id="forged",
            kv_from="1.2.3.4:5/x",
            connection="x-hop",
            x_hop="dropped",
        )
        self.assertEqual((answer.status, answer.data), (200, b"echo body"))
        desk = next(d for d in self.world.desks if d.seen)
        seal = answer.headers["Response-Seal"]
        self.assertEqual(seal, f"seal-of-{desk.identity}")
        method, path, headers, body = desk.seen[0]
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
            answer = b""
            while data := caller.recv(4096):
                answer += data
        self.assertTrue(answer.endswith(b"echo abcde"), answer)

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
                answer = b""
                while data := caller.recv(4096):
                    answer += data
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
        self.assertEqual(self.world.count_runs(), 0)

    def test_truthful_refusals(self):
        for path, headers, status in (
            ("/none/1", {}, 404),
            ("/status/1", {"host": "other.example"}, 404),
            ("/status/1", {"authorization": "Bearer other"}, 401),
            ("/status/1", {"authorization": None}, 401),
        ):
            with self.subTest(path=path, headers=headers):
                answer = self.node.request(path, **headers)
                self.assertEqual(answer.status, status)
        large = self.node.request("/lodge/1", b"x" * 100_001)
        self.assertEqual(large.status, 413)
        self.assertEqual(self.world.count_runs(), 0)

    def test_full_upstreams_give_a_refusal_with_a_time(self):
        for desk in self.world.desks:
            desk.mode = "refuse"
        answer = self.node.request("/lodge/1", b"x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertNotIn("Response-Seal", answer.headers)

    def test_unsafe_request_that_broke_is_not_run_again(self):
        for desk in self.world.desks:
            desk.mode = "reset"
        answer = self.node.request("/lodge/1", b"x")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.world.count_runs(), 1)

    def test_failure_of_an_upstream_keeps_its_seal(self):
        for desk in self.world.desks:
            desk.mode = "fail"
        answer = self.node.request("/lodge/1", b"x")
        self.assertEqual((answer.status, answer.data), (500, b"failed"))
        self.assertIn("Response-Seal", answer.headers)

    def test_safe_request_is_repeated_elsewhere(self):
        for mode in ("fail", "reset", "unsealed", "refuse", "hang"):
            for broken in self.world.desks:
                with self.subTest(mode=mode, broken=broken.identity):
                    self.world.reset()
                    broken.mode = mode
                    answer = self.node.request("/status/1")
                    self.assertEqual(answer.status, 200)

    def test_second_answer_reaches_nobody(self):
        for desk in self.world.desks:
            desk.mode = "extra"
        for number in range(10):
            answer = self.node.request("/lodge/1", b"%d" % number)
            self.assertEqual(answer.data, b"echo %d" % number)

    def test_doubtful_answer_is_replaced_before_the_caller_sees_it(self):
        for engine in self.world.engines:
            engine.confidences = {"small": 5, "large": 90}
        answer = self.node.stream()
        self.assertEqual(answer.data, build_stream(b"large", 1, 4))
        for engine in self.world.engines:
            engine.confidences = {"small": 95}
        answer = self.node.stream()
        self.assertEqual(answer.data, build_stream(b"small", 1, 4))

    def test_cut_stream_goes_on_at_another_engine(self):
        for broken in self.world.engines:
            with self.subTest(broken=broken.identity):
                self.world.reset()
                broken.mode = "cut"
                for _ in range(4):
                    answer = self.node.stream()
                    self.assertEqual(answer.data, build_stream(b"small", 1, 4))

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
            lambda: sum(engine.left for engine in self.world.engines) == 1
        )
        self.assertLess(took_s, 0.5)

    def test_route_timeout_ends_an_open_request(self):
        for desk in self.world.desks:
            desk.mode = "hang"
        began = time.monotonic()
        answer = self.node.request("/lodge/1", b"x", request_deadline="600")
        self.assertEqual(answer.status, 504)
        self.assertLess(time.monotonic() - began, 1.0)

    def test_metrics_and_log_tell_of_a_request(self):
        answer = self.node.request("/status/1", request_id="q-log")
        self.assertEqual(answer.status, 200)
        page = gateway_world.HTTP.request("GET", self.node.metrics).data
        self.assertIn(b"sycamore_requests_total", page)
        processes.wait_for(lambda: "request=q-log" in self.node.read_log())


class GatewayChangeTest(unittest.TestCase):
    """Guards against stale configurations and replicas, and lost work."""

    def setUp(self):
        self.world = gateway_world.World(nodes=2)
        self.addCleanup(self.world.close)
        self.node, self.other = self.world.nodes

    def test_changes_are_in_force_within_two_seconds(self):
        world = self.world
        extra = {
            "name": "r-new",
            "host": "models.example",
            "pathPrefix": "/new/",
            "kind": "safe",
            "timeoutMs": 2000,
            "service": "desk",
        }
        world.configure(version=5, keys=["key-2"], extra=[extra])
        for node in world.nodes:
            took_s = gateway_world.wait_until(
                lambda node=node: (
                    node.request("/new/1", authorization="Bearer key-2").status
                    == 200
                )
            )
            self.assertLess(took_s, 2.0)
            self.assertEqual(node.request("/status/1").status, 401)
        gone = world.desks[0]
        gone.register(world.store, "desk", state="draining", seq=2)
        time.sleep(1.0)
        gone.seen = []
        for _ in range(10):
            self.node.request("/status/1", authorization="Bearer key-2")
        self.assertEqual(gone.seen, [])

    def test_evacuation_is_obeyed_and_ends(self):
        world = self.world
        world.desks[0].register(world.store, "desk", zone="dc-2")
        world.store.put("op/evacuate/dc-2", "{}")
        time.sleep(1.0)
        world.reset()
        for _ in range(10):
            self.assertEqual(self.node.request("/status/1").status, 200)
        self.assertEqual(world.desks[0].seen, [])
        world.store.remove("op/evacuate/dc-2")
        world.desks[1].register(world.store, "desk", state="draining")
        time.sleep(1.0)
        self.assertEqual(self.node.request("/status/1").status, 200)
        self.assertEqual(len(world.desks[0].seen), 1)

    def test_forged_entries_are_skipped(self):
        store = self.world.store
        for number, value in enumerate(
            ("", "no json", "[]", '{"service": 3}', b"\xff\xfe")
        ):
            store.put(f"servers/forged-{number}", value)
        store.compact()
        self.world.configure(version=7, keys=["key-3"])
        gateway_world.wait_until(
            lambda: (
                self.node.request(
                    "/status/1", authorization="Bearer key-3"
                ).status
                == 200
            )
        )
        self.assertIn("entry=servers/forged-1", self.node.read_log())

    def test_address_taken_by_another_upstream_is_not_used(self):
        world = self.world
        world.desks[0].register(world.store, "desk", address="127.0.0.1:1")
        impostor = world.engines[0]
        world.desks[1].register(world.store, "desk", address=impostor.address)
        time.sleep(1.0)
        answer = self.node.request("/lodge/1", b"x")
        self.assertEqual(answer.status, 503)
        self.assertEqual(impostor.seen, [])

    def test_roll_out_is_completed_by_exactly_one_status(self):
        world = self.world
        for engine in world.engines[1:]:
            engine.register(world.store, "llm", version="v2")
        order = {"service": "llm", "target": "v2", "durationS": 5}
        world.store.put("op/rollout/llm", json.dumps(order))
        end = time.monotonic() + 8
        state = ""
        while state != "completed" and time.monotonic() < end:
            for node in world.nodes:
                for _ in range(10):
                    self.assertEqual(node.stream().status, 200)
            value = world.store.read("status/rollout/llm")
            state = json.loads(value)["state"] if value else ""
        self.assertEqual(state, "completed")
        time.sleep(0.6)
        world.reset()
        for _ in range(5):
            self.node.stream()
        self.assertEqual(world.engines[0].seen, [])

    def test_bad_version_is_rolled_back_at_all_nodes(self):
        world = self.world
        bad = world.engines[1]
        bad.register(world.store, "llm", version="v2")
        bad.mode = "fail"
        order = {"service": "llm", "target": "v2", "durationS": 20}
        world.store.put("op/rollout/llm", json.dumps(order))
        end = time.monotonic() + 12
        state = ""
        while state != "rolled_back" and time.monotonic() < end:
            for node in world.nodes:
                for _ in range(10):
                    self.assertEqual(node.stream().status, 200)
            value = world.store.read("status/rollout/llm")
            state = json.loads(value)["state"] if value else ""
        self.assertEqual(state, "rolled_back")
        time.sleep(0.6)
        bad.seen = []
        for node in world.nodes:
            for _ in range(20):
                node.stream()
        self.assertEqual(bad.seen, [])


class GatewayFaultTest(unittest.TestCase):
    """Guards against lost requests when processes and the store fail."""

    def setUp(self):
        self.world = gateway_world.World(nodes=2)
        self.addCleanup(self.world.close)
        self.node, self.other = self.world.nodes

    def test_requests_are_served_while_the_store_is_away(self):
        self.world.store.refuse = 503
        time.sleep(1.0)
        for _ in range(5):
            self.assertEqual(self.node.request("/status/1").status, 200)
        self.assertTrue(self.node.is_ready())

    def test_node_that_the_store_turns_away_learns_from_another(self):
        gate = platform_standins.Gate(self.world.store)
        self.addCleanup(gate.stop)
        lone = self.world.add_node("node-9", gate)
        # Its entry has to reach it, so that it knows the other nodes.
        time.sleep(1.0)
        gate.refuse = 503
        processes.wait_for(lambda: "store lost" in lone.read_log(), 20.0)
        self.world.configure(version=9, keys=["key-9"])
        took_s = gateway_world.wait_until(
            lambda: (
                lone.request("/status/1", authorization="Bearer key-9").status
                == 200
            )
        )
        self.assertLess(took_s, 3.0)
        self.assertEqual(lone.request("/status/1").status, 401)

    def test_killed_and_frozen_processes_come_back(self):
        self.node.send_signal(signal.SIGKILL)
        self.node.wait()
        self.assertEqual(self.other.request("/status/1").status, 200)
        self.node.start()
        self.node.wait_ready()
        self.assertEqual(self.node.request("/status/1").status, 200)
        self.node.send_signal(signal.SIGSTOP)
        self.world.configure(version=9, keys=["key-9"])
        time.sleep(1.0)
        self.node.send_signal(signal.SIGCONT)
        took_s = gateway_world.wait_until(
            lambda: (
                self.node.request(
                    "/status/1", authorization="Bearer key-9"
                ).status
                == 200
            )
        )
        self.assertLess(took_s, 2.0)

    def test_stream_goes_on_after_a_pause_of_the_process(self):
        for engine in self.world.engines:
            engine.events, engine.pause_s = 6, 0.15
        with self.node.open_socket() as caller:
            caller.settimeout(10)
            caller.sendall(
                b"POST /draft/1 HTTP/1.1\r\nHost: models.example\r\n"
                b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
                b"Accept: text/event-stream\r\nModel: *\r\n"
                b"Connection: close\r\nContent-Length: 1\r\n\r\nx"
            )
            answer = caller.recv(200)
            self.node.send_signal(signal.SIGSTOP)
            # Longer than two of the pauses that the route tolerates.
            time.sleep(1.6)
            self.node.send_signal(signal.SIGCONT)
            while data := caller.recv(4096):
                answer += data
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
        self.assertEqual(self.world.count_runs(), 1)

    def test_process_without_a_configuration_refuses_truthfully(self):
        self.world.store.refuse = 503
        self.node.send_signal(signal.SIGKILL)
        self.node.wait()
        self.node.start()
        processes.wait_for(self._is_listening)
        answer = self.node.request("/status/1")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertFalse(self.node.is_ready())
        self.world.store.refuse = 0
        self.node.wait_ready()

    def _is_listening(self):
        try:
            self.node.open_socket().close()
        except OSError:
            return False
        return True

    def test_termination_cuts_no_request(self):
        for engine in self.world.engines:
            engine.events, engine.pause_s = 20, 0.05
        with self.node.open_socket() as caller:
            caller.settimeout(10)
            caller.sendall(
                b"POST /draft/1 HTTP/1.1\r\nHost: models.example\r\n"
                b"Request-Id: q\r\nAuthorization: Bearer key-1\r\n"
                b"Accept: text/event-stream\r\nModel: *\r\n"
                b"Content-Length: 1\r\n\r\nx"
            )
            answer = caller.recv(200)
            self.node.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            self.assertFalse(self.node.is_ready())
            # New requests are served until the balancer has noticed.
            self.assertEqual(self.node.request("/status/1").status, 200)
            while data := caller.recv(4096):
                answer += data
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        self.assertIn(b"id: 20\n", answer)
        self.assertEqual(self.node.wait(), 0)

    def test_changed_settings_are_taken_without_a_signal(self):
        self.node.write_settings(7.0)
        processes.wait_for(lambda: "settings reloaded" in self.node.read_log())
        self.node.write_settings("wrong")
        processes.wait_for(lambda: "settings rejected" in self.node.read_log())
        self.assertEqual(self.node.request("/status/1").status, 200)

    def test_reload_while_a_process_starts_does_not_end_it(self):
        node = self.world.start_node("starting")
        processes.wait_for(lambda: node.ignores(signal.SIGHUP))
        node.send_signal(signal.SIGHUP)
        node.wait_ready()

    def test_silent_engines_do_not_hold_callers(self):
        silent = self.world.engines[0]
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "127.0.0.1:%d" % listener.getsockname()[1]
            silent.register(self.world.store, "llm", address=address)
            time.sleep(0.8)
            for _ in range(5):
                began = time.monotonic()
                self.assertEqual(self.node.stream().status, 200)
                self.assertLess(time.monotonic() - began, 2.0)
