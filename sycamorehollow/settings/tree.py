"""Conversion of the settings tree to the configuration in force."""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import ClassVar
from typing import TypeAlias

import pydantic

from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.settings import documents

PLATFORM = "platform"
# Keeps the recursion over nested cascades far below the interpreter's limit.
MAX_NESTING = 16

# Revision and document of each branch.
Branches: TypeAlias = Mapping[str, tuple[int, Mapping[str, Any]]]


@dataclasses.dataclass(frozen=True)
class BranchInvalid(failures.Failure):
    """A branch, or one entry of it, cannot take effect.

    Attributes:
        branch: Name of the branch.
        path: Dotted path of the entry inside the document.
    """

    code: ClassVar[str] = "branch_invalid"
    status: ClassVar[int] = 422

    branch: str = ""
    path: str = ""


def convert(
    branches: Branches, accepted: Collection[str] = ()
) -> tuple[deployment.Deployment, dict[str, tuple[BranchInvalid, ...]]]:
    """Converts all branches to the configuration in force.

    The platform branch is converted first, the others by rising revision, so
    that of two branches that claim one name the later one fails.

    Args:
        branches: Revision and document of each branch.
        accepted: Branches whose revision was in force before. A fault that
            another branch causes later removes only the faulty entries.

    Returns:
        The configuration of all branches that stand, and the faults by branch.
    """
    converter = _Converter()
    faults: dict[str, tuple[BranchInvalid, ...]] = {}
    order = sorted(
        branches, key=lambda name: (name != PLATFORM, branches[name][0], name)
    )
    for name in order:
        revision, document = branches[name]
        found = converter.add(name, document, name in accepted)
        if found:
            faults[name] = tuple(found)
        if converter.stands(name):
            converter.revisions[name] = revision
    return converter.build(), faults


class _Converter:
    """Collects the branches that stand."""

    def __init__(self) -> None:
        self.revisions: dict[str, int] = {}
        self._versions: dict[str, deployment.Version] = {}
        self._models: set[str] = set()
        self._data_centres: dict[str, deployment.DataCentre] = {}
        self._upstreams: dict[str, deployment.Upstream] = {}
        self._services: dict[str, deployment.Service] = {}
        self._workspaces: dict[str, deployment.Workspace] = {}
        self._cascades: dict[str, deployment.Cascade] = {}
        self._rollouts: dict[str, deployment.Rollout] = {}
        self._keys: set[str] = set()
        self._standing: set[str] = set()

    def stands(self, name: str) -> bool:
        """Tells whether a branch was taken."""
        return name in self._standing

    def build(self) -> deployment.Deployment:
        """Returns the configuration of the branches added so far."""
        return deployment.Deployment(
            versions=self._versions,
            data_centres=self._data_centres,
            upstreams=self._upstreams,
            services=self._services,
            workspaces=self._workspaces,
            cascades=self._cascades,
            rollouts=self._rollouts,
            revisions=self.revisions,
        )

    def add(
        self, name: str, document: Mapping[str, Any], accepted: bool
    ) -> list[BranchInvalid]:
        """Adds one branch and returns its faults."""
        try:
            if name == PLATFORM:
                platform = documents.PlatformBranch.model_validate(document)
                found = _check_platform(platform)
                if not found:
                    self._add_platform(platform)
                    self._standing.add(name)
                return found
            team = _TeamReader(
                self, name, documents.TeamBranch.model_validate(document)
            )
        except pydantic.ValidationError as error:
            return [_name_fault(name, entry) for entry in error.errors()]
        team.read()
        if team.faults and not accepted:
            return team.faults
        self._workspaces.update(team.workspaces)
        self._cascades.update(team.cascades)
        self._rollouts.update(team.rollouts)
        self._keys.update(team.keys)
        self._standing.add(name)
        return team.faults

    def _add_platform(self, branch: documents.PlatformBranch) -> None:
        self._models = set(branch.models)
        for model_name, model in branch.models.items():
            for name, version in model.versions.items():
                self._versions[name] = deployment.Version(
                    name,
                    model_name,
                    version.prompt_price,
                    version.output_price,
                    deployment.ServingState(version.state),
                )
        for name, centre in branch.data_centres.items():
            self._data_centres[name] = deployment.DataCentre(
                name, centre.region, deployment.Presence(centre.presence)
            )
        for name, upstream in branch.upstreams.items():
            fields = upstream.model_dump()
            fields["versions"] = tuple(upstream.versions)
            fields["presence"] = deployment.Presence(upstream.presence)
            self._upstreams[name] = deployment.Upstream(name=name, **fields)
        for name, service in branch.services.items():
            operations = {
                operation: deployment.Operation(operation, value.idempotent)
                for operation, value in service.operations.items()
            }
            self._services[name] = deployment.Service(
                name, tuple(service.upstreams), operations
            )

    def find_missing(self, kind: str, names: Collection[str]) -> list[str]:
        """Returns the names that the platform branch does not define."""
        known = {
            "version": self._versions.keys(),
            "service": self._services.keys(),
            "model": self._models,
        }[kind]
        return [name for name in names if name not in known]

    def is_taken(self, kind: str, name: str) -> bool:
        """Tells whether an earlier branch already uses a name."""
        if kind == "workspace":
            return name in self._workspaces
        if kind == "rollout":
            return name in self._rollouts
        if kind == "key hash":
            return name in self._keys
        # Callers use cascades, versions and models in the same field.
        return (
            name in self._cascades
            or name in self._versions
            or name in self._models
        )

    def find_model(self, version: str) -> str:
        """Returns the model of a version, or an empty string."""
        found = self._versions.get(version)
        return found.model if found else ""


