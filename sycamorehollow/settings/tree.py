"""Converts the branches of the settings tree to one deployment.

A new revision of a branch that has a fault is rejected as a whole. If a team's
revision was in force before and another branch causes a fault in it later, only
the faulty entries are left out.
"""

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
# Keeps the recursion over nested cascades far below the recursion limit.
MAX_NESTING = 16

# Branch name to revision and document.
Branches: TypeAlias = Mapping[str, tuple[int, Mapping[str, Any]]]


@dataclasses.dataclass(frozen=True)
class BranchInvalid(failures.Failure):
    """A branch or one of its entries is invalid.

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
    """Converts all branches to one deployment.

    The platform branch is converted first, the others by ascending revision:
    if two branches use the same name, the fault is reported for the later one.

    Args:
        branches: Revision and document of each branch.
        accepted: Branches whose revision was in force before. A fault that
            another branch causes later removes only the faulty entries.

    Returns:
        The deployment of all valid branches, and the faults by branch.
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
        if converter.is_applied(name):
            converter.revisions[name] = revision
    return converter.build(), faults


class _Converter:
    """Builds a deployment from the branches that are valid."""

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
        self._applied: set[str] = set()

    def is_applied(self, name: str) -> bool:
        """Returns whether a branch is part of the deployment."""
        return name in self._applied

    def build(self) -> deployment.Deployment:
        """Returns the deployment of the branches added so far."""
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
        """Adds a branch and returns its faults.

        Args:
            name: Name of the branch.
            document: Document of the branch.
            accepted: Whether faults remove only the faulty entries instead of
                rejecting the branch.
        """
        try:
            if name == PLATFORM:
                platform = documents.PlatformBranch.model_validate(document)
                found = _check_platform(platform)
                if not found:
                    self._add_platform(platform)
                    self._applied.add(name)
                return found
            team = _TeamReader(
                self, name, documents.TeamBranch.model_validate(document)
            )
        except pydantic.ValidationError as error:
            return [_describe_error(name, entry) for entry in error.errors()]
        team.read()
        if team.faults and not accepted:
            return team.faults
        self._workspaces.update(team.workspaces)
        self._cascades.update(team.cascades)
        self._rollouts.update(team.rollouts)
        self._keys.update(team.keys)
        self._applied.add(name)
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
        """Returns whether an earlier branch uses a name."""
        if kind == "workspace":
            return name in self._workspaces
        if kind == "rollout":
            return name in self._rollouts
        if kind == "key hash":
            return name in self._keys
        # Callers name cascades, versions and models in the same field of a
        # request, so they share a namespace.
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
    """Validates a team branch against the branches applied before it."""

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
        """Converts the valid entries and records the faults of the others."""
        if self._branch.deleted:
            return
        for name, workspace in self._branch.workspaces.items():
            self._read_workspace(name, workspace)
        for name in self._branch.cascades:
            self._read_cascade(name)
        for name, rollout in self._branch.rollouts.items():
            self._read_rollout(name, rollout)

    def _add_fault(self, path: str, reason: str) -> None:
        self.faults.append(_build_fault(self._team, path, reason))

    def _check_free(self, kind: str, name: str, path: str) -> bool:
        if not self._context.is_taken(kind, name):
            return True
        self._add_fault(path, f"{kind} {name} is already in use")
        return False

    def _filter_known(
        self, kind: str, names: Collection[str], path: str
    ) -> frozenset[str]:
        missing = self._context.find_missing(kind, names)
        for name in missing:
            self._add_fault(path, f"no {kind} is named {name}")
        return frozenset(names).difference(missing)

    def _read_workspace(
        self, name: str, entry: documents.WorkspaceSettings
    ) -> None:
        path = f"workspaces.{name}"
        if not self._check_free("workspace", name, path):
            return
        keys = []
        for key in entry.key_hashes:
            if key in self.keys:
                self._add_fault(
                    f"{path}.key_hashes", f"key hash {key} is repeated"
                )
            elif self._check_free("key hash", key, f"{path}.key_hashes"):
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
            self._filter_known("version", entry.versions, f"{path}.versions"),
            self._filter_known("service", entry.services, f"{path}.services"),
            entry.weight,
            kinds,
        )

    def _read_cascade(self, name: str) -> None:
        path = f"cascades.{name}"
        if not self._check_free("cascade", name, path):
            return
        steps = self._flatten(name, (name,))
        if steps:
            self.cascades[name] = deployment.Cascade(
                name, self._team, tuple(steps)
            )

    def _flatten(self, name: str, ancestors: tuple[str, ...]) -> list[str]:
        # Without memoisation, nested cascades would take exponential time.
        if name in self._resolved:
            return self._resolved[name]
        steps: list[str] = []
        depth = 0
        for step in self._branch.cascades[name].steps:
            reason = ""
            if step in ancestors:
                cycle = " -> ".join((*ancestors, step))
                reason = f"the cascade is a cycle: {cycle}"
            elif step in self._branch.cascades:
                if len(ancestors) <= MAX_NESTING:
                    steps.extend(self._flatten(step, (*ancestors, step)))
                depth = max(depth, self._depths.get(step, MAX_NESTING) + 1)
                if depth > MAX_NESTING:
                    reason = f"cascades nest more than {MAX_NESTING} deep"
            elif self._context.find_missing("version", [step]):
                reason = f"no version or cascade is named {step}"
            else:
                steps.append(step)
            if reason:
                self._add_fault(f"cascades.{name}.steps", reason)
        self._depths[name] = depth
        self._resolved[name] = list(dict.fromkeys(steps))
        return self._resolved[name]

    def _read_rollout(
        self, name: str, entry: documents.RolloutSettings
    ) -> None:
        path = f"rollouts.{name}"
        before = len(self.faults)
        self._check_free("rollout", name, path)
        self._filter_known("model", [entry.model], f"{path}.model")
        for field in ("baseline", "candidate"):
            version = getattr(entry, field)
            if self._context.find_model(version) != entry.model:
                reason = f"model {entry.model} has no version {version}"
                self._add_fault(f"{path}.{field}", reason)
        if entry.baseline == entry.candidate:
            self._add_fault(
                f"{path}.candidate", "baseline and candidate are equal"
            )
        if len(self.faults) == before:
            fields = entry.model_dump() | {"stages": tuple(entry.stages)}
            self.rollouts[name] = deployment.Rollout(
                name=name, team=self._team, **fields
            )


