"""Estimate of true time that ignores jumps of the node's own wall clock."""

import statistics

# Offsets that differ by less are noise or slow drift, which is followed.
STEP_S = 0.25
DRIFT_TIME_S = 20.0
# A jump that lasts longer than this corrects the wall clock for good; clocks
# that jump by mistake jump back earlier.
HOLD_S = 60.0
# Other nodes' statements that count, and for how long.
MAX_PEERS = 15
PEER_LIFE_S = 30.0
# With fewer other nodes the median could be that of a wrong clock.
MIN_PEERS = 2


class ClockOffset:
    """Offset between true time and `CLOCK_BOOTTIME` of this machine.

    The offset of the own wall clock is filtered over time. The median with the
    offsets that other nodes state corrects a clock that is wrong for long. What
    a node states is its own filtered time without this correction, so that
    corrections do not feed back.
    """

    def __init__(self) -> None:
        self._offset: float | None = None
        self._sampled_at = 0.0
        # Offset after a jump, and since when it has been seen.
        self._jump: tuple[float, float] | None = None
        # Difference to this node's own time, and when it was stated.
        self._peers: dict[str, tuple[float, float]] = {}
        self._correction_s = 0.0

    @property
    def correction_s(self) -> float:
        """What other nodes add to this node's own time."""
        return self._correction_s

    def record_clocks(self, now: float, wall: float) -> None:
        """Records both clocks, read at the same time."""
        offset = wall - now
        elapsed_s = now - self._sampled_at
        self._sampled_at = now
        if self._offset is None:
            self._offset = offset
        elif abs(offset - self._offset) <= STEP_S:
            self._jump = None
            share = min(1.0, elapsed_s / DRIFT_TIME_S)
            self._offset += (offset - self._offset) * share
        else:
            self._follow_jump(offset, now)
        self._update_correction(now)

    def record_peer(self, name: str, stated: float, now: float) -> None:
        """Records the own time that another node has just stated."""
        if self._offset is None:
            return
        self._peers.pop(name, None)
        self._peers[name] = stated - now - self._offset, now
        if len(self._peers) > MAX_PEERS:
            del self._peers[next(iter(self._peers))]

    def compute_own_time(self, now: float) -> float:
        """Returns the time that this node states to others."""
        return now + (self._offset or 0.0)

    def compute_time(self, now: float) -> float:
        """Returns the estimate of true time in seconds since 1970."""
        return self.compute_own_time(now) + self._correction_s

    def _follow_jump(self, offset: float, now: float) -> None:
        if self._jump is None or abs(offset - self._jump[0]) > STEP_S:
            self._jump = offset, now
        elif now - self._jump[1] >= HOLD_S:
            # The others' differences were relative to the former offset.
            self._peers.clear()
            self._offset = offset
            self._jump = None

    def _update_correction(self, now: float) -> None:
        differences = [
            difference
            for difference, at in self._peers.values()
            if now - at <= PEER_LIFE_S
        ]
        if len(differences) < MIN_PEERS:
            # The former correction is the best knowledge while it is cut off.
            return
        self._correction_s = statistics.median([0.0, *differences])
