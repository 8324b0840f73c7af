"""Tests of gateways that callers load beyond the limits."""

import json
import pathlib
import re
import tempfile
import threading
import unittest

from tests import gateway_world
from tests import memory_crowds
from tests import platform_standins
from tests import processes

MEMORY_MB = 128
MAX_FDS = 400
# Time for which a crowd sends; it stays connected afterwards.
SEND_S = 6.0
SAMPLE_INTERVAL_S = 0.05
# Time for which the crowd stays connected before an ordinary request. A small
# crowd may have sent all before the process reads any of it.
HOLD_S = 1.5
ANSWER_LIMIT_S = 30.0


class MemoryTest(unittest.TestCase):
    """Guards against a process that ends because callers fill its memory.

    The bounds are those that the platform enforces on the process.
    """

    @classmethod
    def setUpClass(cls):
        cls.world = gateway_world.World(nodes=0)
        cls.addClassCleanup(cls.world.close)
        document = platform_standins.build_configuration()
        document["limits"] = {"maxBodyBytes": memory_crowds.BODY_BYTES}
        cls.world.store.put("op/config", json.dumps(document))

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world.reset()
        self.node = gateway_world.Node(
            folder.name,
            "node",
            self.world.store,
            **{
                "limits.memoryMb": str(MEMORY_MB),
                "limits.maxFds": str(MAX_FDS),
            },
        )
        self.addCleanup(self.node.stop)
        self.node.wait_ready()
        processes.wait_for(self.is_answered)

    def is_answered(self):
        """Tells whether one ordinary request is answered."""
        return self.node.request("/lodge/1", b"ordinary").status == 200

    def read_peak_mb(self):
        """Returns the peak of the resident memory."""
        status = pathlib.Path(f"/proc/{self.node.pid}/status").read_text()
        return int(re.findall(r"VmHWM:\s*(\d+)", status)[0]) / 1024

    def count_descriptors(self):
        """Returns the number of open descriptors."""
        return len(list(pathlib.Path(f"/proc/{self.node.pid}/fd").iterdir()))

    def check(self, kinds, *addresses):
        """Lets a crowd send to each address and checks the process."""
        peak_fds = 0
        ended = threading.Event()

        def watch():
            nonlocal peak_fds
            while not ended.wait(SAMPLE_INTERVAL_S) and self.node.is_running:
                peak_fds = max(peak_fds, self.count_descriptors())

        watcher = threading.Thread(target=watch)
        watcher.start()
        try:
            for address in addresses or [self.node.front]:
                crowd = memory_crowds.Crowd(address, kinds)
                self.addCleanup(crowd.close)
                crowd.send(SEND_S)
            ended.wait(HOLD_S)
            self.assertTrue(self.node.is_running)
            answered = True
            try:
                processes.wait_for(self.is_answered, ANSWER_LIMIT_S)
            except TimeoutError:
                answered = False
        finally:
            ended.set()
            watcher.join()
        self.assertTrue(self.node.is_running)
        figures = (self.read_peak_mb(), peak_fds, answered)
        print(f"\n{self.id()}: peak_mb, peak_fds, answered: {figures}")
        self.assertGreater(peak_fds, 0, "the descriptors were not counted")
        self.assertLess(figures[0], MEMORY_MB, figures)
        self.assertLess(peak_fds, MAX_FDS, figures)
        self.assertTrue(answered, figures)

    def test_many_header_lines(self):
        self.check(memory_crowds.CROWDS["many lines"])

    def test_many_header_lines_held(self):
        self.check(memory_crowds.CROWDS["many lines held"])

    def test_many_small_requests(self):
        self.check(memory_crowds.CROWDS["many small requests"])

    def test_heads_without_end(self):
        self.check(memory_crowds.CROWDS["heads without end"])

    def test_empty_lines(self):
        self.check(memory_crowds.CROWDS["empty lines"])

    def test_whole_bodies(self):
        self.check(memory_crowds.CROWDS["whole bodies"])

    def test_bodies_short_of_their_end(self):
        self.check(memory_crowds.CROWDS["bodies short of their end"])

    def test_all_kinds(self):
        self.check(memory_crowds.MIXED)

    def test_all_kinds_at_the_other_ports(self):
        host, _, port = self.node.peer_address.rpartition(":")
        self.check(
            memory_crowds.MIXED,
            self.node.ready_address,
            *(f"{host}:{int(port) + offset}" for offset in (1, 2)),
        )
