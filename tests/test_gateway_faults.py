"""Tests of the gateway during failures of processes and of the store."""

from concurrent import futures
import signal
import socket
import time
import unittest

from tests import gateway_world
from tests import platform_standins
from tests import processes


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
        proxy = platform_standins.StoreProxy(self.world.store)
        self.addCleanup(proxy.stop)
        lone = self.world.add_node("node-9", proxy)
        # The node has to receive the entries of the other nodes first.
        time.sleep(1.0)
        proxy.refuse = 503
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
            response = caller.recv(200)
            self.node.send_signal(signal.SIGSTOP)
            # Longer than two of the event gaps that the route allows.
            time.sleep(1.6)
            self.node.send_signal(signal.SIGCONT)
            while data := caller.recv(4096):
                response += data
        self.assertTrue(response.endswith(b"0\r\n\r\n"), response)
        self.assertEqual(self.world.count_runs(), 1)

    def test_process_without_a_configuration_refuses_truthfully(self):
        self.world.store.refuse = 503
        self.node.send_signal(signal.SIGKILL)
        self.node.wait()
        self.node.start()
        processes.wait_for(self._is_listening)
        response = self.node.request("/status/1")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        began = time.monotonic()
        self.assertEqual(self.node.request("/status/1").status, 503)
        # Requests wait only for a short time after the start of a process.
        self.assertLess(time.monotonic() - began, 0.3)
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
            response = caller.recv(200)
            self.node.send_signal(signal.SIGTERM)
            processes.wait_for(lambda: "draining," in self.node.read_log())
            self.assertFalse(self.node.is_ready())
            # New requests are served until the load balancer has noticed.
            self.assertEqual(self.node.request("/status/1").status, 200)
            while data := caller.recv(4096):
                response += data
        self.assertTrue(response.endswith(b"0\r\n\r\n"))
        self.assertIn(b"id: 20\n", response)
        self.assertEqual(self.node.wait(), 0)

    def test_work_goes_on_at_an_upstream_whose_entry_has_gone(self):
        for engine in self.world.engines:
            engine.events, engine.pause_s = 12, 0.1
        with futures.ThreadPoolExecutor() as pool:
            stream = pool.submit(self.node.stream)
            processes.wait_for(lambda: self.world.count_runs() == 1)
            for engine in self.world.engines:
                self.world.store.remove(f"servers/{engine.identity}")
            response = stream.result()
        self.assertIn(b"id: 12\n", response.data)
        self.assertEqual(self.world.count_runs(), 1)

    def test_changed_settings_are_taken_without_a_signal(self):
        self.node.write_settings(7.0)
        processes.wait_for(lambda: "settings reloaded" in self.node.read_log())
        self.node.write_settings("wrong")
        processes.wait_for(lambda: "settings rejected" in self.node.read_log())
        self.assertEqual(self.node.request("/status/1").status, 200)

    def test_callers_of_a_starting_process_wait_for_it(self):
        node = self.world.start_node("early")
        processes.wait_for(lambda: node.accepts(node.front))
        self.assertFalse(node.accepts(node.ready_address))
        self.assertEqual(node.request("/status/x").status, 200)

    def test_reload_while_a_process_starts_does_not_end_it(self):
        node = self.world.start_node("starting")
        processes.wait_for(lambda: node.ignores_signal(signal.SIGHUP))
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
