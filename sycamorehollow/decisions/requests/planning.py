"""Interface of the planner, which chooses the versions for a request.

The router executes plans and reports outcomes and ratings back, so that a
planner may learn from them.
"""

import abc
import dataclasses

from sycamorehollow.decisions.requests import versions
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests


@dataclasses.dataclass(frozen=True)
class Plan:
    """The versions to try for a request, in order.

    Attributes:
        steps: Versions in the order in which they are tried.
        priority: Priority at the upstream; lower numbers go first.
        needs_rating: Whether answers are sent to the rating service.
        rating_threshold: Lowest rating, in [0, 1], of an accepted answer.
        slow_threshold_s: Duration from which an answer counts as slow.
        expected_duration_s: Expected duration of the first step's answer.
        is_gated: Whether an answer is rated before it is delivered.
        fallbacks: Versions that may replace a step that no upstream can
            accept now, in order of preference.
        arms: Roll-out arms that an answer of each version counts for.
        rollout_shares: Share of each roll-out at the time of assignment.
        session: Session token to return to the caller, or empty.
        reason: Why these versions were chosen, for the log.
    """

    steps: tuple[str, ...]
    priority: int = 1
    needs_rating: bool = False
    rating_threshold: float = 0.0
    slow_threshold_s: float = float("inf")
    expected_duration_s: float = 0.0
    is_gated: bool = False
    fallbacks: tuple[str, ...] = ()
    arms: dict[str, tuple[versions.Arm, ...]] = dataclasses.field(
        default_factory=dict
    )
    rollout_shares: dict[str, float] = dataclasses.field(default_factory=dict)
    session: str = ""
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class AttemptOutcome:
    """How an attempt ended, as reported to the planner.

    Attributes:
        answer_id: Identity of the answer; its rating refers to it.
        rejected_versions: Versions with rejected answers to this request.
        failed: Whether it ended with an error or a truncated answer.
        duration_s: Time since the start of the attempt.
        is_final: Whether the answer is delivered whatever its rating.
    """

    answer_id: str
    version: str
    upstream: str
    rejected_versions: tuple[str, ...]
    failed: bool
    duration_s: float
    is_final: bool


class Planner(abc.ABC):
    """Chooses the versions for requests and learns from the answers."""

    @abc.abstractmethod
    def plan(
        self,
        request: requests.ModelRequest,
        current: deployment.Deployment,
        now: float,
    ) -> Plan | failures.Failure:
        """Returns the plan for a request, or the reason for having none."""

    @abc.abstractmethod
    def check_version(
        self,
        request: requests.ModelRequest,
        version: str,
        current: deployment.Deployment,
    ) -> failures.Failure | None:
        """Returns why a version may not serve the request now, if so."""

    @abc.abstractmethod
    def record_outcome(
        self,
        request: requests.ModelRequest,
        plan: Plan,
        outcome: AttemptOutcome,
        current: deployment.Deployment,
        now: float,
    ) -> list[commands.Command]:
        """Records how an attempt ended."""

    @abc.abstractmethod
    def record_rating(
        self, event: lifecycle.AnswerRated, now: float
    ) -> list[commands.Command]:
        """Records the rating of an answer."""

    @abc.abstractmethod
    def record_missing_rating(self, answer_id: str, now: float) -> None:
        """Records that a rating did not arrive in time."""
