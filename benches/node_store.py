"""A store in memory behind the commands of whole nodes."""

from typing import Any

from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.operations import (
    configuration_messages as messages,
)
from sycamorehollow.decisions.releases import rollouts
from sycamorehollow.model import commands
from sycamorehollow.model import events


class Store:
    """Keys with revisions, watches and leases; counts every call.

    Attributes:
        reads: Reads so far; a pending watch is one call.
        writes: Writes so far, with the calls for leases.
    """

    def __init__(self, values: dict[str, str]):
        self.reads = 0
        self.writes = 0
        self._revision = 0
        self._values: dict[str, messages.Value] = {}
        self._watches: list[tuple[Any, messages.StartWatch]] = []
        self._holders: dict[str, tuple[str, float]] = {}
        for key, text in values.items():
            self._put(key, text)

    def write(self, key: str, text: str) -> list[tuple[Any, events.Event]]:
        """Writes a key as an operator; returns the answers to watches."""
        self._put(key, text)
        return [
            answer
            for asker, watch in list(self._watches)
            for answer in self.end_watch(asker, watch)
        ]

    def end_watch(
        self, asker: Any, watch: messages.StartWatch
    ) -> list[tuple[Any, events.Event]]:
        """Answers a watch that is still pending."""
        if (asker, watch) not in self._watches:
            return []
        self._watches.remove((asker, watch))
        return [(asker, self._list_after(watch.call, watch.after))]

    def call(
        self, asker: Any, holder: str, command: commands.Command, now: float
    ) -> events.Event | None:
        """Carries out a call; a watch has no answer yet.

        Args:
            asker: Whom the answer of a watch goes to.
            holder: Name of the process as the holder of leases.
            command: A command of the decision components to the store.
            now: Simulated time in seconds.
        """
        if isinstance(command, messages.ReadRange):
            self.reads += 1
            return self._list_after(command.call, 0)
        if isinstance(command, messages.StartWatch):
            self.reads += 1
            if self._revision > command.after:
                return self._list_after(command.call, command.after)
            self._watches.append((asker, command))
            return None
        if isinstance(command, billing_messages.WriteBatch):
            self.writes += 1
            return billing_messages.BatchWritten(command.op)
        if isinstance(command, rollouts.RequestLease):
            return self._lease(holder, command, now)
        if isinstance(command, rollouts.ReadStage):
            self.reads += 1
            return self.read_stage(command.rollout, command.key)
        assert isinstance(command, rollouts.WriteStage)
        return self._write_stage(command)

    def read_stage(self, rollout: str, key: str) -> rollouts.StageObserved:
        """Returns the document of a roll-out, without counting a call."""
        value = self._values.get(key)
        if value is None or value.text is None:
            return rollouts.StageObserved(rollout, 0, b"")
        return rollouts.StageObserved(
            rollout, value.revision, value.text.encode()
        )

    def _put(self, key: str, text: str) -> int:
        self._revision += 1
        self._values[key] = messages.Value(key, self._revision, text)
        return self._revision

    def _list_after(self, call: int, after: int) -> messages.StoreResponded:
        values = tuple(
            value
            for value in self._values.values()
            if value.revision > after and value.key.startswith("config/")
        )
        return messages.StoreResponded(call, values, self._revision)

    def _lease(
        self, holder: str, command: rollouts.RequestLease, now: float
    ) -> events.Event:
        name, until = self._holders.get(command.rollout, ("", 0.0))
        # An acquisition grants a lease and claims the key; a failed one also
        # releases the lease.
        self.writes += 1 if name == holder else 2
        if name not in ("", holder) and until > now:
            self.writes += 1
            return rollouts.LeaseLost(command.rollout)
        until = now + command.ttl_s
        self._holders[command.rollout] = (holder, until)
        return rollouts.LeaseGranted(command.rollout, until)

    def _write_stage(self, command: rollouts.WriteStage) -> events.Event:
        self.writes += 1
        held = self._values.get(command.key)
        revision = held.revision if held else 0
        if revision != command.expected_revision:
            text = (held.text or "") if held else ""
            return rollouts.StageConflict(
                command.rollout, revision, text.encode()
            )
        revision = self._put(command.key, command.value.decode())
        return rollouts.StageObserved(command.rollout, revision, command.value)
