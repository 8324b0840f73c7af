"""HTTP request of a caller and the response to it."""

import http
import json
import math
from typing import Any
import urllib.parse

from cheroot import server
import loguru

from sycamorehollow.model import failures
from sycamorehollow.shells import streams

# Large enough for long prompts; a longer body is rejected before it is read.
MAX_BODY_BYTES = 8 * 1024 * 1024


class Exchange:
    """Reads a request and writes its response through the HTTP library."""

    def __init__(self, request: server.HTTPRequest):
        self._request = request
        path = request.path.decode("latin-1")
        self.path = urllib.parse.unquote(path)
        self.method = request.method.decode("latin-1")
        self.query = urllib.parse.parse_qs(request.qs.decode("latin-1"))

    @property
    def connection(self) -> server.HTTPConnection:
        """The connection that carries this exchange."""
        return self._request.conn

    def get_header(self, name: str) -> str:
        """Returns the value of a request header, or an empty string."""
        value = self._request.inheaders.get(name.title().encode(), b"")
        return value.decode("latin-1")

    def read_body(self) -> bytes | failures.Failure:
        """Returns the request body, or why it is rejected."""
        encoding = self.get_header("Content-Encoding")
        if encoding not in ("", "identity"):
            self._request.close_connection = True
            return failures.InvalidRequest(
                f"The content encoding {encoding} is not supported."
            )
        length = self.get_header("Content-Length") or "0"
        if not length.isdigit():
            self._request.close_connection = True
            return failures.InvalidRequest("Content-Length is not a number.")
        if int(length) > MAX_BODY_BYTES:
            self._request.close_connection = True
            return self._build_too_large()
        try:
            body = self._request.rfile.read(MAX_BODY_BYTES + 1)
        except ValueError as error:
            self._request.close_connection = True
            return failures.InvalidRequest(f"The body is malformed: {error}.")
        if len(body) > MAX_BODY_BYTES:
            self._request.close_connection = True
            return self._build_too_large()
        return body

    def get_query(self, name: str) -> str:
        """Returns a query parameter, or an empty string."""
        return self.query.get(name, [""])[0]

    def send_json(
        self, status: int, body: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Sends a JSON response."""
        self.send_bytes(status, json.dumps(body).encode(), headers)

    def send_bytes(
        self, status: int, data: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Sends a response whose body is encoded JSON."""
        fields = {
            "Content-Type": "application/json",
            "Content-Length": str(len(data)),
            **(headers or {}),
        }
        self._send_head(status, fields)
        if self.method != "HEAD":
            self._request.write(data)

    def send_failure(self, failure: failures.Failure) -> None:
        """Sends a failure, with `Retry-After` if it has a retry time."""
        loguru.logger.debug(
            "front: rejected path={} code={} reason={!r}",
            self.path,
            failure.code,
            failure.reason,
        )
        headers = {}
        if failure.retry_after_s is not None:
            headers["Retry-After"] = str(math.ceil(failure.retry_after_s))
        self.send_json(
            failure.status, streams.build_failure_body(failure), headers
        )

    def send_stream_head(self, headers: dict[str, str]) -> None:
        """Sends the head of a streamed response."""
        fields = {"Content-Type": "text/event-stream", **headers}
        fields["Cache-Control"] = "no-store"
        self._send_head(200, fields)

    def close_after_response(self) -> None:
        """Closes the connection after the response."""
        self._request.close_connection = True

    def abort(self) -> None:
        """Closes the connection without completing the response."""
        self._request.close_connection = True
        self._request.chunked_write = False

    def _send_head(self, status: int, fields: dict[str, str]) -> None:
        # The HTTP library expects the status line as bytes.
        line = f"{status} {_get_reason_phrase(status)}".encode()
        self._request.status = line  # type: ignore[assignment]
        for name, value in fields.items():
            self._request.outheaders.append(
                (name.encode("latin-1"), value.encode("latin-1", "replace"))
            )
        self._request.ensure_headers_sent()

    def _build_too_large(self) -> failures.Failure:
        return failures.BodyTooLarge(
            f"The request body is over {MAX_BODY_BYTES} bytes."
        )


def _get_reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Error"
