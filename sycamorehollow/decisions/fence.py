"""The last check before work is sent to a version."""

from collections.abc import Set

from sycamorehollow.model import deployment
from sycamorehollow.model import failures


def check(
    current: deployment.Deployment,
    stopped: Set[str],
    workspace: str,
    version: str,
) -> failures.Failure | None:
    """Returns why a workspace may not send work to a version, or `None`."""
    known = current.versions.get(version)
    if known is None:
        return failures.NotFound(f"There is no version {version}.")
    owner = current.workspaces.get(workspace)
    if owner is None or version not in owner.versions:
        return failures.NotAllowed(f"The workspace may not use {version}.")
    withdrawn = known.state is deployment.ServingState.WITHDRAWN
    if withdrawn or version in stopped:
        return failures.VersionWithdrawn(
            f"The version {version} was withdrawn."
        )
    return None
