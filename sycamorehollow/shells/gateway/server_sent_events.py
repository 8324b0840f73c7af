"""Splits a stream of server-sent events at event boundaries."""

import re

# Limit of one event. Events of engines hold a few tokens, far less than this.
MAX_EVENT_BYTES = 256 * 1024
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_DATA = re.compile(rb"^data:", re.MULTILINE)


class EventTooLargeError(Exception):
    """Raised when an event exceeds `MAX_EVENT_BYTES` without an end."""


class EventSplitter:
    """Buffers the bytes of an incomplete event.

    Attributes:
        last_event_id: Identifier of the last complete event.
    """

    def __init__(self, last_event_id: str = ""):
        self.last_event_id = last_event_id
        self._incomplete_event = b""

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of the event that is still incomplete."""
        return self._incomplete_event

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns the events that they complete.

        Raises:
            EventTooLargeError: The incomplete event is too long.
        """
        self._incomplete_event += data
        end = 0
        for match in _END.finditer(self._incomplete_event):
            end = match.end()
        if len(self._incomplete_event) - end > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event of over {MAX_EVENT_BYTES} bytes"
            )
        if not end:
            return b""
        complete, self._incomplete_event = (
            self._incomplete_event[:end],
            self._incomplete_event[end:],
        )
        for match in _ID.finditer(complete):
            self.last_event_id = match[1].decode("latin-1")
        return complete

    def discard_incomplete_event(self) -> None:
        """Discards the event that was cut off."""
        self._incomplete_event = b""


def has_data(events: bytes) -> bool:
    """Tells whether events carry data; keep-alive comments do not."""
    return _DATA.search(events) is not None
