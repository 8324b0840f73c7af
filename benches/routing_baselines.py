"""Baseline rules for upstreams, put into whole nodes."""

from collections.abc import Callable
from collections.abc import Sequence

from benches import node_world
from sycamorehollow.decisions.operations import drains
from sycamorehollow.decisions.routing import capacity
from sycamorehollow.decisions.routing import selection
from sycamorehollow.model import failures


class LocalSelection(selection.Selection):
    """Baseline: the chosen rule over the upstreams of the own data centre.

    Args:
        inner: The chosen rule.
        local: Names of the upstreams of the own data centre.
    """

    def __init__(self, inner: selection.Selection, local: frozenset[str]):
        self._inner = inner
        self._local = local

    def choose(
        self, request: capacity.Demand, candidates: Sequence[str], now: float
    ) -> selection.SelectedUpstream | failures.Failure:
        """Chooses in the own data centre only."""
        own = [name for name in candidates if name in self._local]
        if not own:
            return selection.make_full_failure()
        return self._inner.choose(request, own, now)


def use_turns(world: node_world.World) -> None:
    """Makes the nodes use all upstreams in turn."""
    for node in world.nodes.values():
        node.placement._selection = selection.RoundRobinSelection()


def stay_local(world: node_world.World) -> None:
    """Makes the nodes use upstreams of their data centre only."""
    for address, node in world.nodes.items():
        centre = world.centres[address]
        local = frozenset(
            n for n in world.engines if world.centres[n] == centre
        )
        inner = node.placement._selection
        node.placement._selection = LocalSelection(inner, local)


def trust_reports(world: node_world.World) -> None:
    """Makes the nodes trust warm reports after a return at once."""
    for node in world.nodes.values():
        node._routes[drains.MarkCold] = lambda command, now: []


BASELINES: tuple[tuple[str, Callable[[node_world.World], None]], ...] = (
    ("round robin", use_turns),
    ("staying local", stay_local),
    ("without growth after the return", trust_reports),
)
