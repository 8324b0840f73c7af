"""Interface for choosing the upstream of an attempt and tracking its load."""

import abc
import dataclasses

from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.model import requests


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The upstream that an attempt is assigned to.

    Attributes:
        reason: Why this upstream was chosen, for the log.
    """

    upstream: deployment.Upstream
    reason: str


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        code: Error code of the upstream's refusal, or empty.
        unreachable: Whether no connection could be made.
        refused: Whether the host refused the connection.
        output_tokens: Output tokens of a complete response, else 0.
    """

    status: upstream_events.AttemptStatus
    code: str = ""
    unreachable: bool = False
    refused: bool = False
    output_tokens: int = 0


class Placement(abc.ABC):
    """Chooses upstreams and tracks the attempts outstanding at each."""

    @abc.abstractmethod
    def place(
        self,
        request: requests.ModelRequest,
        version: str,
        excluded: frozenset[str],
        now: float,
    ) -> Assignment | failures.Failure:
        """Chooses an upstream and counts the attempt as outstanding."""

    @abc.abstractmethod
    def move(
        self,
        request: requests.ModelRequest,
        version: str,
        excluded: frozenset[str],
        result: AttemptResult,
        now: float,
    ) -> Assignment | failures.Failure:
        """Chooses another upstream for a request that is running.

        If there is one, the running attempt ends with `result`; otherwise
        nothing changes.
        """

    @abc.abstractmethod
    def record_first_chunk(self, request_id: str, now: float) -> None:
        """Records that the first chunk of the request's attempt arrived."""

    @abc.abstractmethod
    def release(
        self, request_id: str, result: AttemptResult, now: float
    ) -> None:
        """Removes the request's attempt from the outstanding ones."""

    @abc.abstractmethod
    def take_commands(self) -> list[commands.Command]:
        """Returns and clears the commands issued since the last call."""
