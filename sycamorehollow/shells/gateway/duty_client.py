"""Calls of duties to the platform and to the store, on their own threads."""

from collections.abc import Callable
import queue
import socket
import struct
import time

import loguru

from sycamorehollow.decisions.duties import duty
from sycamorehollow.shells import tasks
from sycamorehollow.shells.gateway import duty_codec

# Time limit of a whole call, and of its connection. A node that does not renew
# its lease meanwhile must still be its owner at the end.
CALL_LIMIT_S = 0.5
CONNECT_LIMIT_S = 0.3
MAX_QUEUED_CALLS = 32
MAX_HEAD_BYTES = 16 * 1024
READ_BYTES = 4096


def read_boot_time() -> float:
    """Returns the seconds of the clock that continues during a pause."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Worker(tasks.Task):
    """A thread that runs calls in order.

    Args:
        name: Name of the thread.
        deliver: Runs a function in the event loop; safe from any thread.
    """

    def __init__(
        self, name: str, deliver: Callable[[Callable[[], None]], None]
    ):
        super().__init__(name)
        self._deliver = deliver
        self._is_started = False
        self._queue: queue.Queue[Callable[[], Callable[[], None]] | None] = (
            queue.Queue(MAX_QUEUED_CALLS)
        )

    def submit(self, call: Callable[[], Callable[[], None]]) -> bool:
        """Queues a call; returns `False` if too many wait.

        Args:
            call: Runs in the thread; what it returns runs in the event loop.
        """
        if not self._is_started:
            # Most nodes never own a duty and need no thread.
            self._is_started = True
            self.start()
        try:
            self._queue.put_nowait(call)
        except queue.Full:
            return False
        return True

    def _wake(self) -> None:
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            # A queued call wakes the thread as well.
            return

    def _run(self) -> None:
        while not self._stopping:
            call = self._queue.get()
            if call is None:
                continue
            try:
                self._deliver(call())
            except Exception as error:
                # The caller counts a missing result as a failure in time.
                loguru.logger.opt(exception=error).error(
                    "error in {}", self.name
                )


class DutyClient:
    """Makes calls to the platform, each on a connection of its own.

    Args:
        address: Address and port of the platform.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)

    def send(
        self,
        message: duty_codec.Message,
        may_call: Callable[[float, float], bool],
    ) -> tuple[duty.Result, str]:
        """Makes a call; returns its result and what happened.

        Args:
            message: The request.
            may_call: Tells whether a call that begins at a time and takes so
                many seconds is allowed.
        """
        deadline = read_boot_time() + CALL_LIMIT_S
        try:
            connection = socket.create_connection(
                (self._host, self._port), CONNECT_LIMIT_S
            )
        except OSError as error:
            return duty.Result.NOT_SENT, f"no connection: {error}"
        is_complete = False
        try:
            _limit_retransmissions(connection)
            data = self._encode(message)
            # Nothing may delay the request between this check and its bytes.
            now = read_boot_time()
            if now >= deadline or not may_call(now, deadline - now):
                return duty.Result.NOT_SENT, "the ownership has ended"
            connection.settimeout(max(0.001, deadline - now))
            connection.sendall(data)
            status = _read_status(connection, deadline)
            is_complete = True
        except (OSError, ValueError) as error:
            return duty.Result.UNKNOWN, f"no response: {error}"
        finally:
            if not is_complete:
                _reset(connection)
            connection.close()
        return _classify(status), f"status {status}"

    def _encode(self, message: duty_codec.Message) -> bytes:
        headers = {
            "Host": f"{self._host}:{self._port}",
            **message.headers,
            "Content-Length": str(len(message.body)),
            "Connection": "close",
        }
        lines = [f"POST {message.path} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + message.body


def _limit_retransmissions(connection: socket.socket) -> None:
    """Lets the kernel drop unacknowledged bytes, also of a paused process."""
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(CALL_LIMIT_S * 1000)
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _reset(connection: socket.socket) -> None:
    """Lets the connection be reset when it is closed, with unsent bytes."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


def _read_status(connection: socket.socket, deadline: float) -> int:
    """Reads the head of a response and returns its status.

    Raises:
        OSError: The response is late or missing.
        ValueError: It is malformed.
    """
    head = b""
    while b"\r\n\r\n" not in head:
        left_s = deadline - read_boot_time()
        if left_s <= 0:
            raise TimeoutError("the time limit has passed")
        connection.settimeout(left_s)
        data = connection.recv(READ_BYTES)
        head += data
        if not data or len(head) > MAX_HEAD_BYTES:
            raise ValueError("the head of the response is incomplete")
    version, _, rest = head.partition(b" ")
    if not version.startswith(b"HTTP/1."):
        raise ValueError("the response is no HTTP")
    return int(rest[:3])


def _classify(status: int) -> duty.Result:
    if 200 <= status < 300:
        return duty.Result.ACCEPTED
    if status in (429, 503):
        return duty.Result.REFUSED
    if 400 <= status < 500:
        return duty.Result.REJECTED
    return duty.Result.UNKNOWN
