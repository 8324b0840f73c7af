"""Stand-in for a model engine."""

import random
import threading
import time
import uuid

from sycamorehollow.standins import arguments
from sycamorehollow.standins import batching
from sycamorehollow.standins import pacing
from sycamorehollow.standins import server
from sycamorehollow.standins import settings as standin_settings

OWN_FAULTS = ("crash_on", "cold", "out_of_memory", "ignore_fence")


def count_tokens(text: str) -> int:
    """Estimates the tokens of a text."""
    return max(1, len(text.encode()) // batching.BYTES_PER_TOKEN)


def join_messages(messages: list) -> str:
    """Joins the contents of the messages; cache prefixes refer to it."""
    pieces = []
    for message in messages:
        content = message.get("content") or ""
        if isinstance(content, list):
            content = "".join(part.get("text", "") for part in content)
        pieces.append(f"{message.get('role', '')}:{content}")
    return "\n".join(pieces)


class Engine(server.StandIn):
    """HTTP side of the engine; the batch does the work."""

    def __init__(self, settings: standin_settings.EngineSettings):
        super().__init__(settings.server)
        self._settings = settings
        self._task = pacing.PacedTask()
        self._ended = threading.Event()
        self._batch = batching.Batch(
            settings,
            self._task,
            random.Random(settings.engine.seed),
            self._schedule_restart,
        )

    def start(self) -> None:
        """Listens and starts the batch."""
        self._task.start()
        self._task.post(self._batch.record_report)
        super().start()

    def stop(self) -> None:
        """Closes every connection and ends the batch."""
        self._ended.set()
        self._task.ask(self._batch.close_all)
        super().stop()
        self._task.stop()

    def inject(self, fault: server.Fault) -> bool:
        """Applies a fault of the engine's own."""
        if fault.kind == "clear":
            self._task.ask(self._batch.clear_faults)
        if fault.kind == "silent" and fault.value == "open":
            # Only the open streams go silent; new connections work.
            fault.count = 0
            self._task.ask(self._batch.silence_all)
        if fault.kind not in OWN_FAULTS:
            return False
        self._task.ask(lambda: self._batch.inject(fault))
        return True

    def handle(self, request: server.Request) -> server.Answer:
        """Answers one request."""
        path = request.path
        if path == "/v1/chat/completions" and request.method == "POST":
            return self._start_answer(request)
        if path.startswith("/v1/streams/"):
            return self._handle_stream(request)
        if path == "/v1/load":
            return server.Reply(200, self._task.ask(self._batch.get_report))
        if path == "/v1/cache-events":
            after = int(request.read_number("after", 0))
            return server.Reply(
                200, self._task.ask(lambda: self._batch.list_events(after))
            )
        if path == "/v1/orders" and request.method == "POST":
            order = request.parse_json()
            return self._task.ask(lambda: self._batch.take_order(order))
        if path == "/stats":
            return server.Reply(200, self._task.ask(self._batch.get_stats))
        if path == "/served":
            return server.Reply(200, self._task.ask(self._batch.list_served))
        if path == "/healthz":
            return server.Reply(200, {})
        return server.refuse(404, "not_found", "No such path.")

    def _start_answer(self, request: server.Request) -> server.Answer:
        stream = self._parse_stream(request)
        refusal = self._task.ask(lambda: self._batch.admit(stream))
        if refusal is not None:
            return refusal
        connection = request.take_socket()
        if request.lose_answer:
            server.reset_socket(connection)
            return server.Taken()
        viewer = pacing.Viewer(connection, stream, 0)
        self._task.post(lambda: self._batch.attach(stream, viewer))
        return server.Taken()

    def _parse_stream(self, request: server.Request) -> pacing.Stream:
        """Reads a chat-completions body.

        Raises:
            server.BadRequestError: If a field has the wrong form.
        """
        body = request.parse_json()
        messages = body.get("messages")
        if not isinstance(messages, list) or not messages:
            raise server.BadRequestError("messages is missing.")
        prompt = join_messages(messages)
        limit = body.get("max_completion_tokens") or body.get("max_tokens")
        output_tokens = int(limit or self._settings.engine.output_tokens)
        prompt_tokens = count_tokens(prompt)
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        }
        stream = pacing.Stream(
            request.headers.get("x-request-id") or uuid.uuid4().hex,
            str(body.get("model", "")),
            prompt,
            usage,
            bool(body.get("stream")),
        )
        try:
            stream.priority = int(request.headers.get("x-priority", 1))
            deadline_ms = request.headers.get("x-deadline-ms")
            if deadline_ms:
                left_s = float(deadline_ms) / 1000.0
                stream.deadline = time.monotonic() + left_s
        except ValueError as error:
            raise server.BadRequestError(
                f"A header is no number: {error}."
            ) from (error)
        return stream

    def _handle_stream(self, request: server.Request) -> server.Answer:
        request_id = request.path.rpartition("/")[2]
        if request.method == "DELETE":
            if self._task.ask(lambda: self._batch.cancel(request_id)):
                return server.Reply(200, {})
            return server.refuse(404, "absent", "No such stream.")
        stream = self._task.ask(lambda: self._batch.find(request_id))
        if stream is None:
            return server.refuse(404, "absent", "No such stream.")
        first = int(request.read_number("from", 0))
        viewer = pacing.Viewer(request.take_socket(), stream, first)
        self._task.post(lambda: self._batch.attach(stream, viewer))
        return server.Taken()

    def _schedule_restart(self) -> None:
        """Refuses connections for the restart time, then listens again."""
        # Set here, so that nothing is answered between crash and restart.
        self._stopped.set()
        threading.Thread(target=self._restart, daemon=True).start()

    def _restart(self) -> None:
        super().stop()
        if not self._ended.wait(self._settings.memory.restart_s):
            super().start()


def main(argv: list[str] | None = None) -> int:
    """Runs the engine."""
    return arguments.run_program(
        "sycamore-fake-engine", standin_settings.EngineSettings, Engine, argv
    )


if __name__ == "__main__":
    raise SystemExit(main())
