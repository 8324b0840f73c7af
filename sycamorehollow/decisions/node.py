"""Event loop of the decision components of one entry process.

Components return commands. The node routes those meant for another component
inside the process and passes the rest to the shells.
"""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Any

from sycamorehollow.decisions import components
from sycamorehollow.decisions import node_components
from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.calls import call_messages
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.decisions.operations import configuration_messages
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import leases
from sycamorehollow.decisions.operations import operator_drains
from sycamorehollow.decisions.operations import orders
from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.decisions.releases import stops
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import payloads
from sycamorehollow.decisions.replication import records
from sycamorehollow.decisions.requests import active_requests
from sycamorehollow.decisions.requests import quarantine
from sycamorehollow.decisions.routing import admission
from sycamorehollow.decisions.routing import cold_start_limiter
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import identity
from sycamorehollow.model import lifecycle

EXCHANGE_INTERVAL_S = 1.0
SLOW_INTERVAL_S = 0.25
EMPTY_DIGEST = b"{}"


@dataclasses.dataclass(frozen=True)
class PublishDeployment(commands.Command):
    """Publish the configuration in force to the shells."""

    current: deployment.Deployment


@dataclasses.dataclass(frozen=True)
class ReportMember(commands.Command):
    """Report a changed member record to operators."""

    member: members.Member


class _TickThrottle:
    """Limits the ticks of a component to its own interval."""

    def __init__(self, part: components.Component, interval_s: float):
        self.component = part
        self._interval_s = interval_s
        self._due_at = float("-inf")

    def accepts(self, event: events.Event, now: float) -> bool:
        """Returns whether the component is given an event now."""
        if not isinstance(event, events.Tick):
            return True
        if now < self._due_at:
            return False
        self._due_at = now + self._interval_s
        return True


class _CoordinatorLease(components.Component):
    """Passes ticks to a lease only while this process is the coordinator.

    A held lease continues to get ticks, so that it is renewed or expires.
    """

    def __init__(self, lease: leases.Lease, node: "Node"):
        self._lease = lease
        self._node = node

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        is_inactive = isinstance(event, events.Tick) and not (
            self._node.is_coordinator() or self._lease.get_held_lease(now)
        )
        return [] if is_inactive else self._lease.handle(event, now)


