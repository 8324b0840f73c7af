"""The failure that ends a request, and whether the request may have run."""

from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import failures


def build_failure(
    reason: str,
    may_have_run: bool,
    is_overdue: bool,
    is_quarantined: bool,
    retry_after_s: float,
) -> failures.Failure:
    """Returns the failure for a caller.

    Args:
        reason: Why the request ends.
        may_have_run: Whether an upstream may have run it.
        is_overdue: Whether its deadline has passed.
        is_quarantined: Whether its content has crashed upstreams.
        retry_after_s: Seconds after which the caller may come back.
    """
    if may_have_run:
        if is_overdue:
            return steps.TimedOut(reason, failures.Execution.UNKNOWN)
        return steps.BadGateway(reason, failures.Execution.UNKNOWN)
    if is_quarantined:
        return steps.BadGateway(reason)
    return steps.Unavailable(
        reason, failures.Execution.NOT_STARTED, retry_after_s
    )
