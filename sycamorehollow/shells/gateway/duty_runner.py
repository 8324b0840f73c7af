"""Runs the duties of a node: candidacy, records, calls and the exchange."""

from collections.abc import Callable
from collections.abc import Mapping
import time
from typing import Any

import prometheus_client

from sycamorehollow.decisions.duties import clock_offset
from sycamorehollow.decisions.duties import duty as duties
from sycamorehollow.decisions.duties import ownership
from sycamorehollow.shells.gateway import duty_client
from sycamorehollow.shells.gateway import duty_codec
from sycamorehollow.shells.gateway import duty_exchange
from sycamorehollow.shells.gateway import duty_sender
from sycamorehollow.shells.gateway import duty_store
from sycamorehollow.shells.gateway import state_sync
from sycamorehollow.shells.gateway import telemetry

# Age of the copy of the store up to which a node is a candidate.
MAX_AGE_S = 3.0


class DutyRunner:
    """Runs in the event loop of the gateway; other threads make the calls.

    Args:
        entries: The duties.
        codec: Encodes calls and keys.
        store_calls: Makes the store calls.
        sender: Sends the calls to the platform.
        state: The node's copy of the store and its messages.
        exchange: Passes values on to other nodes.
        order: Order of the candidates.
        clock: Estimate of true time.
        telemetry_sink: Records every decision.
        get_nodes: Returns the registered nodes.
    """

    def __init__(
        self,
        entries: list[duty_sender.Entry],
        codec: duty_codec.DutyCodec,
        store_calls: duty_store.StoreCalls,
        sender: duty_sender.DutySender,
        state: state_sync.StateSync,
        exchange: duty_exchange.DutyExchange,
        order: duty_exchange.CandidateOrder,
        clock: clock_offset.ClockOffset,
        telemetry_sink: telemetry.Telemetry,
        get_nodes: Callable[[], Mapping[str, Any]],
    ):
        self._entries = entries
        self._codec = codec
        self._store_calls = store_calls
        self._sender = sender
        self._state = state
        self._exchange = exchange
        self._order = order
        self._clock = clock
        self._telemetry = telemetry_sink
        self._get_nodes = get_nodes
        self._node_count = 0
        self._era = -1
        self._era_known_since = 0.0
        self._owned = prometheus_client.Gauge(
            "sycamore_duty_owned",
            "Whether this node owns a duty",
            ["duty"],
            registry=telemetry_sink.registry,
        )

    def run(self) -> None:
        """Does all work that is due."""
        now = duty_client.read_boot_time()
        self._clock.record_clocks(now, time.time())
        self._order.set_nodes(self._get_nodes())
        self._set_node_count(self._order.node_count)
        copy = self._state.local_copy
        if copy.era != self._era:
            self._era = copy.era
            self._era_known_since = now
        owners: dict[str, str | None] = {}
        for entry in self._entries:
            key = self._codec.build_owner_key(entry.duty.name)
            owners[entry.duty.name] = copy.get_value(key)
            self._run_entry(entry, key, now)
        self._exchange.run(owners, now)

    def stop(self) -> None:
        """Gives all duties up, for a node that leaves."""
        self._exchange.is_stopping = True
        for entry in self._entries:
            entry.candidate.stop("the node leaves")

    def _set_node_count(self, count: int) -> None:
        if count == self._node_count:
            return
        self._node_count = count
        for entry in self._entries:
            entry.duty.set_node_count(count)

    def _run_entry(
        self, entry: duty_sender.Entry, key: str, now: float
    ) -> None:
        name, candidate = entry.duty.name, entry.candidate
        copy = self._state.local_copy
        view = ownership.View(
            copy.era,
            copy.revision,
            copy.get_revision(key),
            copy.get_value(key),
            self._state.compute_age_s() <= MAX_AGE_S,
        )
        rank = self._order.compute_rank(name)
        step = candidate.next_step(view, rank, bool(entry.in_flight), now)
        if step is not None:
            self._store_calls.run_step(
                name,
                step,
                candidate,
                lambda text: self._log(name, text),
                lambda: self._run_entry(
                    entry, key, duty_client.read_boot_time()
                ),
            )
        self._record_state(entry, key, now)
        if candidate.state is not ownership.State.OWNER:
            return
        if entry.duty.is_due(now):
            for note in entry.duty.take_notes(now):
                self._log(name, note)
            self._write_records(entry, key, now)
            for call in entry.duty.build_calls(now):
                entry.pending[call.subject] = call
        self._sender.send(entry, now)

    def _record_state(
        self, entry: duty_sender.Entry, key: str, now: float
    ) -> None:
        """Logs a changed state, and begins or ends the ownership."""
        state, previous = entry.candidate.state, entry.state
        if state is previous:
            return
        entry.state = state
        is_owner = state is ownership.State.OWNER
        quiet = (ownership.State.IDLE, ownership.State.ACQUIRING)
        if state not in quiet or previous not in quiet:
            reason = ""
            if state in (ownership.State.GIVEN_UP, ownership.State.IDLE):
                reason = f" reason={entry.candidate.reason!r}"
            self._log(
                entry.duty.name,
                f"{state.value} token={entry.candidate.token}{reason}",
            )
        self._owned.labels(entry.duty.name).set(is_owner)
        if is_owner:
            self._load_records(entry, now)
            entry.duty.begin(now)
        elif previous is ownership.State.OWNER:
            entry.pending.clear()
            entry.duty.end(now)

    def _load_records(self, entry: duty_sender.Entry, now: float) -> None:
        """Gives the duty the records of the node's copy of the store."""
        prefix = self._codec.build_record_key(entry.duty.name, "")
        records: dict[str, duties.Call] = {}
        recent = set()
        copy = self._state.local_copy
        for item in copy.list_values():
            if not item.key.startswith(prefix) or item.value is None:
                continue
            decoded = self._codec.decode_record(item.value)
            if decoded is None:
                self._log(entry.duty.name, f"unreadable record {item.key}")
                continue
            record = item.key.removeprefix(prefix)
            records[record] = decoded[0]
            if decoded[1] == copy.era:
                recent.add(record)
        entry.duty.load_records(
            records, frozenset(recent), self._era_known_since, now
        )

    def _write_records(
        self, entry: duty_sender.Entry, key: str, now: float
    ) -> None:
        """Writes the next record unless a write has no result yet."""
        if entry.is_writing:
            return
        era, revision = divmod(entry.candidate.token, ownership.ERA_STEP)
        owner = duty_store.Owner(key, revision, era)
        for record in entry.duty.build_records(now)[:1]:

            def handle(
                held: duties.Call | None,
                outcome: str,
                record: duties.Record = record,
            ) -> None:
                entry.is_writing = False
                self._log(
                    entry.duty.name, f"record={record.name} {outcome} {held}"
                )
                entry.duty.record_written(
                    record, held, duty_client.read_boot_time()
                )

            entry.is_writing = self._store_calls.write_record(
                entry.duty.name, record, owner, handle
            )

    def _log(self, name: str, text: str) -> None:
        self._telemetry.record_state_change(f"duty={name}", text, "duties")
