"""Non-idempotent calls under a key that the caller chose.

The claim of a key is a record in the store, created before the dispatch.
"""

import dataclasses

from sycamorehollow.decisions.calls import effect_entries as entries
from sycamorehollow.decisions.calls import effect_messages as messages
from sycamorehollow.decisions.calls import effect_records as records
from sycamorehollow.decisions.calls import effect_runs
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests

# At 2 KB per call this is 20 MB.
MAX_KEYS_HELD = 10_000
# An owner that drops a finished call between a claim conflict and the
# question sends the asker back to the record once; more would be a loop.
MAX_OBSERVATIONS = 3


class KeyCalls(effect_runs.OwnedCalls):
    """Runs calls with a caller's own key at most once each."""

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        if isinstance(event, messages.CallArrived):
            return self._accept(event.call, now)
        if isinstance(event, messages.OutcomeAsked):
            return self._accept_question(event)
        if isinstance(event, messages.PeerAsked):
            return self._answer_peer(event)
        if isinstance(event, events.Tick):
            return self._tick(now)
        entry = self._table.take_op(getattr(event, "op", ""))
        if entry is None:
            return []
        handlers = {
            entries.Phase.CLAIMING: self._after_claim,
            entries.Phase.CHECKING: self._after_check,
            entries.Phase.DISPATCHED: self._after_dispatch,
            entries.Phase.RESOLVING: self._after_own_lookup,
            entries.Phase.RECORDING: self._after_recording,
            entries.Phase.RELEASING: self._after_release,
            entries.Phase.READING: self._after_read,
            entries.Phase.ASKING: self._after_asking,
            entries.Phase.LOOKING: self._after_foreign_lookup,
        }
        return handlers[entry.phase](entry, event, now)

    # Arrivals.

    def _accept(
        self, call: requests.ServiceCall, now: float
    ) -> list[commands.Command]:
        if tickets.is_ticket(call.key):
            return []
        entry = self._table.find(call.workspace, call.key, True)
        if entry is not None:
            return self._join(entry, call)
        if len(self._table) >= MAX_KEYS_HELD:
            failure = messages.Overloaded(
                reason="too many calls are in progress",
                retry_after_s=effect_runs.STORE_RETRY_S,
            )
            return [messages.Reply(call.request_id, failure)]
        entry = self._open(call.workspace, call.key, call)
        entry.made_s = int(now + self._wall_offset_s)
        entry.waiters[call.request_id] = call.deadline
        return [self._claim(entry, 0)]

    def _join(
        self, entry: entries.Entry, call: requests.ServiceCall
    ) -> list[commands.Command]:
        assert entry.call is not None
        if records.compute_digest(entry.call) != records.compute_digest(call):
            failure = entries.make_key_conflict()
            return [messages.Reply(call.request_id, failure)]
        if entry.result is not None:
            return [messages.Reply(call.request_id, entry.result)]
        entry.waiters[call.request_id] = call.deadline
        return []

    def _open(
        self, workspace: str, key: str, call: requests.ServiceCall | None
    ) -> entries.Entry:
        nonce = f"{self._rng.getrandbits(64):016x}"
        entry = entries.Entry(workspace, key, nonce, call)
        self._table.add(entry)
        return entry

    def _find(self, workspace: str, key: str) -> entries.Entry | None:
        """Returns the entry that may run the call, or else a question."""
        entry = self._table.find(workspace, key, True)
        return entry or self._table.find(workspace, key, False)

    def _accept_question(
        self, asked: messages.OutcomeAsked
    ) -> list[commands.Command]:
        if tickets.is_ticket(asked.key):
            return []
        entry = self._find(asked.workspace, asked.key)
        if entry is None:
            entry = self._open(asked.workspace, asked.key, None)
            entry.waiters[asked.request_id] = asked.deadline
            return [self._table.read(entry, entries.Phase.READING)]
        if entry.result is not None:
            return [messages.Reply(asked.request_id, entry.result)]
        entry.waiters[asked.request_id] = asked.deadline
        return []

    def _answer_peer(self, asked: messages.PeerAsked) -> list[commands.Command]:
        if tickets.is_ticket(asked.key):
            return []
        if asked.incarnation != self._process.incarnation:
            gone = messages.WrongIncarnation(reason="the process has restarted")
            return [messages.AnswerPeer(asked.ask, gone)]
        entry = self._find(asked.workspace, asked.key)
        if entry is None or entry.phase in entries.FOREIGN:
            failure = messages.NotHeld(reason="the key is not held here")
            return [messages.AnswerPeer(asked.ask, failure)]
        if entry.result is not None:
            return [messages.AnswerPeer(asked.ask, entry.result)]
        entry.askers[asked.ask] = asked.deadline
        return []

    # Records of other processes.

    def _observe(
        self, entry: entries.Entry, value: str | None, revision: int, now: float
    ) -> list[commands.Command]:
        found = records.decode_record(value)
        if found is None:
            return self._observe_nothing(entry, value, revision)
        digest = found.digest
        if entry.call is not None:
            digest = records.compute_digest(entry.call)
        if found.digest != digest:
            return self._finish(entry, entries.make_key_conflict())
        if found.outcome is not None:
            return self._finish(entry, found.outcome)
        entry.record = found
        entry.expect = revision
        entry.observations += 1
        if found.state is records.State.NOT_RUN:
            if entry.call is None:
                return self._finish(entry, _make_not_run())
            return [self._claim(entry, revision)]
        if found.state is records.State.CLAIMED:
            if entry.observations < MAX_OBSERVATIONS:
                if found.address != self._process.address:
                    return [self._ask(entry, found)]
        return [self._look(entry, found)]

    def _observe_nothing(
        self, entry: entries.Entry, value: str | None, revision: int
    ) -> list[commands.Command]:
        if value is not None:
            failure = messages.UnknownOutcome(
                reason="the record of the key cannot be read"
            )
            return self._finish(entry, failure)
        if entry.call is not None:
            return [self._claim(entry, revision)]
        absent = messages.NotHeld(reason="no call under this key is recorded")
        return self._finish(entry, absent)

    def _ask(
        self, entry: entries.Entry, found: records.Record
    ) -> commands.Command:
        return messages.AskOwner(
            self._table.start_op(entry, entries.Phase.ASKING),
            found.address,
            found.incarnation,
            entry.workspace,
            entry.key,
            None,
            entry.get_deadline(0.0),
        )

    def _after_asking(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        assert entry.record is not None
        if not isinstance(event, messages.OwnerAnswered):
            return [self._look(entry, entry.record)]
        if isinstance(event.result, messages.Outcome):
            return self._finish(entry, event.result)
        if isinstance(event.result, messages.NotHeld):
            return [self._table.read(entry, entries.Phase.READING)]
        if event.result.execution is failures.Execution.UNKNOWN:
            return [self._look(entry, entry.record)]
        return self._finish(entry, event.result)

    def _after_read(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        if isinstance(event, messages.RecordRead):
            return self._observe(entry, event.value, event.revision, now)
        if entry.record is not None:
            return [self._look(entry, entry.record)]
        return self._finish(entry, entries.make_unknown())

    def _look(
        self, entry: entries.Entry, found: records.Record
    ) -> commands.Command:
        return self._table.look_up(
            entry, entries.Phase.LOOKING, found.service, found.operation
        )

    def _after_foreign_lookup(
        self, entry: entries.Entry, event: events.Event, now: float
    ) -> list[commands.Command]:
        # An absent call may still run: its owner may be paused.
        if not isinstance(event, messages.LookedUp) or event.outcome is None:
            return self._finish(entry, entries.make_unknown())
        assert entry.record is not None
        entry.result = event.outcome
        entry.target = dataclasses.replace(
            entry.record, state=records.State.DONE, outcome=event.outcome
        )
        answers = entries.answer_all(entry, event.outcome)
        return [
            *answers,
            self._table.write(entry, entries.Phase.RECORDING, entry.target),
        ]

    # Time, and the ends of entries.

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for entry in self._table.list_entries():
            if entry.retry_at is not None and entry.retry_at <= now:
                assert entry.target is not None
                result.append(
                    self._table.write(entry, entry.phase, entry.target)
                )
            if entry.phase in entries.BEFORE_DISPATCH:
                if entry.get_deadline(now) <= now:
                    result.extend(self._release(entry, entries.make_too_late()))
            result.extend(entries.answer_expired(entry, now))
        return result


def _make_not_run() -> messages.NotRun:
    return messages.NotRun(
        reason="the call did not reach the service",
        retry_after_s=effect_runs.STORE_RETRY_S,
    )
