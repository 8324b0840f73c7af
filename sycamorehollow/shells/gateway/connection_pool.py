"""Pool of connections to upstreams, and probes of their reachability."""

import asyncio
from collections.abc import Callable
import functools
import time

from sycamorehollow.decisions.forwarding import end_checks
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import transports
from sycamorehollow.shells.gateway import upstream_connections

# Well above the round trip to any data centre of a region. A lost SYN is only
# retransmitted after a second, so waiting for it is not worthwhile.
CONNECT_TIMEOUT_S = 0.25
PROBE_TIMEOUT_S = 0.12
MAX_PROBES = 2
# Time for which an upstream has to keep a new connection open.
HOLD_PROBE_S = 0.1
# Limit for requests that must not run twice, as the upstream may just be
# closing a connection that was idle for longer.
MAX_IDLE_UNRETRYABLE_S = 0.25


class ConnectionPool:
    """Opens connections and keeps idle ones by the address of the upstream.

    Args:
        decode_head: Decodes the head of a response.
        reserve_retry: Takes a retry at an upstream from the retry budget and
            returns whether there was one.
        refund_retry: Returns a reserved retry that was not sent.
    """

    def __init__(
        self,
        decode_head: Callable[
            [int, header_codec.Headers], forwarding.DecodedHead
        ],
        reserve_retry: Callable[[forwarding.Upstream], bool] = lambda _: False,
        refund_retry: Callable[[forwarding.Upstream], None] = lambda _: None,
    ):
        self._decode_head = decode_head
        self._reserve_retry = reserve_retry
        self._refund_retry = refund_retry
        self._idle: dict[
            tuple[str, int], list[upstream_connections.UpstreamConnection]
        ] = {}
        self.opened_count = 0

    async def acquire(
        self,
        upstream: forwarding.Upstream,
        request_id: str,
        is_retryable: bool,
        may_resend: Callable[[], bool] = lambda: True,
    ) -> upstream_connections.UpstreamConnection:
        """Returns an idle or new connection to an upstream.

        Args:
            upstream: The upstream.
            request_id: Identifier of the request.
            is_retryable: Whether the request may run twice.
            may_resend: Tells whether it may be sent again when the upstream
                turns out to have closed the connection before.

        Raises:
            upstream_connections.UpstreamConnectionError: The upstream cannot
                be reached.
        """
        idle = self._idle.get((upstream.host, upstream.port), [])
        now = time.monotonic()
        while idle:
            connection = idle.pop()
            connection.set_drop_callback(None)
            age_s = now - connection.idle_since
            limit_s = connection.idle_timeout_s
            if not is_retryable:
                limit_s = min(limit_s, MAX_IDLE_UNRETRYABLE_S)
            fit = connection.is_open and not connection.has_carried(request_id)
            if fit and age_s < limit_s:
                renew = functools.partial(
                    self._reconnect, upstream, connection, may_resend
                )
                connection.set_reconnect(renew if is_retryable else None)
                return connection
            connection.close()
        return await self._open(upstream)

    def release(
        self,
        upstream: forwarding.Upstream,
        connection: upstream_connections.UpstreamConnection,
        max_idle: int,
    ) -> None:
        """Keeps a connection for reuse if possible, and else closes it.

        Args:
            upstream: The upstream of the connection.
            connection: The connection.
            max_idle: Number of idle connections to keep to the upstream.
        """
        idle = self._idle.setdefault((upstream.host, upstream.port), [])
        if not connection.finish_response() or len(idle) >= max_idle:
            connection.close()
            return
        idle.append(connection)
        connection.set_drop_callback(lambda: _remove_idle(idle, connection))

    def has_idle(self) -> bool:
        """Tells whether a connection to any upstream is kept."""
        return any(self._idle.values())

    def close_idle(self, upstream: forwarding.Upstream) -> None:
        """Closes the idle connections to an upstream."""
        for connection in self._idle.pop((upstream.host, upstream.port), []):
            connection.close()

    def close_expired(self) -> None:
        """Closes connections that have exceeded their idle timeout."""
        now = time.monotonic()
        for idle in self._idle.values():
            for connection in list(idle):
                if now - connection.idle_since >= connection.idle_timeout_s:
                    idle.remove(connection)
                    connection.close()

    async def is_reachable(self, upstream: forwarding.Upstream) -> bool:
        """Tells whether an upstream accepts a new connection."""
        for _ in range(MAX_PROBES):
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(
                        upstream.host, upstream.port
                    )
            except ConnectionResetError:
                # The connection was accepted and then reset: the upstream is
                # alive and at its connection limit.
                return True
            except (OSError, TimeoutError):
                # A single packet may have been lost, so one failure does not
                # count.
                continue
            writer.transport.abort()
            return True
        return False

    async def can_hold_connection(self, upstream: forwarding.Upstream) -> bool:
        """Tells whether an upstream accepts a connection and keeps it open."""
        return await self.probe(upstream) is end_checks.Finding.UNSTATED

    async def probe(self, upstream: forwarding.Upstream) -> end_checks.Finding:
        """Tells whether a process accepts a connection and keeps it open.

        A machine may still accept connections for a process that has exited.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    upstream.host, upstream.port
                )
        except ConnectionRefusedError:
            return end_checks.Finding.NOBODY
        except (OSError, TimeoutError):
            return end_checks.Finding.NO_RESPONSE
        try:
            async with asyncio.timeout(HOLD_PROBE_S):
                # No request was sent: any bytes, or the end of the stream,
                # show a fault.
                await reader.read(1)
        except TimeoutError:
            return end_checks.Finding.UNSTATED
        except OSError:
            return end_checks.Finding.NO_RESPONSE
        finally:
            writer.transport.abort()
        return end_checks.Finding.NO_RESPONSE

    async def _reconnect(
        self,
        upstream: forwarding.Upstream,
        connection: upstream_connections.UpstreamConnection,
        may_resend: Callable[[], bool],
    ) -> bool:
        """Reconnects for a request on a connection that had been closed.

        Returns:
            Whether the request may be resent.
        """
        if not may_resend() or not self._reserve_retry(upstream):
            return False
        try:
            await self._connect(upstream, connection.reset_for_reconnect)
        except (OSError, TimeoutError):
            # The log reports the loss of the old connection instead.
            self._refund_retry(upstream)
            return False
        return True

    async def _open(
        self, upstream: forwarding.Upstream
    ) -> upstream_connections.UpstreamConnection:
        try:
            return await self._connect(
                upstream,
                lambda: upstream_connections.UpstreamConnection(
                    self._decode_head
                ),
            )
        except (OSError, TimeoutError) as error:
            raise upstream_connections.UpstreamConnectionError(
                f"cannot connect: {error or 'timed out'}",
                request_written=False,
                closed_by_upstream=False,
                refused=isinstance(error, ConnectionRefusedError),
            ) from error

    async def _connect(
        self,
        upstream: forwarding.Upstream,
        build: Callable[[], upstream_connections.UpstreamConnection],
    ) -> upstream_connections.UpstreamConnection:
        """Connects to an upstream.

        Raises:
            OSError: The upstream does not accept the connection.
            TimeoutError: The upstream does not respond in time.
        """
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, connection = await loop.create_connection(
                build, upstream.host, upstream.port
            )
        transports.configure(transport, transports.UPSTREAM_USER_TIMEOUT_MS)
        return connection


def _remove_idle(
    idle: list[upstream_connections.UpstreamConnection],
    connection: upstream_connections.UpstreamConnection,
) -> None:
    if connection in idle:
        idle.remove(connection)
