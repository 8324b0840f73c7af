"""The caller side of the relay."""

from collections.abc import Callable
import json
import selectors
import socket

from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import engines
from sycamorehollow.shells import framing
from sycamorehollow.shells import streams

# Above this the engine is not read any more, so that a slow caller holds a
# bounded amount of memory.
HIGH_WATER_BYTES = 256 * 1024
STALL_TIMEOUT_S = 30.0
CALLER_TIMEOUT_S = 10.0


class CallerWriter:
    """Writes to callers and notices those that have gone."""

    def __init__(
        self,
        selector: selectors.BaseSelector,
        report: Callable[[events.Event], None],
    ):
        self._selector = selector
        self._report = report

    def watch(self, stream: streams.Stream) -> None:
        """Starts to watch the socket of a caller."""
        caller = stream.caller
        caller.sock.setblocking(False)
        self._selector.register(
            caller.sock,
            selectors.EVENT_READ,
            engines.Registration(stream, caller),
        )
        caller.watched = True

    def unwatch(self, stream: streams.Stream) -> None:
        """Gives the socket back to the HTTP worker."""
        caller = stream.caller
        if caller.watched:
            self._selector.unregister(caller.sock)
            caller.watched = False
        caller.sock.settimeout(CALLER_TIMEOUT_S)

    def is_gone(self, stream: streams.Stream) -> bool:
        """Tells whether the caller closed its connection."""
        try:
            data = stream.caller.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not data:
            return True
        # The caller sent its next request early: stop reading until then.
        self._set_mask(stream, selectors.EVENT_WRITE)
        return False

    def append(self, stream: streams.Stream, block: bytes) -> None:
        """Adds events to the buffer of the caller."""
        stream.caller.buffer += framing.encode_chunk(block)

    def append_end(self, stream: streams.Stream) -> None:
        """Adds the held events and the end marker."""
        end = framing.encode_event(framing.END_MARKER)
        self.append(stream, stream.join_held() + end)

    def append_failure(
        self, stream: streams.Stream, failure: failures.Failure
    ) -> None:
        """Adds the event that ends a truncated answer."""
        body = json.dumps(streams.build_failure_body(failure))
        self.append(stream, framing.encode_event(body))

    def flush(self, stream: streams.Stream, now: float) -> bool:
        """Writes what the socket takes.

        Returns:
            `False` when the caller is gone.
        """
        caller = stream.caller
        if not caller.buffer:
            return True
        if not caller.head_sent:
            self._request_head(stream)
            return True
        try:
            sent = caller.sock.send(caller.buffer)
        except BlockingIOError:
            sent = 0
        except OSError:
            return False
        del caller.buffer[:sent]
        if sent or caller.stalled_since is None:
            caller.stalled_since = now if caller.buffer else None
        mask = selectors.EVENT_READ
        if caller.buffer:
            mask |= selectors.EVENT_WRITE
        self._set_mask(stream, mask)
        return True

    def is_full(self, stream: streams.Stream) -> bool:
        """Tells whether the buffer is above its high-water mark."""
        return len(stream.caller.buffer) > HIGH_WATER_BYTES

    def is_stalled(self, stream: streams.Stream, now: float) -> bool:
        """Tells whether the caller has read nothing for too long."""
        since = stream.caller.stalled_since
        return since is not None and now - since > STALL_TIMEOUT_S

    def _request_head(self, stream: streams.Stream) -> None:
        caller = stream.caller
        if caller.head_requested:
            return
        caller.head_requested = True
        caller.reply.put(
            streams.SendHead(stream.upstream, stream.version, stream.session)
        )

    def _set_mask(self, stream: streams.Stream, mask: int) -> None:
        key = self._selector.get_key(stream.caller.sock)
        if key.events != mask:
            self._selector.modify(stream.caller.sock, mask, key.data)
