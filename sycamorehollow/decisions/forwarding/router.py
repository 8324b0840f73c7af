"""State of the deployment at a node, and the policies that use it."""

import dataclasses
import random

from sycamorehollow.decisions.forwarding import admission_queue
from sycamorehollow.decisions.forwarding import canary
from sycamorehollow.decisions.forwarding import cascade
from sycamorehollow.decisions.forwarding import cold_start_limiter
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import engine_placement
from sycamorehollow.decisions.forwarding import isolation
from sycamorehollow.decisions.forwarding import node_ranks
from sycamorehollow.decisions.forwarding import part_quarantine
from sycamorehollow.decisions.forwarding import permit_loans
from sycamorehollow.decisions.forwarding import prefix_index
from sycamorehollow.decisions.forwarding import quarantine
from sycamorehollow.decisions.forwarding import rate_limiter
from sycamorehollow.decisions.forwarding import response_times
from sycamorehollow.decisions.forwarding import retry_budget
from sycamorehollow.decisions.forwarding import route_table
from sycamorehollow.decisions.forwarding import stated_limits
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.decisions.forwarding import upstream_notices
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import events
from sycamorehollow.model import forwarding
from sycamorehollow.settings import gateway

# Share of an upstream's connections that may be idle, and the maximum number of
# idle connections per node and upstream.
IDLE_CONNECTION_SHARE = 0.5
MAX_IDLE_CONNECTIONS = 32
# Changes kept for the log until it takes them.
MAX_CHANGES = 256


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of the state, for the log."""

    subject: str
    outcome: str


class Router:
    """Combines the policies for forwarded requests.

    Attributes:
        route_table: Routes and keys in force; `None` until they are known.
        directory: The upstreams.
        node_ranks: Ranks of this node among all nodes.
        cold_start_limiter: Rate limits for cold upstreams.
        stated_limits: Request limits that upstreams state.
        rate_limiter: Keeps the nodes within these limits.
        permit_loans: Permits that nodes lend to each other under these limits.
        watchers: Selection of the nodes to exchange state with.
        isolation: Whether this node reaches any upstream.
        helpers: Nodes that send on the requests of an isolated node.
        prefix_index: Prompt prefixes that upstreams have cached.
        placement: Selection of the upstream.
        retry_budget: Budget of retries per service.
        rollouts: Roll-outs that have orders.
        response_times: Response time statistics.
        admission_queue: Requests that wait for capacity.
        quarantine: Requests that crash upstreams.
        part_quarantine: Prompt parts that crash upstreams.
        delays: Recent delays of first responses.
        nodes: The registered nodes by name.
    """

    def __init__(self, settings: gateway.Settings, rng: random.Random):
        self.rng = rng
        self.route_table: route_table.RouteTable | None = None
        self.directory = directory.Directory(
            min(directory.REREGISTRATION_S, settings.drain_s)
        )
        self.node_ranks = node_ranks.NodeRanks(settings.node)
        self.cold_start_limiter = cold_start_limiter.ColdStartLimiter(
            self.node_ranks, settings.cold_factor, settings.cold_floor
        )
        # A restarted node counts from 0, so each process has its own counts.
        run = f"{settings.node}/{rng.getrandbits(32):x}"
        self.stated_limits = stated_limits.StatedLimits(run)
        self.rate_limiter = rate_limiter.RateLimiter(
            self.stated_limits, self.node_ranks, rng
        )
        self.watchers = watchers.Watchers(
            settings.node, settings.data_centre, rng
        )
        self.isolation = isolation.Isolation(rng)
        self.helpers = isolation.Helpers(
            settings.node, settings.data_centre, rng
        )
        self.permit_loans = permit_loans.PermitLoans(
            self.rate_limiter, self._can_ask, rng
        )
        self.prefix_index = prefix_index.PrefixIndex(settings.reuse_s)
        self.placement = engine_placement.EnginePlacement(
            settings.data_centre,
            self.directory,
            self.cold_start_limiter,
            self.rate_limiter,
            self.prefix_index,
            rng,
            settings.node,
        )
        self.retry_budget = retry_budget.RetryBudget(
            settings.retry_ratio, settings.retry_window_s, settings.retry_floor
        )
        self.rollouts = canary.Rollouts(
            run, settings.exposure_share, settings.exposure_floor
        )
        self.response_times = response_times.ResponseTimes(
            self.rollouts.is_in_service, self.rollouts.record_latency
        )
        self.admission_queue = admission_queue.AdmissionQueue()
        self.quarantine = quarantine.Quarantine()
        self.part_quarantine = part_quarantine.PartQuarantine(self.node_ranks)
        self.delays = cascade.DelayTracker()
        self.nodes: dict[str, watchers.Node] = {}
        self._evacuated: set[str] = set()
        self._changes: list[Change] = []

    def apply_event(self, event: events.Event, now: float) -> list[Change]:
        """Applies an event of the deployment and returns the changes."""
        match event:
            case updates.ConfigurationSet():
                return self._set_configuration(event.configuration)
            case updates.UpstreamSet():
                return self._register(event.upstream, now)
            case updates.UpstreamRemoved():
                return self._remove(event.identity, now)
            case updates.EvacuationSet():
                return self._evacuate(event)
            case updates.NodeSet():
                self.nodes[event.name] = event.node
                self.placement.subset.add_node(
                    event.name, event.node.data_centre
                )
                self.node_ranks.add_nodes(self.nodes)
                self.retry_budget.set_node_count(len(self.nodes))
                self.rollouts.set_node_count(len(self.nodes))
                return [Change(f"node={event.name}", event.node.peer_address)]
            case updates.UnreadableEntry():
                return [Change(f"entry={event.key}", event.reason)]
        return self._handle_rollout(event, now)

    def reserve_retry(self, upstream: forwarding.Upstream, now: float) -> bool:
        """Records a retry at an upstream if it and the budget allow one."""
        state = self.directory.get(upstream.identity)
        if state is None or not self.placement.may_send(state, now):
            return False
        if not self.retry_budget.can_retry(upstream.service, now):
            return False
        self.retry_budget.record_retry(upstream.service, now)
        self.rate_limiter.record_sent(upstream.incarnation, now)
        return True

    def record_statements(
        self,
        state: directory.UpstreamState,
        head: forwarding.DecodedHead,
        sent_at: float,
        now: float,
    ) -> None:
        """Records what an upstream states about itself in a response.

        Args:
            state: The upstream.
            head: Head of its response.
            sent_at: When the request was sent.
            now: Monotonic time in seconds.
        """
        self.stated_limits.record_response(state.upstream, head, sent_at, now)
        for kind, outcome in upstream_notices.record_notices(
            state, head, self.rng, now
        ):
            if len(self._changes) < MAX_CHANGES:
                change = Change(f"{kind}={state.upstream.identity}", outcome)
                self._changes.append(change)

    def take_changes(self) -> list[Change]:
        """Returns the changes by responses since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes

    def configure(self, settings: gateway.Settings) -> None:
        """Applies changed settings."""
        self.cold_start_limiter.configure(
            settings.cold_factor, settings.cold_floor
        )
        self.retry_budget.configure(
            settings.retry_ratio, settings.retry_window_s, settings.retry_floor
        )
        self.rollouts.configure(
            settings.exposure_share, settings.exposure_floor
        )

    def evict_expired(self, now: float) -> list[str]:
        """Evicts expired state; returns the identities of removed upstreams."""
        self.admission_queue.evict_idle_queues(now)
        gone = self.directory.evict_expired(now)
        for identity in gone:
            self._remove_upstream(identity)
        self.stated_limits.evict_expired(
            (s.upstream.incarnation for s in self.directory.list_all()), now
        )
        self.rate_limiter.evict_unlimited()
        self.permit_loans.evict_expired(now)
        self.part_quarantine.evict_expired(now)
        return gone

    def compute_max_idle_connections(self, service: forwarding.Service) -> int:
        """Returns how many idle connections to an upstream may be kept.

        An upstream limits the connections of all nodes together; the rest is
        left for running requests.
        """
        if service.max_connections <= 0:
            return MAX_IDLE_CONNECTIONS
        share = (
            service.max_connections
            * IDLE_CONNECTION_SHARE
            / max(1, len(self.nodes))
        )
        return max(1, min(MAX_IDLE_CONNECTIONS, int(share)))

    def choose_versions(
        self, service: str, session: str, no_failures: bool, now: float
    ) -> set[str] | None:
        """Returns the versions that may run an attempt; `None` for all.

        Args:
            service: Name of the service.
            session: Affinity key; requests with the same key get the same
                version.
            no_failures: Whether no attempt of the request has failed.
            now: Monotonic time in seconds.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            return None
        usable = self.directory.list_usable(service, now)
        old, new = canary.split_versions(
            (state.upstream.version for state in usable), rollout.order.target
        )
        share = self.rollouts.compute_share(service, now)
        if share <= 0:
            return old
        if share >= 1:
            return new or old
        if no_failures and new and canary.is_assigned(service, session, share):
            return new
        return old or new

    def _set_configuration(
        self, configuration: forwarding.Configuration
    ) -> list[Change]:
        current = (
            self.route_table.configuration.version
            if self.route_table is not None
            else None
        )
        if current is not None and configuration.version <= current:
            return [
                Change(
                    f"configuration={configuration.version}",
                    f"ignored, {current} is in force",
                )
            ]
        self.route_table = route_table.RouteTable(configuration)
        return [
            Change(
                f"configuration={configuration.version}",
                f"in force after {current}, {len(configuration.routes)} routes",
            )
        ]

    def _register(
        self, upstream: forwarding.Upstream, now: float
    ) -> list[Change]:
        current = self.directory.get(upstream.identity)
        before = current.upstream if current is not None else None
        if before is not None and before.incarnation != upstream.incarnation:
            self._remove_upstream(upstream.identity)
        state = self.directory.register(upstream, now)
        if before == upstream:
            return []
        return [
            Change(
                f"upstream={upstream.identity}",
                f"service={upstream.service} version={upstream.version}"
                f" data_centre={upstream.data_centre}"
                f" draining={upstream.draining}"
                f" cold_s={max(0.0, state.cold_until - now):.1f}",
            )
        ]

    def _remove(self, identity: str, now: float) -> list[Change]:
        until = self.directory.remove(identity, now)
        if until is None:
            return []
        return [
            Change(f"upstream={identity}", f"removed in {until - now:.1f} s")
        ]

    def _evacuate(self, event: updates.EvacuationSet) -> list[Change]:
        if event.active:
            self._evacuated.add(event.data_centre)
        else:
            self._evacuated.discard(event.data_centre)
        self.directory.set_evacuated(self._evacuated)
        return [
            Change(
                f"data_centre={event.data_centre}",
                "evacuated" if event.active else "in service",
            )
        ]

    def _handle_rollout(self, event: events.Event, now: float) -> list[Change]:
        match event:
            case updates.RolloutOrdered():
                self.rollouts.set_order(event.order, now)
                return [
                    Change(
                        f"rollout={event.order.service}",
                        f"ordered to {event.order.target} within"
                        f" {event.order.duration_s:.1f} s",
                    )
                ]
            case updates.RolloutWithdrawn():
                self.rollouts.remove_order(event.service)
                return [Change(f"rollout={event.service}", "withdrawn")]
            case updates.RolloutStatusSet():
                self.rollouts.set_status(event.status)
                return [
                    Change(
                        f"rollout={event.status.service}",
                        f"{event.status.state.value}"
                        f" target={event.status.target}",
                    )
                ]
        return []

    def _can_ask(self, node: str, now: float) -> bool:
        """Returns whether a node may be asked for a permit."""
        return node in self.nodes and self.watchers.is_reachable(node, now)

    def _remove_upstream(self, identity: str) -> None:
        self.node_ranks.remove(identity)
        self.cold_start_limiter.remove_upstream(identity)
        self.prefix_index.remove_upstream(identity)
        self.placement.remove_upstream(identity)
