"""Calls between nodes over gRPC."""

from collections.abc import Callable
import concurrent.futures

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.model import events
from sycamorehollow.model import identity
from sycamorehollow.shells import peers
from sycamorehollow.shells.gateway import peer_link

SYNC_KIND = "forwarding/sync"


class GrpcPeerLink(peer_link.PeerLink):
    """Asks other nodes and answers them on a thread of its own.

    Args:
        me: This process.
        answer: Answers other nodes; called on the thread.
        deliver: Takes events; safe from any thread.
    """

    def __init__(
        self,
        me: identity.Process,
        answer: peer_link.Answerer,
        deliver: Callable[[events.Event], None],
    ):
        self._me = me
        self._answer = answer
        self._deliver = deliver
        self._task = peers.PeerTask(me.address, self._take)
        self._task.register(SYNC_KIND, self._handle)

    def open(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address cannot be bound.
        """
        self._task.start()

    def ask(self, number: int, address: str, payload: bytes) -> None:
        """Sends a question and returns at once."""
        item = exchange.Item(SYNC_KIND, payload)
        self._task.post(peers.Request(number, address, self._me, item))

    def _handle(
        self, sender: identity.Process, payload: bytes
    ) -> "concurrent.futures.Future[bytes]":
        return self._answer(sender.address, payload)

    def _take(self, event: events.Event) -> None:
        match event:
            case peers.RequestAnswered():
                self._deliver(
                    peer_link.PeerAnswered(
                        event.number, event.sender.address, event.item.payload
                    )
                )
            case peers.RequestFailed():
                self._deliver(peer_link.PeerSilent(event.number, event.reason))
