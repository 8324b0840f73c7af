"""What the kernel knows about a TCP connection."""

import fcntl
import socket
import struct
import termios


def count_unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how many written bytes the peer's host has not received yet.

    0 where the platform does not tell.
    """
    try:
        result = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack("i", result)[0]


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
