"""Upstreams whose responses are malformed or end before they are complete."""

import contextlib

from tests import platform_standins

BODY = b"the whole body"
OK_LINE = b"HTTP/1.1 200 OK"
# Status lines that RFC 9110, section 15, or RFC 9112, section 4, rules out.
INVALID_STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 001 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 0 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\x01K",
    b"HTTP/1.1 200 O\x7fK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/1.1 103 \x01\r\n\r\nHTTP/1.1 200 OK",
)
# Other status lines that a reader has to accept.
VALID_STATUS_LINES = (
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200 O\tK \xe4",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 299 Own",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
)
# Header lines that RFC 9112, section 5, rules out.
INVALID_FIELD_LINES = (
    b"X-Own Name: x",
    b"X-Own\x01: x",
    b"X-Own\x00: x",
    b"X-Own\x7f: x",
    b"X-Own : x",
    b"X-Own\t: x",
    b" X-Own: x",
    b": x",
    b"X-Own",
    b"X-\xe4: x",
    b"X-Own: x\x00y",
    b"X-Own: x\x01y",
    b"X-Own: x\ry",
)
# Status line and header line by the name of a mode.
HEADS_BY_MODE = {
    "malformed-status": (b"HTTP/1.1 000 OK", b""),
    "malformed-high-status": (b"HTTP/1.1 600 OK", b""),
    "malformed-reason": (b"HTTP/1.1 200 O\x01K", b""),
    "malformed-interim": (b"HTTP/1.1 103 \x01\r\n\r\nHTTP/1.1 200 OK", b""),
    "malformed-name": (b"", b"X-Own Name: x"),
    "malformed-control": (b"", b"X-Own\x01: x"),
}


class MalformedUpstream(platform_standins.Upstream):
    """An upstream that sends heads as given.

    Attributes:
        status_line: Status line, or several heads up to the last status line.
        field_line: Header line that is added; empty for none.
        is_split: Whether the response is written byte by byte.
        check_line: Status line of responses to requests for its own state;
            empty for sound ones.
    """

    def __init__(self, identity, port=0):
        self.check_line = b""
        self.status_line = b""
        self.field_line = b""
        self.is_split = False
        super().__init__(identity, port)

    def restore(self):
        """Sends sound responses again."""
        self.status_line = self.field_line = b""
        self.is_split = False

    def _respond_with_status(self, handler):
        """Responds to a request for the upstream's own state."""
        if not self.check_line:
            super()._respond_with_status(handler)
            return
        fields = {"Replica-Id": self.identity.encode()}
        write(handler, build_response(self.check_line, b"", fields, b""), False)

    def _respond(self, handler, headers, response_headers, body):
        """Responds with the head that was given, if one was."""
        if not (self.status_line or self.field_line):
            super()._respond(handler, headers, response_headers, body)
            return
        data = build_response(
            self.status_line or OK_LINE,
            self.field_line,
            {k: v.encode() for k, v in response_headers.items()},
            _build_body(headers),
        )
        write(handler, data, self.is_split)


def _build_body(headers):
    if headers.get("Accept") == "text/event-stream":
        return b"id: 1\ndata: x\n\n"
    return BODY


def build_response(status_line, field_line, fields, body):
    """Returns a response with a length.

    Args:
        status_line: The status line.
        field_line: Line between the other headers; empty for none.
        fields: Other headers.
        body: The body.
    """
    lines = [status_line, *(k.encode() + b": " + v for k, v in fields.items())]
    if field_line:
        lines.append(field_line)
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def write(handler, data, is_split):
    """Writes a response at once, or byte by byte."""
    if not is_split:
        handler.wfile.write(data)
        return
    with contextlib.suppress(OSError):
        for offset in range(len(data)):
            handler.wfile.write(data[offset : offset + 1])
            handler.wfile.flush()


class RawServer(platform_standins.Server):
    """A server that sends the same bytes to each request and then closes.

    Attributes:
        response: Bytes of the response.
        is_split: Whether the response is written byte by byte.
        requests: Number of requests received.
    """

    def __init__(self):
        self.response = b""
        self.is_split = False
        self.requests = 0
        super().__init__()

    def handle(self, handler, body):
        """Sends the response."""
        self.requests += 1
        handler.close_connection = True
        write(handler, self.response, self.is_split)
