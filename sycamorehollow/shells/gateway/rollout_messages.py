"""The parts of sync messages that concern roll-outs."""

from collections.abc import Mapping
from typing import Any

from sycamorehollow.decisions.forwarding import canary
from sycamorehollow.decisions.forwarding import failure_counts
from sycamorehollow.decisions.forwarding import failure_evidence
from sycamorehollow.decisions.forwarding import rollout_records
from sycamorehollow.decisions.forwarding import slowness


def export(rollouts: canary.Rollouts, now: float) -> dict[str, Any]:
    """Returns the roll-out reports and latency counts of this node."""
    return {
        "rollouts": [
            {
                "service": report.service,
                "revision": report.revision,
                "worse": report.worse,
                "age_s": report.age_s,
                "first_share": report.first_share,
                "sound_s": report.sound_s,
                "tallies": {
                    node: [t.new, t.new_failed, t.old, t.old_failed]
                    for node, t in report.tallies.items()
                },
            }
            for report in rollouts.export(now)
        ],
        # Not a field of the entries above: processes of older versions reject
        # entries with unknown fields.
        "slowness": [
            {
                "service": rollout.order.service,
                "revision": rollout.order.revision,
                "counts": {
                    node: {r: c.encode() for r, c in routes.items()}
                    for node, routes in rollout.evidence.counts.items()
                },
            }
            for rollout in rollouts.list_running()
        ],
        "route_failures": [
            {
                "service": report.service,
                "revision": report.revision,
                "sound_s": report.sound_s,
                "proven_s": report.proven_s,
                "counts": {
                    node: _encode_routes(routes)
                    for node, routes in report.counts.items()
                },
            }
            for report in rollouts.export_routes(now)
        ],
    }


def merge(
    rollouts: canary.Rollouts, document: Mapping[str, Any], now: float
) -> None:
    """Merges the roll-out reports and latency counts of another node.

    Raises:
        AttributeError, KeyError, TypeError, ValueError: The document is
            malformed.
    """
    for entry in document.get("rollouts", ()):
        tallies = {
            node: failure_counts.Tally(*counts)
            for node, counts in entry.pop("tallies").items()
        }
        report = rollout_records.RolloutReport(tallies=tallies, **entry)
        rollouts.merge(report, now)
    for entry in document.get("slowness", ()):
        counts = {
            node: {r: slowness.decode(c) for r, c in routes.items()}
            for node, routes in entry["counts"].items()
        }
        rollouts.merge_slowness(entry["service"], entry["revision"], counts)
    for entry in document.get("route_failures", ()):
        rollouts.merge_routes(
            rollout_records.RouteReport(
                entry["service"],
                entry["revision"],
                entry["sound_s"],
                entry["proven_s"],
                {
                    node: _decode_routes(routes)
                    for node, routes in entry["counts"].items()
                },
            ),
            now,
        )


def _encode_routes(
    routes: Mapping[str, Mapping[str, failure_evidence.Counts]],
) -> dict[str, dict[str, list[int]]]:
    """Returns the counts of one node by route and model."""
    return {
        route: {model: counts.encode() for model, counts in models.items()}
        for route, models in routes.items()
    }


def _decode_routes(
    routes: Mapping[str, Mapping[str, list[int]]],
) -> dict[str, dict[str, failure_evidence.Counts]]:
    """Decodes the result of `_encode_routes`.

    Raises:
        AttributeError, TypeError, ValueError: It is malformed.
    """
    return {
        route: {
            model: failure_evidence.decode(values)
            for model, values in models.items()
        }
        for route, models in routes.items()
    }
