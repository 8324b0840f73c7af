"""Codec of the digests and deltas of replicated components."""

import json
import zlib


def compress_json(value: object) -> bytes:
    """Returns a JSON-compatible value as compressed JSON."""
    text = json.dumps(value, separators=(",", ":")).encode()
    return zlib.compress(text, level=1)


def decompress_json(data: bytes):
    """Returns the value of compressed JSON; object keys are strings.

    Raises:
        ValueError: The bytes are not a result of `compress_json`.
    """
    try:
        return json.loads(zlib.decompress(data))
    except zlib.error as error:
        raise ValueError(str(error)) from error
