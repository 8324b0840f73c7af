"""Continuous batch of an engine: admission, memory, cold start, orders."""

import collections
from collections.abc import Callable
import heapq
import random
import time
from typing import Any

from sycamorehollow.standins import pacing
from sycamorehollow.standins import prefixes
from sycamorehollow.standins import server
from sycamorehollow.standins import settings as standin_settings

REPORT_PERIOD_S = 0.05
MAX_REPORTS = 1_000
MAX_SERVED = 10_000
BYTES_PER_TOKEN = 4


class Batch:
    """State of an engine; every method runs in the paced task."""

    def __init__(
        self,
        settings: standin_settings.EngineSettings,
        task: pacing.PacedTask,
        rng: random.Random,
        on_crash: Callable[[], None],
    ):
        self._settings = settings
        self._task = task
        self._on_crash = on_crash
        self._streams: dict[str, pacing.Stream] = {}
        self._queue: list[tuple[int, int, pacing.Stream]] = []
        self._arrivals = 0
        self._running = 0
        self._held_tokens = 0
        self._cold = settings.cold.starts_cold
        self._completions = 0
        self._generation = time.time_ns()
        self._versions = {
            name.strip() for name in settings.engine.versions.split(",")
        }
        self._role = settings.engine.role
        self._fence = 0
        self._checks_fence = settings.orders.checks_fence
        self._crash_faults: list[server.Fault] = []
        self._cache = prefixes.PrefixCache(settings.reports, rng)
        self._reports: collections.deque[tuple[float, dict]] = (
            collections.deque(maxlen=MAX_REPORTS)
        )
        self._stats: collections.Counter[str] = collections.Counter()
        self._served: collections.deque[dict] = collections.deque(
            maxlen=MAX_SERVED
        )

    def admit(
        self, stream: pacing.Stream
    ) -> server.Reply | server.NoReply | None:
        """Takes new work in, or returns the refusal."""
        refusal = self._find_refusal(stream)
        if isinstance(refusal, server.NoReply):
            return refusal
        if refusal:
            self._stats[f"refused_{refusal.document['error']['code']}"] += 1
            return refusal
        self._arrivals += 1
        self._stats["admitted"] += 1
        self._streams[stream.request_id] = stream
        for fault in self._crash_faults:
            if fault.content in stream.prompt:
                stream.crash_after = int(fault.value or 0)
        entry = (stream.priority, self._arrivals, stream)
        heapq.heappush(self._queue, entry)
        if self._cold:
            load = self._running + len(self._queue)
            self._raise_peak("peak_while_cold", load)
        self._start_queued()
        return None

    def _find_refusal(
        self, stream: pacing.Stream
    ) -> server.Reply | server.NoReply | None:
        """Returns why the work is refused before anything was done."""
        if stream.request_id in self._streams:
            return server.refuse(
                409, "duplicate", "The id is in use.", run="unknown"
            )
        if stream.version not in self._versions:
            return server.refuse(
                503, "version_absent", "The version is not loaded."
            )
        load = self._running + len(self._queue)
        if self._cold and load >= self._count_bearable():
            self._stats["cold_excess"] += 1
            if self._settings.cold.overload == "crash":
                self.crash()
                return server.NoReply()
            return server.refuse(503, "cold", "Cold: no more load is borne.")
        memory = self._settings.memory
        limit = memory.capacity_tokens * memory.refuse_share
        expected = stream.usage["total_tokens"]
        if memory.refuse_share and self._reserved() + expected > limit:
            return server.refuse(503, "full", "The memory is full.")
        return None

    def _reserved(self) -> int:
        """Returns the tokens that admitted work will hold at its end."""
        return sum(
            stream.usage["total_tokens"]
            for stream in self._streams.values()
            if stream.done_at is None
        )

    def _count_bearable(self) -> int:
        """Returns the requests borne now; completed work raises them."""
        bearable = self._settings.cold.bearable
        return bearable + max(0, self._completions - bearable)

    def attach(self, stream: pacing.Stream, viewer: pacing.Viewer) -> None:
        """Sends a stream to a connection."""
        if self._streams.get(stream.request_id) is not stream:
            viewer.reset()
            return
        stream.viewers.append(viewer)
        self._task.flush(viewer)

    def find(self, request_id: str) -> pacing.Stream | None:
        """Returns a stream that is running or retained."""
        return self._streams.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Ends a stream and frees its memory."""
        stream = self._streams.pop(request_id, None)
        if stream is None:
            return False
        for viewer in stream.viewers:
            viewer.close()
        if stream.done_at is None:
            self._stats["cancelled"] += 1
            self._release(stream)
        return True

    def _release(self, stream: pacing.Stream) -> None:
        """Takes a stream out of the batch."""
        stream.done_at = time.monotonic()
        if stream.running:
            stream.running = False
            self._running -= 1
            self._held_tokens -= stream.held_tokens
        else:
            self._queue = [e for e in self._queue if e[2] is not stream]
            heapq.heapify(self._queue)
        self._start_queued()

    def _start_queued(self) -> None:
        """Starts queued work while the batch has room."""
        engine = self._settings.engine
        while self._queue and self._running < engine.max_running:
            stream = heapq.heappop(self._queue)[2]
            now = time.monotonic()
            if stream.deadline is not None and now > stream.deadline:
                self._expire(stream)
                continue
            hits = self._cache.store(stream.version, stream.prompt, now)
            cached = hits * prefixes.BLOCK_BYTES // BYTES_PER_TOKEN
            stream.usage["prompt_tokens_details"] = {"cached_tokens": cached}
            stream.running = True
            self._running += 1
            self._raise_peak("peak_running", self._running)
            if not self._hold(stream.held_tokens):
                return
            fresh = max(0, stream.usage["prompt_tokens"] - cached)
            prefill_s = fresh / engine.prefill_tokens_per_s
            due = now + (engine.first_token_s + prefill_s) * self._slowdown()
            self._schedule(stream, due)

    def _expire(self, stream: pacing.Stream) -> None:
        """Drops queued work whose deadline has passed."""
        stream.done_at = time.monotonic()
        self._streams.pop(stream.request_id, None)
        self._stats["expired"] += 1
        reply = server.refuse(504, "deadline", "The deadline has passed.")
        for viewer in stream.viewers:
            viewer.answer(reply)
            self._task.flush(viewer)

    def _slowdown(self) -> float:
        return self._settings.cold.slowdown if self._cold else 1.0

    def _schedule(self, stream: pacing.Stream, due: float) -> None:
        self._task.schedule(due, lambda: self._produce(stream, due))

    def _produce(self, stream: pacing.Stream, due: float) -> None:
        """Produces the next token of a stream and sends it."""
        if stream.done_at is not None:
            return
        # The role event comes together with the first token.
        stream.produced = max(2, stream.produced + 1)
        self._stats["events"] += 1
        if stream.crash_after is not None:
            if stream.tokens > stream.crash_after:
                self.crash()
                return
        if not self._hold(1):
            return
        if stream.tokens >= stream.output_tokens:
            self._complete(stream)
        for viewer in stream.viewers:
            self._task.flush(viewer)
        if stream.done_at is None:
            interval = self._slowdown() / self._settings.engine.tokens_per_s
            self._schedule(stream, due + interval)

    def _hold(self, tokens: int) -> bool:
        """Takes memory; false if the engine crashed for the lack of it."""
        self._held_tokens += tokens
        self._raise_peak("peak_held_tokens", self._held_tokens)
        if self._held_tokens <= self._settings.memory.capacity_tokens:
            return True
        self._stats["out_of_memory"] += 1
        self.crash()
        return False

    def _complete(self, stream: pacing.Stream) -> None:
        """Ends a stream and keeps it for a resume."""
        self._stats["completed"] += 1
        self._served.append(
            {
                "request": stream.request_id,
                "version": stream.version,
                "mark": pacing.make_digest(stream.prompt),
            }
        )
        self._completions += 1
        if self._completions >= self._settings.cold.warm_after:
            self._cold = False
        stream.produced = stream.total
        self._release(stream)
        due = time.monotonic() + self._settings.engine.retain_s
        self._task.schedule(due, lambda: self._forget(stream))

    def _forget(self, stream: pacing.Stream) -> None:
        if self._streams.get(stream.request_id) is stream:
            del self._streams[stream.request_id]

    def crash(self) -> None:
        """Breaks every connection and restarts cold, with nothing kept."""
        self._stats["crashes"] += 1
        self.close_all()
        self._queue.clear()
        self._running = 0
        self._held_tokens = 0
        self._completions = 0
        self._cold = True
        self._generation = time.time_ns()
        self._fence = 0
        self._cache.clear()
        self._reports.clear()
        self._on_crash()

    def close_all(self) -> None:
        """Breaks the connections of all streams."""
        for stream in self._streams.values():
            stream.done_at = time.monotonic()
            for viewer in stream.viewers:
                if not viewer.closed:
                    viewer.reset()
        self._streams.clear()

    def silence_all(self) -> None:
        """Stops sending on the open connections without closing them."""
        for stream in self._streams.values():
            for viewer in stream.viewers:
                viewer.silent = True

    def inject(self, fault: server.Fault) -> None:
        """Applies a fault that changes the state."""
        if fault.kind == "crash_on":
            self._crash_faults.append(fault)
        elif fault.kind == "out_of_memory":
            self.crash()
        elif fault.kind == "cold":
            self._cold = fault.value is not False
            self._completions = 0
        elif fault.kind == "ignore_fence":
            self._checks_fence = False

    def clear_faults(self) -> None:
        """Removes lasting faults; an engine that is cold stays cold."""
        self._crash_faults.clear()
        self._checks_fence = self._settings.orders.checks_fence

    def record_report(self) -> None:
        """Records the load now and again after each period."""
        now = time.monotonic()
        self._reports.append((now, self._make_report()))
        self._task.schedule(now + REPORT_PERIOD_S, self.record_report)

    def _make_report(self) -> dict[str, Any]:
        return {
            "generation": self._generation,
            "cold": self._cold,
            "bearable": self._settings.cold.bearable,
            "held_tokens": self._held_tokens,
            "capacity_tokens": self._settings.memory.capacity_tokens,
            "running": self._running,
            "queued": len(self._queue),
            "versions": sorted(self._versions),
            "role": self._role,
        }

    def get_report(self) -> dict[str, Any]:
        """Returns the newest report that is older than the lag."""
        now = time.monotonic()
        for at, report in reversed(self._reports):
            if now - at >= self._settings.reports.lag_s:
                return {**report, "age_s": now - at}
        if self._reports:
            at, report = self._reports[0]
            return {**report, "age_s": now - at}
        return {**self._make_report(), "age_s": 0.0}

    def list_events(self, after: int) -> dict[str, Any]:
        """Returns the published cache events."""
        page = self._cache.list_events(after, time.monotonic())
        return {**page, "generation": self._generation}

    def get_stats(self) -> dict[str, Any]:
        """Returns counters and the present state, without any lag."""
        return {
            **self._stats,
            **self._make_report(),
            "processor_s": time.process_time(),
        }

    def list_served(self) -> dict[str, Any]:
        """Returns the latest completed requests."""
        return {"served": list(self._served)}

    def take_order(self, order: dict[str, Any]) -> server.Reply:
        """Applies an order unless its fencing token is stale."""
        fence = int(order.get("fence") or 0)
        if self._checks_fence and fence < self._fence:
            self._stats["stale_orders"] += 1
            return server.refuse(409, "stale_fence", "The token is stale.")
        self._fence = max(self._fence, fence)
        self._stats["orders"] += 1
        action, version = order.get("action"), str(order.get("version") or "")
        if action == "load" and version:
            due = time.monotonic() + self._settings.orders.load_s
            self._task.schedule(due, lambda: self._versions.add(version))
        elif action == "unload" and version:
            self._versions.discard(version)
        elif action == "role":
            self._role = str(order.get("role", ""))
        else:
            self._stats["orders"] -= 1
            return server.refuse(400, "invalid_order", "Unknown action.")
        return server.Reply(200, {"fence": self._fence})

    def _raise_peak(self, name: str, value: int) -> None:
        self._stats[name] = max(self._stats[name], value)
