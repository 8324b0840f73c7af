"""Tests of the fence."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions import fence
from sycamorehollow.model import deployment
from sycamorehollow.model import failures

NAMES = strategies.sampled_from(["a", "b", "c"])
SETS = strategies.frozensets(NAMES)


class FenceTest(unittest.TestCase):
    """Guards against work on versions that are not allowed or withdrawn."""

    @hypothesis.given(SETS, SETS, SETS, SETS, NAMES, NAMES)
    def test_starts_only_what_every_rule_allows(
        self, known, serving, allowed, stopped, workspace, version
    ):
        versions = {}
        for name in known:
            state = deployment.ServingState.WITHDRAWN
            if name in serving:
                state = deployment.ServingState.SERVING
            versions[name] = deployment.Version(name, "m", 1, 1, state)
        in_force = deployment.Deployment(
            versions=versions,
            workspaces={
                "a": deployment.Workspace("a", "t", (), allowed, frozenset())
            },
        )
        failure = fence.check_start(in_force, stopped, workspace, version)
        may_start = (
            workspace == "a"
            and version in known & serving & allowed
            and version not in stopped
        )
        self.assertEqual(failure is None, may_start)
        if failure is not None:
            self.assertIs(failure.run, failures.Run.NO)

    def test_no_configuration(self):
        failure = fence.check_start(None, frozenset(), "a", "a")
        self.assertIsInstance(failure, failures.NoConfiguration)

    def test_withdrawn_and_stopped_have_the_same_type(self):
        version = deployment.Version("a", "m", 1, 1)
        in_force = deployment.Deployment(
            versions={"a": version},
            workspaces={
                "w": deployment.Workspace(
                    "w", "t", (), frozenset("a"), frozenset()
                )
            },
        )
        failure = fence.check_start(in_force, {"a"}, "w", "a")
        self.assertIsInstance(failure, failures.VersionWithdrawn)
