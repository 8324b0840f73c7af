"""Base class of the commands that decision components return."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Command:
    """An action for a shell to execute."""
