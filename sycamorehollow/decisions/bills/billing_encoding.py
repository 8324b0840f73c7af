"""Encoding of spool messages between entry processes."""

import json

from sycamorehollow.decisions.bills import billing_messages as messages

PART_KIND = "bill-spool"
ADVANCE_KIND = "bill-advance"


def encode_part(part: messages.SpoolPart) -> bytes:
    """Returns the payload of a part."""
    document = {
        "origin": _list_fields(part.origin),
        "sequence": part.sequence,
        "part": part.part,
        "items": part.items,
        "oldest": part.oldest,
    }
    return json.dumps(document).encode("utf-8")


def decode_part(payload: bytes) -> messages.SpoolPart | None:
    """Returns the part in a payload, or `None` if it is damaged."""
    try:
        document = json.loads(payload)
        items = tuple(document["items"])
        for item in items:
            # One damaged item would make the stored batch unreadable.
            json.loads(item)
        return messages.SpoolPart(
            messages.Process(*document["origin"]),
            document["sequence"],
            document["part"],
            items,
            document["oldest"],
        )
    except (ValueError, KeyError, TypeError):
        return None


def encode_advance(origin: messages.Process, oldest: int) -> bytes:
    """Returns the payload that tells below which sequence all is stored."""
    document = {"origin": _list_fields(origin), "oldest": oldest}
    return json.dumps(document).encode("utf-8")


def decode_advance(payload: bytes) -> messages.OriginAdvanced | None:
    """Returns the event in a payload, or `None` if it is damaged."""
    try:
        document = json.loads(payload)
        origin = messages.Process(*document["origin"])
        return messages.OriginAdvanced(origin, document["oldest"])
    except (ValueError, KeyError, TypeError):
        return None


def _list_fields(process: messages.Process) -> list[str | int]:
    return [process.address, process.data_centre, process.incarnation]
