"""What nodes tell each other of roll-outs."""

from collections.abc import Mapping
from typing import Any

from sycamorehollow.decisions.forwarding import canary
from sycamorehollow.decisions.forwarding import failure_counts
from sycamorehollow.decisions.forwarding import rollout_records
from sycamorehollow.decisions.forwarding import slowness


def export(rollouts: canary.Rollouts, now: float) -> dict[str, Any]:
    """Returns the part of a node's news that concerns roll-outs."""
    return {
        "rollouts": [
            {
                "service": finding.service,
                "revision": finding.revision,
                "worse": finding.worse,
                "age_s": finding.age_s,
                "first_share": finding.first_share,
                "sound_s": finding.sound_s,
                "tallies": {
                    node: [t.new, t.new_failed, t.old, t.old_failed]
                    for node, t in finding.tallies.items()
                },
            }
            for finding in rollouts.export(now)
        ],
        # Older processes read the entries above strictly.
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
    }


def merge(
    rollouts: canary.Rollouts, document: Mapping[str, Any], now: float
) -> None:
    """Takes what another node has found.

    Raises:
        AttributeError, KeyError, TypeError, ValueError: The news is malformed.
    """
    for entry in document.get("rollouts", ()):
        tallies = {
            node: failure_counts.Tally(*counts)
            for node, counts in entry.pop("tallies").items()
        }
        finding = rollout_records.RolloutReport(tallies=tallies, **entry)
        rollouts.merge(finding, now)
    for entry in document.get("slowness", ()):
        counts = {
            node: {r: slowness.decode(c) for r, c in routes.items()}
            for node, routes in entry["counts"].items()
        }
        rollouts.merge_slowness(entry["service"], entry["revision"], counts)
