"""Reconciliation of engines with their targets by orders.

Orders load or unload versions and set the role. They are sent only by the
holder of a lease and carry its fencing token.
"""

from collections.abc import Mapping
import dataclasses
import enum

from sycamorehollow.decisions import components
from sycamorehollow.decisions.operations import leases
from sycamorehollow.model import commands
from sycamorehollow.model import events

ORDER_TIMEOUT_S = 2.0
# A report requested sooner after an order may not show its effect yet.
REPORT_LAG_S = 5.0


class Action(enum.Enum):
    """Action of an order."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclasses.dataclass(frozen=True)
class Target:
    """Desired state of an upstream.

    Attributes:
        versions: Versions to have loaded.
        role: Role to have; empty leaves the role unchanged.
        checks_fence: Whether it rejects orders with an old fencing token.
    """

    versions: frozenset[str]
    role: str = ""
    checks_fence: bool = False


@dataclasses.dataclass(frozen=True)
class TargetsChanged(events.Event):
    """New targets came into force."""

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
    """An order was accepted, rejected or got no response.

    Attributes:
        number: Number of the order.
        upstream: Name of the upstream.
        is_token_stale: Whether the engine rejected the fencing token as old.
    """

    number: int
    upstream: str
    is_token_stale: bool = False


@dataclasses.dataclass(frozen=True)
class WeightLoadThrottled(events.Event):
    """The weight store rate-limited a load (429)."""

    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class SendOrder(commands.Command):
    """Requests `POST /v1/orders` at an engine.

    Attributes:
        number: Number to return in `OrderEnded`.
        upstream: Name of the upstream.
        action: Action to take.
        version: Version to load or unload; empty for a role.
        role: Role to set; empty for a version.
        fencing_token: Fencing token.
        timeout_s: Seconds after which the connection is closed.
        send_before: Monotonic time in seconds. The shell checks the clock just
            before it writes, and drops the order if this time has passed.
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
    """Reports a newer lease holder; the token is no longer used."""

    fencing_token: int


class LoadRateLimiter:
    """This holder's share of the weight store's rate limit.

    Shares are fixed by the configured number of holders, so they add up to the
    limit whatever each holder knows of the others.
    """

    def __init__(self, loads_per_s: float, holders: int):
        """Creates an empty token bucket.

        Args:
            loads_per_s: Rate limit of the weight store.
            holders: Number of leases under which loads are ordered.
        """
        self._rate = loads_per_s / holders
        # Empty at first: the previous holder may have just used its share.
        self._tokens = 0.0
        self._refilled_at: float | None = None
        self._resume_at = float("-inf")

    def pause_until(self, resume_at: float) -> None:
        """Allows no load before a time, after a rate-limited one."""
        self._resume_at = max(self._resume_at, resume_at)

    def try_acquire(self, now: float) -> bool:
        """Takes one load; returns whether the limit allows it."""
        if now < self._resume_at:
            return False
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._rate
            # With more than one saved load all holders could burst at once.
            self._tokens = min(1.0, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass
class _Engine:
    """State of one engine.

    Attributes:
        report: The latest report.
        pending: Number of the order in progress, or 0.
        ordered_at: When the last order ended, or was sent if in progress.
    """

    report: EngineReported | None = None
    pending: int = 0
    ordered_at: float = float("-inf")


class EngineReconciler(components.Component):
    """Brings engines to their targets, one order per engine at a time.

    An order is sent only for a difference in a report that was requested after
    the last order, so that a repeated round orders nothing twice.
    """

    def __init__(self, lease: leases.Lease, budget: LoadRateLimiter):
        self._lease = lease
        self._budget = budget
        self._targets: Mapping[str, Target] = {}
        self._engines: dict[str, _Engine] = {}
        self._number = 0
        self._stale_fence = 0

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event; a tick starts a round."""
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
                engine.report = event
            return []
        if isinstance(event, OrderEnded):
            return self._end_order(event, now)
        return []

    def _end_order(
        self, event: OrderEnded, now: float
    ) -> list[commands.Command]:
        """Ends an order; the next one needs a later report."""
        engine = self._engines.get(event.upstream)
        if engine is not None and engine.pending == event.number:
            engine.pending = 0
            engine.ordered_at = now
        lease = self._lease.get_held_lease(now)
        if not event.is_token_stale or lease is None:
            return []
        self._stale_fence = lease.fencing_token
        return [FencingTokenStale(lease.fencing_token)]

    def _reconcile(self, now: float) -> list[commands.Command]:
        """Returns the orders that may be sent now."""
        lease = self._lease.get_held_lease(now)
        if lease is None or lease.fencing_token <= self._stale_fence:
            return []
        result: list[commands.Command] = []
        for name, target in self._targets.items():
            # If the engine does not check the fencing token, the order must end
            # while the lease is valid: nothing else keeps it from taking effect
            # under the next holder.
            needed_s = 0.0 if target.checks_fence else ORDER_TIMEOUT_S
            if lease.valid_until - now <= needed_s:
                continue
            engine = self._engines[name]
            if engine.pending or engine.report is None:
                continue
            if engine.report.requested_at < engine.ordered_at + REPORT_LAG_S:
                continue
            order = self._choose_order(target, engine.report, now)
            if order is None:
                continue
            self._number += 1
            engine.pending = self._number
            engine.ordered_at = now
            action, version, role = order
            result.append(
                SendOrder(
                    self._number,
                    name,
                    action,
                    version,
                    role,
                    lease.fencing_token,
                    ORDER_TIMEOUT_S,
                    lease.valid_until - needed_s,
                )
            )
        return result

    def _choose_order(
        self, target: Target, report: EngineReported, now: float
    ) -> tuple[Action, str, str] | None:
        """Returns action, version and role of the next order, or `None`."""
        for version in sorted(target.versions - report.versions):
            if self._budget.try_acquire(now):
                return Action.LOAD, version, ""
            return None
        # Unloads follow loads, so that the engine always serves a version.
        for version in sorted(report.versions - target.versions):
            return Action.UNLOAD, version, ""
        if target.role and target.role != report.role:
            return Action.ROLE, "", target.role
        return None
