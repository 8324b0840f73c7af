"""Upstreams that disappeared without draining, by data centre."""

from collections.abc import Iterable

from sycamorehollow.decisions.duties import demand

# Time for which a disappeared upstream counts as lost. Longer than an outage
# of the store takes to restore entries, and short enough that the steps down
# of `scaling` (a quarter in 30 s) never look like the loss of half.
LOSS_MEMORY_S = 45.0


class ReplicaPresence:
    """Tracks which upstreams of a service are registered."""

    def __init__(self) -> None:
        self._known: dict[str, demand.Replica] = {}
        self._lost: dict[str, tuple[str, float]] = {}
        self._ready: dict[str, int] = {}

    def update(self, replicas: Iterable[demand.Replica], now: float) -> None:
        """Records the registered upstreams."""
        current = {replica.identity: replica for replica in replicas}
        for identity, replica in self._known.items():
            if identity not in current and not replica.draining:
                self._lost[identity] = (replica.data_centre, now)
        self._lost = {
            identity: (data_centre, at)
            for identity, (data_centre, at) in self._lost.items()
            if identity not in current and now - at <= LOSS_MEMORY_S
        }
        self._known = current
        self._ready = dict.fromkeys(self._ready, 0)
        for replica in current.values():
            count = self._ready.get(replica.data_centre, 0)
            self._ready[replica.data_centre] = count + (not replica.draining)

    def list_data_centres(self) -> list[str]:
        """Returns every data centre that has had upstreams."""
        return sorted(self._ready)

    def count_ready(self, data_centre: str) -> int:
        """Returns the number of upstreams that do not drain."""
        return self._ready.get(data_centre, 0)

    def count_lost(self, data_centre: str) -> int:
        """Returns how many have disappeared lately."""
        return sum(dc == data_centre for dc, _ in self._lost.values())

    def is_cut_off(self, data_centre: str) -> bool:
        """Returns whether none is seen or half of them have disappeared."""
        ready = self.count_ready(data_centre)
        return self.count_lost(data_centre) >= ready
