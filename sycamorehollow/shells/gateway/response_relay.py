"""Attempts of a request at upstreams, and the relay of the answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import TypeVar

from sycamorehollow.decisions.forwarding import request_lifecycle as courses
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import caller_connections
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import server_sent_events
from sycamorehollow.shells.gateway import telemetry
from sycamorehollow.shells.gateway import upstream_connections

# Whole answers up to this size are read before the caller gets any of it, so
# that one that breaks off can be replaced.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# Time in which the body of a refusal, which is short, is read to its end.
REJECTION_BODY_TIMEOUT_S = 0.05
# Time in which bytes that have arrived are read.
READ_GRACE_S = 0.05

_Read = TypeVar("_Read")


class AttemptAbandonedError(Exception):
    """The attempt was ended for another step.

    Attributes:
        next_step: What follows.
    """

    def __init__(self, step: steps.Step):
        super().__init__()
        self.next_step = step


class ResponseRelay:
    """Carries out the attempts of one request and relays its answer.

    Args:
        connection: Connection of the caller.
        request: The caller's request.
        course: Decides about the attempts.
        record: What the log says of the request.
        codec: Encodes and decodes headers.
        pool: Connections to upstreams.
    """

    def __init__(
        self,
        connection: caller_connections.CallerConnection,
        request: caller_connections.HttpRequest,
        course: courses.RequestLifecycle,
        record: telemetry.RequestRecord,
        codec: header_codec.HeaderCodec,
        pool: connection_pool.ConnectionPool,
    ):
        self._connection = connection
        self._request = request
        self._course = course
        self._record = record
        self._codec = codec
        self._pool = pool
        # Until when bytes that have arrived are read although time is over.
        self._grace_ends_at: float | None = None

    async def run(self) -> failures.Failure | None:
        """Tries until the answer is delivered or nothing more may be tried.

        Returns:
            `None` after a whole answer.
        """
        step = self._course.choose_next_step(time.monotonic())
        while True:
            if isinstance(step, steps.Reject):
                return step.failure
            if isinstance(step, steps.Wait):
                await asyncio.sleep(step.seconds)
                step = self._course.choose_next_step(time.monotonic())
                continue
            following = await self._run_attempt(step)
            if following is None:
                self._course.record_delivered(time.monotonic())
                return None
            step = following

    async def _run_attempt(self, step: steps.Send) -> steps.Step | None:
        """Makes one attempt.

        Returns:
            The next step, or `None` if the answer was delivered.
        """
        upstream = step.state.upstream
        step.state.running += 1
        connection = None
        try:
            connection = await self._pool.acquire(
                upstream,
                self._course.request.request_id,
                self._course.route.is_retryable,
            )
            connection.send_request(
                self._course.request.request_id, self._encode_request(step)
            )
            head = await self._wait_for(connection, connection.read_head)
            verdict = self._course.evaluate_head(
                head.decoded, time.monotonic(), connection.was_resent
            )
            if verdict is steps.Verdict.DELIVER:
                await self._relay_response(connection, head)
                return None
            if head.decoded.not_run:
                await self._skip_body(connection)
            return self._course.choose_next_step(time.monotonic())
        except upstream_connections.UpstreamConnectionError as error:
            now = time.monotonic()
            self._course.record_connection_failure(
                str(error), error.request_written, now
            )
            if error.closed_by_upstream and error.request_written:
                self._course.record_possible_crash(now)
            return self._course.choose_next_step(now)
        except AttemptAbandonedError as error:
            return error.next_step
        finally:
            step.state.running -= 1
            if connection is not None:
                self._pool.release(
                    upstream, connection, self._course.max_idle_connections
                )

    def _encode_request(self, step: steps.Send) -> bytes:
        """Returns the bytes of the request for an upstream."""
        request = self._request
        course = self._course
        workspace = self._record.workspace
        priority = course.route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        attempt = header_codec.AttemptHeaders(
            upstream=step.state.upstream.identity,
            workspace=workspace.name if workspace else "",
            remaining_s=step.left_s,
            model=step.model,
            priority=min(9, max(0, priority)) if step.model else None,
            last_event_id=course.last_event_id if course.delivering else "",
        )
        headers = self._codec.encode_attempt(
            request.headers,
            len(request.body) if request.has_body else None,
            attempt,
        )
        lines = [
            b"%s %s HTTP/1.1\r\n" % (request.method.encode(), request.target)
        ]
        lines.extend(b"%s: %s\r\n" % pair for pair in headers)
        lines.append(b"\r\n")
        lines.append(bytes(request.body))
        return b"".join(lines)

    async def _wait_for(
        self,
        connection: upstream_connections.UpstreamConnection,
        read: Callable[[], Awaitable[_Read]],
    ) -> _Read:
        """Waits for a piece of the answer as long as that makes sense.

        Raises:
            AttemptAbandonedError: The attempt has ended for another step.
        """
        while True:
            now = time.monotonic()
            patience_s = self._course.compute_timeout(now)
            if patience_s > 0:
                self._grace_ends_at = None
            else:
                # After a pause of the process its timers expire before it
                # has read what arrived meanwhile.
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                if self._grace_ends_at is None:
                    self._grace_ends_at = now + READ_GRACE_S
                patience_s = self._grace_ends_at - now
                if patience_s <= 0 or not connection.can_read_without_waiting:
                    step = self._course.handle_timeout(time.monotonic())
                    if not isinstance(step, steps.Wait):
                        raise AttemptAbandonedError(step)
                    patience_s = step.seconds
            try:
                async with asyncio.timeout(patience_s):
                    return await read()
            except TimeoutError:
                await self._probe_upstream()

    async def _probe_upstream(self) -> None:
        """Checks whether a silent upstream can still be reached."""
        if not self._course.begin_probe_if_silent(time.monotonic()):
            return
        upstream = self._course.attempts[-1].state.upstream
        if await self._pool.is_reachable(upstream):
            return
        cut_off = False
        witness = self._course.choose_reference(time.monotonic())
        if witness is not None:
            cut_off = not await self._pool.is_reachable(witness.upstream)
        self._course.record_unreachable(cut_off, time.monotonic())

    async def _relay_response(
        self,
        connection: upstream_connections.UpstreamConnection,
        head: upstream_connections.ResponseHead,
    ) -> None:
        """Passes an answer on to the caller."""
        kind = self._course.route.kind
        stream = kind is forwarding.RouteKind.STREAM and head.status == 200
        if stream:
            await self._relay_events(connection, head)
            return
        body = bytearray()
        while len(body) <= MAX_BUFFERED_RESPONSE_BYTES:
            data = await self._read_body(connection)
            if not data:
                await self._write_head(head, len(body))
                await self._connection.write_body(bytes(body))
                return
            body += data
        self._course.failover.resumable = False
        await self._write_head(head, head.length)
        await self._connection.write_body(bytes(body))
        while data := await self._read_body(connection):
            await self._connection.write_body(data)
        await self._connection.write_end()

    async def _relay_events(
        self,
        connection: upstream_connections.UpstreamConnection,
        head: upstream_connections.ResponseHead,
    ) -> None:
        """Passes on whole events as they come.

        Only these count as progress: an upstream that is stuck may still send
        parts of an event, or comments.

        Raises:
            upstream_connections.UpstreamConnectionError: An event has no end.
        """
        course = self._course
        splitter = server_sent_events.EventSplitter(course.last_event_id)
        while data := await self._wait_for(connection, connection.read_body):
            try:
                whole = splitter.feed(data)
            except server_sent_events.EventTooLargeError as error:
                raise upstream_connections.UpstreamConnectionError(
                    str(error), closed_by_upstream=False
                ) from error
            if not whole:
                continue
            if server_sent_events.has_data(whole):
                course.record_bytes(time.monotonic())
            if not course.delivering:
                await self._write_head(head, None)
            course.last_event_id = splitter.last_event_id
            await self._connection.write_body(whole)
        if not course.delivering:
            await self._write_head(head, None)
        if splitter.incomplete_event:
            await self._connection.write_body(splitter.incomplete_event)
        await self._connection.write_end()

    async def _write_head(
        self, head: upstream_connections.ResponseHead, length: int | None
    ) -> None:
        """Writes the head of the answer, which is that of its first run."""
        self._course.delivering = True
        self._record.record_first_byte(time.monotonic(), head.status)
        headers = [
            pair
            for pair in head.headers
            if pair[0].lower() not in header_codec.HOP_BY_HOP
        ]
        await self._connection.write_head(
            head.status, head.reason, headers, length, self._request.keep_alive
        )

    async def _read_body(
        self, connection: upstream_connections.UpstreamConnection
    ) -> bytes:
        """Waits for more of a body that is passed on as it is.

        Raises:
            AttemptAbandonedError: The attempt has ended for another step.
        """
        data = await self._wait_for(connection, connection.read_body)
        self._course.record_bytes(time.monotonic())
        return data

    async def _skip_body(
        self, connection: upstream_connections.UpstreamConnection
    ) -> None:
        """Reads the body of a refusal, which is short, to its end."""
        try:
            async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
                while await connection.read_body():
                    pass
        except (TimeoutError, upstream_connections.UpstreamConnectionError):
            # The connection is closed; the refusal stands all the same.
            return
