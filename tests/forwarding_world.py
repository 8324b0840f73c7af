"""Builders for tests of forwarded requests."""

import random

from sycamorehollow.decisions.forwarding import request_lifecycle
from sycamorehollow.decisions.forwarding import router
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.model import forwarding
from sycamorehollow.settings import gateway

STREAM = forwarding.RouteKind.STREAM
SAFE = forwarding.RouteKind.SAFE
UNSAFE = forwarding.RouteKind.UNSAFE


def build_settings(**changes):
    """Returns the settings of one node."""
    values = {
        "node": "node-1",
        "ip": "127.0.0.1",
        "data_centre": "dc-1",
        "front": "127.0.0.1:1",
        "ready": "127.0.0.1:2",
        "store": "127.0.0.1:3",
        "first_port": 4,
        "metrics_port": 5,
        "drain_s": 2.0,
        "grace_s": 8.0,
        "retry_ratio": 0.9,
        "retry_window_s": 10.0,
        "retry_floor": 50.0,
        "exposure_share": 0.15,
        "cold_factor": 1.5,
        "cold_floor": 5.0,
        "reuse_s": 7.0,
    }
    return gateway.Settings(**(values | changes))


def build_route(kind=STREAM, **changes):
    """Returns a route to the service `llm`."""
    values = {
        "name": "r-1",
        "host": "models.example",
        "path_prefix": "/draft/",
        "kind": kind,
        "timeout_s": 15.0,
        "objective_s": 2.0,
        "priority": 0,
        "targets": (forwarding.Target("llm", 1.0),),
        "max_attempts": 3,
        "resumable": kind is STREAM,
        "session_affinity": kind is STREAM,
        "models": ("small", "large") if kind is STREAM else (),
        "max_event_gap_s": 1.0 if kind is STREAM else 0.0,
    }
    return forwarding.Route(**(values | changes))


def build_configuration(*routes, version=1, **changes):
    """Returns a configuration with the given routes."""
    values = {
        "version": version,
        "routes": routes or (build_route(),),
        "services": {"llm": forwarding.Service("llm", 100)},
        "limits": forwarding.CallerLimits(),
        "workspaces": None,
    }
    return forwarding.Configuration(**(values | changes))


def build_upstream(identity, **changes):
    """Returns an upstream of the service `llm`."""
    values = {
        "identity": identity,
        "service": "llm",
        "host": "127.0.0.1",
        "port": 1000,
        "data_centre": "dc-1",
        "version": "v1",
        "slots": 8,
        "draining": False,
    }
    return forwarding.Upstream(**(values | changes))


def build_request(**changes):
    """Returns a request that leaves the choice of the model open."""
    values = {
        "request_id": "q-1",
        "method": "POST",
        "host": "models.example",
        "path": "/draft/1",
        "deadline_s": 10.0,
        "any_model": True,
        "prompt_tokens": 1000,
        "output_tokens": 100,
    }
    return forwarding.Request(**(values | changes))


def build_router(*upstreams, configuration=None, **settings):
    """Returns a router that knows a configuration and upstreams."""
    built = router.Router(build_settings(**settings), random.Random(7))
    built.apply_event(
        updates.ConfigurationSet(configuration or build_configuration()), 0.0
    )
    for upstream in upstreams:
        built.apply_event(updates.UpstreamSet(upstream), 0.0)
    return built


def build_lifecycle(built, request=None, route=None, now=0.0, workspace=""):
    """Returns the lifecycle of one request."""
    return request_lifecycle.RequestLifecycle(
        built,
        request or build_request(),
        route or build_route(),
        built.route_table.configuration.services["llm"],
        "fingerprint",
        100,
        now,
        workspace,
    )


def build_head(status=200, **changes):
    """Returns the head of a sealed response."""
    values = {"request_id": "q-1", "sealed": True}
    return forwarding.DecodedHead(status, **(values | changes))
