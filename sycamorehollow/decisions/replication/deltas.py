"""Codec of the digests and deltas of replicated parts."""

import json
import zlib


def pack(value: object) -> bytes:
    """Returns a JSON-compatible value in compressed form."""
    text = json.dumps(value, separators=(",", ":")).encode()
    return zlib.compress(text, level=1)


def unpack(data: bytes):
    """Returns the value; object keys are strings.

    Raises:
        ValueError: The bytes are not of `pack`.
    """
    try:
        return json.loads(zlib.decompress(data))
    except zlib.error as error:
        raise ValueError(str(error)) from error
