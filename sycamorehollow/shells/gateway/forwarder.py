"""Handles each request: authorises it, relays it, and responds to failures."""

import asyncio
from collections.abc import Callable
import hashlib
import time

from sycamorehollow.decisions.forwarding import request_lifecycle
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import caller_connections
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import end_checker
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import isolation_survey
from sycamorehollow.shells.gateway import node_checker
from sycamorehollow.shells.gateway import relay_headers
from sycamorehollow.shells.gateway import response_relay
from sycamorehollow.shells.gateway import telemetry

# Time after the start during which requests wait for the first configuration.
# It arrives within milliseconds, or half a second if large and on a slow link.
CONFIGURATION_WAIT_S = 1.0
CONFIGURATION_POLL_INTERVAL_S = 0.01
# `Retry-After` of a request that came before the configuration.
UNCONFIGURED_RETRY_AFTER_S = 0.5
# `Retry-After` of a draining node, as another node can serve the request soon.
DRAINING_RETRY_AFTER_S = 0.05
# `Retry-After` of a request that found no memory.
MEMORY_RETRY_AFTER_S = 1.0


class Forwarder:
    """Handles the requests of callers.

    Args:
        router: Holds the state that decides on requests.
        codec: Encodes and decodes headers.
        pool: Connections to upstreams.
        telemetry_sink: Records each request.
        checker: Checks upstreams that closed the connection of a response.
        handle_wait: Called when a request waits for capacity.
        handle_break: Called when an upstream breaks a connection off.
        survey: Finds out whether this node is isolated; `None` to make one.

    Attributes:
        rejecting: Whether new requests are rejected because the node drains.
        count_start: Counts a request of a workspace that has begun to run;
            `None` if nothing counts them.
    """

    def __init__(
        self,
        router: routers.Router,
        codec: header_codec.HeaderCodec,
        pool: connection_pool.ConnectionPool,
        telemetry_sink: telemetry.Telemetry,
        checker: end_checker.EndChecker,
        handle_wait: Callable[[], None] = lambda: None,
        handle_break: Callable[[], None] = lambda: None,
        survey: isolation_survey.IsolationSurvey | None = None,
    ):
        self.rejecting = False
        self.count_start: Callable[[str], None] | None = None
        self._started_at = time.monotonic()
        self._router = router
        self._codec = codec
        self._pool = pool
        self._telemetry = telemetry_sink
        self._end_checker = checker
        self._handle_wait = handle_wait
        self._handle_break = handle_break
        self._survey = survey or isolation_survey.IsolationSurvey(
            router, pool, telemetry_sink
        )
        # Other nodes close idle connections like upstreams do. Sending a
        # request to one of them again costs no attempt at an upstream.
        self._node_pool = connection_pool.ConnectionPool(
            codec.decode_response, lambda _: True
        )
        self._node_checker = node_checker.NodeChecker(
            router.helpers, self._node_pool
        )

    def close_expired(self) -> None:
        """Closes kept connections to other nodes that are not used any more."""
        self._node_pool.close_expired()

    async def handle(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
    ) -> None:
        """Handles one request of a caller."""
        await self._handle(connection, request, None)

    async def handle_relayed(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
    ) -> None:
        """Handles a request that another node has sent on."""
        attempts = relay_headers.take_attempts(request.headers)
        refusal = ""
        if attempts is None and not request.error_status:
            refusal = "not sent by a node"
        elif request.error_status in caller_connections.REFUSED_STATUSES:
            refusal = "the node has no memory for the request"
        elif self.rejecting:
            refusal = "the node is leaving"
        elif self._router.isolation.is_isolated:
            refusal = "the node reaches no upstream"
        if not refusal:
            await self._handle(connection, request, attempts)
            return
        await write_response(
            connection,
            503,
            relay_headers.encode_refusal(refusal),
            b"",
            request.keep_alive,
        )

    async def _handle(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
        earlier_attempts: int | None,
    ) -> None:
        """Handles one request; `earlier_attempts` as in its lifecycle."""
        started_at = time.monotonic()
        if request.error_status:
            await self._reject_invalid(connection, request)
            return
        target = request.target.decode("latin-1")
        decoded = self._codec.decode_request(
            request.method, target, request.headers
        )
        record = telemetry.RequestRecord(started_at)
        if isinstance(decoded, failures.Failure):
            await self._reject(connection, request, "", decoded, record)
            return
        record.request_id = decoded.request_id
        await self._wait_for_configuration()
        lifecycle = self._admit(
            decoded, request, record, started_at, earlier_attempts
        )
        if isinstance(lifecycle, failures.Failure):
            await self._reject(
                connection, request, decoded.request_id, lifecycle, record
            )
            return
        relay = response_relay.ResponseRelay(
            connection,
            request,
            lifecycle,
            record,
            self._codec,
            self._pool,
            self._end_checker,
            self._handle_wait,
            self._handle_break,
            self._node_pool,
            self._node_checker,
            self._survey,
        )
        try:
            failure = await relay.run()
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
            # The caller of this method closes the connection.
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
            # Aborting keeps the caller from taking the response as complete.
            record.outcome = f"cut: {failure.reason}"
            connection.abort()
            self._telemetry.record_request(record, lifecycle)
            return
        await self._reject(
            connection, request, decoded.request_id, failure, record, lifecycle
        )

    async def _wait_for_configuration(self) -> None:
        """Waits for the first configuration after the process has started."""
        while self._router.route_table is None:
            if time.monotonic() - self._started_at > CONFIGURATION_WAIT_S:
                return
            await asyncio.sleep(CONFIGURATION_POLL_INTERVAL_S)

    def _admit(
        self,
        decoded: forwarding.Request,
        request: caller_connections.HttpRequest,
        record: telemetry.RequestRecord,
        now: float,
        earlier_attempts: int | None,
    ) -> request_lifecycle.RequestLifecycle | failures.Failure:
        """Chooses the route and service of a request and authorises it."""
        route_table = self._router.route_table
        if route_table is None:
            return steps.Unavailable(
                "no configuration is known yet",
                retry_after_s=UNCONFIGURED_RETRY_AFTER_S,
            )
        if self.rejecting:
            return steps.Unavailable(
                "the node is leaving", retry_after_s=DRAINING_RETRY_AFTER_S
            )
        record.configuration_version = route_table.configuration.version
        record.state_age_s = self._router.watchers.compute_age_s(now)
        route = route_table.find_route(decoded)
        if isinstance(route, failures.Failure):
            return route
        record.route = route.name
        workspace = route_table.authorize(decoded, route)
        if isinstance(workspace, failures.Failure):
            return workspace
        record.workspace = workspace
        record.count_start = self.count_start
        service = route_table.choose_service(route, self._router.rng)
        if isinstance(service, failures.Failure):
            return service
        record.service = service.name
        fingerprint = compute_fingerprint(decoded, workspace, request)
        return request_lifecycle.RequestLifecycle(
            self._router,
            decoded,
            route,
            service,
            fingerprint,
            len(request.body),
            now,
            workspace.name if workspace else "",
            earlier_attempts,
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
        """Records a failure and writes its response."""
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
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
    ) -> None:
        """Responds to an invalid request, or to one without room for it."""
        status = request.error_status
        self._telemetry.record_invalid_request(status)
        headers: header_codec.Headers = []
        if status in caller_connections.REFUSED_STATUSES:
            decoded = self._codec.decode_request(
                request.method,
                request.target.decode("latin-1"),
                request.headers,
            )
            request_id = ""
            if not isinstance(decoded, failures.Failure):
                request_id = decoded.request_id
            failure = steps.Unavailable(
                "no memory for the request", retry_after_s=MEMORY_RETRY_AFTER_S
            )
            headers = self._codec.encode_failure(request_id, failure)
        await write_response(connection, status, headers, b"", False)


def compute_fingerprint(
    decoded: forwarding.Request,
    workspace: forwarding.Workspace | None,
    request: caller_connections.HttpRequest,
) -> str:
    """Returns a digest that is equal for repeated requests of one content."""
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
    """Writes a complete response created by the gateway."""
    await connection.write_head(
        status, b"", headers, len(body), keep_alive, body
    )
