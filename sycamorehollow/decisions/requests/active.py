"""State of one request while it is served."""

import dataclasses

from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.requests import planning
from sycamorehollow.decisions.routing import admission
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests

# Time in seconds between two looks for room; attempts end a few times a second.
ROOM_CHECK_S = 0.1
NOT_RUN = (lifecycle.AttemptEnd.NOT_SENT, lifecycle.AttemptEnd.REFUSED)


@dataclasses.dataclass(frozen=True)
class SecureBill(commands.Command):
    """Make a bill survive the loss of this process.

    Attributes:
        urgent: Whether the end of an answer waits for it.
    """

    request_id: str
    bill: billing_messages.Bill
    urgent: bool = True


@dataclasses.dataclass(frozen=True)
class RetainedAnswer:
    """A rejected answer, whole, while a larger version runs."""

    version: str
    upstream: deployment.Upstream
    priced: deployment.Version
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass
class ActiveRequest:
    """One request that has not had its final answer.

    Attributes:
        step: Index of the current step in the plan.
        running: Version of the current attempt; empty before the first.
        attempt: Number of the current attempt; numbers only grow.
        runs: Attempts that were no resumes.
        tried: Upstreams on which an attempt failed.
        held: Whether the chunks of the attempt are kept back.
        produced: Whether the attempt gave a chunk.
        resumes: Resumes in a row that no upstream answered.
        losses: Connections in a row that broke or were not made.
        received: Events that the run has given up to its last loss.
        resumed: Whether the current run was resumed.
        in_flight: Whether an attempt is under way.
        ran: Whether an attempt that has ended may have run.
        started_at: Monotonic time in seconds of the start of the attempt.
        restart_at: When the next attempt starts, if one waits.
        room_until: Until when a retry waits for room, if it does.
        resume_at: When the run is resumed, if that waits.
        resume_reason: Why it is resumed, for the log.
        priced: The version of the attempt, at the price when it started.
        rating_deadline: Until when a gate waits for a rating, if one waits.
        finishing: Whether the answer waits only for its bill.
        retained: The last rejected answer, if the relay still has it.
        stopping: Whether the attempt was stopped and its end is awaited.
        fallback: Why the retained answer is the one to deliver, else empty.
        rejected: Versions whose answers were rejected.
        discarded: Usage that is not billed.
    """

    request: requests.ModelRequest
    plan: planning.Plan
    step: int = 0
    running: str = ""
    attempt: int = 0
    runs: int = 0
    upstream: deployment.Upstream | None = None
    priced: deployment.Version | None = None
    tried: frozenset[str] = frozenset()
    held: bool = False
    produced: bool = False
    in_flight: bool = False
    ran: bool = False
    resumes: int = 0
    losses: int = 0
    received: int = 0
    resumed: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    started_at: float = 0.0
    restart_at: float | None = None
    room_until: float | None = None
    resume_at: float | None = None
    resume_reason: str = ""
    rating_deadline: float | None = None
    finishing: bool = False
    retained: RetainedAnswer | None = None
    stopping: bool = False
    fallback: str = ""
    rejected: tuple[str, ...] = ()
    discarded: tuple[billing_messages.Usage, ...] = ()

    @property
    def version(self) -> str:
        """The version of the current attempt."""
        return self.running or self.plan.steps[self.step]

    @property
    def answer_id(self) -> str:
        """Identity of the current run and its answer; a resume keeps it."""
        return f"{self.request.request_id}.{self.runs}"

    @property
    def delivered(self) -> bool:
        """Whether a chunk may have reached the caller."""
        return self.produced and not self.held and self.request.stream

    @property
    def may_deliver(self) -> bool:
        """Whether the relay may hand on a chunk that is not reported yet."""
        running = self.in_flight and self.resume_at is None
        return running and not self.held and self.request.stream

    @property
    def has_next_step(self) -> bool:
        """Whether the plan has another step after the current one."""
        return self.step + 1 < len(self.plan.steps)

    def list_choices(self) -> list[str]:
        """Returns the versions to start now, in the order of preference."""
        rest = self.plan.steps[self.step :]
        others = [v for v in self.plan.fallbacks if v not in rest]
        return [*rest, *others]

    def begin(
        self,
        version: deployment.Version,
        upstream: deployment.Upstream,
        now: float,
    ) -> None:
        """Starts another attempt."""
        if version.name in self.plan.steps:
            self.step = self.plan.steps.index(version.name)
        self.running = version.name
        self.priced = version
        self.attempt += 1
        self.runs += 1
        self.in_flight = True
        self.upstream = upstream
        self.room_until = None
        self.produced = False
        self.resumes = 0
        self.losses = 0
        self.received = 0
        self.resumed = False
        self.started_at = now
        self.held = self.plan.gated and self.has_next_step

    def wait_for_room(self, now: float) -> bool:
        """Lets a retry wait for room; tells whether it may wait on."""
        if self.room_until is None:
            left_s = self.request.deadline - now
            self.room_until = now + admission.compute_max_wait_s(left_s)
        if now >= self.room_until:
            return False
        self.restart_at = now + ROOM_CHECK_S
        return True

    def end_attempt(self, end: lifecycle.AttemptEnd) -> None:
        """Takes note of a failed attempt."""
        self.in_flight = False
        self.ran = self.ran or end not in NOT_RUN

    def describe_run(self) -> failures.Execution:
        """Returns whether any attempt may have run."""
        if self.ran or self.in_flight or self.rating_deadline is not None:
            return failures.Execution.UNKNOWN
        return failures.Execution.NOT_STARTED

    def list_later(self) -> list[str]:
        """Returns the versions that may follow a rejected answer."""
        return list(self.plan.steps[self.step + 1 :])

    def note_rejection(self) -> None:
        """Counts the answer of the current attempt as internal cost."""
        assert self.priced is not None and self.upstream is not None
        usage = measure_usage(
            self, self.priced, self.prompt_tokens, self.output_tokens
        )
        self.retained = RetainedAnswer(
            self.version,
            self.upstream,
            self.priced,
            self.prompt_tokens,
            self.output_tokens,
        )
        self.rejected += (self.version,)
        self.discarded += (usage,)
        self.tried = frozenset()
        self.ran = True

    def withdraw_rejection(self) -> None:
        """Takes the rejected answer as the one to deliver after all."""
        self.rejected = self.rejected[:-1]
        self.discarded = self.discarded[:-1]

    def fall_back(self, why: str) -> bool:
        """Takes the retained answer as the one to deliver, if there is one."""
        answer = self.retained
        if answer is None or self.delivered:
            return False
        self.withdraw_rejection()
        self.in_flight = False
        self.restart_at = None
        self.resume_at = None
        self.running = answer.version
        self.upstream = answer.upstream
        self.priced = answer.priced
        self.prompt_tokens = answer.prompt_tokens
        self.output_tokens = answer.output_tokens
        self.fallback = why
        return True

    def describe_outcome(
        self, failed: bool, now: float
    ) -> planning.AttemptOutcome:
        """Returns how the current attempt ended."""
        return planning.AttemptOutcome(
            answer_id=self.answer_id,
            version=self.version,
            upstream=self.upstream.name if self.upstream is not None else "",
            rejected=self.rejected,
            failed=failed,
            duration_s=now - self.started_at,
            final=not self.held,
        )


