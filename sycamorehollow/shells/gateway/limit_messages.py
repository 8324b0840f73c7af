"""The parts of sync messages that concern request limits of upstreams.

All of them are left out while there is nothing to tell. Processes of older
versions ignore them.
"""

from collections.abc import Mapping
import math
from typing import Any

from sycamorehollow.decisions.forwarding import permit_loans
from sycamorehollow.decisions.forwarding import stated_limits

LIMITS = "limits"
PERMIT_REQUEST = "permit_request"
PERMIT_REPLY = "permit_reply"


def export(
    limits: stated_limits.StatedLimits, node: str, now: float
) -> dict[str, Any]:
    """Returns the limits to send to the node at an address."""
    statements = limits.export(node, now)
    if not statements:
        return {}
    return {
        LIMITS: [
            [
                *statement.incarnation,
                statement.requests_per_s,
                statement.previous_per_s,
                round(now - statement.seen_at, 3),
                statement.origin,
                statement.number,
            ]
            for statement in statements
        ]
    }


def merge(
    limits: stated_limits.StatedLimits, document: Mapping[str, Any], now: float
) -> None:
    """Merges the limits that another node knows.

    Raises:
        TypeError, ValueError: The document is malformed.
    """
    statements = []
    for entry in document.get(LIMITS, ()):
        identity, started_ms, limit, previous, age_s, origin, number = entry
        statements.append(
            stated_limits.Statement(
                (_check_text(identity), _check_whole(started_ms)),
                None if limit is None else _check_number(limit),
                _check_number(previous),
                now - _check_number(age_s),
                _check_text(origin),
                _check_whole(number),
            )
        )
    limits.merge(statements)


def encode_request(request: permit_loans.PermitRequest) -> dict[str, Any]:
    """Returns a request for a permit."""
    return {PERMIT_REQUEST: list(request.incarnation)}


def handle_request(
    loans: permit_loans.PermitLoans, document: Mapping[str, Any], now: float
) -> dict[str, Any]:
    """Returns the reply to the request in a message, if there is one.

    Raises:
        TypeError, ValueError: The document is malformed.
    """
    request = document.get(PERMIT_REQUEST)
    if request is None:
        return {}
    identity, started_ms = request
    reply = loans.lend((_check_text(identity), _check_whole(started_ms)), now)
    return {PERMIT_REPLY: [reply.granted, round(reply.backoff_s, 3)]}


def decode_reply(document: Mapping[str, Any]) -> permit_loans.PermitReply:
    """Returns the reply to a request for a permit.

    Raises:
        KeyError, TypeError, ValueError: There is none or it is malformed.
    """
    granted, backoff_s = document[PERMIT_REPLY]
    if not isinstance(granted, bool):
        raise TypeError(f"granted is {granted!r}")
    return permit_loans.PermitReply(granted, _check_number(backoff_s))


def _check_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value


def _check_whole(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is no whole number")
    return value


def _check_number(value: Any) -> float:
    """Returns a finite number of 0 or more."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{value!r} is no number")
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{value!r} is no finite number of 0 or more")
    return number
