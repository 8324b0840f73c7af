"""The parts of sync messages that concern crashes by prompt parts."""

from collections.abc import Mapping
from typing import Any

from sycamorehollow.decisions.forwarding import prompt_crashes

CRASHES = "crashes"
# Whether the sender wants all crashes, since it may have missed some.
WANTS_ALL = "all_crashes"


def export(
    log: prompt_crashes.CrashLog, node: str, now: float, everything: bool
) -> dict[str, Any]:
    """Returns the crashes to send to the node at an address."""
    crashes = log.export(node, now, everything)
    if not crashes:
        return {}
    return {CRASHES: [_encode(crash, now) for crash in crashes]}


def merge(
    log: prompt_crashes.CrashLog, document: Mapping[str, Any], now: float
) -> None:
    """Merges the crashes that another node knows.

    Raises:
        AttributeError, TypeError, ValueError: The document is malformed.
    """
    log.merge([_decode(c, now) for c in document.get(CRASHES, ())], now)


def _encode(crash: prompt_crashes.Crash, now: float) -> list[Any]:
    return [
        crash.incarnation,
        crash.service,
        round(max(0.0, now - crash.at), prompt_crashes.AGE_DIGITS),
        [
            [
                part,
                model,
                sorted(suspect.workspaces),
                int(suspect.has_run),
                suspect.waited_s,
            ]
            for (part, model), suspect in crash.suspects.items()
        ],
        [[part, model] for part, model in sorted(crash.cleared)],
    ]


def _decode(entry: Any, now: float) -> prompt_crashes.Crash:
    incarnation, service, age_s, suspects, cleared = entry
    crash = prompt_crashes.Crash(
        str(incarnation), str(service), now - float(age_s)
    )
    for part, model in cleared:
        crash.clear((str(part), str(model)))
    for part, model, workspaces, has_run, waited_s in suspects:
        names = {str(name) for name in workspaces}
        suspect = prompt_crashes.Suspect(names, bool(has_run), float(waited_s))
        crash.add((str(part), str(model)), suspect)
    return crash
