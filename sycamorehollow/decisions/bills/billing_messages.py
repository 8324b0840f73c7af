"""Bills, their batches, and the events, commands and failures of billing."""

from collections.abc import Iterable
import dataclasses
import json
from typing import ClassVar

from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import identity

BILLS_PREFIX = "bills/"


Process = identity.Process


@dataclasses.dataclass(frozen=True)
class Usage:
    """Tokens of one attempt at a version."""

    version: deployment.Version
    prompt_tokens: int
    output_tokens: int

    @property
    def price(self) -> int:
        """Price in nano-units of currency; prices are micro per 1,000."""
        return (
            self.version.prompt_price * self.prompt_tokens
            + self.version.output_price * self.output_tokens
        )


@dataclasses.dataclass(frozen=True)
class Bill:
    """Charge for one request.

    Attributes:
        workspace: Workspace that pays.
        identity: Idempotency key of the caller, or else the request id.
        version: Version that produced the delivered response.
        amount: Nano-units of currency that the workspace pays.
        internal_cost: Nano-units spent on discarded attempts, not billed.
    """

    workspace: str
    identity: str
    version: str
    prompt_tokens: int
    output_tokens: int
    amount: int
    internal_cost: int = 0


@dataclasses.dataclass(frozen=True)
class Item:
    """A bill, or the outcome of a ticket with its store key and value."""

    bill: Bill | None
    key: str = ""
    value: str = ""

    def encode(self) -> str:
        """Returns the JSON form, the same for equal items."""
        if self.bill is not None:
            document: dict[str, object] = {
                "bill": dataclasses.asdict(self.bill)
            }
        else:
            document = {"key": self.key, "value": self.value}
        return json.dumps(document, sort_keys=True)


@dataclasses.dataclass(frozen=True)
class SpoolPart:
    """Items of one group commit that are sent to the spool of a peer.

    Attributes:
        origin: Process that created the batch.
        sequence: Number of the batch at its origin.
        part: Number of the group commit within the batch.
        items: Encoded items.
        oldest: Lowest sequence that the origin has not stored yet; the peer
            drops all batches below it.
    """

    origin: Process
    sequence: int
    part: int
    items: tuple[str, ...]
    oldest: int


@dataclasses.dataclass(frozen=True)
class BillingBacklog(failures.Failure):
    """Bills that could not be stored fill the memory reserved for them."""

    code: ClassVar[str] = "billing_backlog"
    status: ClassVar[int] = 503


@dataclasses.dataclass(frozen=True)
class BillReady(events.Event):
    """A response is complete or aborted; its last chunk is held back.

    Attributes:
        token: Id for the release of the last chunk; empty if none is held back.
    """

    token: str
    bill: Bill


@dataclasses.dataclass(frozen=True)
class OutcomeReady(events.Event):
    """A ticket has an outcome that must be replicated to a peer."""

    key: str
    value: str


@dataclasses.dataclass(frozen=True)
class PeersChanged(events.Event):
    """The set of live peers, without this process, has changed."""

    peers: tuple[Process, ...]


@dataclasses.dataclass(frozen=True)
class Flush(events.Event):
    """The process shuts down; no item may wait for a timer any longer."""


@dataclasses.dataclass(frozen=True)
class SpoolAcknowledged(events.Event):
    """A peer has acknowledged that it holds a part."""

    op: str


@dataclasses.dataclass(frozen=True)
class BatchWritten(events.Event):
    """A write of a batch took effect."""

    op: str


@dataclasses.dataclass(frozen=True)
class BatchConflict(events.Event):
    """The key of a batch already has a value."""

    op: str
    value: str


@dataclasses.dataclass(frozen=True)
class OperationFailed(events.Event):
    """An operation was refused, not sent, or has an unknown result.

    Both operations of billing are idempotent, so the three cases are handled
    alike; `failure.execution` distinguishes them.
    """

    op: str
    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class SpoolReceived(events.Event):
    """A peer requests that this process holds a part."""

    peer_request_id: str
    part: SpoolPart


@dataclasses.dataclass(frozen=True)
class OriginAdvanced(events.Event):
    """An origin has stored all its batches below a sequence."""

    origin: Process
    oldest: int


@dataclasses.dataclass(frozen=True)
class OriginEnded(events.Event):
    """An origin, which is one incarnation of a process, has ended."""

    origin: Process


@dataclasses.dataclass(frozen=True)
class OriginRevived(events.Event):
    """An origin that was assumed to have ended is alive."""

    origin: Process


@dataclasses.dataclass(frozen=True)
class SpoolToPeer(commands.Command):
    """Sends a part to a peer; ends in an acknowledgement or a failure."""

    op: str
    peer: Process
    part: SpoolPart


@dataclasses.dataclass(frozen=True)
class NotifyAdvance(commands.Command):
    """Notifies a peer that batches below a sequence are stored; best effort."""

    peer: Process
    oldest: int


@dataclasses.dataclass(frozen=True)
class WriteBatch(commands.Command):
    """Writes a value to the store if its key is absent."""

    op: str
    key: str
    value: str


@dataclasses.dataclass(frozen=True)
class ReleaseResponse(commands.Command):
    """Sends the last chunk of a response.

    Attributes:
        exposed: Whether only this process holds the bill.
    """

    token: str
    exposed: bool


@dataclasses.dataclass(frozen=True)
class ReplyToSpool(commands.Command):
    """Replies to a spool request; `failure` is `None` if the part is held."""

    peer_request_id: str
    failure: failures.Failure | None


def make_bill(
    workspace: str,
    request_id: str,
    idempotency_key: str,
    delivered: Usage,
    discarded: Iterable[Usage] = (),
) -> Bill | None:
    """Returns the bill of a request, or `None` if nothing was delivered."""
    if delivered.output_tokens == 0:
        return None
    return Bill(
        workspace=workspace,
        identity=make_identity(request_id, idempotency_key),
        version=delivered.version.name,
        prompt_tokens=delivered.prompt_tokens,
        output_tokens=delivered.output_tokens,
        amount=delivered.price,
        internal_cost=sum(usage.price for usage in discarded),
    )


def make_identity(request_id: str, idempotency_key: str) -> str:
    """Returns the identity that a request is billed under.

    The prefixes keep keys that callers choose from colliding with the ids of
    other requests of the workspace.
    """
    if idempotency_key:
        return f"key:{idempotency_key}"
    return f"request:{request_id}"


def make_batch_key(process: Process, name: str) -> str:
    """Returns the store key of a batch.

    The key includes the address because two processes of a data centre may
    have started at the same clock reading, which gives equal incarnations.
    """
    run = f"{process.address}-{process.incarnation}"
    return f"{BILLS_PREFIX}{process.data_centre}/{run}/{name}"


def encode_batch(items: Iterable[str]) -> str:
    """Returns the stored form of encoded items."""
    return '{"items": [' + ", ".join(items) + "]}"


def decode_bills(value: str) -> list[Bill]:
    """Returns the bills of a stored batch; raises `ValueError` if damaged."""
    try:
        bills = []
        for document in json.loads(value)["items"]:
            if "bill" in document:
                bills.append(Bill(**document["bill"]))
        return bills
    except (KeyError, TypeError) as error:
        raise ValueError("the batch is damaged") from error


def decode_outcome(encoded: str) -> tuple[str, str] | None:
    """Returns key and value of an encoded outcome, `None` for a bill."""
    document = json.loads(encoded)
    if "bill" in document:
        return None
    return document["key"], document["value"]
