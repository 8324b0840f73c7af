"""Isolation and quarantine of prompt parts that crash upstreams.

A suspected part is sent to one upstream of its service only, which all nodes
compute alike, so that the next crash happens where the last one did. From the
second crash on nodes take turns, so that each crash there has one cause. A part
that keeps crashing upstreams is rejected at all nodes. Now and then one node
tries it again, and a response ends the quarantine everywhere.
"""

from collections.abc import Iterable
import dataclasses
import itertools

from sycamorehollow.decisions.forwarding import node_ranks
from sycamorehollow.decisions.forwarding import part_blame
from sycamorehollow.decisions.forwarding import prompt_crashes

# Delay between the trials of nodes: the time in which a crash or a response at
# one becomes known to all.
TRIAL_STAGGER_S = 5.0
# Length of a node's turn to send an isolated part, in which a crash there
# becomes known, and the number of turns until the first one comes again.
TURN_S = 0.5
MAX_TURNS = 6
# Changes kept for the log until it takes them.
MAX_CHANGES = 256
# Suspects of a crash that the log names.
MAX_LOGGED_SUSPECTS = 8


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What applies to a request because of one of its prompt parts.

    Attributes:
        level: The most that speaks against one of its parts.
        part: That part; empty if nothing does.
        last_crash_at: When the latest crash happened that it explains.
        is_trial_due: Whether this node may try the part although it is in
            quarantine.
    """

    level: part_blame.Level
    part: str = ""
    last_crash_at: float = float("-inf")
    is_trial_due: bool = False

    @property
    def is_rejected(self) -> bool:
        """Whether the request must not be sent."""
        is_quarantined = self.level is part_blame.Level.QUARANTINED
        return is_quarantined and not self.is_trial_due


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of what is known about a part or a crash, for the log."""

    subject: str
    outcome: str


NO_VERDICT = Verdict(part_blame.Level.NONE)


