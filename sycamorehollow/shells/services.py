"""Handlers of service calls, tickets and call outcomes."""

from collections.abc import Callable
import queue
import re
import threading
import time
import uuid

import loguru

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests
from sycamorehollow.shells import calls
from sycamorehollow.shells import chat
from sycamorehollow.shells import exchange as exchanges
from sycamorehollow.shells import front

MAX_KEY_LENGTH = 512
# The router responds before the caller's deadline; this covers the time that
# its response waits in the queue.
RESULT_GRACE_S = 2.0
RETRY_AFTER_S = 1.0


class PendingResults:
    """Delivers results of calls to the workers that wait for them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._replies: dict[str, queue.SimpleQueue[messages.Result]] = {}

    def __len__(self) -> int:
        return len(self._replies)

    def deliver(self, command: messages.Reply) -> None:
        """Delivers a result to the worker that waits for it, if any."""
        with self._lock:
            reply = self._replies.get(command.request_id)
        if reply is not None:
            reply.put(command.result)

    def wait(
        self,
        request_id: str,
        deadline: float,
        start: Callable[[], None],
    ) -> messages.Result:
        """Starts a call and waits for its result."""
        reply: queue.SimpleQueue[messages.Result] = queue.SimpleQueue()
        with self._lock:
            self._replies[request_id] = reply
        try:
            start()
            left_s = deadline - time.monotonic() + RESULT_GRACE_S
            return reply.get(timeout=max(0.0, left_s))
        except queue.Empty:
            return messages.UnknownOutcome(
                "The outcome was not known before the deadline."
            )
        finally:
            with self._lock:
                del self._replies[request_id]


class CallHandler(front.WorkspaceHandler):
    """Handles `POST /v1/services/{service}/{operation}`."""

    method = "POST"
    pattern = "/v1/services/([^/]+)/([^/]+)"

    def __init__(
        self,
        snapshot: front.Snapshot,
        pending_results: PendingResults,
        client: calls.ServiceClient,
        report: Callable[[events.Event], None],
        is_draining: Callable[[], bool],
    ):
        super().__init__(snapshot)
        self._pending_results = pending_results
        self._client = client
        self._report = report
        self._is_draining = is_draining

    def respond_to(
        self,
        exchange: exchanges.Exchange,
        match: re.Match[str],
        workspace: deployment.Workspace,
    ) -> None:
        """Runs one call and sends its result."""
        call = self._read_call(exchange, match, workspace)
        if isinstance(call, failures.Failure):
            exchange.send_failure(call)
            return
        if call.key:
            result = self._pending_results.wait(
                call.request_id,
                call.deadline,
                lambda: self._report(messages.CallArrived(call)),
            )
        else:
            result = self._run_idempotent(call)
        log_result(call, result)
        send_result(exchange, call.request_id, result)

    def _read_call(
        self,
        exchange: exchanges.Exchange,
        match: re.Match[str],
        workspace: deployment.Workspace,
    ) -> requests.ServiceCall | failures.Failure:
        body = exchange.read_body()
        if isinstance(body, failures.Failure):
            return body
        if self._is_draining():
            return failures.Draining(
                "This node is shutting down.", retry_after_s=0.0
            )
        operation = self._find_operation(workspace, *match.groups())
        if isinstance(operation, failures.Failure):
            return operation
        key = exchange.get_header("Idempotency-Key")
        if not operation.idempotent and not 0 < len(key) <= MAX_KEY_LENGTH:
            return failures.InvalidRequest(
                "The operation needs an Idempotency-Key of at most"
                f" {MAX_KEY_LENGTH} characters."
            )
        deadline_s = chat.read_deadline(exchange, workspace, "")
        if isinstance(deadline_s, failures.Failure):
            return deadline_s
        return requests.ServiceCall(
            request_id=uuid.uuid4().hex,
            workspace=workspace.name,
            service=match.group(1),
            operation=operation.name,
            key="" if operation.idempotent else key,
            body=body,
            deadline=time.monotonic() + deadline_s,
        )

    def _find_operation(
        self, workspace: deployment.Workspace, service: str, operation: str
    ) -> deployment.Operation | failures.Failure:
        current = self._snapshot.current
        assert current is not None
        if service not in workspace.services:
            return failures.NotAllowed(
                f"The workspace may not use the service {service}."
            )
        known = current.services.get(service)
        if known is None:
            return failures.NotFound(f"There is no service {service}.")
        if operation not in known.operations:
            return failures.NotFound(
                f"The service {service} has no operation {operation}."
            )
        return known.operations[operation]

    def _run_idempotent(self, call: requests.ServiceCall) -> messages.Result:
        command = messages.Dispatch(
            call.request_id, call, call.request_id, call.deadline
        )
        try:
            event = self._client.dispatch_idempotent(command)
        except queue.Empty:
            event = messages.OpNotSent(command.op, "the router task is busy")
        if isinstance(event, messages.ServiceResponded):
            return event.outcome
        loguru.logger.info(
            "calls: request={} got no response: {}", call.request_id, event
        )
        sent = isinstance(event, messages.OpInDoubt)
        return failures.UpstreamFailed(
            "No replica of the service answered.",
            failures.Execution.UNKNOWN
            if sent
            else failures.Execution.NOT_STARTED,
            RETRY_AFTER_S,
        )


class TicketHandler(front.WorkspaceHandler):
    """Handles `POST /v1/tickets`."""

    method = "POST"
    pattern = "/v1/tickets"

    def __init__(self, snapshot: front.Snapshot, issue: Callable[[str], str]):
        super().__init__(snapshot)
        self._issue = issue

    def respond_to(
        self,
        exchange: exchanges.Exchange,
        match: re.Match[str],
        workspace: deployment.Workspace,
    ) -> None:
        """Issues one ticket."""
        try:
            ticket = self._issue(workspace.name)
        except queue.Empty:
            exchange.send_failure(
                failures.Overloaded(
                    "The router task did not answer in time.",
                    retry_after_s=RETRY_AFTER_S,
                )
            )
            return
        exchange.send_json(
            200, {"ticket": ticket, "valid_s": tickets.TICKET_TTL_S}
        )


class OutcomeHandler(front.WorkspaceHandler):
    """Handles `GET /v1/outcomes/{key}`."""

    method = "GET"
    pattern = "/v1/outcomes/(.+)"

    def __init__(
        self,
        snapshot: front.Snapshot,
        pending_results: PendingResults,
        report: Callable[[events.Event], None],
    ):
        super().__init__(snapshot)
        self._pending_results = pending_results
        self._report = report

    def respond_to(
        self,
        exchange: exchanges.Exchange,
        match: re.Match[str],
        workspace: deployment.Workspace,
    ) -> None:
        """Sends the outcome recorded for a key; never runs the call."""
        deadline_s = chat.read_deadline(exchange, workspace, "")
        if isinstance(deadline_s, failures.Failure):
            exchange.send_failure(deadline_s)
            return
        asked = messages.OutcomeRequested(
            request_id=uuid.uuid4().hex,
            workspace=workspace.name,
            key=match.group(1),
            deadline=time.monotonic() + deadline_s,
            service=exchange.get_query("service"),
            operation=exchange.get_query("operation"),
        )
        result = self._pending_results.wait(
            asked.request_id, asked.deadline, lambda: self._report(asked)
        )
        send_result(exchange, asked.request_id, result)


def log_result(call: requests.ServiceCall, result: messages.Result) -> None:
    """Logs the result of a call."""
    if isinstance(result, messages.Outcome):
        end = f"status={result.status}"
    else:
        end = f"code={result.code} run={result.execution.value}"
    loguru.logger.info(
        "calls: request={} workspace={} service={} operation={} {}",
        call.request_id,
        call.workspace,
        call.service,
        call.operation,
        end,
    )


def send_result(
    exchange: exchanges.Exchange, request_id: str, result: messages.Result
) -> None:
    """Sends the response of the service or the failure."""
    if isinstance(result, messages.Outcome):
        exchange.send_bytes(
            result.status, result.body, {chat.REQUEST_HEADER: request_id}
        )
        return
    exchange.send_failure(result)
