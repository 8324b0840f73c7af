"""Tests of load reports with a speed, and of its use for placement."""

import dataclasses
import unittest

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.model import forwarding
from sycamorehollow.platform import header_codec
from tests import forwarding_world


def decode_load(value):
    """Returns the load that a response with this header states."""
    headers = [(b"Replica-Load", value)]
    codec = header_codec.PlatformHeaderCodec()
    return codec.decode_response(200, headers).load


class LoadReportTest(unittest.TestCase):
    """Guards against reports that are dropped for a figure too many."""

    def test_figures(self):
        load = forwarding.Load
        self.assertEqual(decode_load(b"3,0,8"), load(3, 0, 8, None))
        self.assertEqual(decode_load(b"3,0,8,100"), load(3, 0, 8, 1.0))
        self.assertEqual(decode_load(b"3, 0, 8, 250, x"), load(3, 0, 8, 2.5))
        for invalid in (b"0", b"", b"-1", b"fast", b"9" * 5000):
            self.assertEqual(decode_load(b"3,0,8," + invalid), load(3, 0, 8))
        for invalid in (b"", b"3,0", b"3,,8,100", b"x,0,8,100"):
            self.assertIsNone(decode_load(invalid))


class SpeedTest(unittest.TestCase):
    """Guards against one slow moment that is held against an upstream."""

    def test_speed_loses_its_weight(self):
        state = directory.UpstreamState(None, 0.0, 0.0)
        self.assertEqual(state.estimate_time_factor(1.0), 1.0)
        state.load, state.load_at = forwarding.Load(1, 0, 8, 2.5), 1.0
        self.assertEqual(state.estimate_time_factor(1.0), 2.5)
        self.assertLess(state.estimate_time_factor(2.2), 1.1)
        state.load = dataclasses.replace(state.load, time_factor=None)
        self.assertEqual(state.estimate_time_factor(1.0), 1.0)

    def test_slow_moment_leaves_the_latency_estimate(self):
        estimates = []
        for factor, took_s in ((None, 0.06), (2.5, 0.15), (None, 0.15)):
            upstream = forwarding_world.build_upstream("a")
            built = forwarding_world.build_router(upstream)
            course = forwarding_world.build_lifecycle(built)
            course.choose_next_step(0.0)
            load = forwarding.Load(1, 0, 8, factor)
            head = forwarding_world.build_head(load=load)
            course.evaluate_head(head, took_s)
            estimates.append(
                built.placement.latency.estimate("a", "small", 1000, took_s)
            )
        self.assertAlmostEqual(estimates[0], estimates[1])
        self.assertLess(estimates[1], estimates[2])
