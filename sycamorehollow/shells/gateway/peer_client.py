"""Calls between nodes, as the gateway sees them."""

import abc
from collections.abc import Callable
import concurrent.futures
import dataclasses

from sycamorehollow.model import events

# Answers the payload that the node at an address has sent.
RequestHandler = Callable[[str, bytes], "concurrent.futures.Future[bytes]"]


@dataclasses.dataclass(frozen=True)
class PeerRequestAnswered(events.Event):
    """Another node has answered a question."""

    number: int
    address: str
    payload: bytes


@dataclasses.dataclass(frozen=True)
class PeerRequestFailed(events.Event):
    """Another node has not answered a question."""

    number: int
    reason: str


class PeerClient(abc.ABC):
    """Asks other nodes; results arrive as events."""

    @abc.abstractmethod
    def send_request(self, number: int, address: str, payload: bytes) -> None:
        """Sends a question and returns at once.

        Args:
            number: Comes back with the result.
            address: Address and port of the node.
            payload: The question.
        """
