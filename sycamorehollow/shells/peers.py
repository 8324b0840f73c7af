"""gRPC server and client channels between entry processes.

One thread runs an event loop that owns the server, the channels and the calls
in flight, so a peer that does not respond costs a timer and no thread.
"""

import asyncio
import collections
from collections.abc import Callable
import concurrent.futures
import dataclasses
import threading
import time
from typing import Any

import grpc
import loguru

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.peering import peering_pb2_grpc
from sycamorehollow.shells import envelopes
from sycamorehollow.shells import peer_channels

LOG_PREFIX = "peers:"
CALL_TIMEOUT_S = 1.0
# A later reply would reach the calling peer after its timeout.
REPLY_TIMEOUT_S = 0.9
START_TIMEOUT_S = 10.0
STOP_GRACE_S = 1.0
MAX_CALLS_PER_PEER = 8
MAX_CONCURRENT_RPCS = 256
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    # Callers that are gone, or whose connection fell silent, do not close it.
    ("grpc.keepalive_time_ms", 2_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.ping_timeout_ms", 2_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.max_receive_message_length", peer_channels.MAX_ENVELOPE_BYTES),
)

# Handles an item of a registered kind. It runs on the thread of the peer task
# and must not block; the future receives the payload of the reply.
Handler = Callable[
    [exchange.Process, bytes], "concurrent.futures.Future[bytes]"
]


@dataclasses.dataclass(frozen=True)
class PeerRequest(commands.Command):
    """Command to call a registered handler at a peer.

    Attributes:
        number: Chosen by the sender; the resulting event carries it.
        peer: Address to call.
        sender: Identity of this process.
        item: Item to send.
        timeout_s: Seconds until the call times out.
        may_repeat: Whether the peer may handle it twice.
    """

    number: int
    peer: str
    sender: exchange.Process
    item: exchange.Item
    timeout_s: float = CALL_TIMEOUT_S
    may_repeat: bool = False


@dataclasses.dataclass(frozen=True)
class PeerRequestAnswered(events.Event):
    """A `PeerRequest` received a reply."""

    number: int
    sender: exchange.Process
    item: exchange.Item


@dataclasses.dataclass(frozen=True)
class PeerRequestFailed(events.Event):
    """A `PeerRequest` got no reply; the peer may have handled it."""

    number: int
    reason: str


