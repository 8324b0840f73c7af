"""Log lines and measures of what the gateway decides."""

import dataclasses
import os
import select
import sys
import time

import loguru
import prometheus_client

from sycamorehollow.decisions.forwarding import request_lifecycle
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Lines per second that are written at most; the others are counted.
MAX_LINES_PER_S = 150.0
MAX_BURST_LINES = 600.0
LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16)


class RateLimitedSink:
    """Writes lines to a descriptor; drops what it cannot take at once.

    Args:
        descriptor: Where the lines go.
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
    """Sends log lines to standard output."""
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
    """What the log says of one request.

    Attributes:
        started_at: Monotonic time of its arrival.
        configuration_version: Version of the configuration that decided.
        first_byte_s: Seconds to the first byte of the answer.
    """

    started_at: float
    request_id: str = ""
    route: str = ""
    service: str = ""
    workspace: forwarding.Workspace | None = None
    configuration_version: int = 0
    status: int = 0
    first_byte_s: float | None = None
    outcome: str = steps.DELIVERED

    def record_first_byte(self, now: float, status: int) -> None:
        """The first byte of the answer is written."""
        self.status = status
        self.first_byte_s = now - self.started_at


class Telemetry:
    """Writes one line for each request and each changed belief."""

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

    def log_error(self, subject: str, error: Exception) -> None:
        """An unexpected error ended one piece of work; the process goes on."""
        loguru.logger.opt(exception=error).error("fault in {}", subject)

    def record_request(
        self,
        record: RequestRecord,
        lifecycle: request_lifecycle.RequestLifecycle | None,
    ) -> None:
        """A request has ended."""
        total_s = time.monotonic() - record.started_at
        outcome = record.outcome.partition(":")[0]
        self._requests.labels(record.service, outcome).inc()
        self._response_s.labels(record.service).observe(total_s)
        tried = ""
        if lifecycle is not None:
            self._attempts.labels(record.service).inc(len(lifecycle.attempts))
            tried = "; ".join(
                f"{attempt.state.upstream.identity}"
                f"@{attempt.state.upstream.version}"
                f" {attempt.model} +{attempt.sent_at - record.started_at:.3f}"
                f" {_describe(attempt, record.started_at)}"
                for attempt in lifecycle.attempts
            )
        first = ""
        if record.first_byte_s is not None:
            self._first_byte_s.labels(record.service).observe(
                record.first_byte_s
            )
            first = f" first_s={record.first_byte_s:.3f}"
        owner = record.workspace.name if record.workspace else ""
        loguru.logger.info(
            "request={} route={} workspace={} config={} service={} status={}"
            "{} total_s={:.3f} outcome={!r} attempts=[{}]",
            record.request_id,
            record.route,
            owner,
            record.configuration_version,
            record.service,
            record.status,
            first,
            total_s,
            record.outcome,
            tried,
        )

    def record_invalid_request(self, status: int) -> None:
        """Bytes of a caller were no request."""
        self._requests.labels("", "unreadable").inc()
        loguru.logger.info("unreadable request, status={}", status)

    def record_state_change(
        self, subject: str, outcome: str, source: str
    ) -> None:
        """A belief has changed.

        Args:
            subject: What it is about.
            outcome: What is believed now.
            source: Where the news came from, with its revision or age.
        """
        self._state_changes.labels(subject.partition("=")[0]).inc()
        loguru.logger.info("{} {} source={}", subject, outcome, source)

    def log_event(self, text: str, *values: object) -> None:
        """The process starts, stops, reloads, loses or regains something."""
        loguru.logger.info(text, *values)

    def render_metrics(self) -> bytes:
        """Returns the measures as text."""
        return prometheus_client.generate_latest(self.registry)


def _describe(attempt: steps.Attempt, started: float) -> str:
    """Returns how an attempt ended; for one that was cut short, who did it."""
    text = attempt.outcome
    if attempt.end_cause is not None and text != steps.DELIVERED:
        text += (
            f" ({attempt.end_cause.value} +{attempt.ended_at - started:.3f}"
            f" silent_s={attempt.silent_s:.3f})"
        )
    if attempt.keep_reason:
        text += f", kept: {attempt.keep_reason}"
    if attempt.isolated_at < attempt.sent_at:
        return text
    cut_off_s = attempt.isolated_at - attempt.sent_at
    return f"{text}, no upstream reachable at +{cut_off_s:.3f}"
