"""Control program of operators: the command `sycamorectl`.

The first line of a command's doc comment is its help text.
"""

import argparse
from collections.abc import Callable
import json
import sys
from typing import Any
import urllib.parse

import sycamorehollow
from sycamorehollow.model import failures
from sycamorehollow.programs import ctl_check
from sycamorehollow.programs import ctl_commands
from sycamorehollow.programs import ctl_rollouts
from sycamorehollow.shells import storeclient
from sycamorehollow.shells import stores

# Exit statuses.
DONE = 0
REFUSED = 1
BAD_USAGE = 2


def _read_url(value: str) -> str:
    parts = urllib.parse.urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise argparse.ArgumentTypeError(
            f"{value!r}: expected a URL as in http://10.0.0.1:80"
        )
    return value


def _read_shares(value: str) -> list[float]:
    try:
        return [float(part) for part in value.split(",")]
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f"{value!r}: expected shares as in 0.01,0.25,1"
        ) from error


class _ParserBuilder:
    """Builds the argument parser group by group."""

    def __init__(self) -> None:
        self.parser = argparse.ArgumentParser(
            prog="sycamorectl", description="Changes and shows the settings."
        )
        self.parser.add_argument(
            "--version", action="version", version=sycamorehollow.__version__
        )
        self.parser.add_argument(
            "--check",
            action="store_true",
            help="check the arguments without carrying the command out",
        )
        self.parser.add_argument(
            "--store", type=_read_url, help="base URL of the store"
        )
        self.parser.add_argument("--team", help="name of the own branch")
        self.parser.add_argument(
            "--json", action="store_true", help="print one JSON object"
        )
        self._groups = self.parser.add_subparsers(
            dest="group", required=True, metavar="COMMAND"
        )
        self._actions: Any = None

    def open_group(self, name: str, help_text: str) -> None:
        """Adds a group of commands; `add` adds commands to it."""
        group = self._groups.add_parser(name, help=help_text)
        self._actions = group.add_subparsers(
            dest="action", required=True, metavar="ACTION"
        )

    def add(
        self,
        name: str,
        command: ctl_commands.Command,
        *arguments: str,
        needs_team: bool = True,
        needs_store: bool = True,
        **defaults: Any,
    ) -> argparse.ArgumentParser:
        """Adds a command with positional arguments to the current group.

        Args:
            name: Name of the command.
            command: Function that executes it.
            arguments: Names of the positional arguments.
            needs_team: Whether `--team` is required.
            needs_store: Whether `--store` is required.
            defaults: Fixed values in the parsed arguments.
        """
        help_text = (command.__doc__ or "").splitlines()[0]
        action = self._actions.add_parser(name, help=help_text)
        for argument in arguments:
            action.add_argument(argument)
        action.set_defaults(
            command=command,
            needs_team=needs_team,
            needs_store=needs_store,
            **defaults,
        )
        return action

    def add_single(
        self, name: str, command: Callable[..., Any], needs_store: bool
    ) -> argparse.ArgumentParser:
        """Adds a command without a group."""
        help_text = (command.__doc__ or "").splitlines()[0]
        single = self._groups.add_parser(name, help=help_text)
        single.set_defaults(
            command=command, needs_team=False, needs_store=needs_store
        )
        return single


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = _ParserBuilder()
    parser.open_group("workspace", "workspaces of the team")
    create = parser.add("create", ctl_commands.create_workspace, "name")
    create.add_argument("--key-hash", action="append", default=[])
    create.add_argument("--allow", action="append", default=[])
    create.add_argument("--service", action="append", default=[])
    create.add_argument("--weight", type=int, default=1)
    parser.add("delete", ctl_commands.delete_workspace, "name")
    show = parser.add("show", ctl_commands.show_workspace)
    show.add_argument("name", nargs="?")
    _add_versions(parser)
    _add_rollouts(parser)
    _add_drains(parser)
    parser.open_group("cascade", "cascades of the team")
    define = parser.add("define", ctl_commands.define_cascade, "name")
    define.add_argument("steps", nargs="+")
    parser.add("delete", ctl_commands.delete_cascade, "name")
    for group, command, presences in (
        ("data-centre", ctl_commands.set_data_centre, {"out": "out"}),
        ("upstream", ctl_commands.set_upstream, {"leave": "leaving"}),
    ):
        parser.open_group(group, f"presence of a {group}")
        for name, presence in {**presences, "in": "in"}.items():
            parser.add(
                name, command, "name", needs_team=False, presence=presence
            )
    parser.open_group("branch", "the team's whole branch")
    parser.add("show", ctl_commands.show_branch)
    parser.add("put", ctl_commands.put_branch, "file")
    parser.add("validate", ctl_commands.validate_branch, "file")
    status = parser.add_single("status", ctl_commands.show_status, False)
    status.add_argument("entries", nargs="+", type=_read_url, metavar="URL")
    bills = parser.add_single("bills", ctl_commands.sum_bills, True)
    bills.add_argument("workspace", nargs="?")
    check = parser.add_single(
        "check-config", ctl_check.check_configuration, False
    )
    check.add_argument(
        "file", help="gateway configuration; `-`: standard input"
    )
    check.add_argument(
        "--against", metavar="FILE", help="configuration that is in force"
    )
    return parser.parser


