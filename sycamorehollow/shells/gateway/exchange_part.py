"""Interface of further parts of the messages between nodes."""

from collections.abc import Mapping
from typing import Any


class ExchangePart:
    """Adds nothing to messages and ignores what they contain."""

    def export(self) -> Mapping[str, Any]:
        """Returns what every message contains in addition."""
        return {}

    def merge(self, address: str, document: Mapping[str, Any]) -> None:
        """Merges the message of the node at an address; never raises."""

    def record_response(self, number: int) -> None:
        """Records that a request got its response."""

    def record_failure(self, number: int) -> None:
        """Records that a request got no response."""
