"""Index of the prompt prefixes that upstreams probably have cached.

Requests may share long prompt prefixes. An upstream that has processed a prefix
for the same model need not process it again while its cache holds it.
"""

import collections
from collections.abc import Sequence
import zlib

from sycamorehollow.model import forwarding

# Prompt parts to keep per upstream.
MAX_PARTS = 4000


class PrefixIndex:
    """Tracks the cached prompt parts of each upstream.

    Args:
        retention_s: Seconds after its last use for which a part is assumed to
            be cached.
    """

    def __init__(self, retention_s: float):
        self._retention_s = retention_s
        self._parts: dict[
            str, collections.OrderedDict[tuple[str, str], float]
        ] = {}
        # The upstream that has processed each part last.
        self._latest: collections.OrderedDict[tuple[str, str], str] = (
            collections.OrderedDict()
        )

    def record_prefill(
        self,
        identity: str,
        model: str,
        parts: Sequence[forwarding.PromptPart],
        now: float,
    ) -> None:
        """Records that an upstream processes a prompt with these parts."""
        cached = self._parts.setdefault(identity, collections.OrderedDict())
        for part in parts:
            cached[model, part.identity] = now
            cached.move_to_end((model, part.identity))
            self._latest[model, part.identity] = identity
            self._latest.move_to_end((model, part.identity))
        while len(cached) > MAX_PARTS:
            cached.popitem(last=False)
        while len(self._latest) > MAX_PARTS:
            self._latest.popitem(last=False)

    def find_latest(
        self, model: str, parts: Sequence[forwarding.PromptPart]
    ) -> str | None:
        """Returns the upstream that has last processed most of a prompt."""
        for part in reversed(parts):
            identity = self._latest.get((model, part.identity))
            if identity is not None:
                return identity
        return None

    def count_cached_tokens(
        self,
        identity: str,
        model: str,
        parts: Sequence[forwarding.PromptPart],
        now: float,
    ) -> int:
        """Returns the number of leading tokens that an upstream has cached."""
        cached = self._parts.get(identity)
        if cached is None:
            return 0
        tokens = 0
        for part in parts:
            used_at = cached.get((model, part.identity))
            if used_at is None or used_at < now - self._retention_s:
                break
            tokens += part.tokens
        return tokens

    def remove_upstream(self, identity: str) -> None:
        """Drops the entries of an upstream that is gone or restarted."""
        self._parts.pop(identity, None)


def rank_by_hash(identities: Sequence[str], model: str, part: str) -> list[str]:
    """Returns upstreams in the order of preference for a prompt part.

    Uses rendezvous hashing: all nodes compute the same order, and when an
    upstream leaves only its own parts move.
    """
    return sorted(
        identities,
        key=lambda name: zlib.crc32(f"{name}|{model}|{part}".encode()),
    )
