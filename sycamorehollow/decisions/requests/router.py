"""Router of the entry process: arrival, admission and end of model requests.

Admitted requests are started by the base class, which runs their attempts.
"""

from collections.abc import Callable

from sycamorehollow.decisions import components
from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.requests import active_requests
from sycamorehollow.decisions.requests import attempt_runner
from sycamorehollow.decisions.requests import planning
from sycamorehollow.decisions.requests import recovery as recoveries
from sycamorehollow.decisions.routing import admission
from sycamorehollow.decisions.routing import placement as placements
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests

RETRY_AFTER_CONFIGURATION_S = 1.0


class Router(attempt_runner.AttemptRunner, components.Component):
    """Serves model requests from their arrival to their final answer.

    Args:
        planner: Chooses versions.
        placement: Chooses upstreams.
        recovery: Chooses the step after a failed attempt.
        admission_control: Admits requests to a saturated node.
        check_billing_backlog: Returns a failure if too many bills are
            pending for new work, else `None`.
    """

    def __init__(
        self,
        planner: planning.Planner,
        placement: placements.Placement,
        recovery: recoveries.Recovery,
        admission_control: admission.Admission,
        check_billing_backlog: Callable[[], failures.Failure | None],
    ):
        super().__init__(planner, placement, recovery, admission_control)
        self._check_billing_backlog = check_billing_backlog
        self._admitting = True
        self._handlers: dict[type, Callable] = {
            lifecycle.DeploymentChanged: self._apply_deployment,
            lifecycle.AdmissionStopped: self._stop_admission,
            lifecycle.RequestArrived: self._admit,
            lifecycle.CallerDisconnected: self._handle_disconnect,
            lifecycle.FailureSent: self._bill_truncated,
            lifecycle.FirstChunkArrived: self._record_first_chunk,
            lifecycle.AttemptCompleted: self._complete,
            lifecycle.AttemptFailed: self._recover,
            lifecycle.AnswerRated: self._handle_rating,
            billing_messages.ReleaseResponse: self._release_answer,
            admission.CapacityChanged: self._change_capacity,
            events.Tick: self._expire,
        }

    @property
    def active_count(self) -> int:
        """Number of requests without a final answer."""
        return len(self._active) + len(self._settlement)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for admission."""
        return self._admission.count_waiting()

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        handler = self._handlers.get(type(event))
        if handler is None:
            return []
        result = handler(event, now)
        result = [*result, *self._start_admitted(now)]
        return [*result, *self._placement.take_commands()]

    def _release_answer(
        self, event: billing_messages.ReleaseResponse, now: float
    ) -> list[commands.Command]:
        return self.release(event.token, now)

    def _apply_deployment(
        self, event: lifecycle.DeploymentChanged, now: float
    ) -> list[commands.Command]:
        self._deployment = event.current
        return []

    def _change_capacity(
        self, event: admission.CapacityChanged, now: float
    ) -> list[commands.Command]:
        self._queue_admission_results(self._admission.handle(event, now))
        return []

    def _stop_admission(
        self, event: lifecycle.AdmissionStopped, now: float
    ) -> list[commands.Command]:
        self._admitting = False
        return []

    def _admit(
        self, event: lifecycle.RequestArrived, now: float
    ) -> list[commands.Command]:
        request = event.request
        failure = self._check_admission(request.workspace)
        if failure is not None:
            return [build_rejection(request, failure)]
        assert self._deployment is not None
        plan = self._planner.plan(request, self._deployment, now)
        if isinstance(plan, failures.Failure):
            return [build_rejection(request, plan)]
        active = active_requests.ActiveRequest(request, plan)
        self._active[request.request_id] = active
        self._recovery.start(request.request_id, now)
        workspace = self._deployment.workspaces[request.workspace]
        submitted = admission.WorkSubmitted(
            request=request.request_id,
            workspace=request.workspace,
            weight=workspace.weight,
            tokens=request.prompt_tokens + request.max_output_tokens,
            priority=plan.priority,
            deadline=request.deadline,
            expected_duration_s=plan.expected_duration_s,
            pool=plan.steps[0],
        )
        self._queue_admission_results(self._admission.handle(submitted, now))
        return []

    def _start_admitted(self, now: float) -> list[commands.Command]:
        """Starts admitted requests; a failed start may admit more."""
        result: list[commands.Command] = []
        while self._admissions:
            command = self._admissions.pop(0)
            active = self._active.get(command.request)
            if active is None:
                continue
            if isinstance(command, admission.RefuseWork):
                result.extend(self._fail(active, command.failure, now))
                continue
            result.extend(self._start(active, now))
        return result

    def _check_admission(self, workspace: str) -> failures.Failure | None:
        if not self._admitting:
            return failures.Draining(
                "This node is shutting down.", retry_after_s=0.0
            )
        if self._deployment is None:
            return failures.NoConfiguration(
                "This node has no configuration yet.",
                retry_after_s=RETRY_AFTER_CONFIGURATION_S,
            )
        if workspace not in self._deployment.workspaces:
            return failures.Unauthorized("The workspace does not exist.")
        return self._check_billing_backlog()

    def _bill_truncated(
        self, event: lifecycle.FailureSent, now: float
    ) -> list[commands.Command]:
        return (
            self._settlement.bill_truncated(
                event.request_id, event.delivered_tokens
            )
            or []
        )

    def _handle_disconnect(
        self, event: lifecycle.CallerDisconnected, now: float
    ) -> list[commands.Command]:
        truncated = self._settlement.bill_truncated(
            event.request_id, event.delivered_tokens
        )
        if truncated is not None:
            return truncated
        active = self._active.get(event.request_id)
        if active is None:
            return []
        self._drop(active, now)
        end = placements.AttemptResult(upstream_events.AttemptStatus.CANCELLED)
        self._placement.release(event.request_id, end, now)
        result: list[commands.Command] = []
        if active.upstream is not None:
            result.append(active_requests.build_cancel(active, "caller"))
        if active.awaits_bill:
            return result
        delivered = event.delivered_tokens if active.has_delivered else 0
        return [*result, *self._settlement.bill_partial(active, delivered)]

    def _expire(self, event: events.Tick, now: float) -> list[commands.Command]:
        """Handles passed deadlines, scheduled attempts and missing ratings."""
        self._queue_admission_results(self._admission.handle(event, now))
        result: list[commands.Command] = []
        for active in list(self._active.values()):
            if active.awaits_bill or active.awaits_stop:
                continue
            if now >= active.request.deadline:
                result.extend(self._handle_deadline(active, now))
                continue
            if active.resume_at is not None and now >= active.resume_at:
                result.extend(self._start_resume(active))
                continue
            if active.restart_at is not None and now >= active.restart_at:
                active.restart_at = None
                result.extend(self._start(active, now))
                continue
            rating_deadline = active.rating_deadline
            if rating_deadline is None or now < rating_deadline:
                continue
            self._rating_waits.expire(active, now)
            self._planner.record_missing_rating(active.answer_id, now)
            active.rating_deadline = None
            result.extend(self._escalate(active, now))
        return result

    def _handle_deadline(
        self, active: active_requests.ActiveRequest, now: float
    ) -> list[commands.Command]:
        if active.rating_deadline is not None:
            # The answer is complete and only its rating is missing.
            self._rating_waits.expire(active, now)
            active.rating_deadline = None
            return self._start_billing(active, now)
        if active.retained_answer is not None and active.can_deliver:
            # The retained answer may be delivered only if no chunk of the
            # running attempt was, which its reported end will tell.
            active.awaits_stop = True
            return [active_requests.build_cancel(active, "deadline", True)]
        cancel = []
        if active.upstream is not None:
            cancel.append(active_requests.build_cancel(active, "deadline"))
        return [*cancel, *self._end_expired(active, now)]


def build_rejection(
    request: requests.ModelRequest, failure: failures.Failure
) -> lifecycle.FailRequest:
    """Returns the failure of a request that was not admitted."""
    return lifecycle.FailRequest(request.request_id, request.workspace, failure)
