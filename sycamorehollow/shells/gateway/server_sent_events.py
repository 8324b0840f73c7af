"""Splits a stream of server-sent events at the ends of events."""

import re

# Bytes of one event; an engine's events hold some tokens.
MAX_EVENT_BYTES = 256 * 1024
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_DATA = re.compile(rb"^data:", re.MULTILINE)


class EventTooLargeError(Exception):
    """An event has no end."""


class EventSplitter:
    """Holds back the bytes of an event that has not ended.

    Attributes:
        last_event_id: Identity of the last event that was let through.
    """

    def __init__(self, last_event_id: str = ""):
        self.last_event_id = last_event_id
        self._incomplete_event = b""

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._incomplete_event

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events up to the present.

        Raises:
            EventTooLargeError: The present event is too long.
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
        whole, self._incomplete_event = (
            self._incomplete_event[:end],
            self._incomplete_event[end:],
        )
        for match in _ID.finditer(whole):
            self.last_event_id = match[1].decode("latin-1")
        return whole

    def discard_incomplete_event(self) -> None:
        """Forgets the event that was cut off."""
        self._incomplete_event = b""


def has_data(events: bytes) -> bool:
    """Tells whether events carry data, unlike comments that fill a pause."""
    return _DATA.search(events) is not None
