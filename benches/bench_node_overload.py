"""Goodput and fairness of a whole node with callers that retry."""

from benches import node_callers
from benches import node_world
from benches import results
from benches import sites
from sycamorehollow.model import failures

SEED = 29
WARM_UP_S = 30.0
END_S = 150.0
SETTLE_S = 40.0
CLIENT_S = 0.004
OVERLOAD = 3.0
SMALL = 0.3
# Goodput at three times capacity stays within 10% of goodput at capacity.
GOODPUT_BOUND = 0.9
KIND = node_callers.Kind("caption", 2500, 120, 1.0, 20.0)
WORKSPACES = {
    "large": {"versions": [sites.VERSION]},
    "small": {"versions": [sites.VERSION]},
}
SITE = sites.Site((1,), 1, 0.001, WORKSPACES)


class Flood:
    """One node and one engine under load.

    Args:
        loads: Offered work per workspace, relative to the engine's rate.
        kind: Kind of all requests.
    """

    def __init__(self, loads: dict[str, float], kind: node_callers.Kind = KIND):
        self.world = node_world.World(SITE, SEED)
        self.kind = kind
        rates = {
            workspace: load * sites.RATE / kind.work
            for workspace, load in loads.items()
        }
        self.callers = node_callers.Callers(
            self.world, (kind,), rates, CLIENT_S, SEED
        )
        self.callers.end_at = END_S

    def run(self) -> "Flood":
        """Runs to the end of the last request."""
        self.world.run(END_S + SETTLE_S)
        return self

    def select(self, workspace: str = "") -> list[node_callers.Asked]:
        """Returns the requests after the warm-up."""
        return [
            asked
            for asked in self.callers.asked
            if asked.asked_at >= WARM_UP_S
            and workspace in ("", asked.workspace)
        ]

    def compute_goodput(self) -> float:
        """Returns completed work in time, relative to the engine's rate."""
        done = [
            asked.done_at
            for asked in self.callers.asked
            if asked.served and asked.done_at is not None
        ]
        count = sum(WARM_UP_S <= when < END_S for when in done)
        return count * self.kind.work / sites.RATE / (END_S - WARM_UP_S)

    def compute_served(self, workspace: str) -> float:
        """Returns the share of requests that were served in time."""
        asked = self.select(workspace)
        return sum(one.served for one in asked) / len(asked)

    def list_refusals(self) -> list[tuple[failures.Failure, float]]:
        """Returns all refusals and the seconds that each took."""
        return [
            refusal
            for asked in self.callers.asked
            for refusal in asked.refusals
        ]


def run() -> list[results.Result]:
    """Returns goodput under overload and the served shares."""
    at_capacity = Flood({"large": 1.0}).run().compute_goodput()
    flood = Flood({"large": OVERLOAD}).run()
    mixed = Flood({"large": OVERLOAD - SMALL, "small": SMALL}).run()
    small = mixed.compute_served("small")
    large = mixed.compute_served("large")
    cut = sum(asked.cut for asked in flood.callers.asked)
    return [
        results.Result("whole node, goodput at capacity", at_capacity),
        results.Result(
            "whole node, goodput at 3x capacity, ratio",
            flood.compute_goodput() / at_capacity,
            GOODPUT_BOUND,
            at_most=False,
        ),
        results.Result("whole node, requests cut off at 3x capacity", cut),
        results.Result(
            f"whole node, small workspace at {SMALL} of capacity, served",
            small,
        ),
        results.Result("whole node, large workspace, served", large),
    ]
