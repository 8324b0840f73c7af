"""Simulated fleet whose new version may fail on one of several routes."""

import heapq
import json
import random

from sycamorehollow.decisions.forwarding import canary
from sycamorehollow.decisions.forwarding import failure_evidence
from sycamorehollow.decisions.forwarding import response_times
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import rollout_messages
from tests import forwarding_world

ORDER_REVISION = 5
SYNC_S = 0.4
EVALUATE_S = 0.25
# Time from a request to the head of its response.
RESPONSE_S = 0.4
COMPLETED = forwarding.RolloutState.COMPLETED
ROLLED_BACK = forwarding.RolloutState.ROLLED_BACK


class Fleet:
    """Nodes that exchange reports, in front of a service with two versions.

    Args:
        seed: Seed of all randomness.
        fails: Returns the failure rate of a request, by its route, model,
            whether the version is the new one, its upstream and its time.
        parts: Share of each route in the requests.
        rate: Requests per second.
        duration_s: Duration of the order.
        nodes: Number of nodes.
        exposure: Share of the requests that a faulty version may get.
        slack: Requests that it may get in addition.
        upstreams: Number of upstreams of the new version.
        large_part: Share of the requests that the larger model serves.
    """

    def __init__(
        self,
        seed,
        fails,
        parts,
        rate=80.0,
        duration_s=16.0,
        nodes=6,
        exposure=0.15,
        slack=30,
        upstreams=9,
        large_part=0.3,
    ):
        self._rng = random.Random(seed)
        self._fails = fails
        self._parts = parts
        self._rate = rate
        self._duration_s = duration_s
        self._upstreams = upstreams
        self._large_part = large_part
        self._queue = []
        self._count = 0
        self.new = self.total = 0
        self._exposure, self._slack = exposure, slack
        self.final = None
        self.ended_at = None
        self.reason = ""
        self.order = forwarding.RolloutOrder(
            "s", "v2", duration_s, ORDER_REVISION
        )
        self.nodes = []
        for number in range(nodes):
            rollouts = canary.Rollouts(f"n{number}", exposure, slack)
            rollouts.set_node_count(nodes)
            rollouts.set_order(self.order, 0.0)
            self.nodes.append(rollouts)

    def run(self):
        """Runs the roll-out; returns its final state, or `None`."""
        self._at(self._rng.expovariate(self._rate), self._arrive)
        for number in range(len(self.nodes)):
            self._at(self._rng.uniform(0, EVALUATE_S), self._evaluate, number)
            self._at(self._rng.uniform(0, SYNC_S), self._sync, number)
        while self._queue:
            now, _, action, values = heapq.heappop(self._queue)
            if now >= self._duration_s:
                break
            action(now, *values)
        return self.final

    @property
    def allowed(self):
        """Requests that a faulty version may get."""
        return self._exposure * self.total + self._slack

    def _at(self, when, action, *values):
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, action, values))

    def _arrive(self, now):
        self._at(now + self._rng.expovariate(self._rate), self._arrive)
        node = self._rng.choice(self.nodes)
        route = self._rng.choices(
            list(self._parts), list(self._parts.values())
        )[0]
        model = "large" if self._rng.random() < self._large_part else "small"
        share = node.compute_share("s", now)
        new = canary.is_assigned("s", str(self._rng.random()), share)
        self.total += 1
        self.new += int(new)
        upstream = (
            f"{'new' if new else 'old'}-{self._rng.randrange(self._upstreams)}"
        )
        rate = self._fails(route, model, new, upstream, now)
        failed = self._rng.random() < rate
        origin = failure_evidence.Origin(route, model, upstream)
        self._at(
            now + RESPONSE_S * self._rng.uniform(0.2, 2.0),
            self._respond,
            node,
            origin,
            new,
            failed,
            share,
        )

    def _respond(self, now, node, origin, new, failed, share):
        version = "v2" if new else "v1"
        node.record_response("s", version, origin, failed)
        labels = response_times.AttemptLabels(
            "s",
            version,
            forwarding_world.build_route(name=origin.route),
            origin.model,
            origin.upstream,
            0,
            share,
        )
        node.record_latency(
            labels, response_times.LatencyKind.FIRST_EVENT, False
        )

    def _evaluate(self, now, number):
        self._at(now + EVALUATE_S, self._evaluate, number)
        node = self.nodes[number]
        for found in node.evaluate(now):
            self.reason = self.reason or found.reason
        state = node.find_due_state("s", now)
        if self.final is None and state in (COMPLETED, ROLLED_BACK):
            self.final = state
            self.ended_at = now
            status = forwarding.RolloutStatus("s", "v2", state, 9)
            for other in self.nodes:
                other.set_status(status)

    def _sync(self, now, number):
        self._at(now + SYNC_S, self._sync, number)
        one = self.nodes[number]
        other = self._rng.choice([n for n in self.nodes if n is not one])
        for source, sink in ((one, other), (other, one)):
            message = json.loads(
                json.dumps(rollout_messages.export(source, now))
            )
            rollout_messages.merge(sink, message, now)
