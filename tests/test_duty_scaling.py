"""Tests of the duty that orders upstreams, without a network."""

import unittest

from sycamorehollow.decisions.duties import clock_offset
from sycamorehollow.decisions.duties import duty
from sycamorehollow.decisions.duties import scaling
from sycamorehollow.decisions.duties import scaling_duty
from sycamorehollow.decisions.duties import scaling_view
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import forwarding
from tests import forwarding_world

# Boot time at the monotonic time 0, and true time at the boot time 0.
BOOT = 1000.0
WALL = 1_767_225_000.0
LIMITS = forwarding.Scaling(1, 8, 8.0)
DC, OTHER_DC = "dc-1", "dc-2"


def build_router(*upstreams, limits=LIMITS):
    """Returns a router whose service `llm` is scaled, and `desk` is not."""
    services = {
        "llm": forwarding.Service("llm", 100, scaling=limits),
        "desk": forwarding.Service("desk", 100),
    }
    router = forwarding_world.build_router(
        *upstreams,
        configuration=forwarding_world.build_configuration(services=services),
    )
    router.watchers.record_fresh(0.0)
    return router


def build_fleet(count):
    """Returns upstreams that have all just started."""
    return [forwarding_world.build_upstream(f"u{n}") for n in range(count)]


class OrderList(scaling_duty.OrderLog):
    """Collects orders and results."""

    def __init__(self):
        self.orders, self.results = [], []

    def record_order(self, order):
        """Collects an order."""
        self.orders.append(order)

    def record_result(self, call, result):
        """Collects a result."""
        self.results.append((call.subject, call.count, result))


class ViewTest(unittest.TestCase):
    """Guards against orders on a wrong picture of the deployment."""

    def build(self, router, at=0.0, suspended_s=0.0):
        clock = clock_offset.ClockOffset()
        clock.record_clocks(BOOT, WALL + BOOT)
        views = scaling_view.ViewBuilder(router, clock)
        views.build(BOOT, 0.0)
        return views.build(BOOT + at + suspended_s, at)

    def test_only_scaled_services_and_registered_upstreams_count(self):
        desk = forwarding_world.build_upstream("desk-1", service="desk")
        gone = forwarding_world.build_upstream("gone", data_centre=OTHER_DC)
        router = build_router(*build_fleet(2), desk, gone)
        router.directory.get("gone").running = 3
        router.apply_event(updates.UpstreamRemoved("gone"), 1.0)
        (service,) = self.build(router, 2.0).services
        self.assertEqual(service.service, "llm")
        self.assertEqual([r.identity for r in service.replicas], ["u0", "u1"])
        self.assertEqual(service.data_centres, {DC, OTHER_DC})
        self.assertEqual(service.own_running, 3)
        self.assertIsNone(self.build(build_router(limits=None)))

    def test_lost_data_centre_is_known_to_a_later_owner(self):
        lost = forwarding_world.build_upstream("lost", data_centre=OTHER_DC)
        router = build_router(*build_fleet(1), lost)
        router.apply_event(updates.UpstreamRemoved("lost"), 1.0)
        self.assertEqual(router.evict_expired(5.0), ["lost"])
        service = self.build(router, 300.0).services[0]
        self.assertEqual(service.data_centres, {DC, OTHER_DC})
        service = self.build(router, 700.0).services[0]
        self.assertEqual(service.data_centres, {DC})

    def test_changes_of_the_deployment_are_stated(self):
        router = build_router(*build_fleet(1))
        self.assertFalse(self.build(router).services[0].is_changing)
        order = forwarding.RolloutOrder("llm", "v2", 60.0, 5)
        router.apply_event(updates.RolloutOrdered(order), 0.0)
        router.apply_event(updates.EvacuationSet(OTHER_DC, True), 0.0)
        for name in ("node-1", "node-2", "node-3"):
            node = watchers.Node("127.0.0.1:1", DC)
            router.apply_event(updates.NodeSet(name, node), 0.0)
        service = self.build(router).services[0]
        self.assertTrue(service.is_changing)
        self.assertEqual(service.evacuated, {OTHER_DC})
        self.assertEqual(service.nodes, 3)

    def test_times_are_boot_times(self):
        ms = 1000.0
        started = {
            "unknown": 0,
            "old": int((WALL + BOOT - 90.0) * ms),
            "fast-clock": int((WALL + BOOT + 90.0) * ms),
        }
        router = build_router(
            *(
                forwarding_world.build_upstream(name, started_ms=at, cold_s=4.0)
                for name, at in started.items()
            )
        )
        state = router.directory.get("old")
        state.load, state.load_at = forwarding.Load(1, 0, 8), 2.0
        view = self.build(router, 3.0)
        replicas = {r.identity: r for r in view.services[0].replicas}
        self.assertEqual(replicas["unknown"].registered_at, BOOT)
        self.assertAlmostEqual(replicas["old"].registered_at, BOOT - 90.0, 2)
        self.assertEqual(replicas["fast-clock"].registered_at, BOOT)
        self.assertEqual(replicas["old"].load_at, BOOT + 2.0)
        self.assertTrue(replicas["old"].cold)
        self.assertEqual(view.state_age_s, 3.0)
        self.assertFalse(self.build(router, 4.0).services[0].replicas[0].cold)

    def test_reports_and_state_age_while_the_machine_is_suspended(self):
        router = build_router(*build_fleet(1))
        router.directory.get("u0").load_at = 2.0
        view = self.build(router, 3.0, suspended_s=60.0)
        self.assertEqual(view.services[0].replicas[0].load_at, BOOT + 2.0)
        self.assertEqual(view.state_age_s, 63.0)


