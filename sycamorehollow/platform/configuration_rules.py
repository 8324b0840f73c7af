"""Checks a gateway configuration before it is sent.

Beyond what processes reject, finds what they accept although it cannot work:
entries that never match, and limits that contradict each other.
"""

from collections.abc import Iterator
import json
from typing import Any
from typing import TypeAlias

import pydantic

from sycamorehollow.platform import configuration_findings as findings
from sycamorehollow.platform import documents

# Memory of the smallest machine, and of a process before its first request.
SMALLEST_MEMORY_MB = 128
PROGRAM_MB = 65
# Kept free for connections, the state of the deployment and fragmentation.
MEMORY_MARGIN_MB = 16
# A body is held once as received and once as sent to the upstream.
BODY_COPIES = 2
# A header line of five bytes is held as a tuple of two byte strings, which
# takes some 150 bytes.
HEAD_BYTES_PER_BYTE = 30
# Requests of the largest size that should fit at once.
CONCURRENT_REQUESTS = 4
MAX_PRIORITY = 9
# Characters that the host or path of a request never has.
HOST_SEPARATORS = ":/*?# "
PATH_SEPARATORS = "?#* "


_Findings: TypeAlias = Iterator[findings.Finding]
_Place: TypeAlias = findings.Place


def check(text: str) -> list[findings.Finding]:
    """Returns the findings on a configuration."""
    document = documents.validate_configuration(text)
    if isinstance(document, list):
        return [
            findings.error(fault.place, fault.value, fault.expected)
            for fault in document
        ]
    return [
        *_find_unknown_fields(document, json.loads(text), ()),
        *_check_routes(document),
        *_check_services(document),
        *_check_tenants(document),
        *_check_limits(document.limits),
    ]


def _find_unknown_fields(model: Any, raw: Any, place: _Place) -> _Findings:
    if isinstance(model, list):
        for i, (item, raw_item) in enumerate(zip(model, raw, strict=True)):
            yield from _find_unknown_fields(item, raw_item, (*place, i))
        return
    if not isinstance(model, pydantic.BaseModel) or not isinstance(raw, dict):
        return
    known = type(model).model_fields
    for name, value in raw.items():
        if name in known:
            found = getattr(model, name)
            yield from _find_unknown_fields(found, value, (*place, name))
            continue
        similar = [field for field in known if field.lower() == name.lower()]
        hint = f"; expected {similar[0]}" if similar else ""
        expected = f"processes ignore this field{hint}"
        # A misspelt name may stand for one with secrets.
        yield findings.warn((*place, name), findings.HIDDEN, expected)


def _check_routes(document: documents.ConfigurationDocument) -> _Findings:
    services = {service.name for service in document.services}
    names: dict[str, int] = {}
    prefixes: dict[tuple[str, str], int] = {}
    for i, route in enumerate(document.routes):
        place = ("routes", i)
        first = names.setdefault(route.name, i)
        if first != i:
            yield findings.warn(
                (*place, "name"),
                route.name,
                f"routes.{first} has the same name in the log",
            )
        first = prefixes.setdefault((route.host.lower(), route.pathPrefix), i)
        if first != i:
            yield findings.error(
                (*place, "pathPrefix"),
                route.pathPrefix,
                f"shadowed: routes.{first} has the same host and prefix",
            )
        yield from _check_match(route, place)
        yield from _check_targets(route, place, services)
        yield from _check_times(route, place)
        yield from _check_attempts(route, place)
        yield from _check_priority(route.priority, place)


def _check_match(route: documents.RouteDocument, place: _Place) -> _Findings:
    if any(character in route.host for character in HOST_SEPARATORS):
        yield findings.error(
            (*place, "host"),
            route.host,
            "never matches: expected a name without port, path or pattern",
        )
    prefix = route.pathPrefix
    if not prefix.startswith("/") or any(c in prefix for c in PATH_SEPARATORS):
        yield findings.error(
            (*place, "pathPrefix"),
            prefix,
            "never matches: expected a path that begins with a slash, without"
            " query or pattern",
        )
    elif not prefix.endswith("/"):
        yield findings.warn(
            (*place, "pathPrefix"),
            prefix,
            "also matches names that only begin with it; expected a slash at"
            " the end",
        )


