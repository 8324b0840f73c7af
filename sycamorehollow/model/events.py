"""Base of the events that decision parts take."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Event:
    """Something that happened outside the decision parts."""


@dataclasses.dataclass(frozen=True)
class Tick(Event):
    """Time has passed."""
