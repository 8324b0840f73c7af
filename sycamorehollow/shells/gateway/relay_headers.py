"""Headers of requests that a node sends on through another node."""

from sycamorehollow.shells.gateway import header_codec

# Attempts that may have run before the request was sent on.
_ATTEMPTS = b"Sycamore-Relayed-Attempts"
# Why a node does not take such a request, which it has not run.
_REFUSAL = b"Sycamore-Relay-Refused"
# More attempts than any route allows.
MAX_ATTEMPTS = 99


def encode_request(attempts: int) -> list[tuple[bytes, bytes]]:
    """Returns the headers that mark a request as sent on."""
    return [(_ATTEMPTS, b"%d" % attempts)]


def take_attempts(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Removes the mark of a request; returns its attempts, `None` if none."""
    found = [value for name, value in headers if _is(name, _ATTEMPTS)]
    headers[:] = [pair for pair in headers if not _is(pair[0], _ATTEMPTS)]
    if len(found) != 1 or not found[0].isdigit() or len(found[0]) > 2:
        return None
    return int(found[0])


def encode_refusal(reason: str) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a response that refuses such a request."""
    return [(_REFUSAL, reason.encode("latin-1"))]


def find_refusal(headers: header_codec.Headers) -> str:
    """Returns why a node refused a request; empty if it did not."""
    for name, value in headers:
        if _is(name, _REFUSAL):
            return value.decode("latin-1")
    return ""


def _is(name: bytes, header: bytes) -> bool:
    return name.lower() == header.lower()
