"""Tests of the decision how many upstreams a service needs."""

import math
import unittest
from unittest import mock

from sycamorehollow.decisions.duties import demand
from sycamorehollow.decisions.duties import scaling
from sycamorehollow.decisions.duties import scaling_steps
from sycamorehollow.model import forwarding
from sycamorehollow.platform import documents
from tests import scaled_fleet


class ReplayTest(unittest.TestCase):
    """Guards against orders that take away capacity the demand needs.

    Also guards against numbers that do not settle, and against idle upstreams
    that are billed for longer than the calm periods.
    """

    def replay(self, wanted, seconds, **options):
        self.fleet = scaled_fleet.Fleet(wanted, **options)
        self.fleet.run(seconds, self.check)
        return self.fleet

    def check(self, order):
        """A reduction leaves what is needed until others could have booted.

        Without the largest data centre the rest carries the present demand.
        """
        fleet = self.fleet
        kept = {name: fleet.count(name) for name in fleet.desired}
        if order.count >= kept[order.data_centre]:
            return
        self.assertFalse(fleet.hidden or fleet.evacuated or fleet.is_changing)
        before = kept[order.data_centre]
        self.assertGreaterEqual(order.count, min(0.75 * before, before - 1))
        kept[order.data_centre] = order.count
        span_s = round(scaled_fleet.BOOT_S + scaled_fleet.COLD_S)
        needed = max(fleet.wanted(fleet.now + s) for s in range(span_s))
        total = sum(kept.values()) * scaled_fleet.SLOTS
        self.assertGreaterEqual(total, needed, order)
        rest = total - max(kept.values()) * scaled_fleet.SLOTS
        self.assertGreaterEqual(rest, fleet.wanted(fleet.now), order)

    def find_changes(self, since):
        """Returns the orders that are given from a time on."""
        return [order for at, order in self.fleet.orders if at >= since]

    def test_quiet_fleet_is_reduced_early_and_settles(self):
        for seed in range(5):
            fleet = self.replay(lambda now: 40.0, 300, seed=seed)
            self.assertLessEqual(fleet.orders[0][0], 12.0)
            self.assertLessEqual(sum(fleet.desired.values()), 15)
            fleet.run(120, self.check)
            self.assertLessEqual(len(self.find_changes(300)), 3)

    def test_wave_is_followed(self):
        def wave(now):
            return 120 + 80 * math.sin(now * 2 * math.pi / 240)

        for seed in range(3):
            fleet = self.replay(wave, 720, seed=seed)
            self.assertLessEqual(sum(fleet.desired.values()), 40)

    def test_burst_of_three_times_is_carried(self):
        def burst(now):
            return 240.0 if 200 <= now < 230 else 80.0

        for seed in range(5):
            fleet = self.replay(burst, 199, seed=seed)
            slots = len(fleet.list_serving()) * scaled_fleet.SLOTS
            self.assertGreaterEqual(slots, 240)
            self.assertLessEqual(sum(fleet.desired.values()), 24)
            fleet.run(300, self.check)
            self.assertLessEqual(sum(fleet.desired.values()), 24)

    def test_sudden_rise_beyond_the_headroom_adds_at_once(self):
        fleet = self.replay(lambda now: 80.0 if now < 200 else 400.0, 216)
        slots = len(fleet.list_serving()) * scaled_fleet.SLOTS
        self.assertGreaterEqual(slots, 400)

    def test_lost_data_centre_stops_reductions_until_it_is_back(self):
        for part in (1.0, 0.5):
            fleet = self.replay(lambda now: 150.0, 150)
            before = dict(fleet.desired)
            lost = [r for r in fleet.replicas if r.data_centre == "c"]
            lost = lost[: math.ceil(len(lost) * part)]
            for replica in lost:
                fleet.replicas.remove(replica)
            slots = len(fleet.list_serving()) * scaled_fleet.SLOTS
            self.assertGreaterEqual(slots, 150)
            fleet.run(40, self.check)
            for name, count in before.items():
                self.assertGreaterEqual(fleet.desired[name], count)
            fleet.replicas.extend(lost)
            fleet.run(300, self.check)
            self.assertLessEqual(
                sum(fleet.desired.values()), sum(before.values()) + 3
            )

    def test_evacuation_and_roll_out_stop_reductions(self):
        # While two versions are registered, the need rises to between the
        # ordered and the registered number.
        fleet = self.replay(lambda now: 200.0 if now < 130 else 320.0, 100)
        before = dict(fleet.desired)
        fleet.is_changing = True
        fresh = [fleet.make(r.data_centre) for r in fleet.replicas]
        for replica in fresh:
            replica.version = "v2"
        old, fleet.replicas = fleet.replicas, fleet.replicas + fresh
        fleet.run(60, self.check)
        for replica in old:
            replica.draining, replica.drains_until = True, fleet.now + 2
        fleet.run(10, self.check)
        fleet.is_changing = False
        fleet.evacuated = {"a"}
        fleet.run(40, self.check)
        for name, count in before.items():
            self.assertGreaterEqual(fleet.desired[name], count)

    def test_old_state_and_missing_reports_give_no_orders(self):
        fleet = self.replay(lambda now: 10.0, 5)
        for state_age_s, reports_per_s in ((5.0, 6), (0.0, 0)):
            fleet.state_age_s = state_age_s
            fleet.reports_per_s = reports_per_s
            fleet.run(60, self.check)
        self.assertEqual(fleet.orders, [])
        fleet.reports_per_s = 6
        fleet.run(29, self.check)
        self.assertEqual(fleet.orders, [])

    def test_new_owner_begins_with_what_is_registered(self):
        fleet = self.replay(lambda now: 100.0, 70)
        given = len(fleet.orders)
        fleet.node = scaling.Scaling()
        fleet.run(29, self.check)
        self.assertEqual(len(fleet.orders), given)
        fleet.run(200, self.check)
        before = dict(fleet.desired)
        fleet.node = scaling.Scaling()
        fleet.run(200, self.check)
        self.assertAlmostEqual(
            sum(fleet.desired.values()), sum(before.values()), delta=3
        )

    def test_flapping_upstreams_do_not_count_and_cause_no_swings(self):
        fleet = self.replay(lambda now: 100.0, 200)
        least = min(fleet.desired.values())
        given = len(fleet.orders)
        away = []
        for _ in range(40):
            fleet.replicas.extend(away)
            away = fleet.replicas[:1] if not away else []
            for replica in away:
                fleet.replicas.remove(replica)
            fleet.run(3, self.check)
        self.assertGreaterEqual(min(fleet.desired.values()), least)
        self.assertLessEqual(len(fleet.orders) - given, 8)

    def test_failed_reduction_is_repeated_without_another_calm_period(self):
        fleet = scaled_fleet.Fleet(lambda now: 20.0)
        fleet.ok = False
        fleet.run(12)
        fleet.ok = True
        fleet.run(4)
        self.assertEqual(set(fleet.desired.values()), {12})

    def test_last_upstream_stays_without_a_minimum(self):
        none = forwarding.Scaling(0, 30, scaled_fleet.BOOT_S)
        with mock.patch.object(scaled_fleet, "LIMITS", none):
            fleet = scaled_fleet.Fleet(lambda now: 0.0, count=4)
            fleet.run(300)
        self.assertEqual(set(fleet.desired.values()), {1})

    def test_failed_orders_are_repeated_with_pauses(self):
        fleet = scaled_fleet.Fleet(lambda now: 300.0, count=5)
        fleet.ok = False
        fleet.run(10)
        orders = [o for _, o in fleet.orders if o.data_centre == "a"]
        self.assertIn(len(orders), range(2, 6))
        self.assertGreaterEqual(min(o.count for o in orders), 7)
        fleet.ok = True
        fleet.run(30)
        self.assertGreaterEqual(sum(fleet.desired.values()) * 16, 600)

    def test_one_of_two_data_centres_carries_a_peak(self):
        def pulse(now):
            return 200.0 if now >= 200 else 20.0

        # Not replayed with checks, as nothing announces a rise of ten times.
        fleet = scaled_fleet.Fleet(pulse, data_centres="ab")
        fleet.run(230)
        for count in fleet.desired.values():
            self.assertGreaterEqual(count * scaled_fleet.SLOTS, 200)

    def test_half_of_a_data_centre_is_missed_for_a_while(self):
        fleet = self.replay(lambda now: 20.0, 5)
        lost = [r for r in fleet.replicas if r.data_centre == "c"][:8]
        for replica in lost:
            fleet.replicas.remove(replica)
        fleet.run(40, self.check)
        self.assertEqual(fleet.orders, [])

    def test_cold_upstreams_do_not_count(self):
        fleet = scaled_fleet.Fleet(lambda now: 1.0)
        for replica in fleet.replicas:
            if int(replica.identity[2:]) % 5:
                replica.cold_until = 1000.0
        fleet.run(200)
        warm = [replica.data_centre for replica in fleet.list_serving()]
        for name in fleet.desired:
            self.assertGreaterEqual(
                warm.count(name), scaled_fleet.LIMITS.min_count
            )

    def test_failed_reduction_may_have_happened_or_not(self):
        for ok, needed, expected in (
            (False, 11, None),
            (False, 13, 15),
            (True, 13, 13),
        ):
            state = scaling_steps.OrderState(0.0, 30.0, low=15, high=15)
            state.give(12, 31.0)
            state.record_result(ok, 32.0)
            need = scaling_steps.Need(needed, needed, "")
            found = scaling_steps.find_increase(
                scaled_fleet.LIMITS, state, need, 15, 0, 35.0
            )
            self.assertEqual(found[0], expected)
            self.assertEqual(state.is_calm(35.0), not ok)

    def test_failed_increase_does_not_end_the_calm_period(self):
        state = scaling_steps.OrderState(0.0, 30.0, low=15, high=15)
        state.give(18, 31.0)
        state.record_result(False, 32.0)
        self.assertFalse(state.is_calm(35.0))


