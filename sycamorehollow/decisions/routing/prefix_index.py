"""Index of the prompt prefixes that each upstream has cached.

It is built from the cache events of the upstreams, which may be late or
missing, and from the prompts that this process sends. Blocks that no event
confirms count for less and expire.
"""

import collections
from collections.abc import Sequence
import dataclasses
import hashlib

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events

BLOCK_TOKENS = 256
# About 200 bytes an entry: 100 upstreams need at most 20 MB.
MAX_BLOCKS = 1000
# An engine evicts unused prefixes within minutes; an entry whose eviction event
# may have been missed expires after this time.
UNCONFIRMED_TTL_S = 60.0
UNCONFIRMED_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True)
class CacheChanged(events.Event):
    """One numbered cache event of an upstream.

    Attributes:
        sequence: Position in the upstream's sequence, from 1.
        generation: Number of the upstream's run.
        added: Hashes of blocks that are now cached.
        removed: Hashes of blocks that were evicted.
    """

    upstream: str
    sequence: int
    generation: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class PromptSent(events.Event):
    """This process has sent a prompt; its blocks will be cached."""

    upstream: str
    blocks: tuple[str, ...]


@dataclasses.dataclass
class UpstreamCache:
    """Blocks that an upstream is assumed to hold.

    Attributes:
        blocks: Per block the expiry time if it is unconfirmed, or `None` if
            cache events confirm it; least recently confirmed first.
    """

    generation: int = 0
    sequence: int = 0
    blocks: collections.OrderedDict[str, float | None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class PrefixIndex(components.Component):
    """Tracks which upstream has cached which leading blocks of prompts."""

    def __init__(self) -> None:
        self._caches: dict[str, UpstreamCache] = {}
        self._holders: dict[str, dict[str, None]] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; returns no commands."""
        match event:
            case CacheChanged():
                self._apply(event, now)
            case PromptSent():
                cache = self._caches.setdefault(event.upstream, UpstreamCache())
                for block in event.blocks:
                    if cache.blocks.get(block, now) is not None:
                        self._add(
                            event.upstream, block, now + UNCONFIRMED_TTL_S
                        )
        return []

    def find_holder(self, blocks: Sequence[str], now: float) -> str | None:
        """Returns an upstream that holds the longest prefix of a prompt."""
        for block in reversed(blocks):
            for upstream in self._holders.get(block, ()):
                if self._weigh(upstream, block, now):
                    return upstream
        return None

    def count_cached_tokens(
        self, upstream: str, blocks: Sequence[str], now: float
    ) -> int:
        """Returns the expected cached tokens of a prompt at an upstream."""
        for index in range(len(blocks) - 1, -1, -1):
            weight = self._weigh(upstream, blocks[index], now)
            if weight:
                return int((index + 1) * BLOCK_TOKENS * weight)
        return 0

    def _weigh(self, upstream: str, block: str, now: float) -> float:
        cache = self._caches.get(upstream)
        if cache is None or block not in cache.blocks:
            return 0.0
        until = cache.blocks[block]
        if until is None:
            return 1.0
        return UNCONFIRMED_WEIGHT if now < until else 0.0

    def _apply(self, event: CacheChanged, now: float) -> None:
        cache = self._caches.setdefault(event.upstream, UpstreamCache())
        if event.generation < cache.generation:
            return
        if event.generation > cache.generation:
            for block in list(cache.blocks):
                self._remove(event.upstream, block)
            cache.generation = event.generation
            cache.sequence = 0
        late = event.sequence <= cache.sequence
        if event.sequence > cache.sequence + 1:
            self._mark_unconfirmed(cache, now)
        cache.sequence = max(cache.sequence, event.sequence)
        for block in event.removed:
            self._remove(event.upstream, block)
        for block in event.added:
            # A later event may have evicted the block that a late one adds.
            until = now + UNCONFIRMED_TTL_S if late else None
            if late and cache.blocks.get(block, now) is None:
                continue
            self._add(event.upstream, block, until)

    def _mark_unconfirmed(self, cache: UpstreamCache, now: float) -> None:
        for block, until in cache.blocks.items():
            if until is None:
                cache.blocks[block] = now + UNCONFIRMED_TTL_S

    def _add(self, upstream: str, block: str, until: float | None) -> None:
        blocks = self._caches[upstream].blocks
        blocks[block] = until
        blocks.move_to_end(block)
        self._holders.setdefault(block, {})[upstream] = None
        if len(blocks) > MAX_BLOCKS:
            self._remove(upstream, next(iter(blocks)))

    def _remove(self, upstream: str, block: str) -> None:
        self._caches[upstream].blocks.pop(block, None)
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.pop(upstream, None)
        if not holders:
            del self._holders[block]


def hash_blocks(scope: str, prompt: bytes, block_bytes: int) -> tuple[str, ...]:
    """Returns the hash of each prefix of whole blocks of a prompt.

    Args:
        scope: Version that reads the prompt; caches are not shared between
            versions.
        prompt: The prompt as bytes.
        block_bytes: Length of a block in bytes, about four per token.
    """
    state = hashlib.sha256(scope.encode() + b"\0")
    hashes = []
    whole = len(prompt) - len(prompt) % block_bytes
    for start in range(0, whole, block_bytes):
        state.update(prompt[start : start + block_bytes])
        hashes.append(state.hexdigest()[:16])
    return tuple(hashes)
