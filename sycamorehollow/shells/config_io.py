"""Store calls of the configuration."""

from collections.abc import Callable
import threading

from sycamorehollow.decisions.operations import configuration_messages
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import stores


class ConfigurationShell:
    """Reads and watches the settings tree in the store.

    A watch has a thread of its own, so that it never delays other calls.
    """

    def __init__(
        self,
        store: stores.Store,
        workers: http_workers.HttpWorkers,
        report: Callable[[events.Event], None],
    ):
        self._store = store
        self._workers = workers
        self._report = report

    def read(self, command: configuration_messages.ReadRange) -> None:
        """Starts to read all branches."""
        self._workers.submit(lambda: self._read(command))

    def watch(self, command: configuration_messages.StartWatch) -> None:
        """Starts to wait for changes."""
        threading.Thread(
            target=self._watch, args=(command,), name="watch", daemon=True
        ).start()

    def _read(self, command: configuration_messages.ReadRange) -> None:
        result = self._store.list_range(command.prefix)
        if isinstance(result, failures.Failure):
            self._report_failure(command.call, result)
            return
        values = tuple(
            configuration_messages.Value(item.key, item.revision, item.value)
            for item in result.items
        )
        self._report(
            configuration_messages.StoreResponded(
                command.call, values, result.revision
            )
        )

    def _watch(self, command: configuration_messages.StartWatch) -> None:
        result = self._store.watch(
            command.prefix, command.after, command.timeout_s
        )
        if isinstance(result, failures.Failure):
            self._report_failure(command.call, result)
            return
        values = tuple(
            configuration_messages.Value(
                change.key, change.revision, change.value
            )
            for change in result.changes
        )
        self._report(
            configuration_messages.StoreResponded(
                command.call, values, result.revision
            )
        )

    def _report_failure(self, call: int, failure: failures.Failure) -> None:
        self._report(
            configuration_messages.StoreFailed(call, failure.retry_after_s)
        )
