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
# Least time for a check, as a response that ends at its deadline is delivered.
MIN_WAIT_S = 0.1


class Evidence(enum.Enum):
    """What a check found out about an upstream."""

    ALIVE = "its upstream is alive"
    GONE = "its upstream is gone"
    UNCLEAR = "its upstream does not respond"


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
