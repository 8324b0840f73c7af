"""Crashing requests, slow readers and cold upstreams in simulated time."""

import collections
import random

from benches import results
from sycamorehollow.decisions.requests import buffers
from sycamorehollow.decisions.requests import quarantine
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import events

SEED = 13
NODES = 6
UPSTREAMS = 12
STEP_S = 0.05
# An urgent push reaches the live members within this many steps.
PUSH_STEPS = 2
CRASH_STEPS = 1200
CRASH_AFTER_STEPS = 10
RESEND_EVERY_STEPS = 10
INNOCENT_STEPS = 100
DEATHS_BOUND = 2
STREAMS = 300
SLOW_STREAMS = 100
# Bytes that arrive for each stream in a second.
READ_BYTES = 16 * 1024
SLOW_BYTES = 100
STREAM_SECONDS = 120


class Crashes:
    """A caller resends a request that kills each upstream that runs it.

    Args:
        protects: Whether the quarantine is asked.
        patient: Whether the caller waits for the failure before it resends.
    """

    def __init__(self, protects: bool, patient: bool):
        self._protects = protects
        self._patient = patient
        self._source = random.Random(SEED)
        self._nodes = [quarantine.Quarantine() for _ in range(NODES)]
        self._generations: collections.Counter[str] = collections.Counter()
        self._running: dict[str, tuple[int, str, str, int]] = {}
        self._pushes: list[tuple[int, int]] = []
        self._number = 0
        self._had_completed: set[str] = set()
        self._first_spread_at = CRASH_STEPS
        self.deaths = 0
        self.in_flight_before_spread = 0
        self.quarantined_after_completion = 0
        self.completed = 0

    def run(self) -> "Crashes":
        """Runs to the end."""
        for step in range(CRASH_STEPS):
            now = step * STEP_S
            self._spread(step, now)
            copies = sum(o[1] == "crash" for o in self._running.values())
            if step % RESEND_EVERY_STEPS == 0:
                if not copies or not self._patient:
                    self._send("crash", step, now)
            self._send(f"innocent{self._source.randrange(40)}", step, now)
            for name, attempt in list(self._running.items()):
                if name not in self._running or step < attempt[3]:
                    continue
                if attempt[1] == "crash":
                    self._kill(attempt[2], step, now)
                else:
                    self._complete(name, step, now)
        return self

    def _send(self, fingerprint: str, step: int, now: float) -> None:
        index = self._source.randrange(NODES)
        node = self._nodes[index]
        if self._protects:
            verdict = node.check(fingerprint, now)
            if isinstance(verdict, quarantine.Quarantined):
                if fingerprint in self._had_completed:
                    self.quarantined_after_completion += 1
            if not isinstance(verdict, quarantine.Isolation):
                return
        names = [f"u{number}" for number in range(UPSTREAMS)]
        self._source.shuffle(names)
        for name in names:
            busy = any(one[2] == name for one in self._running.values())
            if self._protects:
                if not node.can_place(fingerprint, name, not busy, now):
                    continue
            if fingerprint == "crash" and self.deaths:
                if step < self._first_spread_at:
                    self.in_flight_before_spread += 1
            self._number += 1
            attempt = str(self._number)
            lasts = INNOCENT_STEPS
            if fingerprint == "crash":
                lasts = CRASH_AFTER_STEPS
            self._running[attempt] = (index, fingerprint, name, step + lasts)
            node.handle(
                upstream_events.AttemptStarted(attempt, name, 1, fingerprint),
                now,
            )
            return

    def _complete(self, name: str, step: int, now: float) -> None:
        index, fingerprint, upstream, _ = self._running.pop(name)
        self.completed += 1
        self._had_completed.add(fingerprint)
        end = upstream_events.AttemptEnded(
            name, upstream, upstream_events.AttemptStatus.COMPLETED
        )
        if self._nodes[index].handle(end, now):
            self._pushes.append((step + PUSH_STEPS, index))

    def _kill(self, upstream: str, step: int, now: float) -> None:
        self.deaths += 1
        if self.deaths == 1:
            self._first_spread_at = step + PUSH_STEPS
            copies = [o for o in self._running.values() if o[1] == "crash"]
            self.in_flight_before_spread = len(copies) - 1
        generation = self._generations[upstream]
        self._generations[upstream] += 1
        for name, attempt in list(self._running.items()):
            if attempt[2] == upstream:
                del self._running[name]
        died = quarantine.UpstreamCrashed(upstream, generation)
        for index, node in enumerate(self._nodes):
            if node.handle(died, now):
                self._pushes.append((step + PUSH_STEPS, index))

    def _spread(self, step: int, now: float) -> None:
        due = [index for at, index in self._pushes if at <= step]
        self._pushes = [push for push in self._pushes if push[0] > step]
        for index in due:
            for peer in self._nodes:
                digest = peer.build_digest(now)
                peer.merge(self._nodes[index].build_delta(digest, now), now)


