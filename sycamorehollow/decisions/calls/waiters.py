"""Callers and peers that wait for the result of a ticket."""

import dataclasses

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.model import commands
from sycamorehollow.model import requests


@dataclasses.dataclass
class Waiter:
    """A caller or peer that requested a run of a ticket, or its outcome."""

    request_id: str
    peer_request_id: str
    workspace: str
    key: str
    service: str
    operation: str
    deadline: float
    call: requests.ServiceCall | None
    op: str = ""


def from_call(call: requests.ServiceCall) -> Waiter:
    """Returns the waiter for a call of a caller."""
    return Waiter(
        call.request_id,
        "",
        call.workspace,
        call.key,
        call.service,
        call.operation,
        call.deadline,
        call,
    )


def from_outcome_request(event: messages.OutcomeRequested) -> Waiter:
    """Returns the waiter for an outcome request of a caller."""
    return Waiter(
        event.request_id,
        "",
        event.workspace,
        event.key,
        event.service,
        event.operation,
        event.deadline,
        None,
    )


def from_peer(event: messages.PeerRequestReceived) -> Waiter:
    """Returns the waiter for a request of another process."""
    return Waiter(
        "",
        event.peer_request_id,
        event.workspace,
        event.key,
        "",
        "",
        event.deadline,
        event.call,
    )


def reply(waiter: Waiter, result: messages.Result) -> commands.Command:
    """Returns the command that replies to a waiter."""
    if waiter.peer_request_id:
        return messages.ReplyToPeer(waiter.peer_request_id, result)
    return messages.Reply(waiter.request_id, result)
