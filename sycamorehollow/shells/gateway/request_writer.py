"""Writes requests on a connection to an upstream, as the upstream reads."""

import asyncio
import socket

from sycamorehollow.shells import sockets

# Part of a large body that is written at once.
BODY_PART_BYTES = 64 * 1024


class RequestWriter:
    """Writes one request at a time.

    Attributes:
        request_bytes: Length of the current request.
    """

    def __init__(self):
        self.request_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._unwritten = memoryview(b"")
        self._can_write = True

    @property
    def has_unwritten(self) -> bool:
        """Whether a part of the body is not written yet."""
        return bool(self._unwritten)

    def attach(self, transport: asyncio.Transport) -> None:
        """Uses a new connection."""
        self._transport = transport
        self._can_write = True

    def write(self, head: bytes, body: bytes | bytearray) -> None:
        """Starts to write a request.

        Args:
            head: Its head, which may include the body.
            body: A large body, which is written as the upstream reads it.
        """
        assert self._transport is not None
        self.request_bytes = len(head) + len(body)
        self._transport.write(head)
        self._unwritten = memoryview(body)
        self._write_body()

    def pause(self) -> None:
        """Stops writing the body."""
        self._can_write = False

    def resume(self) -> None:
        """Writes more of the body."""
        self._can_write = True
        self._write_body()

    def drop(self) -> None:
        """Drops what is not written of the body."""
        self._unwritten = memoryview(b"")

    def count_unsent_bytes(self) -> int:
        """Returns how much of the request the upstream's host still lacks."""
        assert self._transport is not None
        return (
            len(self._unwritten)
            + self._transport.get_write_buffer_size()
            + sockets.count_unacknowledged_bytes(self.get_socket())
        )

    def get_socket(self) -> socket.socket:
        """Returns the socket of the open connection."""
        assert self._transport is not None
        return self._transport.get_extra_info("socket")

    def _write_body(self) -> None:
        """Writes the body until the write buffer is full.

        The transport copies what it buffers.
        """
        while self._unwritten and self._can_write:
            assert self._transport is not None
            part = self._unwritten[:BODY_PART_BYTES]
            self._unwritten = self._unwritten[BODY_PART_BYTES:]
            self._transport.write(part)
        if not self._unwritten:
            # An empty part of the body would keep all of it.
            self._unwritten = memoryview(b"")
