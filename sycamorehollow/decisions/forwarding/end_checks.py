"""Rules for responses that only the end of their connection ends.

Such a response has neither a length nor chunks. The connection ends in the same
way when the upstream crashes between two events, or anywhere in a plain body.
The response counts as complete only if the same incarnation of the upstream is
found alive after the end.
"""

import enum

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import forwarding

# Time in which an unclear check is repeated, and the delay before the first
# repetition, which doubles. A crashing process may accept connections for some
# milliseconds, a packet may be lost, and an upstream may have no connection
# left.
CHECK_LIMIT_S = 0.8
INITIAL_DELAY_S = 0.03
# Least time in which an upstream that has ended is back. Before it, whoever
# responds at its address is the same incarnation.
MIN_RESTART_S = 0.3
# Least time for a check, as a response that ends at its deadline is delivered.
MIN_WAIT_S = 0.1


class Evidence(enum.Enum):
    """What a check found out about an upstream."""

    ALIVE = "its upstream is alive"
    GONE = "its upstream is gone"
    UNCLEAR = "its upstream does not respond"


class Finding(enum.Enum):
    """Whom a query found at the address of an upstream."""

    SAME = "the same incarnation"
    OTHER = "another upstream or incarnation"
    UNSTATED = "an upstream that does not state its incarnation"
    SILENT = "a process that keeps the connection open and does not respond"
    NOBODY = "no process"
    NO_RESPONSE = "no response"


def weigh(finding: Finding, age_s: float) -> Evidence:
    """Returns what a query shows about a response.

    Args:
        finding: Whom it found.
        age_s: Seconds from the end of the response, or from the time at which
            its upstream was last seen, to the query.
    """
    if finding is Finding.SAME:
        return Evidence.ALIVE
    if finding in (Finding.OTHER, Finding.NOBODY):
        return Evidence.GONE
    if finding is Finding.UNSTATED and age_s < MIN_RESTART_S:
        return Evidence.ALIVE
    return Evidence.UNCLEAR


class Query(enum.Enum):
    """How an upstream is checked."""

    REPORT = "report"
    HEALTH = "health"
    CONNECTION = "connection"


def choose_query(
    router: routers.Router,
    state: directory.UpstreamState,
    service: forwarding.Service,
    now: float,
) -> Query:
    """Returns the query that tells most and that the upstream may get.

    A report takes no slot of an engine. A health check takes one of a plain
    service, so it is left out where requests are restricted; the connection
    alone then shows that a process is there, but not which incarnation.

    Args:
        router: State of the deployment.
        state: The upstream.
        service: Its service.
        now: Monotonic time in seconds.
    """
    if state.upstream.models:
        return Query.REPORT
    if not service.health_path or state.is_cold(now):
        return Query.CONNECTION
    incarnation = state.upstream.incarnation
    if router.rate_limiter.get_limit(incarnation, now) is not None:
        return Query.CONNECTION
    if not router.placement.may_send(state, now):
        return Query.CONNECTION
    if router.directory.is_evacuated(state):
        return Query.CONNECTION
    return Query.HEALTH
