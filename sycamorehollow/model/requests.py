"""Validated requests from callers."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A chat-completions request after validation.

    Attributes:
        request_id: Identity of this HTTP request, unique over all nodes.
        workspace: Name of the workspace that the API key belongs to.
        model: Model, version or cascade that the caller requested.
        kind: Kind of request, as configured for the workspace.
        body: The request body as JSON bytes.
        fingerprint: Hash of the workspace and the content.
        prompt_tokens: Estimated prompt length in tokens.
        max_output_tokens: Limit on the answer in tokens.
        stream: Whether the response is sent as server-sent events.
        deadline: Monotonic time in seconds after which the answer is useless.
        session: Session token, `new`, or empty.
        idempotency_key: Idempotency key of the caller, or empty.
        prompt_head: Start of the prompt, as engines hash it for their prefix
            cache.
    """

    request_id: str
    workspace: str
    model: str
    kind: str
    body: bytes
    fingerprint: str
    prompt_tokens: int
    max_output_tokens: int
    stream: bool
    deadline: float
    session: str = ""
    idempotency_key: str = ""
    prompt_head: bytes = b""


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call of a plain service after validation.

    Attributes:
        request_id: Identity of this HTTP request, unique over all nodes.
        workspace: Name of the workspace that the API key belongs to.
        service: Name of the plain service.
        operation: Name of the operation.
        key: Idempotency key; empty only for idempotent operations.
        body: The request body.
        deadline: Monotonic time in seconds after which the answer is useless.
    """

    request_id: str
    workspace: str
    service: str
    operation: str
    key: str
    body: bytes
    deadline: float
