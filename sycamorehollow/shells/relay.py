"""Task that relays responses from engines to callers."""

from collections.abc import Callable
import selectors
import time
from typing import Any

import httptools
import loguru

from sycamorehollow.decisions.requests import buffers
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import lifecycle
from sycamorehollow.shells import callers
from sycamorehollow.shells import engines
from sycamorehollow.shells import framing
from sycamorehollow.shells import response_heads
from sycamorehollow.shells import streams
from sycamorehollow.shells import tasks

POLL_S = 0.25


class AttachCaller:
    """Passes the connection of a caller to the relay."""

    def __init__(self, request_id: str, caller: streams.CallerConnection):
        self.request_id = request_id
        self.caller = caller


class HeadSent:
    """Tells the relay that the HTTP worker has sent the response head."""

    def __init__(self, request_id: str):
        self.request_id = request_id


class Relay(tasks.SelectingTask):
    """Owns the sockets of all requests that are being relayed.

    One thread serves all streams, because a thread per stream takes several
    times the processor time per token.
    """

    def __init__(self, report: Callable[[events.Event], None]):
        super().__init__("relay")
        self._report = report
        self._streams: dict[str, streams.Stream] = {}
        self._callers = callers.CallerWriter(self._selector)
        self._engines = engines.EngineClient(self._selector)
        self._handlers: dict[type, Callable[[Any], None]] = {
            AttachCaller: self._attach,
            HeadSent: self._continue_after_head,
            lifecycle.StartAttempt: self._start_attempt,
            lifecycle.CancelAttempt: self._cancel_attempt,
            lifecycle.FailRequest: self._send_failure,
            lifecycle.FinishRequest: self._finish,
        }

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered for slow callers."""
        return self._callers.buffered_bytes

    def _run(self) -> None:
        next_check = time.monotonic() + POLL_S
        while not self._stopping:
            for key, mask in self._selector.select(POLL_S):
                if key.data is None:
                    self._drain_wake()
                    continue
                self._serve_guarded(key.data, mask)
            while self._inbox:
                self._handle_guarded(self._inbox.popleft())
            now = time.monotonic()
            if now < next_check:
                continue
            next_check = now + POLL_S
            self._check_progress(now)
        for stream in self._streams.values():
            self._log_end(stream, "process stop")

    def _handle_guarded(self, message: Any) -> None:
        """Handles a message; an unexpected error ends only its stream."""
        try:
            self._handlers[type(message)](message)
        except Exception as error:
            request_id = getattr(message, "request_id", "")
            self._abandon(request_id, error)

    def _serve_guarded(
        self, registration: engines.Registration, mask: int
    ) -> None:
        """Serves a socket; an unexpected error ends only its stream."""
        try:
            self._serve(registration, mask)
        except Exception as error:
            self._abandon(registration.stream.request_id, error)

    def _abandon(self, request_id: str, error: Exception) -> None:
        """Ends a stream after an unexpected error, whatever its state."""
        loguru.logger.opt(exception=error).error(
            "relay: request={} abandoned", request_id
        )
        stream = self._streams.pop(request_id, None)
        if stream is None:
            return
        for side in (stream.engine, stream.caller):
            if side is None or side.sock is None:
                continue
            try:
                self._selector.unregister(side.sock)
            except (KeyError, ValueError) as cause:
                # The socket was not registered, or is closed.
                loguru.logger.debug(
                    "relay: request={} unregistered: {!r}", request_id, cause
                )
            side.mask = 0
        self._callers.forget(stream)
        if stream.engine is not None and stream.engine.sock is not None:
            stream.engine.sock.close()
        self._report(lifecycle.CallerDisconnected(request_id, stream.tokens))
        stream.caller.reply.put(streams.StreamClosed(complete=False))

    def _serve(self, registration: engines.Registration, mask: int) -> None:
        stream = registration.stream
        if self._streams.get(stream.request_id) is not stream:
            return
        if registration.connection is stream.caller:
            self._serve_caller(stream, mask)
            return
        if registration.connection is stream.engine:
            self._serve_engine(stream, mask)

    def _serve_caller(self, stream: streams.Stream, mask: int) -> None:
        if mask & selectors.EVENT_READ and self._callers.is_closed(stream):
            self._drop_caller(stream)
            return
        if mask & selectors.EVENT_WRITE:
            self._flush_caller(stream)

    def _serve_engine(self, stream: streams.Stream, mask: int) -> None:
        now = time.monotonic()
        if mask & selectors.EVENT_WRITE:
            if not self._engines.send(stream, now):
                self._fail(stream, self._engines.describe_failure(stream))
                return
        if not mask & selectors.EVENT_READ:
            return
        try:
            batch = self._engines.receive(stream, now)
        except (
            OSError,
            httptools.HttpParserError,
            framing.OversizeError,
        ) as error:
            loguru.logger.warning(
                "relay: request={} attempt={} upstream={} failed: {}",
                stream.request_id,
                stream.attempt,
                stream.upstream,
                response_heads.describe_error(error),
            )
            self._fail(stream, self._engines.describe_failure(stream))
            return
        self._process_batch(stream, batch)

    def _process_batch(
        self, stream: streams.Stream, batch: engines.Batch
    ) -> None:
        if batch.block and stream.received_events == 0:
            self._report(
                lifecycle.FirstChunkArrived(stream.request_id, stream.attempt)
            )
        forward = b""
        if batch.block:
            forward = self._engines.process_block(stream, batch.block)
        if forward:
            self._deliver(stream, forward)
        if stream.is_oversized:
            self._fail(stream, self._engines.describe_failure(stream))
            return
        if stream.completed:
            self._complete_attempt(stream)
            return
        if batch.closed:
            self._fail(stream, self._engines.describe_failure(stream))

    def _deliver(self, stream: streams.Stream, block: bytes) -> None:
        self._callers.append(stream, block)
        self._flush_caller(stream)

    def _flush_caller(self, stream: streams.Stream) -> None:
        if not self._callers.flush(stream):
            self._drop_caller(stream)
            return
        now = time.monotonic()
        self._apply_limits(self._callers.update_buffered(stream, now), now)
        if stream.caller.closing is None or stream.caller.buffer:
            return
        self._detach(stream, stream.caller.closing)

    def _apply_limits(self, issued: list[commands.Command], now: float) -> None:
        """Executes commands of the buffer limits, also for other streams."""
        for command in issued:
            try:
                self._apply_limit(command, now)
            except Exception as error:
                self._abandon(getattr(command, "stream", ""), error)

    def _apply_limit(self, command: commands.Command, now: float) -> None:
        match command:
            case buffers.PauseReading():
                self._pause(command.stream, True, now)
            case buffers.ResumeReading():
                self._pause(command.stream, False, now)
            case buffers.DisconnectCaller():
                self._disconnect(command)

    def _pause(self, request_id: str, paused: bool, now: float) -> None:
        stream = self._streams.get(request_id)
        if stream is not None:
            self._engines.pause(stream, paused, now)

    def _disconnect(self, command: buffers.DisconnectCaller) -> None:
        stream = self._streams.get(command.stream)
        if stream is None:
            return
        loguru.logger.warning(
            "relay: request={} disconnected: {}",
            command.stream,
            command.failure.reason,
        )
        # Frees the buffer: this caller would not read the end either.
        stream.caller.buffer.clear()
        self._drop_caller(stream)

    def _complete_attempt(self, stream: streams.Stream) -> None:
        self._engines.close(stream)
        rated_blocks = stream.join_rated_blocks()
        self._report(
            lifecycle.AttemptCompleted(
                stream.request_id,
                stream.attempt,
                stream.count_prompt_tokens(),
                stream.count_output_tokens(),
                rated_blocks,
            )
        )

    def _fail(
        self, stream: streams.Stream, failure: engines.AttemptFailure
    ) -> None:
        self._log_end(stream, failure.end.value, failure.code)
        self._engines.close(stream)
        self._report(
            lifecycle.AttemptFailed(
                stream.request_id,
                stream.attempt,
                failure.end,
                failure.code,
                stream.received_events,
                failure.retry_after_s,
                failure.response_started,
                failure.connection_refused,
            )
        )

    def _log_end(
        self, stream: streams.Stream, who: str, code: str = ""
    ) -> None:
        """Logs what ended a running attempt, and its time without progress."""
        if stream.engine is None:
            return
        silent_s = time.monotonic() - stream.engine.last_progress
        loguru.logger.info(
            "relay: ended request={} attempt={} upstream={} version={} by={}"
            " code={!r} silent_s={:.2f} events={}",
            stream.request_id,
            stream.attempt,
            stream.upstream,
            stream.version,
            who,
            code,
            silent_s,
            stream.received_events,
        )

    def _check_progress(self, now: float) -> None:
        try:
            stalled = self._callers.check_stalled(now)
        except Exception as error:
            loguru.logger.opt(exception=error).error(
                "relay: check for stalled callers failed"
            )
            stalled = []
        self._apply_limits(stalled, now)
        for stream in list(self._streams.values()):
            try:
                self._check_timeout(stream, now)
            except Exception as error:
                self._abandon(stream.request_id, error)

    def _check_timeout(self, stream: streams.Stream, now: float) -> None:
        failure = self._engines.find_timeout(stream, now)
        if failure is not None:
            self._fail(stream, failure)

    def _attach(self, message: AttachCaller) -> None:
        stream = streams.Stream(message.request_id, message.caller)
        self._streams[message.request_id] = stream
        self._callers.watch(stream)

    def _continue_after_head(self, message: HeadSent) -> None:
        stream = self._streams.get(message.request_id)
        if stream is None:
            return
        stream.caller.head_sent = True
        self._flush_caller(stream)

    def _start_attempt(self, command: lifecycle.StartAttempt) -> None:
        stream = self._streams.get(command.request_id)
        if stream is None:
            return
        failure = self._engines.open(stream, command, time.monotonic())
        if failure is not None:
            self._fail(stream, failure)

    def _cancel_attempt(self, command: lifecycle.CancelAttempt) -> None:
        stream = self._streams.get(command.request_id)
        if stream is None or stream.attempt != command.attempt:
            return
        if command.report_end:
            failure = engines.AttemptFailure(
                lifecycle.AttemptEnd.STOPPED, command.reason
            )
            self._fail(stream, failure)
            return
        self._log_end(stream, command.reason)
        self._engines.close(stream)

    def _send_failure(self, command: lifecycle.FailRequest) -> None:
        stream = self._streams.get(command.request_id)
        if stream is None:
            return
        self._log_end(stream, command.failure.code)
        self._engines.close(stream)
        if not stream.caller.head_requested:
            self._release(stream)
            self._report(lifecycle.FailureSent(stream.request_id, 0))
            stream.caller.reply.put(streams.FinalFailure(command.failure))
            return
        self._report(lifecycle.FailureSent(stream.request_id, stream.tokens))
        self._callers.append_failure(stream, command.failure)
        stream.caller.closing = streams.StreamClosed(complete=False)
        self._flush_caller(stream)

    def _finish(self, command: lifecycle.FinishRequest) -> None:
        stream = self._streams.get(command.request_id)
        if stream is None:
            return
        if command.fallback_reason:
            self._engines.close(stream)
            stream.restore_retained()
        if not stream.caller.streamed:
            self._release(stream)
            stream.caller.reply.put(
                streams.CompleteResponse(
                    stream.join_buffered(),
                    command.upstream,
                    command.version,
                    stream.session,
                )
            )
            return
        self._callers.append_stream_end(stream)
        stream.caller.closing = streams.StreamClosed(complete=True)
        self._flush_caller(stream)

    def _drop_caller(self, stream: streams.Stream) -> None:
        self._log_end(stream, "caller")
        self._engines.close(stream)
        self._report(
            lifecycle.CallerDisconnected(stream.request_id, stream.tokens)
        )
        self._detach(stream, streams.StreamClosed(complete=False))

    def _detach(
        self, stream: streams.Stream, closed: streams.StreamClosed
    ) -> None:
        self._release(stream)
        stream.caller.reply.put(closed)

    def _release(self, stream: streams.Stream) -> None:
        self._callers.unwatch(stream)
        self._streams.pop(stream.request_id, None)
