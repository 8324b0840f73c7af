"""Steps in the course of a request, and the failures that end it."""

import abc
import dataclasses
import enum

from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.model import failures

# Outcome of an attempt, or a request, whose answer reached the caller whole.
DELIVERED = "delivered"


@dataclasses.dataclass(frozen=True)
class Unavailable(failures.Failure):
    """No upstream can run the request now; it has not run."""

    code = "unavailable"
    status = 503


@dataclasses.dataclass(frozen=True)
class BadGateway(failures.Failure):
    """An attempt broke off; it may have run."""

    code = "upstream_broke"
    status = 502


@dataclasses.dataclass(frozen=True)
class TimedOut(failures.Failure):
    """The time for the request is over; it may have run."""

    code = "timed_out"
    status = 504


@dataclasses.dataclass(frozen=True)
class Send:
    """Sends the request to an upstream."""

    state: directory.UpstreamState
    model: str
    left_s: float
    reason: str


@dataclasses.dataclass(frozen=True)
class Wait:
    """Tries again after a moment."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class Reject:
    """Ends the request with a failure of our own."""

    failure: failures.Failure


Step = Send | Wait | Reject


class Verdict(enum.Enum):
    """What to do with the head of an answer."""

    DELIVER = "deliver"
    RETRY = "again"


class EndCause(enum.Enum):
    """Who ended an attempt."""

    UPSTREAM = "upstream"
    TIMEOUT = "patience"
    DEADLINE = "deadline"
    CASCADE = "cascade"
    CALLER = "caller"
    FAULT = "fault"


class AttemptObserver(abc.ABC):
    """Is told how an attempt goes on."""

    @abc.abstractmethod
    def record_event(self, now: float) -> None:
        """A part of the answer has arrived."""

    @abc.abstractmethod
    def record_end(self) -> None:
        """The attempt has ended; a second call changes nothing."""


@dataclasses.dataclass
class Attempt:
    """One attempt.

    Attributes:
        observer: Is told of its answer; `None` for nobody.
        response_accepted: Whether the head of its answer was accepted.
        sent_at: When it was sent.
        uncached_tokens: Prompt tokens that the upstream probably had to read.
        expected_s: Expected seconds until it begins to answer.
        last_byte_at: When its last byte arrived.
        backlog_s: Seconds for which it counts among what the upstream has to
            read; 0 once it answers.
        isolated_at: When a check last found that no upstream could be reached
            from here.
        keep_reason: Why it was not given up when its upstream was silent; empty
            if that was not asked.
        end_cause: Who ended it; `None` while it is open.
        ended_at: When it ended.
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

    def end(self, cause: EndCause, outcome: str, now: float) -> None:
        """Keeps who ended the attempt and how."""
        self.release_backlog()
        self.end_cause = cause
        self.ended_at = now
        self.outcome = outcome
        if self.observer is not None:
            self.observer.record_end()

    def record_event(self, now: float) -> None:
        """A part of its answer has arrived."""
        self.last_byte_at = now
        self.state.last_byte_at = now
        if self.observer is not None:
            self.observer.record_event(now)

    def end_by_upstream(self, outcome: str, now: float) -> None:
        """Its upstream has answered."""
        self.end(EndCause.UPSTREAM, outcome, now)

    def release_backlog(self) -> None:
        """Counts no longer among what the upstream has to read."""
        self.state.backlog_s -= self.backlog_s
        self.backlog_s = 0.0

    @property
    def silent_s(self) -> float:
        """Seconds between the last part of its answer and its end."""
        return max(0.0, self.ended_at - self.last_byte_at)
