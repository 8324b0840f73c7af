"""Tests of streams that have no length and end with their connection."""

import re
import unittest

from tests import gateway_world
from tests import processes


class ClosingStreamTest(gateway_world.SharedWorldTest):
    """Guards against broken streams that are passed on as complete."""

    def setUp(self):
        super().setUp()
        for engine in self.world.engines:
            engine.closing = True

    def stream(self):
        """Returns the status and the events of a stream."""
        response = self.node.stream(model="small")
        if response.status == 200:
            self.assertTrue(response.data.endswith(b"\n\n"), response.data)
        return response.status, re.findall(rb"id: (\d+)", response.data)

    def test_whole_stream_is_delivered(self):
        self.assertEqual(self.stream(), (200, [b"1", b"2", b"3", b"4"]))
        self.assertEqual(self.world.count_runs(), 1)

    def test_stream_that_ends_inside_an_event_is_continued(self):
        for engine in self.world.engines:
            with self.subTest(engine=engine.identity):
                self.world.reset()
                for other in self.world.engines:
                    other.closing = True
                engine.mode = "cut"
                for _ in range(4):
                    events = [b"1", b"2", b"3", b"4"]
                    self.assertEqual(self.stream(), (200, events))

    def test_stream_that_ends_before_its_first_event_is_repeated(self):
        for engine in self.world.engines:
            engine.mode = "empty"
        status, _ = self.stream()
        self.assertEqual(status, 502)
        self.world.engines[0].mode = "serve"
        # The content is suspected until the engines were found to be alive.
        processes.wait_for(lambda: self.stream()[0] == 200, 2.0)


if __name__ == "__main__":
    unittest.main()
