"""Validated models of what upstreams and the platform answer."""

import pydantic


class Response(pydantic.BaseModel):
    """Base of an answer; fields that the router does not use are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class LoadReport(Response):
    """Answer of an engine to `GET /v1/load`."""

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
    """One event of a prefix cache."""

    number: int
    type: str
    prefix: str


class CacheEvents(Response):
    """Answer of an engine to `GET /v1/cache-events`."""

    events: list[CacheEvent]
    last: int


class Rating(Response):
    """One rating of an answer."""

    number: int
    request: str
    score: float


class Ratings(Response):
    """Answer of the rating service to `GET /v1/ratings`."""

    ratings: list[Rating]
    last: int


class Vm(Response):
    """One VM of the platform's list."""

    address: str
    data_centre: str
    state: str


class VmList(Response):
    """Answer of the platform to `GET /v1/vms`."""

    vms: list[Vm]
