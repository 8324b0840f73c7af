"""Configuration of one process, from the store and from its peers.

In each data centre the two processes with the lowest addresses watch the store
and push changes to the others; digest exchanges repair what a push misses.
Members whose configuration has not been confirmed for too long read the store
themselves.
"""

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
# A watch that ends without changes confirms the configuration, so it is short.
# 14 watches make 14 calls a second; the store can answer 2,000.
WATCH_TIMEOUT_S = 1.0
# The shell reports a failure sooner; this only guards against a lost report.
CALL_TIMEOUT_S = 10.0
# A confirmation takes about log2(members) seconds to spread. Members without
# one for longer than that plus this time read the store themselves.
STALE_AFTER_S = 4.0
STALE_STEP_PER_RANK_S = 0.02
# Such a member watches for at least this long, and until another source has
# a fresher confirmation.
FALLBACK_WATCH_S = 30.0
# When two hashes differ, changes no older than this are the likely cause and
# are sent first.
RECENT_CHANGE_S = 10.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
BOOTSTRAP_INTERVAL_S = 1.0
BOOTSTRAP_PEERS = 2
# Digests list the revisions for this long after a difference was found.
DETAILED_DIGEST_S = 5.0
# A confirmation is sent only if it is fresher by at least this.
MIN_AGE_GAIN_S = 0.5


class _Phase(enum.Enum):
    IDLE = "idle"
    READING = "reading"
    WATCHING = "watching"