class PeerTask:
    """Runs the gRPC server and client of a process in one thread."""

    def __init__(self, bind: str, deliver: Callable[[events.Event], None]):
        """Prepares the task; `start` runs it.

        Args:
            bind: IP address and port to listen on; port 0 selects a free one.
            deliver: Receives events; it must not block.
        """
        self._bind = bind
        self._deliver = deliver
        self._handlers: dict[str, Handler] = {}
        self._loop = asyncio.new_event_loop()
        self._inbox: asyncio.Queue[commands.Command | None] = asyncio.Queue()
        self._thread = threading.Thread(
            target=self._run, name="peers", daemon=True
        )
        self._started: concurrent.futures.Future[int] = (
            concurrent.futures.Future()
        )
        self._pending_replies: dict[
            int, asyncio.Future[exchange.SendReply]
        ] = {}
        self._calls = 0
        # Updated by each command, because the incarnation may increase.
        self._own_process = exchange.Process("", "", 0)
        self._channels = peer_channels.PeerChannels(self._spawn)
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, kind: str, handler: Handler) -> None:
        """Sets the handler of an item kind; call it before `start`."""
        self._handlers[kind] = handler

    def start(self) -> int:
        """Starts the thread and returns the port that the server listens on.

        Raises:
            OSError: The address cannot be bound.
        """
        self._thread.start()
        return self._started.result(START_TIMEOUT_S)

    def post(self, command: commands.Command) -> None:
        """Queues a `SendCall`, `SendReply` or `PeerRequest`; never blocks."""
        self._loop.call_soon_threadsafe(self._inbox.put_nowait, command)

    def stop(self) -> None:
        """Stops the server, closes the channels and waits for the thread."""
        self._loop.call_soon_threadsafe(self._inbox.put_nowait, None)
        self._thread.join(START_TIMEOUT_S)

    def _run(self) -> None:
        try:
            self._loop.run_until_complete(self._serve())
        finally:
            self._loop.close()

    async def _serve(self) -> None:
        """Runs the server and executes commands until `stop`."""
        server = grpc.aio.server(
            options=SERVER_OPTIONS, maximum_concurrent_rpcs=MAX_CONCURRENT_RPCS
        )
        peering_pb2_grpc.add_PeeringServicer_to_server(
            Servicer(self._handle_call), server
        )
        try:
            port = server.add_insecure_port(self._bind)
            await server.start()
        except Exception as error:
            self._started.set_exception(
                OSError(f"cannot listen on {self._bind}: {error}")
            )
            return
        self._started.set_result(port)
        loguru.logger.info("{} listening on port {}.", LOG_PREFIX, port)
        while (command := await self._inbox.get()) is not None:
            self._execute(command)
        for task in self._tasks:
            task.cancel()
        await server.stop(STOP_GRACE_S)
        await self._channels.close()

    def _execute(self, command: commands.Command) -> None:
        """Starts a command without waiting for its end."""
        if isinstance(
            command, exchange.SendCall | exchange.SendReply | PeerRequest
        ):
            self._own_process = command.sender
        if isinstance(command, exchange.SendReply):
            reply_future = self._pending_replies.get(command.call)
            if reply_future is not None and not reply_future.done():
                reply_future.set_result(command)
            return
        if isinstance(command, exchange.SendCall):
            self._spawn(self._call(command))
            return
        if isinstance(command, PeerRequest):
            self._spawn(self._request(command))

    def _spawn(self, work: Any) -> None:
        """Runs a coroutine as a task and keeps a reference until it ends."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, command: exchange.SendCall) -> None:
        """Makes a call of the digest exchange and delivers its result."""
        started = time.monotonic()
        reply = await self._send(
            command.peer, command.sender, command.items, CALL_TIMEOUT_S, True
        )
        if isinstance(reply, str):
            self._deliver(exchange.CallFailed(command.peer, started))
            return
        sender, items = reply
        self._deliver(exchange.ReplyReceived(command.peer, sender, items))

    async def _request(self, command: PeerRequest) -> None:
        """Calls a registered handler of a peer and delivers its result."""
        reply = await self._send(
            command.peer,
            command.sender,
            (command.item,),
            command.timeout_s,
            command.may_repeat,
        )
        if isinstance(reply, str):
            self._deliver(PeerRequestFailed(command.number, reply))
            return
        sender, items = reply
        for item in items:
            if item.kind == command.item.kind:
                self._deliver(PeerRequestAnswered(command.number, sender, item))
                return
        reason = f"Peer {command.peer} does not answer {command.item.kind}."
        self._deliver(PeerRequestFailed(command.number, reason))

    async def _send(
        self,
        peer: str,
        sender: exchange.Process,
        items: tuple[exchange.Item, ...],
        timeout_s: float,
        may_repeat: bool,
    ) -> tuple[exchange.Process, tuple[exchange.Item, ...]] | str:
        """Makes one call; returns the reply or the reason of its failure."""
        if self._in_flight[peer] >= MAX_CALLS_PER_PEER:
            return f"Peer {peer} has {MAX_CALLS_PER_PEER} calls in flight."
        self._in_flight[peer] += 1
        try:
            envelope = envelopes.encode(sender, items)
            call = (
                self._channels.call_repeatedly
                if may_repeat
                else self._channels.call
            )
            return envelopes.decode(await call(peer, envelope, timeout_s))
        except grpc.aio.AioRpcError as error:
            return f"Peer {peer} failed with {error.code().name}."
        finally:
            self._in_flight[peer] -= 1
            if not self._in_flight[peer]:
                del self._in_flight[peer]

    async def _handle_call(self, envelope: Any) -> Any:
        """Handles an incoming call and returns the envelope of the reply."""
        sender, items = envelopes.decode(envelope)
        unhandled = tuple(i for i in items if i.kind not in self._handlers)
        pending = [
            self._handle_item(sender, item)
            for item in items
            if item.kind in self._handlers
        ]
        reply_items: list[exchange.Item] = list(await asyncio.gather(*pending))
        if unhandled or not pending:
            reply = await self._forward_to_loop(sender, unhandled)
            reply_items.extend(reply.items)
        return envelopes.encode(self._own_process, reply_items)

    async def _handle_item(
        self, sender: exchange.Process, item: exchange.Item
    ) -> exchange.Item:
        """Passes an item to its handler and waits for the reply."""
        future = self._handlers[item.kind](sender, item.payload)
        payload = await asyncio.wrap_future(future)
        return exchange.Item(item.kind, payload)

    async def _forward_to_loop(
        self, sender: exchange.Process, items: tuple[exchange.Item, ...]
    ) -> exchange.SendReply:
        """Passes items to the decision loop and waits for its reply.

        Raises:
            TimeoutError: The loop did not reply within `REPLY_TIMEOUT_S`.
        """
        self._calls += 1
        number = self._calls
        reply_future: asyncio.Future[exchange.SendReply] = (
            self._loop.create_future()
        )
        self._pending_replies[number] = reply_future
        try:
            self._deliver(exchange.CallReceived(number, sender, items))
            return await asyncio.wait_for(reply_future, REPLY_TIMEOUT_S)
        finally:
            del self._pending_replies[number]


class Servicer(peering_pb2_grpc.PeeringServicer):
    """gRPC service that passes incoming calls to the peer task."""

    def __init__(self, handle_call: Callable[[Any], Any]):
        self._handle_call = handle_call

    async def Exchange(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Handles an incoming envelope."""
        try:
            return await self._handle_call(request)
        except TimeoutError:
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED, "no answer in time"
            )
            return None
