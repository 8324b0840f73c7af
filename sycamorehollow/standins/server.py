"""HTTP server, injected faults and arguments shared by the stand-ins."""

import abc
from collections.abc import Mapping
import dataclasses
import http
import json
import random
import select
import socket
import struct
import sys
import threading
import time
from typing import Any
import urllib.parse

from cheroot import server as cheroot_server

from sycamorehollow.standins import settings as standin_settings

# Below the ephemeral ports: a stand-in that stops listening for a while, as a
# crashed engine does, must not lose its port to an outgoing connection.
FREE_PORTS = (10_000, 32_000)
START_TIMEOUT_S = 10.0
KEEP_MS = 100
REBIND_PAUSE_S = 0.05
FAULTS_PATH = "/faults"
# Handled here for all stand-ins; further kinds belong to one stand-in.
COMMON_FAULTS = ("refuse", "delay_s", "lose_answer", "silent", "down")


@dataclasses.dataclass(frozen=True)
class Reply:
    """A JSON reply."""

    status: int
    document: Any
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class NoReply:
    """The connection is closed without an answer."""


class Taken:
    """The handler took the socket and answers later."""


Answer = Reply | NoReply | Taken


def refuse(
    status: int, code: str, reason: str, run: str = "no", **extra: Any
) -> Reply:
    """Builds a typed refusal."""
    error = {"code": code, "message": reason, "type": code, "run": run}
    return Reply(status, {"error": {**error, **extra}})


class BadRequestError(Exception):
    """The request cannot be read; the text says why."""


@dataclasses.dataclass
class Request:
    """One HTTP request.

    Attributes:
        headers: Values by lower-case name.
        lose_answer: Whether the answer must be dropped after the effect.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    raw: Any
    lose_answer: bool = False

    def parse_json(self) -> dict[str, Any]:
        """Returns the body as a JSON object.

        Raises:
            BadRequestError: If the body is no JSON object.
        """
        try:
            document = json.loads(self.body or b"{}")
        except ValueError as error:
            raise BadRequestError(f"The body is no JSON: {error}.") from error
        if not isinstance(document, dict):
            raise BadRequestError("The body is no JSON object.")
        return document

    def read_number(self, name: str, default: float) -> float:
        """Returns a number of the query.

        Raises:
            BadRequestError: If the value is no number.
        """
        try:
            return float(self.query.get(name, default))
        except ValueError as error:
            raise BadRequestError(f"{name} is no number.") from error

    def take_socket(self) -> socket.socket:
        """Takes the connection out of the server's hands."""
        connection = self.raw.conn
        # With `linger` set, cheroot does not shut the connection down.
        connection.linger = True
        self.raw.close_connection = True
        self.raw.sent_headers = True
        return socket.socket(fileno=connection.socket.detach())


@dataclasses.dataclass
class Fault:
    """An injected fault.

    Attributes:
        count: Requests that it still applies to; `None` means until cleared.
        skip: Matching requests that pass before it applies.
        path: Prefix of the paths that it applies to.
        method: Method that it applies to; empty means every one.
        content: Text that the body must contain.
    """

    kind: str
    value: Any = None
    count: int | None = None
    skip: int = 0
    path: str = ""
    method: str = ""
    content: str = ""

    def matches(self, request: Request) -> bool:
        """Tells whether the fault concerns the request."""
        if not request.path.startswith(self.path):
            return False
        if self.method and request.method != self.method:
            return False
        return self.content.encode() in request.body


class Faults:
    """The faults in effect."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults: list[Fault] = []

    def add(self, fault: Fault) -> None:
        """Adds a fault; `clear` removes all."""
        with self._lock:
            if fault.kind == "clear":
                self._faults.clear()
                return
            self._faults.append(fault)

    def take(self, kind: str, request: Request) -> Fault | None:
        """Uses up one application of the first fault that matches."""
        with self._lock:
            for fault in self._faults:
                if fault.kind != kind or not fault.matches(request):
                    continue
                if fault.skip > 0:
                    fault.skip -= 1
                    continue
                if fault.count is not None:
                    if fault.count <= 0:
                        continue
                    fault.count -= 1
                return fault
        return None


class _Gateway(cheroot_server.Gateway):
    """Passes each request to the stand-in."""

    def respond(self) -> None:
        self.req.server.stand_in.respond(self.req)


class _HttpConnection(cheroot_server.HTTPConnection):
    """Connection whose worker waits a while for the next request.

    A return to the accepting thread after each request costs two switches of
    threads, which halves the rate of a busy connection.
    """

    def communicate(self) -> bool:
        """Answers requests until the connection is idle or closed."""
        while super().communicate():
            waiter = select.poll()
            waiter.register(self.socket, select.POLLIN)
            if not waiter.poll(KEEP_MS):
                return True
        return False


class _HttpServer(cheroot_server.HTTPServer):
    """HTTP server that knows its stand-in."""

    request_queue_size = 512
    ConnectionClass = _HttpConnection

    @staticmethod
    def bind_socket(socket_, bind_addr):
        """Binds; connections of a free port must not block a restart."""
        socket_.bind(bind_addr)
        # Set after the bind, so that a free port is never one in use.
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return socket_

    def __init__(self, stand_in: "StandIn", address: str, port: int, threads):
        super().__init__(
            (address, port), _Gateway, minthreads=threads, maxthreads=threads
        )
        self.stand_in = stand_in
        self.timeout = 60
        # Workers that wait in a long poll must not hold up the end.
        self.shutdown_timeout = 0
        # The accepting thread notices the end after this time.
        self.expiration_interval = 0.05  # type: ignore[assignment]

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Prints errors only; broken connections are part of the tests."""
        if level >= 40:
            print(f"standin: {msg}", file=sys.stderr)


