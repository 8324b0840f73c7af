"""Command line of the gateway on the users' platform."""

import argparse
import asyncio
import dataclasses
import gc
import os
import pathlib
import sys

import sycamorehollow
from sycamorehollow.platform import dialect
from sycamorehollow.platform import feed
from sycamorehollow.platform import settings as platform_settings
from sycamorehollow.platform import storeclient
from sycamorehollow.settings import gateway as gateway_settings
from sycamorehollow.shells.gateway import assembly
from sycamorehollow.shells.gateway import journal

EXIT_FAULTS = 2


def main(argv: list[str] | None = None) -> int:
    """Runs the gateway until it is told to end."""
    arguments = build_parser().parse_args(argv)
    path = pathlib.Path(arguments.settings)
    settings = platform_settings.read_settings(path)
    if isinstance(settings, list):
        for fault in settings:
            print(fault, file=sys.stderr)
        return EXIT_FAULTS
    if arguments.check:
        print("settings are valid")
        return 0
    if arguments.metrics_port:
        settings = dataclasses.replace(
            settings, metrics_port=arguments.metrics_port
        )
    journal.configure(settings.node)
    gateway = assembly.Gateway(
        settings,
        assembly.Adapter(
            dialect.PlatformDialect(),
            feed.PlatformFeed(),
            open_store(settings),
            lambda: platform_settings.read_settings(path),
            path,
        ),
    )
    gc.freeze()
    gc.enable()
    asyncio.run(gateway.run())
    return 0


def open_store(
    settings: gateway_settings.Settings,
) -> storeclient.PlatformStore:
    """Returns the client of the platform's store."""
    return storeclient.PlatformStore(f"http://{settings.store}")


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="sycamore-gateway",
        description="Forwards requests by route to the platform's upstreams.",
    )
    variable = platform_settings.ENVIRONMENT_VARIABLE
    default = os.environ.get(variable)
    parser.add_argument(
        "--settings",
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
