"""Tests of the quarantine of requests that crash upstreams."""

import itertools
import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.requests import quarantine
from sycamorehollow.decisions.routing import placement
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.decisions.routing import upstream_placement
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests

INNOCENT = ("i0", "i1")
CRASHING = ("c0", "c1")
UPSTREAMS = ("u0", "u1", "u2")
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("run", "run", "complete", "crash")),
        strategies.integers(0, 1),
        strategies.sampled_from((*INNOCENT, *CRASHING)),
        strategies.sampled_from(UPSTREAMS),
    ),
    max_size=40,
)


class World:
    """Processes, three upstreams and requests that callers resend."""

    def __init__(self, count):
        self.nodes = [quarantine.Quarantine() for _ in range(count)]
        self.generations = dict.fromkeys(UPSTREAMS, 1)
        self.running = {}
        self.deaths = dict.fromkeys((*INNOCENT, *CRASHING), 0)
        self.since_completed = dict.fromkeys(INNOCENT, 0)
        self.completed = set()
        self.allowed = dict.fromkeys(CRASHING, 2)
        self.now = 0.0

    def run(self, index, fingerprint, upstream):
        node = self.nodes[index]
        verdict = node.check(fingerprint, self.now)
        if not isinstance(verdict, quarantine.Isolation):
            return
        idle = all(one[2] != upstream for one in self.running.values())
        if not node.can_place(fingerprint, upstream, idle, self.now):
            return
        name = f"{self.now}-{fingerprint}"
        self.running[name] = (index, fingerprint, upstream)
        node.handle(
            upstream_events.AttemptStarted(name, upstream, 1, fingerprint),
            self.now,
        )

    def complete(self, index, fingerprint, upstream):
        for name, attempt in list(self.running.items()):
            if attempt[:2] != (index, fingerprint) or fingerprint in CRASHING:
                continue
            del self.running[name]
            self.nodes[index].handle(
                upstream_events.AttemptEnded(
                    name, attempt[2], upstream_events.AttemptStatus.COMPLETED
                ),
                self.now,
            )
            self.completed.add(fingerprint)
            self.since_completed[fingerprint] = 0

    def crash(self, index, fingerprint, upstream):
        """Crashes an upstream that runs a crashing request."""
        for attempt in list(self.running.values()):
            if attempt[1] in CRASHING:
                self.kill(index, attempt[2])
                return

    def kill(self, index, upstream):
        beside = {n: o for n, o in self.running.items() if o[2] == upstream}
        for name, (node, _, _) in beside.items():
            del self.running[name]
            # The other process learns of the crash before its connection
            # breaks.
            if node == index:
                ended = upstream_events.AttemptEnded(
                    name, upstream, upstream_events.AttemptStatus.LOST
                )
                self.nodes[node].handle(ended, self.now)
        for one in {one[1] for one in beside.values()}:
            if one in CRASHING and not self.deaths[one]:
                # Copies in flight at other upstreams at the first crash.
                copies = [o for o in self.running.values() if o[1] == one]
                self.allowed[one] += len(copies)
            self.deaths[one] += 1
            if one in self.since_completed:
                self.since_completed[one] += 1
        died = quarantine.UpstreamCrashed(upstream, self.generations[upstream])
        self.generations[upstream] += 1
        for node in self.nodes:
            node.handle(died, self.now)

    def gossip(self):
        for one, other in itertools.permutations(self.nodes, 2):
            delta = other.build_delta(one.build_digest(self.now), self.now)
            # Transmitted in half a second.
            one.merge(delta, self.now + 0.5)
            one.merge(delta, self.now + 0.5)


