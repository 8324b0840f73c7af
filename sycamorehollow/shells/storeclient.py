"""HTTP client of the platform's key-value store."""

from collections.abc import Mapping
import dataclasses
import json
import socket
import threading
import time
from typing import Any
import urllib.parse

import urllib3

from sycamorehollow.model import failures
from sycamorehollow.shells import bounded_http
from sycamorehollow.shells import stores

# Below the second after which the kernel sends a lost opening packet again.
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 3.0
# A watch that is overdue by more than this has lost its connection.
WATCH_MARGIN_S = 3.0
# A watch occupies a connection for its whole duration.
MAX_IDLE_CONNECTIONS = 8
# A page of a range holds about 1 MB, a watch response several values of up to
# 1 MB each. A VM may have only 128 MB in all.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 256 * 1024
RETRY_AFTER_S = 1.0
# Without keep-alive probes, a pending watch on a broken network path would look
# idle; with these options it fails within 3 s.
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
]


@dataclasses.dataclass(frozen=True)
class Response:
    """A response of the store with a JSON body."""

    status: int
    document: dict[str, Any]
    retry_after_s: float
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class HttpStore(stores.Store):
    """Base of clients that call a store over HTTP; usable from any thread.

    It never retries a call, because only the caller knows whether a retry is
    safe.
    """

    def __init__(
        self,
        url: str,
        call_timeout_s: float = CALL_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ):
        self._call_timeout_s = call_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._url = url
        self._path = urllib.parse.urlsplit(url).path.rstrip("/")
        self._pool = self._open_pool()
        self._pool_lock = threading.Lock()

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def discard_connections(self) -> None:
        """Closes the idle connections; busy ones are not used again."""
        self._replace_pool(self._pool)

    def _open_pool(self) -> urllib3.HTTPConnectionPool:
        return bounded_http.open_pool(
            self._url,
            MAX_RESPONSE_BYTES,
            maxsize=MAX_IDLE_CONNECTIONS,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def _replace_pool(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Closes a pool, unless another call has replaced it already."""
        with self._pool_lock:
            if pool is not self._pool:
                return
            self._pool = self._open_pool()
        pool.close()

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: dict[str, Any] | None = None,
        limit_s: float | None = None,
    ) -> Response | stores.Unreachable | stores.InDoubt:
        limit_s = limit_s or self._call_timeout_s
        deadline = time.monotonic() + limit_s
        target = self._path + path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        pool = self._pool
        try:
            response = pool.urlopen(
                method,
                target,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                retries=False,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=self._connect_timeout_s, read=limit_s
                ),
            )
            return _read_response(response, deadline)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            reason = f"the store cannot be reached: {error}"
            return stores.Unreachable(reason, retry_after_s=RETRY_AFTER_S)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            # The idle connections were opened before, so they may be as
            # silent as this one.
            self._replace_pool(pool)
            reason = f"the response of the store is missing: {error}"
            return stores.InDoubt(reason, retry_after_s=RETRY_AFTER_S)


class StoreClient(HttpStore):
    """Client of the store stand-in that comes with this software."""

    def __init__(
        self,
        url: str,
        call_timeout_s: float = CALL_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ):
        super().__init__(url, call_timeout_s, connect_timeout_s)
        # The response to a renewal does not state the lifetime of the lease.
        self._lifetimes_s: dict[str, float] = {}

    def read(
        self, key: str
    ) -> stores.Found | stores.Absent | stores.CallFailure:
        """Returns the value of a key."""
        response = self._call("GET", _key_path(key))
        if isinstance(response, failures.Failure):
            return response
        if response.status == 404:
            return stores.Absent(key)
        if response.status != 200:
            return _classify_failure(response)
        return _read_item(response.document | {"key": key})

    def write(
        self,
        key: str,
        value: str,
        expected_revision: int | None,
        lease: str = "",
    ) -> stores.Written | stores.Conflict | stores.CallFailure:
        """Writes a value by compare-and-swap.

        If the lease has ended, the result is a conflict with an absent key,
        because the value that was tied to it was deleted as well.
        """
        body = {
            "value": value,
            "expect": expected_revision,
            "lease": lease or None,
        }
        response = self._call("PUT", _key_path(key), body=body)
        if isinstance(response, failures.Failure):
            return response
        if response.status == 409:
            return _read_conflict(key, response)
        if response.status == 404:
            return stores.Conflict(f"the lease {lease} of {key} has ended")
        if response.status != 200:
            return _classify_failure(response)
        revision = response.document.get("revision")
        if not isinstance(revision, int):
            return stores.InDoubt("the response of a write has no revision")
        return stores.Written(revision, _read_era(response.document))

    def delete(
        self, key: str, expected_revision: int | None = None
    ) -> stores.Deleted | stores.Conflict | stores.CallFailure:
        """Deletes a key, at any revision if none is expected."""
        query = (
            {} if expected_revision is None else {"expect": expected_revision}
        )
        response = self._call("DELETE", _key_path(key), query)
        if isinstance(response, failures.Failure):
            return response
        if response.status == 409:
            return _read_conflict(key, response)
        if response.status in (200, 404):
            return stores.Deleted(key)
        return _classify_failure(response)

    def list_range(
        self, prefix: str, allow_stale: bool = False
    ) -> stores.Listing | stores.CallFailure:
        """Returns all values whose keys start with a prefix, never stale."""
        response = self._call("GET", "/v1/range", {"prefix": prefix})
        if isinstance(response, failures.Failure):
            return response
        if response.status != 200:
            return _classify_failure(response)
        try:
            items = [_read_item(item) for item in response.document["items"]]
            revision = int(response.document["revision"])
        except (KeyError, TypeError, ValueError):
            return stores.InDoubt("the response of a range is malformed")
        found = [item for item in items if isinstance(item, stores.Found)]
        if len(found) != len(items):
            return stores.InDoubt("the response of a range is malformed")
        found.sort(key=lambda item: item.key)
        return stores.Listing(tuple(found), revision)

    def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> stores.Changes | stores.CallFailure:
        """Waits for changes under a prefix.

        A failure may mean that the store no longer holds the changes after
        `after`, so the caller has to read the range before it watches again.
        """
        query = {"prefix": prefix, "after": after, "timeout": timeout_s}
        limit_s = timeout_s + WATCH_MARGIN_S
        response = self._call("GET", "/v1/watch", query, limit_s=limit_s)
        if isinstance(response, failures.Failure):
            return response
        if response.status != 200:
            return _classify_failure(response)
        try:
            changes = [
                stores.Change(
                    str(event["key"]),
                    None
                    if event["value"] is None
                    else _read_text(event["value"]),
                    int(event["revision"]),
                )
                for event in response.document["events"]
            ]
            revision = int(response.document["revision"])
        except (KeyError, TypeError, ValueError):
            return stores.InDoubt("the response of a watch is malformed")
        changes.sort(key=lambda change: change.revision)
        return stores.Changes(tuple(changes), revision)

    def grant_lease(self, ttl_s: float) -> stores.Lease | stores.CallFailure:
        """Creates a lease that ends after `ttl_s` seconds unless renewed."""
        response = self._call("POST", "/v1/leases", body={"ttl_s": ttl_s})
        if isinstance(response, failures.Failure):
            return response
        if response.status != 200 or "lease" not in response.document:
            return _classify_failure(response)
        lease = str(response.document["lease"])
        self._lifetimes_s[lease] = ttl_s
        return stores.Lease(lease, ttl_s)

    def renew_lease(
        self, lease: str
    ) -> stores.Lease | stores.LeaseGone | stores.CallFailure:
        """Renews a lease for its full lifetime.

        For a lease that another client created, the returned `ttl_s` is 0.
        """
        response = self._call("PUT", _lease_path(lease))
        if isinstance(response, failures.Failure):
            return response
        if response.status == 404:
            self._lifetimes_s.pop(lease, None)
            return stores.LeaseGone(f"the lease {lease} has ended")
        if response.status != 200:
            return _classify_failure(response)
        return stores.Lease(lease, self._lifetimes_s.get(lease, 0.0))

    def release_lease(
        self, lease: str
    ) -> stores.Released | stores.LeaseGone | stores.CallFailure:
        """Ends a lease and deletes the values that are tied to it."""
        response = self._call("DELETE", _lease_path(lease))
        if isinstance(response, failures.Failure):
            return response
        if response.status in (200, 404):
            self._lifetimes_s.pop(lease, None)
        if response.status == 404:
            return stores.LeaseGone(f"the lease {lease} has ended")
        if response.status != 200:
            return _classify_failure(response)
        return stores.Released(lease)


def _read_response(
    response: urllib3.BaseHTTPResponse, deadline: float
) -> Response:
    """Reads the whole response body and parses it.

    Raises:
        ValueError: The response is late, too large or no JSON object.
    """
    chunks = []
    size = 0
    try:
        # The socket timeout restarts with each byte, so check the total.
        while chunk := response.read1(CHUNK_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise ValueError("the response is too large")
            if time.monotonic() > deadline:
                raise ValueError("the response takes too long")
        document = json.loads(b"".join(chunks) or b"{}")
    except BaseException:
        response.close()
        raise
    response.release_conn()
    if not isinstance(document, dict):
        raise ValueError("the response is no JSON object")
    try:
        retry_after_s = float(response.headers.get("Retry-After", ""))
    except ValueError:
        retry_after_s = RETRY_AFTER_S
    return Response(response.status, document, retry_after_s, response.headers)


def _classify_failure(
    response: Response,
) -> stores.RateLimited | stores.InDoubt:
    """Classifies an error response by whether the call had an effect."""
    error = response.document.get("error")
    detail = error if isinstance(error, dict) else {}
    reason = (
        f"the store answered {response.status}: {detail.get('message', '')}"
    )
    if response.status == 429:
        return stores.RateLimited(reason, retry_after_s=response.retry_after_s)
    if detail.get("run") == "no" or 400 <= response.status < 500:
        # The call has no effect; retrying a malformed one cannot succeed.
        retry_after_s = (
            response.retry_after_s if response.status >= 500 else None
        )
        return stores.RateLimited(reason, retry_after_s=retry_after_s)
    return stores.InDoubt(reason, retry_after_s=response.retry_after_s)


def _read_item(item: dict[str, Any]) -> stores.Found | stores.InDoubt:
    key, value = item.get("key"), item.get("value")
    revision = item.get("revision")
    if not isinstance(key, str) or not isinstance(revision, int):
        return stores.InDoubt("an item of the store is malformed")
    return stores.Found(key, _read_text(value), revision, _read_era(item))


def _read_era(document: dict[str, Any]) -> int:
    """Returns the era of a revision; 0 if it is not stated."""
    era = document.get("era")
    return era if isinstance(era, int) and era > 0 else 0


def _read_text(value: Any) -> str:
    """Returns a value as text; other clients may store plain JSON."""
    return value if isinstance(value, str) else json.dumps(value)


def _read_conflict(
    key: str, response: Response
) -> stores.Conflict | stores.InDoubt:
    revision = response.document.get("revision")
    value = response.document.get("value")
    if not isinstance(revision, int):
        return stores.InDoubt("a conflict of the store is malformed")
    return stores.Conflict(
        f"{key} is at revision {revision}",
        revision=revision,
        value=None if value is None else _read_text(value),
    )


def _key_path(key: str) -> str:
    return "/v1/kv/" + urllib.parse.quote(key, safe="/")


def _lease_path(lease: str) -> str:
    return "/v1/leases/" + urllib.parse.quote(lease, safe="")
