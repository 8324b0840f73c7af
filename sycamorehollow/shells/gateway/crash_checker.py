"""Checks whether an upstream whose connection broke has crashed.

Only a crash may be blamed on the request that the upstream ran. An upstream
that still takes connections has ended the one that broke for another reason,
and one that leaves closes all of them.
"""

import asyncio
import time

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import telemetry

# Checks that run at the same time; the others wait for the next look.
MAX_CONCURRENT_CHECKS = 16


class CrashChecker:
    """Checks upstreams and tells the record of crashes what it found.

    Args:
        router: What the node knows.
        pool: Opens the connections of the checks.
        telemetry_sink: Takes one line for each check.
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
        for run in self._router.quarantine.list_incarnations_to_check(
            time.monotonic()
        ):
            if len(self._checks) >= MAX_CONCURRENT_CHECKS:
                return
            if run in self._checks:
                continue
            self._checks[run] = asyncio.create_task(self._check(run))

    async def _check(self, run: str) -> None:
        began = time.monotonic()
        crashed, outcome = True, "takes no connections"
        try:
            state = self._find(run)
            if state is None:
                outcome = "has ended"
            elif state.upstream.draining:
                crashed, outcome = False, "leaves by plan"
            elif await self._pool.can_hold_connection(state.upstream):
                crashed, outcome = False, "still takes connections"
        except Exception as error:
            # The break counts, as without a check.
            self._telemetry.log_error(f"check of {run}", error)
        finally:
            del self._checks[run]
        contents = self._router.quarantine.record_check(run, crashed, began)
        verdict = "crash" if crashed else "no crash"
        self._telemetry.record_state_change(
            f"break={run}",
            f"{verdict} contents={contents}",
            f"check, the upstream {outcome}",
        )

    def _find(self, run: str) -> directory.UpstreamState | None:
        """Returns a run's upstream unless it is forgotten or replaced."""
        identity = run.rpartition("/")[0]
        state = self._router.directory.get(identity)
        if (
            state is None
            or "/".join(map(str, state.upstream.incarnation)) != run
        ):
            return None
        return state
