"""Builds the duties of a node; loaded only where the settings list some."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
import time

from sycamorehollow.decisions.duties import clock_offset
from sycamorehollow.decisions.duties import duty
from sycamorehollow.decisions.duties import ownership
from sycamorehollow.decisions.duties import scaling_duty
from sycamorehollow.decisions.duties import scaling_view
from sycamorehollow.decisions.duties import usage
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.settings import gateway
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import duty_client
from sycamorehollow.shells.gateway import duty_codec
from sycamorehollow.shells.gateway import duty_exchange
from sycamorehollow.shells.gateway import duty_runner
from sycamorehollow.shells.gateway import duty_sender
from sycamorehollow.shells.gateway import duty_store
from sycamorehollow.shells.gateway import scaling_log
from sycamorehollow.shells.gateway import state_sync
from sycamorehollow.shells.gateway import telemetry


@dataclasses.dataclass(frozen=True)
class DutyPlatform:
    """The parts of duties that depend on the platform.

    Attributes:
        codec: Encodes calls and keys.
        store: Client of the store with short time limits.
    """

    codec: duty_codec.DutyCodec
    store: stores.TransactionStore


@dataclasses.dataclass(frozen=True)
class Context:
    """What a duty may be built from.

    Attributes:
        settings: Settings of the process.
        router: Holds the state of the node.
        clock: Estimate of true time.
        run: Number of the process.
        telemetry_sink: Receives log lines and metrics.
    """

    settings: gateway.Settings
    router: routers.Router
    clock: clock_offset.ClockOffset
    run: int
    telemetry_sink: telemetry.Telemetry


def _build_usage(context: Context) -> duty.Duty:
    return usage.UsageDuty(
        context.settings.node,
        context.run,
        context.settings.report_window_s,
        context.settings.report_delay_s,
        context.clock,
    )


def _build_scaling(context: Context) -> duty.Duty:
    return scaling_duty.ScalingDuty(
        scaling_view.ViewBuilder(context.router, context.clock),
        scaling_log.ScalingLog(context.telemetry_sink),
        time.monotonic,
    )


BUILDERS: dict[str, Callable[[Context], duty.Duty]] = {
    usage.UsageDuty.name: _build_usage,
    scaling_duty.ScalingDuty.name: _build_scaling,
}


@dataclasses.dataclass(frozen=True)
class Duties:
    """The duties of a node.

    Attributes:
        runner: Runs them.
        count_start: Counts a request of a workspace that has begun to run;
            `None` if no duty wants to know.
    """

    runner: duty_runner.DutyRunner
    count_start: Callable[[str], None] | None


def build_duties(
    settings: gateway.Settings,
    platform: DutyPlatform,
    router: routers.Router,
    state: state_sync.StateSync,
    telemetry_sink: telemetry.Telemetry,
) -> Duties:
    """Builds the duties that the settings list; called in the event loop."""
    clock = clock_offset.ClockOffset()
    context = Context(settings, router, clock, time.time_ns(), telemetry_sink)
    duties = _build_listed(context)
    order = duty_exchange.CandidateOrder(settings.node)
    exchange = duty_exchange.DutyExchange(
        settings.node,
        duties,
        clock,
        order,
        telemetry_sink,
        random.Random(),
        state.send_sync_request,
    )
    state.part = exchange
    runner = duty_runner.DutyRunner(
        _build_entries(context, duties),
        platform.codec,
        duty_store.StoreCalls(
            platform.store, platform.codec, _build_worker("duty-store")
        ),
        _build_sender(settings, platform.codec, telemetry_sink),
        state,
        exchange,
        order,
        clock,
        telemetry_sink,
        lambda: router.nodes,
    )
    return Duties(runner, _find_counter(duties))


def _build_listed(context: Context) -> list[duty.Duty]:
    """Returns the duties that the settings list."""
    duties = []
    for name in dict.fromkeys(context.settings.duties):
        if name not in BUILDERS:
            context.telemetry_sink.log_event(
                "unknown duty {!r} is ignored", name
            )
            continue
        duties.append(BUILDERS[name](context))
    return duties


def _build_entries(
    context: Context, duties: list[duty.Duty]
) -> list[duty_sender.Entry]:
    """Returns the duties, each with a candidacy of this process."""
    settings = context.settings
    process = f"{settings.node} {context.run}"
    return [
        duty_sender.Entry(
            each, ownership.Ownership(process, settings.owner_lease_s)
        )
        for each in duties
    ]


def _build_sender(
    settings: gateway.Settings,
    codec: duty_codec.DutyCodec,
    telemetry_sink: telemetry.Telemetry,
) -> duty_sender.DutySender:
    return duty_sender.DutySender(
        settings.node,
        codec,
        duty_client.DutyClient(settings.duty_address),
        _build_worker("duty-calls"),
        settings.duty_calls_per_s,
        telemetry_sink,
    )


def _build_worker(name: str) -> duty_client.Worker:
    """Returns a thread that delivers results to the event loop."""
    loop = asyncio.get_running_loop()

    def deliver(call: Callable[[], None]) -> None:
        # The loop is closed when the process exits.
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(call)

    return duty_client.Worker(name, deliver)


def _find_counter(duties: list[duty.Duty]) -> Callable[[str], None] | None:
    for each in duties:
        if isinstance(each, usage.UsageDuty):
            counting = each
            return lambda workspace: counting.count(
                workspace, duty_client.read_boot_time()
            )
    return None
