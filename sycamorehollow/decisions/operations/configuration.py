"""Configuration of one process: who watches the store, and what spreads."""

from collections.abc import Iterable
import dataclasses
import enum
import itertools
import math
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.operations import config_branches
from sycamorehollow.decisions.operations import (
    configuration_messages as messages,
)
from sycamorehollow.model import commands
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures

PREFIX = "config/"
WATCHERS = 2
# Ends a watch often enough to confirm that nothing has changed; 14 watches
# make 14 calls a second against the 2,000 that the store answers.
WATCH_TIMEOUT_S = 1.0
# A shell reports a failure before this; the rule only guards against a lost
# report.
CALL_TIMEOUT_S = 10.0
# A confirmation needs about log2 of the members in seconds to spread. Members
# that miss it for longer read the store themselves.
STALE_AFTER_S = 4.0
STALE_STEP_PER_RANK_S = 0.02
# Such a member watches at least this long, and until another source confirms.
FALLBACK_WATCH_S = 30.0
# A difference between two hashes is most likely a change of this age.
RECENT_CHANGE_S = 10.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
BOOTSTRAP_INTERVAL_S = 1.0
BOOTSTRAP_PEERS = 2
# Digests list the revisions for this long after a difference was seen.
DETAILED_DIGEST_S = 5.0
# A fresher confirmation is worth sending from this difference on.
MIN_AGE_GAIN_S = 0.5


class _Phase(enum.Enum):
    IDLE = "idle"
    READING = "reading"
    WATCHING = "watching"


