"""Checks whether an upstream that closed a connection has crashed.

Only a crash is attributed to the content of the requests that were running. An
upstream that still accepts connections closed this one for another reason, and
a draining upstream closes all of them.
"""

import asyncio
from collections.abc import Callable
import time

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import quarantine
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.shells.gateway import connection_pool
from sycamorehollow.shells.gateway import isolation_survey
from sycamorehollow.shells.gateway import telemetry

# Further checks wait for the next call of `start_due_checks`.
MAX_CONCURRENT_CHECKS = 16
# Timers may expire a little early.
SCHEDULING_MARGIN_S = 0.005


class CrashChecker:
    """Checks upstreams and reports the results to the quarantine.

    Args:
        router: Holds the state of the upstreams and the quarantine.
        pool: Opens the connections of the checks.
        telemetry_sink: Records the result of each check.
        survey: Finds out whether this node is isolated.
        handle_crash: Called after a crash was found.
    """

    def __init__(
        self,
        router: routers.Router,
        pool: connection_pool.ConnectionPool,
        telemetry_sink: telemetry.Telemetry,
        survey: isolation_survey.IsolationSurvey,
        handle_crash: Callable[[], None] = lambda: None,
    ):
        self._router = router
        self._pool = pool
        self._telemetry = telemetry_sink
        self._survey = survey
        self._handle_crash = handle_crash
        self._checks: dict[str, asyncio.Task[None]] = {}

    def schedule_checks(self) -> None:
        """Starts the checks of the breaks up to now once they are due."""
        delay_s = quarantine.CHECK_AFTER_S + SCHEDULING_MARGIN_S
        asyncio.get_running_loop().call_later(delay_s, self.start_due_checks)

    def start_due_checks(self) -> None:
        """Starts the checks that are due."""
        now = time.monotonic()
        crash_log = self._router.part_quarantine.crash_log
        due = [
            *self._router.quarantine.list_incarnations_to_check(now),
            *crash_log.list_incarnations_to_check(now),
        ]
        for incarnation in dict.fromkeys(due):
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
            elif await self._is_isolated():
                crashed, outcome = False, "is as unreachable as all others"
        except Exception as error:
            # Without a result the upstream counts as crashed.
            self._telemetry.log_error(f"check of {incarnation}", error)
        finally:
            del self._checks[incarnation]
        checked_count = self._router.quarantine.record_check(
            incarnation, crashed, started_at
        )
        suspects = self._router.part_quarantine.crash_log.record_check(
            incarnation, crashed, started_at, time.monotonic()
        )
        verdict = "crash" if crashed else "no crash"
        self._telemetry.record_state_change(
            f"break={incarnation}",
            f"{verdict} contents={checked_count} parts={suspects}",
            f"check, the upstream {outcome}",
        )
        if crashed:
            self._handle_crash()

    async def _is_isolated(self) -> bool:
        """Tells whether this node alone reaches no upstream.

        If no other node does either, the upstreams may have crashed.
        """
        await self._survey.confirm()
        isolation = self._router.isolation
        return isolation.is_isolated and isolation.is_confirmed

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
