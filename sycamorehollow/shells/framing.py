"""HTTP/1.1 and server-sent event framing for the relay.

The size limits keep an engine that sends an endless head, event or chunk size
from filling the memory.
"""

import json
from typing import Any

import h11
import httptools
import sseclient

from sycamorehollow.shells import response_heads

END_MARKER = "[DONE]"
# An event of an engine holds only a few tokens.
MAX_EVENT_BYTES = 256 * 1024
# Limit of a response head, and of the framing and trailers between two parts of
# the body; well above the heads that common servers accept.
MAX_OVERHEAD_BYTES = 256 * 1024


class OversizeError(Exception):
    """A part of a response exceeds its size limit."""


class EventReader:
    """Splits a byte stream after complete server-sent events."""

    def __init__(self):
        self._tail = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the events that are now complete, as they were received.

        Raises:
            OversizeError: An event is too long.
        """
        tail = self._tail + data
        if len(tail) > MAX_EVENT_BYTES + len(data):
            raise OversizeError("event exceeds its size limit")
        end = tail.rfind(b"\n\n") + 2
        if end < 2:
            end = tail.rfind(b"\r\n\r\n") + 4
            if end < 4:
                self._tail = tail
                return b""
        self._tail = tail[end:]
        return tail[:end]


def parse_events(block: bytes) -> list[str]:
    """Returns the data fields of the events in a block."""
    client = sseclient.SSEClient(iter([block]))
    return [event.data for event in client.events()]


def needs_parsing(block: bytes) -> bool:
    """Returns whether a block may hold the usage or the end marker.

    Other blocks are forwarded unparsed: parsing every block took a third of
    the processor time of the relay.
    """
    return b"[DONE]" in block or b'"usage":' in block or b"\r" in block


def count_events(block: bytes) -> int:
    """Returns the number of events in a block that needs no parsing."""
    return block.count(b"\n\n")


def count_tokens(block: bytes) -> int:
    """Returns the number of chunks with text; each counts as one token."""
    found = block.count(b'"content":')
    for empty in (b'"content":""', b'"content": ""', b'"content":null'):
        found -= block.count(empty)
    return found


class ResponseReader:
    """Parses one HTTP response.

    Attributes:
        status: Status code, or 0 until the head is read.
        headers: Header fields with lower-case names.
        complete: Whether the response was read to its end.
        keep_alive: Whether the connection can carry another request.
    """

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.complete = False
        self.keep_alive = False
        self._reason = b""
        self._meter = response_heads.HeadMeter()
        self._body: list[bytes] = []
        self._overhead = 0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> bytes:
        """Parses received bytes and returns the body bytes in them.

        Raises:
            httptools.HttpParserError: The bytes are no HTTP response.
            OversizeError: The head, framing or trailers are too long.
        """
        status = self.status
        self._parser.feed_data(data)
        if not self._body:
            same = self.status == status and not self.complete
            self._overhead = self._overhead + len(data) if same else 0
            if self._overhead > MAX_OVERHEAD_BYTES:
                raise OversizeError("head or framing exceeds its size limit")
            return b""
        self._overhead = 0
        body = b"".join(self._body)
        self._body.clear()
        return body

    def on_status(self, reason: bytes) -> None:
        """Stores the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; trailers are ignored.

        Raises:
            response_heads.InvalidHeadError: The head is too long.
        """
        if self.status:
            return
        self._meter.add(name, value)
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Stores the status; an interim (1xx) response is discarded.

        Raises:
            response_heads.InvalidHeadError: The status line is invalid.
        """
        status = self._parser.get_status_code()
        reason, self._reason = self._reason, b""
        response_heads.check_status_line(
            self._parser.get_http_version(), status, reason
        )
        if status < response_heads.FINAL_STATUS:
            self.headers.clear()
            return
        self.status = status
        self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Collects body bytes for the current `feed` call."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Records the end of the response."""
        self.complete = self.status != 0


def build_request(
    method: str, host: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns an encoded HTTP/1.1 request."""
    connection = h11.Connection(h11.CLIENT)
    fields = [("Host", host), *headers.items()]
    if body:
        fields.append(("Content-Type", "application/json"))
        fields.append(("Content-Length", str(len(body))))
    head = connection.send(
        h11.Request(method=method, target=target, headers=fields)
    )
    payload = connection.send(h11.Data(data=body)) if body else b""
    return (head or b"") + (payload or b"")


def encode_event(data: str) -> bytes:
    """Returns an encoded server-sent event."""
    if "\n" in data:
        data = data.replace("\n", "\ndata: ")
    return b"data: " + data.encode("utf-8") + b"\n\n"


def encode_chunk(payload: bytes) -> bytes:
    """Returns a payload as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(payload), payload)


def parse_usage(data: str) -> dict[str, Any] | None:
    """Returns the usage field of a chunk, or `None`."""
    if '"usage"' not in data or '"usage":null' in data:
        return None
    try:
        return json.loads(data).get("usage")
    except (ValueError, AttributeError):
        return None
