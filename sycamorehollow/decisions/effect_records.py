"""Records of non-idempotent calls, as they stand in the store."""

import base64
import dataclasses
import enum
import hashlib
import json
import urllib.parse

from sycamorehollow.decisions import effect_messages
from sycamorehollow.model import requests

# Records are kept for a day; a sweep deletes older ones.
RECORD_LIFE_S = 24 * 3600.0


class State(enum.Enum):
    """State of a call."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True)
class Record:
    """The stored state of a key.

    Attributes:
        state: State of the call.
        address: Address of the process that claimed the key.
        incarnation: Incarnation of that process.
        nonce: Number that the process drew for this claim.
        service: Service of the call.
        operation: Operation of the call.
        digest: Hash of the content of the call.
        outcome: Response of the service in state `DONE`.
    """

    state: State
    address: str
    incarnation: int
    nonce: str
    service: str
    operation: str
    digest: str
    outcome: effect_messages.Outcome | None = None


def make_record_key(workspace: str, key: str) -> str:
    """Returns the store key of a caller's key."""
    return f"effects/{_quote(workspace)}/{_quote(key)}"


def make_outcome_key(workspace: str, ticket: str) -> str:
    """Returns the store key of a ticket's outcome."""
    return f"outcomes/{_quote(workspace)}/{_quote(ticket)}"


def make_service_key(workspace: str, key: str) -> str:
    """Returns the idempotency key that the service sees."""
    return f"{_quote(workspace)}:{_quote(key)}"


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def compute_digest(call: requests.ServiceCall) -> str:
    """Returns a hash of the content of a call."""
    head = json.dumps([call.service, call.operation]).encode("utf-8")
    return hashlib.sha256(head + b"\n" + call.body).hexdigest()


def encode_record(record: Record) -> str:
    """Returns the JSON form of a record."""
    document: dict[str, object] = {
        "state": record.state.value,
        "address": record.address,
        "incarnation": record.incarnation,
        "nonce": record.nonce,
        "service": record.service,
        "operation": record.operation,
        "digest": record.digest,
    }
    if record.outcome is not None:
        body = base64.b64encode(record.outcome.body).decode("ascii")
        document["status"] = record.outcome.status
        document["body"] = body
    return json.dumps(document, sort_keys=True)


def decode_record(value: str | None) -> Record | None:
    """Returns the record of a stored value, or `None` if it is not one."""
    if value is None:
        return None
    try:
        document = json.loads(value)
        state = State(document["state"])
        outcome = None
        if state is State.DONE:
            outcome = effect_messages.Outcome(
                int(document["status"]), base64.b64decode(document["body"])
            )
        return Record(
            state=state,
            address=document["address"],
            incarnation=document["incarnation"],
            nonce=document["nonce"],
            service=document["service"],
            operation=document["operation"],
            digest=document["digest"],
            outcome=outcome,
        )
    except (ValueError, KeyError, TypeError):
        return None