class Readers:
    """Streams to callers, some of which read almost nothing."""

    def __init__(self, rule: buffers.CallerBuffers):
        self._rule = rule
        self._held: collections.Counter[str] = collections.Counter()
        self.peak_bytes = 0
        self.peak_stream_bytes = 0
        self.fast_stalls = 0

    def run(self) -> "Readers":
        """Runs to the end."""
        names = [f"s{number}" for number in range(STREAMS)]
        slow = set(names[:SLOW_STREAMS])
        alive = set(names)
        for name in names:
            self._rule.handle(buffers.StreamOpened(name), 0.0)
        for second in range(STREAM_SECONDS):
            for name in names:
                if name in alive:
                    self._step(name, name in slow, float(second), alive)
            for command in self._rule.handle(events.Tick(), float(second)):
                self._apply(command, alive)
        return self

    def _step(self, name: str, slow: bool, now: float, alive: set[str]) -> None:
        size = min(READ_BYTES, self._rule.get_readable_bytes(name))
        if not slow and size < READ_BYTES:
            self.fast_stalls += 1
        self._held[name] += size
        for command in self._rule.handle(
            buffers.ChunkBuffered(name, size), now
        ):
            self._apply(command, alive)
        self.peak_bytes = max(self.peak_bytes, self._held.total())
        self.peak_stream_bytes = max(self.peak_stream_bytes, self._held[name])
        taken = min(SLOW_BYTES if slow else READ_BYTES, self._held[name])
        self._held[name] -= taken
        self._rule.handle(buffers.BytesSent(name, taken), now)

    def _apply(self, command: object, alive: set[str]) -> None:
        if isinstance(command, buffers.DisconnectCaller):
            alive.discard(command.stream)
            del self._held[command.stream]


def measure_crashes() -> list[results.Result]:
    """Returns the deaths per crashing request."""
    guarded = Crashes(True, True).run()
    impatient = Crashes(True, False).run()
    open_run = Crashes(False, True).run()
    return [
        results.Result(
            "upstream deaths per crashing request",
            guarded.deaths,
            DEATHS_BOUND,
        ),
        results.Result(
            "deaths with a caller that does not wait, less copies in flight"
            " before the first record has spread",
            impatient.deaths - impatient.in_flight_before_spread,
            DEATHS_BOUND,
        ),
        results.Result(
            "copies in flight before the first record has spread",
            impatient.in_flight_before_spread,
        ),
        results.Result("deaths without quarantine", open_run.deaths),
        results.Result(
            "bystanders quarantined after a completion",
            guarded.quarantined_after_completion,
            0,
        ),
        results.Result("bystanders completed", guarded.completed),
    ]


def measure_readers() -> list[results.Result]:
    """Returns the bytes held for slow readers."""
    bounded = Readers(buffers.CallerBuffers()).run()
    total = buffers.MAX_TOTAL_BYTES // 8
    tight = Readers(buffers.CallerBuffers(total_bytes=total)).run()
    huge = 2**60
    unbounded = Readers(buffers.CallerBuffers(huge, huge, huge, huge)).run()
    return [
        results.Result(
            "most bytes held for one slow reader",
            bounded.peak_stream_bytes,
            buffers.MAX_STREAM_BYTES,
        ),
        results.Result(
            "bytes held for slow readers",
            bounded.peak_bytes,
            buffers.MAX_TOTAL_BYTES,
        ),
        results.Result(
            "bytes held, ratio to unbounded",
            bounded.peak_bytes / unbounded.peak_bytes,
        ),
        results.Result(
            "bytes held with an eighth of the memory, ratio to its bound",
            tight.peak_bytes / total,
            1.0,
        ),
        results.Result(
            "reads of fast readers that had to wait",
            bounded.fast_stalls + tight.fast_stalls,
        ),
    ]


def run() -> list[results.Result]:
    """Returns the figures of crashing requests and of slow readers."""
    return measure_crashes() + measure_readers()
