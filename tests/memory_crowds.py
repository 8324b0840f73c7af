"""Crowds of callers that exceed the limits, for tests of held memory."""

import errno
import itertools
import selectors
import socket
import time

BODY_BYTES = 4 << 20
HEAD = (
    b"POST /lodge/1 HTTP/1.1\r\nHost: models.example\r\n"
    b"Authorization: Bearer key-1\r\nRequest-Deadline: 20000\r\n"
    b"Request-Id: %d\r\n"
)
_GET = HEAD.replace(b"POST /lodge", b"GET /status")
_BLOCK = b"x" * 65536
_BLOCKS = BODY_BYTES // len(_BLOCK)
_PIECE = b"x" * 1400


def _many_lines(number):
    """A legal head of short lines, again and again without reading."""
    request = _GET % number + b"ab:\r\n" * 2500 + b"\r\n"
    return itertools.repeat(request, 64)


def _many_lines_held(number):
    """A legal head of short lines, with a body that never ends."""
    yield HEAD % number + b"ab:\r\n" * 2500 + b"Content-Length: 9\r\n\r\nbody"


def _many_small(number):
    """Many pipelined requests whose responses are not read."""
    return itertools.repeat(b"GET /x HTTP/1.1\r\n\r\n" * 8000, 16)


def _unfinished_head(number):
    """A head of short lines that never ends."""
    return itertools.chain([_GET % number], [b"ab:\r\n" * 2500])


def _long_head(number):
    """A head over the limit."""
    return itertools.chain([_GET % number], itertools.repeat(b"x: y\r\n" * 900))


def _empty_lines(number):
    """Empty lines without end instead of a request."""
    return itertools.repeat(b"\r\n" * 512)


def _length(number, size=BODY_BYTES):
    return HEAD % number + b"Content-Length: %d\r\n\r\n" % size


def _whole_body(number):
    """The largest legal body."""
    return itertools.chain([_length(number)], [_BLOCK] * _BLOCKS)


def _body_in_pieces(number):
    """The largest legal body in small pieces."""
    pieces = [_PIECE] * (BODY_BYTES // len(_PIECE))
    return itertools.chain([_length(number, len(_PIECE) * len(pieces))], pieces)


def _short_body(number):
    """The largest legal body, but for its last byte."""
    yield from [_length(number), *[_BLOCK] * (_BLOCKS - 1), _BLOCK[:-1]]


def _short_chunked_body(number):
    """The largest legal body in chunks, but for its end."""
    yield HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(_BLOCKS - 1):
        yield b"%x\r\n%s\r\n" % (len(_BLOCK), _BLOCK)


# The kinds of callers and how many of them make a crowd.
CROWDS = {
    "many lines": {_many_lines: 40},
    "many lines held": {_many_lines_held: 300},
    "many small requests": {_many_small: 20},
    "heads without end": {_unfinished_head: 200, _long_head: 100},
    "empty lines": {_empty_lines: 500},
    "whole bodies": {_whole_body: 40, _body_in_pieces: 20},
    "bodies short of their end": {_short_body: 30, _short_chunked_body: 30},
}
MIXED = {
    build: count // 3
    for crowd in CROWDS.values()
    for build, count in crowd.items()
}


class Crowd:
    """Callers that send at once to one address and read nothing.

    Args:
        address: Host and port.
        kinds: How many callers send the blocks that a function returns.
    """

    def __init__(self, address, kinds):
        host, _, port = address.rpartition(":")
        self._selector = selectors.DefaultSelector()
        self._sockets = []
        builders = [b for b, count in kinds.items() for _ in range(count)]
        for number, build in enumerate(builders):
            sock = socket.socket()
            sock.setblocking(False)
            if sock.connect_ex((host, int(port))) not in (
                0,
                errno.EINPROGRESS,
            ):
                sock.close()
                continue
            self._sockets.append(sock)
            state = [b"", iter(build(number))]
            self._selector.register(sock, selectors.EVENT_WRITE, state)

    def send(self, seconds):
        """Sends for a time, or until no caller has anything left to send."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and self._selector.get_map():
            for key, _ in self._selector.select(0.1):
                self._send_block(key.fileobj, key.data)

    def _send_block(self, sock, state):
        if not state[0]:
            state[0] = next(state[1], b"")
        try:
            if state[0]:
                state[0] = state[0][sock.send(state[0]) :]
                return
        except BlockingIOError:
            return
        except OSError:
            # The gateway refused the caller.
            pass
        self._selector.unregister(sock)

    def close(self):
        """Closes all connections."""
        self._selector.close()
        for sock in self._sockets:
            sock.close()
