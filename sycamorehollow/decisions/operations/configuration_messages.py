"""Events and commands of the configuration."""

import dataclasses

from sycamorehollow.decisions.operations import config_branches
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events


@dataclasses.dataclass(frozen=True)
class Peer:
    """A live entry process."""

    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class MembersUpdated(events.Event):
    """The live members changed; this process itself may be left out."""

    members: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True)
class Value:
    """A value under `config/`; `text` is `None` for a deleted key."""

    key: str
    revision: int
    text: str | None


@dataclasses.dataclass(frozen=True)
class StoreResponded(events.Event):
    """A range read or a watch returned.

    Attributes:
        call: Call number from the command.
        values: Values returned; empty for a watch without changes.
        revision: Store revision of the response.
    """

    call: int
    values: tuple[Value, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class StoreFailed(events.Event):
    """A range read or a watch failed."""

    call: int
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class ReadRange(commands.Command):
    """Requests all values under a prefix."""

    call: int
    prefix: str


@dataclasses.dataclass(frozen=True)
class StartWatch(commands.Command):
    """Requests the changes under a prefix after a revision."""

    call: int
    prefix: str
    after: int
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class CancelCall(commands.Command):
    """Cancels a range read or watch whose result is not needed."""

    call: int


@dataclasses.dataclass(frozen=True)
class PushDeltaTo(commands.Command):
    """Sends a delta to the given peers at once, without an exchange."""

    targets: tuple[str, ...]
    kind: str
    delta: bytes


@dataclasses.dataclass(frozen=True)
class StartExchanges(commands.Command):
    """Starts digest exchanges with the given peers."""

    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged(commands.Command):
    """Reports the configuration that came into force."""

    deployment: deployment.Deployment


@dataclasses.dataclass(frozen=True)
class BranchesRejected(commands.Command):
    """Reports branches whose latest revision is not in force."""

    faults: config_branches.Faults
