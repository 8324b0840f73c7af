"""Claim, dispatch and outcome of calls that this process owns.

A call is dispatched only after its claim is in the store, and its outcome
replaces the claim. A claim that was not dispatched is released as `not_run`.
"""

import abc
import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.calls import call_records as records
from sycamorehollow.decisions.calls import pending_calls as pending
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

STORE_RETRY_S = 1.0
# Spreads the retries of all processes when the store recovers.
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
        """Creates the component without calls.

        Args:
            process: Identity of this run of the process.
            issuer: Issuer of the tickets in `StoreDown` failures.
            rng: Random source for nonces and jitter.
            wall_offset_s: Wall-clock time minus monotonic time, in seconds.
        """
        self._wall_offset_s = wall_offset_s
        self._process = process
        self._issuer = issuer
        self._rng = rng
        self._table = pending.PendingCallTable("key-")

    @property
    def count(self) -> int:
        """Number of keys in memory."""
        return len(self._table)

    @abc.abstractmethod
    def _handle_foreign_record(
        self,
        entry: pending.PendingCall,
        value: str | None,
        revision: int,
        now: float,
    ) -> list[commands.Command]:
        """Handles a record that is not the claim of the entry."""

    # The claim.

    def _claim(
        self, entry: pending.PendingCall, expected_revision: int
    ) -> commands.Command:
        entry.expected_revision = expected_revision
        record = self._make_record(entry, records.CallState.CLAIMED)
        return self._table.write(entry, pending.Phase.CLAIMING, record)

    def _after_claim(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.CallRecordWritten):
            return self._dispatch(entry, event.revision, now)
        if isinstance(event, messages.CallRecordConflict):
            found = records.decode_record(event.value)
            if self._is_own(entry, found):
                return self._dispatch(entry, event.revision, now)
            return self._handle_foreign_record(
                entry, event.value, event.revision, now
            )
        if isinstance(event, messages.OpInDoubt):
            entry.is_claim_in_doubt = True
            return [self._table.read(entry, pending.Phase.CHECKING_CLAIM)]
        return self._abandon_claim(entry, "the store does not respond", now)

    def _after_check(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        if not isinstance(event, messages.CallRecordRead):
            return self._abandon_claim(entry, "the store does not respond", now)
        if entry.get_deadline(now) <= now:
            return self._release(entry, pending.make_deadline_exceeded())
        if self._is_own(entry, records.decode_record(event.value)):
            return self._dispatch(entry, event.revision, now)
        if event.revision == entry.expected_revision:
            # The write has not taken effect yet and may do so later. Writing
            # again is safe: at most one succeeds, and both have this nonce.
            return [self._claim(entry, entry.expected_revision)]
        return self._handle_foreign_record(
            entry, event.value, event.revision, now
        )

    def _dispatch(
        self, entry: pending.PendingCall, revision: int, now: float
    ) -> list[commands.Command]:
        entry.expected_revision = revision
        assert entry.call is not None
        deadline = entry.get_deadline(now)
        if deadline <= now:
            # The process was paused or the store was slow.
            return self._release(entry, pending.make_deadline_exceeded())
        return [
            messages.Dispatch(
                self._table.start_op(entry, pending.Phase.DISPATCHED),
                entry.call,
                records.make_service_key(entry.workspace, entry.key),
                deadline,
            )
        ]

    def _abandon_claim(
        self, entry: pending.PendingCall, reason: str, now: float
    ) -> list[commands.Command]:
        failure = messages.StoreDown(
            reason=reason,
            retry_after_s=STORE_RETRY_S,
            ticket=self._issuer.issue(entry.workspace, now),
        )
        if not entry.is_claim_in_doubt:
            return self._reply_and_close(entry, failure)
        return self._release(entry, failure)

    # The dispatch and its outcome.

    def _after_dispatch(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.ServiceResponded):
            return self._conclude(entry, event.outcome)
        if isinstance(event, messages.OpNotSent | messages.OpRefused):
            failure = messages.NotRun(
                reason=event.reason, retry_after_s=STORE_RETRY_S
            )
            return self._release(entry, failure)
        assert entry.call is not None
        return [
            self._table.look_up_outcome(
                entry,
                pending.Phase.LOOKING_UP_OWN,
                entry.call.service,
                entry.call.operation,
            )
        ]

    def _after_own_lookup(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.OutcomeLookedUp):
            if event.outcome is not None:
                return self._conclude(entry, event.outcome)
        return self._conclude(entry, pending.make_unknown_outcome())

    def _conclude(
        self, entry: pending.PendingCall, result: messages.Result
    ) -> list[commands.Command]:
        """Replies to all waiters and records the outcome of the call."""
        entry.result = result
        state = records.CallState.UNKNOWN
        outcome = None
        if isinstance(result, messages.Outcome):
            state = records.CallState.DONE
            outcome = result
        entry.target_record = dataclasses.replace(
            self._make_record(entry, state), outcome=outcome
        )
        replies = pending.reply_to_all(entry, result)
        return [
            *replies,
            self._table.write(
                entry, pending.Phase.RECORDING_OUTCOME, entry.target_record
            ),
        ]

    def _after_recording(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        assert entry.target_record is not None
        if isinstance(event, messages.CallRecordWritten):
            return self._close(entry)
        if not isinstance(event, messages.CallRecordConflict):
            if entry.target_record.nonce != entry.nonce:
                # The next lookup of this foreign call writes it again.
                return self._close(entry)
            return self._retry_later(entry, now)
        found = records.decode_record(event.value)
        if found is None or found.nonce != entry.target_record.nonce:
            return self._close(entry)
        if (
            found.state is records.CallState.DONE
            or found == entry.target_record
        ):
            return self._close(entry)
        entry.expected_revision = event.revision
        return [
            self._table.write(
                entry, pending.Phase.RECORDING_OUTCOME, entry.target_record
            )
        ]

    # Release of a claim.

    def _release(
        self, entry: pending.PendingCall, failure: failures.Failure
    ) -> list[commands.Command]:
        """Replies to all waiters and marks the claim as not run.

        If the claim is in doubt, this write also keeps it from taking effect
        later, because both expect the same revision.
        """
        entry.result = failure
        entry.target_record = self._make_record(
            entry, records.CallState.NOT_RUN
        )
        replies = pending.reply_to_all(entry, failure)
        return [
            *replies,
            self._table.write(
                entry, pending.Phase.RELEASING_CLAIM, entry.target_record
            ),
        ]

    def _after_release(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.CallRecordWritten):
            return self._close(entry)
        if not isinstance(event, messages.CallRecordConflict):
            return self._retry_later(entry, now)
        found = records.decode_record(event.value)
        if not self._is_own(entry, found):
            return self._close(entry)
        assert entry.target_record is not None
        entry.expected_revision = event.revision
        return [
            self._table.write(
                entry, pending.Phase.RELEASING_CLAIM, entry.target_record
            )
        ]

    def _retry_later(
        self, entry: pending.PendingCall, now: float
    ) -> list[commands.Command]:
        jitter = self._rng.random() * STORE_RETRY_JITTER_S
        entry.retry_at = now + STORE_RETRY_S + jitter
        return []

    def _reply_and_close(
        self, entry: pending.PendingCall, result: messages.Result
    ) -> list[commands.Command]:
        replies = pending.reply_to_all(entry, result)
        self._table.close(entry)
        return replies

    def _close(self, entry: pending.PendingCall) -> list[commands.Command]:
        self._table.close(entry)
        return []

    def _make_record(
        self, entry: pending.PendingCall, state: records.CallState
    ) -> records.CallRecord:
        assert entry.call is not None
        return records.CallRecord(
            state=state,
            address=self._process.address,
            incarnation=self._process.incarnation,
            nonce=entry.nonce,
            service=entry.call.service,
            operation=entry.call.operation,
            digest=records.compute_digest(entry.call),
            created_s=entry.created_s,
        )

    def _is_own(
        self, entry: pending.PendingCall, found: records.CallRecord | None
    ) -> bool:
        """Returns whether a record is the claim of this entry."""
        if found is None or found.state is not records.CallState.CLAIMED:
            return False
        if found.incarnation != self._process.incarnation:
            return False
        if found.address != self._process.address:
            return False
        return found.nonce == entry.nonce
