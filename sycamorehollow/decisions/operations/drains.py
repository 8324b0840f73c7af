"""Which upstreams are out of service.

An upstream is out of service by configuration, by a drain record, or when the
platform reports that its VM is leaving.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any
from typing import ClassVar

from sycamorehollow.decisions import components
from sycamorehollow.decisions.replication import records
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures

# Kind of the records that take an upstream or data centre out of service.
DRAIN_KIND = "drain"
PLATFORM_BRANCH = "platform"
# Load balancers poll `/healthz` about once a second and keep sending new
# connections until they have seen it fail.
DRAIN_DELAY_S = 5.0


class Scope(enum.Enum):
    """What a drain record takes out of service."""

    UPSTREAM = "upstream"
    DATA_CENTRE = "data_centre"


@dataclasses.dataclass(frozen=True)
class OutOfService(failures.Failure):
    """The upstream or its data centre accepts no new work."""

    code: ClassVar[str] = "out_of_service"
    status: ClassVar[int] = 503


@dataclasses.dataclass(frozen=True)
class UnknownUpstream(failures.Failure):
    """The upstream is not part of the deployment in force."""

    code: ClassVar[str] = "unknown_upstream"
    status: ClassVar[int] = 503


@dataclasses.dataclass(frozen=True)
class DeploymentChanged(events.Event):
    """A new deployment came into force."""

    deployment: deployment.Deployment


@dataclasses.dataclass(frozen=True)
class UpstreamVmsReceived(events.Event):
    """The platform's list of VMs was received; it may be out of date.

    Attributes:
        leaving: Whether the VM is leaving, by upstream in the list.
    """

    leaving: Mapping[str, bool]


@dataclasses.dataclass(frozen=True)
class RecordsChanged(events.Event):
    """The replicated records changed."""

    drain_records: tuple[records.ReplicatedRecord, ...]


@dataclasses.dataclass(frozen=True)
class MarkCold(commands.Command):
    """Marks an upstream that returns to service as cold."""

    upstream: str


@dataclasses.dataclass(frozen=True)
class UpstreamOutOfService(commands.Command):
    """Reports that an upstream accepts no new work from now on."""

    upstream: str
    reason: str


def make_drain_key(scope: Scope, name: str) -> str:
    """Returns the key of a drain record."""
    return f"{scope.value}/{name}"


def make_drain_value(current: deployment.Deployment) -> dict[str, Any]:
    """Returns the value of a drain record written under a deployment.

    The record is in effect until a higher revision of the platform branch is
    in force, so an operator lifts it by writing that branch.
    """
    return {"revision": current.revisions.get(PLATFORM_BRANCH, 0)}


class Drains(components.Component):
    """Tracks upstreams out of service and reports each change."""

    def __init__(self) -> None:
        self._deployment = deployment.Deployment()
        self._leaving: dict[str, bool] = {}
        self._records: tuple[records.ReplicatedRecord, ...] = ()
        self._drained: frozenset[str] = frozenset()
        self._reasons: dict[str, str] = {}

    def find_refusal(self, upstream: str) -> failures.Failure | None:
        """Returns why an upstream accepts no new work, or `None`."""
        if upstream not in self._deployment.upstreams:
            return UnknownUpstream(f"Upstream {upstream} is not configured.")
        reason = self._reasons.get(upstream)
        if reason is None:
            return None
        return OutOfService(reason, retry_after_s=DRAIN_DELAY_S)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event and reports upstreams that left or returned."""
        if isinstance(event, DeploymentChanged):
            self._deployment = event.deployment
        elif isinstance(event, UpstreamVmsReceived):
            # A VM that is missing from the list keeps its last state, because
            # the list lags behind.
            self._leaving.update(event.leaving)
        elif isinstance(event, RecordsChanged):
            self._records = event.drain_records
        else:
            return []
        self._drained = frozenset(self._select_drained())
        return self._update()

    def _select_drained(self) -> Iterable[str]:
        """Yields the keys of the drain records in effect."""
        revision = self._deployment.revisions.get(PLATFORM_BRANCH, 0)
        for record in self._records:
            if record.kind != DRAIN_KIND or record.is_tombstone:
                continue
            value = record.decode_value()
            record_revision = (
                value.get("revision") if isinstance(value, dict) else None
            )
            # Without a valid revision, a record applies until it is deleted.
            if (
                not isinstance(record_revision, int)
                or revision <= record_revision
            ):
                yield record.key

    def _find_reason(self, upstream: deployment.Upstream) -> str | None:
        """Returns why an upstream is out of service, or `None`."""
        name, data_centre = upstream.name, upstream.data_centre
        centre = self._deployment.data_centres.get(data_centre)
        if upstream.presence is not deployment.Presence.IN_SERVICE:
            return f"Upstream {name} is {upstream.presence.value}."
        if (
            centre is not None
            and centre.presence is not deployment.Presence.IN_SERVICE
        ):
            return f"Data centre {data_centre} is {centre.presence.value}."
        if make_drain_key(Scope.UPSTREAM, name) in self._drained:
            return f"Upstream {name} is drained by a record."
        if make_drain_key(Scope.DATA_CENTRE, data_centre) in self._drained:
            return f"Data centre {data_centre} is drained by a record."
        if self._leaving.get(name, False):
            return f"The VM of upstream {name} is leaving."
        return None

    def _update(self) -> list[commands.Command]:
        """Recomputes what is out of service and reports the changes."""
        before, self._reasons = self._reasons, {}
        result: list[commands.Command] = []
        for name, upstream in self._deployment.upstreams.items():
            reason = self._find_reason(upstream)
            if reason is not None:
                self._reasons[name] = reason
                if name not in before:
                    result.append(UpstreamOutOfService(name, reason))
                continue
            if name in before:
                result.append(MarkCold(name))
        # Upstreams removed while out of service are kept, so that they are
        # marked cold when they are configured again.
        for name, reason in before.items():
            if name not in self._deployment.upstreams:
                self._reasons[name] = reason
        return result
