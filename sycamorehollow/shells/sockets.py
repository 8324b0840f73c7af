"""What the kernel knows about a TCP connection."""

import fcntl
import socket
import struct
import termios

# The start of `struct tcp_info`, up to `tcpi_last_ack_recv` in milliseconds.
_LAST_ACK_RECEIVED = struct.Struct("=56xI")


def count_unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how many written bytes the peer's host has not received yet.

    0 where the platform does not tell.
    """
    try:
        result = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack("i", result)[0]


def measure_silence_s(sock: socket.socket) -> float:
    """Returns the seconds since the peer's host has last sent anything.

    0.0 where the platform does not tell. Source: `struct tcp_info` of Linux.
    """
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_ACK_RECEIVED.size
        )
        return _LAST_ACK_RECEIVED.unpack(info)[0] / 1000
    except (AttributeError, OSError, struct.error):
        return 0.0


def has_failed(sock: socket.socket) -> bool:
    """Tells whether the connection has failed, as by a reset.

    After the end of the stream, a read does not show a reset that follows. A
    write may have taken the error; then only the missing peer shows it.
    """
    try:
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        sock.getpeername()
    except OSError:
        return True
    return False
