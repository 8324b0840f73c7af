"""I/O of non-idempotent calls: service, store and peer operations.

Each result says whether the operation certainly did not run or may have run,
because only the former may be retried.
"""

import abc
from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import json
import time
import urllib.parse

import loguru
import urllib3

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.shells import bounded_http
from sycamorehollow.shells import stores

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
# Lookups are quick; an unresponsive replica must not delay the other lookups.
LOOKUP_TIMEOUT_S = 3.0
# Outcomes are kept in memory and in store values, which hold at most 1 MB.
MAX_RESPONSE_BYTES = 256 * 1024
# Allowance for the head and the framing of a response.
MAX_HEAD_BYTES = 64 * 1024
READ_BLOCK_BYTES = 16 * 1024
SERVICE_WORKERS = 16
STORE_WORKERS = 4
PEER_WORKERS = 8
# Responses that do not tell whether the operation ran.
AMBIGUOUS_STATUSES = (408, 429)


class KeyOwnerClient(abc.ABC):
    """Client of the processes that own keys and tickets."""

    @abc.abstractmethod
    def request(
        self, command: messages.RequestFromOwner
    ) -> messages.Result | stores.Unreachable | stores.InDoubt:
        """Sends a request to a process and waits until its deadline.

        Returns:
            The result of the owner; `stores.Unreachable` if no byte was sent
            and `stores.InDoubt` if the reply is missing.
        """


