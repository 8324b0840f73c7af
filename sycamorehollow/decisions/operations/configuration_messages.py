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
    """The live members, with or without this process itself."""

    members: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True)
class Value:
    """A value below `config/`; `text` is `None` for a deleted key."""

    key: str
    revision: int
    text: str | None


@dataclasses.dataclass(frozen=True)
class StoreResponded(events.Event):
    """A range read or a watch returned.

    Attributes:
        call: Number from the command.
        values: What was returned; empty for a watch without changes.
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
    """Asks for all values below a prefix."""

    call: int
    prefix: str


@dataclasses.dataclass(frozen=True)
class StartWatch(commands.Command):
    """Asks for the changes below a prefix after a revision."""

    call: int
    prefix: str
    after: int
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class CancelCall(commands.Command):
    """Gives a range read or watch up; its result is no longer needed."""

    call: int


@dataclasses.dataclass(frozen=True)
class PushDeltaTo(commands.Command):
    """Asks to send a delta to the given peers without waiting."""

    targets: tuple[str, ...]
    kind: str
    delta: bytes


@dataclasses.dataclass(frozen=True)
class StartExchanges(commands.Command):
    """Asks for an exchange of digests with the given peers."""

    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged(commands.Command):
    """Tells that another configuration is in force."""

    deployment: deployment.Deployment


@dataclasses.dataclass(frozen=True)
class BranchesRejected(commands.Command):
    """Tells which branches are not in force at their latest revision."""

    faults: config_branches.Faults
