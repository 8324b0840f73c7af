"""The gateway on the users' platform: the binary `sycamore-gateway`."""

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
    """Runs the gateway until it is told to end."""
    arguments = build_parser().parse_args(argv)
    # A signal to reload would end a process that still loads its modules. What
    # it announces is read later, with all settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = None if arguments.check else open_listener(arguments.settings)
    # Each of these takes a tenth of the loading: the search of all packages for
    # plug-ins, and the search of modules, which are no garbage.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "1")
    gc.disable()
    from sycamorehollow.programs import gateway_command

    return gateway_command.run(arguments, listener)


def open_listener(path: pathlib.Path) -> socket.socket | None:
    """Listens for callers while the modules are loaded.

    A restarted node is back for its callers that much earlier: they wait a
    part of a second for their answer instead of finding nobody.

    Returns:
        `None` if the address is not known or cannot be bound; the fault shows
        when the settings are read.
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
