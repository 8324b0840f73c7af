"""Non-blocking writes to the connections of callers.

Each caller has a buffer, whose size is reported to the limits on buffered
bytes (`decisions.requests.buffers`).
"""

import json
import selectors
import socket
import time

from sycamorehollow.decisions.requests import buffers
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import engines
from sycamorehollow.shells import framing
from sycamorehollow.shells import streams

CALLER_TIMEOUT_S = 10.0


class CallerWriter:
    """Writes to callers and detects those that have disconnected."""

    def __init__(self, selector: selectors.BaseSelector):
        self._selector = selector
        self._buffers = buffers.CallerBuffers()

    def watch(self, stream: streams.Stream) -> None:
        """Registers the socket of a caller with the selector."""
        caller = stream.caller
        caller.sock.setblocking(False)
        self._set_mask(stream, selectors.EVENT_READ)
        self._buffers.handle(
            buffers.StreamOpened(stream.request_id), time.monotonic()
        )

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered for slow callers."""
        return self._buffers.get_buffered_bytes()

    def unwatch(self, stream: streams.Stream) -> None:
        """Unregisters the socket and makes it blocking for the HTTP worker."""
        self.forget(stream)
        self._set_mask(stream, 0)
        stream.caller.sock.settimeout(CALLER_TIMEOUT_S)

    def forget(self, stream: streams.Stream) -> None:
        """Removes a stream from the counts of buffered bytes."""
        self._buffers.handle(
            buffers.StreamClosed(stream.request_id), time.monotonic()
        )

    def is_closed(self, stream: streams.Stream) -> bool:
        """Returns whether the caller closed its connection."""
        try:
            data = stream.caller.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not data:
            return True
        # The caller has pipelined its next request. It stays unread until this
        # one ends, and must not wake the relay until then.
        stream.caller.has_pipelined_data = True
        self._update_mask(stream)
        return False

    def append(self, stream: streams.Stream, block: bytes) -> None:
        """Appends events to the buffer of the caller."""
        stream.caller.buffer += framing.encode_chunk(block)

    def append_stream_end(self, stream: streams.Stream) -> None:
        """Appends the buffered events, the usage event and the end marker."""
        end = framing.encode_event(framing.END_MARKER)
        self.append(stream, stream.join_buffered() + end)

    def append_failure(
        self, stream: streams.Stream, failure: failures.Failure
    ) -> None:
        """Appends the failure event that ends a truncated response."""
        body = json.dumps(streams.build_failure_body(failure))
        self.append(stream, framing.encode_event(body))

    def flush(self, stream: streams.Stream) -> bool:
        """Writes as much of the buffer as the socket accepts.

        Returns:
            `False` when the caller has disconnected.
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
        self._update_mask(stream)
        return True

    def update_buffered(
        self, stream: streams.Stream, now: float
    ) -> list[commands.Command]:
        """Reports a change of the bytes that are buffered for a caller.

        Nothing is reported for a caller whose buffer was written at once.

        Returns:
            Commands of the limits on buffered bytes.
        """
        caller = stream.caller
        change = len(caller.buffer) - caller.counted_bytes
        if change == 0:
            return []
        caller.counted_bytes += change
        name = stream.request_id
        if change > 0:
            event: events.Event = buffers.ChunkBuffered(name, change)
        else:
            event = buffers.BytesSent(name, -change)
        return self._buffers.handle(event, now)

    def check_stalled(self, now: float) -> list[commands.Command]:
        """Returns the commands for callers that have stopped reading."""
        return self._buffers.handle(events.Tick(), now)

    def _request_head(self, stream: streams.Stream) -> None:
        caller = stream.caller
        if caller.head_requested:
            return
        caller.head_requested = True
        caller.reply.put(
            streams.SendHead(stream.upstream, stream.version, stream.session)
        )

    def _update_mask(self, stream: streams.Stream) -> None:
        caller = stream.caller
        mask = 0 if caller.has_pipelined_data else selectors.EVENT_READ
        if caller.buffer:
            mask |= selectors.EVENT_WRITE
        self._set_mask(stream, mask)

    def _set_mask(self, stream: streams.Stream, mask: int) -> None:
        caller = stream.caller
        if caller.mask == mask:
            return
        registration = engines.Registration(stream, caller)
        if mask == 0:
            self._selector.unregister(caller.sock)
        elif caller.mask == 0:
            self._selector.register(caller.sock, mask, registration)
        else:
            self._selector.modify(caller.sock, mask, registration)
        caller.mask = mask
