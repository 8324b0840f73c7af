"""Check of a workspace's access to a model version.

It runs just before dispatch, so that a version that was stopped or withdrawn
after it was selected is not used.
"""

from collections.abc import Set

from sycamorehollow.model import deployment
from sycamorehollow.model import failures


def check_version_access(
    current: deployment.Deployment | None,
    stopped: Set[str],
    workspace: str,
    version: str,
) -> failures.Failure | None:
    """Returns why a workspace may not use a version, or `None` if it may.

    Args:
        current: Deployment in force on this node; `None` before the first.
        stopped: Versions with a stop record in effect.
        workspace: Workspace of the request.
        version: Version selected for the request.
    """
    if current is None:
        return failures.NoConfiguration(
            reason="the node has no configuration yet", retry_after_s=1.0
        )
    customer = current.workspaces.get(workspace)
    if customer is None:
        return failures.NotAllowed(reason="the workspace does not exist")
    if version not in customer.versions:
        # Same response as for a version that does not exist, so that a
        # workspace cannot discover the versions of others.
        return failures.NotAllowed(
            reason=f"the workspace may not use version {version}"
        )
    known = current.versions.get(version)
    if known is None:
        return failures.NotFound(reason=f"version {version} does not exist")
    if known.state is not deployment.ServingState.SERVING:
        return failures.VersionWithdrawn(
            reason=f"version {version} is withdrawn"
        )
    if version in stopped:
        return failures.VersionWithdrawn(reason=f"version {version} is stopped")
    return None
