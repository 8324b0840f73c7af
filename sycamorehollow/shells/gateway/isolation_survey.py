"""Surveys whether this node reaches any upstream."""

import asyncio
import time

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import telemetry


class IsolationSurvey:
    """Connects to some upstreams at once, one survey at a time.

    Args:
        router: Holds the upstreams and the result.
        pool: Connections to upstreams.
        telemetry_sink: Records changes.
    """

    def __init__(
        self,
        router: routers.Router,
        pool: connection_pool.ConnectionPool,
        telemetry_sink: telemetry.Telemetry,
    ):
        self._router = router
        self._pool = pool
        self._telemetry = telemetry_sink
        self._task: asyncio.Task[None] | None = None

    def record_reached(self) -> None:
        """Records a response on a connection that was opened for it."""
        self._router.isolation.record_reached(time.monotonic())

    async def confirm(self) -> None:
        """Finds out whether a failed connection is due to isolation."""
        if self._task is None:
            if not self._router.isolation.needs_survey(time.monotonic()):
                return
            self._start()
        if self._task is not None:
            await asyncio.shield(self._task)

    def start_if_due(self) -> None:
        """Looks whether an isolated node reaches upstreams again."""
        due = self._router.isolation.is_survey_due(time.monotonic())
        if due and self._task is None:
            self._start()

    def _start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        try:
            await self._survey()
        except Exception as error:
            # The next failed connection or the periodic work starts another.
            self._telemetry.log_error("survey of upstreams", error)
        finally:
            self._task = None

    async def _survey(self) -> None:
        isolation = self._router.isolation
        sample = isolation.choose_sample(self._router.directory.list_all())
        if not sample:
            return
        is_reached = await self._reaches_any(sample)
        has_open = self._pool.has_idle()
        was_isolated = isolation.is_isolated
        now = time.monotonic()
        if isolation.record_survey(is_reached, has_open, now):
            if was_isolated:
                self._router.directory.forget_connection_failures()
            asked = ",".join(state.upstream.identity for state in sample)
            self._telemetry.record_state_change(
                "isolation",
                "reaches upstreams again"
                if is_reached
                else "reaches no upstream, requests go through other nodes",
                f"survey of {asked}",
            )

    async def _reaches_any(self, states: list[directory.UpstreamState]) -> bool:
        """Tells whether any upstream keeps a new connection open."""
        probes = [
            asyncio.create_task(self._pool.can_hold_connection(s.upstream))
            for s in states
        ]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
            return False
        finally:
            for task in probes:
                task.cancel()
