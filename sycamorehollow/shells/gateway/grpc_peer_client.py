"""Peer client over gRPC."""

from collections.abc import Callable
import concurrent.futures

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.model import events
from sycamorehollow.model import identity
from sycamorehollow.shells import peers
from sycamorehollow.shells.gateway import peer_client

SYNC_KIND = "forwarding/sync"


class GrpcPeerClient(peer_client.PeerClient):
    """Sends and serves peer requests on a thread of its own.

    Args:
        own_process: Identity of this process.
        handle_request: Handles requests of other nodes; called on the thread.
        deliver: Receives the events; safe from any thread.
    """

    def __init__(
        self,
        own_process: identity.Process,
        handle_request: peer_client.RequestHandler,
        deliver: Callable[[events.Event], None],
    ):
        self._own_process = own_process
        self._handle_request = handle_request
        self._deliver = deliver
        self._task = peers.PeerTask(own_process.address, self._handle_event)
        self._task.register(SYNC_KIND, self._handle_item)

    def start(self) -> None:
        """Starts the thread and listens for requests.

        Raises:
            OSError: The address cannot be bound.
        """
        self._task.start()

    def send_request(
        self, number: int, address: str, payload: bytes, may_repeat: bool
    ) -> None:
        """Sends a request without waiting for its response."""
        item = exchange.Item(SYNC_KIND, payload)
        self._task.post(
            peers.PeerRequest(
                number,
                address,
                self._own_process,
                item,
                may_repeat=may_repeat,
            )
        )

    def _handle_item(
        self, sender: identity.Process, payload: bytes
    ) -> "concurrent.futures.Future[bytes]":
        return self._handle_request(sender.address, payload)

    def _handle_event(self, event: events.Event) -> None:
        match event:
            case peers.PeerRequestAnswered():
                self._deliver(
                    peer_client.PeerRequestAnswered(
                        event.number, event.sender.address, event.item.payload
                    )
                )
            case peers.PeerRequestFailed():
                self._deliver(
                    peer_client.PeerRequestFailed(event.number, event.reason)
                )
