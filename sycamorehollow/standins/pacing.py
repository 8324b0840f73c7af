"""Streams of an engine and the task that writes them at their pace."""

import collections
from collections.abc import Callable
import concurrent.futures
import hashlib
import heapq
import json
import queue
import socket
import threading
import time
from typing import Any

from sycamorehollow.standins import server

# Longest wait, so that a blocked caller socket is tried again soon.
IDLE_WAIT_S = 0.02
MAX_EVENTS_PER_SEND = 64
STREAM_HEAD = server.format_head(
    200,
    {
        "Content-Type": "text/event-stream",
        "Cache-Control": "no-cache",
        "Transfer-Encoding": "chunked",
        "Connection": "close",
    },
)
LAST_CHUNK = b"0\r\n\r\n"


def make_digest(prompt: str) -> str:
    """Returns the mark that every piece of the answer to a prompt carries."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


class Stream:
    """One answer; every event is a function of its number.

    Events are numbered from 0: the role, one for each token, the finish
    reason, the usage and the closing `[DONE]`.

    Attributes:
        produced: Events that exist by now.
    """

    def __init__(
        self,
        request_id: str,
        version: str,
        prompt: str,
        usage: dict[str, Any],
        wants_stream: bool,
    ):
        self.request_id = request_id
        self.version = version
        self.wants_stream = wants_stream
        self.prompt = prompt
        self.usage = usage
        self.priority = 1
        self.deadline: float | None = None
        self.crash_after: int | None = None
        self.produced = 0
        self.running = False
        self.done_at: float | None = None
        self.viewers: list["Viewer"] = []
        self.output_tokens: int = usage["completion_tokens"]
        self.total = self.output_tokens + 4
        self._mark = make_digest(prompt)
        self._created = int(time.time())
        before, after = self._format([{"delta": {"content": "@"}}]).split("@")
        self._before, self._after = before, after

    @property
    def tokens(self) -> int:
        """Output tokens produced so far."""
        return max(0, min(self.produced - 1, self.output_tokens))

    @property
    def held_tokens(self) -> int:
        """Tokens that the stream holds in memory."""
        return self.usage["prompt_tokens"] + self.tokens

    def get_text(self) -> str:
        """Returns the whole answer."""
        return "".join(self._get_token(n) for n in range(self.output_tokens))

    def make_chunk(self, number: int) -> bytes:
        """Returns an event as one chunk of a chunked body."""
        event = f"id: {number}\ndata: {self._make_data(number)}\n\n".encode()
        return b"%x\r\n%b\r\n" % (len(event), event)

    def make_document(self) -> dict[str, Any]:
        """Returns the answer as a plain response."""
        return {
            "id": self.request_id,
            "object": "chat.completion",
            "created": self._created,
            "model": self.version,
            "choices": [
                {
                    "index": 0,
                    "message": {
                        "role": "assistant",
                        "content": self.get_text(),
                    },
                    "finish_reason": "stop",
                }
            ],
            "usage": self.usage,
        }

    def _get_token(self, index: int) -> str:
        return f"{self._mark}-{index} "

    def _make_data(self, number: int) -> str:
        if 0 < number <= self.output_tokens:
            return self._before + self._get_token(number - 1) + self._after
        if number == 0:
            return self._format(
                [{"delta": {"role": "assistant", "content": ""}}]
            )
        if number == self.output_tokens + 1:
            return self._format([{"delta": {}, "finish_reason": "stop"}])
        if number == self.output_tokens + 2:
            return self._format([], usage=self.usage)
        return "[DONE]"

    def _format(self, choices: list[dict], **extra: Any) -> str:
        filled = [
            {"index": 0, "finish_reason": None, **choice} for choice in choices
        ]
        return json.dumps(
            {
                "id": self.request_id,
                "object": "chat.completion.chunk",
                "created": self._created,
                "model": self.version,
                "choices": filled,
                **extra,
            }
        )


class Viewer:
    """A caller connection that receives a stream from some event on."""

    def __init__(self, connection: socket.socket, stream: Stream, first: int):
        connection.setblocking(False)
        self.connection = connection
        self.silent = False
        self.closed = False
        self._stream = stream
        self._next = first
        self._pending = STREAM_HEAD if stream.wants_stream else b""
        self._ended = False

    def flush(self) -> bool:
        """Sends what there is; true if the socket took all of it."""
        while not self.closed and not self.silent:
            if not self._pending and not self._fill():
                if self._ended:
                    self.close()
                return True
            try:
                sent = self.connection.send(self._pending)
            except BlockingIOError:
                return False
            except OSError:
                self.close()
                return True
            self._pending = self._pending[sent:]
        return True

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        self.connection.close()

    def reset(self) -> None:
        """Closes the connection the way a dying process does."""
        self.closed = True
        server.reset_socket(self.connection)

    def answer(self, reply: server.Reply) -> None:
        """Makes a plain reply the next and last thing that is sent."""
        body = json.dumps(reply.document).encode()
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        self._pending = server.format_head(reply.status, headers) + body
        self._ended = True

    def _fill(self) -> bool:
        """Formats the next events; false if there are none."""
        stream = self._stream
        if self._ended:
            return False
        if not stream.wants_stream:
            if stream.produced < stream.total:
                return False
            self.answer(server.Reply(200, stream.make_document()))
            return True
        last = min(stream.produced, self._next + MAX_EVENTS_PER_SEND)
        if self._next >= last:
            return False
        pieces = [stream.make_chunk(n) for n in range(self._next, last)]
        self._next = last
        if last == stream.total:
            pieces.append(LAST_CHUNK)
            self._ended = True
        self._pending = b"".join(pieces)
        return True


class PacedTask:
    """Single thread that owns state and runs what is due or asked for."""

    def __init__(self) -> None:
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._ended = threading.Event()
        self._blocked: collections.deque[Viewer] = collections.deque()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self._ended.set()
        self._inbox.put((lambda: None, None))
        self._thread.join(5.0)

    def ask(self, question: Callable[[], Any]) -> Any:
        """Runs a function in the task and returns its result."""
        future: concurrent.futures.Future = concurrent.futures.Future()
        self._inbox.put((question, future))
        return future.result(30.0)

    def post(self, action: Callable[[], None]) -> None:
        """Runs a function in the task without waiting for it."""
        self._inbox.put((action, None))

    def schedule(self, due: float, action: Callable[[], None]) -> None:
        """Runs a function in the task at a monotonic time."""
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, action))

    def flush(self, viewer: Viewer) -> None:
        """Sends to a viewer now and again later if its socket is full."""
        if not viewer.flush():
            self._blocked.append(viewer)

    def _run(self) -> None:
        while not self._ended.is_set():
            now = time.monotonic()
            while self._heap and self._heap[0][0] <= now:
                heapq.heappop(self._heap)[2]()
            for _ in range(len(self._blocked)):
                self.flush(self._blocked.popleft())
            wait = IDLE_WAIT_S
            if self._heap:
                wait = self._heap[0][0] - time.monotonic()
            self._take_messages(min(max(wait, 0.0), IDLE_WAIT_S))

    def _take_messages(self, wait_s: float) -> None:
        try:
            message = self._inbox.get(timeout=wait_s)
        except queue.Empty:
            return
        while True:
            action, future = message
            try:
                result = action()
                if future:
                    future.set_result(result)
            except Exception as error:
                if not future:
                    raise
                future.set_exception(error)
            try:
                message = self._inbox.get_nowait()
            except queue.Empty:
                return
