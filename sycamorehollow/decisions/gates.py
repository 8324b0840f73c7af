"""Waits for the ratings of answers that are not delivered yet."""

from sycamorehollow.decisions import active as actives

# A chapter may wait longer for its rating than a check.
WAIT_SHARE = 0.1
MIN_WAIT_S = 1.0
MAX_WAIT_S = 30.0


class Gates:
    """Answers that wait for a rating."""

    def __init__(self):
        self._waiting: dict[str, actives.ActiveRequest] = {}

    def open(self, active: actives.ActiveRequest, now: float) -> float:
        """Starts a wait; returns its end in monotonic seconds."""
        self._waiting[active.answer_id] = active
        left_s = active.request.deadline - now
        return now + min(MAX_WAIT_S, max(MIN_WAIT_S, WAIT_SHARE * left_s))

    def close(self, answer_id: str) -> actives.ActiveRequest | None:
        """Ends the wait for an answer; returns its request, if it waits."""
        active = self._waiting.pop(answer_id, None)
        if active is None or active.answer_id != answer_id:
            return None
        return active

    def expire(self, active: actives.ActiveRequest) -> None:
        """Ends a wait without a rating."""
        self._waiting.pop(active.answer_id, None)
