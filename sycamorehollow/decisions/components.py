"""Base classes of the decision components."""

import abc
from typing import ClassVar

from sycamorehollow.model import commands
from sycamorehollow.model import events


class Component(abc.ABC):
    """State machine that turns events into commands.

    A component opens no socket, starts no thread and reads no clock, so that
    the same events produce the same commands in tests, benchmarks and daemons.
    """

    @abc.abstractmethod
    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event.

        Args:
            event: What happened. Unknown events are ignored.
            now: Monotonic time in seconds.

        Returns:
            The commands to execute, in order.
        """


class Replicated(abc.ABC):
    """State that entry processes replicate by exchanging digests and deltas.

    Merging is idempotent and commutative, so a delta may arrive twice, late
    and in any order.

    Attributes:
        kind: Stable name of the state on the wire.
        bytes_per_s: Limit on the bytes of its digests and deltas that a
            process sends and receives per second; `None` for no limit.
    """

    kind: ClassVar[str]
    bytes_per_s: ClassVar[float | None] = None

    @abc.abstractmethod
    def build_digest(self, now: float) -> bytes:
        """Returns a compact digest of the state of this process."""

    @abc.abstractmethod
    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns the state that the sender of a digest lacks, or empty."""

    @abc.abstractmethod
    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Merges the state of another process.

        Args:
            delta: The result of `build_delta` at the other process.
            now: Monotonic time in seconds.

        Returns:
            The commands that follow from the merged state.
        """
