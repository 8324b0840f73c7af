"""Writes this node's entry and the states of roll-outs to the store."""

import asyncio
import time
import zlib

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import rollout_records
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from sycamorehollow.settings import gateway
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import store_codec
from sycamorehollow.shells.gateway import store_tasks
from sycamorehollow.shells.gateway import telemetry

# Delay of a status write per rank, so that mostly one node writes it.
WRITE_DELAY_PER_RANK_S = 0.4
WRITE_RETRY_DELAY_S = 1.0


class StoreWriter:
    """Decides when to write, and retries failed writes.

    Args:
        settings: Settings of the process.
        router: Holds the nodes and roll-outs.
        codec: Encodes entries of the store.
        local_mirror: The local copy of the store.
        telemetry_sink: Records every write.
    """

    def __init__(
        self,
        settings: gateway.Settings,
        router: routers.Router,
        codec: store_codec.StoreCodec,
        local_mirror: mirror.Mirror,
        telemetry_sink: telemetry.Telemetry,
    ):
        self._node = settings.node
        self._own_node = watchers.Node(
            settings.peer_address, settings.data_centre, settings.link_mbps
        )
        self._router = router
        self._codec = codec
        self._mirror = local_mirror
        self._telemetry = telemetry_sink
        self._loop = asyncio.get_running_loop()
        self._task: store_tasks.WriteTask | None = None
        self._next_write_at: dict[str, float] = {}
        self._due_states: dict[str, tuple[str, float]] = {}

    def set_task(self, task: store_tasks.WriteTask) -> None:
        """Sets the task that calls the store."""
        self._task = task

    def register_node(self) -> None:
        """Writes this node's entry unless the store has it."""
        item = self._codec.encode_node(self._node, self._own_node)
        if self._mirror.get_value(item.key) == item.value:
            return
        delay_s = self._next_write_at.get(item.key, 0.0) - time.monotonic()
        if delay_s > 0:
            # The store may have lost the entry that was written just now.
            self._loop.call_later(delay_s, self.register_node)
            return
        self._write(item)

    def write_rollout_status(
        self, rollout: rollout_records.Rollout, now: float
    ) -> None:
        """Writes the status of a roll-out after this node's rank delay."""
        service = rollout.order.service
        state = self._router.rollouts.find_due_state(service, now)
        state = state or self._find_lost_state(rollout)
        if state is None:
            self._due_states.pop(service, None)
            return
        known, since = self._due_states.get(service, ("", now))
        if known != state.value:
            self._due_states[service] = (state.value, now)
            since = now
        if now - since < self._compute_rank(service) * WRITE_DELAY_PER_RANK_S:
            return
        self._write(
            self._codec.encode_status(service, rollout.order.target, state)
        )

    def _find_lost_state(
        self, rollout: rollout_records.Rollout
    ) -> forwarding.RolloutState | None:
        """Returns a published state that a restore of the store has lost."""
        if rollout.state is None or not self._mirror.is_restored:
            return None
        order = rollout.order
        item = self._codec.encode_status(
            order.service, order.target, rollout.state
        )
        if self._mirror.get_value(item.key) == item.value:
            return None
        return rollout.state

    def record_result(self, event: store_tasks.WriteFinished) -> None:
        """Records the result of a write."""
        self._next_write_at[event.key] = time.monotonic() + WRITE_RETRY_DELAY_S
        outcome = "written"
        if isinstance(event.result, failures.Failure):
            outcome = f"{event.result.code}: {event.result.reason}"
        self._telemetry.record_state_change(
            f"key={event.key}", outcome, "own write"
        )
        failed = isinstance(event.result, stores.CallFailure)
        if failed and event.key.endswith(self._node):
            self._loop.call_later(WRITE_RETRY_DELAY_S, self.register_node)

    def _write(self, item: store_codec.KeyValue) -> None:
        """Writes a value unless a write of its key is pending."""
        now = time.monotonic()
        if self._task is None or now < self._next_write_at.get(item.key, 0.0):
            return
        self._next_write_at[item.key] = now + 4 * WRITE_RETRY_DELAY_S
        revision = self._mirror.get_revision(item.key)
        self._task.post(store_tasks.Write(item, revision))

    def _compute_rank(self, service: str) -> int:
        """Returns this node's position in the order of writers."""
        names = sorted(
            {*self._router.nodes, self._node},
            key=lambda name: zlib.crc32(f"{service}|{name}".encode()),
        )
        return names.index(self._node)
