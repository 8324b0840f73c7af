"""Which upstreams have read which parts of prompts.

Answers requests that share long parts of their prompts: an upstream that has
read a part for the same model does not read it again while it is in memory.
"""

import collections
from collections.abc import Sequence
import zlib

from sycamorehollow.model import forwarding

# Parts that are remembered per upstream.
MAX_PARTS = 4000


class PrefixIndex:
    """What this process believes the upstreams have in memory.

    Args:
        keep_s: Seconds for which a part counts as kept after its last use.
    """

    def __init__(self, retention_s: float):
        self._retention_s = retention_s
        self._parts: dict[
            str, collections.OrderedDict[tuple[str, str], float]
        ] = {}

    def record_prefill(
        self,
        identity: str,
        model: str,
        parts: Sequence[forwarding.PromptPart],
        now: float,
    ) -> None:
        """A request with these parts runs at an upstream."""
        known = self._parts.setdefault(identity, collections.OrderedDict())
        for part in parts:
            known[model, part.identity] = now
            known.move_to_end((model, part.identity))
        while len(known) > MAX_PARTS:
            known.popitem(last=False)

    def count_cached_tokens(
        self,
        identity: str,
        model: str,
        parts: Sequence[forwarding.PromptPart],
        now: float,
    ) -> int:
        """Returns the leading tokens that an upstream need not read again."""
        known = self._parts.get(identity)
        if known is None:
            return 0
        tokens = 0
        for part in parts:
            used_at = known.get((model, part.identity))
            if used_at is None or used_at < now - self._retention_s:
                break
            tokens += part.tokens
        return tokens

    def remove_upstream(self, identity: str) -> None:
        """An upstream is gone or has started again."""
        self._parts.pop(identity, None)


def rank_by_hash(identities: Sequence[str], model: str, part: str) -> list[str]:
    """Orders upstreams for a prompt part, alike at every node.

    Rendezvous hashing: when an upstream leaves, only its parts move.
    """
    return sorted(
        identities,
        key=lambda name: zlib.crc32(f"{name}|{model}|{part}".encode()),
    )
