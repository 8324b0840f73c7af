"""Builds an entry process: wires its tasks, I/O modules and HTTP handlers.

The decision components run in one thread, the decision loop. All I/O runs in
other tasks, which receive commands from the loop and post events to it.
"""

from collections.abc import Callable
import random
import signal
import time
from typing import Any

from sycamorehollow.decisions import node as nodes
from sycamorehollow.decisions import node_components
from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.calls import call_messages
from sycamorehollow.decisions.operations import configuration_messages
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.decisions.operations import leases
from sycamorehollow.decisions.operations import orders
from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.decisions.releases import stops
from sycamorehollow.decisions.replication import exchange
from sycamorehollow.decisions.replication import membership
from sycamorehollow.model import events
from sycamorehollow.model import identity
from sycamorehollow.model import lifecycle
from sycamorehollow.settings import process
from sycamorehollow.settings import tree
from sycamorehollow.shells import bill_io
from sycamorehollow.shells import calls
from sycamorehollow.shells import chat
from sycamorehollow.shells import config_io
from sycamorehollow.shells import decision_log
from sycamorehollow.shells import front
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import key_owners
from sycamorehollow.shells import loop
from sycamorehollow.shells import metrics
from sycamorehollow.shells import operators
from sycamorehollow.shells import order_io
from sycamorehollow.shells import pages
from sycamorehollow.shells import peer_requests
from sycamorehollow.shells import peers
from sycamorehollow.shells import polling
from sycamorehollow.shells import ratings
from sycamorehollow.shells import relay
from sycamorehollow.shells import rollout_io
from sycamorehollow.shells import services
from sycamorehollow.shells import storeclient
from sycamorehollow.shells import sweeps
from sycamorehollow.shells import upstream_polls
from sycamorehollow.shells import vm_polls

DRAIN_POLL_S = 0.05
METER_INTERVAL_S = 5.0
# Load balancers poll `/healthz` about once a second. Until they have seen it
# change, new connections still arrive and have to be rejected properly.
DRAIN_DELAY_S = 5.0
# Without a request for this long, no further caller is expected.
QUIET_PERIOD_S = 0.3
# If no upstream has reported its load by then, the process counts as healthy,
# so that callers get an error response. A load poll times out earlier.
FIRST_LOAD_REPORT_TIMEOUT_S = 5.0


