"""Calls that a process works on, and the operations that they wait for."""

import dataclasses
import enum
from typing import Protocol

from sycamorehollow.decisions.calls import effect_messages as messages
from sycamorehollow.decisions.calls import effect_records as records
from sycamorehollow.model import commands
from sycamorehollow.model import failures
from sycamorehollow.model import requests

OUTCOME_RETRY_S = 2.0


class Phase(enum.Enum):
    """What an entry waits for."""

    CLAIMING = "claiming"  # The write of the claim.
    CHECKING = "checking"  # The read after a claim in doubt.
    DISPATCHED = "dispatched"  # The response of the service.
    RESOLVING = "resolving"  # A status lookup of the own dispatch.
    RECORDING = "recording"  # The write of the outcome.
    RELEASING = "releasing"  # The write of `not_run` over the own claim.
    READING = "reading"  # A read of the record.
    ASKING = "asking"  # The response of the owner.
    LOOKING = "looking"  # A status lookup of another process's call.


# Phases in which this process has not dispatched but still may.
BEFORE_DISPATCH = (Phase.CLAIMING, Phase.CHECKING)
# Phases in which another process owns the call.
FOREIGN = (Phase.READING, Phase.ASKING, Phase.LOOKING)


@dataclasses.dataclass
class Entry:
    """A key that this process works on.

    Attributes:
        call: The call to run; `None` for a question about the outcome.
        nonce: Drawn for the claim of this entry.
        made_s: Wall-clock time of the first caller in whole seconds.
        waiters: Deadline of each caller that waits, by request id.
        askers: Deadline of each peer that waits, by ask id.
        op: Id of the operation that the entry waits for, or empty.
        expect: Revision that the next write expects.
        doubtful: Whether an earlier write of the claim may still land.
        record: Last record seen of another process.
        target: Record that the entry writes in its last phase.
        result: What callers were told once the entry has a result.
        observations: Number of records of other processes seen.
        retry_at: Time of the next write, when one is due without an event.
    """

    workspace: str
    key: str
    nonce: str
    call: requests.ServiceCall | None
    made_s: int = 0
    waiters: dict[str, float] = dataclasses.field(default_factory=dict)
    askers: dict[str, float] = dataclasses.field(default_factory=dict)
    phase: Phase = Phase.CLAIMING
    op: str = ""
    expect: int = 0
    doubtful: bool = False
    record: records.Record | None = None
    target: records.Record | None = None
    result: messages.Result | None = None
    observations: int = 0
    retry_at: float | None = None

    @property
    def identity(self) -> tuple[str, str, bool]:
        """Workspace, key and whether the entry may run a call."""
        return (self.workspace, self.key, self.call is not None)

    def get_deadline(self, default: float) -> float:
        """Returns the latest deadline of a waiting caller."""
        return max(self.waiters.values(), default=default)


class EntryTable:
    """Entries by key and by the operation that they wait for."""

    def __init__(self, prefix: str):
        """Creates an empty table.

        Args:
            prefix: Start of the operation ids, unique within the process.
        """
        self._prefix = prefix
        self._entries: dict[tuple[str, str, bool], Entry] = {}
        self._ops: dict[str, Entry] = {}
        self._next_op = 0

    def __len__(self) -> int:
        return len(self._entries)

    def list_entries(self) -> list[Entry]:
        """Returns all entries."""
        return list(self._entries.values())

    def find(self, workspace: str, key: str, runs: bool) -> Entry | None:
        """Returns the entry of a key, or `None`."""
        return self._entries.get((workspace, key, runs))

    def add(self, entry: Entry) -> None:
        """Adds an entry under its key."""
        self._entries[entry.identity] = entry

    def take_op(self, op: str) -> Entry | None:
        """Ends an operation and returns the entry that waited for it."""
        entry = self._ops.pop(op, None)
        if entry is not None:
            entry.op = ""
        return entry

    def start_op(self, entry: Entry, phase: Phase) -> str:
        """Returns a new operation id; a result of the last one is ignored."""
        self._ops.pop(entry.op, None)
        self._next_op += 1
        entry.op = f"{self._prefix}{self._next_op}"
        entry.phase = phase
        entry.retry_at = None
        self._ops[entry.op] = entry
        return entry.op

    def close(self, entry: Entry) -> None:
        """Drops an entry."""
        self._ops.pop(entry.op, None)
        self._entries.pop(entry.identity, None)

    def write(
        self, entry: Entry, phase: Phase, record: records.Record
    ) -> commands.Command:
        """Returns the command that writes the record of an entry."""
        return messages.WriteRecord(
            self.start_op(entry, phase),
            records.make_record_key(entry.workspace, entry.key),
            records.encode_record(record),
            entry.expect,
        )

    def read(self, entry: Entry, phase: Phase) -> commands.Command:
        """Returns the command that reads the record of an entry."""
        return messages.ReadRecord(
            self.start_op(entry, phase),
            records.make_record_key(entry.workspace, entry.key),
        )

    def look_up(
        self, entry: Entry, phase: Phase, service: str, operation: str
    ) -> commands.Command:
        """Returns the command that asks the service for the outcome."""
        return messages.LookUp(
            self.start_op(entry, phase),
            service,
            operation,
            records.make_service_key(entry.workspace, entry.key),
        )


class Waiting(Protocol):
    """Anything that callers and peers wait for."""

    waiters: dict[str, float]
    askers: dict[str, float]


def answer_all(
    entry: Waiting, result: messages.Result
) -> list[commands.Command]:
    """Returns the answers to everyone who waits for an entry."""
    answers: list[commands.Command] = []
    for request_id in entry.waiters:
        answers.append(messages.Reply(request_id, result))
    for ask in entry.askers:
        answers.append(messages.AnswerPeer(ask, result))
    entry.waiters.clear()
    entry.askers.clear()
    return answers


def answer_expired(entry: Waiting, now: float) -> list[commands.Command]:
    """Returns the answers to everyone whose deadline has passed."""
    answers: list[commands.Command] = []
    for request_id, deadline in list(entry.waiters.items()):
        if deadline > now:
            continue
        del entry.waiters[request_id]
        answers.append(messages.Reply(request_id, make_unknown()))
    for ask, deadline in list(entry.askers.items()):
        if deadline > now:
            continue
        del entry.askers[ask]
        answers.append(messages.AnswerPeer(ask, make_unknown()))
    return answers


def make_unknown() -> messages.UnknownOutcome:
    """Returns the failure for a call that may have run."""
    return messages.UnknownOutcome(
        reason="the call may have run and its outcome is not known yet",
        retry_after_s=OUTCOME_RETRY_S,
    )


def make_key_conflict() -> messages.KeyConflict:
    """Returns the failure for a key that is used for another call."""
    return messages.KeyConflict(
        reason="the key belongs to a call with different content"
    )


def make_too_late() -> failures.Failure:
    """Returns the failure for a call that was claimed too late."""
    return failures.DeadlineExceeded(
        reason="the deadline passed before the call was sent"
    )
