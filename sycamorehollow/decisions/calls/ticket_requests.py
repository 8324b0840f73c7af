"""Callers and peers that ask about a ticket."""

import dataclasses

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.model import commands
from sycamorehollow.model import requests


@dataclasses.dataclass
class TicketRequest:
    """A caller or a peer that wants a ticket run or its outcome."""

    request_id: str
    peer_request_id: str
    workspace: str
    key: str
    service: str
    operation: str
    deadline: float
    call: requests.ServiceCall | None
    op: str = ""


def from_call(call: requests.ServiceCall) -> TicketRequest:
    """Returns the asker for a call that arrived."""
    return TicketRequest(
        call.request_id,
        "",
        call.workspace,
        call.key,
        call.service,
        call.operation,
        call.deadline,
        call,
    )


def from_question(request: messages.OutcomeRequested) -> TicketRequest:
    """Returns the asker for a question of a caller."""
    return TicketRequest(
        request.request_id,
        "",
        request.workspace,
        request.key,
        request.service,
        request.operation,
        request.deadline,
        None,
    )


def from_peer(request: messages.PeerRequestReceived) -> TicketRequest:
    """Returns the asker for a question of another process."""
    return TicketRequest(
        "",
        request.peer_request_id,
        request.workspace,
        request.key,
        "",
        "",
        request.deadline,
        request.call,
    )


def make_reply(
    request: TicketRequest, result: messages.Result
) -> commands.Command:
    """Returns the command that answers an asker."""
    if request.peer_request_id:
        return messages.ReplyToPeer(request.peer_request_id, result)
    return messages.Reply(request.request_id, result)
