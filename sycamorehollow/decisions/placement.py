"""Choice of the upstream for an attempt, and what each upstream holds."""

import abc
import dataclasses

from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.model import requests


@dataclasses.dataclass(frozen=True)
class Placed:
    """An upstream that takes an attempt.

    Attributes:
        reason: Why this upstream was chosen, for the log.
    """

    upstream: deployment.Upstream
    reason: str


class Placement(abc.ABC):
    """Chooses upstreams and accounts for the work sent to them."""

    @abc.abstractmethod
    def place(
        self,
        request: requests.ModelRequest,
        version: str,
        excluded: frozenset[str],
        now: float,
    ) -> Placed | failures.Failure:
        """Chooses an upstream and counts the attempt as outstanding."""

    @abc.abstractmethod
    def release(self, request_id: str, completed: bool, now: float) -> None:
        """Ends the accounting of the attempt of a request."""


class LeastOutstanding(Placement):
    """Chooses the upstream with the fewest attempts of this process."""

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self._current = deployment.Deployment()
        self._outstanding: dict[str, int] = {}
        self._placed: dict[str, str] = {}

    def apply(self, current: deployment.Deployment) -> None:
        """Takes the configuration in force."""
        self._current = current

    def place(
        self,
        request: requests.ModelRequest,
        version: str,
        excluded: frozenset[str],
        now: float,
    ) -> Placed | failures.Failure:
        """Chooses the least loaded upstream, own data centre first."""
        candidates = [
            upstream
            for upstream in self._current.upstreams.values()
            if version in upstream.versions
            and upstream.name not in excluded
            and upstream.presence is deployment.Presence.IN
        ]
        if not candidates:
            return failures.NoUpstream(
                f"No upstream serves {version} now.", retry_after_s=1.0
            )
        chosen = min(candidates, key=self._rank)
        self._outstanding[chosen.name] = (
            self._outstanding.get(chosen.name, 0) + 1
        )
        self._placed[request.request_id] = chosen.name
        return Placed(chosen, "least outstanding")

    def release(self, request_id: str, completed: bool, now: float) -> None:
        """Counts one attempt less."""
        name = self._placed.pop(request_id, None)
        if name is not None:
            self._outstanding[name] -= 1

    def _rank(self, upstream: deployment.Upstream) -> tuple[bool, int, str]:
        return (
            upstream.data_centre != self._data_centre,
            self._outstanding.get(upstream.name, 0),
            upstream.name,
        )
