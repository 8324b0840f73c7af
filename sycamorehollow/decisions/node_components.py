"""Construction and inspection of the components of one entry process."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from sycamorehollow.decisions.bills import billing
from sycamorehollow.decisions.bills import billing_spool
from sycamorehollow.decisions.calls import key_calls
from sycamorehollow.decisions.calls import ticket_calls
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.decisions.cascading import cascade_planning
from sycamorehollow.decisions.cascading import cascade_selector
from sycamorehollow.decisions.cascading import quality_estimator
from sycamorehollow.decisions.operations import config_branches
from sycamorehollow.decisions.operations import configuration
from sycamorehollow.decisions.operations import configuration_messages
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.decisions.operations import leases
from sycamorehollow.decisions.operations import orders
from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.decisions.releases import sequential_test
from sycamorehollow.decisions.releases import stops
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import membership
from sycamorehollow.decisions.replication import records
from sycamorehollow.decisions.requests import quarantine
from sycamorehollow.decisions.requests import recovery
from sycamorehollow.decisions.requests import retries
from sycamorehollow.decisions.requests import router
from sycamorehollow.decisions.routing import admission
from sycamorehollow.decisions.routing import upstream_placement
from sycamorehollow.model import identity

ROLLOUT_COORDINATORS = 1
ORDER_LEASE_TTL_S = 10.0
# One lease per data centre shares the weight store's rate limit.
WEIGHT_LOADS_PER_S = 5.0
WEIGHT_LOAD_LEASES = 7


@dataclasses.dataclass(frozen=True)
class Options:
    """Values from the settings of a node.

    Attributes:
        process: Identity of this run of the process.
        slot: Index of the process in its data centre, from 0.
        slots: Number of process slots in the data centre.
        seeds: Peer addresses to probe first.
        ring: Signing keys of session tokens and tickets.
        convert: Converts the branches of the settings tree.
        read_clock: Returns the wall-clock time in whole seconds.
        pace: Conditions for the next stage of a roll-out.
    """

    process: identity.Process
    slot: int
    slots: int
    seeds: tuple[str, ...]
    ring: keyrings.KeyRing
    convert: config_branches.Convert
    read_clock: Callable[[], int]
    pace: rollouts.Pace = rollouts.Pace()


class NodeComponents:
    """Builds the components and reports their state.

    Args:
        options: Values from the settings of the node.
        rng: Source of random numbers.
        now: Monotonic time in seconds of the start.
    """

    def __init__(self, options: Options, rng: random.Random, now: float):
        self.options = options
        self._rng = rng
        process = options.process
        name = f"{process.address}/{process.incarnation}"
        self._build_state(name, process, rng, now)
        self._build_calls(process, rng, now)
        self._build_routing(rng, now)

    @property
    def process(self) -> identity.Process:
        """Identity of this process; its incarnation may rise once at start."""
        return self.exchange.sender

    def is_coordinator(self) -> bool:
        """Returns whether this process may drive roll-outs."""
        me = self.process
        return me.address in self.membership.list_lowest_addresses(
            me.data_centre, ROLLOUT_COORDINATORS
        )

    def get_next_due_at(self) -> float | None:
        """Returns when a tick is due before the regular one, if at all."""
        return self.billing.get_commit_due_at()

    def count_pending(self) -> int:
        """Returns the number of requests and bills that delay a shutdown."""
        return self.router.active_count + self.billing.count_exposed()

    def read_gauges(self, now: float) -> dict[str, float]:
        """Returns the gauges for operators."""
        age_s = self.configuration.measure_age(now)
        return {
            "requests.active": self.router.active_count,
            "requests.waiting": self.router.waiting_count,
            "bills.pending": self.billing.pending_count,
            "bills.exposed": self.billing.count_exposed(),
            "bills.held_bytes": self.billing.held_bytes,
            "spool.held_bytes": self.spool.held_bytes,
            "members.live": len(self.membership.list_live()),
            "versions.stopped": len(self.rollouts.list_stopped_versions()),
            "configuration.age_s": -1.0 if age_s is None else age_s,
        }

    def list_service_urls(self, service: str, new_work: bool) -> list[str]:
        """Returns the base URLs of a service, those of this data centre first.

        Args:
            service: Name of the plain service.
            new_work: Whether draining upstreams are left out.
        """
        current = self.configuration.deployment
        configured = current.services.get(service)
        if configured is None:
            return []
        urls = []
        for name in configured.upstreams:
            upstream = current.upstreams.get(name)
            if upstream is None:
                continue
            if new_work and self.drains.find_refusal(name) is not None:
                continue
            is_remote = upstream.data_centre != self.process.data_centre
            urls.append((is_remote, self._rng.random(), upstream.url))
        return [url for _, _, url in sorted(urls)]

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state in force here and its reasons, for operators."""
        faults = self.configuration.faults
        return {
            "address": self.process.address,
            "data_centre": self.process.data_centre,
            "active": self.router.active_count,
            "bills_pending": self.billing.pending_count,
            "configuration": {
                "revisions": dict(self.configuration.deployment.revisions),
                "age_s": self.configuration.measure_age(now),
                "faults": {
                    branch: [fault.reason for fault in found]
                    for branch, found in faults.items()
                },
            },
            "members": {
                member.address: member.data_centre
                for member in self.membership.list_live()
            },
            "rollouts": self._describe_rollouts(),
            "quarantined": self.quarantine.count_quarantined(),
            "stopped_versions": sorted(self.rollouts.list_stopped_versions()),
            "upstreams": self.placement.describe(now),
        }

    def _describe_rollouts(self) -> dict[str, dict[str, Any]]:
        """Returns the share, stage and stop reason of each roll-out."""
        result: dict[str, dict[str, Any]] = {}
        configured = self.configuration.deployment.rollouts
        for name, share in self.rollouts.get_shares().items():
            stage = self.rollouts.get_stage(name)
            stop = self.stops.find(configured[name].candidate)
            result[name] = {
                "share": share,
                "stage": stage.stage if stage is not None else None,
                "state": stage.state.value if stage is not None else None,
                "stopped": stop.reason if stop is not None else None,
            }
        return result

    def _build_state(
        self,
        name: str,
        process: identity.Process,
        rng: random.Random,
        now: float,
    ) -> None:
        """Builds membership, configuration and replicated records."""
        options = self.options
        me = members.Member(
            process.address, process.data_centre, process.incarnation
        )
        self.membership = membership.Membership(me, options.seeds, rng, now)
        self.configuration = configuration.Configuration(
            configuration_messages.Peer(process.address, process.data_centre),
            options.convert,
            rng,
        )
        self.records = records.ReplicatedRecords()
        self.drains = drains.Drains()
        self.learning = quality_estimator.QualityEstimator(process.label)
        self.evidence = sequential_test.Evidence(process.label)
        self.stops = stops.Stops(name)
        self.rollouts = rollouts.Rollouts(
            self.stops, self.evidence, rng, options.pace
        )
        self.cascades = cascade_selector.CascadeSelector(self.learning, rng)

    def _build_routing(self, rng: random.Random, now: float) -> None:
        """Builds the components that serve model requests."""
        options = self.options
        self.quarantine = quarantine.Quarantine()
        self.placement = upstream_placement.UpstreamPlacement(
            options.process.label,
            options.process.data_centre,
            options.slot,
            options.slots,
            rng,
            now,
            self.drains.find_refusal,
            self.quarantine,
        )
        planner = cascade_planning.CascadePlanner(
            self.cascades,
            self.learning,
            self.rollouts,
            self.evidence,
            self.placement,
            options.ring,
            options.read_clock,
        )
        self.router = router.Router(
            planner,
            self.placement,
            recovery.Recovery(retries.RetryBudget(rng)),
            admission.Admission(0, rng),
            self.billing.check_backlog,
        )
        self.exchange = exchange.Exchange(
            self.membership,
            (
                self.configuration,
                self.placement.load_table,
                self.placement.cold_start_limiter,
                self.quarantine,
                self.learning,
                self.evidence,
                self.stops,
                self.rollouts,
                self.records,
            ),
        )

    def _build_calls(
        self, process: identity.Process, rng: random.Random, now: float
    ) -> None:
        """Builds the components for service calls and bills."""
        wall_offset_s = self.options.read_clock() - now
        issuer = tickets.TicketIssuer(process, self.options.ring)
        self.issuer = issuer
        self.key_calls = key_calls.KeyCalls(process, issuer, rng, wall_offset_s)
        self.ticket_calls = ticket_calls.TicketCalls(
            process, self.options.ring, rng, wall_offset_s
        )
        self.billing = billing.Billing(process, rng)
        self.spool = billing_spool.Spool(process, rng)
        owner = f"{process.address}/{process.incarnation}"
        self.order_lease = leases.Lease(
            f"leases/orders/{process.data_centre}", owner, ORDER_LEASE_TTL_S
        )
        self.orders = orders.EngineReconciler(
            self.order_lease,
            orders.LoadRateLimiter(WEIGHT_LOADS_PER_S, WEIGHT_LOAD_LEASES),
        )
