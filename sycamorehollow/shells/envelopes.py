"""Protocol buffer codec of the envelopes between entry processes."""

from collections.abc import Iterable
from typing import Any

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.peering import peering_pb2

# The generated module adds its classes at run time, so mypy cannot see them.
_pb2: Any = peering_pb2


def encode(sender: exchange.Process, items: Iterable[exchange.Item]) -> Any:
    """Returns the envelope message for a sender and its items."""
    process = _pb2.Process(
        address=sender.address,
        data_centre=sender.data_centre,
        incarnation=sender.incarnation,
    )
    messages = [
        _pb2.Item(kind=item.kind, payload=item.payload) for item in items
    ]
    return _pb2.Envelope(sender=process, items=messages)


def decode(envelope: Any) -> tuple[exchange.Process, tuple[exchange.Item, ...]]:
    """Returns the sender and the items of an envelope message."""
    sender = exchange.Process(
        envelope.sender.address,
        envelope.sender.data_centre,
        envelope.sender.incarnation,
    )
    items = tuple(
        exchange.Item(item.kind, item.payload) for item in envelope.items
    )
    return sender, items