def build_start(
    active: ActiveRequest, reason: str, resume_from: int | None = None
) -> lifecycle.StartAttempt:
    """Returns the command that starts or resumes the current run."""
    assert active.upstream is not None
    return lifecycle.StartAttempt(
        request_id=active.request.request_id,
        workspace=active.request.workspace,
        attempt=active.attempt,
        run_id=active.answer_id,
        upstream=active.upstream.name,
        url=active.upstream.url,
        version=active.version,
        priority=active.plan.priority,
        deadline=active.request.deadline,
        hold=active.held,
        keep=active.plan.rated,
        session=active.plan.session,
        resume_from=resume_from,
        retain=active.retained is not None,
        reason=f"{active.plan.reason}; {reason}",
    )


def build_cancel(
    active: ActiveRequest, reason: str, report: bool = False
) -> lifecycle.CancelAttempt:
    """Returns the command that cancels the current run."""
    assert active.upstream is not None
    return lifecycle.CancelAttempt(
        active.request.request_id,
        active.attempt,
        active.answer_id,
        active.upstream.url,
        reason,
        report,
    )


def build_rating_request(
    active: ActiveRequest, answer: bytes
) -> lifecycle.RequestRating:
    """Returns the command that asks for the rating of an answer."""
    return lifecycle.RequestRating(
        active.request.request_id,
        active.answer_id,
        active.request.workspace,
        active.request.kind,
        active.version,
        active.request.prompt_head,
        answer,
    )


def measure_usage(
    active: ActiveRequest,
    version: deployment.Version,
    prompt_tokens: int,
    output_tokens: int,
) -> billing_messages.Usage:
    """Returns the usage of the current attempt."""
    return billing_messages.Usage(
        version, prompt_tokens or active.request.prompt_tokens, output_tokens
    )


def build_bill(
    active: ActiveRequest, delivered: billing_messages.Usage
) -> billing_messages.Bill | None:
    """Returns the bill for the delivered answer of a request."""
    request = active.request
    return billing_messages.make_bill(
        request.workspace,
        request.request_id,
        request.idempotency_key,
        delivered,
        active.discarded,
    )
