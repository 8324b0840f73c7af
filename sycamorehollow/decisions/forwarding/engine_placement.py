"""Selection among upstreams whose load and speed change faster than reports.

Used for services of engines whose configuration asks for it, and for plain
services whose upstreams state their speed. All others keep the choice of
`placement`.
"""

import collections
from collections.abc import Iterator
import dataclasses
import random

from sycamorehollow.decisions.forwarding import cold_start_limiter
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import prefill_budget
from sycamorehollow.decisions.forwarding import prefix_index
from sycamorehollow.decisions.forwarding import rate_limiter
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.decisions.forwarding import upstream_subset
from sycamorehollow.model import forwarding

# Cost of each second of prefill beyond what the requests at an upstream
# tolerate, and of each second by which the first event would be late.
EXCESS_WEIGHT = 1.0
# Weight of the prefill that is outstanding. It takes longer than at an idle
# engine, as the steps of running requests come in between.
AHEAD_WEIGHT = 4.0
# Load from which waiting for a slot becomes likely, and its weight.
BUSY_LOAD = 0.8
BUSY_WEIGHT = 8.0
# Random increase of a cost. Most of the spread comes from the draw among
# near-equal candidates.
JITTER = 0.02
# Upstreams whose cost is computed: at first, and at most. The first ones are
# also those that this node keeps connections to.
CANDIDATES = 8
MAX_CANDIDATES = 24
# A service with little more upstreams than that has all of them as candidates.
MAX_SMALL_SERVICE = 12
# More candidates are considered while fewer than this fit the request.
MIN_FITTING = 2
# Costs up to this multiple of the lowest one are near-equal, and the exponent
# by which the weight of a candidate falls with its cost.
NEAR_COST = 1.1
COST_EXPONENT = 6.0
# Lower costs are equal; the estimate for an upstream may even be 0.
MIN_COST_S = 0.0001
# A load report is old after this time. On an old one, this node takes at most
# this share of the free slots, as other nodes have the same view.
OLD_REPORT_S = 0.2
OLD_REPORT_SHARE = 0.25
# An upstream that is slower at this moment does not fit.
SLOW_FACTOR = 1.8
# Prompt parts whose order of upstreams is remembered.
MAX_REMEMBERED_PARTS = 256
# Rules of a choice, for the log and the metrics.
FITS = "fits"
LEAST_HARM = "least harm"
BACKING_OFF = "all are backing off"


@dataclasses.dataclass(frozen=True)
class _Estimate:
    """The cost of an attempt at an upstream.

    Attributes:
        expected_s: Expected time to the first event.
        fits: Whether the request and those that are there keep their slack.
    """

    state: directory.UpstreamState
    cost: float
    expected_s: float
    fits: bool


@dataclasses.dataclass
class _Search:
    """Candidates for one attempt.

    Attributes:
        limit: Number of candidates to consider.
        fitting: Number of those that fit.
        passed_over: Number of upstreams that want no request now.
        backing_off: Upstreams that could not be reached.
        is_any_backing_off: Whether the candidates could not be reached.
        is_widened: Whether the limit was raised.
    """

    limit: int
    estimates: list[_Estimate] = dataclasses.field(default_factory=list)
    fitting: int = 0
    passed_over: int = 0
    backing_off: list[directory.UpstreamState] = dataclasses.field(
        default_factory=list
    )
    is_any_backing_off: bool = False
    is_widened: bool = False

    def add(self, estimate: _Estimate) -> None:
        """Adds a candidate."""
        self.estimates.append(estimate)
        self.fitting += estimate.fits

    def is_enough(self) -> bool:
        """Returns whether no more are needed; may raise the limit."""
        if len(self.estimates) < self.limit:
            return False
        if self.fitting >= MIN_FITTING or self.limit >= MAX_CANDIDATES:
            return True
        self.limit = min(MAX_CANDIDATES, 2 * self.limit)
        self.is_widened = True
        return False


