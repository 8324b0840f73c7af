"""Counts of ratings in epochs, of which older ones weigh less.

Each process raises only its own counts, so replicas merge by the maximum of
each process and epoch.
"""

import functools
import math
import zlib

EPOCH_RATINGS = 96
KEPT_EPOCHS = 8
HALF_LIFE_RATINGS = 384
DRIFT_RATINGS = 48
# The test runs after every rating, so its bound is far above 2 sigma.
DRIFT_SIGMA = 4.0


@functools.lru_cache(maxsize=10_000)
def intern_cell(cell: tuple[int, int]) -> tuple[int, int]:
    """Returns the same object for equal counts.

    Most counts of a large fleet are 0 or 1; a tuple for each would take more
    than half of the memory of the quality estimates.
    """
    return cell


class RatingCounts:
    """Counts of one key: epoch → process → cell of (rated, accepted)."""

    def __init__(self) -> None:
        self.epochs: dict[int, dict[str, tuple[int, int]]] = {}
        self.totals: dict[int, tuple[int, int]] = {}
        self._discounted: tuple[float, float, int] | None = None
        self._checksums: dict[int, int] = {}
        self.first_epoch = 0
        self.reset_at = -math.inf

    def get_current_epoch(self) -> int:
        """Returns the newest epoch."""
        return max(self.totals, default=self.first_epoch)

    def merge_cell(self, epoch: int, process: str, cell: tuple[int, int]):
        """Replaces the count of a process if the given one is higher."""
        if epoch < self.first_epoch:
            return
        cells = self.epochs.setdefault(epoch, {})
        old = cells.get(process, (0, 0))
        if cell <= old:
            return
        cells[process] = intern_cell(cell)
        self._discounted = None
        self._checksums.pop(epoch, None)
        total = self.totals.get(epoch, (0, 0))
        self.totals[epoch] = (
            total[0] + cell[0] - old[0],
            total[1] + cell[1] - old[1],
        )
        self.drop_epochs_before(self.get_current_epoch() - KEPT_EPOCHS + 1)

    def drop_epochs_before(self, floor: int) -> bool:
        """Drops the epochs before `floor`; returns False if that was done."""
        if floor <= self.first_epoch:
            return False
        self.first_epoch = floor
        self._discounted = None
        for epoch in [e for e in self.epochs if e < floor]:
            del self.epochs[epoch]
            del self.totals[epoch]
            self._checksums.pop(epoch, None)
        return True

    def record(self, process: str, accepted: bool) -> None:
        """Adds one rating to the counts of this process."""
        epoch = self.get_current_epoch()
        if self.totals.get(epoch, (0, 0))[0] >= EPOCH_RATINGS:
            epoch += 1
        rated, good = self.epochs.get(epoch, {}).get(process, (0, 0))
        self.merge_cell(epoch, process, (rated + 1, good + int(accepted)))

    def compute_discounted(self) -> tuple[float, float, int]:
        """Returns discounted rated and accepted counts, and all ratings."""
        if self._discounted is not None:
            return self._discounted
        rated = accepted = 0.0
        seen = 0
        for epoch in sorted(self.totals, reverse=True):
            count, good = self.totals[epoch]
            weight = 0.5 ** (seen / HALF_LIFE_RATINGS)
            rated += weight * count
            accepted += weight * good
            seen += count
        self._discounted = (rated, accepted, seen)
        return self._discounted

    def find_drift(self) -> int | None:
        """Returns the epoch since which the quality has changed, if any."""
        recent = recent_good = 0
        start = None
        older = older_good = 0
        for epoch in sorted(self.totals, reverse=True):
            count, good = self.totals[epoch]
            if recent < DRIFT_RATINGS:
                recent, recent_good, start = (
                    recent + count,
                    recent_good + good,
                    epoch,
                )
                continue
            older += count
            older_good += good
        if recent < DRIFT_RATINGS or older < DRIFT_RATINGS:
            return None
        pooled = (recent_good + older_good + 1) / (recent + older + 2)
        spread = math.sqrt(pooled * (1 - pooled) * (1 / recent + 1 / older))
        change = abs(recent_good / recent - older_good / older)
        return start if change > DRIFT_SIGMA * spread else None

    def compute_checksum(self, epoch: int) -> int:
        """Returns a checksum of one epoch's counts."""
        known = self._checksums.get(epoch)
        if known is None:
            cells = sorted(self.epochs.get(epoch, {}).items())
            known = zlib.crc32(repr(cells).encode()) & 0xFFFFFF
            self._checksums[epoch] = known
        return known
