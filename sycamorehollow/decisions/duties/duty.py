"""Interface of a duty that one node performs for all nodes.

All times are seconds of `CLOCK_BOOTTIME`, which continues while the machine is
paused.
"""

import abc
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any


@dataclasses.dataclass(frozen=True)
class Call(abc.ABC):
    """Content of one call to the platform."""

    @property
    @abc.abstractmethod
    def subject(self) -> str:
        """What the call is about; the latest call of a subject counts."""


@dataclasses.dataclass(frozen=True)
class UsageReport(Call):
    """Requests of each workspace that began to run in a window."""

    window: int
    counts: Mapping[str, int]

    @property
    def subject(self) -> str:
        """The window."""
        return str(self.window)


@dataclasses.dataclass(frozen=True)
class ScaleOrder(Call):
    """Orders the number of upstreams of a service in a data centre."""

    service: str
    data_centre: str
    count: int

    @property
    def subject(self) -> str:
        """The service and the data centre."""
        return f"{self.service}/{self.data_centre}"


class Result(enum.Enum):
    """What became of a call."""

    ACCEPTED = "accepted"
    # The platform refused for now (429 or 503); it has not acted.
    REFUSED = "refused"
    # The platform rejected the content (another 4xx).
    REJECTED = "rejected"
    # There was no response; the platform may have acted.
    UNKNOWN = "unknown"
    # The call was not sent: the platform is unreachable, or the node does not
    # own the duty any more.
    NOT_SENT = "not sent"


@dataclasses.dataclass(frozen=True)
class Record:
    """A value of the store that fixes the content of a call beforehand.

    Attributes:
        name: Name of the record below the duty's own key.
        call: The call whose content is kept.
        expired: Names of records that are removed at the same time.
    """

    name: str
    call: Call
    expired: tuple[str, ...] = ()


class Duty(abc.ABC):
    """One duty, on each node; only the owner's calls are made.

    The methods are called in the event loop of the gateway.

    Attributes:
        name: Name in the settings and of the duty's key in the store.
    """

    name: str

    def load_records(  # noqa: B027
        self,
        records: Mapping[str, Call],
        recent: frozenset[str],
        known_since: float,
        now: float,
    ) -> None:
        """Takes over the records in the store; called before `begin`.

        Args:
            records: Contents of the duty's records by name.
            recent: Names of the records written since the last restore of the
                store; a restore may have lost others.
            known_since: When this node first knew the store's present era.
            now: Time in seconds.
        """

    def set_node_count(self, count: int) -> None:  # noqa: B027
        """Sets the number of known nodes, this one included."""

    def take_notes(self, now: float) -> list[str]:
        """Returns lines for the log, each once; asked only of the owner."""
        return []

    def begin(self, now: float) -> None:  # noqa: B027
        """Notes that this node may make calls from now on."""

    def end(self, now: float) -> None:  # noqa: B027
        """Notes that this node may make no calls any more."""

    @abc.abstractmethod
    def is_due(self, now: float) -> bool:
        """Tells whether there may be calls to make; asked only of the owner."""

    @abc.abstractmethod
    def build_calls(self, now: float) -> list[Call]:
        """Returns the calls to make now.

        A call replaces an unsent one of the same subject. While a call of a
        subject is in flight, further calls of it wait for its result.
        """

    @abc.abstractmethod
    def record_result(self, call: Call, result: Result, now: float) -> None:
        """Records what became of a call."""

    def build_records(self, now: float) -> list[Record]:
        """Returns records to write, each on the condition that it is absent."""
        return []

    def record_written(  # noqa: B027
        self, record: Record, call: Call | None, now: float
    ) -> None:
        """Records the result of a write.

        Args:
            record: The record to write.
            call: The content that the store holds now; `None` if it is unknown.
            now: Time in seconds.
        """

    def export(self, target: str, now: float) -> Mapping[str, Any]:
        """Returns JSON values for the owner of the duty and its successor.

        Args:
            target: Identifies the process that receives them.
            now: Time in seconds.

        Returns:
            The values, or nothing if the process has confirmed the latest ones.
        """
        return {}

    def record_confirmed(  # noqa: B027
        self, target: str, values: Mapping[str, Any]
    ) -> None:
        """Records that a process has received exported values."""

    def merge(self, values: Mapping[str, Any], now: float) -> None:  # noqa: B027
        """Merges the values that another node exported.

        Raises:
            AttributeError, KeyError, TypeError, ValueError: The values are
                malformed.
        """
