"""Base of the decision parts."""

import abc

from sycamorehollow.model import commands
from sycamorehollow.model import events


class Part(abc.ABC):
    """A rule with its own state, driven by events.

    A part opens no socket, starts no thread and reads no clock, so that the
    same events give the same commands in a test, a bench and a daemon.
    """

    @abc.abstractmethod
    def handle(
        self, event: events.Event, now: float
    ) -> list[commands.Command]:
        """Applies one event.

        Args:
            event: What happened. Unknown events are ignored.
            now: Monotonic time in seconds.

        Returns:
            The commands to carry out, in order.
        """
