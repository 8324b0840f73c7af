"""How the values of the store are read and written."""

import abc
from collections.abc import Sequence
import dataclasses

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import events
from sycamorehollow.model import forwarding


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """A key and the value to write."""

    key: str
    value: str


class StoreCodec(abc.ABC):
    """Translates entries of the store into news, and news into entries."""

    @abc.abstractmethod
    def decode(self, entry: mirror.Entry) -> Sequence[events.Event]:
        """Returns the news in an entry."""

    @abc.abstractmethod
    def encode_status(
        self, service: str, target: str, state: forwarding.RolloutState
    ) -> KeyValue:
        """Returns the entry that states how far a roll-out has come."""

    @abc.abstractmethod
    def encode_node(self, name: str, node: watchers.Node) -> KeyValue:
        """Returns the entry by which a node registers itself."""
