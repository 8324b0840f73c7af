"""Base class of the events that decision components handle."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Event:
    """Something that happened outside the decision components."""


@dataclasses.dataclass(frozen=True)
class Tick(Event):
    """Time has passed."""
