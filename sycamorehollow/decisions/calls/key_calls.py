"""Non-idempotent calls under an idempotency key of the caller.

Processes claim a key by creating a record in the store before the dispatch.
"""

import dataclasses

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.calls import call_records as records
from sycamorehollow.decisions.calls import owned_calls
from sycamorehollow.decisions.calls import pending_calls as pending
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests

# At 2 KB per call this is 20 MB.
MAX_PENDING_KEYS = 10_000
# If the owner drops a finished call between the claim conflict and the request,
# the record has to be read again once; more reads would be a loop.
MAX_FOREIGN_RECORDS = 3


class KeyCalls(owned_calls.OwnedCalls):
    """Runs each call with a key of the caller at most once."""

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event; see `components.Component.handle`."""
        if isinstance(event, messages.CallArrived):
            return self._accept(event.call, now)
        if isinstance(event, messages.OutcomeRequested):
            return self._accept_outcome_request(event)
        if isinstance(event, messages.PeerRequestReceived):
            return self._accept_peer_request(event)
        if isinstance(event, events.Tick):
            return self._tick(now)
        entry = self._table.take_op(getattr(event, "op", ""))
        if entry is None:
            return []
        handlers = {
            pending.Phase.CLAIMING: self._after_claim,
            pending.Phase.CHECKING_CLAIM: self._after_check,
            pending.Phase.DISPATCHED: self._after_dispatch,
            pending.Phase.LOOKING_UP_OWN: self._after_own_lookup,
            pending.Phase.RECORDING_OUTCOME: self._after_recording,
            pending.Phase.RELEASING_CLAIM: self._after_release,
            pending.Phase.READING_RECORD: self._after_read,
            pending.Phase.WAITING_FOR_OWNER: self._after_owner_reply,
            pending.Phase.LOOKING_UP_FOREIGN: self._after_foreign_lookup,
        }
        return handlers[entry.phase](entry, event, now)

    # Requests of callers and peers.

    def _accept(
        self, call: requests.ServiceCall, now: float
    ) -> list[commands.Command]:
        if tickets.is_ticket(call.key):
            return []
        entry = self._table.find(call.workspace, call.key, True)
        if entry is not None:
            return self._join(entry, call)
        if len(self._table) >= MAX_PENDING_KEYS:
            failure = messages.Overloaded(
                reason="too many calls are in progress",
                retry_after_s=owned_calls.STORE_RETRY_S,
            )
            return [messages.Reply(call.request_id, failure)]
        entry = self._add_entry(call.workspace, call.key, call)
        entry.created_s = int(now + self._wall_offset_s)
        entry.waiters[call.request_id] = call.deadline
        return [self._claim(entry, 0)]

    def _join(
        self, entry: pending.PendingCall, call: requests.ServiceCall
    ) -> list[commands.Command]:
        assert entry.call is not None
        if records.compute_digest(entry.call) != records.compute_digest(call):
            failure = pending.make_key_conflict()
            return [messages.Reply(call.request_id, failure)]
        if entry.result is not None:
            return [messages.Reply(call.request_id, entry.result)]
        entry.waiters[call.request_id] = call.deadline
        return []

    def _add_entry(
        self, workspace: str, key: str, call: requests.ServiceCall | None
    ) -> pending.PendingCall:
        nonce = f"{self._rng.getrandbits(64):016x}"
        entry = pending.PendingCall(workspace, key, nonce, call)
        self._table.add(entry)
        return entry

    def _find(self, workspace: str, key: str) -> pending.PendingCall | None:
        """Returns the entry that may run the call, or else one that may not."""
        entry = self._table.find(workspace, key, True)
        return entry or self._table.find(workspace, key, False)

    def _accept_outcome_request(
        self, event: messages.OutcomeRequested
    ) -> list[commands.Command]:
        if tickets.is_ticket(event.key):
            return []
        entry = self._find(event.workspace, event.key)
        if entry is None:
            entry = self._add_entry(event.workspace, event.key, None)
            entry.waiters[event.request_id] = event.deadline
            return [self._table.read(entry, pending.Phase.READING_RECORD)]
        if entry.result is not None:
            return [messages.Reply(event.request_id, entry.result)]
        entry.waiters[event.request_id] = event.deadline
        return []

    def _accept_peer_request(
        self, event: messages.PeerRequestReceived
    ) -> list[commands.Command]:
        if tickets.is_ticket(event.key):
            return []
        if event.incarnation != self._process.incarnation:
            gone = messages.WrongIncarnation(reason="the process has restarted")
            return [messages.ReplyToPeer(event.peer_request_id, gone)]
        entry = self._find(event.workspace, event.key)
        if entry is None or entry.phase in pending.OWNED_ELSEWHERE:
            failure = messages.NotHeld(reason="the key is not held here")
            return [messages.ReplyToPeer(event.peer_request_id, failure)]
        if entry.result is not None:
            return [messages.ReplyToPeer(event.peer_request_id, entry.result)]
        entry.peer_waiters[event.peer_request_id] = event.deadline
        return []

    # Records of other processes.

    def _handle_foreign_record(
        self,
        entry: pending.PendingCall,
        value: str | None,
        revision: int,
        now: float,
    ) -> list[commands.Command]:
        found = records.decode_record(value)
        if found is None:
            return self._handle_unusable_record(entry, value, revision)
        digest = found.digest
        if entry.call is not None:
            digest = records.compute_digest(entry.call)
        if found.digest != digest:
            return self._reply_and_close(entry, pending.make_key_conflict())
        if found.outcome is not None:
            return self._reply_and_close(entry, found.outcome)
        entry.foreign_record = found
        entry.expected_revision = revision
        entry.foreign_record_count += 1
        if found.state is records.CallState.NOT_RUN:
            if entry.call is None:
                return self._reply_and_close(entry, _make_not_run())
            return [self._claim(entry, revision)]
        if found.state is records.CallState.CLAIMED:
            if entry.foreign_record_count < MAX_FOREIGN_RECORDS:
                if found.address != self._process.address:
                    return [self._request_from_owner(entry, found)]
        return [self._look_up_foreign(entry, found)]

    def _handle_unusable_record(
        self, entry: pending.PendingCall, value: str | None, revision: int
    ) -> list[commands.Command]:
        if value is not None:
            failure = messages.UnknownOutcome(
                reason="the record of the key cannot be read"
            )
            return self._reply_and_close(entry, failure)
        if entry.call is not None:
            return [self._claim(entry, revision)]
        absent = messages.NotHeld(reason="no call under this key is recorded")
        return self._reply_and_close(entry, absent)

    def _request_from_owner(
        self, entry: pending.PendingCall, found: records.CallRecord
    ) -> commands.Command:
        return messages.RequestFromOwner(
            self._table.start_op(entry, pending.Phase.WAITING_FOR_OWNER),
            found.address,
            found.incarnation,
            entry.workspace,
            entry.key,
            None,
            entry.get_deadline(0.0),
        )

    def _after_owner_reply(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        assert entry.foreign_record is not None
        if not isinstance(event, messages.OwnerReplied):
            return [self._look_up_foreign(entry, entry.foreign_record)]
        if isinstance(event.result, messages.Outcome):
            return self._reply_and_close(entry, event.result)
        if isinstance(event.result, messages.NotHeld):
            return [self._table.read(entry, pending.Phase.READING_RECORD)]
        if event.result.execution is failures.Execution.UNKNOWN:
            return [self._look_up_foreign(entry, entry.foreign_record)]
        return self._reply_and_close(entry, event.result)

    def _after_read(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.CallRecordRead):
            return self._handle_foreign_record(
                entry, event.value, event.revision, now
            )
        if entry.foreign_record is not None:
            return [self._look_up_foreign(entry, entry.foreign_record)]
        return self._reply_and_close(entry, pending.make_unknown_outcome())

    def _look_up_foreign(
        self, entry: pending.PendingCall, found: records.CallRecord
    ) -> commands.Command:
        return self._table.look_up_outcome(
            entry,
            pending.Phase.LOOKING_UP_FOREIGN,
            found.service,
            found.operation,
        )

    def _after_foreign_lookup(
        self, entry: pending.PendingCall, event: events.Event, now: float
    ) -> list[commands.Command]:
        # A call absent at the service may still run: its owner may be paused.
        if (
            not isinstance(event, messages.OutcomeLookedUp)
            or event.outcome is None
        ):
            return self._reply_and_close(entry, pending.make_unknown_outcome())
        assert entry.foreign_record is not None
        entry.result = event.outcome
        entry.target_record = dataclasses.replace(
            entry.foreign_record,
            state=records.CallState.DONE,
            outcome=event.outcome,
        )
        replies = pending.reply_to_all(entry, event.outcome)
        return [
            *replies,
            self._table.write(
                entry, pending.Phase.RECORDING_OUTCOME, entry.target_record
            ),
        ]

    # Retries and deadlines.

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for entry in self._table.list_calls():
            if entry.retry_at is not None and entry.retry_at <= now:
                assert entry.target_record is not None
                result.append(
                    self._table.write(entry, entry.phase, entry.target_record)
                )
            if entry.phase in pending.BEFORE_DISPATCH:
                if entry.get_deadline(now) <= now:
                    result.extend(
                        self._release(entry, pending.make_deadline_exceeded())
                    )
            result.extend(pending.reply_to_expired(entry, now))
        return result


def _make_not_run() -> messages.NotRun:
    return messages.NotRun(
        reason="the call did not reach the service",
        retry_after_s=owned_calls.STORE_RETRY_S,
    )
