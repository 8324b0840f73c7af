"""Log lines and metrics of the gateway."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import os
import select
import sys
import time

import loguru
import prometheus_client

from sycamorehollow.decisions.forwarding import part_guard
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import request_lifecycle
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Sustained rate of log lines; further lines are dropped and counted.
MAX_LINES_PER_S = 150.0
MAX_BURST_LINES = 600.0
LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16)

NOT_WANTED = (placement.LIMITED, placement.PAUSED)


class RateLimitedSink:
    """Writes lines to a file descriptor without blocking.

    Drops lines above the rate limit and while the descriptor is not writable.

    Args:
        descriptor: File descriptor that receives the lines.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._tokens = MAX_BURST_LINES
        self._filled_at = time.monotonic()
        self._dropped = 0

    def write(self, message: str) -> None:
        """Writes one line, or counts it as dropped."""
        now = time.monotonic()
        self._tokens = min(
            MAX_BURST_LINES,
            self._tokens + (now - self._filled_at) * MAX_LINES_PER_S,
        )
        self._filled_at = now
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        if self._tokens < 1 or not writable:
            self._dropped += 1
            return
        self._tokens -= 1
        if self._dropped:
            message = f"dropped_lines={self._dropped}\n{message}"
            self._dropped = 0
        os.write(self._descriptor, message.encode("utf-8", "replace"))


