"""Framing of responses and event streams that the relay reads."""

import json
from typing import Any

import h11
import httptools
import sseclient

END_MARKER = "[DONE]"
# Bytes of one event; an engine's events hold some tokens.
MAX_EVENT_BYTES = 256 * 1024
# Bytes of the head of a response, and of framing and trailers between parts of
# its body; well above any head that a server accepts.
MAX_OVERHEAD_BYTES = 256 * 1024


class OversizeError(Exception):
    """A response has a part without end."""


class EventReader:
    """Cuts a byte stream after whole server-sent events."""

    def __init__(self):
        self._tail = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the events that are whole now, as they were received.

        Raises:
            OversizeError: An event is too long.
        """
        tail = self._tail + data
        if len(tail) > MAX_EVENT_BYTES + len(data):
            raise OversizeError("an event without end")
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
    """Tells whether a block may hold the usage or the end marker.

    Other blocks are passed on as they are: parsing each of them took a third
    of the relay's processor time.
    """
    return b"[DONE]" in block or b'"usage":' in block or b"\r" in block


def count_events(block: bytes) -> int:
    """Returns the number of events in a block that needs no parsing."""
    return block.count(b"\n\n")


def count_tokens(block: bytes) -> int:
    """Returns the number of chunks that carry text; a chunk is a token."""
    found = block.count(b'"content":')
    for empty in (b'"content":""', b'"content": ""', b'"content":null'):
        found -= block.count(empty)
    return found


class ResponseReader:
    """Parses one HTTP response.

    Attributes:
        status: Status code, 0 before the head was read.
        headers: Header fields with lower-case names.
        complete: Whether the whole response was read.
        keep_alive: Whether the connection can carry another request.
    """

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.complete = False
        self.keep_alive = False
        self._body: list[bytes] = []
        self._overhead = 0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> bytes:
        """Parses received bytes and returns the body bytes in them.

        Raises:
            httptools.HttpParserError: The bytes are no HTTP response.
            OversizeError: They bring no part of one.
        """
        status = self.status
        self._parser.feed_data(data)
        if not self._body:
            same = self.status == status and not self.complete
            self._overhead = self._overhead + len(data) if same else 0
            if self._overhead > MAX_OVERHEAD_BYTES:
                raise OversizeError("bytes that are no answer")
            return b""
        self._overhead = 0
        body = b"".join(self._body)
        self._body.clear()
        return body

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header field; trailers are dropped."""
        if self.status:
            return
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Keeps the status; an interim response only precedes another one."""
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self.headers.clear()
            return
        self.status = status
        self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Keeps body bytes until `feed` returns."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Marks the end of the response."""
        self.complete = self.status != 0


def build_request(
    method: str, host: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns the bytes of one HTTP/1.1 request."""
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
    """Returns one server-sent event."""
    if "\n" in data:
        data = data.replace("\n", "\ndata: ")
    return b"data: " + data.encode("utf-8") + b"\n\n"


def encode_chunk(payload: bytes) -> bytes:
    """Returns one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(payload), payload)


def parse_usage(data: str) -> dict[str, Any] | None:
    """Returns the usage field of a chunk, or `None`."""
    if '"usage"' not in data or '"usage":null' in data:
        return None
    try:
        return json.loads(data).get("usage")
    except (ValueError, AttributeError):
        return None
