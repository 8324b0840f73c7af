"""Threaded HTTP/1.1 servers on loopback addresses."""

import contextlib
import http.server
import socket
import struct
import threading

HOST = "127.0.0.1"
POLL_S = 0.02
# Option with which closing a connection resets it.
LINGER = struct.pack("ii", 1, 0)


class Request(http.server.BaseHTTPRequestHandler):
    """One connection; hands each request to its server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    owner: "Server"

    def log_message(self, *_):
        """Disables the request log."""

    def _run(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        if len(body) < length:
            self.close_connection = True
            return
        self.owner.handle(self, body)

    do_GET = do_POST = do_DELETE = _run  # noqa: N815

    def handle(self):
        """Handles the requests of a connection until it ends."""
        self.owner.connections.add(self.connection)
        try:
            super().handle()
        except (OSError, ValueError):
            return  # The other side has closed it, or `reset` has.
        finally:
            self.owner.connections.discard(self.connection)

    def reply(self, status, headers=(), body=b""):
        """Writes a complete response."""
        self.send_response(status)
        for name, value in dict(headers).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Listener(http.server.ThreadingHTTPServer):
    request_queue_size = 512
    daemon_threads = True

    def handle_error(self, *_):
        """Ignores connections that break."""


class Server:
    """A server with a thread for each connection.

    Attributes:
        address: Host and port that it listens on.
        connections: Its open connections.
    """

    def __init__(self, host=HOST):
        self.connections = set()
        self._handler = type("Handler", (Request,), {"owner": self})
        self._listen(host, 0)
        self.address = "%s:%d" % self._listener.server_address

    def _listen(self, host, port):
        self._listener = _Listener((host, port), self._handler)
        threading.Thread(
            target=self._listener.serve_forever, args=(POLL_S,), daemon=True
        ).start()

    def handle(self, request, body):
        """Responds to one request."""
        raise NotImplementedError

    def stop(self):
        """Stops listening and ends all connections."""
        self._listener.shutdown()
        self._listener.server_close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def start_again(self):
        """Listens again after it was stopped."""
        host, _, port = self.address.rpartition(":")
        self._listen(host, int(port))


def reset(connection):
    """Resets a connection."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        connection.close()
