"""Outstanding tokens of peers at upstreams, as each peer publishes them."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import json
from typing import Any
import zlib

# In publish intervals of a process.
PEER_TTL_INTERVALS = 10
# Covers the time that any report stays in use; bounds unread histories.
MAX_HISTORY = 64


@dataclasses.dataclass
class PeerLoad:
    """Outstanding tokens of one peer, per upstream.

    Attributes:
        history: Per upstream, (local time, tokens), oldest first. The first
            entry is the newest one that the last load report includes.
    """

    sequence: int
    data_centre: str
    received_at: float
    tokens: Mapping[str, int]
    history: dict[str, collections.deque[tuple[float, int]]]


class PeerLoads:
    """Holds the newest load of every peer, by sequence number."""

    def __init__(self) -> None:
        self._loads: dict[str, PeerLoad] = {}
        self._expired: dict[str, int] = {}

    def list_sequences(self, data_centre: str) -> dict[str, int]:
        """Returns the sequence of each peer of a data centre."""
        known = {}
        for process, load in self._loads.items():
            if load.data_centre == data_centre:
                known[process] = load.sequence
        return known

    def list_newer(
        self, known: Mapping[str, int], data_centre: str
    ) -> list[tuple[str, str, int, Mapping[str, int]]]:
        """Returns loads of a data centre's peers newer than `known`."""
        newer = []
        for process, load in self._loads.items():
            if load.data_centre != data_centre:
                continue
            if known.get(process, 0) >= load.sequence:
                continue
            newer.append((process, data_centre, load.sequence, load.tokens))
        return newer

    def merge(
        self,
        process: str,
        data_centre: str,
        sequence: int,
        tokens: Mapping[str, int],
        now: float,
    ) -> Iterable[str]:
        """Applies a load unless outdated; returns the upstreams it changes."""
        if sequence <= self._expired.get(process, 0):
            return ()
        load = self._loads.get(process)
        if load is None:
            load = PeerLoad(sequence, data_centre, now, {}, {})
            self._loads[process] = load
        elif sequence <= load.sequence:
            return ()
        changed = set(tokens) | set(load.tokens)
        load.sequence = sequence
        load.received_at = now
        load.tokens = tokens
        for name in changed:
            history = load.history.setdefault(
                name, collections.deque(maxlen=MAX_HISTORY)
            )
            history.append((now, tokens.get(name, 0)))
        return changed

    def count(self, data_centre: str) -> int:
        """Returns the number of known peers of a data centre."""
        return len(self.list_sequences(data_centre))

    def expire(self, now: float, interval_s: float) -> set[str]:
        """Removes silent peers and returns the upstreams that this changes.

        Args:
            now: Monotonic time in seconds.
            interval_s: Publish interval of a peer in seconds.
        """
        changed: set[str] = set()
        for process, load in list(self._loads.items()):
            if now - load.received_at < PEER_TTL_INTERVALS * interval_s:
                continue
            # The last sequence stays, so that a slower peer can't restore the
            # expired load.
            self._expired[process] = load.sequence
            del self._loads[process]
            changed.update(load.history)
        return changed

    def sum_tokens(self, upstream: str, since: float | None) -> tuple[int, int]:
        """Returns the outstanding tokens of all peers at an upstream.

        Args:
            upstream: Name of the upstream.
            since: Time of the last load report, or `None` without one.

        Returns:
            Outstanding tokens, and their growth since that time.
        """
        outstanding = 0
        growth = 0
        for load in self._loads.values():
            history = load.history.get(upstream)
            if not history:
                continue
            outstanding += history[-1][1]
            if since is None:
                continue
            while len(history) > 1 and history[1][0] <= since:
                history.popleft()
            base = history[0][1] if history[0][0] <= since else 0
            growth += history[-1][1] - base
        return outstanding, growth


def compress_json(content: Any) -> bytes:
    """Returns compressed JSON."""
    return zlib.compress(json.dumps(content, separators=(",", ":")).encode())


def decompress_json(payload: bytes) -> Any:
    """Returns the content of compressed JSON."""
    return json.loads(zlib.decompress(payload))
