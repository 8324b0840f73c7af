"""Permits for limited upstreams that owners of the limit lend to other nodes.

Only the owners of a limit may send requests on their own. If requests arrive at
many nodes, most of them arrive at nodes that own no part, while the owners have
permits left. A node whose requests could only go to limited upstreams therefore
asks an owner for a permit. A permit that was lent is spent at its owner, so all
nodes together stay within the limit, whichever messages are lost.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math
import random

from sycamorehollow.decisions.forwarding import rate_limiter
from sycamorehollow.decisions.forwarding import stated_limits
from sycamorehollow.model import forwarding

# Time for which a permit that was lent is valid.
PERMIT_TTL_S = 1.0
# Time after which a request for a permit counts as lost.
REPLY_TIMEOUT_S = 0.3
# Time for which an owner that did not reply is not asked again.
LOST_BACKOFF_S = 2.0
# Longest time after which an owner lets a node ask again.
MAX_BACKOFF_S = 10.0

_Pair = tuple[str, stated_limits.Incarnation]


@dataclasses.dataclass(frozen=True)
class PermitRequest:
    """A request for one permit.

    Attributes:
        owner: Name of the node that is asked.
        incarnation: The limited upstream.
    """

    owner: str
    incarnation: stated_limits.Incarnation


@dataclasses.dataclass(frozen=True)
class PermitReply:
    """Reply of an owner.

    Attributes:
        granted: Whether the asking node may send one request.
        backoff_s: Otherwise, seconds after which it may ask again.
    """

    granted: bool
    backoff_s: float


class PermitLoans:
    """Borrows permits for this node, and lends permits of its own.

    Args:
        limiter: Holds this node's part of the limits.
        is_reachable: Returns whether a node may be asked.
        rng: Chooses the owners to ask.
    """

    def __init__(
        self,
        limiter: rate_limiter.RateLimiter,
        is_reachable: Callable[[str, float], bool],
        rng: random.Random,
    ):
        self._limiter = limiter
        self._is_reachable = is_reachable
        self._rng = rng
        self._outbox: list[PermitRequest] = []
        # When a request for a permit counts as lost.
        self._pending: dict[_Pair, float] = {}
        # When an owner may be asked again.
        self._backoff: dict[_Pair, float] = {}
        # When the permits are spent that nodes were told to ask for.
        self._offered_until: dict[stated_limits.Incarnation, float] = {}

    def compute_delay(
        self, incarnation: stated_limits.Incarnation, now: float
    ) -> float:
        """Returns the seconds until a permit may be asked for.

        0 if one may be asked for or was, infinite if there is no other owner.
        """
        return min(
            (
                0.0
                if pair in self._pending
                else max(0.0, self._backoff.get(pair, now) - now)
                for pair in self._list_pairs(incarnation, now)
            ),
            default=math.inf,
        )

    def ask(
        self,
        upstreams: Collection[forwarding.Upstream],
        waiting: int,
        now: float,
    ) -> None:
        """Asks for a permit for one of the upstreams.

        Args:
            upstreams: The upstreams that waiting requests could use.
            waiting: Number of these requests.
            now: Monotonic time in seconds.
        """
        self._drop_lost(now)
        outstanding = 0
        pairs = []
        for incarnation in [u.incarnation for u in upstreams]:
            outstanding += self._limiter.count_borrowed(incarnation, now)
            for pair in self._list_pairs(incarnation, now):
                if pair in self._pending:
                    outstanding += 1
                elif now >= self._backoff.get(pair, now):
                    pairs.append(pair)
        if not pairs or outstanding >= waiting:
            return
        pair = self._rng.choice(pairs)
        self._pending[pair] = now + REPLY_TIMEOUT_S
        self._outbox.append(PermitRequest(*pair))

    def take_requests(self) -> list[PermitRequest]:
        """Returns the requests to send to other nodes."""
        requests, self._outbox = self._outbox, []
        return requests

    def record_reply(
        self, request: PermitRequest, reply: PermitReply, now: float
    ) -> None:
        """Records the reply to a request."""
        pair = (request.owner, request.incarnation)
        self._pending.pop(pair, None)
        if reply.granted:
            self._limiter.add_borrowed(request.incarnation, now + PERMIT_TTL_S)
            return
        backoff_s = min(MAX_BACKOFF_S, max(0.0, reply.backoff_s))
        self._backoff[pair] = now + backoff_s

    def record_failure(self, request: PermitRequest, now: float) -> None:
        """Records that there is no reply to a request."""
        pair = (request.owner, request.incarnation)
        self._pending.pop(pair, None)
        self._backoff[pair] = now + LOST_BACKOFF_S

    def lend(
        self, incarnation: stated_limits.Incarnation, now: float
    ) -> PermitReply:
        """Spends a permit for another node if there is one.

        A node that gets none is told to ask again once the nodes that asked
        before it could have got theirs.
        """
        delay_s = self._limiter.compute_own_delay(incarnation, now)
        if delay_s <= 0:
            self._limiter.spend_own(incarnation, now)
            return PermitReply(True, 0.0)
        if not math.isfinite(delay_s):
            return PermitReply(False, MAX_BACKOFF_S)
        interval_s = 1 / self._limiter.compute_own_rate(incarnation, now)
        offered = max(now + delay_s, self._offered_until.get(incarnation, 0.0))
        self._offered_until[incarnation] = min(
            offered + interval_s, now + MAX_BACKOFF_S
        )
        return PermitReply(False, offered - now)

    def evict_expired(self, now: float) -> None:
        """Drops state that has no effect any more."""
        self._drop_lost(now)
        for pair in [p for p, at in self._backoff.items() if at <= now]:
            del self._backoff[pair]
        for incarnation in [
            key for key, at in self._offered_until.items() if at <= now
        ]:
            del self._offered_until[incarnation]

    def _list_pairs(
        self, incarnation: stated_limits.Incarnation, now: float
    ) -> list[_Pair]:
        return [
            (name, incarnation)
            for name in self._limiter.list_other_owners(incarnation, now)
            if self._is_reachable(name, now)
        ]

    def _drop_lost(self, now: float) -> None:
        for pair in [p for p, at in self._pending.items() if at <= now]:
            self.record_failure(PermitRequest(*pair), now)
