"""Placement of attempts by upstream load, cold starts and drains.

Upstreams of the own data centre come first; others are used only when no local
one can take the work.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.requests import quarantine
from sycamorehollow.decisions.routing import capacity
from sycamorehollow.decisions.routing import cold_start_limiter
from sycamorehollow.decisions.routing import load_table
from sycamorehollow.decisions.routing import placement
from sycamorehollow.decisions.routing import prefix_index
from sycamorehollow.decisions.routing import selection
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests

# Start time for a slot that no other process can have held before, so that
# there are no loans of a previous holder to wait for.
NO_PREVIOUS_HOLDER = float("-inf")
# Engines hash prompts in blocks of this length; a token is about four bytes.
BLOCK_BYTES = 4 * prefix_index.BLOCK_TOKENS
# Expected length before any response was seen. Most callers set `max_tokens`
# far above what they get, so it can't serve to estimate durations.
INITIAL_LENGTH_TOKENS = 64.0
LENGTH_SMOOTHING = 0.1


@dataclasses.dataclass
class _OutstandingAttempt:
    """An attempt that is counted as outstanding."""

    upstream: str
    request: requests.ModelRequest
    started_at: float
    first_chunk_s: float | None = None


class UpstreamPlacement(placement.Placement):
    """Chooses upstreams by the estimate of their load.

    Args:
        process: Identity of this process including its incarnation.
        data_centre: Data centre of this process.
        slot: Number of this process in its data centre.
        slots: Number of slots of the data centre.
        rng: Source of randomness.
        started_at: Monotonic time in seconds of the start of the process.
        find_drain: Returns why an upstream accepts no new work, or `None`.
        suspects: Requests that are suspected of crashing upstreams.
    """

    def __init__(
        self,
        process: str,
        data_centre: str,
        slot: int,
        slots: int,
        rng: random.Random,
        started_at: float,
        find_drain: Callable[[str], failures.Failure | None],
        suspects: quarantine.Quarantine,
    ):
        self.load_table = load_table.LoadTable(process, data_centre)
        self.cold_start_limiter = cold_start_limiter.ColdStartLimiter(
            data_centre,
            slot,
            slots,
            started_at if slots > 1 else NO_PREVIOUS_HOLDER,
        )
        self.prefix_index = prefix_index.PrefixIndex()
        self.capacity = capacity.Capacity(self.load_table)
        self._data_centre = data_centre
        self._find_drain = find_drain
        self._suspects = suspects
        self._selection: selection.Selection = selection.EstimateSelection(
            self.load_table,
            self.capacity,
            self.prefix_index,
            data_centre,
            rng,
            self.cold_start_limiter.can_start,
        )
        self._configured: dict[str, deployment.Upstream] = {}
        self._local: dict[str, tuple[str, ...]] = {}
        self._remote: dict[str, tuple[str, ...]] = {}
        self._attempts: dict[str, _OutstandingAttempt] = {}
        self._outbox: list[commands.Command] = []
        self._lengths: dict[tuple[str, str], float] = {}

    def list_components(self) -> list[components.Component]:
        """Returns the components that handle external events."""
        return [
            self.load_table,
            self.cold_start_limiter,
            self.prefix_index,
            self._suspects,
        ]

    def apply(
        self, current: deployment.Deployment, now: float
    ) -> list[commands.Command]:
        """Applies the configuration in force."""
        self._configured = dict(current.upstreams)
        engines = tuple(
            upstream
            for upstream in current.upstreams.values()
            if upstream.versions
        )
        self._index(engines)
        event = upstream_events.UpstreamsConfigured(engines)
        result = []
        for component in self.list_components():
            result.extend(component.handle(event, now))
        return result

    def place(
        self,
        request: requests.ModelRequest,
        version: str,
        excluded: frozenset[str],
        now: float,
    ) -> placement.Assignment | failures.Failure:
        """Chooses an upstream and counts the attempt as outstanding."""
        verdict = self._suspects.check(request.fingerprint, now)
        if isinstance(verdict, failures.Failure):
            return verdict
        demand = self._build_demand(request, version)
        choice = self._choose(request, version, demand, excluded, now)
        if isinstance(choice, failures.Failure):
            return choice
        return self._start_attempt(request, demand, choice, now)

    def move(
        self,
        request: requests.ModelRequest,
        version: str,
        excluded: frozenset[str],
        result: placement.AttemptResult,
        now: float,
    ) -> placement.Assignment | failures.Failure:
        """Chooses another upstream for a request that is running."""
        replaced_attempt = request.request_id
        verdict = self._suspects.check(
            request.fingerprint, now, replaced_attempt
        )
        if isinstance(verdict, failures.Failure):
            return verdict
        demand = self._build_demand(request, version)
        choice = self._choose(
            request, version, demand, excluded, now, replaced_attempt
        )
        if isinstance(choice, failures.Failure):
            return choice
        self.release(replaced_attempt, result, now)
        return self._start_attempt(request, demand, choice, now)

    def _start_attempt(
        self,
        request: requests.ModelRequest,
        demand: capacity.Demand,
        choice: selection.SelectedUpstream,
        now: float,
    ) -> placement.Assignment:
        """Counts an attempt as outstanding at the chosen upstream."""
        self._attempts[request.request_id] = _OutstandingAttempt(
            choice.upstream, request, now
        )
        self._dispatch(
            upstream_events.AttemptStarted(
                request.request_id,
                choice.upstream,
                demand.tokens,
                request.fingerprint,
            ),
            now,
        )
        if demand.block_hashes:
            self._dispatch(
                prefix_index.PromptSent(choice.upstream, demand.block_hashes),
                now,
            )
        return placement.Assignment(
            self._configured[choice.upstream], choice.reason
        )

    def _choose(
        self,
        request: requests.ModelRequest,
        version: str,
        demand: capacity.Demand,
        excluded: frozenset[str],
        now: float,
        replaced_attempt: str = "",
    ) -> selection.SelectedUpstream | failures.Failure:
        """Chooses an upstream, in the own data centre first.

        Remote upstreams, most of the fleet, are considered only when no local
        one can take the work.
        """
        failure: failures.Failure | None = None
        for group in (self._local, self._remote):
            candidates = [
                name
                for name in self._list_candidates(group, version, excluded)
                if self._suspects.can_place(
                    request.fingerprint,
                    name,
                    self._is_idle(name),
                    now,
                    replaced_attempt,
                )
            ]
            if not candidates:
                continue
            choice = self._selection.choose(demand, candidates, now)
            if isinstance(choice, selection.SelectedUpstream):
                return choice
            # A missed deadline in one group is more specific than that the
            # other group is full.
            if not isinstance(failure, failures.DeadlineExceeded):
                failure = choice
        return failure or failures.NoUpstream(
            f"No upstream takes new work for {version} now.",
            retry_after_s=selection.FULL_RETRY_AFTER_S,
        )

    def record_first_chunk(self, request_id: str, now: float) -> None:
        """Records that the first chunk of the request's attempt arrived."""
        attempt = self._attempts.get(request_id)
        if attempt is not None and attempt.first_chunk_s is None:
            attempt.first_chunk_s = now - attempt.started_at

    def release(
        self, request_id: str, result: placement.AttemptResult, now: float
    ) -> None:
        """Removes the request's attempt from the outstanding ones."""
        attempt = self._attempts.pop(request_id, None)
        if attempt is None:
            return
        if result.output_tokens:
            self._learn_length(attempt.request, result.output_tokens)
        if result.output_tokens and attempt.first_chunk_s is not None:
            self.capacity.record_speed(
                attempt.upstream,
                attempt.request.prompt_tokens,
                attempt.first_chunk_s,
                result.output_tokens,
                now - attempt.started_at - attempt.first_chunk_s,
            )
        self._dispatch(
            upstream_events.AttemptEnded(
                request_id, attempt.upstream, result.status, result.code
            ),
            now,
        )
        # After the end of the attempt, so that the crash of the upstream is
        # attributed to it at once.
        if result.refused:
            self._dispatch(upstream_events.ConnectFailed(attempt.upstream), now)
        elif result.unreachable:
            self._dispatch(
                upstream_events.ConnectTimedOut(attempt.upstream), now
            )

    def estimate_duration_s(
        self, request: requests.ModelRequest, version: str, now: float
    ) -> float:
        """Returns the shortest expected duration of a version's response."""
        demand = self._build_demand(request, version)
        shortest = 0.0
        serving = self._local.get(version) or self._remote.get(version, ())
        for name in serving:
            duration_s = self.capacity.estimate_duration_s(name, demand)
            if shortest == 0.0 or duration_s < shortest:
                shortest = duration_s
        return shortest

    def has_candidate(self, version: str, now: float) -> bool:
        """Returns whether any upstream accepts new work for a version."""
        return any(
            self.cold_start_limiter.can_start(name, now)
            for group in (self._local, self._remote)
            for name in self._list_candidates(group, version, frozenset())
        )

    def compute_capacity_tokens(self) -> int:
        """Returns the tokens that this process may have in flight.

        This is its share of the upstreams of its data centre, or of all
        upstreams when the data centre has none.
        """
        own = 0
        total = 0
        for name in self._configured:
            load = self.load_table.find_load(name)
            if load is None:
                continue
            total += load.capacity_tokens
            if load.configuration.data_centre == self._data_centre:
                own += load.capacity_tokens
        return (own or total) // self.capacity.members

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Returns the state of each upstream, for operators."""
        result: dict[str, dict[str, object]] = {}
        for name in self._configured:
            view = self.load_table.view(name, now)
            if view is None:
                continue
            drain = self._find_drain(name)
            result[name] = {
                "cold": self.cold_start_limiter.is_cold(name, now),
                "reachable": view.reachable,
                "estimated_tokens": view.estimated_tokens,
                "capacity_tokens": view.capacity_tokens,
                "outstanding": view.outstanding,
                "out_of_service": drain.reason if drain is not None else None,
            }
        return result

    def take_commands(self) -> list[commands.Command]:
        """Returns and clears the commands issued since the last call."""
        result = self._outbox
        self._outbox = []
        return result

    def _build_demand(
        self, request: requests.ModelRequest, version: str
    ) -> capacity.Demand:
        likely = self._lengths.get(
            (request.workspace, request.kind), INITIAL_LENGTH_TOKENS
        )
        return capacity.Demand(
            request.prompt_tokens,
            request.max_output_tokens,
            request.deadline,
            prefix_index.hash_blocks(version, request.prompt_head, BLOCK_BYTES),
            int(likely),
        )

    def _learn_length(
        self, request: requests.ModelRequest, tokens: int
    ) -> None:
        key = (request.workspace, request.kind)
        known = self._lengths.get(key, INITIAL_LENGTH_TOKENS)
        self._lengths[key] = known + LENGTH_SMOOTHING * (tokens - known)

    def _list_candidates(
        self,
        group: dict[str, tuple[str, ...]],
        version: str,
        excluded: frozenset[str],
    ) -> Iterator[str]:
        for name in group.get(version, ()):
            if name in excluded or self._find_drain(name) is not None:
                continue
            yield name

    def _index(self, engines: Iterable[deployment.Upstream]) -> None:
        """Groups the upstreams by version into local and remote ones."""
        self._local, self._remote = {}, {}
        for upstream in sorted(engines, key=lambda one: one.name):
            own = upstream.data_centre == self._data_centre
            group = self._local if own else self._remote
            for version in upstream.versions:
                known = group.get(version, ())
                group[version] = (*known, upstream.name)

    def _is_idle(self, name: str) -> bool:
        """Returns whether no request is known to run at an upstream."""
        load = self.load_table.find_load(name)
        if load is None or load.report is None:
            return False
        return not (load.attempts or load.peer_tokens or load.report.running)

    def _dispatch(self, event: events.Event, now: float) -> None:
        for component in self.list_components():
            self._outbox.extend(component.handle(event, now))
