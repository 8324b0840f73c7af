"""Choice of the versions that a request may run on, in order."""

import abc
import dataclasses

from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.model import requests


@dataclasses.dataclass(frozen=True)
class Plan:
    """What to try for a request.

    Attributes:
        steps: Versions in the order in which they are tried.
        gated: Whether an answer is rated before it is delivered.
        session: Session token to return to the caller, or empty.
        reason: Why these versions were chosen, for the log.
    """

    steps: tuple[str, ...]
    gated: bool = False
    session: str = ""
    reason: str = ""


class Planner(abc.ABC):
    """Chooses the versions for requests."""

    @abc.abstractmethod
    def plan(
        self,
        request: requests.ModelRequest,
        current: deployment.Deployment,
        now: float,
    ) -> Plan | failures.Failure:
        """Returns the plan for a request, or why there is none."""


class NamedVersionPlanner(Planner):
    """Takes the requested version or the allowed versions of the model."""

    def plan(
        self,
        request: requests.ModelRequest,
        current: deployment.Deployment,
        now: float,
    ) -> Plan | failures.Failure:
        """Returns the named version, or the versions of the named model."""
        workspace = current.workspaces[request.workspace]
        names = list_candidates(request.model, current)
        if not names:
            return failures.NotFound(f"There is no model {request.model}.")
        allowed = tuple(name for name in names if name in workspace.versions)
        if not allowed:
            return failures.NotAllowed(
                f"The workspace may not use {request.model}."
            )
        return Plan(steps=allowed, reason="named by the caller")


def list_candidates(
    name: str, current: deployment.Deployment
) -> tuple[str, ...]:
    """Returns the versions that a requested name stands for."""
    if name in current.versions:
        return (name,)
    if name in current.cascades:
        return current.cascades[name].steps
    return tuple(
        version.name
        for version in current.versions.values()
        if version.model == name
    )
