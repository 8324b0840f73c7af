"""Which prompt parts are to blame for crashes of upstreams.

Many sound parts are in use when an upstream crashes. The blame falls on the
smallest set of parts that explains the crashes: first on the part that most of
them have in common, and among equals on those that no node has seen a response
to. Crashes that a part explains speak against no other part.

A response clears a part whatever model wrote it. What is left unexplained may
be due to one model that crashes on the part, and is blamed on the two together.
"""

from collections.abc import Iterable
import dataclasses
import enum

from sycamorehollow.decisions.forwarding import prompt_crashes

# Crashes within this time count as one, unless a request was sent in between:
# upstreams that lose their power together end together, whatever they run.
INCIDENT_S = 0.25
# A failover is sent at the moment of the crash, whose time is inexact.
SENT_TOLERANCE_S = 0.01
# Incidents from which a part is only sent to one upstream, and rejected.
ISOLATION_INCIDENTS = 2
QUARANTINE_INCIDENTS = 3
# Time that the incidents must span, and their number must be larger, before a
# part is rejected that had run well. While all upstreams of a service are down,
# nothing can run that would clear it.
PROOF_SPAN_S = 2.0
# Interval of the trials of a part in quarantine. It doubles with each crash
# beyond those of the verdict. A part that had run well is the likelier to be
# blamed without reason.
TRIAL_S = 60.0
TRIAL_AFTER_RUN_S = 6.0


# Model of a part that is blamed whatever model runs it.
ANY_MODEL = "*"


class Level(enum.IntEnum):
    """How much speaks against a part."""

    NONE = 0
    SUSPECTED = 1
    ISOLATED = 2
    QUARANTINED = 3


@dataclasses.dataclass(frozen=True)
class Blame:
    """The crashes that a part explains.

    Attributes:
        part: The part.
        crashes: The crashes, the earliest first.
        has_run: Whether a node had seen a response to the part before.
        rivals: Parts that explain the same crashes equally well.
        model: The model that crashes on the part, or `ANY_MODEL`.
    """

    part: str
    crashes: tuple[prompt_crashes.Crash, ...]
    has_run: bool
    rivals: frozenset[str] = frozenset()
    model: str = ANY_MODEL

    def compute_level(self, prompt: prompt_crashes.Prompt) -> Level:
        """Returns what speaks against a prompt with the part.

        If only requests of one workspace crashed, a part is no more than
        suspected for the others: nobody can have their parts rejected. A
        prompt without some of the rivals tells them apart, so it may run.
        """
        incidents = self.incidents
        workspaces = _list_workspaces(self.part, self.crashes)
        if len(workspaces) == 1 and prompt.workspace not in workspaces:
            incidents = min(1, incidents)
        if incidents >= QUARANTINE_INCIDENTS and self.is_proven:
            if self.rivals.issubset(prompt.parts):
                return Level.QUARANTINED
            return Level.ISOLATED
        if incidents >= ISOLATION_INCIDENTS:
            return Level.ISOLATED
        return Level.SUSPECTED if incidents else Level.NONE

    @property
    def incidents(self) -> int:
        """Number of incidents that the part explains."""
        return count_incidents(self.part, self.crashes)

    @property
    def is_proven(self) -> bool:
        """Whether the incidents suffice to reject requests with the part."""
        if not self.has_run:
            return self.incidents >= QUARANTINE_INCIDENTS
        span_s = self.last_crash_at - self.crashes[0].at
        return self.incidents > QUARANTINE_INCIDENTS and span_s >= PROOF_SPAN_S

    @property
    def last_crash_at(self) -> float:
        """When the latest crash happened."""
        return self.crashes[-1].at

    @property
    def trial_interval_s(self) -> float:
        """Seconds from the latest crash until the part may be tried again."""
        first_s = TRIAL_AFTER_RUN_S if self.has_run else TRIAL_S
        further = min(16, max(0, self.incidents - QUARANTINE_INCIDENTS))
        return first_s * 2**further


