"""Stand-ins of replicas and consumers, with the platform's protocol."""

import contextlib
import dataclasses
import json
import socket
import threading
import time
import uuid

import deployment

READ_BYTES = 64 * 1024
CLIENT_TIMEOUT_S = 20.0


@dataclasses.dataclass
class Request:
    """A request as a replica received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self):
        """Its `Request-Id`."""
        return self.headers.get("request-id", "")


@dataclasses.dataclass
class Answer:
    """What a consumer got.

    Attributes:
        status: Status of the answer; 0 if there was none.
        is_whole: Whether the answer was complete.
        error: How the channel ended otherwise.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""


class Channel:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self._data = b""

    def read_until(self, end):
        """Returns the bytes up to a mark, or raises `EOFError`."""
        while end not in self._data:
            self._receive()
        found, _, self._data = self._data.partition(end)
        return found

    def read_exactly(self, size):
        """Returns a number of bytes, or raises `EOFError`."""
        while len(self._data) < size:
            self._receive()
        found, self._data = self._data[:size], self._data[size:]
        return found

    def read_head(self):
        """Returns the first line and the headers of a message."""
        lines = self.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        return lines[0], {n.strip().lower(): v.strip() for n, _, v in pairs}

    def read_chunks(self):
        """Yields the parts of a chunked body."""
        while size := int(self.read_until(b"\r\n").partition(b";")[0], 16):
            yield self.read_exactly(size)
            self.read_exactly(2)
        self.read_until(b"\r\n")

    def _receive(self):
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise EOFError("the channel was closed")
        self._data += data


class Replica:
    """A sound replica; subclasses add faults.

    Args:
        record: Receives what runs.
        identity: Its `id`.
    """

    def __init__(self, record, identity):
        self.record = record
        self.identity = identity
        self.born = int(time.time() * 1000)
        self.runs = []
        self._listener = socket.create_server((deployment.HOST, 0), backlog=512)
        self.address = "%s:%d" % self._listener.getsockname()
        self._open = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        """Stops it and closes its channels."""
        self._listener.close()
        for sock in list(self._open):
            sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._open.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        channel = Channel(sock)
        with contextlib.suppress(OSError, EOFError):
            while True:
                line, headers = channel.read_head()
                method, path, _ = line.split(" ")
                length = int(headers.get("content-length", 0))
                request = Request(
                    method, path, headers, channel.read_exactly(length)
                )
                if not self._answer_check(sock, request):
                    self.handle(sock, request)
        self._open.discard(sock)
        sock.close()

    def _answer_check(self, sock, request):
        """Answers what is no request of a consumer; returns whether it was."""
        wanted = request.headers.get("target-replica", self.identity)
        if wanted != self.identity:
            send_answer(sock, 421, {"Replica-Id": self.identity})
            return True
        if request.path not in ("/health", "/-/report"):
            return False
        body = json.dumps({"stage": "both", "models": [], "born": self.born})
        headers = {"Replica-Id": self.identity}
        send_answer(sock, 200, headers, body.encode())
        return True

    def record_run(self, request):
        """Records that it begins to run a request."""
        self.runs.append((request.request_id, time.monotonic()))
        self.record.write(f"{self.identity}: runs {request.request_id}")

    def build_headers(self, request):
        """Returns the headers of an answer to a request that it ran."""
        return {
            "Request-Id": request.request_id,
            "Response-Seal": f"3e1b.{self.identity}.{request.request_id}",
        }

    def handle(self, sock, request):
        """Runs one request and answers it."""
        self.record_run(request)
        send_answer(sock, 200, self.build_headers(request), b"done")


def send_answer(sock, status, headers, body=b""):
    """Writes an answer with a length."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    sock.sendall("\r\n".join(lines).encode("latin-1") + body)


def build_request(method, path, deadline_ms, body=b"", **headers):
    """Returns the bytes of a consumer's request and its id."""
    request_id = headers.pop("request_id", uuid.uuid4().hex[:16])
    values = {
        "Host": deployment.VHOST,
        "Request-Id": request_id,
        "Request-Deadline": str(deadline_ms),
        "Authorization": f"Bearer {deployment.KEY}",
        **{name.replace("_", "-").title(): v for name, v in headers.items()},
    }
    if body:
        values["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in values.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body, request_id


def connect(address, limit_s=CLIENT_TIMEOUT_S, receive_bytes=0, mss=0):
    """Opens a consumer's channel.

    Args:
        address: Where to.
        limit_s: Time limit of each step.
        receive_bytes: Receive buffer; 0 for the default.
        mss: Largest segment, as of a network card; 0 for that of loopback.
    """
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if mss:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
    sock.settimeout(limit_s)
    sock.connect(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_answer(channel, pause=None):
    """Reads one answer.

    Args:
        channel: The channel.
        pause: Called after the head and before the body.
    """
    answer = Answer()
    try:
        line, answer.headers = channel.read_head()
        answer.status = int(line.split(" ")[1])
        if pause is not None:
            pause()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            for part in channel.read_chunks():
                answer.body += part
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = channel.read_exactly(length)
        answer.is_whole = True
    except (OSError, EOFError) as error:
        answer.error = repr(error)
    return answer
