"""A planned stop of an entry process under continuous load."""

import http.client
import signal
import threading
import time
import unittest

from sycamorehollow.shells import assembly
from tests import fault_world
from tests import processes

CALLERS = 8
# New callers still connect for this long after the load balancers should have
# noticed the stop.
LATE_S = 0.6


class StopTest(unittest.TestCase):
    """Guards against accepted requests interrupted by a stop."""

    def setUp(self):
        self.world = fault_world.World(("dc-1",))
        self.addCleanup(self.world.close)
        self.entry = self.world.entries[0]
        self.cut = []
        self.answered = 0
        self.end = time.monotonic() + 60.0

    def _connect(self):
        address = self.entry.url.removeprefix("http://")
        return http.client.HTTPConnection(address, timeout=8)

    def _ask(self, caller):
        """Sends one request; returns whether the connection will close."""
        headers = {"Authorization": f"Bearer {processes.API_KEY}"}
        try:
            caller.request("POST", "/v1/tickets", b"{}", headers)
            answer = caller.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.cut.append(repr(error))
            return True
        self.answered += 1
        return answer.will_close

    def _open_new_ones(self):
        while time.monotonic() < self.end:
            caller = self._connect()
            self._ask(caller)
            caller.close()

    def _keep_one(self):
        caller = self._connect()
        while not self._ask(caller):
            time.sleep(0.05)
        caller.close()

    def test_callers_are_answered_until_they_are_told_to_leave(self):
        threads = [
            threading.Thread(target=target)
            for target in [self._open_new_ones] * CALLERS + [self._keep_one] * 2
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.entry.child.send_signal(signal.SIGTERM)
        self.end = time.monotonic() + assembly.DRAIN_DELAY_S + LATE_S
        for thread in threads:
            thread.join()
        self.assertEqual(self.cut, [])
        self.assertGreater(self.answered, CALLERS)
        self.assertEqual(self.entry.child.wait(20), 0)
