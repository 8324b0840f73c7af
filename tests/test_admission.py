"""Tests of admission control."""

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.routing import admission
from sycamorehollow.model import events
from sycamorehollow.model import failures

CAPACITY = 20000
OFFERS = strategies.tuples(
    strategies.sampled_from(("offer", "offer", "end", "leave", "tick")),
    strategies.sampled_from(("large", "small")),
    strategies.sampled_from((500, 2000, 9000, 15000)),
    strategies.sampled_from((0.5, 1.5, 5.0, 60.0)),
)


def offer(request, workspace="w", tokens=1000, deadline=60.0, weight=1):
    """Returns a submission of work that takes one second."""
    return admission.WorkSubmitted(
        str(request), workspace, weight, tokens, 1, deadline, 1.0
    )


class AdmissionTest(unittest.TestCase):
    """Guards against overload, unfair shares and late rejections."""

    @hypothesis.given(strategies.lists(OFFERS, max_size=60))
    @hypothesis.example(
        3 * [("offer", "large", 9000, 5.0)] + 6 * [("tick", "large", 500, 5.0)]
    )
    def test_every_request_is_decided_in_time(self, steps):
        """Admitted tokens stay within capacity; no request waits too long."""
        rule = admission.Admission(CAPACITY, random.Random(1))
        now = 0.0
        offered, running, refused = {}, {}, set()
        for number, (step, workspace, tokens, wait_s) in enumerate(steps):
            event = events.Tick()
            if step == "offer":
                event = offer(number, workspace, tokens, now + wait_s)
                offered[str(number)] = (now, wait_s, tokens)
            if step == "end" and running:
                event = admission.WorkEnded(next(iter(running)))
                running.pop(event.request)
            waiting = set(offered) - set(running) - refused
            if step == "leave" and waiting:
                event = admission.WorkEnded(min(waiting))
                refused.add(event.request)
            for command in rule.handle(event, now):
                self.assertNotIn(command.request, running)
                self.assertNotIn(command.request, refused)
                if isinstance(command, admission.AdmitWork):
                    running[command.request] = offered[command.request][2]
                else:
                    refused.add(command.request)
                    self.assertIs(
                        command.failure.execution,
                        failures.Execution.NOT_STARTED,
                    )
            ended = set(offered) - set(running) - refused
            offered = {key: offered[key] for key in offered if key in ended}
            self.assertLessEqual(sum(running.values()), CAPACITY)
            self.assertEqual(rule.count_tokens_in_use(), sum(running.values()))
            self.assertEqual(rule.count_waiting(), len(offered))
            for arrived, allowed_s, _ in offered.values():
                limit = admission.MAX_WAIT_SHARE * allowed_s
                self.assertLess(now - arrived, limit)
            now += 0.3

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("offer", "offer", "full", "end")),
                strategies.sampled_from((500, 3000, 9000)),
                strategies.integers(0, 5),
                strategies.sampled_from((0.0, 0.1, 1.0)),
            ),
            max_size=60,
        )
    )
    def test_work_without_room_is_kept_or_refused(self, steps):
        """Admitted work that no upstream takes is queued again or rejected."""
        rule = admission.Admission(CAPACITY, random.Random(1))
        now = 0.0
        running, waiting = {}, {}
        for number, (step, tokens, index, pause_s) in enumerate(steps):
            now += pause_s
            names = list(running)
            event = events.Tick()
            if step == "offer":
                event = offer(number, "w", tokens, now + 60.0)
                waiting[event.request] = (now, tokens)
            elif names:
                name = names[index % len(names)]
                event = admission.WorkEnded(name)
                ended = running.pop(name)
                if step == "full":
                    event = admission.PlacementFailed(
                        name, failures.UpstreamsFull("")
                    )
                    waiting[name] = ended
            for command in rule.handle(event, now):
                decided = waiting.pop(command.request)
                if isinstance(command, admission.AdmitWork):
                    running[command.request] = decided
            held = sum(tokens for _, tokens in running.values())
            self.assertEqual(rule.count_tokens_in_use(), held)
            self.assertEqual(rule.count_waiting(), len(waiting))
            for arrived, _ in waiting.values():
                self.assertLess(now - arrived, admission.MAX_WAIT_S)

    def test_full_pool_does_not_hold_up_another(self):
        """Work of a full version must not delay work of another version."""
        rule = admission.Admission(CAPACITY, random.Random(1))
        for number in range(2):
            rule.handle(offer(number, "a", 3000), 0.0)
        full = admission.PlacementFailed("1", failures.UpstreamsFull(""))
        self.assertEqual(rule.handle(full, 0.0), [])
        self.assertEqual(rule.count_waiting(), 1)
        other = dataclasses.replace(offer(2, "a", 3000), pool="other")
        [command] = rule.handle(other, 0.0)
        self.assertEqual(command, admission.AdmitWork("2"))
        [command] = rule.handle(admission.WorkEnded("0"), 0.1)
        self.assertEqual(command, admission.AdmitWork("1"))

    def test_small_workspace_gets_its_share(self):
        """A workspace with much work must not starve one with little."""
        rule = admission.Admission(CAPACITY, random.Random(1))
        served = {"large": 0, "small": 0}
        running = []
        for step in range(400):
            now = 0.05 * step
            decided = []
            for number in range(20):
                name = "small" if number == 0 else "large"
                request = f"{name}-{step}-{number}"
                decided += rule.handle(offer(request, name, 3000, 600.0), now)
            if step % 2 and running:
                decided += rule.handle(admission.WorkEnded(running.pop(0)), now)
            for command in decided:
                if isinstance(command, admission.AdmitWork):
                    served[command.request.split("-")[0]] += 1
                    running.append(command.request)
        self.assertGreater(served["small"], 0.9 * served["large"])

    def test_refusal_is_immediate_with_a_time(self):
        """Callers need the rejection early to try elsewhere in time."""
        rule = admission.Admission(CAPACITY, random.Random(1))
        for number in range(200):
            decided = rule.handle(offer(number), 0.0)
        [refusal] = decided
        self.assertIsInstance(refusal.failure, admission.Overloaded)
        self.assertGreater(refusal.failure.retry_after_s, 0.0)
        [late] = rule.handle(offer("late", deadline=0.5), 0.0)
        self.assertIsInstance(late.failure, failures.DeadlineExceeded)

    def test_check_does_not_wait_behind_chapters(self):
        """A short request uses the reserve while long ones wait."""
        rule = admission.Admission(CAPACITY, random.Random(1))
        for number in range(4):
            rule.handle(offer(number, "chapters", 5000), 0.0)
        self.assertEqual(rule.count_waiting(), 1)
        [command] = rule.handle(offer("check", "checks", 500), 0.0)
        self.assertEqual(command, admission.AdmitWork("check"))

    def test_long_work_is_not_passed_by(self):
        """Short requests must not take all capacity that becomes free."""
        rule = admission.Admission(CAPACITY, random.Random(1))
        for number in range(10):
            rule.handle(offer(number, "short", 2000), 0.0)
        rule.handle(offer("long", "long", 9000, 600.0), 0.0)
        admitted = []
        for number in range(10):
            decided = rule.handle(offer(f"s{number}", "short", 2000), 0.1)
            decided += rule.handle(admission.WorkEnded(str(number)), 0.1)
            admitted += [command.request for command in decided]
        # 9,000 tokens need three turns; two short requests fit into each turn.
        self.assertIn("long", admitted[:5])
