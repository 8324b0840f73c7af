"""Commands of `sycamorectl`; each returns its output or a failure.

The first line of a command's doc comment is its help text.
"""

import argparse
from collections.abc import Callable
import dataclasses
import json
import sys
from typing import Any
from typing import TypeAlias

import urllib3

from sycamorehollow.decisions.bills import billing_reader
from sycamorehollow.decisions.operations import config_writes
from sycamorehollow.model import failures
from sycamorehollow.programs import ctl_changes
from sycamorehollow.programs import ctl_edits
from sycamorehollow.settings import tree
from sycamorehollow.shells import stores

BILLS_PREFIX = "bills/"
STATUS_TIMEOUT_S = 3.0

Result: TypeAlias = dict[str, Any] | failures.Failure
# Called with the store, if the command needs one, and the arguments.
Command: TypeAlias = Callable[..., Result]


def change_branch(
    store: stores.Store, team: str, edit: config_writes.Edit
) -> Result:
    """Applies an edit to the branch of a team."""
    changer = ctl_changes.Changer(store)
    return report(
        changer.change(
            config_writes.make_branch_key(team), edit, changer.validate_branch
        )
    )


def report(result: config_writes.WriteConfirmed | failures.Failure) -> Result:
    """Returns the output of a write."""
    if isinstance(result, failures.Failure):
        return result
    return {"key": result.key, "revision": result.revision}


def _check_platform(args: argparse.Namespace) -> ctl_edits.Refused | None:
    if args.team in (None, tree.PLATFORM):
        return None
    return ctl_edits.Refused(
        f"this changes the platform branch, not the branch of {args.team}"
    )


def _change_platform(
    store: stores.Store, args: argparse.Namespace, edit: config_writes.Edit
) -> Result:
    refusal = _check_platform(args)
    return refusal or change_branch(store, tree.PLATFORM, edit)


def create_workspace(store: stores.Store, args: argparse.Namespace) -> Result:
    """Adds a workspace to the team's branch."""
    entry = {
        "key_hashes": args.key_hash,
        "versions": args.allow,
        "services": args.service,
        "weight": args.weight,
    }
    edit = ctl_edits.add_entry("workspaces", args.name, entry)
    return change_branch(store, args.team, edit)


def delete_workspace(store: stores.Store, args: argparse.Namespace) -> Result:
    """Removes a workspace from the team's branch."""
    edit = ctl_edits.remove_entry("workspaces", args.name)
    return change_branch(store, args.team, edit)


def show_workspace(store: stores.Store, args: argparse.Namespace) -> Result:
    """Returns a workspace, or all of the team."""
    found = ctl_changes.Changer(store).read(
        config_writes.make_branch_key(args.team)
    )
    if isinstance(found, failures.Failure):
        return found
    workspaces = found[1].get("workspaces", {})
    if args.name is None:
        return workspaces
    if args.name not in workspaces:
        return ctl_edits.Refused(f"the branch has no workspace {args.name}")
    return {args.name: workspaces[args.name]}


def add_version(store: stores.Store, args: argparse.Namespace) -> Result:
    """Adds a version to a model of the platform branch."""
    edit = ctl_edits.add_version(
        args.model, args.version, args.prompt_price, args.output_price
    )
    return _change_platform(store, args, edit)


def allow_version(store: stores.Store, args: argparse.Namespace) -> Result:
    """Allows a version for a workspace."""
    edit = ctl_edits.allow_version(args.workspace, args.version, True)
    return change_branch(store, args.team, edit)


def disallow_version(store: stores.Store, args: argparse.Namespace) -> Result:
    """Forbids a version for a workspace."""
    edit = ctl_edits.allow_version(args.workspace, args.version, False)
    return change_branch(store, args.team, edit)


def withdraw_version(store: stores.Store, args: argparse.Namespace) -> Result:
    """Stops new work on a version."""
    edit = ctl_edits.set_version_state(args.version, "withdrawn")
    return _change_platform(store, args, edit)


