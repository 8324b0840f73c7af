"""Tests of the router and of the life of a model request."""

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.requests import active_requests
from sycamorehollow.decisions.requests import planning
from sycamorehollow.decisions.requests import recovery
from sycamorehollow.decisions.requests import retries
from sycamorehollow.decisions.requests import router
from sycamorehollow.decisions.routing import admission
from sycamorehollow.decisions.routing import placement
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests

UPSTREAMS = tuple(
    deployment.Upstream(name, f"http://{name}", "dc-1", ("small", "large"))
    for name in ("a", "b", "c")
)
CURRENT = deployment.Deployment(
    versions={
        "small": deployment.Version("small", "atlas", 1, 2),
        "large": deployment.Version("large", "atlas", 10, 20),
    },
    upstreams={upstream.name: upstream for upstream in UPSTREAMS},
    workspaces={
        "maps": deployment.Workspace(
            "maps", "team", (), frozenset({"small", "large"}), frozenset()
        )
    },
)


class FixedPlanner(planning.Planner):
    """Plans the same gated cascade for every request."""

    def __init__(self, gated):
        self._gated = gated
        self.barred = frozenset()

    def plan(self, request, current, now):
        return planning.Plan(
            ("small", "large"),
            needs_rating=self._gated,
            rating_threshold=0.5,
            is_gated=self._gated,
        )

    def check_version(self, request, version, current):
        if version in self.barred:
            return failures.VersionWithdrawn("withdrawn")
        return None

    def record_outcome(self, request, plan, outcome, current, now):
        return []

    def record_rating(self, event, now):
        return []

    def record_missing_rating(self, answer_id, now):
        pass


class FirstFree(placement.Placement):
    """Places on the first upstream that was not excluded."""

    def __init__(self):
        self.open = set()
        self.full = False
        self.failure = failures.NoUpstream("none", retry_after_s=1.0)
        self.ends = []

    def place(self, request, version, excluded, now):
        assert request.request_id not in self.open
        for upstream in UPSTREAMS:
            if self.full or upstream.name in excluded:
                continue
            self.open.add(request.request_id)
            return placement.Assignment(upstream, "first")
        return self.failure

    def move(self, request, version, excluded, result, now):
        if self.full or not {u.name for u in UPSTREAMS} - excluded:
            return failures.NoUpstream("none", retry_after_s=1.0)
        self.release(request.request_id, result, now)
        return self.place(request, version, excluded, now)

    def record_first_chunk(self, request_id, now):
        pass

    def release(self, request_id, result, now):
        self.open.discard(request_id)
        self.ends.append(result)

    def take_commands(self):
        return []


def build_router(gated=False):
    places = FirstFree()
    planner = FixedPlanner(gated)
    budget = retries.RetryBudget(random.Random(1))
    component = router.Router(
        planner,
        places,
        recovery.Recovery(budget),
        admission.Admission(10_000, random.Random(2)),
        lambda: None,
    )
    component.handle(lifecycle.DeploymentChanged(CURRENT), 0.0)
    return component, places, planner


def build_request(stream=True):
    return requests.ModelRequest(
        "r1", "maps", "atlas", "", b"", "f", 10, 20, stream, 100.0
    )


ACTIONS = strategies.lists(
    strategies.sampled_from(
        [
            "produce",
            "complete",
            "not_sent",
            "refused",
            "broken",
            "silent",
            "lost",
            "rejected",
            "rate_good",
            "rate_bad",
            "bill",
            "gone",
            "tick",
            "late_tick",
            "stale",
        ]
    ),
    max_size=25,
)


