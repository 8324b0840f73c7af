"""Prefill that is outstanding at upstreams, and how much of it they may have.

An engine processes prompts one after the other, in between the steps of the
requests that it runs. A long prompt therefore delays the first token of those
behind it and the tokens of those beside it. What this node has sent is known
exactly. What other nodes have sent is estimated from the reported number of
requests and this node's own mix of prompts, as all nodes get the same mix.
"""

import dataclasses
import math

from sycamorehollow.decisions.forwarding import directory

# Initial estimate of the prefill speed, which responses correct.
PREFILL_TOKENS_PER_S = 100_000.0
# Shorter prompts say little about the speed of the prefill.
MIN_SPEED_TOKENS = 1000
# Weights of a response that is faster or slower than the estimated speed. Slow
# ones have mostly waited behind other prompts.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.01
# Weight of the newest prompt or report in the averages of a service.
MIX_WEIGHT = 0.1
# Initial share of the running requests that have no first event yet.
INITIAL_WAITING_SHARE = 0.2
# Half-life of a load report. It fades to the mean of the service, not to an
# idle upstream, which would draw all nodes to those not heard of lately.
REPORT_HALF_LIFE_S = 3.0
# Longest pause between events where routes state none.
DEFAULT_PAUSE_S = 1.0
# Part of that pause that outstanding prefill may take. The rest is left for
# what other nodes send at the same time.
PAUSE_SHARE = 0.5


class _Mix:
    """Averages of the requests of one service at this node.

    Attributes:
        open: Requests that are running.
        waiting: Those that have no first event yet.
        mean_s: Mean prefill of a prompt.
        waiting_share: Mean share of the running requests without a first event.
        load: Mean number of requests of other nodes per slot.
        pause_s: Shortest of the longest pauses that routes allow.
    """

    def __init__(self) -> None:
        self.open = 0
        self.waiting = 0
        self.mean_s = 0.0
        self.waiting_share = INITIAL_WAITING_SHARE
        self.load = 0.0
        self.pause_s = DEFAULT_PAUSE_S


class _Outstanding:
    """The outstanding prompts of this node at one upstream."""

    def __init__(self) -> None:
        self.prompts: set[Prompt] = set()
        self.seconds = 0.0


@dataclasses.dataclass(eq=False)
class Prompt:
    """A prompt that was sent to an upstream.

    Attributes:
        seconds: Its prefill at the usual speed.
        due_at: When its first event is due.
    """

    seconds: float
    due_at: float
    _outstanding: _Outstanding
    _mix: _Mix
    _has_ended: bool = False

    def record_first_event(self) -> None:
        """Records that its prefill is done; idempotent."""
        prompts = self._outstanding.prompts
        if self not in prompts:
            return
        prompts.remove(self)
        self._mix.waiting -= 1
        # Without a rest of rounding errors.
        rest = self._outstanding.seconds - self.seconds
        self._outstanding.seconds = rest if prompts else 0.0

    def record_end(self) -> None:
        """Records the end of its attempt; idempotent."""
        self.record_first_event()
        if not self._has_ended:
            self._has_ended = True
            self._mix.open -= 1


