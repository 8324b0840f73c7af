"""Command line shared by the stand-ins."""

import argparse
from collections.abc import Callable
import json
import os
import signal
import sys

import sycamorehollow
from sycamorehollow.standins import server
from sycamorehollow.standins import settings as standin_settings

# The default of 5 ms shows up as latency when several threads are busy.
SWITCH_INTERVAL_S = 0.0005


def _parse(name: str, argv: list[str] | None) -> argparse.Namespace:
    """Reads the command line."""
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument("--version", action="version", version=_version())
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--settings", default="", help="INI file")
    parser.add_argument(
        "--set", action="append", default=[], metavar="SECTION.KEY=VALUE"
    )
    parser.add_argument(
        "--exit-after", type=float, default=None, metavar="SECONDS"
    )
    return parser.parse_args(argv)


def run_program(
    name: str,
    model: type[standin_settings.AnySettings],
    build: Callable[[standin_settings.AnySettings], server.StandIn],
    argv: list[str] | None,
) -> int:
    """Runs a stand-in as a program and returns its exit status."""
    arguments = _parse(name, argv)
    try:
        settings = standin_settings.read_settings(
            model, arguments.settings, arguments.set
        )
    except standin_settings.SettingsError as failure:
        for line in failure.errors:
            print(line, file=sys.stderr)
        return 2
    if arguments.check:
        return 0
    # Blocked and waited for, because a handler that sets an event can
    # interrupt the wait for it while the event's lock is held.
    signals = {signal.SIGTERM, signal.SIGINT}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    stand_in = build(settings)
    stand_in.start()
    print(json.dumps({"url": stand_in.url, "pid": os.getpid()}), flush=True)
    if arguments.exit_after is None:
        signal.sigwait(signals)
    else:
        signal.sigtimedwait(signals, arguments.exit_after)
    stand_in.stop()
    return 0


def _version() -> str:
    return getattr(sycamorehollow, "__version__", "0.1.0")
