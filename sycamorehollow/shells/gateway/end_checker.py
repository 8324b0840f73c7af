"""Checks whether an upstream is alive after it closed a response's connection.

A check serves all responses of an upstream that ended before it began, so the
load of the checks does not grow with that of the responses.
"""

import asyncio
import math
import time

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import end_checks
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import telemetry
from sycamorehollow.shells.gateway import upstream_connections

# Time for the response to a query: a round trip to any data centre, and the
# wait for a slot of a busy plain service.
QUERY_TIMEOUT_S = 0.25

_Evidence = end_checks.Evidence
_Finding = end_checks.Finding


class EndChecker:
    """Checks upstreams, one check of each at a time.

    Args:
        router: Holds the state of the upstreams.
        pool: Connections to upstreams.
        codec: Encodes queries and decodes their responses.
        telemetry_sink: Counts the results.
    """

    def __init__(
        self,
        router: routers.Router,
        pool: connection_pool.ConnectionPool,
        codec: header_codec.HeaderCodec,
        telemetry_sink: telemetry.Telemetry,
    ):
        self._router = router
        self._pool = pool
        self._codec = codec
        self._telemetry = telemetry_sink
        self._current: dict[
            tuple[str, int], asyncio.Task[end_checks.Evidence]
        ] = {}
        self._next: dict[
            tuple[str, int], asyncio.Task[end_checks.Evidence]
        ] = {}
        # Earliest end of a response that waits for the next check.
        self._ended_at: dict[tuple[str, int], float] = {}

    async def check(
        self,
        state: directory.UpstreamState,
        service: forwarding.Service,
        ended_at: float,
    ) -> end_checks.Evidence:
        """Returns the result of a check that begins after this call.

        Args:
            state: The upstream.
            service: Its service.
            ended_at: Monotonic time in seconds at which the response ended.
        """
        key = state.upstream.incarnation
        self._ended_at[key] = min(ended_at, self._ended_at.get(key, math.inf))
        task = self._next.get(key)
        if task is None:
            task = asyncio.create_task(
                self._run_in_turn(state, service, self._current.get(key))
            )
            self._next[key] = task
        # Other responses wait for it as well.
        return await asyncio.shield(task)

    async def _run_in_turn(
        self,
        state: directory.UpstreamState,
        service: forwarding.Service,
        previous: asyncio.Task[end_checks.Evidence] | None,
    ) -> end_checks.Evidence:
        """Runs a check after the previous one of the upstream."""
        if previous is not None:
            await asyncio.wait([previous])
        key = state.upstream.incarnation
        task = self._next.pop(key)
        self._current[key] = task
        ended_at = self._ended_at.pop(key)
        try:
            evidence = await self._run(state, service, ended_at)
        except Exception as error:
            # Without a result nothing shows that the response is complete.
            self._telemetry.log_error(f"end check of {key[0]}", error)
            evidence = _Evidence.UNCLEAR
        finally:
            if self._current.get(key) is task:
                del self._current[key]
        self._telemetry.count_end_check(service.name, evidence.name.lower())
        return evidence

    async def _run(
        self,
        state: directory.UpstreamState,
        service: forwarding.Service,
        ended_at: float,
    ) -> end_checks.Evidence:
        """Queries the upstream until the result is clear."""
        query = end_checks.choose_query(
            self._router, state, service, time.monotonic()
        )
        delay_s = end_checks.INITIAL_DELAY_S
        end = time.monotonic() + end_checks.CHECK_LIMIT_S
        seen_at = ended_at
        while True:
            age_s = time.monotonic() - seen_at
            finding = await self._find(query, state.upstream, service)
            evidence = end_checks.weigh(finding, age_s)
            if evidence is not _Evidence.UNCLEAR:
                return evidence
            if time.monotonic() + delay_s >= end:
                return evidence
            if finding is _Finding.SILENT and age_s < end_checks.MIN_RESTART_S:
                seen_at = time.monotonic()
            await asyncio.sleep(delay_s)
            delay_s *= 2

    async def _find(
        self,
        query: end_checks.Query,
        upstream: forwarding.Upstream,
        service: forwarding.Service,
    ) -> end_checks.Finding:
        """Returns whom a query finds at the address of the upstream."""
        if query is end_checks.Query.CONNECTION:
            return await self._pool.probe(upstream)
        if query is end_checks.Query.HEALTH:
            return await self._query(upstream, service.health_path)
        return await self._query(upstream, "")

    async def _query(
        self, upstream: forwarding.Upstream, health_path: str
    ) -> end_checks.Finding:
        """Asks the upstream who it is."""
        connection = None
        try:
            connection = await self._pool.acquire(
                upstream, "", True, lambda: False
            )
            connection.send_request(
                "", self._codec.encode_query(upstream, health_path)
            )
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                head = await connection.read_head()
                body = b""
                while data := await connection.read_body():
                    body += data
        except upstream_connections.UpstreamConnectionError as error:
            return _Finding.NOBODY if error.refused else _Finding.NO_RESPONSE
        except TimeoutError:
            return _Finding.SILENT
        finally:
            if connection is not None:
                self._pool.release(upstream, connection, 1)
        if connection.ended_at_eof:
            # The end of this response proves as little as that of the other.
            return _Finding.NO_RESPONSE
        return self._codec.identify(upstream, head.status, head.headers, body)