class Caller:
    """Drives one request and records the commands for the shells."""

    def __init__(self, gated, stream):
        self.router, self.places, self.planner = build_router(gated)
        self.starts = []
        self.finals = []
        self.bills = []
        self.produced = False
        self.running = False
        self.received = 0
        self.gone = False
        self.now = 0.0
        self.answer_id = ""
        self._take(
            self.router.handle(
                lifecycle.RequestArrived(build_request(stream)), self.now
            )
        )

    def _take(self, commands):
        for command in commands:
            match command:
                case lifecycle.StartAttempt():
                    assert not self.finals, "an attempt after the end"
                    self._check_start(command)
                    self.starts.append(command)
                    self.running = True
                    if command.resume_from is None:
                        self.received = 0
                        self.produced = False
                case lifecycle.FailRequest() | lifecycle.FinishRequest():
                    self.finals.append(command)
                case lifecycle.CancelAttempt(report_end=True):
                    self._stop(command)
                case active_requests.ReplicateBill():
                    self.bills.append(command.bill)
                case lifecycle.RequestRating():
                    self.answer_id = command.answer_id

    def _stop(self, command):
        event = lifecycle.AttemptFailed(
            "r1",
            command.attempt,
            lifecycle.AttemptEnd.STOPPED,
            received_events=self.received,
        )
        self._take(self.router.handle(event, self.now))

    def _check_start(self, command):
        if not self.starts:
            return
        last = self.starts[-1]
        if command.resume_from is not None:
            assert command.upstream == last.upstream
            assert command.resume_from == self.received
            return
        assert not (self.produced and not last.buffer_chunks), "ran again"

    def act(self, action):
        self.now += 0.3
        if self.finals or not self.starts:
            return
        attempt = self.starts[-1].attempt
        event = self._build(action, attempt)
        if event is None:
            return
        if action == "gone":
            self.gone = True
        self._take(self.router.handle(event, self.now))

    def _build(self, action, attempt):
        ends = {
            "not_sent": lifecycle.AttemptEnd.NOT_SENT,
            "refused": lifecycle.AttemptEnd.REFUSED,
            "rejected": lifecycle.AttemptEnd.REJECTED,
            "broken": lifecycle.AttemptEnd.BROKEN,
            "silent": lifecycle.AttemptEnd.SILENT,
            "lost": lifecycle.AttemptEnd.LOST,
        }
        if action in ends:
            fresh = self.starts[-1].resume_from is None
            if action in ("not_sent", "refused") and self.produced and fresh:
                return None
            self.running = False
            return lifecycle.AttemptFailed(
                "r1", attempt, ends[action], received_events=self.received
            )
        match action:
            case "produce":
                # A chunk of an attempt that has ended reaches no caller.
                if self.running:
                    self.produced = True
                    self.received += 1
                return lifecycle.FirstChunkArrived("r1", attempt)
            case "complete":
                self.running = False
                return lifecycle.AttemptCompleted("r1", attempt, 10, 5, b"")
            case "stale":
                return lifecycle.AttemptCompleted("r1", attempt - 1, 9, 9, b"")
            case "rate_good":
                return lifecycle.AnswerRated(self.answer_id, 0.9)
            case "rate_bad":
                return lifecycle.AnswerRated(self.answer_id, 0.1)
            case "bill":
                self._take(self.router.release("r1", self.now))
                return None
            case "gone":
                return lifecycle.CallerDisconnected("r1", self.received)
            case "late_tick":
                self.now = 101.0
        return events.Tick()


