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
class UpstreamBroke(failures.Failure):
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

    state: directory.State
    model: str
    left_s: float
    reason: str


@dataclasses.dataclass(frozen=True)
class Wait:
    """Tries again after a moment."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Ends the request with a failure of our own."""

    failure: failures.Failure


Step = Send | Wait | Refuse


class Verdict(enum.Enum):
    """What to do with the head of an answer."""

    DELIVER = "deliver"
    AGAIN = "again"


class Ender(enum.Enum):
    """Who ended an attempt."""

    UPSTREAM = "upstream"
    PATIENCE = "patience"
    DEADLINE = "deadline"
    CASCADE = "cascade"
    CALLER = "caller"
    FAULT = "fault"


class Observer(abc.ABC):
    """Is told how an attempt goes on."""

    @abc.abstractmethod
    def note_event(self, now: float) -> None:
        """A part of the answer has arrived."""

    @abc.abstractmethod
    def note_end(self) -> None:
        """The attempt has ended; a second call changes nothing."""


@dataclasses.dataclass
class Attempt:
    """One attempt.

    Attributes:
        observer: Is told of its answer; `None` for nobody.
        answered: Whether the head of its answer was accepted.
        sent_at: When it was sent.
        missing: Prompt tokens that the upstream probably had to read.
        expected_s: Expected seconds until it begins to answer.
        heard_at: When its last byte arrived.
        reading_s: Seconds for which it counts among what the upstream has to
            read; 0 once it answers.
        cut_off_at: When a check last found that no upstream could be reached
            from here.
        kept_for: Why it was not given up when its upstream was silent; empty
            if that was not asked.
        ended_by: Who ended it; `None` while it is open.
        ended_at: When it ended.
    """

    state: directory.State
    model: str
    sent_at: float
    missing: int
    expected_s: float
    heard_at: float
    reading_s: float
    observer: Observer | None = None
    answered: bool = False
    outcome: str = "open"
    cut_off_at: float = float("-inf")
    kept_for: str = ""
    ended_by: Ender | None = None
    ended_at: float = float("-inf")

    def end(self, ender: Ender, outcome: str, now: float) -> None:
        """Keeps who ended the attempt and how."""
        self.end_reading()
        self.ended_by = ender
        self.ended_at = now
        self.outcome = outcome
        if self.observer is not None:
            self.observer.note_end()

    def note_event(self, now: float) -> None:
        """A part of its answer has arrived."""
        self.heard_at = now
        self.state.heard_at = now
        if self.observer is not None:
            self.observer.note_event(now)

    def end_answered(self, outcome: str, now: float) -> None:
        """Its upstream has answered."""
        self.end(Ender.UPSTREAM, outcome, now)

    def end_reading(self) -> None:
        """Counts no longer among what the upstream has to read."""
        self.state.reading_s -= self.reading_s
        self.reading_s = 0.0

    @property
    def silent_s(self) -> float:
        """Seconds between the last part of its answer and its end."""
        return max(0.0, self.ended_at - self.heard_at)