class QuarantineTest(unittest.TestCase):
    """Guards against repeated crashes and against refusing other requests."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.integers(1, 2), STEPS)
    @hypothesis.example(
        2,
        [
            ("run", 0, "i0", "u0"), ("run", 0, "c0", "u0"),
            ("crash", 0, "i0", "u0"), ("run", 0, "i0", "u1"),
            ("complete", 0, "i0", "u1"), ("run", 0, "i0", "u2"),
            ("run", 1, "c1", "u2"), ("crash", 0, "i0", "u0"),
        ],
    )  # fmt: skip
    @hypothesis.example(
        1,
        [
            ("run", 0, "c0", "u0"), ("crash", 0, "c0", "u0"),
            ("run", 0, "c0", "u1"), ("run", 0, "c0", "u2"),
            ("crash", 0, "c0", "u0"), ("crash", 0, "c0", "u0"),
        ],
    )  # fmt: skip
    def test_deaths_are_bounded_and_bystanders_cleared(self, count, steps):
        """Resent requests must not crash one upstream after the other."""
        world = World(count)
        for step, index, fingerprint, upstream in steps:
            world.now += 1.0
            getattr(world, step)(index % count, fingerprint, upstream)
            world.gossip()
            for one in CRASHING:
                self.assertLessEqual(world.deaths[one], world.allowed[one])
            for innocent in world.completed:
                if world.since_completed[innocent] >= 2:
                    continue
                for node in world.nodes:
                    verdict = node.check(innocent, world.now + 0.5)
                    self.assertNotIsInstance(verdict, quarantine.Quarantined)

    @hypothesis.given(STEPS)
    @hypothesis.example(
        [
            ("run", 0, "c0", "u0"), ("crash", 0, "i0", "u0"),
            ("run", 0, "c0", "u1"), ("run", 0, "i0", "u1"),
            ("crash", 0, "i0", "u0"),
        ]
    )  # fmt: skip
    @hypothesis.example(
        [
            ("run", 0, "c0", "u0"), ("crash", 0, "i0", "u0"),
            ("run", 0, "i0", "u1"), ("run", 0, "c0", "u1"),
            ("crash", 0, "i0", "u0"),
        ]
    )  # fmt: skip
    def test_suspects_run_alone(self, steps):
        """Guards against other requests that run beside a suspected one."""
        world = World(1)
        first = None
        for step, _, fingerprint, upstream in steps:
            crashing = [o[1] for o in world.running.values() if o[1] == "c0"]
            if fingerprint == "c1" or fingerprint in crashing:
                continue
            world.now += 1.0
            getattr(world, step)(0, fingerprint, upstream)
            if first is None and world.deaths["c0"]:
                first = dict(world.deaths)
            for innocent in INNOCENT if first else ():
                self.assertEqual(world.deaths[innocent], first[innocent])

    def test_two_deaths_are_refused_everywhere(self):
        """Guards against a repeat at a process without the crash record."""
        world = World(2)
        for upstream in ("u0", "u1"):
            world.run(0, "c0", upstream)
            world.crash(0, "c0", upstream)
        world.gossip()
        for node in world.nodes:
            verdict = node.check("c0", 1.0)
            self.assertIsInstance(verdict, quarantine.Quarantined)
        later = quarantine.RECORD_TTL_S + 10
        for node in world.nodes:
            node.handle(events.Tick(), later)
        self.assertIs(
            world.nodes[0].check("c0", later), quarantine.Isolation.NOT_NEEDED
        )

    def test_late_death_after_completion_does_not_count(self):
        """Guards against crashes that peers report after a later completion."""
        first, second = quarantine.Quarantine(), quarantine.Quarantine()
        for number, node in ((1, first), (2, second)):
            node.handle(
                upstream_events.AttemptStarted("a", f"u{number}", 1, "i0"), 0.0
            )
            node.handle(quarantine.UpstreamCrashed(f"u{number}", 1), 1.0)
        first.handle(upstream_events.AttemptStarted("b", "u3", 1, "i0"), 1.5)
        first.handle(
            upstream_events.AttemptEnded(
                "b", "u3", upstream_events.AttemptStatus.COMPLETED
            ),
            2.0,
        )
        delta = second.build_delta(first.build_digest(2.0), 2.0)
        first.merge(delta, 3.0)
        self.assertIs(first.check("i0", 3.0), quarantine.Isolation.NOT_NEEDED)

    def test_deaths_are_found_in_reports_and_failed_connects(self):
        """A lost connection counts as a crash only with one of these signs."""
        for order in ("report last", "report first", "no connect", "alive"):
            rule = quarantine.Quarantine()
            signs = [upstream_events.LoadReported("u", 1.0, 2, True, 1, 0, 1)]
            if order == "no connect":
                signs = [upstream_events.ConnectFailed("u"), *signs]
            if order == "alive":
                signs = [
                    upstream_events.LoadReported("u", 1.0, 1, True, 1, 0, 1)
                ]
            lost = upstream_events.AttemptEnded(
                "a", "u", upstream_events.AttemptStatus.LOST
            )
            steps = [lost, *signs]
            if order == "report first":
                steps = [*signs, lost]
            rule.handle(
                upstream_events.LoadReported("u", 0.0, 1, True, 1, 0, 1), 0
            )
            rule.handle(upstream_events.AttemptStarted("a", "u", 1, "f"), 0.0)
            for event in steps:
                rule.handle(event, 1.0)
            later = 1.0 + quarantine.CRASH_DETECTION_WINDOW_S
            expected = quarantine.Isolation.REQUIRED
            if order == "alive":
                expected = quarantine.Isolation.NOT_NEEDED
            self.assertIs(rule.check("f", 1.0), quarantine.Isolation.REQUIRED)
            self.assertIs(rule.check("f", later), expected)


class OwnEndTest(unittest.TestCase):
    """Guards against counting attempts that were cancelled as crashes."""

    def test_only_lost_attempts_can_become_deaths(self):
        """The caller, the deadline and the cascade may cancel an attempt."""
        for end in (
            upstream_events.AttemptStatus.CANCELLED,
            upstream_events.AttemptStatus.REFUSED,
            upstream_events.AttemptStatus.FAILED,
        ):
            with self.subTest(end=end):
                rule = quarantine.Quarantine()
                for name in ("u0", "u1"):
                    for generation in (1, 2):
                        report = upstream_events.LoadReported(
                            name, 0.0, generation, True, 1, 0, 1
                        )
                        rule.handle(report, 0.0)
                        started = upstream_events.AttemptStarted(
                            "a", name, 1, "f"
                        )
                        rule.handle(started, 0.0)
                        ended = upstream_events.AttemptEnded("a", name, end)
                        rule.handle(ended, 0.5)
                        rule.handle(upstream_events.ConnectFailed(name), 1.0)
                self.assertIs(
                    rule.check("f", 1.0), quarantine.Isolation.NOT_NEEDED
                )


class RetriedAttemptTest(unittest.TestCase):
    """Guards against crashes that a retry under the same name hides."""

    def _lose(self, node, upstream, now):
        node.handle(upstream_events.AttemptStarted("r", upstream, 1, "f"), now)
        end = upstream_events.AttemptEnded(
            "r", upstream, upstream_events.AttemptStatus.LOST
        )
        node.handle(end, now)

    def test_each_loss_of_a_retried_attempt_counts(self):
        node = quarantine.Quarantine()
        self._lose(node, "u0", 1.0)
        self._lose(node, "u1", 1.1)
        for upstream in ("u0", "u1"):
            node.handle(upstream_events.ConnectFailed(upstream), 1.2)
        self.assertIsInstance(node.check("f", 1.3), quarantine.Quarantined)

    def test_two_losses_wait_until_it_is_known_what_they_were(self):
        node = quarantine.Quarantine()
        self._lose(node, "u0", 1.0)
        self.assertIs(node.check("f", 1.1), quarantine.Isolation.REQUIRED)
        self._lose(node, "u1", 1.1)
        self.assertIsInstance(node.check("f", 1.2), quarantine.SuspectBusy)
        later = 1.2 + quarantine.CRASH_DETECTION_WINDOW_S
        node.handle(events.Tick(), later)
        self.assertIs(node.check("f", later), quarantine.Isolation.NOT_NEEDED)


class UnconnectedTest(unittest.TestCase):
    """Guards against counting network failures as crashes."""

    def setUp(self):
        self.suspects = quarantine.Quarantine()
        self.places = upstream_placement.UpstreamPlacement(
            "p",
            "dc-1",
            0,
            1,
            random.Random(1),
            0.0,
            lambda name: None,
            self.suspects,
        )
        upstreams = {
            name: deployment.Upstream(name, f"http://{name}", "dc-1", ("v",))
            for name in ("u0", "u1")
        }
        self.places.apply(deployment.Deployment(upstreams=upstreams), 0.0)
        self._report(0.0)

    def _report(self, now):
        for name in ("u0", "u1"):
            report = upstream_events.LoadReported(
                name, now, 1, False, 9, 0, 100_000
            )
            for component in self.places.list_components():
                component.handle(report, now)

    def _place(self, name, content):
        request = requests.ModelRequest(
            name, "maps", "v", "", b"", content, 10, 20, True, 100.0
        )
        return request, self.places.place(request, "v", frozenset(), 1.0)

    def test_refused_move_leaves_the_attempt_as_it_was(self):
        """Guards against losing an attempt whose failover is refused."""
        self._report(1.0)
        request, placed = self._place("r", "f")
        excluded = frozenset({placed.upstream.name})
        others = [self._place(f"o{n}", f"i{n}")[1] for n in range(6)]
        end = placement.AttemptResult(upstream_events.AttemptStatus.LOST)
        # A suspected request needs an upstream without other work.
        moved = self.places.move(request, "v", excluded, end, 2.0)
        self.assertIsInstance(moved, failures.NoUpstream)
        self.assertIs(
            self.suspects.check("f", 2.0), quarantine.Isolation.NOT_NEEDED
        )
        self.assertIn(placed.upstream, [one.upstream for one in others])
        _, later = self._place("later", "i9")
        self.assertIsInstance(later, placement.Assignment)
        for number in range(6):
            end = placement.AttemptResult(
                upstream_events.AttemptStatus.CANCELLED
            )
            self.places.release(f"o{number}", end, 2.5)
        self.places.release("later", end, 2.5)
        self._report(2.5)
        end = placement.AttemptResult(upstream_events.AttemptStatus.LOST)
        moved = self.places.move(request, "v", excluded, end, 3.0)
        self.assertNotIn(moved.upstream.name, excluded)
        verdict = self.suspects.check("f", 3.0)
        self.assertIsInstance(verdict, quarantine.SuspectBusy)

    def _lose_twice(self, refused):
        """Loses the same request at both upstreams, which are then unusable."""
        request = requests.ModelRequest(
            "r", "maps", "v", "", b"", "f", 10, 20, True, 100.0
        )
        excluded = frozenset()
        for now in (1.0, 2.0):
            self._report(now)
            placed = self.places.place(request, "v", excluded, now)
            excluded |= {placed.upstream.name}
            end = placement.AttemptResult(
                upstream_events.AttemptStatus.LOST, "", True, refused
            )
            self.places.release("r", end, now + 0.5)
        return self.suspects.check("f", 3.0)

    def test_connections_without_an_answer_are_no_deaths(self):
        verdict = self._lose_twice(refused=False)
        self.assertNotIsInstance(verdict, quarantine.Quarantined)
        self.suspects.handle(events.Tick(), 13.0)
        verdict = self.suspects.check("f", 13.0)
        self.assertIs(verdict, quarantine.Isolation.NOT_NEEDED)

    def test_refused_connections_are_deaths(self):
        verdict = self._lose_twice(refused=True)
        self.assertIsInstance(verdict, quarantine.Quarantined)
