"""Choice of the versions that a request may run on, in order."""

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
    """What to try for a request.

    Attributes:
        steps: Versions in the order in which they are tried.
        priority: Lower numbers go first at the upstream.
        needs_rating: Whether answers are sent to the rating service.
        rating_threshold: Rating in [0, 1] from which an answer is accepted.
        slow_threshold_s: Duration from which an answer counts as slow.
        expected_duration_s: Expected duration of the first step.
        is_gated: Whether an answer is rated before it is delivered.
        fallbacks: Versions that may take the place of a step that no
            upstream can take now, in the order of preference.
        arms: Roll-out arms that an answer of each version counts for.
        rollout_shares: Share of each roll-out when the request was assigned.
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
    """How an attempt ended, for those who learn from it.

    Attributes:
        answer_id: Unique per attempt; its rating follows under it.
        rejected_versions: Versions with rejected answers to this request.
        failed: Whether it ended in an error or truncated.
        duration_s: Seconds from the start of the attempt.
        is_final: Whether the answer is delivered even when it is rejected.
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
        """Returns the plan for a request, or why there is none."""

    @abc.abstractmethod
    def check_version(
        self,
        request: requests.ModelRequest,
        version: str,
        current: deployment.Deployment,
    ) -> failures.Failure | None:
        """Returns why a version may not take the request now, if so."""

    @abc.abstractmethod
    def record_outcome(
        self,
        request: requests.ModelRequest,
        plan: Plan,
        outcome: AttemptOutcome,
        current: deployment.Deployment,
        now: float,
    ) -> list[commands.Command]:
        """Takes the end of an attempt."""

    @abc.abstractmethod
    def record_rating(
        self, event: lifecycle.AnswerRated, now: float
    ) -> list[commands.Command]:
        """Takes the rating of an answer."""

    @abc.abstractmethod
    def record_missing_rating(self, answer_id: str, now: float) -> None:
        """Takes note that a rating did not arrive in time."""