class PartQuarantine:
    """Decides about prompt parts by the crashes that a node knows of.

    Args:
        ranks: Ranks of this node, which tell when it may try a part.

    Attributes:
        crash_log: The crashes.
    """

    def __init__(self, ranks: node_ranks.NodeRanks):
        self.crash_log = prompt_crashes.CrashLog()
        self._ranks = ranks
        self._version = -1
        self._blamed: dict[
            str, dict[prompt_crashes.Pair, part_blame.Blame]
        ] = {}
        self._tried_at: dict[str, float] = {}
        # When the latest request with an isolated part was sent, by service.
        self._isolated_at: dict[str, float] = {}
        self._logged: dict[tuple[str, prompt_crashes.Pair], int] = {}
        self._logged_crashes: set[str] = set()
        self._changes: list[Change] = []

    def find_verdict(
        self, prompt: prompt_crashes.Prompt, now: float
    ) -> Verdict:
        """Returns what applies to a request."""
        self._update()
        blamed = self._blamed.get(prompt.service)
        if not blamed:
            return NO_VERDICT
        worst = NO_VERDICT
        pairs = itertools.product(
            prompt.parts, (part_blame.ANY_MODEL, prompt.model)
        )
        for pair in pairs:
            blame = blamed.get(pair)
            if blame is None:
                continue
            level = blame.compute_level(prompt)
            verdict = Verdict(
                level,
                blame.part,
                blame.last_crash_at,
                level is part_blame.Level.QUARANTINED
                and self._is_trial_due(blame, now),
            )
            if _compute_severity(verdict) > _compute_severity(worst):
                worst = verdict
        return worst

    def has_blamed(self, service: str) -> bool:
        """Returns whether any part is blamed for crashes of a service."""
        self._update()
        return bool(self._blamed.get(service))

    def may_send_isolated(self, service: str, now: float) -> bool:
        """Returns whether this node may send an isolated part now."""
        last_sent_at = self._isolated_at.get(service, float("-inf"))
        if now - last_sent_at < TURN_S:
            return False
        blamed = self._blamed.get(service, {}).values()
        since = max((blame.last_crash_at for blame in blamed), default=now)
        turns = min(MAX_TURNS, self._ranks.node_count)
        rank = self._ranks.compute_rank(service)
        return int((now - since) / TURN_S) % turns == rank % turns

    def record_isolated(self, service: str, now: float) -> None:
        """Records that this node sends a request with an isolated part."""
        self._isolated_at[service] = now

    def record_trial(self, verdict: Verdict, now: float) -> None:
        """Records that this node tries a part in quarantine."""
        self._tried_at[verdict.part] = now
        self._record(
            f"part={verdict.part}",
            f"tried {now - verdict.last_crash_at:.1f} s after its last crash",
        )

    def count_blamed(self) -> dict[part_blame.Level, int]:
        """Returns the number of blamed parts by level."""
        self._update()
        counts = dict.fromkeys(part_blame.Level, 0)
        for blamed in self._blamed.values():
            for blame in blamed.values():
                counts[_compute_level(blame)] += 1
        return counts

    def take_changes(self) -> list[Change]:
        """Returns the changes since the last call, for the log."""
        self._update()
        changes, self._changes = self._changes, []
        return changes

    def evict_expired(self, now: float) -> None:
        """Drops crashes that are too old to count."""
        self._update()
        kept = {
            crash.incarnation
            for blamed in self._blamed.values()
            for blame in blamed.values()
            if blame.is_proven
            for crash in blame.crashes
        }
        self.crash_log.evict_expired(kept, now)

    def _is_trial_due(self, blame: part_blame.Blame, now: float) -> bool:
        last_at = max(
            blame.last_crash_at,
            self._tried_at.get(blame.part, float("-inf")),
        )
        rank = self._ranks.compute_rank(blame.part)
        wait_s = blame.trial_interval_s + rank * TRIAL_STAGGER_S
        return now - last_at >= wait_s

    def _update(self) -> None:
        """Assigns the blame anew if the crashes have changed."""
        if self._version == self.crash_log.version:
            return
        self._version = self.crash_log.version
        crashes = self.crash_log.list_all()
        self._blamed = part_blame.assign_blame(crashes)
        self._log_crashes(crashes)
        levels = {
            (service, pair): len(blame.crashes)
            for service, blamed in self._blamed.items()
            for pair, blame in blamed.items()
            if _compute_level(blame) >= part_blame.Level.ISOLATED
        }
        for key, count in levels.items():
            if self._logged.get(key) != count:
                blame = self._blamed[key[0]][key[1]]
                self._record(f"part={blame.part}", _describe(blame))
        for service, (part, model) in self._logged.keys() - levels.keys():
            self._record(
                f"part={part}",
                f"no longer blamed model={model} service={service}",
            )
            self._tried_at.pop(part, None)
            self._ranks.remove(part)
        self._logged = levels

    def _log_crashes(self, crashes: Iterable[prompt_crashes.Crash]) -> None:
        known = {crash.incarnation: crash for crash in crashes}
        for incarnation in known.keys() - self._logged_crashes:
            suspects = dict.fromkeys(p for p, _ in known[incarnation].suspects)
            named = ",".join(list(suspects)[:MAX_LOGGED_SUSPECTS])
            self._record(
                f"crash={incarnation}",
                f"suspected parts={len(suspects)} first={named}",
            )
        self._logged_crashes = set(known)

    def _record(self, subject: str, outcome: str) -> None:
        if len(self._changes) < MAX_CHANGES:
            self._changes.append(Change(subject, outcome))


def _compute_level(blame: part_blame.Blame) -> part_blame.Level:
    """Returns the level for the requests that crashed upstreams."""
    if blame.is_proven:
        return part_blame.Level.QUARANTINED
    return part_blame.Level(
        min(blame.incidents, part_blame.ISOLATION_INCIDENTS)
    )


def _compute_severity(verdict: Verdict) -> tuple[bool, int]:
    return verdict.is_rejected, verdict.level


def _describe(blame: part_blame.Blame) -> str:
    state = _compute_level(blame).name.lower()
    upstreams = ",".join(crash.incarnation for crash in blame.crashes[-4:])
    return (
        f"{state} model={blame.model} crashes={len(blame.crashes)}"
        f" incidents={blame.incidents} has_run={blame.has_run}"
        f" rivals={len(blame.rivals)} latest={upstreams}"
    )
