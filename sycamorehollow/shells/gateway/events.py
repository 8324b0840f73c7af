"""Splits a stream of server-sent events at the ends of events."""

import re

# Bytes of one event; an engine's events hold some tokens.
MAX_EVENT_BYTES = 256 * 1024
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_DATA = re.compile(rb"^data:", re.MULTILINE)


class OversizeError(Exception):
    """An event has no end."""


class EventSplitter:
    """Holds back the bytes of an event that has not ended.

    Attributes:
        last_event: Identity of the last event that was let through.
    """

    def __init__(self, last_event: str = ""):
        self.last_event = last_event
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events up to the present.

        Raises:
            OversizeError: The present event is too long.
        """
        self._rest += data
        end = 0
        for match in _END.finditer(self._rest):
            end = match.end()
        if len(self._rest) - end > MAX_EVENT_BYTES:
            raise OversizeError(f"an event of over {MAX_EVENT_BYTES} bytes")
        if not end:
            return b""
        whole, self._rest = self._rest[:end], self._rest[end:]
        for match in _ID.finditer(whole):
            self.last_event = match[1].decode("latin-1")
        return whole

    def drop_rest(self) -> None:
        """Forgets the event that was cut off."""
        self._rest = b""


def has_content(events: bytes) -> bool:
    """Tells whether events carry data, unlike comments that fill a pause."""
    return _DATA.search(events) is not None
