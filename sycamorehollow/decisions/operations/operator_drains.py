"""Drains that operators request from a process.

They are written as replicated records, so that they take effect while the
store is down.
"""

import dataclasses

from sycamorehollow.decisions import components
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.replication import records
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events


@dataclasses.dataclass(frozen=True)
class DrainRequested(events.Event):
    """An operator requested a drain while the store was down."""

    scope: drains.Scope
    name: str


class OperatorDrains(components.Component):
    """Writes drain records that refer to the deployment in force.

    Args:
        replicated: The replicated records.
    """

    def __init__(self, replicated: records.ReplicatedRecords):
        self._records = replicated
        self._deployment = deployment.Deployment()

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Tracks the deployment and writes a record for each request."""
        if isinstance(event, drains.DeploymentChanged):
            self._deployment = event.deployment
        if not isinstance(event, DrainRequested):
            return []
        return self._records.put(
            drains.DRAIN_KIND,
            drains.make_drain_key(event.scope, event.name),
            drains.make_drain_value(self._deployment),
            now,
        )
