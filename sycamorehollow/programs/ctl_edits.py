"""Edits of settings branches, as functions that modify a document.

Each edit returns a failure if it does not apply to the document.
"""

from collections.abc import Mapping
import copy
import dataclasses
from typing import Any
from typing import ClassVar

from sycamorehollow.decisions.operations import config_writes
from sycamorehollow.model import failures


@dataclasses.dataclass(frozen=True)
class Refused(failures.Failure):
    """The command cannot be applied to the current settings or state."""

    code: ClassVar[str] = "refused"
    status: ClassVar[int] = 409


def add_entry(section: str, name: str, entry: Any) -> config_writes.Edit:
    """Returns an edit that adds a new entry to a section of a branch."""

    def edit(document: dict[str, Any]) -> failures.Failure | None:
        document.pop("deleted", None)
        entries = document.setdefault(section, {})
        if name in entries:
            return Refused(f"{section} already has {name}")
        entries[name] = copy.deepcopy(entry)
        return None

    return edit


def remove_entry(section: str, name: str) -> config_writes.Edit:
    """Returns an edit that removes an entry from a section of a branch."""

    def edit(document: dict[str, Any]) -> failures.Failure | None:
        if name not in document.get(section, {}):
            return Refused(f"{section} has no {name}")
        del document[section][name]
        return None

    return edit


def set_field(
    section: str, name: str, field: str, value: Any
) -> config_writes.Edit:
    """Returns an edit that sets one field of an entry."""

    def edit(document: dict[str, Any]) -> failures.Failure | None:
        if name not in document.get(section, {}):
            return Refused(f"{section} has no {name}")
        document[section][name][field] = value
        return None

    return edit


def put_branch(new: Mapping[str, Any]) -> config_writes.Edit:
    """Returns an edit that replaces a whole branch."""

    def edit(document: dict[str, Any]) -> failures.Failure | None:
        document.clear()
        document.update(copy.deepcopy(dict(new)))
        return None

    return edit


def add_version(
    model: str, version: str, prompt_price: int, output_price: int
) -> config_writes.Edit:
    """Returns an edit that adds a version, and its model if it is new."""

    def edit(document: dict[str, Any]) -> failures.Failure | None:
        models = document.setdefault("models", {})
        versions = models.setdefault(model, {}).setdefault("versions", {})
        if version in versions:
            return Refused(f"model {model} already has version {version}")
        versions[version] = {
            "prompt_price": prompt_price,
            "output_price": output_price,
            "state": "serving",
        }
        return None

    return edit


def set_version_state(version: str, state: str) -> config_writes.Edit:
    """Returns an edit that sets the serving state of a version."""

    def edit(document: dict[str, Any]) -> failures.Failure | None:
        for model in document.get("models", {}).values():
            if version in model.get("versions", {}):
                model["versions"][version]["state"] = state
                return None
        return Refused(f"no version is named {version}")

    return edit


def allow_version(
    workspace: str, version: str, allowed: bool
) -> config_writes.Edit:
    """Returns an edit that allows or forbids a version for a workspace."""

    def edit(document: dict[str, Any]) -> failures.Failure | None:
        entry = document.get("workspaces", {}).get(workspace)
        if entry is None:
            return Refused(f"the branch has no workspace {workspace}")
        versions = [v for v in entry.get("versions", []) if v != version]
        entry["versions"] = [*versions, version] if allowed else versions
        return None

    return edit
