"""Choice of the upstream for an attempt, and what each upstream holds."""

import abc
import dataclasses

from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.model import requests


@dataclasses.dataclass(frozen=True)
class Assignment:
    """An upstream that takes an attempt.

    Attributes:
        reason: Why this upstream was chosen, for the log.
    """

    upstream: deployment.Upstream
    reason: str


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        code: Code of the upstream's typed refusal, or empty.
        unreachable: Whether no connection could be made.
        refused: Whether the host refused the connection.
        output_tokens: Output tokens of a whole answer, else 0.
    """

    status: upstream_events.AttemptStatus
    code: str = ""
    unreachable: bool = False
    refused: bool = False
    output_tokens: int = 0


class Placement(abc.ABC):
    """Chooses upstreams and accounts for the work sent to them."""

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
        """Chooses an upstream in place of the one that runs the request.

        The running attempt ends as given only if there is one; otherwise
        nothing changes.
        """

    @abc.abstractmethod
    def record_first_chunk(self, request_id: str, now: float) -> None:
        """Records the time of the first chunk of an attempt."""

    @abc.abstractmethod
    def release(
        self, request_id: str, result: AttemptResult, now: float
    ) -> None:
        """Ends the accounting of the attempt of a request."""

    @abc.abstractmethod
    def take_commands(self) -> list[commands.Command]:
        """Returns the commands that came up since the last call."""