class ScalingDutyTest(unittest.TestCase):
    """Guards against lost, stale and repeated orders."""

    def setUp(self):
        self.router = build_router(*build_fleet(8))
        self.log = OrderList()
        self.at = 0.0
        clock = clock_offset.ClockOffset()
        clock.record_clocks(BOOT, WALL + BOOT)
        self.duty = scaling_duty.ScalingDuty(
            scaling_view.ViewBuilder(self.router, clock),
            self.log,
            lambda: self.at,
        )
        self.duty.begin(BOOT)

    def run_until(self, end):
        """Runs an idle service; returns the first calls, if there are any."""
        while self.at < end:
            self.at += 0.25
            self.router.watchers.record_fresh(self.at)
            for state in self.router.directory.list_all():
                state.load, state.load_at = forwarding.Load(1, 0, 8), self.at
            if not self.duty.is_due(BOOT + self.at):
                continue
            calls = self.duty.build_calls(BOOT + self.at)
            if calls:
                return calls
        return []

    def record(self, call, result):
        self.duty.record_result(call, result, BOOT + self.at)

    def test_accepted_orders_step_down_with_reasons(self):
        (call,) = self.run_until(20.0)
        self.assertEqual(call, duty.ScaleOrder("llm", DC, 6))
        self.assertIn("down: needs", self.log.orders[0].reason)
        self.record(call, duty.Result.ACCEPTED)
        self.assertEqual(
            self.log.results, [(call.subject, 6, duty.Result.ACCEPTED)]
        )
        self.assertEqual(self.run_until(self.at + 25.0), [])

    def test_orders_without_effect_are_repeated_after_a_pause(self):
        (call,) = self.run_until(20.0)
        for result in duty.Result:
            if result is duty.Result.ACCEPTED:
                continue
            failed_at = self.at
            self.record(call, result)
            self.assertEqual(self.run_until(failed_at + 1.75), [], result)
            self.assertEqual(self.run_until(failed_at + 4.0), [call], result)

    def test_new_owner_begins_with_what_is_registered(self):
        (call,) = self.run_until(20.0)
        self.duty.end(BOOT + self.at)
        self.duty.begin(BOOT + self.at)
        # The result of a call of the former ownership does not count.
        self.record(call, duty.Result.ACCEPTED)
        began_at = self.at
        (again,) = self.run_until(began_at + 40.0)
        self.assertGreaterEqual(self.at - began_at, 10.0)
        self.assertEqual(again, call)

    def test_orders_that_wait_for_a_slow_platform_are_dropped(self):
        orders = [
            scaling.Order("llm", f"dc-{n}", 2, "")
            for n in range(scaling_duty.MAX_OPEN_CALLS + 1)
        ]
        self.duty._decide = lambda now: None
        for order in orders:
            self.duty._waiting[f"llm/{order.data_centre}"] = order, BOOT
        self.assertEqual(
            len(self.duty.build_calls(BOOT)), scaling_duty.MAX_OPEN_CALLS
        )
        late = BOOT + scaling_duty.MAX_WAIT_S + 0.25
        self.assertEqual(self.duty.build_calls(late), [])
        self.assertEqual(
            self.log.results, [("llm/dc-4", 2, duty.Result.NOT_SENT)]
        )
        self.assertFalse(self.duty.is_due(late))

    def test_nothing_is_read_from_the_router_without_scaled_services(self):
        self.duty._views._router = build_router(*build_fleet(1), limits=None)
        self.duty._views._router.directory = None
        self.assertEqual(self.run_until(3.0), [])
