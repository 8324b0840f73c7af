"""The part of sync messages that has changes of the store."""

from collections.abc import Mapping
from typing import Any

from sycamorehollow.decisions.forwarding import mirror


def encode_delta(delta: mirror.Delta | None) -> dict[str, Any]:
    """Returns the changes that another node lacks."""
    if delta is None:
        return {}
    entries = [[e.key, e.value, e.revision] for e in delta.entries]
    return {
        "delta": {
            "entries": entries,
            "revision": delta.revision,
            "whole": delta.is_snapshot,
            "era": delta.era,
        }
    }


def decode_delta(document: Mapping[str, Any]) -> mirror.Delta | None:
    """Returns the changes in the message of another node, if there are any.

    Raises:
        KeyError, TypeError: The document is malformed.
    """
    delta = document.get("delta")
    if delta is None:
        return None
    entries = tuple(mirror.Entry(*entry) for entry in delta["entries"])
    return mirror.Delta(
        entries, delta["revision"], delta["whole"], delta.get("era", 0)
    )
