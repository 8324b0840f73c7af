"""Asks other nodes for a sign of life before and while they have requests."""

import asyncio
import time

from sycamorehollow.decisions.forwarding import detour
from sycamorehollow.decisions.forwarding import isolation
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import upstream_connections

# A request that is not marked as sent on by a node. A node of any build refuses
# it at once, which only a running process does.
CHECK_REQUEST = b"GET / HTTP/1.1\r\nHost: node\r\n\r\n"
MAX_IDLE_CONNECTIONS = 4


class NodeChecker:
    """Finds out whether the processes of other nodes run.

    Args:
        helpers: Knows which nodes have responded lately.
        pool: Connections to other nodes.
    """

    def __init__(
        self,
        helpers: isolation.Helpers,
        pool: connection_pool.ConnectionPool,
    ):
        self._helpers = helpers
        self._pool = pool

    async def confirm(
        self, name: str, connection: upstream_connections.UpstreamConnection
    ) -> None:
        """Makes sure that a node runs before it gets a request.

        Args:
            name: Name of the node.
            connection: Connection that the request will use.

        Raises:
            upstream_connections.UpstreamConnectionError: It has given no sign
                of life in time.
        """
        if not self._helpers.needs_check(name, time.monotonic()):
            return
        if not await _responds(connection):
            raise upstream_connections.UpstreamConnectionError(
                detour.NO_SIGN_OF_LIFE,
                request_written=False,
                closed_by_upstream=False,
            )
        self._helpers.record_response(name, time.monotonic())

    async def is_alive(self, node: forwarding.Upstream) -> bool:
        """Tells whether a node gives a sign of life on another connection."""
        try:
            connection = await self._pool.acquire(node, "", True)
        except upstream_connections.UpstreamConnectionError:
            return False
        try:
            return await _responds(connection)
        finally:
            self._pool.release(node, connection, MAX_IDLE_CONNECTIONS)


async def _responds(
    connection: upstream_connections.UpstreamConnection,
) -> bool:
    """Tells whether a node responds to a check."""
    connection.send_request("", CHECK_REQUEST)
    try:
        async with asyncio.timeout(detour.CHECK_TIMEOUT_S):
            await connection.read_head()
            while await connection.read_body():
                pass
    except (TimeoutError, upstream_connections.UpstreamConnectionError):
        return False
    return connection.is_open
