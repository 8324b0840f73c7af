"""Decodes and encodes the values in the platform's store.

Each value is validated, as other writers may store anything.
"""

import dataclasses
import ipaddress
import json
from typing import Annotated
from typing import Any

import loguru
import pydantic

from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding

CONFIGURATION_KEY = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
STATUS_PREFIX = "status/rollout/"
NODE_PREFIX = "nodes/"

_ROUTE_KINDS = {
    "safe": forwarding.RouteKind.SAFE,
    "unsafe": forwarding.RouteKind.UNSAFE,
    "streaming": forwarding.RouteKind.STREAM,
}
_DRAINING_BY_STATE = {"ready": False, "draining": True}

_Count = Annotated[int, pydantic.Field(strict=True, ge=0)]
_Number = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_Name = Annotated[str, pydantic.Field(strict=True, min_length=1)]


class _TrafficShare(pydantic.BaseModel):
    service: _Name
    weight: _Number


class _Route(pydantic.BaseModel):
    name: _Name
    host: _Name
    pathPrefix: _Name  # noqa: N815
    kind: _Name
    timeoutMs: _Number  # noqa: N815
    targetLatencyMs: _Number = 0  # noqa: N815
    priority: int = 5
    service: str = ""
    trafficSplit: list[_TrafficShare] = []  # noqa: N815
    maxAttempts: int = pydantic.Field(1, ge=1)  # noqa: N815
    authExempt: bool = False  # noqa: N815
    sessionAffinity: bool = False  # noqa: N815
    streamResumption: bool = False  # noqa: N815
    targetGapMs: _Number = 0  # noqa: N815
    sizes: list[_Name] = []


class _Model(pydantic.BaseModel):
    name: _Name


class _Scaling(pydantic.BaseModel):
    min: _Count | None = None
    max: _Count | None = None
    bootTimeS: _Number | None = None  # noqa: N815


class _EngineModel(pydantic.BaseModel):
    name: _Name
    cost: _Number = 0


class _Engine(pydantic.BaseModel):
    slots: _Count = 0
    kvCapacity: _Count = 0  # noqa: N815
    models: list[_EngineModel] = []
    prefillBudget: bool = False  # noqa: N815


class _Service(pydantic.BaseModel):
    name: _Name
    maxConnections: _Count = 0  # noqa: N815
    coldPerS: _Number = 0  # noqa: N815
    healthCheckPath: str = ""  # noqa: N815
    scaling: _Scaling | None = None
    # Validated by itself: a faulty one must not reject the configuration.
    engine: Any = None


class _Limits(pydantic.BaseModel):
    maxHeaderBytes: _Count = 16384  # noqa: N815
    maxBodyBytes: _Count = 4 << 20  # noqa: N815
    headerTimeoutMs: _Number = 3000  # noqa: N815
    idleTimeoutMs: _Number = 15000  # noqa: N815


class _Tenant(pydantic.BaseModel):
    name: _Name
    apiKeys: list[str] = []  # noqa: N815
    priority: int | None = None


class _Configuration(pydantic.BaseModel):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


# For the checks of a configuration before it is sent.
ConfigurationDocument = _Configuration
RouteDocument = _Route
ServiceDocument = _Service
TenantDocument = _Tenant
LimitsDocument = _Limits


@dataclasses.dataclass(frozen=True)
class Fault:
    """A value that processes reject.

    Attributes:
        place: Fields and positions that lead to the value.
        value: The value found.
        expected: What is expected instead.
    """

    place: tuple[str | int, ...]
    value: Any
    expected: str


class _Upstream(pydantic.BaseModel):
    service: _Name
    address: _Name
    zone: _Name
    version: str = pydantic.Field(strict=True)
    slots: _Count
    state: _Name
    # Time left when the entry was written, not a point in time.
    coldRemainingMs: _Number = 0  # noqa: N815
    born: int = 0
    models: list[_Model] = []


