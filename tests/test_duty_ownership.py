"""Tests of the ownership of duties, with a simulated store."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.duties import ownership

LEASE_S = 3.0
KEY = "duties/usage"
CALL_S = 0.2
ACTIONS = (
    *["step"] * 12,
    "lose_response",
    "execute_late",
    "pause",
    "restart",
    "restore",
    "restore_twice",
    "cut",
    "expire_early",
    "stop",
)


class Store:
    """A store with leases, whose restores repeat revisions and lease numbers.

    Attributes:
        key: Revision, value and lease of the key; `None` if it is absent.
    """

    def __init__(self):
        self.era, self.revision, self.lease = 1, 10, 0
        self.key = None
        self.ends = {}
        self.copies = collections.deque(maxlen=20)

    def tick(self, now):
        for lease in [n for n, end in self.ends.items() if end <= now]:
            self.end(lease)

    def end(self, lease):
        self.ends.pop(lease, None)
        if self.key and self.key[2] == lease:
            self.key = None
            self.revision += 1
        self.keep()

    def keep(self):
        self.copies.append(
            (self.revision, self.lease, self.key, dict(self.ends))
        )

    def restore(self, rng, now):
        if self.copies:
            state = rng.choice(self.copies)
            self.revision, self.lease, self.key, ends = state
            # Leases of the copy begin again.
            self.ends = dict.fromkeys(ends, now + ownership.TTL_S)
        self.era += 1
        self.copies.clear()

    def execute(self, step, now):
        """Executes a step; returns the name and arguments of its result."""
        if isinstance(step, ownership.GrantLease):
            self.lease += 1
            self.ends[self.lease] = now + step.ttl_s
            self.keep()
            return "lease", (str(self.lease), step.ttl_s, self.era)
        lease = int(step.lease)
        if lease not in self.ends:
            return "final", ()
        if isinstance(step, ownership.RenewLease):
            self.ends[lease] = now + ownership.TTL_S
            return "lease", (step.lease, ownership.TTL_S, self.era)
        if isinstance(step, ownership.EndLease):
            self.end(lease)
            return "failed", ()
        if self.key is not None:
            return "final", ()
        self.revision += 1
        self.key = (self.revision, step.value, lease)
        self.keep()
        return "written", (self.era, self.revision)


class Machine:
    """A machine with one process at a time."""

    def __init__(self, name, now):
        self.name, self.runs = name, 0
        self.wakes_at = self.cut_until = 0.0
        self.restart(now)

    def restart(self, now):
        self.runs += 1
        self.process = ownership.Ownership(f"{self.name}-{self.runs}", LEASE_S)
        self.view = ownership.View(0, 0, 0, None, False)
        self.results = []
        self.rank = 0


class World:
    """Machines that run their processes in a random order."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.store = Store()
        self.machines = [Machine(n, self.now) for n in "abc"]
        self.late = []
        self.twice_at = float("inf")
        # Time, machine and token of each call.
        self.calls = []

    def run(self, action):
        self.now += self.rng.choice((0.01, 0.05, 0.2, 0.4))
        self.store.tick(self.now)
        if self.now >= self.twice_at:
            self.twice_at = float("inf")
            self.store.restore(self.rng, self.now)
        machine = self.rng.choice(self.machines)
        if action == "pause":
            machine.wakes_at = self.now + self.rng.choice((0.5, 2.5, 8.0))
        elif action == "restart":
            machine.restart(self.now)
        elif action == "cut":
            machine.cut_until = self.now + self.rng.choice((0.5, 2.0, 5.0))
        elif action == "restore":
            self.store.restore(self.rng, self.now)
        elif action == "restore_twice":
            self.twice_at = self.now + self.rng.uniform(0.0, 3.0)
            self.store.restore(self.rng, self.now)
        elif action == "expire_early" and self.store.key:
            # While the store is down, a lease may end before its time.
            self.store.end(self.store.key[2])
        elif action == "execute_late" and self.late:
            step = self.late.pop(self.rng.randrange(len(self.late)))
            self.store.execute(step, self.now)
        elif action == "stop" and self.rng.random() < 0.3:
            machine.process.stop("drain")
        for each in self.machines:
            if each.wakes_at <= self.now:
                self.run_machine(each, action == "lose_response")

    def run_machine(self, machine, loses):
        process = machine.process
        # The thread that makes the calls asks at any moment.
        self.call(machine)
        is_cut = machine.cut_until > self.now
        loses = loses or is_cut
        if self.rng.random() < 0.8 and not is_cut:
            key = self.store.key or (0, None)
            machine.view = ownership.View(
                self.store.era, self.store.revision, key[0], key[1], True
            )
        for number, (kind, values) in machine.results:
            if kind == "lease":
                process.record_lease(number, *values, self.now)
            elif kind == "written":
                process.record_written(number, *values, self.now)
            else:
                process.record_failure(number, kind == "final", self.now)
        machine.results.clear()
        rank = self.rng.randrange(3)
        step = process.next_step(machine.view, rank, False, self.now)
        if step is not None and loses:
            self.late.append(step)
            machine.results.append((step.number, ("failed", ())))
        elif step is not None:
            result = self.store.execute(step, self.now)
            machine.results.append((step.number, result))
        self.call(machine)

    def call(self, machine):
        process = machine.process
        if self.rng.random() < 0.7 and process.can_call(self.now, CALL_S):
            process.record_call(self.now, CALL_S)
            at = self.now + self.rng.uniform(0, CALL_S)
            self.calls.append((at, machine.name, process.token, process))


