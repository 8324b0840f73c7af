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
PASSED_SHARE = 0.35
PASSED_EXPECTED = 2.5
STUCK_SHARE = 0.8
STUCK_EXPECTED = 5.0
# Time in seconds by which a later request has to be later.
PASSED_S = 0.15
# Parts of the tolerated pause after which a stalled stream goes on elsewhere,
# if the upstream goes on with others, and if it does not.
PASSED_PAUSES = 0.8
STUCK_PAUSES = 2.0
# Silence in seconds after which it is checked whether an upstream can be
# reached, which an overloaded one can.
PROBE_S = 0.3
# Time in seconds for which a check that found this node cut off holds; the next
# check comes before.
CUT_OFF_S = 1.0
# Time between looks at whether other requests go on.
LOOK_S = 0.1
MIN_WAIT_S = 0.01


def measure_start(
    route: forwarding.Route, attempt: steps.Attempt, last: bool, now: float
) -> float:
    """Returns the seconds to wait on for the first byte of an answer.

    Args:
        route: Route of the request.
        attempt: The attempt.
        last: Whether the attempt that would follow is the last one.
        now: Monotonic time in seconds.
    """
    first_s = max(
        route.objective_s * PASSED_SHARE, attempt.expected_s * PASSED_EXPECTED
    )
    last_s = max(
        route.objective_s * STUCK_SHARE, attempt.expected_s * STUCK_EXPECTED
    )
    passed = (
        not last
        and attempt.state.latest_served_sent_at > attempt.sent_at + PASSED_S
    )
    return _measure(attempt, attempt.sent_at, first_s, last_s, passed, now)


def measure_stream(
    route: forwarding.Route, attempt: steps.Attempt, last: bool, now: float
) -> float:
    """Returns the seconds to wait on for the next event of a stream.

    Args:
        route: Route of the request.
        attempt: The attempt.
        last: Whether the attempt that would follow is the last one.
        now: Monotonic time in seconds.
    """
    first_s = route.max_event_gap_s * PASSED_PAUSES
    last_s = route.max_event_gap_s * STUCK_PAUSES
    heard_at = attempt.state.last_byte_at
    passed = not last and heard_at > attempt.last_byte_at + PASSED_S
    return _measure(attempt, attempt.last_byte_at, first_s, last_s, passed, now)


def is_silent(attempt: steps.Attempt, now: float) -> bool:
    """Tells whether to check that the upstream can be reached."""
    state = attempt.state
    since = max(attempt.last_byte_at, state.last_byte_at, state.probed_at)
    return now - since >= PROBE_S


def _measure(
    attempt: steps.Attempt,
    since: float,
    first_s: float,
    last_s: float,
    passed: bool,
    now: float,
) -> float:
    """Returns 0 when the attempt is to be given up.

    Args:
        attempt: The attempt.
        since: When the wait began.
        first_s: Longest wait if the upstream goes on with others.
        last_s: Longest wait in any case.
        passed: Whether the upstream has gone on with others.
        now: Monotonic time in seconds.
    """
    waited_s = now - since
    if attempt.state.is_unreachable() and attempt.state.unreachable_at > since:
        return 0.0
    if waited_s < first_s - MIN_WAIT_S:
        return min(first_s - waited_s, LOOK_S)
    if not passed and now - attempt.isolated_at < CUT_OFF_S:
        # Another upstream could not be reached either.
        return LOOK_S
    if passed or waited_s >= last_s:
        return 0.0
    return min(last_s - waited_s, LOOK_S)
