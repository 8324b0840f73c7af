"""Base of the commands that decision parts return."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Command:
    """Something that a shell is asked to do."""
