"""Timeouts of the ratings that undelivered answers wait for.

The wait is bounded by a share of the time left to the deadline and by a
multiple of the usual rating delay, whichever is shorter.
"""

from sycamorehollow.decisions.requests import active_requests

# Relative to the time left: a long chapter may wait longer than a short check.
MAX_DEADLINE_SHARE = 0.1
MIN_WAIT_S = 0.5
MAX_WAIT_S = 30.0
# A rating that takes this many times the usual delay is considered lost.
TIMEOUT_FACTOR = 4.0
INITIAL_DELAY_S = 0.5
DELAY_SMOOTHING = 0.1


class RatingWaits:
    """Answers that wait for a rating, and a moving average of the delay."""

    def __init__(self):
        self._waiting: dict[
            str, tuple[active_requests.ActiveRequest, float]
        ] = {}
        self._delay_s = INITIAL_DELAY_S

    def start(self, active: active_requests.ActiveRequest, now: float) -> float:
        """Starts a wait; returns its deadline in monotonic seconds."""
        self._waiting[active.answer_id] = (active, now)
        remaining_s = active.request.deadline - now
        max_wait_s = min(
            MAX_WAIT_S, max(MIN_WAIT_S, MAX_DEADLINE_SHARE * remaining_s)
        )
        timeout_s = max(MIN_WAIT_S, TIMEOUT_FACTOR * self._delay_s)
        return now + min(max_wait_s, timeout_s)

    def finish(
        self, answer_id: str, now: float
    ) -> active_requests.ActiveRequest | None:
        """Ends the wait for an answer; returns its request if it is current."""
        active, started_at = self._waiting.pop(answer_id, (None, now))
        if active is None or active.answer_id != answer_id:
            return None
        self._delay_s += DELAY_SMOOTHING * (now - started_at - self._delay_s)
        return active

    def expire(self, active: active_requests.ActiveRequest, now: float) -> None:
        """Ends a wait whose deadline passed without a rating."""
        # Counts the elapsed time as a delay, so that later waits get longer if
        # ratings take longer.
        _, started_at = self._waiting.pop(active.answer_id, (None, now))
        self._delay_s += DELAY_SMOOTHING * (now - started_at - self._delay_s)
