"""Orders to engines: what to load, and when an order may be sent."""

from collections.abc import Mapping
import dataclasses
import enum

from sycamorehollow.decisions import components
from sycamorehollow.decisions.operations import leases
from sycamorehollow.model import commands
from sycamorehollow.model import events

ORDER_TIMEOUT_S = 2.0
# Reports lag; one that was asked for sooner may not show the order yet.
REPORT_LAG_S = 5.0


class Action(enum.Enum):
    """What an order asks an engine to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclasses.dataclass(frozen=True)
class Target:
    """What an upstream should serve.

    Attributes:
        versions: Versions that should be loaded.
        role: Role that it should have; empty leaves the role alone.
        checks_fence: Whether it refuses orders with an old fencing token.
    """

    versions: frozenset[str]
    role: str = ""
    checks_fence: bool = False


@dataclasses.dataclass(frozen=True)
class TargetsChanged(events.Event):
    """Other targets are in force."""

    targets: Mapping[str, Target]


@dataclasses.dataclass(frozen=True)
class EngineReported(events.Event):
    """An upstream reported its state.

    Attributes:
        upstream: Name of the upstream.
        versions: Versions that are loaded.
        role: Its role.
        requested_at: Monotonic time in seconds at which the report
            was requested.
    """

    upstream: str
    versions: frozenset[str]
    role: str
    requested_at: float


@dataclasses.dataclass(frozen=True)
class OrderEnded(events.Event):
    """An order was accepted, was refused or got no answer.

    Attributes:
        number: Number of the order.
        upstream: Name of the upstream.
        is_token_stale: Whether the engine refused the fencing token as old.
    """

    number: int
    upstream: str
    is_token_stale: bool = False


@dataclasses.dataclass(frozen=True)
class WeightLoadThrottled(events.Event):
    """The weight store refused a load for its rate limit (429)."""

    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class SendOrder(commands.Command):
    """Asks for `POST /v1/orders` at an engine.

    Attributes:
        number: Comes back in `OrderEnded`.
        upstream: Name of the upstream.
        action: What to do.
        version: Version to load or unload; empty for a role.
        role: Role to take; empty for a version.
        fencing_token: Fencing token.
        timeout_s: Seconds after which the connection is closed.
        send_before: Monotonic time in seconds. The shell reads the clock just
            before it writes and drops the order if this time has passed.
    """

    number: int
    upstream: str
    action: Action
    version: str
    role: str
    fencing_token: int
    timeout_s: float
    send_before: float


@dataclasses.dataclass(frozen=True)
class FencingTokenStale(commands.Command):
    """Tells that a newer holder exists; no order goes out under this token."""

    fencing_token: int


class LoadRateLimiter:
    """This holder's part of the weight store's rate limit.

    The parts are fixed by the configured number of holders, so they add up to
    the limit whatever each holder believes of the others.
    """

    def __init__(self, loads_per_s: float, holders: int):
        """Sets the part.

        Args:
            loads_per_s: Rate limit of the weight store.
            holders: Number of leases under which loads are ordered.
        """
        self._rate = loads_per_s / holders
        # Empty at first: the holder before may have just used its part.
        self._tokens = 0.0
        self._filled: float | None = None
        self._paused_until = float("-inf")

    def pause_until(self, resume_at: float) -> None:
        """Allows no load before a time, after the weight store refused one."""
        self._paused_until = max(self._paused_until, resume_at)

    def try_acquire(self, now: float) -> bool:
        """Takes one load out of the budget; tells whether there was one."""
        if now < self._paused_until:
            return False
        if self._filled is not None:
            gained = (now - self._filled) * self._rate
            # More than one saved load would let all holders burst together.
            self._tokens = min(1.0, self._tokens + gained)
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass
class _Engine:
    """What is known of one engine.

    Attributes:
        observed: The latest report.
        pending: Number of the order under way, or 0.
        ordered: When the last order ended, or was sent if it is under way.
    """

    observed: EngineReported | None = None
    pending: int = 0
    ordered: float = float("-inf")


class Orders(components.Component):
    """Brings engines to their targets, one order at a time each.

    An order is sent only for a difference that a report from after the last
    order shows, so a repeated round orders nothing twice.
    """

    def __init__(self, lease: leases.Lease, budget: LoadRateLimiter):
        self._lease = lease
        self._budget = budget
        self._targets: Mapping[str, Target] = {}
        self._engines: dict[str, _Engine] = {}
        self._number = 0
        self._stale_fence = 0

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; a tick starts a round."""
        if isinstance(event, events.Tick):
            return self._reconcile(now)
        if isinstance(event, TargetsChanged):
            self._targets = event.targets
            self._engines = {
                name: self._engines.get(name, _Engine())
                for name in event.targets
            }
            return []
        if isinstance(event, WeightLoadThrottled):
            self._budget.pause_until(now + event.retry_after_s)
            return []
        if isinstance(event, EngineReported):
            engine = self._engines.get(event.upstream)
            if engine is not None:
                engine.observed = event
            return []
        if isinstance(event, OrderEnded):
            return self._end(event, now)
        return []

    def _end(self, event: OrderEnded, now: float) -> list[commands.Command]:
        """Waits for a later report before the engine is ordered again."""
        engine = self._engines.get(event.upstream)
        if engine is not None and engine.pending == event.number:
            engine.pending = 0
            engine.ordered = now
        holding = self._lease.get_held_lease(now)
        if not event.is_token_stale or holding is None:
            return []
        self._stale_fence = holding.fencing_token
        return [FencingTokenStale(holding.fencing_token)]

    def _reconcile(self, now: float) -> list[commands.Command]:
        """Returns the orders that may be sent now."""
        holding = self._lease.get_held_lease(now)
        if holding is None or holding.fencing_token <= self._stale_fence:
            return []
        result: list[commands.Command] = []
        for name, target in self._targets.items():
            # Without a check at the engine, an order must end within the
            # lease: nothing else keeps it from acting under the next holder.
            needed_s = 0.0 if target.checks_fence else ORDER_TIMEOUT_S
            if holding.valid_until - now <= needed_s:
                continue
            engine = self._engines[name]
            if engine.pending or engine.observed is None:
                continue
            if engine.observed.requested_at < engine.ordered + REPORT_LAG_S:
                continue
            wanted = self._compare(target, engine.observed, now)
            if wanted is None:
                continue
            self._number += 1
            engine.pending = self._number
            engine.ordered = now
            action, version, role = wanted
            result.append(
                SendOrder(
                    self._number,
                    name,
                    action,
                    version,
                    role,
                    holding.fencing_token,
                    ORDER_TIMEOUT_S,
                    holding.valid_until - needed_s,
                )
            )
        return result

    def _compare(
        self, target: Target, observed: EngineReported, now: float
    ) -> tuple[Action, str, str] | None:
        """Returns the next order for an engine, or `None`."""
        for version in sorted(target.versions - observed.versions):
            if self._budget.try_acquire(now):
                return Action.LOAD, version, ""
            return None
        # Unloading comes after loading, so that no version is missing.
        for version in sorted(observed.versions - target.versions):
            return Action.UNLOAD, version, ""
        if target.role and target.role != observed.role:
            return Action.ROLE, "", target.role
        return None
