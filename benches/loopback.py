"""Cost of the peer task, measured between two tasks on loopback."""

import dataclasses
import pathlib
import queue
import resource
import socket
import threading
import time

from sycamorehollow.decisions.replication import exchange
from sycamorehollow.model import events
from sycamorehollow.shells import peers

CALLS = 400
CALLS_PER_S = 200
CHANNELS = 100
PAYLOAD_BYTES = 256
ANSWER_TIMEOUT_S = 10.0
ME = exchange.Process("127.0.0.1:1", "dc-0", 1_790_000_000 * 10**9)


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost of calls between two peer tasks.

    Attributes:
        cpu_s: Processor seconds per call, both ends together.
        wire_bytes: Bytes per call in the TCP streams, both directions.
        opening_cpu_s: Processor seconds per call that opens its channel.
        channel_bytes: Resident memory per channel, both ends together.
    """

    cpu_s: float
    wire_bytes: float
    opening_cpu_s: float
    channel_bytes: float


class Forwarder:
    """Forwards connections to a port, counts bytes and can fall silent.

    Attributes:
        address: Where it listens.
        count: Bytes forwarded in both directions.
    """

    def __init__(self, port: int):
        self.count = 0
        self._port = port
        self._open: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Drops what open connections carry from now on; keeps them open."""
        self._silent |= self._open

    def close(self) -> None:
        """Stops accepting."""
        self._server.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._server.accept()
            except OSError:
                return
            far = socket.create_connection(("127.0.0.1", self._port))
            self._open.add(near)
            for pair in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(*pair, near), daemon=True
                ).start()

    def _pump(
        self, source: socket.socket, target: socket.socket, near: socket.socket
    ) -> None:
        try:
            while data := source.recv(65536):
                if near in self._silent:
                    continue
                self.count += len(data)
                target.sendall(data)
        except OSError:
            pass
        source.close()
        target.close()


def read_resident_bytes() -> int:
    """Returns the resident memory of this process."""
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * resource.getpagesize()


def measure() -> Cost:
    """Runs calls and channels between two tasks, then ends them."""
    answers: queue.SimpleQueue[events.Event] = queue.SimpleQueue()

    def answer(event: events.Event) -> None:
        if isinstance(event, exchange.CallReceived):
            server.post(exchange.SendReply(event.call, ME, ()))

    server = peers.PeerTask("0.0.0.0:0", answer)
    client = peers.PeerTask("127.0.0.1:0", answers.put)
    port = server.start()
    client.start()
    items = (exchange.Item("members/digest", b"x" * PAYLOAD_BYTES),)

    def call(address: str) -> None:
        client.post(exchange.SendCall(address, ME, items))
        answers.get(timeout=ANSWER_TIMEOUT_S)

    call(f"127.0.0.1:{port}")
    began = time.process_time()
    for _ in range(CALLS):
        call(f"127.0.0.1:{port}")
        time.sleep(1 / CALLS_PER_S)
    cpu_s = (time.process_time() - began) / CALLS
    counter = Forwarder(port)
    for _ in range(CALLS):
        call(counter.address)
    counter.close()
    before = read_resident_bytes()
    began = time.process_time()
    # Each loopback address has a channel and a connection of its own.
    for number in range(CHANNELS):
        call(f"127.0.1.{number + 1}:{port}")
    opening_s = (time.process_time() - began) / CHANNELS
    held = read_resident_bytes() - before
    client.stop()
    server.stop()
    return Cost(cpu_s, counter.count / CALLS, opening_s, held / CHANNELS)