class Node(node_components.NodeComponents, components.Component):
    """Drives all components and passes messages between them.

    Args:
        options: Values from the settings of the node.
        rng: Source of random numbers.
        now: Monotonic time in seconds of the start.
    """

    def __init__(
        self,
        options: node_components.Options,
        rng: random.Random,
        now: float,
    ):
        super().__init__(options, rng, now)
        self._components = self._list_components()
        self._routes = self._build_routes()

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event and all messages that follow inside the node."""
        pending: collections.deque[Any] = collections.deque([event])
        result: list[commands.Command] = []
        while pending:
            message = pending.popleft()
            if isinstance(message, events.Event):
                for throttled in self._components:
                    if throttled.accepts(message, now):
                        pending.extend(throttled.component.handle(message, now))
                continue
            route = self._routes.get(type(message))
            if route is None:
                result.append(message)
                continue
            pending.extend(route(message, now))
        return result

    def _list_components(self) -> list[_TickThrottle]:
        fast = [self.router, self.billing, self.key_calls, self.ticket_calls]
        slow = [
            *self.placement.list_components(),
            self.configuration,
            self.drains,
            operator_drains.OperatorDrains(self.records),
            self.learning,
            self.evidence,
            self.cascades,
            self.rollouts,
            self.spool,
        ]
        return [
            *[_TickThrottle(component, 0.0) for component in fast],
            *[_TickThrottle(component, SLOW_INTERVAL_S) for component in slow],
            _TickThrottle(self.exchange, EXCHANGE_INTERVAL_S),
            _TickThrottle(
                _CoordinatorLease(self.order_lease, self), SLOW_INTERVAL_S
            ),
            _TickThrottle(self.orders, EXCHANGE_INTERVAL_S),
        ]

    def _build_routes(self) -> dict[type, Callable[[Any, float], list[Any]]]:
        return {
            active_requests.ReplicateBill: self._replicate_bill,
            billing_messages.ReleaseResponse: self._release_answer,
            cold_start_limiter.PushColdState: self._push_cold_state,
            configuration_messages.StartExchanges: self._ask_peers,
            configuration_messages.ConfigurationChanged: self._deploy,
            configuration_messages.PushDeltaTo: self._push_changes,
            drains.MarkCold: self._mark_cold,
            call_messages.SpoolOutcome: self._spool_outcome,
            members.MemberChanged: self._change_members,
            payloads.PushDelta: self._push,
            quarantine.PushQuarantine: self._push_quarantine,
            records.RecordChanged: self._change_records,
            stops.PushStops: self._push_stops,
        }

    def _deploy(
        self, command: configuration_messages.ConfigurationChanged, now: float
    ) -> list[Any]:
        current = command.deployment
        applied = self.placement.apply(current, now)
        return [
            admission.CapacityChanged(self.placement.compute_capacity_tokens()),
            orders.TargetsChanged(self._build_targets(current)),
            drains.DeploymentChanged(current),
            quality_estimator.DeploymentChanged(current),
            rollouts.DeploymentChanged(current),
            # A process without peers never gets a member change.
            rollouts.CoordinatorChanged(self.is_coordinator()),
            lifecycle.DeploymentChanged(current),
            *applied,
            PublishDeployment(current),
        ]

    def _build_targets(
        self, current: deployment.Deployment
    ) -> dict[str, orders.Target]:
        """Returns the target versions of the engines in this data centre."""
        return {
            upstream.name: orders.Target(
                frozenset(upstream.versions),
                checks_fence=upstream.checks_fence,
            )
            for upstream in current.upstreams.values()
            if upstream.versions
            and upstream.data_centre == self.process.data_centre
        }

    def _change_members(
        self, command: members.MemberChanged, now: float
    ) -> list[Any]:
        process = self.process
        live = [
            member
            for member in self.membership.list_live()
            if member.address != process.address
        ]
        own = self.membership.list_live(process.data_centre)
        self.placement.capacity.set_members(len(own))
        result: list[Any] = [
            configuration_messages.MembersUpdated(
                tuple(
                    configuration_messages.Peer(
                        member.address, member.data_centre
                    )
                    for member in live
                )
            ),
            admission.CapacityChanged(self.placement.compute_capacity_tokens()),
            billing_messages.PeersChanged(
                tuple(_identify(member) for member in live)
            ),
            rollouts.CoordinatorChanged(self.is_coordinator()),
            ReportMember(command.after),
        ]
        before, after = command.before, command.after
        if before is not None and before.incarnation < after.incarnation:
            result.append(billing_messages.OriginEnded(_identify(before)))
        if not after.is_live:
            result.append(billing_messages.OriginEnded(_identify(after)))
        elif before is not None and not before.is_live:
            result.append(billing_messages.OriginRevived(_identify(after)))
        return result

    def _change_records(
        self, command: records.RecordChanged, now: float
    ) -> list[Any]:
        drained = self.records.list_kind(drains.DRAIN_KIND, now)
        return [drains.RecordsChanged(tuple(drained))]

    def _mark_cold(self, command: drains.MarkCold, now: float) -> list[Any]:
        return [upstream_events.ReturnedToService(command.upstream)]

    def _replicate_bill(
        self, command: active_requests.ReplicateBill, now: float
    ) -> list[Any]:
        token = command.request_id if command.urgent else ""
        return [billing_messages.BillReady(token, command.bill)]

    def _release_answer(
        self, command: billing_messages.ReleaseResponse, now: float
    ) -> list[Any]:
        return list(self.router.release(command.token, now))

    def _spool_outcome(
        self, command: call_messages.SpoolOutcome, now: float
    ) -> list[Any]:
        return [billing_messages.OutcomeReady(command.key, command.value)]

    def _ask_peers(
        self, command: configuration_messages.StartExchanges, now: float
    ) -> list[Any]:
        return list(self.exchange.start_exchanges(command.targets, now))

    def _push_changes(
        self, command: configuration_messages.PushDeltaTo, now: float
    ) -> list[Any]:
        item = exchange.Item(
            command.kind + exchange.DELTA_SUFFIX, command.delta
        )
        return [
            exchange.SendCall(target, self.process, (item,))
            for target in command.targets
        ]

    def _push(self, command: payloads.PushDelta, now: float) -> list[Any]:
        return list(self.exchange.push_delta(command))

    def _push_cold_state(
        self, command: cold_start_limiter.PushColdState, now: float
    ) -> list[Any]:
        cold = self.placement.cold_start_limiter
        return [
            payloads.PushDelta(
                cold.kind, cold.encode_upstream(command.upstream)
            )
        ]

    def _push_quarantine(
        self, command: quarantine.PushQuarantine, now: float
    ) -> list[Any]:
        state = self.quarantine
        return [
            payloads.PushDelta(state.kind, state.build_delta(EMPTY_DIGEST, now))
        ]

    def _push_stops(self, command: stops.PushStops, now: float) -> list[Any]:
        delta = self.stops.encode(command.stops)
        return [
            payloads.PushDelta(self.stops.kind, delta),
            stops.ReportStops(command.stops),
        ]


def _identify(member: members.Member) -> identity.Process:
    return identity.Process(
        member.address, member.data_centre, member.incarnation
    )
