"""Encodes a caller's request for an upstream or for another node."""

from sycamorehollow.decisions.forwarding import request_lifecycle
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.shells.gateway import caller_connections
from sycamorehollow.shells.gateway import header_codec
from sycamorehollow.shells.gateway import relay_headers
from sycamorehollow.shells.gateway import telemetry

# Bodies up to this size are sent in one piece with their head.
MAX_JOINED_BODY_BYTES = 16 * 1024


class RequestEncoder:
    """Encodes the attempts of one request.

    Args:
        request: The caller's request.
        lifecycle: Decides on the attempts.
        record: Data for the request's log line, with its workspace.
        codec: Encodes headers.
    """

    def __init__(
        self,
        request: caller_connections.HttpRequest,
        lifecycle: request_lifecycle.RequestLifecycle,
        record: telemetry.RequestRecord,
        codec: header_codec.HeaderCodec,
    ):
        self._request = request
        self._lifecycle = lifecycle
        self._record = record
        self._codec = codec

    def encode(self, step: steps.Send) -> tuple[bytes, bytearray]:
        """Returns the request for the receiver of a step.

        Returns:
            The head with a small body, and the body if it is larger. That one
            is not copied.
        """
        request = self._request
        lifecycle = self._lifecycle
        body_bytes = len(request.body) if request.has_body else None
        resumed = lifecycle.last_event_id if lifecycle.delivering else ""
        if isinstance(step, steps.SendThrough):
            headers = self._codec.encode_relayed(
                request.headers, body_bytes, step.left_s, resumed
            )
            headers += relay_headers.encode_request(step.attempts)
        else:
            headers = self._codec.encode_attempt(
                request.headers, body_bytes, self._build_values(step, resumed)
            )
        lines: list[bytes | bytearray] = [
            b"%s %s HTTP/1.1\r\n" % (request.method.encode(), request.target)
        ]
        lines.extend(b"%s: %s\r\n" % pair for pair in headers)
        lines.append(b"\r\n")
        if len(request.body) > MAX_JOINED_BODY_BYTES:
            return b"".join(lines), request.body
        lines.append(request.body)
        return b"".join(lines), bytearray()

    def _build_values(
        self, step: steps.Send, last_event_id: str
    ) -> header_codec.AttemptHeaders:
        """Returns what the gateway adds to a request for an upstream."""
        workspace = self._record.workspace
        priority = self._lifecycle.route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return header_codec.AttemptHeaders(
            upstream=step.state.upstream.identity,
            workspace=workspace.name if workspace else "",
            remaining_s=step.left_s,
            model=step.model,
            priority=min(9, max(0, priority)) if step.model else None,
            last_event_id=last_event_id,
        )
