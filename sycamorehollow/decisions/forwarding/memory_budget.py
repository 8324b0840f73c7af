"""Account of the memory that the requests of callers hold.

Every connection of a caller has a holding. A request is admitted when its size
fits the budget; until then its connection is not read from. Requests that wait
are admitted by size, less what they have waited, so that small ones are not
starved by large ones, nor large ones by a sequence of small ones.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import enum

MB = 1 << 20
# The program without requests (measured: 61 to 65 MB), and what it needs for
# work that is not counted.
PROGRAM_BYTES = 76 * MB
# The rest of the memory that is not counted: fragmentation, and bytes that the
# kernel has received on connections that are read from.
MARGIN_SHARE = 1 / 8
MIN_BUDGET_BYTES = 8 * MB
# Descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200
# The rest of the descriptors is for connections to upstreams and nodes.
CONNECTION_SHARE = 2 / 3
MIN_CONNECTIONS = 16
# Requests up to this size may use the share of the budget that is kept free of
# larger ones.
SMALL_REQUEST_BYTES = 64 * 1024
SMALL_SHARE = 1 / 4
# Share of the budget that bytes of waiting requests may take, and the share
# that has to remain free beside them. A crowd of waiting requests would
# otherwise leave no room for themselves and for small ones.
WAITING_SHARE = 1 / 4
FREE_SHARE = 1 / 8
# Bytes by which a waiting request counts as smaller per second of its wait.
AGING_BYTES_PER_S = MB
# Time that a request waits before another one is closed in its favour.
CLOSE_AFTER_S = 0.5
# Share of the budget that is released by closing connections at one check.
CLOSE_SHARE = 1 / 16
# Time over which the progress of a request is measured.
PROGRESS_WINDOW_S = 1.0
# Time for which a caller that takes nothing keeps its response while requests
# wait, and while the budget is exceeded.
STALLED_READER_S = 5.0
STALLED_READER_SHORT_S = 1.0
# A longer time between checks was a pause of this process.
PAUSE_S = 0.5


class Kind(enum.IntEnum):
    """What memory is held for."""

    CONNECTION = 0
    HEAD = 1
    BODY = 2
    # Bytes received but not parsed, in this process or in the kernel.
    UNREAD = 3
    HANDLING = 4
    RESPONSE = 5


class Reason(enum.Enum):
    """Why a connection is closed or a request is refused."""

    WAITED = "waited"
    NO_PROGRESS = "no progress"
    STALLED_READER = "stalled reader"
    IDLE = "idle"
    CONNECTIONS = "connections"
    NO_ROOM = "no room"


@dataclasses.dataclass(eq=False)
class Holding:
    """Memory held by one connection.

    Attributes:
        held: Bytes by kind.
        need: Bytes that its unfinished request waits for; 0 if none.
        waits_since: Time at which it began to wait.
        reads_since: Time at which its unfinished body was admitted; `None`
            while no body is being read.
        remaining: Bytes that its unfinished body still lacks.
        idle_since: Time at which it became idle; `None` while it is in use.
        head_since: Time of the first byte of an unfinished head.
        stalled_since: Time since which its caller takes no response.
    """

    held: list[int] = dataclasses.field(default_factory=lambda: [0] * len(Kind))
    need: int = 0
    waits_since: float = 0.0
    reads_since: float | None = None
    remaining: int = 0
    idle_since: float | None = None
    head_since: float | None = None
    stalled_since: float | None = None
    window_from: float = 0.0
    window_bytes: int = 0
    rate: float = 0.0


@dataclasses.dataclass(frozen=True)
class Order:
    """What to do with a connection.

    Attributes:
        reason: Why it is refused; `None` if its request is admitted.
        size: Bytes that were admitted.
    """

    holding: Holding
    reason: Reason | None = None
    size: int = 0


class MemoryBudget:
    """Decides which requests are read.

    Args:
        limit_bytes: Bytes that all connections may hold together.
        max_connections: Number of open connections.
        wait_s: Time after which a request that finds no room is refused.

    Attributes:
        total: Bytes held.
        held: Bytes held by kind.
    """

    def __init__(
        self, limit_bytes: float, max_connections: float, wait_s: float
    ):
        self.limit_bytes = limit_bytes
        self.max_connections = max_connections
        self.wait_s = wait_s
        self.total = 0
        self.held = [0] * len(Kind)
        self._holdings: dict[Holding, None] = {}
        self._waiting: dict[Holding, None] = {}
        self._checked_at: float | None = None
        # Size of the smallest request refused since the last check.
        self._refused_bytes = float("inf")

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def is_short(self) -> bool:
        """Whether a request waits or was refused, or too much is held."""
        return (
            bool(self._waiting)
            or self.total > self.limit_bytes
            or self._refused_bytes < float("inf")
        )

    def open(self, size: int, now: float) -> Holding:
        """Returns the holding of a new connection of a size."""
        holding = Holding(idle_since=now)
        self._holdings[holding] = None
        self.add(holding, Kind.CONNECTION, size)
        return holding

    def close(self, holding: Holding) -> None:
        """Releases all that a connection holds."""
        self._waiting.pop(holding, None)
        if holding not in self._holdings:
            return
        del self._holdings[holding]
        for kind, size in enumerate(holding.held):
            self.held[kind] -= size
            self.total -= size

    def add(self, holding: Holding, kind: Kind, size: int) -> None:
        """Adds bytes, or removes them if the size is negative."""
        if holding not in self._holdings:
            return
        holding.held[kind] += size
        self.held[kind] += size
        self.total += size

    def fits(self, size: int) -> bool:
        """Tells whether a request of a size fits now."""
        limit = self.limit_bytes
        if size > SMALL_REQUEST_BYTES:
            limit *= 1 - SMALL_SHARE
        return self.total + size <= limit

    def admit(self, holding: Holding, kind: Kind, size: int) -> bool:
        """Adds bytes of a request if they fit and none goes before it."""
        is_small = size <= SMALL_REQUEST_BYTES
        if not self.fits(size) or (self._waiting and not is_small):
            return False
        self.add(holding, kind, size)
        return True

    def note_refusal(self, size: int) -> None:
        """Records that a request of a size was refused without a wait."""
        self._refused_bytes = min(self._refused_bytes, size)

    def may_wait(self, unread: int) -> bool:
        """Tells whether a request may wait with bytes that are not read."""
        waiting = self.held[Kind.UNREAD] + unread
        return (
            waiting <= self.limit_bytes * WAITING_SHARE
            and self.total + unread <= self.limit_bytes * (1 - FREE_SHARE)
        )

    def wait(self, holding: Holding, size: int, now: float) -> None:
        """Lets a body wait for room."""
        holding.need = size
        holding.waits_since = now
        holding.reads_since = None
        self._waiting[holding] = None

    def begin_body(self, holding: Holding, remaining: int, now: float) -> None:
        """Records that a body is being read."""
        holding.reads_since = holding.window_from = now
        holding.window_bytes = 0
        holding.remaining = remaining
        holding.rate = float("inf")

    def record_progress(self, holding: Holding, size: int) -> None:
        """Records bytes of the body that is being read."""
        holding.window_bytes += size
        holding.remaining -= size

    def end_body(self, holding: Holding) -> None:
        """Records that no body is read or waits any more."""
        holding.reads_since = None
        self._waiting.pop(holding, None)
        holding.need = 0

    def check(
        self, now: float, is_unused: Callable[[Holding], bool]
    ) -> list[Order]:
        """Returns what to do now that memory was released or time passed.

        Args:
            now: Time of the check.
            is_unused: Tells whether an idle connection may be closed.
        """
        self._forgive_pause(now)
        orders = list(self._admit_waiting(now))
        for holding in list(self._waiting):
            if now - holding.waits_since > self.wait_s:
                self._waiting.pop(holding)
                orders.append(Order(holding, Reason.WAITED))
        self._update_rates(now)
        oldest = min(
            (h.waits_since for h in self._waiting), default=float("inf")
        )
        is_full = (
            self.total > self.limit_bytes
            or self._refused_bytes <= SMALL_REQUEST_BYTES
        )
        was_refused = self._refused_bytes < float("inf")
        self._refused_bytes = float("inf")
        if is_full or was_refused or now - oldest > CLOSE_AFTER_S:
            orders += self._close_some(now, is_full, is_unused)
        return orders

    def _admit_waiting(self, now: float) -> Iterator[Order]:
        while self._waiting:
            holding = min(
                self._waiting,
                key=lambda h: (
                    h.need - (now - h.waits_since) * AGING_BYTES_PER_S
                ),
            )
            # What waits in the kernel and in this process becomes its body.
            unread = holding.held[Kind.UNREAD]
            if not self.fits(holding.need - min(unread, holding.need)):
                return
            self._waiting.pop(holding)
            self.add(holding, Kind.UNREAD, -unread)
            self.add(holding, Kind.BODY, holding.need)
            size, holding.need = holding.need, 0
            yield Order(holding, size=size)

    def _update_rates(self, now: float) -> None:
        for holding in self._holdings:
            if holding.reads_since is None:
                continue
            elapsed_s = now - holding.window_from
            if elapsed_s >= PROGRESS_WINDOW_S:
                holding.rate = holding.window_bytes / elapsed_s
                holding.window_from, holding.window_bytes = now, 0

    def _close_some(
        self, now: float, is_full: bool, is_unused: Callable[[Holding], bool]
    ) -> list[Order]:
        """Closes connections until a share of the budget is released."""
        orders: list[Order] = []
        released = 0.0
        for order in self._list_victims(now, is_full):
            if released >= self.limit_bytes * CLOSE_SHARE:
                return orders
            orders.append(order)
            order.holding.reads_since = order.holding.stalled_since = None
            released += sum(order.holding.held)
        if not orders and is_full:
            idle = self.choose_idle(Reason.IDLE, is_unused)
            orders = [idle] if idle is not None else []
        return orders

    def _list_victims(self, now: float, is_full: bool) -> list[Order]:
        """Returns the unfinished requests, those of least progress first.

        One that will probably be complete before those that wait are refused
        is not closed for them. After these come callers that take no response.
        """
        slow = [
            holding
            for holding in self._holdings
            if holding.reads_since is not None
            and holding.rate * self.wait_s < holding.remaining
        ]
        limit_s = STALLED_READER_SHORT_S if is_full else STALLED_READER_S
        stalled = [
            (holding.stalled_since, number, holding)
            for number, holding in enumerate(self._holdings)
            if holding.stalled_since is not None
            and now - holding.stalled_since > limit_s
        ]
        slow.sort(key=lambda h: h.rate)
        return [Order(h, Reason.NO_PROGRESS) for h in slow] + [
            Order(h, Reason.STALLED_READER) for _, _, h in sorted(stalled)
        ]

    def choose_idle(
        self, reason: Reason, is_unused: Callable[[Holding], bool]
    ) -> Order | None:
        """Returns the connection that has been idle for longest."""
        idle = [h for h in self._holdings if h.idle_since is not None]
        for holding in sorted(idle, key=lambda h: h.idle_since or 0.0):
            # A request may be in transit on it.
            if is_unused(holding):
                return Order(holding, reason)
        return None

    def choose_unfinished(self, reason: Reason) -> Order | None:
        """Returns the unfinished request that makes the least progress.

        Heads come first, the oldest of them before the others, then bodies
        that wait, then those that are read.
        """
        heads = [h for h in self._holdings if h.head_since is not None]
        if heads:
            return Order(min(heads, key=lambda h: h.head_since or 0.0), reason)
        if self._waiting:
            return Order(max(self._waiting, key=lambda h: h.need), reason)
        bodies = [h for h in self._holdings if h.reads_since is not None]
        if bodies:
            return Order(min(bodies, key=lambda h: h.rate), reason)
        return None

    def _forgive_pause(self, now: float) -> None:
        """Moves all times by the length of a pause of this process."""
        checked_at, self._checked_at = self._checked_at, now
        if checked_at is None or now - checked_at < PAUSE_S:
            return
        pause_s = now - checked_at
        for holding in self._holdings:
            holding.waits_since = min(now, holding.waits_since + pause_s)
            holding.window_from = min(now, holding.window_from + pause_s)
            if holding.stalled_since is not None:
                holding.stalled_since = min(
                    now, holding.stalled_since + pause_s
                )

    def end_checks(self) -> None:
        """Notes that no checks are made until the budget is short again."""
        self._checked_at = None


def compute_limit(memory_mb: float) -> float:
    """Returns the budget in bytes of a process with an amount of memory."""
    if not memory_mb:
        return float("inf")
    memory = memory_mb * MB
    return max(MIN_BUDGET_BYTES, memory * (1 - MARGIN_SHARE) - PROGRAM_BYTES)


def compute_max_connections(max_descriptors: int) -> float:
    """Returns the number of callers' connections of a process."""
    if not max_descriptors:
        return float("inf")
    usable = (max_descriptors - RESERVED_DESCRIPTORS) * CONNECTION_SHARE
    return max(MIN_CONNECTIONS, int(usable))
