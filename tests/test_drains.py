"""Tests of drains and of the shutdown of a process."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from benches import fleet
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import shutdown
from sycamorehollow.decisions.replication import records
from sycamorehollow.model import deployment
from sycamorehollow.model import failures

IN = deployment.Presence.IN_SERVICE
OUT = deployment.Presence.OUT_OF_SERVICE
DRAIN_BOUND_S = 5.0


def make_deployment(revision=1, centre=IN, upstream=IN):
    return deployment.Deployment(
        data_centres={"dc-0": deployment.DataCentre("dc-0", "r", centre)},
        upstreams={
            "u": deployment.Upstream("u", "", "dc-0", presence=upstream),
            "v": deployment.Upstream("v", "", "dc-1"),
        },
        revisions={"platform": revision},
    )


def make_record(key, value, version=1):
    return records.ReplicatedRecord(drains.DRAIN_KIND, key, version, value)


class DrainsTest(unittest.TestCase):
    """Guards against new work for upstreams out of service (I6, I10)."""

    def start(self, **changes):
        component = drains.Drains()
        change = drains.DeploymentChanged(make_deployment(**changes))
        component.handle(change, 0.0)
        return component

    @hypothesis.given(
        strategies.sampled_from(deployment.Presence),
        strategies.sampled_from(deployment.Presence),
        strategies.sets(
            strategies.sampled_from(["upstream/u", "data_centre/dc-0"])
        ),
        strategies.integers(0, 2),
        strategies.booleans(),
    )
    def test_any_source_keeps_new_work_away(
        self, centre, upstream, keys, named, leaving
    ):
        component = self.start(centre=centre, upstream=upstream)
        drained = tuple(make_record(k, f'{{"revision":{named}}}') for k in keys)
        component.handle(drains.RecordsChanged(drained), 1.0)
        component.handle(drains.UpstreamVmsReceived({"u": leaving}), 1.0)
        out = centre is not IN or upstream is not IN or leaving
        out = out or bool(keys and named >= 1)
        self.assertEqual(component.find_refusal("u") is not None, out)
        self.assertIsNone(component.find_refusal("v"))

    def test_unknown_upstream_is_refused_with_its_own_failure(self):
        self.assertIsInstance(
            self.start().find_refusal("x"), drains.UnknownUpstream
        )

    def test_record_is_lifted_only_by_a_higher_revision(self):
        component = self.start()
        record = make_record("upstream/u", '{"revision":1}')
        component.handle(drains.RecordsChanged((record,)), 1.0)
        again = drains.DeploymentChanged(make_deployment(revision=1))
        self.assertEqual(component.handle(again, 2.0), [])
        self.assertIsNotNone(component.find_refusal("u"))
        higher = drains.DeploymentChanged(make_deployment(revision=2))
        self.assertEqual(component.handle(higher, 3.0), [drains.MarkCold("u")])

    def test_malformed_record_keeps_work_away(self):
        component = self.start()
        record = make_record("upstream/u", '["revision"]')
        component.handle(drains.RecordsChanged((record,)), 1.0)
        self.assertIsNotNone(component.find_refusal("u"))

    def test_vm_missing_from_the_list_keeps_its_last_state(self):
        component = self.start()
        component.handle(drains.UpstreamVmsReceived({"u": True}), 1.0)
        component.handle(drains.UpstreamVmsReceived({}), 2.0)
        self.assertIsNotNone(component.find_refusal("u"))

    def test_every_return_counts_as_cold(self):
        component = self.start(centre=OUT)
        back = drains.DeploymentChanged(make_deployment())
        self.assertEqual(component.handle(back, 1.0), [drains.MarkCold("u")])
        component = self.start(upstream=OUT)
        removed = dataclasses.replace(make_deployment(), upstreams={})
        component.handle(drains.DeploymentChanged(removed), 1.0)
        self.assertEqual(component.handle(back, 2.0), [drains.MarkCold("u")])

    def test_drain_holds_on_every_reachable_process_after_5_s(self):
        for pushed in (True, False):
            driven = fleet.Fleet(3, 3)
            nodes = driven.start_joined(30)
            # No process of dc-1 can call one of dc-2 or be called by it.
            driven.cuts = lambda source, target: (
                {source.data_centre, target.data_centre} == {"dc-1", "dc-2"}
            )
            driven.run(2.0)
            value = drains.make_drain_value(make_deployment())
            issued = nodes[1].records.put(
                drains.DRAIN_KIND, "data_centre/dc-0", value, driven.now
            )
            if pushed:
                driven.carry_out(nodes[1], issued)
            driven.run(DRAIN_BOUND_S)
            for node in nodes:
                component = self.start()
                drained = node.records.list_kind(drains.DRAIN_KIND, driven.now)
                component.handle(
                    drains.RecordsChanged(tuple(drained)), driven.now
                )
                self.assertIsNotNone(component.find_refusal("u"), node.address)


class ShutdownTest(unittest.TestCase):
    """Guards against requests interrupted by a shutdown (I11)."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.integers(0, 2),
                strategies.floats(0.0, 4.0),
            )
        )
    )
    def test_exits_once_and_only_when_nothing_is_left(self, counts):
        component = shutdown.Shutdown()
        self.assertIsNone(component.find_refusal())
        begun = component.handle(shutdown.ShutdownRequested(), 0.0)
        self.assertEqual(
            begun, [shutdown.StopAdmission(), shutdown.AnnounceLeave()]
        )
        self.assertEqual(
            component.handle(shutdown.ShutdownRequested(), 0.0), []
        )
        now, exits = 0.0, 0
        for requests, bills, seconds in counts:
            now += seconds
            issued = component.handle(
                shutdown.WorkCounted(requests, bills), now
            )
            self.assertIs(
                component.find_refusal().execution,
                failures.Execution.NOT_STARTED,
            )
            if issued:
                exits += 1
                self.assertEqual(requests + bills, 0)
                self.assertGreaterEqual(now, drains.DRAIN_DELAY_S)
        self.assertLessEqual(exits, 1)
        component.handle(shutdown.WorkCounted(0, 0), now + drains.DRAIN_DELAY_S)
        self.assertIs(component.phase, shutdown.Phase.DONE)
