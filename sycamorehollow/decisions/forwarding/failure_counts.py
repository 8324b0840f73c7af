"""Counts of failed answers of two versions, and a test on them."""

import dataclasses
import math

# Rise of the failure rate that is to be found.
DETECTED_INCREASE = 0.2
# Failure rate of the version in service that is assumed at least.
MIN_RATE = 0.02
# Log likelihood ratio at which a version counts as worse: one false alarm in
# about a hundred roll-outs.
WORSE_LOG_RATIO = math.log(100)
# Failed answers of the new version below which it is never called worse.
MIN_FAILED = 3


@dataclasses.dataclass(frozen=True)
class Tally:
    """Answers of both versions of a service."""

    new: int = 0
    new_failed: int = 0
    old: int = 0
    old_failed: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Returns the sum."""
        return Tally(
            self.new + other.new,
            self.new_failed + other.new_failed,
            self.old + other.old,
            self.old_failed + other.old_failed,
        )

    def minus(self, other: "Tally") -> "Tally":
        """Returns the difference."""
        return Tally(
            self.new - other.new,
            self.new_failed - other.new_failed,
            self.old - other.old,
            self.old_failed - other.old_failed,
        )


def compute_log_likelihood_ratio(tally: Tally) -> float:
    """Returns the log likelihood ratio of a worse new version."""
    rate = max(MIN_RATE, (tally.old_failed + 0.5) / (tally.old + 1))
    rate = min(rate, 1 - DETECTED_INCREASE - 0.01)
    passed = tally.new - tally.new_failed
    return tally.new_failed * math.log(
        (rate + DETECTED_INCREASE) / rate
    ) + passed * math.log((1 - rate - DETECTED_INCREASE) / (1 - rate))


def is_worse(tally: Tally) -> bool:
    """Tells whether the new version fails more often."""
    return (
        tally.new_failed >= MIN_FAILED
        and compute_log_likelihood_ratio(tally) > WORSE_LOG_RATIO
    )
