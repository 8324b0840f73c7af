"""Non-idempotent calls under a ticket, which only its issuer runs."""

from collections.abc import Callable
import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.calls import call_records as records
from sycamorehollow.decisions.calls import pending_calls as pending
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.decisions.calls import waiters
from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests

# At 2 KB per call this is 40 MB, reached at 33 calls a second.
MAX_TICKETS = 20_000
STORE_RETRY_S = 1.0
OWNER_RETRY_S = 1.0


@dataclasses.dataclass
class _OwnTicket:
    """A ticket that this process has dispatched.

    Attributes:
        created_s: Wall-clock time of the dispatch in whole seconds.
        expiry: Time from which the ticket cannot be run for the first time.
        result: Result of the latest attempt to get the outcome.
        stored: Whether the store has the result.
        writing: Whether a write of the result is in progress.
    """

    workspace: str
    key: str
    service: str
    operation: str
    digest: str
    created_s: int
    expiry: float
    waiters: dict[str, float] = dataclasses.field(default_factory=dict)
    peer_waiters: dict[str, float] = dataclasses.field(default_factory=dict)
    result: messages.Result | None = None
    stored: bool = False
    writing: bool = False
    retry_at: float = 0.0


_Handler = Callable[[events.Event, float], list[commands.Command]]


