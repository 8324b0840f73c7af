"""Events of the deployment that nodes get from the store."""

import dataclasses

from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import events
from sycamorehollow.model import forwarding


@dataclasses.dataclass(frozen=True)
class ConfigurationSet(events.Event):
    """A configuration was written."""

    configuration: forwarding.Configuration


@dataclasses.dataclass(frozen=True)
class UpstreamSet(events.Event):
    """The entry of an upstream was written."""

    upstream: forwarding.Upstream


@dataclasses.dataclass(frozen=True)
class UpstreamRemoved(events.Event):
    """The entry of an upstream has expired or was deleted."""

    identity: str


@dataclasses.dataclass(frozen=True)
class RolloutOrdered(events.Event):
    """An operator has ordered a roll-out."""

    order: forwarding.RolloutOrder


@dataclasses.dataclass(frozen=True)
class RolloutWithdrawn(events.Event):
    """An operator has withdrawn the order of a roll-out."""

    service: str


@dataclasses.dataclass(frozen=True)
class RolloutStatusSet(events.Event):
    """A node has published the state of a roll-out."""

    status: forwarding.RolloutStatus


@dataclasses.dataclass(frozen=True)
class EvacuationSet(events.Event):
    """A data centre was evacuated, or returned to service if not `active`."""

    data_centre: str
    active: bool


@dataclasses.dataclass(frozen=True)
class NodeSet(events.Event):
    """A node has registered itself."""

    name: str
    node: watchers.Node


@dataclasses.dataclass(frozen=True)
class UnreadableEntry(events.Event):
    """A value could not be decoded and was ignored."""

    key: str
    reason: str
