"""Peer requests and store calls of billing."""

from collections.abc import Callable
import concurrent.futures

import loguru

from sycamorehollow.decisions.bills import billing_encoding
from sycamorehollow.decisions.bills import billing_messages as messages
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import identity
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import peer_requests
from sycamorehollow.shells import peers
from sycamorehollow.shells import stores

HELD = b"held"


class BillShell:
    """Replicates parts of bills to peers and writes batches to the store."""

    def __init__(
        self,
        store: stores.Store,
        workers: http_workers.HttpWorkers,
        requests: peer_requests.PeerRequests,
        report: Callable[[events.Event], None],
        identify: Callable[[], identity.Process],
    ):
        self._store = store
        self._workers = workers
        self._requests = requests
        self._report = report
        self._identify = identify

    def register(self, task: peers.PeerTask) -> None:
        """Registers the handlers of requests from other processes."""
        task.register(billing_encoding.PART_KIND, self._receive_part)
        task.register(billing_encoding.ADVANCE_KIND, self._receive_advance)

    def spool(self, command: messages.SpoolToPeer) -> None:
        """Sends a part to a peer, which spools it."""

        def on_reply(payload: bytes | None) -> None:
            if payload == HELD:
                self._report(messages.SpoolAcknowledged(command.op))
                return
            failure = failures.Overloaded(
                "The peer does not hold the part.", failures.Execution.UNKNOWN
            )
            self._report(messages.OperationFailed(command.op, failure))

        self._requests.send(
            command.peer.address,
            billing_encoding.PART_KIND,
            billing_encoding.encode_part(command.part),
            on_reply,
        )

    def notify_advance(self, command: messages.NotifyAdvance) -> None:
        """Notifies a peer of what is stored; the message may be lost."""
        payload = billing_encoding.encode_advance(
            self._identify(), command.oldest
        )
        self._requests.send(
            command.peer.address,
            billing_encoding.ADVANCE_KIND,
            payload,
            lambda _: None,
        )

    def write(self, command: messages.WriteBatch) -> None:
        """Starts to write a batch to the store."""
        self._workers.submit(lambda: self._write(command))

    def reply_to_spool(self, command: messages.ReplyToSpool) -> None:
        """Replies to a peer that sent a part to spool."""
        payload = HELD if command.failure is None else b""
        self._requests.reply(command.peer_request_id, payload)

    def _write(self, command: messages.WriteBatch) -> None:
        result = self._store.write(command.key, command.value, 0)
        if isinstance(result, stores.Written):
            self._report(messages.BatchWritten(command.op))
            return
        if isinstance(result, stores.Conflict):
            value = result.value or ""
            self._report(messages.BatchConflict(command.op, value))
            return
        loguru.logger.warning("billing: batch not written: {}", result.reason)
        self._report(messages.OperationFailed(command.op, result))

    def _receive_part(
        self, sender: identity.Process, payload: bytes
    ) -> "concurrent.futures.Future[bytes]":
        peer_request_id, future = self._requests.accept()
        part = billing_encoding.decode_part(payload)
        if part is None:
            self._requests.reply(peer_request_id, b"")
        else:
            self._report(messages.SpoolReceived(peer_request_id, part))
        return future

    def _receive_advance(
        self, sender: identity.Process, payload: bytes
    ) -> "concurrent.futures.Future[bytes]":
        advanced = billing_encoding.decode_advance(payload)
        if advanced is not None:
            self._report(advanced)
        future: concurrent.futures.Future[bytes] = concurrent.futures.Future()
        future.set_result(HELD)
        return future
