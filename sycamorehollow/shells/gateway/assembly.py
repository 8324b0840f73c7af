"""Builds the parts of a gateway process, runs them and drains them."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
import random
import signal
import socket
import time
from typing import TYPE_CHECKING

from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import forwarding
from sycamorehollow.model import identity
from sycamorehollow.settings import gateway
from sycamorehollow.settings import process
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import caller_connections
from sycamorehollow.shells.gateway import caller_memory
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import crash_checker
from sycamorehollow.shells.gateway import end_checker
from sycamorehollow.shells.gateway import forwarder
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import isolation_survey
from sycamorehollow.shells.gateway import peer_client
from sycamorehollow.shells.gateway import state_sync
from sycamorehollow.shells.gateway import store_codec
from sycamorehollow.shells.gateway import store_tasks
from sycamorehollow.shells.gateway import telemetry

if TYPE_CHECKING:
    from sycamorehollow.shells.gateway import duty_assembly

# Time until the load balancer has noticed that the node is not ready. New
# requests are still served until then.
READINESS_PROPAGATION_S = 2.5
# Time without a new connection after which none is expected to arrive.
DRAIN_QUIET_PERIOD_S = 0.3
# Time left before SIGKILL when the process exits by itself.
SHUTDOWN_MARGIN_S = 0.4
SETTINGS_POLL_INTERVAL_S = 1.0
# Connections accepted before those over the limit are closed. The backlog of
# the listening socket is longer.
ACCEPT_BATCH = 16


@dataclasses.dataclass(frozen=True)
class PlatformAdapter:
    """The parts of the gateway that depend on the platform.

    Attributes:
        read_settings: Reads the settings file again.
        settings_path: The settings file, which is polled for changes.
        open_duties: Builds the duties where the settings list some.
    """

    header_codec: header_codec.HeaderCodec
    store_codec: store_codec.StoreCodec
    store: stores.Store
    read_settings: Callable[[], gateway.Settings | list[process.Fault]]
    settings_path: pathlib.Path
    open_duties: "OpenDuties | None" = None


OpenDuties = Callable[
    [
        gateway.Settings,
        routers.Router,
        state_sync.StateSync,
        telemetry.Telemetry,
    ],
    "duty_assembly.Duties",
]


class Gateway:
    """One gateway process.

    Args:
        settings: Settings of the process.
        adapter: Adapter to the platform.
        listener: Listening socket for callers; `None` to open one.
    """

    def __init__(
        self,
        settings: gateway.Settings,
        adapter: PlatformAdapter,
        listener: socket.socket | None = None,
    ):
        self._listener = listener
        self._settings = settings
        self._adapter = adapter
        self._telemetry = telemetry.Telemetry()
        self._memory = caller_memory.CallerMemory(settings, self._telemetry)
        rng = random.Random()
        self._rng = rng
        self._router = routers.Router(settings, rng)
        self._pool = connection_pool.ConnectionPool(
            adapter.header_codec.decode_response,
            self._reserve_retry,
            self._refund_retry,
        )
        self._survey = isolation_survey.IsolationSurvey(
            self._router, self._pool, self._telemetry
        )
        self._crash_checker = crash_checker.CrashChecker(
            self._router,
            self._pool,
            self._telemetry,
            self._survey,
            self._spread_news,
        )
        self._forwarder = forwarder.Forwarder(
            self._router,
            adapter.header_codec,
            self._pool,
            self._telemetry,
            end_checker.EndChecker(
                self._router,
                self._pool,
                adapter.header_codec,
                self._telemetry,
            ),
            self._send_permit_requests,
            self._crash_checker.schedule_checks,
            self._survey,
        )
        self._connections: set[caller_connections.CallerConnection] = set()
        self._probe_connections: set[caller_connections.CallerConnection] = (
            set()
        )
        self._state_sync: state_sync.StateSync | None = None
        self._duties: duty_assembly.Duties | None = None
        self._draining = False
        self._last_accepted_at = float("-inf")

    async def run(self) -> None:
        """Serves requests until SIGTERM, then drains and returns."""
        loop = asyncio.get_running_loop()
        ended = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, ended.set)
        loop.add_signal_handler(signal.SIGINT, ended.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self._start_state_sync()
        servers = [
            await self._listen(
                self._settings.front,
                self._forwarder.handle,
                self._connections,
                self._listener,
            ),
            await self._listen(
                self._settings.ready,
                self._handle_readiness_probe,
                self._probe_connections,
            ),
        ]
        for name, address, handler, registry in (
            (
                "metrics",
                f"{self._settings.ip}:{self._settings.metrics_port}",
                self._handle_metrics_request,
                self._probe_connections,
            ),
            (
                "requests of other nodes",
                self._settings.relay_address,
                self._forwarder.handle_relayed,
                self._connections,
            ),
        ):
            try:
                servers.append(await self._listen(address, handler, registry))
            except OSError as error:
                # Requests of callers are served without them.
                self._telemetry.log_event("cannot serve {}: {}", name, error)
        self._telemetry.log_event(
            "started node={} data_centre={} front={}",
            self._settings.node,
            self._settings.data_centre,
            self._settings.front,
        )
        await self._connect_peers()
        periodic_task = loop.create_task(self._run_periodically())
        await ended.wait()
        await self._drain()
        periodic_task.cancel()
        for server in servers:
            server.close()
        requests_cut = sum(c.is_busy for c in self._connections)
        self._telemetry.log_event(
            "stopped node={} requests_cut={}", self._settings.node, requests_cut
        )

    def _reserve_retry(self, upstream: forwarding.Upstream) -> bool:
        """Reserves the retry of a request sent on a closed idle connection."""
        allowed = self._router.reserve_retry(upstream, time.monotonic())
        outcome = "had closed an idle connection, "
        outcome += "request resent" if allowed else "no retry allowed"
        self._telemetry.record_state_change(
            f"upstream={upstream.identity}", outcome, "reset"
        )
        return allowed

    def _refund_retry(self, upstream: forwarding.Upstream) -> None:
        self._router.retry_budget.refund_retry(upstream.service)

    def _send_permit_requests(self) -> None:
        if self._state_sync is not None:
            self._state_sync.send_permit_requests()

    def _spread_news(self) -> None:
        if self._state_sync is not None:
            self._state_sync.spread_news()

    def _start_state_sync(self) -> None:
        state = state_sync.StateSync(
            self._settings,
            self._router,
            self._adapter.store_codec,
            self._telemetry,
            self._rng,
        )
        self._state_sync = state
        store = self._adapter.store
        writer = store_tasks.WriteTask(store, state.deliver)
        watch = store_tasks.WatchTask(
            store, state.deliver, state.get_position, self._rng
        )
        state.set_store_tasks(watch, writer)
        writer.start()
        watch.start()
        if self._settings.has_duties and self._adapter.open_duties is not None:
            self._duties = self._adapter.open_duties(
                self._settings, self._router, state, self._telemetry
            )
            self._forwarder.count_start = self._duties.count_start

    async def _connect_peers(self) -> None:
        """Starts the client for other nodes while requests are served."""
        assert self._state_sync is not None
        try:
            client = await asyncio.to_thread(
                _open_peer_client, self._settings, self._state_sync
            )
        except OSError as error:
            # Without peers the node still gets all updates from the store.
            self._telemetry.log_event("cannot serve peers: {}", error)
            return
        self._state_sync.set_peer_client(client)

    async def _listen(
        self,
        address: str,
        handler: caller_connections.Handler,
        registry: set[caller_connections.CallerConnection],
        listener: socket.socket | None = None,
    ) -> asyncio.Server:
        def build() -> caller_connections.CallerConnection:
            connection = caller_connections.CallerConnection(
                handler, self._get_limits, registry, self._memory
            )
            if registry is self._connections:
                self._last_accepted_at = time.monotonic()
                connection.closes_after_response = self._draining
            return connection

        if listener is None:
            host, _, port = address.rpartition(":")
            listener = socket.create_server((host, int(port)))
        server = await asyncio.get_running_loop().create_server(
            build, sock=listener, backlog=ACCEPT_BATCH
        )
        listener.listen(socket.SOMAXCONN)
        return server

    def _get_limits(self) -> forwarding.CallerLimits:
        table = self._router.route_table
        if table is None:
            return forwarding.CallerLimits()
        return table.configuration.limits

    async def _handle_readiness_probe(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
    ) -> None:
        state = self._state_sync
        ready = not self._draining and state is not None and state.is_ready
        await forwarder.write_response(
            connection, 200 if ready else 503, [], b"", request.keep_alive
        )

    async def _handle_metrics_request(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
    ) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await forwarder.write_response(
            connection, 200, headers, self._telemetry.render_metrics(), False
        )

    async def _run_periodically(self) -> None:
        """Runs the periodic work and reloads changed settings."""
        # The first check detects changes made while the process started.
        changed_at = 0.0
        next_check = time.monotonic() + SETTINGS_POLL_INTERVAL_S
        while True:
            await asyncio.sleep(state_sync.PERIODIC_WORK_INTERVAL_S)
            try:
                self._run_periodic_work()
            except Exception as error:
                # If the loop ended here, the node's state would become stale.
                self._telemetry.log_error("periodic work", error)
            if time.monotonic() < next_check:
                continue
            next_check = time.monotonic() + SETTINGS_POLL_INTERVAL_S
            latest = self._read_settings_mtime()
            if latest != changed_at:
                changed_at = latest
                self._reload_settings()

    def _run_periodic_work(self) -> None:
        assert self._state_sync is not None
        self._state_sync.run_periodic_work()
        self._crash_checker.start_due_checks()
        self._survey.start_if_due()
        self._pool.close_expired()
        self._forwarder.close_expired()
        if self._duties is not None:
            self._duties.runner.run()

    def _read_settings_mtime(self) -> float:
        with contextlib.suppress(FileNotFoundError):
            return self._adapter.settings_path.stat().st_mtime
        # The file is being replaced; the next check finds it.
        return 0.0

    def _reload_settings(self) -> None:
        """Applies changed settings; listening sockets keep their addresses."""
        settings = self._adapter.read_settings()
        if isinstance(settings, list):
            for fault in settings:
                self._telemetry.log_event("settings rejected: {}", fault)
            return
        if settings != self._settings:
            self._settings = settings
            self._router.configure(settings)
            self._memory.configure(settings)
        self._telemetry.log_event("settings reloaded")

    async def _drain(self) -> None:
        """Finishes open requests before the process exits.

        New requests are rejected once the load balancer has had time to notice
        that the node is not ready.
        """
        started = time.monotonic()
        end = started + self._settings.grace_s - SHUTDOWN_MARGIN_S
        self._draining = True
        if self._duties is not None:
            self._duties.runner.stop()
        self._telemetry.log_event(
            "draining, {} connections", len(self._connections)
        )
        while time.monotonic() < end:
            now = time.monotonic()
            elapsed_s = now - started
            is_quiet = now - self._last_accepted_at > DRAIN_QUIET_PERIOD_S
            self._forwarder.rejecting = elapsed_s >= READINESS_PROPAGATION_S
            for connection in list(self._connections):
                connection.closes_after_response = True
                if self._forwarder.rejecting:
                    connection.close_when_idle()
            if self._forwarder.rejecting and is_quiet and not self._connections:
                break
            await asyncio.sleep(0.05)


def _open_peer_client(
    settings: gateway.Settings, state: state_sync.StateSync
) -> peer_client.PeerClient:
    """Returns a started client for calls to other nodes.

    Raises:
        OSError: The address cannot be bound.
    """
    # Importing gRPC takes a quarter of the start-up time, and a restarted node
    # serves requests before it needs its peers.
    from sycamorehollow.shells.gateway import grpc_peer_client

    own_process = identity.Process(
        settings.peer_address, settings.data_centre, time.time_ns()
    )
    client = grpc_peer_client.GrpcPeerClient(
        own_process, state.handle_peer_request, state.deliver
    )
    client.start()
    return client
