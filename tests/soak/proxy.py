"""Loopback proxies that delay, silence, cut one way or reset connections."""

import asyncio
import contextlib
import ctypes
import enum
import socket
import struct
import threading

CHUNK_BYTES = 65536
# Linux's option for a classic BPF program that filters what a socket receives.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# The program consists of one instruction, `ret #0`, which drops each packet.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
DELAY_S = 0.25
HELD_LOOK_S = 0.02


class Mode(enum.Enum):
    """What a proxy does to bytes."""

    PASS = "pass"
    DELAY = "delay"
    # Holds bytes of both directions, or those of answers only.
    SILENCE = "silence"
    DEAF = "deaf"
    # Resets what is open and each new connection.
    RESET = "reset"
    # Resets each new connection; open ones live on.
    REFUSE = "refuse"
    # The kernel drops all packets, so that new connections hang.
    HANG = "hang"


def drop_packets(sock: socket.socket) -> None:
    """Lets the kernel drop all that a TCP socket receives from now on.

    Nothing is acknowledged, keep-alive probes included, as on a path that is
    gone.
    """
    program = ctypes.create_string_buffer(DROP_ALL)
    # A socket that was closed meanwhile receives nothing either.
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET,
            SO_ATTACH_FILTER,
            struct.pack("HP", 1, ctypes.addressof(program)),
        )


class Proxy:
    """Forwards one port to an address.

    Attributes:
        mode: What happens to bytes; may be changed from any thread.
        address: Host and port that it listens on.
        open_count: Number of open connections that it has accepted.
    """

    def __init__(self, target: str):
        self.mode = Mode.PASS
        self.address = ""
        self.open_count = 0
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._listener: socket.socket | None = None

    async def listen(self) -> None:
        """Starts to listen on a free port."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self._listener = server.sockets[0]
        self.address = "%s:%d" % self._listener.getsockname()

    def set_hanging(self, hangs: bool) -> None:
        """Lets the kernel drop all packets, or none; called in the loop."""
        open_ones = [w.get_extra_info("socket") for w in self._writers]
        for sock in [self._listener, *open_ones]:
            if hangs:
                drop_packets(sock)
            else:
                with contextlib.suppress(OSError):  # One without a filter.
                    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)

    def abort_all(self) -> None:
        """Resets the open connections; called in the loop."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self, drops_packets: bool) -> None:
        """Silences the open connections for good; called in the loop.

        New connections work. The silent ones are never answered nor closed.

        Args:
            drops_packets: Whether the kernel drops what arrives on them, as on
                a broken path; else it acknowledges what nobody reads.
        """
        for writer in self._writers - self._silent:
            self._silent.add(writer)
            if drops_packets:
                drop_packets(writer.get_extra_info("socket"))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode in (Mode.RESET, Mode.REFUSE):
            writer.transport.abort()
            return
        self._writers.add(writer)
        while self.mode is Mode.SILENCE:
            await asyncio.sleep(HELD_LOOK_S)
        host, _, port = self._target.rpartition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, back_writer}
        self._writers |= ends
        self.open_count += 1
        await asyncio.gather(
            self._pump(reader, back_writer, False),
            self._pump(back_reader, writer, True),
        )
        self.open_count -= 1
        self._writers -= ends

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self.mode is Mode.SILENCE or (
                    answers and self.mode is Mode.DEAF
                ):
                    await asyncio.sleep(HELD_LOOK_S)
                if writer in self._silent:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
            if writer in self._silent:
                await asyncio.Event().wait()
            # One end has closed; the other one may still have to answer.
            writer.write_eof()
        except OSError:
            # A reset of one side reaches the other one.
            writer.transport.abort()


class Proxies:
    """Runs proxies in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._proxies: list[Proxy] = []
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def open(self, target: str) -> Proxy:
        """Returns a proxy that forwards to an address."""
        proxy = Proxy(target)
        self._proxies.append(proxy)
        asyncio.run_coroutine_threadsafe(proxy.listen(), self._loop).result(5)
        return proxy

    def set_mode(self, proxy: Proxy, mode: Mode) -> None:
        """Changes what a proxy does."""
        if Mode.HANG in (mode, proxy.mode):
            self._loop.call_soon_threadsafe(
                proxy.set_hanging, mode is Mode.HANG
            )
        proxy.mode = mode
        if mode is Mode.RESET:
            self._loop.call_soon_threadsafe(proxy.abort_all)

    def silence_open(self, proxy: Proxy, drops_packets: bool) -> None:
        """Silences the open connections of a proxy for good."""
        self._loop.call_soon_threadsafe(proxy.silence_open, drops_packets)

    def close(self) -> None:
        """Ends all proxies."""
        for proxy in self._proxies:
            self._loop.call_soon_threadsafe(proxy.abort_all)
        asyncio.run_coroutine_threadsafe(_cancel_others(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


async def _cancel_others() -> None:
    """Ends all tasks of the loop but the one that calls it."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