class _TeamReader:
    """Reads one team branch against the branches that already stand."""

    def __init__(
        self, context: _Converter, team: str, branch: documents.TeamBranch
    ):
        self.faults: list[BranchInvalid] = []
        self.workspaces: dict[str, deployment.Workspace] = {}
        self.cascades: dict[str, deployment.Cascade] = {}
        self.rollouts: dict[str, deployment.Rollout] = {}
        self.keys: set[str] = set()
        self._context = context
        self._team = team
        self._branch = branch
        self._resolved: dict[str, list[str]] = {}
        self._depths: dict[str, int] = {}

    def read(self) -> None:
        """Converts every entry that has no fault."""
        if self._branch.deleted:
            return
        for name, workspace in self._branch.workspaces.items():
            self._read_workspace(name, workspace)
        for name in self._branch.cascades:
            self._read_cascade(name)
        for name, rollout in self._branch.rollouts.items():
            self._read_rollout(name, rollout)

    def _fault(self, path: str, reason: str) -> None:
        self.faults.append(_fault(self._team, path, reason))

    def _claim(self, kind: str, name: str, path: str) -> bool:
        if not self._context.is_taken(kind, name):
            return True
        self._fault(path, f"{kind} {name} is already in use")
        return False

    def _keep_known(
        self, kind: str, names: Collection[str], path: str
    ) -> frozenset[str]:
        missing = self._context.find_missing(kind, names)
        for name in missing:
            self._fault(path, f"no {kind} is named {name}")
        return frozenset(names).difference(missing)

    def _read_workspace(
        self, name: str, entry: documents.WorkspaceSettings
    ) -> None:
        path = f"workspaces.{name}"
        if not self._claim("workspace", name, path):
            return
        keys = []
        for key in entry.key_hashes:
            if key in self.keys:
                self._fault(f"{path}.key_hashes", f"key hash {key} is repeated")
            elif self._claim("key hash", key, f"{path}.key_hashes"):
                keys.append(key)
                self.keys.add(key)
        kinds = {
            kind: deployment.KindPolicy(name=kind, **policy.model_dump())
            for kind, policy in entry.kinds.items()
        }
        self.workspaces[name] = deployment.Workspace(
            name,
            self._team,
            tuple(keys),
            self._keep_known("version", entry.versions, f"{path}.versions"),
            self._keep_known("service", entry.services, f"{path}.services"),
            entry.weight,
            kinds,
        )

    def _read_cascade(self, name: str) -> None:
        path = f"cascades.{name}"
        if not self._claim("cascade", name, path):
            return
        steps = self._flatten(name, (name,))
        if steps:
            self.cascades[name] = deployment.Cascade(
                name, self._team, tuple(steps)
            )

    def _flatten(self, name: str, trail: tuple[str, ...]) -> list[str]:
        # Without the memory, nested cascades take exponential time.
        if name in self._resolved:
            return self._resolved[name]
        steps: list[str] = []
        depth = 0
        for step in self._branch.cascades[name].steps:
            reason = ""
            if step in trail:
                cycle = " -> ".join((*trail, step))
                reason = f"the cascade is a cycle: {cycle}"
            elif step in self._branch.cascades:
                if len(trail) <= MAX_NESTING:
                    steps.extend(self._flatten(step, (*trail, step)))
                depth = max(depth, self._depths.get(step, MAX_NESTING) + 1)
                if depth > MAX_NESTING:
                    reason = f"cascades nest more than {MAX_NESTING} deep"
            elif self._context.find_missing("version", [step]):
                reason = f"no version or cascade is named {step}"
            else:
                steps.append(step)
            if reason:
                self._fault(f"cascades.{name}.steps", reason)
        self._depths[name] = depth
        self._resolved[name] = list(dict.fromkeys(steps))
        return self._resolved[name]

    def _read_rollout(
        self, name: str, entry: documents.RolloutSettings
    ) -> None:
        path = f"rollouts.{name}"
        before = len(self.faults)
        self._claim("rollout", name, path)
        self._keep_known("model", [entry.model], f"{path}.model")
        for field in ("baseline", "candidate"):
            version = getattr(entry, field)
            if self._context.find_model(version) != entry.model:
                reason = f"model {entry.model} has no version {version}"
                self._fault(f"{path}.{field}", reason)
        if entry.baseline == entry.candidate:
            self._fault(f"{path}.candidate", "baseline and candidate are equal")
        if len(self.faults) == before:
            fields = entry.model_dump() | {"stages": tuple(entry.stages)}
            self.rollouts[name] = deployment.Rollout(
                name=name, team=self._team, **fields
            )