def configure_logging(node: str) -> None:
    """Configures logging to standard output."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": node})
    loguru.logger.add(
        RateLimitedSink(sys.stdout.fileno()).write,
        level="INFO",
        format="{time:HH:mm:ss.SSS} {level} node={extra[node]} {message}",
        backtrace=False,
    )


@dataclasses.dataclass
class RequestRecord:
    """Data for the log line and the metrics of one request.

    Attributes:
        started_at: Monotonic time of its arrival.
        configuration_version: Version of the configuration that was applied.
        state_age_s: Seconds since the state was last known to include all
            changes of the store.
        first_byte_s: Seconds to the first byte of the response.
        count_start: Counts a request of a workspace that has begun to run;
            `None` after it has counted this one.
    """

    started_at: float
    request_id: str = ""
    route: str = ""
    service: str = ""
    workspace: forwarding.Workspace | None = None
    configuration_version: int = 0
    state_age_s: float = 0.0
    status: int = 0
    first_byte_s: float | None = None
    outcome: str = steps.DELIVERED
    count_start: Callable[[str], None] | None = None

    def record_start(self, status: int, node: str) -> None:
        """Counts the request if this node has seen it begin to run.

        Args:
            status: Status of the response.
            node: Node that it came through, which counts it; empty for none.
        """
        count, self.count_start = self.count_start, None
        if count is None or self.workspace is None or node or status >= 500:
            return
        count(self.workspace.name)

    def record_first_byte(self, now: float, status: int) -> None:
        """Records the first byte of the response."""
        self.status = status
        self.first_byte_s = now - self.started_at


class Telemetry:
    """Writes a log line for each request and state change, and counts them."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "sycamore_requests",
            "Requests by outcome",
            ["service", "outcome"],
            registry=self.registry,
        )
        self._attempts = prometheus_client.Counter(
            "sycamore_attempts",
            "Attempts at upstreams",
            ["service"],
            registry=self.registry,
        )
        self._first_byte_s = prometheus_client.Histogram(
            "sycamore_first_byte_seconds",
            "Time to the first byte of an answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._response_s = prometheus_client.Histogram(
            "sycamore_answer_seconds",
            "Time to the end of an answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._state_changes = prometheus_client.Counter(
            "sycamore_changes",
            "Changed beliefs",
            ["subject"],
            registry=self.registry,
        )
        self._permits = prometheus_client.Counter(
            "sycamore_permits",
            "Permits for limited upstreams that nodes lend to each other",
            ["outcome"],
            registry=self.registry,
        )
        self._limited_requests = prometheus_client.Counter(
            "sycamore_limited_requests",
            "Attempts and rejections that limits and pauses concern",
            ["service", "outcome"],
            registry=self.registry,
        )
        self._limited_upstreams = prometheus_client.Gauge(
            "sycamore_limited_upstreams",
            "Upstreams that state a request limit",
            registry=self.registry,
        )
        self._state_age_s = prometheus_client.Gauge(
            "sycamore_state_age_seconds",
            "Time since the state was last known to include all changes",
            registry=self.registry,
        )
        self._end_checks = prometheus_client.Counter(
            "sycamore_end_checks",
            "Checks of upstreams that closed the connection of a response",
            ["service", "outcome"],
            registry=self.registry,
        )
        self._choices = prometheus_client.Counter(
            "sycamore_choices",
            "Choices among engines by rule",
            ["service", "rule"],
            registry=self.registry,
        )
        self._widened_choices = prometheus_client.Counter(
            "sycamore_widened_choices",
            "Choices that considered more upstreams than usual",
            ["service"],
            registry=self.registry,
        )
        self._blamed_parts = prometheus_client.Gauge(
            "sycamore_blamed_parts",
            "Prompt parts that are blamed for crashes of upstreams",
            ["level"],
            registry=self.registry,
        )
        self._blamed_requests = prometheus_client.Counter(
            "sycamore_blamed_requests",
            "Attempts and rejections of requests with a blamed prompt part",
            ["service", "outcome"],
            registry=self.registry,
        )

        self._held_bytes = prometheus_client.Gauge(
            "sycamore_held_bytes",
            "Memory counted for the requests of callers",
            ["kind"],
            registry=self.registry,
        )
        self._memory_waits = prometheus_client.Counter(
            "sycamore_memory_waits",
            "Bodies that waited for memory",
            registry=self.registry,
        )
        self._memory_refusals = prometheus_client.Counter(
            "sycamore_memory_refusals",
            "Requests refused and connections closed by the limits on memory",
            ["reason"],
            registry=self.registry,
        )
        self._get_held: Callable[[], Mapping[str, int]] = dict

    def watch_memory(self, get_held: Callable[[], Mapping[str, int]]) -> None:
        """Sets the source of the held bytes by kind."""
        self._get_held = get_held

    def count_memory_wait(self) -> None:
        """Counts a body that waits for memory."""
        self._memory_waits.inc()

    def count_memory_refusal(self, reason: str) -> None:
        """Counts a request or connection that the memory limits end."""
        self._memory_refusals.labels(reason).inc()

    def set_blamed_parts(self, counts: Mapping[str, int]) -> None:
        """Sets the number of blamed prompt parts by level."""
        for level, count in counts.items():
            self._blamed_parts.labels(level).set(count)

    def count_end_check(self, service: str, outcome: str) -> None:
        """Counts a check of an upstream after the end of a response."""
        self._end_checks.labels(service, outcome).inc()

    def count_permit(self, outcome: str) -> None:
        """Counts a permit for a limited upstream by what became of it."""
        self._permits.labels(outcome).inc()

    def log_error(self, subject: str, error: Exception) -> None:
        """Logs an unexpected error that does not end the process."""
        loguru.logger.opt(exception=error).error("error in {}", subject)

    def record_request(
        self,
        record: RequestRecord,
        lifecycle: request_lifecycle.RequestLifecycle | None,
    ) -> None:
        """Records a finished request with its attempts."""
        total_s = time.monotonic() - record.started_at
        outcome = record.outcome.partition(":")[0]
        self._requests.labels(record.service, outcome).inc()
        self._response_s.labels(record.service).observe(total_s)
        attempts = ""
        if lifecycle is not None:
            self._attempts.labels(record.service).inc(len(lifecycle.attempts))
            attempts = "; ".join(
                f"{attempt.state.upstream.identity}"
                f"@{attempt.state.upstream.version}"
                f" {attempt.model} +{attempt.sent_at - record.started_at:.3f}"
                f" {_describe(attempt, record.started_at)}"
                for attempt in lifecycle.attempts
            )
            self._count_limited(record, lifecycle)
            self._count_blamed(record, lifecycle)
            self._count_choices(record, lifecycle)
        first_byte = ""
        if record.first_byte_s is not None:
            self._first_byte_s.labels(record.service).observe(
                record.first_byte_s
            )
            first_byte = f" first_s={record.first_byte_s:.3f}"
        workspace = record.workspace.name if record.workspace else ""
        loguru.logger.info(
            "request={} route={} workspace={} config={} age_s={:.1f} service={}"
            " status={}{} total_s={:.3f} outcome={!r} attempts=[{}]",
            record.request_id,
            record.route,
            workspace,
            record.configuration_version,
            record.state_age_s,
            record.service,
            record.status,
            first_byte,
            total_s,
            record.outcome,
            attempts,
        )

    def _count_limited(
        self,
        record: RequestRecord,
        lifecycle: request_lifecycle.RequestLifecycle,
    ) -> None:
        """Counts what limits of upstreams did to a request."""
        for attempt in lifecycle.attempts:
            if attempt.is_limited:
                self._limited_requests.labels(record.service, "sent").inc()
            elif attempt.passed_over:
                self._limited_requests.labels(record.service, "moved").inc()
        if any(r in record.outcome for r in NOT_WANTED):
            self._limited_requests.labels(record.service, "rejected").inc()

    def _count_blamed(
        self,
        record: RequestRecord,
        lifecycle: request_lifecycle.RequestLifecycle,
    ) -> None:
        """Counts what suspicion of its prompt did to a request."""
        isolated = sum(attempt.is_isolated for attempt in lifecycle.attempts)
        if isolated:
            self._blamed_requests.labels(record.service, "isolated").inc(
                isolated
            )
        if placement.ISOLATED in record.outcome:
            self._blamed_requests.labels(record.service, "held").inc()
        if part_guard.HAS_CRASHED in record.outcome:
            self._blamed_requests.labels(record.service, "rejected").inc()

    def _count_choices(
        self,
        record: RequestRecord,
        lifecycle: request_lifecycle.RequestLifecycle,
    ) -> None:
        """Counts the rules by which upstreams were chosen."""
        for attempt in lifecycle.attempts:
            if not attempt.rule:
                continue
            self._choices.labels(record.service, attempt.rule).inc()
            if attempt.is_widened:
                self._widened_choices.labels(record.service).inc()

    def record_invalid_request(self, status: int) -> None:
        """Records bytes that were not a valid request."""
        self._requests.labels("", "unreadable").inc()
        loguru.logger.info("invalid request, status={}", status)

    def record_state_change(
        self, subject: str, outcome: str, source: str
    ) -> None:
        """Records a change of the node's state.

        Args:
            subject: The object that changed, such as `upstream=a`.
            outcome: Its new state.
            source: Source of the update, with its revision or age.
        """
        self._state_changes.labels(subject.partition("=")[0]).inc()
        loguru.logger.info("{} {} source={}", subject, outcome, source)

    def set_state_age(self, age_s: float) -> None:
        """Sets the age of the node's copy of the store in seconds."""
        self._state_age_s.set(age_s)

    def set_limited_upstreams(self, count: int) -> None:
        """Sets the number of upstreams that state a request limit."""
        self._limited_upstreams.set(count)

    def log_event(self, text: str, *values: object) -> None:
        """Logs an event of the process, such as its start or a reload."""
        loguru.logger.info(text, *values)

    def render_metrics(self) -> bytes:
        """Returns the metrics in the text format of Prometheus."""
        for kind, size in self._get_held().items():
            self._held_bytes.labels(kind).set(size)
        return prometheus_client.generate_latest(self.registry)


def _describe(attempt: steps.Attempt, started_at: float) -> str:
    """Returns the outcome of an attempt and, if it was cut short, the cause."""
    text = attempt.outcome
    if attempt.end_cause is not None and text != steps.DELIVERED:
        text += (
            f" ({attempt.end_cause.value} +{attempt.ended_at - started_at:.3f}"
            f" silent_s={attempt.silent_s:.3f})"
        )
    if attempt.end_note:
        text += f", {attempt.end_note}"
    if attempt.keep_reason:
        text += f", kept: {attempt.keep_reason}"
    if attempt.rule:
        text += f", chosen: {attempt.choice}"
    if attempt.is_widened:
        text += ", widened"
    if attempt.is_limited:
        text += ", its upstream is limited"
    if attempt.is_isolated:
        text += ", isolated"
    if attempt.passed_over:
        text += f", {attempt.passed_over} passed over"
    if attempt.isolated_at < attempt.sent_at:
        return text
    isolated_s = attempt.isolated_at - attempt.sent_at
    return f"{text}, no upstream reachable at +{isolated_s:.3f}"
