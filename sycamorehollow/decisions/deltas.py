"""Codec of the digests and deltas of replicated parts."""

import json
import zlib


def pack(value: object) -> bytes:
    """Returns a JSON-compatible value in compressed form."""
    return zlib.compress(json.dumps(value, separators=(",", ":")).encode())


def unpack(data: bytes):
    """Returns the value; object keys are strings.

    Raises:
        ValueError: The bytes are not of `pack`.
    """
    try:
        return json.loads(zlib.decompress(data))
    except zlib.error as error:
        raise ValueError(str(error)) from error
