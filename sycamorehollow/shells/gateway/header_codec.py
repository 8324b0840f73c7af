"""Interface of the codec for the platform's HTTP headers."""

import abc
from collections.abc import Sequence
import dataclasses

from sycamorehollow.decisions.forwarding import end_checks
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding

# Names and values as received, in their order and case.
Headers = Sequence[tuple[bytes, bytes]]

# Headers that concern one connection only, or the framing of a body on it.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


@dataclasses.dataclass(frozen=True)
class AttemptHeaders:
    """Values that the gateway adds to the caller's request for an upstream.

    Attributes:
        upstream: Identity of the upstream that has to run the request.
        workspace: Owner of the API key; empty for an open route.
        remaining_s: Seconds until the request's deadline.
        model: Model to run; empty to leave the caller's.
        priority: 0 to 9, where 0 is the most urgent; `None` to send none.
        last_event_id: Event after which the stream resumes; empty for its
            start.
    """

    upstream: str
    workspace: str
    remaining_s: float
    model: str = ""
    priority: int | None = None
    last_event_id: str = ""


class HeaderCodec(abc.ABC):
    """Converts between HTTP headers and the types of the model."""

    @abc.abstractmethod
    def decode_request(
        self, method: str, target: str, headers: Headers
    ) -> forwarding.Request | failures.InvalidRequest:
        """Decodes the head of a caller's request."""

    @abc.abstractmethod
    def encode_attempt(
        self, headers: Headers, body_bytes: int | None, attempt: AttemptHeaders
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers for an upstream.

        Args:
            headers: The caller's headers.
            body_bytes: Length of the body; `None` for a request without one.
            attempt: Values that the gateway adds.
        """

    @abc.abstractmethod
    def encode_relayed(
        self,
        headers: Headers,
        body_bytes: int | None,
        remaining_s: float,
        last_event_id: str,
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a request that goes through another node.

        Args:
            headers: The caller's headers.
            body_bytes: Length of the body; `None` for a request without one.
            remaining_s: Seconds until the request's deadline.
            last_event_id: Event after which the stream resumes; empty to leave
                the caller's.
        """

    @abc.abstractmethod
    def decode_response(
        self, status: int, headers: Headers
    ) -> forwarding.DecodedHead:
        """Decodes the head of an upstream's response."""

    @abc.abstractmethod
    def encode_query(
        self, upstream: forwarding.Upstream, health_path: str
    ) -> bytes:
        """Returns a request for an upstream's own state.

        Args:
            upstream: The upstream.
            health_path: Path of its health checks; empty for a report.
        """

    @abc.abstractmethod
    def identify(
        self,
        upstream: forwarding.Upstream,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> end_checks.Finding:
        """Tells whether the response to a query is the upstream's.

        It is not if it names another upstream or another start. A response
        without a start, as that of a full upstream, may be.
        """

    @abc.abstractmethod
    def encode_failure(
        self, request_id: str, failure: failures.Failure
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a response created by the gateway."""
