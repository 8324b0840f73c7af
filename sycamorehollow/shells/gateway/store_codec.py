"""Interface of the codec for entries of the platform's store."""

import abc
from collections.abc import Sequence
import dataclasses

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import restores
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import events
from sycamorehollow.model import forwarding


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """A key and the value to write to it."""

    key: str
    value: str


class StoreCodec(restores.EntryOrder):
    """Converts between entries of the store and events of the router."""

    @abc.abstractmethod
    def decode(self, entry: mirror.Entry) -> Sequence[events.Event]:
        """Returns the updates that an entry contains."""

    @abc.abstractmethod
    def encode_status(
        self, service: str, target: str, state: forwarding.RolloutState
    ) -> KeyValue:
        """Returns the entry with the status of a roll-out."""

    @abc.abstractmethod
    def encode_node(self, name: str, node: watchers.Node) -> KeyValue:
        """Returns the entry with which a node registers itself."""
