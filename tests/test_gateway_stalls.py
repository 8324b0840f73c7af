"""Tests of streams whose upstreams stall for a while."""

from concurrent import futures
import signal
import time
import unittest

from tests import gateway_world
from tests import processes


class GatewayStallTest(unittest.TestCase):
    """Guards against intact streams that are cut because they are slow."""

    def setUp(self):
        self.world = gateway_world.World()
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]

    def _limit_retries(self, floor):
        """Restarts the node with a retry budget of a floor and no ratio."""
        self.node.stop()
        self.node.write_settings(
            4.0,
            **{
                "bounds.retryBudgetRatio": "0",
                "bounds.budgetMinRetries": str(floor),
            },
        )
        self.node.start()
        self.node.wait_ready()

    def test_streams_that_stall_together_outlast_the_budget_of_repeats(self):
        # Allows one retry, since a node uses a part of the floor.
        self._limit_retries(2)
        for engine in self.world.engines:
            engine.first_gap_s = 1.8
        with futures.ThreadPoolExecutor() as pool:
            streams = [pool.submit(self.node.stream) for _ in range(5)]
            processes.wait_for(lambda: self.world.count_runs() == 5)
            time.sleep(0.1)
            # After the process was paused, all streams exceed their timeouts.
            self.node.send_signal(signal.SIGSTOP)
            time.sleep(1.2)
            self.node.send_signal(signal.SIGCONT)
            responses = [stream.result() for stream in streams]
        for response in responses:
            self.assertIn(b"id: 4\n", response.data)
        self.assertLessEqual(self.world.count_runs(), 6)
