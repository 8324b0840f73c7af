"""Callers of whole nodes in simulated time."""

from collections.abc import Mapping
import dataclasses
import itertools
import math
import random

from benches import fakes
from benches import node_world
from sycamorehollow.model import commands
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests

MAX_TRIES = 10


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request.

    Attributes:
        part: Part of the requests that are of this kind.
    """

    name: str
    prompt: int
    output: int
    part: float
    deadline_s: float

    @property
    def work(self) -> float:
        """Work in output tokens."""
        return fakes.PROMPT_WORK * self.prompt + self.output


@dataclasses.dataclass
class Asked:
    """A request of a caller over all its tries.

    Attributes:
        cut: Whether an attempt that had started ended without a response.
        refusals: Failure and the seconds from the arrival of its try.
    """

    kind: Kind
    workspace: str
    centre: str
    asked_at: float
    tries: int = 0
    tried_at: float = 0.0
    first_at: float | None = None
    done_at: float | None = None
    cut: bool = False
    refusals: list[tuple[failures.Failure, float]] = dataclasses.field(
        default_factory=list
    )

    @property
    def deadline(self) -> float:
        """Simulated time in seconds after which the response is useless."""
        return self.asked_at + self.kind.deadline_s

    @property
    def served(self) -> bool:
        """Whether the response was complete in time."""
        return self.done_at is not None and self.done_at <= self.deadline


class Callers:
    """Callers that retry after refusals.

    Args:
        world: The nodes.
        kinds: Kinds of requests.
        rates: Requests per second of each workspace, in all.
        client_s: One way from a caller to its nodes in seconds.
        seed: Seed of arrivals.
    """

    def __init__(
        self,
        world: node_world.World,
        kinds: tuple[Kind, ...],
        rates: Mapping[str, float],
        client_s: float,
        seed: int,
    ):
        self.asked: list[Asked] = []
        self._world = world
        self._kinds = kinds
        self._client_s = client_s
        self._source = random.Random(seed)
        self._open: dict[str, Asked] = {}
        self._numbers = itertools.count()
        self._centres = sorted(set(world.centres.values()))
        self.end_at = math.inf
        world.take = self._take
        for workspace, rate in rates.items():
            self._schedule(workspace, rate)

    def _schedule(self, workspace: str, rate: float) -> None:
        def arrive() -> None:
            if self._world.now >= self.end_at:
                return
            self.ask(workspace)
            self._schedule(workspace, rate)

        when = self._world.now + self._source.expovariate(rate)
        self._world.at(when, arrive)

    def ask(self, workspace: str) -> None:
        """Sends one request of a workspace now."""
        parts = [kind.part for kind in self._kinds]
        kind = self._source.choices(self._kinds, parts)[0]
        centre = self._source.choice(self._centres)
        asked = Asked(kind, workspace, centre, self._world.now)
        self.asked.append(asked)
        self._try(asked)

    def _try(self, asked: Asked) -> None:
        asked.tries += 1
        asked.tried_at = self._world.now
        kind = asked.kind
        nodes = self._world.nodes
        near = [a for a in nodes if self._world.centres[a] == asked.centre]
        address = self._source.choice(near)
        number = f"r{next(self._numbers)}-{kind.prompt}-{kind.output}"
        request = requests.ModelRequest(
            number,
            asked.workspace,
            "m",
            kind.name,
            b"",
            number,
            kind.prompt,
            kind.output,
            True,
            asked.deadline,
        )
        self._open[number] = asked
        when = self._world.now + self._client_s
        event = lifecycle.RequestArrived(request)
        self._world.at(when, lambda: self._world.give(address, event))

    def _take(self, address: str, command: commands.Command) -> None:
        match command:
            case node_world.FirstToken():
                asked = self._open.get(command.request_id)
                if asked is not None and asked.first_at is None:
                    asked.first_at = self._world.now + self._client_s
            case lifecycle.FinishRequest():
                asked = self._open.pop(command.request_id, None)
                if asked is not None:
                    asked.done_at = self._world.now + self._client_s
            case lifecycle.FailRequest():
                asked = self._open.pop(command.request_id, None)
                if asked is not None:
                    self._refuse(asked, command.failure)

    def _refuse(self, asked: Asked, failure: failures.Failure) -> None:
        now = self._world.now
        after_s = now - asked.tried_at - self._client_s
        asked.refusals.append((failure, after_s))
        if failure.execution is not failures.Execution.NOT_STARTED:
            asked.cut = True
            return
        wait_s = failure.retry_after_s
        if wait_s is None or asked.tries >= MAX_TRIES:
            return
        when = now + 2 * self._client_s + wait_s
        if when < asked.deadline:
            self._world.at(when, lambda: self._try(asked))
