"""Rules for heads of HTTP responses that the parsers do not enforce.

All readers of responses apply them, so that a response that one of them rejects
is not accepted by another.
"""

import re

import httptools

# RFC 9110, section 15: the valid status codes.
MIN_STATUS = 100
MAX_STATUS = 599
# First status of a final response; lower ones are interim.
FINAL_STATUS = 200
# Versions whose messages have the framing that the parsers read.
VERSIONS = ("1.0", "1.1")
# RFC 9112, section 4: tabs, spaces, visible characters and obs-text.
_REASON_PHRASE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
# Longer values are cut in the log.
MAX_LOGGED_BYTES = 40
# Limit of what the headers of one response occupy in memory, and the part of
# it that each takes besides its bytes.
MAX_HEAD_BYTES = 128 * 1024
HEADER_OVERHEAD_BYTES = 160


class InvalidHeadError(Exception):
    """The head of a response does not conform to HTTP/1.1."""


def check_status_line(version: str, status: int, reason: bytes) -> None:
    """Checks the parts of a status line.

    Args:
        version: HTTP version, such as `1.1`.
        status: Status code.
        reason: Reason phrase, which may be empty.

    Raises:
        InvalidHeadError: A part is outside of RFC 9110, section 15, or of
            RFC 9112, section 4.
    """
    if version not in VERSIONS:
        raise InvalidHeadError(f"invalid status line: version {version!r}")
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise InvalidHeadError(f"invalid status line: status {status}")
    if not _REASON_PHRASE.fullmatch(reason):
        shown = reason[:MAX_LOGGED_BYTES]
        raise InvalidHeadError(f"invalid status line: reason {shown!r}")


class HeadMeter:
    """Limits what the headers of one response occupy in memory.

    Many short headers occupy many times the bytes that were received.
    """

    def __init__(self):
        self._bytes = 0

    def add(self, name: bytes, value: bytes) -> None:
        """Counts a header.

        Raises:
            InvalidHeadError: The headers occupy too much.
        """
        self._bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._bytes > MAX_HEAD_BYTES:
            raise InvalidHeadError("the head is too long")


class HeadValidator:
    """Validates the head of a response that a lenient parser reads as well.

    Such a parser may skip malformed lines, and with them the header that states
    where the body ends.

    Attributes:
        is_complete: Whether the head of the final response has ended.
    """

    def __init__(self):
        self.is_complete = False
        self._reason = b""
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Validates received bytes; those after the head are ignored.

        Raises:
            InvalidHeadError: The head is invalid.
        """
        if self.is_complete:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.is_complete:
                return
            raise InvalidHeadError(
                f"invalid head: {describe_error(error)}"
            ) from error

    def on_status(self, reason: bytes) -> None:
        """Stores the reason phrase; called by the parser."""
        self._reason += reason

    def on_headers_complete(self) -> None:
        """Checks the status line; called by the parser.

        Raises:
            InvalidHeadError: The status line is invalid.
        """
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        reason, self._reason = self._reason, b""
        check_status_line(self._parser.get_http_version(), status, reason)
        self.is_complete = status >= FINAL_STATUS


def describe_error(error: Exception) -> str:
    """Returns why a response could not be read.

    A parser raises an error of its own for one that a callback has raised.
    """
    if isinstance(error.__context__, InvalidHeadError):
        return str(error.__context__)
    return str(error)
