"""Peer task: gRPC server and channels between entry processes.

One thread runs an event loop that owns the server, the channels and the calls
in flight, so a frozen peer holds a timer and no thread.
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

LOG_PREFIX = "peers:"
CALL_TIMEOUT_S = 1.0
# An answer that is not ready by then would reach the caller after its timeout.
REPLY_TIMEOUT_S = 0.9
START_TIMEOUT_S = 10.0
STOP_GRACE_S = 1.0
# Own data centre at 370 members in 7 data centres, and as many others again.
MAX_CHANNELS = 106
MAX_CALLS_PER_PEER = 8
MAX_CONCURRENT_RPCS = 256
MAX_ENVELOPE_BYTES = 4 << 20
CHANNEL_OPTIONS = (
    # Without this, a replaced channel would share the silent connection.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    # The default backoff of up to 120 s would hide a restarted peer.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.max_receive_message_length", MAX_ENVELOPE_BYTES),
    ("grpc.enable_retries", 0),
)
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.max_receive_message_length", MAX_ENVELOPE_BYTES),
)

# Answers an item of a registered kind. It runs on the peer task and returns at
# once; the payload of the answer may follow through the future.
Handler = Callable[
    [exchange.Process, bytes], "concurrent.futures.Future[bytes]"
]


@dataclasses.dataclass(frozen=True)
class PeerRequest(commands.Command):
    """Asks for a call of a registered handler at a peer.

    Attributes:
        number: Chosen by the sender; comes back with the result.
        peer: Address to call.
        sender: Identity of this process.
        item: What to send.
        timeout_s: Seconds until the call is given up.
    """

    number: int
    peer: str
    sender: exchange.Process
    item: exchange.Item
    timeout_s: float = CALL_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class PeerRequestAnswered(events.Event):
    """A `Request` was answered."""

    number: int
    sender: exchange.Process
    item: exchange.Item


@dataclasses.dataclass(frozen=True)
class PeerRequestFailed(events.Event):
    """A `Request` got no answer; the peer may still have acted on it."""

    number: int
    reason: str


class PeerTask:
    """Runs the event loop of the peer task in a thread of its own."""

    def __init__(self, bind: str, deliver: Callable[[events.Event], None]):
        """Prepares the task; `start` runs it.

        Args:
            bind: IP address and port to listen on; port 0 picks a free one.
            deliver: Takes events; it must return at once, as a queue's `put`.
        """
        self._bind = bind
        self._deliver = deliver
        self._handlers: dict[str, Handler] = {}
        self._loop = asyncio.new_event_loop()
        self._inbox: asyncio.Queue[commands.Command | None] = asyncio.Queue()
        self._thread = threading.Thread(
            target=self._main, name="peers", daemon=True
        )
        self._started: concurrent.futures.Future[int] = (
            concurrent.futures.Future()
        )
        self._waiting: dict[int, asyncio.Future[exchange.SendReply]] = {}
        self._calls = 0
        # Taken from the latest command, because the incarnation may rise.
        self._me = exchange.Process("", "", 0)
        self._channels: collections.OrderedDict[str, Any] = (
            collections.OrderedDict()
        )
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
        """Queues a `SendCall`, `SendReply` or `Request`; returns at once."""
        self._loop.call_soon_threadsafe(self._inbox.put_nowait, command)

    def stop(self) -> None:
        """Ends the server, the channels and the thread."""
        self._loop.call_soon_threadsafe(self._inbox.put_nowait, None)
        self._thread.join(START_TIMEOUT_S)

    def _main(self) -> None:
        try:
            self._loop.run_until_complete(self._serve())
        finally:
            self._loop.close()

    async def _serve(self) -> None:
        """Runs the server and carries out commands until `stop`."""
        server = grpc.aio.server(
            options=SERVER_OPTIONS, maximum_concurrent_rpcs=MAX_CONCURRENT_RPCS
        )
        peering_pb2_grpc.add_PeeringServicer_to_server(
            Servicer(self._answer), server
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
            self._carry_out(command)
        for task in self._tasks:
            task.cancel()
        await server.stop(STOP_GRACE_S)
        for channel in self._channels.values():
            await channel.close()

    def _carry_out(self, command: commands.Command) -> None:
        """Starts one command without waiting for it."""
        if isinstance(
            command, exchange.SendCall | exchange.SendReply | PeerRequest
        ):
            self._me = command.sender
        if isinstance(command, exchange.SendReply):
            waiting = self._waiting.get(command.call)
            if waiting is not None and not waiting.done():
                waiting.set_result(command)
            return
        if isinstance(command, exchange.SendCall):
            self._spawn(self._call(command))
            return
        if isinstance(command, PeerRequest):
            self._spawn(self._request(command))

    def _spawn(self, work: Any) -> None:
        """Runs a coroutine and keeps it from being collected early."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, command: exchange.SendCall) -> None:
        """Carries out a call of the digest exchange."""
        started = time.monotonic()
        answer = await self._send(
            command.peer, command.sender, command.items, CALL_TIMEOUT_S
        )
        if isinstance(answer, str):
            self._deliver(exchange.CallFailed(command.peer, started))
            return
        sender, items = answer
        self._deliver(exchange.ReplyReceived(command.peer, sender, items))

    async def _request(self, command: PeerRequest) -> None:
        """Carries out a call of a registered handler."""
        answer = await self._send(
            command.peer, command.sender, (command.item,), command.timeout_s
        )
        if isinstance(answer, str):
            self._deliver(PeerRequestFailed(command.number, answer))
            return
        sender, items = answer
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
    ) -> tuple[exchange.Process, tuple[exchange.Item, ...]] | str:
        """Makes one call; returns the answer or the reason of its failure."""
        if self._in_flight[peer] >= MAX_CALLS_PER_PEER:
            return f"Peer {peer} has {MAX_CALLS_PER_PEER} calls in flight."
        self._in_flight[peer] += 1
        channel = self._open_channel(peer)
        try:
            stub = peering_pb2_grpc.PeeringStub(channel)
            envelope = await stub.Exchange(
                envelopes.encode(sender, items), timeout=timeout_s
            )
            return envelopes.decode(envelope)
        except grpc.aio.AioRpcError as error:
            self._replace_channel(peer, channel)
            return f"Peer {peer} failed with {error.code().name}."
        finally:
            self._in_flight[peer] -= 1
            if not self._in_flight[peer]:
                del self._in_flight[peer]

    def _open_channel(self, peer: str) -> Any:
        """Returns the channel to a peer; beyond a bound, closes the oldest."""
        if peer not in self._channels:
            self._channels[peer] = grpc.aio.insecure_channel(
                f"ipv4:{peer}", options=CHANNEL_OPTIONS
            )
        self._channels.move_to_end(peer)
        if len(self._channels) > MAX_CHANNELS:
            unused = next(iter(self._channels))
            self._spawn(self._channels[unused].close(STOP_GRACE_S))
            del self._channels[unused]
        return self._channels[peer]

    def _replace_channel(self, peer: str, channel: Any) -> None:
        """Drops a channel after a failed call, so that the next one is new."""
        if peer not in self._channels or self._channels[peer] is not channel:
            return
        del self._channels[peer]
        # Other calls on the channel may still succeed within the grace time.
        self._spawn(channel.close(STOP_GRACE_S))

    async def _answer(self, envelope: Any) -> Any:
        """Answers an incoming call."""
        sender, items = envelopes.decode(envelope)
        rest = tuple(i for i in items if i.kind not in self._handlers)
        answers = [
            self._handle(sender, item)
            for item in items
            if item.kind in self._handlers
        ]
        replied: list[exchange.Item] = list(await asyncio.gather(*answers))
        if rest or not answers:
            reply = await self._exchange(sender, rest)
            replied.extend(reply.items)
        return envelopes.encode(self._me, replied)

    async def _handle(
        self, sender: exchange.Process, item: exchange.Item
    ) -> exchange.Item:
        """Gives an item to its handler and waits for the answer."""
        future = self._handlers[item.kind](sender, item.payload)
        payload = await asyncio.wrap_future(future)
        return exchange.Item(item.kind, payload)

    async def _exchange(
        self, sender: exchange.Process, items: tuple[exchange.Item, ...]
    ) -> exchange.SendReply:
        """Gives items to the router task and waits for its reply.

        Raises:
            TimeoutError: The router task did not reply in time.
        """
        self._calls += 1
        number = self._calls
        waiting: asyncio.Future[exchange.SendReply] = self._loop.create_future()
        self._waiting[number] = waiting
        try:
            self._deliver(exchange.CallReceived(number, sender, items))
            return await asyncio.wait_for(waiting, REPLY_TIMEOUT_S)
        finally:
            del self._waiting[number]


class Servicer(peering_pb2_grpc.PeeringServicer):
    """Passes incoming calls to the peer task."""

    def __init__(self, answer: Callable[[Any], Any]):
        self._answer = answer

    async def Exchange(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Answers one envelope."""
        try:
            return await self._answer(request)
        except TimeoutError:
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED, "no answer in time"
            )
            return None
