"""Counts of failed responses of two versions, and a likelihood ratio test."""

import dataclasses
import math

# Increase of the failure rate that the test is to detect.
DETECTED_INCREASE = 0.2
# Lower bound of the failure rate that is assumed for the version in service.
MIN_RATE = 0.02
# Log likelihood ratio above which a version counts as worse; gives about one
# false alarm in a hundred roll-outs.
WORSE_LOG_RATIO = math.log(100)
# Failed responses of the new version needed before it can count as worse.
MIN_FAILED = 3


@dataclasses.dataclass(frozen=True)
class Tally:
    """Counts of responses of both versions of a service."""

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
    """Returns the log likelihood ratio of a higher failure rate.

    Compares a new version whose failure rate is higher by `DETECTED_INCREASE`
    with one that fails as often as the version in service.
    """
    rate = max(MIN_RATE, (tally.old_failed + 0.5) / (tally.old + 1))
    rate = min(rate, 1 - DETECTED_INCREASE - 0.01)
    passed = tally.new - tally.new_failed
    return tally.new_failed * math.log(
        (rate + DETECTED_INCREASE) / rate
    ) + passed * math.log((1 - rate - DETECTED_INCREASE) / (1 - rate))


def is_worse(tally: Tally) -> bool:
    """Returns whether the new version is proven to fail more often."""
    return (
        tally.new_failed >= MIN_FAILED
        and compute_log_likelihood_ratio(tally) > WORSE_LOG_RATIO
    )
