"""How nodes spell what they tell each other."""

import json
from typing import Any
import zlib

# Smaller messages fit into one packet.
COMPRESS_FROM_BYTES = 1200
# The fastest level; a large configuration shrinks to a tenth with it.
COMPRESS_LEVEL = 1


def pack(document: dict[str, Any]) -> bytes:
    """Encodes news; compresses large ones, which slow links carry often."""
    data = json.dumps(document, separators=(",", ":")).encode()
    if len(data) < COMPRESS_FROM_BYTES:
        return data
    return zlib.compress(data, COMPRESS_LEVEL)


def unpack(payload: bytes) -> dict[str, Any]:
    """Decodes news; what is none gives nothing."""
    try:
        if payload[:1] != b"{":
            payload = zlib.decompress(payload)
        document = json.loads(payload)
    except (ValueError, zlib.error):
        return {}
    return document if isinstance(document, dict) else {}
