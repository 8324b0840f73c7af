"""Events, commands and failures of non-idempotent calls."""

import dataclasses
from typing import ClassVar

from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import identity
from sycamorehollow.model import requests

Process = identity.Process


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The response of the service to a call that ran."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class StoreDown(failures.Failure):
    """The key cannot be claimed while the store is down.

    Attributes:
        ticket: A new ticket. A caller that has received only `run: no`
            responses may resend the call with it as the key.
    """

    code: ClassVar[str] = "store_down"
    status: ClassVar[int] = 503

    ticket: str = ""


@dataclasses.dataclass(frozen=True)
class KeyConflict(failures.Failure):
    """The key belongs to a call with different content."""

    code: ClassVar[str] = "key_conflict"
    status: ClassVar[int] = 409


@dataclasses.dataclass(frozen=True)
class NotRun(failures.Failure):
    """The call did not reach the service."""

    code: ClassVar[str] = "not_run"
    status: ClassVar[int] = 503


@dataclasses.dataclass(frozen=True)
class UnknownOutcome(failures.Failure):
    """The call may have run, and the service does not report an outcome."""

    code: ClassVar[str] = "unknown_outcome"
    status: ClassVar[int] = 504

    execution: failures.Execution = failures.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True)
class NotHeld(failures.Failure):
    """The process has no call under this key in memory."""

    code: ClassVar[str] = "not_held"
    status: ClassVar[int] = 404

    execution: failures.Execution = failures.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True)
class WrongIncarnation(failures.Failure):
    """The requested incarnation of the process has ended."""

    code: ClassVar[str] = "wrong_incarnation"
    status: ClassVar[int] = 410

    execution: failures.Execution = failures.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True)
class InvalidTicket(failures.Failure):
    """The ticket is forged, expired or from another workspace."""

    code: ClassVar[str] = "invalid_ticket"
    status: ClassVar[int] = 400


@dataclasses.dataclass(frozen=True)
class Overloaded(failures.Failure):
    """The process holds as many calls as its memory allows."""

    code: ClassVar[str] = "overloaded"
    status: ClassVar[int] = 503


Result = Outcome | failures.Failure


@dataclasses.dataclass(frozen=True)
class CallArrived(events.Event):
    """A caller sent a non-idempotent call."""

    call: requests.ServiceCall


@dataclasses.dataclass(frozen=True)
class OutcomeRequested(events.Event):
    """A caller requested the outcome of a key, without a run.

    Attributes:
        service: Service of the call, or empty; needed only for a ticket whose
            owner is gone.
    """

    request_id: str
    workspace: str
    key: str
    deadline: float
    service: str = ""
    operation: str = ""


@dataclasses.dataclass(frozen=True)
class PeerRequestReceived(events.Event):
    """Another process sent a request for a key that this process owns.

    Attributes:
        peer_request_id: Id to reply to.
        incarnation: Incarnation that the request is meant for.
        call: The call itself if the key is a ticket that may be run.
        deadline: Monotonic time of this process in seconds.
    """

    peer_request_id: str
    incarnation: int
    workspace: str
    key: str
    call: requests.ServiceCall | None
    deadline: float


@dataclasses.dataclass(frozen=True)
class CallRecordRead(events.Event):
    """A `ReadCallRecord` succeeded; `value` is `None` for an absent key."""

    op: str
    value: str | None
    revision: int


@dataclasses.dataclass(frozen=True)
class CallRecordWritten(events.Event):
    """A `WriteCallRecord` took effect."""

    op: str
    revision: int


@dataclasses.dataclass(frozen=True)
class CallRecordConflict(events.Event):
    """A `WriteCallRecord` found another revision and wrote nothing."""

    op: str
    revision: int
    value: str | None


@dataclasses.dataclass(frozen=True)
class ServiceResponded(events.Event):
    """The service responded to a `Dispatch`."""

    op: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True)
class OutcomeLookedUp(events.Event):
    """The service responded to a `LookUpOutcome`; `None` is absent."""

    op: str
    outcome: Outcome | None


@dataclasses.dataclass(frozen=True)
class OwnerReplied(events.Event):
    """The owner replied to a `RequestFromOwner`."""

    op: str
    result: Result


@dataclasses.dataclass(frozen=True)
class OpRefused(events.Event):
    """The receiver refused an operation; it had no effect."""

    op: str
    reason: str


@dataclasses.dataclass(frozen=True)
class OpNotSent(events.Event):
    """No byte of the operation was sent; it had no effect."""

    op: str
    reason: str


@dataclasses.dataclass(frozen=True)
class OpInDoubt(events.Event):
    """The operation may have taken effect."""

    op: str
    reason: str


@dataclasses.dataclass(frozen=True)
class ReadCallRecord(commands.Command):
    """Reads a record from the store."""

    op: str
    key: str


@dataclasses.dataclass(frozen=True)
class WriteCallRecord(commands.Command):
    """Writes a record once, by compare-and-swap if a revision is given."""

    op: str
    key: str
    value: str
    expected_revision: int | None


@dataclasses.dataclass(frozen=True)
class Dispatch(commands.Command):
    """Sends a call to its service, at most once.

    Attributes:
        service_key: Idempotency key at the service. It contains the workspace,
            so that equal keys of two workspaces do not collide.
        not_after: Monotonic time in seconds from which no byte may be sent;
            the shell then reports `OpNotSent`.
    """

    op: str
    call: requests.ServiceCall
    service_key: str
    not_after: float


@dataclasses.dataclass(frozen=True)
class LookUpOutcome(commands.Command):
    """Looks up the outcome of a key at the service."""

    op: str
    service: str
    operation: str
    service_key: str


@dataclasses.dataclass(frozen=True)
class RequestFromOwner(commands.Command):
    """Requests the result from the owner of a key.

    Attributes:
        call: The call to run if the key is a ticket, otherwise `None`.
    """

    op: str
    address: str
    incarnation: int
    workspace: str
    key: str
    call: requests.ServiceCall | None
    deadline: float


@dataclasses.dataclass(frozen=True)
class Reply(commands.Command):
    """Sends the result to a caller."""

    request_id: str
    result: Result


@dataclasses.dataclass(frozen=True)
class ReplyToPeer(commands.Command):
    """Sends the result to the process that requested it."""

    peer_request_id: str
    result: Result


@dataclasses.dataclass(frozen=True)
class SpoolOutcome(commands.Command):
    """Keeps the outcome of a ticket in the spool of a peer."""

    key: str
    value: str
