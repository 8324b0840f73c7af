"""Settings of the TCP transports to callers and upstreams."""

import asyncio
import socket

# Bytes read at once. Without it, asyncio allocates 256 KB for each read. A
# request that has to wait for memory holds at most this much of its body.
READ_BYTES = 64 * 1024
# TCP_USER_TIMEOUT: time without an acknowledgement after which a connection is
# closed. It is short for upstreams, whose requests can be retried elsewhere,
# but still allows for one retransmission.
UPSTREAM_USER_TIMEOUT_MS = 800
CALLER_USER_TIMEOUT_MS = 3000


def configure(transport: asyncio.Transport, user_timeout_ms: int) -> None:
    """Limits reads, disables Nagle's algorithm and sets the user timeout."""
    setattr(transport, "max_size", READ_BYTES)  # noqa: B010
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