def _add_versions(parser: _ParserBuilder) -> None:
    parser.open_group("version", "versions of models")
    add = parser.add(
        "add", ctl_commands.add_version, "model", "version", needs_team=False
    )
    add.add_argument("--prompt-price", type=int, required=True)
    add.add_argument("--output-price", type=int, required=True)
    for name, command in (
        ("allow", ctl_commands.allow_version),
        ("disallow", ctl_commands.disallow_version),
    ):
        parser.add(name, command, "workspace", "version")
    for name, command in (
        ("withdraw", ctl_commands.withdraw_version),
        ("restore", ctl_commands.restore_version),
    ):
        parser.add(name, command, "version", needs_team=False)


def _add_rollouts(parser: _ParserBuilder) -> None:
    parser.open_group("rollout", "rollouts of the team")
    start = parser.add("start", ctl_rollouts.start_rollout, "name")
    start.add_argument("--model")
    start.add_argument("--baseline")
    start.add_argument("--candidate")
    start.add_argument("--stages", type=_read_shares, default=[1.0])
    parser.add("pause", ctl_rollouts.change_rollout, "name")
    advance = parser.add("advance", ctl_rollouts.change_rollout, "name")
    advance.add_argument("--stage", type=int, help="stage to advance from")
    parser.add("withdraw", ctl_rollouts.change_rollout, "name")
    parser.add("show", ctl_rollouts.show_rollout, "name")
    stop = parser.add(
        "stop",
        ctl_rollouts.stop_rollout,
        "name",
        needs_team=False,
        needs_store=False,
    )
    _add_entry(stop)
    stop.add_argument("--reason", default="stopped by an operator")


def _add_drains(parser: _ParserBuilder) -> None:
    parser.open_group("drain", "take something out without the store")
    for name, scope in (
        ("upstream", "upstream"),
        ("data-centre", "data_centre"),
    ):
        drain = parser.add(
            name,
            ctl_rollouts.request_drain,
            "name",
            needs_team=False,
            needs_store=False,
            scope=scope,
        )
        _add_entry(drain)


def _add_entry(action: argparse.ArgumentParser) -> None:
    """Adds the URL and token file for a request to an entry process."""
    action.add_argument("--entry", type=_read_url, required=True, metavar="URL")
    action.add_argument("--token-file", required=True, metavar="FILE")


def _find_usage_error(args: argparse.Namespace) -> str:
    """Returns which options are missing, or an empty string."""
    if args.needs_team and not args.team:
        return "expected --team with the name of the own branch"
    if args.needs_store and not args.store:
        return "expected --store with the base URL of the store"
    parts = [
        getattr(args, name, None) for name in ("model", "baseline", "candidate")
    ]
    if args.command is ctl_rollouts.start_rollout:
        if any(parts) and not all(parts):
            return "expected --model, --baseline and --candidate together"
    return ""


def _print_lines(document: Any, indent: str = "") -> None:
    for name, value in document.items():
        if isinstance(value, dict) and value:
            print(f"{indent}{name}:")
            _print_lines(value, indent + "  ")
        else:
            print(f"{indent}{name}: {json.dumps(value)}")


def _describe(failure: failures.Failure) -> dict[str, Any]:
    return {
        "error": {
            "code": failure.code,
            "message": failure.reason,
            "run": failure.execution.value,
            "retry_after_s": failure.retry_after_s,
        }
    }


def main(
    arguments: list[str] | None = None,
    open_store: Callable[[str], stores.Store] = storeclient.StoreClient,
) -> int:
    """Runs one command and returns the exit status."""
    parser = build_parser()
    args = parser.parse_args(arguments)
    usage_error = _find_usage_error(args)
    if usage_error:
        parser.print_usage(sys.stderr)
        print(f"sycamorectl: {usage_error}", file=sys.stderr)
        return BAD_USAGE
    if args.check:
        print("the arguments are valid")
        return DONE
    if args.needs_store:
        result = args.command(open_store(args.store), args)
    else:
        result = args.command(args)
    if isinstance(result, failures.Failure):
        print(f"{result.code}: {result.reason}", file=sys.stderr)
        if args.json:
            print(json.dumps(_describe(result)))
        return REFUSED
    if isinstance(result, ctl_check.Report):
        return _print_report(result, args.json)
    if args.json:
        print(json.dumps(result))
    else:
        _print_lines(result)
    return DONE


def _print_report(report: ctl_check.Report, as_json: bool) -> int:
    if as_json:
        print(json.dumps(report.build_document()))
    else:
        print("\n".join(report.list_lines()))
    return report.status


if __name__ == "__main__":
    sys.exit(main())
