"""Typed failures, returned as results that carry a reason."""

import dataclasses
import enum
from typing import ClassVar


class Execution(enum.Enum):
    """Whether failed or refused work was started at an upstream."""

    NOT_STARTED = "no"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Failure:
    """Base class of all failures.

    Attributes:
        reason: One sentence for the reader of the response or the log.
        execution: Whether the work may have been started.
        retry_after_s: Time until a retry makes sense; `None` if a retry
            cannot succeed.
    """

    code: ClassVar[str] = "failure"
    status: ClassVar[int] = 500

    reason: str
    execution: Execution = Execution.NOT_STARTED
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class InvalidRequest(Failure):
    """The request is malformed."""

    code: ClassVar[str] = "invalid_request"
    status: ClassVar[int] = 400


@dataclasses.dataclass(frozen=True)
class Unauthorized(Failure):
    """The API key is missing or unknown."""

    code: ClassVar[str] = "unauthorized"
    status: ClassVar[int] = 401


@dataclasses.dataclass(frozen=True)
class NotAllowed(Failure):
    """The workspace may not use the model, version or service."""

    code: ClassVar[str] = "not_allowed"
    status: ClassVar[int] = 403


@dataclasses.dataclass(frozen=True)
class NotFound(Failure):
    """The model, version, service or path does not exist."""

    code: ClassVar[str] = "not_found"
    status: ClassVar[int] = 404


@dataclasses.dataclass(frozen=True)
class BodyTooLarge(Failure):
    """The request body is over the limit."""

    code: ClassVar[str] = "body_too_large"
    status: ClassVar[int] = 413


@dataclasses.dataclass(frozen=True)
class VersionWithdrawn(Failure):
    """The version has been withdrawn and takes no new work."""

    code: ClassVar[str] = "version_withdrawn"
    status: ClassVar[int] = 410


@dataclasses.dataclass(frozen=True)
class NoConfiguration(Failure):
    """The node has no configuration yet."""

    code: ClassVar[str] = "no_configuration"
    status: ClassVar[int] = 503


@dataclasses.dataclass(frozen=True)
class NoUpstream(Failure):
    """No upstream can accept the work now."""

    code: ClassVar[str] = "no_upstream"
    status: ClassVar[int] = 503


@dataclasses.dataclass(frozen=True)
class UpstreamsFull(NoUpstream):
    """Upstreams serve such work, but none has capacity for it now."""


@dataclasses.dataclass(frozen=True)
class DeadlineExceeded(Failure):
    """The work cannot be completed before its deadline."""

    code: ClassVar[str] = "deadline_exceeded"
    status: ClassVar[int] = 504


@dataclasses.dataclass(frozen=True)
class Draining(Failure):
    """The process is shutting down and takes no new work."""

    code: ClassVar[str] = "draining"
    status: ClassVar[int] = 503


@dataclasses.dataclass(frozen=True)
class UpstreamFailed(Failure):
    """The upstream failed before any part of the answer was delivered."""

    code: ClassVar[str] = "upstream_failed"
    status: ClassVar[int] = 502


@dataclasses.dataclass(frozen=True)
class AnswerTruncated(Failure):
    """The answer ended early after at least one part was delivered."""

    code: ClassVar[str] = "answer_truncated"
    status: ClassVar[int] = 502


@dataclasses.dataclass(frozen=True)
class MethodNotAllowed(Failure):
    """The path does not support the method."""

    code: ClassVar[str] = "method_not_allowed"
    status: ClassVar[int] = 405


@dataclasses.dataclass(frozen=True)
class Overloaded(Failure):
    """The node has no worker or memory for the request."""

    code: ClassVar[str] = "overloaded"
    status: ClassVar[int] = 503
