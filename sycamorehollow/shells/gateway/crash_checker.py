"""Checks whether an upstream that closed a connection has crashed.

Only a crash is attributed to the content of the request that was running. An
upstream that still accepts connections closed this one for another reason, and
a draining upstream closes all of them.
"""

import asyncio
import time

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import telemetry

# Further checks wait for the next call of `start_due_checks`.
MAX_CONCURRENT_CHECKS = 16


class CrashChecker:
    """Checks upstreams and reports the results to the quarantine.

    Args:
        router: Holds the state of the upstreams and the quarantine.
        pool: Opens the connections of the checks.
        telemetry_sink: Records the result of each check.
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
        self._checks: dict[str, asyncio.Task[None]] = {}

    def start_due_checks(self) -> None:
        """Starts the checks that are due."""
        for incarnation in self._router.quarantine.list_incarnations_to_check(
            time.monotonic()
        ):
            if len(self._checks) >= MAX_CONCURRENT_CHECKS:
                return
            if incarnation in self._checks:
                continue
            self._checks[incarnation] = asyncio.create_task(
                self._check(incarnation)
            )

    async def _check(self, incarnation: str) -> None:
        started_at = time.monotonic()
        crashed, outcome = True, "accepts no connections"
        try:
            state = self._find(incarnation)
            if state is None:
                outcome = "is gone"
            elif state.is_draining:
                crashed, outcome = False, "is draining"
            elif await self._pool.can_hold_connection(state.upstream):
                crashed, outcome = False, "still accepts connections"
        except Exception as error:
            # Without a result the upstream counts as crashed.
            self._telemetry.log_error(f"check of {incarnation}", error)
        finally:
            del self._checks[incarnation]
        checked_count = self._router.quarantine.record_check(
            incarnation, crashed, started_at
        )
        verdict = "crash" if crashed else "no crash"
        self._telemetry.record_state_change(
            f"break={incarnation}",
            f"{verdict} contents={checked_count}",
            f"check, the upstream {outcome}",
        )

    def _find(self, incarnation: str) -> directory.UpstreamState | None:
        """Returns the upstream unless it was removed or restarted."""
        identity = incarnation.rpartition("/")[0]
        state = self._router.directory.get(identity)
        if (
            state is None
            or "/".join(map(str, state.upstream.incarnation)) != incarnation
        ):
            return None
        return state
