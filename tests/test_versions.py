"""Tests of the resolution of names to versions."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.requests import versions
from sycamorehollow.model import deployment
from sycamorehollow.model import failures

NAMES = ("v1", "v2", "v3", "v4")
CATALOGUE = {
    name: deployment.Version(name, "atlas", 1, index)
    for index, name in enumerate(NAMES)
}


def rollout(name, baseline, candidate):
    return deployment.Rollout(name, "t", "atlas", baseline, candidate, (0.1,))


def make(rollouts=(), allowed=NAMES, withdrawn=()):
    catalogue = dict(CATALOGUE)
    for name in withdrawn:
        catalogue[name] = deployment.Version(
            name, "atlas", 1, 1, deployment.ServingState.WITHDRAWN
        )
    return (
        deployment.Deployment(
            versions=catalogue,
            cascades={"auto": deployment.Cascade("auto", "t", ("v2", "v1"))},
            rollouts={r.name: r for r in rollouts},
        ),
        deployment.Workspace("w", "t", (), frozenset(allowed), frozenset()),
    )


pairs = strategies.permutations(NAMES).map(lambda names: names[:2])
many = strategies.sets(strategies.sampled_from(NAMES), min_size=2)
few = strategies.sets(strategies.sampled_from(NAMES), max_size=1)


class ResolveRulesTest(unittest.TestCase):
    """Guards against work on a version that may not serve it."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.lists(pairs, max_size=3),
        many,
        few,
        few,
        strategies.sampled_from((*NAMES, "atlas", "auto")),
        strategies.lists(strategies.floats(0, 1), min_size=3, max_size=3),
        strategies.integers(0, 50),
    )
    def test_only_allowed_versions_inside_their_share(
        self, splits, allowed, stopped, withdrawn, name, shares, number
    ):
        rollouts = [
            rollout(f"r{i}", one, two) for i, (one, two) in enumerate(splits)
        ]
        config, space = make(rollouts, allowed, withdrawn)
        effective = {r.name: s for r, s in zip(rollouts, shares, strict=False)}
        result = versions.resolve(
            config, space, name, str(number), effective, stopped
        )
        if isinstance(result, failures.Failure):
            self.assertIs(result.execution, failures.Execution.NOT_STARTED)
            return
        self.assertTrue(result.versions and result.reason)
        self.assertLessEqual(
            set(result.versions), allowed - stopped - withdrawn
        )
        if name in NAMES:
            self.assertEqual(result.versions, (name,))
            return
        for version in result.versions:
            sides = [r for r in rollouts if r.candidate == version]
            inside = [
                versions.compute_bucket(r, str(number)) < effective[r.name]
                for r in sides
            ]
            self.assertTrue(not sides or any(inside))

    @hypothesis.given(strategies.integers(0, 10**6), strategies.floats(0, 1))
    def test_session_stays_inside_when_the_share_grows(self, number, share):
        config, space = make([rollout("r", "v1", "v2")])
        picks = [
            versions.resolve(
                config, space, "atlas", str(number), {"r": value}, ()
            ).versions
            for value in (share, min(1.0, share + 0.2))
        ]
        if "v2" in picks[0]:
            self.assertIn("v2", picks[1])


class ResolveTest(unittest.TestCase):
    """Guards against a wrong assignment or a wrong failure."""

    def test_share_of_requests_matches_the_stage(self):
        config, space = make([rollout("r", "v1", "v2")])
        inside = 0
        for number in range(4000):
            found = versions.resolve(
                config, space, "atlas", str(number), {"r": 0.25}, ()
            )
            inside += "v2" in found.versions
            arm = next(iter(found.arms.values()))[0]
            self.assertEqual(arm.candidate, "v2" in found.versions)
        self.assertAlmostEqual(inside / 4000, 0.25, delta=0.03)

    def test_workspace_with_one_side_is_no_evidence(self):
        config, space = make([rollout("r", "v1", "v2")], ("v1", "v3"))
        found = versions.resolve(config, space, "atlas", "a", {"r": 1.0}, ())
        self.assertEqual((found.versions, found.arms), (("v1", "v3"), {}))

    def test_cascade_keeps_its_order(self):
        config, space = make()
        found = versions.resolve(config, space, "auto", "a", {}, ())
        self.assertEqual(found.versions, ("v2", "v1"))

    def test_refusals_have_their_types(self):
        config, space = make(allowed=("v1",))
        cases = (
            ("nothing", (), failures.NotFound),
            ("v2", (), failures.NotAllowed),
            ("v1", ("v1",), failures.VersionWithdrawn),
            ("atlas", ("v1",), failures.VersionWithdrawn),
        )
        for name, stopped, kind in cases:
            found = versions.resolve(config, space, name, "a", {}, stopped)
            self.assertIsInstance(found, kind)

    def test_price_counts_prompt_and_output(self):
        prices = versions.estimate_prices(CATALOGUE, ("v4",), 1000, 2000)
        self.assertEqual(prices, {"v4": 7.0})


if __name__ == "__main__":
    unittest.main()