class EntryProcess:
    """An entry process: the router with its chat interface."""

    def __init__(self, settings: process.Settings):
        self._settings = settings
        self._rng = random.Random()
        self._snapshot = front.Snapshot()
        self._draining = False
        self._started_at = time.monotonic()
        self._meter = metrics.StatsdMeter(
            settings.metrics.host, settings.metrics.port
        )
        self._http_workers = http_workers.HttpWorkers()
        self._store = storeclient.StoreClient(settings.store.url)
        self._node = self._build_node(settings)
        self._loop = loop.DecisionLoop(self._node, self._node.get_next_due_at)
        self._peers = peers.PeerTask(
            settings.process.peer_address, self._route_peer_event
        )
        self._requests = peer_requests.PeerRequests(
            self._peers, lambda: self._node.process
        )
        self._relay = relay.Relay(self._loop.post)
        self._poller = polling.Poller(self._http_workers, self._rng)
        self._build_io_modules()
        self._register_performers()
        host, _, port = settings.process.address.rpartition(":")
        self._front = front.Front(host, int(port), self._build_handlers())
        self._host = host

    @property
    def url(self) -> str:
        """Base URL of the HTTP front."""
        return f"http://{self._host}:{self._front.port}"

    def start(self) -> None:
        """Starts all tasks."""
        self._bills.register(self._peers)
        self._owners.register(self._peers)
        self._relay.start()
        self._peers.start()
        self._loop.start()
        self._poller.set_jobs("ratings", self._ratings.build_jobs())
        self._poller.set_jobs("vms", self._vms.build_jobs())
        meter_job = polling.Job(METER_INTERVAL_S, self._report_gauges)
        self._poller.set_jobs("metrics", {"metrics": meter_job})
        self._poller.start()
        self._front.start()

    def drain(self, timeout_s: float) -> None:
        """Stops admission, waits for pending requests and leaves the fleet.

        Args:
            timeout_s: Longest wait for pending requests.
        """
        self._draining = True
        self._front.closing_connections = True
        started = time.monotonic()
        self._loop.post(lifecycle.AdmissionStopped())
        self._loop.post(billing_messages.Flush())
        while time.monotonic() < started + timeout_s:
            waited_s = time.monotonic() - started
            quiet = self._front.get_idle_s() >= QUIET_PERIOD_S
            if (
                waited_s >= DRAIN_DELAY_S
                and quiet
                and not self._count_pending()
            ):
                break
            time.sleep(DRAIN_POLL_S)
        self._loop.post(membership.LeaveRequested())
        time.sleep(DRAIN_POLL_S)

    def stop(self) -> None:
        """Stops all tasks and closes the connections to the store."""
        self._front.stop()
        self._poller.stop()
        self._relay.stop()
        self._loop.stop()
        self._peers.stop()
        self._http_workers.stop()
        self._calls.close()
        self._store.close()

    def _build_node(self, settings: process.Settings) -> nodes.Node:
        keys = settings.sessions.keys
        options = node_components.Options(
            process=identity.Process(
                settings.process.peer_address,
                settings.process.data_centre,
                time.time_ns(),
            ),
            slot=settings.process.slot,
            slots=settings.process.slots,
            seeds=tuple(settings.peers.seeds),
            ring=keyrings.KeyRing(next(iter(keys)), keys),
            convert=tree.convert,
            read_clock=lambda: int(time.time()),
            pace=rollouts.Pace(**settings.rollouts.model_dump()),
        )
        return nodes.Node(options, self._rng, time.monotonic())

    def _build_io_modules(self) -> None:
        self._bills = bill_io.BillShell(
            self._store,
            self._http_workers,
            self._requests,
            self._loop.post,
            lambda: self._node.process,
        )
        self._pending_results = services.PendingResults()
        self._service_client = calls.ServiceClient(
            lambda service, new: self._loop.run_query(
                lambda: self._node.list_service_urls(service, new)
            )
        )
        self._owners = key_owners.PeerKeyOwnerClient(
            self._requests, self._loop.post
        )
        self._calls = calls.CallShell(
            self._store, self._service_client, self._owners, self._loop.post
        )
        self._config = config_io.ConfigurationShell(
            self._store, self._http_workers, self._loop.post
        )
        self._ratings = ratings.RatingClient(
            self._settings.ratings.url, self._http_workers, self._loop.post
        )
        self._rollouts = rollout_io.RolloutShell(
            self._settings.process.name,
            self._store,
            self._http_workers,
            self._loop.post,
        )
        self._sweep = sweeps.RecordSweep(self._store)
        self._vms = vm_polls.VmPolls(
            self._settings.vms.url,
            self._http_workers,
            self._loop.post,
            lambda: self._snapshot.current,
        )
        self._orders = order_io.OrderShell(
            self._store,
            self._http_workers,
            self._loop.post,
            lambda: self._snapshot.current,
        )
        self._upstreams = upstream_polls.UpstreamPolls(
            self._http_workers, self._loop.post
        )

    def _register_performers(self) -> None:
        performers: dict[type, Callable[[Any], None]] = {
            billing_messages.ReplyToSpool: self._bills.reply_to_spool,
            billing_messages.SpoolToPeer: self._bills.spool,
            billing_messages.NotifyAdvance: self._bills.notify_advance,
            billing_messages.WriteBatch: self._bills.write,
            configuration_messages.BranchesRejected: decision_log.log_rejected,
            configuration_messages.ReadRange: self._config.read,
            configuration_messages.StartWatch: self._config.watch,
            configuration_messages.CancelCall: self._ignore,
            drains.UpstreamOutOfService: decision_log.log_out_of_service,
            call_messages.ReplyToPeer: self._owners.reply,
            call_messages.Reply: self._pending_results.deliver,
            exchange.SendCall: self._peers.post,
            exchange.SendReply: self._peers.post,
            lifecycle.CancelAttempt: self._cancel_attempt,
            lifecycle.FinishRequest: self._finish_request,
            lifecycle.FailRequest: self._fail_request,
            lifecycle.RequestRating: self._ratings.submit,
            lifecycle.StartAttempt: self._start_attempt,
            leases.ClaimLeaseRecord: self._orders.claim,
            leases.CreateLease: self._orders.create,
            leases.ReadLeaseRecord: self._orders.read,
            leases.ReleaseLease: self._orders.release,
            leases.RenewLease: self._orders.renew,
            membership.ProcessReplaced: self._stop_replaced_process,
            nodes.ReportMember: self._report_member,
            nodes.PublishDeployment: self._publish,
            orders.FencingTokenStale: decision_log.log_stale_fencing_token,
            orders.SendOrder: self._orders.send,
            rollouts.ReadStage: self._rollouts.read,
            rollouts.RequestLease: self._rollouts.request_lease,
            rollouts.WriteStage: self._rollouts.write,
            stops.ReportStops: decision_log.log_stops,
        }
        for call_type in (
            call_messages.ReadCallRecord,
            call_messages.WriteCallRecord,
            call_messages.Dispatch,
            call_messages.LookUpOutcome,
            call_messages.RequestFromOwner,
        ):
            performers[call_type] = self._start_call
        for command_type, performer in performers.items():
            self._loop.register_performer(command_type, performer)

    def _route_peer_event(self, event: events.Event) -> None:
        if not self._requests.resolve(event):
            self._loop.post(event)

    def _publish(self, command: nodes.PublishDeployment) -> None:
        current = command.current
        self._snapshot.replace(current)
        self._poller.set_jobs(
            upstream_polls.JOB_PREFIX, self._upstreams.build_jobs(current)
        )
        self._update_coordinator_jobs()
        decision_log.log_deployment(current)

    def _start_attempt(self, command: lifecycle.StartAttempt) -> None:
        decision_log.log_attempt(command)
        self._meter.count("attempts")
        self._relay.post(command)

    def _fail_request(self, command: lifecycle.FailRequest) -> None:
        decision_log.log_request_failure(command)
        self._meter.count(f"refusals.{command.failure.code}")
        self._relay.post(command)

    def _finish_request(self, command: lifecycle.FinishRequest) -> None:
        if command.fallback_reason:
            decision_log.log_fallback(command)
        self._relay.post(command)

    def _cancel_attempt(self, command: lifecycle.CancelAttempt) -> None:
        self._relay.post(command)
        url = f"{command.url}/v1/streams/{command.run_id}"
        self._http_workers.submit(
            lambda: self._http_workers.request("DELETE", url)
        )

    def _start_call(self, command: Any) -> None:
        self._calls.execute(command)

    def _ignore(self, command: Any) -> None:
        """Does nothing: a cancelled call ends at its own timeout."""

    def _report_member(self, command: nodes.ReportMember) -> None:
        decision_log.log_member(command.member)
        self._update_coordinator_jobs()

    def _update_coordinator_jobs(self) -> None:
        coordinator = self._node.is_coordinator()
        self._poller.set_jobs(
            rollout_io.JOB, self._rollouts.build_jobs(coordinator)
        )
        self._poller.set_jobs(sweeps.JOB, self._sweep.build_jobs(coordinator))

    def _stop_replaced_process(
        self, command: membership.ProcessReplaced
    ) -> None:
        decision_log.log_process_replaced(command)
        signal.raise_signal(signal.SIGTERM)

    def _build_handlers(self) -> list[front.Handler]:
        return [
            chat.ChatHandler(self._snapshot, self._relay, self._loop.post),
            services.CallHandler(
                self._snapshot,
                self._pending_results,
                self._service_client,
                self._loop.post,
                lambda: self._draining,
            ),
            services.TicketHandler(self._snapshot, self._issue_ticket),
            services.OutcomeHandler(
                self._snapshot, self._pending_results, self._loop.post
            ),
            pages.ModelsHandler(self._snapshot),
            pages.HealthHandler(self._check_health),
            pages.StatusHandler(
                lambda: self._loop.run_query(self._describe_status)
            ),
            operators.DrainHandler(
                self._settings.operators.token,
                self._snapshot,
                self._loop.post,
            ),
            operators.StopHandler(
                self._settings.operators.token,
                self._snapshot,
                self._loop.post,
                lambda: self._loop.run_query(
                    self._node.rollouts.list_stopped_versions
                ),
            ),
        ]

    def _issue_ticket(self, workspace: str) -> str:
        return self._loop.run_query(
            lambda: self._node.issuer.issue(workspace, time.monotonic())
        )

    def _check_health(self) -> str:
        if self._draining:
            return "draining"
        current = self._snapshot.current
        if current is None:
            return "no configuration"
        engines = any(u.versions for u in current.upstreams.values())
        waited_s = time.monotonic() - self._started_at
        if engines and not self._upstreams.has_load:
            # Upstreams without a load report count as full.
            return (
                "no load reports"
                if waited_s < FIRST_LOAD_REPORT_TIMEOUT_S
                else ""
            )
        return ""

    def _count_pending(self) -> int:
        return self._loop.run_query(self._node.count_pending) + len(
            self._pending_results
        )

    def _report_gauges(self) -> None:
        gauges = self._loop.run_query(
            lambda: self._node.read_gauges(time.monotonic())
        )
        gauges["relay.held_bytes"] = self._relay.buffered_bytes
        for name, value in gauges.items():
            self._meter.set_gauge(name, value)

    def _describe_status(self) -> dict[str, Any]:
        return {
            "process": self._settings.process.name,
            "state": self._check_health() or "ok",
            "held_bytes": self._relay.buffered_bytes,
            **self._node.describe(time.monotonic()),
        }