def _check_targets(
    route: documents.RouteDocument, place: _Place, services: set[str]
) -> _Findings:
    targets = []
    for i, share in enumerate(route.trafficSplit):
        share_place = (*place, "trafficSplit", i)
        if share.weight == 0:
            yield findings.warn(
                (*share_place, "weight"), share.weight, "gets no requests"
            )
            continue
        if share.service in targets:
            yield findings.warn(
                (*share_place, "service"),
                share.service,
                "is named twice; its weights add up",
            )
        targets.append(share.service)
        if share.service not in services:
            yield findings.error(
                (*share_place, "service"),
                share.service,
                "expected one of `services`; its share goes to the others",
            )
    if targets and route.service:
        yield findings.warn(
            (*place, "service"),
            route.service,
            "shadowed: requests go to the services in `trafficSplit`",
        )
    elif route.service and route.service not in services:
        yield findings.error(
            (*place, "service"), route.service, "expected one of `services`"
        )
    if not targets and not route.service:
        yield findings.error(
            (*place, "service"),
            route.service,
            "expected a service; all requests get 404",
        )


def _check_times(route: documents.RouteDocument, place: _Place) -> _Findings:
    timeout = (*place, "timeoutMs")
    if route.timeoutMs == 0:
        yield findings.error(
            timeout, 0, "expected more than 0; no request has time to run"
        )
    elif route.timeoutMs < route.targetLatencyMs:
        yield findings.warn(
            timeout,
            route.timeoutMs,
            f"is below targetLatencyMs, {route.targetLatencyMs:g}",
        )
    gap = (*place, "targetGapMs")
    if route.kind != "streaming" and route.targetGapMs:
        yield findings.warn(gap, route.targetGapMs, "only streams have pauses")
    elif route.targetGapMs > route.timeoutMs:
        yield findings.warn(gap, route.targetGapMs, "is above timeoutMs")


def _check_attempts(route: documents.RouteDocument, place: _Place) -> _Findings:
    is_stream = route.kind == "streaming"
    if route.streamResumption and not is_stream:
        yield findings.warn(
            (*place, "streamResumption"),
            True,
            "has no effect, as the kind is not streaming",
        )
    is_retryable = route.streamResumption if is_stream else route.kind == "safe"
    if route.maxAttempts > 1 and not is_retryable:
        yield findings.warn(
            (*place, "maxAttempts"),
            route.maxAttempts,
            "has no effect: such requests never run twice",
        )
    if len(set(route.sizes)) > 1 and route.maxAttempts < 2:
        yield findings.warn(
            (*place, "maxAttempts"),
            route.maxAttempts,
            "expected 2 or more; the larger sizes are never asked",
        )


def _check_priority(priority: int | None, place: _Place) -> _Findings:
    if priority is not None and not 0 <= priority <= MAX_PRIORITY:
        yield findings.warn(
            (*place, "priority"),
            priority,
            f"expected 0 to {MAX_PRIORITY}; engines get the nearest of these",
        )


def _check_services(document: documents.ConfigurationDocument) -> _Findings:
    used = {route.service for route in document.routes}
    for route in document.routes:
        used |= {s.service for s in route.trafficSplit if s.weight > 0}
    latest = {service.name: i for i, service in enumerate(document.services)}
    for i, service in enumerate(document.services):
        place = ("services", i)
        if latest[service.name] != i:
            yield findings.error(
                (*place, "name"),
                service.name,
                f"shadowed: services.{latest[service.name]} has the same name",
            )
        if service.name not in used:
            yield findings.warn(
                (*place, "name"), service.name, "no route sends requests to it"
            )
        yield from _check_cold(service, place)
        yield from _check_scaling(service, place)


