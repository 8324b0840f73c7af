"""Load generator: open-loop requests to entry processes, engines or both.

The same plan is sent to both groups at once, so that the difference of their
latencies is what the router adds.
"""

import argparse
from collections.abc import Iterator
import dataclasses
import ipaddress
import json
import random
import sys
import time
import urllib.parse

import sycamorehollow
from sycamorehollow.programs import exchanges

MAX_RATE_PER_S = 2_000.0
MAX_SECONDS = 600.0
MAX_COUNT = 100_000
MAX_PENDING = 2_000
PERCENTILES = (50, 95, 99)
DEFAULT_MIX = "chapter=1:4000:200,caption=3:400:40,check=6:200:4"


class ArgumentError(Exception):
    """Invalid argument; the text has its value and the expectation."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """Kind of request in the mix."""

    name: str
    weight: float
    prompt_characters: int
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """Parameters of a run; `count` and `seconds` both limit it.

    Attributes:
        rate_per_s: Mean arrival rate of each lane.
        slow_share: Share of callers that read slowly.
    """

    rate_per_s: float
    count: int
    seconds: float
    drain_s: float
    kinds: tuple[Kind, ...]
    model: str
    api_key: str
    deadline_ms: int
    slow_share: float
    slow_bytes_per_s: float
    stream_share: float
    seed: int


@dataclasses.dataclass(frozen=True)
class Target:
    """Address of an HTTP server on this machine."""

    host: str
    port: int


def parse_target(url: str) -> Target:
    """Parses a base URL; only loopback addresses are accepted.

    Raises:
        ArgumentError: If the URL names another address or no port.
    """
    parts = urllib.parse.urlsplit(url)
    try:
        address = ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError as error:
        raise ArgumentError(f"{url}: expected a loopback address") from error
    if parts.scheme != "http" or port is None:
        raise ArgumentError(f"{url}: expected http://address:port")
    if not address.is_loopback:
        raise ArgumentError(f"{url}: expected a loopback address")
    return Target(str(address), port)


def parse_mix(text: str) -> tuple[Kind, ...]:
    """Parses `kind=weight:prompt characters:output tokens` items.

    Raises:
        ArgumentError: If an item has another form.
    """
    kinds = []
    for item in text.split(","):
        name, _, numbers = item.partition("=")
        try:
            weight, characters, tokens = numbers.split(":")
            kind = Kind(name, float(weight), int(characters), int(tokens))
        except ValueError as error:
            reason = "expected kind=weight:prompt characters:output tokens"
            raise ArgumentError(f"--mix {item}: {reason}") from error
        kinds.append(kind)
    return tuple(kinds)


@dataclasses.dataclass
class Lane:
    """A group of targets and the finished requests to it."""

    name: str
    targets: list[Target]
    pids: list[int]
    finished: list[exchanges.Exchange] = dataclasses.field(default_factory=list)
    processor_s: float = 0.0
    next_target: int = 0

    def choose_target(self) -> Target:
        """Returns the next target in round-robin order."""
        self.next_target += 1
        return self.targets[self.next_target % len(self.targets)]


def draw_arrivals(plan: Plan, rng: random.Random) -> Iterator[float]:
    """Yields Poisson arrival times in seconds from the start."""
    at = 0.0
    for _ in range(plan.count):
        at += rng.expovariate(plan.rate_per_s)
        if at > plan.seconds:
            return
        yield at


def make_exchange(
    plan: Plan, lane: Lane, number: int, rng: random.Random
) -> exchanges.Exchange:
    """Builds a random request of the mix."""
    weights = [kind.weight for kind in plan.kinds]
    kind = rng.choices(plan.kinds, weights)[0]
    # The number comes first, so that prompts share no prefix that an engine
    # could have cached.
    prompt = f"{plan.seed}-{number} ".ljust(kind.prompt_characters, "x")
    stream = rng.random() < plan.stream_share
    document = {
        "model": plan.model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": kind.max_tokens,
        "stream": stream,
    }
    if stream:
        document["stream_options"] = {"include_usage": True}
    body = json.dumps(document).encode()
    target = lane.choose_target()
    head = [
        "POST /v1/chat/completions HTTP/1.1",
        f"Host: {target.host}:{target.port}",
        "Content-Type: application/json",
        "Connection: close",
        f"Content-Length: {len(body)}",
        f"Authorization: Bearer {plan.api_key}",
        f"X-Deadline-Ms: {plan.deadline_ms}",
        f"X-Request-Kind: {kind.name}",
    ]
    data = ("\r\n".join(head) + "\r\n\r\n").encode() + body
    slow = rng.random() < plan.slow_share
    pace = plan.slow_bytes_per_s if slow else None
    address = (target.host, target.port)
    return exchanges.Exchange(address, data, kind.name, stream, pace)


def run_plan(plan: Plan, lanes: list[Lane]) -> None:
    """Sends the requests of the plan to all lanes at the same time."""
    loop = exchanges.Loop()
    arrivals: list[tuple[float, int, Lane]] = []
    for index, lane in enumerate(lanes):
        times = draw_arrivals(plan, random.Random(plan.seed + index))
        arrivals.extend((at, n, lane) for n, at in enumerate(times))
    arrivals.sort(key=lambda arrival: arrival[0])
    rng = random.Random(plan.seed)
    owners: dict[exchanges.Exchange, Lane] = {}
    before = {lane.name: read_processor_s(lane.pids) for lane in lanes}
    start = time.monotonic()
    for at, number, lane in arrivals:
        loop.run_until(start + at)
        exchange = make_exchange(plan, lane, number, rng)
        owners[exchange] = lane
        if loop.count_open() >= MAX_PENDING:
            exchange.finish("not_sent")
            continue
        loop.begin(exchange)
    loop.run_until(time.monotonic() + plan.drain_s, stop_when_idle=True)
    loop.close()
    for lane in lanes:
        lane.processor_s = read_processor_s(lane.pids) - before[lane.name]
    for exchange, lane in owners.items():
        lane.finished.append(exchange)


def read_processor_s(pids: list[int]) -> float:
    """Returns the total CPU time of processes in seconds."""
    total = 0
    for pid in pids:
        try:
            with open(f"/proc/{pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
        except OSError:
            continue
        total += int(fields[11]) + int(fields[12])
    return total / exchanges.CLOCK_TICKS_PER_S


def get_percentile(values: list[float], percent: int) -> float | None:
    """Returns a nearest-rank percentile; `None` without values."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[rank]


