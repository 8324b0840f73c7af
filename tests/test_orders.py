"""Tests of leases and of orders to engines."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.operations import leases
from sycamorehollow.decisions.operations import orders
from sycamorehollow.model import events

TTL_S = 10.0
STEP_S = 0.1
TARGETS = orders.TargetsChanged({"u": orders.Target(frozenset({"v"}))})


class Store:
    """Leases and one record, on an exact clock."""

    def __init__(self):
        self.ends, self.record = {}, None
        self.created, self.revision = 0, 0

    def find_owner(self, now):
        """Returns the owner in the record if its lease is valid."""
        if self.record and self.ends.get(self.record[1], -1.0) > now:
            return self.record[0].split("/")[0]
        return None

    def carry_out(self, command, now):
        if isinstance(command, leases.CreateLease):
            self.created += 1
            self.ends[str(self.created)] = now + command.ttl_s
            return leases.LeaseCreated(command.number, str(self.created))
        if isinstance(command, leases.ClaimLeaseRecord):
            ends = self.ends.get(command.lease, -1.0)
            if self.find_owner(now) or ends <= now:
                return leases.LeaseCallRefused(command.number)
            self.revision += 1
            self.record = (command.value, command.lease)
            return leases.LeaseRecordClaimed(command.number, self.revision)
        if isinstance(command, leases.RenewLease):
            if self.ends.get(command.lease, -1.0) <= now:
                return leases.LeaseCallRefused(command.number)
            self.ends[command.lease] = now + TTL_S
            return leases.LeaseRenewed(command.number)
        if isinstance(command, leases.ReadLeaseRecord):
            value = self.record[0] if self.find_owner(now) else ""
            return leases.LeaseRecordRead(command.number, self.revision, value)
        self.ends.pop(command.lease, None)
        return None


class Holder:
    """A process with its own clock rate and with pauses at any time."""

    def __init__(self, name, rate, pauses, delays):
        self.name, self.rate = name, rate
        self.pauses, self.delays = pauses, delays
        self.lease = leases.Lease("orders", name, TTL_S)
        budget = orders.LoadRateLimiter(100.0, 1)
        self.orders = orders.EngineReconciler(self.lease, budget)
        self.orders.handle(TARGETS, 0.0)
        self.pending = []  # (exact time, event for the lease)
        self.unsent = []

    def step(self, now, store, sent):
        if any(start <= now < start + long for start, long in self.pauses):
            return
        clock = now * self.rate
        # The shell acts on a command one step after it was returned.
        for order in self.unsent:
            if clock < order.send_before:
                sent.append((now + order.timeout_s, self.name, order))
            ended = orders.OrderEnded(order.number, "u")
            self.orders.handle(ended, clock)
        issued = []
        for due, event in list(self.pending):
            if due <= now:
                self.pending.remove((due, event))
                issued += self.lease.handle(event, clock)
        issued += self.lease.handle(events.Tick(), clock)
        for command in issued:
            delay = self.delays[int(now * 10) % len(self.delays)]
            # A delay of 4 s stands for a lost response, 5 s for a lost request.
            if delay > 4.0:
                continue
            event = store.carry_out(command, now)
            if event is not None and delay < 4.0:
                self.pending.append((now + delay, event))
        seen = orders.EngineReported("u", frozenset(), "", clock)
        self.orders.handle(seen, clock)
        self.unsent = self.orders.handle(events.Tick(), clock)


class HoldersTest(unittest.TestCase):
    """Guards against orders of a paused holder after its lease has ended.

    The engines in these tests do not check fencing tokens.
    """

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([0.96, 1.0, 1.04]), min_size=2, max_size=2
        ),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 250).map(lambda n: n * 0.2),
                strategies.sampled_from([1.0, 8.0, 9.0, 14.0]),
            ),
            max_size=6,
        ),
        strategies.lists(
            strategies.sampled_from([0.0, 0.3, 2.5, 4.0, 5.0]),
            min_size=1,
            max_size=5,
        ),
    )
    def test_only_the_present_holder_changes_an_engine(
        self, rates, pauses, delays
    ):
        self.drive(
            Holder("a", rates[0], pauses[::2], delays),
            Holder("b", rates[1], pauses[1::2], delays),
        )

    def drive(self, *holders, pause_before_write=False):
        """Runs holders and checks each order when it reaches the engine."""
        store, sent, reached = Store(), [], 0
        for step in range(600):
            now = step * STEP_S
            for arrival, name, order in list(sent):
                if arrival > now:
                    continue
                sent.remove((arrival, name, order))
                self.assertEqual(store.find_owner(arrival), name)
                reached += 1
            for holder in holders:
                if holder.unsent and pause_before_write:
                    holder.pauses = [(now, 14.0)]
                    pause_before_write = False
                holder.step(now, store, sent)
        return reached

    def test_order_held_up_by_a_pause_is_dropped(self):
        holders = [Holder(name, 1.0, [], [0.3]) for name in "ab"]
        self.assertGreater(self.drive(*holders, pause_before_write=True), 3)

    def test_margin_covers_a_slow_clock_when_renewals_are_lost(self):
        for answered in range(40, 240, 10):
            delays = [0.3] * answered + [5.0] * 600
            for rate in (0.91, 0.92, 0.93, 0.94):
                self.drive(Holder("a", rate, [], delays))


class OrdersTest(unittest.TestCase):
    """Guards against repeated orders and an exceeded shared rate limit."""

    def test_lease_is_not_relied_on_within_the_margin(self):
        lease = self.start()._lease
        self.assertEqual(lease.get_held_lease(8.9).fencing_token, 7)
        self.assertIsNone(
            lease.get_held_lease(TTL_S - leases.CLOCK_DRIFT_MARGIN_S)
        )

    def start(self):
        lease = leases.Lease("orders", "a", TTL_S)
        lease.handle(events.Tick(), 0.0)
        lease.handle(leases.LeaseCreated(1, "x"), 0.0)
        lease.handle(leases.LeaseRecordClaimed(2, 7), 0.0)
        reconciler = orders.EngineReconciler(
            lease, orders.LoadRateLimiter(100.0, 1)
        )
        reconciler.handle(TARGETS, 0.0)
        return reconciler

    def observe(self, reconciler, versions, requested_at):
        seen = orders.EngineReported("u", frozenset(versions), "", requested_at)
        reconciler.handle(seen, requested_at)

    def test_nothing_is_ordered_twice_while_reports_lag(self):
        reconciler = self.start()
        self.observe(reconciler, (), 0.0)
        reconciler.handle(events.Tick(), 0.0)
        (order,) = reconciler.handle(events.Tick(), 0.1)
        self.assertEqual((order.fencing_token, order.version), (7, "v"))
        self.observe(reconciler, (), 5.5)
        self.assertEqual(reconciler.handle(events.Tick(), 5.5), [])
        reconciler.handle(orders.OrderEnded(order.number, "u"), 5.6)
        self.observe(reconciler, (), 5.7)
        self.assertEqual(reconciler.handle(events.Tick(), 5.8), [])

    def test_no_order_after_an_engine_refused_the_token(self):
        reconciler = self.start()
        stale = orders.OrderEnded(9, "u", is_token_stale=True)
        self.assertEqual(
            reconciler.handle(stale, 0.0), [orders.FencingTokenStale(7)]
        )
        self.observe(reconciler, (), 0.0)
        reconciler.handle(events.Tick(), 0.0)
        self.assertEqual(reconciler.handle(events.Tick(), 0.1), [])

    @hypothesis.given(
        strategies.integers(1, 7),
        strategies.lists(strategies.floats(0.0, 2.0), max_size=50),
    )
    def test_budgets_of_all_holders_add_up_to_the_limit(self, count, gaps):
        budgets = [orders.LoadRateLimiter(2.0, count) for _ in range(count)]
        now, loads = 0.0, 0
        for gap in gaps:
            now += gap
            loads += sum(budget.try_acquire(now) for budget in budgets)
        self.assertLessEqual(loads, 2.0 * now + 1e-6)
        budgets[0].pause_until(now + 60.0)
        self.assertFalse(budgets[0].try_acquire(now + 59.0))