def assign_blame(
    crashes: Iterable[prompt_crashes.Crash],
) -> dict[str, dict[prompt_crashes.Pair, Blame]]:
    """Returns the parts to blame, by service, and by part and model."""
    by_service: dict[str, list[prompt_crashes.Crash]] = {}
    for crash in sorted(crashes, key=lambda c: (c.at, c.incarnation)):
        by_service.setdefault(crash.service, []).append(crash)
    return {
        service: _explain(of_service)
        for service, of_service in by_service.items()
    }


def count_incidents(part: str, crashes: Iterable[prompt_crashes.Crash]) -> int:
    """Returns the number of crashes, those at about the same time as one.

    Args:
        part: A suspect of the crashes.
        crashes: The crashes, the earliest first.
    """
    count = 0
    began_at = float("-inf")
    for crash in crashes:
        waited_s = min(
            (s.waited_s for (p, _), s in crash.suspects.items() if p == part),
            default=float("inf"),
        )
        sent_at = crash.at - waited_s + SENT_TOLERANCE_S
        if crash.at - began_at >= INCIDENT_S or sent_at > began_at:
            count += 1
            began_at = crash.at
    return count


def _explain(
    crashes: list[prompt_crashes.Crash],
) -> dict[prompt_crashes.Pair, Blame]:
    """Returns a small set of parts that explains the crashes of a service."""
    blamed: dict[prompt_crashes.Pair, Blame] = {}
    remaining = _assign(crashes, ANY_MODEL, blamed)
    models = {model for crash in remaining for _, model in crash.suspects}
    for model in sorted(models):
        remaining = _assign(remaining, model, blamed)
    return blamed


def _assign(
    crashes: list[prompt_crashes.Crash],
    model: str,
    blamed: dict[prompt_crashes.Pair, Blame],
) -> list[prompt_crashes.Crash]:
    """Adds the parts to blame; returns the crashes that remain."""
    remaining = crashes
    while candidates := _list_candidates(remaining, model):
        best = max(candidates, key=_rank)
        chosen = [c for c in candidates if _rank(c) == _rank(best)]
        if best.incidents >= QUARANTINE_INCIDENTS:
            chosen = _list_rivals(best, chosen)
        for blame in chosen:
            blamed[blame.part, model] = blame
        explained = {c.incarnation for b in chosen for c in b.crashes}
        remaining = [c for c in remaining if c.incarnation not in explained]
    return remaining


def _list_rivals(best: Blame, candidates: list[Blame]) -> list[Blame]:
    """Returns the candidates that explain the same crashes as the best one."""
    explained = [crash.incarnation for crash in best.crashes]
    equal = [
        candidate
        for candidate in candidates
        if [crash.incarnation for crash in candidate.crashes] == explained
    ]
    parts = frozenset(blame.part for blame in equal)
    return [
        dataclasses.replace(blame, rivals=parts - {blame.part})
        for blame in equal
    ]


def _rank(blame: Blame) -> tuple[int, bool]:
    return blame.incidents, not blame.has_run


def _list_candidates(
    crashes: list[prompt_crashes.Crash], model: str
) -> list[Blame]:
    """Returns each suspect with all crashes that it is suspected of."""
    by_part: dict[str, list[prompt_crashes.Crash]] = {}
    have_run: set[str] = set()
    for crash in crashes:
        for part in _list_suspects(crash, model):
            by_part.setdefault(part, []).append(crash)
        have_run.update(
            part for (part, _), s in crash.suspects.items() if s.has_run
        )
    return [
        Blame(part, tuple(by_part[part]), part in have_run, model=model)
        for part in sorted(by_part)
    ]


def _list_suspects(crash: prompt_crashes.Crash, model: str) -> set[str]:
    if model == ANY_MODEL:
        cleared = {part for part, _ in crash.cleared}
        return {part for part, _ in crash.suspects} - cleared
    return {part for part, m in crash.suspects if m == model}


def _list_workspaces(
    part: str, crashes: Iterable[prompt_crashes.Crash]
) -> set[str]:
    return {
        workspace
        for crash in crashes
        for (suspect, _), s in crash.suspects.items()
        if suspect == part
        for workspace in s.workspaces
    }