def summarise(lane: Lane) -> dict:
    """Returns the results of a lane; latencies are in milliseconds."""
    outcomes: dict[str, int] = {}
    first: list[float] = []
    gaps: list[float] = []
    events = 0
    for exchange in lane.finished:
        outcomes[exchange.outcome] = outcomes.get(exchange.outcome, 0) + 1
        events += exchange.events
        if exchange.slow or not exchange.stream:
            continue
        if exchange.first_token_s is not None:
            first.append(exchange.first_token_s * 1_000)
        gaps.extend(gap * 1_000 for gap in exchange.gaps_s)
    summary = {
        "lane": lane.name,
        "requests": len(lane.finished),
        "outcomes": outcomes,
        "events": events,
        "first_token_ms": {p: get_percentile(first, p) for p in PERCENTILES},
        "between_tokens_ms": {p: get_percentile(gaps, p) for p in PERCENTILES},
        "processor_s": lane.processor_s if lane.pids else None,
        "processor_us_per_event": None,
    }
    if lane.pids and events:
        summary["processor_us_per_event"] = lane.processor_s / events * 1e6
    return summary


def compare(summaries: list[dict]) -> dict:
    """Returns the latency that the first lane adds to the second one."""
    added: dict[str, dict] = {}
    for name in ("first_token_ms", "between_tokens_ms"):
        added[name] = {}
        for percent in PERCENTILES:
            router, engine = (s[name][percent] for s in summaries)
            if router is not None and engine is not None:
                added[name][percent] = router - engine
    return {"added": added}


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="sycamore-load",
        description="Sends open-loop load to loopback targets.",
    )
    parser.add_argument(
        "--version",
        action="version",
        version=getattr(sycamorehollow, "__version__", "0.1.0"),
    )
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--target", action="append", default=[], metavar="URL")
    parser.add_argument("--engine", action="append", default=[], metavar="URL")
    parser.add_argument("--target-pid", action="append", default=[], type=int)
    parser.add_argument("--engine-pid", action="append", default=[], type=int)
    parser.add_argument("--model", default="atlas-small-1")
    parser.add_argument("--api-key", default="")
    parser.add_argument("--rate", type=float, default=10.0, help="per second")
    parser.add_argument("--count", type=int, default=1_000)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--drain-seconds", type=float, default=30.0)
    parser.add_argument("--mix", default=DEFAULT_MIX)
    parser.add_argument("--deadline-ms", type=int, default=60_000)
    parser.add_argument("--slow-share", type=float, default=0.0)
    parser.add_argument("--slow-bytes-per-s", type=float, default=2_000.0)
    parser.add_argument("--stream-share", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser


def build_plan(arguments: argparse.Namespace) -> Plan:
    """Builds the plan from the arguments.

    Raises:
        ArgumentError: For the first invalid argument.
    """
    limits = (
        ("--rate", arguments.rate, MAX_RATE_PER_S),
        ("--count", arguments.count, MAX_COUNT),
        ("--seconds", arguments.seconds, MAX_SECONDS),
        ("--drain-seconds", arguments.drain_seconds, MAX_SECONDS),
        ("--slow-bytes-per-s", arguments.slow_bytes_per_s, float("inf")),
    )
    for name, value, limit in limits:
        if not 0 < value <= limit:
            raise ArgumentError(f"{name} {value}: expected 0 < n <= {limit}")
    return Plan(
        rate_per_s=arguments.rate,
        count=arguments.count,
        seconds=arguments.seconds,
        drain_s=arguments.drain_seconds,
        kinds=parse_mix(arguments.mix),
        model=arguments.model,
        api_key=arguments.api_key,
        deadline_ms=arguments.deadline_ms,
        slow_share=arguments.slow_share,
        slow_bytes_per_s=arguments.slow_bytes_per_s,
        stream_share=arguments.stream_share,
        seed=arguments.seed,
    )


def build_lanes(arguments: argparse.Namespace) -> list[Lane]:
    """Builds a lane for the router and one for the engines.

    Raises:
        ArgumentError: If there is no target or one is not on loopback.
    """
    lanes = []
    groups = (
        ("router", arguments.target, arguments.target_pid),
        ("engine", arguments.engine, arguments.engine_pid),
    )
    for name, urls, pids in groups:
        if urls:
            targets = [parse_target(url) for url in urls]
            lanes.append(Lane(name, targets, pids))
    if not lanes:
        raise ArgumentError("--target or --engine: expected at least one URL")
    return lanes


def main(argv: list[str] | None = None) -> int:
    """Runs the tool; prints one JSON line for each lane."""
    arguments = build_parser().parse_args(argv)
    try:
        plan, lanes = build_plan(arguments), build_lanes(arguments)
    except ArgumentError as error:
        print(error, file=sys.stderr)
        return 2
    if arguments.check:
        return 0
    used = time.process_time()
    run_plan(plan, lanes)
    summaries = [summarise(lane) for lane in lanes]
    for summary in summaries:
        print(json.dumps(summary))
    if len(summaries) == 2:
        print(json.dumps(compare(summaries)))
    print(json.dumps({"own_processor_s": time.process_time() - used}))
    complete = sum(s["outcomes"].get("complete", 0) for s in summaries)
    return 0 if complete else 1


if __name__ == "__main__":
    raise SystemExit(main())