def _check_platform(branch: documents.PlatformBranch) -> list[BranchInvalid]:
    """Returns the references of the platform branch that lead nowhere."""
    faults = []
    versions: dict[str, str] = {}
    for model_name, model in branch.models.items():
        for name in model.versions:
            path = f"models.{model_name}.versions.{name}"
            if name in versions or name in branch.models:
                reason = f"the name {name} is already in use"
                faults.append(_fault(PLATFORM, path, reason))
            versions[name] = model_name
    for name, upstream in branch.upstreams.items():
        path = f"upstreams.{name}"
        if upstream.data_centre not in branch.data_centres:
            reason = f"no data centre is named {upstream.data_centre}"
            faults.append(_fault(PLATFORM, f"{path}.data_centre", reason))
        for version in upstream.versions:
            if version not in versions:
                reason = f"no version is named {version}"
                faults.append(_fault(PLATFORM, f"{path}.versions", reason))
    for name, service in branch.services.items():
        for replica in service.upstreams:
            if replica not in branch.upstreams:
                path = f"services.{name}.upstreams"
                reason = f"no upstream is named {replica}"
                faults.append(_fault(PLATFORM, path, reason))
    return faults


def _fault(branch: str, path: str, reason: str) -> BranchInvalid:
    return BranchInvalid(
        f"config/{branch} {path}: {reason}", branch=branch, path=path
    )


def _name_fault(branch: str, error: Any) -> BranchInvalid:
    path = ".".join(str(part) for part in error["loc"])
    return _fault(branch, path or ".", error["msg"])
