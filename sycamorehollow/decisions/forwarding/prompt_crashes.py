"""Crashes of upstreams, and the prompt parts that may have caused them.

A part that requests share may crash each upstream that begins to respond to a
prompt with it. A crash therefore speaks against the shared parts of all
requests that the upstream might have begun and that had no event of a response
yet. An event that arrives after a crash clears the parts of its prompt: on a
part that crashes upstreams there would be none. What ran before the crash
clears nothing, since a part may have changed since then.

The last part of a prompt belongs to its request alone and is never suspected.
"""

import collections
from collections.abc import Iterable
import dataclasses
import hashlib

from sycamorehollow.model import forwarding

# Age from which a crash is forgotten that no verdict rests on.
RETENTION_S = 60.0
# The same if a verdict rests on it, so that a part that nobody uses any more
# does not stay in quarantine.
VERDICT_RETENTION_S = 3600.0
# Delay from a broken connection to the check of its upstream. A crashing
# upstream closes its listening socket within milliseconds of its connections.
CHECK_AFTER_S = 0.05
# Bounds on what callers can make a node store and send.
MAX_CRASHES = 64
MAX_SUSPECTS = 96
MAX_PARTS_PER_REQUEST = 32
MAX_WORKSPACES = 4
MAX_PARTS_RUN = 4000
MAX_IDENTITY_CHARS = 32
# Time for which a node sends what it has learned.
NEWS_S = 6.0
# Time after which unchanged news is sent to a node again, as it may have missed
# it.
RESEND_S = 2.0
# Crashes whose parts are sent in one message, the latest ones.
MAX_EXPORTED = 24
# Decimal places of durations in seconds, the same here and in messages.
AGE_DIGITS = 3

NEVER = float("-inf")

