"""Base of the decision parts."""

import abc
from typing import ClassVar

from sycamorehollow.model import commands
from sycamorehollow.model import events


class Component(abc.ABC):
    """A rule with its own state, driven by events.

    A part opens no socket, starts no thread and reads no clock, so that the
    same events give the same commands in a test, a bench and a daemon.
    """

    @abc.abstractmethod
    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event.

        Args:
            event: What happened. Unknown events are ignored.
            now: Monotonic time in seconds.

        Returns:
            The commands to carry out, in order.
        """


class Replicated(abc.ABC):
    """State that spreads between entry processes by digest exchange.

    Merging is idempotent and commutative: a delta may arrive twice, late and
    in any order.

    Attributes:
        kind: Stable name of the state on the wire.
        bytes_per_s: Limit on the bytes that its digests and deltas cost a
            process each second, sent and received; `None` for no limit.
    """

    kind: ClassVar[str]
    bytes_per_s: ClassVar[float | None] = None

    @abc.abstractmethod
    def build_digest(self, now: float) -> bytes:
        """Returns a compact digest of what this process holds."""

    @abc.abstractmethod
    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns what the sender of a digest lacks; empty for nothing."""

    @abc.abstractmethod
    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies what another process knows.

        Args:
            delta: The result of `collect` at the other process.
            now: Monotonic time in seconds.

        Returns:
            The commands that the new knowledge asks for.
        """
