"""Over-admission of a cold upstream in simulated time."""

import random

from benches import cold_world
from benches import results
from sycamorehollow.decisions.routing import cold_start_limiter

SEED = 17
SLOTS = 6
BEARABLE = 4
ACTIONS = 30000
# Restarts and replaced processes are rare next to work.
WEIGHTS = {"restart": 0.3, "replace": 0.3, "redeliver": 0.3, "poll": 6.0}
WAITS = (0, 0, 0, 0, 0, 1)
QUICK_RESTART_S = 0.5


class EqualLimits(cold_world.World):
    """Baseline: each process starts what the cold upstream bears."""

    def can_start(self, index: int) -> bool:
        """Tells whether a process is below the limit."""
        if not self.processes[index].is_cold("u", self.now):
            return True
        own = sum(owner == index for owner in self.running.values())
        return own < self.bearable


def drive(world: cold_world.World) -> int:
    """Applies random actions and returns the largest excess."""
    source = random.Random(SEED)
    weights = [WEIGHTS.get(action, 1.0) for action in cold_world.ACTIONS]
    largest = 0
    for _ in range(ACTIONS):
        action = source.choices(cold_world.ACTIONS, weights)[0]
        world.step(action, source.randrange(SLOTS), source.randrange(SLOTS))
        largest = max(largest, world.excess)
        world.wait(source.choice(WAITS))
    return largest


def run() -> list[results.Result]:
    """Returns the over-admission of the rule and of equal limits."""
    shares = cold_world.World(SLOTS, BEARABLE)
    limits = EqualLimits(SLOTS, BEARABLE)
    quick = cold_world.World(SLOTS, BEARABLE, QUICK_RESTART_S)
    refusing = cold_world.World(SLOTS, BEARABLE, QUICK_RESTART_S, True)
    label = f"over-admission, restarts of {QUICK_RESTART_S} s"
    return [
        results.Result(
            f"over-admission of a cold upstream, restarts of"
            f" {cold_start_limiter.WARM_REPORT_TTL_S:.0f} s",
            drive(shares),
            0,
        ),
        results.Result("requests started while cold", shares.started_cold),
        results.Result("over-admission with equal limits", drive(limits)),
        results.Result(f"{label}, upstream does not refuse", drive(quick)),
        results.Result(f"{label}, upstream refuses", drive(refusing), 0),
        results.Result(
            "requests refused as cold per request started cold",
            refusing.refused / max(1, refusing.started_cold),
        ),
    ]
