"""Caller of the router's HTTP API, as the demo uses it."""

from collections.abc import Mapping
import dataclasses
import json
import time
from typing import Any
import uuid

import sseclient
import urllib3

from sycamorehollow.standins import pacing

TIMEOUT_S = 20.0


@dataclasses.dataclass
class Answer:
    """What a caller received.

    Attributes:
        complete: Whether the answer is whole and belongs to its prompt.
        error: The refusal, or the error event of a stream.
    """

    key: str
    workspace: str
    kind: str
    entry: str
    mark: str = ""
    status: int = 0
    version: str = ""
    text: str = ""
    complete: bool = False
    done: bool = False
    usage: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    error: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    document: Any = None
    session: str = ""
    first_token_s: float = 0.0
    latency_s: float = 0.0

    @property
    def served(self) -> bool:
        """Whether the router answered with success."""
        return self.status == 200 and not self.error

    @property
    def run(self) -> str:
        """Value of `run` in a refusal; empty without one."""
        return str(self.error.get("run", ""))

    @property
    def code(self) -> str:
        """Code of a refusal; empty without one."""
        return str(self.error.get("code", ""))


@dataclasses.dataclass(frozen=True)
class Request:
    """A chat-completions request."""

    workspace: str
    api_key: str
    model: str
    kind: str
    prompt: str
    output_tokens: int
    stream: bool = True
    session: str = ""


class Caller:
    """Sends requests to entry processes; safe to share between threads."""

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(
            retries=False, timeout=TIMEOUT_S, maxsize=64
        )

    def complete(self, entry: str, request: Request) -> Answer:
        """Runs a chat-completions request to its end."""
        answer = Answer(
            f"demo-{uuid.uuid4().hex}", request.workspace, request.kind, entry
        )
        answer.mark = pacing.make_digest(f"user:{request.prompt}")
        body = {
            "model": request.model,
            "messages": [{"role": "user", "content": request.prompt}],
            "max_tokens": request.output_tokens,
            "stream": request.stream,
        }
        headers = {
            "Authorization": f"Bearer {request.api_key}",
            "Idempotency-Key": answer.key,
            "X-Request-Kind": request.kind,
        }
        if request.session:
            headers["X-Session"] = request.session
        start = time.monotonic()
        try:
            response = self._http.request(
                "POST",
                f"{entry}/v1/chat/completions",
                body=json.dumps(body).encode(),
                headers=headers,
                preload_content=False,
            )
            answer.status = response.status
            answer.session = response.headers.get("X-Session", "")
            if request.stream and response.status == 200:
                _read_stream(response, answer, start)
            else:
                _read_document(json.loads(response.read()), answer)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            # The router cuts the connection after the event that tells why.
            if not answer.error:
                answer.error = {"code": "broken", "message": str(error)}
        answer.latency_s = time.monotonic() - start
        answer.complete = _is_complete(answer, request)
        return answer

    def call(
        self,
        entry: str,
        method: str,
        path: str,
        api_key: str,
        document: Any = None,
        key: str = "",
    ) -> Answer:
        """Calls any other path and returns its document."""
        answer = Answer(key, "", path.rsplit("/", 1)[-1], entry)
        headers = {"Authorization": f"Bearer {api_key}"}
        if key:
            headers["Idempotency-Key"] = key
        body = None if document is None else json.dumps(document).encode()
        start = time.monotonic()
        try:
            response = self._http.request(
                method, entry + path, body=body, headers=headers
            )
            answer.status = response.status
            answer.document = json.loads(response.data)
            if isinstance(answer.document, dict) and response.status != 200:
                answer.error = answer.document.get("error") or {}
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            answer.error = {"code": "broken", "message": str(error)}
        answer.latency_s = time.monotonic() - start
        return answer


def _read_stream(response: Any, answer: Answer, start: float) -> None:
    """Reads server-sent events until the stream ends."""
    for event in sseclient.SSEClient(response.stream(4_096)).events():
        if event.data == "[DONE]":
            answer.done = True
            continue
        document = json.loads(event.data)
        if event.event == "error" or "error" in document:
            answer.error = document.get("error") or document
            continue
        answer.version = document.get("model") or answer.version
        answer.usage = document.get("usage") or answer.usage
        for choice in document.get("choices", ()):
            piece = choice.get("delta", {}).get("content") or ""
            if piece and not answer.first_token_s:
                answer.first_token_s = time.monotonic() - start
            answer.text += piece


def _read_document(document: Any, answer: Answer) -> None:
    answer.document = document
    answer.error = document.get("error") or {}
    if answer.error:
        return
    answer.done = True
    answer.version = document.get("model", "")
    answer.usage = document.get("usage") or {}
    answer.text = document["choices"][0]["message"]["content"]


def _is_complete(answer: Answer, request: Request) -> bool:
    """Tells whether every token of the own prompt's answer is there."""
    expected = [f"{answer.mark}-{n}" for n in range(request.output_tokens)]
    return (
        answer.served
        and answer.done
        and answer.text.split() == expected
        and answer.usage.get("completion_tokens") == request.output_tokens
    )
