"""Rules for heads of HTTP responses that the parsers do not enforce.

All readers of responses apply them, so that a response that one of them rejects
is not accepted by another.
"""

import re

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


def describe_error(error: Exception) -> str:
    """Returns why a response could not be read.

    A parser raises an error of its own for one that a callback has raised.
    """
    if isinstance(error.__context__, InvalidHeadError):
        return str(error.__context__)
    return str(error)
