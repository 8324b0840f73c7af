"""Runs the gateway, or checks its settings, as the command line requests.

Separate from `gateway`, which opens the listening socket before this module and
its imports are loaded.
"""

import argparse
import asyncio
import dataclasses
import gc
import pathlib
import socket
import sys
from typing import TYPE_CHECKING

from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.platform import header_codec
from sycamorehollow.platform import settings as platform_settings
from sycamorehollow.platform import store_codec
from sycamorehollow.platform import storeclient
from sycamorehollow.settings import gateway as gateway_settings
from sycamorehollow.shells.gateway import allocator
from sycamorehollow.shells.gateway import assembly
from sycamorehollow.shells.gateway import state_sync
from sycamorehollow.shells.gateway import telemetry

if TYPE_CHECKING:
    from sycamorehollow.shells.gateway import duty_assembly

EXIT_FAULTS = 2


def run(arguments: argparse.Namespace, listener: socket.socket | None) -> int:
    """Runs the gateway and returns its exit status.

    Args:
        arguments: The parsed command line.
        listener: Socket that already listens for callers, or `None`.
    """
    path: pathlib.Path = arguments.settings
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
    telemetry.configure_logging(settings.node)
    allocator.configure()
    gateway = assembly.Gateway(
        settings,
        assembly.PlatformAdapter(
            header_codec.PlatformHeaderCodec(),
            store_codec.PlatformStoreCodec(),
            open_store(settings),
            lambda: platform_settings.read_settings(path),
            path,
            open_duties,
        ),
        listener,
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


def open_duties(
    settings: gateway_settings.Settings,
    router: routers.Router,
    state: state_sync.StateSync,
    telemetry_sink: telemetry.Telemetry,
) -> "duty_assembly.Duties":
    """Returns the duties of this node; their modules are loaded only here."""
    from sycamorehollow.platform import duty_codec
    from sycamorehollow.shells.gateway import duty_assembly
    from sycamorehollow.shells.gateway import duty_store

    platform = duty_assembly.DutyPlatform(
        duty_codec.PlatformDutyCodec(),
        storeclient.PlatformStore(
            f"http://{settings.store}", duty_store.CALL_LIMIT_S
        ),
    )
    return duty_assembly.build_duties(
        settings, platform, router, state, telemetry_sink
    )