# A prompt part and the model that ran it; empty for upstreams without a choice
# of models.
Pair = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What an attempt runs, as far as crashes are attributed to it.

    Attributes:
        parts: The parts that requests may share.
        workspace: Owner of the request's key; empty for none.
    """

    service: str
    model: str
    workspace: str
    parts: tuple[str, ...]


@dataclasses.dataclass
class Suspect:
    """Why a part is suspected of a crash.

    Attributes:
        workspaces: Owners of the requests with the part.
        has_run: Whether a node had seen a response to the part before.
        waited_s: Seconds from the latest request with the part to the crash.
    """

    workspaces: set[str] = dataclasses.field(default_factory=set)
    has_run: bool = False
    waited_s: float = float("inf")

    def merge(self, other: "Suspect") -> bool:
        """Adds what another node knows; returns whether it was new."""
        before = (len(self.workspaces), self.has_run, self.waited_s)
        self.waited_s = min(self.waited_s, other.waited_s)
        for name in sorted(other.workspaces):
            if len(self.workspaces) < MAX_WORKSPACES:
                self.workspaces.add(name)
        self.has_run = self.has_run or other.has_run
        return before != (len(self.workspaces), self.has_run, self.waited_s)


@dataclasses.dataclass
class Crash:
    """The crash of one incarnation of an upstream.

    Attributes:
        incarnation: The incarnation that ended.
        at: When it ended.
        suspects: The parts that may have caused it.
        cleared: The parts and models for which a response came later.
        changed_at: When this node last learned something about it.
    """

    incarnation: str
    service: str
    at: float
    suspects: dict[Pair, Suspect] = dataclasses.field(default_factory=dict)
    cleared: set[Pair] = dataclasses.field(default_factory=set)
    changed_at: float = float("-inf")
    _models: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def suspects_part(self, part: str) -> bool:
        """Returns whether a part is a suspect with any model."""
        return part in self._models

    def add(self, pair: Pair, suspect: Suspect) -> bool:
        """Adds a suspect unless it is cleared; returns whether it was new."""
        if pair in self.cleared:
            return False
        known = self.suspects.get(pair)
        if known is not None:
            return known.merge(suspect)
        if len(self.suspects) >= MAX_SUSPECTS:
            # Parts that have run before are the less likely causes.
            removable = [p for p, s in self.suspects.items() if s.has_run]
            if suspect.has_run or not removable:
                return False
            self._remove(removable[0])
        self.suspects[pair] = Suspect()
        self.suspects[pair].merge(suspect)
        self._models[pair[0]] += 1
        return True

    def clear(self, pair: Pair) -> bool:
        """Clears a part for a model; returns whether that was new."""
        if pair in self.cleared or len(self.cleared) >= 2 * MAX_SUSPECTS:
            return False
        self.cleared.add(pair)
        if pair in self.suspects:
            self._remove(pair)
        return True

    def _remove(self, pair: Pair) -> None:
        del self.suspects[pair]
        self._models[pair[0]] -= 1
        if not self._models[pair[0]]:
            del self._models[pair[0]]


class CrashLog:
    """The crashes that a node knows of.

    Attributes:
        version: Changes whenever the crashes or their suspects do.
    """

    def __init__(self) -> None:
        self.version = 0
        self._crashes: dict[str, Crash] = {}
        # Broken connections whose upstreams have not been checked.
        self._unchecked: dict[str, Crash] = {}
        # Time of the latest event for each part, by model, the least recently
        # used part first.
        self._ran_at: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._has_news = False
        # For each node the state and time at which a crash was sent to it.
        self._sent: dict[str, dict[str, tuple[float, float]]] = {}

    def record_break(
        self, prompt: Prompt, incarnation: str, sent_at: float, now: float
    ) -> None:
        """Records that an upstream closed a connection without an event.

        Args:
            prompt: What the upstream had been sent.
            incarnation: The upstream's incarnation.
            sent_at: When it had been sent.
            now: Monotonic time in seconds.
        """
        if not prompt.parts:
            return
        crash = self._unchecked.get(incarnation)
        if crash is None:
            if len(self._unchecked) >= MAX_CRASHES:
                return
            crash = Crash(incarnation, prompt.service, now)
            self._unchecked[incarnation] = crash
        for part in prompt.parts:
            pair = (part, prompt.model)
            waited_s = round(max(0.0, now - sent_at), AGE_DIGITS)
            suspect = Suspect({prompt.workspace}, self.has_run(part), waited_s)
            crash.add(pair, suspect)
        crash.changed_at = now
        self.version += 1

    def list_incarnations_to_check(self, now: float) -> list[str]:
        """Returns the incarnations whose checks are due."""
        return [
            incarnation
            for incarnation, crash in self._unchecked.items()
            if crash.at <= now - CHECK_AFTER_S
        ]

    def record_check(
        self, incarnation: str, crashed: bool, since: float, now: float
    ) -> int:
        """Confirms or drops the suspicion against the parts.

        Args:
            incarnation: The incarnation that was checked.
            crashed: Whether it has crashed.
            since: When the check began; later breaks need another check.
            now: Monotonic time in seconds.

        Returns:
            The number of suspects.
        """
        unchecked = self._unchecked.get(incarnation)
        if unchecked is None:
            return 0
        if not crashed and unchecked.changed_at > since - CHECK_AFTER_S:
            unchecked.at = unchecked.changed_at
            return 0
        del self._unchecked[incarnation]
        self.version += 1
        if crashed:
            self._merge_crash(unchecked, now)
        return len(unchecked.suspects)

    def record_event(self, prompt: Prompt, now: float) -> None:
        """Clears the parts of a prompt, as an event of a response came."""
        for part in prompt.parts:
            self._ran_at.setdefault(part, {})[prompt.model] = now
            self._ran_at.move_to_end(part)
            for crash in [*self._crashes.values(), *self._unchecked.values()]:
                if crash.service != prompt.service or crash.at >= now:
                    continue
                if crash.suspects_part(part):
                    self._clear(crash, (part, prompt.model), now)
        while len(self._ran_at) > MAX_PARTS_RUN:
            self._ran_at.popitem(last=False)

    def has_run(self, part: str) -> bool:
        """Returns whether this node has seen a response to a part."""
        return part in self._ran_at

    def merge(self, crashes: Iterable[Crash], now: float) -> None:
        """Merges the crashes that another node knows."""
        for crash in crashes:
            self._merge_crash(crash, now)

    def export(self, node: str, now: float, everything: bool) -> list[Crash]:
        """Returns the crashes to send to another node.

        Args:
            node: Address of the node.
            now: Monotonic time in seconds.
            everything: Whether to include what was learned long ago, for a
                node that may have missed it.
        """
        sent = self._sent.get(node, {})
        due = []
        for crash in sorted(self._crashes.values(), key=lambda c: c.at):
            state, sent_at = sent.get(crash.incarnation, (NEVER, NEVER))
            is_news = crash.changed_at > now - NEWS_S and (
                state != crash.changed_at or now - sent_at >= RESEND_S
            )
            if everything or is_news:
                due.append(crash)
        due = due[-MAX_EXPORTED:]
        if due:
            sent = self._sent.setdefault(node, {})
            sent.update({c.incarnation: (c.changed_at, now) for c in due})
        return due

    def take_news(self) -> bool:
        """Returns whether something was learned since the last call."""
        news, self._has_news = self._has_news, False
        return news

    def list_all(self) -> list[Crash]:
        """Returns all crashes, also those that are not confirmed yet."""
        views = dict(self._crashes)
        for incarnation, crash in self._unchecked.items():
            known = views.get(incarnation)
            if known is None:
                views[incarnation] = crash
                continue
            view = Crash(incarnation, known.service, known.at)
            view.cleared = known.cleared
            for suspects in (known.suspects, crash.suspects):
                for pair, suspect in suspects.items():
                    view.add(pair, suspect)
            views[incarnation] = view
        return list(views.values())

    def evict_expired(self, kept: set[str], now: float) -> None:
        """Drops old crashes.

        Args:
            kept: Incarnations of the crashes that verdicts rest on.
            now: Monotonic time in seconds.
        """
        for node, sent in list(self._sent.items()):
            if all(now - sent_at >= NEWS_S for _, sent_at in sent.values()):
                del self._sent[node]
        for incarnation, crash in list(self._crashes.items()):
            limit_s = RETENTION_S
            if incarnation in kept:
                limit_s = VERDICT_RETENTION_S
            if now - crash.at >= limit_s:
                del self._crashes[incarnation]
                self.version += 1
        if len(self._crashes) <= MAX_CRASHES:
            return
        removable = sorted(
            self._crashes.values(), key=lambda c: (c.incarnation in kept, c.at)
        )
        for crash in removable[: len(self._crashes) - MAX_CRASHES]:
            del self._crashes[crash.incarnation]
        self.version += 1

    def _merge_crash(self, crash: Crash, now: float) -> None:
        known = self._crashes.get(crash.incarnation)
        changed = known is None
        if known is None:
            known = Crash(crash.incarnation, crash.service, crash.at)
            self._crashes[crash.incarnation] = known
        if crash.at < known.at:
            known.at = crash.at
            self.version += 1
        for pair in crash.cleared:
            changed = known.clear(pair) or changed
        for pair, suspect in crash.suspects.items():
            changed = known.add(pair, suspect) or changed
        for part in {part for part, _ in known.suspects}:
            for model, at in self._ran_at.get(part, {}).items():
                if at > known.at:
                    self._clear(known, (part, model), now)
        if changed:
            self._record_change(known, now)

    def _clear(self, crash: Crash, pair: Pair, now: float) -> None:
        if crash.clear(pair):
            self._record_change(crash, now)

    def _record_change(self, crash: Crash, now: float) -> None:
        crash.changed_at = now
        self.version += 1
        self._has_news = True


def build_prompt(
    request: forwarding.Request, service: str, model: str, workspace: str
) -> Prompt:
    """Returns what an attempt of a request runs.

    Of very many parts the first and the last ones are kept.
    """
    shared = [part.identity for part in request.prompt_parts[:-1]]
    if len(shared) > MAX_PARTS_PER_REQUEST:
        half = MAX_PARTS_PER_REQUEST // 2
        shared = shared[:half] + shared[-half:]
    parts = tuple(dict.fromkeys(_shorten(identity) for identity in shared))
    return Prompt(service, model, workspace, parts)


def _shorten(identity: str) -> str:
    if len(identity) <= MAX_IDENTITY_CHARS:
        return identity
    return hashlib.blake2b(identity.encode(), digest_size=8).hexdigest()
