"""Pydantic models of the settings branches.

Unknown keys are rejected and types are not coerced, so that a misspelt or
mistyped setting is reported instead of ignored.
"""

import ipaddress
from typing import Annotated
from typing import Literal
from typing import TypeAlias
import urllib.parse

import pydantic

Name: TypeAlias = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"),
]
Share: TypeAlias = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
KeyHash: TypeAlias = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")
]


class _Document(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class VersionSettings(_Document):
    """A version of a model.

    Prices are in micro-units of currency per 1,000 tokens.
    """

    prompt_price: int = pydantic.Field(ge=0)
    output_price: int = pydantic.Field(ge=0)
    state: Literal["serving", "withdrawn"] = "serving"


class ModelSettings(_Document):
    """A model and its versions."""

    versions: dict[Name, VersionSettings] = {}


class DataCentreSettings(_Document):
    """A data centre."""

    region: Name
    presence: Literal["in", "leaving", "out"] = "in"


class UpstreamSettings(_Document):
    """An upstream: one instance of an engine or of a plain service."""

    url: str
    data_centre: str
    versions: list[str] = []
    capacity_tokens: int = pydantic.Field(default=0, ge=0)
    bearable: int = pydantic.Field(default=1, ge=0)
    checks_fence: bool = False
    presence: Literal["in", "leaving", "out"] = "in"

    @pydantic.field_validator("url")
    @classmethod
    def _check_url(cls, url: str) -> str:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme not in ("http", "https"):
            raise ValueError("expected an http or https URL")
        try:
            ipaddress.ip_address(parts.hostname or "")
        except ValueError as error:
            raise ValueError("expected an IP address as host") from error
        return url


class OperationSettings(_Document):
    """An operation of a plain service."""

    idempotent: bool


class ServiceSettings(_Document):
    """A plain service."""

    upstreams: list[str] = []
    operations: dict[Name, OperationSettings] = {}


class KindSettings(_Document):
    """Policy of a workspace for one kind of request."""

    quality_threshold: Share = 0.0
    quality_target: Share = 0.0
    deadline_s: float = pydantic.Field(default=60.0, gt=0)
    priority: int = pydantic.Field(default=1, ge=0)
    gate: bool = False
    explore: bool = True


class WorkspaceSettings(_Document):
    """A workspace, its API keys and the versions and services it may use."""

    key_hashes: list[KeyHash] = []
    versions: list[str] = []
    services: list[str] = []
    weight: int = pydantic.Field(default=1, ge=1)
    kinds: dict[Name, KindSettings] = {}


class CascadeSettings(_Document):
    """A cascade; steps are versions or cascades of the same branch.

    Cheaper steps come first.
    """

    steps: list[str] = pydantic.Field(min_length=1)


class RolloutSettings(_Document):
    """A roll-out that replaces a baseline version by a candidate.

    Attributes:
        stages: Share of requests for the candidate at each stage.
    """

    model: str
    baseline: str
    candidate: str
    stages: list[Annotated[float, pydantic.Field(gt=0.0, le=1.0)]]

    @pydantic.field_validator("stages")
    @classmethod
    def _check_stages(cls, stages: list[float]) -> list[float]:
        if not stages or stages != sorted(set(stages)):
            raise ValueError("expected at least one share, strictly rising")
        return stages


class _Branch(_Document):
    nonce: str = ""
    # A writer whose response was lost finds its nonce here, even if later
    # writes have replaced the document.
    earlier_nonces: list[str] = []


class PlatformBranch(_Branch):
    """The branch of the platform team."""

    models: dict[Name, ModelSettings] = {}
    data_centres: dict[Name, DataCentreSettings] = {}
    upstreams: dict[Name, UpstreamSettings] = {}
    services: dict[Name, ServiceSettings] = {}


class TeamBranch(_Branch):
    """The branch of a team other than the platform team."""

    deleted: bool = False
    workspaces: dict[Name, WorkspaceSettings] = {}
    cascades: dict[Name, CascadeSettings] = {}
    rollouts: dict[Name, RolloutSettings] = {}