class RouterLifeTest(unittest.TestCase):
    """Guards against lost, repeated and wrongly ended requests."""

    @hypothesis.given(ACTIONS, strategies.booleans())
    def test_one_end_one_bill_and_no_second_run(self, actions, gated):
        caller = Caller(gated, True)
        for action in actions:
            caller.act(action)
        if not caller.finals and not caller.gone:
            caller.now = 101.0
            caller._take(caller.router.handle(events.Tick(), 101.0))
            caller._take(caller.router.release("r1", 101.0))
        self.assertLessEqual(len(caller.finals), 1)
        if not caller.gone:
            self.assertEqual(len(caller.finals), 1)
        cut = lifecycle.FailureSent("r1", caller.received)
        caller._take(caller.router.handle(cut, caller.now))
        self.assertLessEqual(len(caller.bills), 1)
        self.assertEqual(caller.places.open, set())
        self.assertEqual(caller.router.active_count, 0)

    def test_refuses_when_the_version_was_withdrawn_after_the_plan(self):
        component, _, planner = build_router()
        planner.barred = frozenset({"small", "large"})
        result = component.handle(
            lifecycle.RequestArrived(build_request()), 0.0
        )
        self.assertIsInstance(result[0], lifecycle.FailRequest)
        self.assertEqual(result[0].failure.code, "version_withdrawn")
        self.assertIs(
            result[0].failure.execution, failures.Execution.NOT_STARTED
        )

    def test_rejected_answer_escalates_and_bills_the_delivered_one(self):
        caller = Caller(True, True)
        for action in ("produce", "complete", "rate_bad", "produce"):
            caller.act(action)
        caller.act("complete")
        caller.act("bill")
        self.assertEqual([s.version for s in caller.starts], ["small", "large"])
        self.assertEqual(len(caller.bills), 1)
        self.assertEqual(caller.bills[0].version, "large")
        self.assertGreater(caller.bills[0].internal_cost, 0)

    def _complete(self, caller, upstream):
        """Completes the current attempt and checks the result of the caller."""
        self.assertEqual(caller.finals, [])
        self.assertEqual(caller.starts[-1].upstream, upstream)
        caller.act("complete")
        caller.act("bill")
        [final] = caller.finals
        self.assertIsInstance(final, lifecycle.FinishRequest)
        self.assertEqual(final.upstream, upstream)
        self.assertEqual(caller.places.open, set())

    def test_silent_attempt_is_not_given_up_before_another_is_admitted(self):
        """Guards against a failure although the upstream is only slow.

        A silent attempt may still be running, so it is abandoned only once
        another upstream has admitted the request.
        """

        def fill(caller):
            caller.places.full = True

        def withdraw(caller):
            caller.planner.barred = frozenset({"small", "large"})

        def spend_budget(caller):
            for _ in range(int(retries.MAX_BUDGET) + 1):
                caller.router._recovery.record_failover("another", 0.0)

        for hinder in (fill, withdraw, spend_budget):
            for stream in (True, False):
                with self.subTest(hinder=hinder.__name__, stream=stream):
                    caller = Caller(False, stream)
                    hinder(caller)
                    for _ in range(6):
                        caller.act("silent")
                        caller.act("tick")
                    self.assertIsNotNone(caller.starts[-1].resume_from)
                    self._complete(caller, "a")

    def test_silent_attempt_moves_once_another_is_admitted(self):
        caller = Caller(False, True)
        caller.places.full = True
        for _ in range(3):
            caller.act("silent")
        caller.places.full = False
        caller.act("silent")
        self.assertIsNone(caller.starts[-1].resume_from)
        self.assertIs(
            caller.places.ends[0].status, upstream_events.AttemptStatus.LOST
        )
        self._complete(caller, "b")

    def test_refused_moves_cost_no_retry(self):
        caller = Caller(False, True)
        caller.places.full = True
        for _ in range(30):
            caller.act("silent")
        caller.places.full = False
        for upstream in ("b", "c"):
            caller.act("silent")
            self.assertEqual(caller.starts[-1].upstream, upstream)
            caller.act("silent")
        caller.act("silent")
        self._complete(caller, "c")

    def test_retry_waits_for_room_as_new_work_does(self):
        """Guards against failing a retry at once when other upstreams are full.

        A retry after a crash waits for capacity as long as new work does.
        """
        for has_capacity in (True, False):
            with self.subTest(has_capacity=has_capacity):
                caller = Caller(False, True)
                caller.places.full = True
                caller.places.failure = failures.UpstreamsFull(
                    "full", retry_after_s=1.0
                )
                caller.act("broken")
                for _ in range(10):
                    caller.act("tick")
                self.assertEqual(len(caller.starts), 1)
                self.assertEqual(caller.finals, [])
                caller.places.full = not has_capacity
                for _ in range(10):
                    caller.act("tick")
                if has_capacity:
                    self._complete(caller, "b")
                    continue
                [final] = caller.finals
                self.assertIs(
                    final.failure.execution, failures.Execution.UNKNOWN
                )

    def test_stop_and_reload_leave_what_runs(self):
        """Guards against a shutdown or reload that ends a running stream."""
        for gated in (True, False):
            for trouble in ("silent", "broken"):
                with self.subTest(gated=gated, trouble=trouble):
                    caller = Caller(gated, True)
                    caller.router.handle(lifecycle.AdmissionStopped(), 0.0)
                    for action in ("silent", "silent", "broken", "tick"):
                        caller.act(action)
                    caller.act("produce")
                    changed = dataclasses.replace(
                        CURRENT, upstreams={}, workspaces={}
                    )
                    caller.planner.barred = frozenset({"small", "large"})
                    caller.router.handle(
                        lifecycle.DeploymentChanged(changed), caller.now
                    )
                    caller.act(trouble)
                    upstream = caller.starts[-1].upstream
                    if not gated:
                        self._complete(caller, upstream)
                        continue
                    # The next version is withdrawn, so the answer counts.
                    caller.act("complete")
                    caller.act("rate_bad")
                    caller.act("bill")
                    [final] = caller.finals
                    self.assertIsInstance(final, lifecycle.FinishRequest)

    def test_own_ends_are_no_losses(self):
        """Guards against counting a cancelled attempt as a crash."""
        for gated in (True, False):
            for actions in (
                ("gone",),
                ("late_tick",),
                ("silent", "gone"),
                ("produce", "silent", "late_tick"),
                ("produce", "complete", "rate_bad", "late_tick"),
                ("produce", "complete", "rate_bad", "gone"),
            ):
                with self.subTest(gated=gated, actions=actions):
                    caller = Caller(gated, True)
                    for action in actions:
                        caller.act(action)
                    ends = {end.status for end in caller.places.ends}
                    self.assertNotIn(upstream_events.AttemptStatus.LOST, ends)
                    self.assertEqual(caller.places.open, set())

    def test_silence_does_not_cut_a_delivered_answer(self):
        """Guards against truncating a stream whose engine paused for 15 s."""
        caller = Caller(False, True)
        caller.act("produce")
        for _ in range(8):
            caller.act("silent")
        self._complete(caller, "a")

    def test_refused_resume_does_not_cut_a_delivered_answer(self):
        """Guards against truncation when an upstream refuses a resume.

        A saturated upstream may refuse the resume although the run goes on.
        """
        caller = Caller(False, True)
        for action in ("produce", "silent"):
            caller.act(action)
        for _ in range(5):
            caller.act("refused")
            count = len(caller.starts)
            for _ in range(4):
                caller.act("tick")
            self.assertEqual(len(caller.starts), count + 1)
        self._complete(caller, "a")

    def test_resume_without_a_connection_is_tried_again(self):
        """Guards against truncation after a single failed connection."""
        caller = Caller(False, True)
        for action in ("produce", "silent", "not_sent", "not_sent"):
            caller.act(action)
        self._complete(caller, "a")

    def test_lost_upstream_cuts_a_delivered_answer(self):
        """Guards against waiting for an upstream that has been lost."""
        for actions in (
            ["lost"],
            ["not_sent"] * (recovery.MAX_CONSECUTIVE_LOSSES + 1),
        ):
            with self.subTest(actions=actions):
                caller = Caller(False, True)
                for action in ("produce", "silent", *actions):
                    caller.act(action)
                [final] = caller.finals
                self.assertEqual(final.failure.code, "answer_truncated")

    def test_breaks_between_progress_do_not_add_up(self):
        caller = Caller(False, True)
        for _ in range(2 * recovery.MAX_CONSECUTIVE_LOSSES):
            caller.act("produce")
            caller.act("broken")
        self._complete(caller, "a")
        caller = Caller(False, True)
        caller.act("produce")
        for _ in range(recovery.MAX_CONSECUTIVE_LOSSES + 1):
            caller.act("broken")
        self.assertEqual(caller.finals[0].failure.code, "answer_truncated")

    def _escalate(self, stream):
        """Returns a caller whose small answer was rejected."""
        caller = Caller(True, stream)
        for action in ("produce", "complete", "rate_bad"):
            caller.act(action)
        self.assertEqual(caller.starts[-1].version, "large")
        self.assertTrue(caller.starts[-1].retain_previous)
        return caller

    def _check_small_answer(self, caller):
        caller.act("bill")
        [final] = caller.finals
        self.assertIsInstance(final, lifecycle.FinishRequest)
        self.assertEqual((final.version, final.upstream), ("small", "a"))
        self.assertTrue(final.fallback_reason)
        [bill] = caller.bills
        self.assertEqual((bill.version, bill.output_tokens), ("small", 5))
        self.assertEqual(bill.internal_cost, 0)
        self.assertEqual(caller.places.open, set())

    def test_answer_in_hand_is_not_lost_to_a_larger_version(self):
        """Guards against a failure while a retained answer is available."""
        troubles = (
            ("rejected",),
            ("broken", "tick", "broken", "tick", "broken", "tick"),
            ("not_sent", "tick", "lost", "tick", "refused", "tick"),
            ("late_tick",),
            ("silent", "late_tick"),
            ("broken", "late_tick"),
        )
        for stream in (True, False):
            for actions in troubles:
                with self.subTest(stream=stream, actions=actions):
                    caller = self._escalate(stream)
                    for action in actions:
                        caller.act(action)
                    self._check_small_answer(caller)

    def test_answer_in_hand_is_not_lost_when_no_other_place_is_left(self):
        caller = self._escalate(True)
        caller.act("broken")
        caller.places.full = True
        caller.act("tick")
        self._check_small_answer(caller)

    def test_two_answers_are_not_mixed(self):
        """Guards against delivering chunks of two answers.

        Once a chunk of the larger version was delivered, the retained answer
        of the smaller one may not be used.
        """
        for action in ("lost", "late_tick"):
            with self.subTest(action=action):
                caller = self._escalate(True)
                caller.act("produce")
                caller.act(action)
                [final] = caller.finals
                self.assertIsInstance(final, lifecycle.FailRequest)

    def test_chunk_on_its_way_keeps_the_other_answer_back(self):
        """Guards against mixed answers when a chunk is reported late.

        The relay may deliver a chunk before the router learns of it, so the
        router waits for the end of the attempt.
        """
        caller = self._escalate(True)
        result = caller.router.handle(events.Tick(), 101.0)
        [stop] = result
        self.assertTrue(stop.report_end)
        caller.now = 101.0
        caller.act("produce")
        caller._take(result)
        [final] = caller.finals
        self.assertIsInstance(final, lifecycle.FailRequest)

    def test_whole_answer_is_delivered_at_the_deadline(self):
        """Guards against a failure while only the rating is missing."""
        for stream in (True, False):
            with self.subTest(stream=stream):
                caller = Caller(True, stream)
                caller.now = 99.0
                caller.act("produce")
                caller.now = 99.6
                caller.act("complete")
                self.assertLess(caller.now, 100.0)
                caller.act("late_tick")
                caller.act("bill")
                [final] = caller.finals
                self.assertIsInstance(final, lifecycle.FinishRequest)
                self.assertEqual(final.version, "small")

    def test_late_refusal_says_not_run_only_when_nothing_was_sent(self):
        for action, run in (
            ("not_sent", failures.Execution.NOT_STARTED),
            ("broken", failures.Execution.UNKNOWN),
        ):
            with self.subTest(action=action):
                caller = Caller(False, True)
                caller.act(action)
                caller.act("late_tick")
                self.assertIs(caller.finals[0].failure.execution, run)

    def test_failed_resume_does_not_undo_the_run(self):
        """Guards against `run: no` after a run that a resume did not reach.

        The lost run may have been executed and may have crashed the upstream.
        """
        for end in ("not_sent", "refused"):
            with self.subTest(end=end):
                caller = Caller(False, True)
                caller.act("silent")
                self.assertIsNotNone(caller.starts[-1].resume_from)
                caller.act(end)
                caller.act("late_tick")
                self.assertIs(
                    caller.finals[0].failure.execution,
                    failures.Execution.UNKNOWN,
                )
                self.assertIs(
                    caller.places.ends[0].status,
                    upstream_events.AttemptStatus.LOST,
                )

    def test_retry_that_finds_no_place_does_not_deny_the_first_run(self):
        """Guards against `run: no` when only the retry was not executed."""
        caller = Caller(False, True)
        caller.act("broken")
        caller.planner.barred = frozenset({"small", "large"})
        caller.act("tick")
        self.assertIs(
            caller.finals[0].failure.execution, failures.Execution.UNKNOWN
        )

    def test_refusal_after_a_broken_attempt_does_not_claim_not_run(self):
        """Guards against `run: no` when no upstream is left for a retry.

        The failure of the placement hid the earlier attempt.
        """
        caller = Caller(False, True)
        caller.places.full = True
        for action in ("broken", "tick", "tick", "tick"):
            caller.act(action)
        failure = caller.finals[0].failure
        self.assertEqual(failure.code, "no_upstream")
        self.assertIs(failure.execution, failures.Execution.UNKNOWN)

    def test_shutdown_refuses_new_work_and_keeps_the_rest(self):
        component, _, _ = build_router()
        component.handle(lifecycle.RequestArrived(build_request()), 0.0)
        component.handle(lifecycle.AdmissionStopped(), 0.1)
        self.assertEqual(component.active_count, 1)
        later = requests.ModelRequest(
            "r2", "maps", "atlas", "", b"", "f", 1, 1, True, 9.0
        )
        result = component.handle(lifecycle.RequestArrived(later), 0.2)
        self.assertEqual(result[0].failure.code, "draining")
