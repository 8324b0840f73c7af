"""Passes what nodes know for a duty to its owner and one successor."""

from collections.abc import Callable
from collections.abc import Mapping
import random
from typing import Any
import zlib

from sycamorehollow.decisions.duties import clock_offset
from sycamorehollow.decisions.duties import duty
from sycamorehollow.decisions.duties import usage
from sycamorehollow.shells.gateway import duty_client
from sycamorehollow.shells.gateway import exchange_part
from sycamorehollow.shells.gateway import telemetry

DUTIES, TIME = "duties", "duty_time"
# A node that leaves passes its last values on without delay.
STOPPING_INTERVAL_S = 0.25

# Sends a request with further parts to a node; returns its number, or `None`.
SendParts = Callable[[str, Mapping[str, Any]], int | None]


class CandidateOrder:
    """Order of the nodes as candidates for duties, the same on all nodes.

    Args:
        node: Name of this node.
    """

    def __init__(self, node: str):
        self._node = node
        self._names: frozenset[str] = frozenset((node,))
        self._orders: dict[str, list[str]] = {}

    @property
    def node_count(self) -> int:
        """Number of known nodes."""
        return len(self._names)

    def set_nodes(self, names: Mapping[str, Any]) -> None:
        """Sets the registered nodes; this node is always one."""
        # Names are only added, so their number tells.
        if len(names) + (self._node not in names) == len(self._names):
            return
        self._names = frozenset((*names, self._node))
        self._orders.clear()

    def list_nodes(self, name: str) -> list[str]:
        """Returns all nodes in the order of their candidacy for a duty."""
        order = self._orders.get(name)
        if order is None:
            order = sorted(
                self._names,
                key=lambda node: (zlib.crc32(f"{name}|{node}".encode()), node),
            )
            self._orders[name] = order
        return order

    def compute_rank(self, name: str) -> int:
        """Returns the place of this node."""
        return self.list_nodes(name).index(self._node)


class DutyExchange(exchange_part.ExchangePart):
    """Adds values of duties to messages and merges those of other nodes.

    Args:
        node: Name of this node.
        duties: The duties.
        clock: Estimate of true time.
        order: Order of the candidates.
        telemetry_sink: Records malformed messages.
        rng: Randomises the intervals.
        send_parts: Sends a request to another node.
    """

    def __init__(
        self,
        node: str,
        duties: list[duty.Duty],
        clock: clock_offset.ClockOffset,
        order: CandidateOrder,
        telemetry_sink: telemetry.Telemetry,
        rng: random.Random,
        send_parts: SendParts,
    ):
        self.is_stopping = False
        self._node = node
        self._duties = {each.name: each for each in duties}
        self._clock = clock
        self._order = order
        self._telemetry = telemetry_sink
        self._rng = rng
        self._send_parts = send_parts
        self._next_at = 0.0
        # Duty, target and values of each request without a response.
        self._pending: dict[int, tuple[str, str, Mapping[str, Any]]] = {}

    def run(self, owners: Mapping[str, str | None], now: float) -> None:
        """Passes values on if it is time.

        Args:
            owners: Value of the key of each duty; `None` if it has no owner.
            now: Boot time in seconds.
        """
        if now < self._next_at:
            return
        interval_s = usage.compute_export_interval_s(self._order.node_count)
        if self.is_stopping:
            interval_s = STOPPING_INTERVAL_S
        self._next_at = now + interval_s * self._rng.uniform(0.9, 1.0)
        for name, each in self._duties.items():
            for node, target in self._list_targets(name, owners.get(name)):
                values = each.export(target, now)
                if not values:
                    continue
                number = self._send_parts(node, {DUTIES: {name: values}})
                if number is not None:
                    self._pending[number] = name, target, values

    def _list_targets(
        self, name: str, value: str | None
    ) -> list[tuple[str, str]]:
        """Returns the owner and its successor, each with its identity."""
        owner = "" if value is None else value.partition(" ")[0]
        order = self._order.list_nodes(name)
        others = [node for node in order if node != owner]
        targets = [(node, f"successor {node}") for node in others[:1]]
        if owner in order and value is not None:
            targets.insert(0, (owner, value))
        return [target for target in targets if target[0] != self._node]

    def export(self) -> Mapping[str, Any]:
        """Returns the own time of this node."""
        now = duty_client.read_boot_time()
        return {TIME: round(self._clock.compute_own_time(now), 3)}

    def merge(self, address: str, document: Mapping[str, Any]) -> None:
        """Merges the message of the node at an address; never raises."""
        now = duty_client.read_boot_time()
        try:
            if TIME in document:
                self._clock.record_peer(address, float(document[TIME]), now)
            for name, values in document.get(DUTIES, {}).items():
                if name in self._duties:
                    self._duties[name].merge(values, now)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            self._telemetry.record_state_change(
                f"peer={address}", f"invalid duty values: {error!r}", "sync"
            )

    def record_response(self, number: int) -> None:
        """Records that a node has received the values of a request."""
        sent = self._pending.pop(number, None)
        if sent is not None:
            name, target, values = sent
            self._duties[name].record_confirmed(target, values)

    def record_failure(self, number: int) -> None:
        """Records that a request got no response."""
        self._pending.pop(number, None)
