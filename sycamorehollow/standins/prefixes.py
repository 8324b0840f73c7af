"""Prompt-prefix cache of an engine and its published events."""

import collections
import hashlib
import random

from sycamorehollow.standins import settings as standin_settings

# Length of a cached block; a prefix is a whole number of blocks.
BLOCK_BYTES = 1_024
MAX_EVENTS = 10_000


def hash_prefixes(version: str, prompt: str) -> list[str]:
    """Returns the hash of each prefix that ends at a block boundary.

    Versions do not share a cache, so the version is part of the hash.
    """
    data = prompt.encode()
    running = hashlib.sha256(version.encode() + b"\0")
    hashes = []
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        running.update(data[end - BLOCK_BYTES : end])
        hashes.append(running.hexdigest()[:16])
    return hashes


class PrefixCache:
    """Bounded cache; its events are published late and with gaps."""

    def __init__(
        self, settings: standin_settings.ReportSection, rng: random.Random
    ):
        self._settings = settings
        self._rng = rng
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, dict]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._last = 0

    def store(self, version: str, prompt: str, now: float) -> int:
        """Stores the prefixes of a prompt.

        Returns:
            Leading blocks that were cached before.
        """
        hits = 0
        missed = False
        for prefix in hash_prefixes(version, prompt):
            if prefix in self._blocks:
                self._blocks.move_to_end(prefix)
                hits += 0 if missed else 1
                continue
            missed = True
            self._blocks[prefix] = None
            self._publish("stored", prefix, now)
        while len(self._blocks) > self._settings.cache_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now)
        return hits

    def clear(self) -> None:
        """Empties the cache and its events, as a restart does."""
        self._blocks.clear()
        self._events.clear()

    def list_events(self, after: int, now: float) -> dict:
        """Returns the events that are published by now."""
        due = now - self._settings.cache_delay_s
        events = [
            event
            for at, event in self._events
            if at <= due and event["number"] > after
        ]
        last = events[-1]["number"] if events else after
        return {"events": events, "last": last}

    def _publish(self, kind: str, prefix: str, now: float) -> None:
        # A lost event uses up its number, so that a reader can see the gap.
        self._last += 1
        if self._rng.random() < self._settings.cache_gap_share:
            return
        event = {"number": self._last, "type": kind, "prefix": prefix}
        self._events.append((now, event))
