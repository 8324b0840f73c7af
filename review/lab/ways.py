"""Ways of machines to addresses, which can be cut."""

import contextlib
import socket
import threading

from review.lab import web

CHUNK_BYTES = 65536


class Way:
    """A TCP proxy before one address.

    While it is cut, it resets all connections and each new one.

    Attributes:
        address: Host and port that it listens on.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._open = set()
        self._is_cut = False
        self._listener = socket.create_server((web.HOST, 0), backlog=512)
        self.address = "%s:%d" % self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Cuts the way."""
        self._is_cut = True
        for connection in list(self._open):
            _abort(connection)

    def heal(self):
        """Opens the way for new connections."""
        self._is_cut = False

    def stop(self):
        """Stops listening and closes all connections."""
        self._listener.close()
        self.cut()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self._is_cut:
                web.reset(near)
                continue
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near):
        try:
            far = socket.create_connection(self._target, 1.0)
        except OSError:
            web.reset(near)
            return
        far.settimeout(None)
        for connection in (near, far):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open |= {near, far}
        other = threading.Thread(target=_pump, args=(far, near), daemon=True)
        other.start()
        _pump(near, far)
        other.join()
        self._open -= {near, far}
        near.close()
        far.close()


def _pump(source, sink):
    try:
        while data := source.recv(CHUNK_BYTES):
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        _abort(sink)


def _abort(connection):
    """Resets a connection that other threads may wait for."""
    with contextlib.suppress(OSError):
        linger = web.LINGER
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.shutdown(socket.SHUT_RD)
        connection.close()
