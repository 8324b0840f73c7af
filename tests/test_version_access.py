"""Tests of the check of access to a version."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.operations import version_access
from sycamorehollow.model import failures
from tests import deployments

NAMES = strategies.sampled_from(["a", "b", "c"])
WORKSPACES = strategies.sampled_from(["w", "other"])
SETS = strategies.frozensets(NAMES)


class VersionAccessTest(unittest.TestCase):
    """Guards against requests to forbidden or withdrawn versions."""

    @hypothesis.given(SETS, SETS, SETS, SETS, NAMES, WORKSPACES)
    def test_starts_only_what_every_rule_allows(
        self, known, serving, allowed, stopped, version, workspace
    ):
        current = deployments.make_deployment(known, serving, allowed)
        failure = version_access.check_version_access(
            current, stopped, workspace, version
        )
        is_allowed = (
            workspace == "w"
            and version in known & serving & allowed
            and version not in stopped
        )
        self.assertEqual(failure is None, is_allowed)
        if failure is not None:
            self.assertIs(failure.execution, failures.Execution.NOT_STARTED)

    def test_types_without_configuration_and_for_a_stopped_version(self):
        failure = version_access.check_version_access(
            None, frozenset(), "w", "a"
        )
        self.assertIsInstance(failure, failures.NoConfiguration)
        current = deployments.make_deployment({"a"}, {"a"}, {"a"})
        failure = version_access.check_version_access(current, {"a"}, "w", "a")
        self.assertIsInstance(failure, failures.VersionWithdrawn)
