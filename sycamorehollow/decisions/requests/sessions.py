"""Sessions, which stay on the version that they started with.

The session is stored in a signed token at the caller, so nodes keep no state.
"""

from collections.abc import Set
import dataclasses
from typing import ClassVar

from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.decisions.operations import version_access
from sycamorehollow.model import deployment
from sycamorehollow.model import failures

NEW_SESSION = "new"
TOKEN_PREFIX = "ses1"
TOKEN_FIELDS = 4


@dataclasses.dataclass(frozen=True)
class InvalidSession(failures.Failure):
    """The session token is not genuine or is for another workspace or model."""

    code: ClassVar[str] = "invalid_session"
    status: ClassVar[int] = 400


@dataclasses.dataclass(frozen=True)
class Session:
    """A verified session.

    Attributes:
        model: Model, version or cascade that the caller requested.
        version: Version that every request of the session runs on.
        issued_s: Wall-clock time of the first request, in whole seconds.
    """

    workspace: str
    model: str
    version: str
    issued_s: int


def issue_token(session: Session, ring: keyrings.KeyRing) -> str:
    """Returns the signed token of a session."""
    fields = (
        session.workspace,
        session.model,
        session.version,
        str(session.issued_s),
    )
    for field in fields:
        if "\n" in field:
            raise ValueError("a name contains a line break")
    return keyrings.encode_token(TOKEN_PREFIX, fields, ring)


def verify_token(
    token: str, workspace: str, model: str, ring: keyrings.KeyRing
) -> Session | InvalidSession:
    """Returns the session of a token, or why the token is rejected.

    Args:
        token: Token from the caller.
        workspace: Workspace that the API key of the request belongs to.
        model: Model, version or cascade that the request names.
        ring: Keys for the verification.
    """
    fields = keyrings.decode_token(TOKEN_PREFIX, token, TOKEN_FIELDS, ring)
    if fields is None:
        return InvalidSession(reason="the session token is not genuine")
    session = Session(fields[0], fields[1], fields[2], int(fields[3]))
    if session.workspace != workspace:
        return InvalidSession(
            reason="the session token belongs to another workspace"
        )
    if session.model != model:
        return InvalidSession(
            reason=f"the session was started with model {session.model}"
        )
    return session


def find_pinned_version(
    session: Session,
    current: deployment.Deployment | None,
    stopped_versions: Set[str],
) -> str | failures.Failure:
    """Returns the version of a session, or why it cannot be used.

    There is no fallback, as a session never moves to another version.
    """
    failure = version_access.check_version_access(
        current, stopped_versions, session.workspace, session.version
    )
    return session.version if failure is None else failure
