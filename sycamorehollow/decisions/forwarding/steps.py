"""Steps of a request, its attempts and the failures that end it."""

import abc
import dataclasses
import enum

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import prefill_budget
from sycamorehollow.model import failures

# Outcome of an attempt or request whose response was delivered completely.
DELIVERED = "delivered"


@dataclasses.dataclass(frozen=True)
class Unavailable(failures.Failure):
    """No upstream is available; the request has not run."""

    code = "unavailable"
    status = 503


@dataclasses.dataclass(frozen=True)
class BadGateway(failures.Failure):
    """The connection to an upstream broke; the request may have run."""

    code = "upstream_broke"
    status = 502


@dataclasses.dataclass(frozen=True)
class TimedOut(failures.Failure):
    """The deadline of the request has passed; it may have run."""

    code = "timed_out"
    status = 504


@dataclasses.dataclass(frozen=True)
class Send:
    """Step: send the request to an upstream."""

    state: directory.UpstreamState
    model: str
    left_s: float
    reason: str


@dataclasses.dataclass(frozen=True)
class SendThrough(Send):
    """Step: send the request through another node.

    Attributes:
        node: Name of the node.
        attempts: Attempts that may have run before.
    """

    node: str
    attempts: int


@dataclasses.dataclass(frozen=True)
class Wait:
    """Step: ask for the next step again after a delay."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class Reject:
    """Step: end the request with a failure of the gateway."""

    failure: failures.Failure


Step = Send | Wait | Reject


class Verdict(enum.Enum):
    """What to do with a response after its head has arrived."""

    DELIVER = "deliver"
    RETRY = "again"


class EndCause(enum.Enum):
    """What ended an attempt."""

    UPSTREAM = "upstream"
    TIMEOUT = "patience"
    DEADLINE = "deadline"
    CASCADE = "cascade"
    CALLER = "caller"
    FAULT = "fault"
    QUARANTINE = "quarantine"


class AttemptObserver(abc.ABC):
    """Observer of the progress of an attempt."""

    @abc.abstractmethod
    def record_event(self, now: float) -> None:
        """Records the arrival of a part of the response."""

    @abc.abstractmethod
    def record_end(self) -> None:
        """Records the end of the attempt; idempotent."""


@dataclasses.dataclass
class Attempt:
    """One attempt to run a request at an upstream.

    Attributes:
        observer: Observer of its progress, or `None`.
        response_accepted: Whether the head of its response was accepted.
        sent_at: When it was sent.
        uncached_tokens: Estimated prompt tokens missing from the upstream's
            prefix cache.
        expected_s: Expected time to the first byte, with the backlog.
        last_byte_at: When its last byte arrived, or when it was sent.
        backlog_s: Its part of the upstream's backlog; 0 once it has a
            response.
        isolated_at: When a probe last found this node isolated.
        keep_reason: Why it was kept when it timed out; empty if it did not.
        end_cause: What ended it; `None` while it is open.
        ended_at: When it ended.
        passed_over: Number of upstreams that a limit or a pause excluded.
        is_limited: Whether its upstream limits its requests.
        is_isolated: Whether a part of its prompt is suspected of crashes.
        has_event: Whether a part of its response's body has arrived.
        end_note: How a response ended that had neither a length nor chunks;
            empty for others.
        node: Name of the node that it was sent through; empty for an attempt
            at an upstream.
        checked_at: When that node was last asked for a sign of life.
        is_node_silent: Whether it gave none.
        rule: Rule by which its upstream was chosen; empty for the lowest cost.
        choice: Description of that choice, for the log.
        is_widened: Whether more upstreams than usual were considered.
        prompt: Its part of the upstream's outstanding prefill; `None` if that
            is not tracked.
    """

    state: directory.UpstreamState
    model: str
    sent_at: float
    uncached_tokens: int
    expected_s: float
    last_byte_at: float
    backlog_s: float
    observer: AttemptObserver | None = None
    response_accepted: bool = False
    outcome: str = "open"
    isolated_at: float = float("-inf")
    keep_reason: str = ""
    end_cause: EndCause | None = None
    ended_at: float = float("-inf")
    passed_over: int = 0
    is_limited: bool = False
    is_isolated: bool = False
    has_event: bool = False
    end_note: str = ""
    node: str = ""
    checked_at: float = float("-inf")
    is_node_silent: bool = False
    rule: str = ""
    choice: str = ""
    is_widened: bool = False
    prompt: prefill_budget.Prompt | None = None

    def end(self, cause: EndCause, outcome: str, now: float) -> None:
        """Ends the attempt and records the cause and outcome."""
        self.release_backlog()
        if self.prompt is not None:
            self.prompt.record_end()
        self.end_cause = cause
        self.ended_at = now
        self.outcome = outcome
        if self.observer is not None:
            self.observer.record_end()

    def record_event(self, now: float) -> None:
        """Records the arrival of a part of the response."""
        self.last_byte_at = now
        self.state.last_byte_at = now
        if self.prompt is not None:
            self.prompt.record_first_event()
        if self.observer is not None:
            self.observer.record_event(now)

    def end_by_upstream(self, outcome: str, now: float) -> None:
        """Ends the attempt because its upstream has responded."""
        self.end(EndCause.UPSTREAM, outcome, now)

    def release_backlog(self) -> None:
        """Removes the attempt from the backlog of its upstream."""
        self.state.backlog_s -= self.backlog_s
        self.backlog_s = 0.0

    @property
    def silent_s(self) -> float:
        """Seconds from its last byte to its end."""
        return max(0.0, self.ended_at - self.last_byte_at)