class Configuration(components.Component, components.Replicated):
    """Keeps the configuration in force and spreads it."""

    kind = "configuration"

    def __init__(
        self,
        own_peer: messages.Peer,
        convert: config_branches.Convert,
        rng: random.Random,
    ):
        """Starts without a configuration.

        Args:
            own_peer: This process.
            convert: Conversion of branches, as in `settings.tree.convert`.
            rng: Source of jitter and of the peers to ask first.
        """
        self._own_peer = own_peer
        self._rng = rng
        self._held = config_branches.ConfigBranches(convert)
        self._own: tuple[str, ...] = (own_peer.address,)
        self._others: tuple[str, ...] = ()
        # The lowest member of each other data centre.
        self._leaders: tuple[str, ...] = ()
        self._confirmed_at: float | None = None
        self._phase = _Phase.IDLE
        self._call = 0
        self._call_at = 0.0
        self._after = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._retry_at = -math.inf
        self._ask_at = -math.inf
        self._detail_until = -math.inf
        self._stand_in_until: float | None = None
        self._changed_at: dict[str, float] = {}

    @property
    def deployment(self) -> deployment.Deployment:
        """The configuration in force."""
        return self._held.deployment

    @property
    def faults(self) -> config_branches.Faults:
        """Why branches are not in force at their latest revision."""
        return self._held.faults

    @property
    def is_watcher(self) -> bool:
        """Whether this process watches the store for its data centre."""
        return self._own_peer.address in self._own[:WATCHERS]

    def list_revisions(self) -> dict[str, tuple[int, int]]:
        """Returns the latest and the accepted revision of each branch."""
        return self._held.list_revisions()

    def find_refusal(self) -> failures.NoConfiguration | None:
        """Returns why no request can be taken yet, or `None`."""
        if self._confirmed_at is not None:
            return None
        return failures.NoConfiguration(
            "neither the store nor a peer has given a configuration yet",
            retry_after_s=BOOTSTRAP_INTERVAL_S,
        )

    def measure_age(self, now: float) -> float | None:
        """Returns seconds since the configuration was known to be current.

        The transit time of the messages that carried a peer's confirmation is
        not included. `None` means that it was never confirmed.
        """
        if self._confirmed_at is None:
            return None
        return max(0.0, now - self._confirmed_at)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; results of calls given up still count."""
        if isinstance(event, events.Tick):
            return self._tick(now)
        if isinstance(event, messages.MembersUpdated):
            self._see_members(event.members)
            return self._tick(now)
        if isinstance(event, messages.StoreResponded):
            return self._apply_answer(event, now)
        if isinstance(event, messages.StoreFailed) and event.call == self._call:
            self._fail_call(event.retry_after_s, now)
        return []

    def build_digest(self, now: float) -> bytes:
        """Returns hash and age, and the revisions after a difference."""
        # A process that starts asks for everything at once.
        detailed = self._confirmed_at is None or now < self._detail_until
        return config_branches.encode_digest(self._describe(detailed, now))

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns branches, own revisions or a fresher confirmation."""
        theirs = config_branches.decode_digest(digest)
        if theirs is None:
            return b""
        entries: tuple[config_branches.BranchRevision, ...] = ()
        own = self._describe(theirs.revisions is None, now)
        if theirs.hash == own.hash:
            own = dataclasses.replace(own, revisions=None)
            if own.age_s is None:
                return b""
            if theirs.age_s is not None:
                if theirs.age_s < own.age_s + MIN_AGE_GAIN_S:
                    return b""
        else:
            known = theirs.revisions
            missing = self._held.select_missing(known or {})
            if known is None:
                missing = [
                    entry
                    for entry in missing
                    if now - self._changed_at[entry.branch] < RECENT_CHANGE_S
                ]
            # The rest follows in the next exchanges.
            entries = next(iter(config_branches.split_by_size(missing)), ())
        return config_branches.encode_delta(config_branches.Delta(own, entries))

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies what a peer knows; a watcher pushes news on."""
        received = config_branches.decode_delta(delta)
        if received is None:
            return []
        targets = self._select_targets() if self.is_watcher else ()
        result = self._add(received.entries, targets, now)
        if received.digest.hash != self._held.hash:
            self._detail_until = now + DETAILED_DIGEST_S
        elif received.digest.age_s is not None:
            if self._confirm(now - received.digest.age_s):
                self._end_stand_in(now)
        return result

    def _describe(self, detailed: bool, now: float) -> config_branches.Digest:
        return config_branches.Digest(
            self._held.hash,
            self.measure_age(now),
            self._held.list_revisions() if detailed else None,
        )

    def _confirm(self, moment: float) -> bool:
        if self._confirmed_at is not None and moment <= self._confirmed_at:
            return False
        self._confirmed_at = moment
        return True

    def _end_stand_in(self, now: float) -> None:
        """Stops watching in place of others; a fresher source exists."""
        if self._stand_in_until is not None and now >= self._stand_in_until:
            self._stand_in_until = None

    def _must_watch(self) -> bool:
        return self.is_watcher or self._stand_in_until is not None

    def _see_members(self, members: Iterable[messages.Peer]) -> None:
        own = {self._own_peer.address}
        others: dict[str, list[str]] = {}
        for member in members:
            if member.data_centre == self._own_peer.data_centre:
                own.add(member.address)
            else:
                others.setdefault(member.data_centre, []).append(member.address)
        self._own = tuple(sorted(own))
        self._others = tuple(sorted(itertools.chain(*others.values())))
        self._leaders = tuple(sorted(min(group) for group in others.values()))

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        if self._phase is not _Phase.IDLE:
            if now - self._call_at > CALL_TIMEOUT_S:
                result.append(messages.CancelCall(self._call))
                self._fail_call(None, now)
            elif self._phase is _Phase.WATCHING and not self._must_watch():
                result.append(messages.CancelCall(self._call))
                self._phase = _Phase.IDLE
        if self._phase is _Phase.IDLE and now >= self._retry_at:
            if self._must_watch() or self._is_stale(now):
                result.append(self._start_read(now))
        if self._confirmed_at is None and now >= self._ask_at:
            known = [a for a in self._own if a != self._own_peer.address]
            known.extend(self._others)
            targets = self._rng.sample(known, min(BOOTSTRAP_PEERS, len(known)))
            if targets:
                self._ask_at = now + BOOTSTRAP_INTERVAL_S
                result.append(messages.StartExchanges(tuple(targets)))
        return result

    def _is_stale(self, now: float) -> bool:
        """Tells whether the watchers seem to have lost the store."""
        age_s = self.measure_age(now)
        if age_s is None:
            return True
        # Ranks differ, so that one reads first and its confirmation spreads.
        rank = self._own.index(self._own_peer.address)
        spread_s = math.log2(len(self._own) + len(self._others))
        return age_s > STALE_AFTER_S + spread_s + STALE_STEP_PER_RANK_S * rank

    def _start_read(self, now: float) -> messages.ReadRange:
        self._phase = _Phase.READING
        self._call += 1
        self._call_at = now
        return messages.ReadRange(self._call, PREFIX)

    def _start_watch(self, now: float) -> messages.StartWatch:
        self._phase = _Phase.WATCHING
        self._call += 1
        self._call_at = now
        return messages.StartWatch(
            self._call, PREFIX, self._after, WATCH_TIMEOUT_S
        )

    def _fail_call(self, retry_after_s: float | None, now: float) -> None:
        """Waits; the next call is a range read, since a watch may have gaps."""
        self._phase = _Phase.IDLE
        wait_s = max(self._backoff_s, retry_after_s or 0.0)
        wait_s = min(wait_s, MAX_BACKOFF_S)
        self._retry_at = now + wait_s * self._rng.uniform(0.5, 1.0)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _apply_answer(
        self, event: messages.StoreResponded, now: float
    ) -> list[commands.Command]:
        entries = [
            config_branches.BranchRevision(
                value.key.removeprefix(PREFIX), value.revision, value.text
            )
            for value in event.values
            # A branch is deleted by a document, never with its key.
            if value.key.startswith(PREFIX) and value.text is not None
        ]
        # The first load is nothing new to the peers.
        targets: tuple[str, ...] = ()
        if self._confirmed_at is not None:
            targets = self._select_targets() + self._leaders
        result = self._add(entries, targets, now)
        if event.call != self._call or self._phase is _Phase.IDLE:
            return result
        if self._confirmed_at is not None and not self._must_watch():
            if self._is_stale(now):
                self._stand_in_until = now + FALLBACK_WATCH_S
        self._confirm(self._call_at)
        self._backoff_s = INITIAL_BACKOFF_S
        self._after = max(self._after, event.revision)
        self._phase = _Phase.IDLE
        if self._must_watch():
            result.append(self._start_watch(now))
        return result

    def _add(
        self,
        entries: Iterable[config_branches.BranchRevision],
        targets: tuple[str, ...],
        now: float,
    ) -> list[commands.Command]:
        """Applies entries and returns what follows from those that are new."""
        before, faults = self._held.deployment, self._held.faults
        taken = self._held.add(entries)
        result: list[commands.Command] = []
        for entry in taken:
            self._changed_at[entry.branch] = now
        if taken and targets:
            digest = config_branches.Digest(self._held.hash, None)
            for group in config_branches.split_by_size(taken):
                payload = config_branches.encode_delta(
                    config_branches.Delta(digest, group)
                )
                result.append(messages.PushDeltaTo(targets, self.kind, payload))
        if self._held.deployment != before:
            result.append(messages.ConfigurationChanged(self._held.deployment))
        if self._held.faults != faults:
            result.append(messages.BranchesRejected(self._held.faults))
        return result

    def _select_targets(self) -> tuple[str, ...]:
        """Returns the members of the own data centre to push to.

        The watchers share them out; digests reach those of a lost watcher.
        """
        rank = self._own.index(self._own_peer.address)
        start, step = (rank, WATCHERS) if rank < WATCHERS else (0, 1)
        return tuple(
            address
            for address in self._own[start::step]
            if address != self._own_peer.address
        )
