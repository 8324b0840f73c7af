"""Runs a deployment for a time: `python -m tools.serve`."""

import argparse
import json
import signal
import sys
import time

from tools import deployments
from tools import launcher

MAX_SECONDS = 3_600.0


class Ended(Exception):  # noqa: N818
    """A signal asked the program to end."""


def _end(*_: object) -> None:
    # Further signals must not interrupt the end of the children.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    raise Ended


def main(argv: list[str] | None = None) -> int:
    """Prints one JSON line on standard output and serves."""
    parser = argparse.ArgumentParser(prog="serve", description=__doc__)
    parser.add_argument(
        "--profile",
        choices=sorted(deployments.DEPLOYMENTS),
        default=deployments.MERIDIAN,
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument(
        "--without-entries",
        action="store_true",
        help="start only the stand-ins",
    )
    arguments = parser.parse_args(argv)
    if not 0 < arguments.seconds <= MAX_SECONDS:
        parser.error(f"--seconds: expected 0 < n <= {MAX_SECONDS}")
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end)
    deployment = deployments.DEPLOYMENTS[arguments.profile]
    processes = launcher.Launcher(deployment, arguments.seconds, sys.stderr)
    try:
        processes.start(with_entries=not arguments.without_entries)
        print(json.dumps(processes.describe()), flush=True)
        time.sleep(arguments.seconds)
    except Ended:
        return 0
    except launcher.LaunchError as error:
        print(f"serve: {error}", file=sys.stderr)
        return 1
    finally:
        processes.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
