"""The HTTP front towards callers."""

import abc
import hashlib
import re
import threading
import time

from cheroot import server
from cheroot.workers import threadpool
import loguru

from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.shells import exchange as exchanges

# A worker only waits while its stream is relayed; 300 streams are the target
# of a node, the rest are for short requests.
WORKERS = 400
BACKLOG = 512
IDLE_TIMEOUT_S = 30
# Paths of callers; health checks go on while a process leaves.
API_PREFIX = "/v1/"


class Snapshot:
    """The configuration in force, as the HTTP workers see it.

    Only the router task replaces it; readers take whole snapshots.
    """

    def __init__(self):
        self.current: deployment.Deployment | None = None
        self._by_key: dict[str, str] = {}

    def replace(self, current: deployment.Deployment) -> None:
        """Takes another configuration."""
        by_key = {}
        for workspace in current.workspaces.values():
            for key_hash in workspace.key_hashes:
                by_key[key_hash] = workspace.name
        self._by_key = by_key
        self.current = current

    def authenticate(
        self, authorization: str
    ) -> deployment.Workspace | failures.Failure:
        """Returns the workspace of an `Authorization` header."""
        current = self.current
        if current is None:
            return failures.NoConfiguration(
                "This node has no configuration yet.", retry_after_s=1.0
            )
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return failures.Unauthorized("The API key is missing.")
        digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        name = self._by_key.get(digest)
        if name is None or name not in current.workspaces:
            return failures.Unauthorized("The API key is not known.")
        return current.workspaces[name]


class Handler(abc.ABC):
    """Answers the requests of one path.

    Attributes:
        method: The only method that the path takes.
        pattern: Regular expression of the whole path.
    """

    method = "GET"
    pattern = ""

    @abc.abstractmethod
    def respond(
        self, exchange: exchanges.Exchange, match: re.Match[str]
    ) -> None:
        """Reads the request and sends the response."""


class WorkspaceHandler(Handler):
    """Answers the requests of one path for callers with an API key."""

    def __init__(self, snapshot: Snapshot):
        self._snapshot = snapshot

    def respond(
        self, exchange: exchanges.Exchange, match: re.Match[str]
    ) -> None:
        """Finds the workspace of the caller, or refuses."""
        workspace = self._snapshot.authenticate(
            exchange.get_header("Authorization")
        )
        if isinstance(workspace, failures.Failure):
            # The unread body must not be taken for the next request.
            exchange.close_after()
            exchange.send_failure(workspace)
            return
        self.respond_to(exchange, match, workspace)

    @abc.abstractmethod
    def respond_to(
        self,
        exchange: exchanges.Exchange,
        match: re.Match[str],
        workspace: deployment.Workspace,
    ) -> None:
        """Reads the request of a workspace and sends the response."""


class _FrontServer(server.HTTPServer):
    """The HTTP library's server with the log of this project."""

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Logs what the HTTP library reports."""
        loguru.logger.opt(exception=traceback).log(level, "front: {}", msg)


class Front:
    """Owns the listening socket and the HTTP workers.

    Attributes:
        leaving: Whether each answer is the last one of its connection.
    """

    def __init__(self, host: str, port: int, handlers: list[Handler]):
        self.leaving = False
        self._handlers = handlers
        self._asked_at = time.monotonic()
        self._server = _FrontServer(
            (host, port), self._build_gateway(), server_name="sycamore"
        )
        self._server.request_queue_size = BACKLOG
        self._server.timeout = IDLE_TIMEOUT_S
        self._server.requests = threadpool.ThreadPool(
            self._server, min=WORKERS, max=WORKERS
        )
        self._thread = threading.Thread(
            target=self._server.serve, name="front", daemon=True
        )

    @property
    def port(self) -> int:
        """The port that the front listens on."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Listens and serves."""
        self._server.prepare()
        self._thread.start()

    def measure_quiet(self) -> float:
        """Returns the seconds since the last request has arrived."""
        return time.monotonic() - self._asked_at

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop()

    def _build_gateway(self) -> type[server.Gateway]:
        front = self
        compiled = [(re.compile(h.pattern), h) for h in self._handlers]

        class Gateway(server.Gateway):
            """Gives a request to the handler of its path."""

            def respond(self) -> None:
                """Answers one request."""
                exchange = exchanges.Exchange(self.req)
                front.note_request(exchange)
                failure: failures.Failure = failures.NotFound(
                    f"There is no path {exchange.path}."
                )
                for pattern, handler in compiled:
                    match = pattern.fullmatch(exchange.path)
                    if match is None:
                        continue
                    if exchange.method != handler.method:
                        failure = failures.MethodNotAllowed(
                            f"The path {exchange.path} takes {handler.method}."
                        )
                        continue
                    handler.respond(exchange, match)
                    return
                exchange.send_failure(failure)

        return Gateway

    def note_request(self, exchange: exchanges.Exchange) -> None:
        """A request has arrived; tells its caller to leave, if it should."""
        if exchange.path.startswith(API_PREFIX):
            self._asked_at = time.monotonic()
        if self.leaving:
            exchange.close_after()
