"""Versions that a request may run on, by the name that it requests.

Roll-outs split requests by a hash of the session or request, so that every
node decides alike without coordination.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import hashlib

from sycamorehollow.model import deployment as deployments
from sycamorehollow.model import failures


@dataclasses.dataclass(frozen=True)
class Arm:
    """The arm of a roll-out that an answer of a version counts for.

    Attributes:
        rollout: Name of the roll-out.
        candidate: Whether it is the new version, not the one in service.
    """

    rollout: str
    candidate: bool


@dataclasses.dataclass(frozen=True)
class EligibleVersions:
    """The versions that a request may run on.

    Attributes:
        versions: In the order of attempts: the order of the cascade,
            otherwise by price.
        arms: Roll-out arms that an answer of each version counts for.
        reason: One sentence for the log.
    """

    versions: tuple[str, ...]
    arms: Mapping[str, tuple[Arm, ...]]
    reason: str


def compute_bucket(rollout: deployments.Rollout, assignment_key: str) -> float:
    """Returns the bucket in [0, 1) of a request or session in a roll-out.

    The bucket does not depend on the stage, so whatever is included at a small
    share stays included at a larger one.
    """
    text = f"{rollout.name}\n{rollout.candidate}\n{assignment_key}"
    digest = hashlib.sha256(text.encode()).digest()
    return int.from_bytes(digest[:8], "big") / 2**64


def resolve(
    deployment: deployments.Deployment,
    workspace: deployments.Workspace,
    name: str,
    assignment_key: str,
    shares: Mapping[str, float],
    stopped_versions: Collection[str],
) -> EligibleVersions | failures.Failure:
    """Returns the versions that a request may run on.

    Args:
        deployment: The configuration in effect.
        workspace: Workspace of the request.
        name: Model, version or cascade that the request names.
        assignment_key: Session identity, or the request id without a session.
        shares: Effective share of each roll-out; 0 where one is missing.
        stopped_versions: Versions with a stop record in effect.
    """
    if name in deployment.versions:
        return _resolve_version(deployment, workspace, name, stopped_versions)
    named = _list_named(deployment, name)
    if not named:
        return failures.NotFound(f"No model, version or cascade {name!r}.")
    usable = {
        v.name
        for v in deployment.versions.values()
        if v.name in workspace.versions
        and v.name not in stopped_versions
        and v.state is deployments.ServingState.SERVING
    }
    splits = _RolloutAssignment(
        deployment.rollouts, usable, assignment_key, shares
    )
    selected = dict.fromkeys(splits.pick_version(version) for version in named)
    chosen = tuple(version for version in selected if version is not None)
    if not chosen:
        return _refuse(workspace, name, named, usable)
    arms = {v: splits.list_arms(v) for v in chosen if splits.list_arms(v)}
    note = f"{len(chosen)} of {len(named)} versions of {name}"
    return EligibleVersions(chosen, arms, note + _describe_arms(arms, shares))


def _list_named(
    deployment: deployments.Deployment, name: str
) -> tuple[str, ...]:
    """Returns the steps of a cascade, or a model's versions by price."""
    cascade = deployment.cascades.get(name)
    if cascade is not None:
        return cascade.steps
    found = [v for v in deployment.versions.values() if v.model == name]
    found.sort(key=lambda v: (v.output_price, v.prompt_price, v.name))
    return tuple(v.name for v in found)


def _describe_arms(
    arms: Mapping[str, tuple[Arm, ...]], shares: Mapping[str, float]
) -> str:
    text = ""
    for arm in (arm for group in arms.values() for arm in group):
        side = "inside" if arm.candidate else "outside"
        share = shares.get(arm.rollout, 0.0)
        text += f"; {side} {share:.0%} of {arm.rollout}"
    return text


def estimate_prices(
    versions: Mapping[str, deployments.Version],
    names: tuple[str, ...],
    prompt_tokens: int,
    output_tokens: int,
) -> dict[str, float]:
    """Returns the expected price of one answer in micro-units of currency."""
    prices = {}
    for name in names:
        version = versions[name]
        prompt = version.prompt_price * prompt_tokens
        prices[name] = (prompt + version.output_price * output_tokens) / 1000
    return prices


def _resolve_version(
    deployment: deployments.Deployment,
    workspace: deployments.Workspace,
    name: str,
    stopped: Collection[str],
) -> EligibleVersions | failures.Failure:
    """Returns exactly the version that the request names, or a failure."""
    if name not in workspace.versions:
        return failures.NotAllowed(
            f"Workspace {workspace.name!r} may not use version {name!r}."
        )
    state = deployment.versions[name].state
    if name in stopped or state is not deployments.ServingState.SERVING:
        return failures.VersionWithdrawn(f"Version {name!r} takes no new work.")
    return EligibleVersions((name,), {}, f"the request names version {name}")


class _RolloutAssignment:
    """Assignment of one request to the arms of all roll-outs."""

    def __init__(
        self,
        rollouts: Mapping[str, deployments.Rollout],
        usable: set[str],
        assignment: str,
        shares: Mapping[str, float],
    ) -> None:
        self._usable = usable
        self._rollouts = sorted(rollouts.values(), key=lambda r: r.name)
        self._is_inside = {
            r.name: compute_bucket(r, assignment) < shares.get(r.name, 0.0)
            and r.candidate in usable
            for r in self._rollouts
        }

    def pick_version(self, version: str) -> str | None:
        """Returns the version that replaces a named one, or `None`."""
        seen: set[str] = set()
        while version not in seen:
            seen.add(version)
            version = self._follow_rollout(version)
        if version not in self._usable or self._is_excluded(version):
            return None
        return version

    def list_arms(self, version: str) -> tuple[Arm, ...]:
        """Returns the arms that an answer of a version counts for."""
        arms = []
        for rollout in self._rollouts:
            # A workspace that may use one arm only gives no comparison.
            if not {rollout.baseline, rollout.candidate} <= self._usable:
                continue
            inside = self._is_inside[rollout.name]
            arm = rollout.candidate if inside else rollout.baseline
            if version == arm:
                arms.append(Arm(rollout.name, inside))
        return tuple(arms)

    def _is_excluded(self, version: str) -> bool:
        """Returns whether every roll-out of a version excludes the request."""
        own_rollouts = [r for r in self._rollouts if r.candidate == version]
        return bool(own_rollouts) and not any(
            self._is_inside[r.name] for r in own_rollouts
        )

    def _follow_rollout(self, version: str) -> str:
        is_excluded = self._is_excluded(version)
        for rollout in self._rollouts:
            if is_excluded and rollout.candidate == version:
                return rollout.baseline
            if rollout.baseline == version and self._is_inside[rollout.name]:
                return rollout.candidate
        return version


def _refuse(
    workspace: deployments.Workspace,
    name: str,
    named: tuple[str, ...],
    usable: set[str],
) -> failures.Failure:
    if not workspace.versions.intersection(named):
        return failures.NotAllowed(
            f"Workspace {workspace.name!r} may use no version of {name!r}."
        )
    if usable.intersection(named):
        return failures.NotAllowed(
            f"The versions of {name!r} that workspace {workspace.name!r} may"
            " use are in a roll-out that the request is outside of."
        )
    return failures.VersionWithdrawn(
        f"Every version of {name!r} that workspace {workspace.name!r} may use"
        " is withdrawn."
    )
