"""Validated models of responses of upstreams and platform services."""

import pydantic


class Response(pydantic.BaseModel):
    """Base of the response models; ignores unknown fields."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class LoadReport(Response):
    """Response of an engine to `GET /v1/load`."""

    generation: int
    cold: bool
    bearable: int
    held_tokens: int
    capacity_tokens: int
    running: int = 0
    queued: int = 0
    versions: list[str] = []
    role: str = ""


class CacheEvent(Response):
    """Change of an engine's prefix cache."""

    number: int
    type: str
    prefix: str


class CacheEvents(Response):
    """Response of an engine to `GET /v1/cache-events`."""

    events: list[CacheEvent]
    last: int


class Rating(Response):
    """Rating of one response."""

    number: int
    request: str
    score: float


class Ratings(Response):
    """Response of the rating service to `GET /v1/ratings`."""

    ratings: list[Rating]
    last: int


class Vm(Response):
    """Entry of the platform's VM list."""

    address: str
    data_centre: str
    state: str


class VmList(Response):
    """Response of the platform to `GET /v1/vms`."""

    vms: list[Vm]
