"""The rule for requests to an upstream that states a limit."""

import bisect

# Time after its first statement from which the rule holds.
CONTACT_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5


def compute_allowed(rate):
    """Returns the requests that are allowed within any window."""
    return int(FACTOR * rate * WINDOW_S + EXTRA)


def count_worst_window(arrivals, since):
    """Returns the most arrivals within one window that begins after `since`."""
    times = sorted(at for at in arrivals if at >= since)
    return max(
        (
            bisect.bisect_left(times, at + WINDOW_S) - index
            for index, at in enumerate(times)
        ),
        default=0,
    )
