"""Tests of the retry budget that the cascade shares with other retries."""

import unittest

from sycamorehollow.decisions.forwarding import steps
from tests import forwarding_world

UPSTREAMS = [
    forwarding_world.build_upstream(f"e-{number}", models=("small", "large"))
    for number in range(4)
]


class ReservedRetriesTest(unittest.TestCase):
    """Guards against truncated streams because the cascade used all retries.

    All responses of the small model have low confidence. At the end two
    streams that are being delivered break at the same time.
    """

    def setUp(self):
        self.discarded = 0

    def _begin(self, router, now):
        """Returns the lifecycle of a stream that is being delivered."""
        lifecycle = forwarding_world.build_lifecycle(router, now=now)
        self.assertIsInstance(lifecycle.choose_next_step(now), steps.Send)
        unsure = forwarding_world.build_head(confidence=0)
        if lifecycle.evaluate_head(unsure, now) is steps.Verdict.RETRY:
            self.discarded += 1
            self.assertIsInstance(lifecycle.choose_next_step(now), steps.Send)
            lifecycle.evaluate_head(forwarding_world.build_head(), now)
        lifecycle.delivering = True
        return lifecycle

    def test_streams_that_break_go_on_beside_doubtful_answers(self):
        for requests in range(2, 40):
            with self.subTest(requests=requests):
                router = forwarding_world.build_router(
                    *UPSTREAMS, retry_floor=4.0
                )
                streams = [
                    self._begin(router, number / 10)
                    for number in range(requests)
                ]
                now = requests / 10
                for stream in streams[-2:]:
                    stream.record_connection_failure("closed", True, now)
                    self.assertIsInstance(
                        stream.choose_next_step(now), steps.Send
                    )
        # The cascade still gets most of the budget.
        self.assertGreater(self.discarded, 300)