def find_violation(calls):
    """Returns why the platform rejects a list of calls; `None` if not."""
    calls = sorted(calls, key=lambda call: call[0])
    owners = {}
    highest = 0
    for index, (at, name, token, process) in enumerate(calls):
        if owners.setdefault(token, process) is not process:
            return f"two processes with token {token}"
        if token < highest:
            return f"token {token} after {highest}"
        highest = token
        others = False
        for earlier_at, earlier, *_ in reversed(calls[:index]):
            if at - earlier_at >= LEASE_S:
                break
            others = others or earlier != name
            if others and earlier == name:
                return f"{name} again after {at - earlier_at:.2f} s"
    return None


class OwnershipTest(unittest.TestCase):
    """Guards against two owners, falling tokens, and A, B, A in a lease."""

    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(0, 2**32),
        strategies.lists(
            strategies.sampled_from(ACTIONS), min_size=150, max_size=400
        ),
    )
    def test_order_of_calls(self, seed, actions):
        world = World(seed)
        for action in actions:
            world.run(action)
        self.assertIsNone(find_violation(world.calls))

    def test_many_owner_changes(self):
        # Long runs, so that many ownerships follow each other.
        changes = 0
        for seed in range(250):
            world = World(seed)
            rng = random.Random(seed)
            rare = [a for a in ACTIONS if a != "step"]
            for _ in range(900):
                is_rare = rng.random() < 0.06
                world.run(rng.choice(rare) if is_rare else "step")
            self.assertIsNone(find_violation(world.calls), f"seed {seed}")
            changes += len({token for _, _, token, _ in world.calls}) - 1
        self.assertGreater(changes, 300)


class GuardTest(unittest.TestCase):
    """Guards against the rare orders that random runs seldom reach."""

    def setUp(self):
        self.process = ownership.Ownership("a-1", LEASE_S)
        self.absent = ownership.View(1, 10, 0, None, True)

    def acquire(self, now, era=1, revision=11):
        """Acquires the key; returns the view that shows it."""
        absent = ownership.View(era, revision - 1, 0, None, True)
        self.process.next_step(absent, 0, False, now)
        now += ownership.FIRST_DELAY_S
        grant = self.process.next_step(absent, 0, False, now)
        self.process.record_lease(grant.number, "7", 2.0, era, now)
        write = self.process.next_step(absent, 0, False, now)
        self.process.record_written(write.number, era, revision, now)
        return ownership.View(era, revision, revision, write.value, True)

    def keep(self, view, begin, end):
        """Renews the lease for a time; returns when a call was allowed."""
        now = begin
        while now < end and not self.process.can_call(now, CALL_S):
            now += 0.25
            step = self.process.next_step(view, 0, False, now)
            if step is not None:
                self.process.record_lease(step.number, "7", 2.0, 1, now)
        return now

    def test_renewal_of_another_era_ends_ownership(self):
        view = self.acquire(100.0)
        step = self.process.next_step(view, 0, False, 101.6)
        self.process.record_lease(step.number, "7", 2.0, 2, 101.7)
        self.assertIs(self.process.state, ownership.State.GIVEN_UP)

    def test_no_call_before_the_copy_shows_the_key(self):
        self.acquire(100.0)
        allowed_at = 101.0 + LEASE_S + ownership.MARGIN_S
        self.keep(self.absent, 101.0, allowed_at + 1.0)
        self.assertIs(self.process.state, ownership.State.WAITING)
        self.keep(self.absent, allowed_at + 1.0, allowed_at + 2.5)
        self.assertIsNot(self.process.state, ownership.State.WAITING)

    def test_second_ownership_waits_after_the_last_call(self):
        view = self.acquire(100.0)
        now = self.keep(view, 101.0, 110.0)
        self.assertLess(now, 105.0)
        # A call is in flight for long, and the key is lost and written again.
        self.process.record_call(now, 3.0)
        gone = ownership.View(1, 12, 0, None, True)
        self.process.next_step(gone, 0, False, now)
        self.process.next_step(gone, 0, False, now)
        self.process.record_failure(3, True, now)
        view = self.acquire(now + ownership.RETRY_DELAY_S, revision=13)
        again = self.keep(view, now + 2.5, now + 20.0)
        self.assertGreaterEqual(again - now, 3.0 + LEASE_S)