class Configuration(components.Component, components.Replicated):
    """Tracks the configuration in force and replicates it."""

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
            rng: Random source for jitter and the choice of peers.
        """
        self._own_peer = own_peer
        self._rng = rng
        self._branches = config_branches.ConfigBranches(convert)
        self._own_members: tuple[str, ...] = (own_peer.address,)
        self._other_members: tuple[str, ...] = ()
        # The lowest address in each other data centre.
        self._remote_leaders: tuple[str, ...] = ()
        self._confirmed_at: float | None = None
        self._phase = _Phase.IDLE
        self._call_number = 0
        self._call_started_at = 0.0
        self._last_revision = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._retry_at = -math.inf
        self._bootstrap_at = -math.inf
        self._detailed_until = -math.inf
        self._fallback_until: float | None = None
        self._changed_at: dict[str, float] = {}

    @property
    def deployment(self) -> deployment.Deployment:
        """The configuration in force."""
        return self._branches.deployment

    @property
    def faults(self) -> config_branches.Faults:
        """Why the latest revision of branches is not in force."""
        return self._branches.faults

    @property
    def is_watcher(self) -> bool:
        """Whether this process watches the store for its data centre."""
        return self._own_peer.address in self._own_members[:WATCHERS]

    def list_revisions(self) -> dict[str, tuple[int, int]]:
        """Returns the latest and the accepted revision of each branch."""
        return self._branches.list_revisions()

    def find_refusal(self) -> failures.NoConfiguration | None:
        """Returns why requests cannot be admitted yet, or `None`."""
        if self._confirmed_at is not None:
            return None
        return failures.NoConfiguration(
            "neither the store nor a peer has given a configuration yet",
            retry_after_s=BOOTSTRAP_INTERVAL_S,
        )

    def measure_age(self, now: float) -> float | None:
        """Returns seconds since the configuration was last confirmed.

        Transit times of messages with a peer's confirmation are not included.
        `None` means that it was never confirmed.
        """
        if self._confirmed_at is None:
            return None
        return max(0.0, now - self._confirmed_at)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event; results of cancelled calls still count."""
        if isinstance(event, events.Tick):
            return self._tick(now)
        if isinstance(event, messages.MembersUpdated):
            self._update_members(event.members)
            return self._tick(now)
        if isinstance(event, messages.StoreResponded):
            return self._apply_response(event, now)
        if (
            isinstance(event, messages.StoreFailed)
            and event.call == self._call_number
        ):
            self._fail_call(event.retry_after_s, now)
        return []

    def build_digest(self, now: float) -> bytes:
        """Returns hash and age, and after a difference the revisions."""
        # A starting process lists its revisions, to get everything at once.
        detailed = self._confirmed_at is None or now < self._detailed_until
        return config_branches.encode_digest(self._describe(detailed, now))

    def build_delta(self, digest: bytes, now: float) -> bytes:
        """Returns missing branches, own revisions or a confirmation."""
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
            missing = self._branches.select_missing(known or {})
            if known is None:
                missing = [
                    entry
                    for entry in missing
                    if now - self._changed_at[entry.branch] < RECENT_CHANGE_S
                ]
            # Further groups follow in later exchanges.
            entries = next(iter(config_branches.split_by_size(missing)), ())
        return config_branches.encode_delta(config_branches.Delta(own, entries))

    def merge(self, delta: bytes, now: float) -> list[commands.Command]:
        """Applies a delta; a watcher pushes new entries to others."""
        received = config_branches.decode_delta(delta)
        if received is None:
            return []
        targets = self._select_targets() if self.is_watcher else ()
        result = self._apply_entries(received.entries, targets, now)
        if received.digest.hash != self._branches.hash:
            self._detailed_until = now + DETAILED_DIGEST_S
        elif received.digest.age_s is not None:
            if self._confirm(now - received.digest.age_s):
                self._end_fallback(now)
        return result

    def _describe(self, detailed: bool, now: float) -> config_branches.Digest:
        return config_branches.Digest(
            self._branches.hash,
            self.measure_age(now),
            self._branches.list_revisions() if detailed else None,
        )

    def _confirm(self, confirmed_at: float) -> bool:
        if (
            self._confirmed_at is not None
            and confirmed_at <= self._confirmed_at
        ):
            return False
        self._confirmed_at = confirmed_at
        return True

    def _end_fallback(self, now: float) -> None:
        """Ends the fallback watch once another source is fresher."""
        if self._fallback_until is not None and now >= self._fallback_until:
            self._fallback_until = None

    def _must_watch(self) -> bool:
        return self.is_watcher or self._fallback_until is not None

    def _update_members(self, members: Iterable[messages.Peer]) -> None:
        own = {self._own_peer.address}
        others: dict[str, list[str]] = {}
        for member in members:
            if member.data_centre == self._own_peer.data_centre:
                own.add(member.address)
            else:
                others.setdefault(member.data_centre, []).append(member.address)
        self._own_members = tuple(sorted(own))
        self._other_members = tuple(sorted(itertools.chain(*others.values())))
        self._remote_leaders = tuple(
            sorted(min(group) for group in others.values())
        )

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        if self._phase is not _Phase.IDLE:
            if now - self._call_started_at > CALL_TIMEOUT_S:
                result.append(messages.CancelCall(self._call_number))
                self._fail_call(None, now)
            elif self._phase is _Phase.WATCHING and not self._must_watch():
                result.append(messages.CancelCall(self._call_number))
                self._phase = _Phase.IDLE
        if self._phase is _Phase.IDLE and now >= self._retry_at:
            if self._must_watch() or self._is_stale(now):
                result.append(self._start_read(now))
        if self._confirmed_at is None and now >= self._bootstrap_at:
            known = [
                a for a in self._own_members if a != self._own_peer.address
            ]
            known.extend(self._other_members)
            targets = self._rng.sample(known, min(BOOTSTRAP_PEERS, len(known)))
            if targets:
                self._bootstrap_at = now + BOOTSTRAP_INTERVAL_S
                result.append(messages.StartExchanges(tuple(targets)))
        return result

    def _is_stale(self, now: float) -> bool:
        """Returns whether the watchers seem to have lost the store."""
        age_s = self.measure_age(now)
        if age_s is None:
            return True
        # The delay differs by rank, so that one member reads first and its
        # confirmation reaches the others.
        rank = self._own_members.index(self._own_peer.address)
        spread_s = math.log2(len(self._own_members) + len(self._other_members))
        return age_s > STALE_AFTER_S + spread_s + STALE_STEP_PER_RANK_S * rank

    def _start_read(self, now: float) -> messages.ReadRange:
        self._phase = _Phase.READING
        self._call_number += 1
        self._call_started_at = now
        return messages.ReadRange(self._call_number, PREFIX)

    def _start_watch(self, now: float) -> messages.StartWatch:
        self._phase = _Phase.WATCHING
        self._call_number += 1
        self._call_started_at = now
        return messages.StartWatch(
            self._call_number, PREFIX, self._last_revision, WATCH_TIMEOUT_S
        )

    def _fail_call(self, retry_after_s: float | None, now: float) -> None:
        """Backs off; a range read follows, since a watch may have gaps."""
        self._phase = _Phase.IDLE
        wait_s = max(self._backoff_s, retry_after_s or 0.0)
        wait_s = min(wait_s, MAX_BACKOFF_S)
        self._retry_at = now + wait_s * self._rng.uniform(0.5, 1.0)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _apply_response(
        self, event: messages.StoreResponded, now: float
    ) -> list[commands.Command]:
        entries = [
            config_branches.BranchRevision(
                value.key.removeprefix(PREFIX), value.revision, value.text
            )
            for value in event.values
            # Branches are deleted by writing a document; the key stays.
            if value.key.startswith(PREFIX) and value.text is not None
        ]
        # Nothing is pushed on the first load: the peers have it already.
        targets: tuple[str, ...] = ()
        if self._confirmed_at is not None:
            targets = self._select_targets() + self._remote_leaders
        result = self._apply_entries(entries, targets, now)
        if event.call != self._call_number or self._phase is _Phase.IDLE:
            return result
        if self._confirmed_at is not None and not self._must_watch():
            if self._is_stale(now):
                self._fallback_until = now + FALLBACK_WATCH_S
        self._confirm(self._call_started_at)
        self._backoff_s = INITIAL_BACKOFF_S
        self._last_revision = max(self._last_revision, event.revision)
        self._phase = _Phase.IDLE
        if self._must_watch():
            result.append(self._start_watch(now))
        return result

    def _apply_entries(
        self,
        entries: Iterable[config_branches.BranchRevision],
        targets: tuple[str, ...],
        now: float,
    ) -> list[commands.Command]:
        """Applies entries; returns pushes and reports for new ones."""
        before, faults = self._branches.deployment, self._branches.faults
        new_entries = self._branches.add(entries)
        result: list[commands.Command] = []
        for entry in new_entries:
            self._changed_at[entry.branch] = now
        if new_entries and targets:
            digest = config_branches.Digest(self._branches.hash, None)
            for group in config_branches.split_by_size(new_entries):
                payload = config_branches.encode_delta(
                    config_branches.Delta(digest, group)
                )
                result.append(messages.PushDeltaTo(targets, self.kind, payload))
        if self._branches.deployment != before:
            result.append(
                messages.ConfigurationChanged(self._branches.deployment)
            )
        if self._branches.faults != faults:
            result.append(messages.BranchesRejected(self._branches.faults))
        return result

    def _select_targets(self) -> tuple[str, ...]:
        """Returns the members of the own data centre to push to.

        The watchers divide the members among them. If a watcher is lost, digest
        exchanges reach its members.
        """
        rank = self._own_members.index(self._own_peer.address)
        start, step = (rank, WATCHERS) if rank < WATCHERS else (0, 1)
        return tuple(
            address
            for address in self._own_members[start::step]
            if address != self._own_peer.address
        )
