"""Timeouts after which an attempt fails over to another upstream.

Distinguishes overloaded upstreams from hanging ones. A request that is merely
queued behind others is not retried early, since a retry adds to the overload.
The last attempt is used only after a long silence, because the response is
lost if that attempt fails.
"""

from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Time-out for the first byte: the larger of a share of the route's objective
# and a multiple of the expected time. It is short for requests that later ones
# have overtaken at the upstream. A request that none has overtaken may only be
# queued; a retry would add to the load that it waits for.
OVERTAKEN_OBJECTIVE_SHARE = 0.35
OVERTAKEN_EXPECTED_FACTOR = 2.5
STALLED_OBJECTIVE_SHARE = 0.8
STALLED_EXPECTED_FACTOR = 5.0
# A request counts as later only if it was sent at least this much later.
OVERTAKEN_MIN_S = 0.15
# Time-out for the next event of a stream, as a multiple of the longest event
# gap of the route: while the upstream serves other requests, and while it does
# not.
OVERTAKEN_GAP_FACTOR = 0.8
STALLED_GAP_FACTOR = 2.0
# Silence after which the upstream is probed. Overloaded upstreams still accept
# connections, unreachable ones do not.
PROBE_AFTER_S = 0.3
# Validity of a probe that found this node isolated. The next probe comes
# earlier.
ISOLATION_TTL_S = 1.0
# Interval for checking whether other requests make progress.
RECHECK_S = 0.1
MIN_WAIT_S = 0.01


def compute_timeout(
    route: forwarding.Route,
    attempt: steps.Attempt,
    has_begun: bool,
    is_next_last: bool,
    now: float,
) -> float:
    """Returns the remaining seconds to wait for the next byte.

    Args:
        route: Route of the request.
        attempt: The attempt.
        has_begun: Whether the response has begun, here or before.
        is_next_last: Whether the attempt that would follow is the last one.
        now: Monotonic time in seconds.
    """
    if has_begun and route.max_event_gap_s > 0:
        return _compute_event_timeout(route, attempt, is_next_last, now)
    return _compute_first_byte_timeout(route, attempt, is_next_last, now)


def _compute_first_byte_timeout(
    route: forwarding.Route,
    attempt: steps.Attempt,
    is_next_last: bool,
    now: float,
) -> float:
    """Returns the remaining seconds to wait for the first byte."""
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
    return _compute_remaining(
        attempt, attempt.sent_at, first_s, last_s, passed, now
    )


def _compute_event_timeout(
    route: forwarding.Route,
    attempt: steps.Attempt,
    is_next_last: bool,
    now: float,
) -> float:
    """Returns the remaining seconds to wait for the next stream event."""
    first_s = route.max_event_gap_s * OVERTAKEN_GAP_FACTOR
    last_s = route.max_event_gap_s * STALLED_GAP_FACTOR
    heard_at = attempt.state.last_byte_at
    passed = (
        not is_next_last and heard_at > attempt.last_byte_at + OVERTAKEN_MIN_S
    )
    return _compute_remaining(
        attempt, attempt.last_byte_at, first_s, last_s, passed, now
    )


def needs_probe(attempt: steps.Attempt, now: float) -> bool:
    """Returns whether the silence calls for a probe of the upstream."""
    state = attempt.state
    since = max(attempt.last_byte_at, state.last_byte_at, state.probed_at)
    return now - since >= PROBE_AFTER_S


def _compute_remaining(
    attempt: steps.Attempt,
    since: float,
    overtaken_limit_s: float,
    stalled_limit_s: float,
    overtaken: bool,
    now: float,
) -> float:
    """Returns the remaining seconds to wait; 0 if the attempt has timed out.

    Args:
        attempt: The attempt.
        since: When the wait began.
        overtaken_limit_s: Longest wait if the upstream serves other requests.
        stalled_limit_s: Longest wait in any case.
        overtaken: Whether the upstream has served other requests meanwhile.
        now: Monotonic time in seconds.
    """
    waited_s = now - since
    if attempt.state.is_unreachable() and attempt.state.unreachable_at > since:
        return 0.0
    if waited_s < overtaken_limit_s - MIN_WAIT_S:
        return min(overtaken_limit_s - waited_s, RECHECK_S)
    if not overtaken and now - attempt.isolated_at < ISOLATION_TTL_S:
        # This node is isolated, so another upstream would not help.
        return RECHECK_S
    if overtaken or waited_s >= stalled_limit_s:
        return 0.0
    return min(stalled_limit_s - waited_s, RECHECK_S)
