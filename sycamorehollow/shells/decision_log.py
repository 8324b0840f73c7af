"""Log lines of decisions: one per decision, none per token."""

import loguru

from sycamorehollow.decisions.operations import configuration_messages
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.operations import orders
from sycamorehollow.decisions.releases import stops
from sycamorehollow.decisions.replication import members
from sycamorehollow.decisions.replication import membership
from sycamorehollow.model import deployment
from sycamorehollow.model import lifecycle


def log_deployment(current: deployment.Deployment) -> None:
    """Logs which configuration is in force."""
    loguru.logger.info(
        "configuration: in force revisions={}", dict(current.revisions)
    )


def log_rejected(
    command: configuration_messages.BranchesRejected,
) -> None:
    """Logs why branches of the configuration were rejected."""
    for branch, faults in command.faults.items():
        for fault in faults:
            loguru.logger.warning(
                "configuration: branch={} rejected: {}", branch, fault.reason
            )


def log_attempt(command: lifecycle.StartAttempt) -> None:
    """Logs the upstream that an attempt starts at, and why."""
    loguru.logger.info(
        "router: attempt request={} workspace={} version={} upstream={}"
        " reason={!r}",
        command.request_id,
        command.workspace,
        command.version,
        command.upstream,
        command.reason,
    )


def log_fallback(command: lifecycle.FinishRequest) -> None:
    """Logs that a rejected answer is delivered because no better one exists."""
    loguru.logger.info(
        "router: fallback request={} version={} upstream={} reason={!r}",
        command.request_id,
        command.version,
        command.upstream,
        command.fallback_reason,
    )


def log_request_failure(command: lifecycle.FailRequest) -> None:
    """Logs the final failure of a request."""
    loguru.logger.info(
        "router: failed request={} workspace={} code={} run={} reason={!r}",
        command.request_id,
        command.workspace,
        command.failure.code,
        command.failure.execution.value,
        command.failure.reason,
    )


def log_out_of_service(command: drains.UpstreamOutOfService) -> None:
    """Logs that an upstream receives no new work."""
    loguru.logger.info(
        "drains: upstream={} receives no new work: {}",
        command.upstream,
        command.reason,
    )


def log_member(member: members.Member) -> None:
    """Logs the new state of a member."""
    loguru.logger.info(
        "members: address={} data_centre={} state={}",
        member.address,
        member.data_centre,
        member.state.name.lower(),
    )


def log_stale_fencing_token(command: orders.FencingTokenStale) -> None:
    """Logs that another process holds the lease for orders to engines."""
    loguru.logger.warning(
        "orders: fence={} is stale, another process sends the orders",
        command.fencing_token,
    )


def log_process_replaced(command: membership.ProcessReplaced) -> None:
    """Logs that another process has taken over the address of this one."""
    loguru.logger.error(
        "members: incarnation={} has taken over this address, shutting down",
        command.incarnation,
    )


def log_stops(command: stops.ReportStops) -> None:
    """Logs which versions were stopped and receive no new work."""
    for stop in command.stops:
        loguru.logger.warning(
            "rollouts: version={} stopped: {}", stop.version, stop.reason
        )
