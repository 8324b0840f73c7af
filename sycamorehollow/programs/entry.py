"""Entry process: the command `sycamore-entry`."""

import argparse
import json
import os
import signal
import sys
import threading

import loguru

import sycamorehollow
from sycamorehollow.settings import process
from sycamorehollow.shells import assembly

EXIT_FAILED = 1
EXIT_FAULTS = 2
DRAIN_LIMIT_S = 3600.0


def main(argv: list[str] | None = None) -> int:
    """Runs the entry process until SIGTERM or SIGINT."""
    arguments = build_parser().parse_args(argv)
    settings = process.read_settings(arguments.settings)
    if isinstance(settings, list):
        for fault in settings:
            print(fault, file=sys.stderr)
        return EXIT_FAULTS
    if arguments.check:
        print("settings are valid")
        return 0
    configure_logs(settings)
    return serve(settings)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="sycamore-entry",
        description="Routes model requests and service calls to upstreams.",
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="INI file"
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="validate the settings, print every fault and exit",
    )
    parser.add_argument(
        "--version", action="version", version=sycamorehollow.__version__
    )
    return parser


def configure_logs(settings: process.Settings) -> None:
    """Configures logging of structured lines to standard error."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": settings.process.name})
    loguru.logger.add(
        sys.stderr,
        level=settings.logs.level,
        format="{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} "
        + "{extra[process]} {message}",
    )


def serve(settings: process.Settings) -> int:
    """Runs the tasks until SIGTERM or SIGINT, then drains and stops them.

    Prints one JSON line with the URL and process ID when it is ready.
    """
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: stop_requested.set())
    entry = assembly.EntryProcess(settings)
    try:
        entry.start()
    except OSError as error:
        loguru.logger.error("entry: cannot start: {}", error)
        return EXIT_FAILED
    ready = {"url": entry.url, "pid": os.getpid()}
    print(json.dumps(ready), flush=True)
    stop_requested.wait()
    loguru.logger.info("entry: draining")
    entry.drain(DRAIN_LIMIT_S)
    entry.stop()
    loguru.logger.info("entry: ended")
    return 0


if __name__ == "__main__":
    sys.exit(main())
