"""Encoding of call requests and results between entry processes."""

import base64
import json

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.model import failures
from sycamorehollow.model import requests

PEER_REQUEST_KIND = "ticket-call"
PEER_RESULT_KIND = "ticket-result"

_FAILURES: dict[str, type[failures.Failure]] = {
    kind.code: kind
    for kind in (
        messages.KeyConflict,
        messages.NotRun,
        messages.UnknownOutcome,
        messages.NotHeld,
        messages.WrongIncarnation,
        messages.InvalidTicket,
        messages.Overloaded,
        failures.DeadlineExceeded,
    )
}


def encode_peer_request(
    command: messages.RequestFromOwner, now: float
) -> bytes:
    """Encodes a peer request; deadlines are sent as remaining time."""
    document: dict[str, object] = {
        "incarnation": command.incarnation,
        "workspace": command.workspace,
        "key": command.key,
        "remaining_s": command.deadline - now,
    }
    call = command.call
    if call is not None:
        document["call"] = {
            "request_id": call.request_id,
            "service": call.service,
            "operation": call.operation,
            "body": base64.b64encode(call.body).decode("ascii"),
            "remaining_s": call.deadline - now,
        }
    return json.dumps(document).encode("utf-8")


def decode_peer_request(
    payload: bytes, peer_request_id: str, now: float
) -> messages.PeerRequestReceived | None:
    """Decodes a peer request; returns `None` if it is malformed.

    Args:
        payload: Result of `encode_peer_request` at another process.
        peer_request_id: Id for the reply of this process.
        now: Monotonic time of this process in seconds.
    """
    try:
        document = json.loads(payload)
        call = None
        if "call" in document:
            part = document["call"]
            call = requests.ServiceCall(
                request_id=part["request_id"],
                workspace=document["workspace"],
                service=part["service"],
                operation=part["operation"],
                key=document["key"],
                body=base64.b64decode(part["body"]),
                deadline=now + part["remaining_s"],
            )
        return messages.PeerRequestReceived(
            peer_request_id=peer_request_id,
            incarnation=document["incarnation"],
            workspace=document["workspace"],
            key=document["key"],
            call=call,
            deadline=now + document["remaining_s"],
        )
    except (ValueError, KeyError, TypeError):
        return None


def encode_result(result: messages.Result) -> bytes:
    """Encodes a result."""
    document: dict[str, object]
    if isinstance(result, messages.Outcome):
        body = base64.b64encode(result.body).decode("ascii")
        document = {"status": result.status, "body": body}
    else:
        document = {
            "code": result.code,
            "reason": result.reason,
            "run": result.execution.value,
            "retry_after_s": result.retry_after_s,
        }
        if isinstance(result, messages.StoreDown):
            document["ticket"] = result.ticket
    return json.dumps(document).encode("utf-8")


def decode_result(payload: bytes) -> messages.Result | None:
    """Decodes a result; returns `None` if it is malformed.

    Callers must treat a malformed result like a missing one. A failure with a
    code unknown to this release keeps its `run`.
    """
    try:
        document = json.loads(payload)
        if "status" in document:
            body = base64.b64decode(document["body"])
            return messages.Outcome(document["status"], body)
        run = failures.Execution(document["run"])
        common = (document["reason"], run, document["retry_after_s"])
        if "ticket" in document:
            return messages.StoreDown(*common, ticket=document["ticket"])
        unknown = messages.UnknownOutcome
        if run is failures.Execution.NOT_STARTED:
            return _FAILURES.get(document["code"], messages.NotRun)(*common)
        return _FAILURES.get(document["code"], unknown)(*common)
    except (ValueError, KeyError, TypeError):
        return None
