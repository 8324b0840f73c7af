"""Gateway: the command `sycamore-gateway`.

Only the modules that are needed to listen are imported at the start. The rest
is loaded while callers can already connect.
"""

import argparse
import gc
import os
import pathlib
import signal
import socket
import sys

import sycamorehollow
from sycamorehollow.platform import settings_lines


def main(argv: list[str] | None = None) -> int:
    """Runs the gateway and returns its exit status."""
    arguments = build_parser().parse_args(argv)
    # By default SIGHUP, the request to reload the settings, would terminate the
    # process while it is importing. Ignoring it loses nothing: all settings are
    # read afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = None if arguments.check else open_listener(arguments.settings)
    # pydantic's search of all packages for plug-ins and the garbage collector's
    # scans of imported modules, which are never garbage, each take a tenth of
    # the import time.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "1")
    gc.disable()
    from sycamorehollow.programs import gateway_command

    return gateway_command.run(arguments, listener)


def open_listener(path: pathlib.Path) -> socket.socket | None:
    """Opens the listening socket for callers before the imports.

    This shortens the outage at a restart: callers wait a fraction of a second
    in the backlog instead of having their connections refused.

    Returns:
        The socket, or `None` if the address is unknown or cannot be bound; the
        fault is then reported when the settings are read.
    """
    address = settings_lines.read_front_address(path)
    if address is None:
        return None
    try:
        return socket.create_server(address, backlog=socket.SOMAXCONN)
    except OSError:
        return None


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="sycamore-gateway",
        description="Forwards requests by route to the platform's upstreams.",
    )
    variable = settings_lines.ENVIRONMENT_VARIABLE
    default = os.environ.get(variable)
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=default is None,
        default=default,
        metavar="FILE",
        help=f"settings file of the platform; by default that of {variable}",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        metavar="PORT",
        help="port of the metrics page; by default the second internal one",
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


if __name__ == "__main__":
    sys.exit(main())
