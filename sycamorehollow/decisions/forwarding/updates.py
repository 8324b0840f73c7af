"""News about the deployment, in the product's own types."""

import dataclasses

from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import events
from sycamorehollow.model import forwarding


@dataclasses.dataclass(frozen=True)
class ConfigurationSet(events.Event):
    """The operators have written a configuration."""

    configuration: forwarding.Configuration


@dataclasses.dataclass(frozen=True)
class UpstreamSet(events.Event):
    """An upstream has written its entry."""

    upstream: forwarding.Upstream


@dataclasses.dataclass(frozen=True)
class UpstreamRemoved(events.Event):
    """The entry of an upstream has lapsed or was removed."""

    identity: str


@dataclasses.dataclass(frozen=True)
class RolloutOrdered(events.Event):
    """The operators have ordered a roll-out."""

    order: forwarding.RolloutOrder


@dataclasses.dataclass(frozen=True)
class RolloutWithdrawn(events.Event):
    """The operators have removed the order of a roll-out."""

    service: str


@dataclasses.dataclass(frozen=True)
class RolloutStatusSet(events.Event):
    """A node has stated how far a roll-out has come."""

    status: forwarding.RolloutStatus


@dataclasses.dataclass(frozen=True)
class EvacuationSet(events.Event):
    """A data centre gets no requests, or gets them again."""

    data_centre: str
    active: bool


@dataclasses.dataclass(frozen=True)
class NodeSet(events.Event):
    """A node has registered itself."""

    name: str
    node: watchers.Node


@dataclasses.dataclass(frozen=True)
class UnreadableEntry(events.Event):
    """A value could not be decoded and is ignored."""

    key: str
    reason: str
