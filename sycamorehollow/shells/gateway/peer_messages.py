"""How nodes spell what they tell each other."""

import json
from typing import Any
import zlib

import loguru

# Smaller messages fit into one packet.
MIN_COMPRESSED_BYTES = 1200
# The fastest level; a large configuration shrinks to a tenth with it.
COMPRESSION_LEVEL = 1
# Bytes of one message when it is unpacked; far above the largest
# configuration, and a part of the memory of a VM.
MAX_DECODED_BYTES = 16 * 1024 * 1024


def encode(document: dict[str, Any]) -> bytes:
    """Encodes news; compresses large ones, which slow links carry often."""
    data = json.dumps(document, separators=(",", ":")).encode()
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode(payload: bytes) -> dict[str, Any]:
    """Decodes news; what is none gives nothing."""
    try:
        if payload[:1] != b"{":
            unpacker = zlib.decompressobj()
            payload = unpacker.decompress(payload, MAX_DECODED_BYTES)
            if not unpacker.eof:
                loguru.logger.warning(
                    "news over {} bytes, dropped", MAX_DECODED_BYTES
                )
                return {}
        document = json.loads(payload)
    except (ValueError, RecursionError, zlib.error) as error:
        loguru.logger.warning("unreadable news: {!r}", error)
        return {}
    return document if isinstance(document, dict) else {}
