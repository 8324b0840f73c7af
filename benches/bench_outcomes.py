"""Store calls of billing and of non-idempotent calls, and broken outcomes."""

from collections.abc import Iterator
import random

from benches import results
from sycamorehollow.decisions.bills import billing
from sycamorehollow.decisions.bills import billing_messages as messages
from sycamorehollow.model import commands
from sycamorehollow.model import events
from tests import billing_world
from tests import checks
from tests import fakes
from tests import worlds

PROCESSES = (1, 10, 100)
# 5,500 requests a second over 370 entry nodes.
REQUESTS_PER_S = 15
BILLING_S = 20
TICK_S = 0.02
CALLS = 1000
# One write a second and process, as 370 writes a second are what the store
# takes at the target scale.
MAX_BILLING_WRITES = 1000 / REQUESTS_PER_S
# The claim and the outcome.
MAX_CALL_WRITES = 2 * CALLS
SCHEDULES = 10_000
SCHEDULE_LENGTH = 100
SEED = 20


def run() -> list[results.Result]:
    """Returns the measured counts."""
    found = []
    for processes in PROCESSES:
        found.append(
            results.Result(
                f"billing, {processes} processes: store calls per 1,000",
                count_billing_writes(processes),
                MAX_BILLING_WRITES,
            )
        )
        found.append(
            results.Result(
                f"own keys, {processes} processes: store calls per 1,000",
                count_call_writes(processes, use_tickets=False),
                MAX_CALL_WRITES,
            )
        )
        found.append(
            results.Result(
                f"tickets, {processes} processes: store calls per 1,000",
                count_call_writes(processes, use_tickets=True),
                CALLS,
            )
        )
    return found + run_call_schedules() + run_billing_schedules()


def count_billing_writes(processes: int) -> float:
    """Returns store calls per 1,000 billed requests at the target rate."""
    writes = 0
    requests_made = 0
    for number in range(processes):
        made, written = run_biller(number)
        requests_made += made
        writes += written
    return 1000 * writes / requests_made


def run_biller(number: int) -> tuple[int, int]:
    """Returns the requests and store writes of one process."""
    process = messages.Process(f"p{number}", "dc0", 1)
    peer = messages.Process("peer", "dc1", 1)
    part = billing.Billing(process, random.Random(number))
    part.handle(messages.PeersChanged((peer,)), 0.0)
    made = 0
    written = 0
    for step in range(round(BILLING_S / TICK_S)):
        now = step * TICK_S
        waiting = part.handle(events.Tick(), now)
        while made < now * REQUESTS_PER_S:
            made += 1
            bill = messages.Bill("w", f"{number}-{made}", "v", 9, 9, 9)
            waiting += part.handle(messages.BillReady("", bill), now)
        while waiting:
            command = waiting.pop()
            written += isinstance(command, messages.WriteBatch)
            waiting += answer_billing(part, command, now)
    return made, written


def answer_billing(
    part: billing.Billing, command: commands.Command, now: float
) -> list[commands.Command]:
    """Carries out a command of billing without a fault."""
    if isinstance(command, messages.SpoolToPeer):
        return part.handle(messages.SpoolAcknowledged(command.op), now)
    if isinstance(command, messages.WriteBatch):
        return part.handle(messages.BatchWritten(command.op), now)
    return []


def count_call_writes(processes: int, use_tickets: bool) -> float:
    """Returns store calls per 1,000 first attempts without a fault."""
    world = fakes.World(worlds.Schedule([]), processes)
    world.faults = False
    for number in range(CALLS):
        node = world.nodes[number % processes]
        intent = fakes.Intent(f"key-{number}", str(number).encode())
        if use_tickets:
            intent.key = node.issuer.issue("w", world.now)
        world.submit(intent, node)
        while world.pending:
            world.carry_out()
    assert sum(world.service.effects.values()) == CALLS
    return 1000 * world.store.calls / CALLS


def make_schedules() -> Iterator[worlds.Schedule]:
    """Yields the generated schedules, the same in every run."""
    rng = random.Random(SEED)
    for _ in range(SCHEDULES):
        numbers = [rng.randrange(10_000) for _ in range(SCHEDULE_LENGTH)]
        yield worlds.Schedule(numbers)


def run_call_schedules() -> list[results.Result]:
    """Returns the broken invariants of non-idempotent calls."""
    effects = 0
    duplicates = 0
    faults = 0
    for schedule in make_schedules():
        world = fakes.World(schedule)
        world.run()
        for count in world.service.effects.values():
            effects += 1
            duplicates += count - 1
        faults += checks.find_fault(world) != ""
    name = f"calls, {SCHEDULES} schedules"
    return [
        results.Result(f"{name}: effects", effects),
        results.Result(f"{name}: duplicate effects", duplicates, 0),
        results.Result(f"{name}: losses and false refusals", faults, 0),
    ]


def run_billing_schedules() -> list[results.Result]:
    """Returns the lost and the doubled bills."""
    billed = 0
    copies = 0
    doubled = 0
    faults = 0
    for schedule in make_schedules():
        world = billing_world.World(schedule)
        world.run()
        for value, _ in world.store.values.values():
            copies += len(messages.decode_bills(value))
        for total in world.make_reader().sum_workspaces().values():
            billed += total.bills
            doubled += total.bills != len(world.read_bills())
        faults += billing_world.find_fault(world) != ""
    name = f"billing, {SCHEDULES} schedules"
    return [
        results.Result(f"{name}: bills", billed),
        results.Result(f"{name}: copies in the store", copies),
        results.Result(f"{name}: double bills", doubled, 0),
        results.Result(f"{name}: losses and early releases", faults, 0),
    ]
