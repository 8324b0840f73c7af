"""Simulation of processes and a store with scheduled message faults."""

from collections.abc import Callable
from collections.abc import Iterable
import functools
from typing import Any

from sycamorehollow.model import commands
from sycamorehollow.model import events


class Schedule:
    """Choices derived from a list of numbers."""

    def __init__(self, numbers: Iterable[int]):
        self._numbers = iter(numbers)
        self.ended = False

    def pick(self, count: int) -> int:
        """Returns a number below `count`; 0 after the end of the list."""
        number = next(self._numbers, None)
        if number is None:
            self.ended = True
            return 0
        return number % count


class Store:
    """A key-value store with compare-and-swap that counts its calls."""

    def __init__(self):
        self.values: dict[str, tuple[str, int]] = {}
        self.revision = 0
        self.calls = 0

    def read(self, key: str) -> tuple[str | None, int]:
        self.calls += 1
        return self.values.get(key, (None, 0))

    def write(self, key: str, value: str, expect: int | None) -> bool:
        self.calls += 1
        if expect is not None and self.values.get(key, (None, 0))[1] != expect:
            return False
        self.revision += 1
        self.values[key] = (value, self.revision)
        return True


class World:
    """Executes, loses, delays or refuses the commands of processes.

    A node has `parts`, `process`, `paused` and `alive`. `perform` executes a
    command; its last argument tells whether the response is delivered.
    """

    steps: tuple[str, ...]
    store_commands: Any
    make_node: Any
    take: Callable[[Any, commands.Command], None]
    perform: Callable[[Any, commands.Command, bool], None]
    make_failure: Callable[[str, bool], events.Event]
    count_unfinished: Callable[[], int]

    def __init__(self, schedule: Schedule, processes: int):
        self.schedule = schedule
        self.now = 100.0
        self.store = Store()
        self.store_up = True
        self.faults = True
        self.nodes = [self.make_node(n, 1) for n in range(processes)]
        self.pending: list[tuple[Any, commands.Command]] = []
        self.late: list[Callable[[], object]] = []
        # Node and operation that each peer call came from.
        self.asks: dict[str, tuple[Any, str]] = {}
        self._next = 0

    def after_kill(self, old: Any) -> None:
        """Called after a process was killed."""

    def run(self) -> None:
        """Runs the schedule to its end, then lets everything settle."""
        while not self.schedule.ended:
            step = self.steps[self.schedule.pick(len(self.steps))]
            getattr(self, step)()
        self.settle()

    def pick_node(self) -> Any:
        return self.nodes[self.schedule.pick(len(self.nodes))]

    def make_id(self) -> str:
        self._next += 1
        return f"r{self._next}"

    def give(self, node: Any, event: events.Event) -> None:
        """Delivers an event to all components of a node."""
        if not node.alive:
            return
        for part in node.parts:
            for command in part.handle(event, self.now):
                self.take(node, command)

    def carry_out(self) -> None:
        """Executes one command of a process that is not paused."""
        ready = [n for n, p in enumerate(self.pending) if not p[0].paused]
        if not ready:
            return
        index = ready[self.schedule.pick(len(ready)) if self.faults else 0]
        node, command = self.pending.pop(index)
        # 0 to 3: executed. 4: not sent. 5: sent, and executed later without a
        # response. 6: executed, but the response is lost.
        variant = self.schedule.pick(7) if self.faults else 0
        if isinstance(command, self.store_commands) and not self.store_up:
            variant = 4
        op = getattr(command, "op", "")
        if variant < 4:
            self.perform(node, command, True)
            return
        if variant == 5:
            late = functools.partial(self.perform, node, command, False)
            self.late.append(late)
        if variant == 6:
            self.perform(node, command, False)
        self.give(node, self.make_failure(op, variant > 4))

    def land(self) -> None:
        """Executes one delayed command."""
        if self.late:
            self.late.pop(self.schedule.pick(len(self.late)))()

    def advance(self) -> None:
        self.tick((0.02, 0.5, 5.0, 60.0, 700.0)[self.schedule.pick(5)])

    def tick(self, seconds: float) -> None:
        self.now += seconds
        for node in list(self.nodes):
            if not node.paused:
                self.give(node, events.Tick())

    def pause(self) -> None:
        """Pauses or resumes a process."""
        node = self.pick_node()
        node.paused = not node.paused

    def toggle_store(self) -> None:
        self.store_up = not self.store_up

    def kill(self) -> None:
        """Kills a process and starts a new one at its address."""
        index = self.schedule.pick(len(self.nodes))
        old = self.nodes[index]
        old.alive = False
        self.nodes[index] = self.make_node(index, old.process.incarnation + 1)
        for entry in list(self.pending):
            if entry[0] is not old:
                continue
            self.pending.remove(entry)
            if self.schedule.pick(2):
                # It had been sent already.
                self.late.append(functools.partial(self.perform, *entry, False))
        for ask, (node, op) in list(self.asks.items()):
            del self.asks[ask]
            # The peer call may have been to the killed process.
            self.give(node, self.make_failure(op, True))
        self.after_kill(old)

    def settle(self) -> None:
        """Ends all faults and runs until every process is done."""
        self.faults = False
        self.store_up = True
        for node in self.nodes:
            node.paused = False
        for _ in range(30):
            while self.late:
                self.late.pop(0)()
            for _ in range(500):
                if self.pending:
                    self.carry_out()
            self.tick(6.0)
            if not self.pending and not self.count_unfinished():
                return
