"""What must hold, judged by what callers and upstreams have seen."""

import collections
from collections.abc import Iterable
import dataclasses
import re

from tests import limit_rule
from tests import part_rule
from tests.soak import schedule

STREAM_EVENTS = 6
MAX_ATTEMPTS = 3
DEADLINE_S = 4.0
# Time for a final answer beyond the deadline.
SLACK_S = 1.0
# Time around a fault in which it may still act on requests.
AFTERMATH_S = 2.0
# Time in which every node knows that an upstream leaves.
DRAIN_S = 2.5
# Failures that are no answer, without a promise about the run.
CUT = re.compile(r" request=(?P<request>\S+) .* outcome='cut: ")
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class Exchange:
    """One request as its caller has seen it; times are monotonic seconds.

    Attributes:
        status: 0 without an answer.
        whole: Whether the answer ended as it should.
        failure: Why it did not.
        events: Number and request of each event of a stream.
    """

    request_id: str
    node: str
    path: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    sealed: bool = False
    retry_after: bool = False
    whole: bool = False
    failure: str = ""
    body: bytes = b""
    events: list[tuple[int, str]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Run:
    """One run as its upstream has seen it."""

    request: str
    at: float
    upstream: str
    path: str
    workspace: str
    has_key: bool
    resumed_after: str
    deadly: bool = False


@dataclasses.dataclass(frozen=True)
class Happened:
    """A fault in monotonic seconds."""

    kind: schedule.Kind
    target: str
    begin: float
    end: float
    mode: str = ""


@dataclasses.dataclass(frozen=True)
class Violation:
    """A promise that was broken."""

    promise: str
    request: str
    detail: str


def judge(
    exchanges: Iterable[Exchange],
    runs: Iterable[Run],
    faults: Iterable[Happened],
    crashes: Iterable[float] = (),
) -> list[Violation]:
    """Returns every broken promise.

    Args:
        exchanges: What callers have seen.
        runs: What upstreams have seen.
        faults: What was played.
        crashes: Times of the crashes by a prompt part.
    """
    by_request = collections.defaultdict(list)
    runs = list(runs)
    for run in runs:
        by_request[run.request].append(run)
    faults = list(faults)
    exchanges = list(exchanges)
    found = _judge_drains(runs, faults)
    found += _judge_limits(exchanges, runs, faults)
    found += _judge_deadly(exchanges, runs, faults, crashes)
    asked = set()
    for exchange in exchanges:
        asked.add(exchange.request_id)
        ran = by_request.get(exchange.request_id, [])
        found.extend(
            Violation(promise, exchange.request_id, f"{detail}: {exchange}")
            for promise, detail in [
                *_judge_runs(exchange, ran),
                *_judge_answer(exchange),
                *_judge_time(exchange, ran, faults),
            ]
        )
    for request in set(by_request) - asked:
        found.append(Violation("no unasked run", request, "nobody asked"))
    return found


def judge_logs(text: str) -> list[Violation]:
    """Returns the answers that a node cut although their upstreams went on."""
    found = []
    for line in text.splitlines():
        named = CUT.search(line)
        if named is None:
            continue
        if "(patience " in line.rpartition("; ")[2]:
            found.append(
                Violation("given up only for another", named["request"], line)
            )
    return found


def _judge_runs(
    exchange: Exchange, ran: list[Run]
) -> Iterable[tuple[str, str]]:
    idempotent = not exchange.path.startswith("/lodge/")
    if not idempotent and len(ran) > 1:
        yield "at most one run", f"{len(ran)} runs"
    if not idempotent and ran and exchange.status in NOT_RUN_STATUSES:
        yield "truthful refusal", f"{exchange.status} after a run"
    if len(ran) > MAX_ATTEMPTS:
        yield "bounded attempts", f"{len(ran)} runs"
    for run in ran:
        if run.path != exchange.path:
            yield "unchanged request", run.path
        if run.workspace != "maps" or run.has_key:
            yield "workspace instead of key", str(run)


def _judge_answer(exchange: Exchange) -> Iterable[tuple[str, str]]:
    if exchange.status == 503 and not exchange.retry_after:
        yield "time of return", "503 without it"
    if exchange.status in (401, 403, 404):
        yield "proper requests are served", str(exchange.status)
    if exchange.status != 200:
        return
    if not exchange.sealed:
        yield "upstream's own answer", "no seal"
    if exchange.path.startswith("/draft/"):
        numbers = [number for number, _ in exchange.events]
        if numbers != list(range(1, len(numbers) + 1)):
            yield "events in order", str(numbers)
        if any(name != exchange.request_id for _, name in exchange.events):
            yield "own answer", "events of another request"
        if exchange.whole and len(numbers) != STREAM_EVENTS:
            yield "no false end", f"{len(numbers)} events"
        return
    expected = b"echo "
    if exchange.path.startswith("/lodge/"):
        expected += exchange.request_id.encode()
    if exchange.whole and exchange.body != expected:
        yield "own answer", "body of another request"


def _judge_time(
    exchange: Exchange, ran: list[Run], faults: list[Happened]
) -> Iterable[tuple[str, str]]:
    near = [
        fault
        for fault in faults
        if fault.begin <= exchange.ended_at
        and fault.end + AFTERMATH_S >= exchange.sent_at
    ]
    own = [fault for fault in near if fault.target == exchange.node]
    took_s = exchange.ended_at - exchange.sent_at
    if took_s > DEADLINE_S + SLACK_S and not own:
        yield "answer by the deadline", f"{took_s:.1f} s"
    unplanned = [
        fault
        for fault in near
        if fault.kind not in schedule.PLANNED_KINDS
        and _may_concern(fault, exchange.node)
    ]
    if ran and not exchange.whole and not unplanned:
        yield "orderly changes lose nothing", exchange.failure


def _may_concern(fault: Happened, node: str) -> bool:
    """Tells whether a fault can act on the requests of a node."""
    if fault.kind is schedule.Kind.HUSH:
        # Only the news of the nodes are concerned, no request.
        return False
    elsewhere = fault.target.startswith(("node-", "store/"))
    return not elsewhere or fault.target in (node, f"store/{node}")


def _judge_drains(runs: list[Run], faults: list[Happened]) -> list[Violation]:
    """Returns the runs at upstreams that had left while all was in touch."""
    found = []
    for leaving in faults:
        if leaving.kind is not schedule.Kind.DRAIN:
            continue
        for run in runs:
            if run.upstream != leaving.target:
                continue
            if not leaving.begin + DRAIN_S < run.at < leaving.end:
                continue
            disturbed = [
                fault
                for fault in faults
                if fault.kind not in schedule.PLANNED_KINDS
                and fault.begin <= run.at
                and fault.end + AFTERMATH_S >= leaving.begin
            ]
            if not disturbed:
                found.append(
                    Violation("drained upstreams rest", run.request, str(run))
                )
    return found


def _judge_limits(
    exchanges: list[Exchange], runs: list[Run], faults: list[Happened]
) -> list[Violation]:
    """Returns the limits that were exceeded while nothing else happened.

    Requests of nodes that were disturbed do not count, nor limits of upstreams
    that were.
    """
    nodes = {exchange.request_id: exchange.node for exchange in exchanges}
    found = []
    for limited in faults:
        mode, _, rate = limited.mode.partition("/")
        if mode != schedule.LIMIT_MODE:
            continue
        near = [
            fault
            for fault in faults
            if fault is not limited
            and fault.begin <= limited.end
            and fault.end + AFTERMATH_S >= limited.begin
        ]
        if any(fault.target == limited.target for fault in near):
            continue
        disturbed = {fault.target.rpartition("/")[2] for fault in near}
        times = [
            run.at
            for run in runs
            if run.upstream == limited.target
            and run.at < limited.end
            and nodes.get(run.request) not in disturbed
        ]
        since = limited.begin + limit_rule.CONTACT_S
        worst = limit_rule.count_worst_window(times, since)
        if worst > limit_rule.compute_allowed(float(rate)):
            found.append(
                Violation("limits hold", "", f"{worst} in 4 s: {limited}")
            )
    return found


def _judge_deadly(
    exchanges: list[Exchange],
    runs: list[Run],
    faults: list[Happened],
    crashes: Iterable[float],
) -> list[Violation]:
    """Returns whether a deadly part reaches upstreams long after its crashes.

    Requests of nodes that were disturbed do not count, nor any beside a fault
    of the store.
    """
    nodes = {exchange.request_id: exchange.node for exchange in exchanges}
    arrivals = []
    for run in runs:
        node = nodes.get(run.request, "")
        disturbed = any(
            fault.target in ("store", node, f"store/{node}")
            and fault.begin <= run.at
            and fault.end + part_rule.CONTACT_S >= run.at
            for fault in faults
        )
        if run.deadly and not disturbed:
            arrivals.append(run.at)
    crashes = list(crashes)
    later = part_rule.count_later_arrivals(crashes, arrivals)
    if later <= part_rule.MAX_LATER_ARRIVALS:
        return []
    detail = f"{later} after {len(crashes)} crashes"
    return [Violation("deadly parts are rejected", "", detail)]
