"""Planner that combines sessions, roll-outs and cascades.

A session stays on its version. Other requests get the versions that the
roll-outs allow, and with a policy for their kind the cascade that is chosen by
learned quality and price.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Protocol

from sycamorehollow.decisions.cascading import cascade_selector
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.decisions.operations import version_access
from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.decisions.releases import sequential_test
from sycamorehollow.decisions.requests import planning
from sycamorehollow.decisions.requests import sessions
from sycamorehollow.decisions.requests import versions
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests

# Ratings count as unavailable after this many missing ones in sequence, until
# the next one arrives.
MAX_MISSED_RATINGS = 3
EXPECTED_RATING_S = 1.0
# A response that takes this share of its kind's deadline counts as slow.
SLOW_DEADLINE_SHARE = 0.5
MAX_PENDING_RESPONSES = 20_000


class UpstreamPools(Protocol):
    """Queries on the upstreams that serve a version."""

    def estimate_duration_s(
        self, request: requests.ModelRequest, version: str, now: float
    ) -> float:
        """Returns the expected duration of a response in seconds."""

    def has_candidate(self, version: str, now: float) -> bool:
        """Returns whether any upstream accepts new work for the version."""


class CascadePlanner(planning.Planner):
    """Plans the versions of a request by session, roll-out and quality.

    Args:
        selector: Selector of cascades.
        estimator: Quality estimates.
        progress: Roll-outs and stop records.
        evidence: Collected evidence on roll-outs.
        pools: Capacity and speed of the upstreams.
        ring: Keys that sign session tokens.
        read_clock: Returns the wall-clock time in whole seconds.
    """

    def __init__(
        self,
        selector: cascade_selector.CascadeSelector,
        estimator: quality_estimator.QualityEstimator,
        progress: rollouts.Rollouts,
        evidence: sequential_test.Evidence,
        pools: UpstreamPools,
        ring: keyrings.KeyRing,
        read_clock: Callable[[], int],
    ):
        self._selector = selector
        self._estimator = estimator
        self._rollouts = progress
        self._evidence = evidence
        self._pools = pools
        self._ring = ring
        self._read_clock = read_clock
        self._thresholds: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._missed_ratings = 0

    def plan(
        self,
        request: requests.ModelRequest,
        current: deployment.Deployment,
        now: float,
    ) -> planning.Plan | failures.Failure:
        """Returns the plan for a request; see the base class."""
        plan = self._plan(request, current, now)
        if isinstance(plan, failures.Failure):
            return plan
        duration_s = self._pools.estimate_duration_s(
            request, plan.steps[0], now
        )
        return dataclasses.replace(plan, expected_duration_s=duration_s)

    def _plan(
        self,
        request: requests.ModelRequest,
        current: deployment.Deployment,
        now: float,
    ) -> planning.Plan | failures.Failure:
        workspace = current.workspaces[request.workspace]
        policy = workspace.kinds.get(request.kind)
        base = build_base_plan(policy)
        if request.session and request.session != sessions.NEW_SESSION:
            return self._plan_session(request, current, base)
        shares = self._rollouts.get_shares()
        eligible = versions.resolve(
            current,
            workspace,
            request.model,
            request.request_id,
            shares,
            self._rollouts.list_stopped_versions(),
        )
        if isinstance(eligible, failures.Failure):
            return eligible
        base = dataclasses.replace(
            base, arms=dict(eligible.arms), rollout_shares=shares
        )
        if policy is None or len(eligible.versions) == 1:
            plan = dataclasses.replace(
                base,
                steps=eligible.versions[:1],
                fallbacks=eligible.versions[1:],
                reason=eligible.reason,
            )
        else:
            chosen = self._choose(request, current, policy, eligible, now)
            if isinstance(chosen, failures.Failure):
                return chosen
            plan = self._apply_choice(base, policy, eligible, chosen)
        if request.session == sessions.NEW_SESSION:
            return self._pin(request, plan)
        return plan

    def check_version(
        self,
        request: requests.ModelRequest,
        version: str,
        current: deployment.Deployment,
    ) -> failures.Failure | None:
        """Returns why a version may not take the request now, if so."""
        return version_access.check_version_access(
            current,
            self._rollouts.list_stopped_versions(),
            request.workspace,
            version,
        )

    def record_outcome(
        self,
        request: requests.ModelRequest,
        plan: planning.Plan,
        outcome: planning.AttemptOutcome,
        current: deployment.Deployment,
        now: float,
    ) -> list[commands.Command]:
        """Records the outcome of an attempt; see the base class."""
        if plan.needs_rating and not outcome.failed:
            self._expect_rating(request, plan, outcome, now)
        for arm in plan.arms.get(outcome.version, ()):
            if arm.rollout not in current.rollouts:
                continue
            self._evidence.handle(
                sequential_test.AnswerEnded(
                    outcome.answer_id,
                    self._rollouts.get_rollout_id(arm.rollout),
                    arm.candidate,
                    outcome.upstream,
                    plan.rollout_shares.get(arm.rollout, 0.0),
                    outcome.failed,
                    outcome.duration_s > plan.slow_threshold_s,
                ),
                now,
            )
        return []

    def record_rating(
        self, event: lifecycle.AnswerRated, now: float
    ) -> list[commands.Command]:
        """Records the rating of a response."""
        self._missed_ratings = 0
        threshold = self._thresholds.pop(event.answer_id, None)
        if threshold is None:
            return []
        self._estimator.handle(
            quality_estimator.RatingArrived(event.answer_id, event.score), now
        )
        accepted = event.score >= threshold
        self._evidence.handle(
            sequential_test.AnswerRated(event.answer_id, accepted), now
        )
        return []

    def record_missing_rating(self, answer_id: str, now: float) -> None:
        """Records that a rating did not arrive in time."""
        self._missed_ratings += 1

    def _plan_session(
        self,
        request: requests.ModelRequest,
        current: deployment.Deployment,
        base: planning.Plan,
    ) -> planning.Plan | failures.Failure:
        session = sessions.verify_token(
            request.session, request.workspace, request.model, self._ring
        )
        if isinstance(session, failures.Failure):
            return session
        version = sessions.find_pinned_version(
            session, current, self._rollouts.list_stopped_versions()
        )
        if isinstance(version, failures.Failure):
            return version
        return dataclasses.replace(
            base,
            steps=(version,),
            session=request.session,
            reason="the session began with this version",
        )

    def _pin(
        self, request: requests.ModelRequest, plan: planning.Plan
    ) -> planning.Plan:
        # The token is sent in the response head, so the version is fixed before
        # an upstream is chosen.
        version = plan.steps[-1]
        session = sessions.Session(
            request.workspace, request.model, version, self._read_clock()
        )
        return dataclasses.replace(
            plan,
            steps=(version,),
            is_gated=False,
            fallbacks=(),
            session=sessions.issue_token(session, self._ring),
            reason=f"new session; {plan.reason}",
        )

    def _choose(
        self,
        request: requests.ModelRequest,
        current: deployment.Deployment,
        policy: deployment.KindPolicy,
        eligible: versions.EligibleVersions,
        now: float,
    ) -> cascade_selector.Cascade | failures.Failure:
        names = eligible.versions
        conditions = cascade_selector.Conditions(
            durations_s={
                name: self._pools.estimate_duration_s(request, name, now)
                for name in names
            },
            full=frozenset(
                name
                for name in names
                if not self._pools.has_candidate(name, now)
            ),
            rating_wait_s=EXPECTED_RATING_S,
            ratings_down=self._missed_ratings >= MAX_MISSED_RATINGS,
        )
        query = cascade_selector.Query(
            request.workspace,
            policy,
            names,
            versions.estimate_prices(
                current.versions,
                names,
                request.prompt_tokens,
                request.max_output_tokens,
            ),
            request.deadline - now,
            conditions,
        )
        choice = self._selector.choose(query)
        if isinstance(choice, cascade_selector.Cascade):
            self._selector.handle(
                cascade_selector.ChoiceMade(
                    request.workspace, policy.name, choice
                ),
                now,
            )
        return choice

    def _apply_choice(
        self,
        base: planning.Plan,
        policy: deployment.KindPolicy,
        eligible: versions.EligibleVersions,
        choice: cascade_selector.Cascade,
    ) -> planning.Plan:
        others = tuple(v for v in eligible.versions if v not in choice.steps)
        return dataclasses.replace(
            base,
            steps=choice.steps,
            is_gated=choice.gate,
            # A kind without trials must not run on an unproven version, even if
            # the proven ones are full.
            fallbacks=others if policy.explore else (),
            reason=f"{eligible.reason}; {choice.reason}",
        )

    def _expect_rating(
        self,
        request: requests.ModelRequest,
        plan: planning.Plan,
        outcome: planning.AttemptOutcome,
        now: float,
    ) -> None:
        self._thresholds[outcome.answer_id] = plan.rating_threshold
        if len(self._thresholds) > MAX_PENDING_RESPONSES:
            self._thresholds.popitem(last=False)
        key = quality_estimator.EstimateKey(
            request.workspace,
            request.kind,
            outcome.version,
            outcome.rejected_versions,
        )
        self._estimator.handle(
            quality_estimator.ResponseProduced(
                outcome.answer_id, key, plan.rating_threshold, outcome.is_final
            ),
            now,
        )


def build_base_plan(policy: deployment.KindPolicy | None) -> planning.Plan:
    """Returns a plan without steps, with the settings of a policy."""
    if policy is None:
        return planning.Plan(steps=())
    return planning.Plan(
        steps=(),
        priority=policy.priority,
        needs_rating=policy.quality_target > 0,
        rating_threshold=policy.quality_threshold,
        slow_threshold_s=SLOW_DEADLINE_SHARE * policy.deadline_s,
    )
