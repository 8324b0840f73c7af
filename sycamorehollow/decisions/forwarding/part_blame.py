"""Which prompt parts are to blame for crashes of upstreams.

Many sound parts are in use when an upstream crashes. The blame falls on the
smallest set of parts that explains the crashes: first on the part that most of
them have in common, and among equals on those that no node has seen a response
to. Crashes that a part explains speak against no other part.
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
# Interval of the trials of a part in quarantine. It doubles with each crash
# beyond those of the verdict. A part that had run well is the likelier to be
# blamed without reason.
TRIAL_S = 60.0
TRIAL_AFTER_RUN_S = 6.0


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
    """

    part: str
    crashes: tuple[prompt_crashes.Crash, ...]
    has_run: bool
    rivals: frozenset[str] = frozenset()

    def compute_level(self, prompt: prompt_crashes.Prompt) -> Level:
        """Returns what speaks against a prompt with the part.

        A crash does not count for a model that has responded to the part since
        then. If only requests of one workspace crashed, a part is no more than
        suspected for the others: nobody can have their parts rejected. A
        prompt without some of the rivals tells them apart, so it may run.
        """
        crashes = self._list_crashes(prompt.model)
        incidents = count_incidents(self.part, crashes)
        workspaces = _list_workspaces(self.part, crashes)
        if len(workspaces) == 1 and prompt.workspace not in workspaces:
            incidents = min(1, incidents)
        if incidents >= QUARANTINE_INCIDENTS:
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
    def last_crash_at(self) -> float:
        """When the latest crash happened."""
        return self.crashes[-1].at

    @property
    def trial_interval_s(self) -> float:
        """Seconds from the latest crash until the part may be tried again."""
        first_s = TRIAL_AFTER_RUN_S if self.has_run else TRIAL_S
        further = min(16, max(0, self.incidents - QUARANTINE_INCIDENTS))
        return first_s * 2**further

    def _list_crashes(self, model: str) -> list[prompt_crashes.Crash]:
        pair = (self.part, model)
        return [crash for crash in self.crashes if pair not in crash.cleared]


def assign_blame(
    crashes: Iterable[prompt_crashes.Crash],
) -> dict[str, dict[str, Blame]]:
    """Returns the parts to blame, by service and part."""
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


def _explain(crashes: list[prompt_crashes.Crash]) -> dict[str, Blame]:
    """Returns a small set of parts that explains the crashes of a service."""
    blamed: dict[str, Blame] = {}
    remaining = crashes
    while remaining:
        candidates = _list_candidates(remaining)
        if not candidates:
            break
        best = max(candidates, key=_rank)
        chosen = [c for c in candidates if _rank(c) == _rank(best)]
        if best.incidents >= QUARANTINE_INCIDENTS:
            chosen = _list_rivals(best, chosen)
        for blame in chosen:
            blamed[blame.part] = blame
        explained = {c.incarnation for b in chosen for c in b.crashes}
        remaining = [c for c in remaining if c.incarnation not in explained]
    return blamed


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


def _list_candidates(crashes: list[prompt_crashes.Crash]) -> list[Blame]:
    """Returns each suspect with all crashes that it is suspected of."""
    by_part: dict[str, list[prompt_crashes.Crash]] = {}
    have_run: set[str] = set()
    for crash in crashes:
        for part in dict.fromkeys(part for part, _ in crash.suspects):
            by_part.setdefault(part, []).append(crash)
        have_run.update(
            part for (part, _), s in crash.suspects.items() if s.has_run
        )
    return [
        Blame(part, tuple(by_part[part]), part in have_run)
        for part in sorted(by_part)
    ]


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