class EstimateTest(unittest.TestCase):
    """Guards against an estimate from reports that say too little."""

    def build(self, count, load, load_at=0.0, **options):
        """Returns upstreams with the same report."""
        values = {"version": "v", "draining": False, "cold": False, **options}
        return [
            demand.Replica(
                f"{values['version']}-{number}",
                "a",
                registered_at=0.0,
                slots=8,
                load=load,
                load_at=load_at,
                **values,
            )
            for number in range(count)
        ]

    def test_reporting_request_itself_is_no_demand(self):
        idle = self.build(10, forwarding.Load(1, 0, 8))
        self.assertEqual(demand.estimate(idle, 1.0).busy_slots["a"], 0.0)

    def test_few_or_old_reports_give_no_estimate(self):
        load = forwarding.Load(4, 0, 8)
        few = self.build(3, load) + self.build(9, None, version="w")
        self.assertIsNone(demand.estimate(few, 1.0))
        self.assertIsNone(demand.estimate(self.build(9, load), 11.0))

    def test_versions_are_extrapolated_separately(self):
        both = self.build(9, forwarding.Load(7, 0, 8))
        both += self.build(3, forwarding.Load(1, 0, 8), version="w")
        both += self.build(6, None, version="w")
        self.assertAlmostEqual(demand.estimate(both, 1.0).busy_slots["a"], 54)

    def test_own_requests_keep_upstreams_that_reports_miss(self):
        fleet = scaled_fleet.Fleet(lambda now: 20.0)
        fleet.own_running = 9
        fleet.run(200)
        self.assertGreaterEqual(sum(fleet.desired.values()) * 16, 300)

    def test_full_upstreams_hide_demand(self):
        full = self.build(10, forwarding.Load(9, 0, 8))
        self.assertGreater(demand.estimate(full, 1.0).busy_slots["a"], 100)


class ConfigurationTest(unittest.TestCase):
    """Guards against orders under limits that are not stated as a whole."""

    def test_incomplete_limits_mean_no_scaling(self):
        for text, expected in (
            ('{"min":13,"max":30,"bootTimeS":8.0}', (13, 30, 8.0)),
            ('{"min":13,"max":30}', None),
            ('{"min":30,"max":13,"bootTimeS":8.0}', None),
            ("null", None),
        ):
            found = documents.decode_configuration(
                f'{{"version":1,"services":[{{"name":"s","scaling":{text}}}]}}'
            )
            wanted = expected and forwarding.Scaling(*expected)
            self.assertEqual(found.services["s"].scaling, wanted)
