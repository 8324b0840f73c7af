"""The rules for prompt parts that crash upstreams."""

# Time after the fifth crash from which the rules hold.
CONTACT_S = 3.0
# Each request with the part that ends in a crash counts, so that several in one
# crash count as several.
MAX_CRASHES = 5
MAX_LATER_ARRIVALS = 3


def find_bound(crashes):
    """Returns the time from which requests with the part count, or `None`."""
    if len(crashes) < MAX_CRASHES:
        return None
    return sorted(crashes)[MAX_CRASHES - 1] + CONTACT_S


def count_later_arrivals(crashes, arrivals):
    """Returns the requests with the part that reach upstreams too late.

    Args:
        crashes: Times of the crashes.
        arrivals: Times of the requests with the part at upstreams.
    """
    bound = find_bound(crashes)
    return 0 if bound is None else sum(at > bound for at in arrivals)
