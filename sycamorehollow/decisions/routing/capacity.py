"""Whether an upstream has capacity for a request, in memory and in time.

Processes start work independently between two load reports. Each one therefore
takes at most its share of what the reports show as free.
"""

import dataclasses

from sycamorehollow.decisions.routing import load_table

# Share of the memory that only short requests may use, because long ones hold
# their tokens for minutes. On an upstream of 200,000 tokens the reserve holds
# some 20 requests of 1,000 tokens.
SHORT_RESERVE = 0.1
SHORT_REQUEST_TOKENS = 2000
# Leaves room for one more request of the same size, which a peer may have
# started since the last report.
UNREPORTED_FACTOR = 2
SPEED_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request needs of an upstream.

    Attributes:
        prompt_tokens: Length of the prompt in tokens.
        max_output_tokens: Longest response in tokens; memory is reserved for
            it.
        deadline: Monotonic time in seconds after which the response is useless.
        block_hashes: Hashes of the leading blocks of the prompt, longest last.
        expected_output_tokens: Expected length of the response in tokens, from
            which durations are estimated; `None` if unknown.
    """

    prompt_tokens: int
    max_output_tokens: int
    deadline: float = float("inf")
    block_hashes: tuple[str, ...] = ()
    expected_output_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """Tokens that the request holds in memory when it is complete."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def is_short(self) -> bool:
        """Whether the request may use the reserve for short requests."""
        return self.tokens <= SHORT_REQUEST_TOKENS


@dataclasses.dataclass
class Speed:
    """Smoothed speed of an upstream.

    Attributes:
        prompt_s_per_token: Seconds per prompt token until the first chunk.
        output_s_per_token: Seconds per output token.
    """

    prompt_s_per_token: float = 0.0001
    output_s_per_token: float = 0.02


class Capacity:
    """Decides whether an upstream has room for a request.

    Args:
        table: Load of the upstreams.
        members: Live entry processes of the data centre, this one included.
        upstreams_enforce_limit: Whether upstreams refuse work beyond their
            memory. If not, every process stays within its share.
    """

    def __init__(
        self,
        table: load_table.LoadTable,
        members: int = 1,
        upstreams_enforce_limit: bool = True,
    ):
        self._table = table
        self._members = max(1, members)
        self._refusing = upstreams_enforce_limit
        self._speeds: dict[str, Speed] = {}

    @property
    def members(self) -> int:
        """Live entry processes of the data centre, this one included."""
        return self._members

    def set_members(self, members: int) -> None:
        """Sets the number of live entry processes of the data centre."""
        self._members = max(1, members)

    def record_speed(
        self,
        upstream: str,
        prompt_tokens: int,
        first_chunk_s: float,
        output_tokens: int,
        stream_s: float,
    ) -> None:
        """Updates the speed of an upstream from a completed attempt.

        Args:
            upstream: Name of the upstream.
            prompt_tokens: Length of the prompt in tokens.
            first_chunk_s: Seconds from start to first chunk.
            output_tokens: Delivered tokens.
            stream_s: Seconds from first to last chunk.
        """
        speed = self._speeds.setdefault(upstream, Speed())
        if prompt_tokens > 0:
            seen = first_chunk_s / prompt_tokens
            speed.prompt_s_per_token += SPEED_SMOOTHING * (
                seen - speed.prompt_s_per_token
            )
        if output_tokens > 1:
            seen = stream_s / (output_tokens - 1)
            speed.output_s_per_token += SPEED_SMOOTHING * (
                seen - speed.output_s_per_token
            )

    def estimate_duration_s(self, upstream: str, demand: Demand) -> float:
        """Estimates the seconds until the response is complete."""
        speed = self._speeds.get(upstream) or Speed()
        prompt_s = demand.prompt_tokens * speed.prompt_s_per_token
        tokens = demand.max_output_tokens
        if demand.expected_output_tokens is not None:
            tokens = min(tokens, demand.expected_output_tokens)
        return prompt_s + tokens * speed.output_s_per_token

    def can_meet_deadline(
        self, upstream: str, demand: Demand, now: float
    ) -> bool:
        """Returns whether the response is expected before the deadline."""
        duration_s = self.estimate_duration_s(upstream, demand)
        return now + duration_s <= demand.deadline

    def count_free_tokens(
        self, upstream: str, demand: Demand, now: float
    ) -> int:
        """Returns the tokens that this process may still start at an upstream.

        Each report of the last `REPORT_WINDOW_S` limits the tokens that were
        started since then to an equal share of what was free at that time.
        With the last report alone, a process that polls often would take the
        share of one that polls rarely, and both would exceed the memory.
        """
        load = self._table.find_load(upstream)
        if load is None or now < load.backoff_until:
            return 0
        usable = load.capacity_tokens
        if not demand.is_short:
            usable -= int(usable * SHORT_RESERVE)
        free = usable - load.estimate_tokens()
        if load.report is None or self._table.is_stale(load.report, now):
            return min(free, usable // self._members - load.own_tokens)
        for report in load.recent_reports:
            share = (usable - report.held_tokens) // self._members
            free = min(
                free, share - count_started_tokens(load, report.measured_at)
            )
        return free

    def can_hold(self, upstream: str, demand: Demand, now: float) -> bool:
        """Returns whether the estimated free memory can hold the request.

        Cheaper than `has_room`, which also considers peers and the reserve.
        """
        load = self._table.find_load(upstream)
        if load is None or now < load.backoff_until:
            return False
        return demand.tokens <= load.capacity_tokens - load.estimate_tokens()

    def has_room(self, upstream: str, demand: Demand, now: float) -> bool:
        """Returns whether the upstream has capacity for the request.

        Beyond the share of this process the estimate decides, if upstreams
        refuse what they can't hold. Otherwise a request larger than an equal
        share would never fit, not even at an idle upstream.
        """
        load = self._table.find_load(upstream)
        if load is None or not self.can_hold(upstream, demand, now):
            return False
        if demand.tokens <= self.count_free_tokens(upstream, demand, now):
            return True
        if not self._refusing or load.report is None:
            return False
        if self._table.is_stale(load.report, now):
            return False
        usable = int(load.capacity_tokens * (1 - SHORT_RESERVE))
        room = usable - load.estimate_tokens()
        return UNREPORTED_FACTOR * demand.tokens <= room


def count_started_tokens(load: load_table.UpstreamLoad, since: float) -> int:
    """Returns outstanding tokens that this process started after a time."""
    started = 0
    # Attempts are in the order of their start.
    for tokens, started_at in reversed(load.attempts.values()):
        if started_at <= since:
            break
        started += tokens
    return started
