"""Goodput and fairness of a saturated node in simulated time."""

import dataclasses
import heapq
import random

from benches import fakes
from benches import results
from sycamorehollow.decisions.routing import admission
from sycamorehollow.decisions.routing import capacity
from sycamorehollow.model import events

SEED = 11
STEP_S = 0.05
STEPS = 3600
WARM_UP_S = 30.0
CAPACITY_TOKENS = 60000
RATE = 1000.0
REQUEST_RATE = 100.0
DEADLINE_S = 20.0
CALLER_TRIES = 10
PROMPT_TOKENS = 2500
OUTPUT_TOKENS = 120
WORK = fakes.PROMPT_WORK * PROMPT_TOKENS + OUTPUT_TOKENS
NEEDS_S = WORK * CAPACITY_TOKENS / (PROMPT_TOKENS + OUTPUT_TOKENS) / RATE
OVERLOAD = 3.0
# Goodput at three times capacity stays within 10% of goodput at capacity.
GOODPUT_BOUND = 0.9


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of a caller that comes back after a refusal."""

    workspace: str
    deadline: float
    tries: int = 1


class Saturated:
    """One node, one engine and callers that retry.

    Args:
        loads: Offered work per workspace, relative to the engine's rate.
        admits: Whether the admission rule is used; otherwise everything
            starts at once.
    """

    def __init__(self, loads: dict[str, float], admits: bool):
        self._source = random.Random(SEED)
        self._loads = loads
        self._admits = admits
        memory = CAPACITY_TOKENS if admits else 10**12
        self._engine = fakes.Engine("u", memory, RATE, REQUEST_RATE)
        self._rule = admission.Admission(CAPACITY_TOKENS, random.Random(SEED))
        self._requests: dict[str, Request] = {}
        self._returning: list[tuple[float, int, Request]] = []
        self._number = 0
        self.offered = dict.fromkeys(loads, 0)
        self.completed = dict.fromkeys(loads, 0)

    def run(self) -> "Saturated":
        """Runs to the end."""
        for step in range(STEPS):
            now = step * STEP_S
            for workspace, load in self._loads.items():
                mean = load * RATE * STEP_S / WORK
                if self._source.random() < mean:
                    self._count(self.offered, workspace, now)
                    self._offer(Request(workspace, now + DEADLINE_S), now)
            while self._returning and self._returning[0][0] <= now:
                self._offer(heapq.heappop(self._returning)[2], now)
            for job in self._engine.advance(STEP_S):
                self._finish(job, now)
            self._apply(events.Tick(), now)
        return self

    def compute_goodput(self) -> float:
        """Returns completed work in time, relative to the engine's rate."""
        seconds = STEPS * STEP_S - WARM_UP_S
        return sum(self.completed.values()) * WORK / RATE / seconds

    def _count(self, counts: dict[str, int], name: str, now: float) -> None:
        if now >= WARM_UP_S:
            counts[name] += 1

    def _offer(self, request: Request, now: float) -> None:
        self._number += 1
        name = str(self._number)
        self._requests[name] = request
        if not self._admits:
            self._start(name)
            return
        tokens = PROMPT_TOKENS + OUTPUT_TOKENS
        offer = admission.WorkSubmitted(
            name, request.workspace, 1, tokens, 1, request.deadline, NEEDS_S
        )
        self._apply(offer, now)

    def _start(self, name: str) -> None:
        demand = capacity.Demand(PROMPT_TOKENS, OUTPUT_TOKENS)
        if not self._engine.offer(name, demand):
            raise AssertionError("more was admitted than the engine holds")

    def _finish(self, name: str, now: float) -> None:
        request = self._requests.pop(name)
        if now <= request.deadline:
            self._count(self.completed, request.workspace, now)
        self._apply(admission.WorkEnded(name), now)

    def _apply(self, event: events.Event, now: float) -> None:
        for command in self._rule.handle(event, now):
            if isinstance(command, admission.AdmitWork):
                self._start(command.request)
                continue
            if not isinstance(command, admission.RefuseWork):
                continue
            request = self._requests.pop(command.request)
            after_s = command.failure.retry_after_s
            if after_s is None or request.tries >= CALLER_TRIES:
                continue
            self._number += 1
            again = dataclasses.replace(request, tries=request.tries + 1)
            heapq.heappush(
                self._returning, (now + after_s, self._number, again)
            )


def run() -> list[results.Result]:
    """Returns goodput under overload and the shares of two workspaces."""
    at_capacity = Saturated({"only": 1.0}, True).run().compute_goodput()
    over = Saturated({"only": OVERLOAD}, True).run().compute_goodput()
    without = Saturated({"only": OVERLOAD}, False).run().compute_goodput()
    measured = [
        results.Result("goodput at capacity, share of the rate", at_capacity),
        results.Result(
            "goodput at 3x capacity, ratio to goodput at capacity",
            over / at_capacity,
            GOODPUT_BOUND,
            at_most=False,
        ),
        results.Result(
            "goodput at 3x without admission, ratio", without / at_capacity
        ),
    ]
    for small in (0.3, 0.6):
        loads = {"large": OVERLOAD - small, "small": small}
        mixed = Saturated(loads, True).run()
        fair = min(small, 0.5) / small * mixed.offered["small"]
        measured.append(
            results.Result(
                f"small workspace at {small} of capacity, completed part of"
                " its fair share",
                mixed.completed["small"] / fair,
            )
        )
        measured.append(
            results.Result(
                f"small workspace at {small} of capacity, large to small",
                mixed.completed["large"] / max(1, mixed.completed["small"]),
            )
        )
    return measured
