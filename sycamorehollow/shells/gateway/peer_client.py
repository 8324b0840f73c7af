"""Interface of the client for requests to other nodes."""

import abc
from collections.abc import Callable
import concurrent.futures
import dataclasses

from sycamorehollow.model import events

# Handles the payload of a request from the node at an address.
RequestHandler = Callable[[str, bytes], "concurrent.futures.Future[bytes]"]


@dataclasses.dataclass(frozen=True)
class PeerRequestAnswered(events.Event):
    """Another node has responded to a request."""

    number: int
    address: str
    payload: bytes


@dataclasses.dataclass(frozen=True)
class PeerRequestFailed(events.Event):
    """A request to another node has failed or timed out."""

    number: int
    reason: str


class PeerClient(abc.ABC):
    """Sends requests to other nodes; results are delivered as events."""

    @abc.abstractmethod
    def send_request(
        self, number: int, address: str, payload: bytes, may_repeat: bool
    ) -> None:
        """Sends a request without waiting for its response.

        Args:
            number: Number of the request, repeated in the resulting event.
            address: Address and port of the node.
            payload: Payload of the request.
            may_repeat: Whether the node may handle it twice.
        """