class _Rollout(pydantic.BaseModel):
    service: _Name
    # Version of the service's software, not an address.
    target: _Name
    durationS: _Number = 0  # noqa: N815


class _Status(pydantic.BaseModel):
    target: _Name
    state: _Name


class _Node(pydantic.BaseModel):
    peer: _Name
    data_centre: _Name
    link_mbps: _Number = 0


def decode_node(text: str) -> watchers.Node | failures.InvalidRequest:
    """Decodes the entry of a gateway node."""
    node = _decode(_Node, text)
    if isinstance(node, failures.InvalidRequest):
        return node
    return watchers.Node(node.peer, node.data_centre, node.link_mbps)


def encode_node(node: watchers.Node) -> str:
    """Returns the value with which a node registers itself."""
    return json.dumps(
        {
            "peer": node.peer_address,
            "data_centre": node.data_centre,
            "link_mbps": node.link_mbps,
        }
    )


def validate_configuration(text: str) -> _Configuration | list[Fault]:
    """Returns the validated document, or every fault in it."""
    try:
        document = _Configuration.model_validate_json(text)
    except pydantic.ValidationError as error:
        return [
            Fault(
                entry["loc"],
                # The input of a missing field is the entry around it.
                None if entry["type"] == "missing" else entry["input"],
                entry["msg"],
            )
            for entry in error.errors(include_url=False)
        ]
    kinds = ", ".join(_ROUTE_KINDS)
    faults = [
        Fault(
            ("routes", i, "kind"), route.kind, f"unknown kind, not in {kinds}"
        )
        for i, route in enumerate(document.routes)
        if route.kind not in _ROUTE_KINDS
    ]
    return faults or document


def decode_configuration(
    text: str,
) -> forwarding.Configuration | failures.InvalidRequest:
    """Decodes the configuration of routes, services and workspaces."""
    document = validate_configuration(text)
    if isinstance(document, list):
        first = document[0]
        location = ".".join(str(part) for part in first.place)
        return failures.InvalidRequest(f"{location}: {first.expected}")
    limits = document.limits
    return forwarding.Configuration(
        version=document.version,
        routes=tuple(_build_route(route) for route in document.routes),
        services={s.name: _build_service(s) for s in document.services},
        limits=forwarding.CallerLimits(
            limits.maxHeaderBytes,
            limits.maxBodyBytes,
            limits.headerTimeoutMs / 1000,
            limits.idleTimeoutMs / 1000,
        ),
        workspaces=_build_workspaces(document.tenants),
    )


def decode_upstream(
    key: str, text: str
) -> forwarding.Upstream | failures.InvalidRequest:
    """Decodes an upstream's entry."""
    entry = _decode(_Upstream, text)
    if isinstance(entry, failures.InvalidRequest):
        return entry
    address = _parse_address(entry.address)
    if entry.state not in _DRAINING_BY_STATE or address is None:
        return failures.InvalidRequest("the entry names no state or address")
    host, port = address
    return forwarding.Upstream(
        identity=key.removeprefix(UPSTREAM_PREFIX),
        service=entry.service,
        host=host,
        port=port,
        data_centre=entry.zone,
        version=entry.version,
        slots=entry.slots,
        draining=_DRAINING_BY_STATE[entry.state],
        cold_s=entry.coldRemainingMs / 1000,
        started_ms=entry.born,
        models=tuple(model.name for model in entry.models),
    )


def read_version(text: str) -> tuple[int, ...] | None:
    """Returns the version of a configuration; `None` if it has none."""
    return _read_numbers(text, "version")


def read_upstream_age(text: str) -> tuple[int, ...] | None:
    """Returns the start of an upstream and the number of its entry."""
    return _read_numbers(text, "born", "seq")


def decode_rollout(
    text: str, revision: int
) -> forwarding.RolloutOrder | failures.InvalidRequest:
    """Decodes an operator's order of a roll-out."""
    order = _decode(_Rollout, text)
    if isinstance(order, failures.InvalidRequest):
        return order
    return forwarding.RolloutOrder(
        order.service, order.target, order.durationS, revision
    )