class ServiceClient:
    """HTTP client that sends operations to plain services."""

    def __init__(
        self,
        find_urls: Callable[[str, bool], Sequence[str]],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes the client; each call opens a connection of its own.

        Args:
            find_urls: Returns the base URLs of the upstreams of a service,
                best one first. The flag is true for new work; a lookup also
                goes to upstreams that are draining.
            connect_timeout_s: Longest wait for a connection.
            read_timeout_s: Longest wait for a response.
            clock: Returns the monotonic time in seconds that deadlines use.
        """
        self._find_urls = find_urls
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._clock = clock

    def dispatch(self, command: messages.Dispatch) -> events.Event:
        """Sends a call, so that at most one upstream may run it."""
        event: events.Event = messages.OpNotSent(
            command.op, "no upstream of the service takes work"
        )
        for url in self._find_urls(command.call.service, True):
            remaining_s = command.not_after - self._clock()
            if remaining_s <= 0:
                return messages.OpNotSent(command.op, "the deadline has passed")
            event = self._post(url, command, remaining_s, self._read_timeout_s)
            if isinstance(event, messages.OpNotSent | messages.OpRefused):
                # This upstream certainly did not run the call.
                continue
            return event
        return event

    def dispatch_idempotent(self, command: messages.Dispatch) -> events.Event:
        """Tries the upstreams in turn with an idempotent call.

        The last upstream has until the deadline, because no other one is left
        to try.
        """
        event: events.Event = messages.OpNotSent(
            command.op, "no upstream of the service takes work"
        )
        doubt_reason = ""
        urls = list(self._find_urls(command.call.service, True))
        for number, url in enumerate(urls, 1):
            remaining_s = command.not_after - self._clock()
            if remaining_s <= 0:
                break
            read_timeout_s = self._read_timeout_s
            if number == len(urls):
                read_timeout_s = max(read_timeout_s, remaining_s)
            event = self._post(url, command, remaining_s, read_timeout_s)
            if isinstance(event, messages.ServiceResponded):
                return event
            if isinstance(event, messages.OpInDoubt):
                doubt_reason = event.reason
        if doubt_reason:
            return messages.OpInDoubt(command.op, doubt_reason)
        return event

    def look_up(self, command: messages.LookUpOutcome) -> events.Event:
        """Queries the upstreams of a service until one has the outcome."""
        event: events.Event = messages.OpNotSent(
            command.op, "the service has no upstream"
        )
        path = f"{_quote(command.operation)}/{_quote(command.service_key)}"
        for url in self._find_urls(command.service, False):
            response = self._send(
                "GET",
                f"{url}/operations/{path}",
                b"",
                {},
                LOOKUP_TIMEOUT_S,
                min(self._read_timeout_s, LOOKUP_TIMEOUT_S),
            )
            found = _parse_lookup(command.op, response)
            if isinstance(found, messages.OutcomeLookedUp):
                event = found
                if found.outcome is not None:
                    return found
            elif not isinstance(event, messages.OutcomeLookedUp):
                event = found
        return event

    def _post(
        self,
        url: str,
        command: messages.Dispatch,
        remaining_s: float,
        read_timeout_s: float,
    ) -> events.Event:
        response = self._send(
            "POST",
            f"{url}/operations/{_quote(command.call.operation)}",
            command.call.body,
            {
                "Content-Type": "application/json",
                "Idempotency-Key": command.service_key,
                "X-Request-Id": command.call.request_id,
            },
            remaining_s,
            read_timeout_s,
        )
        if isinstance(response, failures.Failure):
            if response.execution is failures.Execution.NOT_STARTED:
                return messages.OpNotSent(command.op, response.reason)
            return messages.OpInDoubt(command.op, response.reason)
        return _classify(command.op, response)

    def _send(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str],
        remaining_s: float,
        read_timeout_s: float,
    ) -> messages.Outcome | failures.Failure:
        """Sends one request on a new connection.

        If the service closed a reused connection at that moment, the outcome
        would be unknown. The connection must be established within
        `remaining_s`.
        """
        timeout = urllib3.Timeout(
            connect=min(self._connect_timeout_s, remaining_s),
            read=read_timeout_s,
        )
        deadline = self._clock() + self._connect_timeout_s + read_timeout_s
        pool = bounded_http.open_pool(
            url, MAX_RESPONSE_BYTES + MAX_HEAD_BYTES, timeout=timeout
        )
        try:
            response = pool.urlopen(
                method,
                urllib.parse.urlsplit(url).path,
                body=body if method == "POST" else None,
                headers=headers,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            return self._read(response, deadline)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return stores.Unreachable(reason=f"no connection: {error}")
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return stores.InDoubt(reason=f"no complete response: {error}")
        finally:
            pool.close()

    def _read(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> messages.Outcome | failures.Failure:
        body = bytearray()
        try:
            for block in response.stream(READ_BLOCK_BYTES):
                body += block
                if len(body) > MAX_RESPONSE_BYTES:
                    return stores.InDoubt(reason="the response is too large")
                if self._clock() > deadline:
                    return stores.InDoubt(reason="the response is too slow")
        finally:
            response.close()
        if bounded_http.may_be_shortened(response, bytes(body)):
            return stores.InDoubt(
                reason="the response has neither a length nor a sure end"
            )
        return messages.Outcome(response.status, bytes(body))


class CallShell:
    """Executes the commands of `KeyCalls` and `TicketCalls`.

    Each command results in exactly one event. Store, service and peer
    operations have separate threads, so that a slow service does not delay
    claims in the store.
    """

    def __init__(
        self,
        store: stores.Store,
        service: ServiceClient,
        owners: KeyOwnerClient,
        post: Callable[[events.Event], None],
    ):
        """Starts the worker threads.

        Args:
            store: Client of the store; must be thread-safe.
            service: Client of the plain services.
            owners: Client of the other entry processes.
            post: Queues an event for the decision loop.
        """
        self._store = store
        self._service = service
        self._owners = owners
        self._post = post
        self._store_workers = futures.ThreadPoolExecutor(
            STORE_WORKERS, "calls-store"
        )
        self._service_workers = futures.ThreadPoolExecutor(
            SERVICE_WORKERS, "calls-service"
        )
        self._peer_workers = futures.ThreadPoolExecutor(
            PEER_WORKERS, "calls-peer"
        )

    def execute(self, command: commands.Command) -> bool:
        """Starts a command; returns whether this class executes its type."""
        if isinstance(command, messages.ReadCallRecord):
            self._store_workers.submit(
                self._run, command.op, self._read, command
            )
        elif isinstance(command, messages.WriteCallRecord):
            self._store_workers.submit(
                self._run, command.op, self._write, command
            )
        elif isinstance(command, messages.Dispatch):
            self._service_workers.submit(
                self._run, command.op, self._service.dispatch, command
            )
        elif isinstance(command, messages.LookUpOutcome):
            self._service_workers.submit(
                self._run, command.op, self._service.look_up, command
            )
        elif isinstance(command, messages.RequestFromOwner):
            self._peer_workers.submit(
                self._run, command.op, self._request_owner, command
            )
        else:
            return False
        return True

    def close(self) -> None:
        """Waits for the running operations and stops the threads."""
        self._service_workers.shutdown()
        self._peer_workers.shutdown()
        self._store_workers.shutdown()

    def _run(self, op: str, step: Callable, command: commands.Command) -> None:
        try:
            event = step(command)
        except Exception:
            loguru.logger.exception(
                "calls: operation {} raised an exception", op
            )
            event = messages.OpInDoubt(op, "the router has a fault")
        self._post(event)

    def _read(self, command: messages.ReadCallRecord) -> events.Event:
        result = self._store.read(command.key)
        if isinstance(result, stores.Found):
            return messages.CallRecordRead(
                command.op, result.value, result.revision
            )
        if isinstance(result, stores.Absent):
            return messages.CallRecordRead(command.op, None, 0)
        return _convert_failure(command.op, result)

    def _write(self, command: messages.WriteCallRecord) -> events.Event:
        result = self._store.write(
            command.key, command.value, command.expected_revision
        )
        if isinstance(result, stores.Written):
            return messages.CallRecordWritten(command.op, result.revision)
        if isinstance(result, stores.Conflict):
            return messages.CallRecordConflict(
                command.op, result.revision, result.value
            )
        return _convert_failure(command.op, result)

    def _request_owner(
        self, command: messages.RequestFromOwner
    ) -> events.Event:
        result = self._owners.request(command)
        if isinstance(result, stores.Unreachable | stores.InDoubt):
            return _convert_failure(command.op, result)
        return messages.OwnerReplied(command.op, result)


def _convert_failure(op: str, failure: failures.Failure) -> events.Event:
    if isinstance(failure, stores.Unreachable):
        return messages.OpNotSent(op, failure.reason)
    if isinstance(failure, stores.RateLimited):
        return messages.OpRefused(op, failure.reason)
    return messages.OpInDoubt(op, failure.reason)


def _classify(op: str, response: messages.Outcome) -> events.Event:
    """Classifies a response by whether the operation ran."""
    if response.status >= 400 and _is_marked_not_run(response.body):
        return messages.OpRefused(op, "the service refused the call")
    is_conclusive = 200 <= response.status < 300 or 400 <= response.status < 500
    if not is_conclusive or response.status in AMBIGUOUS_STATUSES:
        return messages.OpInDoubt(op, f"the service answered {response.status}")
    return messages.ServiceResponded(op, response)


def _is_marked_not_run(body: bytes) -> bool:
    try:
        return (
            json.loads(body)["error"]["run"]
            == failures.Execution.NOT_STARTED.value
        )
    except (ValueError, KeyError, TypeError):
        return False


def _parse_lookup(
    op: str, response: messages.Outcome | failures.Failure
) -> events.Event:
    if isinstance(response, failures.Failure):
        return _convert_failure(op, response)
    if response.status != 200:
        return messages.OpInDoubt(op, f"the lookup answered {response.status}")
    try:
        document = json.loads(response.body)
        state = document["state"]
        if state == "absent":
            return messages.OutcomeLookedUp(op, None)
        if state == "done":
            body = json.dumps(document["result"]).encode("utf-8")
            return messages.OutcomeLookedUp(op, messages.Outcome(200, body))
    except (ValueError, KeyError, TypeError):
        pass
    return messages.OpInDoubt(op, "the lookup response cannot be read")


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")