def _check_cold(service: documents.ServiceDocument, place: _Place) -> _Findings:
    if 0 < service.coldPerS < 1:
        yield findings.warn(
            (*place, "coldPerS"),
            service.coldPerS,
            "expected 1 or more; a cold upstream gets one request per second",
        )
    if service.scaling is None or not service.scaling.bootTimeS:
        return
    if service.coldPerS == 0:
        yield findings.warn(
            (*place, "coldPerS"),
            service.coldPerS,
            "new upstreams have a start time in `scaling`, and get all requests"
            " at once after it; expected more than 0 unless they start warm",
        )


def _check_scaling(
    service: documents.ServiceDocument, place: _Place
) -> _Findings:
    scaling = service.scaling
    if scaling is None:
        return
    for name in ("min", "max", "bootTimeS"):
        if getattr(scaling, name) is None:
            yield findings.warn(
                (*place, "scaling", name),
                None,
                "is missing, so no orders are given for the service",
            )
    if scaling.min is None or scaling.max is None:
        return
    if scaling.min > scaling.max:
        yield findings.error(
            (*place, "scaling", "min"),
            scaling.min,
            f"is above max, {scaling.max}, so no orders are given",
        )
    elif scaling.max == 0:
        yield findings.error(
            (*place, "scaling", "max"), 0, "expected more than 0 upstreams"
        )


def _check_tenants(document: documents.ConfigurationDocument) -> _Findings:
    if document.tenants is None:
        return
    latest = {
        key: i
        for i, tenant in enumerate(document.tenants)
        for key in tenant.apiKeys
    }
    names: dict[str, int] = {}
    for i, tenant in enumerate(document.tenants):
        place = ("tenants", i)
        first = names.setdefault(tenant.name, i)
        if first != i:
            yield findings.warn(
                (*place, "name"),
                tenant.name,
                f"tenants.{first} has the same name",
            )
        if not any(latest[key] == i for key in tenant.apiKeys if key):
            yield findings.warn(
                (*place, "apiKeys"), [], "no request belongs to this workspace"
            )
        yield from _check_keys(tenant, i, latest)
        yield from _check_priority(tenant.priority, place)
    exempt = any(route.authExempt for route in document.routes)
    if not any(latest) and document.routes and not exempt:
        yield findings.error(
            ("tenants",), [], "no key exists; all requests get 401"
        )


def _check_keys(
    tenant: documents.TenantDocument, i: int, latest: dict[str, int]
) -> _Findings:
    for j, key in enumerate(tenant.apiKeys):
        place = ("tenants", i, "apiKeys", j)
        if not key or key != key.strip():
            yield findings.error(
                place, key, "never matches: expected a key without spaces"
            )
        elif latest[key] != i:
            yield findings.error(
                place, key, f"shadowed: tenants.{latest[key]} has the same key"
            )


def _check_limits(limits: documents.LimitsDocument) -> _Findings:
    for name, expected in (
        ("maxHeaderBytes", "all requests get 431"),
        ("headerTimeoutMs", "no request head arrives in time"),
    ):
        if getattr(limits, name) == 0:
            yield findings.error(
                ("limits", name), 0, f"expected more than 0; {expected}"
            )
    if limits.maxBodyBytes == 0:
        yield findings.warn(
            ("limits", "maxBodyBytes"), 0, "all requests with a body get 413"
        )
    if limits.idleTimeoutMs == 0:
        yield findings.warn(
            ("limits", "idleTimeoutMs"), 0, "no connection is used again"
        )
    free_mb = SMALLEST_MEMORY_MB - PROGRAM_MB - MEMORY_MARGIN_MB
    for name, factor in (
        ("maxHeaderBytes", HEAD_BYTES_PER_BYTE),
        ("maxBodyBytes", BODY_COPIES),
    ):
        value = getattr(limits, name)
        fitting = (free_mb << 20) // max(1, value * factor)
        if fitting >= CONCURRENT_REQUESTS:
            continue
        yield (findings.warn if fitting else findings.error)(
            ("limits", name),
            value,
            f"the smallest machine ({SMALLEST_MEMORY_MB} MB) holds {fitting}"
            f" requests of this size at once; expected at most"
            f" {(free_mb << 20) // factor // CONCURRENT_REQUESTS}",
        )
