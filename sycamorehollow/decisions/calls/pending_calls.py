"""Pending calls of a process, and the operations that they wait for."""

import dataclasses
import enum
from typing import Protocol

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.calls import call_records as records
from sycamorehollow.model import commands
from sycamorehollow.model import failures
from sycamorehollow.model import requests

OUTCOME_RETRY_AFTER_S = 2.0


class Phase(enum.Enum):
    """What a pending call waits for."""

    CLAIMING = "claiming"  # The write of the claim.
    CHECKING_CLAIM = "checking"  # The read-back of a claim in doubt.
    DISPATCHED = "dispatched"  # The response of the service.
    LOOKING_UP_OWN = "resolving"  # An outcome lookup of the own call.
    RECORDING_OUTCOME = "recording"  # The write of the outcome.
    RELEASING_CLAIM = "releasing"  # The write of `not_run` over the claim.
    READING_RECORD = "reading"  # A read of the record.
    WAITING_FOR_OWNER = "asking"  # The response of the owner.
    LOOKING_UP_FOREIGN = "looking"  # An outcome lookup of a foreign call.


# Phases before a dispatch by this process.
BEFORE_DISPATCH = (Phase.CLAIMING, Phase.CHECKING_CLAIM)
# Phases in which another process owns the call.
OWNED_ELSEWHERE = (
    Phase.READING_RECORD,
    Phase.WAITING_FOR_OWNER,
    Phase.LOOKING_UP_FOREIGN,
)


@dataclasses.dataclass
class PendingCall:
    """A key that this process works on.

    Attributes:
        call: Call to run; `None` for a request of the outcome only.
        nonce: Random id of this claim.
        created_s: Wall-clock time of the first request in whole seconds.
        waiters: Deadlines of waiting callers by request id.
        peer_waiters: Deadlines of waiting peers by peer request id.
        op: Id of the operation that it waits for, or empty.
        expected_revision: Revision for the next compare-and-swap.
        is_claim_in_doubt: Whether an earlier write of the claim may still take
            effect.
        foreign_record: Latest record found of another process.
        target_record: Record to write in the last phase.
        result: Result given to callers, once there is one.
        foreign_record_count: Number of records found of other processes.
        retry_at: Time of the next write, when one is due without an event.
    """

    workspace: str
    key: str
    nonce: str
    call: requests.ServiceCall | None
    created_s: int = 0
    waiters: dict[str, float] = dataclasses.field(default_factory=dict)
    peer_waiters: dict[str, float] = dataclasses.field(default_factory=dict)
    phase: Phase = Phase.CLAIMING
    op: str = ""
    expected_revision: int = 0
    is_claim_in_doubt: bool = False
    foreign_record: records.CallRecord | None = None
    target_record: records.CallRecord | None = None
    result: messages.Result | None = None
    foreign_record_count: int = 0
    retry_at: float | None = None

    @property
    def identity(self) -> tuple[str, str, bool]:
        """Workspace, key and whether the entry may run the call."""
        return (self.workspace, self.key, self.call is not None)

    def get_deadline(self, default: float) -> float:
        """Returns the latest deadline of the waiting callers."""
        return max(self.waiters.values(), default=default)


class PendingCallTable:
    """Pending calls by key and by the operation that they wait for."""

    def __init__(self, prefix: str):
        """Creates an empty table.

        Args:
            prefix: Prefix of operation ids, unique within the process.
        """
        self._prefix = prefix
        self._entries: dict[tuple[str, str, bool], PendingCall] = {}
        self._ops: dict[str, PendingCall] = {}
        self._next_op = 0

    def __len__(self) -> int:
        return len(self._entries)

    def list_calls(self) -> list[PendingCall]:
        """Returns all pending calls."""
        return list(self._entries.values())

    def find(
        self, workspace: str, key: str, may_run: bool
    ) -> PendingCall | None:
        """Returns the pending call of a key, or `None`."""
        return self._entries.get((workspace, key, may_run))

    def add(self, entry: PendingCall) -> None:
        """Adds a pending call under its key."""
        self._entries[entry.identity] = entry

    def take_op(self, op: str) -> PendingCall | None:
        """Ends an operation and returns the call that waited for it."""
        entry = self._ops.pop(op, None)
        if entry is not None:
            entry.op = ""
        return entry

    def start_op(self, entry: PendingCall, phase: Phase) -> str:
        """Returns a new operation id, and drops the previous one."""
        self._ops.pop(entry.op, None)
        self._next_op += 1
        entry.op = f"{self._prefix}{self._next_op}"
        entry.phase = phase
        entry.retry_at = None
        self._ops[entry.op] = entry
        return entry.op

    def close(self, entry: PendingCall) -> None:
        """Removes a pending call."""
        self._ops.pop(entry.op, None)
        self._entries.pop(entry.identity, None)

    def write(
        self, entry: PendingCall, phase: Phase, record: records.CallRecord
    ) -> commands.Command:
        """Returns the command that writes the record of a call."""
        return messages.WriteCallRecord(
            self.start_op(entry, phase),
            records.make_record_key(entry.workspace, entry.key),
            records.encode_record(record),
            entry.expected_revision,
        )

    def read(self, entry: PendingCall, phase: Phase) -> commands.Command:
        """Returns the command that reads the record of a call."""
        return messages.ReadCallRecord(
            self.start_op(entry, phase),
            records.make_record_key(entry.workspace, entry.key),
        )

    def look_up_outcome(
        self, entry: PendingCall, phase: Phase, service: str, operation: str
    ) -> commands.Command:
        """Returns the command that looks up the outcome at the service."""
        return messages.LookUpOutcome(
            self.start_op(entry, phase),
            service,
            operation,
            records.make_service_key(entry.workspace, entry.key),
        )


class Waited(Protocol):
    """Something that callers and peers wait for."""

    waiters: dict[str, float]
    peer_waiters: dict[str, float]


def reply_to_all(
    entry: Waited, result: messages.Result
) -> list[commands.Command]:
    """Returns the replies to all waiters and removes them."""
    replies: list[commands.Command] = []
    for request_id in entry.waiters:
        replies.append(messages.Reply(request_id, result))
    for peer_request_id in entry.peer_waiters:
        replies.append(messages.ReplyToPeer(peer_request_id, result))
    entry.waiters.clear()
    entry.peer_waiters.clear()
    return replies


def reply_to_expired(entry: Waited, now: float) -> list[commands.Command]:
    """Returns replies to waiters past their deadline and removes them."""
    replies: list[commands.Command] = []
    for request_id, deadline in list(entry.waiters.items()):
        if deadline > now:
            continue
        del entry.waiters[request_id]
        replies.append(messages.Reply(request_id, make_unknown_outcome()))
    for peer_request_id, deadline in list(entry.peer_waiters.items()):
        if deadline > now:
            continue
        del entry.peer_waiters[peer_request_id]
        replies.append(
            messages.ReplyToPeer(peer_request_id, make_unknown_outcome())
        )
    return replies


def make_unknown_outcome() -> messages.UnknownOutcome:
    """Returns the failure for a call that may have run."""
    return messages.UnknownOutcome(
        reason="the call may have run and its outcome is not known yet",
        retry_after_s=OUTCOME_RETRY_AFTER_S,
    )


def make_key_conflict() -> messages.KeyConflict:
    """Returns the failure for a key with different call content."""
    return messages.KeyConflict(
        reason="the key belongs to a call with different content"
    )


def make_deadline_exceeded() -> failures.Failure:
    """Returns the failure for a call whose deadline passed unsent."""
    return failures.DeadlineExceeded(
        reason="the deadline passed before the call was sent"
    )
