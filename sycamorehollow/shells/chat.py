"""Handler of `POST /v1/chat/completions`.

An HTTP worker reads the request, hands the socket of the caller to the relay
and waits until the relay returns it.
"""

from collections.abc import Callable
import hashlib
import json
import queue
import re
import time
import uuid

import loguru
import pydantic

from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests
from sycamorehollow.settings import bodies
from sycamorehollow.shells import completions
from sycamorehollow.shells import exchange as exchanges
from sycamorehollow.shells import front
from sycamorehollow.shells import relay as relays
from sycamorehollow.shells import streams

# Length of the prompt prefix used for affinity; the rest of a long prompt adds
# little.
MAX_PROMPT_HEAD_CHARS = 16_384
DEFAULT_DEADLINE_S = 60.0
# The router ends every request at its deadline, but a slow caller may take
# longer to read the rest of its buffer.
LOST_REQUEST_GRACE_S = 45.0
MAX_DEADLINE_S = 3600.0
SESSION_HEADER = "X-Session"
VERSION_HEADER = "X-Model-Version"
UPSTREAM_HEADER = "X-Upstream"
REQUEST_HEADER = "X-Request-Id"


class ChatHandler(front.WorkspaceHandler):
    """Handles `POST /v1/chat/completions`."""

    method = "POST"
    pattern = "/v1/chat/completions"

    def __init__(
        self,
        snapshot: front.Snapshot,
        relay: relays.Relay,
        report: Callable[[events.Event], None],
    ):
        super().__init__(snapshot)
        self._relay = relay
        self._report = report

    def respond_to(
        self,
        exchange: exchanges.Exchange,
        match: re.Match[str],
        workspace: deployment.Workspace,
    ) -> None:
        """Serves one request until its final response is sent."""
        arrived = time.monotonic()
        request = self._read_request(exchange, workspace, arrived)
        if isinstance(request, failures.Failure):
            exchange.send_failure(request)
            return
        reply: queue.SimpleQueue[streams.Reply] = queue.SimpleQueue()
        caller = streams.CallerConnection(
            exchange.connection.socket, reply, request.stream, request.body
        )
        # The relay must have the caller's connection before the router starts
        # an attempt, so this message is sent first.
        self._relay.post(relays.AttachCaller(request.request_id, caller))
        self._report(lifecycle.RequestArrived(request))
        self._await_end(exchange, request, reply)

    def _await_end(
        self,
        exchange: exchanges.Exchange,
        request: requests.ModelRequest,
        reply: "queue.SimpleQueue[streams.Reply]",
    ) -> None:
        while True:
            message = self._await_message(request, reply)
            if isinstance(message, streams.SendHead):
                self._send_head(exchange, request, message)
                continue
            if isinstance(message, streams.StreamClosed):
                if not message.complete:
                    exchange.abort()
                return
            if isinstance(message, streams.FinalFailure):
                exchange.send_failure(message.failure)
                return
            headers = self._build_headers(
                request, message.upstream, message.version, message.session
            )
            exchange.send_json(
                200, completions.build_completion(message.block), headers
            )
            return

    def _await_message(
        self,
        request: requests.ModelRequest,
        reply: "queue.SimpleQueue[streams.Reply]",
    ) -> streams.Reply:
        """Returns the next message of the relay.

        Fails the request if the router has not ended it some time after its
        deadline.
        """
        left_s = request.deadline - time.monotonic() + LOST_REQUEST_GRACE_S
        try:
            return reply.get(timeout=max(0.0, left_s))
        except queue.Empty:
            loguru.logger.error(
                "front: request={} not ended by the router after its deadline",
                request.request_id,
            )
        failure = failures.Overloaded(
            "The router did not end the request in time.",
            failures.Execution.UNKNOWN,
        )
        # Only the relay may return the socket, so the relay ends the request.
        self._relay.post(
            lifecycle.FailRequest(
                request.request_id, request.workspace, failure
            )
        )
        return reply.get()

    def _send_head(
        self,
        exchange: exchanges.Exchange,
        request: requests.ModelRequest,
        message: streams.SendHead,
    ) -> None:
        headers = self._build_headers(
            request, message.upstream, message.version, message.session
        )
        try:
            exchange.send_stream_head(headers)
        except OSError:
            # The relay owns the socket and detects the disconnect itself.
            # Returning here would close the socket while the relay uses it.
            loguru.logger.debug(
                "front: request={} caller disconnected before the head",
                request.request_id,
            )
        self._relay.post(relays.HeadSent(request.request_id))

    def _build_headers(
        self,
        request: requests.ModelRequest,
        upstream: str,
        version: str,
        session: str,
    ) -> dict[str, str]:
        headers = {
            REQUEST_HEADER: request.request_id,
            UPSTREAM_HEADER: upstream,
            VERSION_HEADER: version,
        }
        if session:
            headers[SESSION_HEADER] = session
        return headers

    def _read_request(
        self,
        exchange: exchanges.Exchange,
        workspace: deployment.Workspace,
        now: float,
    ) -> requests.ModelRequest | failures.Failure:
        data = exchange.read_body()
        if isinstance(data, failures.Failure):
            return data
        try:
            body = bodies.ChatBody.model_validate_json(data)
        except pydantic.ValidationError as error:
            return failures.InvalidRequest(bodies.describe_faults(error))
        kind = exchange.get_header("X-Request-Kind")
        if kind and workspace.kinds and kind not in workspace.kinds:
            return failures.InvalidRequest(
                f"The workspace has no request kind {kind}."
            )
        deadline_s = read_deadline(exchange, workspace, kind)
        if isinstance(deadline_s, failures.Failure):
            return deadline_s
        return build_request(exchange, workspace, body, kind, now + deadline_s)