class StandIn(abc.ABC):
    """A stand-in that serves HTTP in threads of its own."""

    def __init__(self, server: standin_settings.ServerSection):
        self._server_settings = server
        self._port = server.port
        self._http: _HttpServer | None = None
        self._thread: threading.Thread | None = None
        self._silent: list[socket.socket] = []
        self._stopped = threading.Event()
        self.faults = Faults()

    @property
    def url(self) -> str:
        """Base URL once the stand-in has started."""
        return f"http://{self._server_settings.address}:{self._port}"

    @abc.abstractmethod
    def handle(self, request: Request) -> Answer:
        """Answers one request."""

    def inject(self, fault: Fault) -> bool:
        """Applies a fault of the stand-in's own; false if it is unknown."""
        return False

    def start(self) -> None:
        """Listens and returns when connections are accepted."""
        self._stopped.clear()
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            http = _HttpServer(
                self,
                self._server_settings.address,
                self._port or random.randrange(*FREE_PORTS),
                self._server_settings.threads,
            )
            try:
                http.prepare()
                break
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(REBIND_PAUSE_S)
        self._http = http
        self._port = http.bind_addr[1]
        self._thread = threading.Thread(target=http.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Closes the listening socket and every connection."""
        self._stopped.set()
        http, self._http = self._http, None
        if http is not None:
            http.stop()
        for parked in self._silent:
            parked.close()
        self._silent.clear()

    def respond(self, raw: Any) -> None:
        """Reads a request, applies faults and writes the answer."""
        request = read_request(raw)
        answer: Answer = NoReply()
        try:
            # A request that arrives while the process ends gets no answer.
            if not self._stopped.is_set():
                answer = self._answer(request)
        except BadRequestError as error:
            answer = refuse(400, "invalid_request", str(error))
        if isinstance(answer, Reply):
            write_reply(raw, answer)
            return
        raw.sent_headers = True
        raw.close_connection = True

    def _answer(self, request: Request) -> Answer:
        if request.path == FAULTS_PATH:
            return self._add_fault(request)
        if self.faults.take("down", request):
            return NoReply()
        if self.faults.take("silent", request):
            self._silent.append(request.take_socket())
            return Taken()
        delay = self.faults.take("delay_s", request)
        if delay:
            self._stopped.wait(float(delay.value))
        if self.faults.take("refuse", request):
            return refuse(503, "refused", "Refused by an injected fault.")
        request.lose_answer = bool(self.faults.take("lose_answer", request))
        answer = self.handle(request)
        if isinstance(answer, Reply):
            # A call that was pending when the stand-in went down, such as a
            # watch, gets no answer either.
            if request.lose_answer or self.faults.take("down", request):
                return NoReply()
        return answer

    def _add_fault(self, request: Request) -> Reply:
        try:
            fault = Fault(**request.parse_json())
        except TypeError as error:
            raise BadRequestError(
                f"Unknown field of a fault: {error}."
            ) from error
        known = self.inject(fault)
        if fault.kind == "clear" or fault.kind in COMMON_FAULTS:
            self.faults.add(fault)
            known = True
        if not known:
            raise BadRequestError(f"Unknown fault {fault.kind}.")
        return Reply(200, {})


def read_request(raw: Any) -> Request:
    """Reads the rest of a request whose head was parsed."""
    parts = urllib.parse.urlsplit(raw.uri.decode("latin-1"))
    query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in raw.inheaders.items()
    }
    return Request(
        raw.method.decode("latin-1"),
        urllib.parse.unquote(parts.path),
        query,
        headers,
        raw.rfile.read(),
        raw,
    )


def format_head(status: int, headers: Mapping[str, str]) -> bytes:
    """Formats a response head."""
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def write_reply(raw: Any, reply: Reply) -> None:
    """Writes a reply as one segment."""
    body = json.dumps(reply.document).encode()
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        **reply.headers,
    }
    if raw.close_connection:
        headers["Connection"] = "close"
    raw.sent_headers = True
    raw.conn.wfile.write(format_head(reply.status, headers) + body)


def reset_socket(connection: socket.socket) -> None:
    """Closes a connection the way a dying process does."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    except OSError:
        pass
    connection.close()
