"""Simulated upstreams of a scaled service, and the view of one of its nodes."""

import random

from sycamorehollow.decisions.duties import demand
from sycamorehollow.decisions.duties import scaling
from sycamorehollow.model import forwarding

SLOTS = 16
BOOT_S = 8.0
STEP_S = 0.5
COLD_S = 4.0
LIMITS = forwarding.Scaling(2, 30, BOOT_S)


class Replica:
    """One simulated upstream; `serves_at` is when it gets requests."""

    def __init__(self, identity, data_centre, born):
        self.identity, self.data_centre, self.born = identity, data_centre, born
        self.cold_until = self.drains_until = 0.0
        self.version = "v1"
        self.draining = False
        self.load, self.load_at = None, 0.0


class Fleet:
    """Applies orders as the platform does, and spreads the demand.

    Args:
        wanted: Function of the time that returns the demand in slots.
        count: Upstreams per data centre at the start.
    """

    def __init__(self, wanted, count=15, data_centres="abc", seed=1):
        self.wanted, self.rng, self.now = wanted, random.Random(seed), 0.0
        self.replicas, self.booting, self.orders = [], [], []
        self.desired = dict.fromkeys(data_centres, count)
        self.hidden, self.evacuated, self.is_changing = set(), set(), False
        self.state_age_s, self.reports_per_s, self.ok = 0.0, 6, True
        self.own_running = 0
        self.node = scaling.Scaling()
        self.made = 0
        for data_centre in data_centres:
            for _ in range(count):
                self.replicas.append(self.make(data_centre))

    def make(self, data_centre):
        """Returns a new upstream."""
        self.made += 1
        return Replica(f"i-{self.made}", data_centre, self.now)

    def count(self, data_centre):
        """Returns how many upstreams run or start."""
        found = self.replicas + [replica for _, replica in self.booting]
        return sum(
            r.data_centre == data_centre and not r.draining for r in found
        )

    def list_serving(self):
        """Returns the warm upstreams that take requests."""
        return [
            r
            for r in self.replicas
            if r.data_centre not in self.hidden | self.evacuated
            and not r.draining
            and self.now >= r.cold_until
        ]

    def run(self, seconds, check=None):
        """Lets the time pass; `check` gets each order before it is applied."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for at, replica in list(self.booting):
                if self.now >= at:
                    self.booting.remove((at, replica))
                    replica.cold_until = self.now + COLD_S
                    self.replicas.append(replica)
            self.replicas = [
                r
                for r in self.replicas
                if not r.draining or self.now < r.drains_until
            ]
            self.report()
            for order in self.node.decide(self.view(), self.now):
                self.orders.append((self.now, order))
                if check:
                    check(order)
                if self.ok:
                    self.apply(order)
                self.node.record_result(order, self.ok, self.now)

    def report(self):
        """Gives the node load reports from random upstreams."""
        serving = self.list_serving()
        mean = self.wanted(self.now) / max(1, len(serving))
        for _ in range(round(self.reports_per_s * STEP_S)):
            replica = self.rng.choice(serving)
            busy = round(max(0.0, self.rng.gauss(mean, mean**0.5))) + 1
            running = min(busy, SLOTS)
            replica.load = forwarding.Load(running, busy - running, SLOTS)
            replica.load_at = self.now

    def apply(self, order):
        """Starts or stops upstreams as ordered."""
        name, count = order.data_centre, order.count
        self.desired[name] = count
        for _ in range(count - self.count(name)):
            replica = self.make(name)
            self.booting.append((self.now + BOOT_S, replica))
        for _ in range(self.count(name) - count):
            replica = self.rng.choice(
                [
                    r
                    for r in self.replicas
                    if r.data_centre == name and not r.draining
                ]
            )
            replica.draining, replica.drains_until = True, self.now + 2

    def view(self):
        """Returns what the node knows."""
        replicas = tuple(
            demand.Replica(
                r.identity,
                r.data_centre,
                r.version,
                r.draining,
                self.now < r.cold_until,
                r.born,
                SLOTS,
                r.load,
                r.load_at,
            )
            for r in self.replicas
            if r.data_centre not in self.hidden
        )
        service = scaling.ServiceView(
            "llm",
            LIMITS,
            replicas,
            frozenset(self.desired),
            frozenset(self.evacuated),
            self.is_changing,
            self.own_running,
            nodes=100,
        )
        return scaling.View((service,), self.state_age_s)
