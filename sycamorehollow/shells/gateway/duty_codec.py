"""Interface of the codec for calls and keys of duties."""

import abc
from collections.abc import Mapping
import dataclasses

from sycamorehollow.decisions.duties import duty


@dataclasses.dataclass(frozen=True)
class Message:
    """A request to the platform."""

    path: str
    headers: Mapping[str, str]
    body: bytes


class DutyCodec(abc.ABC):
    """Converts between duties and the platform's protocol."""

    @abc.abstractmethod
    def encode_call(self, call: duty.Call, node: str, token: int) -> Message:
        """Returns the request for a call of a node with a fencing token."""

    @abc.abstractmethod
    def build_owner_key(self, name: str) -> str:
        """Returns the key of the store for the owner of a duty."""

    @abc.abstractmethod
    def build_record_key(self, name: str, record: str) -> str:
        """Returns the key of the store for a record of a duty."""

    @abc.abstractmethod
    def encode_record(self, call: duty.Call, era: int) -> str:
        """Returns the value of a record that was written in an era."""

    @abc.abstractmethod
    def decode_record(self, value: str) -> tuple[duty.Call, int] | None:
        """Returns the content and the era of a record; `None` if malformed."""
