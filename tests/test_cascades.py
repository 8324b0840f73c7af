"""Tests of the cascade selector."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.cascading import cascade_selector
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.model import deployment
from sycamorehollow.model import failures

PRICES = {"tiny": 1.0, "small": 4.0, "large": 20.0}
NAMES = tuple(PRICES)


def make(seed=0):
    part = quality_estimator.QualityEstimator("p")
    return part, cascade_selector.CascadeSelector(part, random.Random(seed))


def teach(part, version, accepted, rejected, after=()):
    key = quality_estimator.EstimateKey("w", "k", version, after)
    for number in range(accepted + rejected):
        name = f"{key}{number}"
        part.handle(
            quality_estimator.ResponseProduced(name, key, 0.7, False), 0.0
        )
        score = 0.9 if number < accepted else 0.1
        part.handle(quality_estimator.RatingArrived(name, score), 0.0)


def ask(gate=False, explore=False, versions=NAMES, remaining=60.0, **state):
    policy = deployment.KindPolicy("k", 0.7, 0.8, gate=gate, explore=explore)
    return cascade_selector.Query(
        "w",
        policy,
        versions,
        PRICES,
        remaining,
        cascade_selector.Conditions(**state),
    )


counts = strategies.tuples(
    strategies.integers(0, 60), strategies.integers(0, 9)
)


class ChoiceRulesTest(unittest.TestCase):
    """Guards against cascades that break a policy, limit or deadline."""

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        strategies.fixed_dictionaries({name: counts for name in NAMES}),
        strategies.booleans(),
        strategies.booleans(),
        strategies.booleans(),
        strategies.sets(strategies.sampled_from(NAMES)),
        strategies.sets(strategies.sampled_from(NAMES)),
        strategies.integers(0, 12),
        strategies.integers(0, 99),
    )
    def test_choice_keeps_to_policy_pools_and_deadline(
        self, taught, gate, explore, down, allowed, full, remaining, seed
    ):
        part, chooser = make(seed)
        for version, (accepted, rejected) in taught.items():
            teach(part, version, accepted, rejected)
        versions = tuple(name for name in NAMES if name in allowed)
        durations = {"tiny": 2.0, "small": 4.0, "large": 6.0}
        request = ask(
            gate,
            explore,
            versions,
            float(remaining),
            durations_s=durations,
            full=frozenset(full),
            ratings_down=down,
        )
        for _ in range(8):
            choice = chooser.choose(request)
            if isinstance(choice, failures.Failure):
                self.assertIs(choice.execution, failures.Execution.NOT_STARTED)
                return
            chooser.handle(cascade_selector.ChoiceMade("w", "k", choice), 0.0)
            self.assertTrue(choice.steps and choice.reason)
            self.assertLessEqual(set(choice.steps), set(versions) - full)
            needed = sum(durations[v] for v in choice.steps)
            self.assertLessEqual(needed, remaining)
            if not choice.gate:
                self.assertEqual(len(choice.steps), 1)
            self.assertFalse(choice.gate and (down or not gate))
            if explore:
                continue
            dearest = max(versions, key=PRICES.__getitem__)
            for version in set(choice.steps) - {dearest}:
                self.assertGreaterEqual(
                    sum(taught[version]), cascade_selector.MIN_RATINGS
                )


class ChoiceTest(unittest.TestCase):
    """Guards against cascades that cost more than the target requires."""

    def test_takes_the_cheapest_version_that_is_good_enough(self):
        part, chooser = make()
        teach(part, "tiny", 60, 40)
        teach(part, "small", 95, 5)
        teach(part, "large", 100, 0)
        self.assertEqual(chooser.choose(ask()).steps, ("small",))

    def test_gate_lets_a_weaker_version_go_first(self):
        part, chooser = make()
        teach(part, "tiny", 60, 40)
        teach(part, "large", 100, 0)
        teach(part, "large", 90, 10, ("tiny",))
        choice = chooser.choose(ask(gate=True))
        self.assertEqual(choice.steps, ("tiny", "large"))
        late = chooser.choose(
            ask(
                gate=True,
                remaining=5.0,
                durations_s={"tiny": 2.0, "large": 4.0},
            )
        )
        self.assertEqual(late.steps, ("large",))

    def test_gate_passes_to_the_dearest_while_ratings_are_down(self):
        part, chooser = make()
        teach(part, "small", 95, 5)
        choice = chooser.choose(ask(True, True, ratings_down=True))
        self.assertEqual((choice.steps, choice.gate), (("large",), False))

    def test_names_the_failure_when_nothing_fits(self):
        _, chooser = make()
        full = chooser.choose(ask(full=frozenset(NAMES)))
        self.assertIsInstance(full, failures.NoUpstream)
        durations = dict.fromkeys(NAMES, 99.0)
        slow = chooser.choose(ask(durations_s=durations))
        self.assertIsInstance(slow, failures.DeadlineExceeded)
        none = chooser.choose(ask(versions=()))
        self.assertIsInstance(none, failures.NotAllowed)

    def test_unproven_kind_without_trials_never_leaves_the_dearest(self):
        part, chooser = make()
        teach(part, "large", 50, 50)
        self.assertEqual(chooser.choose(ask()).steps, ("large",))
        busy = chooser.choose(ask(full=frozenset({"large"})))
        self.assertIsInstance(busy, failures.NoUpstream)

    def test_proven_but_poor_version_goes_before_an_unproven_one(self):
        part, chooser = make()
        teach(part, "tiny", 20, 20)
        choice = chooser.choose(ask(full=frozenset({"large"})))
        self.assertEqual(choice.steps, ("tiny",))

    def test_trials_stay_within_their_share(self):
        part, chooser = make()
        for name in NAMES:
            teach(part, name, 50, 10)
        teach(part, "", 60, 0)
        trials = 0
        for _ in range(400):
            choice = chooser.choose(ask(explore=True))
            chooser.handle(cascade_selector.ChoiceMade("w", "k", choice), 0.0)
            trials += choice.trial_cost > 0
        share = cascade_selector.EXPLORE_SHARE
        self.assertLessEqual(trials, 400 * share + cascade_selector.MAX_CREDIT)


if __name__ == "__main__":
    unittest.main()
