"""Callers and peers that ask about a ticket."""

import dataclasses

from sycamorehollow.decisions.calls import effect_messages as messages
from sycamorehollow.model import commands
from sycamorehollow.model import requests


@dataclasses.dataclass
class Asked:
    """A caller or a peer that wants a ticket run or its outcome."""

    request_id: str
    ask: str
    workspace: str
    key: str
    service: str
    operation: str
    deadline: float
    call: requests.ServiceCall | None
    op: str = ""


def from_call(call: requests.ServiceCall) -> Asked:
    """Returns the asker for a call that arrived."""
    return Asked(
        call.request_id,
        "",
        call.workspace,
        call.key,
        call.service,
        call.operation,
        call.deadline,
        call,
    )


def from_question(asked: messages.OutcomeAsked) -> Asked:
    """Returns the asker for a question of a caller."""
    return Asked(
        asked.request_id,
        "",
        asked.workspace,
        asked.key,
        asked.service,
        asked.operation,
        asked.deadline,
        None,
    )


def from_peer(asked: messages.PeerAsked) -> Asked:
    """Returns the asker for a question of another process."""
    return Asked(
        "",
        asked.ask,
        asked.workspace,
        asked.key,
        "",
        "",
        asked.deadline,
        asked.call,
    )


def answer(asked: Asked, result: messages.Result) -> commands.Command:
    """Returns the command that answers an asker."""
    if asked.ask:
        return messages.AnswerPeer(asked.ask, result)
    return messages.Reply(asked.request_id, result)
