"""Stored records of non-idempotent calls."""

import base64
from collections.abc import Iterable
import dataclasses
import enum
import hashlib
import json
import urllib.parse

from sycamorehollow.decisions.calls import call_messages
from sycamorehollow.model import requests

EFFECTS_PREFIX = "effects/"
OUTCOMES_PREFIX = "outcomes/"
PREFIXES = (EFFECTS_PREFIX, OUTCOMES_PREFIX)
RECORD_TTL_S = 24 * 3600
# Bound on the clock difference of VMs at which no record expires early.
CLOCK_MARGIN_S = 3600


class CallState(enum.Enum):
    """State of a call."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True)
class CallRecord:
    """The stored state of a key.

    Attributes:
        state: State of the call.
        address: Address of the process that claimed the key.
        incarnation: Incarnation of that process.
        nonce: Random id of the claim.
        service: Service of the call.
        operation: Operation of the call.
        digest: Hash of the content of the call.
        created_s: Wall-clock time of the process in whole seconds.
        outcome: Response of the service in state `DONE`.
    """

    state: CallState
    address: str
    incarnation: int
    nonce: str
    service: str
    operation: str
    digest: str
    created_s: int
    outcome: call_messages.Outcome | None = None


def make_record_key(workspace: str, key: str) -> str:
    """Returns the store key for a caller's key."""
    return f"{EFFECTS_PREFIX}{_quote(workspace)}/{_quote(key)}"


def make_outcome_key(workspace: str, ticket: str) -> str:
    """Returns the store key for a ticket's outcome."""
    return f"{OUTCOMES_PREFIX}{_quote(workspace)}/{_quote(ticket)}"


def make_service_key(workspace: str, key: str) -> str:
    """Returns the idempotency key to use at the service."""
    return f"{_quote(workspace)}:{_quote(key)}"


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def compute_digest(call: requests.ServiceCall) -> str:
    """Returns a hash of the content of a call."""
    head = json.dumps([call.service, call.operation]).encode("utf-8")
    return hashlib.sha256(head + b"\n" + call.body).hexdigest()


def encode_record(record: CallRecord) -> str:
    """Returns the JSON form of a record."""
    document: dict[str, object] = {
        "state": record.state.value,
        "address": record.address,
        "incarnation": record.incarnation,
        "nonce": record.nonce,
        "service": record.service,
        "operation": record.operation,
        "digest": record.digest,
        "made_s": record.created_s,
    }
    if record.outcome is not None:
        body = base64.b64encode(record.outcome.body).decode("ascii")
        document["status"] = record.outcome.status
        document["body"] = body
    return json.dumps(document, sort_keys=True)


def decode_record(value: str | None) -> CallRecord | None:
    """Returns the record in a stored value, or `None` if malformed."""
    if value is None:
        return None
    try:
        document = json.loads(value)
        state = CallState(document["state"])
        outcome = None
        if state is CallState.DONE:
            outcome = call_messages.Outcome(
                int(document["status"]), base64.b64decode(document["body"])
            )
        return CallRecord(
            state=state,
            address=document["address"],
            incarnation=document["incarnation"],
            nonce=document["nonce"],
            service=document["service"],
            operation=document["operation"],
            digest=document["digest"],
            created_s=int(document["made_s"]),
            outcome=outcome,
        )
    except (ValueError, KeyError, TypeError):
        return None


def find_expired(
    items: Iterable[tuple[str, str, int]], wall_s: float
) -> list[tuple[str, int]]:
    """Returns the records that may be deleted.

    A process that was paused before dispatching an expired claim cannot
    dispatch it any more, because the dispatch has a deadline.

    Args:
        items: Key, value and revision of call records and ticket outcomes.
        wall_s: Wall-clock time in seconds.

    Returns:
        Key and revision of each record to delete at exactly that revision.
    """
    expired = []
    for key, value, revision in items:
        record = decode_record(value)
        if record is None:
            continue
        if record.created_s + RECORD_TTL_S + CLOCK_MARGIN_S < wall_s:
            expired.append((key, revision))
    return expired
