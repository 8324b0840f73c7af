"""How long an attempt is waited for before another upstream is tried.

Answers overload and hanging upstreams: a request that only waits behind others
is not sent again, since that would add to the load that it waits for. The last
attempt is spent on long silence only: if it breaks, the answer is lost.
"""

from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Part of the objective after which a request is given up that later ones have
# passed at the upstream, and one that none has passed. The latter may only
# wait for others; a repeat would add to the load that it waits for.
OVERTAKEN_OBJECTIVE_SHARE = 0.35
OVERTAKEN_EXPECTED_FACTOR = 2.5
STALLED_OBJECTIVE_SHARE = 0.8
STALLED_EXPECTED_FACTOR = 5.0
# Time in seconds by which a later request has to be later.
OVERTAKEN_MIN_S = 0.15
# Parts of the tolerated pause after which a stalled stream goes on elsewhere,
# if the upstream goes on with others, and if it does not.
OVERTAKEN_GAP_FACTOR = 0.8
STALLED_GAP_FACTOR = 2.0
# Silence in seconds after which it is checked whether an upstream can be
# reached, which an overloaded one can.
PROBE_AFTER_S = 0.3
# Time in seconds for which a check that found this node cut off holds; the next
# check comes before.
ISOLATION_TTL_S = 1.0
# Time between looks at whether other requests go on.
RECHECK_S = 0.1
MIN_WAIT_S = 0.01


def compute_first_byte_timeout(
    route: forwarding.Route,
    attempt: steps.Attempt,
    is_next_last: bool,
    now: float,
) -> float:
    """Returns the seconds to wait on for the first byte of an answer.

    Args:
        route: Route of the request.
        attempt: The attempt.
        is_next_last: Whether the attempt that would follow is the last one.
        now: Monotonic time in seconds.
    """
    first_s = max(
        route.objective_s * OVERTAKEN_OBJECTIVE_SHARE,
        attempt.expected_s * OVERTAKEN_EXPECTED_FACTOR,
    )
    last_s = max(
        route.objective_s * STALLED_OBJECTIVE_SHARE,
        attempt.expected_s * STALLED_EXPECTED_FACTOR,
    )
    passed = (
        not is_next_last
        and attempt.state.latest_served_sent_at
        > attempt.sent_at + OVERTAKEN_MIN_S
    )
    return _compute_timeout(
        attempt, attempt.sent_at, first_s, last_s, passed, now
    )


def compute_event_timeout(
    route: forwarding.Route,
    attempt: steps.Attempt,
    is_next_last: bool,
    now: float,
) -> float:
    """Returns the seconds to wait on for the next event of a stream.

    Args:
        route: Route of the request.
        attempt: The attempt.
        is_next_last: Whether the attempt that would follow is the last one.
        now: Monotonic time in seconds.
    """
    first_s = route.max_event_gap_s * OVERTAKEN_GAP_FACTOR
    last_s = route.max_event_gap_s * STALLED_GAP_FACTOR
    heard_at = attempt.state.last_byte_at
    passed = (
        not is_next_last and heard_at > attempt.last_byte_at + OVERTAKEN_MIN_S
    )
    return _compute_timeout(
        attempt, attempt.last_byte_at, first_s, last_s, passed, now
    )


def needs_probe(attempt: steps.Attempt, now: float) -> bool:
    """Tells whether to check that the upstream can be reached."""
    state = attempt.state
    since = max(attempt.last_byte_at, state.last_byte_at, state.probed_at)
    return now - since >= PROBE_AFTER_S


def _compute_timeout(
    attempt: steps.Attempt,
    since: float,
    overtaken_limit_s: float,
    stalled_limit_s: float,
    overtaken: bool,
    now: float,
) -> float:
    """Returns 0 when the attempt is to be given up.

    Args:
        attempt: The attempt.
        since: When the wait began.
        overtaken_limit_s: Longest wait if the upstream goes on with others.
        stalled_limit_s: Longest wait in any case.
        overtaken: Whether the upstream has gone on with others.
        now: Monotonic time in seconds.
    """
    waited_s = now - since
    if attempt.state.is_unreachable() and attempt.state.unreachable_at > since:
        return 0.0
    if waited_s < overtaken_limit_s - MIN_WAIT_S:
        return min(overtaken_limit_s - waited_s, RECHECK_S)
    if not overtaken and now - attempt.isolated_at < ISOLATION_TTL_S:
        # Another upstream could not be reached either.
        return RECHECK_S
    if overtaken or waited_s >= stalled_limit_s:
        return 0.0
    return min(stalled_limit_s - waited_s, RECHECK_S)
