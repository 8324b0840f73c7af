"""Pace of the watches of the store, and when an answer is overdue.

A connection may fall silent for good while new ones work, and the machine at
its other end may even acknowledge what nobody reads. Only an answer shows that
no change was missed. Watches are therefore short, and one without an answer is
given up soon after its end.
"""

# Longest time between two answers of the store while nothing changes.
ANSWER_INTERVAL_S = 0.7
MIN_WAIT_S = 0.2
# Time after the end of a watch in which the answer of a sound store arrives,
# with one lost packet that is sent again.
MIN_MARGIN_S = 0.35
MAX_MARGIN_S = 1.0
# Time for a list of all values. A large one takes half a second on a slow link.
LIST_LIMIT_S = 1.5
MAX_LIST_LIMIT_S = 3.0
# Margin as a multiple of the delay of late answers, and the time for which
# their delay counts.
DELAY_FACTOR = 2.0
DELAY_TTL_S = 10.0


class WatchPacing:
    """Decides how long a watch waits and when its answer is overdue."""

    def __init__(self) -> None:
        self._answered_at = float("-inf")
        self._silences = 0
        self._delay_s = 0.0
        self._delayed_at = float("-inf")

    def compute_wait_s(self, now: float) -> float:
        """Returns for how long the next watch waits for changes."""
        if self._silences:
            # An answer shows that the store is back.
            return MIN_WAIT_S
        passed_s = now - self._answered_at
        wait_s = max(MIN_WAIT_S, ANSWER_INTERVAL_S - passed_s)
        return min(wait_s, ANSWER_INTERVAL_S)

    def compute_margin_s(self, now: float) -> float:
        """Returns how long after its end a watch may be answered."""
        margin_s = MIN_MARGIN_S
        if now - self._delayed_at < DELAY_TTL_S:
            margin_s = max(margin_s, DELAY_FACTOR * self._delay_s)
        return min(MAX_MARGIN_S, margin_s * 2**self._silences)

    def compute_list_limit_s(self) -> float:
        """Returns how long a list of all values may take."""
        return min(MAX_LIST_LIMIT_S, LIST_LIMIT_S * 2**self._silences)

    def record_answer(self, delay_s: float, now: float) -> None:
        """Records an answer.

        Args:
            delay_s: Time from the end of the call's own wait to the answer;
                negative if the answer came before that end.
            now: Monotonic time in seconds.
        """
        self._answered_at = now
        self._silences = 0
        is_outdated = now - self._delayed_at >= DELAY_TTL_S
        if delay_s > 0 and (delay_s >= self._delay_s or is_outdated):
            self._delay_s = delay_s
            self._delayed_at = now

    def record_silence(self) -> None:
        """Records a call that was not answered in time."""
        self._silences = min(self._silences + 1, 8)
