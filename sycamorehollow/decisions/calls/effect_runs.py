"""Claim, dispatch and outcome of calls that this process owns."""

import abc
import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.calls import effect_entries as entries
from sycamorehollow.decisions.calls import effect_messages as messages
from sycamorehollow.decisions.calls import effect_records as records
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

STORE_RETRY_S = 1.0
# Spreads the writes of all processes when the store returns.
STORE_RETRY_JITTER_S = 1.0


class OwnedCalls(components.Component):
    """Claims a key, dispatches its call once and records the outcome."""

    def __init__(
        self,
        process: messages.Process,
        issuer: tickets.TicketIssuer,
        rng: random.Random,
        wall_offset_s: float,
    ):
        """Creates the part without calls.

        Args:
            process: Identity of this run of the process.
            issuer: Source of the tickets in refusals.
            rng: Source of nonces and jitter.
            wall_offset_s: Wall-clock time minus monotonic time, in seconds.
        """
        self._wall_offset_s = wall_offset_s
        self._process = process
        self._issuer = issuer
        self._rng = rng
        self._table = entries.EntryTable("key-")

    @property
    def held(self) -> int:
        """Number of keys in memory."""
        return len(self._table)

    @abc.abstractmethod
    def _observe(
        self,
        entry: entries.Entry,
        value: str | None,
        revision: int,
        now: float,
    ) -> list[commands.Command]:
        """Continues with a record that is not the claim of the entry."""

    # The claim.

    def _claim(self, entry: entries.Entry, expect: int) -> commands.Command:
        entry.expect = expect
        record = self._make_record(entry, records.State.CLAIMED)
        return self._table.write(entry, entries.Phase.CLAIMING, record)

    def _after_claim(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.RecordWritten):
            return self._dispatch(entry, event.revision, now)
        if isinstance(event, messages.RecordConflict):
            found = records.decode_record(event.value)
            if self._is_own(entry, found):
                return self._dispatch(entry, event.revision, now)
            return self._observe(entry, event.value, event.revision, now)
        if isinstance(event, messages.InDoubt):
            entry.doubtful = True
            return [self._table.read(entry, entries.Phase.CHECKING)]
        return self._give_up(entry, "the store does not respond", now)

    def _after_check(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        if not isinstance(event, messages.RecordRead):
            return self._give_up(entry, "the store does not respond", now)
        if entry.get_deadline(now) <= now:
            return self._release(entry, entries.make_too_late())
        if self._is_own(entry, records.decode_record(event.value)):
            return self._dispatch(entry, event.revision, now)
        if event.revision == entry.expect:
            # The write has not landed yet and may land later. Writing again
            # is safe: at most one of the two succeeds, with the same nonce.
            return [self._claim(entry, entry.expect)]
        return self._observe(entry, event.value, event.revision, now)

    def _dispatch(
        self, entry: entries.Entry, revision: int, now: float
    ) -> list[commands.Command]:
        entry.expect = revision
        assert entry.call is not None
        deadline = entry.get_deadline(now)
        if deadline <= now:
            # The process was paused or the store was slow.
            return self._release(entry, entries.make_too_late())
        return [
            messages.Dispatch(
                self._table.start_op(entry, entries.Phase.DISPATCHED),
                entry.call,
                records.make_service_key(entry.workspace, entry.key),
                deadline,
            )
        ]

    def _give_up(
        self, entry: entries.Entry, reason: str, now: float
    ) -> list[commands.Command]:
        failure = messages.StoreDown(
            reason=reason,
            retry_after_s=STORE_RETRY_S,
            ticket=self._issuer.issue(entry.workspace, now),
        )
        if not entry.doubtful:
            return self._finish(entry, failure)
        return self._release(entry, failure)

    # The dispatch and its outcome.

    def _after_dispatch(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.ServiceAnswered):
            return self._conclude(entry, event.outcome)
        if isinstance(event, messages.NotSent | messages.Refused):
            failure = messages.NotRun(
                reason=event.reason, retry_after_s=STORE_RETRY_S
            )
            return self._release(entry, failure)
        assert entry.call is not None
        return [
            self._table.look_up(
                entry,
                entries.Phase.RESOLVING,
                entry.call.service,
                entry.call.operation,
            )
        ]

    def _after_own_lookup(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.LookedUp):
            if event.outcome is not None:
                return self._conclude(entry, event.outcome)
        return self._conclude(entry, entries.make_unknown())

    def _conclude(
        self, entry: entries.Entry, result: messages.Result
    ) -> list[commands.Command]:
        """Answers everyone and records the outcome of the own dispatch."""
        entry.result = result
        state = records.State.UNKNOWN
        outcome = None
        if isinstance(result, messages.Outcome):
            state = records.State.DONE
            outcome = result
        entry.target = dataclasses.replace(
            self._make_record(entry, state), outcome=outcome
        )
        answers = entries.answer_all(entry, result)
        return [
            *answers,
            self._table.write(entry, entries.Phase.RECORDING, entry.target),
        ]

    def _after_recording(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        assert entry.target is not None
        if isinstance(event, messages.RecordWritten):
            return self._close(entry)
        if not isinstance(event, messages.RecordConflict):
            if entry.target.nonce != entry.nonce:
                # The next lookup of another process's call repeats this.
                return self._close(entry)
            return self._retry_later(entry, now)
        found = records.decode_record(event.value)
        if found is None or found.nonce != entry.target.nonce:
            return self._close(entry)
        if found.state is records.State.DONE or found == entry.target:
            return self._close(entry)
        entry.expect = event.revision
        return [self._table.write(entry, entries.Phase.RECORDING, entry.target)]

    # Giving a claim back.

    def _release(
        self, entry: entries.Entry, failure: failures.Failure
    ) -> list[commands.Command]:
        """Answers everyone and marks the claim as not run.

        If the claim is in doubt, this write also keeps it from landing later:
        both expect the same revision.
        """
        entry.result = failure
        entry.target = self._make_record(entry, records.State.NOT_RUN)
        answers = entries.answer_all(entry, failure)
        return [
            *answers,
            self._table.write(entry, entries.Phase.RELEASING, entry.target),
        ]

    def _after_release(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.RecordWritten):
            return self._close(entry)
        if not isinstance(event, messages.RecordConflict):
            return self._retry_later(entry, now)
        found = records.decode_record(event.value)
        if not self._is_own(entry, found):
            return self._close(entry)
        assert entry.target is not None
        entry.expect = event.revision
        return [self._table.write(entry, entries.Phase.RELEASING, entry.target)]

    def _retry_later(
        self, entry: entries.Entry, now: float
    ) -> list[commands.Command]:
        jitter = self._rng.random() * STORE_RETRY_JITTER_S
        entry.retry_at = now + STORE_RETRY_S + jitter
        return []

    def _finish(
        self, entry: entries.Entry, result: messages.Result
    ) -> list[commands.Command]:
        answers = entries.answer_all(entry, result)
        self._table.close(entry)
        return answers

    def _close(self, entry: entries.Entry) -> list[commands.Command]:
        self._table.close(entry)
        return []

    def _make_record(
        self, entry: entries.Entry, state: records.State
    ) -> records.Record:
        assert entry.call is not None
        return records.Record(
            state=state,
            address=self._process.address,
            incarnation=self._process.incarnation,
            nonce=entry.nonce,
            service=entry.call.service,
            operation=entry.call.operation,
            digest=records.compute_digest(entry.call),
            made_s=entry.made_s,
        )

    def _is_own(
        self, entry: entries.Entry, found: records.Record | None
    ) -> bool:
        """Tells whether a record is the claim of this entry."""
        if found is None or found.state is not records.State.CLAIMED:
            return False
        if found.incarnation != self._process.incarnation:
            return False
        if found.address != self._process.address:
            return False
        return found.nonce == entry.nonce
