"""HTTP server of the chat interface: socket, workers, routing, API keys."""

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

# A worker blocks while the relay serves its stream. A node is sized for 300
# concurrent streams; the other workers serve short requests.
WORKERS = 400
BACKLOG = 512
IDLE_TIMEOUT_S = 30
# Prefix of the paths that count as traffic of callers. Health checks, which
# continue while the process shuts down, are outside it.
API_PREFIX = "/v1/"


class Snapshot:
    """The configuration in force, as the HTTP workers read it.

    Only the router task replaces it. A reader fetches `current` once and then
    works with that immutable deployment.
    """

    def __init__(self):
        self.current: deployment.Deployment | None = None
        self._by_key: dict[str, str] = {}

    def replace(self, current: deployment.Deployment) -> None:
        """Replaces the configuration and the index of API keys."""
        by_key = {}
        for workspace in current.workspaces.values():
            for key_hash in workspace.key_hashes:
                by_key[key_hash] = workspace.name
        self._by_key = by_key
        self.current = current

    def authenticate(
        self, authorization: str
    ) -> deployment.Workspace | failures.Failure:
        """Returns the workspace whose key an `Authorization` header holds."""
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
    """Serves the requests of one path.

    Attributes:
        method: The only HTTP method that the path accepts.
        pattern: Regular expression that matches the whole path.
    """

    method = "GET"
    pattern = ""

    @abc.abstractmethod
    def respond(
        self, exchange: exchanges.Exchange, match: re.Match[str]
    ) -> None:
        """Reads the request and sends the response."""


class WorkspaceHandler(Handler):
    """Serves the requests of one path for callers with an API key."""

    def __init__(self, snapshot: Snapshot):
        self._snapshot = snapshot

    def respond(
        self, exchange: exchanges.Exchange, match: re.Match[str]
    ) -> None:
        """Authenticates the caller, or sends the failure."""
        workspace = self._snapshot.authenticate(
            exchange.get_header("Authorization")
        )
        if isinstance(workspace, failures.Failure):
            # The body is unread; on a kept-alive connection it would be parsed
            # as the next request.
            exchange.close_after_response()
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
    """The server of the HTTP library, which logs through loguru."""

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Logs an error of the HTTP library."""
        loguru.logger.opt(exception=traceback).log(level, "front: {}", msg)


class Front:
    """Owns the listening socket and the HTTP workers.

    Attributes:
        closing_connections: Whether each connection is closed after its next
            response.
    """

    def __init__(self, host: str, port: int, handlers: list[Handler]):
        self.closing_connections = False
        self._handlers = handlers
        self._last_request_at = time.monotonic()
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
        """The port that the server listens on."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Starts to listen and to serve requests."""
        self._server.prepare()
        self._thread.start()

    def get_idle_s(self) -> float:
        """Returns the seconds since the last request of a caller arrived."""
        return time.monotonic() - self._last_request_at

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop()

    def _build_gateway(self) -> type[server.Gateway]:
        front = self
        compiled = [(re.compile(h.pattern), h) for h in self._handlers]

        class Gateway(server.Gateway):
            """Dispatches a request to the handler of its path."""

            def respond(self) -> None:
                """Serves one request."""
                exchange = exchanges.Exchange(self.req)
                front.record_request(exchange)
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

    def record_request(self, exchange: exchanges.Exchange) -> None:
        """Records the arrival of a request; closes its connection if asked to.

        Only requests of callers reset the idle time.
        """
        if exchange.path.startswith(API_PREFIX):
            self._last_request_at = time.monotonic()
        if self.closing_connections:
            exchange.close_after_response()