def read_deadline(
    exchange: exchanges.Exchange, workspace: deployment.Workspace, kind: str
) -> float | failures.Failure:
    """Returns the seconds until the deadline of a request.

    The header `X-Deadline-Ms` has precedence over the default of the request
    kind.
    """
    header = exchange.get_header("X-Deadline-Ms")
    if not header:
        policy = workspace.kinds.get(kind)
        return policy.deadline_s if policy is not None else DEFAULT_DEADLINE_S
    if not header.isdigit() or int(header) == 0:
        return failures.InvalidRequest(
            "X-Deadline-Ms must be a positive number of milliseconds."
        )
    return min(int(header) / 1000, MAX_DEADLINE_S)


def build_request(
    exchange: exchanges.Exchange,
    workspace: deployment.Workspace,
    body: bodies.ChatBody,
    kind: str,
    deadline: float,
) -> requests.ModelRequest:
    """Returns the request in the form that the router takes."""
    fields = body.model_dump(mode="json", exclude_unset=True)
    fields.pop("model")
    # The engine always streams, so that progress is visible and an interrupted
    # response can be resumed.
    fields["stream"] = True
    fields["stream_options"] = {"include_usage": True}
    rest = json.dumps(fields).encode()[1:]
    content = f"{workspace.name}\n{json.dumps(fields['messages'])}"
    session = exchange.get_header(SESSION_HEADER)
    if not session and body.metadata is not None:
        session = body.metadata.get("session", "")
    return requests.ModelRequest(
        request_id=uuid.uuid4().hex,
        workspace=workspace.name,
        model=body.model,
        kind=kind,
        body=rest,
        fingerprint=hashlib.sha256(content.encode()).hexdigest(),
        prompt_tokens=body.count_prompt_tokens(),
        max_output_tokens=body.limit_output_tokens(),
        stream=body.stream,
        deadline=deadline,
        session=session,
        idempotency_key=exchange.get_header("Idempotency-Key"),
        prompt_head=body.join_messages()[:MAX_PROMPT_HEAD_CHARS].encode(),
    )
