"""Evaluation of a roll-out: defects of the new version, and proof of none."""

import math

from sycamorehollow.decisions.forwarding import failure_counts
from sycamorehollow.decisions.forwarding import rollout_ramp
from sycamorehollow.decisions.forwarding import rollout_records

# Log likelihood ratio below which a version counts as sound and is ramped up;
# takes about a dozen responses without a failure.
SOUND_LOG_RATIO = -math.log(10)
# The same for each route and each model: for the ramp-up, which yields most of
# their responses, and for all requests, which takes about 15 responses of each
# without a failure.
ROUTE_RAMP_LOG_RATIO = -math.log(2)
ROUTE_PROVEN_LOG_RATIO = -math.log(30)
# Classified latencies of the new version needed before it can count as sound.
MIN_LATENCIES = 10
# Failures are also evaluated over the latest seconds alone, so that a version
# that degrades late is detected as fast as one that fails from the start.
WINDOW_S = 6.0
# Time between a request and the stop of the version that its response causes at
# all nodes: the response, the exchange between nodes and their evaluation.
STOP_DELAY_S = 1.5


def find_defect(
    rollout: rollout_records.Rollout, total: failure_counts.Tally, now: float
) -> str:
    """Returns why the new version is worse, or an empty text."""
    rollout.history = [
        entry for entry in rollout.history if entry[0] >= now - WINDOW_S
    ]
    base = rollout.history[0][1] if rollout.history else failure_counts.Tally()
    rollout.history.append((now, total))
    reason = rollout.evidence.evaluate() or rollout.failures.evaluate(now)
    if reason or rollout.failures.is_limited_to_one_part():
        return reason
    for tally in (total, total.minus(base)):
        if failure_counts.is_worse(tally):
            reason = f"failed responses: {tally}"
    return reason


def update_proofs(
    rollout: rollout_records.Rollout, total: failure_counts.Tally, now: float
) -> None:
    """Notes when the version is found to be sound, or is no longer."""
    if rollout.sound_at is None and _is_sound(rollout, total):
        rollout.sound_at = now
    elif (
        rollout.evidence.is_possibly_slow()
        and not rollout_ramp.is_past_first_half(rollout, now)
    ):
        rollout.sound_at = None
    if rollout.sound_at is None or rollout.proven_at is not None:
        return
    if rollout.evidence.is_possibly_slow():
        return
    if not rollout.failures.list_unproven(ROUTE_PROVEN_LOG_RATIO):
        rollout.proven_at = now


def find_overdraft(
    rollout: rollout_records.Rollout,
    total: failure_counts.Tally,
    exposure: float,
    slack: float,
    now: float,
) -> str:
    """Returns why an unproven version has to be stopped, or an empty text.

    What a faulty version may get bounds the requests that are left for a proof.

    Args:
        rollout: The roll-out.
        total: Responses of both versions.
        exposure: Share of the requests that a faulty version may get.
        slack: Requests that it may get in addition.
        now: Monotonic time in seconds.
    """
    if rollout.proven_at is not None:
        return ""
    if not rollout_ramp.is_past_first_half(rollout, now):
        return ""
    age_s = now - rollout.started_at
    rate = (total.new + total.old) / age_s
    allowed = exposure * rate * rollout.order.duration_s + slack
    share = rollout_ramp.compute_share(rollout, exposure, now)
    if total.new + share * rate * STOP_DELAY_S <= allowed:
        return ""
    unproven = rollout.failures.list_unproven(ROUTE_PROVEN_LOG_RATIO)
    return (
        f"not proven sound with {total.new} responses,"
        f" {allowed:.0f} allowed: {'; '.join(unproven) or total}"
    )


def _is_sound(
    rollout: rollout_records.Rollout, total: failure_counts.Tally
) -> bool:
    """Returns whether the version is proven neither to fail nor to be slow."""
    if rollout.evidence.is_possibly_slow():
        return False
    if rollout.failures.list_unproven(ROUTE_RAMP_LOG_RATIO):
        return False
    if failure_counts.compute_log_likelihood_ratio(total) > SOUND_LOG_RATIO:
        return False
    times = rollout.evidence.sum_counts()
    if sum(times.new) < MIN_LATENCIES:
        return False
    slow = failure_counts.Tally(
        sum(times.new), sum(times.new_slow), times.old, times.old_slow
    )
    return (
        min(times.scores[0], failure_counts.compute_log_likelihood_ratio(slow))
        <= SOUND_LOG_RATIO
    )
