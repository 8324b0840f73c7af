"""Thread pool for short HTTP calls to upstreams and the platform.

Chat streams don't pass here; the relay carries them.
"""

from collections.abc import Callable
import concurrent.futures
import dataclasses
from typing import Any
from typing import ClassVar

import loguru
import urllib3

from sycamorehollow.model import failures
from sycamorehollow.shells import bounded_http

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
# The largest responses are the list of VMs and the load of an upstream.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
THREADS = 8


@dataclasses.dataclass(frozen=True)
class CallFailed(failures.Failure):
    """Failure of a call that got no response.

    Attributes:
        connection_refused: Whether no connection could be established.
    """

    code: ClassVar[str] = "call_failed"

    connection_refused: bool = False


class HttpWorkers:
    """Runs short HTTP calls on a fixed number of threads."""

    def __init__(self):
        self._http = bounded_http.open_manager(
            MAX_RESPONSE_BYTES,
            maxsize=THREADS,
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )
        self._pool = concurrent.futures.ThreadPoolExecutor(
            THREADS, thread_name_prefix="errands"
        )

    def submit(self, action: Callable[[], Any]) -> None:
        """Runs an action on the next free thread."""
        self._pool.submit(self._run, action)

    def request(
        self, method: str, url: str, **options: Any
    ) -> urllib3.BaseHTTPResponse | CallFailed:
        """Sends one request, without retries, and returns the response."""
        try:
            return self._http.request(method, url, **options)
        except urllib3.exceptions.NewConnectionError as error:
            return CallFailed(str(error), connection_refused=True)
        except urllib3.exceptions.HTTPError as error:
            return CallFailed(str(error), execution=failures.Execution.UNKNOWN)

    def stop(self) -> None:
        """Stops the threads after their current calls; drops queued ones."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self, action: Callable[[], Any]) -> None:
        try:
            action()
        except Exception:
            loguru.logger.exception("errands: unhandled exception")
