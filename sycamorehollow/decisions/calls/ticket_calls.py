"""Non-idempotent calls under a ticket, which only its issuer runs."""

from collections.abc import Callable
import dataclasses
import random

from sycamorehollow.decisions import components
from sycamorehollow.decisions.calls import effect_entries as entries
from sycamorehollow.decisions.calls import effect_messages as messages
from sycamorehollow.decisions.calls import effect_records as records
from sycamorehollow.decisions.calls import ticket_asks
from sycamorehollow.decisions.calls import tickets
from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import requests

# At 2 KB per call this is 40 MB, reached at 33 calls a second.
MAX_TICKETS_HELD = 20_000
STORE_RETRY_S = 1.0
OWNER_RETRY_S = 1.0


@dataclasses.dataclass
class _Held:
    """A ticket that this process has dispatched.

    Attributes:
        made_s: Wall-clock time of the dispatch in whole seconds.
        expiry: Time from which the ticket cannot be run for the first time.
        result: What the last attempt to learn the outcome gave.
        stored: Whether the store has the result.
        writing: Whether a write of the result is under way.
    """

    workspace: str
    key: str
    service: str
    operation: str
    digest: str
    made_s: int
    expiry: float
    waiters: dict[str, float] = dataclasses.field(default_factory=dict)
    askers: dict[str, float] = dataclasses.field(default_factory=dict)
    result: messages.Result | None = None
    stored: bool = False
    writing: bool = False
    retry_at: float = 0.0


_Step = Callable[[events.Event, float], list[commands.Command]]


