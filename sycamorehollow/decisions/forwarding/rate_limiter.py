"""Keeps all nodes together within the request limits that upstreams state.

The limit covers the requests of all nodes, also of nodes that cannot reach each
other, so it must not depend on messages between nodes. Each limited upstream
has a few owner nodes, chosen by a hash that all nodes compute alike. An owner
has an equal part of the limit as a token bucket, so that a slow rate becomes a
long interval. Other nodes send nothing, unless an owner lends them a permit.
"""

import dataclasses
import math
import random

from sycamorehollow.decisions.forwarding import node_ranks
from sycamorehollow.decisions.forwarding import stated_limits

# What an upstream tolerates: within a window this multiple of its limit, and
# some requests more.
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_EXTRA = 5.0
# Rate at which an upstream that takes no requests gets one all the same, as its
# responses are the only way to hear that it takes them again.
TRIAL_PER_S = 0.2
# Age of the latest statement from which nodes that own no part of the limit
# send as well, since the owners may be gone, and their share of it in total.
STALE_S = 10.0
STALE_SHARE = 0.25

_Incarnation = stated_limits.Incarnation


@dataclasses.dataclass
class _Bucket:
    """Token bucket; negative while more was sent than allowed."""

    tokens: float
    updated_at: float


@dataclasses.dataclass(frozen=True)
class _Share:
    """The part of a limit that this node may use.

    Attributes:
        per_s: Requests per second.
        burst: Requests that may be sent at once.
    """

    per_s: float
    burst: float


class RateLimiter:
    """Enforces this node's part of the limits.

    Args:
        limits: The limits that upstreams state.
        ranks: Ranks of this node.
        rng: Randomises the first request after a limit is known.
    """

    def __init__(
        self,
        limits: stated_limits.StatedLimits,
        ranks: node_ranks.NodeRanks,
        rng: random.Random,
    ):
        self._limits = limits
        self._ranks = ranks
        self._rng = rng
        self._buckets: dict[_Incarnation, _Bucket] = {}
        # When the permits expire that other nodes have lent.
        self._borrowed: dict[_Incarnation, list[float]] = {}

    def get_limit(self, incarnation: _Incarnation, now: float) -> float | None:
        """Returns the requests per second of all nodes; `None` for no limit."""
        return self._limits.get_limit(incarnation, now)

    def compute_statement_age(
        self, incarnation: _Incarnation, now: float
    ) -> float:
        """Returns the seconds since an upstream last stated its limit.

        Infinite without a limit.
        """
        statement = self._limits.get(incarnation)
        if statement is None or self.get_limit(incarnation, now) is None:
            return math.inf
        return now - statement.seen_at

    def compute_delay(self, incarnation: _Incarnation, now: float) -> float:
        """Returns the seconds until this node may send one more request.

        0 if it may send one now, infinite if it owns no part of the limit.
        """
        if self._limits.get(incarnation) is None:
            # Each choice of an upstream asks for all candidates, and mostly
            # none of them is limited.
            return 0.0
        if self.count_borrowed(incarnation, now):
            return 0.0
        return self.compute_own_delay(incarnation, now)

    def compute_own_delay(self, incarnation: _Incarnation, now: float) -> float:
        """As `compute_delay`, without permits that other nodes have lent."""
        share = self._compute_share(incarnation, now)
        if share is None:
            return 0.0
        missing = 1.0 - self._fill(incarnation, share, now).tokens
        if missing <= 0:
            return 0.0
        return missing / share.per_s if share.per_s > 0 else math.inf

    def compute_own_rate(self, incarnation: _Incarnation, now: float) -> float:
        """Returns the permits per second of this node; 0 for none."""
        share = self._compute_share(incarnation, now)
        return share.per_s if share is not None else 0.0

    def record_sent(self, incarnation: _Incarnation, now: float) -> None:
        """Records a request that is sent to an upstream, limited or not."""
        if self.count_borrowed(incarnation, now):
            self._borrowed[incarnation].pop(0)
            return
        self.spend_own(incarnation, now)

    def spend_own(self, incarnation: _Incarnation, now: float) -> None:
        """Spends a permit of this node, if the upstream is limited."""
        share = self._compute_share(incarnation, now)
        if share is not None:
            self._fill(incarnation, share, now).tokens -= 1.0

    def add_borrowed(self, incarnation: _Incarnation, until: float) -> None:
        """Adds a permit of another node, which expires."""
        self._borrowed.setdefault(incarnation, []).append(until)

    def count_borrowed(self, incarnation: _Incarnation, now: float) -> int:
        """Returns the number of permits that other nodes have lent."""
        permits = self._borrowed.get(incarnation)
        if permits is None:
            return 0
        while permits and permits[0] <= now:
            permits.pop(0)
        return len(permits)

    def list_other_owners(
        self, incarnation: _Incarnation, now: float
    ) -> list[str]:
        """Returns the names of the other nodes that own parts of a limit."""
        limit = self.get_limit(incarnation, now)
        if not limit:
            return []
        return self._ranks.list_others(incarnation[0], compute_burst(limit))

    def evict_unlimited(self) -> None:
        """Drops the permits of upstreams that have no limit any more."""
        limited = {s.incarnation for s in self._limits.list_all()}
        for permits in (self._buckets, self._borrowed):
            for incarnation in [key for key in permits if key not in limited]:
                del permits[incarnation]

    def _fill(
        self, incarnation: _Incarnation, share: _Share, now: float
    ) -> _Bucket:
        """Adds the tokens since the last call and returns the bucket."""
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            # A random level, so that the owners do not send at the same time.
            bucket = _Bucket(self._rng.random(), now)
            self._buckets[incarnation] = bucket
        tokens = bucket.tokens + share.per_s * (now - bucket.updated_at)
        bucket.tokens = min(share.burst, tokens)
        bucket.updated_at = now
        return bucket

    def _compute_share(
        self, incarnation: _Incarnation, now: float
    ) -> _Share | None:
        """Returns this node's part of a limit, or `None` without a limit."""
        limit = self._limits.get_limit(incarnation, now)
        if limit is None:
            return None
        limit = limit or TRIAL_PER_S
        burst = compute_burst(limit)
        owners = min(burst, self._ranks.node_count)
        if self._ranks.compute_rank(incarnation[0]) < owners:
            return _Share(limit / owners, burst // owners)
        statement = self._limits.get(incarnation)
        if statement is not None and now - statement.seen_at > STALE_S:
            return _Share(STALE_SHARE * limit / self._ranks.node_count, 1.0)
        return _Share(0.0, 1.0)


def compute_burst(limit: float) -> int:
    """Returns the requests that all nodes may send at once, in addition.

    Within a window the nodes together send the limit and this burst. Nodes that
    are not known everywhere yet may send as much in proportion.
    """
    tolerated = TOLERATED_FACTOR * limit * WINDOW_S + TOLERATED_EXTRA
    usable = tolerated / node_ranks.UNKNOWN_NODE_FACTOR
    return max(1, math.floor(usable - limit * WINDOW_S))
