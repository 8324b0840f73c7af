"""Carries out the lifecycle of each request between caller and upstream."""

import asyncio
import hashlib
import time

from sycamorehollow.decisions.forwarding import request_lifecycle
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import caller_connections
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import response_relay
from sycamorehollow.shells.gateway import telemetry

# Time from the start in which requests wait for the first configuration. It
# mostly takes some milliseconds, a large one on a slow link half a second.
CONFIGURATION_WAIT_S = 1.0
CONFIGURATION_POLL_INTERVAL_S = 0.01
# Time after which a request that came before the configuration may succeed.
UNCONFIGURED_RETRY_AFTER_S = 0.5
# Time after which another node takes requests of a node that is draining.
DRAINING_RETRY_AFTER_S = 0.05


class Forwarder:
    """Answers requests of callers.

    Args:
        router: What the node knows.
        codec: Encodes and decodes headers.
        pool: Connections to upstreams.
        telemetry_sink: Takes one record for each request.

    Attributes:
        rejecting: Whether new requests are refused because the node leaves.
    """

    def __init__(
        self,
        router: routers.Router,
        codec: header_codec.HeaderCodec,
        pool: connection_pool.ConnectionPool,
        telemetry_sink: telemetry.Telemetry,
    ):
        self.rejecting = False
        self._started_at = time.monotonic()
        self._router = router
        self._codec = codec
        self._pool = pool
        self._telemetry = telemetry_sink

    async def handle(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
    ) -> None:
        """Answers one request."""
        started = time.monotonic()
        if request.error_status:
            await self._reject_invalid(connection, request.error_status)
            return
        target = request.target.decode("latin-1")
        call = self._codec.decode_request(
            request.method, target, request.headers
        )
        record = telemetry.RequestRecord(started)
        if isinstance(call, failures.Failure):
            await self._reject(connection, request, "", call, record)
            return
        record.request_id = call.request_id
        await self._wait_for_configuration()
        lifecycle = self._admit(call, request, record, started)
        if isinstance(lifecycle, failures.Failure):
            await self._reject(
                connection, request, call.request_id, lifecycle, record
            )
            return
        exchange = response_relay.ResponseRelay(
            connection, request, lifecycle, record, self._codec, self._pool
        )
        try:
            failure = await exchange.run()
        except (
            asyncio.CancelledError,
            caller_connections.CallerDisconnectedError,
        ):
            record.outcome = "caller left"
            lifecycle.abort(
                steps.EndCause.CALLER, "the caller left", time.monotonic()
            )
            self._telemetry.record_request(record, lifecycle)
            raise
        except Exception as error:
            # The connection is closed by whoever reads from it.
            record.outcome = f"fault: {error!r}"
            lifecycle.abort(
                steps.EndCause.FAULT,
                "an error in this process",
                time.monotonic(),
            )
            self._telemetry.record_request(record, lifecycle)
            raise
        if failure is None:
            self._telemetry.record_request(record, lifecycle)
            return
        if lifecycle.delivering:
            # Without its end the caller cannot take the answer for whole.
            record.outcome = f"cut: {failure.reason}"
            connection.abort()
            self._telemetry.record_request(record, lifecycle)
            return
        await self._reject(
            connection, request, call.request_id, failure, record, lifecycle
        )

    async def _wait_for_configuration(self) -> None:
        """Waits a moment for the configuration of a process that starts."""
        while self._router.route_table is None:
            if time.monotonic() - self._started_at > CONFIGURATION_WAIT_S:
                return
            await asyncio.sleep(CONFIGURATION_POLL_INTERVAL_S)

    def _admit(
        self,
        call: forwarding.Request,
        request: caller_connections.HttpRequest,
        record: telemetry.RequestRecord,
        now: float,
    ) -> request_lifecycle.RequestLifecycle | failures.Failure:
        """Finds the route and service of a request."""
        table = self._router.route_table
        if table is None:
            return steps.Unavailable(
                "no configuration is known yet",
                retry_after_s=UNCONFIGURED_RETRY_AFTER_S,
            )
        if self.rejecting:
            return steps.Unavailable(
                "the node is leaving", retry_after_s=DRAINING_RETRY_AFTER_S
            )
        record.configuration_version = table.configuration.version
        route = table.find_route(call)
        if isinstance(route, failures.Failure):
            return route
        record.route = route.name
        workspace = table.authorize(call, route)
        if isinstance(workspace, failures.Failure):
            return workspace
        record.workspace = workspace
        service = table.choose_service(route, self._router.rng)
        if isinstance(service, failures.Failure):
            return service
        record.service = service.name
        fingerprint = compute_fingerprint(call, workspace, request)
        return request_lifecycle.RequestLifecycle(
            self._router,
            call,
            route,
            service,
            fingerprint,
            len(request.body),
            now,
            workspace.name if workspace else "",
        )

    async def _reject(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
        request_id: str,
        failure: failures.Failure,
        record: telemetry.RequestRecord,
        lifecycle: request_lifecycle.RequestLifecycle | None = None,
    ) -> None:
        """Writes an answer of our own."""
        record.outcome = f"{failure.code}: {failure.reason}"
        record.status = failure.status
        self._telemetry.record_request(record, lifecycle)
        headers = self._codec.encode_failure(request_id, failure)
        await write_response(
            connection,
            failure.status,
            headers,
            failure.reason.encode("utf-8"),
            request.keep_alive,
        )

    async def _reject_invalid(
        self, connection: caller_connections.CallerConnection, status: int
    ) -> None:
        """Refuses what could not be read as a request."""
        self._telemetry.record_invalid_request(status)
        await write_response(connection, status, [], b"", False)


def compute_fingerprint(
    call: forwarding.Request,
    workspace: forwarding.Workspace | None,
    request: caller_connections.HttpRequest,
) -> str:
    """Returns what identifies a request's content, also when it comes again."""
    digest = hashlib.blake2b(request.body, digest_size=12)
    digest.update(request.target)
    digest.update((workspace.name if workspace else "").encode())
    return digest.hexdigest()


async def write_response(
    connection: caller_connections.CallerConnection,
    status: int,
    headers: header_codec.Headers,
    body: bytes,
    keep_alive: bool,
) -> None:
    """Writes a short answer of our own."""
    await connection.write_head(status, b"", headers, len(body), keep_alive)
    if body:
        await connection.write_body(body)
