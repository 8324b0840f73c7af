"""Tests of gateway processes before upstreams that a prompt part crashes."""

import itertools
import threading
import time
import unittest

import urllib3

from tests import gateway_world
from tests import part_rule

NODES = 3
ENGINES = 6
REQUESTS_PER_S = 16.0
CALLERS = 16
# One in so many requests has the deadly part.
DEADLY_EVERY = 8
DEADLY = "dead"
# Time for which the load is served before requests with the part come.
CALM_S = 2.0
PLAY_S = 12.0


class Load:
    """Callers that send streams, some of them with a deadly prompt part.

    Attributes:
        responses: Time, prompt parts, status and body of each response.
    """

    def __init__(self, nodes, place):
        self.responses = []
        self._nodes = nodes
        self._place = place
        self._numbers = itertools.count()
        self._deadly_from = float("inf")
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self):
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def add_deadly(self):
        """Makes some of the requests deadly from now on."""
        self._deadly_from = time.monotonic()

    def stop(self):
        """Stops the callers and waits for their last responses."""
        self._stop.set()
        for thread in self._threads:
            thread.join(20)

    def _run(self, number):
        node = self._nodes[number % len(self._nodes)]
        pause_s = CALLERS / REQUESTS_PER_S
        self._stop.wait(pause_s * number / CALLERS)
        while not self._stop.is_set():
            sent_at = time.monotonic()
            own = next(self._numbers)
            parts = ["first", f"middle{own % 5}"]
            if sent_at > self._deadly_from and own % DEADLY_EVERY == 0:
                parts.insert(self._place, DEADLY)
            parts.append(f"own{own}")
            prefix = ",".join(f"{part}:100" for part in parts)
            try:
                response = node.stream(prompt_prefix=prefix)
                outcome = response.status, response.data
            except urllib3.exceptions.HTTPError as error:
                outcome = 0, repr(error)
            self.responses.append((sent_at, parts, *outcome))
            self._stop.wait(max(0.0, sent_at + pause_s - time.monotonic()))


class DeadlyPartTest(unittest.TestCase):
    """Guards against a prompt part that crashes one upstream after another."""

    def play(self, place, closing=False):
        """Serves load, then load with a deadly part; returns the load."""
        world = gateway_world.World(nodes=NODES, engines=ENGINES, desks=0)
        self.addCleanup(world.close)
        for engine in world.engines:
            engine.deadly_parts = {DEADLY}
            engine.closing = closing
            engine.pause_s = 0.02
        load = Load(world.nodes, place)
        load.start()
        self.addCleanup(load.stop)
        time.sleep(CALM_S)
        load.add_deadly()
        time.sleep(PLAY_S)
        load.stop()
        crashes = [at for e in world.engines for at in e.crashes]
        arrivals = [at for e in world.engines for at in e.deadly_arrivals]
        self.assertTrue(crashes)
        later = part_rule.count_later_arrivals(crashes, arrivals)
        self.assertLessEqual(
            later,
            part_rule.MAX_LATER_ARRIVALS,
            f"{len(crashes)} crashes, {len(arrivals)} arrivals",
        )
        first_at = min(crashes)
        sound = [
            status == 200
            for at, parts, status, _ in load.responses
            if DEADLY not in parts and at > first_at + 2 * part_rule.CONTACT_S
        ]
        self.assertGreater(len(sound), 20)
        self.assertGreaterEqual(sum(sound) / len(sound), 0.95)
        return load

    def test_deadly_part_in_first_place(self):
        self.play(place=0)

    def test_deadly_part_in_the_middle(self):
        self.play(place=1)

    def test_deadly_part_next_to_last(self):
        load = self.play(place=2)
        late = [
            status
            for at, parts, status, _ in load.responses
            if DEADLY in parts and at > load.responses[-1][0] - 2.0
        ]
        # It is not tried, so no status may promise to take it later.
        self.assertLessEqual(set(late), {502})

    def test_crashes_that_look_like_the_end_of_a_response(self):
        load = self.play(place=1, closing=True)
        for _, parts, status, body in load.responses:
            if DEADLY in parts:
                self.assertNotEqual(status, 200)
            elif status == 200:
                self.assertTrue(body.endswith(b"\n\n"), body)


if __name__ == "__main__":
    unittest.main()
