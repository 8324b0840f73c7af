"""Endless responses, as faulty servers send them."""

import time

_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BLOCK_BYTES = 64 * 1024
_FILL = b"x" * _BLOCK_BYTES
# The start of each response and the block that is repeated until the reader
# closes the connection.
RESPONSES_BY_KIND = {
    "endless-status": (b"HTTP/1.1 200 ", _FILL),
    "endless-header": (_HEAD + b"X-Long: ", _FILL),
    "endless-headers": (_HEAD, b"X-Next: 1\r\n" * 5000),
    "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "endless-chunk-size": (_CHUNKED, b"0" * _BLOCK_BYTES),
    "endless-extension": (_CHUNKED + b"5;", _FILL),
    "endless-trailer": (_CHUNKED + b"2\r\nok\r\n0\r\n", b"X-T: 1\r\n" * 5000),
    "endless-body": (_HEAD + b"\r\n", _FILL),
    "endless-event": (_CHUNKED, b"%x\r\n%s\r\n" % (_BLOCK_BYTES, _FILL)),
    # Slow blocks that never complete an event with data.
    "trickle-bytes": (_CHUNKED + b"7\r\nid: 1\nd\r\n", b"1\r\nx\r\n"),
    "trickle-comments": (_CHUNKED, b"3\r\n:\n\n\r\n"),
    "trickle-head": (b"HTTP/1.1 200 OK\r\nX-Slow: ", b"x"),
}
TRICKLE_S = 0.1
# Far more than a reader accepts before it closes the connection.
MAX_SENT_BYTES = 8 * 1024**3


def send_without_end(handler, kind, request_id):
    """Writes a response until the reader closes; returns the bytes sent."""
    start, block = RESPONSES_BY_KIND[kind]
    if b"%s" in start:
        start = start.replace(b"%s", request_id.encode())
    return write_without_end(handler, kind, start, block)


def write_without_end(handler, kind, start, block):
    """Writes blocks until the reader closes; returns the bytes sent."""
    handler.close_connection = True
    sent = len(start)
    try:
        handler.wfile.write(start)
        while sent < MAX_SENT_BYTES:
            if kind.startswith("trickle"):
                time.sleep(TRICKLE_S)
            handler.wfile.write(block)
            sent += len(block)
    except OSError:
        return sent
    return sent
