"""Notices in responses that an upstream leaves or asks for a pause.

Both concern this incarnation of the upstream and requests of this node. A
restarted upstream begins without them.
"""

import random

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.model import forwarding

# Status of a response that may ask for a pause.
PAUSE_STATUS = 503
# Longest extension of a pause, as a share of it, so that not all nodes return
# to the upstream at the same time.
MAX_PAUSE_SPREAD = 0.1


def record_notices(
    state: directory.UpstreamState,
    head: forwarding.DecodedHead,
    rng: random.Random,
    now: float,
) -> list[tuple[str, str]]:
    """Records the notices in the head of a response.

    Returns:
        Kind and description of each notice that changes something.
    """
    if head.misdirected:
        return []
    changes = []
    if head.leaving and not state.is_leaving:
        state.is_leaving = True
        changes.append(("leaving", "gets no more requests"))
    if head.status == PAUSE_STATUS and head.retry_after_s:
        pause_s = head.retry_after_s
        if now >= state.paused_until:
            changes.append(("pause", f"gets no requests for {pause_s:.3f} s"))
        spread_s = pause_s * MAX_PAUSE_SPREAD * rng.random()
        state.paused_until = max(state.paused_until, now + pause_s + spread_s)
    return changes