def decode_status(
    key: str, text: str, revision: int
) -> forwarding.RolloutStatus | failures.InvalidRequest:
    """Decodes the status of a roll-out that a node has written."""
    status = _decode(_Status, text)
    if isinstance(status, failures.InvalidRequest):
        return status
    try:
        state = forwarding.RolloutState(status.state)
    except ValueError:
        return failures.InvalidRequest(f"unknown state {status.state!r}")
    service = key.removeprefix(STATUS_PREFIX)
    return forwarding.RolloutStatus(service, status.target, state, revision)


def encode_status(target: str, state: forwarding.RolloutState) -> str:
    """Returns the value with the status of a roll-out."""
    return json.dumps({"state": state.value, "target": target})


def _read_numbers(text: str, *names: str) -> tuple[int, ...] | None:
    try:
        document = json.loads(text)
        numbers = tuple(document.get(name, 0) for name in names)
    except (ValueError, AttributeError, RecursionError):
        # The decoder of the value rejects and logs it.
        return None
    if not all(isinstance(number, int) for number in numbers):
        return None
    return numbers


def _decode(kind: Any, text: str) -> Any:
    try:
        return kind.model_validate_json(text)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        location = ".".join(str(part) for part in first["loc"])
        return failures.InvalidRequest(f"{location}: {first['msg']}")


def _parse_address(text: str) -> tuple[str, int] | None:
    """Parses an IP address with a valid port."""
    host, _, digits = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        port = int(digits) if digits.isascii() and digits.isdigit() else 0
    except ValueError:
        return None
    return (host, port) if 0 < port < 65536 else None


def _build_route(route: _Route) -> forwarding.Route:
    targets = tuple(
        forwarding.Target(share.service, share.weight)
        for share in route.trafficSplit
        if share.weight > 0
    )
    if not targets and route.service:
        targets = (forwarding.Target(route.service, 1.0),)
    return forwarding.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.pathPrefix,
        kind=_ROUTE_KINDS[route.kind],
        timeout_s=route.timeoutMs / 1000,
        objective_s=route.targetLatencyMs / 1000,
        priority=route.priority,
        targets=targets,
        max_attempts=route.maxAttempts,
        auth_exempt=route.authExempt,
        resumable=route.streamResumption,
        session_affinity=route.sessionAffinity,
        models=tuple(route.sizes),
        max_event_gap_s=route.targetGapMs / 1000,
    )


def _build_service(service: _Service) -> forwarding.Service:
    return forwarding.Service(
        name=service.name,
        max_connections=service.maxConnections,
        cold_requests_per_s=service.coldPerS,
        health_path=service.healthCheckPath,
        scaling=_build_scaling(service.scaling),
        engine=_build_engine(service.engine),
    )


def _build_engine(entry: Any) -> forwarding.Engine | None:
    if entry is None:
        return None
    try:
        engine = _Engine.model_validate(entry)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        loguru.logger.warning("invalid engine entry: {}", first["msg"])
        return forwarding.Engine()
    return forwarding.Engine(
        slots=engine.slots,
        cache_tokens=engine.kvCapacity,
        model_costs={model.name: model.cost for model in engine.models},
        prefill_budget=engine.prefillBudget,
    )


def _build_scaling(scaling: _Scaling | None) -> forwarding.Scaling | None:
    """Returns `None` without all fields, or with a range that is empty.

    A configuration is not rejected for it: requests do not depend on it.
    """
    if scaling is None or scaling.min is None or scaling.max is None:
        return None
    if scaling.bootTimeS is None or scaling.min > scaling.max:
        return None
    return forwarding.Scaling(scaling.min, scaling.max, scaling.bootTimeS)


def _build_workspaces(
    tenants: list[_Tenant] | None,
) -> dict[str, forwarding.Workspace] | None:
    if tenants is None:
        return None
    return {
        key: forwarding.Workspace(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.apiKeys
    }
