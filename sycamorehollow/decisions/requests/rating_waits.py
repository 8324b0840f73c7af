"""Waits for the ratings of answers that are not delivered yet."""

from sycamorehollow.decisions.requests import active_requests

# A chapter may wait longer for its rating than a check.
MAX_DEADLINE_SHARE = 0.1
MIN_WAIT_S = 0.5
MAX_WAIT_S = 30.0
# A rating that takes this many times as long as usual is taken for lost.
TIMEOUT_FACTOR = 4.0
INITIAL_DELAY_S = 0.5
DELAY_SMOOTHING = 0.1


class RatingWaits:
    """Answers that wait for a rating."""

    def __init__(self):
        self._waiting: dict[
            str, tuple[active_requests.ActiveRequest, float]
        ] = {}
        self._delay_s = INITIAL_DELAY_S

    def start(self, active: active_requests.ActiveRequest, now: float) -> float:
        """Starts a wait; returns its end in monotonic seconds."""
        self._waiting[active.answer_id] = (active, now)
        left_s = active.request.deadline - now
        allowed_s = min(
            MAX_WAIT_S, max(MIN_WAIT_S, MAX_DEADLINE_SHARE * left_s)
        )
        usual_s = max(MIN_WAIT_S, TIMEOUT_FACTOR * self._delay_s)
        return now + min(allowed_s, usual_s)

    def finish(
        self, answer_id: str, now: float
    ) -> active_requests.ActiveRequest | None:
        """Ends the wait for an answer; returns its request, if it waits."""
        active, opened_at = self._waiting.pop(answer_id, (None, now))
        if active is None or active.answer_id != answer_id:
            return None
        self._delay_s += DELAY_SMOOTHING * (now - opened_at - self._delay_s)
        return active

    def expire(self, active: active_requests.ActiveRequest, now: float) -> None:
        """Ends a wait without a rating."""
        # Counted as if it had come now, so that the wait grows with the delay.
        _, opened_at = self._waiting.pop(active.answer_id, (None, now))
        self._delay_s += DELAY_SMOOTHING * (now - opened_at - self._delay_s)
