"""Request limits that upstreams state in their responses.

An upstream in need states how many requests per second it takes from all nodes
together, for as long as its responses say so. A statement belongs to one
incarnation of the upstream, and the latest one counts.
"""

from collections.abc import Iterable
import dataclasses

from sycamorehollow.model import forwarding

# Time after the end of a limit in which it is raised step by step, so that not
# all nodes send to the upstream at once, and its growth per second.
RAMP_S = 3.0
RAMP_GROWTH_PER_S = 4.0
# Limit from which the ramp begins at least, in requests per second.
MIN_RAMP_PER_S = 1.0
# Time for which statements about unknown upstreams and ends of limits are kept.
STATEMENT_TTL_S = 15.0
# Time after which an unchanged limit is sent to a node again, as the node may
# have been restarted or have missed it.
RESEND_S = 3.0
# Changes kept for the log until it takes them.
MAX_CHANGES = 256

Incarnation = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Statement:
    """What an upstream stated in a response.

    Attributes:
        incarnation: The incarnation of the upstream.
        requests_per_s: Limit for all nodes together; `None` for no limit.
        previous_per_s: If there is none, the limit that has ended.
        seen_at: Monotonic time of the response.
        origin: Node process that got the response.
        number: Number of the statement at its origin.
    """

    incarnation: Incarnation
    requests_per_s: float | None
    previous_per_s: float
    seen_at: float
    origin: str
    number: int


class StatedLimits:
    """The latest statement of each upstream that has stated a limit.

    Args:
        origin: Identifies this node process to other nodes.
    """

    def __init__(self, origin: str):
        self._origin = origin
        self._last_number = 0
        self._statements: dict[Incarnation, Statement] = {}
        self._changes: list[Statement] = []
        # Limit and time of the latest statements that were sent to a node.
        self._sent: dict[
            str, dict[Incarnation, tuple[float | None, float]]
        ] = {}

    def record_response(
        self,
        upstream: forwarding.Upstream,
        head: forwarding.DecodedHead,
        sent_at: float,
        now: float,
    ) -> None:
        """Records what the head of a response states or no longer states.

        Args:
            upstream: The upstream that got the request.
            head: Head of its response.
            sent_at: When the request was sent.
            now: Monotonic time in seconds.
        """
        if head.misdirected or head.limit_invalid:
            return
        current = self._statements.get(upstream.incarnation)
        previous = 0.0
        if head.limit_per_s is None:
            if current is None or current.requests_per_s is None:
                return
            # A response that was under way when the limit was stated, or that
            # another program sent, does not end it.
            if not head.sealed or sent_at < current.seen_at:
                return
            previous = current.requests_per_s
        self._last_number += 1
        self._set(
            Statement(
                upstream.incarnation,
                head.limit_per_s,
                previous,
                now,
                self._origin,
                self._last_number,
            )
        )

    def merge(self, statements: Iterable[Statement]) -> None:
        """Adopts the statements of another node that are later."""
        for statement in statements:
            current = self._statements.get(statement.incarnation)
            if current is not None:
                is_known = (
                    statement.origin == current.origin
                    and statement.number <= current.number
                )
                if is_known or statement.seen_at <= current.seen_at:
                    continue
            self._set(statement)

    def list_all(self) -> list[Statement]:
        """Returns the latest statement of each upstream."""
        return list(self._statements.values())

    def export(self, node: str, now: float) -> list[Statement]:
        """Returns the statements to send to another node.

        Args:
            node: Address of the node.
            now: Monotonic time in seconds.
        """
        sent = {
            incarnation: (limit, at)
            for incarnation, (limit, at) in self._sent.get(node, {}).items()
            if now - at < RESEND_S
        }
        due = []
        for incarnation, statement in self._statements.items():
            known = sent.get(incarnation)
            if known is not None and known[0] == statement.requests_per_s:
                continue
            sent[incarnation] = (statement.requests_per_s, now)
            due.append(statement)
        self._sent[node] = sent
        return due

    def get(self, incarnation: Incarnation) -> Statement | None:
        """Returns the latest statement of an upstream."""
        return self._statements.get(incarnation)

    def get_limit(self, incarnation: Incarnation, now: float) -> float | None:
        """Returns the limit in requests per second, or `None` for no limit.

        After the end of a limit a rising one applies for a moment.
        """
        statement = self._statements.get(incarnation)
        if statement is None:
            return None
        if statement.requests_per_s is not None:
            return statement.requests_per_s
        elapsed_s = max(0.0, now - statement.seen_at)
        if elapsed_s >= RAMP_S:
            return None
        first = max(MIN_RAMP_PER_S, statement.previous_per_s)
        return first * RAMP_GROWTH_PER_S**elapsed_s

    def count_limited(self) -> int:
        """Returns the number of upstreams that state a limit."""
        return sum(
            statement.requests_per_s is not None
            for statement in self._statements.values()
        )

    def take_changes(self) -> list[Statement]:
        """Returns the changed limits since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes

    def evict_expired(self, known: Iterable[Incarnation], now: float) -> None:
        """Drops old statements that concern no known upstream or no limit."""
        # Mostly no upstream states a limit, and there is nothing to look up.
        kept = set(known) if self._statements else set()
        for incarnation, statement in list(self._statements.items()):
            if now - statement.seen_at < STATEMENT_TTL_S:
                continue
            if statement.requests_per_s is None or incarnation not in kept:
                del self._statements[incarnation]
        for node, sent in list(self._sent.items()):
            if all(now - at >= RESEND_S for _, at in sent.values()):
                del self._sent[node]

    def _set(self, statement: Statement) -> None:
        current = self._statements.get(statement.incarnation)
        self._statements[statement.incarnation] = statement
        before = current.requests_per_s if current is not None else None
        if statement.requests_per_s == before:
            return
        if len(self._changes) < MAX_CHANGES:
            self._changes.append(statement)
