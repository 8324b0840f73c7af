"""Tests of the queue of requests that wait for capacity."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import admission_queue
from sycamorehollow.decisions.forwarding import steps
from tests import forwarding_world

POLL_S = 0.02
QUEUE_KEY = ("llm", "", frozenset())


class AdmissionQueueTest(unittest.TestCase):
    """Guards against starvation of workspaces and requests."""

    def setUp(self):
        self.queue = admission_queue.AdmissionQueue()
        self.now = 0.0

    def _create(self, workspace, priority=1):
        self.now += 0.001
        return self.queue.create_waiter(priority, workspace, self.now)

    def _run_rounds(self, waiting, capacities):
        """Lets all poll in each round; returns waiters as admitted."""
        admitted = []
        waiting = list(waiting)
        for capacity in capacities:
            self.now += POLL_S
            for waiter in list(waiting):
                self.queue.try_admit(waiter, QUEUE_KEY, 0, self.now)
            for waiter in list(waiting):
                if capacity and self.queue.try_admit(
                    waiter, QUEUE_KEY, capacity, self.now
                ):
                    capacity -= 1
                    admitted.append(waiter)
                    waiting.remove(waiter)
        return admitted

    def test_room_is_taken_at_once_while_nobody_waits(self):
        for _ in range(50):
            waiter = self._create("maps")
            self.assertTrue(
                self.queue.try_admit(waiter, QUEUE_KEY, 1, self.now)
            )

    def test_hot_workspace_does_not_keep_others_waiting(self):
        hot = [self._create("hot") for _ in range(30)]
        calm = [self._create("calm") for _ in range(3)]
        admitted = self._run_rounds([*hot, *calm], [1] * 8)
        self.assertLessEqual(set(calm), set(admitted))

    def test_most_urgent_goes_first(self):
        patient = [self._create("maps", 2) for _ in range(5)]
        urgent = self._create("maps", 0)
        self.assertEqual(self._run_rounds([*patient, urgent], [1])[0], urgent)

    def test_equals_go_in_their_order_of_arrival(self):
        waiters = [self._create("maps") for _ in range(6)]
        self.assertEqual(self._run_rounds(waiters, [2] * 3), waiters)

    def test_request_that_has_left_holds_up_nobody(self):
        first, second = self._create("maps"), self._create("maps")
        for waiter in (first, second):
            self.queue.try_admit(waiter, QUEUE_KEY, 0, self.now)
        self.queue.remove(first)
        self.assertTrue(self.queue.try_admit(second, QUEUE_KEY, 1, self.now))

    def test_silent_request_holds_up_nobody_for_long(self):
        first, second = self._create("maps"), self._create("maps")
        self.queue.try_admit(first, QUEUE_KEY, 0, self.now)
        self.assertFalse(self.queue.try_admit(second, QUEUE_KEY, 1, self.now))
        later = self.now + admission_queue.WAITER_TTL_S + POLL_S
        self.assertTrue(self.queue.try_admit(second, QUEUE_KEY, 1, later))

    def test_those_who_wait_for_other_upstreams_are_not_in_the_way(self):
        first, second = self._create("maps"), self._create("maps")
        self.queue.try_admit(first, ("llm", "", frozenset({"v2"})), 0, self.now)
        self.assertTrue(self.queue.try_admit(second, QUEUE_KEY, 1, self.now))

    def test_idle_queues_are_evicted(self):
        self.queue.try_admit(self._create("maps"), QUEUE_KEY, 0, self.now)
        self.queue.evict_idle_queues(self.now + 1.0)
        self.assertTrue(
            self.queue.try_admit(self._create("maps"), QUEUE_KEY, 1, self.now)
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"), strategies.integers(0, 2)
            ),
            min_size=1,
            max_size=20,
        ),
        strategies.integers(1, 4),
    )
    def test_all_go_once_there_is_room_for_all(self, requests, capacity):
        self.setUp()
        waiters = [self._create(name, priority) for name, priority in requests]
        admitted = self._run_rounds(waiters, [capacity] * len(waiters))
        self.assertEqual(set(admitted), set(waiters))


class LifecycleAdmissionTest(unittest.TestCase):
    """Guards against new requests that overtake waiting ones."""

    def test_new_request_goes_behind_one_that_waits(self):
        upstream = forwarding_world.build_upstream("a")
        router = forwarding_world.build_router(upstream)
        route = forwarding_world.build_route(models=())
        first = forwarding_world.build_lifecycle(router, route=route)
        self.assertIsInstance(first.choose_next_step(0.0), steps.Send)
        head = forwarding_world.build_head(503, not_run=True, sealed=False)
        first.evaluate_head(head, 0.01)
        # The upstream is full, so the first request is queued.
        self.assertIsInstance(first.choose_next_step(0.02), steps.Wait)
        self.assertIsInstance(first.choose_next_step(0.04), steps.Wait)
        state = router.directory.get("a")
        later = state.full_until + 0.001
        second = forwarding_world.build_lifecycle(
            router, route=route, now=later
        )
        self.assertIsInstance(second.choose_next_step(later), steps.Wait)
        self.assertIsInstance(first.choose_next_step(later), steps.Send)
        self.assertIsInstance(second.choose_next_step(later + 0.02), steps.Send)
