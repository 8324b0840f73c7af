"""Runs the attempts of a request at upstreams and relays the response."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import TypeVar

from sycamorehollow.decisions.forwarding import end_checks
from sycamorehollow.decisions.forwarding import request_lifecycle
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
from sycamorehollow.shells.gateway import request_encoder
from sycamorehollow.shells.gateway import server_sent_events
from sycamorehollow.shells.gateway import telemetry
from sycamorehollow.shells.gateway import upstream_connections

# Responses up to this size are buffered completely before the first byte is
# sent to the caller, so that a truncated one can be replaced.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# Time for reading the short body of a rejection, so that its connection can be
# reused.
REJECTION_BODY_TIMEOUT_S = 0.05
# Time for reading bytes that have already arrived when a timeout expires.
READ_GRACE_S = 0.05

_Read = TypeVar("_Read")


class AttemptAbandonedError(Exception):
    """Raised when an attempt is ended in favour of another step.

    Attributes:
        next_step: The step that replaces the attempt.
    """

    def __init__(self, step: steps.Step):
        super().__init__()
        self.next_step = step


class ResponseRelay:
    """Runs the attempts of one request and relays its response.

    Args:
        connection: Connection of the caller.
        request: The caller's request.
        lifecycle: Decides on the attempts.
        record: Data for the request's log line.
        codec: Encodes and decodes headers.
        pool: Connections to upstreams.
        checker: Checks upstreams that closed the connection of a response.
        handle_wait: Called when the request begins or continues to wait.
        handle_break: Called when an upstream breaks a connection off.
        node_pool: Connections to other nodes.
        nodes: Asks other nodes for a sign of life.
        survey: Finds out whether this node is isolated.
    """

    def __init__(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
        lifecycle: request_lifecycle.RequestLifecycle,
        record: telemetry.RequestRecord,
        codec: header_codec.HeaderCodec,
        pool: connection_pool.ConnectionPool,
        checker: end_checker.EndChecker,
        handle_wait: Callable[[], None],
        handle_break: Callable[[], None],
        node_pool: connection_pool.ConnectionPool,
        nodes: node_checker.NodeChecker,
        survey: isolation_survey.IsolationSurvey,
    ):
        self._connection = connection
        self._request = request
        self._lifecycle = lifecycle
        self._record = record
        self._encoder = request_encoder.RequestEncoder(
            request, lifecycle, record, codec
        )
        self._pool = pool
        self._end_checker = checker
        self._handle_wait = handle_wait
        self._handle_break = handle_break
        self._node_pool = node_pool
        self._node_checker = nodes
        self._survey = survey
        # End of the extra time for bytes that arrived before a timeout.
        self._grace_ends_at: float | None = None

    async def run(self) -> failures.Failure | None:
        """Makes attempts until a response is delivered or none is allowed.

        Returns:
            `None` after a complete response, else the final failure.
        """
        step = self._lifecycle.choose_next_step(time.monotonic())
        while True:
            if isinstance(step, steps.Reject):
                return step.failure
            if isinstance(step, steps.Wait):
                self._handle_wait()
                await asyncio.sleep(step.seconds)
                step = self._lifecycle.choose_next_step(time.monotonic())
                continue
            next_step = await self._run_attempt(step)
            if next_step is None:
                self._lifecycle.record_delivered(time.monotonic())
                return None
            step = next_step

    async def _run_attempt(self, step: steps.Send) -> steps.Step | None:
        """Makes one attempt.

        Returns:
            The next step, or `None` if the response was delivered.
        """
        upstream = step.state.upstream
        through_node = isinstance(step, steps.SendThrough)
        pool = self._node_pool if through_node else self._pool
        step.state.running += 1
        connection = None
        try:
            connection = await pool.acquire(
                upstream,
                self._lifecycle.request.request_id,
                self._lifecycle.route.is_retryable,
                lambda: self._lifecycle.may_resend(time.monotonic()),
            )
            if isinstance(step, steps.SendThrough):
                await self._node_checker.confirm(step.node, connection)
            is_new = not connection.has_sent_request
            connection.send_request(
                self._lifecycle.request.request_id, *self._encoder.encode(step)
            )
            head = await self._wait_for(connection, connection.read_head)
            if is_new and not through_node:
                self._survey.record_reached()
            verdict = self._evaluate_head(step, connection, head)
            if verdict is steps.Verdict.DELIVER:
                await self._relay_response(connection, head)
                return None
            if head.decoded.not_run:
                await self._skip_body(connection)
            return self._lifecycle.choose_next_step(time.monotonic())
        except upstream_connections.UpstreamConnectionError as error:
            self._record_connection_failure(error)
            if not through_node:
                await self._survey.confirm()
            return self._lifecycle.choose_next_step(time.monotonic())
        except AttemptAbandonedError as error:
            return error.next_step
        finally:
            step.state.running -= 1
            if connection is not None:
                max_idle = self._lifecycle.max_idle_connections
                if step.state.is_leaving:
                    max_idle = 0
                    pool.close_idle(upstream)
                pool.release(upstream, connection, max_idle)

    def _record_connection_failure(
        self, error: upstream_connections.UpstreamConnectionError
    ) -> None:
        """Records what a missing or incomplete response shows."""
        now = time.monotonic()
        self._lifecycle.record_connection_failure(
            str(error), error.request_written, now
        )
        if error.is_malformed:
            self._lifecycle.record_malformed_response()
        if error.closed_by_upstream and error.request_written:
            self._lifecycle.record_possible_crash(now)
            self._handle_break()

    def _evaluate_head(
        self,
        step: steps.Send,
        connection: upstream_connections.UpstreamConnection,
        head: upstream_connections.ResponseHead,
    ) -> steps.Verdict:
        """Decides whether to deliver a response."""
        now = time.monotonic()
        if isinstance(step, steps.SendThrough):
            refusal = relay_headers.find_refusal(head.headers)
            return self._lifecycle.detour.evaluate_head(
                self._lifecycle.attempts[-1],
                head.status,
                refusal,
                self._lifecycle.delivering,
                now,
            )
        return self._lifecycle.evaluate_head(
            head.decoded, now, connection.was_resent
        )

    async def _wait_for(
        self,
        connection: upstream_connections.UpstreamConnection,
        read: Callable[[], Awaitable[_Read]],
    ) -> _Read:
        """Reads a part of the response within the attempt's timeouts.

        Raises:
            AttemptAbandonedError: Another step replaces the attempt.
        """
        while True:
            now = time.monotonic()
            timeout_s = self._lifecycle.compute_timeout(now)
            if timeout_s > 0:
                self._grace_ends_at = None
            else:
                # After the process was paused, its timers expire before the
                # event loop reads the bytes that arrived in the meantime.
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                if self._grace_ends_at is None:
                    self._grace_ends_at = now + READ_GRACE_S
                timeout_s = self._grace_ends_at - now
                if timeout_s <= 0 or not connection.can_read_without_waiting:
                    step = self._lifecycle.handle_timeout(time.monotonic())
                    if not isinstance(step, steps.Wait):
                        raise AttemptAbandonedError(step)
                    timeout_s = step.seconds
            try:
                async with asyncio.timeout(timeout_s):
                    return await read()
            except TimeoutError:
                await self._probe_upstream()

    async def _probe_upstream(self) -> None:
        """Checks whether a silent upstream is still reachable.

        If it is not, a reference upstream is probed as well, to tell a failed
        upstream from an isolated node.
        """
        if self._lifecycle.attempts[-1].node:
            await self._check_node(self._lifecycle.attempts[-1])
            return
        if not self._lifecycle.begin_probe_if_silent(time.monotonic()):
            return
        upstream = self._lifecycle.attempts[-1].state.upstream
        if await self._pool.is_reachable(upstream):
            return
        isolated = False
        reference = self._lifecycle.choose_reference(time.monotonic())
        if reference is not None:
            isolated = not await self._pool.is_reachable(reference.upstream)
        self._lifecycle.record_unreachable(isolated, time.monotonic())

    async def _check_node(self, attempt: steps.Attempt) -> None:
        """Asks the node of a silent attempt for a sign of life."""
        detour = self._lifecycle.detour
        if not detour.needs_check(attempt, time.monotonic()):
            return
        is_alive = await self._node_checker.is_alive(attempt.state.upstream)
        detour.record_check(attempt, is_alive, time.monotonic())

    async def _relay_response(
        self,
        connection: upstream_connections.UpstreamConnection,
        head: upstream_connections.ResponseHead,
    ) -> None:
        """Relays a response to the caller."""
        kind = self._lifecycle.route.kind
        is_stream = kind is forwarding.RouteKind.STREAM and head.status == 200
        if is_stream:
            await self._relay_events(connection, head)
            return
        body = bytearray()
        while len(body) <= MAX_BUFFERED_RESPONSE_BYTES:
            data = await self._read_body(connection)
            self._record_start(head)
            if not data:
                await self._confirm_end(connection, f"{len(body)} bytes")
                self._connection.release_body(self._request)
                await self._write_head(head, len(body), bytes(body))
                return
            body += data
        self._lifecycle.failover.resumable = False
        self._connection.release_body(self._request)
        await self._write_head(head, head.length, bytes(body))
        while data := await self._read_body(connection):
            await self._connection.write_body(data)
        await self._confirm_end(connection, "more than the buffered bytes")
        await self._connection.write_end()

    async def _relay_events(
        self,
        connection: upstream_connections.UpstreamConnection,
        head: upstream_connections.ResponseHead,
    ) -> None:
        """Relays complete events as they arrive.

        Only events with data count as progress: a stalled upstream may still
        send comments or parts of an event.

        Raises:
            upstream_connections.UpstreamConnectionError: An event is too long,
                or the stream ended early.
        """
        lifecycle = self._lifecycle
        splitter = server_sent_events.EventSplitter(lifecycle.last_event_id)
        is_continuation = lifecycle.delivering
        has_events = False
        while data := await self._wait_for(connection, connection.read_body):
            try:
                complete = splitter.feed(data)
            except server_sent_events.EventTooLargeError as error:
                raise upstream_connections.UpstreamConnectionError(
                    str(error), closed_by_upstream=False
                ) from error
            if not complete:
                continue
            if server_sent_events.has_data(complete):
                has_events = True
                lifecycle.record_bytes(time.monotonic())
            lifecycle.last_event_id = splitter.last_event_id
            if lifecycle.delivering:
                await self._connection.write_body(complete)
            else:
                self._record_start(head)
                await self._write_head(head, None, complete)
        # Nothing may be left of a stream that broke off after its last event.
        is_empty = not (has_events or is_continuation)
        if splitter.incomplete_event or is_empty:
            raise upstream_connections.UpstreamConnectionError(
                "the stream ended inside an event"
                if splitter.incomplete_event
                else "the stream ended without an event",
                closed_by_upstream=connection.ended_at_eof,
            )
        await self._confirm_end(
            connection, f"event {lifecycle.last_event_id or 'none'}"
        )
        await self._connection.write_end()

    def _record_start(self, head: upstream_connections.ResponseHead) -> None:
        """Records that the request has begun to run."""
        self._record.record_start(
            head.status, self._lifecycle.attempts[-1].node
        )

    async def _confirm_end(
        self,
        connection: upstream_connections.UpstreamConnection,
        received: str,
    ) -> None:
        """Checks that the end of a connection was that of its response.

        Args:
            connection: Connection of the response.
            received: How much of the response was received, for the log.

        Raises:
            upstream_connections.UpstreamConnectionError: Nothing shows that
                the response is complete.
        """
        if not connection.ended_at_eof:
            return
        attempt = self._lifecycle.attempts[-1]
        left_s = self._lifecycle.deadline - time.monotonic()
        try:
            async with asyncio.timeout(max(end_checks.MIN_WAIT_S, left_s)):
                await connection.wait_until_received()
                evidence = await self._end_checker.check(
                    attempt.state,
                    self._lifecycle.service,
                    connection.ended_at,
                )
        except TimeoutError:
            evidence = end_checks.Evidence.UNCLEAR
        attempt.end_note = (
            f"ended with its connection after {received}, {evidence.value}"
        )
        if evidence is not end_checks.Evidence.ALIVE:
            raise upstream_connections.UpstreamConnectionError(
                "the end of the connection is no sure end of the response"
            )
        await connection.wait_until_received()

    async def _write_head(
        self,
        head: upstream_connections.ResponseHead,
        length: int | None,
        body: bytes,
    ) -> None:
        """Writes the head and the first part of the body."""
        self._lifecycle.delivering = True
        self._record.record_first_byte(time.monotonic(), head.status)
        headers = [
            pair
            for pair in head.headers
            if pair[0].lower() not in header_codec.HOP_BY_HOP
        ]
        await self._connection.write_head(
            head.status,
            head.reason,
            headers,
            length,
            self._request.keep_alive,
            body,
        )

    async def _read_body(
        self, connection: upstream_connections.UpstreamConnection
    ) -> bytes:
        """Reads more of a body that is relayed unchanged.

        Raises:
            AttemptAbandonedError: Another step replaces the attempt.
        """
        data = await self._wait_for(connection, connection.read_body)
        if data:
            self._lifecycle.record_bytes(time.monotonic())
        return data

    async def _skip_body(
        self, connection: upstream_connections.UpstreamConnection
    ) -> None:
        """Reads the short body of a rejection to its end."""
        try:
            async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
                while await connection.read_body():
                    pass
        except (TimeoutError, upstream_connections.UpstreamConnectionError):
            # The connection is closed later; the rejection remains valid.
            return
