"""Small deployments for tests."""

from collections.abc import Set

from sycamorehollow.model import deployment


def make_deployment(
    known: Set[str], serving: Set[str], allowed: Set[str]
) -> deployment.Deployment:
    """Returns a deployment with one workspace `w`."""
    versions = {}
    for name in known:
        state = deployment.ServingState.WITHDRAWN
        if name in serving:
            state = deployment.ServingState.SERVING
        versions[name] = deployment.Version(name, "m", 1, 1, state)
    workspace = deployment.Workspace(
        "w", "t", (), frozenset(allowed), frozenset()
    )
    return deployment.Deployment(versions, workspaces={"w": workspace})