class PrefillBudget:
    """Tracks outstanding prefill per upstream."""

    def __init__(self) -> None:
        self._mixes: dict[str, _Mix] = {}
        self._outstanding: dict[str, _Outstanding] = {}
        self._seconds_per_token: dict[str, float] = {}

    def record_sent(
        self,
        state: directory.UpstreamState,
        model: str,
        tokens: int,
        due_at: float,
        pause_s: float,
    ) -> Prompt:
        """Records that a prompt is sent to an upstream.

        Args:
            state: The upstream.
            model: Model that processes it.
            tokens: Its tokens that the upstream has not cached.
            due_at: Monotonic time in seconds at which its first event is due.
            pause_s: Longest pause between its events; 0 for no limit.
        """
        mix = self._get_mix(state.upstream.service)
        seconds = self.estimate_prefill_s(model, tokens)
        mix.mean_s += MIX_WEIGHT * (seconds - mix.mean_s)
        if mix.open:
            share = mix.waiting / mix.open
            mix.waiting_share += MIX_WEIGHT * (share - mix.waiting_share)
        if pause_s > 0:
            mix.pause_s = min(mix.pause_s, pause_s)
        mix.open += 1
        mix.waiting += 1
        outstanding = self._outstanding.setdefault(
            state.upstream.identity, _Outstanding()
        )
        prompt = Prompt(seconds, due_at, outstanding, mix)
        outstanding.prompts.add(prompt)
        outstanding.seconds += seconds
        return prompt

    def record_response(
        self,
        state: directory.UpstreamState,
        model: str,
        tokens: int,
        took_s: float,
    ) -> None:
        """Records the first byte of a response and the load with it.

        Args:
            state: The upstream, with its newest load.
            model: Model that has responded.
            tokens: Tokens of the prompt that it had not cached.
            took_s: Seconds to the first byte at the usual speed.
        """
        if tokens >= MIN_SPEED_TOKENS and took_s > 0:
            now = self._get_seconds_per_token(model)
            new = took_s / tokens
            weight = FASTER_WEIGHT if new < now else SLOWER_WEIGHT
            self._seconds_per_token[model] = now + weight * (new - now)
        if state.load is None:
            return
        mix = self._get_mix(state.upstream.service)
        load = _count_reported_others(state) / max(1, state.upstream.slots)
        mix.load += MIX_WEIGHT * (load - mix.load)

    def estimate_prefill_s(self, model: str, tokens: int) -> float:
        """Returns the duration of a prefill in seconds at the usual speed."""
        return tokens * self._get_seconds_per_token(model)

    def estimate_others(
        self, state: directory.UpstreamState, now: float
    ) -> float:
        """Returns the expected requests of other nodes at an upstream."""
        mix = self._get_mix(state.upstream.service)
        mean = mix.load * max(1, state.upstream.slots)
        if state.load is None:
            return mean
        weight = 0.5 ** ((now - state.load_at) / REPORT_HALF_LIFE_S)
        return mean + (_count_reported_others(state) - mean) * weight

    def estimate_outstanding_s(
        self, state: directory.UpstreamState, others: float
    ) -> float:
        """Returns the expected outstanding prefill at the usual speed.

        Args:
            state: The upstream.
            others: Expected requests of other nodes at it.
        """
        mix = self._get_mix(state.upstream.service)
        # What exceeds the slots waits, whatever share of the rest does.
        waiting = max(0.0, state.running + others - state.upstream.slots)
        waiting = min(waiting, others) if state.upstream.slots else 0.0
        count = waiting + mix.waiting_share * (others - waiting)
        own = self._outstanding.get(state.upstream.identity)
        return count * mix.mean_s + (own.seconds if own is not None else 0.0)

    def compute_slack_s(
        self, state: directory.UpstreamState, outstanding_s: float, now: float
    ) -> float:
        """Returns the prefill in seconds that the requests there tolerate.

        Those that run tolerate a part of their longest pause, and those of this
        node that wait what is left until their first event is due.

        Args:
            state: The upstream.
            outstanding_s: Time that its outstanding prefill takes now.
            now: Monotonic time in seconds.
        """
        mix = self._get_mix(state.upstream.service)
        slack_s = mix.pause_s * PAUSE_SHARE - outstanding_s
        own = self._outstanding.get(state.upstream.identity)
        if own is None or not own.prompts:
            return slack_s
        due_at = min(prompt.due_at for prompt in own.prompts)
        if math.isinf(due_at) or due_at < now:
            # What is late already is not saved by keeping others away.
            return slack_s
        return min(slack_s, due_at - now - outstanding_s)

    def remove_upstream(self, identity: str) -> None:
        """Drops what is known of an upstream that is gone or restarted."""
        self._outstanding.pop(identity, None)

    def _get_mix(self, service: str) -> _Mix:
        mix = self._mixes.get(service)
        if mix is None:
            mix = self._mixes[service] = _Mix()
        return mix

    def _get_seconds_per_token(self, model: str) -> float:
        return self._seconds_per_token.get(model, 1 / PREFILL_TOKENS_PER_S)


def _count_reported_others(state: directory.UpstreamState) -> int:
    load = state.load
    assert load is not None
    return max(0, load.running + load.waiting - state.running_at_load)