class EnginePlacement(placement.Placement):
    """Selects upstreams by the prefill that is outstanding at them.

    Takes the arguments of `placement.Placement`, and the name of this node.
    """

    def __init__(
        self,
        data_centre: str,
        upstreams: directory.Directory,
        cold_limiter: cold_start_limiter.ColdStartLimiter,
        limiter: rate_limiter.RateLimiter,
        prefixes: prefix_index.PrefixIndex,
        rng: random.Random,
        node: str,
    ):
        super().__init__(
            data_centre, upstreams, cold_limiter, limiter, prefixes, rng
        )
        self.budget = prefill_budget.PrefillBudget()
        self.subset = upstream_subset.UpstreamSubset(
            node, data_centre, upstreams
        )
        self._services_with_speed: set[str] = set()
        # The order of upstreams by service, model and prompt part.
        self._ranked: collections.OrderedDict[
            tuple[str, str, str], list[directory.UpstreamState]
        ] = collections.OrderedDict()
        self._ranked_generation = -1

    def is_enabled(self, service: forwarding.Service) -> bool:
        """Returns whether this choice is used for a service."""
        if service.engine is None:
            return service.name in self._services_with_speed
        return service.engine.prefill_budget

    def record_sent(
        self,
        attempt: steps.Attempt,
        route: forwarding.Route,
        service: forwarding.Service,
        due_at: float,
    ) -> None:
        """Adds an attempt to the outstanding prefill of its upstream."""
        attempt.state.sent_since_load += 1
        if not self.is_enabled(service):
            return
        attempt.prompt = self.budget.record_sent(
            attempt.state,
            attempt.model,
            attempt.uncached_tokens,
            due_at,
            route.max_event_gap_s,
        )

    def record_response(
        self, attempt: steps.Attempt, head: forwarding.DecodedHead, now: float
    ) -> None:
        """Records the time to the first byte and the load of the upstream."""
        super().record_response(attempt, head, now)
        if head.load is not None and head.load.time_factor is not None:
            self._services_with_speed.add(attempt.state.upstream.service)
        if attempt.prompt is not None:
            took_s = now - attempt.sent_at
            self.budget.record_response(
                attempt.state,
                attempt.model,
                attempt.uncached_tokens,
                took_s / directory.get_time_factor(head.load),
            )

    def remove_upstream(self, identity: str) -> None:
        """Drops what is known of an upstream that is gone or restarted."""
        super().remove_upstream(identity)
        self.budget.remove_upstream(identity)
        self.subset.remove_upstream(identity)

    def choose(
        self, requirements: placement.Requirements, now: float
    ) -> placement.Choice:
        """Returns the best of the first upstreams in this node's order."""
        if not self.is_enabled(requirements.service):
            return super().choose(requirements, now)
        search = self._search(requirements, now)
        if not search.estimates:
            return super().choose(requirements, now)
        fitting = [e for e in search.estimates if e.fits]
        best = self._draw(fitting or search.estimates)
        rule = FITS if fitting else LEAST_HARM
        if search.is_any_backing_off:
            rule = BACKING_OFF
        count = len(search.estimates)
        return placement.Choice(
            best.state,
            f"{rule}, {len(fitting)} of {count},"
            f" {best.expected_s * 1000:.0f} ms",
            count,
            count,
            best.expected_s,
            search.passed_over,
            rule=rule,
            is_widened=search.is_widened,
            keeps_slack=best.fits,
        )

    def _draw(self, estimates: list[_Estimate]) -> _Estimate:
        """Returns one of the cheapest, so that nodes of one view disagree.

        Those of another data centre than the cheapest are never near-equal.
        """
        best = min(estimates, key=lambda estimate: estimate.cost)
        lowest = max(MIN_COST_S, best.cost)
        centre = best.state.upstream.data_centre
        near = [
            e
            for e in estimates
            if e.cost <= lowest * NEAR_COST
            and e.state.upstream.data_centre == centre
        ]
        weights = [
            (lowest / max(lowest, e.cost)) ** COST_EXPONENT for e in near
        ]
        return self._rng.choices(near, weights)[0]

    def _search(
        self, requirements: placement.Requirements, now: float
    ) -> _Search:
        """Returns as many candidates as are needed."""
        order = self.subset.list_order(requirements.service.name)
        is_small = len(order) <= MAX_SMALL_SERVICE
        search = _Search(MAX_SMALL_SERVICE if is_small else CANDIDATES)
        preferred = self._find_affine(requirements, now)
        for state in self._list_in_order(order, requirements, preferred):
            if search.is_enough():
                break
            if not self._is_eligible(state, requirements, now):
                continue
            if not self.may_send(state, now):
                search.passed_over += 1
                continue
            if not self._has_capacity(state, requirements, now):
                continue
            if state.is_backing_off(now):
                search.backing_off.append(state)
                continue
            search.add(self._estimate(state, requirements, preferred, now))
        if not search.estimates:
            # One of them may be back.
            search.is_any_backing_off = bool(search.backing_off)
            for state in search.backing_off[:MAX_CANDIDATES]:
                search.add(self._estimate(state, requirements, preferred, now))
        return search

    def _list_in_order(
        self,
        order: list[directory.UpstreamState],
        requirements: placement.Requirements,
        preferred: str | None,
    ) -> Iterator[directory.UpstreamState]:
        """Yields those that have the prompt cached, and then the others."""
        cached = self._prefixes.find_latest(
            requirements.model, requirements.request.prompt_parts
        )
        first = dict.fromkeys((preferred, cached))
        for name in first:
            state = self._directory.get(name) if name is not None else None
            if state is None:
                continue
            if state.upstream.service == requirements.service.name:
                yield state
        for state in order:
            if state.upstream.identity not in first:
                yield state

    def _is_eligible(
        self,
        state: directory.UpstreamState,
        requirements: placement.Requirements,
        now: float,
    ) -> bool:
        return self._directory.is_usable(state, now) and placement.is_suitable(
            state.upstream, requirements
        )

    def _find_affine(
        self, requirements: placement.Requirements, now: float
    ) -> str | None:
        """Returns the upstream that all nodes prefer for a shared prefix."""
        parts = requirements.request.prompt_parts
        if len(parts) < 2:
            return None
        service, model = requirements.service.name, requirements.model
        for state in self._rank_for_part(service, model, parts[-2].identity):
            if (
                self._is_eligible(state, requirements, now)
                and not state.is_backing_off(now)
                and self.may_send(state, now)
                and self._has_capacity(state, requirements, now)
            ):
                return state.upstream.identity
        return None

    def _rank_for_part(
        self, service: str, model: str, part: str
    ) -> list[directory.UpstreamState]:
        """Returns the upstreams in the order of preference for a part."""
        if self._ranked_generation != self._directory.generation:
            self._ranked_generation = self._directory.generation
            self._ranked.clear()
        ranked = self._ranked.get((service, model, part))
        if ranked is None:
            states = {
                state.upstream.identity: state
                for state in self.subset.list_order(service)
            }
            names = prefix_index.rank_by_hash(list(states), model, part)
            ranked = sorted(
                (states[name] for name in names),
                key=lambda s: s.upstream.data_centre != self._data_centre,
            )
            self._ranked[service, model, part] = ranked
            if len(self._ranked) > MAX_REMEMBERED_PARTS:
                self._ranked.popitem(last=False)
        return ranked

    def _compute_cost(
        self,
        state: directory.UpstreamState,
        requirements: placement.Requirements,
        preferred: str | None,
        now: float,
    ) -> float:
        """Returns the expected cost of an attempt in seconds."""
        if not self.is_enabled(requirements.service):
            return super()._compute_cost(state, requirements, preferred, now)
        return self._estimate(state, requirements, preferred, now).cost

    def _estimate(
        self,
        state: directory.UpstreamState,
        requirements: placement.Requirements,
        preferred: str | None,
        now: float,
    ) -> _Estimate:
        """Returns the expected time and cost of an attempt."""
        budget, model = self.budget, requirements.model
        others = budget.estimate_others(state, now)
        load = (state.running + others) / max(1, state.upstream.slots)
        uncached = self._count_uncached(
            state, requirements, preferred, load, now
        )
        factor = state.estimate_time_factor(now)
        own_s = budget.estimate_prefill_s(model, uncached) * factor
        ahead_s = budget.estimate_outstanding_s(state, others) * factor
        # The latency that responses show includes the usual wait.
        expected_s = ahead_s + factor * self.latency.estimate(
            state.upstream.identity, model, uncached, now
        )
        cost = expected_s + (AHEAD_WEIGHT - 1) * ahead_s
        cost *= 1 + load + BUSY_WEIGHT * max(0.0, load - BUSY_LOAD)
        # The slack of others matters only where there are others.
        slack_s = budget.compute_slack_s(state, ahead_s, now)
        excess_s = max(0.0, own_s - slack_s) if load > 0 else 0.0
        excess_s += max(0.0, now + expected_s - requirements.due_at)
        cost += EXCESS_WEIGHT * excess_s
        return _Estimate(
            state,
            self._add_penalties(cost, state, requirements, now, JITTER),
            expected_s,
            excess_s <= 0
            and load < 1
            and factor < SLOW_FACTOR
            and not state.is_cold(now)
            and not _has_taken_its_part(state, others, now),
        )


def _has_taken_its_part(
    state: directory.UpstreamState, others: float, now: float
) -> bool:
    """Returns whether this node has used its part of an old load report."""
    if state.load is None or now - state.load_at <= OLD_REPORT_S:
        return False
    sent = min(state.sent_since_load, state.running)
    free = state.upstream.slots - others - (state.running - sent)
    return sent >= max(1.0, OLD_REPORT_SHARE * free)
