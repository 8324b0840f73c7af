"""State of one model request from its admission to its final answer.

The router holds one `ActiveRequest` per request. The functions below build the
commands and usage records that depend on that state alone.
"""

import dataclasses

from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.requests import planning
from sycamorehollow.decisions.routing import admission
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests

# Attempts end a few times a second, so capacity is not checked more often.
CAPACITY_CHECK_INTERVAL_S = 0.1
NOT_STARTED_ENDS = (lifecycle.AttemptEnd.NOT_SENT, lifecycle.AttemptEnd.REFUSED)


@dataclasses.dataclass(frozen=True)
class ReplicateBill(commands.Command):
    """Replicates a bill, so that it survives the loss of this process.

    Attributes:
        urgent: Whether the end of the answer is held until it is replicated.
    """

    request_id: str
    bill: billing_messages.Bill
    urgent: bool = True


@dataclasses.dataclass(frozen=True)
class RetainedAnswer:
    """A complete but rejected answer, kept while a larger version runs."""

    version: str
    upstream: deployment.Upstream
    priced_version: deployment.Version
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass
class ActiveRequest:
    """A request without a final answer.

    Attributes:
        step_index: Index of the current step in the plan.
        running_version: Version of the current attempt; empty before it.
        attempt: Number of the current attempt; it only increases.
        run_count: Number of runs started; a resume continues a run.
        failed_upstreams: Upstreams on which an attempt failed.
        is_buffered: Whether the chunks of the attempt are held back.
        has_output: Whether the attempt has produced a chunk.
        unanswered_resumes: Consecutive resumes without a response.
        consecutive_losses: Consecutive connections that broke or could not be
            established.
        received_events: Events received from the run up to its last loss.
        is_resumed: Whether the current run has been resumed.
        in_flight: Whether an attempt is running.
        may_have_run: Whether an ended attempt may have been executed.
        started_at: Monotonic start time of the attempt in seconds.
        restart_at: When the next attempt starts, if one is scheduled.
        capacity_wait_until: When a retry stops waiting for capacity, if it
            waits.
        resume_at: When the run is resumed, if a resume is scheduled.
        resume_reason: Why the run is resumed, for the log.
        priced_version: Version of the attempt, with its prices at the start.
        rating_deadline: When the wait for a rating ends, if there is one.
        awaits_bill: Whether only the replication of the bill is pending.
        retained_answer: Last rejected answer, if the relay still holds it.
        awaits_stop: Whether the attempt was cancelled and its end is pending.
        fallback_reason: Why the retained answer is delivered, else empty.
        rejected_versions: Versions whose answers were rejected.
        unbilled_usage: Usage of rejected answers, an internal cost.
    """

    request: requests.ModelRequest
    plan: planning.Plan
    step_index: int = 0
    running_version: str = ""
    attempt: int = 0
    run_count: int = 0
    upstream: deployment.Upstream | None = None
    priced_version: deployment.Version | None = None
    failed_upstreams: frozenset[str] = frozenset()
    is_buffered: bool = False
    has_output: bool = False
    in_flight: bool = False
    may_have_run: bool = False
    unanswered_resumes: int = 0
    consecutive_losses: int = 0
    received_events: int = 0
    is_resumed: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    started_at: float = 0.0
    restart_at: float | None = None
    capacity_wait_until: float | None = None
    resume_at: float | None = None
    resume_reason: str = ""
    rating_deadline: float | None = None
    awaits_bill: bool = False
    retained_answer: RetainedAnswer | None = None
    awaits_stop: bool = False
    fallback_reason: str = ""
    rejected_versions: tuple[str, ...] = ()
    unbilled_usage: tuple[billing_messages.Usage, ...] = ()

    @property
    def version(self) -> str:
        """The version of the current attempt."""
        return self.running_version or self.plan.steps[self.step_index]

    @property
    def answer_id(self) -> str:
        """Identity of the current run and its answer, unchanged by a resume."""
        return f"{self.request.request_id}.{self.run_count}"

    @property
    def has_delivered(self) -> bool:
        """Whether a chunk may have reached the caller."""
        return self.has_output and not self.is_buffered and self.request.stream

    @property
    def can_deliver(self) -> bool:
        """Whether the relay may be delivering a chunk not reported yet."""
        running = self.in_flight and self.resume_at is None
        return running and not self.is_buffered and self.request.stream

    @property
    def has_next_step(self) -> bool:
        """Whether the plan has a step after the current one."""
        return self.step_index + 1 < len(self.plan.steps)

    def list_startable_versions(self) -> list[str]:
        """Returns the versions that may be started, in order of preference."""
        rest = self.plan.steps[self.step_index :]
        others = [v for v in self.plan.fallbacks if v not in rest]
        return [*rest, *others]

    def start_attempt(
        self,
        version: deployment.Version,
        upstream: deployment.Upstream,
        now: float,
    ) -> None:
        """Records the start of a new run on an upstream."""
        if version.name in self.plan.steps:
            self.step_index = self.plan.steps.index(version.name)
        self.running_version = version.name
        self.priced_version = version
        self.attempt += 1
        self.run_count += 1
        self.in_flight = True
        self.upstream = upstream
        self.capacity_wait_until = None
        self.has_output = False
        self.unanswered_resumes = 0
        self.consecutive_losses = 0
        self.received_events = 0
        self.is_resumed = False
        self.started_at = now
        self.is_buffered = self.plan.is_gated and self.has_next_step

    def wait_for_capacity(self, now: float) -> bool:
        """Schedules another capacity check; returns False once time is up."""
        if self.capacity_wait_until is None:
            left_s = self.request.deadline - now
            self.capacity_wait_until = now + admission.compute_max_wait_s(
                left_s
            )
        if now >= self.capacity_wait_until:
            return False
        self.restart_at = now + CAPACITY_CHECK_INTERVAL_S
        return True

    def end_attempt(self, end: lifecycle.AttemptEnd) -> None:
        """Records the failure of the current attempt."""
        self.in_flight = False
        self.may_have_run = self.may_have_run or end not in NOT_STARTED_ENDS

    def classify_execution(self) -> failures.Execution:
        """Returns whether any attempt may have been executed."""
        if (
            self.may_have_run
            or self.in_flight
            or self.rating_deadline is not None
        ):
            return failures.Execution.UNKNOWN
        return failures.Execution.NOT_STARTED

    def list_remaining_steps(self) -> list[str]:
        """Returns the versions that may follow a rejected answer."""
        return list(self.plan.steps[self.step_index + 1 :])

    def record_rejection(self) -> None:
        """Retains the rejected answer and counts it as internal cost."""
        assert self.priced_version is not None and self.upstream is not None
        usage = build_usage(
            self, self.priced_version, self.prompt_tokens, self.output_tokens
        )
        self.retained_answer = RetainedAnswer(
            self.version,
            self.upstream,
            self.priced_version,
            self.prompt_tokens,
            self.output_tokens,
        )
        self.rejected_versions += (self.version,)
        self.unbilled_usage += (usage,)
        self.failed_upstreams = frozenset()
        self.may_have_run = True

    def undo_rejection(self) -> None:
        """Reverts `record_rejection`, as the answer is delivered after all."""
        self.rejected_versions = self.rejected_versions[:-1]
        self.unbilled_usage = self.unbilled_usage[:-1]

    def fall_back(self, reason: str) -> bool:
        """Switches to the retained answer; returns False if there is none."""
        answer = self.retained_answer
        if answer is None or self.has_delivered:
            return False
        self.undo_rejection()
        self.in_flight = False
        self.restart_at = None
        self.resume_at = None
        self.running_version = answer.version
        self.upstream = answer.upstream
        self.priced_version = answer.priced_version
        self.prompt_tokens = answer.prompt_tokens
        self.output_tokens = answer.output_tokens
        self.fallback_reason = reason
        return True

    def describe_outcome(
        self, failed: bool, now: float
    ) -> planning.AttemptOutcome:
        """Returns the outcome of the current attempt."""
        return planning.AttemptOutcome(
            answer_id=self.answer_id,
            version=self.version,
            upstream=self.upstream.name if self.upstream is not None else "",
            rejected_versions=self.rejected_versions,
            failed=failed,
            duration_s=now - self.started_at,
            is_final=not self.is_buffered,
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
        buffer_chunks=active.is_buffered,
        copy_for_rating=active.plan.needs_rating,
        session=active.plan.session,
        resume_from=resume_from,
        retain_previous=active.retained_answer is not None,
        reason=f"{active.plan.reason}; {reason}",
    )


def build_cancel(
    active: ActiveRequest, reason: str, report: bool = False
) -> lifecycle.CancelAttempt:
    """Returns the command that cancels the current run at its upstream."""
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
    """Returns the command that requests a rating of an answer."""
    return lifecycle.RequestRating(
        active.request.request_id,
        active.answer_id,
        active.request.workspace,
        active.request.kind,
        active.version,
        active.request.prompt_head,
        answer,
    )


def build_usage(
    active: ActiveRequest,
    version: deployment.Version,
    prompt_tokens: int,
    output_tokens: int,
) -> billing_messages.Usage:
    """Returns a usage record; an unknown prompt length is estimated."""
    return billing_messages.Usage(
        version, prompt_tokens or active.request.prompt_tokens, output_tokens
    )


def build_bill(
    active: ActiveRequest, delivered: billing_messages.Usage
) -> billing_messages.Bill | None:
    """Returns the bill for a delivered answer, `None` if there is none."""
    request = active.request
    return billing_messages.make_bill(
        request.workspace,
        request.request_id,
        request.idempotency_key,
        delivered,
        active.unbilled_usage,
    )
