"""Base classes of the threads that make up a process."""

import abc
import collections
import selectors
import socket
import threading
from typing import Any

import loguru


class Task(abc.ABC):
    """A thread that owns its state and receives messages through an inbox.

    Attributes:
        name: Prefix of the log lines and name of the thread.
    """

    def __init__(self, name: str):
        self.name = name
        self._inbox: collections.deque[Any] = collections.deque()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run_guarded, name=name, daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def post(self, message: Any) -> None:
        """Adds a message to the inbox; may be called from any thread."""
        self._inbox.append(message)
        self._wake()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stops the thread and waits up to `timeout_s` for its end."""
        self._stopping = True
        self._wake()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    @abc.abstractmethod
    def _wake(self) -> None:
        """Wakes the thread if it waits for messages."""

    @abc.abstractmethod
    def _run(self) -> None:
        """Runs until `_stopping` is set."""

    def _run_guarded(self) -> None:
        try:
            self._run()
        except Exception:
            loguru.logger.exception("{}: task failed", self.name)
            raise


class SelectingTask(Task):
    """A task that waits on sockets and its inbox in one selector."""

    def __init__(self, name: str):
        super().__init__(name)
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._wake_pending = False

    def _wake(self) -> None:
        # One pending byte is enough for any number of messages.
        if self._wake_pending:
            return
        self._wake_pending = True
        try:
            self._wake_writer.send(b"w")
        except BlockingIOError:
            return

    def _drain_wake(self) -> None:
        try:
            self._wake_reader.recv(4096)
        except BlockingIOError:
            pass
        self._wake_pending = False
