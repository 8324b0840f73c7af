"""Differences between two gateway configurations, and their effects.

A request keeps the route, service, workspace and deadline that it began with.
Limits of callers are read anew for each part of a request that arrives.
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import TypeAlias

from sycamorehollow.platform import configuration_findings as findings
from sycamorehollow.platform import documents

NEW_REQUESTS = "new requests only; running ones keep the former value"
_MOVED = (
    "running requests and streams, also when they are repeated or resumed,"
    " stay with the former services; the next request of a session goes to the"
    " new ones, without its cached prompt prefixes there and with the versions"
    " of their roll-outs"
)

ROUTE_EFFECTS = {
    "host": "running requests end as they began; new ones to the former host"
    " match another route or get 404",
    "pathPrefix": "running requests end as they began; new ones to the former"
    " prefix match another route or get 404",
    "kind": "new requests only; running ones are repeated or not by the former"
    " kind",
    "timeoutMs": "new requests only; running ones keep their deadline",
    "service": _MOVED,
    "trafficSplit": _MOVED,
    "authExempt": "new requests only; without a key they get 401 if it is"
    " false",
    "sessionAffinity": "sessions that state no name are told apart in another"
    " way from their next request on, so in a roll-out they may change version",
    "streamResumption": "new streams only; running ones are resumed or not as"
    " they began",
    "sizes": "new requests only; a session may get another size from its next"
    " request on",
}
SERVICE_EFFECTS = {
    "maxConnections": "running requests keep their connections; the number of"
    " idle ones that are kept changes as requests end",
    "coldPerS": "new requests to cold upstreams",
    "healthCheckPath": "checks of responses that end with their connection use"
    " it, except those of running requests",
    "scaling": "orders follow it within seconds; upstreams that are taken away"
    " are drained, so their streams end or are resumed elsewhere, and their"
    " sessions lose cached prompt prefixes",
}
LIMIT_EFFECTS = {
    "maxHeaderBytes": "requests whose head is arriving and new ones; running"
    " ones are not affected",
    "maxBodyBytes": "requests whose body is arriving and new ones; running ones"
    " are not affected",
    "headerTimeoutMs": "heads that begin to arrive from now on",
    "idleTimeoutMs": "connections that become idle from now on",
}
PRIORITY_EFFECT = "new requests only; running ones keep their priority"


@dataclasses.dataclass(frozen=True)
class Difference:
    """A difference between the configuration in force and a new one.

    Attributes:
        place: The entry by name, and its field.
        before: Value in force; empty if it is absent or secret.
        after: New value; empty if it is absent or secret.
        effect: Effect on running requests and sessions.
    """

    place: str
    before: str
    after: str
    effect: str

    def __str__(self) -> str:
        values = f" {self.before or '-'} -> {self.after or '-'}"
        if not self.before and not self.after:
            values = ""
        return f"difference: {self.place}{values}: {self.effect}"


_Differences: TypeAlias = Iterator[Difference]


def check_version(
    current: documents.ConfigurationDocument,
    new: documents.ConfigurationDocument,
) -> list[findings.Finding]:
    """Returns an error if processes would ignore the new configuration."""
    if new.version > current.version:
        return []
    expected = f"expected more than {current.version}; processes ignore it"
    return [findings.error(("version",), new.version, expected)]


def compare(
    current: documents.ConfigurationDocument,
    new: documents.ConfigurationDocument,
) -> list[Difference]:
    """Returns what differs, apart from the version."""
    return [
        *_compare_routes(current, new),
        *_compare_services(current, new),
        *_compare_fields(
            "limits", current.limits, new.limits, LIMIT_EFFECTS, ""
        ),
        *_compare_tenants(current, new),
    ]


def _compare_fields(
    place: str,
    before: Any,
    after: Any,
    effects: Mapping[str, str],
    default: str,
) -> _Differences:
    fields_before = before.model_dump(mode="json")
    for name, value in after.model_dump(mode="json").items():
        if value == fields_before[name]:
            continue
        yield Difference(
            f"{place}.{name}",
            findings.format_value((name,), fields_before[name]),
            findings.format_value((name,), value),
            effects.get(name, default),
        )


def _compare_routes(
    current: documents.ConfigurationDocument,
    new: documents.ConfigurationDocument,
) -> _Differences:
    before = {route.name: route for route in current.routes}
    after = {route.name: route for route in new.routes}
    for name in sorted(before.keys() | after.keys()):
        place = f"routes.{name}"
        if name not in after:
            target = _describe_match(new, before[name])
            effect = f"running requests end as they began; new ones {target}"
            yield Difference(place, "present", "", effect)
        elif name not in before:
            target = _describe_match(current, after[name])
            effect = f"new requests match it; before, they {target}"
            yield Difference(place, "", "present", effect)
        else:
            yield from _compare_fields(
                place, before[name], after[name], ROUTE_EFFECTS, NEW_REQUESTS
            )


def _describe_match(
    document: documents.ConfigurationDocument, route: documents.RouteDocument
) -> str:
    """Tells where a document sends the requests to the prefix of a route."""
    matches = [
        other
        for other in document.routes
        if other.host.lower() == route.host.lower()
        and route.pathPrefix.startswith(other.pathPrefix)
    ]
    if not matches:
        return "get 404"
    best = max(matches, key=lambda other: len(other.pathPrefix))
    return f"match route {best.name}"


def _compare_services(
    current: documents.ConfigurationDocument,
    new: documents.ConfigurationDocument,
) -> _Differences:
    before = {service.name: service for service in current.services}
    after = {service.name: service for service in new.services}
    for name in sorted(before.keys() | after.keys()):
        place = f"services.{name}"
        if name not in after:
            effect = (
                "running requests and streams end at its upstreams; new ones go"
                " to other services of their route, or get 404"
            )
            yield Difference(place, "present", "", effect)
        elif name not in before:
            effect = "none, unless a route sends requests to it"
            yield Difference(place, "", "present", effect)
        else:
            yield from _compare_fields(
                place, before[name], after[name], SERVICE_EFFECTS, NEW_REQUESTS
            )


def _compare_tenants(
    current: documents.ConfigurationDocument,
    new: documents.ConfigurationDocument,
) -> _Differences:
    if (current.tenants is None) != (new.tenants is None):
        needs = new.tenants is not None
        effect = "need a key of a workspace" if needs else "need no key"
        yield Difference(
            "tenants",
            "" if needs else "present",
            "present" if needs else "",
            f"running requests end as they began; new ones {effect}",
        )
    if current.tenants is None or new.tenants is None:
        return
    before, after = _map_keys(current.tenants), _map_keys(new.tenants)
    yield from _compare_keys(before, after)
    priorities = {tenant.name: tenant.priority for tenant in current.tenants}
    for tenant in new.tenants:
        known = priorities.get(tenant.name, tenant.priority)
        if known != tenant.priority:
            yield Difference(
                f"tenants.{tenant.name}.priority",
                findings.format_value(("priority",), known),
                findings.format_value(("priority",), tenant.priority),
                PRIORITY_EFFECT,
            )


def _map_keys(tenants: list[documents.TenantDocument]) -> dict[str, str]:
    """Returns the workspace of each key, of which the last one holds."""
    return {key: tenant.name for tenant in tenants for key in tenant.apiKeys}


def _compare_keys(
    before: Mapping[str, str], after: Mapping[str, str]
) -> _Differences:
    """Returns changes of keys by workspace, without the keys."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for key in before.keys() | after.keys():
        old, new = before.get(key), after.get(key)
        if old == new:
            continue
        if old is None:
            effect = "new requests with them are accepted"
        elif new is None:
            effect = (
                "running requests end as they began; new ones, also of"
                " sessions, get 401"
            )
        else:
            effect = (
                f"from the next request on they belong to {new}, with its"
                " priority"
            )
        kind = "added" if old is None else "removed" if new is None else "moved"
        counts[f"tenants.{old or new}.apiKeys ({kind})", effect] += 1
    for (place, effect), count in sorted(counts.items()):
        yield Difference(place, "", "", f"keys: {count}; {effect}")