class TicketCalls(components.Component):
    """Runs each own ticket at most once; forwards others to their owner."""

    def __init__(
        self,
        process: messages.Process,
        ring: keyrings.KeyRing,
        rng: random.Random,
        wall_offset_s: float,
    ):
        """Creates the component without calls.

        Args:
            process: Identity of this run of the process.
            ring: Keys to verify tickets with.
            rng: Random source for jitter.
            wall_offset_s: Wall-clock time minus monotonic time, in seconds.
        """
        self._wall_offset_s = wall_offset_s
        self._process = process
        self._ring = ring
        self._rng = rng
        self._own_tickets: dict[tuple[str, str], _OwnTicket] = {}
        self._waiting: dict[str, waiters.Waiter] = {}
        self._handlers: dict[str, _Handler] = {}
        self._next_op = 0

    @property
    def count(self) -> int:
        """Number of tickets in memory."""
        return len(self._own_tickets)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies an event; see `components.Component.handle`."""
        if isinstance(event, messages.CallArrived):
            return self._accept(waiters.from_call(event.call), now)
        if isinstance(event, messages.OutcomeRequested):
            return self._accept(waiters.from_outcome_request(event), now)
        if isinstance(event, messages.PeerRequestReceived):
            if event.incarnation != self._process.incarnation:
                if not tickets.is_ticket(event.key):
                    return []
                gone = messages.WrongIncarnation(
                    reason="the process has restarted"
                )
                return [messages.ReplyToPeer(event.peer_request_id, gone)]
            return self._accept(waiters.from_peer(event), now)
        if isinstance(event, events.Tick):
            return self._tick(now)
        handler = self._handlers.pop(getattr(event, "op", ""), None)
        return [] if handler is None else handler(event, now)

    def _accept(
        self, waiter: waiters.Waiter, now: float
    ) -> list[commands.Command]:
        if not tickets.is_ticket(waiter.key):
            return []
        ticket = tickets.parse_ticket(waiter.key, waiter.workspace, self._ring)
        if isinstance(ticket, failures.Failure):
            return [waiters.reply(waiter, ticket)]
        if ticket.owner == self._process:
            return self._accept_own(waiter, ticket, now)
        if waiter.peer_request_id:
            # Peers request only from the owner, so the sender is mistaken.
            failure = messages.NotHeld(reason="the ticket has another owner")
            return [waiters.reply(waiter, failure)]
        if ticket.owner.address == self._process.address:
            return self._read_outcome(waiter)
        return self._forward(waiter, ticket.owner)

    # Own tickets.

    def _accept_own(
        self, waiter: waiters.Waiter, ticket: tickets.Ticket, now: float
    ) -> list[commands.Command]:
        own = self._own_tickets.get((waiter.workspace, waiter.key))
        if own is not None:
            return self._join(own, waiter)
        expiry = ticket.issued_s + tickets.TICKET_TTL_S
        if now >= expiry:
            return self._read_outcome(waiter)
        if waiter.call is None:
            failure = messages.NotHeld(reason="the ticket has not been used")
            return [waiters.reply(waiter, failure)]
        if waiter.deadline <= now:
            return [waiters.reply(waiter, pending.make_deadline_exceeded())]
        if len(self._own_tickets) >= MAX_TICKETS:
            overloaded = messages.Overloaded(
                reason="too many tickets are held", retry_after_s=STORE_RETRY_S
            )
            return [waiters.reply(waiter, overloaded)]
        created_s = int(now + self._wall_offset_s)
        return [self._dispatch(waiter, waiter.call, created_s, expiry)]

    def _join(
        self, own: _OwnTicket, waiter: waiters.Waiter
    ) -> list[commands.Command]:
        if waiter.call is not None:
            if records.compute_digest(waiter.call) != own.digest:
                return [waiters.reply(waiter, pending.make_key_conflict())]
        if isinstance(own.result, messages.Outcome):
            return [waiters.reply(waiter, own.result)]
        resolve = own.result is not None and not own.waiters | own.peer_waiters
        _add_waiter(own, waiter)
        return [self._look_up_own(own)] if resolve else []

    def _dispatch(
        self,
        waiter: waiters.Waiter,
        call: requests.ServiceCall,
        created_s: int,
        expiry: float,
    ) -> commands.Command:
        own = _OwnTicket(
            waiter.workspace,
            waiter.key,
            call.service,
            call.operation,
            records.compute_digest(call),
            created_s,
            expiry,
        )
        self._own_tickets[(waiter.workspace, waiter.key)] = own
        _add_waiter(own, waiter)
        return messages.Dispatch(
            self._new_op(lambda event, now: self._after_dispatch(own, event)),
            call,
            records.make_service_key(own.workspace, own.key),
            min(waiter.deadline, expiry),
        )

    def _after_dispatch(
        self, own: _OwnTicket, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.ServiceResponded):
            return self._conclude(own, event.outcome)
        if isinstance(event, messages.OpNotSent | messages.OpRefused):
            # After the removal, only this process can run the ticket again.
            del self._own_tickets[(own.workspace, own.key)]
            failure = messages.NotRun(
                reason=event.reason, retry_after_s=STORE_RETRY_S
            )
            return pending.reply_to_all(own, failure)
        return [self._look_up_own(own)]

    def _look_up_own(self, own: _OwnTicket) -> commands.Command:
        return messages.LookUpOutcome(
            self._new_op(lambda event, now: self._after_own_lookup(own, event)),
            own.service,
            own.operation,
            records.make_service_key(own.workspace, own.key),
        )

    def _after_own_lookup(
        self, own: _OwnTicket, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.OutcomeLookedUp):
            if event.outcome is not None:
                return self._conclude(own, event.outcome)
        return self._conclude(own, pending.make_unknown_outcome())

    def _conclude(
        self, own: _OwnTicket, result: messages.Result
    ) -> list[commands.Command]:
        replies = pending.reply_to_all(own, result)
        if own.result == result:
            return replies
        own.result = result
        own.stored = False
        key = records.make_outcome_key(own.workspace, own.key)
        value = self._encode(own)
        return [*replies, messages.SpoolOutcome(key, value), self._store(own)]

    def _encode(self, own: _OwnTicket) -> str:
        outcome = None
        state = records.CallState.UNKNOWN
        if isinstance(own.result, messages.Outcome):
            outcome = own.result
            state = records.CallState.DONE
        return records.encode_record(
            records.CallRecord(
                state,
                self._process.address,
                self._process.incarnation,
                "",
                own.service,
                own.operation,
                own.digest,
                own.created_s,
                outcome,
            )
        )

    def _store(self, own: _OwnTicket) -> commands.Command:
        own.writing = True
        result = own.result
        return messages.WriteCallRecord(
            self._new_op(
                lambda event, now: self._after_store(own, result, event, now)
            ),
            records.make_outcome_key(own.workspace, own.key),
            self._encode(own),
            None,
        )

    def _after_store(
        self,
        own: _OwnTicket,
        written: messages.Result | None,
        event: events.Event,
        now: float,
    ) -> list[commands.Command]:
        own.writing = False
        own.retry_at = now + STORE_RETRY_S * (1.0 + self._rng.random())
        if isinstance(event, messages.CallRecordWritten):
            own.stored = own.result == written
        return []

    # Tickets of other processes, and own ones that were dropped.

    def _forward(
        self, waiter: waiters.Waiter, owner: messages.Process
    ) -> list[commands.Command]:
        op = self._new_op_for(waiter, self._after_owner)
        return [
            messages.RequestFromOwner(
                op,
                owner.address,
                owner.incarnation,
                waiter.workspace,
                waiter.key,
                waiter.call,
                waiter.deadline,
            )
        ]

    def _after_owner(
        self, waiter: waiters.Waiter, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.OwnerReplied):
            if isinstance(event.result, messages.WrongIncarnation):
                return self._read_outcome(waiter)
            return [waiters.reply(waiter, event.result)]
        if isinstance(event, messages.OpNotSent | messages.OpRefused):
            if waiter.call is not None:
                failure = messages.NotRun(
                    reason="the process that issued the ticket is out of reach",
                    retry_after_s=OWNER_RETRY_S,
                )
                return [waiters.reply(waiter, failure)]
        # The owner may have left after it had stored the outcome.
        return self._read_outcome(waiter)

    def _read_outcome(self, waiter: waiters.Waiter) -> list[commands.Command]:
        key = records.make_outcome_key(waiter.workspace, waiter.key)
        op = self._new_op_for(waiter, self._after_read)
        return [messages.ReadCallRecord(op, key)]

    def _after_read(
        self, waiter: waiters.Waiter, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.CallRecordRead):
            found = records.decode_record(event.value)
            if found is not None:
                if waiter.call is not None:
                    if records.compute_digest(waiter.call) != found.digest:
                        return [
                            waiters.reply(waiter, pending.make_key_conflict())
                        ]
                if found.outcome is not None:
                    return [waiters.reply(waiter, found.outcome)]
                waiter.service = found.service
                waiter.operation = found.operation
        return self._look_up(waiter)

    def _look_up(self, waiter: waiters.Waiter) -> list[commands.Command]:
        if not waiter.service:
            return [waiters.reply(waiter, pending.make_unknown_outcome())]
        service_key = records.make_service_key(waiter.workspace, waiter.key)
        op = self._new_op_for(waiter, self._after_lookup)
        return [
            messages.LookUpOutcome(
                op, waiter.service, waiter.operation, service_key
            )
        ]

    def _after_lookup(
        self, waiter: waiters.Waiter, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.OutcomeLookedUp):
            if event.outcome is not None:
                return [waiters.reply(waiter, event.outcome)]
        return [waiters.reply(waiter, pending.make_unknown_outcome())]

    # Operations and time.

    def _new_op(self, handler: _Handler) -> str:
        self._next_op += 1
        op = f"ticket-{self._next_op}"
        self._handlers[op] = handler
        return op

    def _new_op_for(
        self,
        waiter: waiters.Waiter,
        handler: Callable[
            [waiters.Waiter, events.Event], list[commands.Command]
        ],
    ) -> str:
        """Starts an operation that ends with a reply to one waiter."""

        def finish(event: events.Event, now: float) -> list[commands.Command]:
            del self._waiting[waiter.op]
            return handler(waiter, event)

        waiter.op = self._new_op(finish)
        self._waiting[waiter.op] = waiter
        return waiter.op

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for op, waiter in list(self._waiting.items()):
            if waiter.deadline > now:
                continue
            del self._waiting[op]
            del self._handlers[op]
            result.append(waiters.reply(waiter, pending.make_unknown_outcome()))
        for identity, own in list(self._own_tickets.items()):
            result.extend(pending.reply_to_expired(own, now))
            if own.result is None or own.writing:
                continue
            if not own.stored:
                if own.retry_at <= now:
                    result.append(self._store(own))
            elif now >= own.expiry and not own.waiters | own.peer_waiters:
                del self._own_tickets[identity]
        return result


def _add_waiter(own: _OwnTicket, waiter: waiters.Waiter) -> None:
    if waiter.peer_request_id:
        own.peer_waiters[waiter.peer_request_id] = waiter.deadline
    else:
        own.waiters[waiter.request_id] = waiter.deadline
