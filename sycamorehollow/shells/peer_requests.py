"""Requests between entry processes, each with a reply of its own."""

from collections.abc import Callable
import concurrent.futures
import itertools

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.model import events
from sycamorehollow.model import identity
from sycamorehollow.shells import peers

ReplyCallback = Callable[[bytes | None], None]


class PeerRequests:
    """Matches replies to requests, in both directions.

    Args:
        task: Sends requests and receives those of other processes.
        identify: Returns the identity of this process.
    """

    def __init__(
        self,
        task: peers.PeerTask,
        identify: Callable[[], identity.Process],
    ):
        self._task = task
        self._identify = identify
        self._numbers = itertools.count(1)
        self._callbacks: dict[int, ReplyCallback] = {}
        self._replies: dict[str, concurrent.futures.Future[bytes]] = {}

    def send(
        self,
        peer: str,
        kind: str,
        payload: bytes,
        on_reply: ReplyCallback,
        timeout_s: float = peers.CALL_TIMEOUT_S,
    ) -> None:
        """Sends a request; `on_reply` gets the reply, or `None` on failure."""
        number = next(self._numbers)
        self._callbacks[number] = on_reply
        item = exchange.Item(kind, payload)
        self._task.post(
            peers.PeerRequest(number, peer, self._identify(), item, timeout_s)
        )

    def resolve(self, event: events.Event) -> bool:
        """Handles the result of a request; returns whether the event is one."""
        if isinstance(event, peers.PeerRequestAnswered):
            self._callbacks.pop(event.number)(event.item.payload)
            return True
        if isinstance(event, peers.PeerRequestFailed):
            self._callbacks.pop(event.number)(None)
            return True
        return False

    def accept(self) -> tuple[str, "concurrent.futures.Future[bytes]"]:
        """Registers a received request; returns its id and its future reply."""
        peer_request_id = f"ask-{next(self._numbers)}"
        future: concurrent.futures.Future[bytes] = concurrent.futures.Future()
        self._replies[peer_request_id] = future
        return peer_request_id, future

    def reply(self, peer_request_id: str, payload: bytes) -> None:
        """Sends the reply to a received request, unless it was cancelled."""
        future = self._replies.pop(peer_request_id, None)
        if future is not None and not future.cancelled():
            future.set_result(payload)