def restore_version(store: stores.Store, args: argparse.Namespace) -> Result:
    """Lets a withdrawn version take new work."""
    edit = ctl_edits.set_version_state(args.version, "serving")
    return _change_platform(store, args, edit)


def define_cascade(store: stores.Store, args: argparse.Namespace) -> Result:
    """Adds a cascade to the team's branch."""
    edit = ctl_edits.add_entry("cascades", args.name, {"steps": args.steps})
    return change_branch(store, args.team, edit)


def delete_cascade(store: stores.Store, args: argparse.Namespace) -> Result:
    """Removes a cascade from the team's branch."""
    edit = ctl_edits.remove_entry("cascades", args.name)
    return change_branch(store, args.team, edit)


def set_data_centre(store: stores.Store, args: argparse.Namespace) -> Result:
    """Takes a data centre out of service, or back in."""
    edit = ctl_edits.set_field(
        "data_centres", args.name, "presence", args.presence
    )
    return _change_platform(store, args, edit)


def set_upstream(store: stores.Store, args: argparse.Namespace) -> Result:
    """Announces that an upstream leaves, or is back."""
    edit = ctl_edits.set_field(
        "upstreams", args.name, "presence", args.presence
    )
    return _change_platform(store, args, edit)


def show_branch(store: stores.Store, args: argparse.Namespace) -> Result:
    """Returns a branch and its revision."""
    found = ctl_changes.Changer(store).read(
        config_writes.make_branch_key(args.team)
    )
    if isinstance(found, failures.Failure):
        return found
    return {"revision": found[0], "document": found[1]}


def _read_file(path: str) -> dict[str, Any] | failures.Failure:
    try:
        if path == "-":
            text = sys.stdin.read()
        else:
            with open(path, encoding="utf-8") as file:
                text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return failures.InvalidRequest(f"{path} is not readable: {error}")
    return config_writes.read_document(path, text)


def put_branch(store: stores.Store, args: argparse.Namespace) -> Result:
    """Replaces the team's branch by a document."""
    document = _read_file(args.file)
    if isinstance(document, failures.Failure):
        return document
    return change_branch(store, args.team, ctl_edits.put_branch(document))


def validate_branch(store: stores.Store, args: argparse.Namespace) -> Result:
    """Validates a document against the other branches; writes nothing."""
    document = _read_file(args.file)
    if isinstance(document, failures.Failure):
        return document
    key = config_writes.make_branch_key(args.team)
    proposal = config_writes.ConditionalWrite(key, 0, document, "")
    fault = ctl_changes.Changer(store).validate_branch(proposal)
    return fault or {"branch": args.team, "valid": True}


def show_status(args: argparse.Namespace) -> Result:
    """Returns the status of each entry process."""
    pool = urllib3.PoolManager(retries=False, timeout=STATUS_TIMEOUT_S)
    result: dict[str, Any] = {}
    for url in args.entries:
        try:
            response = pool.request("GET", url.rstrip("/") + "/v1/status")
            status = json.loads(response.data)
            if response.status != 200 or not isinstance(status, dict):
                status = {"error": f"status {response.status}"}
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            status = {"error": str(error)}
        result[url] = status
    if all("error" in status for status in result.values()):
        return failures.NoUpstream(f"no entry process answers: {result}")
    return result


def sum_bills(store: stores.Store, args: argparse.Namespace) -> Result:
    """Returns the sums of the stored bills by workspace."""
    reader = billing_reader.BillReader()
    listing = store.list_range(BILLS_PREFIX)
    if isinstance(listing, failures.Failure):
        return listing
    for item in listing.items:
        try:
            reader.add(item.value)
        except ValueError as error:
            return config_writes.ValueUnreadable(f"{item.key}: {error}")
    totals = reader.sum_workspaces()
    return {
        workspace: dataclasses.asdict(totals[workspace])
        for workspace in sorted(totals)
        if args.workspace in (None, workspace)
    }
