"""gRPC channels to peers, which may fall silent without an error.

A channel whose path is gone keeps its calls until they time out, while a new
one would work. A call that may be repeated is therefore made again on a new
channel, and channels that were last heard before are not used any more.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import time
from typing import Any

import grpc
import loguru

from sycamorehollow.peering import peering_pb2_grpc

LOG_PREFIX = "peers:"
# Time without a reply on a channel that was used before, after which a call is
# made once more on a new one.
SILENCE_S = 0.4
STOP_GRACE_S = 1.0
# Members of the own data centre, if 370 members are spread over 7 data centres,
# and as many members elsewhere.
MAX_CHANNELS = 106
MAX_ENVELOPE_BYTES = 4 << 20
CHANNEL_OPTIONS = (
    # Without this, a replacement channel would reuse the dead connection.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.http2.ping_timeout_ms", 2_000),
    # With the default backoff of up to 120 s, a restarted peer would stay
    # unreachable for that long.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.max_receive_message_length", MAX_ENVELOPE_BYTES),
    ("grpc.enable_retries", 0),
)


@dataclasses.dataclass
class _Channel:
    """A channel to a peer.

    Attributes:
        heard_at: When the peer last replied on it; 0 if it has not.
    """

    grpc_channel: Any
    heard_at: float = 0.0


class PeerChannels:
    """Opens channels and makes calls on them; used in one event loop.

    Args:
        spawn: Runs a coroutine as a task.
    """

    def __init__(self, spawn: Callable[[Coroutine[Any, Any, None]], None]):
        self._spawn = spawn
        self._channels: collections.OrderedDict[str, _Channel] = (
            collections.OrderedDict()
        )
        # Channels that were last heard before are not used any more.
        self._suspect_until = float("-inf")

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.grpc_channel.close()

    async def call(self, peer: str, envelope: Any, timeout_s: float) -> Any:
        """Makes one call and returns the reply.

        Raises:
            grpc.aio.AioRpcError: The call has failed or timed out.
        """
        return await self._call(peer, self._open(peer), envelope, timeout_s)

    async def call_repeatedly(
        self, peer: str, envelope: Any, timeout_s: float
    ) -> Any:
        """Makes a call, and makes it again if the kept channel is silent.

        The peer may handle the call twice.

        Raises:
            grpc.aio.AioRpcError: Neither call has got a reply.
        """
        began = time.monotonic()
        kept = self._open(peer)
        first = asyncio.create_task(self._call(peer, kept, envelope, timeout_s))
        if not kept.heard_at:
            return await first
        await asyncio.wait({first}, timeout=SILENCE_S)
        if first.done() and first.exception() is None:
            return first.result()
        self._replace(peer, kept)
        left_s = max(0.0, began + timeout_s - time.monotonic())
        second = asyncio.create_task(
            self._call(peer, self._open(peer), envelope, left_s)
        )
        try:
            return await _get_first_reply(first, second)
        finally:
            if second.done() and second.exception() is None:
                self._suspect_older(peer, kept, began)
            first.cancel()
            second.cancel()

    def _suspect_older(self, peer: str, silent: _Channel, began: float) -> None:
        """Suspects the channels that were opened beside a silent one."""
        self._suspect_until = max(self._suspect_until, began)
        loguru.logger.info(
            "{} channel to {} fell silent, last reply {:.1f} s before",
            LOG_PREFIX,
            peer,
            began - silent.heard_at,
        )

    async def _call(
        self, peer: str, channel: _Channel, envelope: Any, timeout_s: float
    ) -> Any:
        try:
            stub = peering_pb2_grpc.PeeringStub(channel.grpc_channel)
            reply = await stub.Exchange(envelope, timeout=timeout_s)
        except grpc.aio.AioRpcError:
            self._replace(peer, channel)
            raise
        channel.heard_at = time.monotonic()
        return reply

    def _open(self, peer: str) -> _Channel:
        """Returns the channel to a peer; evicts the least recently used one."""
        kept = self._channels.get(peer)
        if kept is not None and 0 < kept.heard_at < self._suspect_until:
            self._replace(peer, kept)
        if peer not in self._channels:
            self._channels[peer] = _Channel(
                grpc.aio.insecure_channel(
                    f"ipv4:{peer}", options=CHANNEL_OPTIONS
                )
            )
        self._channels.move_to_end(peer)
        if len(self._channels) > MAX_CHANNELS:
            oldest = next(iter(self._channels))
            self._replace(oldest, self._channels[oldest])
        return self._channels[peer]

    def _replace(self, peer: str, channel: _Channel) -> None:
        """Closes a channel; the next call to the peer opens another."""
        if self._channels.get(peer) is not channel:
            return
        del self._channels[peer]
        # Other calls on the channel may still succeed within the grace period.
        self._spawn(channel.grpc_channel.close(STOP_GRACE_S))


async def _get_first_reply(*calls: "asyncio.Task[Any]") -> Any:
    """Returns the first reply; raises the last error if there is none."""
    pending = set(calls)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for call in done:
            if call.exception() is None:
                return call.result()
        if not pending:
            return calls[-1].result()
