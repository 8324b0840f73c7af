"""Traffic share of a new version in the course of its roll-out."""

from sycamorehollow.decisions.forwarding import rollout_records

# Share of the tolerated exposure that a version gets at most before the
# ramp-up. Assigning the new version moves open sessions to it, so the share is
# halved while it yields more than twice the rate of responses that the
# evaluation needs.
FIRST_SHARE = 0.55
TARGET_RESPONSES_PER_S = 4.0
# Responses that short orders need before the ramp-up, twice the number that
# proves a version sound.
MIN_TARGET_RESPONSES = 24
# Each node first measures the response rate for this long, limited to this
# fraction of the order's duration.
RATE_SAMPLING_S = 2.0
RATE_SAMPLING_FRACTION = 0.1
# Fraction of the duration at which the ramp-up starts.
RAMP_START_FRACTION = 0.5
# Fractions of the duration at which a sound version gets all requests and at
# which the roll-out is completed. Completion stops the upstreams of the other
# version at once, so their streams need the time in between to finish.
RAMP_END_FRACTION = 0.7
COMPLETION_FRACTION = 0.88
# Fraction of the duration that these streams have at least if the ramp-up was
# late.
MIN_FINISH_FRACTION = 0.1
# Traffic share at the end of the ramp-up, just before the switch to all.
RAMP_END_SHARE = 0.5


def compute_share(
    rollout: rollout_records.Rollout, exposure: float, now: float
) -> float:
    """Returns the share of a running roll-out's version.

    Args:
        rollout: The roll-out; its first share is known or measured.
        exposure: Share of the requests that a faulty version may get.
        now: Monotonic time in seconds.
    """
    first_share = rollout.first_share or 0.0
    if not is_past_first_half(rollout, now):
        return first_share
    progress = compute_progress(rollout, now)
    if progress >= RAMP_END_FRACTION and rollout.proven_at is not None:
        return 1.0
    ramped = (progress - RAMP_START_FRACTION) / (
        RAMP_END_FRACTION - RAMP_START_FRACTION
    )
    share = first_share + (RAMP_END_SHARE - first_share) * ramped
    # An unproven version may get all of the exposure that is tolerated. From
    # now on sessions move to the new version only.
    return min(RAMP_END_SHARE, max(share, exposure))


def choose_first_share(
    rollout: rollout_records.Rollout,
    exposure: float,
    rate: float,
) -> float:
    """Returns the share before the ramp-up.

    Args:
        rollout: The roll-out.
        exposure: Share of the requests that a faulty version may get.
        rate: Responses per second of the service.
    """
    share = exposure * FIRST_SHARE
    duration_s = rollout.order.duration_s
    proof_s = RAMP_START_FRACTION * duration_s - compute_sampling_s(rollout)
    evidence = max(
        TARGET_RESPONSES_PER_S, MIN_TARGET_RESPONSES / max(proof_s, 0.001)
    )
    while share * rate > 2 * evidence:
        share /= 2
    return share


def compute_sampling_s(rollout: rollout_records.Rollout) -> float:
    """Returns for how long the response rate is measured first."""
    return min(
        RATE_SAMPLING_S, RATE_SAMPLING_FRACTION * rollout.order.duration_s
    )


def is_past_first_half(rollout: rollout_records.Rollout, now: float) -> bool:
    """Returns whether the ramp-up may have started."""
    return (
        now - rollout.started_at
        > RAMP_START_FRACTION * rollout.order.duration_s
    )


def is_completion_due(rollout: rollout_records.Rollout, now: float) -> bool:
    """Returns whether streams of the other version had time to finish."""
    if rollout.proven_at is None:
        return False
    duration_s = max(rollout.order.duration_s, 0.001)
    age = (now - rollout.started_at) / duration_s
    since_ramp = compute_progress(rollout, now) - RAMP_END_FRACTION
    return age >= COMPLETION_FRACTION and since_ramp >= MIN_FINISH_FRACTION


def compute_progress(rollout: rollout_records.Rollout, now: float) -> float:
    """Returns the elapsed fraction of the duration that sets the share.

    Stays at `RAMP_START_FRACTION` until the version is sound, so that a
    late proof is still followed by the complete ramp-up, and at
    `RAMP_END_FRACTION` until it is proven on each route.
    """
    duration_s = max(rollout.order.duration_s, 0.001)
    progress = (now - rollout.started_at) / duration_s
    if progress <= RAMP_START_FRACTION:
        return progress
    if rollout.sound_at is None:
        return RAMP_START_FRACTION
    sound_at = (rollout.sound_at - rollout.started_at) / duration_s
    progress -= max(0.0, sound_at - RAMP_START_FRACTION)
    if progress <= RAMP_END_FRACTION:
        return progress
    if rollout.proven_at is None:
        return RAMP_END_FRACTION
    ramped_at = sound_at + RAMP_END_FRACTION - RAMP_START_FRACTION
    ramped_at = max(ramped_at, RAMP_END_FRACTION)
    proven_at = (rollout.proven_at - rollout.started_at) / duration_s
    return progress - max(0.0, proven_at - ramped_at)
