"""Tickets: signed idempotency keys that only the issuing process runs.

They allow calls while the store is down: with a single process that may run a
ticket, no claim in the store is needed.
"""

import dataclasses

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.operations import keyrings

TICKET_PREFIX = "tkt1"
TICKET_FIELD_COUNT = 5
# A ticket must be used for the first time within this time, so that its owner
# can drop it afterwards.
TICKET_TTL_S = 600.0


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A verified ticket.

    Attributes:
        owner: Process that issued it and may run it.
        sequence: Sequence number at the owner.
        issued_s: Monotonic time of the owner at issue, in seconds.
    """

    owner: messages.Process
    sequence: int
    issued_s: float


class TicketIssuer:
    """Issues the tickets of one process."""

    def __init__(self, process: messages.Process, ring: keyrings.KeyRing):
        self._process = process
        self._ring = ring
        self._sequence = 0

    def issue(self, workspace: str, now: float) -> str:
        """Returns a new ticket for a workspace."""
        self._sequence += 1
        fields = (
            workspace,
            f"{self._process.address} {self._process.data_centre}",
            str(self._process.incarnation),
            str(self._sequence),
            repr(now),
        )
        return keyrings.encode_token(TICKET_PREFIX, fields, self._ring)


def is_ticket(key: str) -> bool:
    """Returns whether a key has the form of a ticket, without a check."""
    return key.startswith(TICKET_PREFIX + ".")


def parse_ticket(
    token: str, workspace: str, ring: keyrings.KeyRing
) -> Ticket | messages.InvalidTicket:
    """Returns the ticket in a token, or why it is invalid."""
    fields = keyrings.decode_token(
        TICKET_PREFIX, token, TICKET_FIELD_COUNT, ring
    )
    if fields is None:
        return messages.InvalidTicket(reason="the ticket is not genuine")
    if fields[0] != workspace:
        return messages.InvalidTicket(
            reason="the ticket belongs to another workspace"
        )
    address, _, data_centre = fields[1].partition(" ")
    owner = messages.Process(address, data_centre, int(fields[2]))
    return Ticket(owner, int(fields[3]), float(fields[4]))
