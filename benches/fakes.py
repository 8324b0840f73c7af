"""Small fake upstreams in simulated time for the benches."""

import collections
import dataclasses

from sycamorehollow.decisions.routing import capacity
from sycamorehollow.decisions.routing import prefix_index
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import deployment

# Reading a prompt token costs about a tenth of writing an output token.
PROMPT_WORK = 0.1
CACHED_BLOCKS = 200


@dataclasses.dataclass
class Job:
    """A request that runs at an engine, with its remaining work in tokens."""

    demand: capacity.Demand
    work: float


class Engine:
    """A model engine whose requests share its rate.

    Args:
        rate: Output tokens per second in all.
        request_rate: Output tokens per second of one request at most.
    """

    def __init__(
        self, name: str, capacity_tokens: int, rate: float, request_rate: float
    ):
        self.name = name
        self.capacity_tokens = capacity_tokens
        self.rate = rate
        self._request_rate = request_rate
        self._jobs: dict[str, Job] = {}
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._number = 0
        self.held_tokens = 0
        self.cache_events: list[prefix_index.CacheChanged] = []

    def configure(self) -> deployment.Upstream:
        """Returns the configuration of this engine."""
        return deployment.Upstream(
            self.name, "", "dc", ("v",), self.capacity_tokens
        )

    def offer(self, job: str, demand: capacity.Demand) -> bool:
        """Starts a request, or refuses it when the memory is full."""
        if self.held_tokens + demand.tokens > self.capacity_tokens:
            return False
        fresh = demand.prompt_tokens
        for index, block in enumerate(demand.block_hashes):
            if block in self._cache:
                fresh = demand.prompt_tokens
                fresh -= (index + 1) * prefix_index.BLOCK_TOKENS
        self._remember(demand.block_hashes)
        work = PROMPT_WORK * max(0, fresh) + demand.max_output_tokens
        self._jobs[job] = Job(demand, work)
        self.held_tokens += demand.tokens
        return True

    def _remember(self, blocks: tuple[str, ...]) -> None:
        added = tuple(block for block in blocks if block not in self._cache)
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        removed = []
        while len(self._cache) > CACHED_BLOCKS:
            removed.append(self._cache.popitem(last=False)[0])
        if added or removed:
            self._number += 1
            self.cache_events.append(
                prefix_index.CacheChanged(
                    self.name, self._number, 1, added, tuple(removed)
                )
            )

    def advance(self, step_s: float) -> list[str]:
        """Works for a step and returns the requests that are complete."""
        if not self._jobs:
            return []
        each = min(self._request_rate, self.rate / len(self._jobs)) * step_s
        done = []
        for name, job in self._jobs.items():
            job.work -= each
            if job.work <= 0:
                done.append(name)
        for name in done:
            self.held_tokens -= self._jobs.pop(name).demand.tokens
        return done

    def report(self, now: float) -> upstream_events.LoadReported:
        """Returns the load at this moment."""
        return upstream_events.LoadReported(
            self.name,
            now,
            1,
            False,
            1,
            self.held_tokens,
            self.capacity_tokens,
            len(self._jobs),
        )


def compute_percentile(values: list[float], share: float) -> float:
    """Returns the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