class TicketCalls(components.Component):
    """Runs own tickets at most once each and forwards all others."""

    def __init__(
        self,
        process: messages.Process,
        ring: keyrings.KeyRing,
        rng: random.Random,
        wall_offset_s: float,
    ):
        """Creates the part without calls.

        Args:
            process: Identity of this run of the process.
            ring: Keys that verify tickets.
            rng: Source of jitter.
            wall_offset_s: Wall-clock time minus monotonic time, in seconds.
        """
        self._wall_offset_s = wall_offset_s
        self._process = process
        self._ring = ring
        self._rng = rng
        self._held: dict[tuple[str, str], _Held] = {}
        self._forwards: dict[str, ticket_asks.Asked] = {}
        self._steps: dict[str, _Step] = {}
        self._next_op = 0

    @property
    def held(self) -> int:
        """Number of tickets in memory."""
        return len(self._held)

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event; see `components.Component.handle`."""
        if isinstance(event, messages.CallArrived):
            return self._accept(ticket_asks.from_call(event.call), now)
        if isinstance(event, messages.OutcomeAsked):
            return self._accept(ticket_asks.from_question(event), now)
        if isinstance(event, messages.PeerAsked):
            if event.incarnation != self._process.incarnation:
                if not tickets.is_ticket(event.key):
                    return []
                gone = messages.WrongIncarnation(
                    reason="the process has restarted"
                )
                return [messages.AnswerPeer(event.ask, gone)]
            return self._accept(ticket_asks.from_peer(event), now)
        if isinstance(event, events.Tick):
            return self._tick(now)
        step = self._steps.pop(getattr(event, "op", ""), None)
        return [] if step is None else step(event, now)

    def _accept(
        self, asked: ticket_asks.Asked, now: float
    ) -> list[commands.Command]:
        if not tickets.is_ticket(asked.key):
            return []
        ticket = tickets.parse_ticket(asked.key, asked.workspace, self._ring)
        if isinstance(ticket, failures.Failure):
            return [ticket_asks.answer(asked, ticket)]
        if ticket.owner == self._process:
            return self._accept_own(asked, ticket, now)
        if asked.ask:
            # Only the owner is asked, so a view of another process is wrong.
            failure = messages.NotHeld(reason="the ticket has another owner")
            return [ticket_asks.answer(asked, failure)]
        if ticket.owner.address == self._process.address:
            return self._read_outcome(asked)
        return self._forward(asked, ticket.owner)

    # Own tickets.

    def _accept_own(
        self, asked: ticket_asks.Asked, ticket: tickets.Ticket, now: float
    ) -> list[commands.Command]:
        held = self._held.get((asked.workspace, asked.key))
        if held is not None:
            return self._join(held, asked)
        expiry = ticket.issued_s + tickets.TICKET_LIFE_S
        if now >= expiry:
            return self._read_outcome(asked)
        if asked.call is None:
            failure = messages.NotHeld(reason="the ticket has not been used")
            return [ticket_asks.answer(asked, failure)]
        if asked.deadline <= now:
            return [ticket_asks.answer(asked, entries.make_too_late())]
        if len(self._held) >= MAX_TICKETS_HELD:
            overloaded = messages.Overloaded(
                reason="too many tickets are held", retry_after_s=STORE_RETRY_S
            )
            return [ticket_asks.answer(asked, overloaded)]
        made_s = int(now + self._wall_offset_s)
        return [self._dispatch(asked, asked.call, made_s, expiry)]

    def _join(
        self, held: _Held, asked: ticket_asks.Asked
    ) -> list[commands.Command]:
        if asked.call is not None:
            if records.compute_digest(asked.call) != held.digest:
                return [ticket_asks.answer(asked, entries.make_key_conflict())]
        if isinstance(held.result, messages.Outcome):
            return [ticket_asks.answer(asked, held.result)]
        resolve = held.result is not None and not held.waiters | held.askers
        _add_waiter(held, asked)
        return [self._look_up_own(held)] if resolve else []

    def _dispatch(
        self,
        asked: ticket_asks.Asked,
        call: requests.ServiceCall,
        made_s: int,
        expiry: float,
    ) -> commands.Command:
        held = _Held(
            asked.workspace,
            asked.key,
            call.service,
            call.operation,
            records.compute_digest(call),
            made_s,
            expiry,
        )
        self._held[(asked.workspace, asked.key)] = held
        _add_waiter(held, asked)
        return messages.Dispatch(
            self._start(lambda event, now: self._after_dispatch(held, event)),
            call,
            records.make_service_key(held.workspace, held.key),
            min(asked.deadline, expiry),
        )

    def _after_dispatch(
        self, held: _Held, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.ServiceAnswered):
            return self._conclude(held, event.outcome)
        if isinstance(event, messages.NotSent | messages.Refused):
            # Forgetting the ticket lets only this process run it again.
            del self._held[(held.workspace, held.key)]
            failure = messages.NotRun(
                reason=event.reason, retry_after_s=STORE_RETRY_S
            )
            return entries.answer_all(held, failure)
        return [self._look_up_own(held)]

    def _look_up_own(self, held: _Held) -> commands.Command:
        return messages.LookUp(
            self._start(lambda event, now: self._after_own_lookup(held, event)),
            held.service,
            held.operation,
            records.make_service_key(held.workspace, held.key),
        )

    def _after_own_lookup(
        self, held: _Held, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.LookedUp):
            if event.outcome is not None:
                return self._conclude(held, event.outcome)
        return self._conclude(held, entries.make_unknown())

    def _conclude(
        self, held: _Held, result: messages.Result
    ) -> list[commands.Command]:
        answers = entries.answer_all(held, result)
        if held.result == result:
            return answers
        held.result = result
        held.stored = False
        key = records.make_outcome_key(held.workspace, held.key)
        value = self._encode(held)
        return [*answers, messages.SpoolOutcome(key, value), self._store(held)]

    def _encode(self, held: _Held) -> str:
        outcome = None
        state = records.State.UNKNOWN
        if isinstance(held.result, messages.Outcome):
            outcome = held.result
            state = records.State.DONE
        return records.encode_record(
            records.Record(
                state,
                self._process.address,
                self._process.incarnation,
                "",
                held.service,
                held.operation,
                held.digest,
                held.made_s,
                outcome,
            )
        )

    def _store(self, held: _Held) -> commands.Command:
        held.writing = True
        result = held.result
        return messages.WriteRecord(
            self._start(
                lambda event, now: self._after_store(held, result, event, now)
            ),
            records.make_outcome_key(held.workspace, held.key),
            self._encode(held),
            None,
        )

    def _after_store(
        self,
        held: _Held,
        written: messages.Result | None,
        event: events.Event,
        now: float,
    ) -> list[commands.Command]:
        held.writing = False
        held.retry_at = now + STORE_RETRY_S * (1.0 + self._rng.random())
        if isinstance(event, messages.RecordWritten):
            held.stored = held.result == written
        return []

    # Tickets of other processes, and own ones that are forgotten.

    def _forward(
        self, asked: ticket_asks.Asked, owner: messages.Process
    ) -> list[commands.Command]:
        op = self._follow(asked, self._after_owner)
        return [
            messages.AskOwner(
                op,
                owner.address,
                owner.incarnation,
                asked.workspace,
                asked.key,
                asked.call,
                asked.deadline,
            )
        ]

    def _after_owner(
        self, asked: ticket_asks.Asked, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.OwnerAnswered):
            if isinstance(event.result, messages.WrongIncarnation):
                return self._read_outcome(asked)
            return [ticket_asks.answer(asked, event.result)]
        if isinstance(event, messages.NotSent | messages.Refused):
            if asked.call is not None:
                failure = messages.NotRun(
                    reason="the process that issued the ticket is out of reach",
                    retry_after_s=OWNER_RETRY_S,
                )
                return [ticket_asks.answer(asked, failure)]
        # The owner may have left after it stored the outcome.
        return self._read_outcome(asked)

    def _read_outcome(self, asked: ticket_asks.Asked) -> list[commands.Command]:
        key = records.make_outcome_key(asked.workspace, asked.key)
        op = self._follow(asked, self._after_read)
        return [messages.ReadRecord(op, key)]

    def _after_read(
        self, asked: ticket_asks.Asked, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.RecordRead):
            found = records.decode_record(event.value)
            if found is not None:
                if asked.call is not None:
                    if records.compute_digest(asked.call) != found.digest:
                        return [
                            ticket_asks.answer(
                                asked, entries.make_key_conflict()
                            )
                        ]
                if found.outcome is not None:
                    return [ticket_asks.answer(asked, found.outcome)]
                asked.service = found.service
                asked.operation = found.operation
        return self._look_up(asked)

    def _look_up(self, asked: ticket_asks.Asked) -> list[commands.Command]:
        if not asked.service:
            return [ticket_asks.answer(asked, entries.make_unknown())]
        service_key = records.make_service_key(asked.workspace, asked.key)
        op = self._follow(asked, self._after_lookup)
        return [
            messages.LookUp(op, asked.service, asked.operation, service_key)
        ]

    def _after_lookup(
        self, asked: ticket_asks.Asked, event: events.Event
    ) -> list[commands.Command]:
        if isinstance(event, messages.LookedUp):
            if event.outcome is not None:
                return [ticket_asks.answer(asked, event.outcome)]
        return [ticket_asks.answer(asked, entries.make_unknown())]

    # Operations and time.

    def _start(self, step: _Step) -> str:
        self._next_op += 1
        op = f"ticket-{self._next_op}"
        self._steps[op] = step
        return op

    def _follow(
        self,
        asked: ticket_asks.Asked,
        step: Callable[
            [ticket_asks.Asked, events.Event], list[commands.Command]
        ],
    ) -> str:
        """Starts an operation that ends with an answer to one asker."""

        def finish(event: events.Event, now: float) -> list[commands.Command]:
            del self._forwards[asked.op]
            return step(asked, event)

        asked.op = self._start(finish)
        self._forwards[asked.op] = asked
        return asked.op

    def _tick(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for op, asked in list(self._forwards.items()):
            if asked.deadline > now:
                continue
            del self._forwards[op]
            del self._steps[op]
            result.append(ticket_asks.answer(asked, entries.make_unknown()))
        for identity, held in list(self._held.items()):
            result.extend(entries.answer_expired(held, now))
            if held.result is None or held.writing:
                continue
            if not held.stored:
                if held.retry_at <= now:
                    result.append(self._store(held))
            elif now >= held.expiry and not held.waiters | held.askers:
                del self._held[identity]
        return result


def _add_waiter(held: _Held, asked: ticket_asks.Asked) -> None:
    if asked.ask:
        held.askers[asked.ask] = asked.deadline
    else:
        held.waiters[asked.request_id] = asked.deadline
