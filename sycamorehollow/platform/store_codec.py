"""Codec for entries of the platform's store."""

from collections.abc import Sequence

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from sycamorehollow.platform import documents
from sycamorehollow.shells.gateway import store_codec


class PlatformStoreCodec(store_codec.StoreCodec):
    """Decodes and encodes entries by the platform's keys."""

    def decode(self, entry: mirror.Entry) -> Sequence[events.Event]:
        """Returns the updates that an entry contains."""
        key = entry.key
        if key == documents.CONFIGURATION_KEY:
            return self._decode_configuration(entry)
        if key.startswith(documents.UPSTREAM_PREFIX):
            return self._decode_upstream(entry)
        if key.startswith(documents.ROLLOUT_PREFIX):
            return self._decode_order(entry)
        if key.startswith(documents.STATUS_PREFIX):
            return self._decode_status(entry)
        if key.startswith(documents.EVACUATION_PREFIX):
            data_centre = key.removeprefix(documents.EVACUATION_PREFIX)
            active = entry.value is not None
            return [updates.EvacuationSet(data_centre, active)]
        if key.startswith(documents.NODE_PREFIX) and entry.value is not None:
            return self._decode_node(entry.key, entry.value)
        return []

    def compare(self, key: str, value: str, known: str) -> int | None:
        """Compares two values of a key by what they say themselves."""
        if key == documents.CONFIGURATION_KEY:
            read_age = documents.read_version
        elif key.startswith(documents.UPSTREAM_PREFIX):
            read_age = documents.read_upstream_age
        else:
            return None
        age, known_age = read_age(value), read_age(known)
        if age is None or known_age is None:
            return None
        return (age > known_age) - (age < known_age)

    def lapses(self, key: str) -> bool:
        """Tells whether the key is an upstream's, which writes it again."""
        return key.startswith(documents.UPSTREAM_PREFIX)

    def encode_status(
        self, service: str, target: str, state: forwarding.RolloutState
    ) -> store_codec.KeyValue:
        """Returns the entry with the status of a roll-out."""
        return store_codec.KeyValue(
            documents.STATUS_PREFIX + service,
            documents.encode_status(target, state),
        )

    def encode_node(
        self, name: str, node: watchers.Node
    ) -> store_codec.KeyValue:
        """Returns the entry with which a node registers itself."""
        return store_codec.KeyValue(
            documents.NODE_PREFIX + name, documents.encode_node(node)
        )

    def _decode_node(self, key: str, value: str) -> Sequence[events.Event]:
        node = documents.decode_node(value)
        if isinstance(node, failures.Failure):
            return [updates.UnreadableEntry(key, node.reason)]
        name = key.removeprefix(documents.NODE_PREFIX)
        return [updates.NodeSet(name, node)]

    def _decode_configuration(
        self, entry: mirror.Entry
    ) -> Sequence[events.Event]:
        if entry.value is None:
            return []
        configuration = documents.decode_configuration(entry.value)
        if isinstance(configuration, failures.Failure):
            return [updates.UnreadableEntry(entry.key, configuration.reason)]
        return [updates.ConfigurationSet(configuration)]

    def _decode_upstream(self, entry: mirror.Entry) -> Sequence[events.Event]:
        identity = entry.key.removeprefix(documents.UPSTREAM_PREFIX)
        if entry.value is None:
            return [updates.UpstreamRemoved(identity)]
        upstream = documents.decode_upstream(entry.key, entry.value)
        if isinstance(upstream, failures.Failure):
            # Another writer may have overwritten the entry, so the upstream
            # is removed.
            return [
                updates.UnreadableEntry(entry.key, upstream.reason),
                updates.UpstreamRemoved(identity),
            ]
        return [updates.UpstreamSet(upstream)]

    def _decode_order(self, entry: mirror.Entry) -> Sequence[events.Event]:
        if entry.value is None:
            service = entry.key.removeprefix(documents.ROLLOUT_PREFIX)
            return [updates.RolloutWithdrawn(service)]
        order = documents.decode_rollout(entry.value, entry.revision)
        if isinstance(order, failures.Failure):
            return [updates.UnreadableEntry(entry.key, order.reason)]
        return [updates.RolloutOrdered(order)]

    def _decode_status(self, entry: mirror.Entry) -> Sequence[events.Event]:
        if entry.value is None:
            return []
        status = documents.decode_status(entry.key, entry.value, entry.revision)
        if isinstance(status, failures.Failure):
            return [updates.UnreadableEntry(entry.key, status.reason)]
        return [updates.RolloutStatusSet(status)]
