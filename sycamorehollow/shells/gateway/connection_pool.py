"""Connections to upstreams, kept between requests."""

import asyncio
from collections.abc import Callable
import functools
import time

from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import upstream_connections

# Well above the way to any data centre of a region; a lost first packet is
# only sent again after a second.
CONNECT_TIMEOUT_S = 0.25
PROBE_TIMEOUT_S = 0.12
MAX_PROBES = 2
# Time in seconds for which an upstream has to keep a new connection.
HOLD_PROBE_S = 0.1
# A request that must not run twice is not sent on a connection that the
# upstream may just have closed.
MAX_IDLE_UNREPEATABLE_S = 0.25


class ConnectionPool:
    """Opens connections and keeps idle ones by upstream.

    Args:
        decode_head: Decodes the head of an answer.
        reserve_retry: Tells whether a request may be sent to an upstream once
            more, and counts that.
        refund_retry: Takes back what was counted, as nothing was sent.
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
        self, upstream: forwarding.Upstream, request_id: str, repeatable: bool
    ) -> upstream_connections.UpstreamConnection:
        """Returns a connection to an upstream.

        Args:
            upstream: The upstream.
            request_id: Identity of the request.
            repeatable: Whether the request may run twice.

        Raises:
            upstream_connections.UpstreamConnectionError: The upstream cannot
                be reached.
        """
        kept = self._idle.get((upstream.host, upstream.port), [])
        now = time.monotonic()
        while kept:
            connection = kept.pop()
            connection.set_drop_callback(None)
            age_s = now - connection.idle_since
            limit_s = connection.idle_timeout_s
            if not repeatable:
                limit_s = min(limit_s, MAX_IDLE_UNREPEATABLE_S)
            fit = connection.is_open and not connection.has_carried(request_id)
            if fit and age_s < limit_s:
                renew = functools.partial(self._reconnect, upstream, connection)
                connection.set_reconnect(renew if repeatable else None)
                return connection
            connection.close()
        return await self._open(upstream)

    def release(
        self,
        upstream: forwarding.Upstream,
        connection: upstream_connections.UpstreamConnection,
        max_idle: int,
    ) -> None:
        """Keeps a connection whose answer has ended, if it can be.

        Args:
            upstream: Its upstream.
            connection: The connection.
            max_idle: Idle connections that may be kept to the upstream.
        """
        kept = self._idle.setdefault((upstream.host, upstream.port), [])
        if not connection.finish_response() or len(kept) >= max_idle:
            connection.close()
            return
        kept.append(connection)
        connection.set_drop_callback(lambda: _remove_idle(kept, connection))

    def close_idle(self, upstream: forwarding.Upstream) -> None:
        """Closes the idle connections to an upstream."""
        for connection in self._idle.pop((upstream.host, upstream.port), []):
            connection.close()

    def close_expired(self) -> None:
        """Closes connections that were idle for too long."""
        now = time.monotonic()
        for kept in self._idle.values():
            for connection in list(kept):
                if now - connection.idle_since >= connection.idle_timeout_s:
                    kept.remove(connection)
                    connection.close()

    async def is_reachable(self, upstream: forwarding.Upstream) -> bool:
        """Tells whether an upstream takes a new connection."""
        for _ in range(MAX_PROBES):
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(
                        upstream.host, upstream.port
                    )
            except ConnectionResetError:
                # It was accepted, and then reset by an upstream that has
                # as many connections as it takes.
                return True
            except (OSError, TimeoutError):
                # A single packet may be lost; the second failure counts.
                continue
            writer.transport.abort()
            return True
        return False

    async def can_hold_connection(self, upstream: forwarding.Upstream) -> bool:
        """Tells whether an upstream takes a connection and does not end it.

        A machine may still take connections for a process that has ended.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    upstream.host, upstream.port
                )
        except (OSError, TimeoutError):
            return False
        try:
            async with asyncio.timeout(HOLD_PROBE_S):
                # Whatever comes without a request is an end, or no answer.
                await reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            writer.transport.abort()
        return False

    async def _reconnect(
        self,
        upstream: forwarding.Upstream,
        connection: upstream_connections.UpstreamConnection,
    ) -> bool:
        """Connects once more for a request on a dropped connection."""
        if not self._reserve_retry(upstream):
            return False
        try:
            await self._connect(upstream, connection.reset_for_reconnect)
        except (OSError, TimeoutError):
            # The loss of the dropped connection is what the log tells.
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
                f"cannot connect: {error or 'timed out'}", False, False
            ) from error

    async def _connect(
        self,
        upstream: forwarding.Upstream,
        build: Callable[[], upstream_connections.UpstreamConnection],
    ) -> upstream_connections.UpstreamConnection:
        """Connects to an upstream.

        Raises:
            OSError: It does not take the connection.
            TimeoutError: It does not answer in time.
        """
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, connection = await loop.create_connection(
                build, upstream.host, upstream.port
            )
        upstream_connections.set_socket_options(
            transport, upstream_connections.UPSTREAM_USER_TIMEOUT_MS
        )
        return connection


def _remove_idle(
    kept: list[upstream_connections.UpstreamConnection],
    connection: upstream_connections.UpstreamConnection,
) -> None:
    if connection in kept:
        kept.remove(connection)
