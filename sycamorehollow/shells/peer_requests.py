"""Requests of one process to another that need an answer of their own."""

from collections.abc import Callable
import concurrent.futures
import itertools

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.model import events
from sycamorehollow.model import identity
from sycamorehollow.shells import peers

Taker = Callable[[bytes | None], None]


class PeerRequests:
    """Matches answers to requests, in both directions.

    Args:
        task: Sends requests and receives those of others.
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
        self._takers: dict[int, Taker] = {}
        self._asks: dict[str, concurrent.futures.Future[bytes]] = {}

    def send(
        self,
        peer: str,
        kind: str,
        payload: bytes,
        take: Taker,
        timeout_s: float = peers.CALL_TIMEOUT_S,
    ) -> None:
        """Sends a request; `take` gets the answer, or `None` without one."""
        number = next(self._numbers)
        self._takers[number] = take
        item = exchange.Item(kind, payload)
        self._task.post(
            peers.Request(number, peer, self._identify(), item, timeout_s)
        )

    def settle(self, event: events.Event) -> bool:
        """Takes the result of a request; tells whether the event was one."""
        if isinstance(event, peers.RequestAnswered):
            self._takers.pop(event.number)(event.item.payload)
            return True
        if isinstance(event, peers.RequestFailed):
            self._takers.pop(event.number)(None)
            return True
        return False

    def open(self) -> tuple[str, "concurrent.futures.Future[bytes]"]:
        """Returns the id of a received request and its future answer."""
        ask = f"ask-{next(self._numbers)}"
        future: concurrent.futures.Future[bytes] = concurrent.futures.Future()
        self._asks[ask] = future
        return ask, future

    def answer(self, ask: str, payload: bytes) -> None:
        """Answers a received request."""
        future = self._asks.pop(ask, None)
        if future is not None and not future.cancelled():
            future.set_result(payload)
