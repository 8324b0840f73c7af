"""Encoding of the messages between nodes: JSON, compressed if large."""

import json
from typing import Any
import zlib

import loguru

# Smaller messages fit into one packet and are not compressed.
MIN_COMPRESSED_BYTES = 1200
# The fastest level. It already reduces a large configuration to a tenth.
COMPRESSION_LEVEL = 1
# Limit of one decompressed message: far above the largest configuration, and a
# fraction of the memory of a VM.
MAX_DECODED_BYTES = 16 * 1024 * 1024


def encode(document: dict[str, Any]) -> bytes:
    """Encodes a message; large ones are compressed for slow links."""
    data = json.dumps(document, separators=(",", ":")).encode()
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode(payload: bytes) -> dict[str, Any]:
    """Decodes a message; an invalid one gives an empty document."""
    try:
        if payload[:1] != b"{":
            unpacker = zlib.decompressobj()
            payload = unpacker.decompress(payload, MAX_DECODED_BYTES)
            if not unpacker.eof:
                loguru.logger.warning(
                    "message truncated or over {} bytes, dropped",
                    MAX_DECODED_BYTES,
                )
                return {}
        document = json.loads(payload)
    except (ValueError, RecursionError, zlib.error) as error:
        loguru.logger.warning("invalid peer message: {!r}", error)
        return {}
    return document if isinstance(document, dict) else {}