def _check_platform(branch: documents.PlatformBranch) -> list[BranchInvalid]:
    """Returns name clashes and unresolved references of the branch."""
    faults = []
    versions: dict[str, str] = {}
    for model_name, model in branch.models.items():
        for name in model.versions:
            path = f"models.{model_name}.versions.{name}"
            if name in versions or name in branch.models:
                reason = f"the name {name} is already in use"
                faults.append(_build_fault(PLATFORM, path, reason))
            versions[name] = model_name
    for name, upstream in branch.upstreams.items():
        path = f"upstreams.{name}"
        if upstream.data_centre not in branch.data_centres:
            reason = f"no data centre is named {upstream.data_centre}"
            faults.append(_build_fault(PLATFORM, f"{path}.data_centre", reason))
        for version in upstream.versions:
            if version not in versions:
                reason = f"no version is named {version}"
                faults.append(
                    _build_fault(PLATFORM, f"{path}.versions", reason)
                )
    for name, service in branch.services.items():
        for replica in service.upstreams:
            if replica not in branch.upstreams:
                path = f"services.{name}.upstreams"
                reason = f"no upstream is named {replica}"
                faults.append(_build_fault(PLATFORM, path, reason))
    return faults


def _build_fault(branch: str, path: str, reason: str) -> BranchInvalid:
    return BranchInvalid(
        f"config/{branch} {path}: {reason}", branch=branch, path=path
    )


def _describe_error(branch: str, error: Any) -> BranchInvalid:
    path = ".".join(str(part) for part in error["loc"])
    return _build_fault(branch, path or ".", error["msg"])
